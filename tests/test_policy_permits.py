"""Permits of an upstream are issued at its rate, to the most urgent gateways first."""

import pytest

from pomelothread.policy.coordinators import (
    AVOIDED_S,
    FREEZE_S,
    NO_REPLY_S,
    SETTLING_S,
    RelayChoice,
    Steadiness,
    choose_coordinator,
)
from pomelothread.policy.permits import (
    ASK_LIFETIME_S,
    ASK_RENEWAL_S,
    BURST_S,
    MAX_ANSWER_AGE_S,
    MAX_ASKS_PER_S,
    MAX_HOLD_OFF_S,
    MAX_WANTED,
    MIN_HOLD_OFF_S,
    MIN_RATE_PER_S,
    PERMIT_LIFETIME_S,
    AskPace,
    Forecast,
    PermitIssuer,
    PermitStock,
    Question,
    issue_rate_per_s,
)

# The users' bound on what an upstream gets in any span of this length.
WINDOW_S, FACTOR, SLACK = 4.0, 1.5, 5


def ask(issuer, gateway, n_wanted=1, urgency=0, now_s=0.0, max_wait_s=60.0, rate=1.0):
    question = Question(gateway, n_wanted, urgency, max_wait_s)
    return issuer.ask(question, rate, now_s)


@pytest.mark.parametrize("rate_per_s", [0.0, 0.1, 0.5, 1.9, 10.0, 300.0])
def test_permits_and_their_lifetime_keep_the_bound_with_time_to_spare(rate_per_s):
    rate = issue_rate_per_s(rate_per_s, share=1.0)
    # Permits of this time may all be used within one window.
    n_most = rate * (WINDOW_S + PERMIT_LIFETIME_S) + 1.0 + BURST_S * rate
    assert n_most <= FACTOR * rate_per_s * WINDOW_S + SLACK


def test_an_upstream_that_takes_nothing_is_asked_once_in_a_window():
    assert issue_rate_per_s(0.0, share=1.0) == MIN_RATE_PER_S == 1.0 / WINDOW_S


def test_a_new_issuer_has_no_permits():
    issuer = PermitIssuer(now_s=100.0, n_permits=0.0)
    ask(issuer, "a", now_s=100.0, rate=2.0)
    assert issuer.issue(2.0, now_s=100.4) == []
    assert issuer.issue(2.0, now_s=100.5) == ["a"]


def test_a_new_issuer_has_one_permit_if_the_upstream_was_not_asked_for_long():
    issuer = PermitIssuer(now_s=100.0, n_permits=5.0)
    ask(issuer, "a", n_wanted=3, now_s=100.0, rate=2.0)
    assert issuer.issue(2.0, now_s=100.0) == ["a"]


def test_permits_that_nobody_asks_for_do_not_accumulate():
    issuer = PermitIssuer(now_s=0.0, n_permits=0.0)
    ask(issuer, "a", n_wanted=8, now_s=500.0, rate=8.0)
    assert len(issuer.issue(8.0, now_s=500.0)) == 1 + int(BURST_S * 8.0)


def test_the_most_urgent_gateway_gets_the_next_permit_then_the_first_that_asked():
    issuer = PermitIssuer(now_s=0.0, n_permits=0.0)
    ask(issuer, "early", urgency=1, now_s=0.0)
    ask(issuer, "late", urgency=1, now_s=0.1)
    ask(issuer, "urgent", urgency=0, now_s=0.2)
    assert issuer.issue(1.0, now_s=1.0) == ["urgent"]
    # Both repeat their questions, and keep their places.
    ask(issuer, "late", urgency=1, now_s=1.1)
    ask(issuer, "early", urgency=1, now_s=1.2)
    assert issuer.issue(1.0, now_s=2.0) == ["early"]


def test_a_question_replaces_the_last_one_of_its_gateway():
    issuer = PermitIssuer(now_s=0.0, n_permits=0.0)
    ask(issuer, "a", n_wanted=3)
    ask(issuer, "a", n_wanted=0)
    assert issuer.next_due_s(1.0) is None


def test_a_gateway_learns_how_long_it_would_wait_and_does_not_queue_in_vain():
    issuer = PermitIssuer(now_s=0.0, n_permits=0.0)
    assert ask(issuer, "a", n_wanted=3, rate=2.0) == 0.5
    assert ask(issuer, "b", rate=2.0, max_wait_s=1.0) == 2.0
    assert ask(issuer, "c", rate=2.0, urgency=-1) == 0.5
    assert [issuer.issue(2.0, now_s) for now_s in (0.5, 1.0, 1.2)] == [["c"], ["a"], []]


def test_a_question_that_is_not_repeated_is_void():
    issuer = PermitIssuer(now_s=0.0, n_permits=0.0)
    ask(issuer, "a", rate=0.5)
    assert issuer.issue(0.5, now_s=ASK_LIFETIME_S + 1.0) == []


def test_permits_that_were_given_back_are_issued_again_up_to_the_burst():
    issuer = PermitIssuer(now_s=0.0, n_permits=0.0)
    ask(issuer, "a", now_s=1.0)
    assert issuer.issue(1.0, now_s=1.0) == ["a"]
    issuer.give_back(50)
    ask(issuer, "a", n_wanted=8, now_s=1.0)
    assert issuer.issue(1.0, now_s=1.0) == ["a"]


def test_many_gateways_are_told_to_ask_less_often():
    pace = AskPace()
    assert pace.hold_off_s(now_s=0.0) == MIN_HOLD_OFF_S
    for number in range(100):
        pace.record(str(number), now_s=1.0)
    assert 100 / pace.hold_off_s(now_s=1.0) == pytest.approx(MAX_ASKS_PER_S)
    for number in range(10_000):
        pace.record(str(number), now_s=2.0)
    assert pace.hold_off_s(now_s=2.0) == MAX_HOLD_OFF_S
    assert pace.hold_off_s(now_s=3.0 + MAX_HOLD_OFF_S) == MIN_HOLD_OFF_S


def test_a_permit_is_used_once_and_expires():
    stock = PermitStock()
    stock.record_ask(2, now_s=0.0)
    assert stock.add(2, now_s=0.1) == 2
    assert stock.take(now_s=0.2) == 0.1 + PERMIT_LIFETIME_S
    assert stock.n_usable(now_s=0.2) == 1
    assert stock.take(now_s=0.11 + PERMIT_LIFETIME_S) is None


def test_a_permit_that_reaches_a_gateway_after_a_freeze_is_not_used():
    stock = PermitStock()
    stock.record_ask(1, now_s=0.0)
    assert stock.add(1, now_s=MAX_ANSWER_AGE_S + 0.1) == 0
    assert stock.n_usable(now_s=MAX_ANSWER_AGE_S + 0.1) == 0


# permits that the gateway waits for, number wanted, seconds since it asked; it asks.
QUESTIONS = [
    (0, 1, 0.0, True),
    (0, 0, 9.0, False),
    (1, 0, 0.0, True),
    (1, 1, ASK_RENEWAL_S / 2, False),
    (1, MAX_WANTED, ASK_RENEWAL_S / 2, False),
    (1, 1, ASK_RENEWAL_S, True),
]


@pytest.mark.parametrize(("n_asked", "n_wanted", "ago_s", "must_ask"), QUESTIONS)
def test_a_gateway_asks_when_it_begins_to_wait_ends_to_wait_or_still_waits(
    n_asked, n_wanted, ago_s, must_ask
):
    stock = PermitStock()
    stock.record_ask(n_asked, now_s=10.0)
    assert stock.must_ask(n_wanted, now_s=10.0 + ago_s) is must_ask


def test_a_gateway_that_was_told_to_hold_off_does_not_ask_and_knows_the_time():
    stock = PermitStock()
    stock.record_ask(1, now_s=10.0)
    stock.record_forecast(Forecast(wait_s=3.0, hold_off_s=0.5), now_s=10.0)
    assert not stock.must_ask(1, now_s=10.4)
    assert stock.must_ask(1, now_s=10.6)
    assert stock.available_from_s(now_s=10.4) == 13.0


def test_the_coordinator_changes_only_for_upstreams_of_a_gateway_that_joins_or_leaves():
    names = [f"10.0.0.{n}:7600" for n in range(13)]
    upstreams = [f"engine-{n}" for n in range(200)]
    before = {u: choose_coordinator(u, names) for u in upstreams}
    after = {u: choose_coordinator(u, names[:-1]) for u in upstreams}
    moved = {u for u in upstreams if before[u] != after[u]}
    assert moved == {u for u in upstreams if before[u] == names[-1]}
    assert 5 <= len(moved) <= 30


# (heard, known, seconds) of each update; may it coordinate at the end, with what share?
STEADINESS = [
    pytest.param([(1, 1, 1.0)], False, 1.0, id="has just started"),
    pytest.param([(1, 1, 1.5), (1, 1, SETTLING_S)], True, 1.0, id="alone"),
    pytest.param([(3, 4, 1.5), (3, 4, SETTLING_S)], True, 1.0, id="hears a majority"),
    pytest.param([(1, 4, 1.5), (1, 4, SETTLING_S)], True, 0.25, id="isolated"),
    pytest.param([(2, 4, 1.5), (2, 4, SETTLING_S)], True, 0.25, id="hears a half"),
    pytest.param(
        [(1, 4, 1.5), (1, 4, 3.0), (3, 4, 3.1)], False, 1.0, id="back from a cut"
    ),
    pytest.param(
        [(3, 4, 1.5), (3, 4, 1.5 + FREEZE_S)], False, 1.0, id="back from a freeze"
    ),
]


@pytest.mark.parametrize(("updates", "is_settled", "share"), STEADINESS)
def test_a_gateway_coordinates_after_it_was_in_touch_without_interruption(
    updates, is_settled, share
):
    steadiness = Steadiness(started_s=0.0)
    for n_heard, n_known, now_s in updates:
        steadiness.update(n_heard, n_known, now_s)
    assert steadiness.is_settled(updates[-1][2]) is is_settled
    assert steadiness.share == share


def test_a_relay_that_does_not_reply_is_avoided_for_a_while():
    relays = RelayChoice()
    first = relays.choose("engine-1", ["a", "b", "c"], now_s=0.0)
    relays.record_ask("engine-1", first, now_s=0.0)
    assert relays.choose("engine-1", ["a", "b", "c"], now_s=NO_REPLY_S / 2) == first
    assert relays.choose("engine-1", ["a", "b", "c"], now_s=2 * NO_REPLY_S) != first
    assert relays.choose("engine-1", [first], now_s=2 * NO_REPLY_S) == first
    late_s = 3 * NO_REPLY_S + AVOIDED_S
    assert relays.choose("engine-1", ["a", "b", "c"], now_s=late_s) == first
    relays.record_ask("engine-1", first, now_s=late_s)
    relays.record_reply("engine-1")
    assert relays.choose("engine-1", ["a", "b", "c"], now_s=late_s + 1) == first
