"""Admission of requests, and how long each waits for a place."""

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
    is_hopeless,
)
from .agents import AgentTable
from .floors import FloorRequests
from .offers import SHED_RETRY_AFTER_S, Offers
from .waiting import Binding, WaitingRequest, WaitingRequests, shed_outcome

MAX_RETRY_AFTER_S = 60.0


class AdmissionQueue:
    """Decides which requests wait at this entry, and for how long.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    agents : AgentTable
        Which agents there are.
    waiting : WaitingRequests
        The requests without a place.
    offers : Offers
        Offers them to agents.
    floors : FloorRequests
        Precedes the shedding of protected work.
    tracer : Tracer
        For the span of the wait.
    limits : Limits
        Bounds on what may wait; the organisation's comes from the sheet.
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
        # Jitter only; nothing that must be unpredictable depends on it.
        self._random = random.Random()

    def admit(
        self, waiting: WaitingRequest, organisation: Organisation
    ) -> NotRun | None:
        """Decide on a request that has just arrived.

        Parameters
        ----------
        waiting : WaitingRequest
            The request.
        organisation : Organisation
            Whose it is, with its limit.

        Returns
        -------
        NotRun or None
            None if the request now waits.
        """
        if waiting.convicted:
            detail = "An identical request has crashed upstreams; it did not run."
            return NotRun(Reason.CONVICTED, detail)
        limits = Limits(
            self._limits.max_waiting,
            organisation.max_waiting,
            self._limits.max_waiting_bytes,
        )
        summary = WaitingSummary(
            n_waiting=len(self._waiting),
            n_waiting_of_organisation=self._waiting.n_waiting(waiting.organisation),
            n_waiting_bytes=self._waiting.n_bytes,
            lowest_rank=self._waiting.lowest_rank(),
        )
        decision = admit(
            waiting.facts,
            self._agents.views(waiting.pool),
            summary,
            limits,
            self._clock.monotonic_s(),
            jitter=self._random.random(),
        )
        if isinstance(decision, Reject):
            retry_after_s = min(decision.retry_after_s, MAX_RETRY_AFTER_S)
            return NotRun(decision.reason, "", retry_after_s)
        self.hold(waiting)
        return None

    def hold(self, waiting: WaitingRequest) -> None:
        """Let a request wait, and shed others if there are now too many."""
        if waiting.settled.done():
            return  # Its caller left while another round was being prepared.
        self._waiting.add(waiting)
        while self._waiting.is_over():
            evicted = self._waiting.evict_unprotected(shed_outcome(SHED_RETRY_AFTER_S))
            if evicted is None:
                # Only protected work is left; see `_wait_protected`.
                waiting.overflows = True
                break
            self._offers.withdraw(evicted)
        if not waiting.settled.done():
            self._offers.offer(waiting)

    def give_up_hopeless(self) -> None:
        """Settle what would be late even if it started now, at once."""
        now_s = self._clock.monotonic_s()
        views: dict[str, list[AgentView]] = {}
        for waiting in self._waiting:
            if waiting.pool not in views:
                views[waiting.pool] = self._agents.views(waiting.pool)
            if not is_hopeless(waiting.facts, views[waiting.pool], now_s):
                continue
            outcome = NotRun(Reason.DEADLINE_UNREACHABLE, "", SHED_RETRY_AFTER_S)
            if waiting.settle(outcome):
                self._waiting.remove(waiting)
                self._offers.withdraw(waiting)

    async def wait_for_place(
        self, waiting: WaitingRequest, span: Span
    ) -> Binding | NotRun:
        """Wait for a grant, at most until the deadline.

        Parameters
        ----------
        waiting : WaitingRequest
            A request that was admitted.
        span : Span
            Parent of the span of the wait.

        Returns
        -------
        Binding or NotRun
            The accepted grant, or why there is none.
        """
        with self._tracer.start_as_current_span(
            "entry.wait", context=set_span_in_context(span)
        ):
            if waiting.protected:
                await self._wait_protected(waiting)
            else:
                await self._wait_until(waiting, waiting.deadline_at_s)
            reason = Reason.DEADLINE_PASSED
            if waiting.overflows:
                reason = Reason.OVERLOADED
            if waiting.settle(NotRun(reason, "", SHED_RETRY_AFTER_S)):
                self._waiting.remove(waiting)
                self._offers.withdraw(waiting)
            return waiting.settled.result()

    async def _wait_protected(self, waiting: WaitingRequest) -> None:
        """Wait for a grant, and return without one only under a raised floor."""
        if not waiting.overflows:
            await self._wait_until(waiting, waiting.deadline_at_s - FLOOR_LEAD_S)
        while not waiting.settled.done():
            raising = asyncio.ensure_future(
                self._floors.raise_floor(waiting.pool, waiting.tier_rank)
            )
            both: set[asyncio.Future[Any]] = {waiting.settled, raising}
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            raising.cancel()
            self._shed_below(waiting)
            if waiting.overflows and not self._waiting.is_over():
                waiting.overflows = False
            if not waiting.overflows:
                await self._wait_until(waiting, waiting.deadline_at_s)
            # The floor may have expired, or an agent appeared, since it was
            # raised; then it is raised again.
            if self._floors.may_shed(waiting.pool, waiting.tier_rank):
                self._shed_below(waiting)
                return

    def _shed_below(self, waiting: WaitingRequest) -> None:
        if waiting.settled.done():
            return
        for shed in self._waiting.shed_below(
            waiting.pool, waiting.tier_rank, shed_outcome(SHED_RETRY_AFTER_S)
        ):
            self._offers.withdraw(shed)

    async def _wait_until(self, waiting: WaitingRequest, at_s: float) -> None:
        delay_s = at_s - self._clock.monotonic_s()
        await wait_at_most(waiting.settled, self._clock, delay_s)
