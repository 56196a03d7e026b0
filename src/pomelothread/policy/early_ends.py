"""Decides which streams without framing may have been broken off by a living process.

Such a stream that ends between two events looks like a whole one. Where another
upstream can be asked for what follows the last event, an empty answer proves the end.
That costs a second run, so it is asked for only

* the next streams of an upstream that was found to break off streams,
* the first streams of each software version, the short ones before others,
* a sample of the rest.

Without an answer, only a short stream of software that breaks off streams is not
believed: most of the others are whole.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

# Streams that have to be found whole, one after the other, after one that was broken
# off.
N_ASKED_AFTER_EARLY_END = 20
# Streams of one software version that have to be found whole, one after the other,
# before most of them are believed.
N_ASKED_BEFORE_TRUST = 20
# One of so many streams is asked for at an upstream that seems to end all of them well.
SAMPLE_INTERVAL = 25
# Streams of a route whose numbers of events are compared, and the share of them that
# counts as short.
N_LENGTHS = 20
SHORT_SHARE = 0.2


class Doubt(Enum):
    """Why the end of a stream without framing is not believed."""

    SUSPECTED = "it was broken off before, or it is short and others were broken off"
    WATCHED = "its upstream has broken off streams"
    SHORT = "few streams of its software were found whole, and it is shorter than most"
    UNTRIED = "few streams of its software were found whole"
    SAMPLED = "it is one of a sample"


# Share of the retry budget that has to be left for a question, so that requests that
# have failed find some of it.
MIN_BUDGET_SHARES = {
    Doubt.SUSPECTED: 0.0,
    Doubt.WATCHED: 0.25,
    Doubt.SHORT: 0.25,
    Doubt.UNTRIED: 0.5,
    Doubt.SAMPLED: 0.5,
}


class UsualLengths:
    """Numbers of events of the latest streams of a route.

    Examples
    --------
    >>> lengths = UsualLengths()
    >>> for _ in range(N_LENGTHS):
    ...     lengths.observe(12)
    >>> lengths.is_short(11), lengths.is_short(12)
    (True, False)
    """

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        self._latest: deque[int] = deque(maxlen=N_LENGTHS)

    def observe(self, n_events: int) -> None:
        """Record a stream that has ended, whether it was whole or not."""
        self._latest.append(n_events)

    def is_short(self, n_events: int) -> bool:
        """Return whether a stream is shorter than most; False if little is known."""
        if len(self._latest) < N_LENGTHS:
            return False
        return n_events < sorted(self._latest)[int(SHORT_SHARE * N_LENGTHS)]


@dataclass(slots=True)
class SoftwareEnds:
    """Streams without framing that all upstreams of one software version have ended.

    Parameters
    ----------
    n_whole_in_row : int
        Streams that were found whole since one was broken off.
    has_broken_off : bool
        Whether a stream was broken off, and too few were found whole since.
    """

    n_whole_in_row: int = 0
    has_broken_off: bool = False

    @property
    def is_trusted(self) -> bool:
        """Whether enough streams were found whole, one after the other."""
        return self.n_whole_in_row >= N_ASKED_BEFORE_TRUST

    def observe_early_end(self) -> None:
        """Record a stream that was broken off."""
        self.n_whole_in_row = 0
        self.has_broken_off = True

    def observe_whole(self) -> None:
        """Record a stream after whose last event nothing follows."""
        self.n_whole_in_row += 1
        if self.is_trusted:
            self.has_broken_off = False


@dataclass(slots=True)
class EarlyEnds:
    """Streams without framing that one upstream has broken off and lived on.

    Parameters
    ----------
    software : SoftwareEnds
        What is known of its software version, at whichever upstream.
    n_to_ask : int
        Streams that have to be found whole before the upstream is believed again.
    n_believed : int
        Streams that were believed or sampled since the upstream is known.

    Examples
    --------
    >>> ends = EarlyEnds(SoftwareEnds(n_whole_in_row=N_ASKED_BEFORE_TRUST))
    >>> ends.doubt() is None
    True
    >>> ends.observe_early_end()
    >>> ends.doubt().name, ends.doubt(is_short=True).name
    ('WATCHED', 'SUSPECTED')
    """

    software: SoftwareEnds = field(default_factory=SoftwareEnds)
    n_to_ask: int = 0
    n_believed: int = 0

    def doubt(
        self, has_early_end: bool = False, is_short: bool = False
    ) -> Doubt | None:
        """Return why to ask what follows a stream's end; None if it is believed.

        Parameters
        ----------
        has_early_end : bool
            Whether another upstream has broken off the same stream.
        is_short : bool
            Whether the stream is shorter than most of its route.
        """
        has_broken_off = self.n_to_ask > 0 or self.software.has_broken_off
        if has_early_end or (has_broken_off and is_short):
            return Doubt.SUSPECTED
        if self.n_to_ask > 0:
            return Doubt.WATCHED
        if not self.software.is_trusted:
            return Doubt.SHORT if is_short else Doubt.UNTRIED
        self.n_believed += 1
        return Doubt.SAMPLED if self.n_believed % SAMPLE_INTERVAL == 0 else None

    def observe_partial_event(self) -> None:
        """Record a stream that ended within an event, perhaps with its process."""
        self.n_to_ask = N_ASKED_AFTER_EARLY_END

    def observe_early_end(self) -> None:
        """Record a stream that was broken off by a process that lives."""
        self.n_to_ask = N_ASKED_AFTER_EARLY_END
        self.software.observe_early_end()

    def observe_whole(self) -> None:
        """Record a stream after whose last event nothing follows."""
        self.n_to_ask = max(0, self.n_to_ask - 1)
        self.software.observe_whole()
