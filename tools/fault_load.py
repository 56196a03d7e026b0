"""The load of a fault trial: callers that check the responses they get.

Every request has a marker in its body or path, by which its answer is matched with
the lines of the upstreams' journals.
"""

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import httpx2

from standins.text import answer_text

CALLER_TIMEOUT_S = 30.0
LOOKUP_TIMEOUT_S = 10.0

RUN = "run"
NOT_RUN = "not-run"
NOT_KNOWN = "not-known"
# The response ended early, and the client reported it.
CUT = "cut"
# The connection closed without a response.
LOST = "lost"
# The entry did not accept the connection.
NOT_ACCEPTED = "not-accepted"
# The response belongs to another request.
CROSSED = "crossed"
# The response is incomplete, but its end looked regular.
INCOMPLETE = "incomplete"
# An error response that doesn't say whether the request ran.
NO_OUTCOME = "untold"


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    `rank` is that of the service's tier, `marker` identifies the request in its body
    or path, `n_tokens` is 0 for a plain service, `key` is the Idempotency-Key of an
    order or "", and `entry` is an index into the entries that accept requests, modulo
    their number.
    """

    service: str
    organisation: str
    rank: int
    marker: str
    pool: str
    n_tokens: int = 0
    is_streamed: bool = False
    key: str = ""
    entry: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of a request as its caller saw it.

    Times are seconds since the epoch, as in the upstreams' journals; `body` is the
    response of a plain service.
    """

    call: Call
    outcome: str
    detail: str
    started_at_s: float
    ended_at_s: float
    body: str = ""


@dataclass(slots=True)
class Callers:
    """Sends calls to the entries that `entry_urls` returns, and keeps the answers."""

    entry_urls: Callable[[], list[str]]
    answers: list[Answer] = field(default_factory=list)
    client: httpx2.AsyncClient = field(init=False)

    def __post_init__(self) -> None:
        # Connections are not reused: an entry that stops may close an idle
        # connection just when the client sends a request on it.
        limits = httpx2.Limits(max_connections=None, max_keepalive_connections=0)
        self.client = httpx2.AsyncClient(timeout=CALLER_TIMEOUT_S, limits=limits)

    async def send(self, call: Call) -> Answer:
        """Send a request, check its response and keep the answer."""
        started_at_s = time.time()
        urls = self.entry_urls()
        if not urls:
            outcome, detail, body = NOT_ACCEPTED, "no entry", ""
        else:
            url = urls[call.entry % len(urls)]
            outcome, detail, body = await self._send(call, url)
        answer = Answer(call, outcome, detail, started_at_s, time.time(), body)
        self.answers.append(answer)
        return answer

    async def order_status(self, call: Call) -> tuple[int, str]:
        """Look up an order; return status 0 if there was no response."""
        url = self.entry_urls()[0]
        path = f"{url}/v1/orders/{call.service}/{call.key}"
        try:
            response = await self.client.get(
                path, headers=_headers(call), timeout=LOOKUP_TIMEOUT_S
            )
        except httpx2.HTTPError as error:
            return 0, repr(error)
        return response.status_code, response.text

    async def _send(self, call: Call, url: str) -> tuple[str, str, str]:
        method, path, body = _request_parts(call)
        received: list[bytes] = []
        status = 0
        try:
            async with self.client.stream(
                method, url + path, headers=_headers(call), json=body
            ) as response:
                status = response.status_code
                replayed = response.headers.get("Idempotent-Replayed", "")
                async for chunk in response.aiter_raw():
                    received.append(chunk)
        except (httpx2.ConnectError, httpx2.ConnectTimeout) as error:
            return NOT_ACCEPTED, repr(error), ""
        except httpx2.HTTPError as error:
            return (CUT if status else LOST), repr(error), ""
        text = b"".join(received).decode("utf-8", "replace")
        if status >= 400:
            return _problem(status, text)
        if call.n_tokens:
            return check_chat(call, text)
        outcome, detail, body_text = _check_plain(call, text)
        return outcome, detail or ("replayed" if replayed else ""), body_text


def _headers(call: Call) -> dict[str, str]:
    headers = {"Authorization": f"Bearer demo-{call.organisation}"}
    if call.key:
        headers["Idempotency-Key"] = call.key
    return headers


def _request_parts(call: Call) -> tuple[str, str, dict[str, Any] | None]:
    if call.key:
        body = {"item": "bat", "quantity": 3, "marker": call.marker}
        return "POST", f"/services/{call.service}", body
    if not call.n_tokens:
        return "GET", f"/services/{call.service}/{call.marker}", None
    return (
        "POST",
        "/v1/chat/completions",
        {
            "model": call.service,
            "messages": [{"role": "user", "content": f"{call.marker} leg leg"}],
            "max_tokens": call.n_tokens,
            "stream": call.is_streamed,
        },
    )


def _problem(status: int, text: str) -> tuple[str, str, str]:
    try:
        problem = json.loads(text)
        outcome = problem["outcome"]
        kind = str(problem["type"]).rpartition(":")[2]
    except (ValueError, KeyError, TypeError):
        return NO_OUTCOME, f"{status} {text[:80]}", ""
    if outcome not in {NOT_RUN, NOT_KNOWN}:
        return NO_OUTCOME, f"{status} outcome {outcome}", ""
    return outcome, kind, ""


def check_chat(call: Call, text: str) -> tuple[str, str, str]:
    """Return outcome, detail and "" for a completion whose body ended regularly."""
    expected = answer_text(f"{call.marker} leg leg", call.n_tokens)
    if not call.is_streamed:
        try:
            content = json.loads(text)["choices"][0]["message"]["content"]
        except (ValueError, KeyError, TypeError, IndexError):
            return INCOMPLETE, f"not a completion: {text[:80]!r}", ""
        return _compare(str(content), expected)
    parts = []
    is_done = False
    for line in text.splitlines():
        if line == "event: error":
            return CUT, "error event", ""
        data = line.removeprefix("data: ")
        if data == line:
            continue
        if data == "[DONE]":
            is_done = True
            break
        try:
            choices = json.loads(data)["choices"]
        except (ValueError, KeyError, TypeError):
            return INCOMPLETE, f"not a chunk: {data[:80]!r}", ""
        parts += [choice["delta"].get("content", "") for choice in choices]
    outcome, detail, _ = _compare("".join(parts), expected)
    if outcome == RUN and not is_done:
        return INCOMPLETE, "the stream ended regularly without [DONE]", ""
    return outcome, detail, ""


def _compare(content: str, expected: str) -> tuple[str, str, str]:
    if content == expected:
        return RUN, "", ""
    if expected.startswith(content):
        return INCOMPLETE, f"{len(content)} of {len(expected)} characters", ""
    return CROSSED, f"got {content[:60]!r}, expected {expected[:60]!r}", ""


def _check_plain(call: Call, text: str) -> tuple[str, str, str]:
    try:
        answer = json.loads(text)
        echoed = answer["key"] if call.key else answer["item"]
    except (ValueError, KeyError, TypeError):
        return INCOMPLETE, f"not an answer: {text[:80]!r}", ""
    if echoed != (call.key or call.marker):
        return CROSSED, f"got the answer of {echoed}", ""
    return RUN, "", text


def make_calls(rng: random.Random, prefix: str) -> list[Call]:
    """Return the mixed load of a trial, in the order in which it is sent."""
    calls: list[Call] = []

    def add(call: Call, n_calls: int) -> None:
        for _ in range(n_calls):
            marker = f"{prefix}-{len(calls)}."
            key = f"key-{marker}" if call.key else ""
            n_tokens = rng.randint(call.n_tokens // 2, call.n_tokens)
            entry = rng.randrange(2)
            calls.append(
                replace(call, marker=marker, key=key, n_tokens=n_tokens, entry=entry)
            )

    add(Call("buyer-reply", "colchester-sports", 2, "", "model", 40, True), 6)
    add(Call("cleft-grade", "willow-yard", 2, "", "model", 24), 4)
    add(Call("cleft-report", "willow-yard", 3, "", "model", 60, True), 2)
    add(Call("stock-check", "ashcombe-shop", 0, "", "ledger"), 8)
    order = Call("bulk-order", "severn-cricket-league", 1, "", "ledger", key="k")
    add(order, 5)
    # One order goes to both entries at once, another one is sent again later.
    calls.append(replace(calls[-1], entry=1 - calls[-1].entry))
    calls.append(calls[-3])
    # Two callers with equal bodies.
    calls.append(replace(calls[0], organisation="malvern-schools"))
    first, *rest = calls[:-3]
    rng.shuffle(rest)
    # The equal body and the order at both entries directly follow their originals, so
    # that both requests are open at the same time. The repeated order comes last.
    ordered = [first, calls[-1], *rest]
    ordered.insert(ordered.index(calls[-3 - 1]) + 1, calls[-3])
    ordered.append(calls[-2])
    return ordered


async def send_all(
    callers: Callers, calls: list[Call], rng: random.Random, gap_s: float
) -> None:
    """Send calls with small random gaps and wait for all answers."""
    async with asyncio.TaskGroup() as group:
        for call in calls:
            group.create_task(callers.send(call))
            await asyncio.sleep(rng.random() * gap_s)


def count_by_outcome(answers: list[Answer]) -> dict[str, int]:
    """Return the number of answers by outcome, and by problem type if there is one."""
    return Counter(
        f"{answer.outcome} ({answer.detail})"
        if answer.outcome in {NOT_RUN, NOT_KNOWN}
        else answer.outcome
        for answer in answers
    )
