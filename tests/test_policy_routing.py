"""Tests of the choice of agents for a request."""

import hashlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelothread.peers.messages import CLOSED, DRAINING, OPEN, AgentBeat
from pomelothread.policy import routing
from pomelothread.policy.prediction import pool_rates, predict_run_s
from pomelothread.policy.routing import AgentView, RequestFacts, choose_agents

NOW_S = 100.0


def make_agent(name, *, region="near", state=OPEN, age_s=0.1, **changes):
    values = {
        "n_places": 8,
        "n_free_places": 8,
        "token_gap_s": 0.03,
        "prefill_tokens_per_s": 4000.0,
        "service_time_s": 5.0,
    } | changes
    n_offered = values.pop("n_offered", 0)
    beat = AgentBeat(
        f"i-{name}", name, f"tcp://{name}", "pool", "fd", region, name, state, **values
    )
    return AgentView.from_beat(beat, NOW_S - age_s, n_offered)


def make_request(*, protected=False, n_in=400, n_out=100, left_s=60.0, **changes):
    return RequestFacts(
        0, protected, n_in, n_out, NOW_S + left_s, region="near", **changes
    )


def names(agents):
    return [agent.instance for agent in agents]


@pytest.mark.parametrize(
    ("state", "age_s", "expected"),
    [
        (OPEN, 2.4, True),
        (OPEN, 2.6, False),
        (DRAINING, 0.0, False),
        (CLOSED, 0.0, False),
    ],
)
def test_only_open_agents_with_a_fresh_heartbeat_are_used(state, age_s, expected):
    agent = make_agent("a", state=state, age_s=age_s)
    assert (choose_agents(make_request(), [agent], NOW_S) == [agent]) is expected


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({}, {"token_gap_s": 0.3}),
        ({"n_out": 1}, {"prefill_tokens_per_s": 400.0}),
        ({}, {"n_free_places": 0, "waiting_by_rank": {0: 20}}),
        ({}, {"n_free_places": 0, "n_offered": 20}),
        ({}, {"age_s": 2.0}),
        ({}, {"n_free_places": 0}),
    ],
    ids=["gap", "prefill", "waiting", "own offers", "old report", "no place"],
)
def test_the_earlier_finish_is_preferred(better, worse):
    request = make_request(n_in=4000, **better)
    agents = [make_agent("worse", **worse), make_agent("better")]
    for seed in range(5):
        chosen = choose_agents(request, agents, NOW_S, spread_seed=seed)
        assert names(chosen) == ["better", "worse"]


@pytest.mark.parametrize(("protected", "n_chosen"), [(False, 3), (True, 16)])
def test_the_number_of_chosen_agents_is_limited(protected, n_chosen):
    agents = [make_agent(f"a{n}") for n in range(20)]
    chosen = choose_agents(make_request(protected=protected), agents, NOW_S)
    assert len(set(names(chosen))) == len(chosen) == n_chosen


def test_equal_agents_share_the_requests():
    # Guards against all requests between two heartbeats going to one agent.
    agents = [make_agent(f"a{n}") for n in range(5)]
    request = make_request()
    first = [
        names(choose_agents(request, agents, NOW_S, spread_seed=seed))[0]
        for seed in range(100)
    ]
    assert max(first.count(name) for name in names(agents)) < 40


FAR = {"region": "far"}
SLOW = {"token_gap_s": 1.0}


@pytest.mark.parametrize(
    ("near", "request_changes", "uses_far"),
    [
        ({}, {}, False),  # the near agent meets the deadline
        (SLOW, {}, True),  # 100 s for a deadline of 60 s
        (SLOW, {"n_out": 1000}, False),  # 250 kB would occupy the link for 0.2 s
        (SLOW, {"n_out": 1000, "protected": True}, True),
        (SLOW, {"left_s": 200.0}, False),
        ({"state": CLOSED}, {"n_out": 5000}, True),  # no other agent is usable
    ],
)
def test_the_link_is_crossed_only_for_small_requests_in_need(
    near, request_changes, uses_far
):
    agents = [make_agent("near", **near), make_agent("far", **FAR)]
    chosen = names(choose_agents(make_request(**request_changes), agents, NOW_S))
    assert ("far" in chosen) is uses_far
    assert "near" not in chosen or chosen[0] == "near"


def test_a_shared_prefix_goes_to_one_agent_until_it_is_overloaded():
    agents = [make_agent(f"a{n}") for n in range(8)]
    text = "system prompt " * 100
    hashes = routing.prefix_hashes(text)
    seen = routing.SeenPrefixes()
    first = set()
    for n in range(10):
        n_seen = seen.observe(hashes)
        assert n_seen == (len(hashes) if n else 0)
        request = make_request(prefix_hashes=hashes, n_seen_prefixes=n_seen)
        chosen = choose_agents(request, agents, NOW_S, spread_seed=n)
        if n:
            first.add(chosen[0].instance)
    assert len(first) == 1
    busy = next(agent for agent in agents if agent.instance in first)
    busy.n_free_places, busy.waiting_by_rank = 0, {0: 12}
    chosen = choose_agents(request, agents, NOW_S)
    assert chosen[0].instance not in first


@pytest.mark.parametrize(
    ("protected", "left_s", "first"),
    [(False, 60.0, "slow"), (False, 10.0, "fast"), (True, 60.0, "fast")],
)
def test_a_cached_prefix_does_not_make_a_request_late(protected, left_s, first):
    # Saved prefill must not delay urgent work by seconds: the slow agent takes 10 s
    # for this request, the fast one 3 s.
    agents = [make_agent("fast"), make_agent("slow", token_gap_s=0.1)]
    prefixes = [
        n
        for n in range(50)
        if routing._rendezvous_weight(n, "slow") > routing._rendezvous_weight(n, "fast")
    ]
    request = make_request(
        protected=protected,
        left_s=left_s,
        prefix_hashes=(prefixes[0],),
        n_seen_prefixes=1,
    )
    assert choose_agents(request, agents, NOW_S)[0].instance == first


def test_few_prefixes_move_when_an_agent_leaves():
    # Guards against hashing modulo the number of agents, which would move nearly all
    # prefixes to other caches.
    agents = [make_agent(f"a{n}") for n in range(10)]
    requests = [make_request(prefix_hashes=(n,), n_seen_prefixes=1) for n in range(200)]
    before = [choose_agents(r, agents, NOW_S)[0].instance for r in requests]
    after = [choose_agents(r, agents[1:], NOW_S)[0].instance for r in requests]
    moved = [b for b, a in zip(before, after, strict=True) if a != b]
    assert set(moved) == {"a0"}


def test_the_seen_prefixes_are_bounded():
    seen = routing.SeenPrefixes(max_prefixes=3)
    seen.observe((1, 2, 3))
    seen.observe((4,))
    assert seen.observe((2, 3, 4)) == 3
    assert seen.observe((1,)) == 0


def test_prefix_hashes_are_the_same_in_every_process():
    # Guards against the use of Python's `hash`, whose seed differs between processes.
    digest = hashlib.blake2b(b"a" * 256, digest_size=8).digest()
    assert routing.prefix_hashes("a" * 511) == (int.from_bytes(digest, "big") >> 1,)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([0.0, 0.02, 0.3]), st.integers(0, 8), st.floats(0.0, 3.0)
        ),
        max_size=18,
    ),
    st.booleans(),
    st.floats(-1.0, 100.0),
)
def test_offers_go_out_in_order_and_in_bounded_time(facts, protected, left_s):
    agents = [
        make_agent(f"a{n}", token_gap_s=gap_s, n_free_places=n_free, age_s=age_s)
        for n, (gap_s, n_free, age_s) in enumerate(facts)
    ]
    request = make_request(protected=protected, left_s=left_s)
    chosen = choose_agents(request, agents, NOW_S)
    schedule = routing.schedule_offers(request, chosen, NOW_S)
    assert [offer.agent for offer in schedule] == chosen
    assert all(0.0 <= offer.delay_s <= 10.0 for offer in schedule)
    assert not schedule or schedule[0].delay_s == 0.0
    for offer in schedule:
        assert offer.delay_s <= max(0.003, 0.5 * left_s)


def test_a_request_without_tokens_takes_the_measured_service_time():
    agents = [make_agent("a", service_time_s=0.2), make_agent("b", service_time_s=0.0)]
    request = make_request(n_in=0, n_out=0)
    rates = pool_rates(agents)
    assert [predict_run_s(request, agent, rates) for agent in agents] == [0.2, 0.2]
