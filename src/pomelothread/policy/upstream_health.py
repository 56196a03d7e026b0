"""Whether an upstream gets requests, judged by its own responses.

Health checks are no witness here: an upstream may fail part of its requests
while its health check is good, or the reverse.

Answers the load of an outage that all upstreams of a service share: resting some
of them would only move their requests to others that fail as often.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

# Failures in a row after which an upstream rests.
N_FAILURES_TO_REST = 2
# First rest; each further one without a success between is twice as long.
REST_S = 0.5
MAX_REST_S = 4.0
# More failures in a row are needed while the other upstreams of the service fail
# as well: at their rate, so many have to be less likely than this.
MAX_CHANCE = 0.003
# Rate of the others at which failures in a row tell nothing any more.
MAX_OTHERS_SHARE = 0.95
# Weight of a new result in the share of failures; about the last twelve count.
RESULT_WEIGHT = 0.08


@dataclass(slots=True)
class HealthRecord:
    """Results of one upstream.

    Parameters
    ----------
    failure_share : float
        Running share of requests that failed, 0 to 1.
    n_failures_in_row : int
        Failures since the last success.
    rests_until_s : float
        Monotonic time until which it gets no request.
    n_rests : int
        Rests since the last success.
    is_on_trial : bool
        Whether one request after a rest is still out.
    asked_until_s : float
        Monotonic time until which the upstream itself has asked for no request.
    """

    failure_share: float = 0.0
    n_failures_in_row: int = 0
    rests_until_s: float = 0.0
    n_rests: int = 0
    is_on_trial: bool = False
    asked_until_s: float = 0.0

    @property
    def may_take_from_s(self) -> float:
        """Monotonic time from which it may get requests."""
        return max(self.rests_until_s, self.asked_until_s)

    def grant_rest(self, now_s: float, rest_s: float) -> None:
        """Record that the upstream has asked for no request for some time.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        rest_s : float
            Seconds; a shorter one does not end a longer one.
        """
        self.asked_until_s = max(self.asked_until_s, now_s + rest_s)

    def observe_success(self) -> None:
        """Record a complete response."""
        self.n_failures_in_row = 0
        self.n_rests = 0
        self.is_on_trial = False
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
            Whether one failure is enough, such as a refused connection.
        others_share : float
            Share of failures of the other upstreams of its service.

        Returns
        -------
        bool
            Whether the upstream rests from now on.
        """
        self.failure_share += (1.0 - self.failure_share) * RESULT_WEIGHT
        self.n_failures_in_row += 1
        is_over = self.n_failures_in_row >= _failures_to_rest(others_share)
        if not (is_certain or is_over):
            self.is_on_trial = False
            return False
        if now_s < self.rests_until_s:
            return False
        self.rests_until_s = now_s + min(MAX_REST_S, REST_S * 2.0**self.n_rests)
        self.n_rests += 1
        self.is_on_trial = False
        return True

    def may_take(self, now_s: float) -> bool:
        """Tell whether it may get a request now."""
        return now_s >= self.may_take_from_s and not self.is_on_trial

    def observe_sent(self, now_s: float) -> None:
        """Record that a request was sent; the first one after a rest is a trial."""
        if self.n_rests > 0 and now_s >= self.rests_until_s:
            self.is_on_trial = True

    def observe_cancelled(self) -> None:
        """Record that a request ended without telling anything about health."""
        self.is_on_trial = False


def _failures_to_rest(others_share: float) -> int:
    """Return how many failures in a row are more than the service's usual ones."""
    if others_share <= 0.0:
        return N_FAILURES_TO_REST
    likely = math.log(MAX_CHANCE) / math.log(min(MAX_OTHERS_SHARE, others_share))
    return max(N_FAILURES_TO_REST, math.ceil(likely))


def mean_failure_share(records: Iterable[HealthRecord]) -> float:
    """Return the mean share of failures of some upstreams, 0.0 for none."""
    shares = [record.failure_share for record in records]
    return sum(shares) / len(shares) if shares else 0.0
