"""Requests, response heads and headers, independent of the HTTP library."""

import math
from dataclasses import dataclass

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that apply to one hop only (RFC 9110, 7.6.1), and message framing, which is
# set anew for each hop.
_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Parameters
    ----------
    method : bytes
        Such as ``b"POST"``.
    target : bytes
        Path and query as received.
    headers : tuple of (bytes, bytes)
        Names in lower case, in the order in which they were received.
    body : bytes
        The complete body, without framing.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Parameters
    ----------
    status : int
        HTTP status, 200 to 999.
    headers : tuple of (bytes, bytes)
        Names in lower case.
    """

    status: int
    headers: Headers


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        Names in lower case.
    name : bytes
        Name in lower case.

    Returns
    -------
    bytes or None
        None if the header is missing.

    Examples
    --------
    >>> header(((b"host", b"a"),), b"host")
    b'a'
    """
    return next((value for key, value in headers if key == name), None)


def header_values(headers: Headers, name: bytes) -> tuple[bytes, ...]:
    """Return all values of a header, in the order of its lines.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        Names in lower case.
    name : bytes
        Name in lower case.

    Returns
    -------
    tuple of bytes
        Empty if the header is missing.

    Examples
    --------
    >>> header_values(((b"via", b"a"), (b"host", b"h"), (b"via", b"b")), b"via")
    (b'a', b'b')
    """
    return tuple(value for key, value in headers if key == name)


def parse_number(value: bytes | None) -> float | None:
    """Parse a header's value as a number.

    Parameters
    ----------
    value : bytes or None
        The value, if the header is present.

    Returns
    -------
    float or None
        A finite number that is not negative; None for anything else, so that a
        malformed header is treated as a missing one.

    Examples
    --------
    >>> parse_number(b"1.5"), parse_number(b"-1"), parse_number(b"soon")
    (1.5, None, None)
    """
    if value is None:
        return None
    try:
        number = msgspec.json.decode(value, type=float)
    except msgspec.MsgspecError:
        return None
    return number if 0 <= number < math.inf else None


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are forwarded to the next hop.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        Names in lower case.

    Returns
    -------
    list of (bytes, bytes)
        All headers, except those that apply to one hop only, those that
        ``Connection`` names, and those that frame the message.

    Examples
    --------
    >>> end_to_end(((b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")))
    [(b'x-b', b'2')]
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = _CONNECTION_HEADERS | named
    return [(name, value) for name, value in headers if name not in dropped]
