"""Limits what one message may cost the event loop while its parts are read.

A sender may split a body into parts of one byte, or send without end. A reader that
always finds the next part in its buffer would never let other tasks run.
"""

import asyncio

# Bytes that the protocol library is given at once, and the size to which tiny parts of
# a body are joined.
READ_BYTES = 8 * 1024
# Parts and bytes that are read before other tasks run.
PARTS_PER_TURN = 32
BYTES_PER_TURN = 32 * 1024
# Parts that are tiny on average are accepted up to this number.
MAX_TINY_PARTS = 4_096
MIN_MEAN_PART_BYTES = 8


class ReadingCost:
    """What has been read of one message.

    Examples
    --------
    >>> cost = ReadingCost()
    >>> for _ in range(MAX_TINY_PARTS):
    ...     cost.add(1)
    >>> cost.is_fragmented
    False
    >>> cost.add(1)
    >>> cost.is_fragmented
    True
    """

    __slots__ = ("_bytes_in_turn", "_n_bytes", "_n_parts", "_parts_in_turn")

    def __init__(self) -> None:
        self._n_parts = self._n_bytes = 0
        self._parts_in_turn = self._bytes_in_turn = 0

    def add(self, n_bytes: int) -> None:
        """Count one part of the message."""
        self._n_parts += 1
        self._n_bytes += n_bytes
        self._parts_in_turn += 1

    def add_to_turn(self, n_bytes: int) -> None:
        """Count bytes that are about to be handled."""
        self._bytes_in_turn += n_bytes

    @property
    def is_fragmented(self) -> bool:
        """Whether the message has very many parts for its size."""
        return (
            self._n_parts > MAX_TINY_PARTS
            and self._n_bytes < self._n_parts * MIN_MEAN_PART_BYTES
        )

    async def yield_if_due(self) -> None:
        """Let other tasks run if much has been read since they last did."""
        is_due = (
            self._parts_in_turn >= PARTS_PER_TURN
            or self._bytes_in_turn >= BYTES_PER_TURN
        )
        if is_due:
            self._parts_in_turn = self._bytes_in_turn = 0
            await asyncio.sleep(0)
