"""Writes records again that the store has lost by returning from an older copy."""

import logging
from collections.abc import Awaitable, Callable, Iterable

from ..clock import Clock
from ..events import Event, log_event

_log = logging.getLogger(__name__)

Append = Callable[[str, bytes], Awaitable[bool]]

# Pause after each record, so that the store has room for other calls.
PAUSE_S = 0.05


async def store_again(
    feed: str,
    keys: Iterable[str],
    value_of: Callable[[str], bytes | None],
    append: Append,
    clock: Clock,
    delay_s: float,
) -> None:
    """Append records that the store lacks, unless another gateway does so first.

    Parameters
    ----------
    feed : str
        Name of the feed in log lines.
    keys : iterable of str
        Keys of the records that are missing.
    value_of : callable
        Returns the value of a record; None if it is not missing any more.
    append : callable
        Writes a keyed record; returns whether it was stored.
    clock : Clock
        Source of time.
    delay_s : float
        Seconds in which other gateways may write them.
    """
    await clock.sleep(delay_s)
    n_stored = n_failed = 0
    for key in keys:
        value = value_of(key)
        if value is None:
            continue
        if await append(key, value):
            n_stored += 1
        else:
            n_failed += 1
        await clock.sleep(PAUSE_S)
    if n_stored or n_failed:
        log_event(
            _log,
            Event.RECORDS_STORED_AGAIN,
            feed=feed,
            n_stored=n_stored,
            n_failed=n_failed,
        )
