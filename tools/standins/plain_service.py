"""Stand-in for services without a model: orders, stock checks and reprint lookups.

It runs every order that it receives and does not remove duplicates, so that tests
find a repeated order in its list. ``python -m standins.plain_service --port=0``
prints one JSON line with its address once it listens.
"""

import asyncio
import os
import sys
import zlib
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from absl import flags
from tornado.httpserver import HTTPServer
from tornado.web import Application

from pomelothread.clock import Clock, SystemClock

from .serving import (
    CountedHandler,
    Counts,
    Faults,
    FaultsHandler,
    JsonHandler,
    announce,
    listen,
    parse_flags,
)

CRASH_STATUS = 70
KEY_HEADER = "Idempotency-Key"

FLAGS = flags.FlagValues()
flags.DEFINE_integer("port", 0, "port, 0 for any free one", flag_values=FLAGS)
flags.DEFINE_float(
    "service_time_s", 0.005, "processing time of a request", flag_values=FLAGS
)
flags.DEFINE_string(
    "journal",
    "",
    "file that received requests and executed orders are appended to",
    flag_values=FLAGS,
)
flags.DEFINE_integer(
    "n_workers", 4, "requests processed at the same time", flag_values=FLAGS
)


@dataclass(slots=True)
class PlainService:
    """A running service and the state that tests inspect."""

    service_time_s: float
    workers: asyncio.Semaphore
    clock: Clock
    faults: Faults = field(default_factory=Faults)
    counts: Counts = field(default_factory=Counts)
    orders: list[dict[str, Any]] = field(default_factory=list)
    runs_by_key: Counter[str] = field(default_factory=Counter)
    runs_by_body: Counter[str] = field(default_factory=Counter)
    address: str = ""
    server: HTTPServer | None = None

    async def serve_one(self) -> None:
        """Occupy a worker for the service time of one request."""
        async with self.workers:
            await self.clock.sleep(self.service_time_s * self.faults.slow_factor)

    def run_order(self, key: str, body: bytes, request_id: str) -> dict[str, Any]:
        """Record an order as executed."""
        text = body.decode("utf-8", "replace")
        order = {
            "number": len(self.orders) + 1,
            "key": key,
            "request_id": request_id,
            "body": text,
        }
        self.orders.append(order)
        self.runs_by_key[key] += 1
        self.counts.write_journal(event="effect", key=key, body=text)
        self.runs_by_body[text] += 1
        return order

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self.server is not None:
            self.server.stop()
            await self.server.close_all_connections()


class PlainHandler(CountedHandler):
    """Base of the handlers: counts requests and applies faults around `result`."""

    def initialize(self, service: PlainService) -> None:  # type: ignore[override]
        """Store the service whose requests are handled."""
        super().initialize(service.counts, service.faults)
        self.service = service

    async def answer(self, argument: str) -> None:
        """Serve one call and count how it ended."""
        is_complete = False
        try:
            is_complete = await self._answer(argument)
        finally:
            self.counts.end(self.request_id, cancelled=not is_complete)

    async def _answer(self, argument: str) -> bool:
        marker = self.service.faults.crash_on_text
        if marker and marker.encode() in self.request.body:
            os._exit(CRASH_STATUS)
        if self.faults.close_before_answer:
            self.drop_connection()
            return False
        if self.faults.hang:
            await self.closed
            return False
        work = asyncio.ensure_future(self._serve(argument))
        # An order runs to its end even if the caller disconnects; a lookup stops.
        is_order = self.request.method == "POST"
        if not await self.finishes_before_close(
            asyncio.shield(work) if is_order else work
        ):
            if not is_order:
                return False
            await work
        status, value = work.result()
        if self.faults.close_after_effect or self.faults.cut_after_chunks is not None:
            self._break_answer()
            return False
        if self._finished or self.closed.done():
            return False
        self.send_json(value, status)
        return True

    async def _serve(self, argument: str) -> tuple[int, Any]:
        await self.service.serve_one()
        return self.result(argument)

    def _break_answer(self) -> None:
        if self._finished or self.faults.close_after_effect:
            self.drop_connection()
            return
        self.set_header("Content-Length", "1000")
        self.write(b"{")
        self.flush()
        self.drop_connection()

    def result(self, argument: str) -> tuple[int, Any]:
        """Return the status and the body of the answer."""
        raise NotImplementedError


class OrdersHandler(PlainHandler):
    """``POST /orders``."""

    async def post(self) -> None:
        """Execute an order."""
        await self.answer(self.request.headers.get(KEY_HEADER, ""))

    def result(self, argument: str) -> tuple[int, Any]:
        """Record the order as executed."""
        body = self.request.body
        return 201, self.service.run_order(argument, body, self.request_id)


class OrderHandler(PlainHandler):
    """``GET /orders/{key}``."""

    async def get(self, key: str) -> None:
        """Look an order up."""
        await self.answer(key)

    def result(self, argument: str) -> tuple[int, Any]:
        """Find the first order with the key."""
        for order in self.service.orders:
            if order["key"] == argument:
                return 200, order
        return 404, {"error": f"no order with key {argument}"}


class StockHandler(PlainHandler):
    """``GET /stock/{item}``."""

    async def get(self, item: str) -> None:
        """Answer a stock check."""
        await self.answer(item)

    def result(self, argument: str) -> tuple[int, Any]:
        """Return a number that is derived from the item's name."""
        return 200, {"item": argument, "n_in_stock": zlib.crc32(argument.encode()) % 97}


class ReprintHandler(PlainHandler):
    """``GET /reprints/{id}``."""

    async def get(self, reprint: str) -> None:
        """Answer a status lookup."""
        await self.answer(reprint)

    def result(self, argument: str) -> tuple[int, Any]:
        """Return a status that is derived from the reprint's id."""
        states = ("queued", "on press", "packed", "shipped")
        state = states[zlib.crc32(argument.encode()) % len(states)]
        return 200, {"reprint": argument, "status": state}


class HealthHandler(JsonHandler):
    """``GET /health``."""

    def initialize(self, service: PlainService) -> None:
        """Store the service whose requests are handled."""
        self.service = service

    async def get(self) -> None:
        """Report the health that the fault switches select."""
        if self.service.faults.hang:
            await asyncio.get_running_loop().create_future()
        self.set_status(503 if self.service.faults.unhealthy else 200)


class StateHandler(HealthHandler):
    """``GET /_state``: counts and state, for tests."""

    async def get(self) -> None:
        """Return the counts of requests, and the orders and how often each ran."""
        service = self.service
        self.send_json(
            service.counts.report()
            | {
                "orders": service.orders,
                "effects": dict(service.runs_by_key),
                "effects_by_body": dict(service.runs_by_body),
            }
        )


def start_plain_service(
    service_time_s: float = 0.005,
    n_workers: int = 4,
    port: int = 0,
    clock: Clock | None = None,
) -> PlainService:
    """Start a service in the running event loop."""
    workers = asyncio.Semaphore(n_workers)
    service = PlainService(service_time_s, workers, clock or SystemClock())
    shared = {"service": service}
    application = Application(
        [
            (r"/orders", OrdersHandler, shared),
            (r"/orders/([^/]+)", OrderHandler, shared),
            (r"/stock/([^/]+)", StockHandler, shared),
            (r"/reprints/([^/]+)", ReprintHandler, shared),
            (r"/health", HealthHandler, shared),
            (r"/_state", StateHandler, shared),
            (r"/_faults", FaultsHandler, {"faults": service.faults}),
        ],
        log_function=lambda handler: None,
    )
    service.server, service.address = listen(application, port)
    return service


async def _serve() -> None:
    service = start_plain_service(FLAGS.service_time_s, FLAGS.n_workers, FLAGS.port)
    service.counts.open_journal(FLAGS.journal)
    announce(address=service.address)
    await asyncio.get_running_loop().create_future()


def main(argv: Sequence[str]) -> None:
    """Run a service until the process is stopped."""
    parse_flags(FLAGS, argv)
    asyncio.run(_serve())


if __name__ == "__main__":
    main(sys.argv)
