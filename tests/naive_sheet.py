"""A last-writer-wins replica, which the replication tests must find to be wrong."""

import msgspec

from pomelothread.log.records import LogRecord
from pomelothread.operators.deltas import DigestedSheet, apply_delta
from pomelothread.operators.digests import EMPTY_TREE
from pomelothread.operators.publications import SheetRecord
from pomelothread.operators.sheet import Sheet


class NaiveReplica:
    """Applies every record without a check of its base."""

    def __init__(self) -> None:
        self._held = DigestedSheet(Sheet(), EMPTY_TREE)

    @property
    def sheet(self) -> Sheet:
        return self._held.sheet

    def apply(self, record: LogRecord) -> None:
        sheet_record = msgspec.convert(record.value, SheetRecord)
        self._held = apply_delta(self._held, sheet_record.delta(), sheet_record.version)
