"""Which starts of upstreams have said that they leave.

An upstream says so in its responses, often before the platform's list shows it.
What has been seen once holds for that start of the upstream, whatever the list
says afterwards; a new start under the same name owes nothing.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

# Starts that are remembered; older ones have ended long before.
MAX_KNOWN = 4_000


@dataclass(frozen=True, slots=True)
class UpstreamStart:
    """One start of an upstream.

    Parameters
    ----------
    upstream_id : str
        Name of the upstream, which may be used again.
    started_ms : int
        Unix time of the start in milliseconds.
    """

    upstream_id: str
    started_ms: int


class DepartureBook:
    """Starts of upstreams that are known to leave.

    Examples
    --------
    >>> book = DepartureBook()
    >>> book.note(UpstreamStart("engine-1", 1000))
    True
    >>> UpstreamStart("engine-1", 1000) in book, UpstreamStart("engine-1", 2000) in book
    (True, False)
    """

    __slots__ = ("_known", "_untold")

    def __init__(self) -> None:
        self._known: OrderedDict[UpstreamStart, None] = OrderedDict()
        self._untold: list[UpstreamStart] = []

    def __contains__(self, start: UpstreamStart) -> bool:
        """Tell whether this start is known to leave."""
        return start in self._known

    def note(self, start: UpstreamStart) -> bool:
        """Record that a start leaves; return whether that was unknown."""
        if start in self._known:
            return False
        self._known[start] = None
        self._untold.append(start)
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        return True

    def hear(self, starts: Iterable[UpstreamStart]) -> list[UpstreamStart]:
        """Take in what a peer tells, and return what was unknown."""
        # What one peer tells all of its peers is not passed on by each of them.
        unknown = [start for start in starts if self.note(start)]
        self._untold = [start for start in self._untold if start not in unknown]
        return unknown

    def take_untold(self, n_most: int) -> list[UpstreamStart]:
        """Return departures that peers have not been told of."""
        told, self._untold = self._untold[:n_most], self._untold[n_most:]
        return told
