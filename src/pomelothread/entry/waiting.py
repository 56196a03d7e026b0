"""Requests waiting at an entry for a place at an agent."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..outcomes import NotRun, Reason
from ..peers.messages import Grant
from ..policy.routing import RequestFacts


@dataclass(frozen=True, slots=True)
class Binding:
    """A grant that the entry has accepted for a request."""

    grant: Grant


@dataclass(slots=True)
class WaitingRequest:
    """A request waiting for a place.

    Parameters
    ----------
    request_id : str
        Identifier that is unique in the fleet.
    pool, service, organisation : str
        What is requested, and by which organisation.
    share : float
        Weight of the organisation within its tier.
    facts : RequestFacts
        Properties that routing depends on.
    deadline_at_s : float
        Monotonic time of the caller's deadline.
    n_body_bytes : int
        Size of its body in bytes.
    solo : bool
        True if it must run alone on its engine.
    convicted : bool
        True if it is known to crash engines and must not run.
    exceeds_capacity : bool
        True if the entry was full of protected requests when it was queued.
    """

    request_id: str
    pool: str
    service: str
    organisation: str
    share: float
    facts: RequestFacts
    deadline_at_s: float
    n_body_bytes: int
    solo: bool = False
    convicted: bool = False
    exceeds_capacity: bool = False
    settled: asyncio.Future[Binding | NotRun] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    # Inboxes of the agents with an open offer, by incarnation.
    offered_to: dict[str, str] = field(default_factory=dict)
    # Agents that refused the offer since it was last repeated.
    refused_by: set[str] = field(default_factory=set)
    # When delayed offers will be sent, by incarnation.
    send_at_s: dict[str, float] = field(default_factory=dict)
    n_repeats: int = 0
    repeat_at_s: float = 0.0

    @property
    def protected(self) -> bool:
        """Whether it may be shed only after all lower-tier work."""
        return self.facts.protected

    @property
    def tier_rank(self) -> int:
        """Rank of its tier; 0 is the most urgent."""
        return self.facts.tier_rank

    def settle(self, result: Binding | NotRun) -> bool:
        """Set the result of the wait; only the first call has an effect."""
        if self.settled.done():
            return False
        self.settled.set_result(result)
        return True


class WaitingRequests:
    """All waiting requests of one entry, ordered by rank and arrival.

    Parameters
    ----------
    max_waiting : int
        Maximum number of waiting requests.
    max_waiting_bytes : int
        Maximum total size of their bodies.
    """

    __slots__ = (
        "_by_id",
        "_by_organisation",
        "_by_rank",
        "_max_bytes",
        "_max_waiting",
        "n_bytes",
    )

    def __init__(self, max_waiting: int, max_waiting_bytes: int) -> None:
        self._max_waiting = max_waiting
        self._max_bytes = max_waiting_bytes
        self._by_id: dict[str, WaitingRequest] = {}
        self._by_organisation: Counter[str] = Counter()
        self._by_rank: dict[int, dict[str, WaitingRequest]] = {}
        self.n_bytes = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._by_id.values()))

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request, or None if it is not waiting here."""
        return self._by_id.get(request_id)

    def is_over_capacity(self) -> bool:
        """Whether the number or the total size of requests exceeds its limit."""
        return len(self) > self._max_waiting or self.n_bytes > self._max_bytes

    def n_waiting(self, organisation: str) -> int:
        """Count the waiting requests of an organisation."""
        return self._by_organisation[organisation]

    def lowest_rank(self) -> int | None:
        """Return the rank of the least urgent waiting tier; None if none waits."""
        return max((rank for rank, held in self._by_rank.items() if held), default=None)

    def add(self, request: WaitingRequest) -> None:
        """Add a request, even over capacity; see `evict_unprotected`."""
        self._by_id[request.request_id] = request
        self._by_organisation[request.organisation] += 1
        self._by_rank.setdefault(request.tier_rank, {})[request.request_id] = request
        self.n_bytes += request.n_body_bytes

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request, if it is waiting."""
        if self._by_id.pop(request.request_id, None) is None:
            return
        self._by_rank[request.tier_rank].pop(request.request_id)
        self._by_organisation[request.organisation] -= 1
        if not self._by_organisation[request.organisation]:
            del self._by_organisation[request.organisation]
        self.n_bytes -= request.n_body_bytes

    def evict_unprotected(self, reject: NotRun) -> WaitingRequest | None:
        """Reject the newest unprotected request of the lowest possible tier.

        Parameters
        ----------
        reject : NotRun
            Outcome that its caller is given.

        Returns
        -------
        WaitingRequest or None
            The evicted request; None if only protected requests are waiting.
        """
        for rank in sorted(self._by_rank, reverse=True):
            for request in reversed(self._by_rank[rank].values()):
                if request.protected:
                    continue
                self.remove(request)
                request.settle(reject)
                return request
        return None

    def shed_below(
        self, pool: str, tier_rank: int, reject: NotRun
    ) -> list[WaitingRequest]:
        """Reject all requests of a pool that rank below a floor."""
        shed = [
            request
            for request in self._by_id.values()
            if request.pool == pool and request.tier_rank > tier_rank
        ]
        for request in shed:
            self.remove(request)
            request.settle(reject)
        return shed


def shed_outcome(retry_after_s: float) -> NotRun:
    """Return the outcome given to the caller of a shed request."""
    return NotRun(
        Reason.OVERLOADED,
        "The request was shed in favour of more urgent work; it did not run.",
        retry_after_s,
    )
