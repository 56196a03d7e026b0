"""Tests of retries by an entry: no request that may have run is repeated."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelothread.outcomes import Reason
from pomelothread.policy import retries
from pomelothread.policy.retries import (
    AnswerNotKnown,
    AnswerNotRun,
    Complete,
    CutAfterHead,
    CutResponse,
    Done,
    LostBeforeHead,
    NotDispatched,
    NothingSent,
    OfferAgain,
    RetryBudget,
    decide,
)

NOT_KNOWN = AnswerNotKnown(Reason.ANSWER_LOST, give_status_url=False)


@pytest.mark.parametrize(
    ("end", "changes", "expected"),
    [
        (Complete(), {}, Done()),
        (CutAfterHead(), {}, CutResponse()),
        (LostBeforeHead(None), {}, NOT_KNOWN),
        (LostBeforeHead(False), {}, NOT_KNOWN),
        (
            LostBeforeHead(None),
            {"keyed": True},
            AnswerNotKnown(Reason.ANSWER_LOST, True),
        ),
        (
            LostBeforeHead(None, timed_out=True),
            {},
            AnswerNotKnown(Reason.UPSTREAM_SILENT, False),
        ),
        (LostBeforeHead(True, timed_out=True), {}, OfferAgain(0.0)),
        (LostBeforeHead(True), {"keyed": True}, OfferAgain(0.0)),
        (NothingSent(), {}, OfferAgain(0.0)),
        (NothingSent(), {"n_attempts": 2}, OfferAgain(0.02)),
        (NothingSent(), {"n_attempts": 3}, OfferAgain(0.04)),
        (NothingSent(), {"n_attempts": 4}, AnswerNotRun(Reason.NO_UPSTREAM)),
        (NothingSent(), {"n_attempts": 9, "protected": True}, OfferAgain(0.5)),
        (
            NothingSent(),
            {"deadline_left_s": 0.01},
            AnswerNotRun(Reason.DEADLINE_PASSED),
        ),
        (NotDispatched("expired"), {}, OfferAgain(0.0)),
        (NotDispatched("expired"), {"n_attempts": 4}, AnswerNotRun(Reason.OVERLOADED)),
        (NotDispatched("convicted"), {}, AnswerNotRun(Reason.CONVICTED)),
        (
            NothingSent(),
            {"budget": RetryBudget(0.1, 0.0)},
            AnswerNotRun(Reason.NO_UPSTREAM),
        ),
    ],
)
def test_the_end_of_an_attempt_decides_what_follows(end, changes, expected):
    arguments = {"deadline_left_s": 5.0, "n_attempts": 1, "keyed": False} | changes
    assert decide(end, **arguments) == expected


ends = st.one_of(
    st.just(NothingSent()),
    st.builds(NotDispatched, st.sampled_from(["", "expired", "convicted"])),
    st.builds(LostBeforeHead, st.sampled_from([True, False, None]), st.booleans()),
    st.just(CutAfterHead()),
    st.just(Complete()),
)


@settings(derandomize=True, max_examples=300)
@given(ends, st.floats(-5.0, 60.0), st.integers(1, 10), st.booleans(), st.booleans())
def test_only_what_certainly_did_not_run_is_bound_again_or_told_not_run(
    end, left_s, n_attempts, keyed, protected
):
    # No request may run twice, and none that may have run is reported as not run.
    decision = decide(
        end,
        deadline_left_s=left_s,
        n_attempts=n_attempts,
        keyed=keyed,
        protected=protected,
    )
    did_not_run = isinstance(end, NothingSent | NotDispatched) or (
        isinstance(end, LostBeforeHead) and end.revoked is True
    )
    assert isinstance(decision, OfferAgain | AnswerNotRun) is did_not_run
    if isinstance(decision, OfferAgain):
        assert 0.0 <= decision.delay_s <= min(0.5, max(0.0, left_s))
        assert protected or n_attempts < retries.MAX_ATTEMPTS


def test_an_outage_is_not_amplified():
    # Without the budget, each of the 1,000 failing requests would be tried four times.
    budget = RetryBudget()
    n_attempts = 0
    for _ in range(1000):
        budget.earn()
        n_tries = 1
        while decide(
            NothingSent(),
            deadline_left_s=5.0,
            n_attempts=n_tries,
            keyed=False,
            budget=budget,
        ) != AnswerNotRun(Reason.NO_UPSTREAM):
            n_tries += 1
        n_attempts += n_tries
    assert n_attempts <= 1000 + 50 + 100
