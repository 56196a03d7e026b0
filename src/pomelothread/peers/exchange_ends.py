"""The response head of an HTTP exchange, and the ways in which it can end."""

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
        All headers, including repeated ones.
    """

    status: int
    headers: HTTPHeaders


@dataclass(frozen=True, slots=True)
class Complete:
    """The whole message was received.

    Parameters
    ----------
    is_delimited : bool
        False if the message had neither a content length nor chunked encoding.
        The end of the connection is then the only sign that it is complete, and
        a crash of the server looks the same.
    """

    is_delimited: bool = True


@dataclass(frozen=True, slots=True)
class Cut:
    """The connection ended after the head, before the message was complete."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was established, so no part of the request was sent.

    Parameters
    ----------
    detail : str
        Why the request was not sent.
    is_refused : bool
        Whether the attempt failed immediately, because nothing listens on the
        address or there is no route to it; False when it timed out.
    """

    detail: str
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class LostBeforeHead:
    """The connection ended before the head: the request may have run."""

    detail: str


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The reader cancelled the exchange; `was_sent` if a connection existed."""

    was_sent: bool


End = Complete | Cut | NotConnected | LostBeforeHead | Cancelled
