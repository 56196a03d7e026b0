"""Tests that nothing is lost or goes back when the store returns from an older copy."""

import asyncio

import pytest
from platform_rig import configuration, gateway_rig, route

CONFIGURATIONS = "keyed.op"
LISTINGS = "keyed.servers"
# Enough calls for several reads of each feed.
N_CALLS = 12


def versioned(version, *names):
    """Return a configuration with a route for each name."""
    return configuration(version, [route(), *(route(n, service="desk") for n in names)])


def put_version(rig, version, *names):
    rig.store.put(CONFIGURATIONS, "config", versioned(version, *names))


async def until_version(rig, version):
    while rig.gateway.configuration_version != version:
        await asyncio.sleep(0.01)


async def until_calls(rig, condition):
    """Wait until a condition holds, or the store has got `N_CALLS` more calls."""
    last = rig.store.n_calls + N_CALLS
    while not condition() and rig.store.n_calls < last:
        await asyncio.sleep(0.01)


async def test_a_configuration_at_an_offset_given_out_again_is_in_force():
    async with gateway_rig() as rig:
        copy = rig.store.copy()
        put_version(rig, 2)
        put_version(rig, 3)
        await until_version(rig, 3)
        rig.store.restore(copy)
        put_version(rig, 3)
        put_version(rig, 4, "added")
        await until_calls(rig, lambda: rig.gateway.configuration_version == 4)
        assert rig.gateway.configuration_version == 4
        assert (await rig.call("/added/1")).status == 200


@pytest.mark.parametrize("n_lost", [1, 2])
async def test_a_departure_at_an_offset_given_out_again_is_known(n_lost):
    async with gateway_rig(leaving_bound_s=6.0) as rig:
        engine, entry = rig.upstreams["engine-0"], None
        copy = rig.store.copy()
        for seq in range(n_lost):
            entry = {**engine.store_entry(), "seq": 2 + seq}
            rig.store.put(LISTINGS, "engine-0", entry)
        desk = await rig.add_upstream("desk-9", "desk")
        while rig.gateway.is_leaving("desk-9"):
            await asyncio.sleep(0.01)
        rig.store.restore(copy)
        rig.store.put(LISTINGS, "engine-0", {**entry, "state": "draining", "seq": 9})
        for _ in range(n_lost):
            rig.store.put(LISTINGS, "desk-9", desk.store_entry())
        await until_calls(rig, lambda: rig.gateway.is_leaving("engine-0"))
        assert rig.gateway.is_leaving("engine-0")
