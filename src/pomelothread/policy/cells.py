"""Partition of gateways and upstreams into cells.

Each gateway reports its load to all gateways that may use the same upstreams, so
its message traffic would grow with the size of the fleet. A large fleet is
therefore divided into cells. The gateways of a cell use the same subset of the
upstreams of each service and report their load only to each other.

A gateway's cell is derived from the hash of its name, so cells need no assignment.
The number of cells is a power of two: when the fleet grows, each cell is split and
no gateways of different cells are mixed. Hashing produces cells of different
sizes. Each cell gets upstreams in proportion to its gateways, as a contiguous range
in the order of hashed names, so a gateway or an upstream that is added or removed
only moves upstreams at the range boundaries.
"""

import functools
import hashlib
import math
from collections.abc import Sequence

# Maximum number of gateways in a fleet that is not divided, in which all of them
# exchange load reports.
MAX_UNDIVIDED_GATEWAYS = 48
# Mean number of gateways in a cell. Smaller cells have fewer upstreams to choose
# from, larger ones exchange more messages.
TARGET_CELL_SIZE = 24
# Minimum number of upstreams of a service in a cell, if the service has as many.
# A cell needs several, because one in three may be several times slower.
MIN_UPSTREAMS = 8


@functools.lru_cache(maxsize=8_192)
def name_hash(name: str) -> int:
    """Return a 32-bit hash of a name that is the same in all processes."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest())


def n_cells_for(n_gateways: float) -> int:
    """Return the number of cells for a fleet of this size.

    Examples
    --------
    >>> [n_cells_for(n) for n in (5, 48, 49, 100, 300, 410)]
    [1, 1, 2, 4, 16, 16]
    """
    if n_gateways <= MAX_UNDIVIDED_GATEWAYS:
        return 1
    return int(2 ** round(math.log2(n_gateways / TARGET_CELL_SIZE)))


def n_parts_for(n_upstreams: int, n_cells: int) -> int:
    """Return the number of parts into which a service's upstreams are divided.

    Parameters
    ----------
    n_upstreams : int
        Upstreams of the service.
    n_cells : int
        Number of cells of the fleet, a power of two.

    Returns
    -------
    int
        A power of two. If it is less than `n_cells`, several cells share a part.

    Examples
    --------
    >>> n_parts_for(100, 16), n_parts_for(20, 16), n_parts_for(3, 16)
    (8, 2, 1)
    """
    n_parts = 1
    while n_parts < n_cells and n_upstreams >= 2 * n_parts * MIN_UPSTREAMS:
        n_parts *= 2
    return n_parts


def upstreams_of_cell(
    names: Sequence[str], cell: int, cell_sizes: Sequence[int]
) -> tuple[frozenset[str], int]:
    """Return the upstreams of a service that a cell uses.

    Parameters
    ----------
    names : sequence of str
        All upstreams of the service, in any order.
    cell : int
        Number of a cell that has at least one gateway.
    cell_sizes : sequence of int
        Number of gateways in each cell; the length is a power of two.

    Returns
    -------
    tuple of (frozenset of str, int)
        Names of the upstreams, at least one if the service has any, and the
        number of cells that share them.

    Examples
    --------
    >>> names = [f"engine-{n}" for n in range(40)]
    >>> [len(upstreams_of_cell(names, cell, (30, 10))[0]) for cell in (0, 1)]
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
