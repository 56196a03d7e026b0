"""Admission control: checks a request and sets its queueing deadlines."""

import asyncio
import random

from returns.result import Failure, Result, Success

from ..clock import Clock
from ..http1.messages import Request
from ..outcomes import NotRun, Reason
from ..policy.crash_guard import request_fingerprint
from ..policy.crashing_parts import Verdict
from ..policy.quotas import QuotaTracker
from ..policy.waiting_order import (
    MAX_RETRY_AFTER_SHARE,
    WaitingFacts,
    stream_patience_s,
    urgency,
)
from .configuration import Configuration, Organisation, Route
from .crashes import CrashReporter
from .dialect import CallerFacts
from .jobs import Job
from .part_crashes import PartCrashReporter
from .state import GatewayState

# Subtracted from the caller's deadline, so that the response arrives in time.
ANSWER_MARGIN_S = 0.02
# Retry-After of refusals that do not depend on load, and the minimum for quotas.
DEFAULT_RETRY_AFTER_S = 0.3
# Maximum time that a request waits for the configuration and the quota usage, which
# take two calls to the store after startup.
MAX_STARTUP_WAIT_S = 1.0
# Retry-After for a request that has crashed upstreams.
CRASH_RETRY_AFTER_S = 60.0


class Admission:
    """Admits or refuses requests by route, API key, crash history and quota.

    Parameters
    ----------
    state : GatewayState
        Configuration and shutdown state of the process.
    quotas : QuotaTracker
        Quotas of organisations.
    crashes : CrashReporter
        Knows the fingerprints of requests that crash upstreams.
    part_crashes : PartCrashReporter
        Knows the parts of prompts that crash upstreams.
    clock : Clock
        Source of time.
    random_source : random.Random
        Picks a destination of the route at random, by weight.
    """

    def __init__(
        self,
        state: GatewayState,
        quotas: QuotaTracker,
        crashes: CrashReporter,
        part_crashes: PartCrashReporter,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._state = state
        self._quotas = quotas
        self._crashes = crashes
        self._part_crashes = part_crashes
        self._clock = clock
        self._random = random_source

    async def admit(
        self, request: Request, facts: CallerFacts, arrived_s: float
    ) -> Result[Job, NotRun]:
        """Decide whether a request may wait for an upstream.

        Parameters
        ----------
        request : Request
            As the caller sent it.
        facts : CallerFacts
            Parsed head of the request.
        arrived_s : float
            Monotonic arrival time.

        Returns
        -------
        Result of Job, NotRun
            The job has been charged to its organisation's quota; `refund_quota`
            reverses the charge.
        """
        if not self._state.startup_complete.is_set():
            await self._wait_until_prepared()
        return self._check_and_admit(request, facts, arrived_s)

    def refund_quota(self, job: Job) -> None:
        """Refund the quota that a request was charged, if it was never sent."""
        if job.organisation is not None:
            units = quota_units(job.organisation, job.facts)
            self._quotas.refund(
                job.organisation.name,
                units,
                job.waiting.arrived_s,
                self._clock.monotonic_s(),
            )

    async def _wait_until_prepared(self) -> None:
        """Wait for the startup reads of the store, up to `MAX_STARTUP_WAIT_S`."""
        try:
            async with asyncio.timeout(MAX_STARTUP_WAIT_S):
                await self._state.startup_complete.wait()
        except TimeoutError:
            # Without a configuration, the request is then refused with a Retry-After.
            return

    def _check_and_admit(
        self, request: Request, facts: CallerFacts, arrived_s: float
    ) -> Result[Job, NotRun]:
        configuration = self._state.usable_configuration
        if configuration is None:
            return Failure(
                NotRun(Reason.NO_UPSTREAM, "not started yet", DEFAULT_RETRY_AFTER_S)
            )
        route = configuration.find_route(facts.host, facts.path)
        if route is None:
            return Failure(NotRun(Reason.UNKNOWN_RESOURCE))
        organisation = configuration.find_organisation(facts.key)
        needs_key = bool(configuration.organisations) and not route.is_public
        if needs_key and organisation is None:
            return Failure(NotRun(Reason.UNAUTHORISED))
        if facts.request_id is None:
            return Failure(NotRun(Reason.MALFORMED_BODY, "the request has no id"))
        fingerprint = request_fingerprint(
            request.method,
            request.target,
            request.body,
            organisation.name if organisation else "",
        )
        request_verdict = self._crashes.verdict_on_arrival(fingerprint, arrived_s)
        if request_verdict is Verdict.REFUSED:
            return Failure(convicted_request())
        verdict = self._part_crashes.verdict_on_arrival(facts.shared_parts, arrived_s)
        if verdict is Verdict.REFUSED:
            return Failure(convicted_part())
        if self._state.refuses_new:
            return Failure(
                NotRun(Reason.SHUTTING_DOWN, retry_after_s=DEFAULT_RETRY_AFTER_S)
            )
        if organisation is not None:
            units = quota_units(organisation, facts)
            if not self._quotas.try_take(organisation.name, units, arrived_s):
                return Failure(self._quota_refusal(organisation, facts, arrived_s))
        job = self._make_job(
            request, facts, arrived_s, configuration, route, organisation, fingerprint
        )
        if request_verdict is Verdict.TRIAL:
            self._crashes.begin_trial(job)
        if verdict is Verdict.TRIAL:
            self._part_crashes.begin_trial(job)
        self._state.retry_budget(job.service).earn()
        return Success(job)

    def _quota_refusal(
        self, organisation: Organisation, facts: CallerFacts, now_s: float
    ) -> NotRun:
        units = quota_units(organisation, facts)
        wait_s = self._quotas.seconds_until(organisation.name, units, now_s)
        max_retry_after_s = MAX_RETRY_AFTER_SHARE * (
            facts.deadline_s or DEFAULT_RETRY_AFTER_S
        )
        return NotRun(
            Reason.ORGANISATION_LIMIT,
            retry_after_s=min(max(wait_s, DEFAULT_RETRY_AFTER_S), max_retry_after_s),
        )

    def _make_job(
        self,
        request: Request,
        facts: CallerFacts,
        arrived_s: float,
        configuration: Configuration,
        route: Route,
        organisation: Organisation | None,
        fingerprint: str,
    ) -> Job:
        destinations = route.destinations
        service = self._random.choices(
            [destination.service for destination in destinations],
            [destination.weight for destination in destinations],
        )[0]
        timeout_s = route.timeout_s
        if facts.deadline_s is not None:
            timeout_s = min(timeout_s, facts.deadline_s)
        patience_s = timeout_s
        if route.is_streaming:
            patience_s = stream_patience_s(route.target_latency_s, route.target_gap_s)
        waiting = WaitingFacts(
            urgency=urgency(organisation.tier if organisation else None, route.tier),
            arrived_s=arrived_s,
            on_time_until_s=arrived_s + route.target_latency_s,
            deadline_at_s=arrived_s + timeout_s - ANSWER_MARGIN_S,
            leaves_at_s=arrived_s + min(timeout_s, patience_s) - ANSWER_MARGIN_S,
        )
        return Job(
            request,
            facts,
            route,
            service,
            organisation,
            waiting,
            configuration.version,
            fingerprint,
            last_event_id=facts.last_event_id,
        )


def convicted_request() -> NotRun:
    """Return the refusal of a request that has crashed upstreams."""
    return NotRun(Reason.CONVICTED, retry_after_s=CRASH_RETRY_AFTER_S)


def convicted_part() -> NotRun:
    """Return the refusal of a request with a part that crashes upstreams."""
    return NotRun(
        Reason.CONVICTED, "a part of its prompt crashes upstreams", CRASH_RETRY_AFTER_S
    )


def quota_units(organisation: Organisation, facts: CallerFacts) -> float:
    """Return the number of quota units that a request is charged."""
    if not organisation.counts_tokens:
        return 1.0
    if not facts.has_token_counts:
        return organisation.plain_units
    return float(facts.n_prompt_tokens + facts.n_output_tokens)
