"""How fast an upstream is, from the responses that this process has relayed.

Answers the load of unlike engines, a third of which may work several times more
slowly than the rest, and of momentary stragglers: an estimate follows within a
few events, long before a load report shows the change.

Also answers prompts whose lengths differ a hundredfold: what a prompt costs beside
what every request costs is learned for each service, as a wrong ratio would call
the longest prompts late before they have been sent.
"""

from dataclasses import dataclass, field

# Weight of a new observation; about the last ten count.
SAMPLE_WEIGHT = 0.1
# Weight of a new pause between events; a stream has some thirty, and a
# disturbance of 600 ms covers about twenty.
GAP_WEIGHT = 0.08
# Engines read prompts and write tokens at rates that differ by a factor of a
# hundred or more; these start the estimates before the first response.
INITIAL_TOKEN_S = 0.00005
INITIAL_BASE_S = 0.03
INITIAL_GAP_S = 0.025
# Prompts for which the initial estimate counts as much as one response each.
INITIAL_PROMPTS = (500, 8_000)
# Weight that older responses of a service keep with each new one; about the last
# hundred count.
START_MEMORY = 0.99
# A response counts as this many times as long as predicted at most, so that one
# that was held up does not change what prompts seem to cost.
MAX_START_RATIO = 2.0
MIN_START_S = 0.001


class StartModel:
    """What a service's engines need for a first event, by the tokens to read.

    A least-squares line through the responses of all its engines, each divided by
    how slow its engine is. Relative errors count, so that a few long prompts do not
    decide what short ones seem to cost.

    Examples
    --------
    >>> model = StartModel()
    >>> for n_tokens in (100, 5_000, 20_000) * 50:
    ...     model.observe(n_tokens, 0.05 + 0.00001 * n_tokens)
    >>> round(model.predict_s(10_000), 2)
    0.15
    """

    __slots__ = ("_base_s", "_n", "_n2", "_ns", "_s", "_token_s", "_weight")

    def __init__(self) -> None:
        self._weight = self._n = self._n2 = self._s = self._ns = 0.0
        self._base_s, self._token_s = INITIAL_BASE_S, INITIAL_TOKEN_S
        for n_tokens in INITIAL_PROMPTS:
            self._add(n_tokens, self.predict_s(n_tokens))

    def predict_s(self, n_tokens: float) -> float:
        """Return the seconds to the first event at an engine of usual speed."""
        return max(MIN_START_S, self._base_s + self._token_s * n_tokens)

    def observe(self, n_tokens: int, start_s: float) -> None:
        """Record a response, as an engine of usual speed would have given it.

        Parameters
        ----------
        n_tokens : int
            Tokens that were to be read.
        start_s : float
            Seconds to the first event.
        """
        longest_s = MAX_START_RATIO * self.predict_s(n_tokens)
        self._weight *= START_MEMORY
        self._n *= START_MEMORY
        self._n2 *= START_MEMORY
        self._s *= START_MEMORY
        self._ns *= START_MEMORY
        self._add(n_tokens, min(start_s, longest_s))
        spread = self._weight * self._n2 - self._n * self._n
        if spread <= 0.0:
            return
        slope_s = (self._weight * self._ns - self._n * self._s) / spread
        self._token_s = max(0.0, slope_s)
        self._base_s = (self._s - self._token_s * self._n) / self._weight

    def _add(self, n_tokens: int, start_s: float) -> None:
        weight = self.predict_s(n_tokens) ** -2
        self._weight += weight
        self._n += weight * n_tokens
        self._n2 += weight * n_tokens * n_tokens
        self._s += weight * start_s
        self._ns += weight * n_tokens * start_s


@dataclass(slots=True)
class SpeedEstimate:
    """Running averages of one upstream.

    Parameters
    ----------
    gap_s : float
        Seconds between two events of a stream.
    n_gaps : int
        Observations of `gap_s`.
    first_factor : float
        Time to the first event in relation to what was predicted.
    n_firsts : int
        Observations of `first_factor`.
    response_s : float
        Seconds for a whole response that is not a stream.
    n_responses : int
        Observations of `response_s`.
    start : StartModel
        Of the service, shared by its upstreams.
    """

    gap_s: float = INITIAL_GAP_S
    n_gaps: int = 0
    first_factor: float = 1.0
    n_firsts: int = 0
    response_s: float = 0.05
    n_responses: int = 0
    start: StartModel = field(default_factory=StartModel)

    def observe_gap(self, gap_s: float) -> None:
        """Record the pause before an event."""
        self.n_gaps += 1
        self.gap_s += (gap_s - self.gap_s) * max(GAP_WEIGHT, 1 / self.n_gaps)

    def observe_first(self, observed_s: float, n_tokens: int) -> None:
        """Record how long the first event took after so many tokens to read."""
        ratio = min(20.0, observed_s / self.start.predict_s(n_tokens))
        self.start.observe(n_tokens, observed_s / self.first_factor)
        self.n_firsts += 1
        weight = max(SAMPLE_WEIGHT, 1 / (self.n_firsts + 1))
        self.first_factor += (ratio - self.first_factor) * weight

    def observe_response(self, response_s: float) -> None:
        """Record how long a whole response took."""
        self.n_responses += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.n_responses)
        self.response_s += (response_s - self.response_s) * weight


def predict_first_event_s(
    speed: SpeedEstimate, n_prompt_tokens: int, n_pending_tokens: int
) -> float:
    """Predict the seconds from sending a request to its first event.

    Parameters
    ----------
    speed : SpeedEstimate
        Of the upstream.
    n_prompt_tokens : int
        Prompt of the request.
    n_pending_tokens : int
        Prompts that are to be read before it.

    Returns
    -------
    float
        Seconds, without the time on the network.
    """
    n_tokens = n_prompt_tokens + n_pending_tokens
    return speed.first_factor * speed.start.predict_s(n_tokens)
