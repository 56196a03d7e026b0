"""Offers waiting requests to agents, and handles grants and refusals."""

import asyncio
import zlib
from math import inf

from ..clock import Clock
from ..outcomes import NotRun, Reason
from ..peers.control import ControlChannel
from ..peers.messages import Decline, Floor, Grant, Offer, Refuse, Withdraw
from ..policy.routing import AgentView, choose_agents, schedule_offers
from .agents import AgentTable
from .waiting import Binding, WaitingRequest, WaitingRequests, shed_outcome

SHED_RETRY_AFTER_S = 2.0

# An offer is repeated in case the message was lost, and routed again because
# conditions change. The intervals grow, because frequent repeats overload the control
# channel: with about a thousand waiting requests, repeating all offers with each
# heartbeat takes 33.7 MB of control messages in 40 s, and delays the replies to grants
# so much that upstreams are idle for most of the time.
REPEAT_MIN_S = 0.25
REPEAT_MAX_S = 2.0
REPEAT_MAX_DOUBLINGS = 3
# Routing takes a fraction of a millisecond per request. A short period spreads this
# work over time, so that no single pass delays streams and grants for long.
REPEAT_POLL_S = 0.05
# A request near its deadline is routed again a few times before the deadline.
REPEAT_MAX_FRACTION_OF_TIME_LEFT = 0.25


class Offers:
    """Offers waiting requests to agents and binds each to its first grant.

    Parameters
    ----------
    incarnation : str
        The entry's incarnation.
    channel : ControlChannel
        Sends control messages to agents.
    agents : AgentTable
        Known agents.
    waiting : WaitingRequests
        Requests waiting for a place.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = (
        "_agents",
        "_channel",
        "_clock",
        "_delayed_sends",
        "_incarnation",
        "_waiting",
        "n_declined",
    )

    def __init__(
        self,
        incarnation: str,
        channel: ControlChannel,
        agents: AgentTable,
        waiting: WaitingRequests,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._channel = channel
        self._agents = agents
        self._waiting = waiting
        self._clock = clock
        self._delayed_sends: set[asyncio.Task[None]] = set()
        self.n_declined = 0

    def offer(self, request: WaitingRequest) -> None:
        """Offer a request to the agents that routing currently chooses.

        Agents that already have the offer are sent it again, because control
        messages can be lost.
        """
        self._offer_to(request, self._agents.views(request.pool))

    def _offer_to(self, request: WaitingRequest, pool_views: list[AgentView]) -> None:
        now_s = self._clock.monotonic_s()
        self._set_repeat(request, now_s)
        views = [
            view for view in pool_views if view.incarnation not in request.refused_by
        ]
        spread_seed = zlib.crc32(request.request_id.encode())
        chosen = choose_agents(request.facts, views, now_s, spread_seed=spread_seed)
        for incarnation, inbox in request.offered_to.items():
            self._send(request, incarnation, inbox)
        for scheduled in schedule_offers(request.facts, chosen, now_s):
            agent = scheduled.agent
            if agent.incarnation in request.offered_to:
                continue
            if scheduled.delay_s <= 0:
                self._send(request, agent.incarnation, agent.inbox)
                continue
            send_at_s = now_s + scheduled.delay_s
            if request.send_at_s.get(agent.incarnation, inf) <= send_at_s:
                continue
            request.send_at_s[agent.incarnation] = send_at_s
            task = asyncio.create_task(
                self._send_later(
                    request, agent.incarnation, agent.inbox, scheduled.delay_s
                )
            )
            self._delayed_sends.add(task)
            task.add_done_callback(self._delayed_sends.discard)

    def withdraw_from_silent_agents(self) -> None:
        """Remove the offers to silent agents; called with each heartbeat.

        The agents are sent no `Withdraw`. Requests that lost an offer, or have no open
        offer, are due at once.
        """
        for request in self._waiting:
            if self._remove_silent_offers(request) or not request.offered_to:
                request.repeat_at_s = 0.0

    def repeat_due(self) -> None:
        """Repeat the offers that are due; called every `REPEAT_POLL_S`.

        A refusal excludes the agent until the next repeat. By then it may accept
        requests again, so the refusals are cleared.
        """
        now_s = self._clock.monotonic_s()
        views: dict[str, list[AgentView]] = {}
        for request in self._waiting:
            if now_s < request.repeat_at_s:
                continue
            if request.pool not in views:
                views[request.pool] = self._agents.views(request.pool)
            request.refused_by.clear()
            self._offer_to(request, views[request.pool])

    def _set_repeat(self, request: WaitingRequest, now_s: float) -> None:
        left_s = request.deadline_at_s - now_s
        delay_s = min(
            REPEAT_MIN_S * 2.0 ** min(request.n_repeats, REPEAT_MAX_DOUBLINGS),
            REPEAT_MAX_S,
            max(REPEAT_MIN_S, REPEAT_MAX_FRACTION_OF_TIME_LEFT * left_s),
        )
        request.repeat_at_s = now_s + delay_s
        request.n_repeats += 1

    def withdraw(self, request: WaitingRequest, accepted_from: str = "") -> None:
        """Withdraw the open offers of a request.

        Parameters
        ----------
        request : WaitingRequest
            A request that is no longer waiting.
        accepted_from : str
            Incarnation of the agent whose grant was accepted, which is sent no
            `Withdraw`.
        """
        for incarnation, inbox in request.offered_to.items():
            self._adjust_open_offers(incarnation, -1)
            if incarnation == accepted_from:
                continue
            self._channel.send(inbox, Withdraw(self._incarnation, request.request_id))
        request.offered_to.clear()

    def handle_grant(self, grant: Grant) -> None:
        """Bind the request to a grant, or decline the grant if it is not needed."""
        known = self._agents.get(grant.incarnation)
        if known is None:
            return  # The grant will expire.
        request = self._waiting.get(grant.request_id)
        if request is not None and request.settle(Binding(grant)):
            self._waiting.remove(request)
            self.withdraw(request, accepted_from=grant.incarnation)
            return
        self.n_declined += 1
        decline = Decline(self._incarnation, grant.request_id, grant.grant)
        self._channel.send(known.beat.inbox, decline)

    def handle_refusal(self, message: Refuse) -> None:
        """Handle an agent's refusal of an offer."""
        request = self._waiting.get(message.request_id)
        if request is None:
            return
        was_offered = request.offered_to.pop(message.incarnation, None) is not None
        if was_offered:
            self._adjust_open_offers(message.incarnation, -1)
        match message.reason:
            case "floor":
                self._shed(request)
            case "convicted":
                detail = "The request has crashed upstreams; it did not run."
                self._reject(request, NotRun(Reason.CONVICTED, detail))
            case _ if was_offered:
                request.refused_by.add(message.incarnation)
                self.offer(request)
            case _:
                # A restarted agent refuses an offer that was sent to its
                # predecessor. Offering again now would reach it again, in an
                # endless loop.
                pass

    def apply_floors(self, floors: tuple[Floor, ...]) -> None:
        """Shed waiting requests below the floors that an agent reports."""
        for floor in floors:
            outcome = shed_outcome(SHED_RETRY_AFTER_S)
            for request in self._waiting.shed_below(
                floor.pool, floor.tier_rank, outcome
            ):
                self.withdraw(request)

    def _shed(self, request: WaitingRequest) -> None:
        self._reject(request, shed_outcome(SHED_RETRY_AFTER_S))

    def _reject(self, request: WaitingRequest, outcome: NotRun) -> None:
        self._waiting.remove(request)
        request.settle(outcome)
        self.withdraw(request)

    def _remove_silent_offers(self, request: WaitingRequest) -> bool:
        silent = [i for i in request.offered_to if self._agents.is_silent(i)]
        for incarnation in silent:
            del request.offered_to[incarnation]
            self._adjust_open_offers(incarnation, -1)
        return bool(silent)

    def _send(self, request: WaitingRequest, incarnation: str, inbox: str) -> None:
        if incarnation not in request.offered_to:
            request.offered_to[incarnation] = inbox
            self._adjust_open_offers(incarnation, +1)
        facts = request.facts
        left_s = request.deadline_at_s - self._clock.monotonic_s()
        message = Offer(
            incarnation=self._incarnation,
            request_id=request.request_id,
            pool=request.pool,
            service=request.service,
            tier_rank=facts.tier_rank,
            protected=facts.protected,
            organisation=request.organisation,
            share=request.share,
            n_input_tokens=facts.n_input_tokens,
            n_output_tokens=facts.n_output_tokens,
            deadline_ms=round(left_s * 1000),
            prefix_hashes=facts.prefix_hashes,
            solo=request.solo,
        )
        self._channel.send(inbox, message)

    async def _send_later(
        self, request: WaitingRequest, incarnation: str, inbox: str, delay_s: float
    ) -> None:
        await self._clock.sleep(delay_s)
        request.send_at_s.pop(incarnation, None)
        still_waits = self._waiting.get(request.request_id) is request
        if still_waits and incarnation not in request.offered_to:
            self._send(request, incarnation, inbox)

    def _adjust_open_offers(self, incarnation: str, change: int) -> None:
        known = self._agents.get(incarnation)
        if known is not None:
            known.n_open_offers += change
