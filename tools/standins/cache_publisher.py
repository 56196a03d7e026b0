"""Publishes cache events over ZeroMQ in vLLM's event batch format.

A message has three parts: topic, sequence number (8 bytes, big endian) and a
msgpack array ``[ts, events, data_parallel_rank]``.
"""

import asyncio
import time
from collections.abc import Sequence

import msgspec
import zmq

from .engine_model import CacheChange, Removed, Stored
from .serving import Faults
from .text import BLOCK_TOKENS


class BlockStored(msgspec.Struct, array_like=True, tag=True):
    """Blocks that entered the cache."""

    block_hashes: list[int]
    parent_block_hash: int | None
    token_ids: list[int]
    block_size: int
    lora_id: int | None = None


class BlockRemoved(msgspec.Struct, array_like=True, tag=True):
    """Blocks that left the cache."""

    block_hashes: list[int]


class AllBlocksCleared(msgspec.Struct, array_like=True, tag=True):
    """The cache is empty."""


CacheEvent = BlockStored | BlockRemoved | AllBlocksCleared


class EventBatch(msgspec.Struct, array_like=True):
    """The cache events of one engine step."""

    ts: float
    events: list[CacheEvent]
    data_parallel_rank: int | None = None


class CachePublisher:
    """Publishes cache events on a PUB socket at a free port of the loopback address.

    Parameters
    ----------
    faults : Faults
        `event_lag_s` delays batches and `n_events_dropped` drops some.
    topic : str
        First part of each message.
    """

    def __init__(self, faults: Faults, topic: str = "kv-events") -> None:
        self._faults = faults
        self._topic = topic.encode()
        self._socket = zmq.Context.instance().socket(zmq.PUB)
        self._socket.setsockopt(zmq.LINGER, 0)
        port = self._socket.bind_to_random_port("tcp://127.0.0.1")
        self.address = f"tcp://127.0.0.1:{port}"
        self.sequence = 0

    def publish(self, changes: Sequence[CacheChange]) -> None:
        """Publish the cache changes of one step."""
        events: list[CacheEvent] = []
        for change in changes:
            match change:
                case Stored(hashes, parent, tokens):
                    events.append(
                        BlockStored(list(hashes), parent, list(tokens), BLOCK_TOKENS)
                    )
                case Removed(hashes):
                    events.append(BlockRemoved(list(hashes)))
        self.send(events)

    def clear(self) -> None:
        """Publish that the cache is empty."""
        self.send([AllBlocksCleared()])

    def send(self, events: list[CacheEvent]) -> None:
        """Publish one batch with the next sequence number."""
        sequence = self.sequence
        self.sequence += 1
        if self._faults.n_events_dropped:
            self._faults.n_events_dropped -= 1
            return
        parts = [
            self._topic,
            sequence.to_bytes(8, "big"),
            msgspec.msgpack.encode(EventBatch(time.time(), events)),
        ]
        if not self._faults.event_lag_s:
            self._send_parts(parts)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._faults.event_lag_s, self._send_parts, parts)

    def _send_parts(self, parts: list[bytes]) -> None:
        if not self._socket.closed:
            self._socket.send_multipart(parts, flags=zmq.NOBLOCK)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
