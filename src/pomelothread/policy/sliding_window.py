"""A sliding window that knows when what it holds was charged."""

import bisect
import math

# Resolution of the window in seconds.
SLOT_S = 0.25


class SlidingWindow:
    """Units in a sliding window, with a resolution of `SLOT_S`.

    Parameters
    ----------
    length_s : float
        Length of the window in seconds.

    Examples
    --------
    >>> window = SlidingWindow(8.0)
    >>> window.add(30.0, now_s=1.0)
    >>> window.add(5.0, now_s=2.0)
    >>> window.remove(charged_s=1.0, units=10.0)
    >>> window.total
    25.0
    >>> window.expire(now_s=10.0)
    >>> window.total
    5.0
    """

    __slots__ = ("_length_s", "_slots", "total")

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._slots: list[tuple[float, float]] = []
        self.total = 0.0

    def add(self, units: float, now_s: float) -> None:
        """Charge units now."""
        if self._slots and now_s - self._slots[-1][0] < SLOT_S:
            start_s, before = self._slots[-1]
            self._slots[-1] = (start_s, before + units)
        else:
            self._slots.append((now_s, units))
        self.total += units

    def add_past(self, units: float, admitted_s: float) -> None:
        """Charge units at an earlier time."""
        bisect.insort(self._slots, (admitted_s, units))
        self.total += units

    def charged_in_slot(self, charged_s: float) -> float:
        """Return the units in the slot of a charge; 0.0 if it has expired."""
        position = bisect.bisect_right(self._slots, (charged_s, math.inf)) - 1
        if position < 0 or charged_s - self._slots[position][0] >= SLOT_S:
            return 0.0
        return self._slots[position][1]

    def remove(self, charged_s: float, units: float) -> None:
        """Remove units that were charged at some time and are not used.

        They are taken from the slot of the charge and, if it lacks them, from the ones
        before, which expire sooner. Units that have expired are not removed again.
        """
        position = bisect.bisect_right(self._slots, (charged_s, math.inf)) - 1
        while position >= 0 and units > 0.0:
            start_s, charged = self._slots[position]
            removed = min(units, max(0.0, charged))
            self._slots[position] = (start_s, charged - removed)
            self.total -= removed
            units -= removed
            position -= 1

    def expire(self, now_s: float) -> None:
        """Drop what has left the window."""
        n_expired = 0
        for start_s, units in self._slots:
            if now_s - start_s <= self._length_s + SLOT_S:
                break
            self.total -= units
            n_expired += 1
        del self._slots[:n_expired]

    def by_age(self, now_s: float) -> list[tuple[float, float]]:
        """Return the age in seconds and the units of each slot."""
        return [(round(now_s - start_s, 2), units) for start_s, units in self._slots]

    def seconds_until(self, excess: float, now_s: float) -> float:
        """Return the seconds until at least `excess` units have expired."""
        for start_s, units in self._slots:
            excess -= units
            if excess <= 0:
                return max(0.0, start_s + self._length_s + SLOT_S - now_s)
        return self._length_s
