"""Claimants that reach the stand-in of the log over HTTP."""

import asyncio
from contextlib import suppress

import pytest

from pomelothread.clock import SystemClock
from pomelothread.log import claim_results as results
from pomelothread.log.claims import Claimant
from pomelothread.log.client import HttpLogClient
from standins.log_service import Faults, LogService


@pytest.mark.parametrize(
    ("faults", "may_claim"),
    [
        (Faults(), True),
        (Faults(lose_append_answers=2), True),
        (Faults(lose_append_answers=True), True),
        (Faults(delay_answer_s=0.05), True),
        (Faults(down=True), False),
        (Faults(refuse_appends=True), False),
        (Faults(appends_per_s=0.0), False),
        (Faults(hang=True), False),
    ],
    ids=str,
)
def test_an_order_runs_once_over_http(faults: Faults, may_claim: bool) -> None:
    """Guards against faults of the HTTP path, which the in-memory log cannot inject."""

    async def claim(claimant: Claimant) -> results.ClaimResult:
        return await claimant.claim("k", b"10 maps", "print", "club", 86_400.0)

    async def run() -> None:
        service = LogService()
        client = HttpLogClient(service.start(), timeout_s=0.4)
        clock = SystemClock()
        one, other = (
            Claimant(client, "press", name, clock, confirm_timeout_s=0.5)
            for name in ("a", "b")
        )
        tasks = [asyncio.create_task(claimant.run()) for claimant in (one, other)]
        await asyncio.gather(one.tail.wait_caught_up(), other.tail.wait_caught_up())
        service.faults = faults
        service.notify()
        outcomes = list(await asyncio.gather(claim(one), claim(other)))
        if not may_claim:
            assert all(
                isinstance(result, results.ClaimUnavailable) for result in outcomes
            )
        service.faults = Faults()
        service.notify()
        n_claimed = 0
        while not all(isinstance(result, results.AlreadyDone) for result in outcomes):
            for claimant, result in zip((one, other), outcomes, strict=True):
                if isinstance(result, results.Claimed):
                    n_claimed += 1
                    await claimant.finish(result.token, 201, (), b"ran")
            await asyncio.sleep(0.01)  # a refused claim returns at once
            outcomes = [await claim(one), await claim(other)]
        assert n_claimed == 1
        await asyncio.gather(one.flush(), other.flush())
        for task in tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        client.close()
        await service.stop()

    asyncio.run(run())
