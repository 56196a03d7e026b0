"""End-to-end tests of a gateway with simulated callers, upstreams and store."""

import asyncio
import re
from pathlib import Path

import pytest
from platform_rig import (
    API_KEY,
    configuration,
    gateway_rig,
    open_caller,
    route,
    second_gateway,
)

from pomelothread.events import Event
from pomelothread.gateway import attempt
from pomelothread.policy.crash_guard import request_fingerprint
from pomelothread.policy.upstream_choice import N_BEYOND_SLOTS
from standins.platform import UpstreamFault

ROOT = Path(__file__).parent.parent
TOKENS = "100,40"


def events(first, last):
    return b"".join(
        f"id: {n}\ndata: token {n}\n\n".encode() for n in range(first, last + 1)
    )


async def test_a_request_reaches_the_upstream_with_its_headers_translated():
    async with gateway_rig() as rig:
        answer = await rig.call(
            "/orders/2?copies=3",
            body=b"order",
            headers=[
                ("X-Tenant", "forged"),
                ("X-Hold", "forged"),
                ("Connection", "x-mine"),
                ("X-Mine", "1"),
                ("X-Kept", "2"),
            ],
        )
        (call,) = rig.executed_calls
    assert (answer.status, answer.body) == (200, b"done order")
    assert answer.headers["x-response-seal"].startswith("seal.desk-")
    assert (call.method, call.target) == ("POST", "/orders/2?copies=3")
    assert call.headers["x-tenant"] == "club"
    assert call.headers["x-attempt-id"] == "r1"
    assert call.headers["x-kept"] == "2"
    assert call.headers["x-expect-instance"].startswith("desk-")
    assert 0 < int(call.headers["x-deadline-ms"]) <= 4000
    assert not {"api-key", "x-hold", "x-mine"} & call.headers.keys()


@pytest.mark.parametrize(
    ("target", "key", "status"),
    [
        ("/nowhere/", "key-of-club", 404),
        ("/orders", "key-of-club", 404),
        ("/orders/", "wrong", 401),
        ("/orders/", None, 401),
    ],
)
async def test_requests_without_a_route_or_a_valid_key_are_refused(target, key, status):
    async with gateway_rig() as rig:
        answer = await rig.call(target, key=key)
        assert answer.status == status
        assert rig.executed_calls == []


# fault, route, tokens, status that the caller gets, runs at all upstreams together.
FAULT_OUTCOMES = [
    (UpstreamFault.NONE, "orders", None, 200, 1),
    (UpstreamFault.SHEDS, "orders", None, 503, 0),
    (UpstreamFault.ERRORS, "orders", None, 500, 1),
    (UpstreamFault.ERRORS, "lookups", None, 500, 2),
    (UpstreamFault.BUSY_AFTER_RUN, "orders", None, 502, 1),
    (UpstreamFault.BUSY_AFTER_RUN, "lookups", None, 502, 2),
    (UpstreamFault.LARGE_ERRORS, "orders", None, 502, 1),
    (UpstreamFault.CUTS, "orders", None, 502, 1),
    (UpstreamFault.CUTS, "lookups", None, 502, 2),
    (UpstreamFault.LOSES_ANSWER, "orders", None, 502, 1),
    (UpstreamFault.LOSES_ANSWER, "lookups", None, 502, 2),
    (UpstreamFault.GARBAGE, "orders", None, 502, 1),
    (UpstreamFault.UNMARKED, "orders", None, 502, 1),
    (UpstreamFault.UNMARKED, "lookups", None, 502, 2),
    (UpstreamFault.LOSES_ANSWER, "drafts", TOKENS, 502, 1),
    (UpstreamFault.LOSES_ANSWER, "resumes", TOKENS, 502, 2),
    (UpstreamFault.UNFRAMED, "drafts", TOKENS, 200, 1),
]


@pytest.mark.parametrize(
    ("fault", "name", "tokens", "status", "n_runs"), FAULT_OUTCOMES
)
async def test_upstream_faults_give_a_truthful_status_and_no_excess_runs(
    fault, name, tokens, status, n_runs
):
    async with gateway_rig() as rig:
        for upstream in rig.upstreams.values():
            upstream.fault = fault
        answer = await rig.call(f"/{name}/1", tokens=tokens)
        assert (answer.status, answer.is_complete) == (status, True)
        assert len(rig.executed_calls) == n_runs
        assert (
            len({call.headers["x-expect-instance"] for call in rig.executed_calls})
            == n_runs
        )
    if status == 503:
        assert 0 <= float(answer.headers["retry-after"]) <= 4 / 3


@pytest.mark.parametrize("fault", [UpstreamFault.CUTS, UpstreamFault.ENDS_EARLY])
async def test_a_truncated_stream_never_looks_complete(fault):
    async with gateway_rig() as rig:
        for upstream in rig.upstreams.values():
            upstream.fault = fault
        answer = await rig.call("/drafts/1", tokens=TOKENS)
        assert answer.status == 200
        assert not answer.is_complete
        assert events(1, 4).startswith(answer.body)
        assert len(rig.executed_calls) == 1


@pytest.mark.parametrize("fault", [UpstreamFault.CUTS, UpstreamFault.ENDS_EARLY])
async def test_a_truncated_resumable_stream_continues_at_another_upstream(fault):
    async with gateway_rig(engines=1) as rig:
        rig.upstreams["engine-0"].fault = fault
        caller = await open_caller(rig.address)
        caller.send("/resumes/1", tokens=TOKENS)
        while not rig.upstreams["engine-0"].executed_calls:
            await asyncio.sleep(0)
        await rig.add_upstream("engine-1", "engines")
        answer = await caller.answer()
        caller.writer.close()
        assert (answer.status, answer.is_complete) == (200, True)
        assert answer.body == events(1, 4)
        assert answer.headers["x-response-seal"] == "seal.engine-0"
        (resumed,) = rig.upstreams["engine-1"].executed_calls
        assert int(resumed.headers["last-event-id"]) >= 1


async def test_a_late_response_to_another_request_is_discarded():
    async with gateway_rig(desks=1) as rig:
        rig.upstreams["desk-0"].fault = UpstreamFault.EXTRA
        answers = [
            await rig.call("/lookups/", body=f"{n}".encode(), request_id=f"r{n}")
            for n in range(4)
        ]
    assert [answer.body for answer in answers] == [b"done %d" % n for n in range(4)]


@pytest.mark.parametrize("name", ["orders", "lookups", "drafts"])
async def test_a_caller_that_disconnects_stops_the_work_at_the_upstream(name):
    async with gateway_rig() as rig:
        for upstream in rig.upstreams.values():
            upstream.fault = UpstreamFault.MUTE
        caller = await open_caller(rig.address)
        caller.send(f"/{name}/", tokens=TOKENS)
        while not rig.executed_calls:
            await asyncio.sleep(0)
        caller.writer.close()
        async with asyncio.timeout(30):
            while not sum(u.n_caller_disconnects for u in rig.upstreams.values()):
                await asyncio.sleep(0)
        assert len(rig.executed_calls) == 1


async def test_a_queued_request_whose_caller_disconnects_is_never_sent():
    async with gateway_rig(engines=1) as rig:
        engine = rig.upstreams["engine-0"]
        engine.may_answer.clear()
        running = [await open_caller(rig.address) for _ in range(4 + N_BEYOND_SLOTS)]
        for caller in running:
            caller.send("/drafts/", tokens=TOKENS)
        while len(engine.executed_calls) < 4 + N_BEYOND_SLOTS:
            await asyncio.sleep(0)
        waiting = await open_caller(rig.address)
        waiting.send("/drafts/", tokens=TOKENS, request_id="left")
        while rig.gateway.n_waiting < 1:
            await asyncio.sleep(0)
        waiting.writer.close()
        while rig.gateway.n_waiting:
            await asyncio.sleep(0)
        engine.may_answer.set()
        for caller in running:
            assert (await caller.answer()).is_complete
            caller.writer.close()
        assert "left" not in [
            call.headers["x-attempt-id"] for call in engine.executed_calls
        ]


async def test_when_the_queue_is_full_the_least_urgent_request_is_refused(monkeypatch):
    monkeypatch.setattr("pomelothread.gateway.queue.MAX_WAITING", 2)
    routes = [route("urgent", priority=0), route("later", priority=2)]
    async with gateway_rig(engines=1, config=configuration(routes=routes)) as rig:
        engine = rig.upstreams["engine-0"]
        engine.may_answer.clear()
        callers = [
            await open_caller(rig.address) for _ in range(4 + N_BEYOND_SLOTS + 3)
        ]
        for n, caller in enumerate(callers[:-3]):
            caller.send("/urgent/", tokens=TOKENS, request_id=f"{n}")
        while len(engine.executed_calls) < 4 + N_BEYOND_SLOTS:
            await asyncio.sleep(0)
        for n, caller in enumerate(callers[-3:-1]):
            caller.send("/later/", tokens=TOKENS, request_id=f"later-{n}")
            while rig.gateway.n_waiting < n + 1:
                await asyncio.sleep(0)
        callers[-1].send("/urgent/", tokens=TOKENS, request_id="urgent")
        assert (await callers[-2].answer()).status == 503
        engine.may_answer.set()
        for caller in [*callers[:-2], callers[-1]]:
            assert (await caller.answer()).is_complete
        for caller in callers:
            caller.writer.close()


async def test_a_leaving_upstream_gets_no_new_request():
    async with gateway_rig(desks=2) as rig:
        leaving = rig.upstreams["desk-0"]
        rig.store.put("keyed.servers", "desk-0", leaving.store_entry(state="draining"))
        while not rig.gateway.is_leaving("desk-0"):
            await asyncio.sleep(0.01)
        for n in range(6):
            assert (await rig.call("/lookups/", request_id=f"r{n}")).status == 200
        assert leaving.executed_calls == []


async def test_requests_are_refused_and_not_sent_while_all_upstreams_leave():
    async with gateway_rig(desks=1) as rig:
        leaving = rig.upstreams["desk-0"]
        rig.store.put("keyed.servers", "desk-0", leaving.store_entry(state="draining"))
        while not rig.gateway.is_leaving("desk-0"):
            await asyncio.sleep(0.01)
        answer = await rig.call("/orders/", deadline_ms=200)
        assert (answer.status, leaving.executed_calls) == (503, [])


async def test_an_upstream_at_the_listed_address_of_another_one_runs_no_request():
    async with gateway_rig(desks=2) as rig:
        rig.upstreams["desk-0"].upstream_id = "someone-else"
        for n in range(4):
            assert (await rig.call("/orders/", request_id=f"r{n}")).status == 200
        assert rig.upstreams["desk-0"].executed_calls == []


@pytest.mark.parametrize(
    "change",
    [
        {"routes": [route("lookups", kind="idempotent", service="desk")]},
        {"tenants": [{"name": "club", "api_keys": ["another"]}]},
    ],
    ids=["route removed", "key removed"],
)
async def test_a_new_configuration_is_applied_and_older_versions_are_ignored(change):
    async with gateway_rig() as rig:
        assert (await rig.call("/orders/")).status == 200
        rig.put_configuration(version=5, **change)
        while rig.gateway.configuration_version != 5:
            await asyncio.sleep(0.01)
        refused = (await rig.call("/orders/")).status
        rig.put_configuration(version=4)
        rig.put_configuration(version=6, **change)
        while rig.gateway.configuration_version != 6:
            await asyncio.sleep(0.01)
        assert refused in (401, 404)
        assert (await rig.call("/orders/")).status == refused


async def test_deleted_history_and_invalid_records_do_not_disturb_service():
    async with gateway_rig() as rig:
        rig.store.put("keyed.servers", "desk-9", b"\xff\x00 no entry")
        rig.store.put("keyed.servers", "desk-8", {"service": 7})
        rig.store.delete_history("keyed.servers")
        rig.store.delete_history("keyed.op")
        rig.put_configuration(version=9)
        while rig.gateway.configuration_version != 9:
            await asyncio.sleep(0.01)
        assert (await rig.call("/orders/")).status == 200


async def test_requests_are_served_while_the_store_is_unreachable():
    async with gateway_rig() as rig:
        rig.store.is_down = True
        calls = rig.store.n_calls
        while rig.store.n_calls < calls + 2:
            await asyncio.sleep(0.01)
        assert (await rig.call("/orders/")).status == 200
        assert await rig.readiness() == 200


async def test_a_token_quota_is_enforced_with_a_retry_after():
    tenants = [
        {
            "name": "club",
            "api_keys": ["key-of-club"],
            "unit": "token_count",
            "plain_tokens": 200,
            "rate_per_s": 100,
            "burst": 200,
        }
    ]
    async with gateway_rig(config=configuration(tenants=tenants)) as rig:
        answers = [
            (await rig.call("/drafts/", tokens="1000,40", request_id=f"r{n}"))
            for n in range(3)
        ]
        assert answers[-1].status == 429
        assert 0 < float(answers[-1].headers["retry-after"]) <= 4 / 3
        assert len(rig.executed_calls) < 3


async def test_a_graceful_stop_finishes_open_requests_and_fails_readiness():
    async with gateway_rig(engines=1, grace_s=30.0) as rig:
        engine = rig.upstreams["engine-0"]
        engine.may_answer.clear()
        caller = await open_caller(rig.address)
        caller.send("/drafts/", tokens=TOKENS)
        while not engine.executed_calls:
            await asyncio.sleep(0)
        rig.gateway.stop()
        assert await rig.readiness() == 503
        late = await open_caller(rig.address)
        late.send("/lookups/")
        answer = await late.answer()
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        engine.may_answer.set()
        answer = await caller.answer()
        assert answer.is_complete
        assert answer.body == events(1, 4)
        assert await rig.running == 0


async def test_a_request_is_refused_after_it_has_crashed_three_upstreams():
    async with gateway_rig(engines=4) as rig:
        for upstream in rig.upstreams.values():
            upstream.fault = UpstreamFault.CRASHES
        answers = []
        for n in range(6):
            answers.append(
                await rig.call("/drafts/1", tokens=TOKENS, request_id=f"{n}")
            )
            await rig.until_idle()
        assert [answer.status for answer in answers] == [502] * 3 + [503] * 3
        assert len(rig.executed_calls) == 3
        # A request with another fingerprint is still sent.
        await rig.call("/drafts/2", tokens=TOKENS, request_id="other")
        assert len(rig.executed_calls) == 4


async def test_a_new_process_loads_the_fingerprints_of_crashing_requests():
    async with gateway_rig() as rig:
        fingerprint = request_fingerprint(b"POST", b"/drafts/1", b"{}", "club")
        rig.store.put("keyed.crashes", fingerprint, ["a", "b", "c"])
        rig.store.put("keyed.crashes", "other", b"no list")
        while (await rig.call("/drafts/1", tokens=TOKENS)).status != 503:
            await asyncio.sleep(0.01)
        n_ran = len(rig.executed_calls)
        assert (await rig.call("/drafts/1", tokens=TOKENS)).status == 503
        assert len(rig.executed_calls) == n_ran


async def test_a_timed_out_request_is_not_abandoned_without_retry_budget(monkeypatch):
    # Guards against abandoning requests that time out when no retry is allowed: 176
    # requests of an overloaded service were abandoned while their upstreams worked on
    # them.
    monkeypatch.setattr(attempt, "FIRST_BYTE_TIMEOUT_FACTOR", 0.0)
    monkeypatch.setattr(attempt, "MIN_FIRST_BYTE_TIMEOUT_S", 0.0)
    async with gateway_rig(retry_ratio=0.0, retry_stock=0.0) as rig:
        for upstream in rig.upstreams.values():
            upstream.may_answer.clear()
        caller = await open_caller(rig.address)
        caller.send("/resumes/1", tokens=TOKENS)
        while not rig.executed_calls:
            await asyncio.sleep(0)
        for _ in range(20):
            await asyncio.sleep(0)
        for upstream in rig.upstreams.values():
            upstream.may_answer.set()
        answer = await caller.answer()
        caller.writer.close()
        assert (answer.status, answer.is_complete, len(rig.executed_calls)) == (
            200,
            True,
            1,
        )


async def test_an_upstream_that_responds_to_other_requests_gets_more_time(monkeypatch):
    monkeypatch.setattr(attempt, "FIRST_BYTE_TIMEOUT_FACTOR", 0.0)
    monkeypatch.setattr(attempt, "MIN_FIRST_BYTE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(attempt, "BUSY_TIMEOUT_FACTOR", 1e6)
    async with gateway_rig(engines=1) as rig:
        busy = rig.upstreams["engine-0"]
        busy.event_interval_s, busy.n_events = 0.01, 40
        first, second = [await open_caller(rig.address) for _ in range(2)]
        first.send("/drafts/1", tokens=TOKENS)
        while not busy.executed_calls:
            await asyncio.sleep(0)
        busy.fault = UpstreamFault.MUTE
        second.send("/resumes/1", tokens=TOKENS, request_id="r2")
        while len(busy.executed_calls) < 2:
            await asyncio.sleep(0)
        other = await rig.add_upstream("engine-1", "engines")
        assert (await first.answer()).is_complete
        assert other.executed_calls == []
        first.writer.close()
        second.writer.close()


async def test_the_end_of_a_stream_is_logged_with_its_latencies(caplog):
    caplog.set_level("INFO")
    async with gateway_rig() as rig:
        for upstream in rig.upstreams.values():
            upstream.event_interval_s = 0.002
        await rig.call("/drafts/1", tokens=TOKENS)
        await rig.call("/orders/", request_id="r2")
        while len(ended := _ended(caplog)) < 2:
            await asyncio.sleep(0)
    assert ended["r1"]["took_s"] >= ended["r1"]["first_event_s"] > 0
    assert ended["r1"]["longest_pause_s"] > 0
    assert ended["r2"]["first_event_s"] is None


def _ended(caplog):
    records = [r for r in caplog.records if getattr(r, "event", None)]
    ended = [r.args for r in records if r.event is Event.REQUEST_ENDED]
    return {fields["request_id"]: fields for fields in ended}


async def test_a_stream_that_no_upstream_continues_is_cut():
    # Guards against a fault: the gateway sent a refusal after the first events, and the
    # process exited.
    async with gateway_rig(engines=2) as rig:
        rig.upstreams["engine-0"].may_answer.clear()
        rig.upstreams["engine-1"].may_answer.clear()
        caller = await open_caller(rig.address)
        caller.send("/resumes/1", tokens=TOKENS)
        while not rig.executed_calls:
            await asyncio.sleep(0)
        (first,) = [u for u in rig.upstreams.values() if u.executed_calls]
        for upstream in rig.upstreams.values():
            upstream.fault = UpstreamFault.SHEDS
        first.fault = UpstreamFault.CUTS
        first.may_answer.set()
        answer = await caller.answer()
        assert (answer.status, answer.is_complete) == (200, False)
        caller.writer.close()
        assert not rig.running.done()


TOKEN_QUOTA = {
    "name": "club",
    "api_keys": [API_KEY],
    "unit": "token_count",
    "rate_per_s": 100.0,
    "burst": 0.0,
}


async def test_quota_usage_survives_a_restart_of_all_processes():
    config = configuration(tenants=[TOKEN_QUOTA])
    async with gateway_rig(config=config) as rig:
        assert (await rig.call("/drafts/1", tokens="700,50")).status == 200
        while not rig.store.newest("keyed.quotas"):
            await asyncio.sleep(0.01)
        rig.running.cancel()
        async with second_gateway(rig) as second:
            refused = await second.call("/drafts/1", tokens="100,50", request_id="r2")
            assert refused.status == 429
            small = await second.call("/drafts/1", tokens="20,10", request_id="r3")
            assert small.status == 200


async def test_quotas_count_as_used_up_at_the_start_without_valid_notes():
    config = configuration(tenants=[TOKEN_QUOTA])
    async with gateway_rig(config=config) as rig:
        rig.store.put("keyed.quotas", "gateway-9", {"written_ms": 1, "used": {}})
        rig.store.put("keyed.quotas", "gateway-8", b"no note")
        async with second_gateway(rig) as second:
            refused = await second.call("/drafts/1", tokens="500,50", request_id="r2")
            assert refused.status == 429


async def test_metrics_count_outcomes_and_latencies():
    async with gateway_rig() as rig:
        await rig.call("/drafts/1", tokens=TOKENS)
        await rig.call("/orders/", key="wrong")
        caller = await open_caller(rig.admin_address)
        caller.send("/metrics", method="GET")
        text = (await caller.answer()).body.decode()
        caller.writer.close()
    page = (ROOT / "docs/OPERATIONS.md").read_text(encoding="utf-8")
    documented = set(re.findall(r"`(pomelothread_gateway_\w+)", page))
    exposed = re.findall(r"^# TYPE (pomelothread_\w+)", text, re.MULTILINE)
    assert documented == set(exposed)
    assert 'gateway_requests_total{outcome="200"} 1.0' in text
    assert 'gateway_refusals_total{reason="UNAUTHORISED"} 1.0' in text
    assert 'gateway_first_event_seconds_count{service="engines"} 1.0' in text


async def test_two_gateways_share_the_load_of_an_upstream():
    async with gateway_rig(engines=1) as first:
        engine = first.upstreams["engine-0"]
        engine.may_answer.clear()
        async with second_gateway(first) as second:
            while not (first.gateway.n_peers and second.gateway.n_peers):
                await asyncio.sleep(0.01)
            callers = [
                await open_caller(first.address) for _ in range(4 + N_BEYOND_SLOTS)
            ]
            for n, caller in enumerate(callers):
                caller.send("/drafts/", tokens=TOKENS, request_id=f"{n}")
            while second.gateway.n_running_at("engine-0") < 4 + N_BEYOND_SLOTS:
                await asyncio.sleep(0.01)
            late = await open_caller(second.address)
            late.send("/drafts/", tokens=TOKENS, request_id="late")
            while second.gateway.n_waiting < 1:
                await asyncio.sleep(0.01)
            assert len(engine.executed_calls) == 4 + N_BEYOND_SLOTS
            engine.may_answer.set()
            for caller in [*callers, late]:
                assert (await caller.answer()).is_complete
                caller.writer.close()
