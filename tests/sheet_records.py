"""Small sheets, and the log records that publish them, for tests."""

import asyncio
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

import msgspec

from pomelothread.clock import ManualClock
from pomelothread.log.records import LogRecord
from pomelothread.operators import publications
from pomelothread.operators.deltas import make_delta, with_digest
from pomelothread.operators.sheet import Organisation, Sheet, Tier

START = datetime(2026, 3, 1, tzinfo=UTC)
T = TypeVar("T")


def sheet(version: int, **shares: float) -> Sheet:
    """Return a sheet with a digest and one organisation for each keyword."""
    organisations = {n: Organisation(n, "00", share=s) for n, s in shares.items()}
    tiers = {"checks": Tier("checks", 0, protected=True)}
    rows = Sheet(version=version, tiers=tiers, organisations=organisations)
    return with_digest(rows).sheet


def publication(base: Sheet, new: Sheet, by: str = "asha", **changes: Any) -> list[Any]:
    """Return the log values that publish `new` as a change of `base`."""
    record = publications.make_publication(
        base,
        make_delta(base, new),
        new.digest,
        publication=f"{by}-{new.digest[:6]}-on-{base.version}",
        operator=by,
        written_at=START,
        as_of=0,
    )
    return publications.encode_record(msgspec.structs.replace(record, **changes))


def carry_forward_values(held: Sheet, as_of: int) -> list[Any]:
    """Return the log values of a carry-forward record for a sheet."""
    return publications.encode_record(
        publications.make_carry_forward(
            held,
            publication=f"carry-{held.version}-{as_of}",
            operator="node",
            written_at=START,
            as_of=as_of,
        )
    )


def log_records(*values: Any, first_offset: int = 0) -> list[LogRecord]:
    """Return log records with these values, written one second apart."""
    return [
        LogRecord("sheet", offset, START + timedelta(seconds=offset), value)
        for offset, value in enumerate(values, first_offset)
    ]


async def settle() -> None:
    """Run all tasks until they wait for the clock."""
    for _ in range(25):
        await asyncio.sleep(0)


async def run_with_clock(
    clock: ManualClock, call: Coroutine[Any, Any, T], step_s: float = 0.25
) -> T:
    """Run a call to its end, advancing the clock whenever it waits."""
    task = asyncio.ensure_future(call)
    await settle()
    while not task.done():
        clock.advance(step_s)
        await settle()
    return task.result()
