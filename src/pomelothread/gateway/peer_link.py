"""Sends and receives messages between gateways.

Messages are UDP datagrams: the next one makes up for a lost one, and no sender waits
for a reply. In a large fleet gateways send their load only to those of the same cell,
and gossip to those of all cells.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import msgspec

from ..addresses import Address, parse_address
from ..events import Event, log_event
from .peer_messages import (
    GossipMessage,
    PeerMessage,
    PermitReply,
    PermitRequest,
    StreamNews,
    StreamQuery,
    StreamReply,
)
from .peers import Peer, PeerTable

_log = logging.getLogger(__name__)

_StreamMessage = StreamNews | StreamQuery | StreamReply
_Message = PeerMessage | GossipMessage | PermitRequest | PermitReply | _StreamMessage


class PeerLink(asyncio.DatagramProtocol):
    """UDP endpoint for the messages between gateways.

    Parameters
    ----------
    table : PeerTable
        The peers that are sent messages; receives theirs.
    on_message : callable
        Called after the peer table has processed a message.
    on_gossip : callable
        Called with a gossip message and its sender, after the hosts that it names
        were added to the peer table.
    """

    def __init__(
        self,
        table: PeerTable,
        on_message: Callable[[Peer, PeerMessage], None],
        on_gossip: Callable[[Address, GossipMessage], None],
    ) -> None:
        self._table = table
        self._on_message = on_message
        self._on_gossip = on_gossip
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Message)
        # Handles messages about permits; set by the process.
        self.on_permits: Callable[[Address, PermitRequest | PermitReply], None] = (
            _ignore_permits
        )
        # Handles messages about streams; set by the process.
        self.on_streams: Callable[[Address, _StreamMessage], None] = _ignore_streams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # asyncio's own datagram transport does not subclass DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and process one message; log those that cannot be processed."""
        address = Address(addr[0], addr[1])
        try:
            self._handle(address, self._decoder.decode(data))
        except msgspec.MsgspecError as error:
            log_event(_log, Event.PEER_MESSAGE_MALFORMED, address=address, detail=error)
        except Exception as error:
            # One message must not stop the process; the next heartbeat replaces it.
            log_event(
                _log,
                Event.PEER_MESSAGE_FAILED,
                exc_info=error,
                address=address,
                detail=repr(error),
            )

    def _handle(self, address: Address, message: _Message) -> None:
        match message:
            case PeerMessage():
                for host in message.peers:
                    self._introduce(host, address.port, age_s=0.0)
                peer = self._table.receive(address, message)
                if peer is not None:
                    self._on_message(peer, message)
            case GossipMessage():
                self._table.add_or_refresh(address, age_s=0.0)
                for host, age_s in message.alive:
                    self._introduce(host, address.port, age_s)
                self._on_gossip(address, message)
            case PermitRequest() | PermitReply():
                self.on_permits(address, message)
            case StreamNews() | StreamQuery() | StreamReply():
                self.on_streams(address, message)

    def _introduce(self, host: str, port: int, age_s: float) -> None:
        address = parse_address(f"{host}:{port}")
        if address is None:
            detail = f"{host[:40]!r} is not an IP address"
            log_event(_log, Event.PEER_MESSAGE_MALFORMED, address=host, detail=detail)
            return
        self._table.add_or_refresh(address, max(0.0, age_s))

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer does not listen; the peer table notices its silence."""

    def send(self, message: PeerMessage) -> None:
        """Send a message to all peers of the own cell, without waiting."""
        self._send(message, [peer.address for peer in self._table.own_cell_peers()])

    def send_gossip(self, gossip: GossipMessage, address: Address) -> None:
        """Send a gossip message to one peer, without waiting."""
        self._send(gossip, [address])

    def send_permits(
        self, message: PermitRequest | PermitReply, address: Address
    ) -> None:
        """Send a message about permits to one peer, without waiting."""
        self._send(message, [address])

    def send_stream(self, message: _StreamMessage, address: Address) -> None:
        """Send a message about streams to one peer, without waiting."""
        self._send(message, [address])

    def _send(self, message: _Message, addresses: list[Address]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = self._encoder.encode(message)
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()


def _ignore_streams(sender: Address, message: _StreamMessage) -> None:
    """Drop messages that arrive before the process handles streams."""


def _ignore_permits(sender: Address, message: PermitRequest | PermitReply) -> None:
    """Drop messages that arrive before the process handles permits."""
