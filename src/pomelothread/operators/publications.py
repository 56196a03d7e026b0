"""Records of the topic `sheet`, and their division into parts.

A full sheet of 17,000 organisations takes more than 1 MB, the usual limit of a
log for one record, so a record can be spread over several appends. The parts
take effect together at the offset of the last one, or not at all.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ..log.records import LogRecord
from .deltas import RowsPut, RowsRemoved, SheetDelta
from .digests import COLLECTIONS, compact_row
from .sheet import Sheet

FORMAT = 1
TOPIC = "sheet"
MAX_PART_BYTES = 256 * 1024
# Limits the memory for records whose other parts never arrive. It counts
# offsets and not parts, so that every reader drops the same records wherever
# it started to read.
MAX_PART_SPAN = 1024


class RecordKind(Enum):
    """What a record does.

    `PUBLICATION` replaces the sheet that it names as its base.
    `CARRY_FORWARD` repeats the sheet in force, for readers that come after
    retention has deleted the records from which it was made.
    """

    PUBLICATION = "publication"
    CARRY_FORWARD = "carry-forward"


class Base(msgspec.Struct, frozen=True):
    """The version that a publication was made from, with its digest."""

    version: int
    digest: str


class SheetRecord(msgspec.Struct, frozen=True):
    """One record, or one part of it.

    Parameters
    ----------
    format : int
        Format of the record.
    kind : RecordKind
        What the record does.
    version : int
        Version of the result.
    digest : str
        Digest of the result.
    publication : str
        Random identifier; all parts carry it, and the publisher looks for it.
    operator : str
        Who published, or which instance carried the sheet forward.
    written_at : datetime
        Time at the writer.
    base : Base or None
        None for the first publication and for records with the whole sheet.
    as_of : int
        The writer's read position; a carried sheet was in force there.
    part, n_parts : int
        Position of this part, from 1, and how many there are.
    put, removed : RowsPut, RowsRemoved
        The delta, or all rows.
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
        """Return the rows of the record."""
        return SheetDelta(self.put, self.removed)


@dataclass(frozen=True, slots=True)
class PlacedRecord:
    """A complete record as it stands on the log.

    Parameters
    ----------
    record : SheetRecord
        All rows of all parts.
    offset : int
        Offset of the last part, where the record takes effect.
    first_appended_at : datetime
        When the first part was appended; retention deletes it first.
    """

    record: SheetRecord
    offset: int
    first_appended_at: datetime


@dataclass(frozen=True, slots=True)
class NewerFormat:
    """A record of a format that this software does not know."""

    format: int
    version: int | None


def whole_sheet(sheet: Sheet) -> SheetDelta:
    """Return the delta that makes a sheet out of nothing."""
    rows: dict[str, tuple[Any, ...]] = {
        c: tuple(getattr(sheet, c).values()) for c in COLLECTIONS
    }
    return SheetDelta(put=RowsPut(**rows))


def encode_record(record: SheetRecord) -> list[dict[str, Any]]:
    """Encode a record as the JSON values to append, in order.

    Parameters
    ----------
    record : SheetRecord
        The whole record.

    Returns
    -------
    list of dict
        One value for each part, each of about `MAX_PART_BYTES` at most.
    """
    head: dict[str, Any] = msgspec.to_builtins(record)
    del head["put"], head["removed"]
    bodies: list[dict[str, Any]] = [{"put": {}, "removed": {}}]
    size_bytes = 0
    for section, collection, item in _items(record):
        item_bytes = len(msgspec.json.encode(item)) + 1
        if size_bytes and size_bytes + item_bytes > MAX_PART_BYTES:
            bodies.append({"put": {}, "removed": {}})
            size_bytes = 0
        bodies[-1][section].setdefault(collection, []).append(item)
        size_bytes += item_bytes
    n_parts = len(bodies)
    return [
        head | {"part": part, "n_parts": n_parts} | body
        for part, body in enumerate(bodies, 1)
    ]


def _items(record: SheetRecord) -> Iterator[tuple[str, str, Any]]:
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
        A sentence says what is wrong with a malformed record.

    Examples
    --------
    >>> decode_record({"format": 99, "version": 7}).failure()
    NewerFormat(format=99, version=7)
    """
    if not isinstance(value, dict):
        return Failure(f"expected an object, given {type(value).__name__}")
    found = value.get("format")
    if isinstance(found, int) and found > FORMAT:
        version = value.get("version")
        known = version if isinstance(version, int) else None
        return Failure(NewerFormat(found, known))
    try:
        record = msgspec.convert(value, SheetRecord)
    except msgspec.ValidationError as error:
        return Failure(str(error))
    if not 1 <= record.part <= record.n_parts <= MAX_PART_SPAN:
        return Failure(f"part {record.part} of {record.n_parts} does not exist")
    if record.version < 1:
        return Failure(f"version {record.version} is less than 1")
    if record.written_at.tzinfo is None:
        return Failure("written_at has no time zone")
    return Success(record)


@dataclass(slots=True)
class _Assembly:
    parts: list[SheetRecord]
    first_offset: int
    first_appended_at: datetime


class PartAssembler:
    """Collects the parts of records in the order of their offsets."""

    __slots__ = ("_assemblies",)

    def __init__(self) -> None:
        self._assemblies: dict[str, _Assembly] = {}

    def add(self, part: SheetRecord, source: LogRecord) -> PlacedRecord | None:
        """Take the next part from the log.

        Parameters
        ----------
        part : SheetRecord
            The decoded part.
        source : LogRecord
            Where it stands.

        Returns
        -------
        PlacedRecord or None
            The whole record if this part completes it. A repeated part is
            ignored; a part that follows a missing one discards the record.
        """
        if part.n_parts == 1:
            return PlacedRecord(part, source.offset, source.appended_at)
        self._drop_old(source.offset)
        assembly = self._assemblies.get(part.publication)
        if assembly is None:
            if part.part == 1:
                self._assemblies[part.publication] = _Assembly(
                    [part], source.offset, source.appended_at
                )
            return None
        if part.part <= len(assembly.parts):
            return None
        if part.part != len(assembly.parts) + 1 or not _same_record(
            part, assembly.parts[0]
        ):
            del self._assemblies[part.publication]
            return None
        assembly.parts.append(part)
        if part.part < part.n_parts:
            return None
        del self._assemblies[part.publication]
        return PlacedRecord(
            _joined(assembly.parts), source.offset, assembly.first_appended_at
        )

    def first_open_offset(self, next_offset: int) -> int:
        """Return where the oldest record starts that can still be completed.

        Parameters
        ----------
        next_offset : int
            Read position.

        Returns
        -------
        int
            Offset of its first part, or `next_offset` if there is none.
        """
        self._drop_old(next_offset)
        firsts = (a.first_offset for a in self._assemblies.values())
        return min(firsts, default=next_offset)

    def _drop_old(self, offset: int) -> None:
        oldest = offset - MAX_PART_SPAN
        old = [p for p, a in self._assemblies.items() if a.first_offset < oldest]
        for publication in old:
            del self._assemblies[publication]


def _same_record(part: SheetRecord, first: SheetRecord) -> bool:
    return (part.version, part.digest, part.base, part.n_parts, part.kind) == (
        first.version,
        first.digest,
        first.base,
        first.n_parts,
        first.kind,
    )


def _joined(parts: list[SheetRecord]) -> SheetRecord:
    put: dict[str, Any] = {}
    removed: dict[str, Any] = {}
    for collection in COLLECTIONS:
        put[collection] = tuple(r for p in parts for r in getattr(p.put, collection))
        removed[collection] = tuple(
            n for p in parts for n in getattr(p.removed, collection)
        )
    return msgspec.structs.replace(
        parts[0], part=1, n_parts=1, put=RowsPut(**put), removed=RowsRemoved(**removed)
    )


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
    """Make the record that replaces a sheet.

    Parameters
    ----------
    base : Sheet
        The sheet in force; version 0 if there is none yet.
    delta : SheetDelta
        What changes.
    digest : str
        Digest of the result.
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
    """Make the record that repeats a whole sheet.

    Parameters
    ----------
    sheet : Sheet
        The sheet in force at `as_of`.
    publication : str
        Random identifier.
    operator : str
        The instance, or the operator who restores a sheet.
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
        put=whole_sheet(sheet).put,
    )
