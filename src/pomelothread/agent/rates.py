"""Measured speed of the upstream beside an agent."""

# Weight of a new value; ten values make up most of an average.
WEIGHT = 0.1


class Rates:
    """Moving averages over finished requests, for the heartbeat.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Input tokens by the time to the first token; 0 before the first.
    service_time_s : float
        Time from dispatch to the end; 0 before the first.
    """

    __slots__ = ("prefill_tokens_per_s", "service_time_s")

    def __init__(self) -> None:
        self.prefill_tokens_per_s = 0.0
        self.service_time_s = 0.0

    def first_token(self, n_input_tokens: int, elapsed_s: float) -> None:
        """Take in the time from dispatch to the first token."""
        if elapsed_s <= 0:
            return
        rate = n_input_tokens / elapsed_s
        self.prefill_tokens_per_s = _move(self.prefill_tokens_per_s, rate)

    def finished(self, elapsed_s: float) -> None:
        """Take in the time from dispatch to the end."""
        self.service_time_s = _move(self.service_time_s, elapsed_s)


def _move(average: float, value: float) -> float:
    if average == 0.0:
        return value
    return average + WEIGHT * (value - average)
