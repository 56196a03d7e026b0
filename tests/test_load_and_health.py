"""Load reports and health checks against a scripted server and the stand-in engine."""

import asyncio
from datetime import UTC, datetime

import pytest
from raw_server import answers, raw_server, until
from returns.result import Success

from pomelothread.clock import ManualClock
from pomelothread.peers.http_exchange import ExchangeClient
from pomelothread.upstreams.health import Down, Gone, Up, UpstreamHealth
from pomelothread.upstreams.load_report import (
    LoadReport,
    LoadReportPoller,
    parse_load_report,
)
from standins.engine import start_engine
from standins.engine_model import ModelSettings

RUNNING = 'vllm:num_requests_running{model_name="a"} 2.0\n'
WAITING = 'vllm:num_requests_waiting{model_name="a"} 5.0\n'


def manual_clock():
    return ManualClock(datetime(2026, 3, 1, tzinfo=UTC))


def answers_with(text, status="200 OK"):
    body = text.encode()
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return answers(head.encode() + body)


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (RUNNING + WAITING, (2, 5, 0.0, None)),
        (RUNNING + WAITING + RUNNING.replace('"a"', '"b"'), (4, 5, 0.0, None)),
        (RUNNING + WAITING + "vllm:gpu_cache_usage_perc 0.5\n", (2, 5, 0.5, None)),
        (RUNNING + WAITING + "vllm:kv_cache_usage_perc 0.25\n", (2, 5, 0.25, None)),
        (RUNNING + WAITING + "process_start_time_seconds 7\n", (2, 5, 0.0, 7.0)),
        ("<html>\n" + RUNNING + WAITING, (2, 5, 0.0, None)),
        (RUNNING, "the report lacks vllm:num_requests_waiting"),
        ("", "the report lacks vllm:num_requests_running"),
        (RUNNING.replace("}", ""), "the report is malformed"),
        (RUNNING.replace("2.0", "two"), "the report is malformed"),
        (RUNNING.replace("2.0", "NaN") + WAITING, "the report is malformed"),
        (RUNNING.replace("2.0", "+Inf") + WAITING, "the report is malformed"),
    ],
)
def test_a_load_report_is_parsed_or_rejected_with_a_reason(text, report):
    """Guards against a crash, or a wrong load, due to a malformed exposition."""
    result = parse_load_report(text, 3.0)
    if isinstance(report, str):
        assert result.failure().startswith(report)
    else:
        assert result == Success(LoadReport(*report, 3.0))


@pytest.mark.parametrize(
    "bad",
    [
        answers_with("oops", "500 Internal Server Error"),
        answers_with("not a report"),
        answers_with(RUNNING.replace("}", "")),
        answers(b""),
        answers(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + RUNNING.encode()),
    ],
)
def test_a_failed_poll_keeps_the_last_report_with_its_age(bad):
    """Guards against taking a missing report for an idle engine."""

    async def run():
        clock = manual_clock()
        async with raw_server(answers_with(RUNNING + WAITING), bad) as server:
            reports = LoadReportPoller(
                ExchangeClient(1), server.url, clock, lambda: None
            )
            assert reports.age_s == float("inf")
            await reports.poll()
            clock.advance(4.0)
            await reports.poll()
            return reports.latest.n_waiting, reports.age_s, bool(reports.fault)

    assert asyncio.run(run()) == (5, 4.0, True)


def test_another_start_time_is_a_restart_and_a_missing_one_is_not():
    """Guards against places that stay occupied by requests of an ended process."""

    async def run():
        starts = ["", "1", "1", "", "2", "2"]
        scripts = [
            answers_with(
                RUNNING + WAITING + (s and f"process_start_time_seconds {s}\n")
            )
            for s in starts
        ]
        restarts = []
        async with raw_server(*scripts) as server:
            client = ExchangeClient(1)
            reports = LoadReportPoller(
                client,
                server.url,
                manual_clock(),
                lambda: restarts.append(len(server.received)),
            )
            for _ in starts:
                await reports.poll()
        return restarts

    assert asyncio.run(run()) == [5]


def test_the_stand_in_engine_reports_its_load_with_the_configured_lag():
    async def run():
        clock = manual_clock()
        engine = start_engine(ModelSettings(), clock=clock)
        client = ExchangeClient(1)
        url = f"http://{engine.address}"
        reports = LoadReportPoller(client, url, clock, lambda: None)
        engine.faults.metrics_lag_s = 2.0
        seen = []
        for step in range(6):
            if step == 1:
                engine.model.submit([1], 1)
            await reports.poll()
            seen.append(reports.latest.n_running + reports.latest.n_waiting)
            clock.advance(1.0)
            if step == 1:
                engine.tasks[0].cancel()
        await engine.stop()
        return seen

    assert asyncio.run(run()) == [0, 0, 0, 1, 1, 1]


def test_an_upstream_is_down_after_two_failures_and_up_after_one_success():
    """Guards against flapping after one lost check, and against a slow recovery."""
    good, bad = answers_with(""), answers_with("", "503 Service Unavailable")
    steps = [
        (bad, []),
        (good, [Up()]),
        (bad, []),
        (good, []),
        (bad, []),
        (answers(b""), [Down]),
        (bad, []),
        (good, [Up()]),
    ]

    async def run():
        changes = []
        async with raw_server(*(script for script, _ in steps)) as server:
            client = ExchangeClient(1)
            health = UpstreamHealth(client, server.url, manual_clock(), changes.append)
            for number, (_, expected) in enumerate(steps):
                changes.clear()
                await health.check()
                kinds = [type(c) if isinstance(c, Down) else c for c in changes]
                assert kinds == expected, number

    asyncio.run(run())


def test_a_refused_check_reports_the_end_of_the_process_at_once():
    """Guards against requests that still count as running on an ended engine."""

    async def run():
        changes = []
        client = ExchangeClient(1)
        async with raw_server(answers_with("")) as server:
            health = UpstreamHealth(client, server.url, manual_clock(), changes.append)
            await health.check()
            assert not await health.refuses_connections()
        await health.check()
        await health.check()
        return changes, health.is_up, await health.refuses_connections()

    changes, is_up, refuses = asyncio.run(run())
    assert [type(change) for change in changes] == [Up, Gone]
    assert (is_up, refuses) == (False, True)


@pytest.mark.parametrize(("taken_s", "wait_s"), [(0.0, 0.5), (0.3, 0.2), (0.7, 0.0)])
def test_the_time_that_a_check_takes_counts_towards_its_period(taken_s, wait_s):
    """Guards against a failure that hanging checks detect only after two seconds."""

    async def run():
        clock = manual_clock()

        async def script(request):
            clock.advance(taken_s)
            await answers_with("")(request)

        async with raw_server(script) as server:
            client = ExchangeClient(1)
            health = UpstreamHealth(client, server.url, clock, lambda change: None)
            task = asyncio.create_task(health.run())
            await until(lambda: clock._sleepers)
            n_received, due_s = len(server.received), clock._sleepers[0][0]
            clock.advance(wait_s)
            await until(lambda: len(server.received) == 2)
            task.cancel()
            return n_received, due_s

    n_received, due_s = asyncio.run(run())
    assert (n_received, due_s) == (1, pytest.approx(taken_s + wait_s))
