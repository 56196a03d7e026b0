"""Deletes expired keys and copies others forward before retention deletes them."""

import asyncio
import random

from returns.result import Success

from ..clock import Clock
from .claim_records import Carried, ClaimRecord, KeyState
from .claim_writer import ClaimWriter, QueuedRecord, RetryPolicy
from .ledger import ClaimLedger, KeyEntry
from .responses import StoredResponses
from .tail import LogTail

SWEEP_INTERVAL_S = 60.0
SWEEPS_PER_RETENTION = 16
# Records are carried forward at an age between these fractions of the retention.
# Each claimant draws the age at random, so that usually only one of them copies a
# record. The last quarter of the retention is a reserve for outages of the log.
MIN_CARRY_AGE = 0.5
MAX_CARRY_AGE = 0.75
# The sweep yields to the event loop after each slice. Without slices, a sweep of
# 120,000 keys took 125 ms, which would delay the agent's token streams (41 ms
# between tokens); a slice took up to 5 ms.
KEYS_PER_SLICE = 2000


class ClaimUpkeep:
    """Periodic task that expires keys and carries records forward.

    Parameters
    ----------
    ledger : ClaimLedger
        State of the keys of the topic.
    tail : LogTail
        Reader of the topic. Nothing is carried forward until it has caught up.
    writer : ClaimWriter
        Appends the copies.
    responses : StoredResponses
        Source of the responses to copy.
    clock : Clock
        Clock for expiry and for the interval between sweeps.
    rng : random.Random
        Source of jitter.
    retention_s : float or None
        Retention of the log in seconds; None if records are never deleted.
    """

    def __init__(
        self,
        ledger: ClaimLedger,
        tail: LogTail,
        writer: ClaimWriter,
        responses: StoredResponses,
        clock: Clock,
        rng: random.Random,
        retention_s: float | None,
    ) -> None:
        if retention_s is not None and retention_s <= 0:
            raise ValueError(f"retention_s={retention_s} must be positive or None")
        self._ledger = ledger
        self._tail = tail
        self._writer = writer
        self._responses = responses
        self._clock = clock
        self._rng = rng
        self._retention_s = retention_s
        self._interval_s = SWEEP_INTERVAL_S
        if retention_s is not None:
            shortest_s = retention_s / SWEEPS_PER_RETENTION
            self._interval_s = min(SWEEP_INTERVAL_S, shortest_s)

    async def run(self) -> None:
        """Sweep until the task is cancelled."""
        while True:
            await self._clock.sleep(self._interval_s * self._rng.uniform(0.5, 1.0))
            await self.sweep()

    async def sweep(self) -> None:
        """Delete expired keys and queue copies of old records."""
        now_ms = round(self._clock.now().timestamp() * 1000)
        keys = list(self._ledger.entries)
        due = []
        for start in range(0, len(keys), KEYS_PER_SLICE):
            chunk = keys[start : start + KEYS_PER_SLICE]
            self._ledger.expire(chunk, now_ms)
            due += self._find_due(chunk, now_ms)
            await asyncio.sleep(0)
        # Sorted by offset, so that one read of the log serves many responses.
        for key_digest, entry in sorted(due, key=lambda item: item[1].done_offset):
            record = await self._copy(key_digest, entry)
            if record is not None:
                self._writer.put(QueuedRecord(record, RetryPolicy.BEST_EFFORT))
        self._responses.clear_last_read()

    def _find_due(self, keys: list[bytes], now_ms: int) -> list[tuple[bytes, KeyEntry]]:
        if self._retention_s is None or not self._tail.is_caught_up:
            return []
        if self._writer.n_waiting > 0:
            # The copies of the last sweep are still queued, as in an outage.
            return []
        retention_ms = self._retention_s * 1000
        age_ms = retention_ms * self._rng.uniform(MIN_CARRY_AGE, MAX_CARRY_AGE)
        entries = self._ledger.entries
        return [
            (key, entry)
            for key in keys
            if (entry := entries.get(key)) is not None
            and entry.expires_at_ms > entry.stored_at_ms + retention_ms
            and entry.stored_at_ms + age_ms <= now_ms
        ]

    async def _copy(self, key_digest: bytes, entry: KeyEntry) -> ClaimRecord | None:
        if entry.state is not KeyState.DONE:
            return Carried(
                key_digest,
                entry.body_digest,
                entry.holder,
                entry.attempt,
                entry.origin,
                entry.expires_at_ms,
                entry.state is KeyState.ABANDONED,
                self._ledger.is_superseded(entry.holder),
            )
        match await self._responses.fetch(key_digest, entry):
            case Success(done):
                copy: ClaimRecord = done.with_holder(entry.holder)
                return copy
            case _:
                return None
