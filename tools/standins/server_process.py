"""An upstream that is a process of its own, to be ended by SIGKILL.

The kernel closes the connections of a killed process in order, as those of one that has
ended well, so a response without framing that it was sending seems complete.

Usage: ``python -m standins.server_process ID VERSION PORT N_EVENTS INTERVAL_S
[--framed]``. It prints its start in Unix milliseconds once it listens.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

from standins.loopback_server import reserve_port
from standins.store_entries import make_store_entry

_HOST = "127.0.0.1"


class ServerProcess:
    """An upstream that runs as a process and writes streams of events.

    Parameters
    ----------
    upstream_id : str
        Identifier, which it keeps when it starts again.
    service : str
        Service that it belongs to.
    n_events : int
        Number of events in a stream.
    event_interval_s : float
        Pause before each event, in seconds.
    software_version : str
        Version of the software of its next start.
    is_framed : bool
        Whether its streams are sent in chunks; otherwise they end with their
        connection.
    """

    def __init__(
        self,
        upstream_id: str,
        service: str,
        n_events: int,
        event_interval_s: float,
        software_version: str = "v1",
        is_framed: bool = False,
    ) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.software_version = software_version
        # Kept for as long as the process may be started again.
        self._reserved = reserve_port()
        self.port = int(self._reserved.getsockname()[1])
        self.started_ms = 0
        self._options = [str(n_events), str(event_interval_s)]
        self._options += ["--framed"] if is_framed else []
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, always at the same port, and wait until it listens."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            "-m",
            "standins.server_process",
            self.upstream_id,
            self.software_version,
            str(self.port),
            *self._options,
            cwd=Path(__file__).parent.parent,
            stdout=asyncio.subprocess.PIPE,
        )
        self._process = process
        assert process.stdout is not None
        self.started_ms = int(await process.stdout.readline())

    async def kill(self) -> None:
        """End the process by SIGKILL, and wait until it has ended."""
        if self._process is None:
            return
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()

    async def stop(self) -> None:
        """End the process for good."""
        await self.kill()
        self._reserved.close()

    def store_entry(self, state: str = "ready", slots: int = 4) -> dict[str, object]:
        """Return its entry in the store."""
        return make_store_entry(
            self.service,
            self.port,
            self.software_version,
            self.started_ms,
            state,
            slots,
        )


class _Server:
    """What runs in the process."""

    def __init__(
        self,
        upstream_id: str,
        version: str,
        n_events: int,
        interval_s: float,
        is_framed: bool,
    ) -> None:
        self._upstream_id = upstream_id
        self._version = version
        self._n_events = n_events
        self._interval_s = interval_s
        self._is_framed = is_framed
        self.started_ms = time.time_ns() // 1_000_000

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        try:
            while await self._answer(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            # The gateway has closed the connection.
            pass
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection can take another."""
        head = await reader.readuntil(b"\r\n\r\n")
        line, *lines = head.decode("latin-1").strip().split("\r\n")
        names = (line.partition(":") for line in lines)
        headers = {name.lower(): text.strip() for name, _, text in names}
        await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("x-expect-instance", self._upstream_id) != self._upstream_id:
            await _respond(writer, "421 Misdirected Request", b"", self._upstream_id)
            return True
        if line.startswith("GET /v1/report "):
            report = {"stage": "colocated", "seq": 0, "born": self.started_ms}
            body = json.dumps(report).encode()
            await _respond(writer, "200 OK", body, self._upstream_id)
            return True
        await self._stream(headers, writer)
        return self._is_framed

    async def _stream(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        framing = "Transfer-Encoding: chunked\r\n" if self._is_framed else ""
        writer.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Attempt-Id: {headers.get('x-attempt-id', '')}\r\n"
            f"X-Response-Seal: seal.{self._upstream_id}\r\n{framing}\r\n".encode()
        )
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self._n_events + 1):
            await asyncio.sleep(self._interval_s)
            event = f"id: {number}\ndata: token {number} of {self._version}\n\n"
            data = event.encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data) if framing else data)
            await writer.drain()
        if framing:
            writer.write(b"0\r\n\r\n")


async def _respond(
    writer: asyncio.StreamWriter, status: str, body: bytes, upstream_id: str
) -> None:
    head = (
        f"HTTP/1.1 {status}\r\nX-Instance-Id: {upstream_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await writer.drain()


async def _main() -> None:
    upstream_id, version, port, n_events, interval_s, *options = sys.argv[1:]
    server = _Server(
        upstream_id, version, int(n_events), float(interval_s), "--framed" in options
    )
    listener = await asyncio.start_server(server.serve, _HOST, int(port))
    print(server.started_ms, flush=True)
    await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main())
