"""Periodic checks of an agent's places, grants and upstream."""

import asyncio
import logging
from collections.abc import Callable

from ..clock import Clock
from ..events import Event, log_event
from ..upstreams.health import UpstreamHealth
from ..upstreams.load_report import LoadReportPoller
from .dispatcher import Dispatcher
from .grants import Grants
from .places import Reply

_logger = logging.getLogger(__name__)

# A stalled engine is detected within two checks after 80 ms of silence.
CHECK_PERIOD_S = 0.05
# A paused upstream still responds once it resumes, so overdue requests are cancelled
# only if its health check has failed for much longer than pauses last.
UPSTREAM_DOWN_TIMEOUT_S = 30.0


class PlaceMonitor:
    """Expires grants, detects a stalled upstream, and applies load reports.

    Parameters
    ----------
    grants : Grants
        Grants of places at the upstream.
    dispatcher : Dispatcher
        Knows the requests running at the upstream.
    load : LoadReportPoller
        Reports of the engine about its queue.
    health : UpstreamHealth
        Whether the upstream answers its health check.
    send_replies : callable
        Sends the control messages that result from a freed place.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = (
        "_clock",
        "_dispatcher",
        "_grants",
        "_health",
        "_last_report_at_s",
        "_last_up_at_s",
        "_load",
        "_n_places_logged",
        "_send_replies",
    )

    def __init__(
        self,
        grants: Grants,
        dispatcher: Dispatcher,
        load: LoadReportPoller,
        health: UpstreamHealth,
        send_replies: Callable[[list[Reply]], None],
        clock: Clock,
    ) -> None:
        self._grants = grants
        self._dispatcher = dispatcher
        self._load = load
        self._health = health
        self._send_replies = send_replies
        self._clock = clock
        self._last_report_at_s = 0.0
        self._n_places_logged = grants.limit.n_places
        self._last_up_at_s = clock.monotonic_s()

    async def run(self) -> None:
        """Check every `CHECK_PERIOD_S` until the task is cancelled."""
        while True:
            self.check()
            await self._clock.sleep(CHECK_PERIOD_S)

    def check(self) -> None:
        """Run all checks once."""
        now_s = self._clock.monotonic_s()
        self._observe_upstream(now_s)
        self._send_replies(self._grants.expire())
        self._log_places()
        if self._health.is_up:
            self._last_up_at_s = now_s
        elif now_s - self._last_up_at_s > UPSTREAM_DOWN_TIMEOUT_S:
            self._dispatcher.cancel_overdue()

    def _observe_upstream(self, now_s: float) -> None:
        limit = self._grants.limit
        dispatcher = self._dispatcher
        limit.is_straggling(now_s, dispatcher.n_streaming, dispatcher.n_prefilling)
        report = self._load.latest
        if report is not None and report.received_s > self._last_report_at_s:
            self._last_report_at_s = report.received_s
            limit.observe_engine_queue(report.n_waiting, now_s)

    def _log_places(self) -> None:
        """Log large changes only; changes by one place are too frequent."""
        limit = self._grants.limit
        before = self._n_places_logged
        if before / 2 < limit.n_places < before * 2:
            return
        log_event(
            _logger,
            Event.PLACE_LIMIT_CHANGED,
            n_places_before=before,
            n_places=limit.n_places,
            token_gap_s=round(limit.recent_gap_s, 4),
        )
        self._n_places_logged = limit.n_places


async def wait_until_idle(grants: Grants, clock: Clock, poll_s: float) -> None:
    """Wait until nothing runs and no grant is open.

    Parameters
    ----------
    grants : Grants
        Must be closed, so that it makes no new grants.
    clock : Clock
        For the delay between checks.
    poll_s : float
        Seconds between checks.
    """
    while grants.n_taken:
        grants.expire()
        await clock.sleep(poll_s)
    # Let the handlers of the last requests write the end of their responses.
    await asyncio.sleep(0)
