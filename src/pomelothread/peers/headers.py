"""Filters the HTTP headers that are forwarded from one hop to the next."""

from collections.abc import Iterable

from .dispatch import OUTCOME_HEADER, REASON_HEADER

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        OUTCOME_HEADER.lower(),
        REASON_HEADER.lower(),
    )
)


def end_to_end_headers(pairs: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Remove the headers that concern a single hop only.

    Parameters
    ----------
    pairs : iterable of (str, str)
        Names and values of the headers.

    Returns
    -------
    list of (str, str)
        The headers to forward.

    Examples
    --------
    >>> end_to_end_headers([("Connection", "close"), ("Content-Type", "text/plain")])
    [('Content-Type', 'text/plain')]
    """
    return [(name, value) for name, value in pairs if name.lower() not in _HOP_BY_HOP]
