"""The agent process: its tasks, start-up and shutdown."""

import asyncio
import logging
from typing import Any

from ..clock import Clock
from ..events import Event, log_event
from ..log.claims import Claimant
from ..log.client import HttpLogClient
from ..log.tail import LogTail
from ..metrics import Metrics
from ..operators.changes import SheetChange
from ..operators.sheet import KIND_MODEL
from ..peers.control import ControlChannel
from ..peers.http_exchange import ExchangeClient
from ..peers.messages import (
    CLOSED,
    DRAINING,
    HEARTBEAT_PERIOD_S,
    OPEN,
    AgentBeat,
    Decline,
    EntryBeat,
    Offer,
    RaiseFloor,
    Revoke,
    Withdraw,
)
from ..peers.node import (
    LongRunningTasks,
    add_gauges,
    close_process,
    listen_http,
    new_incarnation,
    print_addresses,
    stop_event,
)
from ..peers.status import NodeStatus, StatusSource, status_routes
from ..peers.surroundings import PlatformAddresses, PlatformFollower
from ..policy.crashes import CRASH_TOPIC, CrashTracker
from ..policy.places import ConcurrencyLimit
from ..policy.prediction import can_finish
from ..settings import AgentSettings
from ..tracing import setup_tracing
from ..upstreams.health import Down, Gone, HealthChange, Up, UpstreamHealth
from ..upstreams.load_report import LoadReportPoller
from ..upstreams.management import EngineManager
from .adapters import AdapterReconciler
from .crash_reports import CrashReports
from .dispatcher import Dispatcher
from .entries import EntryTable
from .grants import Grants
from .http import agent_routes
from .orders import Orders
from .places import Reply
from .rates import UpstreamRates
from .watch import PlaceMonitor, wait_until_idle

_logger = logging.getLogger(__name__)

ROLE = "agent"
DRAIN_POLL_S = 0.05
# HTTP exchanges beyond one per place, for dispatches of orders and lookups.
EXTRA_EXCHANGES = 64


class Agent:
    """One agent process, beside one upstream.

    Parameters
    ----------
    settings : AgentSettings
        Validated settings.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._started_at_s = clock.monotonic_s()
        self._stop = stop_event()
        self.incarnation = new_incarnation()
        self._http_address = ""
        self._is_stopping = False
        self._is_ready = False
        places = settings.places
        node = settings.node
        limit = ConcurrencyLimit(
            places.initial,
            places.minimum,
            places.maximum,
            places.max_context_tokens,
            places.target_token_gap_s,
            places.reserved_share,
        )
        self._channel = ControlChannel(settings.control_address)
        self._entries = EntryTable(self._channel, clock)
        self._grants = Grants(self.incarnation, limit, clock, self._can_finish)
        self._grants.state = CLOSED
        self._rates = UpstreamRates()
        self._metrics = Metrics(clock)
        self._crashes = CrashTracker(self.incarnation)
        self._log = HttpLogClient(
            settings.log_address, timeout_s=settings.claims.confirm_timeout_s
        )
        self._client = ExchangeClient(max_exchanges=places.maximum + EXTRA_EXCHANGES)
        self._platform_follower = PlatformFollower(
            PlatformAddresses(
                node.instance,
                settings.log_address,
                settings.instance_list_address,
                settings.claims.retention_s,
            ),
            self._client,
            clock,
            self._handle_sheet_change,
            self._update_state,
        )
        self._claimant = Claimant(
            self._log,
            settings.pool,
            node.instance,
            clock,
            retention_s=settings.claims.retention_s,
            is_instance_live=self._is_instance_live,
            confirm_timeout_s=settings.claims.confirm_timeout_s,
        )
        self._health = UpstreamHealth(
            self._client, settings.upstream.url, clock, self._handle_health_change
        )
        self._load_reports = LoadReportPoller(
            self._client, settings.upstream.url, clock, on_restart=self._update_state
        )
        self._crash_reports = CrashReports(
            self._crashes,
            self._log,
            clock,
            self._health.refuses_connections,
            self._send_heartbeats,
        )
        self._orders = Orders(
            self._claimant,
            self._client,
            settings.upstream.url,
            clock,
            self._crash_reports.append,
        )
        self._dispatcher = Dispatcher(
            grants=self._grants,
            orders=self._orders,
            crashes=self._crashes,
            client=self._client,
            upstream_url=settings.upstream.url,
            clock=clock,
            tracer=setup_tracing(settings.tracing, "pomelothread-agent", node.instance),
            rates=self._rates,
            send_replies=self._entries.send_replies,
            on_connection_cut=self._crash_reports.connection_cut,
        )
        self._place_monitor = PlaceMonitor(
            self._grants,
            self._dispatcher,
            self._load_reports,
            self._health,
            self._entries.send_replies,
            clock,
        )
        self._adapters = AdapterReconciler(
            EngineManager(
                self._client,
                settings.upstream.url,
                clock,
                lambda: self._platform_follower.sheet.version,
            ),
            settings.pool,
            node.instance,
            self._instances_of_pool,
            settings.upstream.load_interval_s,
            clock,
        )
        self._add_gauges()

    async def run(self) -> int:
        """Serve until SIGTERM, then finish all running requests.

        Returns
        -------
        int
            The exit code of the process.
        """
        source = StatusSource(
            self.status,
            self.is_ready,
            self._platform_follower.replica.snapshot,
            self._metrics,
        )
        routes: list[Any] = agent_routes(self._dispatcher, self._orders)
        routes += status_routes(source, serves_sheet=True)
        # Bind the port before the claimant starts: once it is bound, no earlier
        # process of this slot can be alive.
        server, self._http_address = listen_http(routes, self._settings.http_address)
        log_event(
            _logger,
            Event.AGENT_STARTED,
            pool=self._settings.pool,
            incarnation=self.incarnation,
            http_address=self._http_address,
            control_address=self._channel.address,
        )
        tasks = LongRunningTasks(on_failure=self._stop.set)
        self._start_tasks(tasks)
        print_addresses(self._http_address, self._channel.address)
        await self._stop.wait()
        if not tasks.failed:
            await self._drain()
        await close_process(server, tasks, self._client, self._channel)
        uptime_s = round(self._clock.monotonic_s() - self._started_at_s, 1)
        log_event(_logger, Event.AGENT_STOPPED, uptime_s=uptime_s)
        return 1 if tasks.failed else 0

    def is_ready(self) -> bool:
        """Whether the agent has opened and has read all available claims.

        It serves other requests before that, but lookups of orders are answered "not
        known" until the topic of claims has been read.
        """
        tail = self._claimant.tail
        return self._is_ready and (tail.is_caught_up or tail.failure is not None)

    def status(self) -> NodeStatus:
        """Return the state of the process for operators."""
        sheet = self._platform_follower.sheet
        return NodeStatus(
            instance=self._settings.node.instance,
            role=ROLE,
            incarnation=self.incarnation,
            state=self._grants.state,
            sheet_version=sheet.version,
            sheet_digest=sheet.digest,
            n_waiting=len(self._grants.queue),
            n_running=self._grants.n_running,
        )

    def _start_tasks(self, tasks: LongRunningTasks) -> None:
        settings = self._settings
        crash_tail = LogTail(
            self._log,
            CRASH_TOPIC,
            self._clock,
            self._crash_reports.handle_record,
            self._crash_reports.log_expired_records,
        )
        tasks.start("control", self._handle_messages())
        tasks.start("beats", self._run_heartbeats())
        tasks.start("places", self._place_monitor.run())
        tasks.start("health", self._health.run())
        if settings.upstream.kind == KIND_MODEL:
            tasks.start("load-reports", self._load_reports.run())
            tasks.start("adapters", self._adapters.run())
        if settings.upstream.cache_events:
            self._follow_cache(tasks, settings.upstream.cache_events)
        tasks.start("claims", self._claimant.run())
        tasks.start("crashes", crash_tail.run())
        self._platform_follower.start(tasks)

    def _follow_cache(self, tasks: LongRunningTasks, address: str) -> None:
        # ZeroMQ is imported only where an engine publishes events.
        from ..upstreams.cache_events import CacheIndex, follow_cache_events

        index = CacheIndex()
        tasks.start("cache-events", follow_cache_events(f"tcp://{address}", index))
        gauges = {
            "cached_blocks": lambda: float(len(index)),
            "cache_event_gaps": lambda: float(index.counts.n_gaps),
        }
        add_gauges(self._metrics, gauges)

    async def _handle_messages(self) -> None:
        """Handle the messages of all entries, in order of arrival."""
        while True:
            message = await self._channel.receive()
            match message:
                case Offer():
                    replies = self._grants.offer(message)
                case Withdraw():
                    replies = self._grants.withdraw(message)
                case Decline():
                    replies = self._grants.decline(message)
                case Revoke():
                    replies = self._grants.revoke(message)
                case RaiseFloor():
                    replies = self._raise_floor(message)
                case EntryBeat():
                    self._handle_entry_beat(message)
                    replies = []
                case _:
                    self._channel.n_unknown_messages += 1
                    replies = []
            self._entries.send_replies(replies)

    def _raise_floor(self, message: RaiseFloor) -> list[Reply]:
        replies = self._grants.raise_floor(message)
        # Entries must shed their waiting requests as well, because an agent does not
        # know a request whose offers were lost. The heartbeat is sent first, so that
        # an entry with all confirmations also has the floors of all agents.
        self._send_heartbeats()
        n_refused = len(replies) - 1
        # An entry repeats the message until it has the confirmation. Repeats refuse
        # nothing, so they are not logged.
        if n_refused:
            log_event(
                _logger,
                Event.FLOOR_RAISED,
                pool=message.pool,
                tier_rank=message.tier_rank,
                n_refused=n_refused,
            )
        return replies

    async def _run_heartbeats(self) -> None:
        """Send heartbeats to all known entries."""
        while True:
            self._entries.forget_silent()
            self._send_heartbeats()
            self._channel.log_unknown()
            await self._clock.sleep(HEARTBEAT_PERIOD_S)

    def _send_heartbeats(self) -> None:
        self._entries.broadcast_heartbeat(self._new_heartbeat())

    def _handle_entry_beat(self, beat: EntryBeat) -> None:
        self._grants.record_entry_alive(beat.incarnation)
        if self._entries.record_heartbeat(beat):
            self._send_heartbeats()
        self._update_state()

    def _new_heartbeat(self) -> AgentBeat:
        grants = self._grants
        node = self._settings.node
        now_s = self._clock.monotonic_s()
        return AgentBeat(
            incarnation=self.incarnation,
            instance=node.instance,
            inbox=self._channel.address,
            pool=self._settings.pool,
            failure_domain=node.failure_domain,
            region=node.region,
            http_address=self._http_address,
            state=grants.state,
            n_places=grants.limit.n_places,
            n_free_places=grants.n_free_places(),
            waiting_by_rank=grants.queue.counts_by_rank(),
            token_gap_s=grants.limit.mean_gap_s,
            prefill_tokens_per_s=self._rates.prefill_tokens_per_s,
            service_time_s=self._dispatcher.service_time_s,
            floors=grants.floors.active(now_s),
            suspects=self._crashes.suspects,
            convicted=self._crashes.convicted,
            sheet_version=self._platform_follower.sheet.version,
        )

    def _handle_health_change(self, change: HealthChange) -> None:
        url = self._settings.upstream.url
        match change:
            case Up():
                log_event(_logger, Event.UPSTREAM_UP, url=url)
            case Down(detail=detail) | Gone(detail=detail):
                log_event(_logger, Event.UPSTREAM_DOWN, url=url, detail=detail)
        self._update_state()

    def _handle_sheet_change(self, change: SheetChange) -> None:
        sheet = change.sheet
        self._dispatcher.sheet = sheet
        self._adapters.use_sheet(sheet)
        for fingerprint in sheet.releases.keys() - change.previous.releases.keys():
            record = self._crashes.release(fingerprint, sheet.version)
            if record is not None:
                self._crash_reports.append(record)
        has_protected = any(
            service.pool == self._settings.pool and sheet.tiers[service.tier].protected
            for service in sheet.services.values()
        )
        share = self._settings.places.reserved_share if has_protected else 0.0
        self._grants.limit.set_reserved_share(share)

    def _update_state(self) -> None:
        """Open or close the agent to new requests, as its state requires."""
        state = self._target_state()
        if state == self._grants.state:
            return
        if state == OPEN:
            replies = self._grants.reopen()
            if not self._is_ready:
                self._is_ready = True
                version = self._platform_follower.sheet.version
                log_event(_logger, Event.AGENT_READY, sheet_version=version)
        else:
            replies = self._grants.close(state)
        self._entries.send_replies(replies)
        self._send_heartbeats()

    def _target_state(self) -> str:
        instance = self._settings.node.instance
        is_leaving = self._entries.is_reported_leaving(instance) or any(
            leaving.name == instance
            for leaving in self._platform_follower.membership.leaving()
        )
        if self._is_stopping or is_leaving:
            return DRAINING
        if not self._platform_follower.has_sheet or not self._health.is_up:
            return CLOSED
        return OPEN

    def _is_instance_live(self, instance: str) -> bool:
        return any(
            known.name == instance for known in self._platform_follower.membership.all()
        )

    def _can_finish(self, offer: Offer, left_s: float) -> bool:
        return can_finish(
            offer.n_input_tokens,
            offer.n_output_tokens,
            left_s,
            self._grants.limit.mean_gap_s,
            self._rates.prefill_tokens_per_s,
            self._dispatcher.service_time_s,
        )

    def _instances_of_pool(self) -> list[str]:
        live = self._platform_follower.membership.live(ROLE, self._settings.pool)
        return [instance.name for instance in live]

    async def _drain(self) -> None:
        """Refuse all offers, then finish all running requests without a time limit."""
        n_waiting = len(self._grants.queue)
        self._is_stopping = True
        self._update_state()
        log_event(
            _logger,
            Event.AGENT_DRAINING,
            n_waiting=n_waiting,
            n_running=self._grants.n_running,
        )
        await wait_until_idle(self._grants, self._clock, DRAIN_POLL_S)
        await self._claimant.flush()
        # Let the handlers of the last requests write the end of their responses.
        await asyncio.sleep(DRAIN_POLL_S)

    def _add_gauges(self) -> None:
        grants = self._grants
        gauges = {
            "places": lambda: float(grants.limit.n_places),
            "running_requests": lambda: float(grants.n_running),
            "waiting_offers": lambda: float(len(grants.queue)),
            "dispatched_requests": lambda: float(self._dispatcher.n_dispatched),
            "expired_grants": lambda: float(grants.n_expired),
            "control_sent_bytes": lambda: float(self._channel.n_sent_bytes),
            "control_received_bytes": lambda: float(self._channel.n_received_bytes),
            "sheet_version": lambda: float(self._platform_follower.sheet.version),
        }
        add_gauges(self._metrics, gauges)
