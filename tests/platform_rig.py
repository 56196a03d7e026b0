"""Runs a gateway in the test process, with a stand-in store and upstreams."""

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from pomelothread.addresses import Address
from pomelothread.clock import SystemClock
from pomelothread.gateway.process import Gateway
from pomelothread.gateway.settings import GatewaySettings
from pomelothread.platform.link import make_adapter
from pomelothread.policy.quotas import QuotaTolerance
from standins import platform_caller
from standins.platform import PlatformStore, PlatformUpstream
from standins.platform_configuration import make_configuration, make_route

API_KEY = "key-of-club"


def route(name="drafts", kind="streaming", service="engines", **changes):
    return make_route(name, "a.example", kind, service, 0, **changes)


def configuration(version=1, routes=None, tenants=None, **changes):
    routes = routes or [
        route(),
        route("resumes", resumable=True),
        route("orders", kind="non_idempotent", service="desk"),
        route("lookups", kind="idempotent", service="desk"),
    ]
    tenants = tenants or [{"name": "club", "api_keys": [API_KEY]}]
    limits = {
        "max_header_bytes": 4096,
        "max_body_bytes": 10_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return make_configuration(version, routes, tenants, **{"limits": limits, **changes})


@dataclass
class Rig:
    """A running gateway, its store and its upstreams."""

    store: PlatformStore
    upstreams: dict = field(default_factory=dict)
    gateway: Gateway = None
    running: asyncio.Task = None
    address: Address = None
    admin_address: Address = None
    peer_address: Address = None

    def put_configuration(self, **changes):
        self.store.put("keyed.op", "config", configuration(**changes))

    async def add_upstream(self, upstream_id, service, **options):
        upstream = PlatformUpstream(upstream_id, service, **options)
        await upstream.http.start()
        self.upstreams[upstream_id] = upstream
        self.store.put("keyed.servers", upstream_id, upstream.store_entry())
        return upstream

    @property
    def executed_calls(self):
        return [call for u in self.upstreams.values() for call in u.executed_calls]

    async def call(self, target, **options):
        caller = await open_caller(self.address)
        try:
            caller.send(target, **options)
            return await caller.answer()
        finally:
            caller.writer.close()

    async def until_ready(self):
        while (await self.readiness()) != 200:
            await asyncio.sleep(0.01)

    async def until_idle(self):
        while self.gateway.n_probes:
            await asyncio.sleep(0)

    async def readiness(self):
        caller = await open_caller(self.admin_address)
        caller.send("/v1/readiness", method="GET")
        answer = await caller.answer()
        caller.writer.close()
        return answer.status


class Caller(platform_caller.Caller):
    """A caller's connection; requests carry the API key of the organisation "club"."""

    def send(self, target, key=API_KEY, **options):
        super().send(target, key=key, **options)


async def open_caller(address):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    return Caller(reader, writer, "a.example")


def free_addresses(n):
    """Return loopback addresses with ports that the kernel reports as free."""
    sockets = [socket.socket() for _ in range(n)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [Address(*sock.getsockname()) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def settings(store_port, callers, admin, peer, **changes):
    options = {
        "instance": "gateway-1",
        "failure_domain": "zone-a",
        "region": "region-a",
        "regions": {"zone-a": "region-a"},
        "callers_address": callers,
        "admin_addresses": (admin,),
        "store_address": Address("127.0.0.1", store_port),
        "peer_address": peer,
        "seed_addresses": (),
        "configuration_bound_s": 3.0,
        "leaving_bound_s": 1.0,
        "grace_s": 5.0,
        "retry_ratio": 1.0,
        "retry_stock": 100.0,
        "retry_window_s": 10.0,
        "quota_tolerance": QuotaTolerance(8.0, 0.0, 0.0),
        **changes,
    }
    return GatewaySettings(**options)


@asynccontextmanager
async def gateway_rig(engines=2, desks=2, config=None, clock=None, **changes):
    """Start a store, upstreams and a gateway, and wait until it is ready."""
    store = PlatformStore()
    await store.http.start()
    rig = Rig(store)
    store.put("keyed.op", "config", config or configuration())
    for number in range(engines):
        await rig.add_upstream(f"engine-{number}", "engines")
    for number in range(desks):
        await rig.add_upstream(f"desk-{number}", "desk")
    try:
        async with running_gateway(rig, clock or SystemClock(), **changes):
            yield rig
    finally:
        await store.http.stop()
        for upstream in rig.upstreams.values():
            await upstream.http.stop()


@asynccontextmanager
async def running_gateway(rig, clock, awaits_ready=True, **changes):
    """Run a gateway on the store of a rig, and usually wait until it is ready."""
    rig.address, rig.admin_address, rig.peer_address = free_addresses(3)
    rig.gateway = Gateway(
        settings(
            rig.store.http.port,
            rig.address,
            rig.admin_address,
            rig.peer_address,
            **changes,
        ),
        clock,
        make_adapter,
    )
    rig.running = asyncio.ensure_future(rig.gateway.run())
    try:
        while not rig.gateway.is_listening:
            await asyncio.sleep(0)
            if rig.running.done():
                rig.running.result()
        if awaits_ready:
            await rig.until_ready()
        yield rig
    finally:
        rig.running.cancel()
        await asyncio.gather(rig.running, return_exceptions=True)


@asynccontextmanager
async def second_gateway(first, **changes):
    """Run another gateway on the same store, with the first one as its seed peer."""
    rig = Rig(first.store, first.upstreams)
    seeds = (first.peer_address,)
    async with running_gateway(rig, SystemClock(), seed_addresses=seeds, **changes):
        yield rig
