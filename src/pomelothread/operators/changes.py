"""Events that a replica of the sheet reports to its process."""

from dataclasses import dataclass
from enum import Enum

from .sheet import Sheet


class Source(Enum):
    """Where a sheet came from."""

    PUBLICATION = "publication"
    CARRY_FORWARD = "carry-forward"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class SheetChange:
    """A change of the sheet that is in force in this process.

    Parameters
    ----------
    previous : Sheet
        The sheet that was in force before.
    sheet : Sheet
        The sheet in force.
    source : Source
        Where the new sheet came from.
    publication : str
        Identifier of the record; "" for a peer's snapshot.
    operator : str
        Who wrote the record; "" for a peer's snapshot.
    offset : int
        Offset of the record; -1 for a peer's snapshot.
    """

    previous: Sheet
    sheet: Sheet
    source: Source
    publication: str = ""
    operator: str = ""
    offset: int = -1


class IgnoreReason(Enum):
    """Why a record or a snapshot did not change the sheet."""

    MALFORMED = "malformed"
    NEWER_FORMAT = "newer-format"
    DIGEST_MISMATCH = "digest-mismatch"
    NOT_THE_BASE = "not-the-base"
    NOT_NEWER = "not-newer"


@dataclass(frozen=True, slots=True)
class IgnoredRecord:
    """A record or a snapshot that was not used.

    Parameters
    ----------
    offset : int
        Offset of the record; -1 for a snapshot.
    reason : IgnoreReason
        Why it was not used.
    detail : str
        Explanation for the log file.
    publication : str
        Identifier of the record; "" if it could not be read.
    """

    offset: int
    reason: IgnoreReason
    detail: str
    publication: str = ""
