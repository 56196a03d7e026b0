"""Interface of the adapter that translates a platform's HTTP headers."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..http1.messages import Headers, Request, ResponseHead
from ..outcomes import NotKnown, NotRun

# Token counts of callers are capped at this value. It is beyond every quota, and a
# sum of several still fits into the messages between gateways.
MAX_TOKENS = 10**12


@dataclass(frozen=True, slots=True)
class CallerFacts:
    """What the head of a request says.

    Parameters
    ----------
    request_id : bytes or None
        Id that the caller gave to this try of the request.
    host : str
        Requested host.
    path : str
        Path without the query string.
    deadline_s : float or None
        Seconds from the arrival for which the caller waits.
    key : str or None
        API key.
    n_prompt_tokens : int
        Number of prompt tokens; 0 if not stated.
    n_output_tokens : int
        Maximum number of output tokens; 0 if not stated.
    has_token_counts : bool
        Whether token counts are stated.
    last_event_id : int or None
        Id of the last event of the stream that the caller has received; None if it
        names none, or one that cannot be read.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, in order; the
        last part of a prompt is the request's own and is not among them.
    first_attempt_id : str
        Id of the request that brought the first event of the stream that the caller
        takes up; "" if it names none or several.
    has_last_event_id : bool
        Whether the caller names an event, of any id.
    """

    request_id: bytes | None
    host: str
    path: str
    deadline_s: float | None
    key: str | None
    n_prompt_tokens: int
    n_output_tokens: int
    has_token_counts: bool
    last_event_id: int | None
    shared_parts: tuple[str, ...] = ()
    first_attempt_id: str = ""
    has_last_event_id: bool = False


@dataclass(frozen=True, slots=True)
class ResponseFacts:
    """What the head of an upstream's response says.

    Parameters
    ----------
    has_request_id : bool
        Whether it contains the id of the request that it belongs to.
    is_from_upstream : bool
        Whether it is the upstream's own body, marked as such and not encoded.
    was_not_run : bool
        Whether the upstream states that it has not run the request.
    is_other_upstream : bool
        Whether another upstream responds at this address now.
    is_leaving : bool
        Whether the upstream that responds announces that it is leaving.
    requested_rest_s : float or None
        Seconds for which the upstream asks for no further requests.
    rate_limits : tuple of bytes
        Requests a second that it takes from all instances, as it has written them.
    """

    has_request_id: bool
    is_from_upstream: bool
    was_not_run: bool
    is_other_upstream: bool
    is_leaving: bool
    requested_rest_s: float | None
    rate_limits: tuple[bytes, ...] = ()


class NoStart(Enum):
    """Why it is not known which start an upstream runs as."""

    SILENT = "no answer in time"
    CUT = "the connection ended"
    UNREADABLE = "the answer cannot be read"
    NOT_STATED = "the answer states no start"


class Dialect(Protocol):
    """Translates headers of requests and responses; contains no policy."""

    def read_request(self, request: Request) -> CallerFacts:
        """Decode the head of a request."""
        ...

    def make_upstream_request(
        self,
        request: Request,
        *,
        left_s: float,
        upstream_id: str,
        organisation: str | None,
        last_event_id: int | None,
    ) -> Request:
        """Return the request to send to an upstream.

        Parameters
        ----------
        request : Request
            As the caller sent it.
        left_s : float
            Seconds until the deadline.
        upstream_id : str
            Id of the only upstream that may run it.
        organisation : str or None
            Organisation that sent it.
        last_event_id : int or None
            Id of the event after which to resume a stream; None to start it.
        """
        ...

    def is_response_to(self, request_id: bytes | None, headers: Headers) -> bool:
        """Return whether a response has this request's id or none at all."""
        ...

    def read_response(self, head: ResponseHead) -> ResponseFacts:
        """Decode the head of a response."""
        ...

    def make_start_query(self) -> Request:
        """Return the request that asks an upstream when its process has started."""
        ...

    def read_start(self, body: bytes) -> int | NoStart:
        """Decode the answer to it.

        Parameters
        ----------
        body : bytes
            Body of a successful response.

        Returns
        -------
        int or NoStart
            Unix time of the start in milliseconds; `NOT_STATED` or `UNREADABLE`.
        """
        ...

    def encode_refusal(
        self, outcome: NotRun | NotKnown, request_id: bytes | None
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of a response that the gateway makes."""
        ...
