"""A response is complete and belongs to its request, or the exchange has a fault."""

import asyncio
import socket
import struct
from datetime import UTC, datetime

import pytest
from raw_server import raw_server

from pomelothread.addresses import parse_address
from pomelothread.clock import ManualClock
from pomelothread.http1.client import (
    ConnectionPool,
    EndOfBody,
    Exchange,
    ExchangeFault,
)
from pomelothread.http1.messages import Request, header


def respond_with(data, closes=True, resets=False):
    """Return a script that sends `data` and may then close or reset the connection."""

    async def script(request):
        await request.send(data)
        if resets:
            # With a linger time of 0, closing sends RST instead of FIN.
            sock = request.writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            request.writer.transport.abort()
        elif closes:
            await request.close()

    return script


REQUEST = Request(b"POST", b"/x", ((b"host", b"h"), (b"x-request-id", b"mine")), b"{}")
OWN = b"HTTP/1.1 200 OK\r\nx-id: mine\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 5\r\n\r\nstale"


def address_of(server):
    return parse_address(server.url.removeprefix("http://").rstrip("/"))


async def exchange_on(pool, address):
    connection = await pool.acquire(address, 60.0)
    exchange = Exchange(
        connection, REQUEST, lambda headers: header(headers, b"x-id") != b"other"
    )
    exchange.send()
    result = await exchange.read_head()
    body = b""
    while not isinstance(result, (ExchangeFault, EndOfBody)):
        result = await exchange.read_body()
        if isinstance(result, bytes):
            body += result
    return exchange, result, body


# name, bytes, resets afterwards, result, body
RESPONSES = [
    ("length", OWN + b"content-length: 2\r\n\r\nok", False, None, b"ok"),
    ("chunked", OWN + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     False, None, b"ok"),
    ("unframed", OWN + b"\r\nok", False, None, b"ok"),
    ("unframed and reset", OWN + b"\r\nok", True, ExchangeFault.CUT, b"ok"),
    ("short", OWN + b"content-length: 9\r\n\r\nok", False, ExchangeFault.CUT, b"ok"),
    ("short and reset", OWN + b"content-length: 9\r\n\r\nok", True,
     ExchangeFault.CUT, b"ok"),
    ("no last chunk", OWN + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
     False, ExchangeFault.CUT, b"ok"),
    ("half of the last chunk", OWN
     + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r",
     False, ExchangeFault.CUT, b"ok"),
    ("no end after the last chunk", OWN
     + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
     False, ExchangeFault.CUT, b"ok"),
    ("half a trailer", OWN
     + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx-sum: 1",
     False, ExchangeFault.CUT, b"ok"),
    ("a whole trailer", OWN
     + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx-sum: 1\r\n\r\n",
     False, None, b"ok"),
    ("bad chunk", OWN + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
     True, ExchangeFault.MALFORMED, b""),
    ("garbage", b"\x00\x01\x02\r\n\r\n", False, ExchangeFault.MALFORMED, b""),
    ("nothing", b"", False, ExchangeFault.CUT, b""),
    ("nothing and reset", b"", True, ExchangeFault.CUT, b""),
    ("half a head", b"HTTP/1.1 200 OK\r\nx-id", False, ExchangeFault.CUT, b""),
    ("continue first", b"HTTP/1.1 100 Continue\r\n\r\n" + OWN
     + b"content-length: 2\r\n\r\nok", False, None, b"ok"),
    ("late response first", OTHER + OWN + b"content-length: 2\r\n\r\nok",
     False, None, b"ok"),
    ("late response only", OTHER, False, ExchangeFault.CUT, b""),
    ("two lengths", OWN + b"content-length: 2\r\ncontent-length: 3\r\n\r\nokk",
     True, ExchangeFault.MALFORMED, b""),
]  # fmt: skip


@pytest.mark.parametrize(
    ("data", "resets", "fault", "body"),
    [row[1:] for row in RESPONSES],
    ids=[row[0] for row in RESPONSES],
)
async def test_only_a_whole_response_to_this_request_is_complete(
    data, resets, fault, body
):
    async with raw_server(respond_with(data, resets=resets)) as server:
        pool = ConnectionPool(ManualClock(datetime(2026, 3, 1, tzinfo=UTC)))
        exchange, result, received = await exchange_on(pool, address_of(server))
        assert result == (fault or EndOfBody())
        # A reset may discard bytes that were sent before it.
        assert received == body or (resets and body.startswith(received))
        assert len(server.received) == 1
        exchange.finish(pool, address_of(server))


@pytest.mark.parametrize(
    ("first", "n_connections"),
    [
        (OWN + b"content-length: 2\r\n\r\nok", 1),
        (OWN + b"connection: close\r\ncontent-length: 2\r\n\r\nok", 2),
        (OWN + b"content-length: 2\r\n\r\nok" + OTHER, 2),
        (OWN + b"content-length: 2\r\nkeep-alive: timeout=0\r\n\r\nok", 2),
    ],
    ids=["kept", "asked to close", "extra bytes", "not kept by the upstream"],
)
async def test_a_connection_is_used_again_only_after_a_clean_end(first, n_connections):
    scripts = [
        respond_with(first, closes=False),
        respond_with(OWN + b"content-length: 3\r\n\r\nyes"),
    ]
    async with raw_server(*scripts) as server:
        address = address_of(server)
        pool = ConnectionPool(ManualClock(datetime(2026, 3, 1, tzinfo=UTC)))
        for expected in (b"ok", b"yes"):
            exchange, result, body = await exchange_on(pool, address)
            assert (result, body) == (EndOfBody(), expected)
            exchange.finish(pool, address)
        assert server.n_connections == n_connections


async def test_a_request_on_a_dead_connection_is_not_sent_again():
    scripts = [
        respond_with(OWN + b"content-length: 2\r\n\r\nok", closes=False),
        respond_with(b"", resets=True),
    ]
    async with raw_server(*scripts) as server:
        address = address_of(server)
        pool = ConnectionPool(ManualClock(datetime(2026, 3, 1, tzinfo=UTC)))
        exchange, _, _ = await exchange_on(pool, address)
        exchange.finish(pool, address)
        exchange, result, _ = await exchange_on(pool, address)
        assert result is ExchangeFault.CUT
        assert len(server.received) == 2


async def test_an_idle_connection_is_dropped_before_the_upstream_closes_it():
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    kept = OWN + b"keep-alive: timeout=3\r\ncontent-length: 2\r\n\r\nok"
    async with raw_server(respond_with(kept, closes=False)) as server:
        address, pool = address_of(server), ConnectionPool(clock)
        for pause_s in (2.4, 2.6, 0.0):
            exchange, _, _ = await exchange_on(pool, address)
            exchange.finish(pool, address)
            clock.advance(pause_s)
        assert server.n_connections == 2


async def test_a_refused_connection_says_that_nothing_was_sent():
    async with raw_server(respond_with(b"")) as server:
        address = address_of(server)
    pool = ConnectionPool(ManualClock(datetime(2026, 3, 1, tzinfo=UTC)))
    assert await pool.acquire(address, 1.0) is ExchangeFault.NOT_CONNECTED


async def test_a_connection_that_received_bytes_while_idle_is_not_used():
    async with raw_server(
        respond_with(OWN + b"content-length: 2\r\n\r\nok", closes=False)
    ) as server:
        address = address_of(server)
        pool = ConnectionPool(ManualClock(datetime(2026, 3, 1, tzinfo=UTC)))
        exchange, _, _ = await exchange_on(pool, address)
        exchange.finish(pool, address)
        server.received[0].writer.write(OTHER)
        connection = exchange._connection
        async with asyncio.timeout(30):
            await connection.stream.readable()
        exchange, result, body = await exchange_on(pool, address)
        assert (result, body) == (EndOfBody(), b"ok")
        assert server.n_connections == 2
        exchange.finish(pool, address)
