"""Which waiting request goes first, and how long each one may wait.

Answers bursts of more work than the upstreams can do: urgent requests that can
still be on time go first, late ones only when nothing else waits.
"""

from dataclasses import dataclass, replace

# Part of its time that a request waits at most; the rest is kept for the run.
MAX_WAIT_SHARE = 0.55
# Callers leave a stream after a pause of the longest of these, also before its
# first event (the platform's protocol).
MIN_STREAM_PATIENCE_S = 2.0
LATENCIES_OF_PATIENCE = 4.0
GAPS_OF_PATIENCE = 8.0
# Time that is kept for another upstream to begin its response.
MIN_RUN_S = 0.3
# Retry-After may be at most a third of what the caller has left.
MAX_RETRY_AFTER_SHARE = 0.33
MIN_RETRY_AFTER_S = 0.25
# Ranks of routes are below this, so that a rank of an organisation outweighs any.
N_ROUTE_TIERS = 1_000


@dataclass(frozen=True, slots=True)
class WaitingFacts:
    """What decides the place of a waiting request.

    Parameters
    ----------
    urgency : int
        Rank from `urgency`; lower goes first.
    arrived_s : float
        Monotonic time of its arrival.
    aim_at_s : float
        Monotonic time at which its response becomes late.
    deadline_at_s : float
        Monotonic time at which its caller leaves.
    leaves_at_s : float
        Monotonic time at which its caller leaves if nothing has come until then.
    is_repeat : bool
        Whether an upstream has had it already.
    """

    urgency: int
    arrived_s: float
    aim_at_s: float
    deadline_at_s: float
    leaves_at_s: float
    is_repeat: bool = False


def stream_patience_s(target_latency_s: float, target_gap_s: float | None) -> float:
    """Return how long a caller waits for the next event of a stream, or the first.

    Parameters
    ----------
    target_latency_s : float
        Time within which the first event is on time.
    target_gap_s : float or None
        Longest pause that is on time.

    Returns
    -------
    float
        Seconds.
    """
    return max(
        MIN_STREAM_PATIENCE_S,
        LATENCIES_OF_PATIENCE * target_latency_s,
        GAPS_OF_PATIENCE * (target_gap_s or 0.0),
    )


def urgency(organisation_tier: int | None, route_tier: int) -> int:
    """Combine the ranks of an organisation and of a route.

    Parameters
    ----------
    organisation_tier : int or None
        Takes precedence if it is set; 0 is the most urgent.
    route_tier : int
        Decides between requests of equal organisations.

    Returns
    -------
    int
        Lower goes first.

    Examples
    --------
    >>> urgency(1, 0) < urgency(1, 2) < urgency(2, 0)
    True
    """
    own = 0 if organisation_tier is None else organisation_tier
    return own * N_ROUTE_TIERS + min(route_tier, N_ROUTE_TIERS - 1)


def place_in_queue(
    facts: WaitingFacts, now_s: float, start_s: float
) -> tuple[bool, int, float]:
    """Return the key by which waiting requests are sorted.

    Parameters
    ----------
    facts : WaitingFacts
        Of the request.
    now_s : float
        Monotonic time.
    start_s : float
        Seconds from sending it to the start of its response.

    Returns
    -------
    tuple of (bool, int, float)
        Late ones last, then by urgency, then by the time at which they have to be
        sent to be on time: a long prompt goes before a short one of the same age.
    """
    send_by_s = facts.aim_at_s - start_s
    return (now_s > send_by_s, facts.urgency, send_by_s)


def for_repeat(
    facts: WaitingFacts, now_s: float, patience_s: float | None
) -> WaitingFacts:
    """Return the facts of a request that waits for another upstream.

    Parameters
    ----------
    facts : WaitingFacts
        As it waited before.
    now_s : float
        Monotonic time.
    patience_s : float or None
        How long its caller waits for the next event, if the response has begun.

    Returns
    -------
    WaitingFacts
        It may wait until its caller would leave.
    """
    leaves_at_s = facts.leaves_at_s
    if patience_s is not None:
        leaves_at_s = min(facts.deadline_at_s, now_s + patience_s)
    return replace(facts, leaves_at_s=leaves_at_s, is_repeat=True)


def gives_up_at_s(facts: WaitingFacts) -> float:
    """Return the monotonic time at which a request is refused."""
    if facts.is_repeat:
        return facts.leaves_at_s - MIN_RUN_S
    return facts.arrived_s + MAX_WAIT_SHARE * (facts.leaves_at_s - facts.arrived_s)


def retry_after_s(
    facts: WaitingFacts, now_s: float, spread: float, not_before_s: float = 0.0
) -> float:
    """Return when a refused caller should come back.

    Parameters
    ----------
    facts : WaitingFacts
        Of the request.
    now_s : float
        Monotonic time.
    spread : float
        Random number from 0 to 1, so that callers do not return together.
    not_before_s : float
        Seconds until an upstream may take a request again.

    Returns
    -------
    float
        Seconds, at most a third of what the caller has left.
    """
    longest_s = MAX_RETRY_AFTER_SHARE * max(0.0, facts.deadline_at_s - now_s)
    shortest_s = min(max(MIN_RETRY_AFTER_S, not_before_s), longest_s)
    return shortest_s + (longest_s - shortest_s) * (0.5 + 0.5 * spread)
