"""Runs fault trials on deployments that are reused from one trial to the next."""

import asyncio
import random
import traceback
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from dataclasses import dataclass, field, replace

from fault_cases import FAULTS, Trial, choose_victim
from fault_checks import (
    Violation,
    check_answers,
    check_leaving,
    check_receivers,
    check_shedding,
    check_sheet_logs,
    unique,
)
from fault_load import RUN, Call, Callers, count_by_outcome, make_calls, send_all
from fault_world import SystemUnderTest
from launcher import Launcher
from processes import LaunchError

MAX_SEND_GAP_S = 0.03
# Interval between the extra calls that are sent while a fault outlasts the load.
EXTRA_CALL_INTERVAL_S = 0.1
TRIAL_LIMIT_S = 150.0


@dataclass(frozen=True, slots=True)
class TrialPlan:
    """Faults of a trial, and its seed and number, which make it repeatable."""

    seed: int
    number: int
    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TrialResult:
    """Result of a trial: violations, and number of answers by outcome."""

    plan: TrialPlan
    violations: list[Violation]
    outcomes: dict[str, int] = field(default_factory=dict)


def plan_trial(seed: int, number: int, is_naive: bool = False) -> TrialPlan:
    """Choose the faults of a trial: each fault in turn, in half of the trials a pair.

    Examples
    --------
    >>> plan_trial(1, 0).faults
    ('none',)
    >>> plan_trial(1, 7) == plan_trial(1, 7)
    True
    """
    names = [name for name, fault in FAULTS.items() if fault.naive or not is_naive]
    rng = random.Random(f"faults {seed} {number}")
    first = names[number % len(names)]
    if first == "none" or rng.random() < 0.5:
        return TrialPlan(seed, number, (first,))
    second = rng.choice([name for name in names if name not in {"none", first}])
    return TrialPlan(seed, number, (first, second))


async def run_trial(system: SystemUnderTest, plan: TrialPlan) -> TrialResult:
    """Run a trial, restore the deployment, and check the results."""
    trial = Trial(
        system,
        plan.number,
        plan.faults,
        random.Random(f"trial {plan.seed} {plan.number}"),
        f"t{plan.number}",
        Callers(system.accepting_urls),
        len(system.journal.read()),
    )
    repeat_callers = Callers(system.accepting_urls)
    try:
        async with asyncio.timeout(TRIAL_LIMIT_S):
            await _run_load_and_faults(trial, repeat_callers)
    except TimeoutError:
        trial.violations.append(("recovery", "the trial did not end"))
    except ExceptionGroup as group:
        failed, other = group.split((LaunchError, TimeoutError))
        if failed is None or other is not None:
            raise
        trial.violations += [("recovery", repr(e)) for e in failed.exceptions]
    fault = await system.restore()
    if fault:
        trial.violations.append(("recovery", fault))
    else:
        trial.violations += [v async for v in _check_lost_orders(trial)]
    await trial.callers.client.aclose()
    await repeat_callers.client.aclose()
    return TrialResult(
        plan,
        unique(_check_trial(trial, repeat_callers)),
        count_by_outcome(trial.callers.answers + repeat_callers.answers),
    )


async def _run_load_and_faults(trial: Trial, repeat_callers: Callers) -> None:
    async with asyncio.TaskGroup() as group:
        injections = []
        for name in trial.faults:
            fault = FAULTS[name]
            injections.append(
                group.create_task(_inject(trial, name, choose_victim(trial, fault)))
            )
        calls = make_calls(trial.rng, trial.prefix)
        completed = trial.system.completed_orders
        if completed:
            # A repeated order of an earlier trial must not run again either.
            repeated_order = trial.rng.choice(list(completed))
            group.create_task(repeat_callers.send(repeated_order))
        await send_all(trial.callers, calls, trial.rng, MAX_SEND_GAP_S)
        # Two orders are sent again after their answers.
        repeated = [call for call in calls if call.key]
        for call in trial.rng.sample(repeated, 2):
            await trial.callers.send(replace(call, entry=1 - call.entry))
        trial.is_load_sent = True
        templates = [c for c in calls if calls.count(c) == 1]
        for number in range(1_000_000):
            if all(task.done() for task in injections):
                break
            group.create_task(trial.callers.send(_extra_call(trial, templates, number)))
            await asyncio.sleep(EXTRA_CALL_INTERVAL_S)


def _extra_call(trial: Trial, templates: list[Call], number: int) -> Call:
    call = trial.rng.choice(templates)
    marker = f"{trial.prefix}-more-{number}."
    key = f"key-{marker}" if call.key else ""
    return replace(call, marker=marker, key=key)


async def _inject(trial: Trial, name: str, victim: str) -> None:
    await trial.wait_for_received()
    await FAULTS[name].inject(trial, victim)


async def _check_lost_orders(trial: Trial) -> AsyncIterator[Violation]:
    """Look up every order that was answered as run; report those not found."""
    found: set[str] = set()
    for answer in list(trial.callers.answers):
        call = answer.call
        if not call.key or answer.outcome != RUN or call.key in found:
            continue
        found.add(call.key)
        status, text = await trial.callers.order_status(call)
        if not 200 <= status < 300 or call.key not in text:
            answers = [
                f"{other.outcome} {other.detail} at {other.ended_at_s:.3f}"
                for other in trial.callers.answers
                if other.call.key == call.key
            ]
            detail = f"{call.marker}: answers {answers}, lookup {status} {text[:60]}"
            yield "lost order", detail
        trial.system.completed_orders[call] = answer.body


def _check_trial(trial: Trial, repeat_callers: Callers) -> Iterator[Violation]:
    system = trial.system
    lines = system.journal.read()
    trial_lines = lines[trial.first_line :]
    yield from check_answers(trial)
    yield from check_receivers(trial.callers.answers, trial_lines)
    yield from check_shedding(trial, trial_lines)
    yield from check_leaving(trial, trial_lines)
    yield from check_sheet_logs(system, system.checked_log_sizes)
    for answer in repeat_callers.answers:
        n_effects = sum(
            line.event == "effect" and line.key == answer.call.key for line in lines
        )
        if n_effects > 1:
            yield "order", f"{answer.call.marker} of an earlier trial ran again"
        if (
            answer.outcome == RUN
            and answer.body != system.completed_orders[answer.call]
        ):
            yield "crossed", f"{answer.call.marker} of an earlier trial: {answer.body}"


async def run_trials(
    plans: list[TrialPlan],
    n_systems: int,
    launcher_type: type[Launcher],
    report: Callable[[TrialResult], None],
) -> list[TrialResult]:
    """Run trials on `n_systems` deployments at the same time; report each result."""
    results: list[TrialResult] = []
    waiting = iter(plans)

    async def work() -> None:
        plan = next(waiting, None)
        while plan is not None:
            # A deployment that did not recover is replaced.
            async with SystemUnderTest(launcher_type) as system:
                while plan is not None:
                    try:
                        result = await run_trial(system, plan)
                    except Exception as error:
                        # An error in one trial must not stop the others.
                        traceback.print_exc()
                        result = TrialResult(plan, [("harness", repr(error))])
                    results.append(result)
                    report(result)
                    plan = next(waiting, None)
                    if {c for c, _ in result.violations} & {"recovery", "harness"}:
                        break

    workers: list[Awaitable[None]] = [work() for _ in range(min(n_systems, len(plans)))]
    await asyncio.gather(*workers)
    return results


def count_violations(results: list[TrialResult]) -> Counter[str]:
    """Return the number of violations of each check."""
    return Counter(check for result in results for check, _ in result.violations)
