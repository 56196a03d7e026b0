"""Compacted topics of the platform's store, and the task that follows one of them."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Failure, Result, Success

from ..clock import Clock
from ..events import Event, log_event
from ..policy.feed_sharing import FeedWatch
from ..policy.store_calls import STALE_READ_TIMEOUT_S
from .store_epoch import StoreEpoch

_log = logging.getLogger(__name__)

# Delay before a gateway of rank 0, of rank 1 or of a higher rank reads the
# configuration again, as a fraction of the time in which a new one has to be in force.
# It starts again when a peer reports that nothing has changed. Rank 0 long-polls
# without a delay.
CONFIGURATION_DUE_SHARES = (0.0, 0.6, 0.7)
# The same for the list of upstreams, as fractions of the time after which a leaving
# upstream must get no more requests; this leaves room for one lost call. The list is
# not long-polled: upstreams report about once a second, so a poll would return at
# once.
LISTING_DUE_SHARES = (0.45, 0.56, 0.67)
# Pause after a failed call for a feed that gateways do not share. Each call is
# charged for, even if it is refused.
RETRY_PAUSE_S = 0.4
# A feed without long polls, such as the list of upstreams, is read in full if it was
# not read for this long. Each upstream writes a record about once a second, so a full
# read returns fewer records than were written in the meantime.
FULL_READ_AFTER_S = 3.0
# Assumed age of the state in the answer to a long poll: half a round trip between
# regions, and the processing time of the store. The poll may have begun much earlier,
# so its start would make the state appear too old.
ANSWER_AGE_S = 0.1
# Time after an outage of the store during which expired listings are kept. Live
# upstreams are listed again within 2 s.
EXPIRED_LISTING_GRACE_S = 2.5


class FeedFault(Enum):
    """Why a call to the store returned no records."""

    EXPIRED = "the records have been deleted"
    RESTORED = "the store has returned from an older copy during the read"
    UNAVAILABLE = "no answer of the store"


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest record of a key.

    Parameters
    ----------
    key : str
        Identifies the subject of the record.
    value : bytes or None
        None if the key was removed.
    """

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Records:
    """Records in the order in which they were written.

    Parameters
    ----------
    records : tuple of KeyedRecord
        May be empty.
    next_offset : int
        Offset at which the next read continues.
    epoch : int or None
        Epoch of the store in which the offset is valid; None if the store has none.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    epoch: int | None = None


class KeyedFeed(Protocol):
    """A compacted topic: the store keeps the newest record of each key."""

    async def read_newest(self) -> Result[Records, FeedFault]:
        """Return the newest record of each key."""
        ...

    async def read_from(self, offset: int, wait_s: float) -> Result[Records, FeedFault]:
        """Return the records from an offset on; if there are none, wait for one."""
        ...


class Follower:
    """Follows one feed and passes on each change.

    Parameters
    ----------
    name : str
        Name of the feed in log lines.
    feed : KeyedFeed
        The feed.
    clock : Clock
        Source of time.
    apply_all : callable
        Receives the newest record of each key after a full read.
    apply : callable
        Receives one changed record.
    wait_s : float
        How long a read may wait for a change; 0.0 for no long polls. 0.0 also
        enables the full read after `FULL_READ_AFTER_S`.
    watch : FeedWatch or None
        Tells when to read, if gateways share this feed.
    digest : callable
        Returns a number that identifies the state that has been applied.
    on_read : callable
        Called after each successful read, if gateways share this feed.
    store_epoch : StoreEpoch or None
        Tells when the store has returned from a copy, after which the feed is read in
        full.
    """

    def __init__(
        self,
        name: str,
        feed: KeyedFeed,
        clock: Clock,
        *,
        apply_all: Callable[[tuple[KeyedRecord, ...]], None],
        apply: Callable[[KeyedRecord], None],
        wait_s: float,
        watch: FeedWatch | None = None,
        digest: Callable[[], int] = int,
        on_read: Callable[[], None] = lambda: None,
        store_epoch: StoreEpoch | None = None,
    ) -> None:
        self._name = name
        self._feed = feed
        self._clock = clock
        self._apply_all = apply_all
        self._apply = apply
        self._wait_s = wait_s
        self._watch = watch
        self._digest = digest
        self._on_read = on_read
        self._store_epoch = store_epoch or StoreEpoch()
        self._offset: int | None = None
        self._read_to_offset: int | None = None
        self._epoch: int | None = None
        self._last_read_s = clock.monotonic_s()
        self._outage_since_s: float | None = None
        self._n_failures = 0
        self._wake_event = asyncio.Event()
        self._read_timeout: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        while True:
            await self._wait_until_due()
            if await self.step() or self._n_failures == 1:
                # The first failure may be due to the connection: retry at once on a
                # new one.
                continue
            retry_s = self._watch.retry_s if self._watch else RETRY_PAUSE_S
            await self._clock.sleep(retry_s)

    def follow_epoch(self) -> None:
        """Read in full at once, if the store has returned from a copy since."""
        if not self._store_epoch.is_over(self._epoch):
            return
        if self._watch is not None:
            self._watch.record_epoch()
        self._wake_event.set()
        if self._read_timeout is not None and self._offset is not None:
            # It waits at an offset of the lost history.
            self._read_timeout.reschedule(asyncio.get_running_loop().time())

    def wake(self) -> None:
        """Read at once, as a peer has reported a newer state.

        If a read such as a long poll is pending, it may take `STALE_READ_TIMEOUT_S`
        longer and is then abandoned, since its connection is probably dead. During an
        outage reads are not long polls, so no timeout is set.
        """
        self._wake_event.set()
        read_timeout = self._read_timeout
        if (
            read_timeout is None
            or read_timeout.when() is not None
            or self._outage_since_s is not None
        ):
            return
        read_timeout.reschedule(
            asyncio.get_running_loop().time() + STALE_READ_TIMEOUT_S
        )

    async def _wait_until_due(self) -> None:
        self._wake_event.clear()
        while self._watch is not None:
            left_s = self._watch.due_at_s - self._clock.monotonic_s()
            if left_s <= 0.0:
                return
            try:
                async with asyncio.timeout(left_s):
                    await self._wake_event.wait()
                return
            except TimeoutError:
                # Reports of peers may have postponed the read.
                continue

    async def step(self) -> bool:
        """Read once; return whether the store answered."""
        started_s = self._clock.monotonic_s()
        if not self._wait_s and started_s - self._last_read_s > FULL_READ_AFTER_S:
            self._offset = None
        if self._store_epoch.is_over(self._epoch):
            self._offset = None
        match await self._read():
            case Success(Records() as records) if self._is_of_lost_history(records):
                # The next read asks for all records.
                self._end_outage()
                self._offset = None
                return not self._store_epoch.is_over(records.epoch)
            case Success(Records() as records):
                self._end_outage()
                self._log_new_epoch(records)
                if self._offset is None:
                    self._apply_full_read(records.records)
                else:
                    for record in records.records:
                        self._apply_one(record)
                self._offset = self._read_to_offset = records.next_offset
                self._epoch = records.epoch
                self._record_read(started_s)
                return True
            case Failure(FeedFault.EXPIRED):
                log_event(_log, Event.FEED_EXPIRED, feed=self._name)
                self._offset = None
                return True
            case Failure(FeedFault.RESTORED):
                self._offset = None
                return True
            case _:
                self._record_failure()
                return False

    def _is_of_lost_history(self, records: Records) -> bool:
        """Return whether the read spans a return of the store from a copy.

        Either the answer is from before the return, or its offset was valid before and
        now belongs to other records.
        """
        if self._store_epoch.is_over(records.epoch):
            return True
        return self._offset is not None and records.epoch != self._epoch

    def _log_new_epoch(self, records: Records) -> None:
        if self._epoch is None or records.epoch == self._epoch:
            return
        log_event(
            _log,
            Event.FEED_READ_IN_EPOCH,
            feed=self._name,
            epoch=records.epoch,
            n_records=len(records.records),
            offset=records.next_offset,
            offset_before=self._read_to_offset,
            epoch_before=self._epoch,
        )

    async def _read(self) -> Result[Records, FeedFault]:
        try:
            async with asyncio.timeout(None) as self._read_timeout:
                if self._offset is None:
                    return await self._feed.read_newest()
                # During an outage a call only probes whether the store answers.
                wait_s = 0.0 if self._outage_since_s is not None else self._wait_s
                return await self._feed.read_from(self._offset, wait_s)
        except TimeoutError:
            if self._store_epoch.is_over(self._epoch):
                return Failure(FeedFault.RESTORED)
            log_event(_log, Event.FEED_OVERTAKEN, feed=self._name)
            return Failure(FeedFault.UNAVAILABLE)
        finally:
            self._read_timeout = None

    def _record_read(self, started_s: float) -> None:
        self._last_read_s = now_s = self._clock.monotonic_s()
        if self._watch is not None and self._offset is not None:
            as_of_s = max(started_s, now_s - ANSWER_AGE_S)
            self._watch.record_read(
                self._digest(), self._offset, as_of_s, self._epoch or 0
            )
            self._on_read()

    def _apply_full_read(self, records: tuple[KeyedRecord, ...]) -> None:
        try:
            self._apply_all(records)
        except Exception as error:
            self._log_failed_record("", error)
            for record in records:
                self._apply_one(record)

    def _apply_one(self, record: KeyedRecord) -> None:
        try:
            self._apply(record)
        except Exception as error:
            # A record that cannot be applied must not block those after it.
            self._log_failed_record(record.key, error)

    def _log_failed_record(self, key: str, error: Exception) -> None:
        log_event(
            _log,
            Event.FEED_RECORD_FAILED,
            exc_info=error,
            feed=self._name,
            key=key,
            detail=repr(error),
        )

    def _end_outage(self) -> None:
        """Record that the store answers, which ends an outage if there was one."""
        self._n_failures = 0
        if self._outage_since_s is None:
            return
        now_s = self._clock.monotonic_s()
        if self._watch is not None:
            self._watch.record_recovery(now_s, now_s - self._outage_since_s)
        outage_s = round(now_s - self._outage_since_s, 3)
        log_event(_log, Event.FEED_BACK, feed=self._name, outage_s=outage_s)
        self._outage_since_s = None

    def _record_failure(self) -> None:
        self._n_failures += 1
        if self._outage_since_s is None:
            self._outage_since_s = self._clock.monotonic_s()
            if self._watch is not None:
                self._watch.record_outage(self._outage_since_s)
            log_event(_log, Event.FEED_LOST, feed=self._name)
