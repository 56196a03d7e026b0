"""Updates health, speed and crash records from the results of attempts."""

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
from .crashes import CrashReporter
from .jobs import Job
from .queue import Lease
from .state import GatewayState
from .upstreams import Upstream, UpstreamListing, UpstreamTable

_log = logging.getLogger(__name__)

# Status of a response by which an upstream reports that it exceeded the time limit that
# was sent with the request.
GATEWAY_TIMEOUT = 504


class UpstreamResults:
    """Records the results of this process's attempts at upstreams.

    Parameters
    ----------
    upstreams : UpstreamTable
        Source of the failure rates of a service's other upstreams.
    pool : ConnectionPool
        Connections to upstreams.
    crash_guard : CrashGuard
        Notified of connections that were cut, with the request's fingerprint.
    crashes : CrashReporter
        Notified of upstreams that refuse connections.
    state : GatewayState
        Starts the probes as background tasks.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        pool: ConnectionPool,
        crash_guard: CrashGuard,
        crashes: CrashReporter,
        state: GatewayState,
        clock: Clock,
    ) -> None:
        self._upstreams = upstreams
        self._pool = pool
        self._crash_guard = crash_guard
        self._crashes = crashes
        self._state = state
        self._clock = clock
        self.n_probes = 0

    def record_end(
        self,
        lease: Lease,
        end: AttemptEnd,
        sent_s: float,
        job: Job,
        status: int,
        first_event_s: float | None,
    ) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        lease : Lease
            Slot that the attempt used.
        end : AttemptEnd
            How the attempt ended.
        sent_s : float
            Monotonic time at which the attempt began.
        job : Job
            The request.
        status : int
            Status code of the response, or 0 without one.
        first_event_s : float or None
            Seconds from `sent_s` to the first event of the response; None without one.
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
                self._crashes.record_refused_connection(
                    upstream.listing.upstream_id, now_s
                )
                begins_rest = upstream.health.observe_failure(now_s, is_certain=True)
            case Broken(was_cut=True):
                since_first_s = None
                if first_event_s is not None:
                    since_first_s = now_s - sent_s - first_event_s
                self._record_cut_and_start_probe(job, lease, now_s, since_first_s)
                begins_rest = self._observe_failure(upstream, now_s)
            case FailedResponse() if status == GATEWAY_TIMEOUT:
                # The upstream exceeded the time limit. This does not count as a
                # failure, but the time that it took is a measure of its speed.
                upstream.health.observe_cancelled()
                if not job.route.is_streaming:
                    upstream.speed.observe_response(now_s - sent_s)
                return
            case Declined() | FailedResponse() | Broken():
                begins_rest = self._observe_failure(upstream, now_s)
        if not begins_rest:
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

    def _record_cut_and_start_probe(
        self, job: Job, lease: Lease, now_s: float, since_first_s: float | None
    ) -> None:
        """Record a lost connection, and probe whether the upstream has crashed."""
        listing = lease.upstream.listing
        log_event(
            _log,
            Event.RUNNING_REQUEST_CUT,
            upstream=listing.upstream_id,
            request_id=job.request_id,
            parts=",".join(job.facts.shared_parts),
            since_first_event_s=since_first_s and round(since_first_s, 3),
        )
        self._crash_guard.record_cut(job.fingerprint, listing.upstream_id, now_s)
        self._state.start(self._probe(listing))

    async def _probe(self, listing: UpstreamListing) -> None:
        # A successful connection goes to the pool, in place of the one that was lost.
        self.n_probes += 1
        try:
            connection = await self._pool.connect(listing.address)
        finally:
            self.n_probes -= 1
        if isinstance(connection, ExchangeFault):
            now_s = self._clock.monotonic_s()
            self._crashes.record_refused_connection(listing.upstream_id, now_s)
            return
        self._pool.release(listing.address, connection)
