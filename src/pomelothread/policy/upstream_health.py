"""Decides by the responses of an upstream whether it gets requests.

An upstream that fails too often rests: it gets no requests for some time.

Health checks are not used, because an upstream may fail part of its requests while
its health check succeeds, or the reverse.

If all upstreams of a service fail equally often, none should rest for it: that would
only move its requests to others that fail as often.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

# Consecutive failures after which an upstream rests.
N_FAILURES_TO_REST = 2
# Duration of the first rest; each further one without a success in between is twice
# as long.
REST_S = 0.5
MAX_REST_S = 4.0
# If the other upstreams of the service fail as well, more consecutive failures are
# needed: so many that at the failure rate of the others their probability is below
# this.
MAX_FALSE_REST_PROBABILITY = 0.003
# Upper limit of the others' failure rate in this calculation; near 1, consecutive
# failures would prove nothing.
MAX_OTHERS_FAILURE_SHARE = 0.95
# Weight of a new result in the share of failures, an average over about twelve results.
RESULT_WEIGHT = 0.08


@dataclass(slots=True)
class HealthRecord:
    """Recent results of one upstream, and its rests.

    Parameters
    ----------
    failure_share : float
        Moving average of the share of failed requests, 0 to 1.
    n_failures_in_row : int
        Failures since the last success.
    rests_until_s : float
        Monotonic time until which it gets no request because of failures.
    n_rests_in_row : int
        Rests since the last success.
    is_probing : bool
        Whether the first request after a rest is still running. No other one is sent
        meanwhile.
    requested_rest_until_s : float
        Monotonic time until which the upstream has asked to get no request.
    """

    failure_share: float = 0.0
    n_failures_in_row: int = 0
    rests_until_s: float = 0.0
    n_rests_in_row: int = 0
    is_probing: bool = False
    requested_rest_until_s: float = 0.0

    @property
    def may_take_from_s(self) -> float:
        """Monotonic time from which the upstream may get requests."""
        return max(self.rests_until_s, self.requested_rest_until_s)

    def record_requested_rest(self, now_s: float, rest_s: float) -> None:
        """Record that the upstream has asked to get no requests for some time.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        rest_s : float
            Seconds; a rest that ends later is not shortened.
        """
        self.requested_rest_until_s = max(self.requested_rest_until_s, now_s + rest_s)

    def observe_success(self) -> None:
        """Record a complete response."""
        self.n_failures_in_row = 0
        self.n_rests_in_row = 0
        self.is_probing = False
        self.failure_share -= self.failure_share * RESULT_WEIGHT

    def observe_failure(
        self, now_s: float, is_certain: bool = False, others_share: float = 0.0
    ) -> bool:
        """Record a failed request.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        is_certain : bool
            Whether this failure alone is sufficient for a rest, such as a refused
            connection.
        others_share : float
            Mean share of failures of the other upstreams of its service.

        Returns
        -------
        bool
            Whether a rest of the upstream begins now.
        """
        self.failure_share += (1.0 - self.failure_share) * RESULT_WEIGHT
        self.n_failures_in_row += 1
        is_limit_reached = self.n_failures_in_row >= _failures_to_rest(others_share)
        if not (is_certain or is_limit_reached):
            self.is_probing = False
            return False
        if now_s < self.rests_until_s:
            return False
        self.rests_until_s = now_s + min(MAX_REST_S, REST_S * 2.0**self.n_rests_in_row)
        self.n_rests_in_row += 1
        self.is_probing = False
        return True

    def may_take(self, now_s: float) -> bool:
        """Return whether the upstream may get a request now."""
        return now_s >= self.may_take_from_s and not self.is_probing

    def observe_sent(self, now_s: float) -> None:
        """Record that a request was sent; the first one after a rest is a probe."""
        if self.n_rests_in_row > 0 and now_s >= self.rests_until_s:
            self.is_probing = True

    def observe_cancelled(self) -> None:
        """Record that a request ended without a result that concerns health."""
        self.is_probing = False


def _failures_to_rest(others_share: float) -> int:
    """Return how many consecutive failures are unlikely at the others' failure rate."""
    if others_share <= 0.0:
        return N_FAILURES_TO_REST
    n_significant = math.log(MAX_FALSE_REST_PROBABILITY) / math.log(
        min(MAX_OTHERS_FAILURE_SHARE, others_share)
    )
    return max(N_FAILURES_TO_REST, math.ceil(n_significant))


def mean_failure_share(records: Iterable[HealthRecord]) -> float:
    """Return the mean share of failures of several upstreams; 0.0 for none."""
    shares = [record.failure_share for record in records]
    return sum(shares) / len(shares) if shares else 0.0
