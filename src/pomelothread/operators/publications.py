"""Records of the topic `sheet`, and their division into parts.

A sheet of 17,000 organisations is larger than 1 MB, the usual limit of a log for
one record, so a record can be divided into parts that are appended separately.
The parts take effect together at the offset of the last one, or not at all.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from .deltas import RowsPut, RowsRemoved, SheetDelta
from .digests import COLLECTIONS, compact_row
from .sheet import Sheet

FORMAT = 1
TOPIC = "sheet"
MAX_PART_BYTES = 256 * 1024


class RecordKind(Enum):
    """What a record does.

    `PUBLICATION` replaces the sheet that it names as its base.
    `CARRY_FORWARD` repeats the sheet in force, for readers that start after
    retention has deleted the records that it was built from.
    """

    PUBLICATION = "publication"
    CARRY_FORWARD = "carry-forward"


class Base(msgspec.Struct, frozen=True):
    """The version that a publication was made from, with its digest."""

    version: int
    digest: str


class _Envelope(msgspec.Struct, frozen=True):
    format: int
    version: int
    base: Base | None = None


class SheetRecord(msgspec.Struct, frozen=True):
    """One record, or one part of it.

    Parameters
    ----------
    format : int
        Format of the record.
    kind : RecordKind
        What the record does.
    version : int
        Version of the resulting sheet.
    digest : str
        Digest of the resulting sheet.
    publication : str
        Random identifier, the same in all parts; the publisher searches for it
        when it reads back.
    operator : str
        Operator who published, or instance that carried the sheet forward.
    written_at : datetime
        When the record was written, by the writer's clock.
    base : Base or None
        None for the first publication and for carry-forward records.
    as_of : int
        The writer's read position. The sheet of a carry-forward record was in
        force there.
    part, n_parts : int
        Number of this part, from 1, and the number of parts.
    put, removed : RowsPut, RowsRemoved
        The delta to the base; all rows if there is no base.
    """

    format: int
    kind: RecordKind
    version: int
    digest: str
    publication: str
    operator: str
    written_at: datetime
    base: Base | None = None
    as_of: int = 0
    part: int = 1
    n_parts: int = 1
    put: RowsPut = RowsPut()
    removed: RowsRemoved = RowsRemoved()

    def delta(self) -> SheetDelta:
        """Return the delta of the record."""
        return SheetDelta(self.put, self.removed)


@dataclass(frozen=True, slots=True)
class NewerFormat:
    """A record in a newer format than this software supports.

    `format`, `version` and `base` keep their meaning in all formats, so that
    older software can tell whether the record may have replaced its sheet.
    """

    format: int
    version: int
    base: Base | None


def full_delta(sheet: Sheet) -> SheetDelta:
    """Return the delta from the empty sheet to the given one."""
    rows: dict[str, tuple[Any, ...]] = {
        c: tuple(getattr(sheet, c).values()) for c in COLLECTIONS
    }
    return SheetDelta(put=RowsPut(**rows))


def encode_record(record: SheetRecord) -> list[dict[str, Any]]:
    """Encode a record as the JSON values to append, in this order.

    Parameters
    ----------
    record : SheetRecord
        The whole record.

    Returns
    -------
    list of dict
        One value for each part, each of about `MAX_PART_BYTES` at most.
    """
    shared_fields: dict[str, Any] = msgspec.to_builtins(record)
    del shared_fields["put"], shared_fields["removed"]
    bodies: list[dict[str, Any]] = [{"put": {}, "removed": {}}]
    size_bytes = 0
    for section, collection, item in _iter_items(record):
        item_bytes = len(msgspec.json.encode(item)) + 1
        if size_bytes and size_bytes + item_bytes > MAX_PART_BYTES:
            bodies.append({"put": {}, "removed": {}})
            size_bytes = 0
        bodies[-1][section].setdefault(collection, []).append(item)
        size_bytes += item_bytes
    n_parts = len(bodies)
    return [
        shared_fields | {"part": part, "n_parts": n_parts} | body
        for part, body in enumerate(bodies, 1)
    ]


def _iter_items(record: SheetRecord) -> Iterator[tuple[str, str, Any]]:
    for collection in COLLECTIONS:
        for name in getattr(record.removed, collection):
            yield "removed", collection, name
        for row in getattr(record.put, collection):
            yield "put", collection, compact_row(row)


def decode_record(value: object) -> Result[SheetRecord, NewerFormat | str]:
    """Decode one record, or one part.

    Parameters
    ----------
    value : object
        The value as read from the log.

    Returns
    -------
    Result of SheetRecord, NewerFormat or str
        The str explains why a record is malformed.

    Examples
    --------
    >>> decode_record({"format": 99, "version": 7}).failure()
    NewerFormat(format=99, version=7, base=None)
    """
    try:
        envelope = msgspec.convert(value, _Envelope)
        if envelope.format > FORMAT:
            newer_format = NewerFormat(envelope.format, envelope.version, envelope.base)
            return Failure(newer_format)
        record = msgspec.convert(value, SheetRecord)
    except msgspec.ValidationError as error:
        return Failure(str(error))
    if not 1 <= record.part <= record.n_parts:
        return Failure(f"part {record.part} of {record.n_parts} does not exist")
    if record.version < 1:
        return Failure(f"version {record.version} is less than 1")
    if record.written_at.tzinfo is None:
        return Failure("written_at has no time zone")
    return Success(record)


def make_publication(
    base: Sheet,
    delta: SheetDelta,
    digest: str,
    *,
    publication: str,
    operator: str,
    written_at: datetime,
    as_of: int,
) -> SheetRecord:
    """Build the record that replaces a sheet.

    Parameters
    ----------
    base : Sheet
        The sheet in force; version 0 if there is none yet.
    delta : SheetDelta
        Changes to `base`.
    digest : str
        Digest of the resulting sheet.
    publication : str
        Random identifier.
    operator : str
        Who publishes.
    written_at : datetime
        Current time.
    as_of : int
        Position up to which the topic has been read.

    Returns
    -------
    SheetRecord
        The record, to be encoded with `encode_record`.
    """
    return SheetRecord(
        FORMAT,
        RecordKind.PUBLICATION,
        base.version + 1,
        digest,
        publication,
        operator,
        written_at,
        Base(base.version, base.digest) if base.version else None,
        as_of,
        put=delta.put,
        removed=delta.removed,
    )


def make_carry_forward(
    sheet: Sheet, *, publication: str, operator: str, written_at: datetime, as_of: int
) -> SheetRecord:
    """Build the record that repeats a whole sheet.

    Parameters
    ----------
    sheet : Sheet
        The sheet in force at `as_of`.
    publication : str
        Random identifier.
    operator : str
        The instance, or the operator who restarts the topic with this sheet.
    written_at : datetime
        Current time.
    as_of : int
        Position up to which the topic has been read.

    Returns
    -------
    SheetRecord
        The record, to be encoded with `encode_record`.
    """
    return SheetRecord(
        FORMAT,
        RecordKind.CARRY_FORWARD,
        sheet.version,
        sheet.digest,
        publication,
        operator,
        written_at,
        as_of=as_of,
        put=full_delta(sheet).put,
    )
