"""Sends requests to the agents that granted a place and relays the responses."""

import asyncio
from dataclasses import dataclass

import msgspec
from opentelemetry.trace import Span

from ..callers.requests import CallerRequest, ResponseSink
from ..clock import Clock
from ..peers.control import ControlChannel
from ..peers.dispatch import (
    DISPATCH_PATH,
    EVENT_STREAM,
    MAX_WHOLE_RESPONSE_BYTES,
    NOT_DISPATCHED,
    OUTCOME_HEADER,
    REASON_HEADER,
    Dispatch,
)
from ..peers.headers import end_to_end_headers
from ..peers.http_exchange import (
    Cancelled,
    End,
    Exchange,
    ExchangeClient,
    NotConnected,
    ResponseHead,
)
from ..peers.http_exchange import (
    Complete as ExchangeComplete,
)
from ..peers.messages import Grant, Revoke, Revoked
from ..peers.waiting import wait_at_most
from ..policy.retries import (
    AttemptEnd,
    Complete,
    CutAfterHead,
    LostBeforeHead,
    NotDispatched,
    NothingSent,
)
from ..tracing import inject_context
from .agents import AgentTable, KnownAgent

REVOKE_TIMEOUT_S = 0.5

# How long an agent may go without a heartbeat before an attempt is cancelled. Before
# the response head, the caller's deadline must have passed as well, because a paused
# agent still delivers the response once it resumes.
SILENCE_BEFORE_HEAD_S = 2.5
SILENCE_AFTER_HEAD_S = 30.0
SILENCE_CHECK_PERIOD_S = 0.5

CUT_EVENT = b"event: error\ndata: %s\n\n" % msgspec.json.encode(
    {
        "error": {
            "message": "The answer was cut; it ran, but the rest is lost.",
            "type": "answer-cut",
            "code": "answer-cut",
        }
    }
)


@dataclass(slots=True)
class Attempt:
    """State of one attempt to run a request at an agent.

    Parameters
    ----------
    request : CallerRequest
        The request to send.
    request_id : str
        Identifier that is unique in the fleet.
    grant : Grant
        The grant that the attempt uses.
    agent : KnownAgent
        The agent that made the grant.
    deadline_at_s : float
        Monotonic time of the caller's deadline.
    exchange : Exchange or None
        The HTTP exchange, once it is open.
    response_started : bool
        Whether the caller has been sent the head of the response.
    n_bytes : int
        Number of body bytes relayed to the caller.
    agent_timed_out : bool
        Whether the attempt was cancelled because the agent was silent.
    """

    request: CallerRequest
    request_id: str
    grant: Grant
    agent: KnownAgent
    deadline_at_s: float
    exchange: Exchange | None = None
    response_started: bool = False
    n_bytes: int = 0
    agent_timed_out: bool = False


class Attempts:
    """Runs attempts and matches replies to `Revoke` messages.

    Parameters
    ----------
    incarnation : str
        The entry's incarnation.
    channel : ControlChannel
        Sends control messages to agents.
    agents : AgentTable
        Known agents.
    client : ExchangeClient
        HTTP client for requests to agents.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = (
        "_agents",
        "_channel",
        "_clock",
        "_incarnation",
        "_pending_revokes",
        "client",
    )

    def __init__(
        self,
        incarnation: str,
        channel: ControlChannel,
        agents: AgentTable,
        client: ExchangeClient,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._channel = channel
        self._agents = agents
        self.client = client
        self._clock = clock
        self._pending_revokes: dict[tuple[str, int], asyncio.Future[bool]] = {}

    async def run(self, attempt: Attempt, sink: ResponseSink, span: Span) -> AttemptEnd:
        """Send the request and relay the response.

        Parameters
        ----------
        attempt : Attempt
            The attempt to run; its state is updated.
        sink : ResponseSink
            Receives the response for the caller.
        span : Span
            Span of this attempt.

        Returns
        -------
        AttemptEnd
            How it ended, for `policy.retries.decide`.
        """
        attempt.exchange = self._open(attempt, span)
        silence_check = asyncio.create_task(self._cancel_if_agent_silent(attempt))
        try:
            head = await attempt.exchange.head()
            match head:
                case ResponseHead():
                    return await self._relay(attempt, head, sink)
                case NotConnected():
                    return NothingSent()
                case Cancelled(was_sent=False):
                    return NothingSent()
                case _:
                    revoked = await self._revoke(attempt)
                    return LostBeforeHead(revoked, timed_out=attempt.agent_timed_out)
        finally:
            silence_check.cancel()

    def handle_revoked(self, message: Revoked) -> None:
        """Handle an agent's reply to `Revoke`."""
        future = self._pending_revokes.get((message.incarnation, message.grant))
        if future is not None and not future.done():
            future.set_result(message.never_used)

    def _open(self, attempt: Attempt, span: Span) -> Exchange:
        request = attempt.request
        headers = Dispatch(
            request_id=attempt.request_id,
            grant=attempt.grant.grant,
            agent_incarnation=attempt.grant.incarnation,
            service=request.service.name,
            organisation=request.organisation.name,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            key=request.key,
            never_repeated=request.never_repeated,
        ).to_headers()
        inject_context(span, headers)
        url = f"http://{attempt.agent.beat.http_address}{DISPATCH_PATH}"
        return self.client.open_exchange("POST", url, headers, request.body)

    async def _relay(
        self, attempt: Attempt, head: ResponseHead, sink: ResponseSink
    ) -> AttemptEnd:
        assert attempt.exchange is not None
        if head.headers.get(OUTCOME_HEADER) == NOT_DISPATCHED:
            await attempt.exchange.read_whole(MAX_WHOLE_RESPONSE_BYTES)
            return NotDispatched(head.headers.get(REASON_HEADER, ""))
        headers = end_to_end_headers(head.headers.get_all())
        content_type = head.headers.get("Content-Type", "")
        if not content_type.startswith(EVENT_STREAM):
            body = await attempt.exchange.read_whole(MAX_WHOLE_RESPONSE_BYTES)
            if not isinstance(body, bytes):
                return CutAfterHead()
            attempt.response_started = True
            sink.start(head.status, headers)
            await sink.write(body)
            sink.finish()
            return Complete()
        attempt.response_started = True
        sink.start(head.status, headers)
        async for chunk in attempt.exchange:
            attempt.n_bytes += len(chunk)
            await sink.write(chunk)
        return self._end_stream(attempt.exchange.end, sink)

    def _end_stream(self, end: End | None, sink: ResponseSink) -> AttemptEnd:
        match end:
            case ExchangeComplete(is_delimited=True):
                sink.finish()
                return Complete()
            case _:
                return CutAfterHead()

    async def _revoke(self, attempt: Attempt) -> bool | None:
        """Revoke the grant and return whether it was never used; None on timeout."""
        grant = attempt.grant
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending_revokes[grant.incarnation, grant.grant] = future
        message = Revoke(
            self._incarnation, attempt.request_id, grant.grant, grant.incarnation
        )
        self._channel.send(attempt.agent.beat.inbox, message)
        try:
            answered = await wait_at_most(future, self._clock, REVOKE_TIMEOUT_S)
            return future.result() if answered else None
        finally:
            del self._pending_revokes[grant.incarnation, grant.grant]

    async def _cancel_if_agent_silent(self, attempt: Attempt) -> None:
        """Cancel the exchange once its agent has been silent for too long."""
        exchange = attempt.exchange
        assert exchange is not None
        while exchange.end is None:
            await self._clock.sleep(SILENCE_CHECK_PERIOD_S)
            now_s = self._clock.monotonic_s()
            silent_s = now_s - attempt.agent.heard_at_s
            if attempt.response_started:
                is_lost = silent_s > SILENCE_AFTER_HEAD_S
            else:
                is_late = now_s > attempt.deadline_at_s
                is_lost = is_late and silent_s > SILENCE_BEFORE_HEAD_S
            if is_lost:
                attempt.agent_timed_out = True
                exchange.cancel()
