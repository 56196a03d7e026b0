"""Bounds what all responses together may hold in memory while they are read."""

# Part of each response that does not count, so that small responses are never refused.
FREE_BYTES = 64 * 1024
# Maximum of what counts, beside the buffers of the connections.
MAX_TOTAL_BYTES = 32 * 1024 * 1024


class BufferBudget:
    """Bytes that responses hold, beyond `FREE_BYTES` of each.

    Parameters
    ----------
    max_total_bytes : int
        Maximum for all responses together.

    Examples
    --------
    >>> budget = BufferBudget(max_total_bytes=100_000)
    >>> budget.try_resize(0, FREE_BYTES + 60_000)
    True
    >>> budget.try_resize(0, FREE_BYTES + 60_000), budget.try_resize(0, 1_000)
    (False, True)
    >>> budget.release(FREE_BYTES + 60_000)
    >>> budget.n_bytes
    0
    """

    __slots__ = ("_max_total_bytes", "n_bytes")

    def __init__(self, max_total_bytes: int = MAX_TOTAL_BYTES) -> None:
        self._max_total_bytes = max_total_bytes
        self.n_bytes = 0

    def try_resize(self, held_bytes: int, wanted_bytes: int) -> bool:
        """Change what one response holds, unless it would become too much.

        Parameters
        ----------
        held_bytes, wanted_bytes : int
            What the response holds until now, and from now on.
        """
        change = _counted(wanted_bytes) - _counted(held_bytes)
        if change > 0 and self.n_bytes + change > self._max_total_bytes:
            return False
        self.n_bytes += change
        return True

    def release(self, held_bytes: int) -> None:
        """Give back what a response holds."""
        self.n_bytes -= _counted(held_bytes)


def _counted(n_bytes: int) -> int:
    return max(0, n_bytes - FREE_BYTES)
