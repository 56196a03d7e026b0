"""No sender of bytes without end keeps the event loop from other tasks."""

import asyncio

import pytest
from platform_rig import API_KEY, gateway_rig, open_caller

from pomelothread.http1 import reading_cost
from pomelothread.http1.byte_stream import ByteStream
from pomelothread.http1.client import (
    EndOfBody,
    Exchange,
    ExchangeFault,
    UpstreamConnection,
)
from pomelothread.http1.messages import Request
from pomelothread.http1.reading_cost import (
    BYTES_PER_TURN,
    MAX_TINY_PARTS,
    PARTS_PER_TURN,
    READ_BYTES,
)
from pomelothread.http1.server import CallerConnection, ServerLimits

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
N_BYTES = 256 * 1024


def chunks(data, n_bytes):
    return b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (data[i : i + n_bytes] for i in range(0, len(data), n_bytes))
    )


class NoTransport(asyncio.Transport):
    """Transport of a connection on which nothing is written."""

    def get_extra_info(self, name, default=None):
        return None

    def write(self, data):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def is_closing(self):
        return False

    def close(self):
        pass

    def can_write_eof(self):
        return False

    def get_write_buffer_size(self):
        return 0


class Turns:
    """Counts the turns of the event loop that another task gets."""

    def __init__(self):
        self.n = 0
        self.task = asyncio.ensure_future(self.run())

    async def run(self):
        while True:
            self.n += 1
            await asyncio.sleep(0)


def received(data):
    stream = ByteStream()
    stream.connection_made(NoTransport())
    stream.data_received(data)
    return stream


async def read_all(data):
    """Read a response that has arrived as a whole; return its parts and its end."""
    exchange = Exchange(
        UpstreamConnection(received(data)),
        Request(b"GET", b"/", ((b"host", b"a"),), b""),
        lambda _: True,
    )
    exchange.send()
    await exchange.read_head()
    parts = []
    while isinstance(part := await exchange.read_body(), bytes):
        parts.append(part)
    return parts, part


BODY = b"x" * N_BYTES
RESPONSES = [
    (CHUNKED + chunks(BODY, 16) + b"0\r\n\r\n", N_BYTES // 16 / PARTS_PER_TURN),
    (CHUNKED + chunks(BODY, N_BYTES) + b"0\r\n\r\n", N_BYTES / BYTES_PER_TURN),
    (HEAD + b"Content-Length: %d\r\n\r\n" % N_BYTES + BODY, N_BYTES / BYTES_PER_TURN),
]


# Guards against a response that keeps the loop from all other requests of the process.
@pytest.mark.parametrize("number", range(len(RESPONSES)))
async def test_other_tasks_run_while_a_response_is_read(number):
    data, n_turns = RESPONSES[number]
    turns = Turns()
    parts, end = await read_all(data)
    assert end == EndOfBody()
    assert b"".join(parts) == BODY
    assert turns.n >= n_turns / 2
    # Parts are joined, so that handling them costs less.
    assert max(map(len, parts)) <= 2 * READ_BYTES
    assert len(parts) <= 4 * n_turns + 1
    turns.task.cancel()


async def test_a_response_in_tiny_parts_is_given_up():
    parts, end = await read_all(CHUNKED + chunks(BODY, 1))
    assert end is ExchangeFault.FRAGMENTED
    assert sum(map(len, parts)) <= MAX_TINY_PARTS


@pytest.mark.parametrize("n_bytes", [1, 3, 100])
async def test_a_small_response_in_tiny_parts_is_whole(n_bytes):
    body = b"y" * MAX_TINY_PARTS
    parts, end = await read_all(CHUNKED + chunks(body, n_bytes) + b"0\r\n\r\n")
    assert (b"".join(parts), end) == (body, EndOfBody())


REQUEST = (
    b"POST /lookups/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
    b"Api-Key: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
)


# Guards against one caller whose body in tiny parts stops all others.
@pytest.mark.parametrize("n_bytes", [1, 16])
async def test_other_tasks_run_while_the_body_of_a_request_is_read(n_bytes):
    handled = []

    async def handle(request, responder):
        handled.append(request)
        responder.respond(200, (), b"")

    data = REQUEST % API_KEY.encode() + chunks(BODY, n_bytes) + b"0\r\n\r\n"
    connection = CallerConnection(received(data), handle, ServerLimits, lambda: False)
    turns = Turns()
    serving = asyncio.ensure_future(connection.serve())
    n_parts = min(N_BYTES // n_bytes, MAX_TINY_PARTS)
    while turns.n < n_parts / PARTS_PER_TURN / 2:
        assert not handled
        await asyncio.sleep(0)
    while n_bytes > 1 and not handled:
        await asyncio.sleep(0)
    assert [request.body for request in handled] == ([BODY] if n_bytes > 1 else [])
    turns.task.cancel()
    serving.cancel()


@pytest.mark.parametrize("key", ["wrong", API_KEY])
async def test_a_request_body_in_tiny_parts_is_refused(key):
    async with gateway_rig() as rig:
        caller = await open_caller(rig.address)
        caller.writer.write(REQUEST % key.encode() + chunks(b"x" * 5_000, 1))
        answer = await caller.answer()
        assert (answer.status, rig.executed_calls) == (413, [])
        caller.writer.close()
        assert await rig.readiness() == 200


def test_parts_of_eight_bytes_may_be_any_number():
    cost = reading_cost.ReadingCost()
    for _ in range(10 * MAX_TINY_PARTS):
        cost.add(reading_cost.MIN_MEAN_PART_BYTES)
    assert not cost.is_fragmented
