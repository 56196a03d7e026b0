"""What an HTTP exchange yields: its head, and how it ended."""

from dataclasses import dataclass

from tornado.httputil import HTTPHeaders


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        All headers, repeated ones included.
    """

    status: int
    headers: HTTPHeaders


@dataclass(frozen=True, slots=True)
class Complete:
    """The whole message was received.

    Parameters
    ----------
    is_delimited : bool
        False if the message had neither a length nor chunked coding, so that
        its end is only the end of the connection, which a crash looks like too.
    """

    is_delimited: bool = True


@dataclass(frozen=True, slots=True)
class Cut:
    """The connection ended after the head, before the message was complete."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was established: nothing of the request was sent.

    Parameters
    ----------
    detail : str
        What libcurl says.
    is_refused : bool
        Whether the attempt failed at once, because nothing listens there or no
        route leads there; False when it timed out.
    """

    detail: str
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class LostBeforeHead:
    """The connection ended before the head: the request may have run."""

    detail: str


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The exchange was cancelled here; `was_sent` if a connection existed."""

    was_sent: bool


End = Complete | Cut | NotConnected | LostBeforeHead | Cancelled
