"""What the log's client returns, and the interface that its fakes share."""

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import Any, Protocol

from returns.result import Result


class LogFault(Enum):
    """Why a call to the log failed.

    `REFUSED` means that the append certainly did not take effect; after
    `UNANSWERED` it may have.
    """

    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class LogFailure:
    """A failed call, with a sentence for the log file."""

    fault: LogFault
    detail: str


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record as read back."""

    topic: str
    offset: int
    appended_at: datetime
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Records in offset order, and where to read on.

    `n_expired` is how many records before the first one were deleted by
    retention since the offset that was asked for.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    n_expired: int = 0


def as_object(value: Any) -> dict[str, Any]:
    """Return a record's value as an object.

    Anybody can append to a topic. A value of another type would otherwise make
    every read of its batch fail for as long as the log keeps it.

    Parameters
    ----------
    value : Any
        As read from the log.

    Returns
    -------
    dict of str to Any
        The value itself, or an object that no reader accepts as a record.

    Examples
    --------
    >>> as_object({"format": 1}), as_object("text")
    ({'format': 1}, {'malformed': 'text'})
    """
    if isinstance(value, dict):
        return value
    return {"malformed": value}


class LogClient(Protocol):
    """Access to the log; never retries an append by itself."""

    async def append(
        self, topic: str, value: dict[str, Any]
    ) -> Result[int, LogFailure]:
        """Append one record and return its offset."""
        ...

    async def read(
        self, topic: str, offset: int, max_wait_s: float
    ) -> Result[LogBatch, LogFailure]:
        """Read records from `offset` on, waiting up to `max_wait_s` for one."""
        ...
