"""Which gateway reads a feed of the platform's store, and when.

Answers the growth of the fleet: calls to the store are limited and paid for, so
they must not grow with the number of gateways. Each gateway knows what it has
read and tells its peers how old that is. One that hears in time that nothing has
changed does not read; one that hears of a change reads at once.

Nobody is elected. Gateways order each other by name, and the later one stands in
this order, the longer it waits before it reads for itself. If those before it are
gone, cut off from the store or from it, their reports become old and it reads.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .store_calls import MAX_EARLY_PAUSE_S, MAX_LATE_PAUSE_S

# What a report tells is taken to be older by this: the time of its way, and the
# time that it may wait to be read.
REPORT_DELAY_S = 0.05
# Shorter outages of a peer are not taken for one of the store: nothing lapses in
# them, and gateways that reach the store have read it within this time.
MIN_OUTAGE_S = 3.0
# Gateways that read again soon after a failed call; the others wait longer, and
# hear from these when the store is back.
N_EARLY_RETRIES = 2


class FeedReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of a feed.

    Parameters
    ----------
    digest : int
        Stands for the state that it has taken in; equal for equal states.
    offset : int
        End of the feed at which this was the newest state.
    age_s : float
        Seconds since it was known to be the newest state.
    steady_s : float
        Seconds since the first answer of the store, or the first one after an
        outage.
    outage_s : float
        How long that outage was; 0.0 if none is known.
    """

    digest: int
    offset: int
    age_s: float
    steady_s: float = 0.0
    outage_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ReadingTimes:
    """How long a gateway waits before it reads a feed again.

    Parameters
    ----------
    first_s : float
        Seconds after its state was last known to be the newest, for the first
        gateway by name.
    second_s : float
        For the second one, which stands in for the first.
    others_s : float
        For all others.
    early_retry_s : float
        Pause after a failed read of one of the first gateways.
    late_retry_s : float
        Pause after a failed read of the others.
    """

    first_s: float
    second_s: float
    others_s: float
    early_retry_s: float = MAX_EARLY_PAUSE_S
    late_retry_s: float = MAX_LATE_PAUSE_S


def rank_among(own_key: tuple[int, str], others: Iterable[tuple[int, str]]) -> int:
    """Return how many gateways read before this one.

    Parameters
    ----------
    own_key : tuple of (int, str)
        Hash of the name, and the name.
    others : iterable of (int, str)
        Of the gateways that are heard.

    Examples
    --------
    >>> rank_among((5, "b"), [(5, "a"), (9, "c")])
    1
    """
    return sum(key < own_key for key in others)


class FeedWatch:
    """What is known of one feed, and when it is to be read.

    Parameters
    ----------
    times : ReadingTimes
        By rank.

    Examples
    --------
    >>> watch = FeedWatch(ReadingTimes(2.0, 2.5, 3.0))
    >>> watch.note_read(digest=7, offset=10, as_of_s=100.0)
    >>> watch.rank = 3
    >>> watch.due_at_s
    103.0
    >>> watch.hear(FeedReport(7, 12, age_s=0.2), now_s=102.0)
    False
    >>> round(watch.due_at_s, 2)
    104.75
    >>> watch.hear(FeedReport(8, 15, age_s=0.0), now_s=102.5)
    True
    """

    __slots__ = (
        "_as_of_s",
        "_back_s",
        "_digest",
        "_is_behind",
        "_offset",
        "_outage_s",
        "_steady_since_s",
        "_times",
        "has_news",
        "rank",
    )

    def __init__(self, times: ReadingTimes) -> None:
        self._times = times
        self._digest = 0
        self._offset = -1
        self._as_of_s: float | None = None
        self._is_behind = False
        self._back_s: float | None = None
        self._outage_s = 0.0
        self._steady_since_s = 0.0
        self.rank = 0
        self.has_news = False

    @property
    def due_at_s(self) -> float:
        """Monotonic time at which this process reads for itself."""
        if self._as_of_s is None or self._is_behind:
            return 0.0
        match self.rank:
            case 0:
                return self._as_of_s + self._times.first_s
            case 1:
                return self._as_of_s + self._times.second_s
            case _:
                return self._as_of_s + self._times.others_s

    @property
    def retry_s(self) -> float:
        """Seconds between a failed read and the next one."""
        if self.rank < N_EARLY_RETRIES:
            return self._times.early_retry_s
        return self._times.late_retry_s

    @property
    def back_s(self) -> float | None:
        """Monotonic time at which the store answered again, if it was away.

        None as soon as a peer is known to have read it meanwhile: then only this
        process was cut off, and what is missing from its list is gone.
        """
        return self._back_s

    def note_read(self, digest: int, offset: int, as_of_s: float) -> None:
        """Record what this process has read.

        Parameters
        ----------
        digest : int
            Of the state with all that was read.
        offset : int
            End of what was read.
        as_of_s : float
            Monotonic time at which nothing newer existed.
        """
        if self._as_of_s is None:
            self._steady_since_s = as_of_s
        self._digest, self._offset = digest, offset
        self._as_of_s = as_of_s
        self._is_behind = False
        self.has_news = True

    def note_back(self, now_s: float, outage_s: float) -> None:
        """Record that the store answers again after an outage."""
        self._back_s = self._steady_since_s = now_s
        self._outage_s = outage_s

    def hear(self, report: FeedReport, now_s: float) -> bool:
        """Take in what a peer knows.

        Parameters
        ----------
        report : FeedReport
            Of the peer.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether the peer knows something newer, which is to be read at once.
        """
        self._hear_of_outage(report, now_s)
        if self._as_of_s is None or report.offset < self._offset:
            return False
        if report.digest == self._digest:
            as_of_s = now_s - max(0.0, report.age_s) - REPORT_DELAY_S
            self._as_of_s = max(self._as_of_s, as_of_s)
            self._offset = report.offset
            return False
        if report.offset == self._offset:
            return False
        self._is_behind = True
        return True

    def _hear_of_outage(self, report: FeedReport, now_s: float) -> None:
        """Learn whether the store was away, or only one of two gateways cut off."""
        peer_since_s = now_s - report.steady_s
        if self._back_s is not None and peer_since_s < self._back_s - self._outage_s:
            self._back_s = None
        if report.outage_s < MIN_OUTAGE_S:
            return
        if self._as_of_s is None or self._as_of_s > peer_since_s - report.outage_s:
            return
        if self._back_s is None or peer_since_s > self._back_s:
            self._back_s = self._steady_since_s = peer_since_s
            self._outage_s = report.outage_s

    def report(self, now_s: float) -> FeedReport | None:
        """Return what peers are told, or None before the first read."""
        if self._as_of_s is None:
            return None
        return FeedReport(
            self._digest,
            self._offset,
            round(now_s - self._as_of_s, 2),
            round(now_s - self._steady_since_s, 2),
            round(self._outage_s, 2),
        )
