"""Tests that a stream goes on only at the software version that began it."""

import asyncio

import pytest
from platform_rig import gateway_rig, open_caller, second_gateway

from standins.platform import UpstreamFault

VERSIONS = ["v1", "v1", "v2", "v2", "v2", "v2"]
LISTINGS = "keyed.servers"


async def add_versions(rig, versions=VERSIONS):
    for number, version in enumerate(versions):
        await rig.add_upstream(f"engine-{number}", "engines", software_version=version)
    while any(rig.gateway.is_leaving(f"engine-{n}") for n in range(len(versions))):
        await asyncio.sleep(0.01)


def versions_of(rig, *attempts):
    """Return the software versions at which attempts ran."""
    return {
        upstream.software_version
        for upstream in rig.upstreams.values()
        for call in upstream.executed_calls
        if call.headers["x-attempt-id"] in attempts
    }


async def start_stream(rig, attempt):
    """Start a stream and leave it after its first event."""
    caller = await open_caller(rig.address)
    caller.send(
        f"/resumes/{attempt}", tokens="50,40", request_id=attempt, deadline_ms=9000
    )
    await caller.reader.readuntil(b"data: token 1\n\n")
    caller.writer.close()


async def take_up(rig, attempt, first_attempt, after=1):
    headers = [("Last-Event-Id", str(after)), ("Resumes", first_attempt)]
    caller = await open_caller(rig.address)
    caller.send(
        f"/resumes/{attempt}", tokens="50,40", request_id=attempt, headers=headers,
        deadline_ms=9000,
    )  # fmt: skip
    answer = await caller.answer()
    caller.writer.close()
    return answer


async def test_a_broken_stream_is_resumed_at_the_version_that_began_it():
    async with gateway_rig(engines=0) as rig:
        await add_versions(rig)
        for upstream in rig.upstreams.values():
            upstream.fault = UpstreamFault.CUTS
        for n in range(12):
            await rig.call(f"/resumes/{n}", tokens="50,40", request_id=f"a{n}")
        assert [n for n in range(12) if len(versions_of(rig, f"a{n}")) > 1] == []


@pytest.mark.parametrize("is_first_dead", [False, True])
async def test_a_caller_takes_a_stream_up_at_its_version_whichever_gateway_it_reaches(
    is_first_dead,
):
    async with gateway_rig(engines=0) as first:
        await add_versions(first)
        for upstream in first.upstreams.values():
            upstream.event_interval_s = 0.01
        async with second_gateway(first) as second:
            while not (first.gateway.n_peers and second.gateway.n_peers):
                await asyncio.sleep(0.01)
            for n in range(12):
                await start_stream(first, f"a{n}")
            if is_first_dead:
                first.running.cancel()
            statuses = [
                (await take_up(second, f"b{n}", f"a{n}")).status for n in range(12)
            ]
            mixed = [
                n for n in range(12) if len(versions_of(first, f"a{n}", f"b{n}")) > 1
            ]
            assert mixed == []
            assert statuses.count(200) >= 6
