"""The sheet as one process holds it: the fold of the topic `sheet`.

All processes fold the same records by the same rule, so they agree without a
coordinator. A process may start after retention has deleted the beginning of
the topic. What it reads then can include a publication that lost its race, so
it keeps publications aside until a carried sheet *anchors* it: a carry-forward
record names the read position at which its sheet was in force, and the fold is
exact from there on.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta

from returns.result import Failure, Success

from ..log.records import LogBatch, LogRecord
from .changes import IgnoredRecord, IgnoreReason, SheetChange, Source
from .deltas import DigestedSheet, apply_delta, has_exactly
from .digests import EMPTY_TREE
from .parts import PartAssembler, PlacedRecord
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

# A carried sheet names a read position close to its own offset, so few
# publications before it are ever needed.
MAX_PENDING = 1024
_NOTHING = DigestedSheet(Sheet(), EMPTY_TREE)


class SheetReplica:
    """The sheet in force, and the position up to which the topic was read.

    Parameters
    ----------
    on_ignored : callable, optional
        Called with an `IgnoredRecord` for each record that was not used.

    Examples
    --------
    >>> replica = SheetReplica()
    >>> replica.sheet.version, replica.next_offset, replica.is_anchored
    (0, 0, True)
    """

    __slots__ = (
        "_assembler",
        "_blocked_below",
        "_held",
        "_is_anchored",
        "_last_full_at",
        "_next_offset",
        "_on_ignored",
        "_pending",
        "_read_from",
    )

    def __init__(
        self, on_ignored: Callable[[IgnoredRecord], None] | None = None
    ) -> None:
        self._on_ignored = on_ignored
        self._held = _NOTHING
        self._assembler = PartAssembler()
        self._next_offset = 0
        # All offsets from `_read_from` to `_next_offset` have been read.
        self._read_from = 0
        self._is_anchored = True
        self._last_full_at: datetime | None = None
        # Publications that can be judged only when a carried sheet arrives.
        self._pending: list[PlacedRecord] = []
        # A record of a newer format may have replaced any version below this.
        self._blocked_below = 0

    @property
    def sheet(self) -> Sheet:
        """The sheet in force; version 0 before one has been read."""
        return self._held.sheet

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self._next_offset

    @property
    def is_anchored(self) -> bool:
        """Whether the sheet is certainly the one in force at `next_offset`."""
        return self._is_anchored

    @property
    def is_blocked(self) -> bool:
        """Whether a newer format may have replaced the sheet that is held."""
        return self.sheet.version < self._blocked_below

    def apply_batch(self, batch: LogBatch) -> list[SheetChange]:
        """Fold all records of a batch.

        Parameters
        ----------
        batch : LogBatch
            Read from `next_offset` on.

        Returns
        -------
        list of SheetChange
            In order; empty if the sheet has not changed.
        """
        changes = [c for r in batch.records if (c := self.apply(r)) is not None]
        if batch.next_offset > self._next_offset:
            self._note_gap(batch.next_offset)
            self._next_offset = batch.next_offset
        return changes

    def apply(self, record: LogRecord) -> SheetChange | None:
        """Fold one record.

        Parameters
        ----------
        record : LogRecord
            The next record of the topic. One that was read before is ignored;
            a gap before it means that retention has deleted records.

        Returns
        -------
        SheetChange or None
            None if the sheet has not changed.
        """
        if record.offset < self._next_offset:
            return None
        self._note_gap(record.offset)
        self._next_offset = record.offset + 1
        match decode_record(record.value):
            case Failure(NewerFormat() as newer):
                self._note_newer_format(newer, record.offset)
            case Failure(str(detail)):
                self._ignore(record.offset, IgnoreReason.MALFORMED, detail)
            case Success(part):
                placed = self._assembler.add(part, record)
                if placed is None:
                    return None
                if placed.record.kind is RecordKind.CARRY_FORWARD:
                    return self._fold_carried(placed)
                return self._fold_publication(placed)
        return None

    def adopt(self, snapshot_bytes: bytes) -> SheetChange | None:
        """Take the sheet of a peer if it is newer.

        Parameters
        ----------
        snapshot_bytes : bytes
            What the peer returned for ``GET /control/sheet``.

        Returns
        -------
        SheetChange or None
            None if the version is not higher than the one held, or if the
            snapshot is not usable.
        """
        match decode_snapshot(snapshot_bytes):
            case Failure(detail):
                self._ignore(-1, IgnoreReason.MALFORMED, detail)
                return None
            case Success((snapshot, found)):
                pass
        previous = self.sheet
        is_newer = snapshot.version > previous.version
        if is_newer:
            was_blocked = self.is_blocked
            self._held = found
            if was_blocked and not snapshot.anchored:
                self._is_anchored = False
        elif (snapshot.version, snapshot.digest) != (previous.version, previous.digest):
            detail = f"version {snapshot.version} is not above {previous.version}"
            self._ignore(-1, IgnoreReason.NOT_NEWER, detail)
            return None
        if snapshot.anchored and snapshot.next_offset > self._next_offset:
            # Continue where the peer stands, without reading what is before.
            self._next_offset = self._read_from = snapshot.next_offset
            self._pending.clear()
            self._assembler = PartAssembler()
            self._is_anchored = True
            self._last_full_at = snapshot.last_full_at
        elif snapshot.anchored:
            self._anchor(snapshot.next_offset, is_newer)
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
        """Say whether the whole sheet should be appended again.

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
            True if the last whole sheet is older than half the retention. A
            process that is not anchored waits for the whole retention: others
            know better what is in force, if there are any.
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
        """Make the record that repeats the sheet in force.

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
            To be encoded and appended.
        """
        return make_carry_forward(
            self.sheet,
            publication=publication,
            operator=instance,
            written_at=now,
            as_of=self._resume_offset(),
        )

    def _resume_offset(self) -> int:
        """Return where another reader has to start to continue this fold.

        It is before the first part of any record that is still incomplete.
        """
        return self._assembler.first_open_offset(self._next_offset)

    def _note_gap(self, offset: int) -> None:
        if offset > self._next_offset:
            self._read_from = offset
            self._is_anchored = False
            self._pending.clear()

    def _note_newer_format(self, newer: NewerFormat, offset: int) -> None:
        version = self.sheet.version
        successor = (Base(version, self.sheet.digest), version + 1)
        is_certain = self._is_anchored and not self.is_blocked
        if is_certain and newer.base and (newer.base, newer.version) != successor:
            detail = f"base {newer.base.version}, version {version} is in force"
            self._ignore(offset, IgnoreReason.NOT_THE_BASE, detail)
            return
        self._blocked_below = max(self._blocked_below, newer.version)
        detail = f"format {newer.format} needs newer software"
        self._ignore(offset, IgnoreReason.NEWER_FORMAT, detail)

    def _fold_publication(self, placed: PlacedRecord) -> SheetChange | None:
        record = placed.record
        base = record.base
        base_version = base.version if base is not None else 0
        if not self._is_anchored or self.is_blocked:
            self._set_aside(placed)
            return None
        is_base = (base_version, base.digest if base is not None else "") == (
            self.sheet.version,
            self.sheet.digest,
        )
        if not is_base or record.version != base_version + 1:
            detail = f"base {base_version}, version {self.sheet.version} is in force"
            self._ignore_placed(placed, IgnoreReason.NOT_THE_BASE, detail)
            return None
        result = self._verified(placed, self._held)
        if result is None:
            return None
        if base is None:
            self._last_full_at = placed.first_appended_at
        return self._hold(result, placed)

    def _set_aside(self, placed: PlacedRecord) -> None:
        self._pending.append(placed)
        if len(self._pending) > MAX_PENDING:
            # An earlier anchor could not be folded from exactly any more.
            self._read_from = self._pending.pop(0).offset + 1

    def _fold_carried(self, placed: PlacedRecord) -> SheetChange | None:
        record = placed.record
        # Comparing with the rows held costs less than hashing them: 17,000 rows
        # take about 0.1 s to hash, during which a process does nothing else.
        is_held = self._is_held(record)
        result = self._held
        if not is_held or not has_exactly(self.sheet, record.put):
            verified = self._verified(placed, _NOTHING)
            if verified is None:
                return None
            result = verified
        change = None
        if record.version > self.sheet.version:
            change = self._hold(result, placed)
        if is_held or change is not None:
            self._last_full_at = placed.first_appended_at
        else:
            detail = f"version {record.version} is carried, not the one in force"
            self._ignore_placed(placed, IgnoreReason.NOT_NEWER, detail)
            if record.version == self.sheet.version:
                return None
        later = self._anchor(record.as_of, change is not None)
        if change is not None and later is not None:
            return replace(later, previous=change.previous)
        return later or change

    def _is_held(self, record: SheetRecord) -> bool:
        held = self.sheet
        return (record.version, record.digest) == (held.version, held.digest)

    def _verified(
        self, placed: PlacedRecord, base: DigestedSheet
    ) -> DigestedSheet | None:
        record = placed.record
        result = apply_delta(base, record.delta(), record.version)
        if result.sheet.digest == record.digest:
            return result
        detail = f"the rows give {result.sheet.digest}, stated {record.digest}"
        self._ignore_placed(placed, IgnoreReason.DIGEST_MISMATCH, detail)
        return None

    def _hold(self, result: DigestedSheet, placed: PlacedRecord) -> SheetChange:
        record = placed.record
        previous = self.sheet
        self._held = result
        return SheetChange(
            previous,
            result.sheet,
            Source(record.kind.value),
            record.publication,
            record.operator,
            placed.offset,
        )

    def _anchor(self, as_of: int, is_newer: bool) -> SheetChange | None:
        """Fold again from `as_of`, where a carried sheet was in force.

        `is_newer` says that the carried sheet has just replaced the one held.
        """
        if as_of < self._read_from:
            if is_newer:
                # Successors of the new sheet may be among the unread records.
                self._is_anchored = False
            return None
        if self.is_blocked:
            return None
        self._is_anchored = True
        pending, self._pending = self._pending, []
        change: SheetChange | None = None
        for placed in pending:
            if placed.offset < as_of:
                continue
            found = self._fold_publication(placed)
            if found is not None and change is not None:
                found = replace(found, previous=change.previous)
            change = found or change
        return change

    def _ignore_placed(
        self, placed: PlacedRecord, reason: IgnoreReason, detail: str
    ) -> None:
        self._ignore(placed.offset, reason, detail, placed.record.publication)

    def _ignore(
        self, offset: int, reason: IgnoreReason, detail: str, publication: str = ""
    ) -> None:
        if self._on_ignored is not None:
            self._on_ignored(IgnoredRecord(offset, reason, detail, publication))
