"""Replica of the sheet in one process, built from the records of the topic `sheet`.

All processes apply the same records by the same rule, so they agree without a
coordinator. A process may start after retention has deleted the beginning of the
topic. Of two publications that name the same base version, the first one wins. A
process that has not read the first one cannot know this, so it defers the
publications that it reads until the replica is *anchored*: a carry-forward record
states the read position at which its sheet was in force, and the replica is exact
from that position on.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta

from returns.result import Failure, Success

from ..log.records import LogBatch, LogRecord
from .changes import IgnoredRecord, IgnoreReason, SheetChange, Source
from .deltas import DigestedSheet, apply_delta, has_same_rows
from .digests import EMPTY_TREE
from .parts import AssembledRecord, PartAssembler
from .publications import (
    Base,
    NewerFormat,
    RecordKind,
    SheetRecord,
    decode_record,
    make_carry_forward,
)
from .sheet import Sheet
from .snapshots import decode_snapshot, encode_snapshot

# The read position in a carry-forward record is close to the record's own offset,
# so only the last few publications before it are needed.
MAX_DEFERRED = 1024
_EMPTY_SHEET = DigestedSheet(Sheet(), EMPTY_TREE)


class SheetReplica:
    """The sheet in force and the position up to which the topic has been read.

    Parameters
    ----------
    on_ignored : callable, optional
        Called with an `IgnoredRecord` for each record or snapshot that is rejected.
        Records that were read before, incomplete records and deferred publications
        that are dropped are not reported.

    Examples
    --------
    >>> replica = SheetReplica()
    >>> replica.sheet.version, replica.next_offset, replica.is_anchored
    (0, 0, True)
    """

    __slots__ = (
        "_assembler",
        "_blocked_below",
        "_contiguous_from",
        "_current",
        "_deferred",
        "_is_anchored",
        "_last_full_at",
        "_next_offset",
        "_on_ignored",
    )

    def __init__(
        self, on_ignored: Callable[[IgnoredRecord], None] | None = None
    ) -> None:
        self._on_ignored = on_ignored
        self._current = _EMPTY_SHEET
        self._assembler = PartAssembler()
        self._next_offset = 0
        # All offsets from `_contiguous_from` to `_next_offset` have been read.
        self._contiguous_from = 0
        self._is_anchored = True
        self._last_full_at: datetime | None = None
        # Publications that cannot be applied until the replica is anchored.
        self._deferred: list[AssembledRecord] = []
        # A record in a newer format may have replaced any version below this one.
        self._blocked_below = 0

    @property
    def sheet(self) -> Sheet:
        """The sheet in force; version 0 before one has been read."""
        return self._current.sheet

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self._next_offset

    @property
    def is_anchored(self) -> bool:
        """Whether the sheet is known to be the one in force at `next_offset`.

        If `is_blocked` is true as well, a record in a newer format may have replaced
        that sheet.
        """
        return self._is_anchored

    @property
    def is_blocked(self) -> bool:
        """Whether a record in a newer format may have replaced the sheet."""
        return self.sheet.version < self._blocked_below

    def apply_batch(self, batch: LogBatch) -> list[SheetChange]:
        """Apply all records of a batch.

        Parameters
        ----------
        batch : LogBatch
            Records read from `next_offset` on.

        Returns
        -------
        list of SheetChange
            Changes in order; empty if the sheet has not changed.
        """
        changes = [c for r in batch.records if (c := self.apply(r)) is not None]
        if batch.next_offset > self._next_offset:
            self._handle_gap(batch.next_offset)
            self._next_offset = batch.next_offset
        return changes

    def apply(self, record: LogRecord) -> SheetChange | None:
        """Apply one record.

        Parameters
        ----------
        record : LogRecord
            The next record of the topic. A record that was read before is
            ignored; a gap before it means that retention has deleted records.

        Returns
        -------
        SheetChange or None
            None if the sheet has not changed.
        """
        if record.offset < self._next_offset:
            return None
        self._handle_gap(record.offset)
        self._next_offset = record.offset + 1
        match decode_record(record.value):
            case Failure(NewerFormat() as newer):
                self._handle_newer_format(newer, record.offset)
            case Failure(str(detail)):
                self._report_ignored(record.offset, IgnoreReason.MALFORMED, detail)
            case Success(part):
                assembled = self._assembler.add(part, record)
                if assembled is None:
                    return None
                if assembled.record.kind is RecordKind.CARRY_FORWARD:
                    return self._apply_carry_forward(assembled)
                return self._apply_publication(assembled)
        return None

    def adopt(self, snapshot_bytes: bytes) -> SheetChange | None:
        """Use a peer's sheet if it is newer.

        If the peer is anchored and ahead, continue from its read position. If it is
        anchored and not ahead, its snapshot may anchor this replica, which then applies
        the deferred publications.

        Parameters
        ----------
        snapshot_bytes : bytes
            The peer's response to ``GET /control/sheet``.

        Returns
        -------
        SheetChange or None
            None if the sheet has not changed. A snapshot of the sheet in force can
            change it only through deferred publications; any other one that is not
            newer, or is invalid, is ignored.
        """
        match decode_snapshot(snapshot_bytes):
            case Failure(detail):
                self._report_ignored(-1, IgnoreReason.MALFORMED, detail)
                return None
            case Success((snapshot, digested)):
                pass
        previous = self.sheet
        is_newer = snapshot.version > previous.version
        if is_newer:
            was_blocked = self.is_blocked
            self._current = digested
            if was_blocked and not snapshot.anchored:
                self._is_anchored = False
        elif (snapshot.version, snapshot.digest) != (previous.version, previous.digest):
            detail = f"version {snapshot.version} is not above {previous.version}"
            self._report_ignored(-1, IgnoreReason.NOT_NEWER, detail)
            return None
        if snapshot.anchored and snapshot.next_offset > self._next_offset:
            # Continue from the peer's position and skip the records before it.
            self._next_offset = self._contiguous_from = snapshot.next_offset
            self._deferred.clear()
            self._assembler = PartAssembler()
            self._is_anchored = True
            self._last_full_at = snapshot.last_full_at
        elif snapshot.anchored:
            self._anchor_at(snapshot.next_offset, is_newer)
        if self.sheet is previous:
            return None
        return SheetChange(previous, self.sheet, Source.PEER)

    def snapshot(self) -> bytes:
        """Encode the sheet for a peer."""
        return encode_snapshot(
            self.sheet,
            self._resume_offset(),
            self._is_anchored and not self.is_blocked,
            self._last_full_at,
        )

    def carry_forward_due(self, now: datetime, retention_s: float) -> bool:
        """Return whether the whole sheet should be appended again.

        Call it only after the topic has been read to its end.

        Parameters
        ----------
        now : datetime
            Current time.
        retention_s : float
            How long the log keeps a record, in seconds.

        Returns
        -------
        bool
            True if no full record of the sheet is known, or the last one is older
            than half the retention. A replica that is not anchored waits for the
            whole retention, because its sheet may be outdated and an anchored process
            may append first. Always False for version 0 and for a blocked replica.
        """
        if self.sheet.version == 0 or self.is_blocked:
            return False
        if self._last_full_at is None:
            return True
        limit_s = retention_s / 2 if self._is_anchored else retention_s
        return now - self._last_full_at > timedelta(seconds=limit_s)

    def carry_forward(
        self, publication: str, instance: str, now: datetime
    ) -> SheetRecord:
        """Build the record that repeats the sheet in force.

        Parameters
        ----------
        publication : str
            Random identifier.
        instance : str
            Name of this instance.
        now : datetime
            Current time.

        Returns
        -------
        SheetRecord
            The record, to be encoded and appended.
        """
        return make_carry_forward(
            self.sheet,
            publication=publication,
            operator=instance,
            written_at=now,
            as_of=self._resume_offset(),
        )

    def _resume_offset(self) -> int:
        """Return the offset from which another reader can continue.

        It is not after the first part of any record that is still incomplete.
        """
        return self._assembler.first_incomplete_offset(self._next_offset)

    def _handle_gap(self, offset: int) -> None:
        if offset > self._next_offset:
            self._contiguous_from = offset
            self._is_anchored = False
            self._deferred.clear()

    def _handle_newer_format(self, newer: NewerFormat, offset: int) -> None:
        version = self.sheet.version
        successor = (Base(version, self.sheet.digest), version + 1)
        is_certain = self._is_anchored and not self.is_blocked
        if is_certain and newer.base and (newer.base, newer.version) != successor:
            detail = (
                f"the record's base is version {newer.base.version}, but version "
                f"{version} is in force"
            )
            self._report_ignored(offset, IgnoreReason.NOT_THE_BASE, detail)
            return
        self._blocked_below = max(self._blocked_below, newer.version)
        detail = f"format {newer.format} needs newer software"
        self._report_ignored(offset, IgnoreReason.NEWER_FORMAT, detail)

    def _apply_publication(self, assembled: AssembledRecord) -> SheetChange | None:
        record = assembled.record
        base = record.base
        base_version = base.version if base is not None else 0
        if not self._is_anchored or self.is_blocked:
            self._defer(assembled)
            return None
        is_base = (base_version, base.digest if base is not None else "") == (
            self.sheet.version,
            self.sheet.digest,
        )
        if not is_base or record.version != base_version + 1:
            detail = (
                f"the record's base is version {base_version}, but version "
                f"{self.sheet.version} is in force"
            )
            self._report_ignored_record(assembled, IgnoreReason.NOT_THE_BASE, detail)
            return None
        result = self._apply_verified(assembled, self._current)
        if result is None:
            return None
        if base is None:
            self._last_full_at = assembled.first_appended_at
        return self._replace_sheet(result, assembled)

    def _defer(self, assembled: AssembledRecord) -> None:
        self._deferred.append(assembled)
        if len(self._deferred) > MAX_DEFERRED:
            # The replica can no longer be anchored at or before the dropped record.
            self._contiguous_from = self._deferred.pop(0).offset + 1

    def _apply_carry_forward(self, assembled: AssembledRecord) -> SheetChange | None:
        record = assembled.record
        # Comparing the rows is cheaper than hashing them: hashing 17,000 rows
        # blocks the process for about 0.1 s.
        is_in_force = self._is_in_force(record)
        result = self._current
        if not is_in_force or not has_same_rows(self.sheet, record.put):
            applied = self._apply_verified(assembled, _EMPTY_SHEET)
            if applied is None:
                return None
            result = applied
        change = None
        if record.version > self.sheet.version:
            change = self._replace_sheet(result, assembled)
        if is_in_force or change is not None:
            self._last_full_at = assembled.first_appended_at
        else:
            detail = f"the carried version {record.version} is not the sheet in force"
            self._report_ignored_record(assembled, IgnoreReason.NOT_NEWER, detail)
            if record.version == self.sheet.version:
                return None
        later_change = self._anchor_at(record.as_of, change is not None)
        if change is not None and later_change is not None:
            return replace(later_change, previous=change.previous)
        return later_change or change

    def _is_in_force(self, record: SheetRecord) -> bool:
        sheet = self.sheet
        return (record.version, record.digest) == (sheet.version, sheet.digest)

    def _apply_verified(
        self, assembled: AssembledRecord, base: DigestedSheet
    ) -> DigestedSheet | None:
        record = assembled.record
        result = apply_delta(base, record.delta(), record.version)
        if result.sheet.digest == record.digest:
            return result
        detail = (
            f"the rows have digest {result.sheet.digest}, but the record states "
            f"{record.digest}"
        )
        self._report_ignored_record(assembled, IgnoreReason.DIGEST_MISMATCH, detail)
        return None

    def _replace_sheet(
        self, result: DigestedSheet, assembled: AssembledRecord
    ) -> SheetChange:
        record = assembled.record
        previous = self.sheet
        self._current = result
        return SheetChange(
            previous,
            result.sheet,
            Source(record.kind.value),
            record.publication,
            record.operator,
            assembled.offset,
        )

    def _anchor_at(self, as_of: int, is_newer: bool) -> SheetChange | None:
        """Anchor the replica at `as_of` and apply the deferred publications.

        The sheet of a carry-forward record or a snapshot was in force at `as_of`.
        `is_newer` is true if that sheet has just replaced an older one here.
        """
        if as_of < self._contiguous_from:
            if is_newer:
                # Successors of the new sheet may be among the unread records.
                self._is_anchored = False
            return None
        if self.is_blocked:
            return None
        self._is_anchored = True
        deferred, self._deferred = self._deferred, []
        change: SheetChange | None = None
        for assembled in deferred:
            if assembled.offset < as_of:
                continue
            next_change = self._apply_publication(assembled)
            if next_change is not None and change is not None:
                next_change = replace(next_change, previous=change.previous)
            change = next_change or change
        return change

    def _report_ignored_record(
        self, assembled: AssembledRecord, reason: IgnoreReason, detail: str
    ) -> None:
        self._report_ignored(
            assembled.offset, reason, detail, assembled.record.publication
        )

    def _report_ignored(
        self, offset: int, reason: IgnoreReason, detail: str, publication: str = ""
    ) -> None:
        if self._on_ignored is not None:
            self._on_ignored(IgnoredRecord(offset, reason, detail, publication))
