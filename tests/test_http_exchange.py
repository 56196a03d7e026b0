"""HTTP exchanges, with the requests counted at the receiving server."""

import asyncio
import json
import socket

import pytest
from raw_server import answers, raw_server, until
from tornado.curl_httpclient import CurlAsyncHTTPClient

from pomelothread.peers.exchange import MAX_BUFFERED_BYTES
from pomelothread.peers.http_exchange import (
    Cancelled,
    Complete,
    Cut,
    ExchangeClient,
    LostBeforeHead,
    NotConnected,
    ResponseHead,
)
from standins.engine import start_engine
from standins.engine_model import ModelSettings
from standins.text import answer_text

RESPONSE_WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"6\r\ndata: \r\n3\r\none\r\n0\r\n\r\n"
)
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
RESPONSE_WITH_TRAILERS = CHUNKED_RESPONSE[:-2] + b"X-Sum: 9\r\n\r\n"


def post(client, url, request_id="r1", body=b"body", **options):
    headers = {"X-Request-Id": request_id}
    return client.open_exchange("POST", url, headers, body, **options)


async def outcome(exchange):
    """Return the status, the body that arrived, and the end."""
    head = await exchange.head()
    body = b"".join([data async for data in exchange])
    status = head.status if isinstance(head, ResponseHead) else None
    return status, body, exchange.end


@pytest.mark.parametrize(
    ("sent", "status", "body", "end"),
    [
        (b"", None, b"", LostBeforeHead),
        (b"HTTP/1.", None, b"", LostBeforeHead),
        (RESPONSE_WITH_LENGTH[:30], None, b"", LostBeforeHead),
        (b"no HTTP at all\r\n\r\n", None, b"", LostBeforeHead),
        (EARLY_HINTS, None, b"", LostBeforeHead),
        (b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", None, b"", LostBeforeHead),
        (b"HTTP/1.1 200\r\nContent-Length: 1\r\n\r\nx", 200, b"x", Complete),
        (RESPONSE_WITH_LENGTH[:-5], 200, b"", Cut),
        (RESPONSE_WITH_LENGTH[:-2], 200, b"hel", Cut),
        (RESPONSE_WITH_LENGTH, 200, b"hello", Complete),
        (EARLY_HINTS + RESPONSE_WITH_LENGTH, 200, b"hello", Complete),
        (CHUNKED_RESPONSE, 200, b"data: one", Complete),
        (RESPONSE_WITH_TRAILERS, 200, b"data: one", Complete),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b"", Complete),
        (b"HTTP/1.1 500 Broken\r\nContent-Length: 1\r\n\r\nx", 500, b"x", Complete),
        (b"HTTP/1.1 409 No\r\nContent-Length: 1\r\n\r\nx", 409, b"x", Complete),
    ],
)
@pytest.mark.parametrize("resets", [False, True])
def test_the_end_says_how_much_arrived(sent, status, body, end, resets):
    """Guards against taking a truncated response for a complete one."""

    async def run():
        async with raw_server(answers(sent, resets=resets)) as server:
            got = await outcome(post(ExchangeClient(1), server.url))
            assert len(server.received) == 1
            return got

    got_status, got_body, got_end = asyncio.run(run())
    if resets and isinstance(got_end, LostBeforeHead | Cut):
        # A reset discards data that the client has not read yet.
        assert body.startswith(got_body)
        assert not (end is LostBeforeHead and got_status)
        return
    assert (got_status, got_body, type(got_end)) == (status, body, end)


def test_a_chunked_response_is_complete_only_with_its_last_byte():
    """Guards against truncation at any byte, between and within chunks."""

    async def run():
        client = ExchangeClient(1)
        ends = []
        for n_bytes in range(len(CHUNKED_RESPONSE) + 1):
            async with raw_server(answers(CHUNKED_RESPONSE[:n_bytes])) as server:
                ends.append((await outcome(post(client, server.url)))[2])
        return ends

    ends = asyncio.run(run())
    assert [n for n, end in enumerate(ends) if isinstance(end, Complete)] == [
        len(CHUNKED_RESPONSE)
    ]


def test_a_body_that_ends_with_its_connection_is_marked_as_undelimited():
    """Guards against taking a crash for the end of an undelimited body."""

    async def run():
        script = answers(b"HTTP/1.1 200 OK\r\n\r\nhello")
        async with raw_server(script) as server:
            return await outcome(post(ExchangeClient(1), server.url))

    assert asyncio.run(run()) == (200, b"hello", Complete(is_delimited=False))


@pytest.mark.parametrize(
    "answer",
    [
        "307 Temporary Redirect\r\nLocation: {url}again",
        "308 Permanent Redirect\r\nLocation: {url}again",
        "302 Found\r\nLocation: {url}again",
        "303 See Other\r\nLocation: {url}again",
        "401 Unauthorized\r\nWWW-Authenticate: Basic realm=x",
        '401 Unauthorized\r\nWWW-Authenticate: Digest realm="x", nonce="1"',
        "401 Unauthorized\r\nWWW-Authenticate: Negotiate",
        "407 Proxy Authentication Required\r\nProxy-Authenticate: Basic realm=x",
        "408 Request Timeout\r\nConnection: close",
        "417 Expectation Failed\r\nX: y",
        "421 Misdirected Request\r\nX: y",
        "425 Too Early\r\nRetry-After: 0",
        "429 Too Many Requests\r\nRetry-After: 0",
        "503 Service Unavailable\r\nRetry-After: 0",
        '200 OK\r\nAlt-Svc: h2=":1"',
        "426 Upgrade Required\r\nUpgrade: h2c\r\nConnection: Upgrade",
    ],
)
@pytest.mark.parametrize("method", ["POST", "PUT", "GET"])
def test_no_status_makes_the_library_send_again(answer, method):
    """Guards against a second dispatch by libcurl's or Tornado's own reaction."""

    async def run():
        async def script(request):
            head = answer.format(url=server.url)
            await request.send(f"HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n".encode())

        async with raw_server(script) as server:
            body = b"" if method == "GET" else b"order"
            exchange = ExchangeClient(1).open_exchange(method, server.url, {}, body)
            status, _, end = await outcome(exchange)
            return status, end, len(server.received), server.n_connections

    assert asyncio.run(run()) == (int(answer[:3]), Complete(), 1, 1)


def test_a_post_on_a_connection_that_closes_unanswered_arrives_once():
    """Guards against a second dispatch by libcurl, as seen with the plain client."""

    async def close_unanswered(request):
        await request.close()

    async def run(send):
        keep = answers(RESPONSE_WITH_LENGTH, closes=False)
        async with raw_server(keep, close_unanswered, keep) as server:
            ends = [await send(server.url, request_id) for request_id in "ab"]
            return ends, server.ids, server.n_connections

    async def with_exchange_client():
        client = ExchangeClient(1)
        return await run(
            lambda url, name: outcome(post(client, url, name, reuses_connection=False))
        )

    async def with_plain_tornado():
        client = CurlAsyncHTTPClient(force_instance=True)
        return await run(
            lambda url, name: client.fetch(
                url, method="POST", body="x", headers={"X-Request-Id": name}
            )
        )

    ends, ids, n_connections = asyncio.run(with_exchange_client())
    assert (ids, n_connections) == (["a", "b"], 2)
    assert isinstance(ends[1][2], LostBeforeHead)
    # Tornado's plain client resends here, so the test detects a second dispatch.
    assert asyncio.run(with_plain_tornado())[1] == ["a", "b", "b"]


@pytest.mark.parametrize("method", ["POST", "PUT", "PATCH"])
def test_a_kept_connection_is_refused_for_methods_with_effects(method):
    client = ExchangeClient(1)
    with pytest.raises(ValueError, match="could send it twice"):
        client.open_exchange(method, "http://127.0.0.1:1/", {}, reuses_connection=True)


def test_a_proxy_of_the_environment_is_not_used(monkeypatch):
    """Guards against bodies that leave through a proxy, which may resend them."""

    async def run():
        script = answers(RESPONSE_WITH_LENGTH)
        async with raw_server(script) as proxy, raw_server(script) as server:
            monkeypatch.setenv("http_proxy", proxy.url)
            monkeypatch.setenv("ALL_PROXY", proxy.url)
            await outcome(post(ExchangeClient(1), server.url))
            return len(proxy.received), len(server.received)

    assert asyncio.run(run()) == (0, 1)


def test_a_refused_connection_is_distinguished_from_a_timeout():
    """Guards against "not run" for a request that was sent, or the reverse."""

    async def run():
        client = ExchangeClient(4)
        # The kernel drops connection attempts beyond a full queue.
        with socket.socket() as silent, socket.socket() as closed:
            silent.bind(("127.0.0.1", 0))
            silent.listen(0)
            fillers = [socket.socket() for _ in range(2)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(silent.getsockname())
            closed.bind(("127.0.0.1", 0))
            ends = []
            for target in (silent, closed):
                url = f"http://127.0.0.1:{target.getsockname()[1]}/"
                exchange = post(client, url, connect_timeout_s=0.05)
                ends.append((await outcome(exchange))[2])
            for filler in fillers:
                filler.close()
            return ends

    timed_out, refused = asyncio.run(run())
    assert isinstance(timed_out, NotConnected)
    assert not timed_out.is_refused
    assert isinstance(refused, NotConnected)
    assert refused.is_refused


def test_an_illegal_header_and_a_full_client_send_nothing():
    """Guards against requests that wait in a queue until their grant has expired."""

    async def run():
        async def never_answer(request):
            await request.until_peer_closes()

        async with raw_server(never_answer) as server:
            client = ExchangeClient(1)
            illegal = client.open_exchange("POST", server.url, {"X-A": "1\r\nB: 2"})
            assert isinstance(await illegal.head(), NotConnected)
            held_exchange = post(client, server.url, "first")
            assert isinstance(await post(client, server.url).head(), NotConnected)
            await until(lambda: server.received)
            held_exchange.cancel()
            await until(lambda: client.n_open == 0)
            return server.ids

    assert asyncio.run(run()) == ["first"]


@pytest.mark.parametrize("stage", ["before head", "after head", "while paused"])
def test_cancelling_closes_the_connection_at_the_receiver(stage):
    """Guards against work that continues for a caller that has disconnected."""
    closed = []

    async def script(request):
        if stage != "before head":
            await request.send(CHUNKED_RESPONSE[: CHUNKED_RESPONSE.index(b"6\r\n")])
        if stage == "while paused":
            chunk = b"%x\r\n%s\r\n" % (65536, b"x" * 65536)
            try:
                for _ in range(1000):
                    await request.send(chunk)
            except ConnectionError:
                pass
        await request.until_peer_closes()
        closed.append(request)

    async def run():
        async with raw_server(script) as server:
            client = ExchangeClient(1)
            exchange = post(client, server.url)
            await until(lambda: server.received)
            if stage != "before head":
                await exchange.head()
            if stage == "while paused":
                await until(lambda: exchange.is_paused)
            exchange.cancel()
            await until(lambda: closed and not client.n_open)
            assert await exchange.read() == b""
            return exchange.end

    assert asyncio.run(run()) == Cancelled(was_sent=True)


def test_a_request_cancelled_before_it_is_connected_is_never_sent():
    """Guards against a dispatch after the caller was told "not run"."""

    async def run():
        async with raw_server(answers(RESPONSE_WITH_LENGTH)) as server:
            client = ExchangeClient(1)
            exchange = post(client, server.url, "cancelled")
            exchange.cancel()
            await until(lambda: client.n_open == 0)
            await outcome(post(client, server.url, "next"))
            return exchange.end, server.ids

    assert asyncio.run(run()) == (Cancelled(was_sent=False), ["next"])


def test_a_late_answer_does_not_reach_the_next_exchange():
    """Guards against mixing up responses when a curl handle is reused."""

    async def run():
        may_answer = asyncio.Event()

        async def answer_late(request):
            await may_answer.wait()
            await request.send(RESPONSE_WITH_LENGTH.replace(b"hello", b"wrong"))

        async def answer_second(request):
            may_answer.set()
            await request.send(RESPONSE_WITH_LENGTH.replace(b"hello", b"right"))

        async with raw_server(answer_late, answer_second) as server:
            client = ExchangeClient(1)
            first = post(client, server.url, "first")
            await until(lambda: server.received)
            first.cancel()
            await until(lambda: client.n_open == 0)
            return await outcome(post(client, server.url, "second"))

    assert asyncio.run(run())[1] == b"right"


def test_a_slow_reader_stops_the_sender_and_loses_nothing():
    """Guards against unbounded memory when the upstream is faster than the caller."""
    part = b"x" * 65536
    n_parts = 512

    async def run():
        n_sent = 0

        async def script(request):
            nonlocal n_sent
            size = n_parts * len(part)
            await request.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(n_parts):
                await request.send(part)
                n_sent += 1

        async with raw_server(script) as server:
            exchange = post(ExchangeClient(1), server.url)
            await until(lambda: exchange.is_paused)
            for _ in range(1000):
                await asyncio.sleep(0)
            n_sent_before = n_sent
            sizes = [len(data) async for data in exchange]
            return n_sent_before, sizes, exchange.end

    n_sent_before, sizes, end = asyncio.run(run())
    assert n_sent_before < n_parts
    # One chunk of libcurl's receive buffer may exceed the limit.
    assert max(sizes) < MAX_BUFFERED_BYTES + 2 * 65536
    assert (sum(sizes), end) == (n_parts * len(part), Complete())


def test_a_body_over_the_limit_is_cancelled():
    async def run():
        async with raw_server(answers(RESPONSE_WITH_LENGTH)) as server:
            exchange = post(ExchangeClient(1), server.url)
            return await exchange.read_whole(max_bytes=4)

    assert isinstance(asyncio.run(run()), Cut)


def test_concurrent_streams_get_their_own_complete_answers_once():
    """Guards against mixed-up responses and duplicate requests under concurrency."""
    n_streams = 60

    async def run():
        engine = start_engine(ModelSettings(speed=20, max_batch=64))
        client = ExchangeClient(n_streams)

        async def ask(number):
            body = {
                "model": "drafts",
                "messages": [{"role": "user", "content": f"leg {number}"}],
                "max_tokens": 5 + number % 7,
                "stream": True,
            }
            url = f"http://{engine.address}/v1/chat/completions"
            data = json.dumps(body).encode()
            _, raw, end = await outcome(post(client, url, f"r{number}", data))
            assert end == Complete()
            events = raw.decode().split("\n\n")
            assert events[-2:] == ["data: [DONE]", ""]
            choices = [json.loads(e[6:])["choices"][0] for e in events[:-2]]
            return "".join(choice["delta"].get("content", "") for choice in choices)

        texts = await asyncio.gather(*(ask(n) for n in range(n_streams)))
        counts = engine.counts
        await engine.stop()
        return texts, counts

    texts, counts = asyncio.run(run())
    assert texts == [answer_text(f"leg {n}", 5 + n % 7) for n in range(n_streams)]
    assert set(counts.received.values()) == {1}
    assert counts.n_completed == n_streams
