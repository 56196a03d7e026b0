"""Finding out whether the upstream died, and telling the fleet what it ran."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from returns.result import Success

from ..clock import Clock
from ..events import Event, log_event
from ..log.records import LogClient, LogRecord
from ..peers.waiting import wait_at_most
from ..policy.crashes import CRASH_TOPIC, CrashBook

_logger = logging.getLogger(__name__)

# A process that died refuses connections at once; one that only closed a
# connection accepts new ones. The looks cover a port that is still closing.
N_PROBES = 5
PROBE_PERIOD_S = 0.1
# Covers two looks. The first one finds a dead process; the answer about a
# connection that was closed by a live one is this much later.
VERDICT_WAIT_S = 0.15
MIN_APPEND_DELAY_S = 0.5
MAX_APPEND_DELAY_S = 30.0


class CrashReports:
    """Records the crashes of one upstream on the log.

    Parameters
    ----------
    crashes : CrashBook
        Suspects and convicted requests.
    log : LogClient
        The platform's log.
    clock : Clock
        Source of time.
    is_dead : callable
        Returns whether the upstream refuses connections now.
    tell_entries : callable
        Sends a heartbeat at once. Its caller may repeat a fatal request within
        the 0.5 s between two heartbeats, and while the log is down nothing else
        tells the entries.
    """

    __slots__ = (
        "_answered_since_cut",
        "_clock",
        "_crashes",
        "_cut_off",
        "_is_dead",
        "_log",
        "_n_looks_left",
        "_probing",
        "_tasks",
        "_tell_entries",
    )

    def __init__(
        self,
        crashes: CrashBook,
        log: LogClient,
        clock: Clock,
        is_dead: Callable[[], Awaitable[bool]],
        tell_entries: Callable[[], None],
    ) -> None:
        self._crashes = crashes
        self._log = log
        self._clock = clock
        self._is_dead = is_dead
        self._tell_entries = tell_entries
        self._probing: asyncio.Task[None] | None = None
        self._cut_off: dict[str, None] = {}
        self._answered_since_cut = False
        self._n_looks_left = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def connection_cut(self, running: list[str]) -> None:
        """Take in that the upstream closed a connection early.

        Returns once it is known whether the upstream died, or after
        `VERDICT_WAIT_S`. A caller that is told before entries know could have
        its fatal request run on another engine by repeating it at once.

        Parameters
        ----------
        running : list of str
            Fingerprints of all requests that were running. The cuts of one
            crash come together, and each sees fewer of them, so their lists are
            joined. A cut after the upstream has answered belongs to another
            event, and what ran before it did not crash the upstream.
        """
        if self._answered_since_cut:
            self._cut_off.clear()
        self._answered_since_cut = False
        self._cut_off |= dict.fromkeys(running)
        self._n_looks_left = N_PROBES
        if self._probing is None:
            self._probing = self._keep(self._probe())
        await wait_at_most(self._probing, self._clock, VERDICT_WAIT_S)

    def append(self, record: dict[str, Any]) -> None:
        """Append a record in the background until it is on the log."""
        self._keep(self._append(record))

    def fold(self, record: LogRecord) -> None:
        """Take in a record of any agent."""
        if not self._crashes.fold(record.value):
            log_event(
                _logger,
                Event.LOG_RECORD_SKIPPED,
                offset=record.offset,
                topic=record.topic,
                detail="malformed or of a newer format",
            )

    def note_gap(self, n_expired: int) -> None:
        """Take in that retention deleted records before they were read."""
        log_event(
            _logger, Event.LOG_RECORDS_EXPIRED, n_expired=n_expired, topic=CRASH_TOPIC
        )

    def _keep(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _probe(self) -> None:
        try:
            while self._n_looks_left > 0:
                self._n_looks_left -= 1
                if await self._is_dead():
                    self._report(list(self._cut_off))
                    return
                self._answered_since_cut = True
                await self._clock.sleep(PROBE_PERIOD_S)
        finally:
            self._probing = None
            self._cut_off.clear()

    def _report(self, running: list[str]) -> None:
        now_s = self._clock.monotonic_s()
        verdict = self._crashes.engine_died(running, now_s)
        for fingerprint in verdict.suspects:
            log_event(_logger, Event.CRASH_SUSPECT, fingerprint=fingerprint)
        for fingerprint in verdict.convicted:
            log_event(_logger, Event.CRASH_CONVICTED, fingerprint=fingerprint)
        self._tell_entries()
        if verdict.record is not None:
            self.append(verdict.record)

    async def _append(self, record: dict[str, Any]) -> None:
        # Records are folded idempotently, so a repeated append does no harm.
        delay_s = MIN_APPEND_DELAY_S
        while True:
            result = await self._log.append(CRASH_TOPIC, record)
            if isinstance(result, Success):
                return
            await self._clock.sleep(delay_s)
            delay_s = min(MAX_APPEND_DELAY_S, 2 * delay_s)
