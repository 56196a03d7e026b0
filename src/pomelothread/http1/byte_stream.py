"""Buffered reading and writing of one TCP connection."""

import asyncio
import socket
import struct
from typing import cast

# Reading pauses above this, so that many fast senders cannot fill the memory.
MAX_UNREAD_BYTES = 64 * 1024
# All connections receive into one buffer, since each copies from it at once.
_received = memoryview(bytearray(64 * 1024))

# The kernel ends a connection whose peer acknowledges nothing for this long. A
# network partition or a power failure ends no connection by itself.
USER_TIMEOUT_MS = 3_000
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# A socket with this linger time of 0 is closed by a reset.
_NO_LINGER = struct.pack("ii", 1, 0)


class ByteStream(asyncio.BufferedProtocol):
    """A TCP connection with a buffer of received bytes.

    Only one task may read at a time. No method raises when the peer disconnects:
    `ended` and `was_reset` are set, and further writes are dropped.

    Attributes
    ----------
    ended : bool
        Whether the connection has ended; no more bytes will arrive.
    was_reset : bool
        Whether it ended with an error instead of a close by the peer.
    closed : asyncio.Future
        Done as soon as `ended` is true.
    """

    def __init__(self) -> None:
        self.ended = False
        self.was_reset = False
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._reader_waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._is_paused = False
        self._is_writable = True
        self._close_once_connected = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of the socket."""
        self._transport = cast(asyncio.Transport, transport)
        if self._close_once_connected:
            self._transport.close()
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            _set_options(sock)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the event loop writes what it receives."""
        return _received

    def buffer_updated(self, nbytes: int) -> None:
        """Copy what has been received."""
        self.data_received(_received[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Buffer received bytes until they are taken."""
        self._unread += data
        if len(self._unread) > MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._open_transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Treat a half-close by the peer as the end of the connection."""
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record how the connection ended."""
        self.was_reset = exc is not None
        self._end()
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    def pause_writing(self) -> None:
        """Make `drain` wait, since the peer reads too slowly."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Let `drain` return."""
        self._is_writable = True
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been taken yet."""
        return bool(self._unread)

    @property
    def has_unsent(self) -> bool:
        """Whether written bytes have not reached the kernel yet."""
        return self._open_transport.get_write_buffer_size() > 0

    @property
    def is_paused(self) -> bool:
        """Whether nothing more is received until bytes are taken."""
        return self._is_paused

    def take(self, max_bytes: int | None = None) -> bytes:
        """Remove and return buffered bytes, of which there may be none.

        Parameters
        ----------
        max_bytes : int or None
            Maximum number of bytes; None for all.
        """
        data = bytes(self._unread[:max_bytes])
        del self._unread[: len(data)]
        if self._is_paused and len(self._unread) <= MAX_UNREAD_BYTES:
            self._is_paused = False
            self._open_transport.resume_reading()
        return data

    async def readable(self) -> None:
        """Wait until there are bytes to take or the connection has ended."""
        if self._unread or self.ended:
            return
        self._reader_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._reader_waiter
        finally:
            self._reader_waiter = None

    def write(self, data: bytes) -> None:
        """Send bytes; they are dropped if the connection is closing."""
        if not self._open_transport.is_closing():
            self._open_transport.write(data)

    async def drain(self) -> None:
        """Wait while the write buffer is full and the connection is open."""
        if self._is_writable or self.ended:
            return
        self._drain_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._drain_waiter
        finally:
            self._drain_waiter = None

    def finish_writing(self) -> None:
        """Half-close the connection after sending the written bytes."""
        transport = self._open_transport
        if not transport.is_closing() and transport.can_write_eof():
            transport.write_eof()

    def close(self) -> None:
        """Close the connection after sending the written bytes.

        If a connection has been accepted but `connection_made` has not been called
        yet, it is closed in that call.
        """
        if self._transport is None:
            self._close_once_connected = True
            self._end()
            return
        self._transport.close()

    async def until_closed(self) -> None:
        """Wait for the end of the connection; it is not affected by a cancellation."""
        await asyncio.shield(self.closed)

    def abort(self) -> None:
        """Close the connection at once and discard unsent bytes."""
        self._open_transport.abort()

    def reset(self) -> None:
        """Close the connection like `abort`, and let the peer see an error."""
        transport = self._open_transport
        sock = transport.get_extra_info("socket")
        if sock is not None and not transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        transport.abort()

    @property
    def _open_transport(self) -> asyncio.Transport:
        assert self._transport is not None, "used before connection_made was called"
        return self._transport

    def _wake_reader(self) -> None:
        if self._reader_waiter is not None and not self._reader_waiter.done():
            self._reader_waiter.set_result(None)

    def _end(self) -> None:
        self.ended = True
        self._wake_reader()
        if not self.closed.done():
            self.closed.set_result(None)


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
