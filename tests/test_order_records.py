"""The record of an order is on the log before its caller gets the response."""

import asyncio
from types import SimpleNamespace

import pytest

from pomelothread.agent.orders import Orders
from pomelothread.clock import SystemClock
from pomelothread.log.claim_results import Claimed
from pomelothread.log.claims import Claimant
from pomelothread.log.memory import MemoryLog


@pytest.mark.parametrize("log_is_down", [False, True])
def test_an_order_is_on_the_log_before_its_caller_is_told(log_is_down):
    # Guards against an order without a record: an agent that was killed within
    # 25 ms after its response had not yet appended the record.
    async def scenario():
        clock = SystemClock()
        log = MemoryLog(clock)
        claimant = Claimant(log, "ledger", "ledger-1", clock)
        running = asyncio.create_task(claimant.run())
        while not claimant.tail.is_caught_up:
            await asyncio.sleep(0)
        client = SimpleNamespace()
        orders = Orders(claimant, client, "http://127.0.0.1:1", clock, print)
        claimed = await claimant.claim("k", b"body", "bulk-order", "club", 60.0, False)
        assert isinstance(claimed, Claimed)
        n_before = log.n_appends
        log.faults.down = log_is_down
        # Must return even while the log is down and the append cannot succeed.
        await orders.finish(claimed.token, 201, (), b"{}")
        assert (log.n_appends > n_before) is not log_is_down
        running.cancel()

    asyncio.run(scenario())
