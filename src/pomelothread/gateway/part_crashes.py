"""Shares evidence about parts of prompts that crash upstreams.

Peers are told at once. Evidence that nobody refutes within a moment is also stored in
the platform's store, for processes that start after all others have stopped.
"""

import asyncio
import hashlib
import logging
import random
from collections.abc import Callable, Coroutine, Iterable
from typing import Annotated, Any

import msgspec

from ..clock import Clock
from ..events import Event, log_event
from ..policy.crashing_parts import (
    EVIDENCE_LIFE_S,
    CrashingParts,
    CutRequest,
    PartCrash,
    Verdict,
)
from ..policy.departures import UpstreamStart
from ..undecodable import MAX_INTEGER, UNDECODABLE
from .feeds import KeyedRecord
from .jobs import Job
from .peer_messages import PartCrashReport, SoundPart
from .storing_again import Append, store_again

_log = logging.getLogger(__name__)

# Maximum number of crashes and of sound parts in a message to peers.
MAX_REPORTED_CRASHES = 6
MAX_REPORTED_SOUND = 12
# Crashes that all heartbeats of a cell repeat in a second, so that gateways that have
# missed the first message learn them; each heartbeat repeats at least one.
N_REPEATED_PER_S = 24
# Time in which most suspects turn out to be sound and need not be stored.
STORE_DELAY_S = 0.5
BODY_CHARS = 8
KEY_BYTES = 12


_Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _StoredCrash(msgspec.Struct):
    part: str
    depth: _Integer
    upstream_id: str
    started_ms: _Integer
    body: str
    sent_at_ms: _Integer
    crashed_at_ms: _Integer


class PartCrashReporter:
    """Records evidence about prompt parts and exchanges it with peers and the store.

    Parameters
    ----------
    parts : CrashingParts
        Decides which parts are refused.
    append : callable
        Writes a keyed record to the store; returns whether it was stored.
    clock : Clock
        Source of time.
    random_source : random.Random
        Chooses the evidence that a heartbeat repeats.
    """

    def __init__(
        self,
        parts: CrashingParts,
        append: Append,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._parts = parts
        self._append = append
        self._clock = clock
        self._random = random_source
        self._tasks: set[asyncio.Task[None]] = set()
        # Evidence of each key in the store.
        self._stored: dict[str, tuple[str, UpstreamStart]] = {}
        self._logged_refused: frozenset[str] = frozenset()
        # Returns the seconds for which other gateways may write what is missing.
        self.rewrite_delay_s: Callable[[], float] = float
        # Whether this gateway may send a request to try a refused part.
        self.may_try: Callable[[], bool] = lambda: False
        # Called when there is something that peers have not been told yet.
        self.on_news: Callable[[], None] = lambda: None

    @property
    def n_refused(self) -> int:
        """Number of parts that are refused."""
        return len(self._parts.refused(self._clock.monotonic_s()))

    @property
    def has_unreported(self) -> bool:
        """Whether there is anything that peers have not been told yet."""
        return self._parts.has_unreported

    def verdict_on_arrival(self, parts: tuple[str, ...], now_s: float) -> Verdict:
        """Decide about a request that has just arrived; it may be sent as a trial."""
        return self._parts.verdict(parts, now_s, self.may_try())

    def begin_trial(self, job: Job) -> None:
        """Record that a request is sent to try a refused part."""
        job.is_trial = True
        self._parts.begin_trial(job.facts.shared_parts, self._clock.monotonic_s())
        log_event(
            _log,
            Event.PROMPT_PART_TRIED,
            request_id=job.request_id,
            parts=",".join(job.facts.shared_parts),
        )

    def verdict_on(self, job: Job) -> Verdict:
        """Decide about a request that waits."""
        if job.is_trial:
            return Verdict.ALLOWED
        return self._parts.verdict(job.facts.shared_parts, self._clock.monotonic_s())

    def is_untested(self, job: Job) -> bool:
        """Return whether a part of the prompt is not known to have been sound."""
        return self._parts.is_untested(job.facts.shared_parts)

    def record_cut(
        self, job: Job, start: UpstreamStart, sent_s: float, cut_s: float
    ) -> None:
        """Record a request that was cut before its response had clearly begun."""
        body = job.fingerprint[:BODY_CHARS]
        cut = CutRequest(job.facts.shared_parts, start, body, sent_s, cut_s)
        self._parts.record_cut(cut)

    def record_refused_connection(self, start: UpstreamStart, now_s: float) -> None:
        """Share and store the evidence that a refused connection confirms."""
        for crash in self._parts.confirm_crash(start, now_s):
            log_event(
                _log,
                Event.PROMPT_PART_SUSPECTED,
                part=crash.part,
                upstream=start.upstream_id,
                n_crashes=len(self._parts.crashes_of(crash.part)),
                was_sound=self._parts.was_sound(crash.part),
            )
            self._start(self._store_if_suspected(crash))
        self._announce_news()

    def observe_sound(self, job: Job, began_s: float) -> None:
        """Record that an upstream began to respond to a request and did not crash."""
        for part in self._parts.observe_sound(job.facts.shared_parts, began_s):
            self._start(self._delete_refuted(part))
        self._announce_news()

    def receive(
        self, crashes: Iterable[PartCrashReport], sound: Iterable[SoundPart]
    ) -> None:
        """Merge what a peer reports."""
        now_s = self._clock.monotonic_s()
        for report in crashes:
            self._parts.add(
                PartCrash(
                    report.part,
                    report.depth,
                    UpstreamStart(report.upstream_id, report.started_ms),
                    report.body,
                    now_s - report.sent_age_s,
                    now_s - report.crashed_age_s,
                )
            )
        for part, age_s in sound:
            self._parts.merge_sound(part, now_s - age_s)
        self._announce_news()

    def _announce_news(self) -> None:
        if self._parts.has_unreported:
            self.on_news()

    def take_unreported(self) -> tuple[list[PartCrashReport], list[SoundPart]]:
        """Take the news that peers have not been told yet."""
        now_s = self._clock.monotonic_s()
        crashes, sound = self._parts.take_unreported(
            MAX_REPORTED_CRASHES, MAX_REPORTED_SOUND
        )
        reports = [_report(crash, now_s) for crash in crashes]
        return reports, [(p, round(now_s - at_s, 2)) for p, at_s in sound.items()]

    def some_evidence(self, n_peers: int) -> list[PartCrashReport]:
        """Return some evidence for a heartbeat to that many peers."""
        now_s = self._clock.monotonic_s()
        evidence = self._parts.evidence()
        n_most = max(1, min(MAX_REPORTED_CRASHES, N_REPEATED_PER_S // max(1, n_peers)))
        chosen = self._random.sample(evidence, min(n_most, len(evidence)))
        return [_report(crash, now_s) for crash in chosen]

    def log_changes(self) -> None:
        """Log the parts that are refused, or not any more, since the last call."""
        refused = self._parts.refused(self._clock.monotonic_s())
        for part in sorted(refused - self._logged_refused):
            starts = [crash.start for crash in self._parts.crashes_of(part)]
            log_event(
                _log,
                Event.PROMPT_PART_REFUSED,
                part=part,
                n_crashes=len(starts),
                upstreams=",".join(sorted({start.upstream_id for start in starts})),
            )
        for part in sorted(self._logged_refused - refused):
            log_event(_log, Event.PROMPT_PART_ALLOWED, part=part)
        self._logged_refused = refused

    def apply(self, record: KeyedRecord) -> None:
        """Merge a record of the store."""
        if record.value is None:
            removed = self._stored.pop(record.key, None)
            if removed is not None:
                self._parts.forget_crash(*removed)
            return
        try:
            stored = msgspec.json.decode(record.value, type=_StoredCrash)
        except UNDECODABLE as error:
            log_event(_log, Event.FEED_MALFORMED, feed="part crashes", detail=error)
            return
        crash = self._decode(stored)
        if self._clock.monotonic_s() - crash.crashed_s > EVIDENCE_LIFE_S:
            return
        self._stored[record.key] = (crash.part, crash.start)
        self._parts.add(crash)

    def apply_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Merge all records of the store, and write those that it has lost."""
        self._stored.clear()
        for record in records:
            self.apply(record)
        missing = {
            key: crash
            for crash in self._parts.evidence()
            if (key := _key(crash)) not in self._stored
        }
        refuted = {
            key: b""
            for key, (part, start) in self._stored.items()
            if self._parts.was_sound(part) and not self._is_suspected(part, start)
        }
        if missing or refuted:
            self._start(self._store_again(missing, refuted))

    def _is_suspected(self, part: str, start: UpstreamStart) -> bool:
        return any(crash.start == start for crash in self._parts.crashes_of(part))

    async def _store_again(
        self, missing: dict[str, PartCrash], refuted: dict[str, bytes]
    ) -> None:
        """Write evidence that the store has lost, and remove what was refuted."""

        def value_of(key: str) -> bytes | None:
            if key in refuted:
                return refuted[key] if key in self._stored else None
            if key in self._stored or not self._parts.is_suspected(missing[key]):
                return None
            return msgspec.json.encode(self._encode(missing[key]))

        await store_again(
            "part crashes",
            [*missing, *refuted],
            value_of,
            self._append,
            self._clock,
            STORE_DELAY_S + self.rewrite_delay_s(),
        )

    async def _store_if_suspected(self, crash: PartCrash) -> None:
        await self._clock.sleep(STORE_DELAY_S)
        key = _key(crash)
        if key in self._stored or not self._parts.is_suspected(crash):
            return
        if not await self._append(key, msgspec.json.encode(self._encode(crash))):
            # Peers have it from the message; it is lost only if all processes stop
            # at once.
            log_event(
                _log,
                Event.PART_CRASH_NOT_STORED,
                part=crash.part,
                upstream=crash.start.upstream_id,
            )

    async def _delete_refuted(self, part: str) -> None:
        """Remove the evidence against a sound part from the store."""
        keys = [key for key, (stored, _) in self._stored.items() if stored == part]
        for key in keys:
            if not await self._append(key, b""):
                log_event(_log, Event.PART_CRASH_NOT_STORED, part=part, upstream="")

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _encode(self, crash: PartCrash) -> _StoredCrash:
        unix_ms = round(self._clock.now().timestamp() * 1000)
        now_s = self._clock.monotonic_s()
        return _StoredCrash(
            crash.part,
            crash.depth,
            crash.start.upstream_id,
            crash.start.started_ms,
            crash.body,
            unix_ms - round(1000 * (now_s - crash.sent_s)),
            unix_ms - round(1000 * (now_s - crash.crashed_s)),
        )

    def _decode(self, stored: _StoredCrash) -> PartCrash:
        unix_ms = self._clock.now().timestamp() * 1000
        # The wall clock of the writer may be ahead.
        age_s = max(0.0, (unix_ms - stored.crashed_at_ms) / 1000)
        crashed_s = self._clock.monotonic_s() - age_s
        return PartCrash(
            stored.part,
            stored.depth,
            UpstreamStart(stored.upstream_id, stored.started_ms),
            stored.body,
            crashed_s - (stored.crashed_at_ms - stored.sent_at_ms) / 1000,
            crashed_s,
        )


def _key(crash: PartCrash) -> str:
    """Return the key of a crash in the store, the same at every gateway."""
    text = f"{crash.part}/{crash.start.upstream_id}/{crash.start.started_ms}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


def _report(crash: PartCrash, now_s: float) -> PartCrashReport:
    return PartCrashReport(
        crash.part,
        crash.depth,
        crash.start.upstream_id,
        crash.start.started_ms,
        crash.body,
        round(now_s - crash.sent_s, 2),
        round(now_s - crash.crashed_s, 2),
    )
