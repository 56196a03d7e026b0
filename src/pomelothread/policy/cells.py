"""Which gateways tell each other everything, and which upstreams they use.

Answers the growth of the fleet: each change of load is told to all gateways that
may use the same upstreams, so what a gateway sends and hears would grow with
their number. A large fleet is divided into cells. The gateways of a cell share a
part of the upstreams of each service and tell only each other.

Cells are found by hashing names, so nobody has to assign them; their number is a
power of two, so that a growing fleet splits cells instead of mixing them. Chance
makes cells of unlike size. Each gets upstreams in proportion to its gateways, in
the order of their hashed names, so that a gateway or an upstream that comes or
goes moves only those at the borders.
"""

import functools
import hashlib
import math
from collections.abc import Sequence

# Gateways that all tell each other everything.
MAX_TOGETHER = 48
# Mean size of a cell. Smaller cells have fewer upstreams to choose from, larger
# ones have more to tell.
CELL_SIZE = 24
# Upstreams of a service that a cell has to choose from at least, if the service
# has as many; one in three may work several times more slowly than the rest.
MIN_UPSTREAMS = 8


@functools.lru_cache(maxsize=8_192)
def name_hash(name: str) -> int:
    """Return a number that is the same for a name on all machines."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest())


def n_cells_for(n_gateways: float) -> int:
    """Return into how many cells a fleet of this size is divided.

    Examples
    --------
    >>> [n_cells_for(n) for n in (5, 48, 49, 100, 300, 410)]
    [1, 1, 2, 4, 16, 16]
    """
    if n_gateways <= MAX_TOGETHER:
        return 1
    return int(2 ** round(math.log2(n_gateways / CELL_SIZE)))


def n_parts_for(n_upstreams: int, n_cells: int) -> int:
    """Return into how many parts the upstreams of a service are divided.

    Parameters
    ----------
    n_upstreams : int
        Upstreams of the service.
    n_cells : int
        Cells of the fleet, a power of two.

    Returns
    -------
    int
        A power of two; several cells share a part if it is less than `n_cells`.

    Examples
    --------
    >>> n_parts_for(100, 16), n_parts_for(20, 16), n_parts_for(3, 16)
    (8, 2, 1)
    """
    n_parts = 1
    while n_parts < n_cells and n_upstreams >= 2 * n_parts * MIN_UPSTREAMS:
        n_parts *= 2
    return n_parts


def part_of_cell(
    names: Sequence[str], cell: int, cell_sizes: Sequence[int]
) -> tuple[frozenset[str], int]:
    """Return the upstreams of a service that a cell uses.

    Parameters
    ----------
    names : sequence of str
        All upstreams of the service, in any order.
    cell : int
        The cell, which has a gateway.
    cell_sizes : sequence of int
        Gateways of each cell; their number is a power of two.

    Returns
    -------
    tuple of (frozenset of str, int)
        Names, at least one if there are any, and how many cells share them.

    Examples
    --------
    >>> names = [f"engine-{n}" for n in range(40)]
    >>> [len(part_of_cell(names, cell, (30, 10))[0]) for cell in (0, 1)]
    [30, 10]
    """
    n_cells = len(cell_sizes)
    n_parts = n_parts_for(len(names), n_cells)
    if n_parts == 1:
        return frozenset(names), n_cells
    # Cells whose numbers are equal modulo the number of parts share a part.
    sizes = [sum(cell_sizes[part::n_parts]) for part in range(n_parts)]
    part = cell % n_parts
    scale = len(names) / max(1, sum(sizes))
    first = round(scale * sum(sizes[:part]))
    end = round(scale * sum(sizes[: part + 1]))
    in_order = sorted(names, key=lambda name: (name_hash(name), name))
    chosen = in_order[first:end] or in_order[first : first + 1] or in_order[-1:]
    return frozenset(chosen), n_cells // n_parts
