"""Table of the agents known to an entry, built from their heartbeats."""

import logging
from dataclasses import dataclass

from ..clock import Clock
from ..events import Event, log_event
from ..instance_list.membership import Membership
from ..peers.messages import (
    CLOSED,
    MIN_PROTOCOL_VERSION,
    PEER_TIMEOUT_S,
    PROTOCOL_VERSION,
    AgentBeat,
)
from ..policy.routing import AgentView

_logger = logging.getLogger(__name__)

# Agents without a heartbeat for this long are removed. Until then, late grants and
# replies from them can still be matched.
FORGET_AGENT_AFTER_S = 60.0


@dataclass(slots=True)
class KnownAgent:
    """An agent's last heartbeat and the number of offers open at it.

    Parameters
    ----------
    beat : AgentBeat
        The last heartbeat.
    heard_at_s : float
        Monotonic time at which it was received.
    n_open_offers : int
        Number of this entry's offers that are open at the agent.
    """

    beat: AgentBeat
    heard_at_s: float
    n_open_offers: int = 0


class AgentTable:
    """Known agents, indexed by incarnation.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    membership : Membership
        The instance list, which may report that an agent is leaving before the
        agent's own heartbeats do.
    """

    __slots__ = ("_agents", "_clock", "_incompatible", "_membership")

    def __init__(self, clock: Clock, membership: Membership) -> None:
        self._clock = clock
        self._membership = membership
        self._agents: dict[str, KnownAgent] = {}
        self._incompatible: set[str] = set()

    def record_heartbeat(self, beat: AgentBeat) -> bool:
        """Record a heartbeat.

        Parameters
        ----------
        beat : AgentBeat
            The heartbeat as received.

        Returns
        -------
        bool
            True if the agent is new or was silent.
        """
        if (
            beat.min_protocol_version > PROTOCOL_VERSION
            or beat.protocol_version < MIN_PROTOCOL_VERSION
        ):
            self._log_incompatible(beat)
            return False
        now_s = self._clock.monotonic_s()
        known = self._agents.get(beat.incarnation)
        if known is None:
            self._agents[beat.incarnation] = KnownAgent(beat, now_s)
            self._close_predecessors(beat)
            return True
        was_silent = now_s - known.heard_at_s > PEER_TIMEOUT_S
        known.beat = beat
        known.heard_at_s = now_s
        return was_silent

    def get(self, incarnation: str) -> KnownAgent | None:
        """Return an agent, or None if it is unknown or was removed."""
        return self._agents.get(incarnation)

    def is_silent(self, incarnation: str) -> bool:
        """Whether an agent is unknown or its heartbeat is overdue."""
        known = self._agents.get(incarnation)
        if known is None:
            return True
        return self._clock.monotonic_s() - known.heard_at_s > PEER_TIMEOUT_S

    def live_incarnations(self, pool: str) -> list[str]:
        """Return the incarnations of a pool's agents that are not silent."""
        return [
            incarnation
            for incarnation, known in self._agents.items()
            if known.beat.pool == pool and not self.is_silent(incarnation)
        ]

    def views(self, pool: str) -> list[AgentView]:
        """Return the views that routing uses of a pool's available agents.

        Parameters
        ----------
        pool : str
            Pool of upstreams.

        Returns
        -------
        list of AgentView
            Agents that are neither silent nor leaving.
        """
        leaving = {instance.name for instance in self._membership.leaving()}
        return [
            AgentView.from_beat(known.beat, known.heard_at_s, known.n_open_offers)
            for incarnation, known in self._agents.items()
            if known.beat.pool == pool
            and known.beat.instance not in leaving
            and not self.is_silent(incarnation)
        ]

    def forget_silent(self) -> list[KnownAgent]:
        """Remove and return agents silent for more than `FORGET_AGENT_AFTER_S`."""
        now_s = self._clock.monotonic_s()
        forgotten = [
            incarnation
            for incarnation, known in self._agents.items()
            if now_s - known.heard_at_s > FORGET_AGENT_AFTER_S
        ]
        return [self._agents.pop(incarnation) for incarnation in forgotten]

    def uses_inbox(self, inbox: str) -> bool:
        """Whether any known agent listens at a control address.

        An agent that was restarted in its slot has the address of its predecessor.
        """
        return any(known.beat.inbox == inbox for known in self._agents.values())

    def all(self) -> list[KnownAgent]:
        """Return all known agents."""
        return list(self._agents.values())

    def _log_incompatible(self, beat: AgentBeat) -> None:
        if beat.incarnation in self._incompatible:
            return
        self._incompatible.add(beat.incarnation)
        log_event(
            _logger,
            Event.PEER_INCOMPATIBLE,
            instance=beat.instance,
            min_protocol_version=beat.min_protocol_version,
            protocol_version=beat.protocol_version,
        )

    def _close_predecessors(self, beat: AgentBeat) -> None:
        # Only one process can listen on the slot's port, so another incarnation
        # at the same address is dead. It is marked as silent without a timeout.
        for incarnation, known in self._agents.items():
            same_slot = known.beat.http_address == beat.http_address
            if incarnation != beat.incarnation and same_slot:
                known.heard_at_s = float("-inf")
                known.beat = _closed(known.beat)


def _closed(beat: AgentBeat) -> AgentBeat:
    return AgentBeat(
        incarnation=beat.incarnation,
        instance=beat.instance,
        inbox=beat.inbox,
        pool=beat.pool,
        failure_domain=beat.failure_domain,
        region=beat.region,
        http_address=beat.http_address,
        state=CLOSED,
    )
