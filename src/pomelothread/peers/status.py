"""HTTP resources that entries and agents have in common."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import tornado.web

from ..metrics import CONTENT_TYPE, Metrics


class NodeStatus(msgspec.Struct, frozen=True):
    """State of a process as ``GET /control/status`` shows it."""

    instance: str
    role: str
    incarnation: str
    state: str
    sheet_version: int
    sheet_digest: str
    n_waiting: int = 0
    n_running: int = 0


@dataclass(frozen=True, slots=True)
class StatusSource:
    """Functions and metrics from which the resources get their content.

    Parameters
    ----------
    status : callable
        Returns the state of the process.
    is_ready : callable
        Returns whether the load balancer may send new work.
    sheet_snapshot : callable
        Returns the sheet in force, encoded for peers, or b"" if there is none.
    metrics : Metrics
        Metrics that ``/metrics`` shows.
    """

    status: Callable[[], NodeStatus]
    is_ready: Callable[[], bool]
    sheet_snapshot: Callable[[], bytes]
    metrics: Metrics


class _Handler(tornado.web.RequestHandler):
    def initialize(self, source: StatusSource) -> None:
        self.source = source


class HealthHandler(_Handler):
    """``GET /healthz``: the process is alive."""

    def get(self) -> None:
        """Answer 200."""
        self.finish("ok\n")


class ReadyHandler(_Handler):
    """``GET /readyz``: the load balancer may send new work."""

    def get(self) -> None:
        """Answer 200 or 503."""
        ready = self.source.is_ready()
        self.set_status(200 if ready else 503)
        self.finish("ready\n" if ready else "not ready\n")


class MetricsHandler(_Handler):
    """``GET /metrics`` in the Prometheus text format."""

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header("Content-Type", CONTENT_TYPE)
        self.finish(self.source.metrics.render())


class StatusHandler(_Handler):
    """``GET /control/status`` as JSON."""

    def get(self) -> None:
        """Answer with the state of the process."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self.source.status()))


class SheetHandler(_Handler):
    """``GET /control/sheet``: the sheet in force, for peers that lack it."""

    def get(self) -> None:
        """Answer with the snapshot, or 404 before a sheet is in force."""
        snapshot = self.source.sheet_snapshot()
        if not snapshot:
            self.set_status(404)
            self.finish()
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(snapshot)


def status_routes(
    source: StatusSource, *, serves_sheet: bool
) -> list[tuple[str, type[tornado.web.RequestHandler], dict[str, StatusSource]]]:
    """Return the routes of the common resources.

    Parameters
    ----------
    source : StatusSource
        Provides the content.
    serves_sheet : bool
        Whether to serve the sheet to peers. Must be False on a port that callers
        can reach, because the sheet names all organisations.

    Returns
    -------
    list of tuple
        Route specifications for `tornado.web.Application`.
    """
    argument = {"source": source}
    routes: list[
        tuple[str, type[tornado.web.RequestHandler], dict[str, StatusSource]]
    ] = [
        (r"/healthz", HealthHandler, argument),
        (r"/readyz", ReadyHandler, argument),
        (r"/metrics", MetricsHandler, argument),
        (r"/control/status", StatusHandler, argument),
    ]
    if serves_sheet:
        routes.append((r"/control/sheet", SheetHandler, argument))
    return routes
