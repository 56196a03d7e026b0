"""Runs fault trials on deployments that live from one trial to the next."""

import asyncio
import random
import traceback
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from dataclasses import dataclass, field, replace

from fault_cases import FAULTS, Trial, victim_of
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
from fault_world import World
from launcher import Launcher
from processes import LaunchError

GAP_S = 0.03
# While a fault lasts longer than the load, requests go on at this distance.
TRICKLE_S = 0.1
TRIAL_LIMIT_S = 150.0


@dataclass(frozen=True, slots=True)
class TrialPlan:
    """What a trial consists of; seed and number repeat all its choices."""

    seed: int
    number: int
    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TrialResult:
    """What came of a trial: violations by check, and answers by outcome."""

    plan: TrialPlan
    violations: list[Violation]
    outcomes: dict[str, int] = field(default_factory=dict)


def plan_trial(seed: int, number: int, is_naive: bool = False) -> TrialPlan:
    """Choose the faults of a trial: every row in turn, half of them in pairs.

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


async def run_trial(world: World, plan: TrialPlan) -> TrialResult:
    """Run one trial, restore the deployment, and judge."""
    trial = Trial(
        world,
        plan.number,
        plan.faults,
        random.Random(f"trial {plan.seed} {plan.number}"),
        f"t{plan.number}",
        Callers(world.accepting_urls),
        len(world.journal.read()),
    )
    old = Callers(world.accepting_urls)
    try:
        async with asyncio.timeout(TRIAL_LIMIT_S):
            await _run_load_and_faults(trial, old)
    except TimeoutError:
        trial.violations.append(("recovery", "the trial did not end"))
    except ExceptionGroup as group:
        failed, other = group.split((LaunchError, TimeoutError))
        if failed is None or other is not None:
            raise
        trial.violations += [("recovery", repr(e)) for e in failed.exceptions]
    fault = await world.heal()
    if fault:
        trial.violations.append(("recovery", fault))
    else:
        trial.violations += [v async for v in _find_orders(trial)]
    await trial.callers.client.aclose()
    await old.client.aclose()
    return TrialResult(
        plan,
        unique(_judge(trial, old)),
        count_by_outcome(trial.callers.told + old.told),
    )


async def _run_load_and_faults(trial: Trial, old: Callers) -> None:
    async with asyncio.TaskGroup() as group:
        injections = []
        for name in trial.faults:
            fault = FAULTS[name]
            injections.append(
                group.create_task(_inject(trial, name, victim_of(trial, fault)))
            )
        calls = make_calls(trial.rng, trial.prefix)
        known = trial.world.known_orders
        if known:
            # An order of an earlier trial must not run again either.
            again = trial.rng.choice(list(known))
            group.create_task(old.send(again))
        await send_all(trial.callers, calls, trial.rng, GAP_S)
        # Sent again by its caller after the answer.
        repeated = [call for call in calls if call.key]
        for call in trial.rng.sample(repeated, 2):
            await trial.callers.send(replace(call, entry=1 - call.entry))
        trial.is_loaded = True
        kinds = [c for c in calls if calls.count(c) == 1]
        for number in range(1_000_000):
            if all(task.done() for task in injections):
                break
            group.create_task(trial.callers.send(_further(trial, kinds, number)))
            await asyncio.sleep(TRICKLE_S)


def _further(trial: Trial, kinds: list[Call], number: int) -> Call:
    call = trial.rng.choice(kinds)
    marker = f"{trial.prefix}-more-{number}."
    key = f"key-{marker}" if call.key else ""
    return replace(call, marker=marker, key=key)


async def _inject(trial: Trial, name: str, victim: str) -> None:
    await trial.after_some_received()
    await FAULTS[name].inject(trial, victim)


async def _find_orders(trial: Trial) -> AsyncIterator[Violation]:
    """Find every order that was told to have run."""
    found: set[str] = set()
    for told in list(trial.callers.told):
        call = told.call
        if not call.key or told.outcome != RUN or call.key in found:
            continue
        found.add(call.key)
        status, text = await trial.callers.order_status(call)
        if not 200 <= status < 300 or call.key not in text:
            answers = [
                f"{other.outcome} {other.detail} at {other.ended_at_s:.3f}"
                for other in trial.callers.told
                if other.call.key == call.key
            ]
            detail = f"{call.marker}: told {answers}, now {status} {text[:60]}"
            yield "lost order", detail
        trial.world.known_orders[call] = told.body


def _judge(trial: Trial, old: Callers) -> Iterator[Violation]:
    world = trial.world
    lines = world.journal.read()
    own = lines[trial.first_line :]
    yield from check_answers(trial)
    yield from check_receivers(trial.callers.told, own)
    yield from check_shedding(trial, own)
    yield from check_leaving(trial, own)
    yield from check_sheet_logs(world, world.checked_logs)
    for told in old.told:
        n_effects = sum(
            line.event == "effect" and line.key == told.call.key for line in lines
        )
        if n_effects > 1:
            yield "order", f"{told.call.marker} of an earlier trial ran again"
        if told.outcome == RUN and told.body != world.known_orders[told.call]:
            yield "crossed", f"{told.call.marker} of an earlier trial: {told.body}"


async def run_trials(
    plans: list[TrialPlan],
    n_worlds: int,
    launcher_type: type[Launcher],
    report: Callable[[TrialResult], None],
) -> list[TrialResult]:
    """Run trials on `n_worlds` deployments at the same time; report each result."""
    results: list[TrialResult] = []
    waiting = iter(plans)

    async def work() -> None:
        plan = next(waiting, None)
        while plan is not None:
            # A deployment that did not recover is replaced by a new one.
            async with World(launcher_type) as world:
                while plan is not None:
                    try:
                        result = await run_trial(world, plan)
                    except Exception as error:
                        # An error of one trial must not lose all the others.
                        traceback.print_exc()
                        result = TrialResult(plan, [("harness", repr(error))])
                    results.append(result)
                    report(result)
                    plan = next(waiting, None)
                    if {c for c, _ in result.violations} & {"recovery", "harness"}:
                        break

    workers: list[Awaitable[None]] = [work() for _ in range(min(n_worlds, len(plans)))]
    await asyncio.gather(*workers)
    return results


def count_violations(results: list[TrialResult]) -> Counter[str]:
    """Return the number of violations of each check."""
    return Counter(check for result in results for check, _ in result.violations)
