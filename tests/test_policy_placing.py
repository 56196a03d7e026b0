"""Tests of the choice of upstreams, their rests, and the order of waiting requests."""

import heapq
import random

import pytest

from pomelothread.addresses import Address
from pomelothread.gateway.upstreams import Upstream, UpstreamListing, UpstreamTable
from pomelothread.policy.upstream_choice import (
    N_BEYOND_SLOTS,
    ShortestStart,
    UpstreamRequirements,
    available_upstreams,
    choose_upstream,
    untried,
)
from pomelothread.policy.upstream_health import HealthRecord, mean_failure_share
from pomelothread.policy.upstream_speed import SpeedEstimate
from pomelothread.policy.waiting_order import (
    WaitingFacts,
    for_repeat,
    gives_up_at_s,
    queue_sort_key,
    retry_after_s,
    stream_patience_s,
    urgency,
)

STREAM = UpstreamRequirements(n_prompt_tokens=1000, is_stream=True, on_time_left_s=1.0)


def make_upstream(name, slots=4, is_in_same_region=True, is_leaving=False, gap_s=0.02):
    listing = UpstreamListing(
        name, "engines", Address("127.0.0.1", 1), "zone", slots, is_leaving, 1
    )
    return Upstream(listing, is_in_same_region, speed=SpeedEstimate(gap_s=gap_s))


def choose(upstreams, requirements=STREAM):
    found = choose_upstream(upstreams, requirements, random.Random(1))
    return found and found.listing.upstream_id


def test_a_free_slot_is_better_than_one_request_ahead():
    full, free = make_upstream("full"), make_upstream("free", gap_s=0.03)
    full.n_running = 4
    assert choose([full, free]) == "free"


def test_no_engine_gets_more_than_one_request_ahead():
    engine = make_upstream("engine")
    engine.n_running, engine.n_peer_running = 2, 2
    assert choose([engine]) == "engine"
    engine.n_peer_running += N_BEYOND_SLOTS
    assert choose([engine]) is None


@pytest.mark.parametrize(
    "degrade",
    [
        lambda u: setattr(u.speed, "slowness_factor", 8.0),
        lambda u: setattr(u, "n_peer_pending_tokens", 50_000),
        lambda u: setattr(u.health, "failure_share", 0.5),
        lambda u: setattr(u, "is_in_same_region", False),
    ],
    ids=["slow", "long prompts pending", "failing", "far"],
)
def test_the_better_of_two_free_engines_is_chosen(degrade):
    first, second = make_upstream("first"), make_upstream("second")
    degrade(first)
    assert choose([first, second]) == "second"


def test_a_long_prompt_waits_for_a_fast_engine_instead_of_being_late():
    fast, slow = make_upstream("fast"), make_upstream("slow")
    slow.speed.slowness_factor = 8.0
    fast.n_running = 4 + N_BEYOND_SLOTS
    long_prompt = UpstreamRequirements(
        n_prompt_tokens=8000, is_stream=True, on_time_left_s=1.0
    )
    assert choose([fast, slow], long_prompt) is None
    assert choose([fast, slow]) == "slow"
    late = UpstreamRequirements(
        n_prompt_tokens=8000, is_stream=True, on_time_left_s=-0.1
    )
    assert choose([fast, slow], late) == "slow"


def test_leaving_resting_and_tried_engines_get_nothing():
    engines = [make_upstream(name) for name in ("tried", "resting", "good")]
    engines.append(make_upstream("leaving", is_leaving=True))
    engines[1].health.observe_failure(0.0, is_certain=True)
    found = untried(available_upstreams(engines, 0.1), {"tried"})
    names = [u.listing.upstream_id for u in found]
    assert names == ["good"]


def test_an_upstream_gets_a_single_probe_request_after_a_rest():
    health = HealthRecord()
    assert health.observe_failure(0.0) is False
    assert health.observe_failure(0.1) is True
    assert not health.may_take(0.5)
    assert health.may_take(0.7)
    health.observe_sent(0.7)
    assert not health.may_take(0.8)
    assert health.observe_failure(0.9) is True
    assert not health.may_take(1.8)
    health.observe_sent(2.0)
    health.observe_success()
    assert health.may_take(2.1)


@pytest.mark.parametrize(
    ("failing", "share", "may_rest"),
    [
        ([0, 1, 2, 3, 4], 0.45, []),
        ([2], 0.45, [2]),
        ([1, 3], 0.45, [1, 3]),
        ([0, 1, 2, 3, 4], 0.14, []),
        ([4], 1.0, [4]),
    ],
    ids=["all fail", "one fails", "two fail", "all fail rarely", "one is dead"],
)
def test_only_upstreams_that_fail_more_than_the_others_rest(failing, share, may_rest):
    source = random.Random(3)
    records = [HealthRecord() for _ in range(5)]
    rests = dict.fromkeys(range(5), 0)
    for step in range(2000):
        number, now_s = step % 5, step * 0.02
        record = records[number]
        if not record.may_take(now_s):
            continue
        record.observe_sent(now_s)
        if number not in failing or source.random() >= share:
            record.observe_success()
            continue
        others = [other for other in records if other is not record]
        others_share = mean_failure_share(others)
        rests[number] += record.observe_failure(now_s, others_share=others_share)
    # Each upstream gets about 400 requests; at most 1% of these may start a rest by
    # chance.
    n_by_chance = 4
    assert all(rests[n] > n_by_chance for n in may_rest), rests
    assert all(rests[n] <= n_by_chance for n in range(5) if n not in may_rest), rests


def test_a_probe_without_a_result_is_followed_by_another():
    health = HealthRecord()
    health.observe_failure(0.0, is_certain=True)
    health.observe_sent(1.0)
    health.observe_cancelled()
    assert health.may_take(1.1)


def facts(rank=0, arrived_s=0.0, aim_s=1.0, deadline_s=10.0, patience_s=4.0):
    return WaitingFacts(
        urgency(None, rank),
        arrived_s,
        arrived_s + aim_s,
        arrived_s + deadline_s,
        arrived_s + patience_s,
    )


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (facts(rank=0, arrived_s=0.2), facts(rank=1)),
        (facts(rank=1), facts(rank=0, aim_s=0.4)),
        (facts(rank=1, arrived_s=-0.1), facts(rank=1)),
    ],
    ids=["more urgent", "can still be on time", "earlier"],
)
def test_the_order_of_waiting_requests(first, second):
    key = [queue_sort_key(f, now_s=0.3, start_s=0.2) for f in (first, second)]
    assert key[0] < key[1]


def test_refused_callers_retry_spread_out_and_within_a_third_of_their_time():
    waits = [retry_after_s(facts(), 4.0, n / 10) for n in range(11)]
    assert max(waits) <= (10.0 - 4.0) / 3
    assert max(waits) - min(waits) > 0.5
    assert retry_after_s(facts(), 9.99, 0.5) <= 0.01


@pytest.mark.parametrize(
    ("patience_s", "gives_up_s"), [(None, 3.7), (4.0, 9.7), (1.0, 7.7)]
)
def test_a_repeat_may_wait_until_its_caller_would_leave(patience_s, gives_up_s):
    # A stream that broke off after seven seconds was given up at once, because most of
    # the time for which its caller waits for the first event had passed.
    again = for_repeat(facts(), 7.0, patience_s)
    assert gives_up_at_s(again) == pytest.approx(gives_up_s)


def test_a_stream_is_refused_before_its_caller_leaves():
    patience_s = stream_patience_s(0.5, 0.3)
    assert patience_s == pytest.approx(2.4)
    assert 0 < gives_up_at_s(facts(patience_s=patience_s)) < patience_s


# A burst of ten seconds at one and a half times the capacity of three engines, one of
# which is four times slower than the others.
SERVICE_TIME_S = 0.5
N_SECONDS = 10


def simulate_burst(sort_key):
    """Return for each rank the share of requests that start in time."""
    source = random.Random(3)
    table = UpstreamTable("region", {})
    engines = []
    for number, factor in enumerate((1.0, 1.0, 4.0)):
        listing = make_upstream(f"e{number}").listing
        engine = table.put(listing)
        engine.speed.slowness_factor = factor
        engines.append(engine)
    arrivals = sorted(
        (source.uniform(0, N_SECONDS), source.choices((0, 1, 2), (2, 1, 3))[0])
        for _ in range(int(1.5 * 18 * N_SECONDS))
    )
    waiting, ends, on_time, asked = [], [], [0, 0, 0], [0, 0, 0]
    while arrivals or waiting:
        now_s = arrivals[0][0] if arrivals else ends[0][0]
        if ends and ends[0][0] <= now_s:
            now_s, _, engine = heapq.heappop(ends)
            engine.n_running -= 1
        elif arrivals:
            _, rank = arrivals.pop(0)
            asked[rank] += 1
            waiting.append(facts(rank=rank, arrived_s=now_s))
        waiting = [f for f in waiting if gives_up_at_s(f) > now_s]
        waiting.sort(key=lambda f: sort_key(f, now_s, engines))
        for f in list(waiting):
            requirements = UpstreamRequirements(1000, True, f.on_time_until_s - now_s)
            engine = choose_upstream(engines, requirements, source)
            if engine is None:
                break
            waiting.remove(f)
            factor = engine.speed.slowness_factor
            queue_s = 0.2 if engine.n_running >= 4 else 0.0
            on_time[f.urgency] += now_s + queue_s + 0.08 * factor <= f.on_time_until_s
            engine.n_running += 1
            heapq.heappush(
                ends, (now_s + SERVICE_TIME_S * factor, source.random(), engine)
            )
    return [n / max(1, total) for n, total in zip(on_time, asked, strict=True)]


def policy_sort_key(f, now_s, engines):
    start_s = ShortestStart(engines)(UpstreamRequirements(1000, True, 1.0))
    return queue_sort_key(f, now_s, start_s)


def test_in_a_burst_urgent_requests_start_in_time_before_others():
    shares = simulate_burst(policy_sort_key)
    shares_by_arrival = simulate_burst(lambda f, now_s, engines: f.arrived_s)
    assert shares[0] >= 0.99
    assert shares[0] >= shares[1] >= shares[2]
    assert shares[0] > shares_by_arrival[0] + 0.2
