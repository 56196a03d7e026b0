"""Sends a burst of requests to a deployment and checks the responses.

``python -m demo --deployment=saurashtra`` exits with 0 if every check passes.
"""

import asyncio
import secrets
import statistics
import sys
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import psutil
from absl import app, flags, logging
from tornado.httpclient import AsyncHTTPClient

from callers import (
    CUT,
    NO_OUTCOME,
    NOT_KNOWN,
    RUN,
    Answer,
    Callers,
    burst,
    count_outcomes,
)
from demo_plans import PLANS, CallGroup
from deployments import DEPLOYMENTS, Deployment
from launch_settings import AGENT, ENTRY, LaunchOptions
from launcher import Launcher
from pomelothread.operators.planning import parse_sheet
from pomelothread.operators.sheet import Sheet
from processes import LaunchError
from spans import format_trace, read_trace

TIME_LIMIT_S = 120.0
MAX_REPEATS = 10


def print_results(sheet: Sheet, answers: list[Answer]) -> None:
    """Print outcomes and times by tier and service.

    Parameters
    ----------
    sheet : Sheet
        Tiers and deadlines.
    answers : list of Answer
        All answers.
    """
    head = f"{'tier':10} {'service':18} {'sent':>5} {'run':>5} {'not run':>8}"
    print(f"{head} {'not known':>10} {'in time':>8} {'p50 s':>7} {'max s':>7}")
    for tier in sorted(sheet.tiers.values(), key=lambda tier: tier.rank):
        for service in sheet.services.values():
            matching = [a for a in answers if a.service == service.name]
            if service.tier != tier.name or not matching:
                continue
            counts = count_outcomes(matching)
            n_in_time = sum(
                a.outcome == RUN and a.duration_s <= service.deadline_s
                for a in matching
            )
            times_s = [a.duration_s for a in matching if a.outcome == RUN] or [
                float("nan")
            ]
            n_not_known = counts[NOT_KNOWN] + counts[NO_OUTCOME] + counts[CUT]
            print(
                f"{tier.name:10} {service.name:18} {len(matching):5} {counts[RUN]:5} "
                f"{counts['not-run']:8} {n_not_known:10} "
                f"{n_in_time / len(matching):8.1%} {statistics.median(times_s):7.2f} "
                f"{max(times_s):7.2f}"
            )


def check_answers(sheet: Sheet, answers: list[Answer]) -> Iterable[str]:
    """Yield answers that no caller may get in a deployment without faults.

    Parameters
    ----------
    sheet : Sheet
        Tiers and deadlines.
    answers : list of Answer
        All answers.
    """
    for answer in answers:
        tier = sheet.tiers[sheet.services[answer.service].tier]
        if answer.outcome in {NO_OUTCOME, NOT_KNOWN, CUT}:
            yield f"{answer.service}: {answer.outcome} without a fault: {answer.detail}"
        elif tier.protected and answer.outcome != RUN:
            yield f"{answer.service}: lost although protected: {answer.detail}"


def check_orders(executed: Counter[str], answers: list[Answer]) -> Iterable[str]:
    """Yield orders that ran twice, or whose answers contradict their execution.

    Parameters
    ----------
    executed : Counter of str
        How often each key was executed, over all upstreams.
    answers : list of Answer
        All answers.
    """
    for key, n_executed in executed.items():
        if n_executed > 1:
            yield f"order {key}: executed {n_executed} times"
    told_run = {a.key for a in answers if a.key and a.outcome == RUN}
    for key in sorted(told_run - set(executed)):
        yield f"order {key}: its caller was told that it ran, but it did not"
    # Of two requests with the same key, one may be refused while the other runs.
    told_not_run = {a.key for a in answers if a.key and a.outcome == "not-run"}
    for key in sorted(told_not_run - told_run):
        if executed[key]:
            yield f"order {key}: its caller was told that it did not run, but it did"


def check_dispatches(states: Iterable[dict[str, Any]]) -> Iterable[str]:
    """Yield requests that were dispatched to upstreams more than once.

    Parameters
    ----------
    states : iterable of dict
        Counters of each upstream.
    """
    received: Counter[str] = Counter()
    for state in states:
        received.update(state["received"])
    for request_id, n_received in received.items():
        if request_id and n_received > 1:
            yield f"request {request_id}: dispatched {n_received} times"


def executed_orders(states: Iterable[dict[str, Any]]) -> Counter[str]:
    """Return how often each key was executed, over all plain upstreams.

    Parameters
    ----------
    states : iterable of dict
        Counters of each upstream.
    """
    executed: Counter[str] = Counter()
    for state in states:
        executed.update(state.get("effects", {}))
    return executed


async def _state(launcher: Launcher, instance: str) -> Any:
    url = f"http://{launcher.upstream_address(instance)}/_state"
    response = await AsyncHTTPClient().fetch(url)
    return msgspec.json.decode(response.body)


async def send_order_twice(
    callers: Callers, calls: CallGroup
) -> tuple[list[Answer], str]:
    """Send one order to two entries at once, and again until it is replayed.

    Parameters
    ----------
    callers : Callers
        Clients to send it with.
    calls : CallGroup
        Group that the order is an example of.

    Returns
    -------
    tuple of (list of Answer, str)
        All answers, and a failure or "".
    """
    key = f"twice-{secrets.token_hex(4)}"
    answers = await asyncio.gather(
        *(callers.send_plain(calls, number, key) for number in (0, 1))
    )
    for _ in range(MAX_REPEATS):
        repeated = await callers.send_plain(calls, 0, key)
        answers.append(repeated)
        if repeated.retry_after_s is None:
            break
        # Other agents read the result of an order from the log. Until then they
        # answer that it is running.
        await asyncio.sleep(repeated.retry_after_s)
    status, text = await callers.order_status(calls.service, calls.organisation, key)
    for answer in answers:
        print(f"  {answer.outcome} {'replayed' if answer.is_replayed else ''}", end="")
        print(answer.detail)
    print(f"  GET /v1/orders/{calls.service}/{key}: {status}")
    return answers, check_repeated_order(key, answers, status, text)


def check_repeated_order(
    key: str, answers: list[Answer], status: int, text: str
) -> str:
    """Return what is wrong with the answers to one order, or "".

    Parameters
    ----------
    key : str
        Idempotency-Key of the order.
    answers : list of Answer
        All answers, in order.
    status : int
        HTTP status of the order's lookup.
    text : str
        Body of the lookup's response.
    """
    if not answers[-1].is_replayed:
        return f"order {key}: not replayed, but {answers[-1].detail}"
    runs = [answer for answer in answers if answer.outcome == RUN]
    if len({answer.body for answer in runs}) != 1:
        return f"order {key}: its callers got different responses"
    if sum(not answer.is_replayed for answer in runs) != 1:
        return f"order {key}: not exactly one caller was told that it ran"
    if not 200 <= status < 300:
        return f"order {key}: cannot be found: {status} {text[:80]}"
    return ""


def print_usage(launcher: Launcher) -> None:
    """Print memory and CPU time of the nodes by role."""
    for role in (ENTRY, AGENT):
        processes = [
            psutil.Process(node.program.pid)
            for node in launcher.nodes.values()
            if node.role == role
        ]
        # The resident size includes library pages that all processes share.
        memory = [p.memory_full_info() for p in processes]
        rss_mib = max(m.rss for m in memory) / 2**20
        uss_mib = max(m.uss for m in memory) / 2**20
        cpu_s = max(sum(p.cpu_times()[:2]) for p in processes)
        print(
            f"{len(processes)} x {role}: at most {rss_mib:.0f} MiB resident "
            f"({uss_mib:.0f} MiB unshared), {cpu_s:.1f} s of CPU"
        )


async def show_trace(
    launcher: Launcher, callers: Callers, calls: CallGroup
) -> tuple[Answer, str]:
    """Send one request with a trace context and print all spans of its trace."""
    trace_id = secrets.token_hex(16)
    answer = await callers.send(
        calls, calls.n_calls, f"00-{trace_id}-{secrets.token_hex(8)}-01"
    )
    # An agent may end its span only after the entry has sent the last byte.
    roles: set[str] = set()
    spans = []
    for _ in range(100):
        spans = read_trace(launcher.span_paths, trace_id)
        roles = {span.service for span in spans}
        if len(roles) > 1:
            break
        await asyncio.sleep(0.02)
    print(format_trace(spans))
    failure = (
        "" if len(roles) > 1 else f"trace {trace_id}: spans of {sorted(roles)} only"
    )
    return answer, failure


async def run(deployment: Deployment) -> list[str]:
    """Run the demo and return the failures.

    Parameters
    ----------
    deployment : Deployment
        Deployment to start.
    """
    sheet = parse_sheet(deployment.sheet.read_bytes()).unwrap()
    plan = PLANS[deployment.name]
    options = LaunchOptions(sample_ratio=0.05)
    failures: list[str] = []
    started_s = time.monotonic()
    async with Launcher(deployment, options) as launcher:
        print(
            f"{deployment.name}: {len(deployment.entries)} entries, "
            f"{len(deployment.upstreams)} upstreams with an agent each, ready after "
            f"{time.monotonic() - started_s:.1f} s"
        )
        callers = Callers(launcher.entry_urls)
        try:
            failures += await _run_checks(launcher, callers, sheet, plan)
        finally:
            await callers.close()
        print()
        print_usage(launcher)
        started_s = time.monotonic()
        statuses = await launcher.stop_nodes()
        print(f"all nodes stopped in {time.monotonic() - started_s:.1f} s")
        failures += [f"{name}: exit {n}" for name, n in statuses.items() if n != 0]
    if launcher.directory.exists():
        failures.append(f"{launcher.directory} was left behind")
    failures += [f"{child} was left behind" for child in psutil.Process().children()]
    return failures


async def _run_checks(
    launcher: Launcher, callers: Callers, sheet: Sheet, plan: tuple[CallGroup, ...]
) -> list[str]:
    n_requests = sum(calls.n_calls for calls in plan)
    print(f"\nBurst of {n_requests} requests at once:")
    answers = await burst(callers, plan)
    print_results(sheet, answers)
    failures = list(check_answers(sheet, answers))

    order = next(calls for calls in plan if calls.is_order)
    print("\nOne order sent to two entries at once, then once more:")
    order_answers, failure = await send_order_twice(callers, order)
    failures += [failure] if failure else []
    states = [
        await _state(launcher, plan.instance) for plan in launcher.deployment.upstreams
    ]
    failures += check_orders(executed_orders(states), answers + order_answers)
    failures += check_dispatches(states)

    chat = next(calls for calls in plan if calls.is_streamed)
    print(f"\nTrace of one request for {chat.service}:")
    answer, failure = await show_trace(launcher, callers, chat)
    failures += [failure] if failure else []
    return failures + list(check_answers(sheet, [answer]))


async def _run_within_limit(deployment: Deployment) -> list[str]:
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await run(deployment)
    except TimeoutError:
        return [f"the demo did not end within {TIME_LIMIT_S:g} s"]
    except LaunchError as error:
        return [str(error)]
    except ExceptionGroup as group:
        failed, other = group.split(LaunchError)
        if failed is None or other is not None:
            raise
        return [str(error) for error in failed.exceptions]


def main(argv: Sequence[str]) -> int:
    """Run the demo; return 1 if a check failed."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    # The HTTP clients log every request at the level "info".
    logging.set_verbosity(logging.WARNING)
    failures = asyncio.run(_run_within_limit(DEPLOYMENTS[flags.FLAGS.deployment]))
    for failure in failures:
        print(f"FAULT: {failure}", file=sys.stderr)
    print("all checks passed" if not failures else f"{len(failures)} checks failed")
    return 1 if failures else 0


if __name__ == "__main__":
    flags.DEFINE_enum("deployment", "saurashtra", sorted(PLANS), "deployment to start")
    app.run(main)
