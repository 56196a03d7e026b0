"""Compares the scheduler with a naive policy: ``python -m bench --seed=1``.

Both run one after the other against the same stand-ins with the same load. The
figures are printed and written to ``out/bench.json``. The swing scenario, in which
the load rises to three times the capacity, is plotted to
``out/swing-DEPLOYMENT.png``.
docs/benchmarks.md explains them.
"""

import asyncio
import json
import os
import platform
import random
import time
from collections.abc import Sequence
from typing import Any

from absl import app, flags

from bench_figures import (
    format_tiers,
    good_work_by_second,
    link_bytes,
    needed_prefill,
    peak_figures,
    tier_figures,
)
from bench_load import (
    Answer,
    Request,
    RequestGenerator,
    make_arrivals,
    mean_work,
    run_load,
)
from bench_plot import plot_swing
from bench_rig import NAIVE, POLICIES, POMELO, Rig, Sample
from bench_scenarios import (
    DOMAIN_LOSS,
    SCENARIOS,
    SWING_TIMES_S,
    Scenario,
    restore_domain,
)
from processes import ROOT

DEPLOYMENT_NAMES = ("saurashtra", "ashcombe")
# Time for upstreams to end work on cancelled requests before the counters are read.
SETTLE_S = 1.5

OUT = ROOT / "out"


async def measure(
    rig: Rig, scenario: Scenario, policy: str, seed: int
) -> tuple[dict[str, Any], list[Answer]]:
    """Run a scenario with one policy and return its figures and answers."""
    # The seed omits the policy: both get the same arrival times, services and
    # lengths. The salt includes it, so that they share no cached prefix.
    rng = random.Random(f"{seed}-{rig.deployment.name}-{scenario.name}")
    salt = f"{scenario.name}{policy}"
    generator = RequestGenerator(
        rig.deployment.name, rig.sheet, rng, salt, scenario.has_long_prefixes
    )
    rates = {pool: rig.capacity[pool] / rig.mean_work[pool] for pool in rig.capacity}
    requests = make_arrivals(generator, rng, rates, scenario.load, scenario.duration_s)
    load_1_min = os.getloadavg()[0]
    before = await rig.sample()
    load = run_load(rig.client, rig.urls(policy), requests, scenario.drain_s)
    if scenario.fault is None:
        answers = await load
    else:
        answers, _ = await asyncio.gather(load, scenario.fault(rig.launcher))
    await asyncio.sleep(SETTLE_S)
    after = await rig.sample()
    figures = _figures(rig, requests, answers, before, after)
    figures["load_average_1_min"] = [load_1_min, os.getloadavg()[0]]
    if scenario.name == "swing":
        _, top_s, fall_s, _ = SWING_TIMES_S
        work = good_work_by_second(answers)
        figures["crest"] = {
            pool: peak_figures(
                work.get(pool, {}), capacity, range(int(top_s), int(fall_s))
            )
            for pool, capacity in rig.capacity.items()
        }
    return figures, answers


def _figures(
    rig: Rig,
    requests: Sequence[Request],
    answers: Sequence[Answer],
    before: Sample,
    after: Sample,
) -> dict[str, Any]:
    # The counters of an upstream that has ended cannot be read, so its work is
    # missing here.
    counted = {name: after.states[name] - before.states[name] for name in after.states}
    computed = sum(counters["n_prefill_computed"] for counters in counted.values())
    remote: dict[str, dict[str, int]] = {}
    for upstream in rig.remote_upstreams():
        counters = counted.get(upstream.instance)
        if counters is None:
            continue
        pool = remote.setdefault(upstream.pool, {"n_received": 0, "work": 0})
        pool["n_received"] += counters["n_received"]
        is_model = upstream.kind == "model"
        pool["work"] += counters["n_generated" if is_model else "n_completed"]
    needed = needed_prefill(answers)
    return {
        "tiers": tier_figures(answers),
        "prefill_computed_tokens": computed,
        "prefill_needed_tokens": needed,
        "prefill_wasted_tokens": max(0, computed - needed),
        "link_bytes": link_bytes(requests, answers, remote),
        "control_sent_bytes": after.control_since(before, "sent"),
        "control_received_bytes": after.control_since(before, "received"),
        "processes": after.processes_since(before),
    }


async def run_deployment(
    name: str, scenarios: Sequence[Scenario], seed: int
) -> dict[str, Any]:
    """Run each scenario with one policy after the other and print the tables."""
    results: dict[str, Any] = {"scenarios": {}}
    async with Rig(name) as rig:
        for pool in rig.pools:
            generator = RequestGenerator(name, rig.sheet, random.Random(seed), "mean")
            rig.mean_work[pool] = mean_work(generator, pool)
        await rig.calibrate(seed)
        results["capacity_per_s"] = {k: round(v, 1) for k, v in rig.capacity.items()}
        print(f"\n{name}: capacity_per_s {results['capacity_per_s']}", flush=True)
        swings: dict[str, list[Answer]] = {}
        for scenario in scenarios:
            runs: dict[str, Any] = {}
            for policy in POLICIES:
                runs[policy], answers = await measure(rig, scenario, policy, seed)
                if scenario.name == DOMAIN_LOSS:
                    await restore_domain(rig.launcher)
                if scenario.name == "swing":
                    swings[policy] = answers
            results["scenarios"][scenario.name] = runs
            print_scenario(name, scenario.name, runs)
        if swings:
            plot_swing(name, swings, OUT / f"swing-{name}.png")
    return results


def print_scenario(deployment: str, scenario: str, runs: dict[str, Any]) -> None:
    """Print the table of one scenario."""
    loads = {policy: run["load_average_1_min"] for policy, run in runs.items()}
    print(f"\n{deployment} {scenario} (load average before, after: {loads})")
    print("\n".join(format_tiers({p: run["tiers"] for p, run in runs.items()})))
    for policy, run in runs.items():
        cpu_s: dict[str, float] = {}
        rss_mib: dict[str, float] = {}
        for process in run["processes"].values():
            role = process["role"]
            cpu_s[role] = round(cpu_s.get(role, 0.0) + process["cpu_s"], 2)
            rss_mib[role] = max(rss_mib.get(role, 0.0), process["rss_mib"])
        print(
            f"{policy:8} prefill computed {run['prefill_computed_tokens']} wasted "
            f"{run['prefill_wasted_tokens']} tokens; link {run['link_bytes']} bytes; "
            f"control sent {run['control_sent_bytes']} received "
            f"{run['control_received_bytes']} bytes; cpu_s {cpu_s}; "
            f"max rss_mib {rss_mib}"
        )
        if "crest" in run:
            print(f"{policy:8} crest {run['crest']}")
    print(flush=True)


def target_ratios(results: dict[str, Any], protected: dict[str, str]) -> dict[str, Any]:
    """Return the ratios that have a target, of the scenarios that were run.

    Parameters
    ----------
    results : dict
        By deployment, as returned by `run_deployment`.
    protected : dict of str to str
        Name of the protected tier of each deployment.
    """
    ratios: dict[str, Any] = {}
    for name, result in results.items():
        runs = result["scenarios"]
        tier = protected[name]
        deployment_ratios: dict[str, Any] = {}
        if "swing" in runs:
            run = runs["swing"][POMELO]
            deployment_ratios["checks_goodput_at_swing"] = run["tiers"][tier][
                "goodput_ratio"
            ]
            deployment_ratios["crest"] = run["crest"]
        if "stragglers" in runs and "steady" in runs:
            slow, usual = (
                runs[key][POMELO]["tiers"][tier]["p99_s"]
                for key in ("stragglers", "steady")
            )
            deployment_ratios["checks_p99_stragglers_over_steady"] = round(
                slow / usual, 3
            )
        for scenario, by_policy in runs.items():
            for key in ("prefill_wasted_tokens", "link_bytes"):
                ours, naive = by_policy[POMELO][key], by_policy[NAIVE][key]
                deployment_ratios[f"{key}_over_naive_{scenario}"] = (
                    round(ours / naive, 4) if naive else None
                )
        ratios[name] = deployment_ratios
    return ratios


async def run(names: Sequence[str], chosen: Sequence[str], seed: int) -> None:
    """Benchmark the given deployments and write the results to ``out/bench.json``."""
    OUT.mkdir(exist_ok=True)
    started_s = time.time()
    results: dict[str, Any] = {}
    for name in names:
        scenarios = [SCENARIOS[item] for item in chosen]
        results[name] = await run_deployment(name, scenarios, seed)
    ratios = target_ratios(
        results, {"saurashtra": "checks@drafting", "ashcombe": "counter@ledger"}
    )
    print("ratios with targets:")
    print(json.dumps(ratios, indent=2))
    report = {
        "seed": seed,
        "date": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime(started_s)),
        "duration_s": round(time.time() - started_s, 1),
        "n_cores": os.cpu_count(),
        "python": platform.python_version(),
        "targets": ratios,
        "deployments": results,
    }
    (OUT / "bench.json").write_text(json.dumps(report, indent=2), encoding="utf-8")
    print(f"took {report['duration_s']} s; wrote {OUT / 'bench.json'}")


def main(argv: Sequence[str]) -> None:
    """Run the benchmark."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    values = flags.FLAGS
    asyncio.run(run(values.deployments, values.scenarios, values.seed))


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "seed of the generated load")
    flags.DEFINE_multi_enum(
        "deployments", DEPLOYMENT_NAMES, DEPLOYMENT_NAMES, "deployments to start"
    )
    flags.DEFINE_multi_enum(
        "scenarios", list(SCENARIOS), list(SCENARIOS), "scenarios to run"
    )
    app.run(main)
