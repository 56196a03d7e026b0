"""A request that crashes upstreams is refused, and one that was only there is not."""

import asyncio
from datetime import UTC, datetime

import msgspec
import pytest
from platform_rig import Rig, gateway_rig, running_gateway, second_gateway

from pomelothread.clock import ManualClock, SystemClock
from pomelothread.gateway.crashes import CrashReporter
from pomelothread.gateway.feeds import KeyedRecord
from pomelothread.policy.crash_guard import (
    MAX_CRASHES,
    MAX_FINGERPRINTS,
    UNKNOWN_START_MS,
    CrashGuard,
    request_fingerprint,
)
from pomelothread.policy.crashing_parts import (
    FIRST_TRIAL_S,
    MAX_FAILED_TRIALS,
    Verdict,
)
from pomelothread.policy.departures import UpstreamStart
from standins.platform import UpstreamFault

ALLOWED, REFUSED = Verdict.ALLOWED, Verdict.REFUSED
TOKENS = "50,40"
TOPIC = "keyed.crashes"


async def restart(rig, upstream):
    """Start an upstream again under its name, and wait until it is listed."""
    await upstream.restart()
    rig.store.put("keyed.servers", upstream.upstream_id, upstream.store_entry())
    table = rig.gateway._upstreams
    while table.get(upstream.upstream_id).listing.started_ms != upstream.started_ms:
        await asyncio.sleep(0.01)


# Guards against a request that crashes upstreams without end, since only their names
# were counted.
async def test_a_request_is_refused_after_it_has_crashed_three_starts_of_one_upstream():
    async with gateway_rig(engines=1) as rig:
        engine = rig.upstreams["engine-0"]
        engine.fault = UpstreamFault.CRASHES
        statuses = []
        for n in range(6):
            answer = await rig.call("/drafts/1", tokens=TOKENS, request_id=f"{n}")
            statuses.append(answer.status)
            await rig.until_idle()
            if answer.status == 502:
                await restart(rig, engine)
        assert statuses == [502] * 3 + [503] * 3
        assert len(engine.executed_calls) == 3


LOOKUP = request_fingerprint(b"GET", b"/lookups/1", b"", "club")


async def crash_beside(rig, n_crashes, target="/lookups/1"):
    """Crash upstreams for another reason while they run one and the same lookup."""
    desks = [u for u in rig.upstreams.values() if u.service == "desk"]
    guard = rig.gateway._crashes._guard
    for n in range(n_crashes):
        for desk in desks:
            desk.may_answer.clear()
        n_before = len(rig.executed_calls)
        calling = asyncio.ensure_future(rig.call(target, method="GET", body=b""))
        while len(rig.executed_calls) == n_before:
            await asyncio.sleep(0.001)
        running = max(rig.executed_calls, key=lambda call: call.received_s)
        (desk,) = [d for d in desks if running in d.executed_calls]
        desk.crash()
        for other in desks:
            other.may_answer.set()
        await calling
        start = UpstreamStart(desk.upstream_id, desk.started_ms)
        while start not in guard.crashes_of(LOOKUP) | guard.refuted_of(LOOKUP):
            await asyncio.sleep(0.001)
        await restart(rig, desk)
        answer = await rig.call(target, method="GET", body=b"", request_id=f"again-{n}")
        yield answer.status


# Guards against refusing for good a lookup that ran at upstreams as they crashed.
async def test_a_lookup_is_served_on_after_crashes_that_it_did_not_cause():
    async with gateway_rig(desks=3) as rig:
        assert [status async for status in crash_beside(rig, 6)] == [200] * 6
        assert rig.gateway._crashes._guard.crashes_of(LOOKUP) == set()
        while rig.store.newest(TOPIC):
            await asyncio.sleep(0.01)


async def test_peers_learn_that_a_request_was_served_after_a_crash():
    async with gateway_rig() as first, second_gateway(first) as second:
        while not (first.gateway.n_peers and second.gateway.n_peers):
            await asyncio.sleep(0.01)
        fingerprint = request_fingerprint(b"POST", b"/drafts/1", b"{}", "club")
        starts = [UpstreamStart(f"e{n}", 1) for n in range(2)]
        guards = [rig.gateway._crashes._guard for rig in (first, second)]
        for guard in guards:
            guard.merge(fingerprint, starts, 0.0)
        assert (await first.call("/drafts/1", tokens=TOKENS)).status == 200
        while any(guard.crashes_of(fingerprint) for guard in guards):
            await asyncio.sleep(0.01)


async def test_a_new_process_loads_crashes_of_starts_and_refuses_the_request():
    async with gateway_rig(engines=1) as first:
        engine = first.upstreams["engine-0"]
        engine.fault = UpstreamFault.CRASHES
        for _ in range(3):
            await first.call("/drafts/1", tokens=TOKENS)
            await first.until_idle()
            await restart(first, engine)
        while not any(
            len(msgspec.json.decode(value)) == 3
            for value in first.store.newest(TOPIC).values()
        ):
            await asyncio.sleep(0.01)
        alone = Rig(first.store, first.upstreams)
        async with running_gateway(alone, SystemClock()):
            crashes = alone.gateway._crashes
            while not crashes._stored:
                await asyncio.sleep(0.01)
            assert (await alone.call("/drafts/1", tokens=TOKENS)).status == 503
        assert len(engine.executed_calls) == 3


NAMED = UNKNOWN_START_MS
# Crashes by name and start; whether the request is refused.
COUNTED = [
    ([("a", 1), ("a", 2)], False),
    ([("a", 1), ("a", 2), ("a", 3)], True),
    ([("a", 1), ("b", 1), ("c", 1)], True),
    ([("a", 1), ("a", 1), ("b", 1)], False),
    # An older build names upstreams only.
    ([("a", NAMED), ("b", NAMED), ("c", NAMED)], True),
    ([("a", NAMED), ("a", 1), ("b", 1)], False),
    ([("a", NAMED), ("b", 1), ("c", 1)], True),
    ([("a", NAMED), ("a", 1), ("a", 2), ("a", 3)], True),
]


@pytest.mark.parametrize(("crashes", "is_refused"), COUNTED)
def test_each_start_of_an_upstream_counts_once(crashes, is_refused):
    for order in (crashes, crashes[::-1]):
        guard = CrashGuard()
        for row in order:
            guard.merge("f", [UpstreamStart(*row)], 1.0)
        assert (guard.verdict("f", 2.0) is REFUSED) is is_refused


def crashed(n=3, at_s=1.0):
    guard = CrashGuard()
    guard.merge("f", [UpstreamStart("e", 1 + m) for m in range(n)], at_s)
    return guard


@pytest.mark.parametrize(("sent_s", "verdict"), [(0.5, REFUSED), (1.5, ALLOWED)])
def test_only_a_request_that_was_sent_after_the_crashes_refutes_them(sent_s, verdict):
    guard = crashed()
    assert bool(guard.observe_served("f", sent_s)) is (verdict is ALLOWED)
    assert guard.verdict("f", 2.0) is verdict


def test_a_refuted_crash_stays_refuted_whoever_repeats_it():
    guard = crashed()
    starts = guard.crashes_of("f")
    guard.observe_served("f", 2.0)
    merged = guard.merge("f", starts, 3.0)
    assert (merged.is_new, merged.refuted) == (False, starts)
    assert guard.verdict("f", 3.0) is ALLOWED
    # Told before the crash itself.
    other = CrashGuard()
    other.refute("f", starts)
    other.merge("f", starts, 1.0)
    assert other.verdict("f", 2.0) is ALLOWED


def test_a_refused_request_is_tried_again_and_not_more_often_than_users_allow():
    guard, n_tried, now_s = crashed(), 0, 1.0
    while now_s < 20_000.0:
        now_s += 5.0
        assert guard.verdict("f", now_s) is REFUSED
        if guard.verdict("f", now_s, may_try=True) is Verdict.TRIAL:
            guard.begin_trial("f", now_s)
            assert guard.verdict("f", now_s, may_try=True) is REFUSED
            n_tried += 1
            guard.merge("f", [UpstreamStart("e", 100 + n_tried)], now_s)
    assert n_tried == MAX_FAILED_TRIALS
    # Trials that ended in another way.
    guard, n_tried, now_s = crashed(), 0, 1.0
    while now_s < 20_000.0:
        now_s += FIRST_TRIAL_S
        if guard.verdict("f", now_s, may_try=True) is Verdict.TRIAL:
            guard.begin_trial("f", now_s)
            n_tried += 1
    assert n_tried == MAX_FAILED_TRIALS


def test_what_is_kept_of_crashes_is_bounded():
    guard = crashed(3 * MAX_CRASHES)
    assert len(guard.crashes_of("f")) == MAX_CRASHES
    guard.refute("f", [UpstreamStart("e", m) for m in range(5 * MAX_CRASHES)])
    assert len(guard.refuted_of("f")) == MAX_CRASHES
    for n in range(MAX_FINGERPRINTS + 5):
        guard.merge(f"g{n}", [UpstreamStart("e", 1)], 2.0)
    assert len(guard.fingerprints()) == MAX_FINGERPRINTS


RECORD = [
    # Stored by this build, and by an older one; texts that only look like starts.
    (["e@5"], UpstreamStart("e", 5)),
    (["e"], UpstreamStart("e", NAMED)),
    (["e@"], UpstreamStart("e@", NAMED)),
    (["@5"], UpstreamStart("@5", NAMED)),
    (["a@b"], UpstreamStart("a@b", NAMED)),
    (["a@b@7"], UpstreamStart("a@b", 7)),
    (["e@" + "9" * 400], UpstreamStart("e@" + "9" * 400, NAMED)),
]


@pytest.mark.parametrize(("texts", "start"), RECORD)
def test_records_and_messages_of_other_builds_are_understood(texts, start):
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    for source in ("store", "peer"):
        guard = CrashGuard()
        reporter = CrashReporter(guard, None, clock)
        if source == "store":
            reporter.apply(KeyedRecord("f", msgspec.json.encode(texts)))
        else:
            reporter.merge_reported({"f": texts}, {})
        assert guard.crashes_of("f") == {start}
        assert reporter.newest_for_heartbeat() == {"f": texts}


async def test_a_record_that_another_gateway_has_removed_is_refuted():
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    guard = CrashGuard()
    reporter = CrashReporter(guard, None, clock)
    reporter.apply(KeyedRecord("f", b'["a@1","b@1","c@1"]'))
    assert guard.verdict("f", 1.0) is REFUSED
    reporter.apply(KeyedRecord("f", None))
    assert guard.verdict("f", 1.0) is ALLOWED
    # The store has brought it back from a copy: it has to be removed again.
    reporter.apply(KeyedRecord("f", b'["a@1","b@1","c@1"]'))
    assert reporter.missing_value("f") == b""


# Guards against a crash that is refuted while it is being stored, and stays there.
async def test_a_refuted_crash_that_was_stored_meanwhile_is_removed():
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    stored = []

    async def append(key, value):
        stored.append((key, value))
        return True

    guard = CrashGuard()
    reporter = CrashReporter(guard, append, clock)
    guard.refute("f", [UpstreamStart("a", 1)])
    reporter.apply(KeyedRecord("f", b'["a@1"]'))
    await asyncio.sleep(0)
    clock.advance(1.0)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert stored == [("f", b"")]


@pytest.mark.parametrize("is_framed", [True, False])
async def test_a_whole_response_of_a_living_upstream_refutes_crashes(is_framed):
    async with gateway_rig(engines=1) as rig:
        if not is_framed:
            rig.upstreams["engine-0"].fault = UpstreamFault.UNFRAMED
        fingerprint = request_fingerprint(b"POST", b"/drafts/1", b"{}", "club")
        guard = rig.gateway._crashes._guard
        guard.merge(fingerprint, [UpstreamStart("e", 1)], 0.0)
        answer = await rig.call("/drafts/1", tokens=TOKENS)
        assert (answer.status, answer.is_complete) == (200, True)
        assert guard.crashes_of(fingerprint) == set()
