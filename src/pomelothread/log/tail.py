"""Reader that follows one topic of the log from its start."""

import asyncio
import random
from collections.abc import Callable

from returns.result import Failure, Success

from ..clock import Clock
from .records import LogBatch, LogClient, LogFailure, LogRecord

POLL_WAIT_S = 10.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0


def retry_delay_s(n_failures: int, rng: random.Random) -> float:
    """Return an exponential backoff delay with jitter.

    Parameters
    ----------
    n_failures : int
        Number of consecutive failures, at least 1.
    rng : random.Random
        Source of the jitter, which keeps clients from calling a recovering log
        all at the same moment.

    Returns
    -------
    float
        Seconds, between half of the limit for `n_failures` and the limit.
    """
    limit_s = MIN_RETRY_DELAY_S * 2.0 ** min(n_failures - 1, 16)
    return min(MAX_RETRY_DELAY_S, limit_s) * rng.uniform(0.5, 1.0)


class LogTail:
    """Passes each record of a topic, in offset order, to a callback.

    Parameters
    ----------
    client : LogClient
        The log.
    topic : str
        Topic to follow.
    clock : Clock
        Clock for the delays after failures.
    on_record : callable
        Called with each `LogRecord` once.
    on_gap : callable, optional
        Called with the number of records that retention deleted before they
        were read. Not called for records deleted before the first read.
    rng : random.Random, optional
        Source of the jitter.
    poll_wait_s : float, default=POLL_WAIT_S
        How long a read at the end of the topic waits for a record, in seconds.

    Attributes
    ----------
    next_offset : int
        Offset of the next read.
    n_expired : int
        Number of records that retention deleted before they were read, since
        the first read.
    failure : LogFailure or None
        Failure of the last read; None if it succeeded.
    """

    __slots__ = (
        "_caught_up",
        "_client",
        "_clock",
        "_has_read",
        "_n_failures",
        "_on_gap",
        "_on_record",
        "_poll_wait_s",
        "_rng",
        "_topic",
        "failure",
        "n_expired",
        "next_offset",
    )

    def __init__(
        self,
        client: LogClient,
        topic: str,
        clock: Clock,
        on_record: Callable[[LogRecord], None],
        on_gap: Callable[[int], None] | None = None,
        rng: random.Random | None = None,
        poll_wait_s: float = POLL_WAIT_S,
    ) -> None:
        if poll_wait_s <= 0:
            raise ValueError(f"poll_wait_s={poll_wait_s} must be positive")
        self._client = client
        self._topic = topic
        self._clock = clock
        self._on_record = on_record
        self._on_gap = on_gap
        self._rng = rng or random.Random()
        self._poll_wait_s = poll_wait_s
        self._caught_up = asyncio.Event()
        self._has_read = False
        self._n_failures = 0
        self.failure: LogFailure | None = None
        self.n_expired = 0
        self.next_offset = 0

    @property
    def is_caught_up(self) -> bool:
        """Whether the end has been reached since the start and since the last gap."""
        return self._caught_up.is_set()

    async def wait_caught_up(self) -> None:
        """Wait until the end of the topic has been reached."""
        await self._caught_up.wait()

    async def run(self) -> None:
        """Follow the topic until the task is cancelled."""
        while True:
            # Only an empty read without a wait shows at once that the end is
            # reached. After an outage, a read without a wait shows at once that
            # the log works again.
            can_wait = self.is_caught_up and self.failure is None
            wait_s = self._poll_wait_s if can_wait else 0.0
            match await self._client.read(self._topic, self.next_offset, wait_s):
                case Success(batch):
                    self.failure = None
                    self._n_failures = 0
                    self._deliver(batch)
                case Failure(failure):
                    self.failure = failure
                    self._n_failures += 1
                    await self._clock.sleep(retry_delay_s(self._n_failures, self._rng))

    def _deliver(self, batch: LogBatch) -> None:
        if batch.n_expired > 0 and self._has_read:
            self.n_expired += batch.n_expired
            self._caught_up.clear()
            if self._on_gap is not None:
                self._on_gap(batch.n_expired)
        self._has_read = True
        for record in batch.records:
            self._on_record(record)
        self.next_offset = batch.next_offset
        if not batch.records and batch.n_expired == 0:
            self._caught_up.set()
