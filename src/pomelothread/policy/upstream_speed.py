"""How fast an upstream is, from the responses that this process has relayed.

Answers the load of unlike engines, a third of which may work several times more
slowly than the rest, and of momentary stragglers: an estimate follows within a
few events, long before a load report shows the change.
"""

from dataclasses import dataclass

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
    """

    gap_s: float = INITIAL_GAP_S
    n_gaps: int = 0
    first_factor: float = 1.0
    n_firsts: int = 0
    response_s: float = 0.05
    n_responses: int = 0

    def observe_gap(self, gap_s: float) -> None:
        """Record the pause before an event."""
        self.n_gaps += 1
        self.gap_s += (gap_s - self.gap_s) * max(GAP_WEIGHT, 1 / self.n_gaps)

    def observe_first(self, observed_s: float, predicted_s: float) -> None:
        """Record how long the first event took, and how long it should have."""
        ratio = min(20.0, observed_s / max(predicted_s, 0.001))
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
    return speed.first_factor * nominal_first_event_s(n_tokens)


def nominal_first_event_s(n_tokens: int) -> float:
    """Return the seconds to the first event at an upstream of factor 1."""
    return INITIAL_BASE_S + INITIAL_TOKEN_S * n_tokens
