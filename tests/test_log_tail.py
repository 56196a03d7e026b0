import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime

import pytest

from pomelothread.clock import ManualClock
from pomelothread.log.memory import MemoryLog
from pomelothread.log.tail import MAX_RETRY_DELAY_S, LogTail, retry_delay_s

TOPIC = "sheet"


async def settle() -> None:
    """Let all tasks run until they wait."""
    for _ in range(50):
        await asyncio.sleep(0)


class TailRig:
    def __init__(self) -> None:
        self.clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        self.log = MemoryLog(self.clock)
        self.offsets: list[int] = []
        self.gaps: list[int] = []
        self.tail = LogTail(
            self.log,
            TOPIC,
            self.clock,
            lambda record: self.offsets.append(record.offset),
            self.note_gap,
            random.Random(1),
        )

    def note_gap(self, n_expired: int) -> None:
        assert not self.tail.is_caught_up
        self.gaps.append(n_expired)


def run_with_tail(scenario: Callable[[TailRig], Awaitable[None]]) -> None:
    async def run() -> None:
        rig = TailRig()
        await rig.log.append(TOPIC, {})
        await rig.log.append(TOPIC, {})
        task = asyncio.create_task(rig.tail.run())
        try:
            await scenario(rig)
        finally:
            task.cancel()

    asyncio.run(run())


def test_the_end_is_known_after_all_records_are_reported() -> None:
    async def scenario(rig: TailRig) -> None:
        assert not rig.tail.is_caught_up
        await rig.tail.wait_caught_up()
        assert rig.offsets == [0, 1]
        await rig.log.append(TOPIC, {})
        await settle()
        assert rig.offsets == [0, 1, 2]

    run_with_tail(scenario)


def test_an_outage_at_the_start_delays_the_end_and_loses_nothing() -> None:
    """Guards against a failed read that is treated as an empty one."""

    async def scenario(rig: TailRig) -> None:
        rig.log.faults.down = True
        for _ in range(5):
            await settle()
            assert not rig.tail.is_caught_up
            assert rig.tail.failure is not None
            rig.clock.advance(MAX_RETRY_DELAY_S)
        rig.log.faults.down = False
        await settle()
        assert rig.tail.is_caught_up
        assert rig.tail.failure is None
        assert rig.offsets == [0, 1]

    run_with_tail(scenario)


def test_records_lost_to_retention_are_a_gap_until_the_end_is_reached_again() -> None:
    async def scenario(rig: TailRig) -> None:
        await rig.tail.wait_caught_up()
        await settle()
        rig.log.faults.refuse_reads = True
        rig.clock.advance(60.0)
        await settle()
        for _ in range(4):
            await rig.log.append(TOPIC, {})
        rig.log.expire_before(TOPIC, 5)
        rig.log.faults.refuse_reads = False
        rig.clock.advance(MAX_RETRY_DELAY_S)
        await settle()
        assert (rig.offsets, rig.gaps, rig.tail.n_expired) == ([0, 1, 5], [3], 3)
        assert rig.tail.is_caught_up

    run_with_tail(scenario)


def test_records_deleted_before_the_first_read_are_no_gap() -> None:
    async def scenario(rig: TailRig) -> None:
        rig.log.expire_before(TOPIC, 1)
        await rig.tail.wait_caught_up()
        assert (rig.offsets, rig.gaps, rig.tail.n_expired) == ([1], [], 0)

    run_with_tail(scenario)


@pytest.mark.parametrize("n_failures", [1, 2, 3, 8, 10_000])
def test_delays_grow_to_a_limit(n_failures: int) -> None:
    limit_s = min(MAX_RETRY_DELAY_S, 0.1 * 2.0 ** min(n_failures - 1, 20))
    rng = random.Random(2)
    delays_s = [retry_delay_s(n_failures, rng) for _ in range(100)]
    assert all(limit_s / 2 <= delay_s <= limit_s for delay_s in delays_s)
    assert len(set(delays_s)) > 1
