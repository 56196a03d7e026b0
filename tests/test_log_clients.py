"""One set of contract tests for the in-memory log and for the HTTP client."""

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import UTC, datetime

import msgspec
import pytest
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient

from pomelothread.clock import ManualClock, SystemClock
from pomelothread.log.client import HttpLogClient
from pomelothread.log.memory import MemoryLog
from pomelothread.log.records import LogClient, LogFailure, LogFault
from standins.log_service import LogService

TOPIC = "claims.press"


@dataclass
class Rig:
    """A log client and its fault injection, alike for both implementations."""

    log: LogClient
    set_fault: Callable[[str], None]
    expire_before: Callable[[int], None]


@asynccontextmanager
async def memory_rig() -> AsyncIterator[Rig]:
    log = MemoryLog(SystemClock())

    def set_fault(name: str) -> None:
        match name:
            case "lose_append_answers":
                log.faults.n_lost_answers = 1
            case _:
                setattr(log.faults, name, True)

    yield Rig(log, set_fault, lambda offset: log.expire_before(TOPIC, offset))


@asynccontextmanager
async def http_rig() -> AsyncIterator[Rig]:
    service = LogService()
    client = HttpLogClient(service.start(), timeout_s=10.0)

    def set_fault(name: str) -> None:
        setattr(service.faults, name, 1 if name == "lose_append_answers" else True)

    def expire_before(offset: int) -> None:
        service.faults.expire_before = offset

    try:
        yield Rig(client, set_fault, expire_before)
    finally:
        client.close()
        await service.stop()


async def case_offsets_count_up(rig: Rig) -> None:
    assert await rig.log.append(TOPIC, {"n": 0}) == Success(0)
    assert await rig.log.append(TOPIC, {"n": 1}) == Success(1)
    assert await rig.log.append("sheet", {"n": 2}) == Success(0)


async def case_reads_what_was_appended(rig: Rig) -> None:
    values = [{"n": 0, "text": "ક"}, {"n": 1, "nested": [{"a": None}]}, {"n": 2}]
    for value in values:
        await rig.log.append(TOPIC, value)
    batch = (await rig.log.read(TOPIC, 1, 0.0)).unwrap()
    assert [record.value for record in batch.records] == values[1:]
    assert [record.offset for record in batch.records] == [1, 2]
    assert all(record.appended_at.tzinfo is not None for record in batch.records)
    assert (batch.next_offset, batch.n_expired) == (3, 0)


async def case_a_value_that_is_no_object_does_not_stop_its_readers(rig: Rig) -> None:
    await rig.log.append(TOPIC, "text")  # type: ignore[arg-type]
    await rig.log.append(TOPIC, {"n": 1})
    batch = (await rig.log.read(TOPIC, 0, 0.0)).unwrap()
    assert [r.value for r in batch.records] == [{"malformed": "text"}, {"n": 1}]


async def case_read_at_the_end_is_empty(rig: Rig) -> None:
    await rig.log.append(TOPIC, {})
    batch = (await rig.log.read(TOPIC, 1, 0.0)).unwrap()
    assert (batch.records, batch.next_offset, batch.n_expired) == ((), 1, 0)


async def case_long_poll_returns_on_an_append(rig: Rig) -> None:
    reading = asyncio.ensure_future(rig.log.read(TOPIC, 0, 60.0))
    await rig.log.append(TOPIC, {"n": 0})
    assert len((await reading).unwrap().records) == 1


async def case_expired_records_are_counted(rig: Rig) -> None:
    for n in range(4):
        await rig.log.append(TOPIC, {"n": n})
    rig.expire_before(3)
    batch = (await rig.log.read(TOPIC, 1, 0.0)).unwrap()
    assert [record.offset for record in batch.records] == [3]
    assert (batch.next_offset, batch.n_expired) == (4, 2)


async def case_all_records_expired(rig: Rig) -> None:
    for n in range(4):
        await rig.log.append(TOPIC, {"n": n})
    rig.expire_before(4)
    batch = (await rig.log.read(TOPIC, 0, 0.0)).unwrap()
    assert (batch.records, batch.next_offset, batch.n_expired) == ((), 4, 4)
    assert await rig.log.append(TOPIC, {}) == Success(4)


async def case_a_log_that_is_down_refuses(rig: Rig) -> None:
    rig.set_fault("down")
    assert fault_of(await rig.log.append(TOPIC, {})) is LogFault.REFUSED
    assert fault_of(await rig.log.read(TOPIC, 0, 0.0)) is LogFault.REFUSED


async def case_refused_appends_leave_no_record(rig: Rig) -> None:
    rig.set_fault("refuse_appends")
    assert fault_of(await rig.log.append(TOPIC, {})) is LogFault.REFUSED
    assert (await rig.log.read(TOPIC, 0, 0.0)).unwrap().records == ()


async def case_a_lost_answer_leaves_exactly_one_record(rig: Rig) -> None:
    """Guards against a duplicate record from a POST that libcurl resends.

    libcurl does so if a connection that an earlier call used is closed without a
    response.
    """
    assert await rig.log.append(TOPIC, {"n": 0}) == Success(0)
    await rig.log.read(TOPIC, 0, 0.0)
    rig.set_fault("lose_append_answers")
    assert fault_of(await rig.log.append(TOPIC, {"n": 1})) is LogFault.UNANSWERED
    assert await rig.log.append(TOPIC, {"n": 2}) == Success(2)
    assert len((await rig.log.read(TOPIC, 0, 0.0)).unwrap().records) == 3


CASES = [value for name, value in list(globals().items()) if name.startswith("case_")]


def fault_of(result: Result[object, LogFailure]) -> LogFault:
    return result.failure().fault


def test_the_rate_of_appends_is_limited() -> None:
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    service = LogService(clock)
    service.faults.appends_per_s = 2.0
    assert [service.take_append_token() for _ in range(2)] == [True, False]
    clock.advance(60.0)
    assert [service.take_append_token() for _ in range(3)] == [True, True, False]


@pytest.mark.parametrize("rig", [memory_rig, http_rig])
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
def test_contract_of_the_log(case: Callable[[Rig], Awaitable[None]], rig) -> None:
    async def run() -> None:
        async with rig() as opened:
            await case(opened)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        ({"down": True}, LogFault.REFUSED),
        ({"appends_per_s": 0.0}, LogFault.REFUSED),
        ({"lose_append_answers": True}, LogFault.UNANSWERED),
        ({"hang": True}, LogFault.UNANSWERED),
        ({"delay_s": 3600.0}, LogFault.UNANSWERED),
        ({"delay_answer_s": 3600.0}, LogFault.UNANSWERED),
    ],
)
def test_faults_set_over_http_map_to_failures(faults, expected) -> None:
    async def run() -> None:
        service = LogService()
        address = service.start()
        client = HttpLogClient(address, timeout_s=0.2)
        http = AsyncHTTPClient(force_instance=True)
        url = f"http://{address}/_faults"
        await http.fetch(url, method="POST", body=json.dumps(faults))
        assert fault_of(await client.append(TOPIC, {})) is expected
        state = json.loads((await http.fetch(f"http://{address}/_state")).body)
        assert state["faults"] == msgspec.to_builtins(service.faults)
        client.close()
        await service.stop()

    asyncio.run(run())


def test_nothing_listening_means_refused() -> None:
    async def run() -> None:
        # Bound but not listening, so connections are refused.
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            client = HttpLogClient(f"127.0.0.1:{bound.getsockname()[1]}")
            assert fault_of(await client.append(TOPIC, {})) is LogFault.REFUSED
            assert fault_of(await client.read(TOPIC, 0, 0.0)) is LogFault.REFUSED
            client.close()

    asyncio.run(run())


def test_retention_deletes_by_age() -> None:
    async def run() -> None:
        clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        service = LogService(clock)
        service.faults.retention_s = 60.0
        client = HttpLogClient(service.start())
        await client.append(TOPIC, {"n": 0})
        clock.advance(50.0)
        await client.append(TOPIC, {"n": 1})
        clock.advance(50.0)
        batch = (await client.read(TOPIC, 0, 0.0)).unwrap()
        assert [record.value for record in batch.records] == [{"n": 1}]
        assert batch.records[0].appended_at == datetime(
            2026, 3, 1, 0, 0, 50, tzinfo=UTC
        )
        assert batch.n_expired == 1
        client.close()
        await service.stop()

    asyncio.run(run())


def test_closing_during_a_long_poll_logs_no_error(caplog) -> None:
    """Guards against a traceback at shutdown, caused by a timer of libcurl."""

    async def run() -> None:
        service = LogService()
        client = HttpLogClient(service.start())
        reading = asyncio.ensure_future(client.read(TOPIC, 0, 60.0))
        while service.counts["polls"] == 0:
            await asyncio.sleep(0.001)
        reading.cancel()
        client.close()
        for _ in range(10):
            await asyncio.sleep(0.001)
        await service.stop()

    asyncio.run(run())
    assert caplog.records == []


def test_a_redirect_is_not_followed() -> None:
    """Guards against an append that is sent a second time because of a redirect."""

    async def run() -> None:
        async def redirect(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 307 X\r\nLocation: /again\r\nContent-Length: 0\r\n")
            writer.write(b"\r\n")
            requests.append(1)
            writer.close()

        requests: list[int] = []
        server = await asyncio.start_server(redirect, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpLogClient(f"127.0.0.1:{port}")
        match await client.append(TOPIC, {}):
            case Failure(LogFailure(fault=fault)):
                assert fault is LogFault.UNANSWERED
            case answer:
                raise AssertionError(answer)
        assert requests == [1]
        client.close()
        server.close()

    asyncio.run(run())
