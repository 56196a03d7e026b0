"""A TCP server on the loopback interface with a task for each connection."""

import asyncio
import socket
from abc import ABC, abstractmethod


def reserve_port(port: int = 0) -> socket.socket:
    """Bind a socket, so that no outgoing connection gets a port that a server needs.

    A server can listen on the port meanwhile, if it allows to reuse the address.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", port))
    return reserved


class LoopbackServer(ABC):
    """Base of the servers that handle connections until they are stopped.

    Attributes
    ----------
    port : int
        Port that it listens on, once it has been started.
    """

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._reserved: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 lets the kernel choose one."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._free_port()

    def stop_listening(self) -> None:
        """Refuse new connections; the port is kept, to listen there again."""
        if self._server is None:
            return
        self._server.close()
        if self._reserved is None:
            self._reserved = reserve_port(self.port)

    async def stop(self) -> None:
        """Stop listening and cancel the tasks of all connections."""
        if self._server is not None:
            self._server.close()
        self._free_port()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _free_port(self) -> None:
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @abstractmethod
    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection to its end."""
