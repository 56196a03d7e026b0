"""Issues the permits of the upstreams that this gateway coordinates."""

import logging
from collections.abc import Callable

from ..addresses import Address, parse_address
from ..events import Event, log_event
from ..policy.departures import UpstreamStart
from ..policy.permits import (
    AskPace,
    Forecast,
    PermitIssuer,
    Question,
    issue_rate_per_s,
)
from ..policy.rate_limits import RateLimitTracker
from .coordinator_choice import CoordinatorChoice

_log = logging.getLogger(__name__)


class PermitCoordinator:
    """Issues permits to the gateways that have asked.

    Parameters
    ----------
    limits : RateLimitTracker
        Limits of upstreams.
    choice : CoordinatorChoice
        Tells which upstreams this gateway coordinates.
    deliver : callable
        Called for each permit with the upstream and the gateway that gets it.
    """

    def __init__(
        self,
        limits: RateLimitTracker,
        choice: CoordinatorChoice,
        deliver: Callable[[UpstreamStart, Address], None],
    ) -> None:
        self._limits = limits
        self._choice = choice
        self._deliver = deliver
        self._issuers: dict[UpstreamStart, PermitIssuer] = {}
        self._pace = AskPace()

    def record(
        self, start: UpstreamStart, question: Question, now_s: float
    ) -> Forecast | None:
        """Record a question; return None if the upstream names no limit."""
        rate_per_s = self._rate_per_s(start)
        if rate_per_s is None:
            return None
        issuer = self._issuers.get(start)
        if issuer is None:
            report = self._limits.report(start, now_s)
            n_permits = rate_per_s * report.age_s if report is not None else 0.0
            issuer = self._issuers[start] = PermitIssuer(now_s, n_permits)
            log_event(
                _log,
                Event.PERMITS_COORDINATED,
                upstream=start.upstream_id,
                rate_per_s=self._limits.rate_per_s(start),
                share=round(self._choice.share, 3),
                n_gateways=self._choice.n_heard,
            )
        wait_s = issuer.ask(question, rate_per_s, now_s)
        self._pace.record(f"{start.upstream_id} {question.gateway}", now_s)
        if wait_s <= question.max_wait_s:
            return Forecast(wait_s)
        return Forecast(wait_s, self._pace.hold_off_s(now_s))

    def give_back(self, start: UpstreamStart, n_permits: int) -> None:
        """Return permits that a gateway has not used."""
        issuer = self._issuers.get(start)
        if issuer is not None:
            issuer.give_back(n_permits)

    def issue_due(self, now_s: float) -> float | None:
        """Issue the permits that are due.

        Parameters
        ----------
        now_s : float
            Monotonic time.

        Returns
        -------
        float or None
            Monotonic time of the next one; None if no gateway waits.
        """
        next_s = []
        for start, issuer in list(self._issuers.items()):
            rate_per_s = self._rate_per_s(start)
            if rate_per_s is None or not self._choice.is_own(start.upstream_id):
                self._stop(start)
                continue
            for gateway in issuer.issue(rate_per_s, now_s):
                address = parse_address(gateway)
                assert address is not None
                self._deliver(start, address)
            due_s = issuer.next_due_s(rate_per_s)
            if due_s is not None:
                next_s.append(due_s)
        return min(next_s, default=None)

    def _stop(self, start: UpstreamStart) -> None:
        del self._issuers[start]
        log_event(
            _log,
            Event.PERMITS_NOT_COORDINATED,
            upstream=start.upstream_id,
            coordinator=self._choice.find(start.upstream_id),
        )

    def _rate_per_s(self, start: UpstreamStart) -> float | None:
        limit_per_s = self._limits.rate_per_s(start)
        if limit_per_s is None:
            return None
        return issue_rate_per_s(limit_per_s, self._choice.share)
