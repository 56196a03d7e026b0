"""Which prefix blocks an engine's cache holds, from its cache events.

Events follow vLLM's format: a ZeroMQ message of topic, sequence number (8 bytes,
big endian) and a msgpack array of time, events and rank.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import zmq
import zmq.asyncio

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
    """The cache is empty."""


CacheEvent = BlockStored | BlockRemoved | AllBlocksCleared


class EventBatch(msgspec.Struct, array_like=True, frozen=True):
    """The events of one engine step; `ts` is in seconds since the epoch."""

    ts: float
    events: list[CacheEvent]


_decoder = msgspec.msgpack.Decoder(EventBatch)


@dataclass(slots=True)
class CacheIndexCounts:
    """How often the index was dropped, and why.

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
        Batches that had been applied already.
    """

    n_batches: int = 0
    n_gaps: int = 0
    n_restarts: int = 0
    n_malformed: int = 0
    n_duplicates: int = 0


@dataclass(slots=True)
class CacheIndex:
    """Hashes of the blocks that an engine is known to hold.

    An index with a hole is worse than none: a lost removal would attract
    requests to a prefix that the engine no longer has. It is therefore dropped
    on every gap and fills again from later events.

    Parameters
    ----------
    max_blocks : int
        Bound of the size; the block that was stored first is forgotten first.
    """

    max_blocks: int = MAX_BLOCKS
    counts: CacheIndexCounts = field(default_factory=CacheIndexCounts)
    _blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _last_sequence: int | None = None
    _last_payload: bytes = b""

    def __len__(self) -> int:
        return len(self._blocks)

    def n_cached(self, hashes: Iterable[int]) -> int:
        """Count how many blocks of a prefix are held, from its start on.

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
        for block in hashes:
            if block not in self._blocks:
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
            self._drop_malformed()
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
        except msgspec.DecodeError:
            self._drop_malformed()
            return
        self.counts.n_batches += 1
        for event in batch.events:
            self._apply(event)

    def drop_after_disconnect(self) -> None:
        """Forget everything, since events may be missed until reconnection."""
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
            # Publishers number from 0 after a restart, with an empty cache.
            self.counts.n_restarts += 1
        self._blocks.clear()

    def _drop_malformed(self) -> None:
        self.counts.n_malformed += 1
        self._blocks.clear()

    def _apply(self, event: CacheEvent) -> None:
        match event:
            case BlockStored(block_hashes=hashes):
                self._blocks.update((_number(block), None) for block in hashes)
                while len(self._blocks) > self.max_blocks:
                    self._blocks.popitem(last=False)
            case BlockRemoved(block_hashes=hashes):
                for block in hashes:
                    self._blocks.pop(_number(block), None)
            case AllBlocksCleared():
                self._blocks.clear()


def _number(block: int | bytes) -> int:
    """Return a block hash as a number; newer engines send whole digests."""
    if isinstance(block, int):
        return block
    return int.from_bytes(block[-8:], "big")


async def follow_cache_events(address: str, index: CacheIndex) -> None:
    """Apply an engine's cache events until the task is cancelled.

    Parameters
    ----------
    address : str
        ZeroMQ address, such as ``tcp://10.0.0.7:5557``. The socket connects
        again by itself when the engine restarts.
    index : CacheIndex
        Receives the events.
    """
    context = zmq.asyncio.Context.instance()
    socket = context.socket(zmq.SUB)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt_string(zmq.SUBSCRIBE, TOPIC)
    monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
    watching = asyncio.create_task(_watch_connection(monitor, index))
    try:
        socket.connect(address)
        while True:
            index.apply_message(await socket.recv_multipart())
    finally:
        watching.cancel()
        socket.disable_monitor()
        socket.close()


async def _watch_connection(monitor: zmq.asyncio.Socket, index: CacheIndex) -> None:
    while True:
        await monitor.recv_multipart()
        index.drop_after_disconnect()
