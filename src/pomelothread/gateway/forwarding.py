"""Answers requests of callers: admission, attempts, and the final answer."""

import asyncio
import logging
import random
from dataclasses import replace
from functools import partial

from returns.result import Failure, Success

from ..clock import Clock
from ..events import Event, log_event
from ..http1.client import ConnectionPool
from ..http1.messages import Request
from ..http1.server import Responder
from ..outcomes import NotKnown, NotRun, Reason
from ..policy.repeats import (
    AnswerNotKnown,
    AnswerNotRun,
    AttemptEnd,
    Broken,
    CutResponse,
    Declined,
    Delivered,
    Finished,
    NextStep,
    PassOnFailure,
    RepeatFacts,
    TryAnother,
    Unsent,
    Withheld,
    after_attempt,
    give_up,
)
from ..policy.waiting_order import (
    WaitingFacts,
    for_repeat,
    retry_after_s,
    stream_patience_s,
)
from .admission import Admission
from .attempt import Attempt
from .dialect import CallerFacts, Dialect
from .jobs import Job
from .metrics import GatewayMetrics
from .queue import Lease, NoSlot, UpstreamQueue
from .state import GatewayState
from .upstream_results import UpstreamResults
from .upstreams import UpstreamTable

_log = logging.getLogger(__name__)


class Forwarder:
    """Answers one request at a time, any number of them together.

    Parameters
    ----------
    state : GatewayState
        Configuration, drain and counters of the process.
    dialect : Dialect
        Translates headers.
    pool : ConnectionPool
        Connections to upstreams.
    queue : UpstreamQueue
        Where requests wait.
    upstreams : UpstreamTable
        Learns which upstreams leave.
    admission : Admission
        Decides which requests may wait.
    metrics : GatewayMetrics
        Counts what happens.
    results : UpstreamResults
        Learns from the ends of attempts.
    clock : Clock
        Source of time.
    random_source : random.Random
        Spreads returning callers.
    """

    def __init__(
        self,
        state: GatewayState,
        dialect: Dialect,
        pool: ConnectionPool,
        queue: UpstreamQueue,
        upstreams: UpstreamTable,
        admission: Admission,
        metrics: GatewayMetrics,
        results: UpstreamResults,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._pool = pool
        self._queue = queue
        self._upstreams = upstreams
        self._admission = admission
        self._metrics = metrics
        self._results = results
        self._clock = clock
        self._random = random_source

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request; cancelled when the caller leaves."""
        arrived_s = self._clock.monotonic_s()
        facts = self._dialect.read_request(request)
        self._state.n_open += 1
        try:
            match await self._admission.admit(request, facts, arrived_s):
                case Failure(NotRun() as refusal):
                    self._refuse(responder, facts, refusal, arrived_s)
                case Success(Job() as job):
                    await self._answer(job, responder)
        except Exception as error:
            self._end_after_error(responder, facts, error)
        finally:
            self._state.n_open -= 1

    def _end_after_error(
        self, responder: Responder, facts: CallerFacts, error: Exception
    ) -> None:
        """End one request after an unexpected error, which others do not notice."""
        log_event(
            _log,
            Event.REQUEST_BROKEN,
            exc_info=error,
            request_id=(facts.request_id or b"").decode("latin-1"),
            detail=repr(error),
        )
        if responder.has_started:
            responder.abort()
            return
        # It may have been sent, so it is no promise that it has not run.
        not_known = NotKnown(Reason.ANSWER_LOST)
        responder.respond(*self._dialect.refusal(not_known, facts.request_id))

    async def _answer(self, job: Job, responder: Responder) -> None:
        """Try upstreams until there is an answer, at most until the deadline."""
        left_s = job.left_s(self._clock.monotonic_s())
        outcome = "caller left"
        try:
            async with asyncio.timeout(left_s) as limit:
                outcome = await self._try_upstreams(job, responder)
        except TimeoutError:
            if not limit.expired():
                raise
            outcome = self._end_at_deadline(job, responder)
        finally:
            if job.n_sent == 0:
                self._admission.give_back(job)
            self._note_end(job, outcome)

    async def _try_upstreams(self, job: Job, responder: Responder) -> str:
        while True:
            lease = await self._queue.acquire(job)
            if isinstance(lease, NoSlot):
                step = self._without_slot(job, lease, responder)
                return self._conclude(job, step, responder, None, lease.rests_for_s)
            attempt = Attempt(
                job,
                lease,
                responder,
                self._dialect,
                self._pool,
                self._queue,
                self._upstreams,
                self._clock,
                partial(self._claim_repeat, job, responder),
            )
            could_have_run = job.may_have_run
            self._log_sent(job, lease)
            sent_s = self._clock.monotonic_s()
            end: AttemptEnd | None = None
            try:
                end = await attempt.run()
            finally:
                self._queue.release(lease, attempt.has_first_event)
                if end is None:
                    lease.upstream.health.observe_cancelled()
            if isinstance(end, Declined):
                job.may_have_run = could_have_run
            self._metrics.note_attempt(
                job.service, type(end).__name__, attempt.first_event_s
            )
            self._results.note_end(lease, end, sent_s, job, attempt.status)
            step = self._next_step(job, end, responder)
            if not isinstance(end, Delivered):
                self._log_failure(job, lease, end, step, sent_s, attempt.status)
            if not isinstance(step, TryAnother):
                return self._conclude(job, step, responder, attempt)
            job.waiting = self._waiting_again(job)

    def _waiting_again(self, job: Job) -> WaitingFacts:
        patience_s = None
        if job.first_head is not None:
            patience_s = stream_patience_s(
                job.route.target_latency_s, job.route.target_gap_s
            )
        return for_repeat(job.waiting, self._clock.monotonic_s(), patience_s)

    def _next_step(self, job: Job, end: AttemptEnd, responder: Responder) -> NextStep:
        facts = self._repeat_facts(job, responder)
        step = after_attempt(end, facts)
        if not isinstance(step, TryAnother) or job.n_sent == 0:
            return step
        if isinstance(end, Broken) and end.has_repeat:
            return step
        if self._state.retry_budget(job.service).try_spend():
            return step
        # Without a repeat left, the same end is final.
        no_more = replace(facts, max_attempts=facts.n_sent)
        if isinstance(end, Unsent | Withheld):
            return give_up(no_more, Reason.NO_UPSTREAM)
        return after_attempt(end, no_more)

    def _claim_repeat(self, job: Job, responder: Responder) -> bool:
        """Take a repeat for a request whose upstream is silent, if it may have one."""
        step = after_attempt(Broken("silent"), self._repeat_facts(job, responder))
        is_allowed = isinstance(step, TryAnother)
        return is_allowed and self._state.retry_budget(job.service).try_spend()

    def _repeat_facts(self, job: Job, responder: Responder) -> RepeatFacts:
        return RepeatFacts(
            may_repeat=job.route.may_repeat,
            may_resume=job.route.is_streaming and job.route.is_resumable,
            may_have_run=job.may_have_run,
            has_begun=responder.has_started,
            n_sent=job.n_sent,
            max_attempts=job.route.max_attempts,
            left_s=job.left_s(self._clock.monotonic_s()),
        )

    def _without_slot(
        self, job: Job, no_slot: NoSlot, responder: Responder
    ) -> NextStep:
        reason = Reason.OVERLOADED if no_slot.had_upstream else Reason.NO_UPSTREAM
        return give_up(self._repeat_facts(job, responder), reason)

    def _conclude(
        self,
        job: Job,
        step: NextStep,
        responder: Responder,
        attempt: Attempt | None,
        rests_for_s: float = 0.0,
    ) -> str:
        """Give the final answer and return its name for the logs.

        `rests_for_s` is the time until an upstream may take a request again.
        """
        now_s = self._clock.monotonic_s()
        match step:
            case Finished():
                return str(attempt.status) if attempt else "finished"
            case PassOnFailure():
                return self._pass_on_failure(job, responder, attempt)
            case CutResponse():
                responder.abort()
                return "cut"
            case AnswerNotRun(reason):
                wait_s = retry_after_s(
                    job.waiting, now_s, self._random.random(), rests_for_s
                )
                refusal = NotRun(reason, retry_after_s=wait_s)
                self._refuse(responder, job.facts, refusal, job.waiting.arrived_s)
                return "not run"
            case AnswerNotKnown(reason):
                self._tell_not_known(job, responder, reason)
                return "not known"
            case TryAnother():
                raise AssertionError("a further attempt is no conclusion")

    def _pass_on_failure(
        self, job: Job, responder: Responder, attempt: Attempt | None
    ) -> str:
        assert attempt is not None and attempt.held_failure is not None
        failure = attempt.held_failure
        if failure.status in (408, 421, 429, 503):
            # The upstream does not state that the request has not run, and these
            # statuses would promise it.
            self._tell_not_known(job, responder, Reason.ANSWER_LOST)
            return "not known"
        responder.respond(failure.status, failure.headers, failure.body)
        return str(failure.status)

    def _end_at_deadline(self, job: Job, responder: Responder) -> str:
        if responder.has_started:
            responder.abort()
            return "cut at the deadline"
        if job.may_have_run:
            self._tell_not_known(job, responder, Reason.UPSTREAM_SILENT)
            return "not known at the deadline"
        refusal = NotRun(Reason.DEADLINE_UNREACHABLE, retry_after_s=0.0)
        self._refuse(responder, job.facts, refusal, job.waiting.arrived_s)
        return "not run at the deadline"

    def _tell_not_known(self, job: Job, responder: Responder, reason: Reason) -> None:
        answer = self._dialect.refusal(NotKnown(reason), job.facts.request_id)
        responder.respond(*answer)

    def _refuse(
        self,
        responder: Responder,
        facts: CallerFacts,
        refusal: NotRun,
        arrived_s: float,
    ) -> None:
        responder.respond(*self._dialect.refusal(refusal, facts.request_id))
        self._metrics.note_refusal(refusal.reason.name)
        configuration = self._state.configuration
        route = organisation = None
        if configuration is not None:
            route = configuration.find_route(facts.host, facts.path)
            organisation = configuration.find_organisation(facts.key)
        log_event(
            _log,
            Event.REQUEST_REFUSED,
            request_id=(facts.request_id or b"").decode("latin-1"),
            organisation=organisation.name if organisation else "",
            route=route.name if route else facts.path,
            took_s=round(self._clock.monotonic_s() - arrived_s, 3),
            reason=refusal.reason.name,
            retry_after_s=refusal.retry_after_s and round(refusal.retry_after_s, 2),
            configuration_version=configuration.version if configuration else None,
        )

    def _log_sent(self, job: Job, lease: Lease) -> None:
        now_s, upstream = self._clock.monotonic_s(), lease.upstream
        self._metrics.note_sent(job.service, now_s - job.waiting.arrived_s)
        log_event(
            _log,
            Event.REQUEST_SENT,
            request_id=job.request_id,
            upstream=upstream.listing.upstream_id,
            service=job.service,
            attempt=job.n_sent + 1,
            waited_s=round(now_s - job.waiting.arrived_s, 3),
            n_running=upstream.n_all_running,
            n_slots=upstream.n_slots,
            n_pending_tokens=lease.n_pending_tokens,
            speed_factor=round(upstream.speed.first_factor, 2),
            peer_age_s=self._state.peer_age_s(now_s),
        )

    def _log_failure(
        self,
        job: Job,
        lease: Lease,
        end: AttemptEnd,
        step: NextStep,
        sent_s: float,
        status: int,
    ) -> None:
        detail = end.detail if isinstance(end, Broken) else type(end).__name__
        log_event(
            _log,
            Event.ATTEMPT_FAILED,
            request_id=job.request_id,
            upstream=lease.upstream.listing.upstream_id,
            attempt=job.n_sent,
            took_s=round(self._clock.monotonic_s() - sent_s, 3),
            detail=f"{detail}, status {status}" if status else detail,
            decision=type(step).__name__,
        )

    def _note_end(self, job: Job, outcome: str) -> None:
        self._metrics.note_end(job, outcome)
        log_event(
            _log,
            Event.REQUEST_ENDED,
            request_id=job.request_id,
            organisation=job.organisation.name if job.organisation else "",
            route=job.route.name,
            outcome=outcome,
            took_s=round(self._clock.monotonic_s() - job.waiting.arrived_s, 3),
            first_event_s=job.first_event_s and round(job.first_event_s, 3),
            longest_pause_s=round(job.longest_pause_s, 3),
            attempts=job.n_sent,
            configuration_version=job.configuration_version,
        )
