"""Estimates the speed of an upstream from the responses relayed by this process.

Engines of a service differ: a third of them may be several times slower than the
rest, and any of them may slow down for a moment. The estimates follow such a change
within a few events, long before a load report shows it.

The lengths of prompts differ by a factor of a hundred. For each service, the fixed
time per request and the time per prompt token are learned from its responses. With a
wrong ratio of the two, the longest prompts would be classified as late before they
are sent.
"""

from dataclasses import dataclass, field

# Weight of a new observation, for an average over about ten observations.
SAMPLE_WEIGHT = 0.1
# Weight of a new gap between events. A stream has some thirty events, and a disturbance
# of 600 ms covers about twenty.
GAP_WEIGHT = 0.08
# Initial estimates, used before the first response. Engines read prompt tokens faster
# than they write tokens by a factor of a hundred or more.
INITIAL_TOKEN_S = 0.00005
INITIAL_BASE_S = 0.03
INITIAL_GAP_S = 0.025
# Prompt lengths for which the initial estimate counts like one observed response each.
INITIAL_PROMPTS = (500, 8_000)
# Factor by which the weight of older responses of a service decreases with each new
# one, for an average over about a hundred.
START_DECAY = 0.99
# An observation is limited to this many times its prediction, so that one delayed
# response does not distort the estimated cost of prompts.
MAX_START_RATIO = 2.0
MIN_START_S = 0.001


class FirstEventModel:
    """Linear model of the time to the first event by the number of tokens to read.

    It is fitted by least squares to the responses of all engines of a service, each
    divided by the slowness factor of its engine. Relative errors are minimised, so
    that a few long prompts do not determine the estimate for short ones.

    Examples
    --------
    >>> model = FirstEventModel()
    >>> for n_tokens in (100, 5_000, 20_000) * 50:
    ...     model.observe(n_tokens, 0.05 + 0.00001 * n_tokens)
    >>> round(model.predict_s(10_000), 2)
    0.15
    """

    __slots__ = (
        "_base_s",
        "_sum_n",
        "_sum_nn",
        "_sum_ns",
        "_sum_s",
        "_sum_w",
        "_token_s",
    )

    def __init__(self) -> None:
        # Weighted sums over responses of 1, tokens n, n * n, seconds s and n * s.
        self._sum_w = self._sum_n = self._sum_nn = self._sum_s = self._sum_ns = 0.0
        self._base_s, self._token_s = INITIAL_BASE_S, INITIAL_TOKEN_S
        for n_tokens in INITIAL_PROMPTS:
            self._add(n_tokens, self.predict_s(n_tokens))

    def predict_s(self, n_tokens: float) -> float:
        """Return the seconds to the first event at an engine of average speed."""
        return max(MIN_START_S, self._base_s + self._token_s * n_tokens)

    def observe(self, n_tokens: int, start_s: float) -> None:
        """Record a response, normalised to an engine of average speed.

        Parameters
        ----------
        n_tokens : int
            Number of tokens that had to be read.
        start_s : float
            Seconds to the first event, divided by the slowness factor of the engine.
        """
        longest_s = MAX_START_RATIO * self.predict_s(n_tokens)
        self._sum_w *= START_DECAY
        self._sum_n *= START_DECAY
        self._sum_nn *= START_DECAY
        self._sum_s *= START_DECAY
        self._sum_ns *= START_DECAY
        self._add(n_tokens, min(start_s, longest_s))
        determinant = self._sum_w * self._sum_nn - self._sum_n * self._sum_n
        if determinant <= 0.0:
            return
        token_s = (self._sum_w * self._sum_ns - self._sum_n * self._sum_s) / determinant
        self._token_s = max(0.0, token_s)
        self._base_s = (self._sum_s - self._token_s * self._sum_n) / self._sum_w

    def _add(self, n_tokens: int, start_s: float) -> None:
        weight = self.predict_s(n_tokens) ** -2
        self._sum_w += weight
        self._sum_n += weight * n_tokens
        self._sum_nn += weight * n_tokens * n_tokens
        self._sum_s += weight * start_s
        self._sum_ns += weight * n_tokens * start_s


@dataclass(slots=True)
class SpeedEstimate:
    """Moving averages of the speed of one upstream.

    Parameters
    ----------
    gap_s : float
        Seconds between two events of a stream.
    n_gaps : int
        Observations of `gap_s`.
    slowness_factor : float
        Ratio of the time to the first event to the prediction of `start`.
    n_first_events : int
        Observations of `slowness_factor`.
    response_s : float
        Seconds for a whole response that is not a stream.
    n_responses : int
        Observations of `response_s`.
    start : FirstEventModel
        Model of the service, shared by its upstreams.
    """

    gap_s: float = INITIAL_GAP_S
    n_gaps: int = 0
    slowness_factor: float = 1.0
    n_first_events: int = 0
    response_s: float = 0.05
    n_responses: int = 0
    start: FirstEventModel = field(default_factory=FirstEventModel)

    def observe_gap(self, gap_s: float) -> None:
        """Record the time between two events of a stream."""
        self.n_gaps += 1
        self.gap_s += (gap_s - self.gap_s) * max(GAP_WEIGHT, 1 / self.n_gaps)

    def observe_first(self, observed_s: float, n_tokens: int) -> None:
        """Record the time to a first event for which `n_tokens` had to be read."""
        ratio = min(20.0, observed_s / self.start.predict_s(n_tokens))
        self.start.observe(n_tokens, observed_s / self.slowness_factor)
        self.n_first_events += 1
        weight = max(SAMPLE_WEIGHT, 1 / (self.n_first_events + 1))
        self.slowness_factor += (ratio - self.slowness_factor) * weight

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
        Estimates of the upstream.
    n_prompt_tokens : int
        Length of the prompt of the request.
    n_pending_tokens : int
        Total length of the prompts that have to be read before it.

    Returns
    -------
    float
        Seconds, without the time on the network.
    """
    n_tokens = n_prompt_tokens + n_pending_tokens
    return speed.slowness_factor * speed.start.predict_s(n_tokens)
