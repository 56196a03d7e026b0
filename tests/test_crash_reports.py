"""Only requests running when an upstream died are suspected of crashing it."""

import asyncio
from datetime import UTC, datetime

import pytest

from pomelothread.agent.crash_reports import PROBE_PERIOD_S, CrashReports
from pomelothread.clock import ManualClock
from pomelothread.log.memory import MemoryLog
from pomelothread.policy.crashes import CrashTracker

# For each case: in order, the requests running at each closed connection and the
# result of each probe of the upstream; then the expected suspects.
CASES = {
    "a closed connection": ([["a"], "alive"], ()),
    "a crash": ([["a", "b"], "dead"], ("a", "b")),
    "a crash seen by two cuts": ([["a", "b"], ["b"], "dead"], ("a", "b")),
    "a port that closes late": ([["a"], "alive", "dead"], ("a",)),
    "a closed connection, then a crash": ([["a"], "alive", ["b"], "dead"], ("b",)),
    "a crash, then another": ([["a"], "dead", ["b"], "dead"], ("a", "b")),
}


@pytest.mark.parametrize("case", CASES)
def test_a_request_that_was_cut_off_earlier_is_not_suspected(case):
    events, suspects = CASES[case]

    async def scenario():
        clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        probe_results = asyncio.Queue()
        crash_tracker = CrashTracker("agent-1")
        reports = CrashReports(
            crash_tracker,
            MemoryLog(clock),
            clock,
            lambda: probe_results.get(),
            lambda: None,
        )
        cut_tasks = []
        for event in events:
            if isinstance(event, list):
                cut_tasks.append(asyncio.ensure_future(reports.connection_cut(event)))
            else:
                probe_results.put_nowait(event == "dead")
            for _ in range(10):
                await asyncio.sleep(0)
            clock.advance(PROBE_PERIOD_S if event == "alive" else 0.0)
        for cut_task in cut_tasks:
            cut_task.cancel()
        return crash_tracker.suspects

    assert asyncio.run(scenario()) == suspects
