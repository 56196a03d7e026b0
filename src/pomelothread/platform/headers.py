"""Translates the platform's HTTP headers to and from the gateway's types."""

import msgspec

from ..gateway.dialect import MAX_TOKENS, CallerFacts, NoStart, ResponseFacts
from ..http1.messages import (
    Headers,
    Request,
    ResponseHead,
    end_to_end,
    header,
    header_values,
    parse_event_id,
    parse_number,
    parse_number_pair,
    parse_sized_ids,
    sole_value,
)
from ..outcomes import NotKnown, NotRun, Reason, problem_response
from ..undecodable import UNDECODABLE
from .records import UnixTimeMs

_REQUEST_ID = b"x-attempt-id"
_DEADLINE = b"x-deadline-ms"
_KEY = b"api-key"
_ORGANISATION = b"x-tenant"
# Prompt tokens and maximum output tokens, separated by a comma.
_TOKENS = b"x-token-usage"
# Parts of the prompt in order, as ID:TOKENS entries separated by commas.
_PROMPT_PARTS = b"x-prompt-prefix"
_LAST_EVENT_ID = b"last-event-id"
# Id of the attempt that brought the first event of a stream.
_FIRST_ATTEMPT = b"resumes"
_EXPECTED_UPSTREAM = b"x-expect-instance"
# Set by an upstream that has not run the request.
_NOT_RUN = b"x-not-executed"
# Set on responses that were written by the upstream itself.
_SEAL = b"x-response-seal"
_CONTENT_ENCODING = b"content-encoding"
_RETRY_AFTER = "Retry-After"
# "1" means that the server is about to shut down; other values mean nothing.
_SERVER_LEAVING = b"server-leaving"
# Requests a second that a server takes from all machines together.
_SERVER_LIMIT = b"server-limit"
# On a 503 of a server: how long this machine must send it nothing.
_UPSTREAM_RETRY_AFTER = b"retry-after"

_REPORT_PATH = b"/v1/report"  # What a server says of its state, without a slot.

# The platform knows only 429, 503, 408 and 421 as refusals of a valid request.
_STATUS_OVERRIDES = {Reason.CONVICTED: 503}

# Headers that only the system may set; those of a caller are not forwarded.
_SET_BY_SYSTEM = frozenset(
    (
        _DEADLINE,
        _KEY,
        _ORGANISATION,
        _EXPECTED_UPSTREAM,
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)


class _Report(msgspec.Struct):
    born: UnixTimeMs  # Start of the server, as in its entry in the store.


class PlatformDialect:
    """Dialect that reads and writes the headers of the platform."""

    def read_request(self, request: Request) -> CallerFacts:
        """Decode the headers of a caller's request."""
        headers = request.headers
        tokens = parse_number_pair(header(headers, _TOKENS), MAX_TOKENS)
        deadline_ms = parse_number(header(headers, _DEADLINE))
        key = header(headers, _KEY)
        return CallerFacts(
            # An empty ID counts as a missing one.
            request_id=header(headers, _REQUEST_ID) or None,
            host=(header(headers, b"host") or b"").decode("latin-1"),
            path=request.target.partition(b"?")[0].decode("latin-1"),
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
            key=None if key is None else key.decode("latin-1"),
            n_prompt_tokens=tokens[0] if tokens else 0,
            n_output_tokens=tokens[1] if tokens else 0,
            has_token_counts=tokens is not None,
            last_event_id=parse_event_id(sole_value(headers, _LAST_EVENT_ID)),
            has_last_event_id=bool(header(headers, _LAST_EVENT_ID)),
            first_attempt_id=sole_value(headers, _FIRST_ATTEMPT).decode("latin-1"),
            shared_parts=parse_sized_ids(header_values(headers, _PROMPT_PARTS))[:-1],
        )

    def make_upstream_request(
        self,
        request: Request,
        *,
        left_s: float,
        upstream_id: str,
        organisation: str | None,
        last_event_id: int | None,
    ) -> Request:
        """Return the request that is sent to the upstream."""
        headers = [
            (name, value)
            for name, value in end_to_end(request.headers)
            if name not in _SET_BY_SYSTEM
            and (last_event_id is None or name != _LAST_EVENT_ID)
        ]
        headers.append((_DEADLINE, b"%d" % max(1, int(left_s * 1000))))
        headers.append((_EXPECTED_UPSTREAM, upstream_id.encode("latin-1")))
        if organisation is not None:
            headers.append((_ORGANISATION, organisation.encode("latin-1", "replace")))
        if last_event_id is not None:
            headers.append((_LAST_EVENT_ID, b"%d" % last_event_id))
        return Request(request.method, request.target, tuple(headers), request.body)

    def is_response_to(self, request_id: bytes | None, headers: Headers) -> bool:
        """Return whether a response names this request or no request at all."""
        named = header(headers, _REQUEST_ID)
        return named is None or named == request_id

    def read_response(self, head: ResponseHead) -> ResponseFacts:
        """Decode the head of an upstream's response."""
        coding = header(head.headers, _CONTENT_ENCODING)
        return ResponseFacts(
            has_request_id=header(head.headers, _REQUEST_ID) is not None,
            is_from_upstream=header(head.headers, _SEAL) is not None and coding is None,
            was_not_run=header(head.headers, _NOT_RUN) is not None
            or head.status == 421,
            is_other_upstream=head.status == 421,
            is_leaving=header(head.headers, _SERVER_LEAVING) == b"1",
            requested_rest_s=parse_number(header(head.headers, _UPSTREAM_RETRY_AFTER))
            if head.status == 503
            else None,
            rate_limits=header_values(head.headers, _SERVER_LIMIT),
        )

    def make_start_query(self) -> Request:
        """Return the request for a server's report."""
        return Request(b"GET", _REPORT_PATH, ((b"host", b"server"),), b"")

    def read_start(self, body: bytes) -> int | NoStart:
        """Decode the start of the server's process from its report."""
        try:
            return msgspec.json.decode(body, type=_Report).born
        except msgspec.ValidationError:
            return NoStart.NOT_STATED
        except UNDECODABLE:  # The gateway logs that the start is not known.
            return NoStart.UNREADABLE

    def encode_refusal(
        self, outcome: NotRun | NotKnown, request_id: bytes | None
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of a response by the gateway itself."""
        problem = problem_response(outcome)
        status = _STATUS_OVERRIDES.get(outcome.reason, problem.status)
        headers = [
            (name.lower().encode(), value.encode())
            for name, value in problem.headers.items()
            if name != _RETRY_AFTER
        ]
        if outcome.retry_after_s is not None:
            # The platform allows fractions of a second.
            headers.append((b"retry-after", b"%.2f" % outcome.retry_after_s))
        if request_id is not None:
            headers.append((_REQUEST_ID, request_id))
        return status, tuple(headers), problem.body
