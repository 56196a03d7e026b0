"""Compare the decisions with the naive ones offline, over simple engine models.

Reports are late by 1 s, engine speeds differ fourfold, lengths a hundredfold.
With stragglers, each engine runs at a tenth of its speed a fifth of the time,
for 0.5 to 2 s. Not modelled: failures, floors, regions and plain services.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from absl import app, flags

from naive_policy import FirstComeQueue, FixedPlaces, RoundRobin, admit_all
from pomelothread.policy import routing
from pomelothread.policy.fairness import FairQueue
from pomelothread.policy.places import PlaceLimit
from pomelothread.policy.prediction import can_finish
from pomelothread.policy.shedding import (
    Admit,
    Limits,
    WaitingSummary,
    admit,
    is_hopeless,
)

FLAGS = flags.FLAGS
flags.DEFINE_integer("n_seeds", 3, "Seeds for each scenario.")
DURATION_S, WARM_UP_S, REPORT_LAG_S, HOP_S = 90.0, 20.0, 1.0, 0.001
N_ENGINES, CHUNK, N_CACHED, N_PREFIXES = 10, 512, 8, 40
# Engine time in units of its token gap: a token of a full batch, and tokens of a
# prompt that are computed in one unit.
GAPS_PER_TOKEN, PREFILL_PER_GAP = 1.64 / 16, 120
DEMANDS = {"o0": 8.0, "o1": 4.0, "o2": 2.0, "o3": 2.0, "o4": 2.0}
# Rank: share of requests, protected, deadline in s, shortest and longest answer.
TIERS = {
    0: (0.3, True, 8.0, 10, 60),
    1: (0.4, False, 20.0, 20, 400),
    2: (0.3, False, 40.0, 100, 1000),
}
LIMITS = Limits(5000, 1000, 1 << 30)


def blend(average: float, value: float) -> float:
    """Return a moving average; 0 stands for none yet."""
    return average + 0.1 * (value - average) if average else value


@dataclass(eq=False, slots=True)
class Request:
    """A request and its state; `charge` holds arguments of `push`."""

    key: str
    arrived_s: float
    prefix: int
    n_output: int
    facts: routing.RequestFacts
    charge: dict[str, Any]
    agents: list["Agent"] = field(default_factory=list)
    prefill_left: int = 0
    last_token_s: float = 0.0


class Agent:
    """An agent and the engine beside it."""

    def __init__(self, sim: "Simulation", n: int) -> None:
        self.sim, self.name, self.gap_s = sim, str(n), 0.015 * (1 + n % 4)
        self.queue: Any = FairQueue() if sim.ours else FirstComeQueue()
        self.places: Any = FixedPlaces(16)
        if sim.ours:
            self.places = PlaceLimit(8, 1, 16, 60_000, 4.0 * self.gap_s, 0.2)
        self.granted: list[Request] = []
        self.running: list[Request] = []
        self.cached: list[int] = []
        self.service_s = self.prefill_rate = 0.0
        self.slow_until_s, self.is_stepping = 0.0, False

    def view(self) -> routing.AgentView:
        """Report the load, as it is heard after the lag."""
        n_places, counts = self.places.n_places, self.queue.counts_by_rank()
        return routing.AgentView(
            *(self.name, self.name, "", "p", "f", "r", "", "open"),
            *(self.sim.now_s + REPORT_LAG_S, n_places),
            *(max(0, n_places - len(self.granted)), counts, 0),
            *(self.places.mean_gap_s, self.prefill_rate, self.service_s),
        )

    def counts(self) -> tuple[int, int]:
        """Return how many requests have a place, and how many unprotected ones."""
        return len(self.granted), sum(not r.facts.protected for r in self.granted)

    def allows(self, request: Request) -> bool:
        """Return whether a place is free for the request."""
        n_tokens = sum(r.charge["cost"] for r in self.granted)
        cost, facts = request.charge["cost"], request.facts
        if self.sim.ours and not facts.protected and not can_finish(
            facts.n_input_tokens, facts.n_output_tokens,
            facts.deadline_at_s - self.sim.now_s,
            self.places.mean_gap_s, self.prefill_rate,
        ):  # fmt: skip
            return False
        return bool(self.places.allows(*self.counts(), n_tokens, cost, facts.protected))

    def grant(self, request: Request | None = None) -> None:
        """Queue an offer, if given, and grant free places in queue order."""
        if request and request.key in self.sim.waiting and self not in request.agents:
            request.agents.append(self)
            self.queue.push(request.key, request, **request.charge)
        while self.places.has_place(*self.counts(), True):
            if (found := self.queue.pop(self.allows)) is None:
                return
            self.granted.append(found[1])
            self.sim.at(HOP_S, partial(self.sim.bind, found[1], self))

    def decline(self, request: Request) -> None:
        """Take back a grant that was not used."""
        self.granted.remove(request)
        self.queue.refund(**request.charge)
        self.grant()

    def start(self, request: Request) -> None:
        """Start a request; count prefill that some cache could have saved."""
        sim, prefix, n_prefix = (
            self.sim,
            request.prefix,
            n_prefix_tokens(request.prefix),
        )
        is_cached = prefix in self.cached
        if not is_cached and any(prefix in agent.cached for agent in sim.agents):
            sim.counts["wasted"] += n_prefix
        sim.counts["prefix"] += n_prefix
        self.cached = [*(p for p in self.cached if p != prefix), prefix][-N_CACHED:]
        request.prefill_left = request.facts.n_input_tokens - n_prefix * is_cached
        if sim.now_s > WARM_UP_S:
            sim.counts["served", group(request)] += request.charge["cost"]
        self.running.append(request)
        if not self.is_stepping:
            self.step()

    def step(self) -> None:
        """Start a step of continuous batching."""
        self.is_stepping = bool(self.running)
        if not self.running:
            return
        decoding = [r for r in self.running if r.prefill_left == 0]
        filling = [r for r in self.running if r.prefill_left > 0][:1]
        chunk = min([CHUNK, *(r.prefill_left for r in filling)])
        n_gaps = 1.0 + 0.04 * len(decoding) if decoding else 0.0
        n_gaps += chunk / PREFILL_PER_GAP if filling else 0.0
        work_s = n_gaps * self.gap_s
        slow_s = max(0.0, self.slow_until_s - self.sim.now_s)
        step_s = min(10.0 * work_s, slow_s + max(0.0, work_s - slow_s / 10.0))
        self.sim.at(step_s, partial(self.end_step, decoding, filling, chunk, step_s))

    def end_step(
        self, decoding: list[Request], filling: list[Request], chunk: int, step_s: float
    ) -> None:
        """Emit the tokens of a step and start the next one."""
        now_s, n_filling = self.sim.now_s, len(filling)
        for request in decoding:
            gap_s = now_s - request.last_token_s
            self.places.observe_token_gap(gap_s, len(decoding), now_s, n_filling)
            request.last_token_s = now_s
            request.n_output -= 1
            if request.n_output == 0:
                self.running.remove(request)
                self.granted.remove(request)
                self.service_s = blend(self.service_s, now_s - request.arrived_s)
                self.sim.finish(request)
        for request in filling:
            request.prefill_left -= chunk
            request.last_token_s = now_s
            self.prefill_rate = blend(self.prefill_rate, chunk / step_s)
        self.grant()
        self.step()


def n_prefix_tokens(prefix: int) -> int:
    """Return the length of a shared prefix."""
    return 256 << prefix % 3


def group(request: Request) -> tuple[int, str]:
    """Return rank and organisation of a request."""
    return request.charge["tier_rank"], request.charge["organisation"]


class Simulation:
    """Arrivals, one entry, and the agents."""

    def __init__(self, ours: bool, load: float, stragglers: bool, seed: int) -> None:
        self.ours, self.rng, self.now_s = ours, random.Random(seed), 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.n_events, self.n_reports, self.good_work = 0, 0, 0.0
        self.agents = [Agent(self, n) for n in range(N_ENGINES)]
        self.views = [agent.view() for agent in self.agents]
        self.choose = routing.choose_agents if ours else RoundRobin().choose_agents
        self.admit: Any = admit if ours else admit_all
        self.checks_s: list[float] = []
        self.counts: Counter[Any] = Counter()
        self.waiting: dict[str, Request] = {}
        self.capacity = sum(1.0 / agent.gap_s for agent in self.agents)
        self.arrival_rate = (
            load
            * self.capacity
            / sum(
                share
                * (0.375 * (a + b) * GAPS_PER_TOKEN + (620 + 2 * a) / PREFILL_PER_GAP)
                for share, _, _, a, b in TIERS.values()
            )
        )
        self.report()
        self.arrive()
        for agent in self.agents if stragglers else ():
            self.at(self.rng.uniform(0.0, 6.0), partial(self.slow_down, agent))
        while self.now_s < DURATION_S:
            self.now_s, _, call = heapq.heappop(self.events)
            call()

    def at(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        self.n_events += 1
        heapq.heappush(self.events, (self.now_s + delay_s, self.n_events, call))

    def report(self) -> None:
        """Check for stalls; twice a second report and offer again."""
        self.at(0.05, self.report)
        for agent in self.agents:
            n_filling = sum(r.prefill_left > 0 for r in agent.running)
            n_streaming = len(agent.running) - n_filling
            agent.places.is_straggling(self.now_s, n_streaming, n_filling)
        self.n_reports += 1
        if self.n_reports % 10 == 1:
            views = [agent.view() for agent in self.agents]
            self.at(REPORT_LAG_S, partial(setattr, self, "views", views))
            if self.now_s > WARM_UP_S:
                groups = {group(request) for request in self.waiting.values()}
                self.counts.update(("backlogged", waiting) for waiting in groups)
            for request in list(self.waiting.values()) if self.ours else ():
                if is_hopeless(request.facts, self.views, self.now_s):
                    self.withdraw(request)
                elif request.facts.protected or self.n_reports % 100 == 1:
                    self.offer(request)

    def slow_down(self, agent: Agent) -> None:
        """Slow an engine down for a moment, a fifth of the time."""
        agent.slow_until_s = self.now_s + self.rng.uniform(0.5, 2.0)
        self.at(5.0 * self.rng.uniform(0.5, 2.0), partial(self.slow_down, agent))

    def arrive(self) -> None:
        """Create a request, admit and offer it, and plan the next arrival."""
        rng, now_s, key = self.rng, self.now_s, str(self.n_events)
        rank = rng.choices(list(TIERS), [t[0] for t in TIERS.values()])[0]
        _, protected, deadline_s, shortest, longest = TIERS[rank]
        organisation = rng.choices(list(DEMANDS), [*DEMANDS.values()])[0]
        prefix, n_max = rng.randrange(N_PREFIXES), rng.randint(shortest, longest)
        n_in = n_prefix_tokens(prefix) + rng.randint(20, 20 + 4 * shortest)
        sizes, until_s = (n_in, n_max), now_s + deadline_s
        facts = routing.RequestFacts(
            rank, protected, *sizes, until_s, (prefix,), "r", 1
        )
        charge = {"tier_rank": rank, "organisation": organisation, "share": 1.0}
        charge["cost"] = n_in + n_max
        n_output = rng.randint(1 + n_max // 2, n_max)
        request = Request(key, now_s, prefix, n_output, facts, charge)
        self.counts["offered", rank] += until_s < DURATION_S
        self.at(rng.expovariate(self.arrival_rate), self.arrive)
        summary = WaitingSummary(len(self.waiting))
        if isinstance(self.admit(facts, self.views, summary, LIMITS, now_s), Admit):
            self.waiting[key] = request
            self.at(deadline_s, partial(self.withdraw, request))
            self.offer(request)

    def offer(self, request: Request) -> None:
        """Offer a waiting request to the agents that are chosen now."""
        facts, seed = request.facts, int(request.key)
        chosen = self.choose(facts, self.views, self.now_s, spread_seed=seed)
        for rank, offer in enumerate(
            routing.schedule_offers(facts, chosen, self.now_s)
        ):
            agent = self.agents[int(chosen[rank].instance)]
            self.at(offer.delay_s + HOP_S, partial(agent.grant, request))

    def bind(self, request: Request, agent: Agent) -> None:
        """Use the first grant and decline the others."""
        is_first = request.key in self.waiting
        self.withdraw(request)
        self.at(HOP_S, partial(agent.start if is_first else agent.decline, request))

    def withdraw(self, request: Request) -> None:
        """Take a request out of all queues."""
        self.waiting.pop(request.key, None)
        for agent in request.agents:
            agent.queue.remove(request.key)

    def finish(self, request: Request) -> None:
        """Take in the end of a request."""
        facts = request.facts
        is_good = self.now_s <= facts.deadline_at_s
        if facts.deadline_at_s < DURATION_S:
            self.counts["good", facts.tier_rank] += is_good
            if facts.tier_rank == 0:
                self.checks_s.append(self.now_s - request.arrived_s)
        if is_good and self.now_s > WARM_UP_S:
            self.good_work += 0.75 * facts.n_output_tokens * GAPS_PER_TOKEN
            self.good_work += facts.n_input_tokens / PREFILL_PER_GAP

    def n_share_violations(self) -> int:
        """Count organisations that always waited and got less than another."""
        n_samples, n_violations = 2 * (DURATION_S - WARM_UP_S) - 2, 0
        for rank, (*_, longest) in TIERS.items():
            groups = [(rank, organisation) for organisation in DEMANDS]
            served = [self.counts["served", g] for g in groups
                      if self.counts["backlogged", g] >= n_samples]  # fmt: skip
            n_violations += sum(max(served) - n > 1044 + 5 * longest for n in served)
        return n_violations


def main(argv: list[str]) -> None:
    """Print one line for each scenario, policy and seed."""
    print("load straggle policy seed | p99 of checks in s | goodput by tier")
    print("  | work in time | wasted share of prefixes | share violations")
    scenarios = [(0.7, False), (0.7, True), (3.0, False), (3.0, True)]
    for (load, stragglers), ours, seed in (
        (s, o, n) for s in scenarios for o in (0, 1) for n in range(FLAGS.n_seeds)
    ):
        sim = Simulation(bool(ours), load, stragglers, seed)
        n_checks, counts = sim.counts["offered", 0], sim.counts
        checks_s = sorted(sim.checks_s) + [float("inf")] * n_checks
        goodput = [counts["good", rank] / counts["offered", rank] for rank in TIERS]
        print(
            f"{load:4} {stragglers!s:5} {'ours' if ours else 'naive':5} {seed} |",
            f"{checks_s[int(0.99 * n_checks)]:6.2f} |",
            *(f"{share:.3f}" for share in goodput),
            f"| {sim.good_work / sim.capacity / (DURATION_S - WARM_UP_S):.3f}",
            f"| {counts['wasted'] / counts['prefix']:.3f} | {sim.n_share_violations()}",
            flush=True,
        )


if __name__ == "__main__":
    app.run(main)
