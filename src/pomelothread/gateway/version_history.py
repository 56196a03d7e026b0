"""Keeps in the store which software versions were listed lately.

A process that has just started knows only the versions that are listed now. If all
processes have ended meanwhile, no peer knows of one that served shortly before, and a
stream that began there would seem to be of the version that is still listed.
"""

import asyncio
import logging
from dataclasses import dataclass
from typing import Annotated

import msgspec
from returns.result import Success

from ..clock import Clock
from ..events import Event, log_event
from ..policy.stream_versions import STREAM_LIFE_S, Software, StreamVersions
from ..undecodable import MAX_INTEGER, UNDECODABLE
from .feeds import RETRY_PAUSE_S, KeyedFeed, Records
from .peers import PeerTable
from .store_epoch import StoreEpoch
from .storing_again import Append

_log = logging.getLogger(__name__)

# Key of the only record.
RECORD_KEY = "listed"
# Peers are known by this time after the start, so that only some gateways write.
SETTLING_S = 1.0
# Gateways that write, and the time that each leaves to the one before it.
N_WRITERS = 3
WRITER_DELAY_S = 1.0
WRITE_RETRY_S = 2.0
# How long a stream that is taken up waits for the record to be read.
MAX_READ_WAIT_S = 0.5


class _StoredVersions(msgspec.Struct):
    # Service and version of each software.
    software: list[tuple[str, str]]
    # Epoch of the store in which the record was written; 0 if it has none.
    epoch: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)] = 0


class VersionHistory:
    """Reads the record at the start, and writes it when the versions change.

    Parameters
    ----------
    versions : StreamVersions
        Receives the versions of the record, and tells which were listed lately.
    feed : KeyedFeed
        Topic of the record.
    append : callable
        Writes a keyed record; returns whether it was stored.
    peers : PeerTable
        Tells which gateways write.
    clock : Clock
        Source of time.
    store_epoch : StoreEpoch
        Tells when the store has returned from a copy and may have lost the record.
    """

    def __init__(
        self,
        versions: StreamVersions,
        feed: KeyedFeed,
        append: Append,
        peers: PeerTable,
        clock: Clock,
        store_epoch: StoreEpoch,
    ) -> None:
        self._versions = versions
        self._feed = feed
        self._append = append
        self._peers = peers
        self._clock = clock
        self._store_epoch = store_epoch
        self._started_s = clock.monotonic_s()
        # What the store has, as far as it is known, and in which of its epochs.
        self._stored: frozenset[Software] = frozenset()
        self._stored_epoch: int | None = None
        self._was_read = asyncio.Event()
        self._is_past_known = False
        self._changed = asyncio.Event()

    async def is_past_known(self) -> bool:
        """Return whether all versions are known at which a stream can have begun.

        Waits a moment if the record has not been read yet.
        """
        if self._clock.monotonic_s() - self._started_s > STREAM_LIFE_S:
            return True
        try:
            async with asyncio.timeout(MAX_READ_WAIT_S):
                await self._was_read.wait()
        except TimeoutError:
            # The store does not answer: the caller is told to come back.
            return False
        return self._is_past_known

    def observe_change(self) -> None:
        """Check whether the record has to be written."""
        if self._is_outdated and self._is_writer:
            self._changed.set()

    @property
    def _is_outdated(self) -> bool:
        if not self._was_read.is_set():
            return False
        is_lost = self._store_epoch.is_over(self._stored_epoch)
        return is_lost or self._versions.listed_lately() != self._stored

    @property
    def _is_writer(self) -> bool:
        return self._peers.cell == 0 and self._peers.rank < N_WRITERS

    async def run(self) -> None:
        """Read the record, then write it at each change until cancelled."""
        while not self._was_read.is_set():
            if not await self._read_past():
                await self._clock.sleep(RETRY_PAUSE_S)
        uptime_s = self._clock.monotonic_s() - self._started_s
        await self._clock.sleep(max(0.0, SETTLING_S - uptime_s))
        while True:
            await self._changed.wait()
            await self._clock.sleep(WRITER_DELAY_S * self._peers.rank)
            self._changed.clear()
            if self._is_outdated and not await self._update():
                await self._clock.sleep(WRITE_RETRY_S)
                self.observe_change()

    async def _read_past(self) -> bool:
        """Learn which versions served before the start; return whether it is known."""
        record = await self._read()
        if record is None:
            return False
        self._stored, self._stored_epoch = record.software, record.epoch
        self._versions.merge_past(record.software, self._clock.monotonic_s())
        self._is_past_known = record.is_current
        self._was_read.set()
        log_event(
            _log,
            Event.VERSIONS_READ,
            software=_describe(record.software),
            is_complete=record.is_current,
        )
        self.observe_change()
        return True

    async def _update(self) -> bool:
        """Write the record unless another gateway has; return whether it is stored."""
        record = await self._read()
        if record is None:
            return False
        # Another gateway may have seen a version that this one has not listed yet.
        news = record.software - self._stored
        self._stored, self._stored_epoch = record.software, record.epoch
        self._versions.merge_past(news, self._clock.monotonic_s())
        listed = self._versions.listed_lately()
        if record.is_current and record.software == listed:
            return True
        if record.is_current and listed < record.software and self._peers.rank > 0:
            # Only the first gateway removes versions.
            self._stored = listed
            return True
        epoch = self._store_epoch.current
        rows = sorted((s.service, s.version) for s in listed)
        value = msgspec.json.encode(_StoredVersions(rows, epoch or 0))
        if not await self._append(RECORD_KEY, value):
            log_event(_log, Event.VERSIONS_NOT_STORED, software=_describe(listed))
            return False
        self._stored, self._stored_epoch = listed, epoch
        log_event(_log, Event.VERSIONS_STORED, software=_describe(listed))
        return True

    async def _read(self) -> "_Record | None":
        """Return the record; None if the store does not answer."""
        match await self._feed.read_newest():
            case Success(Records() as records):
                pass
            case _:
                # The followers log each outage of the store.
                return None
        found = _Record(frozenset(), records.epoch, is_current=True)
        for item in records.records:
            if item.key != RECORD_KEY or item.value is None:
                continue
            try:
                stored = msgspec.json.decode(item.value, type=_StoredVersions)
            except UNDECODABLE as error:
                log_event(_log, Event.FEED_MALFORMED, feed="versions", detail=error)
                found = _Record(frozenset(), records.epoch, is_current=False)
                continue
            # A record that the store has brought back from a copy may lack versions.
            is_old = self._store_epoch.is_over(stored.epoch)
            software = frozenset(Software(*row) for row in stored.software)
            found = _Record(software, stored.epoch, not is_old)
        return found


@dataclass(frozen=True, slots=True)
class _Record:
    """Software that the store names, since which epoch, and whether none can lack.

    Without any record nothing lacks: the fleet has just been set up.
    """

    software: frozenset[Software]
    epoch: int | None
    is_current: bool


def _describe(software: frozenset[Software]) -> str:
    return ",".join(sorted(f"{s.service}/{s.version}" for s in software))
