"""Shares what is known of requests that crash upstreams.

Peers are told at once; the platform's store keeps it for processes that start
after all others have gone.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec

from ..events import Event, log_event
from ..policy.crash_guard import CrashGuard
from .feeds import KeyedRecord

_log = logging.getLogger(__name__)

# Longest wait of a read; peers tell sooner.
CRASHES_WAIT_S = 28.0
# Fingerprints in a message to peers.
MAX_TOLD = 12

Append = Callable[[str, bytes], Awaitable[bool]]


class CrashBook:
    """Crashes that this process has seen, or has been told of.

    Parameters
    ----------
    guard : CrashGuard
        Decides which requests are refused.
    append : callable
        Writes a keyed record to the store; tells whether it is there.
    """

    def __init__(self, guard: CrashGuard, append: Append) -> None:
        self._guard = guard
        self._append = append
        self._writing: set[asyncio.Task[None]] = set()
        self.to_tell: dict[str, list[str]] = {}

    def note_refused_connection(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream does not listen, and tell others."""
        changed = self._guard.note_refused_connection(upstream_id, now_s)
        for fingerprint, upstream_ids in changed.items():
            log_event(
                _log,
                Event.CRASH_COUNTED,
                fingerprint=fingerprint,
                upstream=upstream_id,
                n_crashes=len(upstream_ids),
                refused=self._guard.is_refused(fingerprint),
            )
            self.to_tell[fingerprint] = sorted(upstream_ids)
            task = asyncio.ensure_future(self._write(fingerprint, sorted(upstream_ids)))
            self._writing.add(task)
            task.add_done_callback(self._writing.discard)

    def apply(self, record: KeyedRecord) -> None:
        """Take in a record of the store."""
        if record.value is None:
            return
        try:
            upstream_ids = msgspec.json.decode(record.value, type=list[str])
        except msgspec.MsgspecError as error:
            log_event(_log, Event.FEED_MALFORMED, feed="crashes", detail=error)
            return
        self._guard.merge(record.key, upstream_ids)

    def apply_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in all records of the store."""
        for record in records:
            self.apply(record)

    def hear(self, told: dict[str, list[str]]) -> None:
        """Take in what a peer tells."""
        for fingerprint, upstream_ids in told.items():
            self._guard.merge(fingerprint, upstream_ids)

    def take_untold(self) -> dict[str, list[str]]:
        """Return what peers have not been told yet."""
        told, self.to_tell = self.to_tell, {}
        return dict(list(told.items())[:MAX_TOLD])

    def for_beat(self) -> dict[str, list[str]]:
        """Return what a beat tells."""
        return self._guard.newest(MAX_TOLD)

    async def _write(self, fingerprint: str, upstream_ids: list[str]) -> None:
        if not await self._append(fingerprint, msgspec.json.encode(upstream_ids)):
            # Peers know it from the message; only a loss of all processes at
            # once would forget it.
            log_event(_log, Event.CRASH_NOT_STORED, fingerprint=fingerprint)
