"""A TCP proxy on the loopback interface that injects link faults."""

import asyncio
import time
from enum import Enum

from pomelothread.addresses import Address
from standins.loopback_server import LoopbackServer
from standins.platform import reset_connection

_READ_BYTES = 65_536
RECONNECT_INTERVAL_S = 0.02


class LinkFault(Enum):
    """What the proxy does with connections and their data."""

    NONE = "passes them on"
    DELAYS = "passes them on after a delay"
    SILENT = "holds them until the fault ends"
    ONE_WAY = "holds the bytes of responses until the fault ends"
    REFUSES = "resets new connections"


class FaultProxy(LoopbackServer):
    """Forwards connections to one address.

    Parameters
    ----------
    target : Address
        Address that connections are forwarded to.
    patience_s : float
        Time for which a connection that it has accepted is held while the target
        refuses connections.
    """

    def __init__(self, target: Address, patience_s: float = 0.0) -> None:
        super().__init__()
        self._patience_s = patience_s
        self._target = target
        self._fault = LinkFault.NONE
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self.delay_s = 0.0
        # Accepted connections are connected to the target while it is set.
        self.may_connect = asyncio.Event()
        self.may_connect.set()

    @property
    def address(self) -> Address:
        """Address that the proxy listens on."""
        return Address("127.0.0.1", self.port)

    def set_fault(self, fault: LinkFault, delay_s: float = 0.0) -> None:
        """Start a fault, or end it with `LinkFault.NONE`."""
        self._fault = fault
        self.delay_s = delay_s
        self._changed.set()
        self._changed = asyncio.Event()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is LinkFault.REFUSES:
            reset_connection(writer)
            return
        await self.may_connect.wait()
        try:
            target_reader, target_writer = await self._connect()
        except OSError:
            # The target refuses connections, so the proxy resets the client's.
            reset_connection(writer)
            return
        ends = (writer, target_writer)
        self._writers.update(ends)
        request_pump = asyncio.ensure_future(
            self._forward(reader, target_writer, False)
        )
        response_pump = asyncio.ensure_future(
            self._forward(target_reader, writer, True)
        )
        try:
            await asyncio.wait(
                (request_pump, response_pump), return_when=asyncio.FIRST_EXCEPTION
            )
        finally:
            for pump in (request_pump, response_pump):
                pump.cancel()
            await asyncio.gather(request_pump, response_pump, return_exceptions=True)
            self._writers.difference_update(ends)
            for end in ends:
                end.close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the target, again and again until the patience is over."""
        until_s = time.monotonic() + self._patience_s
        while True:
            try:
                return await asyncio.open_connection(
                    self._target.host, self._target.port
                )
            except OSError:
                if time.monotonic() >= until_s:
                    raise
            await asyncio.sleep(RECONNECT_INTERVAL_S)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self._fault is LinkFault.DELAYS:
                await asyncio.sleep(self.delay_s)
            await self._wait_until_unblocked(is_response)
            writer.write(data)
            await writer.drain()
        await self._wait_until_unblocked(is_response)
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()
        if is_response:
            # The target has closed; ending with an error closes both directions,
            # since half-open connections are not supported.
            raise ConnectionResetError

    async def _wait_until_unblocked(self, is_response: bool) -> None:
        while self._fault is LinkFault.SILENT or (
            is_response and self._fault is LinkFault.ONE_WAY
        ):
            await self._changed.wait()
