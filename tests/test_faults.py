"""Whole deployments keep their guarantees while parts of them fail.

These are a fixed subset of the trials of ``make faults``. Each trial is seeded,
injects its faults during a load, and compares the callers' answers with the journals
of the upstreams. Further tests check the checks themselves.
"""

import asyncio
import json
from types import SimpleNamespace

import pytest

from fault_cases import FAULTS
from fault_checks import check_receivers, check_shedding
from fault_load import (
    CROSSED,
    CUT,
    INCOMPLETE,
    NOT_KNOWN,
    NOT_RUN,
    RUN,
    Answer,
    Call,
    check_chat,
)
from fault_trials import TrialPlan, plan_trial, run_trials
from fault_world import JournalLine
from launcher import Launcher
from naive_proxy import NaiveLauncher
from standins.text import answer_text

SEED = 1
TRIALS = (
    ("none",),
    ("kill entry",),
    ("stop entry",),
    ("kill agent",),
    ("stop agent", "stop entry"),
    ("kill upstream",),
    ("close before", "close after"),
    ("cut", "kill entry"),
    ("hang",),
    ("stall", "pause agent"),
    ("slow pool",),
    ("pause pool",),
    ("log loses", "kill agent"),
    ("log hangs", "crash body"),
    ("two operators", "list frozen"),
    ("replaced", "log refuses"),
    ("rolling",),
)
NAIVE_TRIALS = {("none",): set(), ("close after",): {"dispatch"}}
NAIVE_TRIALS[("crash body",)] = {"crash"}


def run(trials, n_systems, launcher_type):
    plans = [TrialPlan(SEED, n, faults) for n, faults in enumerate(trials)]
    results = asyncio.run(
        run_trials(plans, n_systems, launcher_type, lambda result: None)
    )
    return {result.plan.faults: result for result in results}


@pytest.fixture(scope="module")
def results():
    return run(TRIALS, 4, Launcher)


@pytest.fixture(scope="module")
def naive_results():
    return run(NAIVE_TRIALS, 1, NaiveLauncher)


@pytest.mark.parametrize("faults", TRIALS, ids=" + ".join)
def test_a_deployment_keeps_its_guarantees_under(results, faults):
    assert results[faults].violations == []
    assert results[faults].outcomes[RUN] > 0


@pytest.mark.parametrize("faults", NAIVE_TRIALS, ids=" + ".join)
def test_the_trials_find_what_a_naive_scheduler_does_wrong(naive_results, faults):
    found = {check for check, _ in naive_results[faults].violations}
    assert found >= NAIVE_TRIALS[faults]
    assert bool(found) == bool(NAIVE_TRIALS[faults])


def test_every_fault_is_chosen_alone_and_in_pairs():
    plans = [plan_trial(SEED, number) for number in range(1000)]
    alone = {plan.faults[0] for plan in plans if len(plan.faults) == 1}
    paired = {name for plan in plans for name in plan.faults if len(plan.faults) > 1}
    assert alone == set(FAULTS)
    assert paired == set(FAULTS) - {"none"}


CHECK = Call("stock-check", "shop", 0, "t1-1.", "ledger")
ORDER = Call("bulk-order", "club", 1, "t1-2.", "ledger", key="key-t1-2.")


def answer(call, outcome, detail="", started_at_s=0.0, ended_at_s=1.0, body=""):
    return Answer(call, outcome, detail, started_at_s, ended_at_s, body)


def journal_line(request_id, call, at_s=1.0, event="received"):
    body = f'{{"marker": "{call.marker}"}}' if call.key else ""
    path = "/orders" if call.key else f"/stock/{call.marker}"
    method = "POST" if call.key else "GET"
    return JournalLine(event, at_s, call.key, body, request_id, method, path)


@pytest.mark.parametrize(
    ("answers", "lines", "checks"),
    [
        ([answer(CHECK, RUN)], [journal_line("a", CHECK)], []),
        ([answer(CHECK, NOT_KNOWN)], [], []),
        ([answer(CHECK, NOT_RUN)], [journal_line("a", CHECK)], ["not run"]),
        (
            [answer(CHECK, NOT_KNOWN)],
            [journal_line("a", CHECK), journal_line("b", CHECK)],
            ["dispatch"],
        ),
        (
            [answer(CHECK, RUN), answer(CHECK, RUN)],
            [journal_line("a", CHECK), journal_line("a", CHECK)],
            ["dispatch"],
        ),
        ([answer(CHECK, RUN)], [], ["crossed"]),
        ([answer(ORDER, RUN)], [], ["lost order"]),
        ([answer(ORDER, NOT_RUN)], [journal_line("a", ORDER)], ["not run"]),
        ([answer(ORDER, NOT_RUN), answer(ORDER, CUT)], [journal_line("a", ORDER)], []),
        (
            [answer(ORDER, RUN), answer(ORDER, RUN)],
            [journal_line("", ORDER, event="effect")] * 2,
            ["order"],
        ),
        (
            [answer(ORDER, RUN, body="1"), answer(ORDER, RUN, body="2")],
            [journal_line("", ORDER, event="effect")],
            ["crossed"],
        ),
    ],
)
def test_receivers_and_callers_must_agree(answers, lines, checks):
    assert [check for check, _ in check_receivers(answers, lines)] == checks


@pytest.mark.parametrize(
    ("shed_reason", "ran_at_s", "n_found"),
    [
        ("deadline-passed", 5.0, 1),
        ("overloaded", 5.0, 1),
        ("convicted", 5.0, 0),
        # It ran before the check was shed.
        ("deadline-passed", 2.0, 0),
    ],
)
def test_a_check_shed_before_lower_tiers_is_found(shed_reason, ran_at_s, n_found):
    answers = [
        answer(CHECK, NOT_RUN, shed_reason, 0.0, 3.0),
        answer(ORDER, RUN, "", 1.0, 6.0),
    ]
    trial = SimpleNamespace(faults=("slow pool",))
    trial.callers = SimpleNamespace(answers=answers)
    lines = [journal_line("a", ORDER, ran_at_s)]
    assert len(list(check_shedding(trial, lines))) == n_found


CHAT = Call("buyer-reply", "club", 2, "t1-3.", "model", 3, True)


def stream(words, end="data: [DONE]\n\n"):
    parts = [{"choices": [{"delta": {"content": word}}]} for word in words]
    return "".join(f"data: {json.dumps(part)}\n\n" for part in parts) + end


@pytest.mark.parametrize(
    ("n_words", "end", "outcome"),
    [
        (3, "data: [DONE]\n\n", RUN),
        (3, "", INCOMPLETE),
        (2, "data: [DONE]\n\n", INCOMPLETE),
        (2, "event: error\ndata: {}\n\n", CUT),
    ],
)
def test_a_stream_that_ends_early_is_not_taken_for_a_whole_one(n_words, end, outcome):
    words = answer_text("t1-3. leg leg", n_words).replace(" ", "| ").split("|")
    assert check_chat(CHAT, stream(words, end))[0] == outcome


def test_the_answer_of_another_caller_is_noticed():
    other = answer_text("t1-4. leg leg", 3)
    assert check_chat(CHAT, stream([other]))[0] == CROSSED
