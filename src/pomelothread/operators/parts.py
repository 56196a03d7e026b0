"""Reassembly of records that were divided into parts."""

from dataclasses import dataclass
from datetime import datetime
from typing import Any

import msgspec

from ..log.records import LogRecord
from .deltas import RowsPut, RowsRemoved
from .digests import COLLECTIONS
from .publications import SheetRecord

# Bounds the memory for records whose other parts never arrive. The limit is in
# offsets, not parts, so that every reader drops the same records wherever it
# started to read.
MAX_PART_SPAN = 1024


@dataclass(frozen=True, slots=True)
class AssembledRecord:
    """A complete record with its position on the log.

    Parameters
    ----------
    record : SheetRecord
        All rows of all parts.
    offset : int
        Offset of the last part, at which the record takes effect.
    first_appended_at : datetime
        When the first part was appended, which retention deletes first.
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
    """Reassembles records from parts that are added in the order of offsets."""

    __slots__ = ("_assemblies",)

    def __init__(self) -> None:
        self._assemblies: dict[str, _Assembly] = {}

    def add(self, part: SheetRecord, log_record: LogRecord) -> AssembledRecord | None:
        """Add the next part from the log.

        Parameters
        ----------
        part : SheetRecord
            The decoded part.
        log_record : LogRecord
            The record of the log that contains it.

        Returns
        -------
        AssembledRecord or None
            The whole record if this part completes it. A repeated part is
            ignored; if a part is missing before this one, the record is
            discarded.
        """
        if part.n_parts == 1:
            return AssembledRecord(part, log_record.offset, log_record.appended_at)
        self._drop_stale(log_record.offset)
        assembly = self._assemblies.get(part.publication)
        if assembly is None:
            if part.part == 1:
                self._assemblies[part.publication] = _Assembly(
                    [part], log_record.offset, log_record.appended_at
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
        return AssembledRecord(
            _join_parts(assembly.parts), log_record.offset, assembly.first_appended_at
        )

    def first_incomplete_offset(self, next_offset: int) -> int:
        """Return the start of the oldest record that can still be completed.

        Parameters
        ----------
        next_offset : int
            Read position.

        Returns
        -------
        int
            Offset of its first part, or `next_offset` if there is none.
        """
        self._drop_stale(next_offset)
        firsts = (a.first_offset for a in self._assemblies.values())
        return min(firsts, default=next_offset)

    def _drop_stale(self, offset: int) -> None:
        min_offset = offset - MAX_PART_SPAN
        stale = [p for p, a in self._assemblies.items() if a.first_offset < min_offset]
        for publication in stale:
            del self._assemblies[publication]


def _same_record(part: SheetRecord, first: SheetRecord) -> bool:
    return (part.version, part.digest, part.base, part.n_parts, part.kind) == (
        first.version,
        first.digest,
        first.base,
        first.n_parts,
        first.kind,
    )


def _join_parts(parts: list[SheetRecord]) -> SheetRecord:
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
