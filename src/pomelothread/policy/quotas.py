"""Quotas of organisations over all instances.

Each instance keeps a bucket for the whole organisation and takes out of it what
it admits itself and what its peers say that they have admitted. A peer that is
silent is taken to use its equal share, so the sum over all instances stays
within the quota while they cannot hear each other.

Operators measure a quota over a window, with a tolerance. A request that finds
the bucket empty but would keep the window within a part of that tolerance is
admitted behind all others, so it only uses what would be idle.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

# A peer that has said nothing for this long is taken to use its share. Peers
# speak at least once a second.
SILENT_AFTER_S = 1.5
# Time after which a silent peer is taken for gone. Longer than cuts usually
# last; two sides that both use the whole rate are over the quota together.
GONE_AFTER_S = 30.0
# Resolution of the sliding window.
SLOT_S = 0.25
# Parts of the tolerance that are used on purpose. The rest covers what gateways
# admit before they hear of each other.
OVER_SHARE = 0.5
SLACK_SHARE = 0.6


class Admission(Enum):
    """What a quota says of a request."""

    WITHIN = "within the quota"
    TOLERATED = "beyond the quota, within what is tolerated"
    REFUSED = "beyond what is tolerated"


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How operators measure quotas.

    Parameters
    ----------
    window_s : float
        Length of the sliding window.
    over_ratio : float
        Tolerated excess in relation to the quota of a window.
    slack_units : float
        Tolerated excess beyond that.
    """

    window_s: float
    over_ratio: float
    slack_units: float


class UsedUnits(NamedTuple):
    """Units that an instance has admitted since its start.

    Parameters
    ----------
    within : float
        Within the quota.
    tolerated : float
        Beyond it.
    """

    within: float
    tolerated: float


class _Window:
    """Units admitted in the last seconds, in slots of `SLOT_S`."""

    __slots__ = ("_length_s", "_slots", "total")

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._slots: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, units: float, now_s: float) -> None:
        if self._slots and now_s - self._slots[-1][0] < SLOT_S:
            start_s, before = self._slots[-1]
            self._slots[-1] = (start_s, before + units)
        else:
            self._slots.append((now_s, units))
        self.total += units

    def expire(self, now_s: float) -> None:
        while self._slots and now_s - self._slots[0][0] > self._length_s + SLOT_S:
            self.total -= self._slots.popleft()[1]


@dataclass(slots=True)
class _Bucket:
    rate_per_s: float
    burst_units: float
    level: float
    updated_s: float
    window: _Window
    own: UsedUnits = field(default_factory=lambda: UsedUnits(0.0, 0.0))
    peers: dict[str, UsedUnits] = field(default_factory=dict)


class QuotaBook:
    """Buckets of all organisations that have a quota.

    Parameters
    ----------
    tolerance : QuotaTolerance
        How operators measure quotas.
    started_s : float
        Monotonic time of the start of this process, which does not know what
        was admitted in the window before it.

    Examples
    --------
    >>> book = QuotaBook(QuotaTolerance(1.0, 0.0, 10.0), started_s=0.0)
    >>> book.set_quota("club", rate_per_s=10.0, burst_units=10.0, now_s=5.0)
    >>> [book.take("club", 15.0, now_s=5.0 + step).name for step in (0, 0, 2)]
    ['TOLERATED', 'REFUSED', 'WITHIN']
    """

    __slots__ = ("_buckets", "_heard_s", "_started_s", "_tolerance")

    def __init__(self, tolerance: QuotaTolerance, started_s: float) -> None:
        self._tolerance = tolerance
        self._started_s = started_s
        self._buckets: dict[str, _Bucket] = {}
        self._heard_s: dict[str, float] = {}

    def set_quota(
        self, organisation: str, rate_per_s: float, burst_units: float, now_s: float
    ) -> None:
        """Set the quota of an organisation; a rate of 0 removes it.

        A new bucket is empty: after a restart nobody knows what was used just
        before.
        """
        if rate_per_s <= 0:
            self._buckets.pop(organisation, None)
            return
        bucket = self._buckets.get(organisation)
        if bucket is None:
            self._buckets[organisation] = _Bucket(
                rate_per_s,
                burst_units,
                0.0,
                now_s,
                _Window(self._tolerance.window_s),
            )
            return
        self._refill(bucket, now_s)
        bucket.rate_per_s = rate_per_s
        bucket.burst_units = burst_units
        bucket.level = min(bucket.level, burst_units)

    def keep_only(self, organisations: set[str]) -> None:
        """Remove the buckets of organisations that are not in the set."""
        for organisation in set(self._buckets) - organisations:
            del self._buckets[organisation]

    def take(self, organisation: str, units: float, now_s: float) -> Admission:
        """Admit a request if the quota allows it, and count it.

        Parameters
        ----------
        organisation : str
            Who sent it.
        units : float
            What it counts.
        now_s : float
            Monotonic time.

        Returns
        -------
        Admission
            `WITHIN` also for an organisation without a quota.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return Admission.WITHIN
        own_share = self._refill(bucket, now_s)
        # A request may be larger than the burst; it then needs a full bucket.
        is_within = bucket.level >= min(units, bucket.burst_units)
        tolerance = self._tolerance
        knows_window = now_s - self._started_s > tolerance.window_s + SLOT_S
        if not is_within and not knows_window:
            return Admission.REFUSED
        quota_units = bucket.rate_per_s * tolerance.window_s + bucket.burst_units
        limit = (
            quota_units * (1.0 + OVER_SHARE * tolerance.over_ratio)
            + SLACK_SHARE * tolerance.slack_units
        ) * own_share
        bucket.window.expire(now_s)
        if bucket.window.total + units > limit:
            return Admission.REFUSED
        # Tolerated requests do not draw on the bucket, or those within the
        # quota would have to wait for them.
        if is_within:
            bucket.level -= units
            bucket.own = bucket.own._replace(within=bucket.own.within + units)
        else:
            bucket.own = bucket.own._replace(tolerated=bucket.own.tolerated + units)
        bucket.window.add(units, now_s)
        return Admission.WITHIN if is_within else Admission.TOLERATED

    def give_back(
        self, organisation: str, units: float, admission: Admission, now_s: float
    ) -> None:
        """Return the units of a request that was not sent to any upstream."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.window.add(-units, now_s)
        if admission is Admission.WITHIN:
            bucket.level += units
            bucket.own = bucket.own._replace(within=bucket.own.within - units)
        else:
            bucket.own = bucket.own._replace(tolerated=bucket.own.tolerated - units)

    def seconds_until(self, organisation: str, units: float) -> float:
        """Return after how many seconds a request could be admitted."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0.0
        missing = min(units, bucket.burst_units) - bucket.level
        return max(0.0, missing / bucket.rate_per_s)

    def used(self) -> dict[str, UsedUnits]:
        """Return what this process has admitted of each organisation so far."""
        return {name: bucket.own for name, bucket in self._buckets.items()}

    def observe_peer(self, peer: str, used: dict[str, UsedUnits], now_s: float) -> None:
        """Take in what an incarnation of another instance has admitted.

        Parameters
        ----------
        peer : str
            Incarnation of the instance; its sums start anew with a new one.
        used : dict of str to UsedUnits
            What it has admitted since its start; organisations whose sums have
            not changed may be left out.
        now_s : float
            Monotonic time.
        """
        self._heard_s[peer] = now_s
        for organisation, total in used.items():
            bucket = self._buckets.get(organisation)
            if bucket is None:
                continue
            before = bucket.peers.get(peer)
            bucket.peers[peer] = total
            if before is None:
                continue
            bucket.level -= total.within - before.within
            bucket.window.add(sum(total) - sum(before), now_s)

    def forget_peer(self, peer: str) -> None:
        """Remove an incarnation that is known to have ended."""
        self._heard_s.pop(peer, None)
        for bucket in self._buckets.values():
            bucket.peers.pop(peer, None)

    def _refill(self, bucket: _Bucket, now_s: float) -> float:
        """Add what has been earned; return the share that is this process's own."""
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        bucket.updated_s = now_s
        n_silent = 0
        for peer, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > GONE_AFTER_S:
                self.forget_peer(peer)
            elif now_s - heard_s > SILENT_AFTER_S:
                n_silent += 1
        own_share = 1.0 - n_silent / (len(self._heard_s) + 1)
        earned = bucket.rate_per_s * elapsed_s * own_share
        bucket.level = min(bucket.burst_units, bucket.level + earned)
        return own_share
