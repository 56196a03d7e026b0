"""Shared parts of the stand-in services: fault switches, counts and listening."""

import asyncio
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Sequence
from dataclasses import asdict, dataclass, field, fields
from typing import Any

import msgspec
from absl import flags
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

REQUEST_ID_HEADER = "X-Request-Id"

# Faults that apply to single requests; `times` limits how many.
REQUEST_FAULTS = (
    "stall_after_tokens",
    "close_before_answer",
    "close_after_effect",
    "cut_after_chunks",
    "duplicate_chunks",
    "hang",
    "times",
)


@dataclass(slots=True)
class Faults:
    """Faults that can be switched at run time by ``POST /_faults``.

    Parameters
    ----------
    slow_factor : float
        Multiplies every duration.
    stall_after_tokens : int or None
        A stream stalls after this many tokens, with the connection open.
    close_before_answer : bool
        The connection is closed without a response, and nothing runs.
    close_after_effect : bool
        The request runs, then the connection is closed without a response.
    cut_after_chunks : int or None
        The connection is closed after this many chunks of the response.
    duplicate_chunks : bool
        Every chunk is sent twice.
    crash_on_text : str
        The process exits when a request that contains this text starts to run.
    unhealthy : bool
        ``/health`` answers 503.
    hang : bool
        Requests are accepted and never answered.
    metrics_lag_s : float
        Age of the metrics page.
    metrics_malformed : bool
        The metrics page is not valid Prometheus text.
    event_lag_s : float
        Delay before a cache event batch is published.
    n_events_dropped : int
        Number of following cache event batches that are dropped.
    times : int or None
        `REQUEST_FAULTS` apply to this many requests and are then reset; None
        for all requests.
    """

    slow_factor: float = 1.0
    stall_after_tokens: int | None = None
    close_before_answer: bool = False
    close_after_effect: bool = False
    cut_after_chunks: int | None = None
    duplicate_chunks: bool = False
    crash_on_text: str = ""
    unhealthy: bool = False
    hang: bool = False
    metrics_lag_s: float = 0.0
    metrics_malformed: bool = False
    event_lag_s: float = 0.0
    n_events_dropped: int = 0
    times: int | None = None

    def change(self, values: dict[str, Any]) -> None:
        """Set some switches; an unknown name raises a ValueError."""
        known = {switch.name for switch in fields(self)}
        unknown = sorted(set(values) - known)
        if unknown:
            raise ValueError(f"unknown faults {unknown}; known are {sorted(known)}")
        for name, value in values.items():
            setattr(self, name, value)

    def take_for_request(self) -> "Faults":
        """Return the faults of one new request, and count it against `times`.

        With `times`, they are a copy that stays as it is. Otherwise they are the live
        switches, so that a later change also affects the running request.
        """
        if self.times is None:
            return self
        current = Faults(**(asdict(self) | {"times": None}))
        self.times -= 1
        if self.times <= 0:
            self.change({name: getattr(Faults(), name) for name in REQUEST_FAULTS})
        return current


@dataclass(slots=True)
class Counts:
    """Counts of the requests that a stand-in received, for tests.

    With a journal, each request is also appended to a file before it is processed, so
    that the counts survive if the process is killed.
    """

    received: Counter[str] = field(default_factory=Counter)
    n_received: int = 0
    n_running: int = 0
    n_running_max: int = 0
    n_completed: int = 0
    n_cancelled: int = 0
    cancelled_ids: list[str] = field(default_factory=list)
    journal_fd: int | None = None

    def open_journal(self, path: str) -> None:
        """Append received requests to a file as JSON lines; "" for no journal."""
        if path:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self.journal_fd = os.open(path, flags, 0o600)

    def write_journal(self, **values: Any) -> None:
        """Append one line to the journal, if there is one."""
        if self.journal_fd is not None:
            line = json.dumps({"at_s": time.time(), **values}) + "\n"
            os.write(self.journal_fd, line.encode())

    def start(self, request_id: str) -> None:
        """Count a received request."""
        self.n_received += 1
        self.received[request_id] += 1
        self.n_running += 1
        self.n_running_max = max(self.n_running_max, self.n_running)

    def end(self, request_id: str, cancelled: bool) -> None:
        """Count the end of a received request."""
        self.n_running -= 1
        if not cancelled:
            self.n_completed += 1
            return
        self.n_cancelled += 1
        self.cancelled_ids.append(request_id)

    def report(self) -> dict[str, Any]:
        """Return the counts for ``/_state``."""
        return {
            "n_received": self.n_received,
            "n_running": self.n_running,
            "n_running_max": self.n_running_max,
            "n_completed": self.n_completed,
            "n_cancelled": self.n_cancelled,
            "cancelled_ids": self.cancelled_ids,
            "received": dict(self.received),
            "duplicates": {
                request_id: count
                for request_id, count in self.received.items()
                if count > 1 and request_id
            },
        }


class JsonHandler(RequestHandler):
    """Request handler with JSON bodies, without Tornado's HTML error pages."""

    def send_json(self, value: Any, status: int = 200) -> None:
        """Answer with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def send_error_text(self, status: int, text: str) -> None:
        """Answer with an error body in the form of OpenAI's API."""
        self.send_json({"error": {"message": text, "code": status}}, status)

    def json_body(self) -> Any:
        """Return the decoded body, or None if it is malformed."""
        try:
            return msgspec.json.decode(self.request.body)
        except msgspec.DecodeError:
            return None

    def drop_connection(self) -> None:
        """Close the connection without sending anything more."""
        if not self._finished:
            self.detach().close()


class CountedHandler(JsonHandler):
    """Base of the handlers whose requests are counted and subject to faults."""

    def initialize(self, counts: Counts, faults: Faults) -> None:
        """Keep the shared counts and fault switches."""
        self.counts = counts
        self.request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        self.faults = faults
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def prepare(self) -> None:
        """Count the request and take its faults, a copy or the live switches."""
        self.faults = self.faults.take_for_request()
        self.counts.start(self.request_id)
        self.counts.write_journal(
            event="received",
            request_id=self.request_id,
            method=self.request.method,
            path=self.request.path,
            key=self.request.headers.get("Idempotency-Key", ""),
            body=self.request.body.decode("utf-8", "replace"),
        )

    def on_connection_close(self) -> None:
        """Tell the running request that its caller has disconnected."""
        if not self.closed.done():
            self.closed.set_result(None)

    def drop_connection(self) -> None:
        """Close the connection; the running request ends as cancelled."""
        super().drop_connection()
        self.on_connection_close()

    async def finishes_before_close(self, work: Awaitable[Any]) -> bool:
        """Await `work`; return False if the caller's connection closed first."""
        task = asyncio.ensure_future(work)
        await asyncio.wait((task, self.closed), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
            return True
        task.cancel()
        return False


class FaultsHandler(JsonHandler):
    """``/_faults``: POST changes switches, DELETE resets them."""

    def initialize(self, faults: Faults) -> None:
        """Keep the switches."""
        self.faults = faults

    def get(self) -> None:
        """Show the switches."""
        self.send_json(asdict(self.faults))

    def post(self) -> None:
        """Change some switches."""
        try:
            self.faults.change(self.json_body() or {})
        except ValueError as error:
            self.send_error_text(400, str(error))
            return
        self.send_json(asdict(self.faults))

    def delete(self) -> None:
        """Reset every switch."""
        self.faults.change(asdict(Faults()))
        self.send_json(asdict(self.faults))


def listen(application: Application, port: int) -> tuple[HTTPServer, str]:
    """Serve on the loopback address.

    Parameters
    ----------
    application : tornado.web.Application
        What to serve.
    port : int
        Port, or 0 for any free one.

    Returns
    -------
    tuple of (tornado.httpserver.HTTPServer, str)
        The server and its ``ip:port``.
    """
    sockets = bind_sockets(port, "127.0.0.1")
    # Reject oversized bodies, which Tornado's default of 100 MiB would accept.
    server = HTTPServer(application, max_body_size=16 * 1024 * 1024)
    server.add_sockets(sockets)
    host, bound_port = sockets[0].getsockname()[:2]
    return server, f"{host}:{bound_port}"


def announce(**values: Any) -> None:
    """Print the addresses of this process as one JSON line for its parent."""
    sys.stdout.write(json.dumps(values) + "\n")
    sys.stdout.flush()


def parse_flags(values: flags.FlagValues, argv: Sequence[str]) -> None:
    """Parse the command line; invalid arguments end the process with status 2."""
    try:
        values(list(argv))
    except flags.Error as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(2)
