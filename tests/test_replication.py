"""Tests of the replica: which records are applied, ignored or deferred."""

from dataclasses import replace
from datetime import timedelta
from typing import Any

import msgspec
import pytest
from naive_sheet import NaiveReplica
from sheet_records import START, carry_forward_values, log_records, publication, sheet

from pomelothread.log.records import LogBatch
from pomelothread.operators import publications
from pomelothread.operators.changes import IgnoredRecord, IgnoreReason, Source
from pomelothread.operators.deltas import apply_delta, make_delta, with_digest
from pomelothread.operators.digests import sheet_digest
from pomelothread.operators.replication import MAX_DEFERRED, SheetReplica
from pomelothread.operators.sheet import Sheet

EMPTY = Sheet()
V1 = sheet(1, club=1)
V2 = sheet(2, club=2)
RIVAL_V2 = sheet(2, club=9)
V3 = sheet(3, club=2, school=1)


def replay(*values: Any, first_offset: int = 0) -> SheetReplica:
    replica = SheetReplica()
    for record in log_records(*values, first_offset=first_offset):
        replica.apply(record)
    return replica


IN_SEQUENCE = publication(EMPTY, V1) + publication(V1, V2) + publication(V2, V3)
RACE = IN_SEQUENCE[:2] + publication(V1, RIVAL_V2, "ben")
LATE = IN_SEQUENCE + publication(V1, RIVAL_V2, "ben")


@pytest.mark.parametrize("replica_type", [SheetReplica, NaiveReplica])
def test_publications_in_sequence_come_into_force(replica_type: Any):
    replica = replica_type()
    for record in log_records(*IN_SEQUENCE):
        replica.apply(record)
    assert replica.sheet == V3


@pytest.mark.parametrize(
    ("values", "winner"), [(RACE, V2), (LATE, V3)], ids=["race", "late"]
)
def test_the_first_publication_by_offset_wins_and_later_ones_are_ignored(
    values: list[Any], winner: Sheet
):
    # Guards against overwriting an accepted sheet with one made from an older
    # version. The last-writer-wins replica shows that the case tells them apart.
    naive = NaiveReplica()
    for record in log_records(*values):
        naive.apply(record)
    assert replay(*values).sheet == winner
    assert naive.sheet != winner


def test_the_incremental_digest_equals_that_of_the_whole_sheet():
    held = with_digest(V1)
    for version, new in enumerate([V2, V3, sheet(4), sheet(5, a=1, b=2.5)], 2):
        held = apply_delta(held, make_delta(held.sheet, new), version)
        assert held.sheet.digest == sheet_digest(new) == new.digest


def test_a_row_put_twice_counts_once_and_put_wins_over_removed():
    # Guards against a digest that includes rows that are not in the sheet.
    delta = msgspec.structs.replace(
        make_delta(V1, V2), removed=make_delta(V1, sheet(2)).removed
    )
    twice = msgspec.structs.replace(
        delta.put, organisations=delta.put.organisations * 2
    )
    delta = msgspec.structs.replace(delta, put=twice)
    result = apply_delta(with_digest(V1), delta, 2)
    assert result.sheet.digest == V2.digest


def test_a_whole_number_in_a_float_field_has_the_digest_of_the_float():
    # Guards against records whose stated digest no reader can reproduce.
    as_int, as_float = sheet(1, club=2), sheet(1, club=2.0)
    assert as_int.digest == as_float.digest


def partly_valid_record() -> Any:
    [value] = publication(V1, V3, version=2)
    value["put"]["organisations"][0] = {"name": "club", "share": "two"}
    return value


MALFORMED = {
    "not an object": ["rows"],
    "one row of several is malformed": partly_valid_record(),
    "version 0": publication(EMPTY, V1, version=0)[0],
    "part beyond the last": publication(V1, V2)[0] | {"part": 3},
    "time without zone": publication(V1, V2)[0] | {"written_at": "2026-03-01T00:00:00"},
    "digest": publication(V1, V2, digest="00")[0],
    "version is not the base's successor": publication(V1, V2, version=7)[0],
    "digest of the base": publication(msgspec.structs.replace(V1, digest="0"), V2)[0],
    "a second first publication": publication(EMPTY, RIVAL_V2)[0],
}


@pytest.mark.parametrize("value", MALFORMED.values(), ids=MALFORMED.keys())
def test_an_unusable_record_is_reported_and_does_not_change_the_sheet(value: Any):
    # Guards against applying a part of the rows, and against a reader that stops.
    ignored: list[IgnoredRecord] = []
    replica = SheetReplica(ignored.append)
    for record in log_records(*publication(EMPTY, V1), value, *publication(V1, V2)):
        replica.apply(record)
    assert replica.sheet == V2
    assert [i.offset for i in ignored] == [1]


def test_a_record_read_twice_changes_nothing():
    records = log_records(*IN_SEQUENCE)
    replica = SheetReplica()
    for record in records + records:
        replica.apply(record)
    assert (replica.sheet, replica.is_anchored) == (V3, True)


# Tests of retention: offsets before `first_offset` have been deleted.


def test_a_reader_after_retention_starts_from_the_carried_sheet():
    # The ignored publication at offset 50 must not be taken for the first one, nor
    # the late one at 52 for the successor of version 2.
    loser = publication(EMPTY, RIVAL_V2)
    values = [*loser, *carry_forward_values(V2, 51), *publication(V1, RIVAL_V2, "ben")]
    replica = replay(*values, *publication(V2, V3), first_offset=50)
    assert (replica.sheet, replica.is_anchored) == (V3, True)


def test_a_stale_carried_sheet_does_not_let_a_losing_publication_win():
    # The writer of the carried sheet paused after it had read up to offset 20.
    # Version 2 came into force at 30, before the reader's first record at 40.
    values = [
        *carry_forward_values(V1, 20),
        *publication(V1, RIVAL_V2, "ben"),
        *carry_forward_values(V2, 42),
    ]
    replica = replay(*values[:2], first_offset=40)
    assert (replica.sheet, replica.is_anchored) == (V1, False)
    assert replay(*values, first_offset=40).sheet == V2


def test_a_publication_between_the_writers_position_and_its_record_is_applied():
    values = [*publication(V1, V2), *carry_forward_values(V1, 40)]
    replica = SheetReplica()
    changes = [replica.apply(r) for r in log_records(*values, first_offset=40)]
    assert changes[0] is None
    assert changes[1] is not None
    assert (changes[1].previous, changes[1].sheet) == (EMPTY, V2)


def test_an_older_carried_sheet_does_not_overwrite_a_newer_one():
    replica = replay(*IN_SEQUENCE, *carry_forward_values(V1, 1))
    assert replica.sheet == V3


def test_a_gap_while_running_keeps_the_sheet_and_defers_publications():
    replica = replay(*publication(EMPTY, V1))
    changes = replica.apply_batch(LogBatch((), 9, n_expired=8))
    late = log_records(*publication(V1, RIVAL_V2, "ben"), first_offset=9)
    changes += replica.apply_batch(LogBatch(tuple(late), 10))
    assert (changes, replica.sheet, replica.is_anchored) == ([], V1, False)
    assert (
        replica.apply(log_records(*carry_forward_values(V3, 10), first_offset=10)[0])
        is not None
    )
    assert (replica.sheet, replica.is_anchored) == (V3, True)


def test_the_number_of_deferred_publications_is_bounded():
    # The replica must not be anchored before a publication that was dropped.
    flood = publication(V1, RIVAL_V2, "ben") * (MAX_DEFERRED + 1)
    replica = replay(*flood, *carry_forward_values(V1, 5), first_offset=5)
    assert (replica.sheet, replica.is_anchored) == (V1, False)


@pytest.mark.parametrize(("share", "due"), [(0.49, False), (0.51, True)])
def test_the_sheet_is_carried_forward_at_half_the_retention(share: float, due: bool):
    replica = replay(*publication(EMPTY, V1), *publication(V1, V2))
    assert replica.carry_forward_due(START + timedelta(days=7 * share), 604_800) is due


def test_a_carried_sheet_with_wrong_rows_does_not_delay_the_next_one():
    # Guards against retention deleting the last whole sheet before it is repeated.
    [bad] = carry_forward_values(V1, 1)
    bad["put"]["organisations"] = []
    first, second = log_records(*publication(EMPTY, V1), bad)
    late = START + timedelta(days=4)
    replica = SheetReplica()
    replica.apply(first)
    replica.apply(replace(second, appended_at=late))
    assert replica.carry_forward_due(late, 604_800)


# Tests of records in newer formats.


def newer_format_record(version: Any, base: Sheet | None = None) -> dict[str, Any]:
    stated = base and {"version": base.version, "digest": base.digest}
    return {"format": 99, "version": version, "base": stated, "rows": "zip"}


@pytest.mark.parametrize("record", [newer_format_record(2, V1), newer_format_record(2)])
def test_a_newer_format_keeps_the_sheet_and_blocks_publications(record: Any):
    # Guards against accepting a publication that newer processes have ignored.
    replica = replay(*publication(EMPTY, V1), record, *publication(V1, RIVAL_V2, "ben"))
    assert (replica.sheet, replica.is_blocked) == (V1, True)
    assert not replica.carry_forward_due(START + timedelta(days=9), 604_800)


@pytest.mark.parametrize(
    "record",
    [
        newer_format_record("2b"),
        newer_format_record(1, EMPTY),
        newer_format_record(9, V1),
        newer_format_record(2, RIVAL_V2),
    ],
)
def test_a_newer_format_that_cannot_be_in_force_does_not_block_publications(
    record: Any,
):
    # Guards against one invalid record that blocks all later changes.
    replica = replay(*publication(EMPTY, V1), record, *publication(V1, V2))
    assert (replica.sheet, replica.is_blocked) == (V2, False)


def test_a_carried_sheet_not_below_the_newer_format_ends_the_block():
    values = [
        *publication(EMPTY, V1),
        newer_format_record(2),
        *publication(V2, V3),
        *carry_forward_values(V2, 2),
    ]
    assert replay(*values).sheet == V3


# Tests of records in parts.


@pytest.fixture
def _small_parts(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(publications, "MAX_PART_BYTES", 40)


@pytest.mark.usefixtures("_small_parts")
@pytest.mark.parametrize(
    ("order", "accepted"),
    [
        ((0, 1, 2), True),
        ((0, 0, 1, 1, 2, 2), True),
        ((0, 1), False),
        ((0, 2, 1), False),
        ((1, 2), False),
        ((0, 2, 1, 2), False),
    ],
)
def test_parts_take_effect_together_or_not_at_all(
    order: tuple[int, ...], accepted: bool
):
    parts = publication(EMPTY, sheet(1, club=1, school=2))
    assert len(parts) == 3
    replica = replay(*(parts[i] for i in order))
    assert replica.sheet.version == int(accepted)


@pytest.mark.usefixtures("_small_parts")
def test_a_reader_that_continues_from_a_peer_reads_all_parts_of_an_open_record():
    # Guards against continuing from a position in the middle of a divided record.
    first = publication(EMPTY, V1)
    parts = publication(V1, sheet(2, club=1, school=2, guild=3))
    records = log_records(*first, *parts)
    peer = SheetReplica()
    for record in records[:-1]:
        peer.apply(record)
    replica = SheetReplica()
    replica.adopt(peer.snapshot())
    assert replica.next_offset == len(first)
    for record in records[replica.next_offset :]:
        replica.apply(record)
    assert replica.sheet.version == 2


# Tests of snapshots of peers.


def test_a_process_that_starts_during_an_outage_continues_from_its_peer():
    peer = replay(*publication(EMPTY, V1), *publication(V1, V2))
    replica = SheetReplica()
    change = replica.adopt(peer.snapshot())
    assert change is not None
    assert (change.sheet, change.source) == (V2, Source.PEER)
    # Retention has deleted the records before the peer's position.
    for record in log_records(*publication(V2, V3), first_offset=2):
        replica.apply(record)
    assert replica.sheet == V3


def test_a_snapshot_of_an_older_version_is_not_adopted():
    ignored: list[IgnoredRecord] = []
    replica = SheetReplica(ignored.append)
    for record in log_records(*IN_SEQUENCE):
        replica.apply(record)
    assert replica.adopt(replay(*publication(EMPTY, V1)).snapshot()) is None
    assert replica.sheet == V3
    assert [i.reason for i in ignored] == [IgnoreReason.NOT_NEWER]


def test_a_reader_that_is_no_longer_anchored_is_anchored_by_a_peers_snapshot():
    peer = replay(*IN_SEQUENCE)
    replica = replay(*publication(EMPTY, V1))
    replica.apply_batch(LogBatch((), 3, n_expired=2))
    assert not replica.is_anchored
    replica.adopt(peer.snapshot())
    assert (replica.sheet, replica.is_anchored) == (V3, True)


def with_fields_replaced(snapshot: bytes, **changes: Any) -> bytes:
    return msgspec.msgpack.encode(msgspec.msgpack.decode(snapshot) | changes)


@pytest.mark.parametrize(
    "data",
    [
        b"junk",
        with_fields_replaced(replay(*publication(EMPTY, V1)).snapshot(), digest="00"),
        with_fields_replaced(replay(*publication(EMPTY, V1)).snapshot(), format=99),
        with_fields_replaced(
            replay(*publication(EMPTY, V1)).snapshot(), rows={"tiers": [{"rank": 1}]}
        ),
    ],
    ids=["junk", "digest", "format", "rows"],
)
def test_an_unusable_snapshot_is_reported_and_not_adopted(data: bytes):
    ignored: list[IgnoredRecord] = []
    replica = SheetReplica(ignored.append)
    assert replica.adopt(data) is None
    assert replica.sheet == EMPTY
    assert [i.reason for i in ignored] == [IgnoreReason.MALFORMED]
