"""Determines the order of waiting requests, and how long each one may wait.

In a burst that exceeds the capacity of the upstreams, urgent requests that can still
be on time are sent first, and late ones only when nothing else waits.
"""

from dataclasses import dataclass, replace

# Maximum share of the time until its caller leaves that a request may wait; the rest is
# kept for the run.
MAX_WAIT_SHARE = 0.55
# By the platform's protocol, a caller closes a stream when no event arrives for the
# longest of these times; this applies to the first event too. The last two are
# multiples of the target latency and of the target gap.
MIN_STREAM_PATIENCE_S = 2.0
PATIENCE_PER_TARGET_LATENCY = 4.0
PATIENCE_PER_TARGET_GAP = 8.0
# Seconds that are kept for another upstream to begin its response.
MIN_RUN_S = 0.3
# Retry-After may be at most a third of what the caller has left.
MAX_RETRY_AFTER_SHARE = 0.33
MIN_RETRY_AFTER_S = 0.25
# Ranks of routes are limited to values below this, so that the rank of the organisation
# always takes precedence.
N_ROUTE_TIERS = 1_000


@dataclass(frozen=True, slots=True)
class WaitingFacts:
    """Properties of a waiting request that determine its position in the queue.

    Parameters
    ----------
    urgency : int
        Rank from `urgency`; lower ranks are sent first.
    arrived_s : float
        Monotonic time of its arrival.
    on_time_until_s : float
        Monotonic time at which its response becomes late.
    deadline_at_s : float
        Monotonic time at which its caller leaves in any case.
    leaves_at_s : float
        Monotonic time at which its caller leaves if it has received nothing by then.
    is_repeat : bool
        Whether it was already sent to an upstream.
    """

    urgency: int
    arrived_s: float
    on_time_until_s: float
    deadline_at_s: float
    leaves_at_s: float
    is_repeat: bool = False


def stream_patience_s(target_latency_s: float, target_gap_s: float | None) -> float:
    """Return how long a caller waits for the first or next event of a stream.

    Parameters
    ----------
    target_latency_s : float
        Target for the time to the first event.
    target_gap_s : float or None
        Target for the time between two events, if there is one.

    Returns
    -------
    float
        Seconds.
    """
    return max(
        MIN_STREAM_PATIENCE_S,
        PATIENCE_PER_TARGET_LATENCY * target_latency_s,
        PATIENCE_PER_TARGET_GAP * (target_gap_s or 0.0),
    )


def urgency(organisation_tier: int | None, route_tier: int) -> int:
    """Combine the ranks of an organisation and of a route.

    Parameters
    ----------
    organisation_tier : int or None
        Rank of the organisation, which takes precedence if it is set; 0 is the most
        urgent.
    route_tier : int
        Rank of the route; decides between organisations of equal rank.

    Returns
    -------
    int
        Combined rank; lower ranks are sent first.

    Examples
    --------
    >>> urgency(1, 0) < urgency(1, 2) < urgency(2, 0)
    True
    """
    organisation_rank = 0 if organisation_tier is None else organisation_tier
    return organisation_rank * N_ROUTE_TIERS + min(route_tier, N_ROUTE_TIERS - 1)


def queue_sort_key(
    facts: WaitingFacts, now_s: float, start_s: float
) -> tuple[bool, int, float]:
    """Return the key by which waiting requests are sorted.

    Parameters
    ----------
    facts : WaitingFacts
        Properties of the request.
    now_s : float
        Monotonic time.
    start_s : float
        Seconds from sending it to the start of its response.

    Returns
    -------
    tuple of (bool, int, float)
        Late requests are last; then by urgency, then by the latest time at which
        they have to be sent to be on time. A long prompt therefore precedes a short
        one of the same age.
    """
    send_by_s = facts.on_time_until_s - start_s
    return (now_s > send_by_s, facts.urgency, send_by_s)


def for_repeat(
    facts: WaitingFacts, now_s: float, patience_s: float | None
) -> WaitingFacts:
    """Return the properties of a request that waits for another upstream.

    Parameters
    ----------
    facts : WaitingFacts
        Properties with which it waited before.
    now_s : float
        Monotonic time.
    patience_s : float or None
        How long its caller waits for the next event, if the response has begun.

    Returns
    -------
    WaitingFacts
        New properties, with which it may wait until its caller would leave.
    """
    leaves_at_s = facts.leaves_at_s
    if patience_s is not None:
        leaves_at_s = min(facts.deadline_at_s, now_s + patience_s)
    return replace(facts, leaves_at_s=leaves_at_s, is_repeat=True)


def gives_up_at_s(facts: WaitingFacts) -> float:
    """Return the monotonic time at which a waiting request is refused."""
    if facts.is_repeat:
        return facts.leaves_at_s - MIN_RUN_S
    return facts.arrived_s + MAX_WAIT_SHARE * (facts.leaves_at_s - facts.arrived_s)


def retry_after_s(
    facts: WaitingFacts, now_s: float, spread: float, not_before_s: float = 0.0
) -> float:
    """Return after how many seconds a refused caller should retry.

    Parameters
    ----------
    facts : WaitingFacts
        Properties of the request.
    now_s : float
        Monotonic time.
    spread : float
        Random number from 0 to 1, so that callers do not retry together.
    not_before_s : float
        Seconds until an upstream may take a request again.

    Returns
    -------
    float
        Seconds, at most a third of the time that the caller has left.
    """
    longest_s = MAX_RETRY_AFTER_SHARE * max(0.0, facts.deadline_at_s - now_s)
    shortest_s = min(max(MIN_RETRY_AFTER_S, not_before_s), longest_s)
    return shortest_s + (longest_s - shortest_s) * (0.5 + 0.5 * spread)
