"""Tests of the limit on concurrent requests and the detection of stragglers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelothread.policy.places import ConcurrencyLimit


def make_limit(initial=8, minimum=1, maximum=32, reserved_share=0.25, **changes):
    arguments = {"max_context_tokens": 10_000, "target_token_gap_s": 0.05} | changes
    return ConcurrencyLimit(
        initial, minimum, maximum, reserved_share=reserved_share, **arguments
    )


def feed(limit, gap_s, n_running, start_s, duration_s):
    """Simulate steps that produce one token per stream; return the end time."""
    now_s = start_s
    while now_s < start_s + duration_s:
        now_s += gap_s
        for _ in range(n_running):
            limit.observe_token_gap(gap_s, n_running, now_s)
    return now_s


@pytest.mark.parametrize(
    ("n_places", "reserved_share", "n_reserved"),
    [(1, 0.25, 0), (2, 0.25, 1), (8, 0.25, 2), (8, 0.05, 1), (8, 0.0, 0), (2, 0.9, 1)],
)
def test_places_are_reserved_if_there_are_two_or_more(
    n_places, reserved_share, n_reserved
):
    limit = make_limit(initial=n_places, reserved_share=reserved_share)
    assert limit.n_reserved == n_reserved


@pytest.mark.parametrize(
    ("n_running", "n_unprotected", "context", "offer", "protected", "expected"),
    [
        (0, 0, 0, 100, False, True),
        (6, 6, 0, 100, False, False),  # the last two places are reserved
        (6, 6, 0, 100, True, True),
        (7, 5, 0, 100, False, True),  # protected work uses the reserved places
        (8, 0, 0, 100, True, False),
        (1, 1, 7_000, 1_000, False, False),  # the remaining context is reserved
        (1, 1, 7_000, 1_000, True, True),
        (1, 1, 9_500, 1_000, True, False),
        (0, 0, 0, 50_000, False, True),  # would otherwise wait forever
        (1, 1, 10, 50_000, True, False),
    ],
)
def test_allows(n_running, n_unprotected, context, offer, protected, expected):
    limit = make_limit()
    allowed = limit.allows(n_running, n_unprotected, context, offer, protected)
    assert allowed is expected


@pytest.mark.parametrize(
    ("gap_s", "n_running", "lowest", "highest"),
    [
        (0.02, 8, 17, 19),  # limit reached, fast engine: one more place each second
        (0.02, 4, 8, 8),  # limit not reached
        (0.08, 8, 1, 3),  # above the target
    ],
)
def test_the_limit_follows_the_gap_between_tokens(gap_s, n_running, lowest, highest):
    limit = make_limit()
    now_s = 0.0
    for _ in range(10):
        n_used = limit.n_places if n_running == 8 else n_running
        now_s = feed(limit, gap_s, n_used, now_s, 1.0)
    assert lowest <= limit.n_places <= highest


def test_the_mean_gap_is_steady_where_prompts_join_the_batch():
    # Predictions use the mean, so it must not jump with each prompt.
    limit = make_limit(target_token_gap_s=0.5)
    now_s, means, recents = 0.0, [], []
    for n in range(200):
        gap_s = 0.1 if n % 8 == 0 else 0.02
        now_s = feed(limit, gap_s, 4, now_s, 0.5 * gap_s)
        means.append(limit.mean_gap_s)
        recents.append(limit.recent_gap_s)
    assert max(means[100:]) / min(means[100:]) < 1.2
    assert max(recents[100:]) / min(recents[100:]) > 1.5


def test_the_limit_decreases_at_most_once_per_response_time():
    # Guards against further decreases before the first one has taken effect.
    limit = make_limit(initial=32)
    for _ in range(200):
        limit.observe_response_time(4.0)
    feed(limit, 0.1, 32, 0.0, 3.5)
    assert limit.n_places == 16


def test_an_engine_queue_shrinks_the_limit_and_blocks_growth():
    limit = make_limit()
    limit.observe_engine_queue(2, 0.0)
    assert limit.n_places == 6
    feed(limit, 0.02, 6, 0.0, 3.0)
    assert limit.n_places == 6
    limit.observe_engine_queue(0, 3.0)
    feed(limit, 0.02, 6, 3.0, 1.1)
    assert limit.n_places == 7


@pytest.mark.parametrize("gap_s", [0.015, 0.03, 0.041])
def test_a_stall_is_noticed_in_about_100_ms_and_its_end_too(gap_s):
    limit = make_limit()
    now_s = feed(limit, gap_s, 4, 0.0, 2.0)
    assert not limit.is_straggling(now_s + 1.5 * gap_s)
    assert limit.is_straggling(now_s + 0.13)
    assert limit.n_places == 1
    now_s = feed(limit, 10 * gap_s, 4, now_s, 3.0)
    assert limit.is_straggling(now_s)
    now_s = feed(limit, gap_s, 4, now_s, 12 * gap_s)
    assert not limit.is_straggling(now_s)
    assert limit.n_places == 8


def test_a_prompt_in_the_batch_is_not_a_stall():
    # A step that computes part of a prompt takes four times as long here, and must
    # not count as straggling.
    limit = make_limit(target_token_gap_s=0.2)
    now_s = feed(limit, 0.03, 4, 0.0, 2.0)
    for _ in range(20):
        for _ in range(10):
            now_s += 0.12
            assert not limit.is_straggling(now_s, n_prefilling=1)
            limit.observe_token_gap(0.12, 1, now_s, n_prefilling=1)
            assert not limit.is_straggling(now_s)
        now_s = feed(limit, 0.03, 1, now_s, 0.3)
    assert limit.is_straggling(now_s + 0.13)


def test_an_idle_engine_is_not_stalled_but_keeps_its_last_state():
    limit = make_limit()
    now_s = feed(limit, 0.03, 4, 0.0, 2.0)
    assert not limit.is_straggling(now_s + 60.0, n_streaming=0)
    now_s = feed(limit, 0.3, 1, now_s, 3.0)
    assert limit.is_straggling(now_s + 60.0, n_streaming=0)
    assert limit.allows(0, 0, 0, 10, False)
    assert not limit.allows(1, 0, 0, 10, True)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0.001, 2.0), st.integers(0, 40), st.integers(0, 5), st.booleans()
        ),
        max_size=60,
    )
)
def test_bounds_hold_and_protected_work_is_allowed_whenever_other_work_is(steps):
    limit = make_limit(initial=4, minimum=2, maximum=16)
    now_s = 0.0
    for gap_s, n_running, n_waiting, straggles in steps:
        now_s += gap_s
        limit.observe_token_gap(gap_s, n_running, now_s)
        limit.observe_engine_queue(n_waiting, now_s)
        limit.is_straggling(now_s + 1.0 * straggles)
        assert 2 <= limit.n_places <= 16
        for n_unprotected in range(n_running + 1):
            arguments = (n_running, n_unprotected, 500 * n_running, 100)
            if limit.allows(*arguments, False):
                assert limit.allows(*arguments, True)


@pytest.mark.parametrize(
    "changes",
    [
        {"initial": 0},
        {"initial": 40},
        {"max_context_tokens": 0},
        {"target_token_gap_s": 0.0},
        {"reserved_share": 1.0},
    ],
)
def test_arguments_out_of_range_are_named(changes):
    with pytest.raises(ValueError, match="expected"):
        make_limit(**changes)
