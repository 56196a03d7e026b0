"""In-memory `LogClient` with fault injection, for unit tests."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ..clock import Clock
from .records import LogBatch, LogFailure, LogFault, LogRecord, as_object


@dataclass(slots=True)
class MemoryFaults:
    """Faults that a `MemoryLog` injects; the fields may be changed at any time.

    Parameters
    ----------
    down : bool
        Every call fails with `LogFault.REFUSED`.
    refuse_appends, refuse_reads : bool
        Appends, or reads, fail with `LogFault.REFUSED`.
    n_lost_answers : int
        Number of next appends that take effect but fail with
        `LogFault.UNANSWERED`.
    n_lost_requests : int
        Number of next appends that fail with `LogFault.UNANSWERED` and take no
        effect.
    n_late_appends : int
        Number of next appends that fail with `LogFault.UNANSWERED` and take
        effect at the next `MemoryLog.deliver_late_appends`.
    delay_s, delay_answer_s : float
        Delay before an append takes effect, and between its effect and its
        response, in seconds of the clock.
    retention_s : float or None
        Records older than this are deleted; None keeps all records.
    """

    down: bool = False
    refuse_appends: bool = False
    refuse_reads: bool = False
    n_lost_answers: int = 0
    n_lost_requests: int = 0
    n_late_appends: int = 0
    delay_s: float = 0.0
    delay_answer_s: float = 0.0
    retention_s: float | None = None


@dataclass(slots=True)
class _Topic:
    first_offset: int = 0
    records: list[LogRecord] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def delete_before(self, offset: int) -> None:
        n_deleted = min(offset - self.first_offset, len(self.records))
        if n_deleted > 0:
            del self.records[:n_deleted]
            self.first_offset += n_deleted


class MemoryLog:
    """`LogClient` that keeps its records in memory.

    All components under test share one object, as they would share one log.

    Parameters
    ----------
    clock : Clock
        Clock for timestamps, retention and delays.

    Attributes
    ----------
    faults : MemoryFaults
        Faults to inject.
    n_appends : int
        Number of appends that took effect.

    Examples
    --------
    >>> from datetime import UTC, datetime
    >>> from pomelothread.clock import ManualClock
    >>> log = MemoryLog(ManualClock(datetime(2026, 3, 1, tzinfo=UTC)))
    >>> asyncio.run(log.append("sheet", {"version": 1})).unwrap()
    0
    """

    def __init__(self, clock: Clock) -> None:
        self.faults = MemoryFaults()
        self.n_appends = 0
        self._clock = clock
        self._topics: dict[str, _Topic] = {}
        self._late_appends: list[tuple[str, dict[str, Any]]] = []

    async def append(
        self, topic: str, value: dict[str, Any]
    ) -> Result[int, LogFailure]:
        """Append one record and return its offset."""
        faults = self.faults
        # Copied, so that later changes by the caller do not alter the record.
        value = msgspec.json.decode(msgspec.json.encode(value))
        if faults.delay_s > 0:
            await self._clock.sleep(faults.delay_s)
        if faults.down or faults.refuse_appends:
            return Failure(LogFailure(LogFault.REFUSED, "the log is not available"))
        if faults.n_lost_requests > 0:
            faults.n_lost_requests -= 1
            return Failure(LogFailure(LogFault.UNANSWERED, "the request was lost"))
        if faults.n_late_appends > 0:
            faults.n_late_appends -= 1
            self._late_appends.append((topic, value))
            return Failure(LogFailure(LogFault.UNANSWERED, "the request is late"))
        offset = self._store(topic, value)
        if faults.delay_answer_s > 0:
            await self._clock.sleep(faults.delay_answer_s)
        if faults.n_lost_answers > 0:
            faults.n_lost_answers -= 1
            return Failure(LogFailure(LogFault.UNANSWERED, "the response was lost"))
        return Success(offset)

    async def read(
        self, topic: str, offset: int, max_wait_s: float
    ) -> Result[LogBatch, LogFailure]:
        """Read records, starting at `offset`; wait up to `max_wait_s` for one."""
        if self.faults.down or self.faults.refuse_reads:
            return Failure(LogFailure(LogFault.REFUSED, "the log is not available"))
        content = self._topic(topic)
        if offset >= content.first_offset + len(content.records) and max_wait_s > 0:
            await self._wait_changed(content, max_wait_s)
            if self.faults.down or self.faults.refuse_reads:
                return Failure(LogFailure(LogFault.REFUSED, "the log is not available"))
            content = self._topic(topic)
        first = max(offset, content.first_offset)
        records = tuple(content.records[first - content.first_offset :])
        return Success(LogBatch(records, first + len(records), first - offset))

    def deliver_late_appends(self) -> None:
        """Apply the appends that `MemoryFaults.n_late_appends` held back."""
        late, self._late_appends = self._late_appends, []
        for topic, value in late:
            self._store(topic, value)

    def expire_before(self, topic: str, offset: int) -> None:
        """Delete the records before `offset`, as retention does."""
        self._topic(topic).delete_before(offset)

    def values(self, topic: str) -> list[dict[str, Any]]:
        """Return the values of all records that are left in a topic."""
        return [record.value for record in self._topic(topic).records]

    def _topic(self, name: str) -> _Topic:
        topic = self._topics.setdefault(name, _Topic())
        if self.faults.retention_s is not None:
            limit = self._clock.now() - timedelta(seconds=self.faults.retention_s)
            n_old = sum(1 for record in topic.records if record.appended_at < limit)
            topic.delete_before(topic.first_offset + n_old)
        return topic

    def _store(self, name: str, value: dict[str, Any]) -> int:
        topic = self._topic(name)
        offset = topic.first_offset + len(topic.records)
        record = LogRecord(name, offset, self._clock.now(), as_object(value))
        topic.records.append(record)
        self.n_appends += 1
        topic.changed.set()
        topic.changed = asyncio.Event()
        return offset

    async def _wait_changed(self, topic: _Topic, max_wait_s: float) -> None:
        tasks: set[asyncio.Future[Any]] = {
            asyncio.ensure_future(topic.changed.wait()),
            asyncio.ensure_future(self._clock.sleep(max_wait_s)),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
