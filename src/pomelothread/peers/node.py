"""Startup and shutdown code shared by entries and agents."""

import asyncio
import logging
import secrets
import signal
import sys
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web

from ..clock import Clock
from ..events import Event, log_event
from ..metrics import Metrics
from .control import ControlChannel
from .http_exchange import ExchangeClient

_logger = logging.getLogger(__name__)

# Limit for request bodies between entries and agents; callers' limits are lower.
MAX_BODY_BYTES = 64 * 1024 * 1024


def new_incarnation() -> str:
    """Return 64 random bits as text, different at each start of a process."""
    return secrets.token_hex(8)


def listen_http(
    routes: list[Any], address: str
) -> tuple[tornado.httpserver.HTTPServer, str]:
    """Start an HTTP server.

    The socket is bound without SO_REUSEPORT, so the kernel lets only one process
    listen on an address. For agents this ensures one process per slot.

    Parameters
    ----------
    routes : list
        Route specifications for `tornado.web.Application`.
    address : str
        ``ip:port``; port 0 lets the kernel choose.

    Returns
    -------
    (HTTPServer, str)
        The server and the address on which it listens.
    """
    host, _, port = address.rpartition(":")
    sockets = tornado.netutil.bind_sockets(int(port), host.strip("[]"))
    application = tornado.web.Application(routes, log_function=lambda handler: None)
    server = tornado.httpserver.HTTPServer(
        application, max_body_size=MAX_BODY_BYTES, xheaders=False
    )
    server.add_sockets(sockets)
    return server, f"{host}:{sockets[0].getsockname()[1]}"


def disable_nagle(handler: tornado.web.RequestHandler) -> None:
    """Disable Nagle's algorithm for the response of a handler.

    Tornado does so only at the end of a response. Until then each token would
    wait up to 40 ms for the acknowledgement of the previous one.

    Parameters
    ----------
    handler : RequestHandler
        Handler that is about to stream its response.
    """
    stream = getattr(handler.request.connection, "stream", None)
    if stream is not None:
        stream.set_nodelay(True)


def print_addresses(http_address: str, control_address: str) -> None:
    """Print the addresses as one JSON line, for the parent process."""
    line = {"http_address": http_address, "control_address": control_address}
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, event.set)
    return event


def log_list_outage(clock: Clock) -> Callable[[str], None]:
    """Return a callback that logs when instance list outages start and end.

    Parameters
    ----------
    clock : Clock
        Measures the duration of an outage.

    Returns
    -------
    callable
        The `on_outage` of `pomelothread.instance_list.client.follow_instances`.
    """
    outage_started_s = 0.0

    def log(fault: str) -> None:
        nonlocal outage_started_s
        if fault:
            outage_started_s = clock.monotonic_s()
            log_event(_logger, Event.LIST_UNREACHABLE, detail=fault)
            return
        outage_s = round(clock.monotonic_s() - outage_started_s, 1)
        log_event(_logger, Event.LIST_BACK, outage_s=outage_s)

    return log


class LongRunningTasks:
    """The long-running tasks of a process.

    These tasks run until they are cancelled. If one ends by itself, an invariant
    is broken and the process stops, since only a part of it would keep working.

    Parameters
    ----------
    on_failure : callable
        Called after a task has ended by itself.
    """

    __slots__ = ("_on_failure", "_tasks", "failed")

    def __init__(self, on_failure: Callable[[], None]) -> None:
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()
        self.failed = False

    def start(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task with a name for the log."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks, self._tasks = self._tasks, set()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task not in self._tasks:
            return
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        log_event(
            _logger,
            Event.INVARIANT_BROKEN,
            detail=f"task {task.get_name()} ended unexpectedly",
            exc_info=error,
        )
        self.failed = True
        self._on_failure()


async def close_process(
    server: tornado.httpserver.HTTPServer,
    tasks: LongRunningTasks,
    client: ExchangeClient,
    channel: ControlChannel,
) -> None:
    """Close all resources of a process, after it has drained.

    Parameters
    ----------
    server : HTTPServer
        Closed first, so that no new requests arrive.
    tasks : LongRunningTasks
        Cancelled before the client and the channel that they use are closed.
    client : ExchangeClient
        Client for requests to other processes.
    channel : ControlChannel
        Channel for control messages to other processes.
    """
    server.stop()
    await server.close_all_connections()
    await tasks.cancel()
    client.close()
    channel.close()


def add_gauges(metrics: Metrics, gauges: Mapping[str, Callable[[], float]]) -> None:
    """Add gauges whose values are read when the metrics are collected.

    Parameters
    ----------
    metrics : Metrics
        The metrics to which the gauges are added.
    gauges : mapping of str to callable
        Functions that return the values, by name of the gauge. The help text is
        the name with spaces for underscores.
    """
    for name, read in gauges.items():
        help_text = f"{name.replace('_', ' ')}.".capitalize()
        metrics.gauge(name, help_text).labels().set_function(read)
