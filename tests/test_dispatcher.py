"""The agent's dispatcher against an upstream that never answers."""

import asyncio
from datetime import UTC, datetime

import pytest
from opentelemetry.trace import NoOpTracer
from test_grants import AGENT, make_offer

from pomelothread.agent.dispatcher import Dispatcher
from pomelothread.agent.grants import Grants
from pomelothread.agent.rates import UpstreamRates
from pomelothread.clock import ManualClock
from pomelothread.operators.sheet import Service, Sheet
from pomelothread.outcomes import NotKnown, Reason
from pomelothread.peers.dispatch import Dispatch
from pomelothread.peers.http_exchange import Cancelled
from pomelothread.policy.crashes import CrashTracker
from pomelothread.policy.places import ConcurrencyLimit


class SilentExchange:
    """An exchange that was sent and gets no response until it is cancelled."""

    def __init__(self):
        self.end = None
        self._ended = asyncio.get_running_loop().create_future()

    async def head(self):
        return await self._ended

    def cancel(self):
        self.end = Cancelled(was_sent=True)
        self._ended.set_result(self.end)


class SilentClient:
    def open_exchange(self, *arguments, **options):
        return SilentExchange()


@pytest.mark.parametrize(
    ("passed_s", "expected"),
    [(9.0, None), (11.0, NotKnown)],
)
def test_only_a_late_request_is_given_up_and_its_caller_told_not_known(
    passed_s, expected
):
    async def scenario():
        clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        grants = Grants(AGENT, ConcurrencyLimit(1, 1, 1, 1000, 0.041, 0.0), clock)
        dispatcher = Dispatcher(
            grants,
            None,
            CrashTracker(AGENT),
            SilentClient(),
            "http://127.0.0.1:1",
            clock,
            NoOpTracer(),
            UpstreamRates(),
            lambda replies: None,
            None,
        )
        service = Service("draft", "drafting", "low", "model", 10.0)
        dispatcher.sheet = Sheet(version=1, services={"draft": service})
        grant = grants.offer(make_offer("r1"))[0].message.grant
        dispatch = Dispatch(
            "r1", grant, AGENT, "draft", "club", "POST", "/", "", "", False
        )
        task = asyncio.ensure_future(
            dispatcher.dispatch(dispatch, {}, b"", None, lambda running: None)
        )
        await asyncio.sleep(0)
        clock.advance(passed_s)
        dispatcher.cancel_overdue()
        for _ in range(5):
            await asyncio.sleep(0)
        outcome = task.result() if task.done() else None
        task.cancel()
        return outcome

    outcome = asyncio.run(scenario())
    if expected is None:
        assert outcome is None
    else:
        assert outcome.reason is Reason.UPSTREAM_SILENT
