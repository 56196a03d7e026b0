"""Admission control, and the wait of admitted requests for a place."""

import asyncio
import random
from typing import Any

from opentelemetry.trace import Span, Tracer, set_span_in_context

from ..clock import Clock
from ..operators.sheet import Organisation
from ..outcomes import NotRun, Reason
from ..peers.waiting import wait_at_most
from ..policy.routing import AgentView
from ..policy.shedding import (
    FLOOR_LEAD_S,
    Limits,
    Reject,
    WaitingSummary,
    admit,
    cannot_meet_deadline,
)
from .agents import AgentTable
from .floors import FloorRequests
from .offers import SHED_RETRY_AFTER_S, Offers
from .waiting import Binding, WaitingRequest, WaitingRequests, shed_outcome

MAX_RETRY_AFTER_S = 60.0


class AdmissionQueue:
    """Admits or rejects requests, and limits how long admitted ones wait.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    agents : AgentTable
        Known agents.
    waiting : WaitingRequests
        Requests waiting for a place.
    offers : Offers
        Offers waiting requests to agents.
    floors : FloorRequests
        Raises floors before protected requests are shed.
    tracer : Tracer
        Creates the span of the wait.
    limits : Limits
        Limits on waiting requests; the organisation's limit comes from the sheet.
    """

    __slots__ = (
        "_agents",
        "_clock",
        "_floors",
        "_limits",
        "_offers",
        "_random",
        "_tracer",
        "_waiting",
    )

    def __init__(
        self,
        clock: Clock,
        agents: AgentTable,
        waiting: WaitingRequests,
        offers: Offers,
        floors: FloorRequests,
        tracer: Tracer,
        limits: Limits,
    ) -> None:
        self._clock = clock
        self._agents = agents
        self._waiting = waiting
        self._offers = offers
        self._floors = floors
        self._tracer = tracer
        self._limits = limits
        # Only for jitter, so it need not be cryptographically secure.
        self._random = random.Random()

    def admit(
        self, request: WaitingRequest, organisation: Organisation
    ) -> NotRun | None:
        """Admit or reject a request that has just arrived.

        Parameters
        ----------
        request : WaitingRequest
            The new request.
        organisation : Organisation
            The organisation that sent it, with its limit.

        Returns
        -------
        NotRun or None
            Why the request was rejected; None if it is now waiting.
        """
        if request.convicted:
            detail = "An identical request has crashed upstreams; it did not run."
            return NotRun(Reason.CONVICTED, detail)
        limits = Limits(
            self._limits.max_waiting,
            organisation.max_waiting,
            self._limits.max_waiting_bytes,
        )
        summary = WaitingSummary(
            n_waiting=len(self._waiting),
            n_waiting_of_organisation=self._waiting.n_waiting(request.organisation),
            n_waiting_bytes=self._waiting.n_bytes,
            lowest_rank=self._waiting.lowest_rank(),
        )
        decision = admit(
            request.facts,
            self._agents.views(request.pool),
            summary,
            limits,
            self._clock.monotonic_s(),
            jitter=self._random.random(),
        )
        if isinstance(decision, Reject):
            retry_after_s = min(decision.retry_after_s, MAX_RETRY_AFTER_S)
            return NotRun(decision.reason, "", retry_after_s)
        self.enqueue(request)
        return None

    def enqueue(self, request: WaitingRequest) -> None:
        """Queue and offer a request, and evict others if over capacity."""
        if request.settled.done():
            return  # The caller disconnected before the retry.
        self._waiting.add(request)
        while self._waiting.is_over_capacity():
            evicted = self._waiting.evict_unprotected(shed_outcome(SHED_RETRY_AFTER_S))
            if evicted is None:
                # Only protected requests are left; see `_wait_protected`.
                request.exceeds_capacity = True
                break
            self._offers.withdraw(evicted)
        if not request.settled.done():
            self._offers.offer(request)

    def reject_unreachable_deadlines(self) -> None:
        """Reject requests that would miss their deadline if started now."""
        now_s = self._clock.monotonic_s()
        views: dict[str, list[AgentView]] = {}
        for request in self._waiting:
            if request.pool not in views:
                views[request.pool] = self._agents.views(request.pool)
            if not cannot_meet_deadline(request.facts, views[request.pool], now_s):
                continue
            outcome = NotRun(Reason.DEADLINE_UNREACHABLE, "", SHED_RETRY_AFTER_S)
            if request.settle(outcome):
                self._waiting.remove(request)
                self._offers.withdraw(request)

    async def wait_for_place(
        self, request: WaitingRequest, span: Span
    ) -> Binding | NotRun:
        """Wait for a grant, at most until the deadline.

        Parameters
        ----------
        request : WaitingRequest
            An admitted request.
        span : Span
            Parent span.

        Returns
        -------
        Binding or NotRun
            The accepted grant, or why there is none.
        """
        with self._tracer.start_as_current_span(
            "entry.wait", context=set_span_in_context(span)
        ):
            if request.protected:
                await self._wait_protected(request)
            else:
                await self._wait_until(request, request.deadline_at_s)
            reason = Reason.DEADLINE_PASSED
            if request.exceeds_capacity:
                reason = Reason.OVERLOADED
            if request.settle(NotRun(reason, "", SHED_RETRY_AFTER_S)):
                self._waiting.remove(request)
                self._offers.withdraw(request)
            return request.settled.result()

    async def _wait_protected(self, request: WaitingRequest) -> None:
        """Wait for a grant; give up only while the pool's floor is raised."""
        if not request.exceeds_capacity:
            await self._wait_until(request, request.deadline_at_s - FLOOR_LEAD_S)
        while not request.settled.done():
            raise_task = asyncio.ensure_future(
                self._floors.raise_floor(request.pool, request.tier_rank)
            )
            both: set[asyncio.Future[Any]] = {request.settled, raise_task}
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            raise_task.cancel()
            self._shed_lower_tiers(request)
            if request.exceeds_capacity and not self._waiting.is_over_capacity():
                request.exceeds_capacity = False
            if not request.exceeds_capacity:
                await self._wait_until(request, request.deadline_at_s)
            # The floor may have expired, or an agent may have appeared, since it
            # was raised. In that case it is raised again.
            if self._floors.may_shed(request.pool, request.tier_rank):
                self._shed_lower_tiers(request)
                return

    def _shed_lower_tiers(self, request: WaitingRequest) -> None:
        if request.settled.done():
            return
        for shed in self._waiting.shed_below(
            request.pool, request.tier_rank, shed_outcome(SHED_RETRY_AFTER_S)
        ):
            self._offers.withdraw(shed)

    async def _wait_until(self, request: WaitingRequest, at_s: float) -> None:
        delay_s = at_s - self._clock.monotonic_s()
        await wait_at_most(request.settled, self._clock, delay_s)
