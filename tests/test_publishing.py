"""Tests of publishing on a log with faults, and of the command."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import tornado.httpserver
import tornado.netutil
import tornado.web
from sheet_records import START, log_records, run_with_clock, settle, sheet

from pomelothread.clock import ManualClock
from pomelothread.log.memory import MemoryLog
from pomelothread.operators import command, publications
from pomelothread.operators.publishing import (
    LostRace,
    NothingToPublish,
    NotPublished,
    Published,
    PublishRequest,
    ResultNotKnown,
    WrongBase,
    publish_sheet,
)
from pomelothread.operators.replication import SheetReplica
from pomelothread.operators.sheet import Sheet
from standins.log_service import LogService

EXAMPLE = Path(__file__).resolve().parent.parent / "examples/saurashtra/sheet.csv"
V1 = sheet(1, club=1)
V2 = sheet(2, club=2)
RIVAL_V2 = sheet(2, club=9)


class Rig:
    """A log, a clock, and operators who publish with them."""

    def __init__(self) -> None:
        self.clock = ManualClock(START)
        self.log = MemoryLog(self.clock)
        self.n_requests = 0

    async def publish(
        self, new: Sheet, base: int, operator: str = "asha", **options: Any
    ) -> Any:
        self.n_requests += 1
        request = PublishRequest(
            new, base, operator, f"{operator}-{self.n_requests}", 5.0, **options
        )
        call = publish_sheet(self.log, self.clock, request)
        return await run_with_clock(self.clock, call)

    async def in_force(self) -> Sheet:
        replica = SheetReplica()
        replica.apply_batch((await self.log.read("sheet", 0, 0.0)).unwrap())
        return replica.sheet


def run(scenario: Callable[[Rig], Any]) -> None:
    async def main() -> None:
        await scenario(Rig())

    asyncio.run(main())


def test_a_publication_is_read_back_and_an_unchanged_sheet_is_not_published():
    async def scenario(rig: Rig) -> None:
        first = await rig.publish(V1, 0)
        assert isinstance(first, Published)
        assert (first.version, first.offset) == (1, 0)
        assert await rig.publish(V1, 0) == NothingToPublish(1)
        assert await rig.publish(V2, 0) == WrongBase(0, 1)
        assert isinstance(await rig.publish(V2, 1), Published)
        assert await rig.in_force() == V2

    run(scenario)


def test_of_two_publications_on_one_base_one_wins_and_the_other_is_told():
    async def scenario(rig: Rig) -> None:
        await rig.publish(V1, 0)
        rig.log.faults.delay_s = 1.0
        outcomes = await asyncio.gather(
            rig.publish(V2, 1, "asha"), rig.publish(RIVAL_V2, 1, "ben")
        )
        rig.log.faults.delay_s = 0.0
        [won] = [o for o in outcomes if isinstance(o, Published)]
        [lost] = [o for o in outcomes if isinstance(o, LostRace)]
        assert (lost.version, lost.offset) == (won.version, won.offset)
        assert lost.winner in ("asha", "ben")

    run(scenario)


@pytest.mark.parametrize("n_parts", [1, 3])
def test_a_lost_answer_is_resolved_by_reading_back_without_a_second_append(
    n_parts: int, monkeypatch: pytest.MonkeyPatch
):
    # Guards against publishing twice, and against reporting a lost race to an
    # operator whose own publication is in force.
    if n_parts > 1:
        monkeypatch.setattr(publications, "MAX_PART_BYTES", 40)

    async def scenario(rig: Rig) -> None:
        rig.log.faults.n_lost_answers = n_parts
        outcome = await rig.publish(sheet(1, club=1, school=2), 0)
        assert isinstance(outcome, Published)
        assert rig.log.n_appends == n_parts

    run(scenario)


def test_a_lost_request_is_not_known_and_may_take_effect_late():
    async def scenario(rig: Rig) -> None:
        rig.log.faults.n_late_appends = 1
        assert isinstance(await rig.publish(V1, 0), ResultNotKnown)
        rig.log.deliver_late_appends()
        assert await rig.publish(V1, 0) == NothingToPublish(1)

    run(scenario)


def test_a_late_publication_after_a_newer_version_has_no_effect():
    # Guards against an older sheet that replaces a newer one because its append
    # arrives late.
    async def scenario(rig: Rig) -> None:
        await rig.publish(V1, 0)
        rig.log.faults.n_late_appends = 1
        slow = asyncio.ensure_future(rig.publish(RIVAL_V2, 1, "ben"))
        await settle()
        await rig.publish(V2, 1)
        outcome = await slow
        assert outcome == LostRace(2, "asha", 1)
        rig.log.deliver_late_appends()
        assert await rig.in_force() == V2

    run(scenario)


def test_a_lost_part_prevents_the_publication(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(publications, "MAX_PART_BYTES", 40)

    async def scenario(rig: Rig) -> None:
        rig.log.faults.n_late_appends = 1
        assert isinstance(await rig.publish(V1, 0), NotPublished)
        rig.log.deliver_late_appends()
        assert (await rig.in_force()).version == 0

    run(scenario)


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [
        ({"down": True}, NotPublished),
        ({"refuse_reads": True}, NotPublished),
        ({"refuse_appends": True}, NotPublished),
        ({"n_lost_requests": 1}, ResultNotKnown),
    ],
)
def test_an_outage_is_distinguished_from_an_unknown_result(
    fault: dict[str, Any], outcome: type
):
    async def scenario(rig: Rig) -> None:
        for name, value in fault.items():
            setattr(rig.log.faults, name, value)
        assert isinstance(await rig.publish(V1, 0), outcome)
        assert rig.log.n_appends == 0

    run(scenario)


def test_reads_that_fail_after_the_append_leave_the_result_unknown():
    async def scenario(rig: Rig) -> None:
        rig.log.faults.delay_answer_s = 1.0
        task = asyncio.ensure_future(rig.publish(V1, 0))
        await settle()
        rig.log.faults.refuse_reads = True
        assert isinstance(await task, ResultNotKnown)

    run(scenario)


def test_a_restart_without_the_sheet_in_force_uses_a_version_above_all_others():
    async def scenario(rig: Rig) -> None:
        await rig.publish(V1, 0)
        assert isinstance(await rig.publish(V2, 1, restart=True), NotPublished)
        await rig.publish(V2, 1)
        holder = SheetReplica()
        holder.apply_batch((await rig.log.read("sheet", 0, 0.0)).unwrap())
        rig.log.expire_before("sheet", 2)
        assert isinstance(await rig.publish(V1, 0), NotPublished)
        outcome = await rig.publish(V1, 0, restart=True)
        assert isinstance(outcome, Published)
        holder.apply_batch((await rig.log.read("sheet", 2, 0.0)).unwrap())
        assert holder.sheet.version == outcome.version > 2

    run(scenario)


# Tests of the command.


@pytest.mark.parametrize(
    ("arguments", "exit_code"),
    [
        (["--help"], 0),
        (["--version"], 0),
        (["check", str(EXAMPLE)], 0),
        (["check", "no-such-file.csv"], 2),
        (["check"], 2),
        (["publish", str(EXAMPLE), "--log=127.0.0.1:1"], 2),
        (["publish", str(EXAMPLE), "--base=0"], 2),
        (["publish", str(EXAMPLE), "--log=127.0.0.1:1", "--base=-1"], 2),
        (["status"], 2),
        (["status", "x"], 2),
        (["deploy"], 2),
        (["check", str(EXAMPLE), "--nosuchflag"], 2),
        ([], 2),
    ],
)
def test_the_command_reports_wrong_usage_with_exit_code_2(
    arguments: list[str], exit_code: int, capsys: pytest.CaptureFixture[str]
):
    assert command.main(["pomelothread-sheet", *arguments]) == exit_code
    output = capsys.readouterr()
    assert bool(output.out) == (exit_code == 0)
    assert bool(output.err) == (exit_code == 2)


def test_the_command_lists_all_faults_of_a_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
):
    path = tmp_path / "sheet.csv"
    path.write_text(EXAMPLE.read_text().replace(",15,", ",soon,").replace("yes", "x"))
    assert command.main(["pomelothread-sheet", "check", str(path)]) == 2
    assert "2 faults; nothing was used" in capsys.readouterr().err


class StatusHandler(tornado.web.RequestHandler):
    def initialize(self, version: int, digest: str) -> None:
        self.answer = {"sheet_version": version, "sheet_digest": digest}

    def get(self) -> None:
        self.write(self.answer | {"instance": "e1", "role": "entry", "state": "ready"})


async def command_in_thread(*arguments: str) -> int:
    return await asyncio.to_thread(command.main, ["pomelothread-sheet", *arguments])


def test_the_command_publishes_and_shows_where_the_sheet_is_in_force(
    capsys: pytest.CaptureFixture[str],
):
    async def main() -> None:
        service = LogService()
        log = f"--log={service.start()}"
        publish = ("publish", str(EXAMPLE), log, "--operator=asha", "--base=0")
        assert await command_in_thread(*publish) == 0
        assert await command_in_thread(*publish) == 0
        assert "nothing to publish" in capsys.readouterr().out
        replica = SheetReplica()
        for record in log_records(*service.topic("sheet").values):
            replica.apply(record)
        held = {"version": 1, "digest": replica.sheet.digest}
        stale = {"version": 0, "digest": ""}
        servers, nodes = [], []
        for answer in (held, stale):
            sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
            application = tornado.web.Application(
                [("/control/status", StatusHandler, answer)],
                log_function=lambda handler: None,
            )
            servers.append(tornado.httpserver.HTTPServer(application))
            servers[-1].add_sockets(sockets)
            nodes.append(f"127.0.0.1:{sockets[0].getsockname()[1]}")
        assert await command_in_thread("status", log, f"--nodes={nodes[0]}") == 0
        assert await command_in_thread("status", log, f"--nodes={','.join(nodes)}") == 1
        assert "version 0, not version 1" in capsys.readouterr().out
        for server in servers:
            server.stop()
        # A closed port does not answer.
        assert await command_in_thread("status", f"--nodes={nodes[0]}") == 1
        service.faults.down = True
        assert await command_in_thread(*publish, "--wait_s=0") == 1
        assert await command_in_thread("status", log) == 1
        await service.stop()

    asyncio.run(main())
