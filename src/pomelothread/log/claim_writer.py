"""Appends what one claimant has to say, several records at a time."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any

from returns.result import Failure, Result, Success

from ..clock import Clock
from .claim_records import ClaimantId, ClaimRecord, Done, encode_batch
from .records import LogClient, LogFailure, LogFault
from .tail import retry_delay_s

CLAIM_BATCH_S = 0.02
MAX_BATCH_RECORDS = 256
# A response body of 16 KiB takes 22 KiB in base64; ten of them fit.
MAX_BATCH_BYTES = 256 * 1024
RECORD_SIZE_BYTES = 200


class Keep(Enum):
    """How long an outgoing record is tried.

    `ONCE`: a refused append ends it, since somebody waits for the answer; one
    that may be under way is tried again until the record is dropped.
    `UNTIL_APPENDED`: until it is on the log. `BEST_EFFORT`: a single time.
    """

    ONCE = "once"
    UNTIL_APPENDED = "until-appended"
    BEST_EFFORT = "best-effort"


class Outgoing:
    """A record on its way to the log.

    Parameters
    ----------
    record : ClaimRecord
        What to append.
    keep : Keep
        How long it is tried.
    on_refused : callable, optional
        Called when it is not tried any further because an append failed.

    Attributes
    ----------
    is_dropped : bool
        Set by the owner when the record is no longer wanted.
    ended : Future
        Done when the record is on the log, or was dropped.
    """

    __slots__ = ("ended", "is_dropped", "keep", "on_refused", "record")

    def __init__(
        self,
        record: ClaimRecord,
        keep: Keep,
        on_refused: Callable[[], None] | None = None,
    ) -> None:
        self.record = record
        self.keep = keep
        self.on_refused = on_refused
        self.is_dropped = False
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class ClaimWriter:
    """Queue of outgoing records and the task that appends them.

    All records that are put within `batch_s` go into one log record, because
    the log takes only several hundred appends a second from all its clients.
    One batch is under way at a time. It has ended when the append is answered
    or the tail has read it back, so that a slow answer does not hold up the
    next batch.

    Parameters
    ----------
    client : LogClient
        The log.
    topic : str
        Topic to append to.
    author : ClaimantId
        Stated in each batch.
    clock : Clock
        Gives the delays.
    rng : random.Random
        Source of the jitter of delays after failures.
    batch_s : float, default=CLAIM_BATCH_S
        How long the first record of a batch waits for others, in seconds.

    Attributes
    ----------
    n_batches, n_records, n_failures : int
        Counts of appends, of records in them, and of appends without success.
    """

    def __init__(
        self,
        client: LogClient,
        topic: str,
        author: ClaimantId,
        clock: Clock,
        rng: random.Random,
        batch_s: float = CLAIM_BATCH_S,
    ) -> None:
        self._client = client
        self._topic = topic
        self._author = author
        self._clock = clock
        self._rng = rng
        self._batch_s = batch_s
        self._queue: deque[Outgoing] = deque()
        self._has_work = asyncio.Event()
        self._is_empty = asyncio.Event()
        self._is_empty.set()
        self._n_lasting = 0
        self._sequence = 0
        self._read_back: asyncio.Future[None] | None = None
        self._unanswered: set[asyncio.Task[Any]] = set()
        self._n_failures_in_row = 0
        self._retry_at_s = 0.0
        self._append_began_s: float | None = None
        self.n_batches = 0
        self.n_records = 0
        self.n_failures = 0

    @property
    def delay_left_s(self) -> float:
        """Seconds until the next append after a failure; 0.0 without one."""
        return max(0.0, self._retry_at_s - self._clock.monotonic_s())

    @property
    def busy_s(self) -> float:
        """How long the batch under way has waited for its answer, in seconds."""
        if self._append_began_s is None:
            return 0.0
        return self._clock.monotonic_s() - self._append_began_s

    @property
    def n_waiting(self) -> int:
        """Number of records in the queue."""
        return len(self._queue)

    def put(self, outgoing: Outgoing) -> None:
        """Queue a record."""
        if outgoing.keep is Keep.UNTIL_APPENDED:
            self._n_lasting += 1
            self._is_empty.clear()
        self._queue.append(outgoing)
        self._has_work.set()

    def note_read_back(self, sequence: int) -> None:
        """Take note that the tail has read the author's own batch."""
        if sequence != self._sequence or self._read_back is None:
            return
        if not self._read_back.done():
            self._read_back.set_result(None)

    async def wait_appended(self) -> None:
        """Wait until all records of `Keep.UNTIL_APPENDED` are on the log."""
        await self._is_empty.wait()

    async def run(self) -> None:
        """Append batches until the task is cancelled."""
        try:
            while True:
                await self._has_work.wait()
                await self._clock.sleep(self._batch_s)
                batch = self._take_batch()
                if batch:
                    self._append_began_s = self._clock.monotonic_s()
                    result = await self._append(batch)
                    self._append_began_s = None
                    self._settle(batch, result)
                if self.delay_left_s > 0:
                    await self._clock.sleep(self.delay_left_s)
        finally:
            for task in self._unanswered:
                task.cancel()

    def _take_batch(self) -> list[Outgoing]:
        batch: list[Outgoing] = []
        size_bytes = 0
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            outgoing = self._queue[0]
            if outgoing.is_dropped:
                self._end(self._queue.popleft())
                continue
            size_bytes += RECORD_SIZE_BYTES
            if isinstance(outgoing.record, Done):
                size_bytes += len(outgoing.record.body) * 4 // 3
            if batch and size_bytes > MAX_BATCH_BYTES:
                break
            batch.append(self._queue.popleft())
        if not self._queue:
            self._has_work.clear()
        return batch

    async def _append(self, batch: list[Outgoing]) -> Result[int, LogFailure]:
        self._sequence += 1
        self.n_batches += 1
        self.n_records += len(batch)
        records = [outgoing.record for outgoing in batch]
        value = encode_batch(self._author, self._sequence, records)
        self._read_back = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(self._client.append(self._topic, value))
        self._unanswered.add(task)
        task.add_done_callback(self._unanswered.discard)
        await asyncio.wait((task, self._read_back), return_when=asyncio.FIRST_COMPLETED)
        if self._read_back.done():
            return Success(-1)
        return task.result()

    def _settle(self, batch: list[Outgoing], result: Result[int, LogFailure]) -> None:
        match result:
            case Success(_):
                self._n_failures_in_row = 0
                for outgoing in batch:
                    self._end(outgoing)
            case Failure(failure):
                self.n_failures += 1
                self._n_failures_in_row += 1
                delay_s = retry_delay_s(self._n_failures_in_row, self._rng)
                self._retry_at_s = self._clock.monotonic_s() + delay_s
                for outgoing in reversed(batch):
                    self._try_again(outgoing, failure.fault)

    def _try_again(self, outgoing: Outgoing, fault: LogFault) -> None:
        match outgoing.keep, fault:
            case (Keep.BEST_EFFORT, _) | (Keep.ONCE, LogFault.REFUSED):
                if outgoing.on_refused is not None:
                    outgoing.on_refused()
            case _:
                self._queue.appendleft(outgoing)
                self._has_work.set()

    def _end(self, outgoing: Outgoing) -> None:
        if not outgoing.ended.done():
            outgoing.ended.set_result(None)
        if outgoing.keep is Keep.UNTIL_APPENDED:
            self._n_lasting -= 1
            if self._n_lasting == 0:
                self._is_empty.set()
