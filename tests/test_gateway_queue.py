"""Slots are not leaked when waits time out or are cancelled."""

import asyncio
import random

import msgspec
import pytest
from platform_rig import configuration

from pomelothread.addresses import Address
from pomelothread.clock import SystemClock
from pomelothread.gateway.dialect import CallerFacts
from pomelothread.gateway.jobs import Job
from pomelothread.gateway.queue import Lease, NoSlot, UpstreamQueue
from pomelothread.gateway.upstreams import UpstreamListing, UpstreamTable
from pomelothread.http1.messages import Request
from pomelothread.platform.records import decode_configuration
from pomelothread.policy.upstream_choice import N_BEYOND_SLOTS
from pomelothread.policy.waiting_order import WaitingFacts

WAIT_S = 0.05


def make_job(now_s):
    config = decode_configuration(msgspec.json.encode(configuration())).unwrap()
    route = config.find_route("a.example", "/drafts/1")
    facts = CallerFacts(b"r", "a.example", "/drafts/1", 5.0, None, 10, 10, True, None)
    waiting = WaitingFacts(0, now_s, now_s + 1, now_s + 5, now_s + WAIT_S / 0.55)
    request = Request(b"POST", b"/drafts/1", (), b"")
    return Job(request, facts, route, "engines", None, waiting, 1, "f")


def make_queue():
    clock = SystemClock()
    table = UpstreamTable("r", {})
    listing = UpstreamListing("e", "engines", Address("127.0.0.1", 1), "z", 1, False, 1)
    upstream = table.put(listing)
    return UpstreamQueue(table, clock, random.Random(1)), upstream, clock


async def fill(queue, clock):
    leases = [await queue.acquire(make_job(clock.monotonic_s())) for _ in range(2)]
    assert len(leases) == 1 + N_BEYOND_SLOTS
    assert all(isinstance(lease, Lease) for lease in leases)
    return leases


async def test_a_slot_granted_as_the_wait_times_out_is_not_leaked():
    queue, upstream, clock = make_queue()
    leases = await fill(queue, clock)
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + WAIT_S
    waiting = asyncio.ensure_future(queue.acquire(make_job(clock.monotonic_s())))
    await asyncio.sleep(0)
    loop.call_at(ends_s - 0.001, queue.release, leases[0], True)
    # Block the event loop until both timers are due in the same iteration.
    while loop.time() < ends_s + 0.02:
        pass
    result = await waiting
    n_held = 1 + isinstance(result, Lease)
    assert upstream.n_running == n_held


@pytest.mark.parametrize("is_granted", [True, False])
async def test_a_slot_granted_to_a_cancelled_request_is_released(is_granted):
    queue, upstream, clock = make_queue()
    leases = await fill(queue, clock)
    waiting = asyncio.ensure_future(queue.acquire(make_job(clock.monotonic_s())))
    await asyncio.sleep(0)
    if is_granted:
        queue.release(leases[0], True)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert upstream.n_running == 2 - is_granted
    assert queue.n_waiting == 0


async def test_a_wait_that_times_out_reports_that_there_was_an_upstream():
    queue, _, clock = make_queue()
    await fill(queue, clock)
    assert await queue.acquire(make_job(clock.monotonic_s())) == NoSlot(True)


async def test_waiting_requests_are_not_examined_while_no_slot_is_free(monkeypatch):
    # Guards against a fault: while two upstreams rested, each message of a peer made a
    # gateway examine every waiting request for every upstream. That left no time to
    # serve callers, or to read the store after the gateway had been cut off from it.
    clock = SystemClock()
    table = UpstreamTable("r", {})
    for number in range(3):
        address = Address("127.0.0.1", number + 1)
        listing = UpstreamListing(f"e{number}", "engines", address, "z", 4, False, 1)
        table.put(listing).n_running = 4 + N_BEYOND_SLOTS
    resting = table.get("e0")
    resting.n_running = 0
    resting.health.observe_failure(clock.monotonic_s(), is_certain=True)
    resting.health.rests_until_s += 3_600.0
    queue = UpstreamQueue(table, clock, random.Random(1))
    examined = []
    monkeypatch.setattr(
        "pomelothread.gateway.queue.queue_sort_key", lambda *key: examined.append(key)
    )
    waiting = [
        asyncio.ensure_future(queue.acquire(make_job(clock.monotonic_s())))
        for _ in range(50)
    ]
    await asyncio.sleep(0)
    queue.assign_all_slots()
    assert queue.n_waiting == 50
    assert examined == []
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
