"""Asks agents to raise their floor before protected requests are shed."""

import itertools
import logging

from ..clock import Clock
from ..events import Event, log_event
from ..peers.control import ControlChannel
from ..peers.messages import FloorRaised, RaiseFloor
from ..policy.shedding import FloorConfirmation
from .agents import AgentTable

_logger = logging.getLogger(__name__)

# Only bounds how late a confirmation is noticed. Agents that have not confirmed are
# asked again after 0.1 s.
CONFIRMATION_POLL_S = 0.02


class FloorRequests:
    """Asks the agents of a pool to shed all work below a tier.

    Parameters
    ----------
    incarnation : str
        The entry's incarnation.
    channel : ControlChannel
        Sends control messages to agents.
    agents : AgentTable
        Known agents.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = (
        "_agents",
        "_channel",
        "_clock",
        "_confirmations",
        "_floor_numbers",
        "_incarnation",
        "n_raised",
    )

    def __init__(
        self,
        incarnation: str,
        channel: ControlChannel,
        agents: AgentTable,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._channel = channel
        self._agents = agents
        self._clock = clock
        self._floor_numbers = itertools.count(1)
        self._confirmations: dict[tuple[str, int], FloorConfirmation] = {}
        self.n_raised = 0

    async def raise_floor(self, pool: str, tier_rank: int) -> None:
        """Wait until no live agent of the pool keeps work below the tier.

        Parameters
        ----------
        pool : str
            Pool of upstreams.
        tier_rank : int
            Tier rank of the protected request that may have to be shed.
        """
        if not self.may_shed(pool, tier_rank):
            self.n_raised += 1
            log_event(_logger, Event.FLOOR_REQUESTED, pool=pool, tier_rank=tier_rank)
        while not self.may_shed(pool, tier_rank):
            self._request_floor(pool, tier_rank)
            await self._clock.sleep(CONFIRMATION_POLL_S)

    def may_shed(self, pool: str, tier_rank: int) -> bool:
        """Whether a protected request of the tier may be shed now."""
        confirmation = self._confirmation(pool, tier_rank)
        return confirmation.may_shed(self._clock.monotonic_s())

    def confirm(self, message: FloorRaised) -> None:
        """Record an agent's confirmation."""
        confirmation = self._confirmations.get((message.pool, message.tier_rank))
        if confirmation is not None:
            confirmation.confirmed(message.incarnation, message.floor_number)

    def _confirmation(self, pool: str, tier_rank: int) -> FloorConfirmation:
        key = (pool, tier_rank)
        live_incarnations = self._agents.live_incarnations(pool)
        confirmation = self._confirmations.get(key)
        if confirmation is None:
            confirmation = FloorConfirmation(
                pool, tier_rank, live_incarnations, self._floor_numbers
            )
            self._confirmations[key] = confirmation
            return confirmation
        for agent in live_incarnations:
            confirmation.agent_appeared(agent)
        for known in self._agents.all():
            if known.beat.incarnation not in live_incarnations:
                confirmation.agent_died(known.beat.incarnation)
        return confirmation

    def _request_floor(self, pool: str, tier_rank: int) -> None:
        confirmation = self._confirmation(pool, tier_rank)
        for incarnation, number in confirmation.due_requests(self._clock.monotonic_s()):
            known = self._agents.get(incarnation)
            if known is None:
                continue
            message = RaiseFloor(self._incarnation, pool, tier_rank, number)
            self._channel.send(known.beat.inbox, message)
