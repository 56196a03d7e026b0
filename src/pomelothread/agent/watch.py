"""Watching the places of an agent between the events that change them."""

import asyncio
import logging
from collections.abc import Callable

from ..clock import Clock
from ..events import Event, log_event
from ..upstreams.health import UpstreamHealth
from ..upstreams.load_report import LoadReports
from .dispatcher import Dispatcher
from .grants import Grants
from .places import Reply

_logger = logging.getLogger(__name__)

# A stalled engine is noticed within two looks after 80 ms of silence.
PERIOD_S = 0.05
# A paused upstream that resumes still delivers, so late requests are given up
# only when its health check has failed for much longer than pauses last.
UPSTREAM_SILENCE_S = 30.0


class PlaceWatch:
    """Expires grants, notices a stalled upstream, and takes in load reports.

    Parameters
    ----------
    grants : Grants
        The places.
    dispatcher : Dispatcher
        What runs at the upstream.
    load : LoadReports
        What the engine says about its queue.
    health : UpstreamHealth
        Whether the upstream answers its health check.
    send_replies : callable
        Sends the control messages that follow from a freed place.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = (
        "_clock",
        "_dispatcher",
        "_grants",
        "_health",
        "_last_report_s",
        "_load",
        "_n_places_logged",
        "_send_replies",
        "_up_at_s",
    )

    def __init__(
        self,
        grants: Grants,
        dispatcher: Dispatcher,
        load: LoadReports,
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
        self._last_report_s = 0.0
        self._n_places_logged = grants.limit.n_places
        self._up_at_s = clock.monotonic_s()

    async def run(self) -> None:
        """Look every `PERIOD_S` until the task is cancelled."""
        while True:
            self.look()
            await self._clock.sleep(PERIOD_S)

    def look(self) -> None:
        """Look once."""
        now_s = self._clock.monotonic_s()
        self._observe_upstream(now_s)
        self._send_replies(self._grants.expire())
        self._log_places()
        if self._health.is_up:
            self._up_at_s = now_s
        elif now_s - self._up_at_s > UPSTREAM_SILENCE_S:
            self._dispatcher.give_up_late()

    def _observe_upstream(self, now_s: float) -> None:
        limit = self._grants.limit
        dispatcher = self._dispatcher
        limit.is_straggling(now_s, dispatcher.n_streaming, dispatcher.n_prefilling)
        report = self._load.latest
        if report is not None and report.received_s > self._last_report_s:
            self._last_report_s = report.received_s
            limit.observe_engine_queue(report.n_waiting, now_s)

    def _log_places(self) -> None:
        """Log large changes; steps of one place happen all the time."""
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
        Must be closed, so that there are no new grants.
    clock : Clock
        For the delay between looks.
    poll_s : float
        Seconds between looks.
    """
    while grants.n_taken:
        grants.expire()
        await clock.sleep(poll_s)
    # Let the last handlers write the end of their responses.
    await asyncio.sleep(0)
