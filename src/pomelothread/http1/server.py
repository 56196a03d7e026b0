"""HTTP/1.1 server: serves the requests of one connection in order."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from .byte_stream import ByteStream
from .messages import Headers, Request
from .reading_cost import READ_BYTES, ReadingCost

# How long input is still read and discarded after a request has been rejected. If
# the connection were closed at once, the caller's further writes would cause a
# reset, which may discard the response before the caller has read it.
DISCARD_TIMEOUT_S = 1.0
# Timeout of each read of a body; `ServerLimits` has no setting for it.
BODY_READ_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Size limits and timeouts of requests.

    Parameters
    ----------
    max_head_bytes : int
        Maximum size of the request line and the headers.
    max_body_bytes : int
        Maximum size of the body.
    head_timeout_s : float
        Time from the first byte of a head to its end.
    idle_timeout_s : float
        Maximum time without a request on a connection.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Responder:
    """Writes the response to one request.

    Parameters
    ----------
    stream : ByteStream
        Connection of the caller.
    protocol : h11.Connection
        State of the connection.
    will_close : callable
        Returns whether the connection will be closed after this response.
    """

    def __init__(
        self,
        stream: ByteStream,
        protocol: h11.Connection,
        will_close: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._protocol = protocol
        self._will_close = will_close
        self.has_started = False
        self.is_complete = False

    @property
    def has_caller_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._stream.ended

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        self._send_head(status, (*headers, (b"content-length", b"%d" % len(body))))
        if body:
            self._send(h11.Data(data=body))
        self._finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response with a chunked body."""
        self._send_head(status, (*headers, (b"transfer-encoding", b"chunked")))

    async def send(self, data: bytes) -> None:
        """Send part of the body, and wait while the write buffer is full."""
        self._send(h11.Data(data=data))
        await self._stream.drain()

    def finish(self, last_part: bytes = b"") -> None:
        """Send the last part of the body and its end."""
        if last_part:
            self._send(h11.Data(data=last_part))
        self._finish()

    def abort(self) -> None:
        """Close without the end of the body, so that it is recognisably incomplete."""
        if self._protocol.their_http_version == b"1.0":
            # Without chunks, the body is complete if its connection ends in order.
            self._stream.reset()
        else:
            self._stream.abort()

    def _send_head(self, status: int, headers: Headers) -> None:
        self.has_started = True
        if self._will_close():
            headers = (*headers, (b"connection", b"close"))
        self._send(h11.Response(status_code=status, headers=list(headers)))

    def _finish(self) -> None:
        self._send(h11.EndOfMessage())
        self.is_complete = True

    def _send(self, event: h11.Event) -> None:
        data = self._protocol.send(event)
        if data:
            self._stream.write(data)


Handler = Callable[[Request, Responder], Awaitable[None]]


class CallerConnection:
    """One connection of a caller.

    Parameters
    ----------
    stream : ByteStream
        The connection.
    handle : callable
        Handles one request; cancelled when the caller disconnects.
    limits : callable
        Returns the limits in force.
    is_draining : callable
        Returns whether the server is draining: each response then closes its
        connection.
    """

    def __init__(
        self,
        stream: ByteStream,
        handle: Handler,
        limits: Callable[[], ServerLimits],
        is_draining: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._handle = handle
        self._limits = limits
        self._is_draining = is_draining
        self.is_idle = True

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or handled."""
        if self.is_idle and not self._stream.has_unread:
            self._stream.close()

    async def serve(self) -> None:
        """Serve requests until either side closes."""
        unread = b""
        try:
            while not self._stream.ended:
                protocol = h11.Connection(
                    h11.SERVER, max_incomplete_event_size=self._limits().max_head_bytes
                )
                if unread:
                    protocol.receive_data(unread)
                if not await self._serve_one(protocol, bool(unread)):
                    return
                unread = protocol.trailing_data[0]
        finally:
            self._stream.close()

    async def _serve_one(self, protocol: h11.Connection, has_unread: bool) -> bool:
        """Serve one request; return whether another one may follow."""
        self.is_idle = not has_unread
        if not has_unread and not await self._wait_for_request():
            return False
        self.is_idle = False
        responder = Responder(self._stream, protocol, self._is_draining)
        try:
            request = await self._read_request(protocol, responder)
        except h11.RemoteProtocolError as error:
            if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                return False
            await self._reject(responder, error.error_status_hint or 400)
            return False
        if request is None:
            return False
        await self._answer(request, responder)
        return (
            responder.is_complete
            and protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
        )

    async def _wait_for_request(self) -> bool:
        try:
            async with asyncio.timeout(self._limits().idle_timeout_s):
                await self._stream.readable()
        except TimeoutError:
            return False
        return self._stream.has_unread

    async def _read_request(
        self, protocol: h11.Connection, responder: Responder
    ) -> Request | None:
        limits = self._limits()
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                head = await self._next_event(protocol)
        except TimeoutError:
            await self._reject(responder, 408)
            return None
        if not isinstance(head, h11.Request):
            return None
        headers = tuple((bytes(name), bytes(value)) for name, value in head.headers)
        if _head_size(head) > limits.max_head_bytes:
            # h11 applies its limit only to heads that arrive in several parts.
            await self._reject(responder, 431)
            return None
        if _has_ambiguous_framing(headers):
            await self._reject(responder, 400)
            return None
        if protocol.they_are_waiting_for_100_continue:
            self._stream.write(
                protocol.send(h11.InformationalResponse(status_code=100, headers=[]))
                or b""
            )
        body = bytearray()
        cost = ReadingCost()
        while True:
            await cost.yield_if_due()
            try:
                async with asyncio.timeout(BODY_READ_TIMEOUT_S):
                    event = await self._next_event(protocol)
            except TimeoutError:
                await self._reject(responder, 408)
                return None
            if isinstance(event, h11.Data):
                body += event.data
                cost.add(len(event.data))
                cost.add_to_turn(len(event.data))
                if len(body) > limits.max_body_bytes or cost.is_fragmented:
                    await self._reject(responder, 413)
                    return None
            elif isinstance(event, h11.EndOfMessage):
                return Request(
                    bytes(head.method), bytes(head.target), headers, bytes(body)
                )
            else:
                return None

    async def _next_event(self, protocol: h11.Connection) -> object:
        while True:
            event = protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not self._stream.has_unread:
                if self._stream.ended:
                    return None
                await self._stream.readable()
            if self._stream.has_unread:
                protocol.receive_data(self._stream.take(READ_BYTES))

    async def _answer(self, request: Request, responder: Responder) -> None:
        """Run the handler, and cancel it when the caller disconnects."""
        handling = asyncio.ensure_future(self._handle(request, responder))
        try:
            await asyncio.wait(
                (handling, self._stream.closed), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            if not handling.done():
                handling.cancel()
                await asyncio.wait((handling,))
            if responder.has_started and not responder.is_complete:
                responder.abort()
        if not handling.cancelled():
            # Re-raises an exception of the handler.
            handling.result()

    async def _reject(self, responder: Responder, status: int) -> None:
        """Reject an invalid request, and close the connection after the response."""
        responder.respond(status, ((b"connection", b"close"),), b"")
        self._stream.finish_writing()
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while not self._stream.ended:
                    await self._stream.readable()
                    self._stream.take()
        except TimeoutError:
            return


def _head_size(head: h11.Request) -> int:
    """Return the approximate size of a head, with the separators of its lines."""
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


def _has_ambiguous_framing(headers: Headers) -> bool:
    """Return whether another server may find a different end of this request.

    h11 rejects Content-Length headers that differ, and merges equal ones into one.
    """
    names = [name for name, _ in headers]
    n_lengths = names.count(b"content-length")
    return n_lengths > 1 or (n_lengths > 0 and b"transfer-encoding" in names)
