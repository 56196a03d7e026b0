"""Upstreams that announce that they leave or ask for a rest get no requests."""

import asyncio

import pytest
from platform_rig import configuration, gateway_rig, route, second_gateway

from pomelothread.http1.messages import ResponseHead
from pomelothread.platform.headers import PlatformDialect
from pomelothread.policy.departures import (
    MAX_REMEMBERED_STARTS,
    DepartureTracker,
    UpstreamStart,
)
from pomelothread.policy.upstream_health import HealthRecord
from pomelothread.policy.waiting_order import WaitingFacts, retry_after_s
from standins.platform import UpstreamFault

LEAVES = {"Server-Leaving": "1"}
TOKENS = "100,40"


async def answers_of(rig, target, n, tokens=None):
    return [
        await rig.call(target, tokens=tokens, request_id=f"{target}{number}")
        for number in range(n)
    ]


# fault, target, tokens: each kind of response that can carry the announcement.
ANSWERS = [
    (UpstreamFault.NONE, "/lookups/", None),
    (UpstreamFault.NONE, "/orders/", None),
    (UpstreamFault.NONE, "/drafts/", TOKENS),
    (UpstreamFault.ERRORS, "/orders/", None),
    (UpstreamFault.SHEDS, "/orders/", None),
    (UpstreamFault.CUTS, "/drafts/", TOKENS),
    (UpstreamFault.ENDS_EARLY, "/drafts/", TOKENS),
]


@pytest.mark.parametrize(("fault", "target", "tokens"), ANSWERS)
async def test_nothing_is_sent_to_an_upstream_that_announced_that_it_leaves(
    fault, target, tokens
):
    service = "engine" if tokens else "desk"
    async with gateway_rig(engines=1, desks=1) as rig:
        leaving = rig.upstreams[f"{service}-0"]
        leaving.fault, leaving.extra_headers = fault, LEAVES
        await rig.call(target, tokens=tokens)
        assert rig.gateway.is_leaving(leaving.upstream_id)
        n_before = len(leaving.executed_calls) + leaving.n_shed
        await rig.add_upstream("other", leaving.service)
        while rig.gateway.is_leaving("other"):
            await asyncio.sleep(0.01)
        answers = await answers_of(rig, target, 4, tokens)
        assert [answer.status for answer in answers] == [200] * 4
        assert len(leaving.executed_calls) + leaving.n_shed == n_before


@pytest.mark.parametrize(
    ("value", "leaves"),
    [(b"1", True), (b"0", False), (b"", False), (b"yes", False), (b"11", False)],
)
def test_only_the_value_1_announces_that_an_upstream_leaves(value, leaves):
    head = ResponseHead(200, ((b"server-leaving", value),))
    assert PlatformDialect().read_response(head).is_leaving is leaves


async def test_a_leaving_upstream_gets_no_requests_when_listed_as_ready_again():
    async with gateway_rig(desks=1) as rig:
        leaving = rig.upstreams["desk-0"]
        leaving.extra_headers = LEAVES
        await rig.call("/lookups/")
        for state in ("draining", "ready"):
            rig.store.put("keyed.servers", "desk-0", leaving.store_entry(state=state))
        rig.store.put("keyed.servers", "desk-0", None)
        await rig.add_upstream("desk-2", "desk")
        while rig.gateway.is_leaving("desk-2"):
            await asyncio.sleep(0.01)
        # The entry is listed again with the start time of the leaving process.
        rig.store.put("keyed.servers", "desk-0", leaving.store_entry())
        await rig.add_upstream("desk-3", "desk")
        while rig.gateway.is_leaving("desk-3"):
            await asyncio.sleep(0.01)
        n_before = len(leaving.executed_calls)
        await answers_of(rig, "/lookups/", 8)
        assert len(leaving.executed_calls) == n_before


async def test_a_restart_under_the_same_name_clears_leaving_and_rest():
    async with gateway_rig(desks=1) as rig:
        desk = rig.upstreams["desk-0"]
        desk.fault = UpstreamFault.SHEDS
        desk.extra_headers = LEAVES | {"Retry-After": "900"}
        assert (await rig.call("/orders/")).status == 503
        assert rig.gateway.is_leaving("desk-0")
        desk.fault, desk.extra_headers = UpstreamFault.NONE, {}
        desk.started_ms += 1
        rig.store.put("keyed.servers", "desk-0", desk.store_entry())
        while rig.gateway.is_leaving("desk-0"):
            await asyncio.sleep(0.01)
        assert (await rig.call("/orders/", request_id="r2")).status == 200


async def test_peers_learn_that_an_upstream_leaves():
    async with gateway_rig(desks=1) as first, second_gateway(first) as second:
        while not (first.gateway.n_peers and second.gateway.n_peers):
            await asyncio.sleep(0.01)
        leaving = first.upstreams["desk-0"]
        leaving.extra_headers = LEAVES
        await first.call("/lookups/")
        await first.add_upstream("desk-1", "desk")
        while second.gateway.is_leaving("desk-1"):
            await asyncio.sleep(0.01)
        while not second.gateway.is_leaving("desk-0"):
            await asyncio.sleep(0)
        n_before = len(leaving.executed_calls)
        await answers_of(second, "/lookups/", 4)
        assert len(leaving.executed_calls) == n_before


async def test_an_upstream_that_took_over_an_address_can_announce_leaving():
    async with gateway_rig(desks=1) as rig:
        desk = rig.upstreams["desk-0"]
        entry = desk.store_entry()
        rig.store.put("keyed.servers", "newer", entry)
        while rig.gateway.is_leaving("newer"):
            await asyncio.sleep(0.01)
        desk.upstream_id, desk.extra_headers = "newer", LEAVES
        while not rig.gateway.is_leaving("newer"):
            await rig.call("/lookups/", deadline_ms=500)
        assert not rig.gateway.is_leaving("desk-0")


# value of Retry-After in a 503, requested rest in seconds.
RESTS = [
    (b"3", 3.0),
    (b"0.4", 0.4),
    (b" 2 ", 2.0),
    (b"0", 0.0),
    (b"31536000", 31_536_000.0),
    (b"-1", None),
    (b"soon", None),
    (b"", None),
    (b"nan", None),
    (b"1e999", None),
    (b"Fri, 04 Dec 2026 10:00:00 GMT", None),
]


@pytest.mark.parametrize(("value", "rest_s"), RESTS)
def test_retry_after_is_parsed_as_a_number_of_seconds(value, rest_s):
    head = ResponseHead(503, ((b"retry-after", value),))
    assert PlatformDialect().read_response(head).requested_rest_s == rest_s


@pytest.mark.parametrize("status", [200, 429, 500, 502])
def test_retry_after_counts_only_in_a_503(status):
    head = ResponseHead(status, ((b"retry-after", b"3"),))
    assert PlatformDialect().read_response(head).requested_rest_s is None


def test_a_shorter_rest_does_not_end_a_longer_one():
    health = HealthRecord()
    health.record_requested_rest(10.0, 5.0)
    health.record_requested_rest(11.0, 1.0)
    health.observe_success()
    assert [health.may_take(now_s) for now_s in (10.0, 14.9, 15.0)] == [
        False,
        False,
        True,
    ]


@pytest.mark.parametrize("is_marked", [True, False])
async def test_an_upstream_gets_no_request_during_the_rest_that_it_asked_for(
    is_marked,
):
    async with gateway_rig(desks=1) as rig:
        resting = rig.upstreams["desk-0"]
        resting.fault = (
            UpstreamFault.SHEDS if is_marked else UpstreamFault.BUSY_AFTER_RUN
        )
        resting.extra_headers = {"Retry-After": "600"}
        await rig.call("/orders/")
        assert resting.n_shed + len(resting.executed_calls) == 1
        resting.fault = UpstreamFault.NONE
        await rig.add_upstream("desk-1", "desk")
        while rig.gateway.is_leaving("desk-1"):
            await asyncio.sleep(0.01)
        n_before = len(resting.executed_calls)
        await answers_of(rig, "/lookups/", 8)
        await answers_of(rig, "/orders/", 8)
        assert len(resting.executed_calls) == n_before


async def test_a_request_that_no_upstream_will_take_in_time_is_refused_at_once():
    routes = [route("orders", kind="non_idempotent", service="desk", timeout_ms=60_000)]
    config = configuration(routes=routes)
    async with gateway_rig(desks=1, config=config) as rig:
        desk = rig.upstreams["desk-0"]
        desk.fault, desk.extra_headers = UpstreamFault.SHEDS, {"Retry-After": "600"}
        for n in range(3):
            # Without an immediate refusal it would wait for half a minute.
            answer = await rig.call("/orders/", deadline_ms=60_000, request_id=f"r{n}")
            assert answer.status == 503
            # The upstream's 600 s are not passed on as the caller's Retry-After.
            assert 0 < float(answer.headers["retry-after"]) <= 20
        assert desk.n_shed == 1


async def test_waiting_requests_are_refused_when_all_upstreams_ask_for_a_rest():
    routes = [
        route("drafts", timeout_ms=60_000),
        route("lookups", kind="idempotent", service="engines", timeout_ms=60_000),
    ]
    async with gateway_rig(engines=1, config=configuration(routes=routes)) as rig:
        engine = rig.upstreams["engine-0"]
        engine.may_answer.clear()
        drafts = [
            asyncio.ensure_future(
                rig.call("/drafts/", tokens=TOKENS, request_id=f"d{n}")
            )
            for n in range(4)
        ]
        while len(engine.executed_calls) < 4:
            await asyncio.sleep(0)
        waiting = [
            asyncio.ensure_future(
                rig.call("/lookups/", deadline_ms=60_000, request_id=f"w{n}")
            )
            for n in range(3)
        ]
        while rig.gateway.n_waiting < 3:
            await asyncio.sleep(0)
        engine.fault = UpstreamFault.SHEDS
        engine.extra_headers = {"Retry-After": "600"}
        # It is sent ahead of a free slot (see `N_BEYOND_SLOTS`), and is declined.
        await rig.call("/drafts/", tokens=TOKENS, request_id="d4")
        answers = await asyncio.gather(*waiting)
        assert [answer.status for answer in answers] == [503] * 3
        engine.may_answer.set()
        assert {answer.status for answer in await asyncio.gather(*drafts)} == {200}
        assert engine.n_shed == 1


@pytest.mark.parametrize(
    ("not_before_s", "spread", "expected_s"),
    [
        (0.0, 0.0, 1.775),
        (0.0, 1.0, 3.3),
        (2.5, 0.0, 2.9),
        (2.5, 1.0, 3.3),
        (99.0, 0.0, 3.3),
    ],
)
def test_retry_after_lasts_until_an_upstream_is_available(
    not_before_s, spread, expected_s
):
    facts = WaitingFacts(0, 0.0, 1.0, 10.0, 10.0)
    wait_s = retry_after_s(facts, 0.0, spread, not_before_s)
    assert wait_s == pytest.approx(expected_s)


def test_departures_are_bounded_reported_once_and_keyed_by_start():
    tracker = DepartureTracker()
    starts = [UpstreamStart(f"u{n}", n) for n in range(MAX_REMEMBERED_STARTS + 5)]
    assert all(tracker.record(start) for start in starts)
    assert starts[0] not in tracker
    assert starts[-1] in tracker
    assert UpstreamStart(starts[-1].upstream_id, 0) not in tracker
    told = tracker.take_unreported(10)
    assert told == starts[:10]
    assert tracker.merge_reported([starts[-1], UpstreamStart("heard", 1)]) == [
        UpstreamStart("heard", 1)
    ]
    assert UpstreamStart("heard", 1) not in tracker.take_unreported(10**6)
