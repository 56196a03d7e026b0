"""The naive policy of the benchmark: a round-robin proxy.

It forwards each request at once to the next upstream of the pool, without tiers,
queues or limits. ``python -m bench_naive --sheet=FILE
--upstreams=POOL=IP:PORT,...`` prints one JSON line with its address.
"""

import asyncio
import itertools
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
from absl import flags
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from pomelothread.operators.planning import parse_sheet
from pomelothread.operators.sheet import Service, Sheet
from pomelothread.peers.http_exchange import (
    Complete,
    Exchange,
    ExchangeClient,
    ResponseHead,
)
from standins.serving import announce, listen, parse_flags

MAX_EXCHANGES = 4000
KEPT_HEADERS = ("Content-Type", "X-Request-Id", "Idempotency-Key")

FLAGS = flags.FlagValues()
flags.DEFINE_integer("port", 0, "port, 0 for any free one", flag_values=FLAGS)
flags.DEFINE_string("sheet", "", "planning sheet", flag_values=FLAGS)
flags.DEFINE_list("upstreams", [], "POOL=IP:PORT for each", flag_values=FLAGS)


@dataclass(slots=True)
class Proxy:
    """The sheet, and an endless round-robin iterator over each pool's upstreams."""

    sheet: Sheet
    pools: dict[str, Iterator[str]]
    client: ExchangeClient


class _Handler(RequestHandler):
    def initialize(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.exchange: Exchange | None = None

    def on_connection_close(self) -> None:
        if self.exchange is not None:
            self.exchange.cancel()

    async def forward(self, service: Service, path: str, body: bytes) -> None:
        """Forward the request and relay the response as it arrives."""
        sent = self.request.headers
        headers = {name: sent[name] for name in KEPT_HEADERS if name in sent}
        self.exchange = self.proxy.client.open_exchange(
            self.request.method or "GET",
            f"http://{next(self.proxy.pools[service.pool])}{path}",
            headers,
            body,
        )
        head = await self.exchange.head()
        if not isinstance(head, ResponseHead):
            self.set_status(502)
            return
        self.set_status(head.status)
        self.set_header("Content-Type", head.headers.get("Content-Type", ""))
        try:
            async for chunk in self.exchange:
                self.write(chunk)
                await self.flush()
        except StreamClosedError:
            return
        if not isinstance(self.exchange.end, Complete):
            self.detach().close()


class ChatHandler(_Handler):
    """Chat completions."""

    async def post(self) -> None:
        """Forward a completion; the service's name becomes the engine's model."""
        body = msgspec.json.decode(self.request.body)
        service = self.proxy.sheet.services[body["model"]]
        body["model"] = service.model
        await self.forward(service, "/v1/chat/completions", msgspec.json.encode(body))


class PlainHandler(_Handler):
    """Requests to plain services."""

    async def get(self, name: str, rest: str) -> None:
        """Forward a lookup or an order."""
        service = self.proxy.sheet.services[name]
        await self.forward(service, service.path + rest, self.request.body)

    post = get


async def _serve() -> None:
    sheet = parse_sheet(Path(FLAGS.sheet).read_bytes()).unwrap()
    addresses: dict[str, list[str]] = {}
    for upstream in FLAGS.upstreams:
        pool, _, address = upstream.partition("=")
        addresses.setdefault(pool, []).append(address)
    pools: dict[str, Iterator[str]] = {
        pool: itertools.cycle(pool_addresses)
        for pool, pool_addresses in addresses.items()
    }
    shared = {"proxy": Proxy(sheet, pools, ExchangeClient(MAX_EXCHANGES))}
    application = Application(
        [
            (r"/v1/chat/completions", ChatHandler, shared),
            (r"/services/([^/]+)(.*)", PlainHandler, shared),
        ],
        log_function=lambda handler: None,
    )
    _, address = listen(application, FLAGS.port)
    announce(http_address=address)
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Run the proxy until the process is stopped."""
    parse_flags(FLAGS, argv)
    asyncio.run(_serve())


if __name__ == "__main__":
    main(sys.argv)
