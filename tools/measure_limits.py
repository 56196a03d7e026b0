"""Measures what the limits of upstreams cost, and how much of them callers get.

It simulates gateways whose callers send far more than some upstreams take.
``python -m measure_limits`` prints one JSON line for each number of gateways.
"""

import json
import logging
import sys
import time
from collections.abc import Sequence

from absl import app, flags

from limit_fleet import LimitFleet
from pomelothread.policy.cells import MAX_UNDIVIDED_GATEWAYS

RATE_PER_S = 1.9
# Time in which gateways hear of each other, and divide into cells if they are many.
START_S = 6.0
DIVISION_S = 6.0
# Time after the first limit that is not measured, and the time that is.
LEARN_S = 2.0
MEASURED_S = 8.0


def measure(
    n_gateways: int, n_upstreams: int, requests_per_s: float
) -> dict[str, object]:
    """Simulate one fleet and return its figures."""
    fleet = LimitFleet(n_gateways, [None] * n_upstreams, requests_per_s=requests_per_s)
    is_divided = n_gateways > MAX_UNDIVIDED_GATEWAYS
    fleet.run(START_S + DIVISION_S * is_divided)
    fleet.sent_bytes.clear()
    fleet.run(LEARN_S)
    before = {address: n / LEARN_S for address, n in fleet.sent_bytes.items()}
    upstreams = list(fleet.upstreams.values())
    for upstream in upstreams:
        upstream.rate_per_s = RATE_PER_S
    fleet.run(LEARN_S)
    fleet.sent_bytes.clear()
    from_s, cpu_s = fleet.clock.monotonic_s(), time.process_time()
    fleet.run(MEASURED_S)
    cpu_s = time.process_time() - cpu_s
    after = sorted(n / MEASURED_S for n in fleet.sent_bytes.values())
    shares = [
        sum(a.at_s > from_s for a in upstream.arrivals) / (RATE_PER_S * MEASURED_S)
        for upstream in upstreams
    ]
    return {
        "n_gateways": n_gateways,
        "n_cells": max(node.peers.n_cells for node in fleet.nodes.values()),
        "n_upstreams": n_upstreams,
        "requests_per_s": n_gateways * requests_per_s,
        "share_min": round(min(shares), 3),
        "share_max": round(max(shares), 3),
        "excess_max": round(max(upstream.excess() for upstream in upstreams), 1),
        "bytes_per_s_max_before": round(max(before.values(), default=0.0)),
        "bytes_per_s_max": round(after[-1]),
        "bytes_per_s_median": round(after[len(after) // 2]),
        "simulated_core_share": round(cpu_s / MEASURED_S / n_gateways, 4),
    }


def main(argv: Sequence[str]) -> int:
    """Print the figures of each size."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    logging.disable(logging.CRITICAL)
    values = flags.FLAGS
    for n_gateways in map(int, values.sizes):
        figures = measure(n_gateways, values.upstreams, values.requests_per_s)
        print(json.dumps(figures), flush=True)
    return 0


if __name__ == "__main__":
    flags.DEFINE_list("sizes", ["6", "68", "410"], "numbers of gateways")
    flags.DEFINE_integer("upstreams", 4, "upstreams that name a limit", 1)
    flags.DEFINE_float("requests_per_s", 2.0, "requests of each gateway", 0.0)
    sys.exit(app.run(main))
