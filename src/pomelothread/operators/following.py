"""Task that tails the topic `sheet` and repeats the sheet before it expires.

Each process runs one such task.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from returns.result import Failure, Success

from ..clock import Clock
from ..log.records import LogBatch, LogClient, LogFailure, LogFault
from .changes import SheetChange
from .publications import TOPIC, encode_record
from .replication import SheetReplica

MAX_WAIT_S = 5.0
LOG_RETRY_S = 1.0
# Every process may carry the sheet forward, that is, append it again before
# retention deletes it. Each first waits for a random time of up to this share of
# the retention, so that it usually sees the record of the earliest process: with
# 1,120 processes and 5% of a week, the times are 27 s apart on average, and a
# record is read within seconds.
CARRY_FORWARD_JITTER_SHARE = 0.05
CARRY_FORWARD_RETRY_S = 60.0
MAX_APPEND_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class FollowStatus:
    """How far the topic has been read.

    Parameters
    ----------
    is_at_end : bool
        Whether the topic has been read to its end at least once.
    failure : LogFailure or None
        Why the last call to the log failed; None after a successful one.
    """

    is_at_end: bool
    failure: LogFailure | None = None


@dataclass(frozen=True, slots=True)
class FollowSettings:
    """Settings of `follow_sheet`.

    Parameters
    ----------
    instance : str
        Name of this instance, written into carry-forward records.
    retention_s : float
        How long the log keeps a record, in seconds.
    max_wait_s : float, default=5.0
        How long one read waits for a record, in seconds.
    """

    instance: str
    retention_s: float
    max_wait_s: float = MAX_WAIT_S

    def __post_init__(self) -> None:
        for field in ("retention_s", "max_wait_s"):
            value = getattr(self, field)
            if value <= 0:
                raise ValueError(f"{field}={value} must be a positive number")


async def follow_sheet(
    replica: SheetReplica,
    log: LogClient,
    clock: Clock,
    settings: FollowSettings,
    on_change: Callable[[SheetChange], None],
    on_status: Callable[[FollowStatus], None] | None = None,
    random: Random | None = None,
) -> None:
    """Read the topic until cancelled, and carry the sheet forward when it is due.

    Parameters
    ----------
    replica : SheetReplica
        Applies the records. The caller may call its `adopt` with a peer's
        snapshot at any time; reading continues at the replica's position.
    log : LogClient
        The log.
    clock : Clock
        Source of time.
    settings : FollowSettings
        Name of the instance and retention.
    on_change : callable
        Called with each `SheetChange`, in order.
    on_status : callable, optional
        Called with a `FollowStatus` after each call to the log.
    random : Random, optional
        Source of random delays and identifiers.
    """
    random = Random() if random is None else random
    report_status = on_status if on_status is not None else _ignore_status
    is_at_end = False
    is_unreachable = False
    carry_forward_at_s: float | None = None
    while True:
        # Read without waiting until the end of the topic is reached, and after a
        # failed read, so that this end and that of an outage are noticed at once.
        max_wait_s = settings.max_wait_s if is_at_end and not is_unreachable else 0.0
        if carry_forward_at_s is not None:
            max_wait_s = min(
                max_wait_s, max(0.0, carry_forward_at_s - clock.monotonic_s())
            )
        match await log.read(TOPIC, replica.next_offset, max_wait_s):
            case Failure(failure):
                is_unreachable = True
                report_status(FollowStatus(is_at_end, failure))
                await clock.sleep(LOG_RETRY_S)
                continue
            case Success(batch):
                is_unreachable = False
        for record in batch.records:
            if (change := replica.apply(record)) is not None:
                on_change(change)
            # Applying 17,000 rows takes about 0.2 s. Yield after each record, which
            # may be one part of a sheet, so that other tasks can run.
            await asyncio.sleep(0)
        # Tells the replica about records that retention has deleted.
        replica.apply_batch(LogBatch((), batch.next_offset))
        if batch.records or batch.n_expired:
            continue
        is_at_end = True
        report_status(FollowStatus(is_at_end))
        if not replica.carry_forward_due(clock.now(), settings.retention_s):
            carry_forward_at_s = None
            continue
        now_s = clock.monotonic_s()
        if carry_forward_at_s is None:
            jitter_s = settings.retention_s * CARRY_FORWARD_JITTER_SHARE
            carry_forward_at_s = now_s + random.random() * jitter_s
        elif now_s >= carry_forward_at_s:
            publication = f"{random.getrandbits(128):032x}"
            failure = await _carry_forward(replica, log, clock, settings, publication)
            # Read the topic before the next attempt: the record may have taken
            # effect although the answer to the append was lost.
            carry_forward_at_s = now_s + CARRY_FORWARD_RETRY_S * (1 + random.random())
            report_status(FollowStatus(is_at_end, failure))


async def _carry_forward(
    replica: SheetReplica,
    log: LogClient,
    clock: Clock,
    settings: FollowSettings,
    publication: str,
) -> LogFailure | None:
    record = replica.carry_forward(publication, settings.instance, clock.now())
    for value in encode_record(record):
        for _ in range(MAX_APPEND_ATTEMPTS):
            answer = await log.append(TOPIC, value)
            if isinstance(answer, Success):
                break
            failure: LogFailure = answer.failure()
            if failure.fault is LogFault.UNANSWERED:
                return failure
            # A refused part, such as one over the rate limit, had no effect.
            await clock.sleep(LOG_RETRY_S)
        else:
            return failure
    return None


def _ignore_status(status: FollowStatus) -> None:
    del status
