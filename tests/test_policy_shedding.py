"""Tests of early rejection, and that protected work is shed only after a floor."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelothread.outcomes import Reason
from pomelothread.peers.messages import CLOSED, OPEN, AgentBeat, Floor
from pomelothread.policy.routing import AgentView, RequestFacts
from pomelothread.policy.shedding import (
    ActiveFloors,
    Admit,
    FloorConfirmation,
    Limits,
    Reject,
    WaitingSummary,
    admit,
    cannot_meet_deadline,
    estimate_finish_s,
    retry_after_s,
)

NOW_S = 50.0
LIMITS = Limits(
    max_waiting=100, max_waiting_of_organisation=10, max_waiting_bytes=1_000
)


def make_agent(name="a", state=OPEN, **changes):
    values = {
        "n_places": 4,
        "n_free_places": 4,
        "token_gap_s": 0.02,
        "prefill_tokens_per_s": 1000.0,
        "service_time_s": 2.0,
    } | changes
    beat = AgentBeat(name, name, name, "pool", "fd", "r", name, state, **values)
    return AgentView.from_beat(beat, NOW_S)


def make_request(protected=False, left_s=10.0, rank=1):
    return RequestFacts(rank, protected, 500, 100, NOW_S + left_s, region="r")


BUSY = {"n_free_places": 0, "waiting_by_rank": {0: 10, 1: 9, 2: 90}}


@pytest.mark.parametrize(
    ("agents", "expected"),
    [
        ([], float("inf")),
        ([make_agent(state=CLOSED)], float("inf")),
        ([make_agent()], 2.5),
        ([make_agent(token_gap_s=0.0, prefill_tokens_per_s=0.0)], 0.125 + 4.0),
        ([make_agent(**BUSY)], 2.5 + 20 * 2.0 / 4),
        ([make_agent(**BUSY), make_agent("b")], 2.5),
    ],
    ids=["none", "closed", "idle", "not measured", "busy", "one idle"],
)
def test_the_estimate_is_that_of_the_best_agent(agents, expected):
    assert estimate_finish_s(make_request(), agents, NOW_S) == pytest.approx(expected)


FULL = WaitingSummary(n_waiting=100, lowest_rank=3)
FULL_OF_SAME = WaitingSummary(n_waiting=100, lowest_rank=1)
OF_ONE = WaitingSummary(n_waiting=10, n_waiting_of_organisation=10)


@pytest.mark.parametrize(
    ("request_changes", "agent_changes", "waiting", "expected"),
    [
        ({}, {}, WaitingSummary(), Admit()),
        ({}, {}, FULL, Admit(must_evict=True)),
        ({}, {}, FULL_OF_SAME, Reason.OVERLOADED),
        ({}, {}, WaitingSummary(n_waiting_bytes=1_000), Reason.OVERLOADED),
        ({}, {}, OF_ONE, Reason.ORGANISATION_LIMIT),
        ({"left_s": 1.0}, {}, WaitingSummary(), Reason.DEADLINE_UNREACHABLE),
        ({}, {"state": CLOSED}, WaitingSummary(), Reason.NO_UPSTREAM),
        ({"protected": True}, {}, OF_ONE, Admit()),
        ({"protected": True, "left_s": 0.1}, {}, WaitingSummary(), Admit()),
        ({"protected": True}, {"state": CLOSED}, WaitingSummary(), Admit()),
        ({"protected": True}, {}, FULL_OF_SAME, Admit(must_evict=True)),
    ],
)
def test_admission(request_changes, agent_changes, waiting, expected):
    agents = [make_agent(**agent_changes)]
    answer = admit(make_request(**request_changes), agents, waiting, LIMITS, NOW_S)
    if isinstance(answer, Reject):
        assert answer.retry_after_s >= 1.0
        answer = answer.reason
    assert answer == expected


@pytest.mark.parametrize(
    ("request_changes", "agents", "expected"),
    [
        ({"left_s": 2.1}, [make_agent()], False),  # 0.5 s and 75 tokens of 20 ms
        ({"left_s": 1.9}, [make_agent()], True),
        ({"left_s": 1.9}, [make_agent(), make_agent("b", token_gap_s=0.01)], False),
        ({"left_s": 1.9, "protected": True}, [make_agent()], False),
        ({"left_s": 1.9}, [], False),
    ],
)
def test_work_that_would_be_late_everywhere_is_given_up(
    request_changes, agents, expected
):
    # In the offline evaluation at three times capacity, answers that came too late
    # used 30% of the capacity.
    request = make_request(**request_changes)
    assert cannot_meet_deadline(request, agents, NOW_S) is expected


def test_callers_that_were_shed_do_not_retry_together():
    # The spread must survive rounding to the whole seconds of Retry-After.
    for n_ahead, base_s in ((0, 1), (100, 5), (1_000_000, 60)):
        times = {round(retry_after_s(n_ahead, 20.0, k / 100)) for k in range(100)}
        assert min(times) == base_s
        assert len(times) >= 4
    assert retry_after_s(100, 0.0, 0.0) == 1.0


def test_a_floor_sheds_higher_rank_numbers_of_its_pool_until_it_expires():
    floors = ActiveFloors()
    floors.raise_floor("p", 0, now_s=10.0, life_s=1.0)
    floors.raise_floor("p", 1, now_s=10.5, life_s=1.0)
    floors.raise_floor("p", 0, now_s=10.0, life_s=0.1)  # never shortens
    table = [
        ("p", 0, 10.9, False),
        ("p", 1, 10.9, True),
        ("p", 1, 11.0, False),  # the stricter floor has expired
        ("p", 2, 11.4, True),
        ("p", 2, 11.5, False),
        ("q", 2, 10.9, False),
    ]
    for pool, rank, now_s, expected in table:
        assert floors.is_below(pool, rank, now_s) is expected, (pool, rank, now_s)
    assert floors.active(11.0) == (Floor("p", 1, 500),)
    assert floors.active(12.0) == ()


def test_every_live_agent_must_hold_the_floor_at_once():
    confirmation = FloorConfirmation("p", 0, ["a", "b"], itertools.count(1))
    assert confirmation.due_requests(0.0) == [("a", 1), ("b", 2)]
    assert confirmation.due_requests(0.05) == []
    confirmation.confirmed("a", 1)
    confirmation.confirmed("b", 1)  # the number of another agent
    assert not confirmation.may_shed(0.05)
    assert confirmation.due_requests(0.2) == [("b", 3)]
    confirmation.confirmed("b", 3)
    assert confirmation.may_shed(0.2)
    assert not confirmation.may_shed(1.0)  # the floor at "a" may have expired
    confirmation.agent_appeared("c")
    assert not confirmation.may_shed(0.3)
    confirmation.agent_died("c")
    assert confirmation.may_shed(0.3)
    assert confirmation.due_requests(0.6) == [("a", 4)]
    confirmation.confirmed("a", 4)
    confirmation.confirmed("a", 1)  # a late duplicate does not shorten it
    assert confirmation.may_shed(1.1)
    assert not confirmation.may_shed(1.2)


def test_a_floor_is_counted_from_the_message_that_is_confirmed():
    # A late confirmation of the first of two messages must not count for the second.
    confirmation = FloorConfirmation("p", 0, ["a"], itertools.count(1))
    assert confirmation.due_requests(0.0) + confirmation.due_requests(0.2) == [
        ("a", 1),
        ("a", 2),
    ]
    confirmation.confirmed("a", 1)
    assert confirmation.may_shed(0.9)
    assert not confirmation.may_shed(1.1)


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "deliver", "confirm", "die", "appear"]),
            st.integers(0, 3),
            st.floats(0.0, 0.4),
        ),
        max_size=40,
    )
)
def test_protected_work_is_never_shed_while_a_live_agent_lacks_the_floor(steps):
    # Messages may be lost, delayed, reordered and duplicated.
    confirmation = FloorConfirmation("p", 0, ["a0", "a1"], itertools.count(1))
    alive = {"a0", "a1"}
    sent, answers, floors_by_agent, now_s = [], [], {}, 0.0
    for kind, n, delay_s in steps:
        now_s += delay_s
        match kind:
            case "ask":
                sent += confirmation.due_requests(now_s)
            case "deliver" if sent:
                agent, number = sent[n % len(sent)]  # also twice
                if agent in alive:
                    floors = floors_by_agent.setdefault(agent, ActiveFloors())
                    floors.raise_floor("p", 0, now_s)
                    answers.append((agent, number))
            case "confirm" if answers:
                confirmation.confirmed(*answers[n % len(answers)])
            case "die":
                alive.discard(f"a{n}")
                floors_by_agent.pop(f"a{n}", None)
                confirmation.agent_died(f"a{n}")
            case "appear":
                alive.add(f"a{n}")
                confirmation.agent_appeared(f"a{n}")
        if confirmation.may_shed(now_s):
            assert all(
                agent in floors_by_agent
                and floors_by_agent[agent].is_below("p", 1, now_s)
                for agent in alive
            )
