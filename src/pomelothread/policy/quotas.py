"""Quotas of organisations over all instances.

Each instance keeps a bucket for the whole organisation and takes out of it what
it admits itself and what its peers say that they have admitted. A peer that is
silent is taken to use its equal share, so the sum over all instances stays
within the quota while they cannot hear each other.
"""

from dataclasses import dataclass, field

# A peer that has said nothing for this long is taken to use its share. Peers
# speak at least once a second.
SILENT_AFTER_S = 1.5
# Time after which a silent peer is taken for gone. Longer than cuts usually
# last; two sides that both use the whole rate are over the quota together.
GONE_AFTER_S = 30.0


@dataclass(slots=True)
class _Bucket:
    rate_per_s: float
    burst_units: float
    level: float
    updated_s: float
    own_used: float = 0.0
    peer_used: dict[str, float] = field(default_factory=dict)


class QuotaBook:
    """Buckets of all organisations that have a quota.

    Examples
    --------
    >>> book = QuotaBook()
    >>> book.set_quota("club", rate_per_s=10.0, burst_units=10.0, now_s=0.0)
    >>> book.try_take("club", 5.0, now_s=0.0)
    False
    >>> book.try_take("club", 5.0, now_s=1.0)
    True
    """

    __slots__ = ("_buckets", "_heard_s")

    def __init__(self) -> None:
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
            self._buckets[organisation] = _Bucket(rate_per_s, burst_units, 0.0, now_s)
            return
        self._refill(bucket, now_s)
        bucket.rate_per_s = rate_per_s
        bucket.burst_units = burst_units
        bucket.level = min(bucket.level, burst_units)

    def keep_only(self, organisations: set[str]) -> None:
        """Remove the buckets of organisations that are not in the set."""
        for organisation in set(self._buckets) - organisations:
            del self._buckets[organisation]

    def try_take(self, organisation: str, units: float, now_s: float) -> bool:
        """Admit a request if the quota allows it.

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
        bool
            True if it is admitted and counted, or has no quota.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return True
        self._refill(bucket, now_s)
        # A request may be larger than the burst; it then needs a full bucket.
        if bucket.level < min(units, bucket.burst_units):
            return False
        bucket.level -= units
        bucket.own_used += units
        return True

    def give_back(self, organisation: str, units: float) -> None:
        """Return the units of a request that was not sent to any upstream."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.level += units
            bucket.own_used -= units

    def seconds_until(self, organisation: str, units: float) -> float:
        """Return after how many seconds a request could be admitted."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0.0
        missing = min(units, bucket.burst_units) - bucket.level
        return max(0.0, missing / bucket.rate_per_s)

    def used(self) -> dict[str, float]:
        """Return what this process has admitted of each organisation so far."""
        return {name: bucket.own_used for name, bucket in self._buckets.items()}

    def observe_peer(self, peer: str, used: dict[str, float], now_s: float) -> None:
        """Take in what an incarnation of another instance has admitted.

        Parameters
        ----------
        peer : str
            Incarnation of the instance; its sums start anew with a new one.
        used : dict of str to float
            Units that it has admitted since its start; organisations whose
            sum has not changed may be left out.
        now_s : float
            Monotonic time.
        """
        self._heard_s[peer] = now_s
        for organisation, total in used.items():
            bucket = self._buckets.get(organisation)
            if bucket is None:
                continue
            before = bucket.peer_used.get(peer)
            bucket.peer_used[peer] = total
            if before is not None:
                bucket.level -= total - before

    def forget_peer(self, peer: str) -> None:
        """Remove an incarnation that is known to have ended."""
        self._heard_s.pop(peer, None)
        for bucket in self._buckets.values():
            bucket.peer_used.pop(peer, None)

    def _refill(self, bucket: _Bucket, now_s: float) -> None:
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
