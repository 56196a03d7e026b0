"""Putting the parts of a divided record together again."""

from dataclasses import dataclass
from datetime import datetime
from typing import Any

import msgspec

from ..log.records import LogRecord
from .deltas import RowsPut, RowsRemoved
from .digests import COLLECTIONS
from .publications import SheetRecord

# Limits the memory for records whose other parts never arrive. It counts
# offsets and not parts, so that every reader drops the same records wherever
# it started to read.
MAX_PART_SPAN = 1024


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
