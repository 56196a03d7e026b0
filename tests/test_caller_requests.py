"""Invalid requests are refused with the right reason before they are scheduled."""

import hashlib

import msgspec
import pytest

from pomelothread.callers.requests import (
    find_organisation,
    index_by_token,
    parse_chat_request,
    parse_plain_request,
    parse_wait_s,
)
from pomelothread.operators.sheet import Organisation, Service, Sheet, Tier
from pomelothread.outcomes import Reason

CLUB = Organisation("club", hashlib.sha256(b"secret").hexdigest())
SHEET = Sheet(
    version=1,
    tiers={"checks": Tier("checks", 0, True)},
    organisations={"club": CLUB},
    services={
        "check": Service(
            "check",
            "drafting",
            "checks",
            "model",
            15.0,
            model="m-8b",
            max_body_bytes=2000,
            max_output_tokens=100,
        ),
        "order": Service(
            "order",
            "press",
            "checks",
            "plain",
            20.0,
            repeat="never",
            path="/orders",
            max_body_bytes=10,
        ),
        "stock": Service("stock", "press", "checks", "plain", 5.0, path="/stock"),
    },
)
MESSAGES = [{"role": "user", "content": "leg 4"}]


def chat(body, key="", wait_s=None):
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return parse_chat_request(SHEET, CLUB, data, key, wait_s)


def plain(service="order", method="POST", rest="", body=b"{}", key="k"):
    return parse_plain_request(
        SHEET, CLUB, service, method, rest, "application/json", body, key, None
    )


CHAT_FAULTS = {
    "no JSON": (b"{", Reason.MALFORMED_BODY),
    "not an object": ([], Reason.MALFORMED_BODY),
    "deeply nested": (b"[" * 5000, Reason.MALFORMED_BODY),
    "not UTF-8": (b'{"model": "\xff"}', Reason.MALFORMED_BODY),
    "no messages": ({"model": "check"}, Reason.MALFORMED_BODY),
    "messages of a wrong type": (
        {"model": "check", "messages": "hi"},
        Reason.MALFORMED_BODY,
    ),
    "a limit of no tokens": (
        {"model": "check", "messages": MESSAGES, "max_tokens": 0},
        Reason.MALFORMED_BODY,
    ),
    "unknown service": ({"model": "x", "messages": MESSAGES}, Reason.UNKNOWN_SERVICE),
    "a plain service": (
        {"model": "order", "messages": MESSAGES},
        Reason.UNKNOWN_SERVICE,
    ),
    "too large": (
        {"model": "check", "messages": [{"role": "user", "content": "x" * 3000}]},
        Reason.BODY_TOO_LARGE,
    ),
}


@pytest.mark.parametrize("case", CHAT_FAULTS)
def test_a_bad_chat_request_is_refused(case):
    body, reason = CHAT_FAULTS[case]
    assert chat(body).failure().reason is reason


PLAIN_FAULTS = {
    "unknown service": ({"service": "x"}, Reason.UNKNOWN_SERVICE),
    "a model service": ({"service": "check"}, Reason.UNKNOWN_SERVICE),
    "an order without a key": ({"key": ""}, Reason.MISSING_KEY),
    "an order by GET": ({"method": "GET"}, Reason.METHOD_NOT_ALLOWED),
    "a key that is too long": ({"key": "k" * 256}, Reason.MALFORMED_BODY),
    "a key with a control character": ({"key": "a\x00b"}, Reason.MALFORMED_BODY),
    "too large": ({"body": b"x" * 11}, Reason.BODY_TOO_LARGE),
    "a path with two dots": (
        {"service": "stock", "rest": "../orders"},
        Reason.MALFORMED_BODY,
    ),
}


@pytest.mark.parametrize("case", PLAIN_FAULTS)
def test_a_bad_plain_request_is_refused(case):
    arguments, reason = PLAIN_FAULTS[case]
    assert plain(**arguments).failure().reason is reason


def test_only_the_model_name_of_a_chat_body_is_replaced():
    body = b'{"model":"check","messages":[{"role":"user","content":"a"}],"x":1.50}'
    request = chat(body).unwrap()
    assert request.body == body.replace(b'"check"', b'"m-8b"')


@pytest.mark.parametrize(
    ("extra", "n_tokens"),
    [
        ({}, 100),
        ({"max_tokens": 7}, 7),
        ({"max_completion_tokens": 9, "max_tokens": 7}, 9),
        ({"max_tokens": 7, "n": 3}, 21),
        ({"max_tokens": 5000}, 100),
    ],
)
def test_output_tokens_are_estimated_from_the_request(extra, n_tokens):
    request = chat({"model": "check", "messages": MESSAGES, **extra}).unwrap()
    assert request.n_output_tokens == n_tokens


@pytest.mark.parametrize(
    ("rest", "path"),
    [("", "/stock"), ("bat/6", "/stock/bat/6"), ("?q=1", "/stock?q=1")],
)
def test_the_rest_of_the_url_is_passed_to_the_upstream(rest, path):
    request = plain(service="stock", method="GET", rest=rest).unwrap()
    assert request.path == path


@pytest.mark.parametrize(
    ("wait_s", "deadline_s"), [(None, 15.0), (3.0, 3.0), (99.0, 15.0)]
)
def test_a_caller_may_shorten_the_deadline(wait_s, deadline_s):
    request = chat({"model": "check", "messages": MESSAGES}, wait_s=wait_s).unwrap()
    assert request.deadline_s == deadline_s


@pytest.mark.parametrize(
    ("prefer", "wait_s"),
    [("", None), ("wait=5", 5.0), ("respond-async; Wait=7", 7.0), ("wait=x", None)],
)
def test_the_wait_preference_is_read(prefer, wait_s):
    assert parse_wait_s(prefer) == wait_s


@pytest.mark.parametrize(
    ("authorization", "known"),
    [
        ("Bearer secret", True),
        ("bearer secret", True),
        ("Bearer wrong", False),
        ("Basic secret", False),
        ("secret", False),
        ("", False),
    ],
)
def test_a_bearer_token_names_the_organisation(authorization, known):
    result = find_organisation(index_by_token(SHEET), authorization)
    if known:
        assert result.unwrap() is CLUB
    else:
        assert result.failure().reason is Reason.UNAUTHORISED
