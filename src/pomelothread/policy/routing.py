"""Chooses the agents that get an offer for a request, and when each gets it."""

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from .prediction import (
    MAX_OFFERS,
    N_OFFERS,
    AgentView,
    PoolRates,
    RequestFacts,
    pool_rates,
    predict_finish_s,
    predict_run_s,
    predict_wait_s,
)
from .prefixes import CHARS_PER_TOKEN, FIRST_PREFIX_CHARS, SeenPrefixes, prefix_hashes

__all__ = [
    "MAX_OFFERS",
    "N_OFFERS",
    "AgentView",
    "OfferSchedule",
    "RequestFacts",
    "SeenPrefixes",
    "choose_agents",
    "offer_delay_s",
    "prefix_hashes",
    "schedule_offers",
]

# An agent is preferred for a cached prefix only while its load is at most this many
# times the mean load of the pool (consistent hashing with bounded loads).
MAX_AFFINITY_LOAD = 2.0
# An agent is eligible for a cached prefix if its predicted run takes at most this many
# times the shortest one or, for unprotected work, this share of the time left.
MAX_AFFINITY_RUN_RATIO = 1.5
MAX_AFFINITY_SHARE_OF_TIME_LEFT = 0.5
# Weight of saved prefill time against a later finish. It is above 1 because prefill
# that is computed twice also takes capacity from other requests.
AFFINITY_WEIGHT = 10.0

# The link between regions carries 1.5 MB/s in each direction. A streamed token takes
# about 250 bytes as a server-sent event, so an answer of 250 tokens occupies the link
# for 42 ms.
BYTES_PER_INPUT_TOKEN = 4
BYTES_PER_OUTPUT_TOKEN = 250
MAX_CROSS_REGION_BYTES = 65_536
MAX_CROSS_REGION_BYTES_PROTECTED = 262_144

# A control round trip takes 0.55 ms at p99 within a failure domain and 2 ms
# more between domains.
MIN_OFFER_DELAY_S = 0.003
MAX_OFFER_DELAY_S = 1.0
# An offer is delayed by this share of the difference to the best predicted finish, and
# by at most the next share of the slack, the time that is left at the best agent.
OFFER_DELAY_SHARE = 0.5
MAX_DELAY_SHARE_OF_SLACK = 0.1
# Upper limit of the slack, for requests whose deadline is far away.
MAX_SLACK_S = 20.0
# Share of the slack by which an offer is delayed to an agent that would probably miss
# the deadline. Under full load, an engine of a quarter of the speed takes 6 to 9 s for
# an answer with a deadline of 8 s.
LATE_DELAY_SHARE_OF_SLACK = 0.5
CROSS_REGION_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class OfferSchedule:
    """An agent, and the delay after which its offer is sent."""

    agent: AgentView
    delay_s: float


def choose_agents(
    request: RequestFacts,
    agents: Sequence[AgentView],
    now_s: float,
    *,
    spread_seed: int = 0,
) -> list[AgentView]:
    """Choose the agents that get an offer, the preferred one first.

    Agents are ordered by predicted finish, less the weighted prefill time that a
    cached prefix saves. Agents of other regions are used only if there is no usable
    one in the entry's region, or if none there can meet the deadline and the request
    is small enough for the link. These conditions change, so this function should be
    called again for waiting requests with each heartbeat.

    Parameters
    ----------
    request : RequestFacts
        The request.
    agents : sequence of AgentView
        The agents of its pool; those that are not open or have no fresh heartbeat
        are ignored.
    now_s : float
        Monotonic time in seconds.
    spread_seed : int
        Number of the request by which ties between equal agents are broken, so
        that requests do not all go to the same one.

    Returns
    -------
    list of AgentView
        At most `N_OFFERS`, or `MAX_OFFERS` for protected work; empty if no
        agent is usable.
    """
    usable = [agent for agent in agents if agent.is_usable(now_s)]
    if not usable:
        return []
    rates = pool_rates(usable)
    finishes_s = _finishes_s(request, usable, rates, now_s)
    scores = _scores_s(request, usable, rates, now_s, finishes_s)
    n_offers = MAX_OFFERS if request.protected else N_OFFERS

    def sort_key(agent: AgentView) -> tuple[float, int]:
        return scores[agent.instance], _rendezvous_weight(spread_seed, agent.instance)

    same_region = [agent for agent in usable if agent.region == request.region]
    same_region.sort(key=sort_key)
    if same_region:
        best_s = min(finishes_s[agent.instance] for agent in same_region)
        if not _may_leave_region(request, now_s + best_s):
            return same_region[:n_offers]
    other_regions = [agent for agent in usable if agent.region != request.region]
    other_regions.sort(key=sort_key)
    if not other_regions:
        return same_region[:n_offers]
    if not same_region:
        return other_regions[:n_offers]
    n_offers_elsewhere = 1 if n_offers == N_OFFERS else n_offers // 2
    return (
        same_region[: n_offers - min(n_offers_elsewhere, len(other_regions))]
        + other_regions[:n_offers_elsewhere]
    )


def schedule_offers(
    request: RequestFacts, chosen: Sequence[AgentView], now_s: float
) -> list[OfferSchedule]:
    """Decide when each chosen agent gets its offer.

    A slow agent that is idle grants a place at once, so it would win every race
    between offers that are sent at the same time. Offers to less preferred agents
    are therefore delayed, by a share of the time by which the request would finish
    later there.

    Parameters
    ----------
    request : RequestFacts
        The request.
    chosen : sequence of AgentView
        As returned by `choose_agents`.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    list of OfferSchedule
        In the same order.
    """
    if not chosen:
        return []
    rates = pool_rates(chosen)
    finishes_s = _finishes_s(request, chosen, rates, now_s)
    scores = _scores_s(request, chosen, rates, now_s, finishes_s)
    best_has_place = predict_wait_s(request, chosen[0], rates, now_s) == 0.0
    slack_s = request.deadline_at_s - now_s - finishes_s[chosen[0].instance]
    schedule = []
    for rank, agent in enumerate(chosen):
        is_late = now_s + finishes_s[agent.instance] > request.deadline_at_s
        extra_s = scores[agent.instance] - scores[chosen[0].instance]
        delay_s = offer_delay_s(rank, extra_s, slack_s, best_has_place, is_late)
        if agent.region != chosen[0].region:
            delay_s = max(delay_s, CROSS_REGION_DELAY_S)
        schedule.append(OfferSchedule(agent, delay_s))
    return schedule


def offer_delay_s(
    rank_in_list: int,
    extra_finish_s: float = 0.0,
    slack_s: float = float("inf"),
    best_has_place: bool = True,
    is_late: bool = False,
) -> float:
    """Return the delay after which an offer is sent.

    Parameters
    ----------
    rank_in_list : int
        Position in the list of `choose_agents`; 0 gives no delay.
    extra_finish_s : float
        Seconds by which the request would finish later there than at the best
        agent.
    slack_s : float
        Seconds between the predicted finish at the best agent and the deadline; the
        delay is at most a tenth of it.
    best_has_place : bool
        Whether the best agent will probably grant a place at once; if so, the
        other offers are delayed by at least one control round trip.
    is_late : bool
        Whether the deadline would probably be missed there; if so, the delay is
        half of the slack.

    Returns
    -------
    float
        Seconds.

    Examples
    --------
    >>> offer_delay_s(0), offer_delay_s(1), offer_delay_s(1, extra_finish_s=0.4)
    (0.0, 0.003, 0.2)
    """
    if rank_in_list == 0:
        return 0.0
    if is_late:
        return LATE_DELAY_SHARE_OF_SLACK * max(0.0, min(slack_s, MAX_SLACK_S))
    delay_s = min(
        MAX_OFFER_DELAY_S,
        OFFER_DELAY_SHARE * max(0.0, extra_finish_s),
        MAX_DELAY_SHARE_OF_SLACK * max(0.0, slack_s),
    )
    return max(delay_s, MIN_OFFER_DELAY_S if best_has_place else 0.0)


def _rendezvous_weight(number: int, instance: str) -> int:
    """Return the rendezvous weight of an instance for a number.

    Python's `hash` has a different seed in each process, but all entries must
    choose the same instance for a prefix.
    """
    key = struct.pack(">q", number & 0x7FFF_FFFF_FFFF_FFFF)
    return int.from_bytes(
        blake2b(instance.encode(), digest_size=8, key=key).digest(), "big"
    )


# 8192 weights take about 1 MB and cover 500 prefixes in a pool of 16 agents.
_cached_rendezvous_weight = lru_cache(maxsize=8192)(_rendezvous_weight)


def _finishes_s(
    request: RequestFacts, agents: Sequence[AgentView], rates: PoolRates, now_s: float
) -> dict[str, float]:
    """Return the predicted finish by instance."""
    return {
        agent.instance: predict_finish_s(request, agent, rates, now_s)
        for agent in agents
    }


def _scores_s(
    request: RequestFacts,
    agents: Sequence[AgentView],
    rates: PoolRates,
    now_s: float,
    finishes_s: dict[str, float],
) -> dict[str, float]:
    """Return the predicted finish by instance, less a bonus for a cached prefix.

    The first two eligible instances in the rendezvous order of the prefix get the
    bonus. The predicted finish alone would nearly always select the fastest
    engines, whose caches cannot hold all prefixes.
    """
    if not request.prefix_hashes:
        return finishes_s
    scores = dict(finishes_s)
    prefix, n_cached = _shared_prefix(request)
    best_s = min(scores.values())
    # Predicted run times without waiting times: under load the latter change with
    # every heartbeat, and would change the choice of instances.
    runs_s = {agent.instance: predict_run_s(request, agent, rates) for agent in agents}
    max_run_s = MAX_AFFINITY_RUN_RATIO * min(runs_s.values())
    if not request.protected:
        left_s = request.deadline_at_s - now_s
        max_run_s = max(max_run_s, MAX_AFFINITY_SHARE_OF_TIME_LEFT * left_s)
    max_load = MAX_AFFINITY_LOAD * sum(map(_load, agents)) / len(agents)
    eligible = [
        agent
        for agent in agents
        if agent.region == request.region
        and runs_s[agent.instance] <= max_run_s
        and _load(agent) <= max(max_load, 1.0)
    ]
    eligible.sort(
        key=lambda agent: _cached_rendezvous_weight(prefix, agent.instance),
        reverse=True,
    )
    for position, agent in enumerate(eligible[:2]):
        prefill_rate = agent.prefill_tokens_per_s or rates.prefill_tokens_per_s
        bonus_s = AFFINITY_WEIGHT * n_cached / prefill_rate
        scores[agent.instance] = best_s - bonus_s / (1 + position)
    return scores


def _shared_prefix(request: RequestFacts) -> tuple[int, int]:
    """Return the hash of the longest prefix seen before, and its length in tokens.

    For a prompt without such a prefix, the shortest one is used, so that the next
    prompt with the same prefix is sent to the same cache.
    """
    n_seen = max(1, min(request.n_seen_prefixes, len(request.prefix_hashes)))
    n_tokens = (FIRST_PREFIX_CHARS << (n_seen - 1)) // CHARS_PER_TOKEN
    return request.prefix_hashes[n_seen - 1], min(n_tokens, request.n_input_tokens)


def _load(agent: AgentView) -> float:
    """Return running and waiting work per place; 1 means all places are used."""
    n_used = agent.n_places - agent.n_free_places
    n_waiting = max(sum(agent.waiting_by_rank.values()), agent.n_offered)
    return (n_used + n_waiting / N_OFFERS) / max(1, agent.n_places)


def _may_leave_region(request: RequestFacts, finish_at_s: float) -> bool:
    """Return whether the request may be sent to another region.

    `finish_at_s` is the earliest predicted finish in the region.
    """
    n_bytes = (
        request.n_input_tokens * BYTES_PER_INPUT_TOKEN
        + request.n_output_tokens * BYTES_PER_OUTPUT_TOKEN
    )
    max_bytes = (
        MAX_CROSS_REGION_BYTES_PROTECTED
        if request.protected
        else MAX_CROSS_REGION_BYTES
    )
    return n_bytes <= max_bytes and finish_at_s > request.deadline_at_s
