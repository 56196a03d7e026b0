"""What upstreams say about the requests that they take, and for how long it holds."""

import logging
import math

import pytest
from platform_rig import gateway_rig

from pomelothread.events import Event
from pomelothread.http1.messages import ResponseHead
from pomelothread.platform.headers import PlatformDialect
from pomelothread.policy.departures import UpstreamStart
from pomelothread.policy.rate_limits import (
    MAX_TRACKED_STARTS,
    LimitReport,
    NoRateLimit,
    RateLimit,
    RateLimitTracker,
    UnusableRateLimit,
    read_rate_statement,
)
from standins.platform import UpstreamFault

START = UpstreamStart("engine-1", 1000)
LIMITED = {"Server-Limit": "0.5"}
TOKENS = "100,40"

# values of the header, one for each line; what they say.
STATEMENTS = [
    ([], NoRateLimit()),
    ([b"1.9"], RateLimit(1.9)),
    ([b" 2 "], RateLimit(2.0)),
    ([b".5"], RateLimit(0.5)),
    ([b"1e1"], RateLimit(10.0)),
    # An upstream that takes nothing is asked rarely whether its need is over.
    ([b"0"], RateLimit(0.0)),
    ([b"0.0"], RateLimit(0.0)),
    ([b""], UnusableRateLimit()),
    ([b"many"], UnusableRateLimit()),
    ([b"-1"], UnusableRateLimit()),
    ([b"-inf"], UnusableRateLimit()),
    ([b"inf"], UnusableRateLimit()),
    ([b"1e999"], UnusableRateLimit()),
    ([b"nan"], UnusableRateLimit()),
    ([b"1.9 a second"], UnusableRateLimit()),
    ([b"1_9"], UnusableRateLimit()),
    # Of several limits the lowest holds, whether in one line or in several.
    ([b"5", b"2"], RateLimit(2.0)),
    ([b"5, 2"], RateLimit(2.0)),
    ([b"many", b"2"], RateLimit(2.0)),
    ([b"many", b"-1"], UnusableRateLimit()),
]


@pytest.mark.parametrize(("values", "statement"), STATEMENTS)
def test_a_limit_is_a_finite_number_that_is_not_negative(values, statement):
    assert read_rate_statement(values) == statement


def test_the_platform_names_the_limit_in_any_number_of_lines():
    limits = tuple((b"server-limit", value) for value in (b"5", b"2"))
    head = ResponseHead(503, ((b"server", b"x"), *limits))
    assert PlatformDialect().read_response(head).rate_limits == (b"5", b"2")


# statement, time at which the request was sent, time of the response; limit afterwards.
LIFE_OF_A_LIMIT = [
    pytest.param([(NoRateLimit(), 0.0, 0.1)], None, id="never named"),
    pytest.param([(RateLimit(2.0), 0.0, 0.1)], 2.0, id="named"),
    pytest.param([(UnusableRateLimit(), 0.0, 0.1)], None, id="never usable"),
    pytest.param(
        [(RateLimit(2.0), 0.0, 0.1), (RateLimit(5.0), 0.2, 0.3)], 5.0, id="rises"
    ),
    pytest.param(
        [(RateLimit(2.0), 0.0, 0.1), (RateLimit(0.5), 0.2, 0.3)], 0.5, id="falls"
    ),
    pytest.param(
        [(RateLimit(2.0), 0.0, 0.1), (RateLimit(0.0), 0.2, 0.3)], 0.0, id="falls to 0"
    ),
    pytest.param(
        [(RateLimit(2.0), 0.0, 0.1), (NoRateLimit(), 0.2, 0.3)], None, id="ends"
    ),
    pytest.param(
        [(RateLimit(2.0), 0.0, 0.2), (NoRateLimit(), 0.1, 0.3)],
        2.0,
        id="a response to a request from before does not end it",
    ),
    pytest.param(
        [(RateLimit(2.0), 0.0, 0.1), (UnusableRateLimit(), 0.2, 0.3)],
        2.0,
        id="an unusable value does not end it",
    ),
    pytest.param(
        [
            (RateLimit(2.0), 0.0, 0.1),
            (NoRateLimit(), 0.2, 0.3),
            (RateLimit(1.0), 0.4, 0.5),
        ],
        1.0,
        id="named again",
    ),
]


@pytest.mark.parametrize(("responses", "rate_per_s"), LIFE_OF_A_LIMIT)
def test_a_limit_holds_until_a_later_response_does_not_name_it(responses, rate_per_s):
    tracker = RateLimitTracker()
    for statement, sent_s, now_s in responses:
        tracker.observe(START, statement, sent_s, now_s)
    assert tracker.rate_per_s(START) == rate_per_s


def test_a_later_start_under_the_same_name_begins_without_a_limit():
    tracker = RateLimitTracker()
    tracker.observe(START, RateLimit(2.0), 0.0, 0.1)
    assert tracker.rate_per_s(UpstreamStart(START.upstream_id, 2000)) is None


def test_the_number_of_tracked_starts_is_bounded():
    tracker = RateLimitTracker()
    for number in range(MAX_TRACKED_STARTS + 1):
        start = UpstreamStart(f"engine-{number}", 1000)
        tracker.observe(start, RateLimit(1.0), number, number + 0.1)
    assert tracker.rate_per_s(UpstreamStart("engine-0", 1000)) is None
    assert tracker.rate_per_s(UpstreamStart("engine-1", 1000)) == 1.0


def test_a_limit_in_force_is_remembered_longer_than_one_that_has_ended():
    tracker = RateLimitTracker()
    for number in range(MAX_TRACKED_STARTS):
        start = UpstreamStart(f"engine-{number}", 1000)
        tracker.observe(start, RateLimit(1.0), number, number + 0.1)
    ended, late_s = UpstreamStart("engine-9", 1000), MAX_TRACKED_STARTS + 1.0
    tracker.observe(ended, NoRateLimit(), late_s, late_s + 0.1)
    tracker.observe(UpstreamStart("new", 1000), RateLimit(1.0), late_s, late_s + 0.2)
    assert tracker.rate_per_s(UpstreamStart("engine-0", 1000)) == 1.0
    assert tracker.report(ended, late_s) is None


# own statement and its time; rate and age in a peer's report at 10 s; limit.
REPORTS = [
    (None, 0.0, 2.0, 1.0, 2.0),
    (None, 0.0, None, 1.0, None),
    (RateLimit(1.0), 5.0, 2.0, 1.0, 2.0),
    (RateLimit(1.0), 5.0, 2.0, 6.0, 1.0),
    (RateLimit(1.0), 5.0, None, 1.0, None),
    (RateLimit(1.0), 5.0, None, 6.0, 1.0),
    (RateLimit(1.0), 5.0, -1.0, 1.0, 1.0),
    (RateLimit(1.0), 5.0, math.nan, 1.0, 1.0),
    (RateLimit(1.0), 5.0, math.inf, 1.0, 1.0),
]


@pytest.mark.parametrize(("own", "own_s", "rate_per_s", "age_s", "limit"), REPORTS)
def test_the_newest_statement_of_all_gateways_holds(
    own, own_s, rate_per_s, age_s, limit
):
    tracker = RateLimitTracker()
    if own is not None:
        tracker.observe(START, own, own_s, own_s)
    tracker.merge_reported(LimitReport(START, rate_per_s, age_s), now_s=10.0)
    assert tracker.rate_per_s(START) == limit


def test_a_change_is_reported_once_and_a_reported_one_only_if_it_is_passed_on():
    tracker = RateLimitTracker()
    tracker.observe(START, RateLimit(2.0), 0.0, 1.0)
    (report,) = tracker.take_unreported(4, now_s=3.0)
    assert report == LimitReport(START, 2.0, 2.0)
    assert tracker.take_unreported(4, now_s=3.0) == []
    for passes_on, n_reports in ((False, 0), (True, 1)):
        rate_per_s = 5.0 + n_reports
        report = LimitReport(START, rate_per_s, age_s=0.0)
        tracker.merge_reported(report, 4.0 + n_reports, passes_on)
        assert len(tracker.take_unreported(4, now_s=6.0)) == n_reports


# fault, target, tokens: each kind of response that can name a limit.
RESPONSES = [
    (UpstreamFault.NONE, "/lookups/", None),
    (UpstreamFault.NONE, "/drafts/", TOKENS),
    (UpstreamFault.ERRORS, "/orders/", None),
    (UpstreamFault.SHEDS, "/orders/", None),
    (UpstreamFault.CUTS, "/drafts/", TOKENS),
]


@pytest.mark.parametrize(("fault", "target", "tokens"), RESPONSES)
async def test_a_limit_in_any_response_is_logged_and_counted(
    fault, target, tokens, caplog
):
    caplog.set_level(logging.INFO)
    service = "engine" if tokens else "desk"
    async with gateway_rig(engines=1, desks=1) as rig:
        upstream = rig.upstreams[f"{service}-0"]
        upstream.fault, upstream.extra_headers = fault, LIMITED
        await rig.call(target, tokens=tokens)
        assert rig.gateway.rate_limit_per_s(upstream.upstream_id) == 0.5
        metrics = rig.gateway.metrics.render().decode()
    learned = [
        record.args["rate_per_s"]
        for record in caplog.records
        if getattr(record, "event", None) is Event.UPSTREAM_LIMIT_LEARNED
    ]
    assert learned == [0.5]
    assert "pomelothread_gateway_limited_upstreams 1" in metrics


async def test_another_upstream_at_the_address_names_no_limit_for_the_listed_one():
    async with gateway_rig(desks=1) as rig:
        desk = rig.upstreams["desk-0"]
        desk.upstream_id, desk.extra_headers = "newer", LIMITED
        await rig.call("/lookups/", deadline_ms=500)
        assert rig.gateway.rate_limit_per_s("desk-0") is None
