"""Waiting for a future with a time limit."""

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
        Future to wait for.
    clock : Clock
        Measures the delay.
    delay_s : float
        Maximum wait in seconds; zero or less returns immediately.

    Returns
    -------
    bool
        Whether the future is done.
    """
    if future.done() or delay_s <= 0:
        return future.done()
    timer: asyncio.Future[None] = asyncio.ensure_future(clock.sleep(delay_s))
    futures: set[asyncio.Future[Any]] = {future, timer}
    try:
        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
    finally:
        timer.cancel()
    return future.done()
