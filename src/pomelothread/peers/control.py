"""Sockets for control messages: one inbox per process, one outbox per peer."""

import asyncio
import logging

import msgspec
import pynng

from ..events import Event, log_event
from ..undecodable import UNDECODABLE
from .messages import Message, decode_message, encode_message

_logger = logging.getLogger(__name__)

# Messages queued for a peer that is slow or not connected. A full outbox drops
# further messages: every message type tolerates loss, and heartbeats repeat the
# state that matters.
OUTBOX_SIZE = 256
INBOX_SIZE = 4096
# Splits a burst into several frames, instead of copying it into a huge one.
MAX_MESSAGES_PER_FRAME = 64

_frame_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])


class ControlChannel:
    """Sends and receives control messages by address.

    Messages to one peer that are queued in the same pass of the event loop
    share a frame, because a pynng send costs tens of microseconds regardless
    of its size. Sending never blocks and never retries.

    Parameters
    ----------
    listen_address : str
        ``ip:port`` of the inbox; port 0 lets the kernel choose.

    Attributes
    ----------
    address : str
        ``ip:port`` on which the inbox listens.
    n_sent_bytes, n_received_bytes : int
        Payload bytes since the start.
    n_unsent : int
        Messages that were dropped because an outbox did not accept them.
    n_unknown_messages : int
        Messages that could not be decoded or have no handler.
    """

    __slots__ = (
        "_flush_scheduled",
        "_inbox",
        "_loop",
        "_n_unknown_logged",
        "_outboxes",
        "_pending",
        "_received",
        "address",
        "n_received_bytes",
        "n_sent_bytes",
        "n_unknown_messages",
        "n_unsent",
    )

    def __init__(self, listen_address: str) -> None:
        self._loop = asyncio.get_running_loop()
        self._inbox = pynng.Pull0(recv_buffer_size=INBOX_SIZE)
        listener = self._inbox.listen(f"tcp://{listen_address}")
        self.address = str(listener.local_address)
        self._outboxes: dict[str, pynng.Push0] = {}
        self._pending: dict[str, list[msgspec.Raw]] = {}
        self._flush_scheduled = False
        self._received: asyncio.Queue[Message] = asyncio.Queue()
        self.n_sent_bytes = 0
        self.n_received_bytes = 0
        self.n_unsent = 0
        self.n_unknown_messages = 0
        self._n_unknown_logged = 0
        # The descriptor becomes readable when a frame arrives; watching it costs
        # a fraction of pynng's own asynchronous receive.
        self._loop.add_reader(self._inbox.recv_fd, self._read_inbox)

    def send(self, address: str, message: Message) -> None:
        """Queue a message to the inbox at `address` (``ip:port``)."""
        frame = self._pending.setdefault(address, [])
        frame.append(msgspec.Raw(encode_message(message)))
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    async def receive(self) -> Message:
        """Wait for the next message."""
        return await self._received.get()

    def close_outbox(self, address: str) -> None:
        """Close the outbox of a peer that is gone."""
        outbox = self._outboxes.pop(address, None)
        if outbox is not None:
            outbox.close()

    def log_unknown(self) -> None:
        """Log how many unknown messages have arrived since the last call, if any."""
        n_messages = self.n_unknown_messages - self._n_unknown_logged
        if n_messages:
            self._n_unknown_logged = self.n_unknown_messages
            log_event(_logger, Event.MESSAGE_DROPPED, n_messages=n_messages)

    def close(self) -> None:
        """Close all sockets; messages still queued may be lost."""
        self._flush()
        self._loop.remove_reader(self._inbox.recv_fd)
        self._inbox.close()
        for address in list(self._outboxes):
            self.close_outbox(address)

    def _flush(self) -> None:
        self._flush_scheduled = False
        pending, self._pending = self._pending, {}
        for address, messages in pending.items():
            for start in range(0, len(messages), MAX_MESSAGES_PER_FRAME):
                frame = messages[start : start + MAX_MESSAGES_PER_FRAME]
                self._send_frame(address, frame)

    def _send_frame(self, address: str, frame: list[msgspec.Raw]) -> None:
        data = _frame_encoder.encode(frame)
        try:
            self._outbox_to(address).send(data, block=False)
        except pynng.NNGException:
            self.n_unsent += len(frame)
            return
        self.n_sent_bytes += len(data)

    def _outbox_to(self, address: str) -> pynng.Push0:
        outbox = self._outboxes.get(address)
        if outbox is not None:
            return outbox
        outbox = pynng.Push0(
            send_buffer_size=OUTBOX_SIZE,
            reconnect_time_min=50,
            reconnect_time_max=1000,
        )
        outbox.dial(f"tcp://{address}", block=False)
        self._outboxes[address] = outbox
        return outbox

    def _read_inbox(self) -> None:
        while True:
            try:
                data = self._inbox.recv(block=False)
            except pynng.NNGException:
                return
            except RuntimeError:
                # pynng cannot unpack an empty frame; entries and agents send none.
                self.n_unknown_messages += 1
                continue
            self.n_received_bytes += len(data)
            for raw in self._split_frame(data):
                message = decode_message(raw)
                if message is None:
                    self.n_unknown_messages += 1
                    continue
                self._received.put_nowait(message)

    def _split_frame(self, data: bytes) -> list[msgspec.Raw]:
        try:
            return _frame_decoder.decode(data)
        except UNDECODABLE:
            self.n_unknown_messages += 1
            return []
