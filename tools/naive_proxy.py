"""A naive scheduler, used to show that the fault trials detect violations.

It forwards requests to upstreams in turn, retries at the next one when an upstream
fails, and keeps the responses to orders by key in memory. ``python -m naive_proxy
--upstreams=POOL=IP:PORT,...`` prints one JSON line with its address.
"""

import asyncio
import itertools
import json
import sys
import uuid
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from absl import flags
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.web import Application, RequestHandler

from launch_settings import ENTRY, Node
from launcher import Launcher
from standins.serving import announce, listen, parse_flags

N_TRIES = 3
TIMEOUT_S = 30.0
UPSTREAM_MODEL = "willow-13b"
PATHS = {"stock-check": "/stock", "bulk-order": "/orders"}

FLAGS = flags.FlagValues()
flags.DEFINE_integer("port", 0, "port, 0 for any free one", flag_values=FLAGS)
flags.DEFINE_list("upstreams", [], "POOL=IP:PORT for each", flag_values=FLAGS)


@dataclass(slots=True)
class Proxy:
    """Iterators over the upstreams by pool, and responses of orders by key."""

    pools: dict[str, Iterator[str]]
    orders: dict[str, "asyncio.Future[tuple[int, bytes]]"] = field(default_factory=dict)

    async def forward(
        self, pool: str, path: str, handler: RequestHandler, body: bytes | None
    ) -> tuple[int, bytes]:
        """Send a request to up to `N_TRIES` upstreams in turn until one answers."""
        headers = {"X-Request-Id": str(uuid.uuid4())}
        key = handler.request.headers.get("Idempotency-Key", "")
        if key:
            headers["Idempotency-Key"] = key
        error: Exception | None = None
        for _ in range(N_TRIES):
            request = HTTPRequest(
                f"http://{next(self.pools[pool])}{path}",
                method=handler.request.method or "GET",
                headers=headers,
                body=body,
                request_timeout=TIMEOUT_S,
            )
            try:
                response = await AsyncHTTPClient().fetch(request, raise_error=False)
            except (OSError, HTTPClientError) as failure:
                error = failure
                continue
            if response.code != 599:
                return response.code, response.body
        detail = {
            "type": "urn:naive:failed",
            "outcome": "not-run",
            "detail": str(error),
        }
        return 503, json.dumps(detail).encode()


class _Handler(RequestHandler):
    def initialize(self, proxy: Proxy) -> None:
        self.proxy = proxy

    def reply(self, status: int, body: bytes) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(body)


class ChatHandler(_Handler):
    """Chat completions; a streamed response is buffered and sent as a whole."""

    async def post(self) -> None:
        """Forward one completion."""
        body = json.loads(self.request.body) | {"model": UPSTREAM_MODEL}
        sent = json.dumps(body).encode()
        path = "/v1/chat/completions"
        self.reply(*await self.proxy.forward("model", path, self, sent))


class PlainHandler(_Handler):
    """Requests to plain services."""

    async def get(self, service: str, rest: str) -> None:
        """Forward a lookup."""
        path = PATHS[service] + rest
        self.reply(*await self.proxy.forward("ledger", path, self, None))

    async def post(self, service: str, rest: str) -> None:
        """Forward an order, unless its key is known."""
        key = self.request.headers["Idempotency-Key"]
        stored = self.proxy.orders.get(key)
        if stored is None:
            work = self.proxy.forward("ledger", PATHS[service], self, self.request.body)
            stored = self.proxy.orders[key] = asyncio.ensure_future(work)
        self.reply(*await stored)


class OrderHandler(_Handler):
    """Lookups of orders."""

    def get(self, key: str) -> None:
        """Send the stored response to an order."""
        stored = self.proxy.orders.get(key)
        if stored is None or not stored.done():
            self.reply(404, b"{}")
            return
        self.reply(*stored.result())


class StatusHandler(_Handler):
    """State and readiness."""

    def get(self) -> None:
        """Report that it is ready."""
        self.reply(200, b'{"state": "ready", "sheet_version": 0}')


class NaiveLauncher(Launcher):
    """Starts one naive scheduler in place of all entries and agents."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        plan = self.deployment.entries[0]
        program = self._program("naive", "naive_proxy")
        self.nodes = {plan.instance: Node(ENTRY, plan, program)}

    async def start_node(self, instance: str) -> None:
        """Start the scheduler, on the same port if it ran before."""
        node = self.nodes[instance]
        port = node.http_address.rpartition(":")[2] or "0"
        upstreams = ",".join(
            f"{plan.pool}={self.upstream_address(plan.instance)}"
            for plan in self.deployment.upstreams
        )
        await node.program.start([f"--port={port}", f"--upstreams={upstreams}"])


async def _serve() -> None:
    AsyncHTTPClient.configure(None, max_clients=1000)
    addresses: dict[str, list[str]] = {}
    for upstream in FLAGS.upstreams:
        pool, _, address = upstream.partition("=")
        addresses.setdefault(pool, []).append(address)
    proxy = Proxy(
        {
            pool: itertools.cycle(pool_addresses)
            for pool, pool_addresses in addresses.items()
        }
    )
    shared = {"proxy": proxy}
    application = Application(
        [
            (r"/v1/chat/completions", ChatHandler, shared),
            (r"/services/([^/]+)(.*)", PlainHandler, shared),
            (r"/v1/orders/[^/]+/([^/]+)", OrderHandler, shared),
            (r"/readyz|/control/status", StatusHandler, shared),
        ],
        log_function=lambda handler: None,
    )
    _, address = listen(application, FLAGS.port)
    announce(http_address=address, control_address="")
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Run the scheduler until the process is stopped."""
    parse_flags(FLAGS, argv)
    asyncio.run(_serve())


if __name__ == "__main__":
    main(sys.argv)
