"""Floors: the shed of all lower tiers that precedes that of protected work."""

from collections.abc import Iterable, Iterator

from ..peers.messages import Floor

FLOOR_LIFE_S = 1.0
# Three control round trips between regions, with a few dozen ms each way.
FLOOR_LEAD_S = 0.25


class FloorBook:
    """Floors in force: a floor sheds waiting work of a rank above its own.

    Floors of one pool with different ranks are held beside each other, because
    the stricter one may expire first.
    """

    __slots__ = ("_expiries_s",)

    def __init__(self) -> None:
        self._expiries_s: dict[tuple[str, int], float] = {}

    def raise_floor(
        self, pool: str, tier_rank: int, now_s: float, life_s: float = FLOOR_LIFE_S
    ) -> None:
        """Put a floor in force for `life_s`; never shortens one in force.

        Parameters
        ----------
        pool : str
            Pool of upstreams.
        tier_rank : int
            Highest rank number that is still kept.
        now_s : float
            Monotonic time in seconds.
        life_s : float
            Seconds that it stays in force.
        """
        floor = (pool, tier_rank)
        expiry_s = max(now_s + life_s, self._expiries_s.get(floor, 0.0))
        self._expiries_s[floor] = expiry_s

    def is_below(self, pool: str, tier_rank: int, now_s: float) -> bool:
        """Return whether waiting work of a rank is shed now."""
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


class ProtectedShed:
    """Progress of one floor request, which precedes the shed of protected work.

    A protected request may be shed only while every agent of the pool that is
    alive holds the floor. One object serves all requests of a pool and rank.

    Parameters
    ----------
    pool : str
        Pool of upstreams.
    tier_rank : int
        Rank of the protected request.
    agents : iterable of str
        Incarnations of all agents of the pool that are not known to be dead,
        also those that get no offers.
    numbers : iterator of int
        Source of floor numbers, shared by all objects of the entry.
    """

    __slots__ = ("_asks", "_held_until_s", "_numbers", "pool", "tier_rank")

    def __init__(
        self, pool: str, tier_rank: int, agents: Iterable[str], numbers: Iterator[int]
    ) -> None:
        self.pool = pool
        self.tier_rank = tier_rank
        self._numbers = numbers
        # For each agent, when each floor number was sent to it.
        self._asks: dict[str, dict[int, float]] = {agent: {} for agent in agents}
        self._held_until_s: dict[str, float] = {}

    def to_ask(self, now_s: float, repeat_s: float = 0.1) -> list[tuple[str, int]]:
        """Return the agents that `RaiseFloor` must be sent to now.

        Those that have not confirmed are asked again after `repeat_s`, since
        messages can be lost, and so are those whose floor has half expired.

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
        for agent, asks in self._asks.items():
            if asks and now_s - max(asks.values()) < repeat_s:
                continue
            if self._held_until_s.get(agent, now_s) - now_s > FLOOR_LIFE_S / 2.0:
                continue
            for number in [n for n, at_s in asks.items() if now_s - at_s > 2.5]:
                del asks[number]
            number = next(self._numbers)
            asks[number] = now_s
            due.append((agent, number))
        return due

    def confirmed(self, agent: str, floor_number: int) -> None:
        """Take in `FloorRaised`.

        The life of the floor is counted from the sending of the message that is
        confirmed: the agent has raised it later, so it holds at least as long.
        """
        asked_at_s = self._asks.get(agent, {}).get(floor_number)
        if asked_at_s is None:
            return
        held_until_s = asked_at_s + FLOOR_LIFE_S
        self._held_until_s[agent] = max(
            held_until_s, self._held_until_s.get(agent, held_until_s)
        )

    def agent_died(self, agent: str) -> None:
        """Stop waiting for an agent that has no heartbeat any more."""
        self._asks.pop(agent, None)
        self._held_until_s.pop(agent, None)

    def agent_appeared(self, agent: str) -> None:
        """Wait for another agent too: it may keep offers of lower tiers."""
        self._asks.setdefault(agent, {})

    def may_shed(self, now_s: float) -> bool:
        """Return whether protected work may be shed at `now_s`."""
        return all(
            agent in self._held_until_s and now_s < self._held_until_s[agent]
            for agent in self._asks
        )
