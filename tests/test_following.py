"""Tests of the task that tails the topic `sheet`: outages, retention, repeating."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from sheet_records import START, publication, settle, sheet

from pomelothread.clock import ManualClock
from pomelothread.log.memory import MemoryLog
from pomelothread.operators.changes import SheetChange
from pomelothread.operators.following import (
    FollowSettings,
    FollowStatus,
    follow_sheet,
)
from pomelothread.operators.replication import SheetReplica
from pomelothread.operators.sheet import Sheet

RETENTION_S = 1000.0
V1 = sheet(1, club=1)
V2 = sheet(2, club=2)


class Node:
    """One process with its replica and the task that follows the topic."""

    def __init__(self, log: MemoryLog, clock: ManualClock, name: str) -> None:
        self.replica = SheetReplica()
        self.changes: list[SheetChange] = []
        self.statuses: list[FollowStatus] = []
        self.task = asyncio.ensure_future(
            follow_sheet(
                self.replica,
                log,
                clock,
                FollowSettings(name, RETENTION_S),
                self.changes.append,
                self.statuses.append,
                Random(name),
            )
        )


class Fleet:
    """A log and the nodes that follow it."""

    def __init__(self) -> None:
        self.clock = ManualClock(START)
        self.log = MemoryLog(self.clock)
        self.log.faults.retention_s = RETENTION_S
        self.nodes: list[Node] = []

    async def start(self, name: str) -> Node:
        self.nodes.append(Node(self.log, self.clock, name))
        await settle()
        return self.nodes[-1]

    async def publish(self, base: Sheet, new: Sheet) -> None:
        for value in publication(base, new):
            await self.log.append("sheet", value)
        await settle()

    async def pass_time(self, duration_s: float, step_s: float = 2.5) -> None:
        for _ in range(round(duration_s / step_s)):
            self.clock.advance(step_s)
            await settle()


def run(scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = Fleet()
        try:
            await scenario(fleet)
        finally:
            for node in fleet.nodes:
                node.task.cancel()

    asyncio.run(main())


def test_a_publication_comes_into_force_without_waiting_for_the_next_poll():
    async def scenario(fleet: Fleet) -> None:
        node = await fleet.start("a")
        assert node.statuses[-1] == FollowStatus(is_at_end=True)
        await fleet.publish(Sheet(), V1)
        assert [c.sheet for c in node.changes] == [V1]

    run(scenario)


@pytest.mark.parametrize(
    ("n_nodes", "delay_s", "max_appends"), [(1, 0.0, 7), (5, 0.0, 7), (5, 2.0, 10)]
)
def test_the_sheet_outlives_retention_with_few_records(
    n_nodes: int, delay_s: float, max_appends: int
):
    # Guards against a sheet that retention deletes, and against one carry-forward
    # record from every node.
    async def scenario(fleet: Fleet) -> None:
        await fleet.publish(Sheet(), V1)
        await fleet.publish(V1, V2)
        for i in range(n_nodes):
            await fleet.start(f"node-{i}")
        # Nodes that append within the delay do not see each other's records.
        fleet.log.faults.delay_s = delay_s
        await fleet.pass_time(3.2 * RETENTION_S)
        assert fleet.log.values("sheet")[0]["kind"] == "carry-forward"
        assert 5 <= fleet.log.n_appends - 2 <= max_appends
        late = await fleet.start("late")
        assert late.replica.sheet == V2
        assert late.replica.is_anchored
        assert all(len(n.changes) <= 2 for n in fleet.nodes)

    run(scenario)


@pytest.mark.parametrize("fault", ["n_lost_answers", "n_lost_requests"])
def test_an_unanswered_carry_forward_is_read_back_before_the_next_attempt(fault: str):
    async def scenario(fleet: Fleet) -> None:
        await fleet.publish(Sheet(), V1)
        node = await fleet.start("a")
        setattr(fleet.log.faults, fault, 1)
        await fleet.pass_time(0.8 * RETENTION_S)
        assert fleet.log.n_appends == 2
        assert node.replica.sheet == V1

    run(scenario)


def test_an_outage_keeps_the_sheet_and_the_follower_continues_after_it():
    async def scenario(fleet: Fleet) -> None:
        await fleet.publish(Sheet(), V1)
        node = await fleet.start("a")
        fleet.log.faults.down = True
        await fleet.pass_time(1.2 * RETENTION_S)
        assert node.replica.sheet == V1
        assert node.statuses[-1].failure is not None
        # A process that starts during the outage adopts the sheet of a peer.
        late = await fleet.start("late")
        assert late.replica.sheet.version == 0
        late.replica.adopt(node.replica.snapshot())
        fleet.log.faults.down = False
        # The outage was longer than the retention, so the log is empty until the
        # sheet is carried forward.
        await fleet.pass_time(0.1 * RETENTION_S)
        assert fleet.log.values("sheet")[0]["version"] == 1
        await fleet.publish(V1, V2)
        assert [n.replica.sheet for n in fleet.nodes] == [V2, V2]
        fresh = await fleet.start("fresh")
        assert fresh.replica.sheet == V2

    run(scenario)


def test_the_end_of_an_outage_is_noticed_before_the_next_record():
    async def scenario(fleet: Fleet) -> None:
        await fleet.publish(Sheet(), V1)
        node = await fleet.start("a")
        fleet.log.faults.down = True
        await fleet.pass_time(10.0)
        assert node.statuses[-1].failure is not None
        fleet.log.faults.down = False
        await fleet.pass_time(1.5)
        assert node.statuses[-1].failure is None

    run(scenario)


def test_a_gap_without_records_is_skipped_and_a_late_publication_is_not_applied():
    # Guards against a follower that reads the deleted offsets for ever.
    async def scenario(fleet: Fleet) -> None:
        await fleet.publish(Sheet(), V1)
        node = await fleet.start("a")
        fleet.log.faults.refuse_reads = True
        await fleet.pass_time(10)
        await fleet.publish(V1, V2)
        fleet.log.expire_before("sheet", 2)
        fleet.log.faults.refuse_reads = False
        await fleet.pass_time(10)
        assert (node.replica.next_offset, node.replica.is_anchored) == (2, False)
        await fleet.publish(V1, sheet(2, club=9))
        assert node.replica.sheet == V1

    run(scenario)


@pytest.mark.parametrize("retention_s", [0.0, -1.0])
def test_a_retention_that_is_not_positive_is_refused(retention_s: float):
    with pytest.raises(ValueError, match="retention_s"):
        FollowSettings("a", retention_s)
