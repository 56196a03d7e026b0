"""Naive policies for comparison: round robin, FIFO queue, fixed batch size.

Each has the interface of the policy that it replaces, so that `evaluate_policy` can
run the same simulation with either.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from pomelothread.policy.routing import AgentView, RequestFacts
from pomelothread.policy.shedding import Admit, Limits, WaitingSummary

T = TypeVar("T")

BATCH_SIZE = 8


class FirstComeQueue(Generic[T]):
    """FIFO replacement for `FairQueue`; ignores tiers, organisations and costs."""

    def __init__(self) -> None:
        self._items: OrderedDict[str, tuple[T, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, key: object) -> bool:
        return key in self._items

    def push(
        self,
        key: str,
        item: T,
        *,
        tier_rank: int,
        organisation: str,
        share: float,
        cost: float,
    ) -> None:
        """Append an item, unless its key is in the queue already."""
        self._items.setdefault(key, (item, tier_rank))

    def remove(self, key: str) -> T | None:
        """Remove an item and return it, or None if there is none with this key."""
        held = self._items.pop(key, None)
        return None if held is None else held[0]

    def pop(self, eligible: Callable[[T], bool] | None = None) -> tuple[str, T] | None:
        """Remove and return the oldest item, if it is eligible."""
        if not self._items:
            return None
        key, (item, _) = next(iter(self._items.items()))
        if eligible is not None and not eligible(item):
            return None
        del self._items[key]
        return key, item

    def refund(
        self, *, tier_rank: int, organisation: str, share: float, cost: float
    ) -> None:
        """Do nothing, as no costs are charged."""

    def evict_lowest(self, below_rank: int | None = None) -> tuple[str, T] | None:
        """Remove and return the newest item, whatever its tier."""
        if not self._items:
            return None
        key, (item, _) = self._items.popitem(last=True)
        return key, item

    def items_above(self, rank: int) -> list[tuple[str, T]]:
        """Return the items whose rank number is above `rank`."""
        return [(k, item) for k, (item, held) in self._items.items() if held > rank]

    def counts_by_rank(self) -> dict[int, int]:
        """Return the number of items of each rank."""
        counts: dict[int, int] = {}
        for _, rank in self._items.values():
            counts[rank] = counts.get(rank, 0) + 1
        return counts

    def n_organisations(self) -> int:
        """Return 0, as no state is kept by organisation."""
        return 0


class FixedPlaces:
    """Replacement for `ConcurrencyLimit`: a fixed batch size, no reserved places."""

    n_reserved = 0
    recent_gap_s = 0.0
    mean_gap_s = 0.0
    baseline_gap_s = 0.0

    def __init__(self, n_places: int = BATCH_SIZE) -> None:
        self.n_places = n_places

    def set_reserved_share(self, reserved_share: float) -> None:
        """Do nothing."""

    def observe_token_gap(
        self, gap_s: float, n_running: int, now_s: float, n_prefilling: int = 0
    ) -> None:
        """Do nothing."""

    def observe_engine_queue(self, n_waiting: int, now_s: float) -> None:
        """Do nothing."""

    def observe_response_time(self, response_time_s: float) -> None:
        """Do nothing."""

    def observe_success(self, n_running: int, now_s: float) -> None:
        """Do nothing."""

    def is_straggling(
        self,
        now_s: float,
        n_streaming: int | None = None,
        n_prefilling: int | None = None,
    ) -> bool:
        """Return False."""
        return False

    def has_place(
        self, n_running: int, n_running_unprotected: int, protected: bool
    ) -> bool:
        """Return whether the batch has a free slot."""
        return n_running < self.n_places

    def allows(
        self,
        n_running: int,
        n_running_unprotected: int,
        context_tokens: int,
        offer_tokens: int,
        protected: bool,
    ) -> bool:
        """Return whether the batch has a free slot."""
        return n_running < self.n_places


class RoundRobin:
    """Replacement for `choose_agents`: one agent for each request, in turn."""

    def __init__(self) -> None:
        self._n_chosen = 0

    def choose_agents(
        self,
        request: RequestFacts,
        agents: Sequence[AgentView],
        now_s: float,
        *,
        spread_seed: int = 0,
    ) -> list[AgentView]:
        """Return the next usable agent, in the order of instance names."""
        usable = sorted(
            (agent for agent in agents if agent.is_usable(now_s)),
            key=lambda agent: agent.instance,
        )
        if not usable:
            return []
        self._n_chosen += 1
        return [usable[self._n_chosen % len(usable)]]


def admit_all(
    request: RequestFacts,
    agents: Sequence[AgentView],
    waiting: WaitingSummary,
    limits: Limits,
    now_s: float,
    *,
    jitter: float = 0.5,
) -> Admit:
    """Admit everything; a full entry evicts its newest request."""
    return Admit(must_evict=waiting.n_waiting >= limits.max_waiting)
