"""HTTP handlers of the entry: OpenAI chat completions and plain services."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec
import tornado.httputil
import tornado.iostream
import tornado.web
from returns.pipeline import is_successful

from ..operators.sheet import KIND_MODEL, Organisation, Sheet
from ..outcomes import (
    NotKnown,
    NotRun,
    ProblemResponse,
    Reason,
    Run,
    problem_response,
)
from ..peers.node import disable_nagle
from .requests import (
    CallerRequest,
    ResponseSink,
    find_organisation,
    parse_chat_request,
    parse_plain_request,
    parse_wait_s,
)

# Limit for all services. A body with a larger Content-Length is refused before it is
# read; one without Content-Length is cut to at most this size (see `data_received`).
MAX_BODY_BYTES = 16 * 1024 * 1024


class Scheduler(Protocol):
    """Interface of the entry that the handlers use."""

    @property
    def sheet(self) -> Sheet:
        """The sheet in force."""
        ...

    @property
    def organisations_by_token(self) -> Mapping[str, Organisation]:
        """Organisations by the SHA-256 of their token."""
        ...

    async def serve(
        self, request: CallerRequest, headers: Mapping[str, str], sink: ResponseSink
    ) -> NotRun | NotKnown | None:
        """Run a request; return None if the response was written to the sink."""
        ...

    async def order_outcome(
        self, organisation: Organisation, service: str, key: str
    ) -> Run | NotRun | NotKnown:
        """Look up the outcome of an order."""
        ...

    def handle_caller_disconnect(self, request: CallerRequest) -> None:
        """Record that the caller of a request closed its connection."""
        ...


@dataclass(slots=True)
class _HandlerSink:
    """Writes a response through a tornado handler."""

    handler: "CallerHandler"

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        disable_nagle(self.handler)
        self.handler.set_status(status)
        self.handler.clear_header("Content-Type")
        for name, value in headers:
            self.handler.add_header(name, value)

    async def write(self, chunk: bytes) -> None:
        self.handler.write(chunk)
        await self.handler.flush()

    def finish(self) -> None:
        self.handler.finish()

    def abort(self, error_event: bytes) -> None:
        # Closing without the last chunk of the chunked encoding tells every
        # HTTP client that the response is incomplete.
        self.handler.abort_response(error_event)


@tornado.web.stream_request_body
class CallerHandler(tornado.web.RequestHandler):
    """Base of the handlers: authentication, request body and problem details."""

    def initialize(self, scheduler: Scheduler) -> None:
        """Store the scheduler that runs the requests."""
        self._scheduler = scheduler
        self._chunks: list[bytes] = []
        self._n_body_bytes = 0
        self._serving: asyncio.Task[None] | None = None
        self._caller_request: CallerRequest | None = None

    def prepare(self) -> None:
        """Refuse a body with an oversized Content-Length before it is read."""
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > MAX_BODY_BYTES:
            detail = f"The body has {length} bytes; at most {MAX_BODY_BYTES} are read."
            self.send_outcome(NotRun(Reason.BODY_TOO_LARGE, detail))
            # Lifts tornado's own limit, so that it discards the rest of the body
            # instead of failing while the response is sent.
            self.request.connection.set_max_body_size(2**62)  # type: ignore[union-attr]

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the limit.

        A body without Content-Length may be longer. The chunk that exceeds the limit
        and all later ones are dropped, and the request is handled with what precedes
        them.
        """
        self._n_body_bytes += len(chunk)
        if self._n_body_bytes <= MAX_BODY_BYTES:
            self._chunks.append(chunk)

    def body(self) -> bytes:
        """Return the body as the caller sent it."""
        return b"".join(self._chunks)

    def on_connection_close(self) -> None:
        """Tell the scheduler that the caller has disconnected."""
        if self._caller_request is not None:
            self._scheduler.handle_caller_disconnect(self._caller_request)

    def authenticate(self) -> Organisation | None:
        """Return the caller's organisation, or respond that it is unknown."""
        result = find_organisation(
            self._scheduler.organisations_by_token,
            self.request.headers.get("Authorization", ""),
        )
        if is_successful(result):
            return result.unwrap()
        self.send_outcome(result.failure())
        return None

    def send_outcome(self, outcome: NotRun | NotKnown) -> None:
        """Respond with problem details, unless a response was sent already."""
        if self._finished:
            return
        self.send_problem(problem_response(outcome))

    def send_problem(self, problem: ProblemResponse) -> None:
        """Respond with encoded problem details."""
        self.set_status(problem.status)
        for name, value in problem.headers.items():
            self.set_header(name, value)
        self.finish(problem.body)

    def abort_response(self, error_event: bytes) -> None:
        """Write a last event and close the connection before the end of the body."""
        if error_event:
            self.write(error_event)
            self.flush()
        self._finished = True
        self.detach().close()

    async def run(self, request: CallerRequest) -> None:
        """Schedule a valid request and respond with its outcome."""
        self._caller_request = request
        outcome = await self._scheduler.serve(
            request, self.request.headers, _HandlerSink(self)
        )
        self._caller_request = None
        if outcome is not None:
            self.send_outcome(outcome)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Respond with problem details to errors that tornado has detected."""
        match status_code:
            case 404:
                outcome = NotRun(Reason.UNKNOWN_RESOURCE, "No such resource.")
            case 405:
                outcome = NotRun(
                    Reason.METHOD_NOT_ALLOWED, f"{self.request.method} is not allowed."
                )
            case _:
                outcome = NotRun(Reason.MALFORMED_BODY, "The request is malformed.")
        if status_code < 500:
            self.send_outcome(outcome)
            return
        # After an internal error, a dispatched request may still be running.
        self.send_outcome(NotKnown(Reason.ANSWER_LOST, "The entry failed."))


class ChatCompletionsHandler(CallerHandler):
    """``POST /v1/chat/completions``; ``model`` names the service."""

    async def post(self) -> None:
        """Run one completion."""
        organisation = self.authenticate()
        if organisation is None:
            return
        result = parse_chat_request(
            self._scheduler.sheet,
            organisation,
            self.body(),
            self.request.headers.get("Idempotency-Key", ""),
            parse_wait_s(self.request.headers.get("Prefer", "")),
        )
        if not is_successful(result):
            self.send_outcome(result.failure())
            return
        await self.run(result.unwrap())


class PlainServiceHandler(CallerHandler):
    """``/services/{service}/{path}``: a request to a plain service.

    The methods are GET, POST, PUT, PATCH and DELETE.
    """

    async def get(self, service: str, subpath: str | None = None) -> None:
        """Run one request to a plain service."""
        organisation = self.authenticate()
        if organisation is None:
            return
        path = subpath or ""
        if self.request.query:
            path += f"?{self.request.query}"
        result = parse_plain_request(
            self._scheduler.sheet,
            organisation,
            service,
            self.request.method or "GET",
            path,
            self.request.headers.get("Content-Type", ""),
            self.body(),
            self.request.headers.get("Idempotency-Key", ""),
            parse_wait_s(self.request.headers.get("Prefer", "")),
        )
        if not is_successful(result):
            self.send_outcome(result.failure())
            return
        await self.run(result.unwrap())

    post = get
    put = get
    patch = get
    delete = get


class ModelsHandler(CallerHandler):
    """``GET /v1/models``: the services that chat completions can name."""

    def get(self) -> None:
        """List the model services in OpenAI's format."""
        if self.authenticate() is None:
            return
        services = self._scheduler.sheet.services.values()
        data = [
            {"id": service.name, "object": "model", "owned_by": service.pool}
            for service in services
            if service.kind == KIND_MODEL
        ]
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode({"object": "list", "data": data}))


class OrderHandler(CallerHandler):
    """``GET /v1/orders/{service}/{key}``: the outcome of an order."""

    async def get(self, service: str, key: str) -> None:
        """Respond with the stored response or the state of the order."""
        organisation = self.authenticate()
        if organisation is None:
            return
        outcome = await self._scheduler.order_outcome(organisation, service, key)
        match outcome:
            case Run(status=status, headers=headers, body=body):
                self.set_status(status)
                for name, value in headers:
                    self.set_header(name, value)
                self.set_header("Idempotent-Replayed", "true")
                self.finish(body)
            case NotRun() | NotKnown():
                self.send_outcome(outcome)


class UnknownResourceHandler(CallerHandler):
    """Any other path."""

    def prepare(self) -> None:
        """Respond with 404 before the body is read."""
        detail = f"There is no resource {self.request.path!r}."
        self.send_outcome(NotRun(Reason.UNKNOWN_RESOURCE, detail))


def caller_routes(
    scheduler: Scheduler,
) -> list[tuple[str, type[tornado.web.RequestHandler], dict[str, Scheduler]]]:
    """Return the routes of the HTTP interface for callers.

    Parameters
    ----------
    scheduler : Scheduler
        Runs the requests.

    Returns
    -------
    list of tuple
        Route specifications for `tornado.web.Application`. The last one
        matches every path, so other routes have to come before these.
    """
    argument = {"scheduler": scheduler}
    return [
        (r"/v1/chat/completions", ChatCompletionsHandler, argument),
        (r"/v1/models", ModelsHandler, argument),
        (r"/v1/orders/([^/]+)/([^/]+)", OrderHandler, argument),
        (r"/services/([^/]+)(?:/(.*))?", PlainServiceHandler, argument),
        (r".*", UnknownResourceHandler, argument),
    ]
