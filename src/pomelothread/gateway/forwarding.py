"""Handles callers' requests: admission, attempts and the final response."""

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
from ..policy.crashing_parts import Verdict
from ..policy.early_ends import MIN_BUDGET_SHARES, Doubt
from ..policy.repeats import (
    AnswerNotKnown,
    AnswerNotRun,
    AttemptEnd,
    Broken,
    CutResponse,
    Declined,
    Delivered,
    Doubted,
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
from ..policy.stream_versions import MAX_ID_CHARS
from ..policy.waiting_order import (
    WaitingFacts,
    for_repeat,
    retry_after_s,
    stream_patience_s,
)
from .admission import Admission, convicted_part, convicted_request
from .attempt import Attempt
from .buffer_budget import BufferBudget
from .dialect import CallerFacts, Dialect
from .jobs import DoubtedEnd, Job
from .metrics import GatewayMetrics
from .part_crashes import PartCrashReporter
from .queue import Lease, NoSlot, UpstreamQueue
from .response_ends import ResponseEnds
from .state import GatewayState
from .stream_log import StreamLog
from .stream_versions import StreamVersionExchange
from .upstream_results import UpstreamResults
from .upstreams import UpstreamTable

_log = logging.getLogger(__name__)


class Forwarder:
    """Handles requests; any number may be in progress concurrently.

    Parameters
    ----------
    state : GatewayState
        Configuration, shutdown state and counters of the process.
    dialect : Dialect
        Translates headers between callers and upstreams.
    pool : ConnectionPool
        Connections to upstreams.
    queue : UpstreamQueue
        Assigns waiting requests to upstream slots.
    upstreams : UpstreamTable
        Notified of upstreams that announce that they are leaving.
    admission : Admission
        Decides which requests may wait.
    metrics : GatewayMetrics
        Metrics of requests and attempts.
    results : UpstreamResults
        Updates health, speed and crash records from the results of attempts.
    part_crashes : PartCrashReporter
        Evidence about parts of prompts that crash upstreams.
    streams : StreamVersionExchange
        Knows at which software streams began.
    stream_log : StreamLog
        Logs which processes write the events of streams.
    ends : ResponseEnds
        Proves the ends of responses without framing.
    clock : Clock
        Source of time.
    random_source : random.Random
        Jitter of Retry-After.
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
        part_crashes: PartCrashReporter,
        streams: StreamVersionExchange,
        stream_log: StreamLog,
        ends: ResponseEnds,
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
        self._part_crashes = part_crashes
        self._streams = streams
        self._stream_log = stream_log
        self._ends = ends
        self._clock = clock
        self._random = random_source
        self.buffer_budget = BufferBudget()
        # Time limits of the requests that are open.
        self._open: set[asyncio.Timeout] = set()
        self._is_ending = False

    def end_open_requests(self) -> None:
        """Answer all open requests now, before the process ends."""
        self._is_ending = True
        for limit in self._open:
            limit.reschedule(asyncio.get_running_loop().time())

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request; cancelled when the caller disconnects."""
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
            self._answer_internal_error(responder, facts, error)
        finally:
            self._state.n_open -= 1

    def _answer_internal_error(
        self, responder: Responder, facts: CallerFacts, error: Exception
    ) -> None:
        """Log an unexpected error and end the request that raised it."""
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
        # The request may have been sent, so NotRun would be a false promise.
        not_known = NotKnown(Reason.ANSWER_LOST)
        responder.respond(*self._dialect.encode_refusal(not_known, facts.request_id))

    async def _answer(self, job: Job, responder: Responder) -> None:
        """Try upstreams until one responds or the deadline passes."""
        left_s = job.left_s(self._clock.monotonic_s())
        outcome = "caller left"
        try:
            async with asyncio.timeout(left_s) as deadline:
                self._open.add(deadline)
                outcome = await self._try_upstreams(job, responder)
        except TimeoutError:
            if not deadline.expired():
                raise
            outcome = self._end_at_deadline(job, responder)
        finally:
            self._open.discard(deadline)
            if job.n_sent == 0:
                self._admission.refund_quota(job)
            self._record_end(job, outcome)

    async def _try_upstreams(self, job: Job, responder: Responder) -> str:
        if job.takes_up_stream and not await self._find_software(job):
            step = give_up(
                self._repeat_facts(job, responder), Reason.STREAM_NOT_RESUMED
            )
            return self._apply_final_step(job, step, responder, None)
        while True:
            lease = await self._queue.acquire(job)
            if isinstance(lease, NoSlot):
                if job.doubted_end is not None:
                    self._state.retry_budget(job.service).refund()
                step = self._step_without_slot(job, lease, responder)
                return self._apply_final_step(
                    job, step, responder, None, lease.available_in_s
                )
            attempt = Attempt(
                job,
                lease,
                responder,
                self._dialect,
                self._pool,
                self._queue,
                self._upstreams,
                self._clock,
                partial(self._try_spend_retry, job, responder),
                partial(self._part_crashes.observe_sound, job),
                self._streams.record_began,
                self.buffer_budget,
                self._stream_log,
                self._ends,
            )
            could_have_run = job.may_have_run
            self._log_sent(job, lease)
            started_s = self._clock.monotonic_s()
            end: AttemptEnd | None = None
            try:
                await self._ends.prepare(lease.upstream)
                end = await attempt.run()
            finally:
                self._queue.release(lease, attempt.has_first_event)
                if end is None:
                    lease.upstream.health.observe_cancelled()
            if attempt.was_sent:
                # A trial is sent once; its repeat is refused like other requests.
                job.is_trial = False
            if isinstance(end, Declined):
                job.may_have_run = could_have_run
            self._metrics.record_attempt(
                job.service, type(end).__name__, attempt.first_event_s
            )
            if attempt.was_sent and lease.permit_until_s is not None:
                upstream_id = lease.upstream.listing.upstream_id
                self._metrics.record_permit(upstream_id, "used")
            self._results.record_end(attempt, end, started_s)
            if await self._may_have_crashed_upstream(attempt, end):
                # Another upstream might crash as well.
                facts = self._repeat_facts(job, responder)
                step = give_up(facts, Reason.ANSWER_LOST)
            else:
                step = self._next_step(job, end, responder)
            if not isinstance(end, Delivered | Doubted):
                self._log_failure(job, lease, end, step, started_s, attempt.status)
            if not isinstance(step, TryAnother):
                return self._apply_final_step(job, step, responder, attempt)
            job.waiting = self._waiting_facts_for_retry(job)

    async def _find_software(self, job: Job) -> bool:
        """Find out at which software a stream may go on; return whether it is known."""
        if not job.route.is_resumable:
            self._log_not_resumed(job, "streams of its route may not be resumed")
            return False
        if job.last_event_id is None:
            self._log_not_resumed(job, "the id of its last event cannot be read")
            return False
        services = [destination.service for destination in job.route.destinations]
        stream_id = job.facts.first_attempt_id
        software = await self._streams.find(stream_id, services)
        if software is None or software.service not in services:
            cause = "the software at which it began is not known"
            self._log_not_resumed(job, cause)
            return False
        job.software, job.service = software, software.service
        return True

    def _log_not_resumed(self, job: Job, cause: str) -> None:
        self._stream_log.record_outcome("refused")
        log_event(
            _log,
            Event.STREAM_NOT_RESUMED,
            request_id=job.request_id,
            stream=job.stream_id[:MAX_ID_CHARS],
            last_event_id=job.last_event_id,
            cause=cause,
        )

    async def _may_have_crashed_upstream(
        self, attempt: Attempt, end: AttemptEnd
    ) -> bool:
        """Return whether a part of the prompt may have crashed the upstream."""
        was_cut = isinstance(end, Broken) and end.was_cut
        if not was_cut or attempt.is_known_sound:
            return False
        if not self._part_crashes.is_untested(attempt.job):
            return False
        return await self._results.has_crashed(attempt.process.start)

    def _waiting_facts_for_retry(self, job: Job) -> WaitingFacts:
        patience_s = None
        if job.doubted_end is not None:
            # The caller has all events, and waits for the end only.
            patience_s = 0.0
        elif job.first_head is not None:
            patience_s = stream_patience_s(
                job.route.target_latency_s, job.route.target_gap_s
            )
        return for_repeat(job.waiting, self._clock.monotonic_s(), patience_s)

    def _next_step(self, job: Job, end: AttemptEnd, responder: Responder) -> NextStep:
        facts = self._repeat_facts(job, responder)
        step = after_attempt(end, facts)
        if not isinstance(step, TryAnother) or job.n_sent == 0:
            return step
        if isinstance(end, Withheld) or (isinstance(end, Broken) and end.has_repeat):
            # Nothing was sent, or the budget was charged already.
            return step
        if self._try_spend_budget(job):
            return step
        # The retry budget is exhausted: decide again as after the last attempt.
        exhausted = replace(facts, max_attempts=facts.n_sent)
        if isinstance(end, Unsent | Withheld):
            return give_up(exhausted, Reason.NO_UPSTREAM)
        return after_attempt(end, exhausted)

    def _try_spend_budget(self, job: Job) -> bool:
        """Take a retry from the budget; questions for ends leave some of it."""
        budget, end = self._state.retry_budget(job.service), job.doubted_end
        if end is not None and not budget.has_share(MIN_BUDGET_SHARES[end.doubt]):
            return False
        return budget.try_spend()

    def _try_spend_retry(self, job: Job, responder: Responder) -> bool:
        """Take a retry from the budget if a request that timed out may be retried."""
        step = after_attempt(Broken("timed out"), self._repeat_facts(job, responder))
        is_allowed = isinstance(step, TryAnother)
        return is_allowed and self._state.retry_budget(job.service).try_spend()

    def _repeat_facts(self, job: Job, responder: Responder) -> RepeatFacts:
        if job.software is None and job.origin is not None:
            # The list may name the process by now.
            job.software = self._upstreams.software_of(job.origin)
        return RepeatFacts(
            may_repeat=job.route.may_repeat,
            may_resume=job.route.is_resumable_stream
            and job.may_go_on
            and (job.software is not None or not job.has_events),
            may_have_run=job.may_have_run,
            has_begun=responder.has_started,
            n_sent=job.n_sent,
            max_attempts=job.route.max_attempts,
            left_s=job.left_s(self._clock.monotonic_s()),
        )

    def _step_without_slot(
        self, job: Job, no_slot: NoSlot, responder: Responder
    ) -> NextStep:
        reason = Reason.OVERLOADED if no_slot.had_upstream else Reason.NO_UPSTREAM
        if no_slot.is_convicted:
            reason = Reason.CONVICTED
        if no_slot.is_stopping:
            reason = Reason.SHUTTING_DOWN
        if job.software is not None and not no_slot.had_upstream:
            reason = Reason.STREAM_NOT_RESUMED
            n_unproven = len(job.unproven_starts)
            self._log_not_resumed(
                job,
                f"no upstream for {job.software}, "
                f"{n_unproven} did not state the listed start",
            )
        return give_up(self._repeat_facts(job, responder), reason)

    def _apply_final_step(
        self,
        job: Job,
        step: NextStep,
        responder: Responder,
        attempt: Attempt | None,
        available_in_s: float = 0.0,
    ) -> str:
        """Send the final response and return its outcome for logs and metrics.

        `available_in_s` is the time until an upstream accepts requests again.
        """
        now_s = self._clock.monotonic_s()
        if job.doubted_end is not None:
            return self._end_doubted_stream(job.doubted_end, responder)
        match step:
            case Finished():
                return str(attempt.status) if attempt else "finished"
            case PassOnFailure():
                return self._pass_on_failure(job, responder, attempt)
            case CutResponse():
                responder.abort()
                if job.route.is_streaming:
                    self._stream_log.record_outcome("cut")
                return "cut"
            case AnswerNotRun(Reason.CONVICTED):
                refusal = convicted_request()
                if self._part_crashes.verdict_on(job) is Verdict.REFUSED:
                    refusal = convicted_part()
                self._refuse(responder, job.facts, refusal, job.waiting.arrived_s)
                return "not run"
            case AnswerNotRun(reason):
                wait_s = retry_after_s(
                    job.waiting, now_s, self._random.random(), available_in_s
                )
                refusal = NotRun(reason, retry_after_s=wait_s)
                self._refuse(responder, job.facts, refusal, job.waiting.arrived_s)
                return "not run"
            case AnswerNotKnown(reason):
                self._respond_not_known(job, responder, reason)
                return "not known"
            case TryAnother():
                raise AssertionError("TryAnother is not a final step")

    def _end_doubted_stream(self, end: DoubtedEnd, responder: Responder) -> str:
        """End a stream of which nobody has said whether more follows."""
        if end.doubt is Doubt.SUSPECTED:
            # Its caller can take it up, and then learns what follows.
            responder.abort()
            self._stream_log.record_outcome("cut")
            return "cut, as its end is not confirmed"
        responder.finish(end.remainder)
        return "end not confirmed"

    def _pass_on_failure(
        self, job: Job, responder: Responder, attempt: Attempt | None
    ) -> str:
        assert attempt is not None and attempt.buffered_failure is not None
        failure = attempt.buffered_failure
        if failure.status in (408, 421, 429, 503):
            # Callers take these statuses to mean that the request has not run, which
            # the upstream does not state.
            self._respond_not_known(job, responder, Reason.ANSWER_LOST)
            return "not known"
        responder.respond(failure.status, failure.headers, failure.body)
        return str(failure.status)

    def _end_at_deadline(self, job: Job, responder: Responder) -> str:
        when = "the end of the process" if self._is_ending else "the deadline"
        if job.doubted_end is not None:
            outcome = self._end_doubted_stream(job.doubted_end, responder)
            return f"{outcome} at {when}"
        if responder.has_started:
            responder.abort()
            return f"cut at {when}"
        if job.may_have_run:
            self._respond_not_known(job, responder, Reason.UPSTREAM_SILENT)
            return f"not known at {when}"
        reason = Reason.DEADLINE_UNREACHABLE
        if self._is_ending:
            reason = Reason.SHUTTING_DOWN
        refusal = NotRun(reason, retry_after_s=0.0)
        self._refuse(responder, job.facts, refusal, job.waiting.arrived_s)
        return f"not run at {when}"

    def _respond_not_known(
        self, job: Job, responder: Responder, reason: Reason
    ) -> None:
        answer = self._dialect.encode_refusal(NotKnown(reason), job.facts.request_id)
        responder.respond(*answer)

    def _refuse(
        self,
        responder: Responder,
        facts: CallerFacts,
        refusal: NotRun,
        arrived_s: float,
    ) -> None:
        responder.respond(*self._dialect.encode_refusal(refusal, facts.request_id))
        self._metrics.record_refusal(refusal.reason.name)
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
        self._metrics.record_sent(job.service, now_s - job.waiting.arrived_s)
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
            speed_factor=round(upstream.speed.slowness_factor, 2),
            peer_age_s=self._state.peer_age_s(now_s),
        )

    def _log_failure(
        self,
        job: Job,
        lease: Lease,
        end: AttemptEnd,
        step: NextStep,
        started_s: float,
        status: int,
    ) -> None:
        detail = end.detail if isinstance(end, Broken) else type(end).__name__
        log_event(
            _log,
            Event.ATTEMPT_FAILED,
            request_id=job.request_id,
            upstream=lease.upstream.listing.upstream_id,
            attempt=job.n_sent,
            took_s=round(self._clock.monotonic_s() - started_s, 3),
            detail=f"{detail}, status {status}" if status else detail,
            decision=type(step).__name__,
        )

    def _record_end(self, job: Job, outcome: str) -> None:
        self._metrics.record_end(job, outcome)
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
