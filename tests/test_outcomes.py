"""Problem details state the outcome and whether a client should retry."""

from pathlib import Path

import msgspec
import pytest

from pomelothread.outcomes import NotKnown, NotRun, Reason, problem_response

API_PAGE = Path(__file__).parent.parent / "docs" / "api.md"


@pytest.mark.parametrize("reason", Reason)
def test_the_page_for_callers_lists_each_problem_type(reason):
    kind, status, _ = reason.value
    assert f"| `{kind}` | {status} |" in API_PAGE.read_text(encoding="utf-8")


@pytest.mark.parametrize(
    ("outcome", "members", "headers"),
    [
        (
            NotRun(Reason.OVERLOADED, "busy", 2.2),
            {"outcome": "not-run", "status": 503, "detail": "busy"},
            {"Retry-After": "3", "x-should-retry": "true"},
        ),
        (
            NotRun(Reason.KEY_REUSED),
            {"outcome": "not-run", "status": 422},
            {"x-should-retry": "false"},
        ),
        (
            NotKnown(Reason.ANSWER_LOST, "lost", "/v1/orders/a/b", 1.0),
            {"outcome": "not-known", "status_url": "/v1/orders/a/b"},
            {"Retry-After": "1", "x-should-retry": "false"},
        ),
    ],
)
def test_a_problem_states_the_outcome_and_whether_to_retry(outcome, members, headers):
    response = problem_response(outcome)
    problem = msgspec.json.decode(response.body)
    assert {name: problem[name] for name in members} == members
    assert response.headers == headers | {"Content-Type": "application/problem+json"}
