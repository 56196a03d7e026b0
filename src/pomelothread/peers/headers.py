"""Which HTTP headers are passed on from one hop to the next."""

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
    """Drop the headers that concern one connection only.

    Parameters
    ----------
    pairs : iterable of (str, str)
        Names and values.

    Returns
    -------
    list of (str, str)
        Those that are passed on.

    Examples
    --------
    >>> end_to_end_headers([("Connection", "close"), ("Content-Type", "text/plain")])
    [('Content-Type', 'text/plain')]
    """
    return [(name, value) for name, value in pairs if name.lower() not in _HOP_BY_HOP]
