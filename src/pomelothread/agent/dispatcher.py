"""Sends requests to the upstream; nothing else does."""

import logging
from collections.abc import Awaitable, Callable, Mapping
from statistics import median

from opentelemetry.trace import SpanKind, Tracer

from ..clock import Clock
from ..events import Event, log_event
from ..log.claim_results import ClaimToken
from ..operators.sheet import REPEAT_NEVER, Service, Sheet
from ..outcomes import NotKnown, NotRun, Reason, Run
from ..peers.dispatch import (
    EVENT_STREAM,
    GRANT_INVALID,
    MAX_WHOLE_RESPONSE_BYTES,
    MUST_RUN_ALONE,
    SHEET_BEHIND,
    UPSTREAM_DOWN,
    Dispatch,
    body_fingerprint,
)
from ..peers.headers import end_to_end_headers
from ..peers.http_exchange import (
    Cancelled,
    Complete,
    Exchange,
    ExchangeClient,
    LostBeforeHead,
    NotConnected,
    ResponseHead,
)
from ..peers.messages import Offer
from ..policy.crashes import CrashTracker
from ..policy.prediction import DEFAULT_PREFILL_TOKENS_PER_S
from ..tracing import extract_context, inject_context
from .grants import Grants
from .orders import Orders
from .places import Reply
from .rates import UpstreamRates
from .running import DispatchOutcome, DispatchSink, NotDispatched, RunningRequest

_logger = logging.getLogger(__name__)

RETRY_AFTER_S = 2.0
# Prefill competes with the running batch, which makes it take about twice as long.
PREFILL_SLOWDOWN = 2.0


class Dispatcher:
    """Sends requests to the upstream, each at most once.

    Parameters
    ----------
    grants : Grants
        Decides which request may be dispatched.
    orders : Orders
        Claims the keys of orders.
    crashes : CrashTracker
        Requests that crash upstreams.
    client : ExchangeClient
        HTTP client for requests to the upstream.
    upstream_url : str
        Base URL of the upstream.
    clock : Clock
        Source of monotonic time.
    tracer : Tracer
        Creates the spans of each dispatch.
    rates : UpstreamRates
        Records the measured speed of the upstream.
    send_replies : callable
        Sends the control messages that result from a freed place.
    on_connection_cut : callable
        Called with the fingerprints of the running requests when the upstream
        closes a connection early, to find out whether the upstream died. It is
        awaited before the caller is answered.
    """

    def __init__(
        self,
        grants: Grants,
        orders: Orders,
        crashes: CrashTracker,
        client: ExchangeClient,
        upstream_url: str,
        clock: Clock,
        tracer: Tracer,
        rates: UpstreamRates,
        send_replies: Callable[[list[Reply]], None],
        on_connection_cut: Callable[[list[str]], Awaitable[None]],
    ) -> None:
        self._grants = grants
        self._orders = orders
        self._crashes = crashes
        self._client = client
        self._upstream_url = upstream_url.rstrip("/")
        self._clock = clock
        self._tracer = tracer
        self._rates = rates
        self._send_replies = send_replies
        self._on_connection_cut = on_connection_cut
        self._running: dict[int, RunningRequest] = {}
        self._n_streaming = 0
        self.sheet = Sheet()
        self.n_dispatched = 0

    @property
    def n_streaming(self) -> int:
        """Number of streams between their first chunk and their end."""
        return self._n_streaming

    @property
    def n_prefilling(self) -> int:
        """Estimated number of requests in their prefill phase.

        A response that is not streamed shows no progress before its end, so a
        request counts only for as long as its prefill is expected to take.
        """
        now_s = self._clock.monotonic_s()
        return sum(r.prefill_until_s > now_s for r in self._running.values())

    @property
    def service_time_s(self) -> float:
        """Average time of a request, or the median age of running ones if larger.

        The age of running requests shows that the upstream is slow long before
        they finish and enter the average.
        """
        now_s = self._clock.monotonic_s()
        ages_s = [now_s - r.started_at_s for r in self._running.values()]
        return max(self._rates.service_time_s, median(ages_s) if ages_s else 0.0)

    async def dispatch(
        self,
        dispatch: Dispatch,
        headers: Mapping[str, str],
        body: bytes,
        sink: DispatchSink,
        on_running: Callable[[RunningRequest], None],
    ) -> DispatchOutcome:
        """Use up a grant and run the request at the upstream.

        Parameters
        ----------
        dispatch : Dispatch
            The request as sent by the entry.
        headers : mapping of str to str
            The entry's headers, for ``traceparent``.
        body : bytes
            Request body for the upstream.
        sink : DispatchSink
            Receives the response, if there is one.
        on_running : callable
            Called before the first byte is sent to the upstream.

        Returns
        -------
        Run, NotRun, NotKnown, NotDispatched or None
            None if the response was written to the sink.
        """
        place = self._grants.use_grant(
            dispatch.grant, dispatch.agent_incarnation, dispatch.request_id
        )
        if place is None:
            log_event(
                _logger,
                Event.DISPATCH_REFUSED,
                request_id=dispatch.request_id,
                grant=dispatch.grant,
                cause="unknown, used or expired",
            )
            return NotDispatched(GRANT_INVALID)
        with self._tracer.start_as_current_span(
            "agent.dispatch",
            context=extract_context(headers),
            kind=SpanKind.SERVER,
            attributes={"pomelothread.service": dispatch.service},
        ):
            fingerprint = body_fingerprint(dispatch.service, dispatch.path, body)
            running = RunningRequest(place, dispatch, fingerprint, not self._running)
            running.started_at_s = self._clock.monotonic_s()
            for other in self._running.values():
                other.ran_alone = False
            self._running[place.grant] = running
            on_running(running)
            try:
                return await self._dispatch(running, body, sink)
            finally:
                del self._running[place.grant]
                self._send_replies(self._grants.release(place))

    def handle_entry_disconnect(self, running: RunningRequest) -> None:
        """Cancel a request whose entry closed its connection.

        Orders run to completion, because their result is recorded under their key.
        """
        running.entry_disconnected = True
        service = self.sheet.services.get(running.dispatch.service)
        if service is not None and self._is_order(running.dispatch, service):
            return
        if running.exchange is not None:
            running.exchange.cancel()

    def cancel_overdue(self) -> None:
        """Cancel running requests whose deadline has passed.

        Called when the upstream has failed its health check for a long time. It may
        hang forever, and callers would never get a response.
        """
        now_s = self._clock.monotonic_s()
        for running in self._running.values():
            if running.exchange is not None and now_s > running.deadline_at_s:
                running.exchange.cancel()

    async def _dispatch(
        self, running: RunningRequest, body: bytes, sink: DispatchSink
    ) -> DispatchOutcome:
        dispatch = running.dispatch
        service = self.sheet.services.get(dispatch.service)
        if service is None:
            return NotDispatched(SHEET_BEHIND)
        if self._crashes.is_convicted(running.fingerprint):
            detail = "An identical request has crashed upstreams; it did not run."
            return NotRun(Reason.CONVICTED, detail)
        if running.offer.solo:
            # While the log is down, agents learn of each other's crashes only from
            # entries, through this flag. Without it, this agent would count a
            # crash as the first of this body, and a third engine would have to
            # crash before the request is convicted.
            now_s = self._clock.monotonic_s()
            self._crashes.observe_peer(
                (running.fingerprint,), (), self.sheet.version, now_s
            )
        alone = self._crashes.must_run_alone(running.fingerprint)
        if alone and not running.offer.solo:
            return NotDispatched(MUST_RUN_ALONE)
        if not self._is_order(dispatch, service):
            return await self._run(running, body, sink, None)
        claim = await self._orders.claim(dispatch, service, body)
        if not isinstance(claim, ClaimToken):
            return claim
        return await self._run_order(running, service, body, sink, claim)

    async def _run_order(
        self,
        running: RunningRequest,
        service: Service,
        body: bytes,
        sink: DispatchSink,
        token: ClaimToken,
    ) -> DispatchOutcome:
        outcome = await self._run(running, body, sink, token)
        match outcome:
            case Run(status=status, headers=headers, body=response):
                await self._orders.finish(token, status, headers, response)
                return outcome
            case NotDispatched():
                # Nothing was sent, so the key is released for the caller's retry.
                await self._orders.abandon(token)
                return NotRun(Reason.NO_UPSTREAM, "", RETRY_AFTER_S)
            case _:
                self._orders.resolve_later(running.dispatch, service, token)
                url = self._orders.status_url(running.dispatch)
                return NotKnown(Reason.ANSWER_LOST, "The order may have run.", url)

    async def _run(
        self,
        running: RunningRequest,
        body: bytes,
        sink: DispatchSink,
        token: ClaimToken | None,
    ) -> DispatchOutcome:
        """Send the request; all checks have passed, so the dispatch is final."""
        dispatch = running.dispatch
        headers = {"X-Request-Id": dispatch.request_id}
        if dispatch.content_type:
            headers["Content-Type"] = dispatch.content_type
        if dispatch.key:
            headers["Idempotency-Key"] = dispatch.key
        started_at_s = self._clock.monotonic_s()
        running.started_at_s = started_at_s
        running.prefill_until_s = started_at_s + self._expected_prefill_s(running.offer)
        running.deadline_at_s = started_at_s + running.offer.deadline_ms / 1000
        with self._tracer.start_as_current_span(
            "agent.upstream", kind=SpanKind.CLIENT
        ) as span:
            inject_context(span, headers)
            self.n_dispatched += 1
            exchange = self._client.open_exchange(
                dispatch.method, self._upstream_url + dispatch.path, headers, body
            )
            running.exchange = exchange
            if running.entry_disconnected and token is None:
                exchange.cancel()
            outcome = await self._relay(running, exchange, sink, token, started_at_s)
        elapsed_s = self._clock.monotonic_s() - started_at_s
        if isinstance(exchange.end, Complete):
            self._rates.observe_response(elapsed_s)
            self._grants.limit.observe_response_time(elapsed_s)
            self._record_finished(running)
        return outcome

    async def _relay(
        self,
        running: RunningRequest,
        exchange: Exchange,
        sink: DispatchSink,
        token: ClaimToken | None,
        started_at_s: float,
    ) -> DispatchOutcome:
        head = await exchange.head()
        match head:
            case ResponseHead():
                pass
            case NotConnected() | Cancelled(was_sent=False):
                return NotDispatched(UPSTREAM_DOWN)
            case LostBeforeHead():
                await self._report_cut(running)
                return NotKnown(Reason.ANSWER_LOST, "The upstream's answer was lost.")
            case _:
                detail = "The upstream did not answer; the request was cancelled."
                return NotKnown(Reason.UPSTREAM_SILENT, detail)
        headers = end_to_end_headers(head.headers.get_all())
        content_type = head.headers.get("Content-Type", "")
        if token is None and content_type.startswith(EVENT_STREAM):
            sink.start(head.status, headers)
            await self._stream(running, exchange, sink, started_at_s)
            return None
        body = await exchange.read_whole(MAX_WHOLE_RESPONSE_BYTES)
        # A body that is delimited by the end of the connection may be truncated by
        # a crash.
        if isinstance(body, bytes) and exchange.end == Complete(is_delimited=True):
            now_s = self._clock.monotonic_s()
            self._grants.limit.observe_success(len(self._running), now_s)
            return Run(head.status, tuple(headers), body)
        if not isinstance(body, Cancelled):
            await self._report_cut(running)
        return NotKnown(Reason.ANSWER_LOST, "The upstream's answer was cut.")

    async def _stream(
        self,
        running: RunningRequest,
        exchange: Exchange,
        sink: DispatchSink,
        started_at_s: float,
    ) -> None:
        """Relay server-sent events as they arrive, and measure their pace."""
        limit = self._grants.limit
        last_at_s: float | None = None
        try:
            async for chunk in exchange:
                now_s = self._clock.monotonic_s()
                if last_at_s is None:
                    self._n_streaming += 1
                    running.prefill_until_s = 0.0
                    self._rates.observe_first_token(
                        running.offer.n_input_tokens, now_s - started_at_s
                    )
                else:
                    n_tokens = max(1, chunk.count(b"data:"))
                    gap_s = (now_s - last_at_s) / n_tokens
                    limit.observe_token_gap(
                        gap_s, self._n_streaming, now_s, self.n_prefilling
                    )
                last_at_s = now_s
                await sink.write(chunk)
        finally:
            if last_at_s is not None:
                self._n_streaming -= 1
        match exchange.end:
            case Complete(is_delimited=True):
                sink.finish()
            case Cancelled():
                sink.abort()
            case _:
                await self._report_cut(running)
                sink.abort()

    def _expected_prefill_s(self, offer: Offer) -> float:
        rate = self._rates.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S
        return PREFILL_SLOWDOWN * offer.n_input_tokens / rate

    def _is_order(self, dispatch: Dispatch, service: Service) -> bool:
        # Either the entry's or this agent's sheet may be the newer one. Treating a
        # request as an order needlessly is harmless.
        return dispatch.never_repeated or service.repeat == REPEAT_NEVER

    def _record_finished(self, running: RunningRequest) -> None:
        record = self._crashes.record_finished(running.fingerprint, running.ran_alone)
        if record is not None:
            self._orders.append_crash_record(record)

    async def _report_cut(self, running: RunningRequest) -> None:
        await self._on_connection_cut(
            [other.fingerprint for other in self._running.values()]
        )
