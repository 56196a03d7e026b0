"""Only what ran when an upstream died is suspected of having crashed it."""

import asyncio
from datetime import UTC, datetime

import pytest

from pomelothread.agent.crash_reports import PROBE_PERIOD_S, CrashReports
from pomelothread.clock import ManualClock
from pomelothread.log.memory import MemoryLog
from pomelothread.policy.crashes import CrashBook

# Cuts and what a look at the upstream shows, in order, and who is suspected.
EVENTS = {
    "a closed connection": ([["a"], "alive"], ()),
    "a crash": ([["a", "b"], "dead"], ("a", "b")),
    "a crash seen by two cuts": ([["a", "b"], ["b"], "dead"], ("a", "b")),
    "a port that closes late": ([["a"], "alive", "dead"], ("a",)),
    "a closed connection, then a crash": ([["a"], "alive", ["b"], "dead"], ("b",)),
    "a crash, then another": ([["a"], "dead", ["b"], "dead"], ("a", "b")),
}


@pytest.mark.parametrize("case", EVENTS)
def test_a_request_that_was_cut_off_earlier_is_not_suspected(case):
    events, suspects = EVENTS[case]

    async def scenario():
        clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        looks = asyncio.Queue()
        book = CrashBook("agent-1")
        reports = CrashReports(
            book,
            MemoryLog(clock),
            clock,
            lambda: looks.get(),
            lambda: None,
        )
        cuts = []
        for event in events:
            if isinstance(event, list):
                cuts.append(asyncio.ensure_future(reports.connection_cut(event)))
            else:
                looks.put_nowait(event == "dead")
            for _ in range(10):
                await asyncio.sleep(0)
            clock.advance(PROBE_PERIOD_S if event == "alive" else 0.0)
        for cut in cuts:
            cut.cancel()
        return book.suspects

    assert asyncio.run(scenario()) == suspects
