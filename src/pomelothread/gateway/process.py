"""The gateway process: starts its tasks, serves callers and shuts down gracefully."""

import asyncio
import logging
import random
import secrets
import signal
import socket
import zlib
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from returns.result import Failure, Success

from ..addresses import Address
from ..clock import Clock
from ..events import Event, log_event
from ..http1.byte_stream import ByteStream
from ..http1.client import ConnectionPool
from ..http1.messages import Request
from ..http1.server import CallerConnection, Handler, Responder, ServerLimits
from ..metrics import CONTENT_TYPE
from ..policy.crash_guard import CrashGuard
from ..policy.crashing_parts import CrashingParts, Verdict
from ..policy.feed_sharing import FeedWatch, ReadingTimes
from ..policy.quotas import QuotaTracker
from ..policy.store_calls import call_times
from ..policy.stream_versions import StreamVersions
from .admission import Admission
from .configuration import Configuration
from .coordinator_choice import CoordinatorChoice
from .crashes import CRASH_FEED_POLL_S, CrashReporter
from .feeds import (
    CONFIGURATION_DUE_SHARES,
    LISTING_DUE_SHARES,
    Follower,
    KeyedRecord,
)
from .forwarding import Forwarder
from .jobs import Job
from .listings import ListingSync
from .metrics import GatewayMetrics
from .part_crashes import PartCrashReporter
from .peers import PeerTable
from .permits import PermitExchange
from .platform_link import PlatformAdapter
from .queue import UpstreamQueue
from .quota_notes import QuotaNotes
from .reports import Reporter
from .response_ends import ResponseEnds
from .settings import GatewaySettings
from .state import GatewayState
from .store_epoch import StoreEpoch
from .stream_log import StreamLog
from .stream_versions import StreamVersionExchange
from .supervision import keep_running, on_callback_error, stop_process
from .upstream_results import UpstreamResults
from .upstreams import Upstream, UpstreamTable
from .version_history import VersionHistory

_log = logging.getLogger(__name__)

# The load balancer checks readiness once a second and still sends connections during
# two checks after SIGTERM.
DRAIN_ACCEPT_S = 2.6
# How long the connections that were accepted last have to send their request.
LAST_READ_S = 0.25
# The process ends this long before SIGKILL.
STOP_MARGIN_S = 0.4
# Time for sending the answers to requests that are still open then.
LAST_ANSWERS_S = 0.3
HOUSEKEEPING_S = 0.5
# A process that has just started may not know of the gateways before it.
MIN_UPTIME_TO_TRY_S = 10.0
# When the store returns from a copy, all gateways read all feeds in full. With this
# many gateways a second, they stay below the limit of the store's reads.
FULL_READERS_PER_S = 300.0
# Time for which each gateway leaves the writing of records that the store has lost to
# the one before it, and the maximum number of these times.
REWRITE_DELAY_S = 1.0
MAX_REWRITE_DELAYS = 8
METRICS_PATH = b"/metrics"
LISTEN_BACKLOG = 1_024


MakeAdapter = Callable[
    [GatewaySettings, ConnectionPool, Callable[[int], None]], PlatformAdapter
]


class Gateway:
    """One gateway process.

    Parameters
    ----------
    settings : GatewaySettings
        Of the process.
    clock : Clock
        Source of time.
    make_adapter : callable
        Returns the adapter of the platform.
    callers_listener : socket.socket or None
        Listening socket for callers, if one is open already.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        make_adapter: MakeAdapter,
        callers_listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._callers_listener = callers_listener
        self._clock = clock
        self._incarnation = secrets.token_hex(4)
        self._state = GatewayState(settings)
        self._state.start = self._start
        self._upstreams = UpstreamTable(settings.region, settings.regions)
        self._pool = ConnectionPool(clock)
        store_pool = ConnectionPool(clock, settings.store_times.connect_s)
        self._store_epoch = StoreEpoch()
        self._adapter = make_adapter(
            settings,
            store_pool,
            partial(self._store_epoch.observe, source="an answer of the store"),
        )
        self._random = random_source = random.Random()
        self.metrics = GatewayMetrics(clock)
        self._queue = UpstreamQueue(self._upstreams, clock, random_source)
        self._crashes = CrashReporter(CrashGuard(), self._adapter.append_crash, clock)
        self._part_crashes = PartCrashReporter(
            CrashingParts(), self._adapter.append_part_crash, clock, random_source
        )
        self._crashes.may_try = self._may_try
        self._part_crashes.may_try = self._may_try
        self._crashes.rewrite_delay_s = self._rewrite_delay_s
        self._part_crashes.rewrite_delay_s = self._rewrite_delay_s
        self._queue.verdict_on = self._verdict_on_waiting
        self._quotas = QuotaTracker(settings.quota_tolerance, clock.monotonic_s())
        self._quota_notes = QuotaNotes(
            settings.instance,
            self._quotas,
            self._adapter.quota_notes,
            self._adapter.append_quota_note,
            settings.quota_tolerance.window_s,
            clock,
            self._store_epoch,
            random_source,
        )
        self._peers = PeerTable(settings.peer_address, clock)
        versions = StreamVersions()
        self._version_history = VersionHistory(
            versions,
            self._adapter.software_versions,
            self._adapter.append_software_versions,
            self._peers,
            clock,
            self._store_epoch,
        )
        self._streams = StreamVersionExchange(
            self._upstreams, self._peers, versions, self._version_history, clock
        )
        self._results = UpstreamResults(
            self._upstreams,
            self._pool,
            self._crashes,
            self._part_crashes,
            self._state,
            clock,
        )
        self._ends = ResponseEnds(self._pool, self._adapter.dialect, self._state, clock)
        self._forwarder = Forwarder(
            self._state,
            self._adapter.dialect,
            self._pool,
            self._queue,
            self._upstreams,
            Admission(
                self._state,
                self._quotas,
                self._crashes,
                self._part_crashes,
                clock,
                random_source,
            ),
            self.metrics,
            self._results,
            self._part_crashes,
            self._streams,
            StreamLog(self.metrics, clock, lambda: self._listing_watch.as_of_s),
            self._ends,
            clock,
            random_source,
        )
        self._coordinators = CoordinatorChoice(self._peers, clock)
        self._permits = PermitExchange(
            self._incarnation,
            self._upstreams,
            self._queue,
            self._coordinators,
            self.metrics,
            clock,
        )
        self._reporter = Reporter(
            self._incarnation,
            self._upstreams,
            self._queue,
            self._quotas,
            self._crashes,
            self._peers,
            self._state,
            clock,
            random_source,
        )
        self._reporter.share_permits(self._permits, self._coordinators)
        self._reporter.share_part_crashes(self._part_crashes)
        self._reporter.share_store_epoch(self._store_epoch)
        self._reporter.share_streams(self._streams)
        self._configuration_watch = FeedWatch(
            _reading_times(CONFIGURATION_DUE_SHARES, settings.configuration_bound_s)
        )
        self._listing_watch = FeedWatch(
            _reading_times(LISTING_DUE_SHARES, settings.leaving_bound_s)
        )
        self._listings = ListingSync(
            self._upstreams,
            clock,
            self._adapter.decode_listing,
            self._on_listing,
            lambda: self._listing_watch.store_recovered_at_s,
        )
        self._store_epoch.on_rise(self._listings.record_epoch)
        self._connections: set[CallerConnection] = set()
        # Also includes streams whose written data is not fully sent yet.
        self._open_streams: set[ByteStream] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_s = clock.monotonic_s()
        self._stopping = asyncio.Event()
        self._is_ready = False
        self.is_listening = False
        self._set_gauges()

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for an upstream."""
        return self._queue.n_waiting

    @property
    def configuration_version(self) -> int | None:
        """Version of the configuration in force."""
        configuration = self._state.configuration
        return configuration.version if configuration else None

    @property
    def n_peers(self) -> int:
        """Number of other gateways that are not silent."""
        return len(self._peers)

    @property
    def n_probes(self) -> int:
        """Number of checks in progress whether an upstream accepts connections."""
        return self._results.n_probes

    def n_running_at(self, upstream_id: str) -> int:
        """Return the number of requests that all gateways run at an upstream."""
        upstream = self._upstreams.get(upstream_id)
        return upstream.n_all_running if upstream else 0

    def is_leaving(self, upstream_id: str) -> bool:
        """Tell whether an upstream is known to be leaving or gone."""
        upstream = self._upstreams.get(upstream_id)
        return upstream is None or upstream.is_leaving

    def listed_start_ms(self, upstream_id: str) -> int | None:
        """Return the listed start of an upstream in Unix milliseconds."""
        upstream = self._upstreams.get(upstream_id)
        return upstream.listing.started_ms if upstream else None

    def version_of_stream(self, stream_id: str) -> str | None:
        """Return the software version at which a stream is known to have begun."""
        now_s = self._clock.monotonic_s()
        software = self._streams.versions.began_at(stream_id, now_s)
        return software.version if software else None

    def rate_limit_per_s(self, upstream_id: str) -> float | None:
        """Return the requests a second that an upstream takes; None if unlimited."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return None
        return self._upstreams.rate_limit_per_s(upstream.listing.start)

    def stop(self) -> None:
        """Start the graceful shutdown, as SIGTERM does."""
        self._stopping.set()

    async def run(self) -> int:
        """Serve until SIGTERM; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(on_callback_error)
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        # SIGHUP is ignored: settings are read only at the start, as the addresses of a
        # process do not change.
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        self._introduce_seeds()
        peer_address = self._settings.peer_address
        await loop.create_datagram_endpoint(
            lambda: self._reporter.link, (peer_address.host, peer_address.port)
        )
        log_event(
            _log,
            Event.GATEWAY_STARTED,
            incarnation=self._incarnation,
            callers_address=self._settings.callers_address,
            store_address=self._settings.store_address,
        )
        callers = await self._listen(
            self._settings.callers_address,
            self._forwarder.handle,
            lambda: self._state.limits,
            self._callers_listener,
        )
        admin = [
            await self._listen(address, self._answer_admin, ServerLimits)
            for address in self._settings.admin_addresses
        ]
        self.is_listening = True
        for follower in self._followers():
            self._start(keep_running(follower.run, self._clock))
            self._store_epoch.on_rise(partial(self._schedule_full_read, follower))
        run_quota_notes = partial(
            self._quota_notes.run,
            self._state.configuration_received,
            self._state.startup_complete,
        )
        for run in (
            run_quota_notes,
            self._version_history.run,
            self._reporter.run,
            self._permits.run,
            self._housekeeping,
        ):
            self._start(keep_running(run, self._clock))
        try:
            await self._stopping.wait()
            await self._drain(callers)
        finally:
            callers.close()
            for server in admin:
                server.close()
            self._reporter.link.close()
            for task in self._tasks:
                task.cancel()
        log_event(_log, Event.GATEWAY_STOPPED, n_open=self._state.n_open)
        return 0

    def _introduce_seeds(self) -> None:
        for seed in self._settings.seed_addresses:
            self._peers.add_or_refresh(seed)

    def _set_gauges(self) -> None:
        metrics = self.metrics
        metrics.waiting.labels().set_function(lambda: self._queue.n_waiting)
        metrics.open.labels().set_function(lambda: self._state.n_open)
        metrics.limited_upstreams.labels().set_function(
            lambda: len(self._upstreams.limited())
        )
        metrics.refused_parts.labels().set_function(
            lambda: self._part_crashes.n_refused
        )
        metrics.peers.labels().set_function(lambda: len(self._peers))
        metrics.configuration.labels().set_function(
            lambda: self.configuration_version or 0
        )
        metrics.store_epoch.labels().set_function(
            lambda: self._store_epoch.current or 0
        )

    def _followers(self) -> tuple[Follower, ...]:
        configurations = Follower(
            "configuration",
            self._adapter.configurations,
            self._clock,
            apply_all=self._apply_configurations,
            apply=self._apply_configuration,
            wait_s=call_times(self._settings.configuration_bound_s).wait_s,
            watch=self._configuration_watch,
            digest=lambda: self._state.versions.digest,
            on_read=self._queue.load_changed.set,
            store_epoch=self._store_epoch,
        )
        listings = Follower(
            "upstreams",
            self._adapter.listings,
            self._clock,
            apply_all=self._listings.apply_all,
            apply=self._listings.apply,
            wait_s=0.0,
            watch=self._listing_watch,
            digest=self._listings.digest,
            on_read=self._queue.load_changed.set,
            store_epoch=self._store_epoch,
        )
        self._upstreams.on_outdated = listings.wake
        self._reporter.share_feeds(
            (self._configuration_watch, configurations.wake),
            (self._listing_watch, listings.wake),
        )
        crashes = Follower(
            "crashes",
            self._adapter.crashes,
            self._clock,
            apply_all=self._crashes.apply_all,
            apply=self._crashes.apply,
            wait_s=CRASH_FEED_POLL_S,
            store_epoch=self._store_epoch,
        )
        part_crashes = Follower(
            "part crashes",
            self._adapter.part_crashes,
            self._clock,
            apply_all=self._part_crashes.apply_all,
            apply=self._part_crashes.apply,
            wait_s=CRASH_FEED_POLL_S,
            store_epoch=self._store_epoch,
        )
        return configurations, listings, crashes, part_crashes

    def _rewrite_delay_s(self) -> float:
        """Return the seconds for which gateways before this one may write first."""
        return REWRITE_DELAY_S * min(self._peers.rank, MAX_REWRITE_DELAYS)

    def _schedule_full_read(self, follower: Follower) -> None:
        """Let a feed be read in full soon, at another moment than other gateways."""
        delay_s = self._random.random() * self._state.n_gateways / FULL_READERS_PER_S
        asyncio.get_running_loop().call_later(delay_s, follower.follow_epoch)

    def _verdict_on_waiting(self, job: Job) -> Verdict:
        """Decide whether a request that waits may be sent."""
        if self._crashes.verdict_on(job) is Verdict.REFUSED:
            return Verdict.REFUSED
        return self._part_crashes.verdict_on(job)

    def _may_try(self) -> bool:
        """Return whether this gateway tries what is refused for the whole fleet."""
        uptime_s = self._clock.monotonic_s() - self._started_s
        is_first = self._peers.rank == 0 and self._peers.cell == 0
        return is_first and uptime_s >= MIN_UPTIME_TO_TRY_S

    def _apply_configurations(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            self._apply_configuration(record)

    def _apply_configuration(self, record: KeyedRecord) -> None:
        if record.key != self._adapter.configuration_key or record.value is None:
            return
        match self._adapter.decode_configuration(record.value):
            case Success(Configuration() as configuration):
                digest = zlib.crc32(record.value)
                epoch = self._store_epoch.current or 0
                if self._state.accept(configuration, digest, epoch):
                    self._apply_quotas(configuration)
                    self._queue.assign_all_slots()
            case Failure(detail):
                log_event(
                    _log,
                    Event.CONFIGURATION_IGNORED,
                    configuration_version=None,
                    detail=detail,
                )

    def _apply_quotas(self, configuration: Configuration) -> None:
        for organisation in configuration.organisations:
            self._quotas.set_quota(
                organisation.name, organisation.units_per_s, organisation.burst_units
            )
        self._quotas.keep_only({o.name for o in configuration.organisations})

    def _on_listing(self, gone: tuple[Upstream, ...]) -> None:
        for upstream in gone:
            self._pool.close_idle(upstream.listing.address)
        self._streams.observe_listed()
        self._queue.assign_all_slots()

    async def _listen(
        self,
        address: Address,
        handle: Handler,
        limits: Callable[[], ServerLimits],
        listener: socket.socket | None = None,
    ) -> asyncio.Server:
        loop = asyncio.get_running_loop()

        def make_stream() -> ByteStream:
            stream = ByteStream()
            connection = CallerConnection(
                stream, handle, limits, lambda: self._state.is_draining
            )
            self._connections.add(connection)
            self._open_streams.add(stream)
            stream.closed.add_done_callback(
                lambda _: self._open_streams.discard(stream)
            )
            task = self._start(self._serve(connection, stream))
            task.add_done_callback(lambda _: self._connections.discard(connection))
            return stream

        if listener is not None:
            return await loop.create_server(
                make_stream, sock=listener, backlog=LISTEN_BACKLOG
            )
        return await loop.create_server(
            make_stream, address.host, address.port, backlog=LISTEN_BACKLOG
        )

    async def _answer_admin(self, request: Request, responder: Responder) -> None:
        if request.target == self._adapter.readiness_path:
            status = 200 if self._check_ready() else 503
            responder.respond(status, (), b"")
            return
        if request.target == METRICS_PATH:
            content_type = (b"content-type", CONTENT_TYPE.encode())
            responder.respond(200, (content_type,), self.metrics.render())
            return
        responder.respond(404, (), b"")

    def _check_ready(self) -> bool:
        configuration = self._state.usable_configuration
        is_ready = (
            not self._state.is_draining
            and configuration is not None
            and self._listings.has_been_read
            and len(self._upstreams) > 0
        )
        if is_ready and not self._is_ready:
            log_event(
                _log,
                Event.GATEWAY_READY,
                configuration_version=configuration and configuration.version,
                n_upstreams=len(self._upstreams),
            )
        self._is_ready = is_ready
        return is_ready

    async def _housekeeping(self) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_S)
            self._listings.remove_expired()
            self._streams.observe_listed()
            # A seed that was silent for too long was removed from the peers.
            self._introduce_seeds()
            self._pool.close_expired()
            self._ends.forget_unlisted(self._upstreams)

    async def _drain(self, callers: asyncio.Server) -> None:
        """Report not ready, accept requests for a while, finish them, then close."""
        started_s = self._clock.monotonic_s()
        self._state.is_draining = True
        self._coordinators.is_draining = True
        self._reporter.report_soon()
        log_event(
            _log,
            Event.GATEWAY_DRAINING,
            n_waiting=self._queue.n_waiting,
            n_open=self._state.n_open,
        )
        await self._clock.sleep(DRAIN_ACCEPT_S)
        self._state.refuses_new = True
        # What has not been sent by now might not end in time; other gateways serve it.
        self._queue.refuse_unsent()
        deadline_s = started_s + self._settings.grace_s - STOP_MARGIN_S
        while self._clock.monotonic_s() < deadline_s - LAST_ANSWERS_S:
            if self._state.n_open == 0:
                break
            await self._clock.sleep(0.05)
        self._forwarder.end_open_requests()
        callers.close()
        await self._clock.sleep(LAST_READ_S)
        for connection in self._connections:
            connection.close_if_idle()
        # Requests that are being read are answered, and responses are sent in full.
        while self._open_streams and self._clock.monotonic_s() < deadline_s:
            await self._clock.sleep(0.02)

    async def _serve(self, connection: CallerConnection, stream: ByteStream) -> None:
        """Serve one connection; an unexpected error closes only this one."""
        try:
            await connection.serve()
        except Exception as error:
            log_event(_log, Event.CONNECTION_BROKEN, exc_info=error, detail=repr(error))
            stream.close()

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_end)
        return task

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            stop_process(error)


def _reading_times(shares: tuple[float, float, float], bound_s: float) -> ReadingTimes:
    first_s, second_s, others_s = (share * bound_s for share in shares)
    times = call_times(bound_s)
    return ReadingTimes(
        first_s, second_s, others_s, times.early_pause_s, times.late_pause_s
    )
