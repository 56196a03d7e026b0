"""Rejects requests early, by an estimate of their finish.

The names of `floors` that concern shedding are exported here too.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ..outcomes import Reason
from .floors import FLOOR_LEAD_S, FLOOR_LIFE_S, ActiveFloors, FloorConfirmation
from .prediction import (
    N_OFFERS,
    AgentView,
    RequestFacts,
    can_finish,
    pool_rates,
    predict_finish_s,
)

__all__ = [
    "FLOOR_LEAD_S",
    "FLOOR_LIFE_S",
    "ActiveFloors",
    "Admit",
    "FloorConfirmation",
    "Limits",
    "Reject",
    "WaitingSummary",
    "admit",
    "cannot_meet_deadline",
    "estimate_finish_s",
    "retry_after_s",
]

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# `Retry-After` is given in whole seconds, so the jitter must span several of them.
MIN_RETRY_SPREAD_S = 3.0
# The length of an answer is unknown, which makes estimates inexact. A request is
# rejected only if its estimate exceeds the time left by this factor.
ADMIT_MARGIN = 1.25


@dataclass(frozen=True, slots=True)
class WaitingSummary:
    """Requests that wait in the entry.

    Parameters
    ----------
    n_waiting : int
        Number of all requests.
    n_waiting_of_organisation : int
        Number of requests of the organisation of the new request.
    n_waiting_bytes : int
        Total size of their bodies in bytes.
    lowest_rank : int or None
        Rank number of the lowest tier among them; None if nothing waits.
    """

    n_waiting: int = 0
    n_waiting_of_organisation: int = 0
    n_waiting_bytes: int = 0
    lowest_rank: int | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests that wait in the entry.

    Parameters
    ----------
    max_waiting : int
        Maximum number of all requests.
    max_waiting_of_organisation : int
        Maximum number of requests of the organisation of the new request, from the
        sheet.
    max_waiting_bytes : int
        Maximum total size of the bodies in bytes.
    """

    max_waiting: int
    max_waiting_of_organisation: int
    max_waiting_bytes: int


@dataclass(frozen=True, slots=True)
class Admit:
    """The request may wait.

    `must_evict` is True if the entry is full: the newest request of the lowest tier
    has to be shed first.
    """

    must_evict: bool = False


@dataclass(frozen=True, slots=True)
class Reject:
    """The request is rejected without being run."""

    reason: Reason
    retry_after_s: float


def retry_after_s(n_ahead: float, drain_per_s: float, jitter: float) -> float:
    """Estimate after how many seconds a shed request should be sent again.

    Parameters
    ----------
    n_ahead : float
        Number of requests that wait before it.
    drain_per_s : float
        Requests that the pool finishes per second; 0 if unknown.
    jitter : float
        Random number in [0, 1). It spreads retries over an additional period as
        long as the waiting work takes, at least `MIN_RETRY_SPREAD_S`. Callers that
        retry at the same time would be shed together again.

    Returns
    -------
    float
        Seconds, from `MIN_RETRY_AFTER_S` to `MAX_RETRY_AFTER_S` plus the jitter.

    Examples
    --------
    >>> retry_after_s(100, drain_per_s=20.0, jitter=0.0)
    5.0
    >>> retry_after_s(100, drain_per_s=20.0, jitter=0.5)
    7.5
    """
    base_s = MIN_RETRY_AFTER_S
    if drain_per_s > 0.0:
        base_s = min(MAX_RETRY_AFTER_S, max(base_s, n_ahead / drain_per_s))
    return base_s + jitter * max(base_s, MIN_RETRY_SPREAD_S)


def estimate_finish_s(
    request: RequestFacts, agents: Sequence[AgentView], now_s: float
) -> float:
    """Estimate the time from now to the last token at the best agent.

    Parameters
    ----------
    request : RequestFacts
        The request.
    agents : sequence of AgentView
        The agents of its pool.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Seconds; infinity if no agent is usable.
    """
    usable = [agent for agent in agents if agent.is_usable(now_s)]
    if not usable:
        return float("inf")
    rates = pool_rates(usable)
    return min(predict_finish_s(request, agent, rates, now_s) for agent in usable)


def cannot_meet_deadline(
    request: RequestFacts, agents: Sequence[AgentView], now_s: float
) -> bool:
    """Return whether a waiting request can no longer meet its deadline.

    To be called with every heartbeat. If it returns True the request should be
    rejected: its caller is answered before the deadline, and no place is used for
    an answer that would be late.

    Parameters
    ----------
    request : RequestFacts
        The request; a protected one is never given up because of an estimate.
    agents : sequence of AgentView
        The agents of its pool.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True if it would be late at every usable agent even if it started now.
        False without a usable agent, since one may appear before the deadline.
    """
    usable = [agent for agent in agents if agent.is_usable(now_s)]
    if request.protected or not usable:
        return False
    rates = pool_rates(usable)
    return not any(
        can_finish(
            request.n_input_tokens,
            request.n_output_tokens,
            request.deadline_at_s - now_s,
            agent.token_gap_s or rates.token_gap_s,
            agent.prefill_tokens_per_s or rates.prefill_tokens_per_s,
        )
        for agent in usable
    )


def admit(
    request: RequestFacts,
    agents: Sequence[AgentView],
    waiting: WaitingSummary,
    limits: Limits,
    now_s: float,
    *,
    jitter: float = 0.5,
) -> Admit | Reject:
    """Decide whether a request that has just arrived may wait.

    Protected work is never rejected here. If the entry is full of protected work,
    the caller of this function has to raise a floor before it sheds any.

    Parameters
    ----------
    request : RequestFacts
        The request.
    agents : sequence of AgentView
        The agents of its pool.
    waiting : WaitingSummary
        Requests that wait in the entry.
    limits : Limits
        Limits on these.
    now_s : float
        Monotonic time in seconds.
    jitter : float
        Random number in [0, 1) for `retry_after_s`.

    Returns
    -------
    Admit or Reject
        Decision.
    """
    is_full = (
        waiting.n_waiting >= limits.max_waiting
        or waiting.n_waiting_bytes >= limits.max_waiting_bytes
    )
    if request.protected:
        return Admit(must_evict=is_full)
    usable = [agent for agent in agents if agent.is_usable(now_s)]
    if not usable:
        return Reject(Reason.NO_UPSTREAM, retry_after_s(0.0, 0.0, jitter))
    drain_per_s = _drain_per_s(usable)
    n_ahead = max(waiting.n_waiting, _n_ahead(request, usable))
    retry_s = retry_after_s(n_ahead, drain_per_s, jitter)
    if waiting.n_waiting_of_organisation >= limits.max_waiting_of_organisation:
        organisation_retry_s = retry_after_s(
            waiting.n_waiting_of_organisation, drain_per_s, jitter
        )
        return Reject(Reason.ORGANISATION_LIMIT, organisation_retry_s)
    left_s = request.deadline_at_s - now_s
    if estimate_finish_s(request, usable, now_s) > ADMIT_MARGIN * left_s:
        return Reject(Reason.DEADLINE_UNREACHABLE, retry_s)
    if not is_full:
        return Admit()
    if waiting.lowest_rank is None or waiting.lowest_rank <= request.tier_rank:
        return Reject(Reason.OVERLOADED, retry_s)
    return Admit(must_evict=True)


def _drain_per_s(usable: Sequence[AgentView]) -> float:
    """Estimate how many requests the agents finish per second; 0 if unknown."""
    return sum(
        agent.n_places / agent.service_time_s
        for agent in usable
        if agent.service_time_s > 0.0
    )


def _n_ahead(request: RequestFacts, usable: Sequence[AgentView]) -> float:
    """Estimate how many requests of the pool wait before this one."""
    n_offers = sum(
        count
        for agent in usable
        for rank, count in agent.waiting_by_rank.items()
        if rank <= request.tier_rank
    )
    return n_offers / min(N_OFFERS, len(usable))
