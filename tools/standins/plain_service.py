"""Stand-in for the press desk, the ledger and the stock: HTTP with JSON.

``POST /orders`` runs an order and keeps it under the Idempotency-Key that it
receives, without refusing a repeated one, so that a test can count runs.
``GET /orders/{key}``, ``GET /stock/{item}`` and ``GET /reprints/{id}`` look up.
"""

import asyncio
import os
import sys
from collections import Counter
from typing import Any

from absl import flags
from tornado.web import Application

from standins.serving import (
    CountedHandler,
    Counts,
    Faults,
    FaultsHandler,
    JsonHandler,
    announce,
    listen,
    parse_flags,
)

_flags = flags.FlagValues()
flags.DEFINE_integer("port", 0, "Port; 0 for any.", flag_values=_flags)
flags.DEFINE_float("service_time_s", 0.005, "Time for one request.", flag_values=_flags)


class Ledger:
    """All orders that have run."""

    def __init__(self, service_time_s: float) -> None:
        self.service_time_s = service_time_s
        self.runs: Counter[str] = Counter()
        self.runs_by_body: Counter[str] = Counter()
        self.answers: dict[str, Any] = {}


class PlainHandler(CountedHandler):
    """Base of the handlers with a service time and faults."""

    def initialize(  # type: ignore[override]
        self, counts: Counts, faults: Faults, ledger: Ledger
    ) -> None:
        """Keep the shared state."""
        super().initialize(counts, faults)
        self.ledger = ledger

    async def serve(self, answer: Any, effect: Any = None) -> None:
        """Answer after the service time, subject to the faults."""
        cancelled = True
        try:
            if self.faults.close_before_answer:
                self.drop_connection()
                return
            text = self.request.body.decode(errors="replace")
            if self.faults.crash_on_text and self.faults.crash_on_text in text:
                os._exit(1)
            if self.faults.hang:
                await self.closed
                return
            # A plain service does not stop when its caller leaves.
            await asyncio.sleep(self.ledger.service_time_s * self.faults.slow_factor)
            if effect is not None:
                effect()
            if self.faults.close_after_effect:
                self.drop_connection()
                return
            cancelled = False
            if not self.closed.done():
                self.send_json(answer)
        finally:
            self.counts.end(self.request_id, cancelled)


class OrdersHandler(PlainHandler):
    """``POST /orders``."""

    async def post(self) -> None:
        """Run an order."""
        key = self.request.headers.get("Idempotency-Key", "")
        body = self.request.body.decode(errors="replace")
        answer = {"order": key, "body": body, "state": "accepted"}

        def run() -> None:
            self.ledger.runs[key] += 1
            self.ledger.runs_by_body[body] += 1
            self.ledger.answers[key] = answer

        await self.serve(answer, run)


class LookupHandler(JsonHandler):
    """``GET /orders/{key}``."""

    def initialize(self, ledger: Ledger) -> None:
        """Keep the ledger."""
        self.ledger = ledger

    def get(self, key: str) -> None:
        """Answer with the order, or 404."""
        answer = self.ledger.answers.get(key)
        if answer is None:
            self.send_error_text(404, "no such order")
            return
        self.send_json(answer)


class ItemHandler(PlainHandler):
    """``GET /stock/{item}`` and ``GET /reprints/{id}``."""

    async def get(self, item: str) -> None:
        """Answer a lookup."""
        await self.serve({"item": item, "n_available": len(item)})


class StateHandler(JsonHandler):
    """``GET /_state``."""

    def initialize(self, counts: Counts, ledger: Ledger) -> None:
        """Keep the shared state."""
        self.counts = counts
        self.ledger = ledger

    def get(self) -> None:
        """Show the counts."""
        state = self.counts.report()
        state["effects"] = dict(self.ledger.runs)
        state["effects_by_body"] = dict(self.ledger.runs_by_body)
        self.send_json(state)


class HealthHandler(JsonHandler):
    """``GET /health``."""

    def initialize(self, faults: Faults) -> None:
        """Keep the faults."""
        self.faults = faults

    def get(self) -> None:
        """Answer 200 or 503."""
        self.send_json({}, 503 if self.faults.unhealthy else 200)


async def _main(port: int, service_time_s: float) -> None:
    counts, faults, ledger = Counts(), Faults(), Ledger(service_time_s)
    shared = {"counts": counts, "faults": faults, "ledger": ledger}
    application = Application(
        [
            (r"/orders", OrdersHandler, shared),
            (r"/orders/(.+)", LookupHandler, {"ledger": ledger}),
            (r"/stock/(.+)", ItemHandler, shared),
            (r"/reprints/(.+)", ItemHandler, shared),
            (r"/health", HealthHandler, {"faults": faults}),
            (r"/_faults", FaultsHandler, {"faults": faults}),
            (r"/_state", StateHandler, {"counts": counts, "ledger": ledger}),
        ],
        log_function=lambda handler: None,
    )
    _, address = listen(application, port)
    announce(address=address)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parse_flags(_flags, sys.argv)
    asyncio.run(_main(_flags.port, _flags.service_time_s))
