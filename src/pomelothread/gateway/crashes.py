"""Shares the fingerprints of requests that crash upstreams.

Crashes are reported to peers at once, and stored in the platform's store for
processes that start after all others have stopped. So is that a request was served
after a crash, which therefore is no evidence against it.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec

from ..clock import Clock
from ..events import Event, log_event
from ..policy.crash_guard import UNKNOWN_START_MS, CrashGuard
from ..policy.crashing_parts import Verdict
from ..policy.departures import UpstreamStart
from ..undecodable import UNDECODABLE
from .feeds import KeyedRecord
from .jobs import Job
from .storing_again import Append, store_again

_log = logging.getLogger(__name__)

# Long-poll timeout of the reads of the store. Peers report crashes sooner.
CRASH_FEED_POLL_S = 28.0
# Maximum number of fingerprints in a message to peers.
MAX_FINGERPRINTS = 12
# Time in which many requests turn out to be no cause and need not be stored.
STORE_DELAY_S = 0.5
MAX_START_DIGITS = 15


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
        # Crashes that the store names for each fingerprint.
        self._stored: dict[str, frozenset[UpstreamStart]] = {}
        # Returns the seconds for which other gateways may write what is missing.
        self.rewrite_delay_s: Callable[[], float] = float
        # Whether this gateway may send a request that is refused, to try it.
        self.may_try: Callable[[], bool] = lambda: False
        self._write_tasks: set[asyncio.Task[None]] = set()
        self._unsent: dict[str, frozenset[UpstreamStart]] = {}
        self._unsent_refuted: dict[str, frozenset[UpstreamStart]] = {}

    def verdict_on_arrival(self, fingerprint: str, now_s: float) -> Verdict:
        """Decide about a request that has just arrived; it may be sent as a trial."""
        return self._guard.verdict(fingerprint, now_s, self.may_try())

    def verdict_on(self, job: Job) -> Verdict:
        """Decide about a request that waits."""
        if job.is_trial:
            return Verdict.ALLOWED
        return self._guard.verdict(job.fingerprint, self._clock.monotonic_s())

    def begin_trial(self, job: Job) -> None:
        """Record that a request is sent although it has crashed upstreams."""
        job.is_trial = True
        self._guard.begin_trial(job.fingerprint, self._clock.monotonic_s())
        log_event(
            _log,
            Event.CRASHING_REQUEST_TRIED,
            request_id=job.request_id,
            fingerprint=job.fingerprint,
        )

    def record_cut(self, job: Job, start: UpstreamStart, now_s: float) -> None:
        """Record that a connection was cut while an upstream ran a request."""
        self._guard.record_cut(job.fingerprint, start, now_s)

    def record_refused_connection(self, start: UpstreamStart, now_s: float) -> None:
        """Count and share the crashes that a refused connection confirms."""
        changed = self._guard.record_refused_connection(start, now_s)
        for fingerprint, starts in changed.items():
            log_event(
                _log,
                Event.CRASH_COUNTED,
                fingerprint=fingerprint,
                upstream=start.upstream_id,
                n_crashes=len(starts),
                refused=self._guard.verdict(fingerprint, now_s) is Verdict.REFUSED,
            )
            self._unsent[fingerprint] = starts
            self._start(self._write(fingerprint))

    def observe_served(self, job: Job, sent_s: float) -> None:
        """Record that a request was served in whole, and share what that refutes."""
        refuted = self._guard.observe_served(job.fingerprint, sent_s)
        if not refuted:
            return
        log_event(
            _log,
            Event.CRASHES_REFUTED,
            fingerprint=job.fingerprint,
            request_id=job.request_id,
        )
        self._tell_refuted(job.fingerprint, refuted)
        if job.fingerprint in self._stored:
            self._start(self._write(job.fingerprint))

    def _tell_refuted(
        self, fingerprint: str, refuted: frozenset[UpstreamStart]
    ) -> None:
        known = self._unsent_refuted.get(fingerprint, frozenset())
        self._unsent_refuted[fingerprint] = known | refuted

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)

    def apply(self, record: KeyedRecord) -> None:
        """Merge a record of the store, and correct it if it names refuted crashes."""
        if self._merge_stored(record):
            self._start(self._write(record.key, self.rewrite_delay_s()))

    def _merge_stored(self, record: KeyedRecord) -> bool:
        """Merge a record of the store; return whether it names refuted crashes."""
        if record.value is None:
            # Another gateway has seen the request served.
            refuted = self._stored.pop(record.key, frozenset())
            self._guard.refute(record.key, refuted)
            return False
        try:
            texts = msgspec.json.decode(record.value, type=list[str])
        except UNDECODABLE as error:
            log_event(_log, Event.FEED_MALFORMED, feed="crashes", detail=error)
            return False
        starts = frozenset(map(_decode_start, texts))
        self._stored[record.key] = starts
        merged = self._guard.merge(record.key, starts, self._clock.monotonic_s())
        return bool(merged.refuted)

    def apply_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Merge all records of the store, and write those that it has lost."""
        self._stored.clear()
        for record in records:
            self._merge_stored(record)
        missing = [
            f for f in self._guard.fingerprints() if self.missing_value(f) is not None
        ]
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
        """Return the record of a fingerprint, if the store needs another one.

        It is empty if the store names only crashes that have been refuted.
        """
        known = self._guard.crashes_of(fingerprint)
        stored = self._stored.get(fingerprint, frozenset())
        is_refuted = bool(stored & self._guard.refuted_of(fingerprint))
        if known <= stored and not is_refuted:
            return None
        return msgspec.json.encode(_encode_starts(known)) if known else b""

    def merge_reported(
        self, crashes: dict[str, list[str]], refuted: dict[str, list[str]]
    ) -> None:
        """Merge crashes that a peer reports, and those that it knows to be refuted."""
        now_s = self._clock.monotonic_s()
        for fingerprint, texts in refuted.items():
            self._guard.refute(fingerprint, [_decode_start(text) for text in texts])
        for fingerprint, texts in crashes.items():
            merged = self._guard.merge(fingerprint, map(_decode_start, texts), now_s)
            if merged.refuted:
                # The peer has missed the message.
                self._tell_refuted(fingerprint, merged.refuted)

    @property
    def has_unreported(self) -> bool:
        """Whether there is anything that peers have not been told yet."""
        return bool(self._unsent or self._unsent_refuted)

    def take_unreported(self) -> dict[str, list[str]]:
        """Take some crashes that have not been reported to peers yet."""
        return _take(self._unsent)

    def take_unreported_refuted(self) -> dict[str, list[str]]:
        """Take some crashes that have turned out to be no evidence."""
        return _take(self._unsent_refuted)

    def newest_for_heartbeat(self) -> dict[str, list[str]]:
        """Return the newest crashes, to be repeated in each heartbeat."""
        newest = self._guard.newest(MAX_FINGERPRINTS)
        return {name: _encode_starts(starts) for name, starts in newest.items()}

    async def _write(self, fingerprint: str, delay_s: float = 0.0) -> None:
        """Store what is known of a fingerprint, unless the store has it."""
        await self._clock.sleep(STORE_DELAY_S + delay_s)
        value = self.missing_value(fingerprint)
        if value is not None and not await self._append(fingerprint, value):
            # Peers have it from the message; it is lost only if all processes stop
            # at once.
            log_event(_log, Event.CRASH_NOT_STORED, fingerprint=fingerprint)


def _take(unsent: dict[str, frozenset[UpstreamStart]]) -> dict[str, list[str]]:
    names = list(unsent)[:MAX_FINGERPRINTS]
    return {name: _encode_starts(unsent.pop(name)) for name in names}


def _encode_starts(starts: Iterable[UpstreamStart]) -> list[str]:
    """Return texts that older builds count as names of upstreams."""
    return sorted(
        f"{start.upstream_id}@{start.started_ms}"
        if start.started_ms != UNKNOWN_START_MS
        else start.upstream_id
        for start in starts
    )


def _decode_start(text: str) -> UpstreamStart:
    upstream_id, _, started_ms = text.rpartition("@")
    has_start = started_ms.isascii() and started_ms.isdigit()
    if not upstream_id or not has_start or len(started_ms) > MAX_START_DIGITS:
        # Written by a build that knows names only.
        return UpstreamStart(text, UNKNOWN_START_MS)
    return UpstreamStart(upstream_id, int(started_ms))
