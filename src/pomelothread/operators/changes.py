"""What a replica of the sheet reports to the process that holds it."""

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
    """Another version has come into force in this process.

    Parameters
    ----------
    previous : Sheet
        The sheet before.
    sheet : Sheet
        The sheet in force.
    source : Source
        Where it came from.
    publication : str
        Identifier of the record; "" from a peer.
    operator : str
        Who wrote the record; "" from a peer.
    offset : int
        Offset of the record; -1 from a peer.
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
        Why.
    detail : str
        A sentence for the log file.
    publication : str
        Identifier of the record, if it could be read.
    """

    offset: int
    reason: IgnoreReason
    detail: str
    publication: str = ""
