"""Checks of a trial: the answers of callers against the journals of upstreams."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import msgspec

from fault_cases import FAULTS, LEAVING_S, Trial
from fault_load import (
    CROSSED,
    CUT,
    INCOMPLETE,
    LOST,
    NO_OUTCOME,
    NOT_ACCEPTED,
    NOT_KNOWN,
    NOT_RUN,
    RUN,
    Answer,
)
from fault_world import JournalLine, SystemUnderTest

# Description of each check, in the order of the printed table.
CHECKS = {
    "dispatch": "double dispatches",
    "order": "double runs of an order",
    "lost order": "accepted orders that were lost",
    "not run": 'untrue "not run" answers',
    "stop": "cut during planned stops",
    "crossed": "crossed answers",
    "incomplete": "incomplete but looked complete",
    "untold": "no outcome told by a live entry",
    "shed": "checks shed before lower tiers",
    "sheet": "sheet versions that went back",
    "leaving": "new work on a leaving instance",
    "crash": "bodies with over 2 crashes",
    "recovery": "not recovered after the fault",
    "failure-free": "not run without a fault",
    "harness": "errors of the trial itself",
}

Violation = tuple[str, str]

MAX_CRASHES = 2
# For this long, a grant from before the floor was raised may still be used.
GRANT_USE_S = 0.1
# With a slow log, the claim of an order delays its dispatch after the grant.
SLOW_CLAIM_S = 4.0
SHED_REASONS = {
    "overloaded",
    "deadline-passed",
    "deadline-unreachable",
    "no-upstream",
    "organisation-limit",
}


def check_receivers(
    answers: list[Answer], lines: list[JournalLine]
) -> Iterator[Violation]:
    """Compare the requests that upstreams received with the callers' answers."""
    by_id = Counter(
        line.request_id
        for line in lines
        if line.event == "received" and line.request_id
    )
    for request_id, n in by_id.items():
        if n > 1:
            yield "dispatch", f"request {request_id} was received {n} times"
    received: Counter[str] = Counter()
    effects: Counter[str] = Counter()
    by_marker: dict[str, list[Answer]] = defaultdict(list)
    for answer in answers:
        by_marker[answer.call.marker].append(answer)
    markers = tuple(by_marker)
    for line in lines:
        for marker in markers:
            if marker in f"{line.path}{line.body}" and line.request_id:
                received[marker] += 1
            if marker in line.body and line.event == "effect":
                effects[marker] += 1
    for marker, marker_answers in by_marker.items():
        if marker_answers[0].call.key:
            yield from _check_order(marker, marker_answers, received, effects)
        else:
            yield from _check_request(marker, marker_answers, received[marker])


def _check_request(
    marker: str, answers: list[Answer], n_received: int
) -> Iterator[Violation]:
    n_not_run = sum(answer.outcome == NOT_RUN for answer in answers)
    n_run = sum(answer.outcome == RUN for answer in answers)
    detail = f"{marker} of {answers[0].call.service}: received {n_received} times"
    if n_received > len(answers):
        yield "dispatch", f"{detail}, sent {len(answers)} times"
    elif n_received > len(answers) - n_not_run:
        yield "not run", f"{detail}, {n_not_run} of {len(answers)} answered not run"
    if n_received < n_run:
        yield "crossed", f"{detail}, {n_run} answered run"


def _check_order(
    marker: str, answers: list[Answer], received: Counter[str], effects: Counter[str]
) -> Iterator[Violation]:
    outcomes = [f"{answer.outcome} {answer.detail}" for answer in answers]
    if effects[marker] > 1:
        yield "order", f"{marker} took effect {effects[marker]} times: {outcomes}"
    if received[marker] > 1:
        yield "dispatch", f"{marker} was received {received[marker]} times: {outcomes}"
    is_not_run = all(answer.outcome == NOT_RUN for answer in answers)
    if is_not_run and received[marker]:
        yield "not run", f"{marker} was received, but its answers are {outcomes}"
    runs = {answer.body for answer in answers if answer.outcome == RUN}
    if runs and not effects[marker]:
        yield "lost order", f"{marker} was answered as run, but did not run"
    if len(runs) > 1:
        yield "crossed", f"{marker} got different responses: {sorted(runs)}"


def check_answers(trial: Trial) -> Iterator[Violation]:
    """Check the answers alone, without the journals."""
    answers = trial.callers.answers
    is_harmless = all(FAULTS[name].is_harmless for name in trial.faults)
    kills_entry = "kill entry" in trial.faults
    for answer in answers:
        what = f"{answer.call.marker} of {answer.call.service}: {answer.detail}"
        match answer.outcome:
            case outcome if outcome == CROSSED:
                yield "crossed", what
            case outcome if outcome == INCOMPLETE:
                yield "incomplete", what
            case outcome if outcome == NO_OUTCOME:
                yield "untold", what
            case outcome if outcome == LOST and not kills_entry:
                yield "untold", what
        if answer.detail == "order-running":
            continue
        if is_harmless and answer.outcome in {CUT, LOST, NOT_KNOWN, NOT_ACCEPTED}:
            yield "stop", f"{answer.outcome}: {what}"
        if trial.faults == ("none",) and answer.outcome != RUN:
            yield "failure-free", f"{answer.outcome}: {what}"
    if trial.n_crashes > MAX_CRASHES:
        yield "crash", f"the body killed {trial.n_crashes} engines"
    yield from trial.violations


def check_shedding(trial: Trial, lines: list[JournalLine]) -> Iterator[Violation]:
    """Find requests of lower tiers that waited when a check was shed, and ran later."""
    slack_s = GRANT_USE_S
    if any(name.startswith(("log", "pause")) for name in trial.faults):
        slack_s = SLOW_CLAIM_S
    dispatched_at_s: dict[str, float] = {}
    for line in lines:
        if line.event == "received":
            dispatched_at_s.setdefault(_marker(line), line.at_s)
    for shed in trial.callers.answers:
        if shed.outcome != NOT_RUN or shed.detail not in SHED_REASONS or shed.call.rank:
            continue
        for other in trial.callers.answers:
            if other.call.pool != shed.call.pool or other.call.rank <= shed.call.rank:
                continue
            at_s = dispatched_at_s.get(other.call.marker, 0.0)
            if other.started_at_s < shed.ended_at_s < at_s - slack_s:
                yield (
                    "shed",
                    f"{shed.call.marker} was shed ({shed.detail}) "
                    f"{at_s - shed.ended_at_s:.2f} s before {other.call.marker} ran",
                )


def _marker(line: JournalLine) -> str:
    if line.method == "GET":
        return line.path.rpartition("/")[2]
    try:
        body = json.loads(line.body)
    except ValueError:
        return ""
    if "marker" in body:
        return str(body["marker"])
    return str(body.get("messages", [{}])[-1].get("content", "")).partition(" ")[0]


def check_leaving(trial: Trial, lines: list[JournalLine]) -> Iterator[Violation]:
    """Find requests that an instance got too long after it was listed as leaving."""
    for instance, shown_at_s, until_s in trial.leaving:
        for line in lines:
            is_new = shown_at_s + LEAVING_S < line.at_s < until_s
            if line.upstream == instance and line.request_id and is_new:
                late_s = line.at_s - shown_at_s
                yield (
                    "leaving",
                    f"{instance} got work {late_s:.1f} s after it was listed leaving",
                )


def check_sheet_logs(
    system: SystemUnderTest, seen: dict[str, int]
) -> Iterator[Violation]:
    """Find nodes that took an older sheet, or became ready with an older one.

    The events are read from the nodes' log files. `seen` holds the size of each
    file up to which it has been checked, and is updated.
    """
    for name, node in system.launcher.nodes.items():
        path = node.program.log_path
        if not path.exists():
            continue
        with path.open("rb") as file:
            events = file.read()
        yield from _check_versions(name, events, seen.get(name, 0))
        seen[name] = len(events)


def _check_versions(name: str, data: bytes, n_checked: int) -> Iterator[Violation]:
    current = highest = position = 0
    for line in data.splitlines(keepends=True):
        position += len(line)
        try:
            event = msgspec.json.decode(line)
        except msgspec.DecodeError:
            continue
        if not isinstance(event, dict):
            continue
        is_new = position > n_checked
        number = event.get("event")
        fields = event.get("fields") or {}
        version = int(fields.get("sheet_version", 0))
        match number:
            case 101 | 201:
                current = 0
            case 102 | 202 if version < highest and is_new:
                yield "sheet", f"{name} became ready with {version} after {highest}"
            case 401:
                if version <= current and is_new:
                    yield "sheet", f"{name} went from {current} to {version}"
                current = version
                highest = max(highest, version)


def unique(violations: Iterable[Violation]) -> list[Violation]:
    """Return the violations without duplicates, in order."""
    return list(dict.fromkeys(violations))
