"""Floors that precede the shedding of protected work."""

import itertools
import logging

from ..clock import Clock
from ..events import Event, log_event
from ..peers.control import ControlChannel
from ..peers.messages import FloorRaised, RaiseFloor
from ..policy.shedding import ProtectedShed
from .agents import AgentTable

_logger = logging.getLogger(__name__)

# Agents that have not confirmed are asked again after 0.1 s; this only bounds
# how late a confirmation is noticed.
POLL_S = 0.02


class FloorRequests:
    """Asks the agents of a pool to shed everything below a tier.

    Parameters
    ----------
    incarnation : str
        The entry's incarnation.
    channel : ControlChannel
        To the agents.
    agents : AgentTable
        Which agents there are.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = (
        "_agents",
        "_channel",
        "_clock",
        "_incarnation",
        "_numbers",
        "_sheds",
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
        self._numbers = itertools.count(1)
        self._sheds: dict[tuple[str, int], ProtectedShed] = {}
        self.n_raised = 0

    async def raise_floor(self, pool: str, tier_rank: int) -> None:
        """Return when no agent that is alive keeps work below the tier.

        Parameters
        ----------
        pool : str
            Pool of upstreams.
        tier_rank : int
            Rank of the protected request that would be shed.
        """
        if not self.may_shed(pool, tier_rank):
            self.n_raised += 1
            log_event(_logger, Event.FLOOR_REQUESTED, pool=pool, tier_rank=tier_rank)
        while not self.may_shed(pool, tier_rank):
            self._ask(pool, tier_rank)
            await self._clock.sleep(POLL_S)

    def may_shed(self, pool: str, tier_rank: int) -> bool:
        """Whether a protected request of the tier may be shed at this moment."""
        shed = self._shed(pool, tier_rank)
        return shed.may_shed(self._clock.monotonic_s())

    def confirm(self, message: FloorRaised) -> None:
        """Take in an agent's confirmation."""
        shed = self._sheds.get((message.pool, message.tier_rank))
        if shed is not None:
            shed.confirmed(message.incarnation, message.floor_number)

    def _shed(self, pool: str, tier_rank: int) -> ProtectedShed:
        key = (pool, tier_rank)
        alive = self._agents.alive(pool)
        shed = self._sheds.get(key)
        if shed is None:
            shed = ProtectedShed(pool, tier_rank, alive, self._numbers)
            self._sheds[key] = shed
            return shed
        for agent in alive:
            shed.agent_appeared(agent)
        for known in self._agents.all():
            if known.beat.incarnation not in alive:
                shed.agent_died(known.beat.incarnation)
        return shed

    def _ask(self, pool: str, tier_rank: int) -> None:
        shed = self._shed(pool, tier_rank)
        for incarnation, number in shed.to_ask(self._clock.monotonic_s()):
            known = self._agents.get(incarnation)
            if known is None:
                continue
            message = RaiseFloor(self._incarnation, pool, tier_rank, number)
            self._channel.send(known.beat.inbox, message)
