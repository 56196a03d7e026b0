"""Tells which records of upstreams are older than what is known of them.

A store that has returned from an older copy lists upstreams as they were when the copy
was made: some have ended since, and some that were ready are leaving. They stay as
they were known until they write again.
"""

from collections import OrderedDict
from dataclasses import dataclass

from .departures import UpstreamStart

# Maximum number of remembered upstreams that have ended; a copy of the store is some
# seconds old.
MAX_ENDED = 4_000


@dataclass(frozen=True, slots=True)
class ListingPosition:
    """How far the reports of one start of an upstream are known.

    Parameters
    ----------
    started_ms : int
        Unix time of the start in milliseconds.
    n_reports : int
        Number of reports that it had written.
    """

    started_ms: int
    n_reports: int


class ListingHistory:
    """The newest known report of each upstream, and those that have ended.

    Examples
    --------
    >>> history = ListingHistory()
    >>> history.record(UpstreamStart("engine-1", 1000), 7)
    >>> history.is_outdated(UpstreamStart("engine-1", 1000), 5)
    True
    >>> history.record_end("engine-1")
    >>> [history.is_outdated(UpstreamStart("engine-1", 1000), n) for n in (7, 8)]
    [True, False]
    """

    __slots__ = ("_ended", "_newest")

    def __init__(self) -> None:
        self._newest: dict[str, ListingPosition] = {}
        self._ended: OrderedDict[str, ListingPosition] = OrderedDict()

    def record(self, start: UpstreamStart, n_reports: int) -> None:
        """Record a report that is in use."""
        self._ended.pop(start.upstream_id, None)
        position = ListingPosition(start.started_ms, n_reports)
        self._newest[start.upstream_id] = position

    def record_end(self, upstream_id: str) -> None:
        """Record that an upstream is no longer listed."""
        position = self._newest.pop(upstream_id, None)
        if position is None:
            return
        self._ended[upstream_id] = position
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def is_outdated(self, start: UpstreamStart, n_reports: int) -> bool:
        """Return whether a record of a copy is older than what is known.

        Parameters
        ----------
        start : UpstreamStart
            Start of the upstream that wrote it.
        n_reports : int
            Number of reports that this start had written.
        """
        found = ListingPosition(start.started_ms, n_reports)
        newest = self._newest.get(start.upstream_id)
        if newest is not None:
            return _key(found) < _key(newest)
        ended = self._ended.get(start.upstream_id)
        return ended is not None and _key(found) <= _key(ended)


def _key(position: ListingPosition) -> tuple[int, int]:
    return position.started_ms, position.n_reports
