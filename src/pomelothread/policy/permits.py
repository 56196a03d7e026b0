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
from collections import OrderedDict
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
# A gateway whose requests cannot wait for a permit asks again after this time. If many
# gateways ask, the time is longer, so that a coordinator gets no more than
# `MAX_ASKS_PER_S`; its answers take a third of the bytes that it may spend for control.
MIN_HOLD_OFF_S = 0.5
MAX_HOLD_OFF_S = 10.0
MAX_ASKS_PER_S = 30.0
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


@dataclass(frozen=True, slots=True)
class Question:
    """How many permits of an upstream a gateway waits for.

    Parameters
    ----------
    gateway : str
        Name of the gateway.
    n_wanted : int
        Number of permits; 0 if it does not wait any more.
    urgency : int
        Rank of its most urgent waiting request; lower numbers come first.
    max_wait_s : float
        Seconds for which its requests can wait.
    """

    gateway: str
    n_wanted: int
    urgency: int
    max_wait_s: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """What a coordinator predicts for a gateway that has asked.

    Parameters
    ----------
    wait_s : float
        Seconds until its next permit.
    hold_off_s : float
        Seconds for which it should not ask again, because its requests cannot wait
        that long; 0.0 if it gets the permit.
    """

    wait_s: float
    hold_off_s: float = 0.0


class AskPace:
    """Decides when gateways may ask again, so that a coordinator gets few questions.

    Examples
    --------
    >>> pace = AskPace()
    >>> for number in range(200):
    ...     pace.record(f"gateway-{number}", now_s=1.0)
    >>> pace.hold_off_s(now_s=1.0)
    6.666666666666667
    """

    __slots__ = ("_asked_s",)

    def __init__(self) -> None:
        # Time of the last question of each gateway and upstream, oldest first.
        self._asked_s: OrderedDict[str, float] = OrderedDict()

    def record(self, source: str, now_s: float) -> None:
        """Record a question; `source` stands for its gateway and upstream."""
        self._asked_s[source] = now_s
        self._asked_s.move_to_end(source)

    def hold_off_s(self, now_s: float) -> float:
        """Return the seconds after which a gateway may ask again."""
        while self._asked_s and now_s - next(iter(self._asked_s.values())) > (
            MAX_HOLD_OFF_S
        ):
            self._asked_s.popitem(last=False)
        paced_s = len(self._asked_s) / MAX_ASKS_PER_S
        return min(MAX_HOLD_OFF_S, max(MIN_HOLD_OFF_S, paced_s))


@dataclass(slots=True)
class _Ask:
    n_wanted: int
    urgency: int
    since_s: float
    until_s: float


class PermitIssuer:
    """Permits of one upstream, at its coordinator.

    Another gateway may have issued permits until now, so a new issuer begins with one
    at most, and only if the upstream has not responded for as long as a permit takes.
    Without it, the end of a low limit would be noticed late after each change of the
    coordinator.

    Parameters
    ----------
    now_s : float
        Monotonic time.
    n_permits : float
        Permits that have accumulated since the last response.

    Examples
    --------
    >>> issuer = PermitIssuer(now_s=0.0, n_permits=0.0)
    >>> issuer.ask(Question("gateway-1", 2, 0, max_wait_s=1.0), 2.0, now_s=0.0)
    0.5
    >>> issuer.issue(rate_per_s=2.0, now_s=0.4), issuer.issue(rate_per_s=2.0, now_s=0.6)
    ([], ['gateway-1'])
    """

    __slots__ = ("_asks", "_n_permits", "_updated_s")

    def __init__(self, now_s: float, n_permits: float) -> None:
        self._n_permits = min(1.0, n_permits)
        self._updated_s = now_s
        self._asks: dict[str, _Ask] = {}

    def ask(self, question: Question, rate_per_s: float, now_s: float) -> float:
        """Record a question in place of the last one of its gateway.

        Parameters
        ----------
        question : Question
            It is not recorded if its requests cannot wait for the next permit.
        rate_per_s : float
            Permits a second.
        now_s : float
            Monotonic time.

        Returns
        -------
        float
            Predicted seconds until the gateway gets its next permit.
        """
        self._update(rate_per_s, now_s)
        name = question.gateway
        known = self._asks.pop(name, None)
        order = (question.urgency, known.since_s if known is not None else now_s)
        n_before = sum(a.n_wanted for a in self._asks.values() if _order(a) <= order)
        wait_s = max(0.0, n_before + 1.0 - self._n_permits) / rate_per_s
        if question.n_wanted > 0 and wait_s <= question.max_wait_s:
            self._asks[name] = _Ask(
                min(question.n_wanted, MAX_WANTED),
                *order,
                until_s=now_s + min(ASK_LIFETIME_S, question.max_wait_s),
            )
        return wait_s

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
            if now_s > ask.until_s:
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
        Number of permits that the gateway waits for at the coordinator.
    asked_s : float
        Monotonic time of its last question.
    next_permit_s : float
        Monotonic time at which the next permit is predicted.
    hold_off_until_s : float
        Monotonic time until which the gateway does not ask.

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
    next_permit_s: float = 0.0
    hold_off_until_s: float = 0.0

    def n_usable(self, now_s: float) -> int:
        """Return the number of permits that may be used now."""
        return sum(until_s >= now_s for until_s in self.usable_until_s)

    def available_from_s(self, now_s: float) -> float:
        """Return the monotonic time of the next permit, in the past if unknown."""
        if self.n_usable(now_s):
            return 0.0
        return max(self.next_permit_s, self.hold_off_until_s)

    def must_ask(self, n_wanted: int, now_s: float) -> bool:
        """Return whether the coordinator has to be asked for permits, or told that."""
        if now_s < self.hold_off_until_s:
            return False
        if n_wanted == 0 or self.n_asked == 0:
            return n_wanted != self.n_asked
        return now_s - self.asked_s >= ASK_RENEWAL_S

    def record_ask(self, n_wanted: int, now_s: float) -> None:
        """Record that the coordinator was asked for permits."""
        self.n_asked, self.asked_s = n_wanted, now_s

    def record_forecast(self, forecast: Forecast, now_s: float) -> None:
        """Record what the coordinator predicts."""
        self.next_permit_s = now_s + forecast.wait_s
        if forecast.hold_off_s > 0.0:
            self.hold_off_until_s = now_s + min(MAX_HOLD_OFF_S, forecast.hold_off_s)
            self.n_asked = 0

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
