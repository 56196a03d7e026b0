"""Asks upstreams which of their starts is at the other end of a connection.

The platform's list is older than the processes that it names: an upstream may have
started again under its id and address, with other software. Only what a process states
on the connection that carries a request is a fact about the process that runs it.
"""

import asyncio
import logging
from dataclasses import dataclass

from ..events import Event, log_event
from ..http1.client import Exchange, ExchangeFault, UpstreamConnection
from ..http1.messages import header, parse_number
from .dialect import Dialect, NoStart
from .upstreams import Upstream

_log = logging.getLogger(__name__)

# An upstream states its start at once, without a slot; a round trip between regions
# takes 60 ms.
ANSWER_TIMEOUT_S = 0.5
# Statuses below 500 that an upstream may give once to a question that it can answer.
BUSY_STATUSES = (408, 421, 429)
# Largest answer that is read.
MAX_ANSWER_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """What a process states, and whether its connection can carry a request now.

    Parameters
    ----------
    start_ms : int or NoStart
        Unix time of its start in milliseconds.
    may_reuse : bool
        Whether the connection can be used for another exchange.
    """

    start_ms: int | NoStart
    may_reuse: bool


async def ask_start(
    connection: UpstreamConnection, upstream: Upstream, dialect: Dialect
) -> StartAnswer:
    """Ask the process at the other end of a connection for its start.

    Parameters
    ----------
    connection : UpstreamConnection
        Carries no other exchange meanwhile. It is closed if it cannot be reused.
    upstream : Upstream
        Upstream that is listed at the address.
    dialect : Dialect
        Encodes the question and decodes the answer.
    """
    if connection.started_ms is not None:
        return StartAnswer(connection.started_ms, may_reuse=True)
    exchange = _send_question(connection, dialect)
    start: int | NoStart = NoStart.SILENT
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            start = await _read_start(exchange, dialect)
    except TimeoutError:
        # Logged below.
        pass
    finally:
        if not exchange.may_reuse:
            connection.stream.abort()
    connection.keep_alive_s = exchange.keep_alive_s
    if isinstance(start, int):
        connection.started_ms = start
        return StartAnswer(start, exchange.may_reuse)
    # A second copy of this answer must not be taken for that to the next request, so
    # that one needs an answer with its id, as on any connection that was used before.
    connection.is_reused = True
    if not upstream.has_hidden_start:
        log_event(
            _log,
            Event.UPSTREAM_START_UNKNOWN,
            upstream=upstream.listing.upstream_id,
            listed_start_ms=upstream.listing.started_ms,
            detail=start.value,
        )
        upstream.has_hidden_start = start is NoStart.NOT_STATED
    return StartAnswer(start, exchange.may_reuse)


async def has_answered(
    connection: UpstreamConnection, dialect: Dialect
) -> tuple[bool, bool]:
    """Ask on a connection, and return whether any whole answer has come.

    That shows that the process at its other end still lives, whatever it answers.

    Parameters
    ----------
    connection : UpstreamConnection
        Carries no other exchange meanwhile. It is closed if it cannot be reused.
    dialect : Dialect
        Encodes the question.

    Returns
    -------
    tuple of (bool, bool)
        Whether it has answered, and whether it can be used for another exchange.
    """
    exchange = _send_question(connection, dialect)
    answer: object = ExchangeFault.CUT
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await exchange.read_whole(MAX_ANSWER_BYTES)
    except TimeoutError:
        # The caller of this function logs what follows from the silence.
        pass
    finally:
        if not exchange.may_reuse:
            connection.stream.abort()
    connection.keep_alive_s = exchange.keep_alive_s
    return not isinstance(answer, ExchangeFault), exchange.may_reuse


def _send_question(connection: UpstreamConnection, dialect: Dialect) -> Exchange:
    exchange = Exchange(
        connection,
        dialect.make_start_query(),
        # A late response to a request names that request.
        lambda headers: dialect.is_response_to(None, headers),
    )
    exchange.send()
    return exchange


async def _read_start(exchange: Exchange, dialect: Dialect) -> int | NoStart:
    head = await exchange.read_head()
    if isinstance(head, ExchangeFault):
        return NoStart.CUT if head is ExchangeFault.CUT else NoStart.UNREADABLE
    n_bytes = parse_number(header(head.headers, b"content-length"))
    if n_bytes is None or n_bytes > MAX_ANSWER_BYTES:
        # Not an answer to this question, but perhaps a stream without end.
        return NoStart.NOT_STATED
    body = bytearray()
    while not exchange.is_complete:
        part = await exchange.read_body()
        if isinstance(part, ExchangeFault):
            return NoStart.CUT
        if isinstance(part, bytes):
            body += part
    if head.status in BUSY_STATUSES or head.status >= 500:
        return NoStart.UNREADABLE
    return dialect.read_start(bytes(body)) if head.status == 200 else NoStart.NOT_STATED
