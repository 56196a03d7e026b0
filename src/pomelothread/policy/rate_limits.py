"""Tracks the request rates that upstreams in need take from the whole fleet.

An upstream names its limit in its responses, and the limit holds until a later response
does not name it. The newest statement about one start of an upstream is used, whichever
gateway has received it. A later start under the same name begins without a limit.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .departures import UpstreamStart

# Maximum number of starts with a known limit, several times the largest fleet of
# upstreams; the oldest statements are dropped.
MAX_TRACKED_STARTS = 4_000


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The upstream names a limit.

    Parameters
    ----------
    rate_per_s : float
        Requests a second from all instances together; 0.0 for none.
    """

    rate_per_s: float


@dataclass(frozen=True, slots=True)
class NoRateLimit:
    """The upstream names no limit."""


@dataclass(frozen=True, slots=True)
class UnusableRateLimit:
    """The upstream names a limit that cannot be used.

    It is in need, so this does not end a limit that it has named before.
    """


RateStatement = RateLimit | NoRateLimit | UnusableRateLimit


def read_rate_statement(values: Sequence[bytes]) -> RateStatement:
    """Interpret the limits in the head of a response.

    Parameters
    ----------
    values : sequence of bytes
        Each is a decimal number of requests a second, or several that are separated by
        commas. Values that are not finite numbers of at least 0 are ignored.

    Returns
    -------
    RateLimit, NoRateLimit or UnusableRateLimit
        The lowest of several limits.

    Examples
    --------
    >>> read_rate_statement([b"2.5", b"1.9"])
    RateLimit(rate_per_s=1.9)
    >>> read_rate_statement([b"-1"]), read_rate_statement([])
    (UnusableRateLimit(), NoRateLimit())
    """
    if not values:
        return NoRateLimit()
    numbers = [_parse_rate(part) for value in values for part in value.split(b",")]
    usable = [number for number in numbers if number is not None]
    return RateLimit(min(usable)) if usable else UnusableRateLimit()


def _parse_rate(text: bytes) -> float | None:
    if b"_" in text:
        # float() takes underscores between digits.
        return None
    try:
        rate_per_s = float(text)
    except ValueError:
        # Not a number, which the caller reports as unusable.
        return None
    return rate_per_s if 0.0 <= rate_per_s < math.inf else None


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a gateway tells another one about the limit of an upstream.

    Parameters
    ----------
    start : UpstreamStart
        The upstream.
    rate_per_s : float or None
        Requests a second; None if a limit has ended.
    age_s : float
        Seconds since the statement.
    """

    start: UpstreamStart
    rate_per_s: float | None
    age_s: float


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """Newest statement about one start of an upstream.

    Parameters
    ----------
    rate_per_s : float or None
        Requests a second; None if a limit has ended.
    stated_s : float
        Monotonic time of the statement.
    """

    rate_per_s: float | None
    stated_s: float


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A limit was learned, has changed or has ended.

    Parameters
    ----------
    start : UpstreamStart
        The upstream.
    before_per_s, after_per_s : float or None
        Requests a second; None for no limit.
    age_s : float
        Seconds since the statement.
    """

    start: UpstreamStart
    before_per_s: float | None
    after_per_s: float | None
    age_s: float


class RateLimitTracker:
    """Newest statements of upstreams about their limits.

    Examples
    --------
    >>> tracker = RateLimitTracker()
    >>> start = UpstreamStart("engine-1", 1000)
    >>> tracker.observe(start, RateLimit(1.9), sent_s=5.0, now_s=5.2).after_per_s
    1.9
    >>> tracker.observe(start, NoRateLimit(), sent_s=5.1, now_s=5.3)
    >>> tracker.observe(start, NoRateLimit(), sent_s=6.0, now_s=6.1).after_per_s
    >>> tracker.rate_per_s(start)
    """

    __slots__ = ("_known", "_unreported")

    def __init__(self) -> None:
        self._known: OrderedDict[UpstreamStart, KnownLimit] = OrderedDict()
        # Starts whose newest statement has not been reported to peers, as a set that
        # keeps its order.
        self._unreported: dict[UpstreamStart, None] = {}

    def rate_per_s(self, start: UpstreamStart) -> float | None:
        """Return the limit of an upstream in requests a second, or None."""
        known = self._known.get(start)
        return known.rate_per_s if known is not None else None

    def observe(
        self,
        start: UpstreamStart,
        statement: RateStatement,
        sent_s: float,
        now_s: float,
    ) -> LimitChange | None:
        """Record what a response says about the limit of an upstream.

        Parameters
        ----------
        start : UpstreamStart
            The upstream that responded.
        statement : RateStatement
            What it says.
        sent_s : float
            Monotonic time at which the request was sent. A response without a limit
            ends one only if the request was sent after the limit was named, because
            responses on different connections overtake each other.
        now_s : float
            Monotonic time.

        Returns
        -------
        LimitChange or None
            None if nothing has changed.
        """
        match statement:
            case RateLimit(rate_per_s):
                change = self._record(start, KnownLimit(rate_per_s, now_s), now_s)
            case NoRateLimit() if start in self._known:
                change = self._record(start, KnownLimit(None, sent_s), now_s)
            case NoRateLimit() | UnusableRateLimit():
                return None
        if change is not None:
            self._unreported[start] = None
        return change

    def merge_reported(
        self, report: LimitReport, now_s: float, passes_on: bool = False
    ) -> LimitChange | None:
        """Record what another gateway reports.

        Parameters
        ----------
        report : LimitReport
            Its newest statement.
        now_s : float
            Monotonic time.
        passes_on : bool
            Whether a change is to be reported to the own peers, because the other
            gateway does not send them its reports.

        Returns
        -------
        LimitChange or None
            None if nothing has changed.
        """
        rate_per_s = report.rate_per_s
        if rate_per_s is None and report.start not in self._known:
            return None
        if rate_per_s is not None and not 0.0 <= rate_per_s < math.inf:
            return None
        limit = KnownLimit(rate_per_s, now_s - max(0.0, report.age_s))
        change = self._record(report.start, limit, now_s)
        if change is not None and passes_on:
            self._unreported[report.start] = None
        return change

    def report(self, start: UpstreamStart, now_s: float) -> LimitReport | None:
        """Return the newest statement of an upstream that has named a limit."""
        known = self._known.get(start)
        if known is None:
            return None
        return LimitReport(start, known.rate_per_s, now_s - known.stated_s)

    def reports(
        self, starts: Iterable[UpstreamStart], now_s: float
    ) -> list[LimitReport]:
        """Return the newest statements of those upstreams that named a limit."""
        found = (self.report(start, now_s) for start in starts)
        return [report for report in found if report is not None]

    def take_unreported(self, limit: int, now_s: float) -> list[LimitReport]:
        """Take up to `limit` changes that have not been reported to peers."""
        starts = list(self._unreported)[:limit]
        for start in starts:
            del self._unreported[start]
        return self.reports(starts, now_s)

    def _record(
        self, start: UpstreamStart, limit: KnownLimit, now_s: float
    ) -> LimitChange | None:
        known = self._known.get(start)
        if known is not None and known.stated_s >= limit.stated_s:
            return None
        self._known[start] = limit
        self._known.move_to_end(start)
        if len(self._known) > MAX_TRACKED_STARTS:
            self._forget_one()
        before_per_s = known.rate_per_s if known is not None else None
        if before_per_s == limit.rate_per_s:
            return None
        age_s = now_s - limit.stated_s
        return LimitChange(start, before_per_s, limit.rate_per_s, age_s)

    def _forget_one(self) -> None:
        """Forget the oldest statement, if possible one that has ended a limit."""
        ended = (s for s, limit in self._known.items() if limit.rate_per_s is None)
        start = next(ended, next(iter(self._known)))
        del self._known[start]
        self._unreported.pop(start, None)
