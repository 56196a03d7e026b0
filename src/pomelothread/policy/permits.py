"""Shares the limit of an upstream among all gateways by permits.

For each upstream that names a limit, one gateway is its coordinator and issues permits
at the rate of the limit; every request to the upstream uses one. A division of the
limit among the gateways would leave most of it unused where traffic is uneven, and
would be too small for a single request where there are hundreds of gateways.

Load: callers that send more than the limited upstreams of a service take. Permits then
go to the most urgent requests of the fleet, and the others learn at once how long they
would have to wait.

The users allow one and a half times the limit and five requests in any four seconds.
`BURST_S` and `PERMIT_LIFETIME_S` use 0.75 s worth of the limit of that; the rest covers
the time in which gateways disagree on the coordinator.
"""

import math
from dataclasses import dataclass, field

# An upstream that takes fewer requests than this, or none, still gets some: only its
# response can tell that its need is over.
MIN_RATE_PER_S = 0.25
# Permits that have not been asked for accumulate for this long, and one more.
BURST_S = 0.25
# An unused permit is void after this time.
PERMIT_LIFETIME_S = 0.5
# A permit that arrives this long after the last question is not used: the gateway was
# frozen in the meantime, and the permit may be old.
MAX_ANSWER_AGE_S = 1.5
# A gateway that waits for permits repeats its question after this time, and a question
# that is not repeated is void after the second time.
ASK_RENEWAL_S = 0.4
ASK_LIFETIME_S = 1.2
# Minimum time between two different questions about the same upstream.
MIN_ASK_GAP_S = 0.05
# The predicted time of the next permit is used for this long.
FORECAST_LIFETIME_S = 0.5
# Maximum number of permits that a gateway may wait for at one upstream.
MAX_WANTED = 8


def issue_rate_per_s(limit_per_s: float, share: float) -> float:
    """Return the rate at which a coordinator issues permits.

    Parameters
    ----------
    limit_per_s : float
        Limit of the upstream in requests a second; may be 0.0.
    share : float
        Share of the limit that the coordinator may issue, above 0.0 and at most 1.0.

    Examples
    --------
    >>> issue_rate_per_s(2.0, share=1.0), issue_rate_per_s(0.0, share=0.5)
    (2.0, 0.125)
    """
    return share * max(MIN_RATE_PER_S, limit_per_s)


@dataclass(slots=True)
class _Ask:
    n_wanted: int
    urgency: int
    since_s: float
    renewed_s: float


class PermitIssuer:
    """Permits of one upstream, at its coordinator.

    A new issuer begins without permits, because another gateway may have issued some
    until now.

    Parameters
    ----------
    now_s : float
        Monotonic time.

    Examples
    --------
    >>> issuer = PermitIssuer(now_s=0.0)
    >>> issuer.ask("gateway-1", n_wanted=2, urgency=0, now_s=0.0)
    >>> issuer.issue(rate_per_s=2.0, now_s=0.4), issuer.issue(rate_per_s=2.0, now_s=0.6)
    ([], ['gateway-1'])
    """

    __slots__ = ("_asks", "_n_permits", "_updated_s")

    def __init__(self, now_s: float) -> None:
        self._n_permits = 0.0
        self._updated_s = now_s
        self._asks: dict[str, _Ask] = {}

    def ask(self, gateway: str, n_wanted: int, urgency: int, now_s: float) -> None:
        """Record how many permits a gateway waits for, in place of its last number.

        Parameters
        ----------
        gateway : str
            Name of the gateway.
        n_wanted : int
            Number of permits; 0 if it does not wait any more.
        urgency : int
            Rank of its most urgent waiting request; lower numbers come first.
        now_s : float
            Monotonic time.
        """
        known = self._asks.get(gateway)
        if n_wanted <= 0:
            self._asks.pop(gateway, None)
        elif known is None:
            n_wanted = min(n_wanted, MAX_WANTED)
            self._asks[gateway] = _Ask(n_wanted, urgency, now_s, now_s)
        else:
            known.n_wanted = min(n_wanted, MAX_WANTED)
            known.urgency, known.renewed_s = urgency, now_s

    def give_back(self, n_permits: int) -> None:
        """Return permits that have not been used."""
        self._n_permits += max(0, n_permits)

    def issue(self, rate_per_s: float, now_s: float) -> list[str]:
        """Issue the permits that are due.

        Parameters
        ----------
        rate_per_s : float
            Permits a second.
        now_s : float
            Monotonic time.

        Returns
        -------
        list of str
            For each permit, the gateway that gets it.
        """
        self._update(rate_per_s, now_s)
        receivers = []
        while self._n_permits >= 1.0 and self._asks:
            name, ask = min(self._asks.items(), key=lambda item: _order(item[1]))
            self._n_permits -= 1.0
            receivers.append(name)
            ask.n_wanted -= 1
            ask.since_s = now_s
            if ask.n_wanted == 0:
                del self._asks[name]
        return receivers

    def wait_s(self, gateway: str, urgency: int, rate_per_s: float) -> float:
        """Predict the seconds until a gateway gets its next permit.

        Parameters
        ----------
        gateway : str
            Name of the gateway, which need not have asked.
        urgency : int
            Rank of its most urgent request.
        rate_per_s : float
            Permits a second.
        """
        own = self._asks.get(gateway)
        order = _order(own) if own is not None else (urgency, math.inf)
        n_before = sum(
            ask.n_wanted
            for name, ask in self._asks.items()
            if name != gateway and _order(ask) < order
        )
        return max(0.0, n_before + 1.0 - self._n_permits) / rate_per_s

    def next_due_s(self, rate_per_s: float) -> float | None:
        """Return the monotonic time of the next permit; None if nobody waits."""
        if not self._asks:
            return None
        return self._updated_s + max(0.0, 1.0 - self._n_permits) / rate_per_s

    def _update(self, rate_per_s: float, now_s: float) -> None:
        n_new = rate_per_s * max(0.0, now_s - self._updated_s)
        n_most = 1.0 + BURST_S * rate_per_s
        self._n_permits = min(n_most, self._n_permits + n_new)
        self._updated_s = now_s
        for name, ask in list(self._asks.items()):
            if now_s - ask.renewed_s > ASK_LIFETIME_S:
                del self._asks[name]


def _order(ask: _Ask) -> tuple[int, float]:
    """Return the key by which waiting gateways are sorted."""
    return ask.urgency, ask.since_s


@dataclass(slots=True)
class PermitStock:
    """Permits of one upstream at a gateway that sends it requests.

    Parameters
    ----------
    usable_until_s : list of float
        Monotonic time until which each permit may be used.
    n_asked : int
        Number of permits that the gateway has last asked for.
    asked_s : float
        Monotonic time of its last question.
    forecast_s : float
        Monotonic time at which the next permit is predicted.
    forecast_made_s : float
        Monotonic time of that prediction.

    Examples
    --------
    >>> stock = PermitStock()
    >>> stock.must_ask(n_wanted=1, now_s=5.0)
    True
    >>> stock.record_ask(n_wanted=1, now_s=5.0)
    >>> stock.add(1, now_s=5.1)
    1
    >>> stock.take(now_s=5.2)
    5.6
    >>> stock.take(now_s=5.2)
    """

    usable_until_s: list[float] = field(default_factory=list)
    n_asked: int = 0
    asked_s: float = -math.inf
    forecast_s: float = 0.0
    forecast_made_s: float = -math.inf

    def n_usable(self, now_s: float) -> int:
        """Return the number of permits that may be used now."""
        return sum(until_s >= now_s for until_s in self.usable_until_s)

    def available_from_s(self, now_s: float) -> float:
        """Return the monotonic time of the next permit; 0.0 if it is not known."""
        is_known = now_s - self.forecast_made_s <= FORECAST_LIFETIME_S
        return self.forecast_s if is_known and not self.n_usable(now_s) else 0.0

    def must_ask(self, n_wanted: int, now_s: float) -> bool:
        """Return whether the coordinator has to be asked for permits, or told that."""
        asked_ago_s = now_s - self.asked_s
        if n_wanted != self.n_asked:
            return asked_ago_s >= MIN_ASK_GAP_S
        return n_wanted > 0 and asked_ago_s >= ASK_RENEWAL_S

    def record_ask(self, n_wanted: int, now_s: float) -> None:
        """Record that the coordinator was asked for permits."""
        self.n_asked, self.asked_s = n_wanted, now_s

    def record_forecast(self, wait_s: float, now_s: float) -> None:
        """Record how long the next permit is predicted to take."""
        self.forecast_s, self.forecast_made_s = now_s + wait_s, now_s

    def add(self, n_permits: int, now_s: float) -> int:
        """Add permits that have arrived; return how many of them are usable."""
        if now_s - self.asked_s > MAX_ANSWER_AGE_S:
            return 0
        self.n_asked = max(0, self.n_asked - n_permits)
        until_s = now_s + PERMIT_LIFETIME_S
        self.usable_until_s += [until_s] * n_permits
        return n_permits

    def take(self, now_s: float) -> float | None:
        """Use a permit; return until when it holds, or None if there is none."""
        self.usable_until_s = [s for s in self.usable_until_s if s >= now_s]
        return self.usable_until_s.pop(0) if self.usable_until_s else None

    def take_all(self, now_s: float) -> int:
        """Remove all permits; return how many of them were usable."""
        n_usable = self.n_usable(now_s)
        self.usable_until_s.clear()
        return n_usable
