"""Snapshot of the sheet for another process (`GET /control/sheet`)."""

from datetime import datetime

import msgspec
from returns.result import Failure, Result, Success

from ..undecodable import UNDECODABLE
from .deltas import DigestedSheet, RowsPut, SheetDelta, apply_delta
from .digests import COLLECTIONS, EMPTY_TREE, compact_row
from .publications import FORMAT
from .sheet import Sheet

SNAPSHOT_CONTENT_TYPE = "application/msgpack"


class Snapshot(msgspec.Struct, frozen=True):
    """A whole sheet with the read position of the process that sends it.

    Parameters
    ----------
    format : int
        Format of the rows; the same numbers as in log records.
    version : int
        Version of the sheet.
    digest : str
        Digest of the sheet.
    next_offset : int
        The sender's read position on the topic.
    anchored : bool
        Whether the sheet is known to be the one in force at `next_offset`.
    last_full_at : datetime or None
        When the last whole sheet was appended to the topic.
    rows : RowsPut
        All rows.
    """

    format: int
    version: int
    digest: str
    next_offset: int
    anchored: bool
    last_full_at: datetime | None
    rows: RowsPut


def encode_snapshot(
    sheet: Sheet, next_offset: int, anchored: bool, last_full_at: datetime | None
) -> bytes:
    """Encode a snapshot of the sheet.

    Parameters
    ----------
    sheet : Sheet
        The sheet.
    next_offset : int
        Read position.
    anchored : bool
        Whether the sheet is known to be the one in force there.
    last_full_at : datetime or None
        When the last whole sheet was appended.

    Returns
    -------
    bytes
        MessagePack, with the fields of `Snapshot`.
    """
    snapshot = {
        "format": FORMAT,
        "version": sheet.version,
        "digest": sheet.digest,
        "next_offset": next_offset,
        "anchored": anchored,
        "last_full_at": last_full_at,
        "rows": {
            c: [compact_row(row) for row in getattr(sheet, c).values()]
            for c in COLLECTIONS
        },
    }
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> Result[tuple[Snapshot, DigestedSheet], str]:
    """Decode and verify a snapshot.

    Parameters
    ----------
    data : bytes
        The snapshot as received.

    Returns
    -------
    Result of (Snapshot, DigestedSheet) or str
        The str explains why the snapshot cannot be used.

    Examples
    --------
    >>> decode_snapshot(encode_snapshot(Sheet(version=3), 0, True, None)).failure()
    'the rows do not have the stated digest'
    """
    try:
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    except UNDECODABLE as error:
        return Failure(f"malformed snapshot: {error}")
    if snapshot.format > FORMAT:
        return Failure(f"format {snapshot.format} is newer than {FORMAT}")
    digested = apply_delta(
        DigestedSheet(Sheet(), EMPTY_TREE), SheetDelta(snapshot.rows), snapshot.version
    )
    # A process that has not read a sheet yet sends version 0 and no digest.
    if snapshot.version and digested.sheet.digest != snapshot.digest:
        return Failure("the rows do not have the stated digest")
    return Success((snapshot, digested))
