"""The entry process: its tasks, start-up and shutdown."""

import asyncio
import logging
from typing import Any

from ..callers.http import caller_routes
from ..clock import Clock
from ..events import Event, log_event
from ..metrics import Metrics
from ..operators.changes import SheetChange
from ..peers.control import ControlChannel
from ..peers.http_exchange import ExchangeClient
from ..peers.messages import (
    HEARTBEAT_PERIOD_S,
    AgentBeat,
    EntryBeat,
    FloorRaised,
    Grant,
    Refuse,
    Revoked,
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
from ..policy.crashes import CrashTracker
from ..policy.shedding import Limits
from ..settings import EntrySettings
from ..tracing import setup_tracing
from .agents import AgentTable
from .attempt import Attempts
from .floors import FloorRequests
from .metrics import EntryMetrics
from .offers import REPEAT_POLL_S, Offers
from .scheduler import RequestScheduler
from .waiting import WaitingRequests

_logger = logging.getLogger(__name__)

ROLE = "entry"
DRAIN_POLL_S = 0.05
# A new entry rejects requests for pools without a known agent, so the load balancer
# should not send any before the first heartbeats. These take one poll of the instance
# list and one round trip.
AGENT_DISCOVERY_TIMEOUT_S = 5.0
STARTING = "starting"
READY = "ready"
DRAINING = "draining"


class Entry:
    """One entry process.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._started_at_s = clock.monotonic_s()
        self._stop = stop_event()
        self.incarnation = new_incarnation()
        self._state = STARTING
        node = settings.node
        self._channel = ControlChannel(settings.control_address)
        self._client = ExchangeClient(max_exchanges=settings.max_running)
        self._platform_follower = PlatformFollower(
            PlatformAddresses(
                node.instance,
                settings.log_address,
                settings.instance_list_address,
                settings.log_retention_s,
            ),
            self._client,
            clock,
            self._handle_sheet_change,
            self._update_readiness,
        )
        self._agents = AgentTable(clock, self._platform_follower.membership)
        self._waiting = WaitingRequests(
            settings.max_waiting, settings.max_waiting_bytes
        )
        self._offers = Offers(
            self.incarnation, self._channel, self._agents, self._waiting, clock
        )
        self._attempts = Attempts(
            self.incarnation, self._channel, self._agents, self._client, clock
        )
        self._floors = FloorRequests(
            self.incarnation, self._channel, self._agents, clock
        )
        self._crashes = CrashTracker(self.incarnation)
        self._metrics = Metrics(clock)
        self._scheduler = RequestScheduler(
            incarnation=self.incarnation,
            region=node.region,
            clock=clock,
            agents=self._agents,
            waiting=self._waiting,
            offers=self._offers,
            attempts=self._attempts,
            floors=self._floors,
            crashes=self._crashes,
            metrics=EntryMetrics(self._metrics),
            tracer=setup_tracing(settings.tracing, "pomelothread-entry", node.instance),
            limits=Limits(
                settings.max_waiting, settings.max_waiting, settings.max_waiting_bytes
            ),
        )
        self._add_gauges()

    async def run(self) -> int:
        """Serve until SIGTERM, then finish all accepted requests.

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
        routes: list[Any] = [
            *status_routes(source, serves_sheet=False),
            *caller_routes(self._scheduler),
        ]
        server, http_address = listen_http(routes, self._settings.http_address)
        log_event(
            _logger,
            Event.ENTRY_STARTED,
            incarnation=self.incarnation,
            http_address=http_address,
            control_address=self._channel.address,
        )
        tasks = LongRunningTasks(on_failure=self._stop.set)
        tasks.start("control", self._handle_messages())
        tasks.start("beats", self._run_heartbeats())
        tasks.start("repeats", self._repeat_offers())
        self._platform_follower.start(tasks)
        print_addresses(http_address, self._channel.address)
        await self._stop.wait()
        if not tasks.failed:
            await self._drain()
        await close_process(server, tasks, self._client, self._channel)
        uptime_s = round(self._clock.monotonic_s() - self._started_at_s, 1)
        log_event(_logger, Event.ENTRY_STOPPED, uptime_s=uptime_s)
        return 1 if tasks.failed else 0

    def is_ready(self) -> bool:
        """Whether the load balancer may send requests."""
        return self._state == READY

    def status(self) -> NodeStatus:
        """Return the state of the process for operators."""
        sheet = self._platform_follower.sheet
        return NodeStatus(
            instance=self._settings.node.instance,
            role=ROLE,
            incarnation=self.incarnation,
            state=self._state,
            sheet_version=sheet.version,
            sheet_digest=sheet.digest,
            n_waiting=len(self._waiting),
            n_running=self._scheduler.n_active - len(self._waiting),
        )

    async def _handle_messages(self) -> None:
        """Handle the messages of all agents, in order of arrival."""
        while True:
            message = await self._channel.receive()
            match message:
                case AgentBeat():
                    self._handle_agent_beat(message)
                case Grant():
                    self._offers.handle_grant(message)
                case Refuse():
                    self._offers.handle_refusal(message)
                case Revoked():
                    self._attempts.handle_revoked(message)
                case FloorRaised():
                    self._floors.confirm(message)
                case _:
                    self._channel.n_unknown_messages += 1

    async def _run_heartbeats(self) -> None:
        """Send heartbeats and remove silent agents."""
        while True:
            self._send_heartbeats()
            self._scheduler.reject_unreachable_deadlines()
            self._offers.withdraw_from_silent_agents()
            for forgotten in self._agents.forget_silent():
                if not self._agents.uses_inbox(forgotten.beat.inbox):
                    self._channel.close_outbox(forgotten.beat.inbox)
                log_event(
                    _logger,
                    Event.PEER_DOWN,
                    instance=forgotten.beat.instance,
                    address=forgotten.beat.inbox,
                    cause="no heartbeat",
                )
            self._channel.log_unknown()
            self._update_readiness()
            await self._clock.sleep(HEARTBEAT_PERIOD_S)

    async def _repeat_offers(self) -> None:
        """Repeat open offers when they are due."""
        while True:
            self._offers.repeat_due()
            await self._clock.sleep(REPEAT_POLL_S)

    def _send_heartbeats(self) -> None:
        leaving = tuple(
            instance.name for instance in self._platform_follower.membership.leaving()
        )
        beat = EntryBeat(
            incarnation=self.incarnation,
            instance=self._settings.node.instance,
            inbox=self._channel.address,
            n_offers=len(self._waiting),
            sheet_version=self._platform_follower.sheet.version,
            leaving_instances=leaving,
        )
        inboxes = {
            instance.control_address
            for instance in self._platform_follower.membership.all(role="agent")
            if instance.control_address
        }
        inboxes |= {known.beat.inbox for known in self._agents.all()}
        for inbox in inboxes:
            self._channel.send(inbox, beat)

    def _handle_agent_beat(self, beat: AgentBeat) -> None:
        is_new = self._agents.record_heartbeat(beat)
        now_s = self._clock.monotonic_s()
        self._crashes.observe_peer(
            beat.suspects, beat.convicted, beat.sheet_version, now_s
        )
        self._offers.apply_floors(beat.floors)
        if is_new:
            log_event(
                _logger, Event.PEER_UP, instance=beat.instance, address=beat.inbox
            )
            for request in self._waiting:
                if request.pool == beat.pool:
                    self._offers.offer(request)
            self._update_readiness()

    def _handle_sheet_change(self, change: SheetChange) -> None:
        self._scheduler.use_sheet(change.sheet)

    def _update_readiness(self) -> None:
        """Become ready once a sheet is in force and all pools have agents.

        During an outage of the log, the sheet of a peer is used. A pool without any
        agent delays readiness by `AGENT_DISCOVERY_TIMEOUT_S` at most.
        """
        sheet = self._platform_follower.sheet
        if self._state != STARTING or not self._platform_follower.has_sheet:
            return
        pools = {service.pool for service in sheet.services.values()}
        waited_s = self._clock.monotonic_s() - self._started_at_s
        has_agents = all(self._agents.views(pool) for pool in pools)
        if has_agents or waited_s > AGENT_DISCOVERY_TIMEOUT_S:
            self._state = READY
            log_event(_logger, Event.ENTRY_READY, sheet_version=sheet.version)

    async def _drain(self) -> None:
        """Accept requests for `drain_accept_s` more, then finish all of them."""
        self._state = DRAINING
        n_waiting = len(self._waiting)
        log_event(
            _logger,
            Event.ENTRY_DRAINING,
            n_waiting=n_waiting,
            n_running=self._scheduler.n_active - n_waiting,
        )
        await self._clock.sleep(self._settings.drain_accept_s)
        self._scheduler.accepts_requests = False
        while self._scheduler.n_active:
            await self._clock.sleep(DRAIN_POLL_S)
        # Let the handlers of the last requests write the end of their responses.
        await asyncio.sleep(DRAIN_POLL_S)

    def _add_gauges(self) -> None:
        gauges = {
            "waiting_requests": lambda: float(len(self._waiting)),
            "waiting_bytes": lambda: float(self._waiting.n_bytes),
            "active_requests": lambda: float(self._scheduler.n_active),
            "control_sent_bytes": lambda: float(self._channel.n_sent_bytes),
            "control_received_bytes": lambda: float(self._channel.n_received_bytes),
            "declined_grants": lambda: float(self._offers.n_declined),
            "raised_floors": lambda: float(self._floors.n_raised),
            "sheet_version": lambda: float(self._platform_follower.sheet.version),
        }
        add_gauges(self._metrics, gauges)
