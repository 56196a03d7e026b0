"""Waiting for an event, but not for ever."""

import asyncio
from typing import Any

from ..clock import Clock


async def wait_at_most(
    future: "asyncio.Future[Any]", clock: Clock, delay_s: float
) -> bool:
    """Wait for a future without cancelling it.

    Parameters
    ----------
    future : Future
        What is waited for.
    clock : Clock
        Measures the delay.
    delay_s : float
        Seconds to wait at most; not positive means not at all.

    Returns
    -------
    bool
        Whether the future is done.
    """
    if future.done() or delay_s <= 0:
        return future.done()
    timer: asyncio.Future[None] = asyncio.ensure_future(clock.sleep(delay_s))
    both: set[asyncio.Future[Any]] = {future, timer}
    try:
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
    finally:
        timer.cancel()
    return future.done()
