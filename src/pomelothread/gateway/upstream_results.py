"""What the ends of attempts tell about upstreams: health, speed, crashes."""

import logging

from ..clock import Clock
from ..events import Event, log_event
from ..http1.client import ConnectionPool, ExchangeFault
from ..policy.crash_guard import CrashGuard
from ..policy.repeats import (
    AttemptEnd,
    Broken,
    Declined,
    Delivered,
    FailedResponse,
    Unsent,
    Withheld,
)
from ..policy.upstream_health import mean_failure_share
from .crashes import CrashBook
from .jobs import Job
from .queue import Lease
from .state import GatewayState
from .upstreams import Upstream, UpstreamListing, UpstreamTable

_log = logging.getLogger(__name__)

# Status of an upstream that has used up the time which it was given.
TIMED_OUT = 504


class UpstreamResults:
    """Judges upstreams by the ends of the attempts of this process.

    Parameters
    ----------
    upstreams : UpstreamTable
        Tells how often others of a service fail.
    pool : ConnectionPool
        Connections to upstreams.
    crash_guard : CrashGuard
        Learns which requests crash upstreams.
    crashes : CrashBook
        Learns of upstreams that do not listen.
    state : GatewayState
        Starts checks.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        pool: ConnectionPool,
        crash_guard: CrashGuard,
        crashes: CrashBook,
        state: GatewayState,
        clock: Clock,
    ) -> None:
        self._upstreams = upstreams
        self._pool = pool
        self._crash_guard = crash_guard
        self._crashes = crashes
        self._state = state
        self._clock = clock
        self.n_checks = 0

    def note_end(
        self, lease: Lease, end: AttemptEnd, sent_s: float, job: Job, status: int
    ) -> None:
        """Learn from the end of an attempt.

        Parameters
        ----------
        lease : Lease
            Where the request was sent.
        end : AttemptEnd
            How the attempt ended.
        sent_s : float
            Monotonic time at which it began.
        job : Job
            The request.
        status : int
            Of the response, or 0 without one.
        """
        upstream, now_s = lease.upstream, self._clock.monotonic_s()
        match end:
            case Delivered():
                upstream.health.observe_success()
                if not job.route.is_streaming:
                    upstream.speed.observe_response(now_s - sent_s)
                return
            case Withheld():
                upstream.health.observe_cancelled()
                return
            case Unsent():
                self._crashes.note_refused_connection(
                    upstream.listing.upstream_id, now_s
                )
                rests = upstream.health.observe_failure(now_s, is_certain=True)
            case Broken(was_cut=True):
                self._note_cut(job, lease, now_s)
                rests = self._observe_failure(upstream, now_s)
            case FailedResponse() if status == TIMED_OUT:
                # The upstream ran out of the time that it was given, which tells
                # how slow it is and not that it fails.
                upstream.health.observe_cancelled()
                if not job.route.is_streaming:
                    upstream.speed.observe_response(now_s - sent_s)
                return
            case Declined() | FailedResponse() | Broken():
                rests = self._observe_failure(upstream, now_s)
        if not rests:
            return
        log_event(
            _log,
            Event.UPSTREAM_RESTS,
            upstream=upstream.listing.upstream_id,
            rest_s=round(upstream.health.rests_until_s - now_s, 3),
            n_failures=upstream.health.n_failures_in_row,
        )

    def _observe_failure(self, upstream: Upstream, now_s: float) -> bool:
        others_share = mean_failure_share(
            other.health
            for other in self._upstreams.of_service(upstream.listing.service)
            if other is not upstream
        )
        return upstream.health.observe_failure(now_s, others_share=others_share)

    def _note_cut(self, job: Job, lease: Lease, now_s: float) -> None:
        """Find out whether an upstream has crashed or only lost a connection."""
        listing = lease.upstream.listing
        self._crash_guard.note_cut(job.fingerprint, listing.upstream_id, now_s)
        self._state.start(self._check_listens(listing))

    async def _check_listens(self, listing: UpstreamListing) -> None:
        # The connection takes the place of the one that was lost.
        self.n_checks += 1
        try:
            connection = await self._pool.connect(listing.address)
        finally:
            self.n_checks -= 1
        if isinstance(connection, ExchangeFault):
            now_s = self._clock.monotonic_s()
            self._crashes.note_refused_connection(listing.upstream_id, now_s)
            return
        self._pool.release(listing.address, connection)
