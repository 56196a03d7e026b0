"""Parts of prompts that crash upstreams are refused by all gateways together."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from platform_rig import gateway_rig, second_gateway

# The users' bound: this many crashes, and this many requests after the last of them.
N_CRASHES = 5
N_MORE = 3
SHARED, CRASHING = "5c1e07a2", "91bd3f06"
TOKENS = "100,40"


async def send(rig, request_id, *parts):
    """Send a request whose prompt has these parts and one of its own."""
    prompt = ",".join(f"{part}:40" for part in (*parts, f"{hash(request_id):x}"[-8:]))
    answer = await rig.call(
        f"/drafts/{request_id}",
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
