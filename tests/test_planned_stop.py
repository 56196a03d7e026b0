"""Tests that a planned stop leaves no request without an answer."""

import asyncio

import pytest
from platform_rig import gateway_rig, open_caller

from pomelothread.gateway import process

N_SLOTS = 4
N_WAITING = 5


async def send(rig, target, n):
    """Send requests on connections of their own; return the answers to come."""
    answers = []
    for number in range(n):
        caller = await open_caller(rig.address)
        caller.send(f"{target}/{number}", request_id=f"{target}{number}")
        answers.append(asyncio.ensure_future(caller.answer()))
    return answers


async def until_all_wait(rig, n):
    while rig.gateway.n_waiting < n:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("route", ["/orders", "/lookups"])
async def test_a_full_queue_is_told_not_run_before_the_process_ends(monkeypatch, route):
    monkeypatch.setattr(process, "DRAIN_ACCEPT_S", 0.3)
    async with gateway_rig(engines=0, desks=1, grace_s=2.0) as rig:
        desk = rig.upstreams["desk-0"]
        desk.may_answer.clear()
        answers = await send(rig, route, N_SLOTS + N_WAITING)
        await until_all_wait(rig, N_WAITING)
        rig.gateway.stop()
        answers = await asyncio.gather(*answers)
        statuses = sorted(answer.status for answer in answers)
        # Those that run are not known to have run or not; none ends without an answer.
        assert statuses == [503] * N_WAITING + [504] * N_SLOTS
        refused = [answer for answer in answers if answer.status == 503]
        assert all(b"shutting-down" in answer.body for answer in refused)
        assert len(desk.executed_calls) == N_SLOTS
        assert await rig.running == 0


async def test_requests_that_were_sent_before_the_end_of_acceptance_are_finished(
    monkeypatch,
):
    monkeypatch.setattr(process, "DRAIN_ACCEPT_S", 0.3)
    async with gateway_rig(engines=0, desks=1, grace_s=60.0) as rig:
        desk = rig.upstreams["desk-0"]
        desk.may_answer.clear()
        answers = await send(rig, "/orders", N_SLOTS + N_WAITING)
        await until_all_wait(rig, N_WAITING)
        rig.gateway.stop()
        while rig.gateway.n_waiting:
            await asyncio.sleep(0.01)
        desk.may_answer.set()
        answers = await asyncio.gather(*answers)
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [200] * N_SLOTS + [503] * N_WAITING
