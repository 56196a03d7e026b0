"""Appends the records of one claimant to the log in batches."""

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
# A response body of 16 KiB takes 22 KiB in base64, so a batch holds ten of them.
MAX_BATCH_BYTES = 256 * 1024
# Estimated size of an encoded record without its response body.
RECORD_OVERHEAD_BYTES = 200


class RetryPolicy(Enum):
    """When a failed append of a record is retried.

    `ONCE`: not after `LogFault.REFUSED`, since a caller waits for the result.
    After `LogFault.UNANSWERED` the record may still reach the log, so it is
    retried until it is dropped.
    `UNTIL_APPENDED`: after every failure, until the record is on the log.
    `BEST_EFFORT`: never.
    """

    ONCE = "once"
    UNTIL_APPENDED = "until-appended"
    BEST_EFFORT = "best-effort"


class QueuedRecord:
    """A record that waits to be appended to the log.

    Parameters
    ----------
    record : ClaimRecord
        What to append.
    retry_policy : RetryPolicy
        When a failed append is retried.
    on_failure : callable, optional
        Called when an append failed and is not retried.

    Attributes
    ----------
    is_dropped : bool
        Set by the owner if the record need not be appended any more.
    completion : Future
        Done when the record is on the log, or was dropped.
    """

    __slots__ = ("completion", "is_dropped", "on_failure", "record", "retry_policy")

    def __init__(
        self,
        record: ClaimRecord,
        retry_policy: RetryPolicy,
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        self.record = record
        self.retry_policy = retry_policy
        self.on_failure = on_failure
        self.is_dropped = False
        self.completion: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )


class ClaimWriter:
    """Queue of records and the task that appends them in batches.

    All records that are queued within `batch_s` go into one log record, because
    the log accepts only several hundred appends per second from all its clients
    together. One batch is in flight at a time, until the append is answered or
    the tail has read the batch back, so a slow response does not delay the next
    batch.

    Parameters
    ----------
    client : LogClient
        The log.
    topic : str
        Topic to append to.
    author : ClaimantId
        Author of each batch.
    clock : Clock
        Clock for the delays.
    rng : random.Random
        Source of the jitter of retry delays.
    batch_s : float, default=CLAIM_BATCH_S
        How long the first record of a batch waits for others, in seconds.

    Attributes
    ----------
    n_batches, n_records, n_failures : int
        Numbers of appends, of records in them, and of failed appends.
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
        self._queue: deque[QueuedRecord] = deque()
        self._has_work = asyncio.Event()
        self._all_appended = asyncio.Event()
        self._all_appended.set()
        self._n_unappended = 0
        self._sequence = 0
        self._read_back: asyncio.Future[None] | None = None
        self._unanswered: set[asyncio.Task[Any]] = set()
        self._n_failures_in_row = 0
        self._retry_at_s = 0.0
        self._append_started_s: float | None = None
        self.n_batches = 0
        self.n_records = 0
        self.n_failures = 0

    @property
    def backoff_left_s(self) -> float:
        """Seconds until the next append after a failed one, otherwise 0.0."""
        return max(0.0, self._retry_at_s - self._clock.monotonic_s())

    @property
    def append_age_s(self) -> float:
        """Seconds since the append in flight was sent; 0.0 if there is none."""
        if self._append_started_s is None:
            return 0.0
        return self._clock.monotonic_s() - self._append_started_s

    @property
    def n_waiting(self) -> int:
        """Number of records in the queue."""
        return len(self._queue)

    def put(self, queued: QueuedRecord) -> None:
        """Queue a record."""
        if queued.retry_policy is RetryPolicy.UNTIL_APPENDED:
            self._n_unappended += 1
            self._all_appended.clear()
        self._queue.append(queued)
        self._has_work.set()

    def on_batch_read(self, sequence: int) -> None:
        """Complete the batch in flight if the tail has read it back."""
        if sequence != self._sequence or self._read_back is None:
            return
        if not self._read_back.done():
            self._read_back.set_result(None)

    async def wait_appended(self) -> None:
        """Wait until all records of `RetryPolicy.UNTIL_APPENDED` are on the log."""
        await self._all_appended.wait()

    async def run(self) -> None:
        """Append batches until the task is cancelled."""
        try:
            while True:
                await self._has_work.wait()
                await self._clock.sleep(self._batch_s)
                batch = self._take_batch()
                if batch:
                    self._append_started_s = self._clock.monotonic_s()
                    result = await self._append(batch)
                    self._append_started_s = None
                    self._handle_result(batch, result)
                if self.backoff_left_s > 0:
                    await self._clock.sleep(self.backoff_left_s)
        finally:
            for task in self._unanswered:
                task.cancel()

    def _take_batch(self) -> list[QueuedRecord]:
        batch: list[QueuedRecord] = []
        size_bytes = 0
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            queued = self._queue[0]
            if queued.is_dropped:
                self._complete(self._queue.popleft())
                continue
            size_bytes += RECORD_OVERHEAD_BYTES
            if isinstance(queued.record, Done):
                size_bytes += len(queued.record.body) * 4 // 3
            if batch and size_bytes > MAX_BATCH_BYTES:
                break
            batch.append(self._queue.popleft())
        if not self._queue:
            self._has_work.clear()
        return batch

    async def _append(self, batch: list[QueuedRecord]) -> Result[int, LogFailure]:
        self._sequence += 1
        self.n_batches += 1
        self.n_records += len(batch)
        records = [queued.record for queued in batch]
        value = encode_batch(self._author, self._sequence, records)
        self._read_back = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(self._client.append(self._topic, value))
        self._unanswered.add(task)
        task.add_done_callback(self._unanswered.discard)
        await asyncio.wait((task, self._read_back), return_when=asyncio.FIRST_COMPLETED)
        if self._read_back.done():
            return Success(-1)
        return task.result()

    def _handle_result(
        self, batch: list[QueuedRecord], result: Result[int, LogFailure]
    ) -> None:
        match result:
            case Success(_):
                self._n_failures_in_row = 0
                for queued in batch:
                    self._complete(queued)
            case Failure(failure):
                self.n_failures += 1
                self._n_failures_in_row += 1
                delay_s = retry_delay_s(self._n_failures_in_row, self._rng)
                self._retry_at_s = self._clock.monotonic_s() + delay_s
                for queued in reversed(batch):
                    self._retry_or_give_up(queued, failure.fault)

    def _retry_or_give_up(self, queued: QueuedRecord, fault: LogFault) -> None:
        match queued.retry_policy, fault:
            case (RetryPolicy.BEST_EFFORT, _) | (RetryPolicy.ONCE, LogFault.REFUSED):
                if queued.on_failure is not None:
                    queued.on_failure()
            case _:
                self._queue.appendleft(queued)
                self._has_work.set()

    def _complete(self, queued: QueuedRecord) -> None:
        if not queued.completion.done():
            queued.completion.set_result(None)
        if queued.retry_policy is RetryPolicy.UNTIL_APPENDED:
            self._n_unappended -= 1
            if self._n_unappended == 0:
                self._all_appended.set()
