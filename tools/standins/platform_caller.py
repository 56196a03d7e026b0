"""HTTP client that calls a gateway as the platform's callers do."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import h11

from pomelothread.addresses import Address

_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Answer:
    """A response as the caller received it.

    Parameters
    ----------
    status : int
        Status code; 0 if there was no response.
    headers : dict of str to str
        Headers by lowercase name.
    body : bytes
        Body, as far as it was received.
    is_complete : bool
        Whether the whole response was received, according to its framing.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class Caller:
    """One connection of a caller, for any number of requests.

    Parameters
    ----------
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        Streams of the connection.
    host : str
        Value of the ``Host`` header.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str
    ) -> None:
        self.reader = reader
        self.writer = writer
        self._host = host
        self.protocol = h11.Connection(h11.CLIENT)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can take another request."""
        states = (self.protocol.our_state, self.protocol.their_state)
        return states in ((h11.IDLE, h11.IDLE), (h11.DONE, h11.DONE))

    def send(
        self,
        target: str,
        method: str = "POST",
        body: bytes = b"{}",
        request_id: str | None = "r1",
        key: str | None = None,
        tokens: str | None = None,
        deadline_ms: int = 4000,
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Write a whole request."""
        lines = [
            ("Host", self._host),
            ("X-Deadline-Ms", str(deadline_ms)),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        if request_id is not None:
            lines.append(("X-Attempt-Id", request_id))
        if key is not None:
            lines.append(("Api-Key", key))
        if tokens is not None:
            lines.append(("X-Token-Usage", tokens))
        if self.protocol.our_state is h11.DONE:
            self.protocol.start_next_cycle()
        self._write(h11.Request(method=method, target=target, headers=lines))
        if body:
            self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())

    async def answer(self) -> Answer:
        """Read a response, or the part that arrives before the connection ends."""
        head: h11.Response | None = None
        body = bytearray()
        try:
            while True:
                event = self.protocol.next_event()
                if event is h11.NEED_DATA:
                    self.protocol.receive_data(await self.reader.read(_READ_BYTES))
                elif isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                else:
                    is_complete = isinstance(event, h11.EndOfMessage)
                    return _make_answer(head, bytes(body), is_complete)
        except (h11.RemoteProtocolError, ConnectionError):
            return _make_answer(head, bytes(body), False)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    def _write(self, event: h11.Event) -> None:
        self.writer.write(self.protocol.send(event) or b"")


async def open_caller(address: Address, host: str) -> Caller:
    """Connect to a gateway."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    return Caller(reader, writer, host)


def _make_answer(head: h11.Response | None, body: bytes, is_complete: bool) -> Answer:
    if head is None:
        return Answer(0, {}, body, False)
    headers = {k.decode().lower(): v.decode("latin-1") for k, v in head.headers}
    return Answer(head.status_code, headers, body, is_complete)
