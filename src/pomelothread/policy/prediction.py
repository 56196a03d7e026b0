"""Predicts waiting and running times from the heartbeats of agents.

The values of a heartbeat, how old they may be, and what replaces them:

* state: valid for 2.5 s (`MAX_AGE_S`), which is five heartbeats; an agent without a
  heartbeat in this time is not used.
* free places and waiting work: used in full for 1 s (`FRESH_AGE_S`), then
  discounted linearly. They change within milliseconds, so they only determine the
  order of the agents; a place is assigned only by the agent's grant.
* time between tokens, prefill rate, service time: averages over seconds, used
  for 2.5 s; a missing one is replaced by the median of the other agents of the
  pool, or by a default if there is none.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import median_low

from ..peers.messages import OPEN, AgentBeat

FRESH_AGE_S = 1.0
MAX_AGE_S = 2.5
# Relative increase of a prediction for each second of age beyond FRESH_AGE_S.
AGE_PENALTY_PER_S = 0.5

N_OFFERS = 3
MAX_OFFERS = 16

# On average, answers have three quarters of the maximum length that callers request.
EXPECTED_OUTPUT_SHARE = 0.75

# Used for a pool in which nothing has been measured yet.
DEFAULT_TOKEN_GAP_S = 0.04
DEFAULT_PREFILL_TOKENS_PER_S = 4000.0


@dataclass(slots=True)
class AgentView:
    """State of one agent as an entry knows it.

    Parameters
    ----------
    incarnation, instance, inbox, pool : str
        As in `AgentBeat`.
    failure_domain, region, http_address, state : str
        As in `AgentBeat`.
    heard_at_s : float
        Monotonic time at which the heartbeat arrived.
    n_places, n_free_places : int
        As in `AgentBeat`.
    waiting_by_rank : dict of int to int
        Number of offers waiting at the agent, by tier rank.
    waiting_tokens : int
        As in `AgentBeat`.
    token_gap_s, prefill_tokens_per_s, service_time_s : float
        As in `AgentBeat`; 0 if not measured.
    n_offered : int
        Open offers of this entry at the agent; the heartbeat does not count the
        most recent ones.
    """

    incarnation: str
    instance: str
    inbox: str
    pool: str
    failure_domain: str
    region: str
    http_address: str
    state: str
    heard_at_s: float
    n_places: int = 0
    n_free_places: int = 0
    waiting_by_rank: dict[int, int] = field(default_factory=dict)
    waiting_tokens: int = 0
    token_gap_s: float = 0.0
    prefill_tokens_per_s: float = 0.0
    service_time_s: float = 0.0
    n_offered: int = 0

    @classmethod
    def from_beat(
        cls, beat: AgentBeat, heard_at_s: float, n_offered: int = 0
    ) -> "AgentView":
        """Build a view from a heartbeat that arrived at `heard_at_s`."""
        return cls(
            incarnation=beat.incarnation,
            instance=beat.instance,
            inbox=beat.inbox,
            pool=beat.pool,
            failure_domain=beat.failure_domain,
            region=beat.region,
            http_address=beat.http_address,
            state=beat.state,
            heard_at_s=heard_at_s,
            n_places=beat.n_places,
            n_free_places=beat.n_free_places,
            waiting_by_rank=beat.waiting_by_rank,
            waiting_tokens=beat.waiting_tokens,
            token_gap_s=beat.token_gap_s,
            prefill_tokens_per_s=beat.prefill_tokens_per_s,
            service_time_s=beat.service_time_s,
            n_offered=n_offered,
        )

    def is_usable(self, now_s: float) -> bool:
        """Return whether the agent may get offers at `now_s`."""
        return self.state == OPEN and now_s - self.heard_at_s <= MAX_AGE_S


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Properties of a request on which scheduling decisions depend.

    Parameters
    ----------
    tier_rank : int
        Rank of its tier; 0 is the most urgent.
    protected : bool
        Whether its tier is protected.
    n_input_tokens : int
        Length of the prompt; 0 for plain services.
    n_output_tokens : int
        Expected length of the answer; 0 for plain services.
    deadline_at_s : float
        Monotonic time of its deadline.
    prefix_hashes : tuple of int
        Hashes of prefixes of the prompt, shortest first, from `prefix_hashes`.
    region : str
        Region of the entry that holds it.
    n_seen_prefixes : int
        How many of the prefixes were seen recently, from `SeenPrefixes`.
    """

    tier_rank: int
    protected: bool
    n_input_tokens: int
    n_output_tokens: int
    deadline_at_s: float
    prefix_hashes: tuple[int, ...] = ()
    region: str = ""
    n_seen_prefixes: int = 0


@dataclass(frozen=True, slots=True)
class PoolRates:
    """Values for measurements that an agent's heartbeat does not contain."""

    token_gap_s: float
    prefill_tokens_per_s: float
    service_time_s: float
    n_usable: int


def pool_rates(agents: Sequence[AgentView]) -> PoolRates:
    """Return the medians of the measurements of a pool's agents."""
    gaps = [agent.token_gap_s for agent in agents if agent.token_gap_s > 0.0]
    rates = [
        agent.prefill_tokens_per_s
        for agent in agents
        if agent.prefill_tokens_per_s > 0.0
    ]
    times = [agent.service_time_s for agent in agents if agent.service_time_s > 0.0]
    return PoolRates(
        token_gap_s=median_low(gaps) if gaps else DEFAULT_TOKEN_GAP_S,
        prefill_tokens_per_s=(
            median_low(rates) if rates else DEFAULT_PREFILL_TOKENS_PER_S
        ),
        service_time_s=median_low(times) if times else 0.0,
        n_usable=len(agents),
    )


def can_finish(
    n_input_tokens: int,
    n_output_tokens: int,
    left_s: float,
    token_gap_s: float,
    prefill_tokens_per_s: float,
    service_time_s: float = 0.0,
) -> bool:
    """Return whether a request that starts now will probably meet its deadline.

    The agent checks this with its own recent measurements before it grants a
    place to an unprotected offer. A request that misses its deadline would use a
    place and prefill without any benefit.

    Parameters
    ----------
    n_input_tokens : int
        Length of the prompt; 0 for plain services.
    n_output_tokens : int
        Maximum length of the answer; `EXPECTED_OUTPUT_SHARE` of it is expected.
    left_s : float
        Seconds to the deadline.
    token_gap_s, prefill_tokens_per_s, service_time_s : float
        Measurements of the agent. One that is 0 (unknown) adds no time.

    Returns
    -------
    bool
        False if it would miss the deadline.

    Examples
    --------
    >>> can_finish(4000, 100, 5.0, token_gap_s=0.04, prefill_tokens_per_s=4000.0)
    True
    >>> can_finish(4000, 200, 5.0, token_gap_s=0.04, prefill_tokens_per_s=4000.0)
    False
    """
    if n_input_tokens == 0 and n_output_tokens == 0:
        return service_time_s <= left_s
    prefill_s = n_input_tokens / prefill_tokens_per_s if prefill_tokens_per_s else 0.0
    return prefill_s + EXPECTED_OUTPUT_SHARE * n_output_tokens * token_gap_s <= left_s


def predict_run_s(
    request: RequestFacts, agent: AgentView, rates: PoolRates, n_cached_tokens: int = 0
) -> float:
    """Predict the time from dispatch to the last token.

    Parameters
    ----------
    request : RequestFacts
        The request.
    agent : AgentView
        The agent that would run it.
    rates : PoolRates
        Values for what the agent has not measured.
    n_cached_tokens : int
        Input tokens that its engine probably has in its prefix cache.

    Returns
    -------
    float
        Seconds. For a request without tokens, the mean service time.
    """
    service_time_s = agent.service_time_s or rates.service_time_s
    if request.n_output_tokens == 0 and request.n_input_tokens == 0:
        return service_time_s
    gap_s = agent.token_gap_s or rates.token_gap_s
    prefill_rate = agent.prefill_tokens_per_s or rates.prefill_tokens_per_s
    n_prefill = max(0, request.n_input_tokens - n_cached_tokens)
    return n_prefill / prefill_rate + request.n_output_tokens * gap_s


def predict_wait_s(
    request: RequestFacts, agent: AgentView, rates: PoolRates, now_s: float
) -> float:
    """Predict the time until the agent has a place for the request.

    Parameters
    ----------
    request : RequestFacts
        The request.
    agent : AgentView
        The agent.
    rates : PoolRates
        Values for what the agent has not measured, and the number of usable agents.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Seconds; 0 if a place is probably free.
    """
    n_reported = sum(
        count
        for rank, count in agent.waiting_by_rank.items()
        if rank <= request.tier_rank
    )
    # A waiting request has offers at several agents, only one of which will run it.
    n_offers_per_request = min(
        rates.n_usable, MAX_OFFERS if request.protected else N_OFFERS
    )
    n_ahead = max(n_reported, agent.n_offered) / max(1, n_offers_per_request)
    stale_s = max(0.0, now_s - agent.heard_at_s - FRESH_AGE_S)
    freshness = max(0.0, 1.0 - stale_s / (MAX_AGE_S - FRESH_AGE_S))
    n_free = agent.n_free_places * freshness
    if n_ahead < n_free:
        return 0.0
    service_time_s = agent.service_time_s or rates.service_time_s
    if service_time_s == 0.0:
        service_time_s = predict_run_s(request, agent, rates)
    return (n_ahead - n_free + 1.0) * service_time_s / max(1, agent.n_places)


def predict_finish_s(
    request: RequestFacts,
    agent: AgentView,
    rates: PoolRates,
    now_s: float,
    n_cached_tokens: int = 0,
) -> float:
    """Predict the time from now to the last token.

    The prediction is increased if the agent's last heartbeat is old.

    Parameters
    ----------
    request : RequestFacts
        The request.
    agent : AgentView
        The agent that would run it.
    rates : PoolRates
        Values for what the agent has not measured, and the number of usable agents.
    now_s : float
        Monotonic time in seconds.
    n_cached_tokens : int
        Input tokens that its engine probably has in its prefix cache.

    Returns
    -------
    float
        Seconds.
    """
    stale_s = max(0.0, now_s - agent.heard_at_s - FRESH_AGE_S)
    wait_s = predict_wait_s(request, agent, rates, now_s)
    run_s = predict_run_s(request, agent, rates, n_cached_tokens)
    return (wait_s + run_s) * (1.0 + AGE_PENALTY_PER_S * stale_s)
