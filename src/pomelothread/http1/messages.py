"""Requests, response heads and headers, independent of the HTTP library."""

import math
import re
from dataclasses import dataclass

import msgspec

from ..undecodable import UNDECODABLE

# Lists with more entries count as malformed.
MAX_SIZED_IDS = 64
# Ids have up to 128 bits.
_SIZED_ID = re.compile(rb"([0-9a-fA-F]{1,32})\s*:\s*\d{1,18}")
# At most 18 digits, since ids of events are 64-bit integers.
_EVENT_ID = re.compile(rb"0|[1-9]\d{0,17}")

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


def sole_value(headers: Headers, name: bytes) -> bytes:
    """Return the value of a header that occurs once, and an empty one otherwise.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        Names in lower case.
    name : bytes
        Name in lower case.

    Examples
    --------
    >>> sole_value(((b"a", b"1"),), b"a"), sole_value(((b"a", b"1"),) * 2, b"a")
    (b'1', b'')
    """
    values = header_values(headers, name)
    return values[0] if len(values) == 1 else b""


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
    except UNDECODABLE:
        return None
    return number if 0 <= number < math.inf else None


def parse_event_id(value: bytes) -> int | None:
    """Parse the id of an event, which is an integer.

    Parameters
    ----------
    value : bytes
        The id as it was written.

    Returns
    -------
    int or None
        None for anything else, and for a number that may be written in another way, so
        that the id can be written again as it was.

    Examples
    --------
    >>> parse_event_id(b"9007199254740993"), parse_event_id(b"07")
    (9007199254740993, None)
    """
    return int(value) if _EVENT_ID.fullmatch(value) else None


def parse_number_pair(value: bytes | None, most: int) -> tuple[int, int] | None:
    """Parse a header's value as two numbers separated by a comma.

    Parameters
    ----------
    value : bytes or None
        The value, if the header is present.
    most : int
        Larger numbers are replaced by this one.

    Returns
    -------
    tuple of (int, int) or None
        None for anything else, as with `parse_number`.

    Examples
    --------
    >>> parse_number_pair(b"1460, 80", 1000), parse_number_pair(b"1460", 1000)
    ((1000, 80), None)
    """
    if value is None:
        return None
    first, _, second = value.partition(b",")
    n_first, n_second = parse_number(first.strip()), parse_number(second.strip())
    if n_first is None or n_second is None:
        return None
    return min(int(n_first), most), min(int(n_second), most)


def parse_sized_ids(lines: tuple[bytes, ...]) -> tuple[str, ...]:
    """Return the ids of a list of ``ID:SIZE`` entries.

    Parameters
    ----------
    lines : tuple of bytes
        Values of all lines of the header.

    Returns
    -------
    tuple of str
        Hexadecimal ids without leading zeros; empty if any entry is malformed or
        there are more than `MAX_SIZED_IDS`.

    Examples
    --------
    >>> parse_sized_ids((b"5C1E:800, 0a:4",)), parse_sized_ids((b"a:1,b",))
    (('5c1e', 'a'), ())
    """
    if not lines:
        return ()
    entries = b",".join(lines).split(b",")
    matches = [_SIZED_ID.fullmatch(entry.strip()) for entry in entries]
    if len(matches) > MAX_SIZED_IDS or not all(matches):
        return ()
    return tuple(f"{int(match[1], 16):x}" for match in matches if match)


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
