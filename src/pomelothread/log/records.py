"""Interface of log clients, and the types that they return."""

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import Any, Protocol

from returns.result import Result


class LogFault(Enum):
    """Why a call to the log failed.

    After `REFUSED` an append has certainly not taken effect; after `UNANSWERED`
    it may have, or may still do so.
    """

    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class LogFailure:
    """A failed call; `detail` is a message for log output."""

    fault: LogFault
    detail: str


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record that was read from the log."""

    topic: str
    offset: int
    appended_at: datetime
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Records in offset order, and the offset of the next read.

    `n_expired` is the number of records from the requested offset on that
    retention had deleted.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    n_expired: int = 0


def as_object(value: Any) -> dict[str, Any]:
    """Return the value of a record as a JSON object.

    Any client of the log can append to a topic. Without this conversion, a value
    of another type would make every read of its batch fail for as long as the
    log keeps it.

    Parameters
    ----------
    value : Any
        Value as read from the log.

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
    """Access to the log. Implementations never retry an append."""

    async def append(
        self, topic: str, value: dict[str, Any]
    ) -> Result[int, LogFailure]:
        """Append one record and return its offset."""
        ...

    async def read(
        self, topic: str, offset: int, max_wait_s: float
    ) -> Result[LogBatch, LogFailure]:
        """Read records, starting at `offset`; wait up to `max_wait_s` for one."""
        ...
