"""Entries and agents in one event loop, on a simulated network with faults.

The entries' scheduler, offers and floors and the agents' grants are the production
code. Control messages may be lost, duplicated or reordered, and the POST of a dispatch
may fail before or after the agent accepts the grant.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from datetime import UTC, datetime

from opentelemetry.trace import NoOpTracer

from pomelothread.agent.grants import Grants
from pomelothread.callers.requests import CallerRequest
from pomelothread.clock import ManualClock
from pomelothread.entry.agents import AgentTable
from pomelothread.entry.attempt import Attempts
from pomelothread.entry.floors import FloorRequests
from pomelothread.entry.metrics import EntryMetrics
from pomelothread.entry.offers import Offers
from pomelothread.entry.scheduler import RequestScheduler
from pomelothread.entry.waiting import WaitingRequests
from pomelothread.instance_list.membership import Membership
from pomelothread.metrics import Metrics
from pomelothread.operators.sheet import Organisation, Service, Sheet, Tier
from pomelothread.outcomes import NotKnown, NotRun
from pomelothread.peers.messages import (
    AgentBeat,
    Decline,
    EntryBeat,
    FloorRaised,
    Grant,
    Offer,
    RaiseFloor,
    Refuse,
    Revoke,
    Revoked,
    Withdraw,
)
from pomelothread.policy.crashes import CrashTracker
from pomelothread.policy.places import ConcurrencyLimit
from pomelothread.policy.retries import (
    Complete,
    LostBeforeHead,
    NotDispatched,
    NothingSent,
)
from pomelothread.policy.shedding import Limits

POOL = "drafting"
STEP_S = 0.01
CLUB = Organisation("club", "0" * 64)
SHEET = Sheet(
    version=1,
    tiers={"checks": Tier("checks", 0, True), "low": Tier("low", 3)},
    organisations={"club": CLUB},
    services={
        name: Service(name, POOL, name, "model", 1.0) for name in ("checks", "low")
    },
)


@dataclass(slots=True)
class Network:
    """Delivers control messages, with random faults that a seed reproduces."""

    rng: random.Random
    loss: float = 0.0
    repeat: float = 0.0
    reorder: bool = False
    queue: list = field(default_factory=list)

    def deliver(self, nodes):
        batch, self.queue = self.queue, []
        if self.reorder:
            self.rng.shuffle(batch)
        for address, message in batch:
            if self.rng.random() < self.loss:
                continue
            n_times = 2 if self.rng.random() < self.repeat else 1
            for _ in range(n_times):
                if address in nodes:
                    nodes[address].handle(message)


@dataclass(slots=True)
class Channel:
    """Control channel of one node; puts its messages on the network."""

    network: Network
    address: str

    def send(self, address, message):
        self.network.queue.append((address, message))


@dataclass(slots=True)
class Sink:
    """Collects the body of a response."""

    body: bytes = b""

    def start(self, status, headers):
        pass

    async def write(self, chunk):
        self.body += chunk

    def finish(self):
        pass

    def abort(self, error_event):
        pass


class FakeAgent:
    """An agent with real grants, and an upstream that only records its requests."""

    def __init__(self, fleet, name, n_places):
        self.name = name
        self.address = f"{name}:1"
        self.fleet = fleet
        limit = ConcurrencyLimit(n_places, 1, n_places, 1_000_000, 0.041, 0.1)
        self.grants = Grants(name, limit, fleet.clock)
        self.channel = Channel(fleet.network, self.address)
        self.entries = {}

    def handle(self, message):
        match message:
            case Offer():
                replies = self.grants.offer(message)
            case Withdraw():
                replies = self.grants.withdraw(message)
            case Decline():
                replies = self.grants.decline(message)
            case Revoke():
                replies = self.grants.revoke(message)
            case RaiseFloor():
                replies = self.grants.raise_floor(message)
                self.beat()
            case EntryBeat():
                self.entries[message.incarnation] = message.inbox
                self.grants.record_entry_alive(message.incarnation)
                replies = []
        self.reply(replies)

    def reply(self, replies):
        for reply in replies:
            if reply.entry in self.entries:
                self.channel.send(self.entries[reply.entry], reply.message)

    def beat(self):
        self.reply(self.grants.expire())
        grants = self.grants
        beat = AgentBeat(
            incarnation=self.name,
            instance=self.name,
            inbox=self.address,
            pool=POOL,
            failure_domain="a",
            region="r",
            http_address=self.address,
            state=grants.state,
            n_places=grants.limit.n_places,
            n_free_places=grants.n_free_places(),
            waiting_by_rank=grants.queue.counts_by_rank(),
            floors=grants.floors.active(self.fleet.clock.monotonic_s()),
        )
        for inbox in self.entries.values():
            self.channel.send(inbox, beat)

    async def dispatch(self, grant, request):
        place = self.grants.use_grant(grant.grant, grant.incarnation, grant.request_id)
        if place is None:
            return False
        self.fleet.ran.append(request.body)
        await self.fleet.clock.sleep(self.fleet.service_time_s)
        self.reply(self.grants.release(place))
        return True


class FakeAttempts(Attempts):
    """Attempts whose POST is a method call that may fail on purpose."""

    def __init__(self, fleet, *arguments):
        super().__init__(*arguments)
        self.fleet = fleet

    async def run(self, attempt, sink, span):
        fleet = self.fleet
        agent = fleet.nodes[attempt.agent.beat.inbox]
        cut = fleet.draw_fault()
        if cut == "refused":
            return NothingSent()
        if cut == "before":
            return LostBeforeHead(await self._revoke(attempt))
        if cut == "delayed":
            # The POST is late: it arrives after the attempt has been given up.
            end = LostBeforeHead(await self._revoke(attempt))
            fleet.start(agent.dispatch(attempt.grant, attempt.request))
            return end
        dispatched = await agent.dispatch(attempt.grant, attempt.request)
        if not dispatched:
            return NotDispatched("grant-invalid")
        if cut == "after":
            return LostBeforeHead(await self._revoke(attempt))
        await sink.write(attempt.request.body)
        return Complete()


class FakeEntry:
    """An entry with its real scheduler, offers and floors."""

    def __init__(self, fleet, name, max_waiting):
        self.name = name
        self.address = f"{name}:1"
        self.fleet = fleet
        self.channel = Channel(fleet.network, self.address)
        clock = fleet.clock
        self.agents = AgentTable(clock, Membership())
        self.waiting = WaitingRequests(max_waiting, 10**9)
        self.offers = Offers(name, self.channel, self.agents, self.waiting, clock)
        self.attempts = FakeAttempts(
            fleet, name, self.channel, self.agents, None, clock
        )
        self.floors = FloorRequests(name, self.channel, self.agents, clock)
        self.scheduler = RequestScheduler(
            name,
            "r",
            clock,
            self.agents,
            self.waiting,
            self.offers,
            self.attempts,
            self.floors,
            CrashTracker(name),
            EntryMetrics(Metrics(clock)),
            NoOpTracer(),
            Limits(max_waiting, max_waiting, 10**9),
        )
        self.scheduler.use_sheet(SHEET)

    def handle(self, message):
        match message:
            case AgentBeat():
                self.agents.record_heartbeat(message)
                self.offers.apply_floors(message.floors)
            case Grant():
                self.offers.handle_grant(message)
            case Refuse():
                self.offers.handle_refusal(message)
            case Revoked():
                self.attempts.handle_revoked(message)
            case FloorRaised():
                self.floors.confirm(message)

    def beat(self):
        for agent in self.fleet.agents:
            beat = EntryBeat(self.name, self.name, self.address)
            self.channel.send(agent.address, beat)
        self.offers.withdraw_from_silent_agents()


class Fleet:
    """Entries that dispatch requests to the agents of one pool."""

    def __init__(self, seed=0, n_entries=2, n_agents=2, n_places=2, max_waiting=50):
        self.rng = random.Random(seed)
        self.clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        self.network = Network(self.rng)
        self.fault_rate = 0.0
        self.service_time_s = 0.2
        self.ran = []
        self.outcomes = {}
        self.ended_at_s = {}
        self.tasks = set()
        self.numbers = itertools.count()
        self.agents = [FakeAgent(self, f"agent-{i}", n_places) for i in range(n_agents)]
        self.entries = [
            FakeEntry(self, f"entry-{i}", max_waiting) for i in range(n_entries)
        ]
        self.nodes = {node.address: node for node in (*self.agents, *self.entries)}

    def draw_fault(self):
        if self.rng.random() >= self.fault_rate:
            return ""
        return self.rng.choice(["refused", "before", "delayed", "after"])

    def start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def call(self, entry, tier, deadline_s=1.0):
        """Send a request with a unique body to an entry; return the body."""
        body = f"{tier}-{next(self.numbers)}".encode()
        request = CallerRequest(
            service=SHEET.services[tier],
            organisation=CLUB,
            method="POST",
            path="/",
            content_type="",
            body=body,
            is_streamed=False,
            key="",
            n_input_tokens=10,
            n_output_tokens=10,
            deadline_s=deadline_s,
        )
        self.start(self._serve(self.entries[entry], request))
        return body

    async def _serve(self, entry, request):
        sink = Sink()
        outcome = await entry.scheduler.serve(request, {}, sink)
        match outcome:
            case None:
                assert sink.body == request.body, "the response to another request"
                name = "run"
            case NotRun():
                name = "not-run"
            case NotKnown():
                name = "not-known"
        self.outcomes[request.body] = name
        self.ended_at_s[request.body] = self.clock.monotonic_s()

    def n_waiting_below(self, rank):
        """Count the requests of tiers less urgent than a rank that wait at entries."""
        return sum(
            waiting.tier_rank > rank
            for entry in self.entries
            for waiting in entry.waiting
        )

    async def step(self, n_steps=1):
        """Advance the clock step by step, and run all that is due in each step."""
        for _ in range(n_steps):
            now_s = self.clock.monotonic_s()
            if round(now_s / STEP_S) % 50 == 0:
                for node in (*self.entries, *self.agents):
                    node.beat()
            for entry in self.entries:
                entry.offers.repeat_due()
            await self._settle()
            self.clock.advance(STEP_S)
            await self._settle()

    async def _settle(self):
        for _ in range(8):
            self.network.deliver(self.nodes)
            for _ in range(4):
                await asyncio.sleep(0)
