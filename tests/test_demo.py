"""Tests of the demo's checks: answers must match what the upstreams executed."""

import json
from collections import Counter

import pytest

from callers import CUT, NO_OUTCOME, NOT_KNOWN, NOT_RUN, RUN, Answer
from demo import (
    check_answers,
    check_dispatches,
    check_orders,
    check_repeated_order,
    executed_orders,
)
from demo_plans import PLANS
from deployments import DEPLOYMENTS
from pomelothread.operators.planning import parse_sheet
from pomelothread.settings import TracingSettings
from pomelothread.tracing import extract_context, inject_context, setup_tracing
from spans import format_trace, read_trace


@pytest.fixture
def sheet():
    return parse_sheet(DEPLOYMENTS["ashcombe"].sheet.read_bytes()).unwrap()


@pytest.mark.parametrize(
    ("service", "outcome", "n_failures"),
    [
        ("stock-check", RUN, 0),
        ("stock-check", NOT_RUN, 1),
        ("cleft-report", NOT_RUN, 0),
        ("cleft-report", NOT_KNOWN, 1),
        ("cleft-report", NO_OUTCOME, 1),
        ("cleft-report", CUT, 1),
    ],
)
def test_a_lost_check_and_an_unknown_outcome_fail_the_demo(
    sheet, service, outcome, n_failures
):
    failures = list(check_answers(sheet, [Answer(service, outcome, 0.1)]))
    assert len(failures) == n_failures


@pytest.mark.parametrize(
    ("executed", "outcomes", "part"),
    [
        ({"k": 1}, [RUN], ""),
        ({"k": 1}, [RUN, RUN, NOT_RUN], ""),
        ({}, [NOT_RUN], ""),
        ({"k": 2}, [RUN], "executed 2 times"),
        ({"k": 2}, [], "executed 2 times"),
        ({}, [RUN], "but it did not"),
        ({"k": 1}, [NOT_RUN], "but it did"),
    ],
)
def test_an_order_that_contradicts_its_answers_fails_the_demo(executed, outcomes, part):
    answers = [Answer("bulk-order", outcome, 0.1, key="k") for outcome in outcomes]
    failures = list(check_orders(Counter(executed), answers))
    assert len(failures) == bool(part)
    assert all(part in failure for failure in failures)


@pytest.mark.parametrize(
    ("bodies", "n_replayed", "status", "part"),
    [
        ([b"a", b"a"], 1, 201, ""),
        ([b"a", b"a", b"a"], 2, 200, ""),
        ([b"a", b"b"], 1, 200, "different responses"),
        ([b"a", b"a", b"a"], 1, 200, "not exactly one"),
        ([b"a"], 0, 200, "not replayed"),
        ([b"a", b"a"], 1, 404, "cannot be found"),
    ],
)
def test_callers_of_one_order_get_one_response(bodies, n_replayed, status, part):
    n_first = len(bodies) - n_replayed
    answers = [
        Answer("bulk-order", RUN, 0.1, key="k", body=body, is_replayed=n >= n_first)
        for n, body in enumerate(bodies)
    ]
    failure = check_repeated_order("k", answers, status, "")
    assert (part in failure) if part else (failure == "")


def test_a_request_that_reached_two_upstreams_fails_the_demo():
    states = [{"received": {"a": 1, "b": 1, "": 5}}, {"received": {"b": 1}}]
    (failure,) = check_dispatches(states)
    assert "request b" in failure


def test_orders_are_counted_over_all_upstreams():
    states = [{"effects": {"k": 1}}, {"effects": {"k": 1}}, {"received": {}}]
    assert executed_orders(states) == {"k": 2}


@pytest.mark.parametrize("name", PLANS)
def test_a_plan_names_services_and_organisations_of_its_sheet(name):
    sheet = parse_sheet(DEPLOYMENTS[name].sheet.read_bytes()).unwrap()
    for calls in PLANS[name]:
        service = sheet.services[calls.service]
        assert calls.organisation in sheet.organisations
        assert (calls.n_tokens > 0) == (service.kind == "model")
        assert calls.is_order == (service.repeat == "never")
        assert calls.n_tokens <= service.max_output_tokens


def test_a_trace_is_read_from_all_files_and_shown_as_a_tree(tmp_path):
    headers = {}
    parent = None
    for name in ("entry", "agent"):
        path = str(tmp_path / f"{name}.jsonl")
        settings = TracingSettings(sample_ratio=1, span_file=path)
        tracer = setup_tracing(settings, f"pomelothread-{name}", f"{name}-1")
        span = tracer.start_span(f"{name} hop", context=extract_context(headers))
        inject_context(span, headers)
        parent = parent or span
    for ended in (span, parent):
        ended.end()
    line = (tmp_path / "entry.jsonl").read_text().splitlines()[0]
    trace_id = json.loads(line)["context"]["trace_id"].removeprefix("0x")
    spans = read_trace(tmp_path.glob("*.jsonl"), trace_id)
    assert [span.instance for span in spans] == ["entry-1", "agent-1"]
    head, first, second = format_trace(spans).splitlines()
    assert "duration" in head
    assert "  entry hop" in first
    assert "    agent hop" in second
