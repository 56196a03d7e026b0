"""Runs seeded fault trials on whole deployments and prints the violations.

``python -m faults --seed=1 --trials=1000`` exits with 1 if any check found a
violation. ``--only=K`` repeats one trial. ``--naive`` runs the trials against a
naive scheduler, which must fail.
"""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import Sequence
from itertools import combinations

from absl import app, flags, logging

from fault_cases import FAULTS
from fault_checks import CHECKS
from fault_trials import (
    TrialResult,
    count_violations,
    plan_trial,
    run_trials,
)
from launcher import Launcher
from naive_proxy import NaiveLauncher

MAX_SYSTEMS = 5
PAIRS_PER_LINE = 3


def print_result(result: TrialResult) -> None:
    """Print the violations of a trial and the flags that repeat it."""
    plan = result.plan
    for check, detail in result.violations:
        print(
            f"VIOLATION --seed={plan.seed} --only={plan.number} "
            f"({' + '.join(plan.faults)}): {check}: {detail}",
            flush=True,
        )


def print_tables(results: list[TrialResult]) -> None:
    """Print the numbers of trials by fault, answers by outcome and violations."""
    alone: Counter[str] = Counter()
    paired: Counter[str] = Counter()
    pairs: Counter[tuple[str, ...]] = Counter()
    outcomes: Counter[str] = Counter()
    for result in results:
        faults = result.plan.faults
        outcomes.update(result.outcomes)
        if len(faults) == 1:
            alone[faults[0]] += 1
            continue
        paired.update(faults)
        pairs.update(tuple(sorted(pair)) for pair in combinations(faults, 2))
    print(f"\n{'fault':18} {'alone':>6} {'in a pair':>10}")
    for name in FAULTS:
        if alone[name] or paired[name]:
            print(f"{name:18} {alone[name]:6} {paired[name]:10}")
    if pairs:
        print(f"\n{len(pairs)} pairs, with the number of trials:")
        texts = [f"{' + '.join(pair)}: {n}" for pair, n in sorted(pairs.items())]
        for start in range(0, len(texts), PAIRS_PER_LINE):
            print("; ".join(texts[start : start + PAIRS_PER_LINE]))
    print("\nanswers:")
    for outcome, n in outcomes.most_common():
        print(f"{n:6} {outcome}")
    violations = count_violations(results)
    print(f"\n{'check':34} {'violations':>10}")
    for check, text in CHECKS.items():
        print(f"{text:34} {violations[check]:10}")


def main(argv: Sequence[str]) -> int:
    """Run the trials; return 1 if a check found a violation."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    # The HTTP clients log every request at the level "info".
    logging.set_verbosity(logging.WARNING)
    values = flags.FLAGS
    numbers = [values.only] if values.only >= 0 else range(values.first, values.trials)
    plans = [plan_trial(values.seed, number, values.naive) for number in numbers]
    started_s = time.monotonic()
    results = asyncio.run(
        run_trials(
            plans,
            values.deployments,
            NaiveLauncher if values.naive else Launcher,
            print_result,
        )
    )
    print_tables(results)
    n_violations = sum(count_violations(results).values())
    duration_s = time.monotonic() - started_s
    print(
        f"\nseed {values.seed}: {len(results)} trials in {duration_s:.0f} s on "
        f"{values.deployments} deployments, {n_violations} violations"
    )
    return 1 if n_violations else 0


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "seed of all choices")
    flags.DEFINE_integer("trials", 1000, "number of trials", lower_bound=1)
    flags.DEFINE_integer("first", 0, "number of the first trial to run")
    flags.DEFINE_integer("only", -1, "number of the one trial to run")
    flags.DEFINE_boolean("naive", False, "run against the naive scheduler")
    flags.DEFINE_integer(
        "deployments", MAX_SYSTEMS, "deployments at the same time", 1, MAX_SYSTEMS
    )
    sys.exit(app.run(main))
