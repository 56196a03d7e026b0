"""Compares the scheduling policies with naive ones in a discrete-event simulation.

Load reports arrive 1 s late, engine speeds differ by a factor of 4 and answer
lengths by a factor of 100. With stragglers, each engine runs at a tenth of its speed
for about a fifth of the time, in periods of 0.5 to 2 s. Failures, floors, regions and
plain services are not modelled.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import Any

from absl import app, flags

import naive_policy as naive
from pomelothread.policy import fairness, places, prediction, routing, shedding

FLAGS = flags.FLAGS
flags.DEFINE_integer("n_seeds", 3, "Seeds for each scenario.")
DURATION_S, WARM_UP_S, REPORT_LAG_S, HOP_S = 90.0, 20.0, 1.0, 0.001
N_ENGINES, CHUNK, N_CACHED, N_PREFIXES = 10, 512, 8, 40
# The unit of engine time is the engine's token gap without other load. A token of a
# full batch takes GAPS_PER_TOKEN units; PREFILL_PER_GAP prompt tokens take one unit.
GAPS_PER_TOKEN, PREFILL_PER_GAP = 1.64 / 16, 120
DEMANDS = {"o0": 8.0, "o1": 4.0, "o2": 2.0, "o3": 2.0, "o4": 2.0}
# By rank: share of requests, whether protected, deadline in s, and the shortest and
# longest answer in tokens.
TIERS = {
    0: (0.3, True, 8.0, 10, 60),
    1: (0.4, False, 20.0, 20, 400),
    2: (0.3, False, 40.0, 100, 1000),
}
LIMITS = shedding.Limits(5000, 1000, 1 << 30)


def _moving_average(average: float, value: float) -> float:
    return average + 0.1 * (value - average) if average else value


class Agent:
    """An agent and its engine."""

    def __init__(self, sim: "Simulation", n: int) -> None:
        self.sim, self.name, self.gap_s = sim, str(n), 0.015 * (1 + n % 4)
        self.queue: Any = naive.FirstComeQueue()
        self.places: Any = naive.FixedPlaces(16)
        if sim.ours:
            self.queue = fairness.FairQueue()
            limits = (8, 1, 16, 60_000, 4.0 * self.gap_s, 0.2)
            self.places = places.ConcurrencyLimit(*limits)
        self.granted: list[Any] = []
        self.running: list[Any] = []
        self.cached: list[int] = []
        self.service_s = self.prefill_rate = 0.0
        self.slow_until_s, self.is_stepping = 0.0, False

    def view(self) -> routing.AgentView:
        """Return the load report, as it arrives after the lag."""
        n_places, counts = self.places.n_places, self.queue.counts_by_rank()
        rates = self.places.mean_gap_s, self.prefill_rate, self.service_s
        n_free, heard_at_s = n_places - len(self.granted), self.sim.now_s + REPORT_LAG_S
        names = (self.name, self.name, "", "p", "f", "r", "", "open")
        load = (n_places, max(0, n_free), counts, 0)
        return routing.AgentView(*names, heard_at_s, *load, *rates)

    def _allows(self, request: Any) -> bool:
        protected, facts = request.facts.protected, request.facts
        sizes = facts.n_input_tokens, facts.n_output_tokens
        left_s = facts.deadline_at_s - self.sim.now_s
        rates = self.places.mean_gap_s, self.prefill_rate
        may_skip = self.sim.ours and not protected
        if may_skip and not prediction.can_finish(*sizes, left_s, *rates):
            return False
        n_tokens = sum(sum(r.sizes) for r in self.granted)
        load = (*self._counts(), n_tokens, sum(sizes))
        return bool(self.places.allows(*load, protected))

    def _counts(self) -> tuple[int, int]:
        return len(self.granted), sum(not r.facts.protected for r in self.granted)

    def grant(self, request: Any = None) -> None:
        """Queue an offer, if given, and grant free places in the order of the queue."""
        if request and request.key in self.sim.waiting and self not in request.agents:
            request.agents.append(self)
            self.queue.push(request.key, request, **request.charge)
        while self.places.has_place(*self._counts(), True):
            if (found := self.queue.pop(self._allows)) is None:
                return
            self.granted.append(found[1])
            self.sim.at(HOP_S, partial(self.sim.receive_grant, found[1], self))

    def decline(self, request: Any) -> None:
        """Take back a grant that was not used."""
        self.granted.remove(request)
        self.queue.refund(**request.charge)
        self.grant()

    def start(self, request: Any) -> None:
        """Start a request; count prefill that another cache would have saved."""
        sim, prefix, n_prefix = self.sim, request.prefix, request.n_prefix
        is_cached = prefix in self.cached
        if not is_cached and any(prefix in agent.cached for agent in sim.agents):
            sim.counts["wasted"] += n_prefix
        sim.counts["prefix"] += n_prefix
        self.cached = [*(p for p in self.cached if p != prefix), prefix][-N_CACHED:]
        request.prefill_left = request.facts.n_input_tokens - n_prefix * is_cached
        if sim.now_s > WARM_UP_S:
            sim.counts["served", request.group] += sum(request.sizes)
        self.running.append(request)
        if not self.is_stepping:
            self._step()

    def _step(self) -> None:
        self.is_stepping = bool(self.running)
        if not self.running:
            return
        decoding = [r for r in self.running if r.prefill_left == 0]
        prefilling = [r for r in self.running if r.prefill_left > 0][:1]
        chunk = min([CHUNK, *(r.prefill_left for r in prefilling)])
        n_gaps = 1.0 + 0.04 * len(decoding) if decoding else 0.0
        n_gaps += chunk / PREFILL_PER_GAP if prefilling else 0.0
        work_s = n_gaps * self.gap_s
        slow_s = max(0.0, self.slow_until_s - self.sim.now_s)
        step_s = min(10.0 * work_s, slow_s + max(0.0, work_s - slow_s / 10.0))
        self.sim.at(
            step_s, partial(self._end_step, decoding, prefilling, chunk, step_s)
        )

    def _end_step(
        self, decoding: list[Any], prefilling: list[Any], chunk: int, step_s: float
    ) -> None:
        now_s = self.sim.now_s
        for request in decoding:
            gap_s, request.last_token_s = now_s - request.last_token_s, now_s
            self.places.observe_token_gap(gap_s, len(decoding), now_s, len(prefilling))
            request.n_output -= 1
            if request.n_output == 0:
                self.running.remove(request)
                self.granted.remove(request)
                self.service_s = _moving_average(
                    self.service_s, now_s - request.arrived_s
                )
                self.sim.finish(request)
        for request in prefilling:
            request.prefill_left -= chunk
            request.last_token_s = now_s
            self.prefill_rate = _moving_average(self.prefill_rate, chunk / step_s)
        self.grant()
        self._step()


class Simulation:
    """Simulates arrivals, one entry and the agents until `DURATION_S`."""

    def __init__(self, ours: bool, load: float, stragglers: bool, seed: int) -> None:
        self.ours, self.rng, self.now_s = ours, random.Random(seed), 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.n_events, self.n_reports, self.good_work = 0, 0, 0.0
        self.agents = [Agent(self, n) for n in range(N_ENGINES)]
        self.views = [agent.view() for agent in self.agents]
        choose_in_turn = naive.RoundRobin().choose_agents
        self.choose = routing.choose_agents if ours else choose_in_turn
        self.admit: Any = shedding.admit if ours else naive.admit_all
        self.checks_s: list[float] = []
        self.counts: Counter[Any] = Counter()
        self.waiting: dict[str, Any] = {}
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
        self._tick()
        self._arrive()
        for agent in self.agents if stragglers else ():
            self.at(self.rng.uniform(0.0, 6.0), partial(self._slow_down, agent))
        while self.now_s < DURATION_S:
            self.now_s, _, call = heapq.heappop(self.events)
            call()

    def at(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        self.n_events += 1
        heapq.heappush(self.events, (self.now_s + delay_s, self.n_events, call))

    def _tick(self) -> None:
        """Check for stalls every 50 ms; report and offer again twice a second."""
        self.at(0.05, self._tick)
        for agent in self.agents:
            n_prefilling = sum(r.prefill_left > 0 for r in agent.running)
            n_streaming = len(agent.running) - n_prefilling
            agent.places.is_straggling(self.now_s, n_streaming, n_prefilling)
        self.n_reports += 1
        if self.n_reports % 10 == 1:
            views = [agent.view() for agent in self.agents]
            self.at(REPORT_LAG_S, partial(setattr, self, "views", views))
            for request in list(self.waiting.values()) if self.ours else ():
                if shedding.cannot_meet_deadline(request.facts, self.views, self.now_s):
                    self._withdraw(request)
                elif request.facts.protected or self.n_reports % 100 == 1:
                    self._offer(request)

    def _slow_down(self, agent: Agent) -> None:
        agent.slow_until_s = self.now_s + self.rng.uniform(0.5, 2.0)
        self.at(5.0 * self.rng.uniform(0.5, 2.0), partial(self._slow_down, agent))

    def _arrive(self) -> None:
        """Create a request, offer it if admitted, and schedule the next arrival."""
        rng, now_s, key = self.rng, self.now_s, str(self.n_events)
        rank = rng.choices(list(TIERS), [t[0] for t in TIERS.values()])[0]
        _, protected, deadline_s, shortest, longest = TIERS[rank]
        organisation = rng.choices(list(DEMANDS), [*DEMANDS.values()])[0]
        prefix, n_max = rng.randrange(N_PREFIXES), rng.randint(shortest, longest)
        request = SimpleNamespace(key=key, arrived_s=now_s, prefix=prefix, agents=[])
        request.n_prefix, request.group = 256 << prefix % 3, (rank, organisation)
        n_in = request.n_prefix + rng.randint(20, 20 + 4 * shortest)
        request.sizes = sizes = (n_in, n_max)
        request.last_token_s, request.prefill_left = now_s, 0
        hashes = tuple(8 * prefix + n for n in range(3 + prefix % 3))
        request.facts = facts = routing.RequestFacts(
            rank, protected, *sizes, now_s + deadline_s, hashes, "r", len(hashes)
        )
        request.charge = {"tier_rank": rank, "organisation": organisation}
        request.charge |= {"share": 1.0, "cost": n_in + n_max}
        request.n_output = rng.randint(1 + n_max // 2, n_max)
        request.is_counted = now_s > WARM_UP_S and facts.deadline_at_s < DURATION_S
        self.counts["offered", rank] += request.is_counted
        self.counts["wanted", request.group] += (now_s > WARM_UP_S) * sum(sizes)
        self.at(rng.expovariate(self.arrival_rate), self._arrive)
        waiting = shedding.WaitingSummary(len(self.waiting))
        answer = self.admit(facts, self.views, waiting, LIMITS, now_s)
        if isinstance(answer, shedding.Admit):
            self.waiting[key] = request
            self.at(deadline_s, partial(self._withdraw, request))
            self._offer(request)

    def _offer(self, request: Any) -> None:
        facts, seed = request.facts, int(request.key)
        chosen = self.choose(facts, self.views, self.now_s, spread_seed=seed)
        for offer in routing.schedule_offers(facts, chosen, self.now_s):
            agent = self.agents[int(offer.agent.instance)]
            self.at(offer.delay_s + HOP_S, partial(agent.grant, request))

    def receive_grant(self, request: Any, agent: Agent) -> None:
        """Start a request with its first grant, and decline further grants."""
        is_first = request.key in self.waiting
        self._withdraw(request)
        self.at(HOP_S, partial(agent.start if is_first else agent.decline, request))

    def _withdraw(self, request: Any) -> None:
        self.waiting.pop(request.key, None)
        for agent in request.agents:
            agent.queue.remove(request.key)

    def finish(self, request: Any) -> None:
        """Record the end of a request."""
        rank, deadline_at_s = request.group[0], request.facts.deadline_at_s
        is_good = self.now_s <= deadline_at_s
        if request.is_counted:
            self.counts["good", rank] += is_good
            self.checks_s += [self.now_s - request.arrived_s] * (rank == 0)
        if is_good and self.now_s > WARM_UP_S:
            n_in, n_max = request.sizes
            self.good_work += 0.75 * n_max * GAPS_PER_TOKEN + n_in / PREFILL_PER_GAP

    def n_share_violations(self) -> int:
        """Count organisations that got less than another but had asked for more."""
        n_violations = 0
        for rank, (*_, longest) in TIERS.items():
            served = {o: self.counts["served", (rank, o)] for o in DEMANDS}
            for organisation, n in served.items():
                n_unserved = self.counts["wanted", (rank, organisation)] - n
                n_less = max(served.values()) - n
                n_violations += min(n_less, n_unserved) > 1044 + 5 * longest
        return n_violations


def main(argv: list[str]) -> None:
    """Print one line for each scenario, policy and seed."""
    print("load straggle policy seed | p99 of checks in s | goodput by tier")
    print("  | work in time | wasted share of prefixes | share violations")
    for load, stragglers in ((0.7, False), (0.7, True), (3.0, False), (3.0, True)):
        for n in range(2 * FLAGS.n_seeds):
            seed, ours = n % FLAGS.n_seeds, n >= FLAGS.n_seeds
            sim = Simulation(ours, load, stragglers, seed)
            n_checks, counts = sim.counts["offered", 0], sim.counts
            checks_s = sorted(sim.checks_s) + [float("inf")] * n_checks
            goodput = [counts["good", rank] / counts["offered", rank] for rank in TIERS]
            work = sim.good_work / sim.capacity / (DURATION_S - WARM_UP_S)
            print(
                f"{load:4} {stragglers!s:5} {'ours' if ours else 'naive':5} {seed} |",
                f"{checks_s[int(0.99 * n_checks)]:6.2f} |",
                *(f"{share:.3f}" for share in goodput),
                f"| {work:.3f} | {counts['wasted'] / counts['prefix']:.3f}",
                f"| {sim.n_share_violations()}",
                flush=True,
            )


if __name__ == "__main__":
    app.run(main)
