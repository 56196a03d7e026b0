"""Callers of a soak run that take long streams up after a broken connection."""

import asyncio
import random

from soak_checks import STREAM_EVENTS, CallerRequest
from soak_world import HOST, KEYS, SoakDeployment
from standins.platform_caller import open_caller

# Time for a whole stream with all tries of its caller.
STREAM_DEADLINE_S = 6.0
MAX_TRIES = 4
# A try with less time than this is not made.
MIN_LEFT_S = 0.3
# Callers wait this long beyond the deadline before they give up on an answer.
ANSWER_TIMEOUT_MARGIN_S = 4.0
# Share of the streams whose route allows to resume them.
RESUMABLE_SHARE = 0.8
ORGANISATION = "club"


class StreamLoad:
    """Callers that ask for one long stream after another until they are told to stop.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment that the callers send requests to.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, deployment: SoakDeployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(f"streams {seed}")
        self._n_sent = 0
        self.is_stopping = False

    async def send_until_stopped(self) -> None:
        """Get streams, each with as many tries as it takes and the route allows."""
        while not self.is_stopping:
            await self._get_stream()
            await asyncio.sleep(self._random.uniform(0.0, 0.06))

    async def _get_stream(self) -> None:
        is_resumable = self._random.random() < RESUMABLE_SHARE
        route = "serials" if is_resumable else "letters"
        until_s = self._deployment.now_s() + STREAM_DEADLINE_S
        gateway = self._random.choice(self._deployment.in_rotation).number
        first: CallerRequest | None = None
        n_events = 0
        for _ in range(MAX_TRIES if is_resumable else 1):
            request = self._make_request(route, gateway, until_s)
            if first is not None:
                _, version = first.events[0]
                request.first_id, request.after_event = first.request_id, n_events
                request.version_serves = self._deployment.n_writers(version) > 1
            self._deployment.history.requests.append(request)
            await self._send(request)
            if request.status == 200 and request.is_complete:
                return
            n_events += len(request.events)
            if first is None and request.events:
                first = request
            left_s = until_s - self._deployment.now_s()
            wait_s = float(request.headers.get("retry-after", "0"))
            await asyncio.sleep(min(max(wait_s, 0.1), max(left_s, 0.0) / 3))
            if left_s < 2 * MIN_LEFT_S:
                return
            gateway = (gateway + 1) % len(self._deployment.gateways)

    def _make_request(self, route: str, gateway: int, until_s: float) -> CallerRequest:
        self._n_sent += 1
        request_id = f"s{self._n_sent}"
        now_s = self._deployment.now_s()
        return CallerRequest(
            request_id=request_id,
            route=route,
            target=f"/{route}/{request_id}",
            body=f"body of {request_id}".encode(),
            organisation=ORGANISATION,
            n_tokens=40 + STREAM_EVENTS[route],
            gateway=gateway,
            sent_s=now_s,
            deadline_s=round(until_s - now_s, 2),
        )

    async def _send(self, request: CallerRequest) -> None:
        """Send one request and record its answer."""
        address = self._deployment.gateways[request.gateway].callers_address
        try:
            async with asyncio.timeout(1.0):
                caller = await open_caller(address, HOST)
        except (OSError, TimeoutError):
            # The gateway is down or paused.
            request.was_connected = False
            request.ended_s = self._deployment.now_s()
            return
        headers = [("X-Prompt-Prefix", request.prompt)]
        if request.first_id:
            headers.append(("Last-Event-Id", str(request.after_event)))
            headers.append(("Resumes", request.first_id))
        caller.send(
            request.target,
            body=request.body,
            request_id=request.request_id,
            key=KEYS[request.organisation],
            tokens=f"40,{STREAM_EVENTS[request.route]}",
            headers=headers,
            deadline_ms=round(request.deadline_s * 1000),
        )
        try:
            async with asyncio.timeout(request.deadline_s + ANSWER_TIMEOUT_MARGIN_S):
                answer = await caller.answer()
        except TimeoutError:
            # The gateway is paused or holds the answer back: no answer is recorded.
            return
        finally:
            caller.close()
        request.status, request.headers = answer.status, answer.headers
        request.answer, request.is_complete = answer.body, answer.is_complete
        request.ended_s = self._deployment.now_s()
