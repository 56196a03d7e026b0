"""Grants of an agent: each permits at most one dispatch."""

from datetime import UTC, datetime

import msgspec
import pytest

from pomelothread.agent.grants import GRANT_LIFETIME_S, Grants
from pomelothread.clock import ManualClock
from pomelothread.peers.messages import (
    CLOSED,
    DRAINING,
    Decline,
    FloorRaised,
    Grant,
    Offer,
    RaiseFloor,
    Refuse,
    Revoke,
    Withdraw,
)
from pomelothread.policy.places import ConcurrencyLimit

ENTRY = "entry-a"
AGENT = "agent-a"


def make_grants(n_places=1, reserved_share=0.0):
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    limit = ConcurrencyLimit(n_places, 1, n_places, 100_000, 0.041, reserved_share)
    return Grants(AGENT, limit, clock), clock


def make_offer(request_id, rank=1, protected=False, entry=ENTRY, solo=False):
    return Offer(
        incarnation=entry,
        request_id=request_id,
        pool="drafting",
        service="draft",
        tier_rank=rank,
        protected=protected,
        organisation="club",
        share=1.0,
        n_input_tokens=10,
        n_output_tokens=10,
        deadline_ms=10_000,
        solo=solo,
    )


def granted(replies):
    return [r.message for r in replies if isinstance(r.message, Grant)]


def refused(replies):
    return [
        (r.message.request_id, r.message.reason)
        for r in replies
        if isinstance(r.message, Refuse)
    ]


def obtain_grant(grants, request_id="r1"):
    return granted(grants.offer(make_offer(request_id)))[0].grant


def revoke(grants, number, agent=AGENT):
    replies = grants.revoke(Revoke(ENTRY, "r1", number, agent))
    return replies[0].message.never_used


# What happens between the grant and the POST, and whether the POST may dispatch.
BEFORE_POST = {
    "nothing": (lambda grants, clock, number: None, True),
    "an earlier POST on the same grant": (
        lambda grants, clock, number: grants.use_grant(number, AGENT, "r1"),
        False,
    ),
    "a pause beyond the life of the grant": (
        lambda grants, clock, number: clock.advance(GRANT_LIFETIME_S),
        False,
    ),
    "a revoke": (lambda grants, clock, number: revoke(grants, number), False),
    "a withdrawal": (
        lambda grants, clock, number: grants.withdraw(Withdraw(ENTRY, "r1")),
        False,
    ),
    "a decline": (
        lambda grants, clock, number: grants.decline(Decline(ENTRY, "r1", number)),
        False,
    ),
    "a decline of another grant": (
        lambda grants, clock, number: grants.decline(Decline(ENTRY, "r1", number + 1)),
        True,
    ),
    "a repeated offer": (
        lambda grants, clock, number: grants.offer(make_offer("r1")),
        True,
    ),
    "a planned stop": (lambda grants, clock, number: grants.close(DRAINING), True),
}


@pytest.mark.parametrize("case", BEFORE_POST)
def test_a_grant_dispatches_once_or_not_at_all(case):
    act, expected = BEFORE_POST[case]
    grants, clock = make_grants()
    number = obtain_grant(grants)
    act(grants, clock, number)
    assert (grants.use_grant(number, AGENT, "r1") is not None) is expected


@pytest.mark.parametrize(
    ("incarnation", "request_id"), [("agent-b", "r1"), (AGENT, "r2")]
)
def test_a_grant_serves_no_other_incarnation_or_request(incarnation, request_id):
    grants, _ = make_grants()
    number = obtain_grant(grants)
    assert grants.use_grant(number, incarnation, request_id) is None


REVOKES = {
    "an open grant": (lambda grants, clock, number: None, AGENT, True),
    "an expired grant": (
        lambda grants, clock, number: (clock.advance(3), grants.expire()),
        AGENT,
        True,
    ),
    "a used grant": (
        lambda grants, clock, number: grants.use_grant(number, AGENT, "r1"),
        AGENT,
        False,
    ),
    "a grant used long ago": (
        lambda grants, clock, number: (
            grants.release(grants.use_grant(number, AGENT, "r1")),
            clock.advance(700),
            grants.expire(),
        ),
        AGENT,
        False,
    ),
    "a grant of the predecessor": (lambda grants, clock, number: None, "old", False),
}


@pytest.mark.parametrize("case", REVOKES)
def test_a_revoke_is_answered_never_used_only_if_that_is_certain(case):
    act, agent, expected = REVOKES[case]
    grants, clock = make_grants()
    number = obtain_grant(grants)
    act(grants, clock, number)
    assert revoke(grants, number, agent) is expected


def test_a_grant_number_of_the_future_is_not_called_unused():
    grants, _ = make_grants()
    assert revoke(grants, 7) is False


def test_the_next_place_goes_to_the_most_urgent_offer_of_all_entries():
    grants, _ = make_grants()
    place = grants.use_grant(obtain_grant(grants, "running"), AGENT, "running")
    grants.offer(make_offer("low", rank=3, entry="entry-b"))
    grants.offer(make_offer("high", rank=0, protected=True, entry="entry-c"))
    (reply,) = grants.release(place)
    assert (reply.entry, reply.message.request_id) == ("entry-c", "high")


def test_lower_tiers_cannot_fill_the_places_reserved_for_protected_work():
    grants, _ = make_grants(n_places=3, reserved_share=0.1)
    replies = [grants.offer(make_offer(f"low{i}", rank=3)) for i in range(3)]
    assert [len(granted(r)) for r in replies] == [1, 1, 0]
    assert granted(grants.offer(make_offer("check", rank=0, protected=True)))


def test_a_suspect_runs_alone_and_nothing_joins_it():
    grants, _ = make_grants(n_places=4)
    first = grants.use_grant(obtain_grant(grants), AGENT, "r1")
    assert not granted(grants.offer(make_offer("suspect", rank=0, solo=True)))
    assert not granted(grants.offer(make_offer("later")))
    assert [g.request_id for g in granted(grants.release(first))] == ["suspect"]


def test_a_small_low_request_does_not_overtake_a_check_that_waits_for_context():
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    grants = Grants(AGENT, ConcurrencyLimit(4, 1, 4, 30, 0.041, 0.0), clock)
    obtain_grant(grants)
    assert not granted(grants.offer(make_offer("check", rank=0, protected=True)))
    small = msgspec.structs.replace(
        make_offer("small", rank=3), n_input_tokens=1, n_output_tokens=1
    )
    assert not granted(grants.offer(small))


def test_a_floor_refuses_what_waits_and_what_comes_below_it():
    grants, clock = make_grants()
    obtain_grant(grants)
    grants.offer(make_offer("kept", rank=1))
    grants.offer(make_offer("shed", rank=2, entry="entry-b"))
    replies = grants.raise_floor(RaiseFloor("entry-c", "drafting", 1, 5))
    assert refused(replies) == [("shed", "floor")]
    assert replies[-1].message == FloorRaised(AGENT, "drafting", 1, 5)
    assert refused(grants.offer(make_offer("new", rank=2))) == [("new", "floor")]
    clock.advance(1.5)
    assert not refused(grants.offer(make_offer("new", rank=2)))


@pytest.mark.parametrize("state", [DRAINING, CLOSED])
def test_a_closed_agent_hands_offers_back_and_takes_no_new_ones(state):
    grants, _ = make_grants()
    obtain_grant(grants)
    grants.offer(make_offer("waiting"))
    assert refused(grants.close(state)) == [("waiting", "leaving")]
    assert refused(grants.offer(make_offer("new"))) == [("new", "leaving")]
    assert grants.n_taken == 1


def test_offers_of_a_silent_entry_lapse():
    grants, clock = make_grants()
    place = grants.use_grant(obtain_grant(grants), AGENT, "r1")
    grants.offer(make_offer("orphan", entry="entry-b"))
    clock.advance(2.0)
    grants.record_entry_alive(ENTRY)
    clock.advance(1.0)
    grants.expire()
    assert not granted(grants.release(place))


def test_a_lost_grant_is_repeated_when_the_offer_is():
    grants, _ = make_grants()
    number = obtain_grant(grants)
    (again,) = granted(grants.offer(make_offer("r1")))
    assert again.grant == number


def test_an_unprotected_offer_that_would_be_late_gets_no_place_but_a_check_does():
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    limit = ConcurrencyLimit(4, 1, 4, 100_000, 0.041, 0.0)
    grants = Grants(AGENT, limit, clock, lambda offer, left_s: left_s > 5.0)
    late = msgspec.structs.replace(make_offer("late"), deadline_ms=4000)
    check = msgspec.structs.replace(
        make_offer("check", rank=0, protected=True), deadline_ms=4000
    )
    assert not granted(grants.offer(late))
    assert [g.request_id for g in granted(grants.offer(check))] == ["check"]
    assert [g.request_id for g in granted(grants.offer(make_offer("other")))] == [
        "other"
    ]
