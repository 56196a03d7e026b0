"""Schedules each caller's request from its arrival to its final response."""

import itertools
import logging
from collections.abc import Mapping
from dataclasses import dataclass

from opentelemetry.trace import Span, SpanKind, Tracer, set_span_in_context

from ..callers.requests import CallerRequest, ResponseSink, index_by_token
from ..clock import Clock
from ..events import Event, log_event
from ..operators.sheet import Organisation, Sheet
from ..outcomes import NotKnown, NotRun, Reason, Run
from ..peers.dispatch import MUST_RUN_ALONE, body_fingerprint, order_path
from ..policy.crashes import CrashTracker
from ..policy.retries import (
    AnswerNotKnown,
    AnswerNotRun,
    CutAfterHead,
    CutResponse,
    Done,
    NotDispatched,
    OfferAgain,
    RetryBudget,
    decide,
)
from ..policy.routing import RequestFacts, SeenPrefixes, prefix_hashes
from ..policy.shedding import Limits
from ..tracing import extract_context
from .admission import AdmissionQueue
from .agents import AgentTable
from .attempt import CUT_EVENT, Attempt, Attempts
from .floors import FloorRequests
from .metrics import EntryMetrics
from .offers import SHED_RETRY_AFTER_S, Offers
from .orders import look_up_order_outcome
from .waiting import WaitingRequest, WaitingRequests

_logger = logging.getLogger(__name__)

SHUTDOWN_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _ActiveRequest:
    """A request without a final response."""

    waiting: WaitingRequest
    attempt: Attempt | None = None


class RequestScheduler:
    """Serves the requests of one entry.

    Parameters
    ----------
    incarnation : str
        The entry's incarnation.
    region : str
        The entry's region.
    clock : Clock
        Source of monotonic time.
    agents : AgentTable
        Known agents.
    waiting : WaitingRequests
        Requests waiting for a place.
    offers : Offers
        Offers waiting requests to agents.
    attempts : Attempts
        Sends requests to the agents that granted a place.
    floors : FloorRequests
        Raises floors before protected requests are shed.
    crashes : CrashTracker
        Requests that crash upstreams, as reported by agents.
    metrics : EntryMetrics
        Metrics to update.
    tracer : Tracer
        Creates the spans of each request.
    limits : Limits
        Limits on waiting requests; the organisation's limit comes from the sheet.
    """

    def __init__(
        self,
        incarnation: str,
        region: str,
        clock: Clock,
        agents: AgentTable,
        waiting: WaitingRequests,
        offers: Offers,
        attempts: Attempts,
        floors: FloorRequests,
        crashes: CrashTracker,
        metrics: EntryMetrics,
        tracer: Tracer,
        limits: Limits,
    ) -> None:
        self._incarnation = incarnation
        self._region = region
        self._clock = clock
        self._agents = agents
        self._waiting = waiting
        self._offers = offers
        self._attempts = attempts
        self._crashes = crashes
        self._metrics = metrics
        self._tracer = tracer
        self._request_numbers = itertools.count(1)
        self._prefixes = SeenPrefixes()
        self._budget = RetryBudget()
        self._active: dict[int, _ActiveRequest] = {}
        self._queue = AdmissionQueue(
            clock, agents, waiting, offers, floors, tracer, limits
        )
        self._sheet = Sheet()
        self._organisations_by_token: dict[str, Organisation] = {}
        self.accepts_requests = True

    @property
    def sheet(self) -> Sheet:
        """The sheet in force."""
        return self._sheet

    @property
    def organisations_by_token(self) -> Mapping[str, Organisation]:
        """Organisations by the SHA-256 of their token."""
        return self._organisations_by_token

    @property
    def n_active(self) -> int:
        """Number of requests without a final response."""
        return len(self._active)

    def reject_unreachable_deadlines(self) -> None:
        """Reject requests that would miss their deadline if started now."""
        self._queue.reject_unreachable_deadlines()

    def use_sheet(self, sheet: Sheet) -> None:
        """Use a newer sheet for requests that arrive from now on."""
        self._sheet = sheet
        self._organisations_by_token = index_by_token(sheet)

    async def serve(
        self, request: CallerRequest, headers: Mapping[str, str], sink: ResponseSink
    ) -> NotRun | NotKnown | None:
        """Run a request until its caller has a final response.

        Parameters
        ----------
        request : CallerRequest
            A valid request.
        headers : mapping of str to str
            The caller's headers, for ``traceparent``.
        sink : ResponseSink
            Receives the response, if there is one.

        Returns
        -------
        NotRun, NotKnown or None
            Why there is no response; None if one was written to the sink.
        """
        started_at_s = self._clock.monotonic_s()
        with self._tracer.start_as_current_span(
            "entry.request",
            context=extract_context(headers),
            kind=SpanKind.SERVER,
            attributes={
                "pomelothread.service": request.service.name,
                "pomelothread.organisation": request.organisation.name,
                "pomelothread.tier": request.service.tier,
            },
        ) as span:
            active = _ActiveRequest(self._new_waiting_request(request))
            self._active[id(request)] = active
            try:
                outcome = await self._serve(request, active, sink, span)
            finally:
                del self._active[id(request)]
            self._metrics.observe_request(
                request.service, outcome, self._clock.monotonic_s() - started_at_s
            )
            span.set_attribute("pomelothread.outcome", _outcome_name(outcome))
        self._log_outcome(request, active, outcome)
        return outcome

    def handle_caller_disconnect(self, request: CallerRequest) -> None:
        """Stop the work for a caller that closed its connection.

        An order that was already sent runs to completion, because its result is
        recorded under its key. Any other request is cancelled at the upstream.
        """
        active = self._active.get(id(request))
        if active is None:
            return
        if active.attempt is None:
            self._waiting.remove(active.waiting)
            active.waiting.settle(NotRun(Reason.DEADLINE_PASSED, "The caller left."))
            self._offers.withdraw(active.waiting)
            return
        if not request.never_repeated and active.attempt.exchange is not None:
            active.attempt.exchange.cancel()

    async def order_outcome(
        self, organisation: Organisation, service: str, key: str
    ) -> Run | NotRun | NotKnown:
        """Look up the outcome of an order at the agents of the service's pool."""
        row = self._sheet.services.get(service)
        if row is None:
            return NotRun(Reason.UNKNOWN_SERVICE, f"No service named {service!r}.")
        views = self._agents.views(row.pool)
        return await look_up_order_outcome(
            self._attempts.client, views, organisation.name, row, key
        )

    async def _serve(
        self,
        request: CallerRequest,
        active: _ActiveRequest,
        sink: ResponseSink,
        span: Span,
    ) -> NotRun | NotKnown | None:
        waiting = active.waiting
        if not self.accepts_requests:
            return NotRun(Reason.SHUTTING_DOWN, "", SHUTDOWN_RETRY_AFTER_S)
        rejection = self._queue.admit(waiting, request.organisation)
        if rejection is not None:
            return rejection
        self._budget.earn()
        n_attempts = 0
        while True:
            binding = await self._queue.wait_for_place(waiting, span)
            if isinstance(binding, NotRun):
                return binding
            n_attempts += 1
            agent = self._agents.get(binding.grant.incarnation)
            assert agent is not None, "a grant is accepted from known agents only"
            attempt = Attempt(
                request, waiting.request_id, binding.grant, agent, waiting.deadline_at_s
            )
            active.attempt = attempt
            with self._tracer.start_as_current_span(
                "entry.dispatch",
                context=set_span_in_context(span),
                kind=SpanKind.CLIENT,
                attributes={"pomelothread.agent": agent.beat.instance},
            ) as attempt_span:
                end = await self._attempts.run(attempt, sink, attempt_span)
            if isinstance(end, CutAfterHead) and not attempt.response_started:
                return self._not_known(request, Reason.ANSWER_LOST)
            decision = decide(
                end,
                deadline_left_s=waiting.deadline_at_s - self._clock.monotonic_s(),
                n_attempts=n_attempts,
                keyed=request.never_repeated,
                protected=waiting.protected,
                budget=self._budget,
            )
            match decision:
                case Done():
                    return None
                case CutResponse():
                    sink.abort(CUT_EVENT)
                    self._metrics.streams_cut.add()
                    log_event(
                        _logger,
                        Event.STREAM_CUT,
                        request_id=waiting.request_id,
                        service=request.service.name,
                        n_bytes=attempt.n_bytes,
                        agent=agent.beat.instance,
                    )
                    return None
                case AnswerNotKnown(reason=reason):
                    return self._not_known(request, reason)
                case AnswerNotRun(reason=Reason.DEADLINE_PASSED) if waiting.protected:
                    delay_s = 0.0
                case AnswerNotRun(reason=reason):
                    return NotRun(reason, "", SHED_RETRY_AFTER_S)
                case OfferAgain(delay_s=delay_s):
                    pass
            waiting = self._copy_for_retry(waiting, end)
            active.waiting = waiting
            active.attempt = None
            await self._clock.sleep(delay_s)
            self._queue.enqueue(waiting)

    def _new_waiting_request(self, request: CallerRequest) -> WaitingRequest:
        service = request.service
        tier = self._sheet.tiers[service.tier]
        hashes = prefix_hashes(request.prompt)
        facts = RequestFacts(
            tier_rank=tier.rank,
            protected=tier.protected,
            n_input_tokens=request.n_input_tokens,
            n_output_tokens=request.n_output_tokens,
            deadline_at_s=self._clock.monotonic_s() + request.deadline_s,
            prefix_hashes=hashes,
            region=self._region,
            n_seen_prefixes=self._prefixes.observe(hashes),
        )
        fingerprint = body_fingerprint(service.name, request.path, request.body)
        return WaitingRequest(
            request_id=f"{self._incarnation}-{next(self._request_numbers)}",
            pool=service.pool,
            service=service.name,
            organisation=request.organisation.name,
            share=request.organisation.share,
            facts=facts,
            deadline_at_s=facts.deadline_at_s,
            n_body_bytes=len(request.body),
            solo=self._crashes.must_run_alone(fingerprint),
            convicted=self._crashes.is_convicted(fingerprint),
        )

    def _copy_for_retry(self, waiting: WaitingRequest, end: object) -> WaitingRequest:
        """Return a copy with a new id and an unsettled wait, for another attempt."""
        again = WaitingRequest(
            request_id=f"{self._incarnation}-{next(self._request_numbers)}",
            pool=waiting.pool,
            service=waiting.service,
            organisation=waiting.organisation,
            share=waiting.share,
            facts=waiting.facts,
            deadline_at_s=waiting.deadline_at_s,
            n_body_bytes=waiting.n_body_bytes,
            solo=waiting.solo,
        )
        match end:
            case NotDispatched(reason=reason) if reason == MUST_RUN_ALONE:
                again.solo = True
        return again

    def _not_known(self, request: CallerRequest, reason: Reason) -> NotKnown:
        url = ""
        if request.never_repeated:
            url = order_path(request.service.name, request.key)
        return NotKnown(reason, "The request may have run.", url)

    def _log_outcome(
        self,
        request: CallerRequest,
        active: _ActiveRequest,
        outcome: NotRun | NotKnown | None,
    ) -> None:
        match outcome:
            case NotRun(reason=reason):
                log_event(
                    _logger,
                    Event.REQUEST_SHED,
                    request_id=active.waiting.request_id,
                    organisation=request.organisation.name,
                    service=request.service.name,
                    reason=reason.value[0],
                )
            case NotKnown(reason=reason):
                agent = active.attempt.agent.beat.instance if active.attempt else ""
                log_event(
                    _logger,
                    Event.OUTCOME_NOT_KNOWN,
                    request_id=active.waiting.request_id,
                    organisation=request.organisation.name,
                    service=request.service.name,
                    reason=reason.value[0],
                    agent=agent,
                )
            case None:
                pass


def _outcome_name(outcome: NotRun | NotKnown | None) -> str:
    match outcome:
        case NotRun():
            return "not-run"
        case NotKnown():
            return "not-known"
        case None:
            return "run"
