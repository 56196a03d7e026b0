"""Sends requests to entries with common HTTP clients and checks the responses."""

import asyncio
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import httpx2
import openai

from demo_plans import CallGroup
from standins.text import answer_text

TIMEOUT_S = 90.0

RUN = "run"
NOT_RUN = "not-run"
NOT_KNOWN = "not-known"
# The response ended early, and the client reported it.
CUT = "cut"
# The response is wrong or doesn't say whether the request ran.
NO_OUTCOME = "untold"


@dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of one request as its caller saw it.

    Parameters
    ----------
    service : str
        Name in the sheet.
    outcome : str
        `RUN`, `NOT_RUN`, `NOT_KNOWN`, `CUT` or `NO_OUTCOME`.
    duration_s : float
        Time until the last byte.
    detail : str
        Status and type of the problem details, or what was wrong with the response.
    key : str
        Idempotency-Key of an order.
    body : bytes
        Response of a plain service.
    is_replayed : bool
        Whether the response was stored by an earlier request.
    retry_after_s : float or None
        Value of the header Retry-After.
    """

    service: str
    outcome: str
    duration_s: float
    detail: str = ""
    key: str = ""
    body: bytes = b""
    is_replayed: bool = False
    retry_after_s: float | None = None


class Callers:
    """Clients for all entries of a deployment.

    Parameters
    ----------
    entry_urls : list of str
        URLs of the entries, which get the requests in turn by their number.
    """

    __slots__ = ("_clients", "_urls")

    def __init__(self, entry_urls: list[str]) -> None:
        self._urls = entry_urls
        # Unlimited, so that each request of the burst has a connection of its own,
        # as requests of separate callers have.
        limits = httpx2.Limits(max_connections=None)
        self._clients = [
            httpx2.AsyncClient(base_url=url, timeout=TIMEOUT_S, limits=limits)
            for url in entry_urls
        ]

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            await client.aclose()

    async def send(
        self, calls: CallGroup, number: int, traceparent: str = ""
    ) -> Answer:
        """Send one request of a group and check its response.

        Parameters
        ----------
        calls : CallGroup
            The group.
        number : int
            Number of the request in its group; it also chooses the entry.
        traceparent : str
            W3C trace context that the caller sends, or "".
        """
        if calls.n_tokens:
            return await self._chat(calls, number, traceparent)
        key = f"{calls.service}-{number}" if calls.is_order else ""
        return await self.send_plain(calls, number, key, traceparent)

    async def send_plain(
        self, calls: CallGroup, number: int, key: str, traceparent: str = ""
    ) -> Answer:
        """Send one request to a plain service.

        Parameters
        ----------
        calls : CallGroup
            The group.
        number : int
            Chooses the entry; the body doesn't depend on it.
        key : str
            Idempotency-Key, or "".
        traceparent : str
            W3C trace context that the caller sends, or "".
        """
        headers = {"Authorization": f"Bearer demo-{calls.organisation}"}
        if key:
            headers["Idempotency-Key"] = key
        if traceparent:
            headers["traceparent"] = traceparent
        client = self._clients[number % len(self._clients)]
        started_s = time.monotonic()
        try:
            response = await client.request(
                "POST" if calls.is_order else "GET",
                f"/services/{calls.service}{calls.path}",
                headers=headers,
                json={"item": calls.service, "quantity": 3} if key else None,
            )
        except httpx2.HTTPError as error:
            return _no_outcome(calls.service, started_s, repr(error), key)
        duration_s = time.monotonic() - started_s
        if response.is_success:
            replayed = response.headers.get("Idempotent-Replayed") == "true"
            return Answer(
                calls.service, RUN, duration_s, "", key, response.content, replayed
            )
        outcome, detail = _problem(response)
        retry_after = response.headers.get("Retry-After")
        return Answer(
            calls.service,
            outcome,
            duration_s,
            detail,
            key,
            retry_after_s=float(retry_after) if retry_after else None,
        )

    async def order_status(self, service: str, organisation: str, key: str) -> Any:
        """Look up an order at the first entry and return status and body."""
        response = await self._clients[0].get(
            f"/v1/orders/{service}/{key}",
            headers={"Authorization": f"Bearer demo-{organisation}"},
        )
        return response.status_code, response.text

    async def _chat(self, calls: CallGroup, number: int, traceparent: str) -> Answer:
        position = number % len(self._clients)
        client = openai.AsyncOpenAI(
            api_key=f"demo-{calls.organisation}",
            base_url=f"{self._urls[position]}/v1",
            http_client=self._clients[position],
            # Retries would hide the outcome of the first attempt.
            max_retries=0,
            timeout=TIMEOUT_S,
        )
        prompt = f"{calls.service} {number}: " + "leg " * calls.n_prompt_words
        headers = {"traceparent": traceparent} if traceparent else {}
        started_s = time.monotonic()
        try:
            text = await _complete(client, calls, prompt, headers)
        except openai.APIStatusError as error:
            outcome, detail = _problem(error.response)
            return Answer(calls.service, outcome, time.monotonic() - started_s, detail)
        except (openai.APIConnectionError, httpx2.HTTPError) as error:
            return _no_outcome(calls.service, started_s, repr(error))
        except openai.APIError as error:
            # An error event at the end of a stream, which has no HTTP status.
            elapsed_s = time.monotonic() - started_s
            return Answer(calls.service, CUT, elapsed_s, error.message)
        if text != answer_text(prompt, calls.n_tokens):
            return _no_outcome(calls.service, started_s, f"wrong answer: {text[:60]!r}")
        return Answer(calls.service, RUN, time.monotonic() - started_s)


async def _complete(
    client: openai.AsyncOpenAI, calls: CallGroup, prompt: str, headers: dict[str, str]
) -> str:
    parameters: dict[str, Any] = {
        "model": calls.service,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": calls.n_tokens,
        "extra_headers": headers,
    }
    if not calls.is_streamed:
        whole = await client.chat.completions.create(**parameters)
        return whole.choices[0].message.content or ""
    stream = await client.chat.completions.create(**parameters, stream=True)
    parts = [
        choice.delta.content or "" async for chunk in stream for choice in chunk.choices
    ]
    return "".join(parts)


def _problem(response: Any) -> tuple[str, str]:
    """Return outcome and detail of an error response."""
    problem: Any = {}
    with suppress(ValueError):
        problem = response.json()
    if not isinstance(problem, dict):
        problem = {}
    kind = str(problem.get("type", response.text[:80])).rpartition(":")[2]
    outcome = problem.get("outcome", NO_OUTCOME)
    return outcome, f"{response.status_code} {kind}"


def _no_outcome(service: str, started_s: float, detail: str, key: str = "") -> Answer:
    return Answer(service, NO_OUTCOME, time.monotonic() - started_s, detail, key)


async def burst(callers: Callers, plan: tuple[CallGroup, ...]) -> list[Answer]:
    """Send all requests of a plan at once.

    Parameters
    ----------
    callers : Callers
        Clients to send them with.
    plan : tuple of CallGroup
        Requests to send.

    Returns
    -------
    list of Answer
        In the order of the plan.
    """
    sent = [callers.send(calls, n) for calls in plan for n in range(calls.n_calls)]
    return await asyncio.gather(*sent)


def count_outcomes(answers: list[Answer]) -> Counter[str]:
    """Return the number of answers of each outcome."""
    return Counter(answer.outcome for answer in answers)
