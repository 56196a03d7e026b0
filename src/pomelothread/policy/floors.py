"""Floors, which shed all lower tiers before any protected work is shed."""

from collections.abc import Iterable, Iterator

from ..peers.messages import Floor

FLOOR_LIFE_S = 1.0
# Time to have a floor in force before a deadline: three control round trips between
# regions, with a few dozen ms each way.
FLOOR_LEAD_S = 0.25


class ActiveFloors:
    """Floors in force; a floor sheds waiting work of a higher rank number.

    Floors of one pool with different ranks are held separately, because the
    stricter one may expire first.
    """

    __slots__ = ("_expiries_s",)

    def __init__(self) -> None:
        self._expiries_s: dict[tuple[str, int], float] = {}

    def raise_floor(
        self, pool: str, tier_rank: int, now_s: float, life_s: float = FLOOR_LIFE_S
    ) -> None:
        """Put a floor in force for `life_s`; one that expires later is kept.

        Parameters
        ----------
        pool : str
            Pool of upstreams.
        tier_rank : int
            Highest rank number that is not shed.
        now_s : float
            Monotonic time in seconds.
        life_s : float
            Seconds for which it stays in force.
        """
        floor = (pool, tier_rank)
        expiry_s = max(now_s + life_s, self._expiries_s.get(floor, 0.0))
        self._expiries_s[floor] = expiry_s

    def is_below(self, pool: str, tier_rank: int, now_s: float) -> bool:
        """Return whether waiting work of this rank must be shed now."""
        return any(
            held_pool == pool and held_rank < tier_rank and now_s < expiry_s
            for (held_pool, held_rank), expiry_s in self._expiries_s.items()
        )

    def active(self, now_s: float) -> tuple[Floor, ...]:
        """Return the floors in force for a heartbeat, and drop expired ones."""
        self._expiries_s = {
            floor: expiry_s
            for floor, expiry_s in self._expiries_s.items()
            if expiry_s > now_s
        }
        return tuple(
            Floor(pool, rank, max(1, round(1000.0 * (expiry_s - now_s))))
            for (pool, rank), expiry_s in self._expiries_s.items()
        )


class FloorConfirmation:
    """Tracks which agents have confirmed a floor that protected work depends on.

    A protected request may be shed only while every live agent of the pool has
    the floor in force. One object serves all requests of a pool and rank.

    Parameters
    ----------
    pool : str
        Pool of upstreams.
    tier_rank : int
        Rank of the protected requests.
    agents : iterable of str
        Incarnations of all agents of the pool that are not known to be dead,
        including those that get no offers.
    numbers : iterator of int
        Source of floor numbers, shared by all objects of the entry.
    """

    __slots__ = ("_held_until_s", "_numbers", "_sent_at_s", "pool", "tier_rank")

    def __init__(
        self, pool: str, tier_rank: int, agents: Iterable[str], numbers: Iterator[int]
    ) -> None:
        self.pool = pool
        self.tier_rank = tier_rank
        self._numbers = numbers
        # Per agent: the time at which each floor number was sent.
        self._sent_at_s: dict[str, dict[int, float]] = {agent: {} for agent in agents}
        self._held_until_s: dict[str, float] = {}

    def due_requests(
        self, now_s: float, repeat_s: float = 0.1
    ) -> list[tuple[str, int]]:
        """Return the agents to which `RaiseFloor` must be sent now.

        It is sent again after `repeat_s` to agents that have not confirmed, since
        messages can be lost, and to agents for whose floor less than half of its
        life is left.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds; taken as the time of sending.
        repeat_s : float
            Seconds between two messages to the same agent.

        Returns
        -------
        list of (str, int)
            Incarnations, each with a new floor number.
        """
        due = []
        for agent, sent_at_s in self._sent_at_s.items():
            if sent_at_s and now_s - max(sent_at_s.values()) < repeat_s:
                continue
            if self._held_until_s.get(agent, now_s) - now_s > FLOOR_LIFE_S / 2.0:
                continue
            for number in [n for n, at_s in sent_at_s.items() if now_s - at_s > 2.5]:
                del sent_at_s[number]
            number = next(self._numbers)
            sent_at_s[number] = now_s
            due.append((agent, number))
        return due

    def confirmed(self, agent: str, floor_number: int) -> None:
        """Record that an agent has confirmed a floor by `FloorRaised`.

        The life of the floor is counted from the time at which the confirmed
        message was sent. The agent raised the floor later than that, so the floor
        stays in force at least as long.
        """
        request_sent_at_s = self._sent_at_s.get(agent, {}).get(floor_number)
        if request_sent_at_s is None:
            return
        held_until_s = request_sent_at_s + FLOOR_LIFE_S
        self._held_until_s[agent] = max(
            held_until_s, self._held_until_s.get(agent, held_until_s)
        )

    def agent_died(self, agent: str) -> None:
        """Stop waiting for an agent that has no more heartbeats."""
        self._sent_at_s.pop(agent, None)
        self._held_until_s.pop(agent, None)

    def agent_appeared(self, agent: str) -> None:
        """Wait for a new agent too, since it may hold offers of lower tiers."""
        self._sent_at_s.setdefault(agent, {})

    def may_shed(self, now_s: float) -> bool:
        """Return whether protected work may be shed at `now_s`."""
        return all(
            agent in self._held_until_s and now_s < self._held_until_s[agent]
            for agent in self._sent_at_s
        )
