"""Shares the reading of a feed of the platform's store between gateways.

Calls to the store are limited and billed, so their number must not grow with the
number of gateways. Each gateway reports to its peers which state of the feed it
has read, and how long ago this was known to be the newest state. A gateway that
is told in time that nothing has changed does not read the feed; one that is told
of a change reads it at once.

When the store returns from an older copy, its offsets go back. They are compared only
within one epoch of the store; a state of a later epoch is always the newer one.

There is no leader election. All gateways sort each other by hashed name, and the
later a gateway is in this order, the longer it waits before it reads. If the
gateways before it have ended, or cannot reach the store or this gateway, their
reports become old and it reads the feed itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .store_calls import MAX_EARLY_PAUSE_S, MAX_LATE_PAUSE_S

# Added to the age of a reported state, for the time that the report spends on the
# network and in the receive queue.
REPORT_DELAY_S = 0.05
# An outage that a peer reports is attributed to the store only if it lasted at
# least this long. No record expires in a shorter one, and every gateway that reaches
# the store has read the feed within this time.
MIN_OUTAGE_S = 3.0
# Number of gateways that retry soon after a failed call. The others wait longer and
# learn from the reports of these that the store answers again.
N_EARLY_RETRIES = 2


class FeedReport(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's report on the state of a feed that it has read.

    Parameters
    ----------
    digest : int
        Digest of the state; equal for equal states.
    offset : int
        End offset of the feed at which this was the newest state.
    age_s : float
        Seconds since this was last known to be the newest state.
    steady_s : float
        Seconds since the first answer of the store, or since the first one after
        the last outage.
    outage_s : float
        Duration of that outage; 0.0 if there was none.
    epoch : int
        Epoch of the store in which the offset is valid; 0 if the store has none.
    """

    digest: int
    offset: int
    age_s: float
    steady_s: float = 0.0
    outage_s: float = 0.0
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ReadingTimes:
    """Delays before a gateway reads a feed again, by its rank.

    Parameters
    ----------
    first_s : float
        For the gateway of rank 0: seconds after its state was last known to be the
        newest.
    second_s : float
        The same for rank 1, which takes over if the first one fails.
    others_s : float
        The same for all others.
    early_retry_s : float
        Pause after a failed read of one of the first `N_EARLY_RETRIES` gateways.
    late_retry_s : float
        Pause after a failed read of the others.
    """

    first_s: float
    second_s: float
    others_s: float
    early_retry_s: float = MAX_EARLY_PAUSE_S
    late_retry_s: float = MAX_LATE_PAUSE_S


def rank_among(own_key: tuple[int, str], others: Iterable[tuple[int, str]]) -> int:
    """Return how many gateways precede this one in the reading order.

    Parameters
    ----------
    own_key : tuple of (int, str)
        Hash of the name, and the name.
    others : iterable of (int, str)
        The same of the gateways from which reports arrive.

    Examples
    --------
    >>> rank_among((5, "b"), [(5, "a"), (9, "c")])
    1
    """
    return sum(key < own_key for key in others)


class FeedWatch:
    """Decides when this gateway reads one feed.

    Parameters
    ----------
    times : ReadingTimes
        Delays by rank.

    Examples
    --------
    >>> watch = FeedWatch(ReadingTimes(2.0, 2.5, 3.0))
    >>> watch.record_read(digest=7, offset=10, as_of_s=100.0)
    >>> watch.rank = 3
    >>> watch.due_at_s
    103.0
    >>> watch.observe_report(FeedReport(7, 12, age_s=0.2), now_s=102.0)
    False
    >>> round(watch.due_at_s, 2)
    104.75
    >>> watch.observe_report(FeedReport(8, 15, age_s=0.0), now_s=102.5)
    True
    """

    __slots__ = (
        "_as_of_s",
        "_digest",
        "_epoch",
        "_is_behind",
        "_offset",
        "_outage_s",
        "_outage_since_s",
        "_peers_answered_s",
        "_steady_since_s",
        "_store_recovered_at_s",
        "_times",
        "has_unsent_report",
        "rank",
    )

    def __init__(self, times: ReadingTimes) -> None:
        self._times = times
        self._digest = 0
        self._offset = -1
        self._epoch = 0
        self._as_of_s: float | None = None
        self._is_behind = False
        self._store_recovered_at_s: float | None = None
        self._outage_s = 0.0
        self._outage_since_s: float | None = None
        # Time at which the store answered a peer again, during an outage.
        self._peers_answered_s: float | None = None
        self._steady_since_s = 0.0
        self.rank = 0
        self.has_unsent_report = False

    @property
    def as_of_s(self) -> float | None:
        """Monotonic time of the state that is known; None before the first read."""
        return self._as_of_s

    @property
    def due_at_s(self) -> float:
        """Monotonic time at which this process has to read the feed."""
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
    def store_recovered_at_s(self) -> float | None:
        """Monotonic time at which the store answered again after an outage.

        None if there was no outage, or if a peer has read the store during it. In
        that case only this process was cut off, and upstreams that are missing from
        the list were really removed.
        """
        return self._store_recovered_at_s

    def record_epoch(self) -> None:
        """Record that the store has returned from a copy, so the state is outdated."""
        self._is_behind = self._as_of_s is not None

    def record_read(
        self, digest: int, offset: int, as_of_s: float, epoch: int = 0
    ) -> None:
        """Record a successful read.

        Parameters
        ----------
        digest : int
            Digest of the resulting state.
        offset : int
            End offset of what was read.
        as_of_s : float
            Monotonic time at which this was the newest state.
        epoch : int
            Epoch of the store in which the offset is valid.
        """
        if self._as_of_s is None:
            self._steady_since_s = as_of_s
        self._digest, self._offset, self._epoch = digest, offset, epoch
        self._as_of_s = as_of_s
        self._is_behind = False
        self.has_unsent_report = True

    def record_outage(self, now_s: float) -> None:
        """Record that the store has stopped answering."""
        self._outage_since_s = now_s
        self._peers_answered_s = None

    def record_recovery(self, now_s: float, outage_s: float) -> None:
        """Record that the store answers again after an outage.

        It has recovered when it answered the first peer again. Reports of peers may
        have postponed the own read until long after that.
        """
        recovered_s = now_s
        if self._peers_answered_s is not None:
            recovered_s = min(now_s, self._peers_answered_s)
        self._store_recovered_at_s = self._steady_since_s = recovered_s
        self._outage_s = outage_s - (now_s - recovered_s)
        self._outage_since_s = None

    def observe_report(self, report: FeedReport, now_s: float) -> bool:
        """Evaluate the report of a peer.

        Parameters
        ----------
        report : FeedReport
            Report of the peer.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether the peer has a newer state, so that the feed must be read at
            once.
        """
        self._infer_outage(report, now_s)
        position = (report.epoch, report.offset)
        if self._as_of_s is None or position < (self._epoch, self._offset):
            return False
        if report.epoch > self._epoch:
            self._is_behind = True
            return True
        if report.digest == self._digest:
            as_of_s = now_s - max(0.0, report.age_s) - REPORT_DELAY_S
            self._as_of_s = max(self._as_of_s, as_of_s)
            self._offset = report.offset
            return False
        if report.offset == self._offset:
            return False
        self._is_behind = True
        return True

    def _infer_outage(self, report: FeedReport, now_s: float) -> None:
        """Infer whether the store had an outage or only one gateway was cut off."""
        peer_since_s = now_s - report.steady_s
        if self._outage_since_s is not None and peer_since_s > self._outage_since_s:
            answered_s = self._peers_answered_s
            self._peers_answered_s = min(peer_since_s, answered_s or peer_since_s)
        if (
            self._store_recovered_at_s is not None
            and peer_since_s < self._store_recovered_at_s - self._outage_s
        ):
            self._store_recovered_at_s = None
        if report.outage_s < MIN_OUTAGE_S:
            return
        if self._as_of_s is None or self._as_of_s > peer_since_s - report.outage_s:
            return
        if (
            self._store_recovered_at_s is None
            or peer_since_s > self._store_recovered_at_s
        ):
            self._store_recovered_at_s = self._steady_since_s = peer_since_s
            self._outage_s = report.outage_s

    def report(self, now_s: float) -> FeedReport | None:
        """Return the report for peers, or None before the first read."""
        if self._as_of_s is None:
            return None
        return FeedReport(
            self._digest,
            self._offset,
            round(now_s - self._as_of_s, 2),
            round(now_s - self._steady_since_s, 2),
            round(self._outage_s, 2),
            self._epoch,
        )
