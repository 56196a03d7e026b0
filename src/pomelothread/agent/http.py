"""HTTP resources of an agent: dispatch of requests and lookup of orders."""

from dataclasses import dataclass

import tornado.iostream
import tornado.web

from ..outcomes import NotKnown, NotRun, Reason, Run, problem_response
from ..peers.dispatch import (
    DISPATCH_PATH,
    GRANT_INVALID,
    NOT_DISPATCHED,
    NOT_KNOWN,
    NOT_RUN,
    OUTCOME_HEADER,
    REASON_HEADER,
    RUN,
    Dispatch,
)
from ..peers.node import disable_nagle
from .dispatcher import Dispatcher
from .orders import Orders
from .running import NotDispatched, RunningRequest


@dataclass(slots=True)
class _HandlerSink:
    handler: "DispatchHandler"

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        disable_nagle(self.handler)
        self.handler.start(RUN, "", status, headers)

    async def write(self, chunk: bytes) -> None:
        self.handler.write(chunk)
        try:
            await self.handler.flush()
        except tornado.iostream.StreamClosedError:
            return  # `on_connection_close` tells the dispatcher.

    def finish(self) -> None:
        self.handler.finish()

    def abort(self) -> None:
        self.handler.abort()


class _OutcomeHandler(tornado.web.RequestHandler):
    """Base class of handlers that respond with an outcome."""

    def start(
        self, outcome: str, reason: str, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Set the status and headers of the response."""
        self.set_status(status)
        self.clear_header("Content-Type")
        for name, value in headers:
            self.add_header(name, value)
        self.set_header(OUTCOME_HEADER, outcome)
        if reason:
            self.set_header(REASON_HEADER, reason)

    def respond(self, outcome: Run | NotRun | NotKnown) -> None:
        """Respond with a complete response or with problem details."""
        match outcome:
            case Run(status=status, headers=headers, body=body, replayed=replayed):
                self.start(RUN, "", status, list(headers))
                if replayed:
                    self.set_header("Idempotent-Replayed", "true")
                self.finish(body)
            case NotRun(reason=reason) | NotKnown(reason=reason):
                name = NOT_RUN if isinstance(outcome, NotRun) else NOT_KNOWN
                problem = problem_response(outcome)
                pairs = list(problem.headers.items())
                self.start(name, reason.value[0], problem.status, pairs)
                self.finish(problem.body)


class DispatchHandler(_OutcomeHandler):
    """``POST /dispatch``: run a request on a grant."""

    def initialize(self, dispatcher: Dispatcher) -> None:
        """Keep the dispatcher."""
        self._dispatcher = dispatcher
        self._running: RunningRequest | None = None

    async def post(self) -> None:
        """Dispatch a request, or respond that it was not dispatched."""
        dispatch = Dispatch.from_headers(self.request.headers)
        if dispatch is None:
            self._respond_not_dispatched(GRANT_INVALID)
            return
        outcome = await self._dispatcher.dispatch(
            dispatch,
            self.request.headers,
            self.request.body,
            _HandlerSink(self),
            self._set_running,
        )
        self._running = None
        if self._finished or self.request.connection is None:
            return
        match outcome:
            case NotDispatched(reason=reason):
                self._respond_not_dispatched(reason)
            case Run() | NotRun() | NotKnown():
                self.respond(outcome)
            case None:
                pass

    def on_connection_close(self) -> None:
        """Tell the dispatcher that the entry has disconnected."""
        if self._running is not None:
            self._dispatcher.handle_entry_disconnect(self._running)

    def abort(self) -> None:
        """Close the connection without completing the response."""
        self._finished = True
        self.detach().close()

    def _set_running(self, running: RunningRequest) -> None:
        self._running = running

    def _respond_not_dispatched(self, reason: str) -> None:
        self.start(NOT_DISPATCHED, reason, 409, [])
        self.finish()


class OrderHandler(_OutcomeHandler):
    """``GET /v1/orders/{service}/{key}?organisation=``, for entries."""

    def initialize(self, dispatcher: Dispatcher, orders: Orders) -> None:
        """Keep the dispatcher and the orders."""
        self._dispatcher = dispatcher
        self._orders = orders

    async def get(self, service_name: str, key: str) -> None:
        """Respond with the stored response or the state of the order."""
        service = self._dispatcher.sheet.services.get(service_name)
        if service is None:
            self.respond(NotRun(Reason.UNKNOWN_SERVICE))
            return
        organisation = self.get_query_argument("organisation", "")
        self.respond(await self._orders.lookup(service, key, organisation))


def agent_routes(
    dispatcher: Dispatcher, orders: Orders
) -> list[tuple[str, type[tornado.web.RequestHandler], dict[str, object]]]:
    """Return the routes that entries use.

    Parameters
    ----------
    dispatcher : Dispatcher
        Runs requests.
    orders : Orders
        Looks up outcomes of orders.

    Returns
    -------
    list of tuple
        Route specifications for `tornado.web.Application`.
    """
    return [
        (DISPATCH_PATH, DispatchHandler, {"dispatcher": dispatcher}),
        (
            r"/v1/orders/([^/]+)/([^/]+)",
            OrderHandler,
            {"dispatcher": dispatcher, "orders": orders},
        ),
    ]
