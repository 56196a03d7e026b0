"""Updates health, speed and crash records from the results of attempts."""

import asyncio
import logging

from ..addresses import Address
from ..clock import Clock
from ..events import Event, log_event
from ..http1.client import ConnectionPool, ExchangeFault
from ..policy.crashing_parts import MIN_RESPONDING_S
from ..policy.departures import UpstreamStart
from ..policy.repeats import (
    AttemptEnd,
    Broken,
    Declined,
    Delivered,
    Doubted,
    FailedResponse,
    Unsent,
    Withheld,
)
from ..policy.upstream_health import mean_failure_share
from .attempt import Attempt
from .crashes import CrashReporter
from .part_crashes import PartCrashReporter
from .state import GatewayState
from .upstreams import Upstream, UpstreamTable

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
    crashes : CrashReporter
        Notified of connections that were cut, of upstreams that refuse connections,
        and of requests that were served in whole.
    part_crashes : PartCrashReporter
        Notified of the first two, and of responses that show that parts of prompts are
        sound.
    state : GatewayState
        Starts the probes as background tasks.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        pool: ConnectionPool,
        crashes: CrashReporter,
        part_crashes: PartCrashReporter,
        state: GatewayState,
        clock: Clock,
    ) -> None:
        self._upstreams = upstreams
        self._pool = pool
        self._crashes = crashes
        self._part_crashes = part_crashes
        # Probe in progress of each upstream that has cut a connection; its result
        # tells whether the upstream has crashed.
        self._probes: dict[UpstreamStart, asyncio.Future[bool]] = {}
        self._state = state
        self._clock = clock
        self.n_probes = 0

    def record_end(self, attempt: Attempt, end: AttemptEnd, started_s: float) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        attempt : Attempt
            The attempt, with what is known of its response.
        end : AttemptEnd
            How the attempt ended.
        started_s : float
            Monotonic time at which the attempt began, before it had a connection.
        """
        job, upstream = attempt.job, attempt.lease.upstream
        now_s = self._clock.monotonic_s()
        match end:
            case Delivered() | Doubted():
                upstream.health.observe_success()
                if not job.route.is_streaming:
                    upstream.speed.observe_response(now_s - started_s)
                self._record_whole_response(attempt, now_s)
                return
            case Withheld():
                upstream.health.observe_cancelled()
                return
            case Unsent():
                self._record_refused_connection(upstream.listing.start, now_s)
                begins_rest = upstream.health.observe_failure(now_s, is_certain=True)
            case Broken(was_cut=True):
                self._record_cut_and_start_probe(attempt, now_s)
                begins_rest = self._observe_failure(upstream, now_s)
            case FailedResponse() if attempt.status == GATEWAY_TIMEOUT:
                # The upstream exceeded the time limit. This does not count as a
                # failure, but the time that it took is a measure of its speed.
                upstream.health.observe_cancelled()
                if not job.route.is_streaming:
                    upstream.speed.observe_response(now_s - started_s)
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

    async def has_crashed(self, start: UpstreamStart) -> bool:
        """Wait for the probe of an upstream that has cut a connection."""
        probe = self._probes.get(start)
        # Other requests wait for the same probe.
        return probe is not None and await asyncio.shield(probe)

    def _record_whole_response(self, attempt: Attempt, now_s: float) -> None:
        if attempt.has_certain_end:
            self._crashes.observe_served(attempt.job, attempt.sent_s)
            attempt.observe_sound_once(attempt.began_s or now_s)
        elif not attempt.is_known_sound:
            # A crash may have ended it.
            self._record_suspect(attempt, now_s)

    def _record_cut_and_start_probe(self, attempt: Attempt, now_s: float) -> None:
        """Record a lost connection, and probe whether the upstream has crashed."""
        job, listing = attempt.job, attempt.lease.upstream.listing
        start = attempt.process.start
        began_s = attempt.began_s
        log_event(
            _log,
            Event.RUNNING_REQUEST_CUT,
            upstream=listing.upstream_id,
            request_id=job.request_id,
            parts=",".join(job.facts.shared_parts),
            since_first_event_s=began_s and round(now_s - began_s, 3),
        )
        self._crashes.record_cut(job, start, now_s)
        if began_s is not None and now_s - began_s >= MIN_RESPONDING_S:
            attempt.observe_sound_once(began_s)
        else:
            self._record_suspect(attempt, now_s)
        result: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._probes[start] = result
        self._state.start(self._probe(listing.address, start, result))

    def _record_suspect(self, attempt: Attempt, now_s: float) -> None:
        self._part_crashes.record_cut(
            attempt.job, attempt.process.start, attempt.sent_s, now_s
        )

    async def _probe(
        self, address: Address, start: UpstreamStart, result: "asyncio.Future[bool]"
    ) -> None:
        # A successful connection goes to the pool, in place of the one that was lost.
        self.n_probes += 1
        has_crashed = False
        try:
            connection = await self._pool.connect(address)
            has_crashed = isinstance(connection, ExchangeFault)
        finally:
            self.n_probes -= 1
            if self._probes.get(start) is result:
                del self._probes[start]
            result.set_result(has_crashed)
        if isinstance(connection, ExchangeFault):
            self._record_refused_connection(start, self._clock.monotonic_s())
            return
        self._pool.release(address, connection)

    def _record_refused_connection(self, start: UpstreamStart, now_s: float) -> None:
        self._crashes.record_refused_connection(start, now_s)
        self._part_crashes.record_refused_connection(start, now_s)
