"""Measured speed of the upstream beside an agent."""

# Weight of a new value in the moving average; the last ten values dominate it.
SMOOTHING_FACTOR = 0.1


class UpstreamRates:
    """Exponential moving averages over requests, sent in heartbeats.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Input tokens divided by the time to the first token; 0 if not measured.
    service_time_s : float
        Seconds from dispatch to the end of the response; 0 if not measured.
    """

    __slots__ = ("prefill_tokens_per_s", "service_time_s")

    def __init__(self) -> None:
        self.prefill_tokens_per_s = 0.0
        self.service_time_s = 0.0

    def observe_first_token(self, n_input_tokens: int, elapsed_s: float) -> None:
        """Record the time from dispatch to the first token."""
        if elapsed_s <= 0:
            return
        rate = n_input_tokens / elapsed_s
        self.prefill_tokens_per_s = _smooth(self.prefill_tokens_per_s, rate)

    def observe_response(self, elapsed_s: float) -> None:
        """Record the time from dispatch to the end of the response."""
        self.service_time_s = _smooth(self.service_time_s, elapsed_s)


def _smooth(average: float, value: float) -> float:
    if average == 0.0:
        return value
    return average + SMOOTHING_FACTOR * (value - average)
