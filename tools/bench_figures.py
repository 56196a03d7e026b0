"""Computes the figures of the benchmark from answers and counters."""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from bench_load import RUN, Answer, Request

N_LATENCY_DIGITS = 3


def quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least a share of the values do not exceed.

    Examples
    --------
    >>> quantile([4.0, 1.0, 3.0, 2.0], 0.5), quantile([1.0, 2.0], 0.99)
    (2.0, 2.0)
    >>> quantile([], 0.5)
    nan
    """
    if not values:
        return math.nan
    position = max(1, math.ceil(share * len(values)))
    return sorted(values)[position - 1]


def tier_figures(answers: Iterable[Answer]) -> dict[str, dict[str, Any]]:
    """Return goodput and latency by tier and pool, in the order of the names.

    Goodput is the share of the offered requests that finished within their
    deadline. Latencies are those of complete responses, including late ones.
    """
    by_tier: dict[str, list[Answer]] = {}
    for answer in answers:
        by_tier.setdefault(answer.request.tier_in_pool, []).append(answer)
    figures: dict[str, dict[str, Any]] = {}
    for tier, tier_answers in sorted(by_tier.items()):
        latencies_s = [a.latency_s for a in tier_answers if a.outcome == RUN]
        outcomes: dict[str, int] = {}
        for answer in tier_answers:
            outcomes[answer.outcome] = outcomes.get(answer.outcome, 0) + 1
        figures[tier] = {
            "n_offered": len(tier_answers),
            "goodput_ratio": sum(a.is_good for a in tier_answers) / len(tier_answers),
            "p50_s": round(quantile(latencies_s, 0.5), N_LATENCY_DIGITS),
            "p99_s": round(quantile(latencies_s, 0.99), N_LATENCY_DIGITS),
            "p99_9_s": round(quantile(latencies_s, 0.999), N_LATENCY_DIGITS),
            "n_by_outcome": outcomes,
        }
    return figures


def good_work_by_second(answers: Iterable[Answer]) -> dict[str, dict[int, float]]:
    """Return the work delivered to requests within their deadline, by pool and second.

    Tokens count in the second in which they arrived, requests to plain services
    in the second in which their response ended.
    """
    work: dict[str, dict[int, float]] = {}
    for answer in answers:
        if not answer.is_good:
            continue
        pool_work = work.setdefault(answer.request.pool, {})
        parts: Mapping[int, float] = answer.tokens_by_second
        if not answer.request.n_output:
            parts = {int(answer.ended_s): 1.0}
        for second, amount in parts.items():
            pool_work[second] = pool_work.get(second, 0.0) + amount
    return work


def peak_figures(
    work: Mapping[int, float], capacity_per_s: float, peak_seconds: range
) -> dict[str, float]:
    """Return the work delivered at peak load as a share of the capacity.

    Examples
    --------
    >>> peak_figures({4: 90.0, 5: 60.0}, 100.0, range(4, 6))
    {'worst_second_ratio': 0.6, 'mean_ratio': 0.75}
    """
    ratios = [work.get(second, 0.0) / capacity_per_s for second in peak_seconds]
    return {
        "worst_second_ratio": round(min(ratios), 4),
        "mean_ratio": round(sum(ratios) / len(ratios), 4),
    }


def needed_prefill(answers: Iterable[Answer]) -> int:
    """Return the minimum of prompt tokens to prefill for the good requests.

    Each shared prefix is needed once, all other tokens once for each request.
    Requests that were still running within their deadline when the benchmark
    ended count too.
    """
    prefixes: dict[str, int] = {}
    n_tokens = 0
    for answer in answers:
        if answer.is_good or answer.was_running_in_time:
            n_tokens += answer.request.n_suffix
            prefixes[answer.request.prefix] = answer.request.n_prefix
    return n_tokens + sum(prefixes.values())


def link_bytes(
    requests: Sequence[Request],
    answers: Sequence[Answer],
    remote: Mapping[str, Mapping[str, int]],
) -> int:
    """Estimate the bytes sent between the regions, in both directions.

    Entries and the naive proxy are in the home region, so every request to an
    upstream in the other region, and its response, crosses the link. The counts of
    such an upstream are multiplied by the mean size of a request and of a unit of
    work in this run. Packet headers and control messages are not included.

    Parameters
    ----------
    requests : sequence of Request
        All requests that were sent.
    answers : sequence of Answer
        Their answers.
    remote : mapping
        By pool, the counters of its upstreams in the other region: ``n_received``
        requests and ``work``.
    """
    total = 0.0
    for pool, counted in remote.items():
        pool_requests = [request for request in requests if request.pool == pool]
        done = [a for a in answers if a.request.pool == pool and a.outcome == RUN]
        work = sum(answer.request.work for answer in done)
        if not pool_requests or not work:
            continue
        mean_request = sum(len(request.body) for request in pool_requests) / len(
            pool_requests
        )
        mean_unit = sum(answer.n_bytes for answer in done) / work
        total += counted["n_received"] * mean_request + counted["work"] * mean_unit
    return round(total)


def format_tiers(figures: Mapping[str, Mapping[str, Any]]) -> list[str]:
    """Return the lines of a table with the `tier_figures` of each policy."""
    lines = [
        f"{'policy':8} {'tier':20} {'offered':>7} {'goodput':>8} {'p50_s':>8} "
        f"{'p99_s':>8} {'p99.9_s':>8}  outcomes"
    ]
    for policy, by_tier in figures.items():
        for tier, row in by_tier.items():
            outcomes = " ".join(f"{k}={v}" for k, v in row["n_by_outcome"].items())
            lines.append(
                f"{policy:8} {tier:20} {row['n_offered']:7} "
                f"{row['goodput_ratio']:8.4f} {row['p50_s']:8.3f} "
                f"{row['p99_s']:8.3f} {row['p99_9_s']:8.3f}  {outcomes}"
            )
    return lines
