"""Chooses the upstream to which a waiting request is sent.

A request is sent to the upstream of lowest cost among those with capacity. Engines
of a service differ in speed: a stream that would start too late there waits if some
engine is fast enough to start it in time when idle. A stream that is late already,
or that no engine could start in time, does not wait for a faster one.
"""

import random
from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass

from ..gateway.upstreams import Upstream
from .upstream_speed import predict_first_event_s

# Round trip times to an upstream of the same region and of another region.
NEAR_ROUND_TRIP_S = 0.003
FAR_ROUND_TRIP_S = 0.06
# Costs are multiplied by a random factor of up to 1 plus this, so that instances with
# the same load reports do not all choose the same upstream.
COST_JITTER = 0.15
# Weight of the predicted duration of a stream in its cost, in addition to its start.
STREAM_LENGTH_WEIGHT = 0.15
# Streams that an engine gets beyond its slots; other requests get no more than the
# slots. Without one, a freed slot would be idle for a round trip; more would wait at
# the engine, which does not order them by urgency.
N_BEYOND_SLOTS = 1
# Assumed number of events of a stream.
TYPICAL_EVENTS = 25
# The cost of an upstream is increased by this times its share of failed requests.
FAILURE_PENALTY = 4.0


@dataclass(frozen=True, slots=True)
class UpstreamRequirements:
    """Requirements of a request for an upstream.

    Parameters
    ----------
    n_prompt_tokens : int
        Length of the prompt; 0 for a request that is not for an engine.
    is_stream : bool
        Whether the response is a stream of events.
    on_time_left_s : float
        Seconds within which the response has to start to be on time.
    """

    n_prompt_tokens: int
    is_stream: bool
    on_time_left_s: float


def available_upstreams(upstreams: Iterable[Upstream], now_s: float) -> list[Upstream]:
    """Return the upstreams that may get a request, with or without capacity.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All upstreams of the service.
    now_s : float
        Monotonic time.

    Returns
    -------
    list of Upstream
        Those that are neither leaving nor resting, at which no probe is running, and
        for which there is a permit if they name a limit.
    """
    return [upstream for upstream in upstreams if upstream.may_take(now_s)]


def untried(upstreams: list[Upstream], tried: Container[str]) -> list[Upstream]:
    """Return the upstreams to which a request has not been sent yet.

    Parameters
    ----------
    upstreams : list of Upstream
        Upstreams that may get a request.
    tried : container of str
        Names of the upstreams to which it has been sent.
    """
    return [u for u in upstreams if u.listing.upstream_id not in tried]


def earliest_available_s(upstreams: Iterable[Upstream], now_s: float) -> float:
    """Return the earliest time at which an upstream may take a request.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All upstreams at which the request may run.
    now_s : float
        Monotonic time.

    Returns
    -------
    float
        Monotonic time in seconds, in the past if an upstream is neither resting nor
        known to have no permits now.
        0.0 if there are none that stay, since another one may be listed at
        any time.
    """
    return min(
        (
            upstream.available_from_s(now_s)
            for upstream in upstreams
            if not upstream.is_leaving
        ),
        default=0.0,
    )


def choose_upstream(
    candidates: Sequence[Upstream],
    requirements: UpstreamRequirements,
    random_source: random.Random,
) -> Upstream | None:
    """Return the upstream that should get the request now.

    Parameters
    ----------
    candidates : sequence of Upstream
        Upstreams that may get it, with or without capacity.
    requirements : UpstreamRequirements
        The request.
    random_source : random.Random
        Source of the random factor by which each cost is multiplied, up to 1 plus
        `COST_JITTER`.

    Returns
    -------
    Upstream or None
        None if the request should wait.
    """
    n_beyond_slots = N_BEYOND_SLOTS if requirements.is_stream else 0
    with_capacity = [u for u in candidates if _n_remaining(u, n_beyond_slots) > 0]
    if not with_capacity:
        return None
    costs = {
        u.listing.upstream_id: _cost_s(u, requirements)
        * random_source.uniform(1.0, 1.0 + COST_JITTER)
        for u in with_capacity
    }
    best = min(with_capacity, key=lambda u: costs[u.listing.upstream_id])
    if not requirements.is_stream or requirements.on_time_left_s <= 0:
        return best
    if predict_start_s(best, requirements) <= requirements.on_time_left_s:
        return best
    # The best upstream with capacity would start too late. Waiting is useful only if
    # some candidate, busy or not, would start within 70% of the time left when idle.
    another_is_in_time = any(
        predict_first_event_s(u.speed, requirements.n_prompt_tokens, 0)
        < 0.7 * requirements.on_time_left_s
        for u in candidates
    )
    return None if another_is_in_time else best


def has_capacity(upstreams: Iterable[Upstream]) -> bool:
    """Return whether any upstream has capacity for another stream."""
    return any(_n_remaining(upstream, N_BEYOND_SLOTS) > 0 for upstream in upstreams)


def _n_remaining(upstream: Upstream, n_beyond_slots: int) -> int:
    return upstream.n_slots + n_beyond_slots - upstream.n_all_running


def predict_start_s(upstream: Upstream, requirements: UpstreamRequirements) -> float:
    """Predict the seconds until the caller gets the first byte."""
    round_trip_s = NEAR_ROUND_TRIP_S if upstream.is_in_same_region else FAR_ROUND_TRIP_S
    if not requirements.is_stream:
        load = 1.0 + upstream.n_all_running / max(1, upstream.n_slots)
        return round_trip_s + upstream.speed.response_s * load
    start_s = round_trip_s + predict_first_event_s(
        upstream.speed, requirements.n_prompt_tokens, upstream.n_all_pending_tokens
    )
    n_slots = upstream.n_slots
    if upstream.n_all_running < n_slots:
        return start_s
    # Expected time until the first of the running streams ends.
    return start_s + TYPICAL_EVENTS * upstream.speed.gap_s / (n_slots + 1)


class ShortestStart:
    """Predicts the time to the first byte at the fastest upstream when idle.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All upstreams of the service. They are compared only once, for any number
        of requests.
    """

    __slots__ = ("_fastest", "_response_s")

    def __init__(self, upstreams: Iterable[Upstream]) -> None:
        speeds = [u.speed for u in upstreams if not u.is_leaving]
        self._fastest = min(speeds, key=lambda s: s.slowness_factor, default=None)
        self._response_s = min((speed.response_s for speed in speeds), default=0.0)

    def __call__(self, requirements: UpstreamRequirements) -> float:
        """Return the seconds for a request; 0.0 if there is no upstream."""
        if not requirements.is_stream:
            return self._response_s
        if self._fastest is None:
            return 0.0
        return predict_first_event_s(self._fastest, requirements.n_prompt_tokens, 0)


def _cost_s(upstream: Upstream, requirements: UpstreamRequirements) -> float:
    cost_s = predict_start_s(upstream, requirements)
    if requirements.is_stream:
        cost_s += STREAM_LENGTH_WEIGHT * TYPICAL_EVENTS * upstream.speed.gap_s
    return cost_s * (1.0 + FAILURE_PENALTY * upstream.health.failure_share)
