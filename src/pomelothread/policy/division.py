"""Adjusts the division of the fleet into cells as gateways join and leave.

A gateway that has just started knows few others, and one that is cut off from the
network counts only itself. If either changed the division at once by the gateways
that it hears, it would use upstreams of other cells. A smaller division is
therefore used only after a delay, and a new process adopts that of its peers.
"""

from collections.abc import Collection, Sequence

from .cells import n_cells_for, name_hash

# Cells are merged only after the fleet has been smaller for this long, because
# gateways notice changes at different moments and may all restart together.
MERGE_AFTER_S = 10.0
# Hysteresis: cells are merged only if a fleet larger by this factor would have
# fewer cells too. Otherwise a fleet whose size varies around a boundary would switch
# back and forth.
MERGE_MARGIN = 1.2
# A count below this share of the known fleet is first treated as a network cut, and
# used only after `MERGE_AFTER_S`.
MIN_COUNTED_SHARE = 0.6
# Seconds after its start in which a process adopts a larger fleet that its peers
# report.
STARTUP_PERIOD_S = 5.0
# Bounds on the number of cells, and of gateways in each, that a peer may report;
# the largest fleet has 16 cells.
MAX_CELLS = 64
MAX_CELL_SIZE = 4_096


class Division:
    """Current number of cells and of gateways in each.

    Parameters
    ----------
    started_s : float
        Monotonic time of the start of this process.

    Examples
    --------
    >>> division = Division(started_s=0.0)
    >>> division.adopt_reported((17, 16, 18, 17), now_s=0.1)
    True
    >>> division.update(["10.0.0.1"], now_s=0.2), division.n_cells
    (False, 4)
    """

    __slots__ = ("_smaller_since_s", "_started_s", "sizes")

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._smaller_since_s: float | None = None
        self.sizes: tuple[int, ...] = (1,)

    @property
    def n_cells(self) -> int:
        """Number of cells, a power of two."""
        return len(self.sizes)

    def cell_of(self, name: str) -> int:
        """Return the cell of a gateway."""
        return name_hash(name) % self.n_cells

    def update(self, names: Collection[str], now_s: float) -> bool:
        """Update the division from the gateways that are alive.

        Parameters
        ----------
        names : collection of str
            Gateways that this process or a peer has heard recently, including this
            one.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether the division has changed.
        """
        n_known = sum(self.sizes)
        if now_s - self._started_s < STARTUP_PERIOD_S and len(names) < n_known:
            return False
        n_cells = n_cells_for(len(names))
        if n_cells < self.n_cells:
            n_cells = min(self.n_cells, n_cells_for(len(names) * MERGE_MARGIN))
        if n_cells >= self.n_cells and len(names) >= MIN_COUNTED_SHARE * n_known:
            self._smaller_since_s = None
        elif self._smaller_since_s is None:
            self._smaller_since_s = now_s
            return False
        elif now_s - self._smaller_since_s < MERGE_AFTER_S:
            return False
        self._smaller_since_s = None
        return self._set(_count_by_cell(names, n_cells))

    def adopt_reported(self, sizes: Sequence[int], now_s: float) -> bool:
        """Adopt a peer's division of a larger fleet, shortly after the start.

        Parameters
        ----------
        sizes : sequence of int
            Number of gateways in each cell.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether the division has changed.
        """
        is_starting = now_s - self._started_s < STARTUP_PERIOD_S
        if not is_starting or sum(sizes) <= sum(self.sizes):
            return False
        is_power_of_two = len(sizes) & (len(sizes) - 1) == 0
        if not is_power_of_two or len(sizes) > MAX_CELLS:
            return False
        if not all(0 <= size <= MAX_CELL_SIZE for size in sizes):
            return False
        return self._set(tuple(sizes))

    def _set(self, sizes: tuple[int, ...]) -> bool:
        has_changed = sizes != self.sizes
        self.sizes = sizes
        return has_changed


def _count_by_cell(names: Collection[str], n_cells: int) -> tuple[int, ...]:
    sizes = [0] * n_cells
    for name in names:
        sizes[name_hash(name) % n_cells] += 1
    return tuple(sizes)
