"""Shares the fingerprints of requests that crash upstreams.

Crashes are reported to peers at once, and stored in the platform's store for
processes that start after all others have stopped.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec

from ..clock import Clock
from ..events import Event, log_event
from ..policy.crash_guard import CrashGuard
from ..undecodable import UNDECODABLE
from .feeds import KeyedRecord
from .storing_again import Append, store_again

_log = logging.getLogger(__name__)

# Long-poll timeout of the reads of the store. Peers report crashes sooner.
CRASH_FEED_POLL_S = 28.0
# Maximum number of fingerprints in a message to peers.
MAX_FINGERPRINTS = 12


class CrashReporter:
    """Records crashes, reports them to peers and writes them to the store.

    Parameters
    ----------
    guard : CrashGuard
        Decides which requests are refused.
    append : callable
        Writes a keyed record to the store; returns whether it was stored.
    clock : Clock
        Source of time.
    """

    def __init__(self, guard: CrashGuard, append: Append, clock: Clock) -> None:
        self._guard = guard
        self._append = append
        self._clock = clock
        # Upstreams that the store names for each fingerprint.
        self._stored: dict[str, frozenset[str]] = {}
        # Returns the seconds for which other gateways may write what is missing.
        self.rewrite_delay_s: Callable[[], float] = float
        self._write_tasks: set[asyncio.Task[None]] = set()
        self._unsent: dict[str, list[str]] = {}

    def record_refused_connection(self, upstream_id: str, now_s: float) -> None:
        """Count and share the crashes that a refused connection confirms."""
        changed = self._guard.record_refused_connection(upstream_id, now_s)
        for fingerprint, upstream_ids in changed.items():
            log_event(
                _log,
                Event.CRASH_COUNTED,
                fingerprint=fingerprint,
                upstream=upstream_id,
                n_crashes=len(upstream_ids),
                refused=self._guard.is_refused(fingerprint),
            )
            self._unsent[fingerprint] = sorted(upstream_ids)
            self._start(self._write(fingerprint, sorted(upstream_ids)))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)

    def apply(self, record: KeyedRecord) -> None:
        """Merge a record of the store."""
        if record.value is None:
            return
        try:
            upstream_ids = msgspec.json.decode(record.value, type=list[str])
        except UNDECODABLE as error:
            log_event(_log, Event.FEED_MALFORMED, feed="crashes", detail=error)
            return
        self._stored[record.key] = frozenset(upstream_ids)
        self._guard.merge(record.key, upstream_ids)

    def apply_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Merge all records of the store, and write those that it has lost."""
        self._stored.clear()
        for record in records:
            self.apply(record)
        missing = [f for f in self._guard.fingerprints() if self.missing_value(f)]
        if missing:
            self._start(self._store_again(missing))

    async def _store_again(self, fingerprints: Iterable[str]) -> None:
        await store_again(
            "crashes",
            fingerprints,
            self.missing_value,
            self._append,
            self._clock,
            self.rewrite_delay_s(),
        )

    def missing_value(self, fingerprint: str) -> bytes | None:
        """Return the record of a fingerprint, if the store does not have all of it."""
        known = self._guard.upstreams_of(fingerprint)
        if known <= self._stored.get(fingerprint, frozenset()):
            return None
        return msgspec.json.encode(sorted(known))

    def merge_reported(self, reported: dict[str, list[str]]) -> None:
        """Merge crashes that a peer reports."""
        for fingerprint, upstream_ids in reported.items():
            self._guard.merge(fingerprint, upstream_ids)

    def take_unreported(self) -> dict[str, list[str]]:
        """Take the crashes that have not been reported to peers yet."""
        reported, self._unsent = self._unsent, {}
        return dict(list(reported.items())[:MAX_FINGERPRINTS])

    def newest_for_heartbeat(self) -> dict[str, list[str]]:
        """Return the newest crashes, to be repeated in each heartbeat."""
        return self._guard.newest(MAX_FINGERPRINTS)

    async def _write(self, fingerprint: str, upstream_ids: list[str]) -> None:
        if not await self._append(fingerprint, msgspec.json.encode(upstream_ids)):
            # Peers have it from the message; it is lost only if all processes stop
            # at once.
            log_event(_log, Event.CRASH_NOT_STORED, fingerprint=fingerprint)
