"""Tests of the learned predictions of the time to the first event of a stream."""

import heapq
import random

import pytest

from pomelothread.addresses import Address
from pomelothread.gateway.upstreams import UpstreamListing, UpstreamTable
from pomelothread.policy.upstream_choice import (
    ShortestStart,
    UpstreamRequirements,
    choose_upstream,
)
from pomelothread.policy.upstream_speed import (
    INITIAL_TOKEN_S,
    FirstEventModel,
    SpeedEstimate,
    predict_first_event_s,
)
from pomelothread.policy.waiting_order import WaitingFacts, queue_sort_key

AIM_S = 0.8

# Seconds per request and per prompt token: engines with a long fixed time that read
# fast, two kinds of engines that read slowly, and the initial estimate.
ENGINES = [(0.062, 8e-6), (0.02, 27e-6), (0.005, 120e-6), (0.03, INITIAL_TOKEN_S)]


@pytest.mark.parametrize(("base_s", "token_s"), ENGINES)
@pytest.mark.parametrize("spread", [0.0, 0.3])
def test_the_costs_of_prompts_are_learned_from_engines_of_unlike_speed(
    base_s, token_s, spread
):
    source = random.Random(4)
    model = FirstEventModel()
    speeds = [SpeedEstimate(start=model) for _ in range(9)]
    for number in range(900):
        slowness = (0.55, 1.0, 2.8)[number % 3]
        n_tokens = int(source.lognormvariate(7.5, 1.2))
        noise = source.uniform(1.0 - spread, 1.0 + spread)
        observed_s = slowness * noise * (base_s + token_s * n_tokens)
        speeds[number % 9].observe_first(observed_s, n_tokens)
    for number, slowness in enumerate((0.55, 1.0, 2.8)):
        for n_tokens in (1_000, 20_000):
            expected_s = slowness * (base_s + token_s * n_tokens)
            predicted_s = predict_first_event_s(speeds[number], n_tokens, 0)
            assert predicted_s == pytest.approx(expected_s, rel=0.35)


def test_one_delayed_response_does_not_distort_the_estimated_cost_of_prompts():
    model = FirstEventModel()
    for _ in range(300):
        model.observe(2_000, 0.1)
        model.observe(500, 0.07)
    before_s = model.predict_s(20_000)
    model.observe(30_000, 60.0)
    assert model.predict_s(20_000) < 2.0 * before_s


@pytest.mark.parametrize("n_tokens", [0, 100, 10**6])
def test_predictions_are_positive_whatever_was_observed(n_tokens):
    model = FirstEventModel()
    for observed_s in (3.0, 0.0, 0.5, 0.0):
        model.observe(0, observed_s)
        model.observe(9_000, 0.0)
        assert model.predict_s(n_tokens) > 0.0


def simulate_burst(is_learning):
    """Return the shares of short and of long prompts that start in time in a burst.

    Three engines read 125 tokens in a millisecond. Prompts of 20,000 tokens arrive
    beside short ones of the same urgency, a fifth more than there are slots for.
    """
    source = random.Random(7)
    table = UpstreamTable("r", {})
    for number in range(3):
        address = Address("127.0.0.1", number + 1)
        table.put(UpstreamListing(f"e{number}", "engines", address, "z", 4, False, 1))
    engines = table.of_service("engines")
    base_s, token_s = 0.062, 8e-6
    ends, waiting = [], []
    n_asked, n_in_time = [0, 0], [0, 0]
    for step in range(4_000):
        now_s = step * 0.02
        while ends and ends[0][0] <= now_s:
            heapq.heappop(ends)[2].n_running -= 1
        if source.random() < 0.5:
            is_long = source.random() < 0.3
            n_asked[is_long] += 1
            waiting.append((now_s, 20_000 if is_long else 600))
        waiting = [w for w in waiting if now_s - w[0] < 2.0 * AIM_S]
        shortest_start_s = ShortestStart(engines)
        waiting.sort(key=lambda w: sort_key(w, now_s, shortest_start_s))
        for arrived_s, n_tokens in list(waiting):
            requirements = UpstreamRequirements(
                n_tokens, True, arrived_s + AIM_S - now_s
            )
            engine = choose_upstream(engines, requirements, source)
            if engine is None:
                continue
            waiting.remove((arrived_s, n_tokens))
            start_s = base_s + token_s * n_tokens
            is_in_time = now_s + start_s - arrived_s <= AIM_S
            n_in_time[n_tokens > 10_000] += is_in_time
            if is_learning:
                engine.speed.observe_first(start_s, n_tokens)
            engine.n_running += 1
            heapq.heappush(ends, (now_s + 0.7, source.random(), engine))
    return [n / asked for n, asked in zip(n_in_time, n_asked, strict=True)]


def sort_key(request, now_s, shortest_start_s):
    arrived_s, n_tokens = request
    facts = WaitingFacts(
        urgency=0, arrived_s=arrived_s, on_time_until_s=arrived_s + AIM_S,
        deadline_at_s=arrived_s + 15.0, leaves_at_s=arrived_s + 3.2,
    )  # fmt: skip
    start_s = shortest_start_s(
        UpstreamRequirements(n_tokens, True, arrived_s + AIM_S - now_s)
    )
    return queue_sort_key(facts, now_s, start_s)


def test_in_a_burst_long_prompts_are_served_as_well_as_short_ones():
    # By the initial estimate, long prompts count as late on arrival and are served
    # after all others.
    short_share, long_share = simulate_burst(is_learning=True)
    _, long_share_initially = simulate_burst(is_learning=False)
    assert long_share > short_share - 0.15
    assert long_share > long_share_initially + 0.2


def test_the_shortest_start_is_that_of_the_fastest_engine_that_stays():
    table = UpstreamTable("r", {})
    for number, factor in enumerate((0.5, 2.0, 4.0)):
        address = Address("127.0.0.1", number + 1)
        listing = UpstreamListing(f"e{number}", "s", address, "z", 4, number == 0, 1)
        table.put(listing).speed.slowness_factor = factor
    start_s = ShortestStart(table.of_service("s"))(
        UpstreamRequirements(1_000, True, 1.0)
    )
    expected_s = predict_first_event_s(table.get("e1").speed, 1_000, 0)
    assert start_s == pytest.approx(expected_s)
