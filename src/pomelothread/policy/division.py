"""Into which cells a fleet is divided, as its gateways come and go.

Answers starts, losses and cuts: a gateway that has just started knows few others,
and one that is cut off seems to be alone. Both would take upstreams of other cells
if they went by what they hear.
"""

from collections.abc import Collection, Sequence

from .cells import n_cells_for, name_hash

# A smaller division is used only if the fleet has been smaller for this long:
# gateways do not count each other at the same moment, and restart together.
MERGE_AFTER_S = 10.0
# Cells are merged only if a fleet larger by this would have fewer cells, too, so
# that a fleet at the boundary does not go back and forth as gateways come and go.
MERGE_MARGIN = 1.2
# Part of the known fleet below which a count is taken for a cut at first.
MIN_COUNTED_SHARE = 0.6
# A process that is younger goes by a larger fleet that others tell of.
NEWCOMER_S = 5.0
# Cells that a peer may tell of, and gateways of one; the largest fleet has 16 cells.
MAX_CELLS = 64
MAX_CELL_SIZE = 4_096


class Division:
    """How many gateways each cell has.

    Parameters
    ----------
    started_s : float
        Monotonic time of the start of this process.

    Examples
    --------
    >>> division = Division(started_s=0.0)
    >>> division.hear((17, 16, 18, 17), now_s=0.1)
    True
    >>> division.count(["10.0.0.1"], now_s=0.2), division.n_cells
    (False, 4)
    """

    __slots__ = ("_small_since_s", "_started_s", "sizes")

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._small_since_s: float | None = None
        self.sizes: tuple[int, ...] = (1,)

    @property
    def n_cells(self) -> int:
        """Number of cells, a power of two."""
        return len(self.sizes)

    def cell_of(self, name: str) -> int:
        """Return the cell of a gateway."""
        return name_hash(name) % self.n_cells

    def count(self, names: Collection[str], now_s: float) -> bool:
        """Go by the gateways that live, this one included.

        Parameters
        ----------
        names : collection of str
            Those that anybody has heard of late.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether the division has changed.
        """
        n_known = sum(self.sizes)
        if now_s - self._started_s < NEWCOMER_S and len(names) < n_known:
            return False
        n_cells = n_cells_for(len(names))
        if n_cells < self.n_cells:
            n_cells = min(self.n_cells, n_cells_for(len(names) * MERGE_MARGIN))
        if n_cells >= self.n_cells and len(names) >= MIN_COUNTED_SHARE * n_known:
            self._small_since_s = None
        elif self._small_since_s is None:
            self._small_since_s = now_s
            return False
        elif now_s - self._small_since_s < MERGE_AFTER_S:
            return False
        self._small_since_s = None
        return self._set(_sizes(names, n_cells))

    def hear(self, sizes: Sequence[int], now_s: float) -> bool:
        """Take over the division of a peer while this process is new.

        Parameters
        ----------
        sizes : sequence of int
            Gateways of each cell.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether the division has changed.
        """
        is_newcomer = now_s - self._started_s < NEWCOMER_S
        if not is_newcomer or sum(sizes) <= sum(self.sizes):
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


def _sizes(names: Collection[str], n_cells: int) -> tuple[int, ...]:
    sizes = [0] * n_cells
    for name in names:
        sizes[name_hash(name) % n_cells] += 1
    return tuple(sizes)
