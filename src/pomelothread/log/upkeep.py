"""Forgets expired keys and carries the others forward before retention."""

import asyncio
import random

from returns.result import Success

from ..clock import Clock
from .claim_records import Carried, ClaimRecord, KeyState
from .claim_writer import ClaimWriter, Keep, Outgoing
from .ledger import ClaimLedger, KeyEntry
from .responses import StoredResponses
from .tail import LogTail

SWEEP_INTERVAL_S = 60.0
SWEEPS_PER_RETENTION = 16
# Records are carried forward at an age between these shares of the retention.
# Each claimant draws its own, so that mostly one of them does the work; the
# last quarter is left for outages of the log.
MIN_CARRY_AGE = 0.5
MAX_CARRY_AGE = 0.75
# A sweep over 120,000 keys took 125 ms in one piece, which would hold up the
# token streams of the agent (41 ms between tokens); a slice took up to 5 ms.
KEYS_PER_SLICE = 2000


class ClaimUpkeep:
    """Periodic work on the ledger of one claimant.

    Parameters
    ----------
    ledger : ClaimLedger
        Fold of the topic.
    tail : LogTail
        Nothing is carried forward before it has reached the end.
    writer : ClaimWriter
        Takes the copies.
    responses : StoredResponses
        Source of the responses that are copied.
    clock : Clock
        Gives the time and the intervals.
    rng : random.Random
        Source of the jitter.
    retention_s : float or None
        Retention of the log in seconds; None if records are kept for ever.
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
        """Forget expired keys, and queue copies of old records."""
        now_ms = round(self._clock.now().timestamp() * 1000)
        keys = list(self._ledger.entries)
        due = []
        for begin in range(0, len(keys), KEYS_PER_SLICE):
            part = keys[begin : begin + KEYS_PER_SLICE]
            self._ledger.expire(part, now_ms)
            due += self._due(part, now_ms)
            await asyncio.sleep(0)
        # In the order of the log, one read serves many responses.
        for key_digest, entry in sorted(due, key=lambda item: item[1].done_offset):
            record = await self._copy(key_digest, entry)
            if record is not None:
                self._writer.put(Outgoing(record, Keep.BEST_EFFORT))
        self._responses.release_window()

    def _due(self, keys: list[bytes], now_ms: int) -> list[tuple[bytes, KeyEntry]]:
        if self._retention_s is None or not self._tail.is_caught_up:
            return []
        if self._writer.n_waiting > 0:
            # An outage: the copies of the last sweep have not left yet.
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
                self._ledger.is_replaced(entry.holder),
            )
        match await self._responses.fetch(key_digest, entry):
            case Success(done):
                copy: ClaimRecord = done.carried_by(entry.holder)
                return copy
            case _:
                return None
