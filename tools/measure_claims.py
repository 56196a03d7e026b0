"""Measures the rate and latency of claims, and the memory of the claim ledger.

The stand-in of the log runs in a separate process. CPU time is that of this process,
which runs one claimant. Run it with ``PYTHONPATH=src:tools``.
"""

import asyncio
import gc
import json
import subprocess
import sys
import time
import tracemalloc
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import UTC, datetime

from absl import app, flags

from pomelothread.clock import SystemClock
from pomelothread.log.claim_records import (
    Claim,
    ClaimantId,
    ClaimRecord,
    Done,
    encode_batch,
)
from pomelothread.log.claim_results import Claimed
from pomelothread.log.claims import Claimant
from pomelothread.log.client import HttpLogClient
from pomelothread.log.keys import body_digest, scope_digest
from pomelothread.log.ledger import ClaimLedger
from pomelothread.log.records import LogRecord

KEY_LIFE_S = 86_400.0
BODY = b"x" * 500
RESPONSE = b"y" * 200

_N_CALLERS = flags.DEFINE_list("n_callers", ["1", "16", "256"], "Concurrent claims.")
_DURATION_S = flags.DEFINE_float("duration_s", 5.0, "Length of each run in seconds.")
_N_KEYS = flags.DEFINE_list("n_keys", ["20000", "120000"], "Keys in the ledger.")


@contextmanager
def log_process() -> Iterator[str]:
    """Run the stand-in of the log and yield its address."""
    command = [sys.executable, "-m", "standins.log_service", "--port=0"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        try:
            yield json.loads(process.stdout.readline())["address"]
        finally:
            process.terminate()


def quantile(values: list[float], share: float) -> float:
    """Return the value below which `share` of the values lie."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


async def measure_rate(address: str, n_callers: int, duration_s: float) -> None:
    """Claim and finish new keys concurrently; print rate, latency and CPU time."""
    client = HttpLogClient(address)
    pool = f"pool-{n_callers}"
    claimant = Claimant(client, pool, "instance-1", SystemClock())
    running = asyncio.create_task(claimant.run())
    await claimant.tail.wait_caught_up()
    claim_times_s: list[float] = []
    n_others = 0
    ends_s = time.monotonic() + duration_s

    async def call(caller: int) -> None:
        nonlocal n_others
        n_calls = 0
        while time.monotonic() < ends_s:
            n_calls += 1
            began_s = time.monotonic()
            result = await claimant.claim(
                f"{caller}-{n_calls}", BODY, "print", "club", KEY_LIFE_S
            )
            match result:
                case Claimed(token):
                    claim_times_s.append(time.monotonic() - began_s)
                    await claimant.finish(token, 201, (), RESPONSE)
                case _:
                    n_others += 1

    cpu_began_s = time.process_time()
    began_s = time.monotonic()
    await asyncio.gather(*(call(caller) for caller in range(n_callers)))
    await claimant.flush()
    elapsed_s = time.monotonic() - began_s
    cpu_s = time.process_time() - cpu_began_s
    running.cancel()
    client.close()
    with urllib.request.urlopen(f"http://{address}/_state") as response:
        state = json.load(response)
    n_claims = len(claim_times_s)
    print(
        f"n_callers={n_callers} claims_per_s={n_claims / elapsed_s:.0f} "
        f"p50_ms={quantile(claim_times_s, 0.5) * 1000:.1f} "
        f"p99_ms={quantile(claim_times_s, 0.99) * 1000:.1f} "
        f"cpu_us_per_claim={cpu_s / n_claims * 1e6:.0f} other_results={n_others} "
        f"appends_per_s={state['counts']['appends'] / elapsed_s:.0f} "
        f"bytes_per_claim={state['counts']['append_bytes'] / n_claims:.0f}"
    )


def filled_ledger(n_keys: int) -> ClaimLedger:
    """Return a ledger with a claim and a response for each of `n_keys` keys."""
    ledger = ClaimLedger()
    author = ClaimantId("instance-1", 0, "0123456789abcdef")
    at = datetime.now(UTC)
    life_ms = round(KEY_LIFE_S * 1000)
    expires_at_ms = round(at.timestamp() * 1000) + life_ms
    body = body_digest(BODY)
    for n in range(n_keys):
        key = scope_digest("club", "print", str(n))
        claim = Claim(key, body_digest(str(n).encode()), "print", "club", 1, life_ms)
        done = Done(key, body, 1, 2 * n, expires_at_ms, 201, (), RESPONSE)
        records: tuple[ClaimRecord, ...] = (claim, done)
        for offset, record in enumerate(records, 2 * n):
            value = encode_batch(author, offset, [record])
            ledger.apply(LogRecord("claims.pool", offset, at, value))
    return ledger


def measure_memory(sizes: list[int]) -> None:
    """Print the memory of the ledger by size, and the memory of each further key."""
    used_bytes = []
    for n_keys in sizes:
        gc.collect()
        tracemalloc.start()
        ledger = filled_ledger(n_keys)
        gc.collect()
        used_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        assert len(ledger.entries) == n_keys
        del ledger
    slope = (used_bytes[-1] - used_bytes[0]) / (sizes[-1] - sizes[0])
    print(f"n_keys={sizes} used_bytes={used_bytes} bytes_per_key={slope:.0f}")


def measure_fold(n_keys: int) -> None:
    """Print the CPU time to encode one key's records and apply them to a ledger."""
    cpu_began_s = time.process_time()
    filled_ledger(n_keys)
    cpu_s = time.process_time() - cpu_began_s
    print(f"encode and fold: cpu_us_per_key={cpu_s / n_keys * 1e6:.0f}")


def main(argv: list[str]) -> None:
    """Print all measurements."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    for n_callers in map(int, _N_CALLERS.value):
        with log_process() as address:
            asyncio.run(measure_rate(address, n_callers, _DURATION_S.value))
    sizes = [int(size) for size in _N_KEYS.value]
    measure_fold(sizes[0])
    measure_memory(sizes)


if __name__ == "__main__":
    app.run(main)
