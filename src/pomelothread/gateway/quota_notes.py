"""Stores the use of quotas, so that it is known after a restart."""

import asyncio
import logging
import random
from datetime import datetime

import msgspec
from returns.result import Result, Success

from ..clock import Clock
from ..events import Event, log_event
from ..policy.quotas import QuotaNote, QuotaTracker
from ..undecodable import UNDECODABLE
from .feeds import RETRY_PAUSE_S, FeedFault, KeyedFeed, KeyedRecord, Records
from .store_epoch import StoreEpoch
from .storing_again import Append

_log = logging.getLogger(__name__)

# How often the gateway checks whether a note is due. An organisation that sends many
# times its usual load uses up a quota in about a second.
NOTE_CHECK_INTERVAL_S = 0.2

# When the store returns from a copy, gateways write this many notes a second together.
NOTES_PER_S = 100.0


class QuotaNotes:
    """Writes this process's use of quotas, and reads that of all gateways at the start.

    Parameters
    ----------
    instance : str
        Name of the instance, the key of its note. The next process of the instance
        overwrites it.
    quotas : QuotaTracker
        Counts the admitted units.
    feed : KeyedFeed
        The notes of all instances.
    append : callable
        Writes a keyed record; returns whether it was stored.
    window_s : float
        Length of the sliding window of the quotas.
    clock : Clock
        Source of time.
    store_epoch : StoreEpoch
        Tells when the store has returned from a copy and may have lost the note.
    random_source : random.Random
        Spreads the notes of all gateways after that.
    """

    def __init__(
        self,
        instance: str,
        quotas: QuotaTracker,
        feed: KeyedFeed,
        append: Append,
        window_s: float,
        clock: Clock,
        store_epoch: StoreEpoch,
        random_source: random.Random,
    ) -> None:
        self._store_epoch = store_epoch
        self._random = random_source
        # Epoch in which the note was stored, and time at which a lost one is due.
        self._stored_epoch: int | None = None
        self._lost_due_s: float | None = None
        self._instance = instance
        self._quotas = quotas
        self._feed = feed
        self._append = append
        self._window_s = window_s
        self._clock = clock
        self._was_last_stored = True

    async def run(
        self, configuration_received: asyncio.Event, startup_complete: asyncio.Event
    ) -> None:
        """Restore what was admitted before the start, then write notes until cancelled.

        Parameters
        ----------
        configuration_received : asyncio.Event
            Set when the quotas are known.
        startup_complete : asyncio.Event
            Set by this method when the notes are restored, or if the first read
            fails.
        """
        await self._restore(configuration_received, startup_complete)
        while True:
            await self._clock.sleep(NOTE_CHECK_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            if self._quotas.is_note_due(now_s) or self._is_lost_note_due(now_s):
                await self._write()

    def _is_lost_note_due(self, now_s: float) -> bool:
        """Return whether the store may have lost the last note, and it is due again."""
        if not self._store_epoch.is_over(self._stored_epoch):
            self._lost_due_s = None
            return False
        if self._lost_due_s is None:
            n_gateways = self._quotas.n_instances
            self._lost_due_s = now_s + self._random.random() * n_gateways / NOTES_PER_S
        # The next check comes an interval later.
        return now_s + NOTE_CHECK_INTERVAL_S > self._lost_due_s

    async def _restore(
        self, configuration_received: asyncio.Event, startup_complete: asyncio.Event
    ) -> None:
        give_up_s = self._clock.monotonic_s() + self._window_s
        result = await self._feed.read_newest()
        await configuration_received.wait()
        while not isinstance(result, Success):
            startup_complete.set()
            await self._clock.sleep(RETRY_PAUSE_S)
            if self._clock.monotonic_s() > give_up_s:
                # The window holds nothing from before the start any more.
                return
            result = await self._feed.read_newest()
        self._restore_notes(result)
        startup_complete.set()

    def _restore_notes(self, result: Result[Records, FeedFault]) -> None:
        notes = {}
        for record in result.unwrap().records:
            note = decode_note(record)
            if note is not None:
                notes[record.key] = note
        now_s, unix_ms = self._clock.monotonic_s(), _unix_ms(self._clock.now())
        is_known = self._quotas.restore(
            notes,
            self._instance,
            now_s,
            unix_ms,
            self._store_epoch.current or 0,
            may_lack_notes=self._store_epoch.has_risen,
        )
        log_event(_log, Event.QUOTAS_RESTORED, n_notes=len(notes), is_known=is_known)

    async def _write(self) -> None:
        now_s = self._clock.monotonic_s()
        used = self._quotas.used()
        epoch = self._store_epoch.current
        note = self._quotas.make_note(now_s, _unix_ms(self._clock.now()), epoch or 0)
        was_stored = await self._append(self._instance, msgspec.json.encode(note))
        if was_stored:
            self._quotas.mark_note_stored(used, now_s)
            # If the store has returned from a copy meanwhile, the note may be lost.
            self._stored_epoch = epoch
        elif self._was_last_stored:
            # Logged once per series of failures.
            log_event(_log, Event.QUOTA_NOTE_NOT_STORED, instance=self._instance)
        self._was_last_stored = was_stored


def decode_note(record: KeyedRecord) -> QuotaNote | None:
    """Decode a note; None for an invalid one, which is logged."""
    if record.value is None:
        return None
    try:
        return msgspec.json.decode(record.value, type=QuotaNote)
    except UNDECODABLE as error:
        log_event(_log, Event.FEED_MALFORMED, feed="quotas", detail=error)
        return None


def _unix_ms(now: datetime) -> int:
    return round(now.timestamp() * 1000)
