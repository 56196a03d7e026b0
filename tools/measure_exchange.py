"""Measures HTTP exchanges: CPU time per chunk, memory per exchange, and latency.

It starts a server and a relay as child processes, so that the CPU time of each can be
read separately. ``python -m measure_exchange`` prints one JSON line for each figure.
"""

import asyncio
import json
import os
import resource
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from itertools import pairwise
from typing import Any

import psutil
from absl import flags
from tornado.web import Application, RequestHandler

from pomelothread.peers.http_exchange import Exchange, ExchangeClient
from standins.serving import announce, listen, parse_flags

# As large as one event of a chat completion.
CHUNK = b"data: " + b"x" * 200 + b"\n\n"
WAIT_S = 0.5

FLAGS = flags.FlagValues()
flags.DEFINE_enum(
    "part", "all", ["all", "server", "relay"], "process to run as", flag_values=FLAGS
)
flags.DEFINE_string("upstream", "", "ip:port for the relay", flag_values=FLAGS)
flags.DEFINE_integer("n_streams", 85, "concurrent streams", flag_values=FLAGS)
flags.DEFINE_integer("n_chunks", 400, "chunks of each stream", flag_values=FLAGS)
flags.DEFINE_float("gap_s", 0.025, "time between chunks", flag_values=FLAGS)
flags.DEFINE_integer(
    "n_calls", 1000, "calls in a latency measurement", flag_values=FLAGS
)
flags.DEFINE_list(
    "n_held", ["0", "500", "1000"], "numbers of open exchanges", flag_values=FLAGS
)


class StreamHandler(RequestHandler):
    """Sends chunks at a fixed rate."""

    async def post(self) -> None:
        """Send the number of chunks in the query, with its gap between them."""
        n_chunks = int(self.get_query_argument("n"))
        gap_s = float(self.get_query_argument("gap"))
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        for _ in range(n_chunks):
            self.write(CHUNK)
            await self.flush()
            due_s += gap_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))


class EchoHandler(RequestHandler):
    """Echoes the request body at once."""

    def post(self) -> None:
        """Send the body back."""
        self.write(self.request.body)


class HoldHandler(RequestHandler):
    """Sends one chunk and keeps the response open."""

    async def post(self) -> None:
        """Wait until the caller closes."""
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.write(CHUNK)
        await self.flush()
        await self.closed

    def on_connection_close(self) -> None:
        """End the response."""
        self.closed.set_result(None)


class RelayHandler(RequestHandler):
    """Forwards a request through an exchange and relays its response."""

    def initialize(self, client: ExchangeClient, upstream: str) -> None:
        """Store the client and the address to forward to."""
        self.client = client
        self.upstream = upstream

    async def post(self) -> None:
        """Forward the request and relay the response."""
        exchange = self.client.open_exchange(
            "POST", f"http://{self.upstream}{self.request.uri}", {}, self.request.body
        )
        await exchange.head()
        async for data in exchange:
            self.write(data)
            await self.flush()


class CpuHandler(RequestHandler):
    """Reports the CPU time of this process."""

    def get(self) -> None:
        """Send user and system time in seconds."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.write({"cpu_s": usage.ru_utime + usage.ru_stime, "pid": os.getpid()})


async def _serve(upstream: str) -> None:
    routes: list[Any] = [(r"/cpu", CpuHandler)]
    if upstream:
        target = {"client": ExchangeClient(2000), "upstream": upstream}
        routes += [(r"/stream", RelayHandler, target), (r"/echo", RelayHandler, target)]
    else:
        routes += [
            (r"/stream", StreamHandler),
            (r"/echo", EchoHandler),
            (r"/hold", HoldHandler),
        ]
    _, address = listen(Application(routes, log_function=lambda handler: None), 0)
    announce(address=address)
    await asyncio.get_running_loop().create_future()


def _own_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def _cpu_s(client: ExchangeClient, address: str) -> float:
    exchange = client.open_exchange("GET", f"http://{address}/cpu", {})
    body = await exchange.read_whole(1000)
    assert isinstance(body, bytes)
    return float(json.loads(body)["cpu_s"])


def _report(figure: str, **values: object) -> None:
    sys.stdout.write(json.dumps({"figure": figure} | values) + "\n")
    sys.stdout.flush()


async def _measure_chunks(
    client: ExchangeClient, server: str, relay: str, target: str, name: str
) -> None:
    """Run concurrent streams and report the CPU time of each process per chunk."""
    path = f"/stream?n={FLAGS.n_chunks}&gap={FLAGS.gap_s}"
    expected = FLAGS.n_chunks * len(CHUNK)

    async def one() -> None:
        exchange = client.open_exchange("POST", f"http://{target}{path}", {})
        await exchange.head()
        n_bytes = 0
        async for data in exchange:
            n_bytes += len(data)
        assert n_bytes == expected, f"{n_bytes} of {expected} bytes"

    before = (_own_cpu_s(), await _cpu_s(client, server), await _cpu_s(client, relay))
    start_s = time.monotonic()
    await asyncio.gather(*(one() for _ in range(FLAGS.n_streams)))
    elapsed_s = time.monotonic() - start_s
    after = (_own_cpu_s(), await _cpu_s(client, server), await _cpu_s(client, relay))
    n_chunks = FLAGS.n_streams * FLAGS.n_chunks
    client_s, server_s, relay_s = (b - a for a, b in zip(before, after, strict=True))
    _report(
        name,
        chunks_per_s=round(n_chunks / elapsed_s),
        client_us_per_chunk=round(client_s / n_chunks * 1e6, 1),
        server_us_per_chunk=round(server_s / n_chunks * 1e6, 1),
        relay_us_per_chunk=round(relay_s / n_chunks * 1e6, 1),
        client_cores=round(client_s / elapsed_s, 3),
        relay_cores=round(relay_s / elapsed_s, 3),
    )


async def _measure_delay(client: ExchangeClient, target: str, name: str) -> None:
    """Make calls one after the other and report their latency."""
    delays_ms = []
    start_cpu_s = _own_cpu_s()
    for _ in range(FLAGS.n_calls):
        start_s = time.perf_counter()
        exchange = client.open_exchange("POST", f"http://{target}/echo", {}, b"x" * 500)
        await exchange.read_whole(1000)
        delays_ms.append((time.perf_counter() - start_s) * 1e3)
    delays_ms.sort()
    n_calls = len(delays_ms)
    _report(
        name,
        n_calls=n_calls,
        client_us_per_call=round((_own_cpu_s() - start_cpu_s) / n_calls * 1e6),
        p50_ms=round(delays_ms[n_calls // 2], 3),
        p99_ms=round(delays_ms[n_calls * 99 // 100], 3),
    )


async def _measure_memory(server: str) -> None:
    """Hold exchanges open and report the resident memory of each further one."""
    process = psutil.Process()
    counts = [int(text) for text in FLAGS.n_held]
    start_bytes = process.memory_info().rss
    client = ExchangeClient(max(counts))
    idle_bytes = process.memory_info().rss
    _report(
        "memory of unused handles",
        max_exchanges=max(counts),
        bytes_per_handle=round((idle_bytes - start_bytes) / max(counts)),
    )
    held: list[Exchange] = []
    points = []
    for count in counts:
        while len(held) < count:
            held.append(client.open_exchange("POST", f"http://{server}/hold", {}))
            await held[-1].read()
        points.append((count, process.memory_info().rss))
    for (n_low, low), (n_high, high) in pairwise(points):
        _report(
            "memory of open exchanges",
            n_from=n_low,
            n_to=n_high,
            bytes_per_exchange=round((high - low) / (n_high - n_low)),
        )
    for exchange in held:
        exchange.cancel()
    while client.n_open:
        await asyncio.sleep(0)


async def _start(*arguments: str) -> tuple[asyncio.subprocess.Process, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "measure_exchange",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    return process, json.loads(await process.stdout.readline())["address"]


async def _run() -> None:
    server_process, server = await _start("--part=server")
    relay_process, relay = await _start("--part=relay", f"--upstream={server}")
    try:
        client = ExchangeClient(FLAGS.n_streams + 10)
        steps: list[Callable[[], Awaitable[None]]] = [
            lambda: _measure_delay(client, server, "delay of one exchange"),
            lambda: _measure_delay(client, relay, "delay of two exchanges"),
            lambda: _measure_chunks(client, server, relay, server, "chunks, direct"),
            lambda: _measure_chunks(client, server, relay, relay, "chunks, relayed"),
            lambda: _measure_memory(server),
        ]
        for step in steps:
            await step()
            await asyncio.sleep(WAIT_S)
    finally:
        for process in (relay_process, server_process):
            process.terminate()
            await process.wait()


def main(argv: Sequence[str]) -> None:
    """Run the measurements, or one of the measured processes."""
    parse_flags(FLAGS, argv)
    match FLAGS.part:
        case "all":
            asyncio.run(_run())
        case _:
            asyncio.run(_serve(FLAGS.upstream))


if __name__ == "__main__":
    main(sys.argv)
