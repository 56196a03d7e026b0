"""The load of the benchmark: seeded requests, sent when they are due.

The load is open-loop: a request is sent when it is due, whether or not earlier
ones have been answered, and its latency counts from that time.
"""

import asyncio
import json
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from pomelothread.operators.sheet import Sheet
from pomelothread.peers.http_exchange import (
    Complete,
    ExchangeClient,
    NotConnected,
    ResponseHead,
)
from standins.text import BLOCK_TOKENS

RUN = "run"
NOT_RUN = "not-run"
NOT_KNOWN = "not-known"
CUT = "cut"
# The connection was not established within a second; nothing was sent.
NOT_ACCEPTED = "not-accepted"
UNFINISHED = "unfinished"

# Shortest and longest shared system prompt, usually and in the scenario "prefixes".
SHORT_PREFIX_TOKENS = (64, 64)
LONG_PREFIX_TOKENS = (400, 1500)
N_LONG_PREFIXES = 40


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """How often a service is called, and the range of its prompt and answer lengths.

    Parameters
    ----------
    service : str
        Name of the service in the sheet.
    share : float
        Share of the requests to the service's pool.
    n_output, n_input : tuple of int
        Smallest and largest number of tokens, between which lengths are
        distributed log-uniformly. Zero for plain services.
    """

    service: str
    share: float
    n_output: tuple[int, int] = (0, 0)
    n_input: tuple[int, int] = (0, 0)


# The shortest and the longest answer of a deployment differ by a factor of 100.
# At three times the capacity, the protected services need less than a third of it.
SERVICE_LOADS = {
    "saurashtra": (
        ServiceLoad("course-check", 0.50, (2, 40), (30, 120)),
        ServiceLoad("control-draft", 0.25, (20, 120), (50, 300)),
        ServiceLoad("terrain-note", 0.10, (30, 200), (100, 3000)),
        ServiceLoad("feedback-summary", 0.15, (30, 200), (300, 3000)),
        ServiceLoad("reprint-status", 0.60),
        ServiceLoad("print-order", 0.40),
    ),
    "ashcombe": (
        ServiceLoad("buyer-reply", 0.50, (10, 150), (50, 500)),
        ServiceLoad("cleft-grade", 0.30, (2, 30), (50, 400)),
        ServiceLoad("cleft-report", 0.20, (60, 200), (300, 4000)),
        ServiceLoad("stock-check", 0.30),
        ServiceLoad("bulk-order", 0.70),
    ),
}


@dataclass(frozen=True, slots=True)
class Request:
    """One request, ready to be sent.

    Parameters
    ----------
    request_id : str
        Identifier, unique in the run.
    at_s : float
        When it is due, in seconds from the start of the scenario.
    tier, pool, organisation : str
        Names in the sheet.
    deadline_s : float
        The service's deadline, in seconds from `at_s`.
    n_output : int
        Tokens of the answer; 0 for a plain service.
    n_suffix, n_prefix : int
        Number of prompt tokens after and in the shared prefix.
    prefix : str
        Name of the shared prefix.
    method, path : str
        HTTP method and path at the entry.
    headers : dict of str to str
        Request headers.
    body : bytes
        Request body.
    """

    request_id: str
    at_s: float
    tier: str
    pool: str
    organisation: str
    deadline_s: float
    n_output: int
    n_suffix: int
    n_prefix: int
    prefix: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def tier_in_pool(self) -> str:
        """Tier and pool, as a tier may have services in several pools."""
        return f"{self.tier}@{self.pool}"

    @property
    def work(self) -> float:
        """Tokens to generate, or 1 for a plain service."""
        return float(self.n_output or 1)


@dataclass(slots=True)
class Answer:
    """The response to a request; times are seconds from the start of the scenario."""

    request: Request
    outcome: str = UNFINISHED
    ended_s: float = math.inf
    n_bytes: int = 0
    tokens_by_second: dict[int, int] = field(default_factory=dict)

    @property
    def latency_s(self) -> float:
        """Time from when the request was due to the end of its response."""
        return self.ended_s - self.request.at_s

    @property
    def was_running_in_time(self) -> bool:
        """Whether the benchmark ended while it was receiving tokens in time."""
        has_started = self.outcome == UNFINISHED and bool(self.tokens_by_second)
        last_s = max(self.tokens_by_second, default=0)
        return has_started and last_s - self.request.at_s <= self.request.deadline_s

    @property
    def is_good(self) -> bool:
        """Whether the complete response came within the deadline."""
        return self.outcome == RUN and self.latency_s <= self.request.deadline_s


class RequestGenerator:
    """Draws requests of a deployment from a seeded generator.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    sheet : Sheet
        Its planning sheet.
    rng : random.Random
        Source of services, lengths, organisations and prefixes.
    salt : str
        Part of all identifiers and prefixes, so that two runs of the same load
        share no cached prefix and no idempotency key.
    has_long_prefixes : bool
        Whether prompts start with one of `N_LONG_PREFIXES` long prefixes.
    """

    def __init__(
        self,
        deployment: str,
        sheet: Sheet,
        rng: random.Random,
        salt: str,
        has_long_prefixes: bool = False,
    ) -> None:
        self._sheet = sheet
        self._rng = rng
        self._salt = salt
        self._n_made = 0
        self.service_loads: dict[str, list[ServiceLoad]] = {}
        for service_load in SERVICE_LOADS[deployment]:
            pool = sheet.services[service_load.service].pool
            self.service_loads.setdefault(pool, []).append(service_load)
        self._organisations = list(sheet.organisations.values())
        # A separate generator gives the prefixes the same lengths in all runs.
        length_rng = random.Random(1)
        self._prefixes = [
            (
                f"{salt}p{number}",
                _round_up_to_blocks(_draw_log_uniform(length_rng, LONG_PREFIX_TOKENS)),
            )
            for number in range(N_LONG_PREFIXES if has_long_prefixes else 0)
        ]

    def make(self, pool: str, at_s: float) -> Request:
        """Draw one request of a pool."""
        rng = self._rng
        service_loads = self.service_loads[pool]
        service_load = rng.choices(
            service_loads, [item.share for item in service_loads]
        )[0]
        organisation = rng.choices(
            self._organisations, [item.share for item in self._organisations]
        )[0].name
        self._n_made += 1
        request_id = f"{self._salt}-{pool}-{self._n_made}"
        headers = {
            "Authorization": f"Bearer demo-{organisation}",
            "X-Request-Id": request_id,
        }
        service = self._sheet.services[service_load.service]
        n_output = n_suffix = n_prefix = 0
        prefix, method, body = "", "POST", b""
        if service.kind == "model":
            n_output = _draw_log_uniform(rng, service_load.n_output)
            prefix, n_prefix = self._prefix(organisation, service_load.service)
            n_suffix = _draw_log_uniform(rng, service_load.n_input) + 1
            path = "/v1/chat/completions"
            body = _chat_body(
                service_load.service, prefix, n_prefix, request_id, n_suffix, n_output
            )
        elif service.repeat == "never":
            path = f"/services/{service_load.service}"
            headers["Idempotency-Key"] = request_id
            body = json.dumps({"item": request_id, "quantity": 40}).encode()
        else:
            path, method = f"/services/{service_load.service}/{request_id}", "GET"
        if body:
            headers["Content-Type"] = "application/json"
        return Request(
            request_id,
            at_s,
            service.tier,
            pool,
            organisation,
            service.deadline_s,
            n_output,
            n_suffix,
            n_prefix,
            prefix,
            method,
            path,
            headers,
            body,
        )

    def _prefix(self, organisation: str, service: str) -> tuple[str, int]:
        if self._prefixes:
            # The square favours low positions: few prefixes are frequent.
            position = int(len(self._prefixes) * self._rng.random() ** 2)
            return self._prefixes[position]
        n_tokens = _round_up_to_blocks(SHORT_PREFIX_TOKENS[0])
        return f"{self._salt}{organisation}{service}", n_tokens


def _draw_log_uniform(rng: random.Random, bounds: tuple[int, int]) -> int:
    """Draw a length from a log-uniform distribution."""
    low, high = bounds
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _round_up_to_blocks(n_tokens: int) -> int:
    """Round up to whole cache blocks, as the engine shares only these."""
    return -(-n_tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def _chat_body(
    service: str,
    prefix: str,
    n_prefix: int,
    request_id: str,
    n_suffix: int,
    n_output: int,
) -> bytes:
    # The engine counts the role of each message as one token.
    system = " ".join(f"{prefix}.{i}" for i in range(n_prefix - 1))
    user = " ".join([request_id, *["leg"] * (n_suffix - 2)])
    return json.dumps(
        {
            "model": service,
            "messages": [
                {"role": "system", "content": system},
                {"role": "user", "content": user},
            ],
            "max_tokens": n_output,
            "stream": True,
        }
    ).encode()


def mean_work(generator: RequestGenerator, pool: str, n_requests: int = 2000) -> float:
    """Return the mean of `Request.work` in a pool, from a sample."""
    return sum(generator.make(pool, 0.0).work for _ in range(n_requests)) / n_requests


def make_arrivals(
    generator: RequestGenerator,
    rng: random.Random,
    rates: dict[str, float],
    load: Callable[[float], float],
    duration_s: float,
) -> list[Request]:
    """Draw requests as a Poisson process whose rate changes over time.

    Parameters
    ----------
    generator : RequestGenerator
        Draws the requests.
    rng : random.Random
        Draws the times.
    rates : dict of str to float
        Capacity of each pool in requests a second.
    load : callable
        Maps a time in seconds to the load, as a multiple of the capacity.
    duration_s : float
        Length of the load; no request is due later.

    Returns
    -------
    list of Request
        The requests in the order in which they are due.
    """
    requests = []
    for pool, rate in rates.items():
        at_s = 0.0
        while True:
            at_s += rng.expovariate(rate * load(at_s))
            if at_s >= duration_s:
                break
            requests.append(generator.make(pool, at_s))
    return sorted(requests, key=lambda request: request.at_s)


async def send(
    client: ExchangeClient, url: str, request: Request, started_s: float
) -> Answer:
    """Send one request and read its response to the end.

    Parameters
    ----------
    client : ExchangeClient
        Client to send it with.
    url : str
        URL of the entry or the upstream.
    request : Request
        Request to send.
    started_s : float
        Start of the scenario on the event loop's clock.
    """
    loop = asyncio.get_running_loop()
    answer = Answer(request)
    exchange = client.open_exchange(
        request.method, url + request.path, request.headers, request.body
    )
    try:
        head = await exchange.head()
        tail = b""
        async for chunk in exchange:
            answer.n_bytes += len(chunk)
            second = int(loop.time() - started_s)
            n_tokens = chunk.count(b'"content"')
            counts = answer.tokens_by_second
            counts[second] = counts.get(second, 0) + n_tokens
            tail = (tail + chunk)[-200:]
    except asyncio.CancelledError:
        exchange.cancel()
        return answer
    answer.ended_s = loop.time() - started_s
    answer.outcome = _outcome(head, isinstance(exchange.end, Complete), tail, request)
    return answer


def _outcome(head: object, is_complete: bool, tail: bytes, request: Request) -> str:
    if isinstance(head, NotConnected):
        return NOT_ACCEPTED
    if not isinstance(head, ResponseHead):
        return NOT_KNOWN
    if head.status >= 400:
        return NOT_RUN if b"not-run" in tail else NOT_KNOWN
    if not is_complete or (request.n_output and b"[DONE]" not in tail):
        return CUT
    return RUN


async def run_load(
    client: ExchangeClient,
    urls: Sequence[str],
    requests: Sequence[Request],
    drain_s: float,
) -> list[Answer]:
    """Send all requests when they are due, to the URLs in turn.

    Requests without a complete response `drain_s` after the last one was sent are
    cancelled and counted as `UNFINISHED`.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    tasks = []
    for number, request in enumerate(requests):
        delay_s = started_s + request.at_s - loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        url = urls[number % len(urls)]
        tasks.append(asyncio.create_task(send(client, url, request, started_s)))
    _, pending = await asyncio.wait(tasks, timeout=drain_s)
    for task in pending:
        task.cancel()
    return list(await asyncio.gather(*tasks))
