"""An index of the prefix blocks in an engine's cache, built from its cache events.

Events follow vLLM's format: a ZeroMQ message of topic, sequence number (8 bytes,
big endian) and a msgpack array of timestamp, events and rank.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import zmq
import zmq.asyncio

from ..undecodable import UNDECODABLE

# At 16 tokens a block this covers a million tokens; an entry of the index takes
# about 100 bytes.
MAX_BLOCKS = 65_536

TOPIC = "kv-events"
SEQUENCE_BYTES = 8


class BlockStored(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Blocks that entered the cache."""

    block_hashes: list[int | bytes]
    parent_block_hash: int | bytes | None = None
    token_ids: list[int] = []
    block_size: int = 0


class BlockRemoved(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Blocks that left the cache."""

    block_hashes: list[int | bytes]


class AllBlocksCleared(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """All blocks were removed from the cache."""


CacheEvent = BlockStored | BlockRemoved | AllBlocksCleared


class EventBatch(msgspec.Struct, array_like=True, frozen=True):
    """The events of one engine step; `ts` is in seconds since the epoch."""

    ts: float
    events: list[CacheEvent]


_decoder = msgspec.msgpack.Decoder(EventBatch)


@dataclass(slots=True)
class CacheIndexCounts:
    """Counts of the messages received, and of the reasons to clear the index.

    Parameters
    ----------
    n_batches : int
        Batches applied.
    n_gaps : int
        Gaps in the sequence numbers.
    n_restarts : int
        Sequence numbers that went back, or connections that were lost.
    n_malformed : int
        Messages that could not be decoded.
    n_duplicates : int
        Batches that were received again, and skipped.
    """

    n_batches: int = 0
    n_gaps: int = 0
    n_restarts: int = 0
    n_malformed: int = 0
    n_duplicates: int = 0


@dataclass(slots=True)
class CacheIndex:
    """Hashes of the blocks that an engine is known to hold.

    An incomplete index is worse than an empty one: after a lost removal, requests
    would be routed to a prefix that the engine no longer holds. The index is
    therefore cleared on every gap and refilled from later events.

    Parameters
    ----------
    max_blocks : int
        Maximum size; the block that was stored first is dropped first.
    """

    max_blocks: int = MAX_BLOCKS
    counts: CacheIndexCounts = field(default_factory=CacheIndexCounts)
    _blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _last_sequence: int | None = None
    _last_payload: bytes = b""

    def __len__(self) -> int:
        return len(self._blocks)

    def n_cached(self, hashes: Iterable[int]) -> int:
        """Count the leading blocks of a prompt that are in the index.

        Parameters
        ----------
        hashes : iterable of int
            Chained block hashes of a prompt, shortest prefix first.

        Returns
        -------
        int
            Number of leading blocks in the index.
        """
        n_blocks = 0
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            n_blocks += 1
        return n_blocks

    def apply_message(self, parts: list[bytes]) -> None:
        """Apply one message as received.

        Parameters
        ----------
        parts : list of bytes
            Topic, sequence number and payload.
        """
        if len(parts) != 3 or len(parts[1]) != SEQUENCE_BYTES:
            self._clear_after_malformed()
            return
        sequence = int.from_bytes(parts[1], "big")
        payload = parts[2]
        if sequence == self._last_sequence and payload == self._last_payload:
            self.counts.n_duplicates += 1
            return
        self._check_sequence(sequence)
        self._last_sequence = sequence
        self._last_payload = payload
        try:
            batch = _decoder.decode(payload)
        except UNDECODABLE:
            self._clear_after_malformed()
            return
        self.counts.n_batches += 1
        for event in batch.events:
            self._apply_event(event)

    def clear_after_disconnect(self) -> None:
        """Clear the index, since events may be missed until the reconnection."""
        self.counts.n_restarts += 1
        self._blocks.clear()
        self._last_sequence = None

    def _check_sequence(self, sequence: int) -> None:
        last = self._last_sequence
        if last is None or sequence == last + 1:
            return
        if sequence > last:
            self.counts.n_gaps += 1
        else:
            # After a restart an engine numbers from 0, and its cache is empty.
            self.counts.n_restarts += 1
        self._blocks.clear()

    def _clear_after_malformed(self) -> None:
        self.counts.n_malformed += 1
        self._blocks.clear()

    def _apply_event(self, event: CacheEvent) -> None:
        match event:
            case BlockStored(block_hashes=hashes):
                self._blocks.update(
                    (_hash_to_int(block_hash), None) for block_hash in hashes
                )
                while len(self._blocks) > self.max_blocks:
                    self._blocks.popitem(last=False)
            case BlockRemoved(block_hashes=hashes):
                for block_hash in hashes:
                    self._blocks.pop(_hash_to_int(block_hash), None)
            case AllBlocksCleared():
                self._blocks.clear()


def _hash_to_int(block_hash: int | bytes) -> int:
    """Return a block hash as an integer; newer engines send digests as bytes."""
    if isinstance(block_hash, int):
        return block_hash
    return int.from_bytes(block_hash[-8:], "big")


async def follow_cache_events(address: str, index: CacheIndex) -> None:
    """Apply an engine's cache events until the task is cancelled.

    Parameters
    ----------
    address : str
        ZeroMQ address, such as ``tcp://10.0.0.7:5557``. The socket reconnects
        by itself when the engine restarts.
    index : CacheIndex
        Index to which the events are applied.
    """
    context = zmq.asyncio.Context.instance()
    socket = context.socket(zmq.SUB)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt_string(zmq.SUBSCRIBE, TOPIC)
    monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
    monitor_task = asyncio.create_task(_watch_connection(monitor, index))
    try:
        socket.connect(address)
        while True:
            index.apply_message(await socket.recv_multipart())
    finally:
        monitor_task.cancel()
        socket.disable_monitor()
        socket.close()


async def _watch_connection(monitor: zmq.asyncio.Socket, index: CacheIndex) -> None:
    while True:
        await monitor.recv_multipart()
        index.clear_after_disconnect()
