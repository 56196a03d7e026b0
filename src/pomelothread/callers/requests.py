"""Validates the requests of callers and prepares them for the scheduler."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from ..operators.sheet import (
    KIND_MODEL,
    KIND_PLAIN,
    REPEAT_NEVER,
    Organisation,
    Service,
    Sheet,
)
from ..outcomes import NotRun, Reason

MAX_KEY_LENGTH = 255
# Assumed number of bytes of JSON per prompt token; used for estimates only.
BYTES_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A valid request, ready to be scheduled.

    Parameters
    ----------
    service : Service
        Requested service, from the sheet in force.
    organisation : Organisation
        Organisation of the caller.
    method, path : str
        Method and path of the request to the upstream; `path` starts with a slash.
    content_type : str
        Content type of the body.
    body : bytes
        Body of the request to the upstream.
    is_streamed : bool
        Whether the caller asked for server-sent events.
    key : str
        The caller's ``Idempotency-Key``, or "".
    n_input_tokens, n_output_tokens : int
        Estimates for scheduling.
    deadline_s : float
        Seconds from now after which the caller no longer needs the response.
    prompt : str
        Text for matching with prefix caches, or "".
    """

    service: Service
    organisation: Organisation
    method: str
    path: str
    content_type: str
    body: bytes
    is_streamed: bool
    key: str
    n_input_tokens: int
    n_output_tokens: int
    deadline_s: float
    prompt: str = ""

    @property
    def never_repeated(self) -> bool:
        """Whether the request is an order that must not run twice."""
        return self.service.repeat == REPEAT_NEVER


class ResponseSink(Protocol):
    """Destination to which the scheduler writes a response, chunk by chunk."""

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send part of the body, waiting while the caller reads slowly."""
        ...

    def finish(self) -> None:
        """End a response that was sent completely."""
        ...

    def abort(self, error_event: bytes) -> None:
        """Send a last event and close the connection before the end of the body."""
        ...


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list[msgspec.Raw] | None = None


class _ChatRequest(msgspec.Struct):
    model: str
    messages: list[_ChatMessage]
    stream: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None


_chat_decoder = msgspec.json.Decoder(_ChatRequest)
_members_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


def index_by_token(sheet: Sheet) -> dict[str, Organisation]:
    """Index the organisations of a sheet by the SHA-256 of their token."""
    return {
        organisation.token_sha256: organisation
        for organisation in sheet.organisations.values()
    }


def find_organisation(
    by_token: Mapping[str, Organisation], authorization: str
) -> Result[Organisation, NotRun]:
    """Identify the organisation of a bearer token.

    Parameters
    ----------
    by_token : mapping of str to Organisation
        As returned by `index_by_token`.
    authorization : str
        Value of the ``Authorization`` header, or "".

    Returns
    -------
    Result of Organisation or NotRun
        The organisation; a failure reveals nothing about known tokens.
    """
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token:
        detail = "Send 'Authorization: Bearer <token>' with your organisation's token."
        return Failure(NotRun(Reason.UNAUTHORISED, detail))
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    organisation = by_token.get(digest)
    if organisation is not None:
        return Success(organisation)
    detail = "The token belongs to no organisation of the planning sheet."
    return Failure(NotRun(Reason.UNAUTHORISED, detail))


def parse_chat_request(
    sheet: Sheet,
    organisation: Organisation,
    body: bytes,
    key: str,
    wait_s: float | None,
) -> Result[CallerRequest, NotRun]:
    """Check a chat completions request and prepare it for an engine.

    Parameters
    ----------
    sheet : Sheet
        The sheet in force.
    organisation : Organisation
        Organisation of the caller.
    body : bytes
        JSON as the caller sent it; its ``model`` names the service.
    key : str
        ``Idempotency-Key`` or "".
    wait_s : float or None
        How long the caller is willing to wait; None if it did not say.

    Returns
    -------
    Result of CallerRequest or NotRun
        The request. In its body ``model`` is replaced, and the values of all other
        members are unchanged.
    """
    try:
        chat = _chat_decoder.decode(body)
        members = _members_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        detail = f"The body is not a chat completions request: {error}."
        return Failure(NotRun(Reason.MALFORMED_BODY, detail))
    service = sheet.services.get(chat.model)
    if service is None or service.kind != KIND_MODEL:
        names = ", ".join(
            sorted(s.name for s in sheet.services.values() if s.kind == KIND_MODEL)
        )
        detail = f"'model' names no service; known ones are: {names}."
        return Failure(NotRun(Reason.UNKNOWN_SERVICE, detail))
    fault = _check_size_and_key(service, body, key)
    if fault is not None:
        return Failure(fault)
    n_output_tokens = chat.max_completion_tokens or chat.max_tokens
    if n_output_tokens is not None and n_output_tokens < 1:
        detail = f"max_tokens is {n_output_tokens}; expected at least 1."
        return Failure(NotRun(Reason.MALFORMED_BODY, detail))
    members["model"] = msgspec.Raw(msgspec.json.encode(service.model))
    n_choices = max(1, chat.n or 1)
    return Success(
        CallerRequest(
            service=service,
            organisation=organisation,
            method="POST",
            path="/v1/chat/completions",
            content_type="application/json",
            body=msgspec.json.encode(members),
            is_streamed=bool(chat.stream),
            key=key,
            n_input_tokens=max(1, len(body) // BYTES_PER_TOKEN),
            n_output_tokens=n_choices
            * min(
                n_output_tokens or service.max_output_tokens, service.max_output_tokens
            ),
            deadline_s=_deadline_s(service, wait_s),
            prompt="\n".join(
                message.content
                for message in chat.messages
                if isinstance(message.content, str)
            ),
        )
    )


def parse_plain_request(
    sheet: Sheet,
    organisation: Organisation,
    service_name: str,
    method: str,
    rest: str,
    content_type: str,
    body: bytes,
    key: str,
    wait_s: float | None,
) -> Result[CallerRequest, NotRun]:
    """Check a request to a plain service.

    Parameters
    ----------
    sheet : Sheet
        The sheet in force.
    organisation : Organisation
        Organisation of the caller.
    service_name : str
        Name of the service in the caller's URL.
    method : str
        HTTP method.
    rest : str
        Remainder of the URL after the service, with the query, or "".
    content_type : str
        Content type of the body.
    body : bytes
        Body of the request, which is passed on unchanged.
    key : str
        ``Idempotency-Key`` or "".
    wait_s : float or None
        How long the caller is willing to wait; None if it did not say.

    Returns
    -------
    Result of CallerRequest or NotRun
        The request. Its path is the service's path at the upstream, followed by
        `rest`.
    """
    service = sheet.services.get(service_name)
    if service is None or service.kind != KIND_PLAIN:
        detail = f"The planning sheet has no plain service named {service_name!r}."
        return Failure(NotRun(Reason.UNKNOWN_SERVICE, detail))
    if ".." in rest.split("?")[0].split("/"):
        detail = "The path must not contain '..'."
        return Failure(NotRun(Reason.MALFORMED_BODY, detail))
    if service.repeat == REPEAT_NEVER and method != "POST":
        detail = f"{service_name!r} accepts POST only; got {method}."
        return Failure(NotRun(Reason.METHOD_NOT_ALLOWED, detail))
    fault = _check_size_and_key(service, body, key)
    if fault is not None:
        return Failure(fault)
    separator = "/" if rest and not rest.startswith("?") else ""
    return Success(
        CallerRequest(
            service=service,
            organisation=organisation,
            method=method,
            path=service.path.rstrip("/") + separator + rest,
            content_type=content_type,
            body=body,
            is_streamed=False,
            key=key,
            n_input_tokens=0,
            n_output_tokens=0,
            deadline_s=_deadline_s(service, wait_s),
        )
    )


def parse_wait_s(prefer: str) -> float | None:
    """Read the ``wait`` preference of RFC 7240.

    Parameters
    ----------
    prefer : str
        Value of the ``Prefer`` header, or "".

    Returns
    -------
    float or None
        Seconds; None if the preference is missing or malformed. The RFC says that
        a malformed preference is ignored.

    Examples
    --------
    >>> parse_wait_s("respond-async, wait=10")
    10.0
    """
    for preference in prefer.replace(";", ",").split(","):
        name, _, value = preference.strip().partition("=")
        if name.lower() == "wait" and value.strip().isdecimal():
            return float(value)
    return None


def _deadline_s(service: Service, wait_s: float | None) -> float:
    if wait_s is None:
        return service.deadline_s
    return min(service.deadline_s, wait_s)


def _check_size_and_key(service: Service, body: bytes, key: str) -> NotRun | None:
    if len(body) > service.max_body_bytes:
        detail = (
            f"The body has {len(body)} bytes; {service.name!r} accepts"
            f" {service.max_body_bytes}."
        )
        return NotRun(Reason.BODY_TOO_LARGE, detail)
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        detail = (
            f"Idempotency-Key must be at most {MAX_KEY_LENGTH} printable characters."
        )
        return NotRun(Reason.MALFORMED_BODY, detail)
    if service.repeat == REPEAT_NEVER and not key:
        detail = (
            f"{service.name!r} must not run twice; send an Idempotency-Key header"
            " that stays the same when you retry."
        )
        return NotRun(Reason.MISSING_KEY, detail)
    return None
