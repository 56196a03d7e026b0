"""Parts of prompts that crash upstreams are refused by all gateways together."""

import asyncio
import zlib
from contextlib import AsyncExitStack, suppress

import msgspec
import pytest
from platform_rig import (
    Rig,
    gateway_rig,
    open_caller,
    running_gateway,
    second_gateway,
)

from pomelothread.clock import SystemClock
from pomelothread.gateway import process
from pomelothread.http1.client import ConnectionPool
from pomelothread.policy import crashing_parts

# The users' bound: this many crashes, and this many requests after the last of them.
N_CRASHES = 5
N_MORE = 3
SHARED, CRASHING = "5c1e07a2", "91bd3f06"
TOKENS = "100,40"


async def send(rig, request_id, *parts, route="drafts"):
    """Send a request whose prompt has these parts and one of its own."""
    prompt = ",".join(
        f"{part}:40" for part in (*parts, f"{zlib.crc32(request_id.encode()):x}")
    )
    answer = await rig.call(
        f"/{route}/{request_id}",
        body=request_id.encode(),
        request_id=request_id,
        tokens=TOKENS,
        headers=[("X-Prompt-Prefix", prompt)],
    )
    await rig.until_idle()
    return answer


async def until_all_peers_are_known(*rigs):
    while any(rig.gateway.n_peers < len(rigs) - 1 for rig in rigs):
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("n_gateways", [1, 2])
async def test_unlike_requests_with_a_part_that_crashes_upstreams_are_refused(
    n_gateways,
):
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(gateway_rig(engines=12))
        others = [
            await stack.enter_async_context(second_gateway(first))
            for _ in range(n_gateways - 1)
        ]
        rigs = (first, *others)
        await until_all_peers_are_known(*rigs)
        for upstream in first.upstreams.values():
            upstream.crashing_parts = frozenset((CRASHING,))
        for n in range(2 * n_gateways):
            await send(rigs[n % n_gateways], f"sound-{n}", SHARED)
        answers = [
            await send(rigs[n % n_gateways], f"crashing-{n}", SHARED, CRASHING)
            for n in range(20)
        ]
        n_crashes = sum(upstream.n_crashes for upstream in first.upstreams.values())
        assert n_crashes <= N_CRASHES + N_MORE
        assert [answer.status for answer in answers[-10:]] == [503] * 10
        # Sound requests that share the other parts and the caller are still served.
        sound = [await send(rig, f"after-{rig.address}", SHARED) for rig in rigs]
        assert [answer.status for answer in sound] == [200] * n_gateways


async def crash_upstreams(rig, n_requests=4):
    for upstream in rig.upstreams.values():
        upstream.crashing_parts = frozenset((CRASHING,))
    await send(rig, "sound", SHARED)
    for n in range(n_requests):
        await send(rig, f"crashing-{n}", SHARED, CRASHING)


def stored_parts(rig):
    records = rig.store.newest("keyed.part-crashes").values()
    return [msgspec.json.decode(record)["part"] for record in records]


async def test_a_gateway_that_knows_nothing_but_the_store_refuses_the_part():
    async with gateway_rig(engines=6) as first:
        await crash_upstreams(first)
        while stored_parts(first).count(CRASHING) < 2:
            await asyncio.sleep(0.01)
        n_crashes = sum(u.n_crashes for u in first.upstreams.values())
        alone = Rig(first.store, first.upstreams)
        async with running_gateway(alone, SystemClock()):
            answer = await send(alone, "crashing-again", SHARED, CRASHING)
            assert answer.status == 503
            assert b"convicted" in answer.body
            assert float(answer.headers["retry-after"]) >= 60.0
            assert (await send(alone, "sound-again", SHARED)).status == 200
            # The evidence against the part that sound requests share is removed.
            while SHARED in stored_parts(first):
                await asyncio.sleep(0.01)
        assert stored_parts(first).count(CRASHING) >= 2
        assert sum(u.n_crashes for u in first.upstreams.values()) == n_crashes


async def test_a_malformed_record_of_the_store_is_no_evidence():
    async with gateway_rig(engines=2) as rig:
        for key, value in (("a", b"no json"), ("b", [1]), ("c", {"part": SHARED})):
            rig.store.put("keyed.part-crashes", key, value)
        assert (await send(rig, "sound", SHARED)).status == 200


async def test_a_repeatable_request_is_not_repeated_after_it_may_have_crashed_one():
    async with gateway_rig(engines=3) as rig:
        for upstream in rig.upstreams.values():
            upstream.crashing_parts = frozenset((CRASHING,))
        answer = await send(rig, "crashing", SHARED, CRASHING, route="resumes")
        assert answer.status == 502
        assert sum(upstream.n_crashes for upstream in rig.upstreams.values()) == 1


async def test_a_part_is_sent_again_after_one_request_has_tried_it(monkeypatch):
    monkeypatch.setattr(process, "MIN_UPTIME_TO_TRY_S", 0.0)
    monkeypatch.setattr(crashing_parts, "N_CRASHES_OF_SOUND_PART", 2)
    monkeypatch.setattr(crashing_parts, "MIN_SPAN_S", 0.0)
    async with gateway_rig(engines=6) as rig:
        upstreams = rig.upstreams.values()
        await send(rig, "sound", SHARED, CRASHING)
        for upstream in upstreams:
            upstream.crashing_parts = frozenset((CRASHING,))
        for n in range(4):
            await send(rig, f"crashing-{n}", SHARED, CRASHING)
        n_crashes = sum(upstream.n_crashes for upstream in upstreams)
        monkeypatch.setattr(crashing_parts, "FIRST_TRIAL_S", 0.0)
        monkeypatch.setattr(crashing_parts, "MAX_FAILED_TRIALS", 100)
        # Its route allows repeats, but a trial is sent once.
        answer = await send(rig, "trial-1", SHARED, CRASHING, route="resumes")
        assert answer.status == 502
        assert sum(upstream.n_crashes for upstream in upstreams) == n_crashes + 1
        for upstream in upstreams:
            upstream.crashing_parts = frozenset()
        assert (await send(rig, "trial-2", SHARED, CRASHING)).status == 200
        monkeypatch.setattr(crashing_parts, "FIRST_TRIAL_S", 1000.0)
        assert (await send(rig, "after", SHARED, CRASHING)).status == 200


async def test_the_time_to_connect_does_not_make_a_response_seem_longer(monkeypatch):
    connect = ConnectionPool.connect

    async def connect_slowly(self, address):
        await asyncio.sleep(2 * crashing_parts.MIN_RESPONDING_S)
        return await connect(self, address)

    async with gateway_rig(engines=1) as rig:
        monkeypatch.setattr(ConnectionPool, "connect", connect_slowly)
        (upstream,) = (u for u in rig.upstreams.values() if u.service == "engines")
        upstream.crashing_parts = frozenset((CRASHING,))
        upstream.crashes_after_event = True
        upstream.may_answer.clear()
        caller = await open_caller(rig.address)
        prompt = f"{SHARED}:40,{CRASHING}:40,e4402b7d:9"
        caller.send("/drafts/", tokens=TOKENS, headers=[("X-Prompt-Prefix", prompt)])
        await caller.reader.readuntil(b"token 1\n\n")
        upstream.may_answer.set()
        with suppress(ConnectionError):
            assert b"0\r\n\r\n" not in await caller.reader.read()
        await rig.until_idle()
        assert {c.part for c in rig.gateway._part_crashes._parts.evidence()} == {
            SHARED,
            CRASHING,
        }
        caller.writer.close()
