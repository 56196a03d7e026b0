"""Detects crashes of the upstream and reports the requests that it was running."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from returns.result import Success

from ..clock import Clock
from ..events import Event, log_event
from ..log.records import LogClient, LogRecord
from ..peers.waiting import wait_at_most
from ..policy.crashes import CRASH_TOPIC, CrashTracker

_logger = logging.getLogger(__name__)

# A process that died refuses connections at once; one that only closed a
# connection accepts new ones. Several probes are sent, because the port of a dead
# process may take a moment to close.
N_PROBES = 5
PROBE_PERIOD_S = 0.1
# Covers two probes. The first one finds a process that is dead. If the upstream is
# alive and only closed the connection, the caller is answered this much later.
VERDICT_TIMEOUT_S = 0.15
MIN_APPEND_DELAY_S = 0.5
MAX_APPEND_DELAY_S = 30.0


class CrashReports:
    """Records crashes of one upstream in the log.

    Parameters
    ----------
    crashes : CrashTracker
        Suspected and convicted requests.
    log : LogClient
        The platform's log.
    clock : Clock
        Source of time.
    is_dead : callable
        Returns whether the upstream refuses connections now.
    notify_entries : callable
        Sends a heartbeat at once. A caller may repeat a request that crashes
        upstreams within the 0.5 s between two heartbeats, and while the log is
        down, heartbeats are the only way in which entries learn of the crash.
    """

    __slots__ = (
        "_answered_since_cut",
        "_clock",
        "_crashes",
        "_cut_fingerprints",
        "_is_dead",
        "_log",
        "_n_probes_left",
        "_notify_entries",
        "_probe_task",
        "_tasks",
    )

    def __init__(
        self,
        crashes: CrashTracker,
        log: LogClient,
        clock: Clock,
        is_dead: Callable[[], Awaitable[bool]],
        notify_entries: Callable[[], None],
    ) -> None:
        self._crashes = crashes
        self._log = log
        self._clock = clock
        self._is_dead = is_dead
        self._notify_entries = notify_entries
        self._probe_task: asyncio.Task[None] | None = None
        self._cut_fingerprints: dict[str, None] = {}
        self._answered_since_cut = False
        self._n_probes_left = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def connection_cut(self, running: list[str]) -> None:
        """Handle a connection that the upstream closed early.

        Returns once it is known whether the upstream died, or after
        `VERDICT_TIMEOUT_S`. If the caller were answered before the entries know,
        it could repeat its request at once and crash another engine.

        Parameters
        ----------
        running : list of str
            Fingerprints of all requests that were running. One crash closes
            several connections in quick succession, each with fewer requests
            still running, so the lists are merged. If the upstream has answered a
            probe since the last closed connection, this one is a new event, and
            earlier requests did not crash the upstream.
        """
        if self._answered_since_cut:
            self._cut_fingerprints.clear()
        self._answered_since_cut = False
        self._cut_fingerprints |= dict.fromkeys(running)
        self._n_probes_left = N_PROBES
        if self._probe_task is None:
            self._probe_task = self._start_task(self._probe())
        await wait_at_most(self._probe_task, self._clock, VERDICT_TIMEOUT_S)

    def append(self, record: dict[str, Any]) -> None:
        """Append a record in the background, with retries until it is in the log."""
        self._start_task(self._append(record))

    def handle_record(self, record: LogRecord) -> None:
        """Apply a crash record of any agent."""
        if not self._crashes.apply_record(record.value):
            log_event(
                _logger,
                Event.LOG_RECORD_SKIPPED,
                offset=record.offset,
                topic=record.topic,
                detail="malformed or of a newer format",
            )

    def log_expired_records(self, n_expired: int) -> None:
        """Log that retention deleted records before they were read."""
        log_event(
            _logger, Event.LOG_RECORDS_EXPIRED, n_expired=n_expired, topic=CRASH_TOPIC
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _probe(self) -> None:
        try:
            while self._n_probes_left > 0:
                self._n_probes_left -= 1
                if await self._is_dead():
                    self._record_crash(list(self._cut_fingerprints))
                    return
                self._answered_since_cut = True
                await self._clock.sleep(PROBE_PERIOD_S)
        finally:
            self._probe_task = None
            self._cut_fingerprints.clear()

    def _record_crash(self, running: list[str]) -> None:
        now_s = self._clock.monotonic_s()
        verdict = self._crashes.record_engine_crash(running, now_s)
        for fingerprint in verdict.suspects:
            log_event(_logger, Event.CRASH_SUSPECT, fingerprint=fingerprint)
        for fingerprint in verdict.convicted:
            log_event(_logger, Event.CRASH_CONVICTED, fingerprint=fingerprint)
        self._notify_entries()
        if verdict.record is not None:
            self.append(verdict.record)

    async def _append(self, record: dict[str, Any]) -> None:
        # Applying a record is idempotent, so a repeated append is harmless.
        delay_s = MIN_APPEND_DELAY_S
        while True:
            result = await self._log.append(CRASH_TOPIC, record)
            if isinstance(result, Success):
                return
            await self._clock.sleep(delay_s)
            delay_s = min(MAX_APPEND_DELAY_S, 2 * delay_s)
