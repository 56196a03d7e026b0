"""Tracks upstreams that have announced that they are leaving.

An upstream announces this in its responses, often before the platform's list shows
it. An announcement holds for one start of the upstream, whatever the list says
afterwards. It does not apply to a later start under the same name.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

# Maximum number of remembered starts; older ones ended long ago.
MAX_REMEMBERED_STARTS = 4_000


@dataclass(frozen=True, slots=True)
class UpstreamStart:
    """One start of an upstream.

    Parameters
    ----------
    upstream_id : str
        Name of the upstream, which a later start may reuse.
    started_ms : int
        Unix time of the start in milliseconds.
    """

    upstream_id: str
    started_ms: int


class DepartureTracker:
    """Starts of upstreams that are known to be leaving.

    Examples
    --------
    >>> tracker = DepartureTracker()
    >>> tracker.record(UpstreamStart("engine-1", 1000))
    True
    >>> [UpstreamStart("engine-1", start) in tracker for start in (1000, 2000)]
    [True, False]
    """

    __slots__ = ("_known", "_unannounced")

    def __init__(self) -> None:
        self._known: OrderedDict[UpstreamStart, None] = OrderedDict()
        self._unannounced: list[UpstreamStart] = []

    def __contains__(self, start: UpstreamStart) -> bool:
        """Return whether this start is known to be leaving."""
        return start in self._known

    def record(self, start: UpstreamStart) -> bool:
        """Record that a start is leaving; return whether that is new."""
        if start in self._known:
            return False
        self._known[start] = None
        self._unannounced.append(start)
        if len(self._known) > MAX_REMEMBERED_STARTS:
            self._known.popitem(last=False)
        return True

    def merge_reported(self, starts: Iterable[UpstreamStart]) -> list[UpstreamStart]:
        """Record departures that a peer has reported, and return the new ones."""
        # The peer reports them to all of its peers itself; nothing is passed on.
        unknown = [start for start in starts if self.record(start)]
        self._unannounced = [
            start for start in self._unannounced if start not in unknown
        ]
        return unknown

    def take_unreported(self, n_most: int) -> list[UpstreamStart]:
        """Remove and return departures that were not yet reported to peers."""
        taken, self._unannounced = (
            self._unannounced[:n_most],
            self._unannounced[n_most:],
        )
        return taken
