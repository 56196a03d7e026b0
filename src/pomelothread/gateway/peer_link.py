"""Sends and receives the messages of gateways.

Messages are UDP datagrams: a lost one is replaced by the next, and nothing waits
for an answer. In a large fleet they go to the gateways of the same cell only.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import msgspec

from ..addresses import Address, parse_address
from ..events import Event, log_event
from .peer_messages import PeerMessage, Rumour
from .peers import Peer, PeerTable

_log = logging.getLogger(__name__)


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives messages of gateways.

    Parameters
    ----------
    table : PeerTable
        Who is told, and what they say.
    on_message : callable
        Called after a message has been taken in.
    on_rumour : callable
        Called with the sender of a rumour, whose hosts have been taken in.
    """

    def __init__(
        self,
        table: PeerTable,
        on_message: Callable[[Peer, PeerMessage], None],
        on_rumour: Callable[[Address, Rumour], None],
    ) -> None:
        self._table = table
        self._on_message = on_message
        self._on_rumour = on_rumour
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(PeerMessage | Rumour)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        # asyncio's own datagram transport is no subclass of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in one message."""
        address = Address(addr[0], addr[1])
        try:
            self._take_in(address, self._decoder.decode(data))
        except msgspec.MsgspecError as error:
            log_event(_log, Event.PEER_MESSAGE_MALFORMED, address=address, detail=error)
        except Exception as error:
            # One message must not end the process; the next beat replaces it.
            log_event(
                _log,
                Event.PEER_MESSAGE_FAILED,
                exc_info=error,
                address=address,
                detail=repr(error),
            )

    def _take_in(self, address: Address, message: PeerMessage | Rumour) -> None:
        match message:
            case PeerMessage():
                for host in message.peers:
                    self._introduce(host, address.port, age_s=0.0)
                peer = self._table.receive(address, message)
                if peer is not None:
                    self._on_message(peer, message)
            case Rumour():
                self._table.introduce(address, age_s=0.0)
                for host, age_s in message.alive:
                    self._introduce(host, address.port, age_s)
                self._on_rumour(address, message)

    def _introduce(self, host: str, port: int, age_s: float) -> None:
        address = parse_address(f"{host}:{port}")
        if address is None:
            detail = f"{host[:40]!r} is no IP address"
            log_event(_log, Event.PEER_MESSAGE_MALFORMED, address=host, detail=detail)
            return
        self._table.introduce(address, max(0.0, age_s))

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer does not listen; it is known to be silent."""

    def send(self, message: PeerMessage) -> None:
        """Send a message to all peers of the cell, without waiting."""
        self._send(message, [peer.address for peer in self._table.near()])

    def send_rumour(self, rumour: Rumour, address: Address) -> None:
        """Send a rumour to one peer, without waiting."""
        self._send(rumour, [address])

    def _send(self, message: PeerMessage | Rumour, addresses: list[Address]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = self._encoder.encode(message)
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
