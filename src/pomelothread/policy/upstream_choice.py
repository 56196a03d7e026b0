"""Which upstream a waiting request is sent to.

Answers bursts before unlike engines: as long as a fast engine has a free slot
it gets the request, and a slow one gets only what it can start in time.
"""

import random
from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass

from ..gateway.upstreams import Upstream
from .upstream_speed import predict_first_event_s

# One round trip to an upstream of the same region and of another one.
NEAR_ROUND_TRIP_S = 0.003
FAR_ROUND_TRIP_S = 0.06
# Estimates closer than this are taken for equal, so that instances which read
# the same reports do not all choose the same upstream.
SPREAD = 0.15
# Part of the predicted length of a whole stream that counts beside its start.
LENGTH_WEIGHT = 0.15
# Requests that an engine gets beyond its slots. A slot would be idle for a round
# trip otherwise; more than one would wait where urgency does not count.
N_AHEAD = 1
# Events of a stream whose length is not known.
TYPICAL_EVENTS = 25
# A failing upstream is avoided as if it were this many times as slow.
FAILURE_PENALTY = 4.0


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a request needs of an upstream.

    Parameters
    ----------
    n_prompt_tokens : int
        Tokens to read; 0 for a request that is not for an engine.
    is_stream : bool
        Whether the response is a stream of events.
    aim_left_s : float
        Seconds until the response is late.
    """

    n_prompt_tokens: int
    is_stream: bool
    aim_left_s: float


def may_take_now(upstreams: Iterable[Upstream], now_s: float) -> list[Upstream]:
    """Return the upstreams that may get a request as soon as a slot is free.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All of the service.
    now_s : float
        Monotonic time.

    Returns
    -------
    list of Upstream
        Without leaving and resting ones.
    """
    return [upstream for upstream in upstreams if upstream.may_take(now_s)]


def untried(upstreams: list[Upstream], tried: Container[str]) -> list[Upstream]:
    """Return the upstreams that have not had a request yet.

    Parameters
    ----------
    upstreams : list of Upstream
        Those that may take one.
    tried : container of str
        Upstreams that have had it.
    """
    return [u for u in upstreams if u.listing.upstream_id not in tried]


def may_take_from_s(upstreams: Iterable[Upstream], tried: frozenset[str]) -> float:
    """Return when the first upstream ends its rest.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All of the service.
    tried : frozenset of str
        Upstreams that have had the request.

    Returns
    -------
    float
        Monotonic time in seconds; in the past if any may take a request, or if
        there is none to wait for: another one may be listed at any time.
    """
    return min(
        (
            upstream.health.may_take_from_s
            for upstream in upstreams
            if not upstream.is_leaving and upstream.listing.upstream_id not in tried
        ),
        default=0.0,
    )


def choose_upstream(
    candidates: Sequence[Upstream], wanted: Wanted, random_source: random.Random
) -> Upstream | None:
    """Return the upstream that should get the request now.

    Parameters
    ----------
    candidates : sequence of Upstream
        Usable upstreams, with or without a free slot.
    wanted : Wanted
        The request.
    random_source : random.Random
        Breaks ties between instances that see the same load.

    Returns
    -------
    Upstream or None
        None if it is better to wait for a slot.
    """
    n_ahead = N_AHEAD if wanted.is_stream else 0
    free = [u for u in candidates if _n_free(u, n_ahead) > 0]
    if not free:
        return None
    costs = {
        u.listing.upstream_id: _cost_s(u, wanted)
        * random_source.uniform(1.0, 1.0 + SPREAD)
        for u in free
    }
    best = min(free, key=lambda u: costs[u.listing.upstream_id])
    if not wanted.is_stream or wanted.aim_left_s <= 0:
        return best
    if start_s(best, wanted) <= wanted.aim_left_s:
        return best
    # Too slow to be on time: worth waiting only if a busy one is fast enough.
    could_make_it = any(
        predict_first_event_s(u.speed, wanted.n_prompt_tokens, 0)
        < 0.7 * wanted.aim_left_s
        for u in candidates
    )
    return None if could_make_it else best


def has_free_slot(upstreams: Iterable[Upstream]) -> bool:
    """Tell whether any upstream could take a request, whichever it is."""
    return any(_n_free(upstream, N_AHEAD) > 0 for upstream in upstreams)


def _n_free(upstream: Upstream, n_ahead: int) -> int:
    return upstream.n_slots + n_ahead - upstream.n_all_running


def start_s(upstream: Upstream, wanted: Wanted) -> float:
    """Predict the seconds until the caller gets the first byte."""
    trip_s = NEAR_ROUND_TRIP_S if upstream.is_near else FAR_ROUND_TRIP_S
    if not wanted.is_stream:
        load = 1.0 + upstream.n_all_running / max(1, upstream.n_slots)
        return trip_s + upstream.speed.response_s * load
    start_s = trip_s + predict_first_event_s(
        upstream.speed, wanted.n_prompt_tokens, upstream.n_all_pending_tokens
    )
    n_slots = upstream.n_slots
    if upstream.n_all_running < n_slots:
        return start_s
    # On average, the first of the running streams is this far from its end.
    return start_s + TYPICAL_EVENTS * upstream.speed.gap_s / (n_slots + 1)


class ShortestStart:
    """Predicts the seconds to the first byte at the fastest upstream when idle.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All of the service; looked at once for many requests.
    """

    __slots__ = ("_fastest", "_response_s")

    def __init__(self, upstreams: Iterable[Upstream]) -> None:
        speeds = [u.speed for u in upstreams if not u.is_leaving]
        self._fastest = min(speeds, key=lambda s: s.first_factor, default=None)
        self._response_s = min((speed.response_s for speed in speeds), default=0.0)

    def __call__(self, wanted: Wanted) -> float:
        """Return the seconds for one request; 0.0 without any upstream."""
        if not wanted.is_stream:
            return self._response_s
        if self._fastest is None:
            return 0.0
        return predict_first_event_s(self._fastest, wanted.n_prompt_tokens, 0)


def _cost_s(upstream: Upstream, wanted: Wanted) -> float:
    cost_s = start_s(upstream, wanted)
    if wanted.is_stream:
        cost_s += LENGTH_WEIGHT * TYPICAL_EVENTS * upstream.speed.gap_s
    return cost_s * (1.0 + FAILURE_PENALTY * upstream.health.failure_share)
