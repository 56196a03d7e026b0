"""Measures size, memory and CPU time of the replicated sheet at the design scale.

``PYTHONPATH=src:tools python tools/measure_sheet.py`` prints one JSON object.
"""

import hashlib
import json
import time
import tracemalloc
from datetime import UTC, datetime, timedelta
from itertools import pairwise
from typing import Any

import msgspec
from absl import app, flags

from pomelothread.log.records import LogRecord
from pomelothread.operators.deltas import make_delta, with_digest
from pomelothread.operators.publications import (
    encode_record,
    make_carry_forward,
    make_publication,
)
from pomelothread.operators.replication import SheetReplica
from pomelothread.operators.sheet import Organisation, Service, Sheet, Tier

START = datetime(2026, 3, 1, tzinfo=UTC)
CHANGES_PER_DAY = 2700


def make_sheet(n_organisations: int) -> Sheet:
    """Return a sheet of 4 tiers, 7 services and `n_organisations` organisations."""
    names = [f"organisation-{i:05d}" for i in range(n_organisations)]
    organisations = {
        name: Organisation(
            name,
            hashlib.sha256(name.encode()).hexdigest(),
            share=1.0 + i % 7,
            max_waiting=100 + i % 900,
        )
        for i, name in enumerate(names)
    }
    tiers = {f"tier-{i}": Tier(f"tier-{i}", i, protected=i == 0) for i in range(4)}
    services = {
        f"service-{i}": Service(
            f"service-{i}", "pool", f"tier-{i % 4}", "model", 30.0, model=f"m-{i}"
        )
        for i in range(7)
    }
    rows = Sheet(tiers=tiers, organisations=organisations, services=services)
    return msgspec.structs.replace(with_digest(rows).sheet, version=1)


def publication_values(base: Sheet, new: Sheet) -> list[dict[str, Any]]:
    """Return the encoded publication of a new sheet, as a delta to its base."""
    record = make_publication(
        base,
        make_delta(base, new),
        new.digest,
        publication="0" * 32,
        operator="operator",
        written_at=START,
        as_of=1000,
    )
    return encode_record(record)


def change_one_row(base: Sheet, index: int) -> Sheet:
    """Return the next version of a sheet, with another share for one organisation."""
    organisations = dict(base.organisations)
    name = list(organisations)[index % len(organisations)]
    row = organisations[name]
    organisations[name] = msgspec.structs.replace(row, share=row.share + 0.5)
    rows = msgspec.structs.replace(base, organisations=organisations)
    return msgspec.structs.replace(with_digest(rows).sheet, version=base.version + 1)


def json_size_bytes(values: list[dict[str, Any]]) -> int:
    """Return the size of values in JSON, as the log stores them."""
    return sum(len(msgspec.json.encode(value)) for value in values)


def fold(replica: SheetReplica, values: list[bytes], first_offset: int) -> None:
    """Decode values and apply them to a replica, as a reader of the log does."""
    for offset, data in enumerate(values, first_offset):
        value = msgspec.json.decode(data)
        now = START + timedelta(seconds=offset)
        replica.apply(LogRecord("sheet", offset, now, value))


def held_bytes(n_organisations: int) -> int:
    """Return the memory of a replica that has read a sheet from the log."""
    values = publication_values(Sheet(), make_sheet(n_organisations))
    encoded = [msgspec.json.encode(value) for value in values]
    del values
    tracemalloc.start()
    replica = SheetReplica()
    fold(replica, encoded, 0)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert replica.sheet.version == 1
    return size_bytes


def measure(n_organisations: int, n_deltas: int) -> dict[str, float]:
    """Measure sizes, memory and CPU time.

    Parameters
    ----------
    n_organisations : int
        Number of organisations.
    n_deltas : int
        Number of changes to apply, of one row each.

    Returns
    -------
    dict of str to float
        Figures by name; a name ends in its unit.
    """
    first = make_sheet(n_organisations)
    full = publication_values(Sheet(), first)
    sheets = [first]
    for index in range(n_deltas):
        sheets.append(change_one_row(sheets[-1], index * 7919))
    deltas = [publication_values(base, new) for base, new in pairwise(sheets)]
    delta_data = [msgspec.json.encode(value) for values in deltas for value in values]
    replica = SheetReplica()
    begin_s = time.process_time()
    fold(replica, [msgspec.json.encode(value) for value in full], 0)
    full_cpu_s = time.process_time() - begin_s
    begin_s = time.process_time()
    fold(replica, delta_data, len(full))
    delta_cpu_s = (time.process_time() - begin_s) / n_deltas
    assert replica.sheet == sheets[-1]
    begin_s = time.process_time()
    carried = encode_record(
        make_carry_forward(
            replica.sheet,
            publication="0" * 32,
            operator="node",
            written_at=START,
            as_of=replica.next_offset,
        )
    )
    write_carried_cpu_s = time.process_time() - begin_s
    carried_data = [msgspec.json.encode(value) for value in carried]
    begin_s = time.process_time()
    fold(replica, carried_data, replica.next_offset)
    read_carried_cpu_s = time.process_time() - begin_s
    half = n_organisations // 2
    slope = (held_bytes(n_organisations) - held_bytes(half)) / (n_organisations - half)
    delta_bytes = sum(map(len, delta_data)) / n_deltas
    begin_s = time.process_time()
    with_digest(first)
    digest_cpu_s = time.process_time() - begin_s
    return {
        "n_organisations": n_organisations,
        "delta_record_bytes": round(delta_bytes),
        "deltas_at_2700_a_day_bytes_per_s": delta_bytes * CHANGES_PER_DAY / 86_400,
        "full_record_bytes": json_size_bytes(full),
        "full_record_parts": len(full),
        "carry_forward_bytes": json_size_bytes(carried),
        "snapshot_bytes": len(replica.snapshot()),
        "held_per_organisation_bytes": slope,
        "held_total_bytes": held_bytes(n_organisations),
        "apply_delta_cpu_ms": delta_cpu_s * 1000,
        "apply_full_cpu_ms": full_cpu_s * 1000,
        "write_carry_forward_cpu_ms": write_carried_cpu_s * 1000,
        "read_carry_forward_cpu_ms": read_carried_cpu_s * 1000,
        "digest_of_all_rows_cpu_ms": digest_cpu_s * 1000,
    }


def main(argv: list[str]) -> None:
    """Print the figures."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    figures = measure(flags.FLAGS.organisations, flags.FLAGS.deltas)
    print(json.dumps({k: round(v, 3) for k, v in figures.items()}, indent=2))


if __name__ == "__main__":
    flags.DEFINE_integer("organisations", 17_000, "Number of organisations.")
    flags.DEFINE_integer("deltas", 50, "Number of changes to apply, of one row each.")
    app.run(main)
