"""Management commands against the stand-in engine."""

import asyncio
from datetime import UTC, datetime

import pytest
from raw_server import answers, raw_server, until

from pomelothread.clock import ManualClock, SystemClock
from pomelothread.peers.http_exchange import ExchangeClient
from pomelothread.upstreams.management import (
    Applied,
    ChangeRole,
    EngineManager,
    FencedOff,
    LoadAdapter,
    LoadModel,
    NotSent,
    OutcomeUnknown,
    Outdated,
    Rejected,
    UnloadAdapter,
    start_delay_s,
)
from standins.engine import start_engine
from standins.engine_model import ModelSettings

ADAPTER = LoadAdapter("night-legs", "store://night-legs")


def with_engine(scenario, version=5, **options):
    async def run():
        engine = start_engine(ModelSettings(), load_s=0.0, **options)
        client = ExchangeClient(8)
        manager = EngineManager(
            client, f"http://{engine.address}", SystemClock(), lambda: version
        )
        try:
            return await scenario(engine, manager)
        finally:
            await engine.stop()

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("commands", "results"),
    [
        ([ADAPTER], [Applied]),
        ([ADAPTER, ADAPTER], [Applied, Applied]),
        ([ADAPTER, UnloadAdapter("night-legs")], [Applied, Applied]),
        ([UnloadAdapter("never-loaded")], [Applied]),
        ([LoadAdapter("", "")], [Rejected]),
        ([LoadModel("drafts")], [Applied]),
        ([LoadModel("checks", "2")], [Applied]),
        ([ChangeRole("prefill")], [Applied]),
    ],
)
def test_commands_bring_the_engine_to_the_wanted_state(commands, results):
    async def scenario(engine, manager):
        return [type(await manager.issue(command, 5)) for command in commands]

    assert with_engine(scenario) == results


@pytest.mark.parametrize(
    ("enforces_fencing", "expected"), [(True, FencedOff), (False, Applied)]
)
def test_an_old_token_is_rejected_only_by_engines_that_enforce_fencing(
    enforces_fencing, expected
):
    async def scenario(engine, manager):
        engine.admin.newest_token = 6
        return type(await manager.issue(ADAPTER, 5)), engine.admin.models

    result, models = with_engine(scenario, enforces_fencing=enforces_fencing)
    assert result is expected
    assert ("night-legs" in models) is (expected is Applied)


def test_a_command_of_an_old_sheet_is_not_sent():
    """Guards against outdated state on engines that ignore the fencing token."""

    async def scenario(engine, manager):
        return await manager.issue(ADAPTER, 4), engine.admin.commands

    assert with_engine(scenario) == (Outdated(5), [])


def test_a_sheet_that_changes_during_the_delay_stops_the_command():
    """Guards against checking the version before the delay instead of after it."""

    async def run():
        versions = [5]
        clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        async with raw_server(answers(b"")) as server:
            manager = EngineManager(
                ExchangeClient(1), server.url, clock, lambda: versions[0]
            )
            task = asyncio.create_task(manager.issue(ADAPTER, 5, delay_s=30.0))
            await asyncio.sleep(0)
            versions[0] = 6
            clock.advance(30.0)
            return await task, server.received

    assert asyncio.run(run()) == (Outdated(6), [])


def test_commands_run_one_at_a_time():
    """Guards against concurrent loads that exhaust the engine's memory."""

    async def scenario(engine, manager):
        engine.admin.load_s = 0.005
        commands = [LoadAdapter(f"a{n}", "p") for n in range(5)]
        await asyncio.gather(*(manager.issue(command, 5) for command in commands))
        return engine.admin.n_running_max, len(engine.admin.commands)

    assert with_engine(scenario) == (1, 5)


@pytest.mark.parametrize(
    ("command", "expected"),
    [(ADAPTER, Applied), (LoadModel("checks"), Applied), (ChangeRole("p"), None)],
)
def test_a_lost_answer_is_verified_by_a_lookup_and_the_command_arrives_once(
    command, expected
):
    """Guards against repeating a load, and against reporting an unverified success."""

    async def scenario(engine, manager):
        engine.faults.close_after_effect = True
        result = await manager.issue(command, 5)
        return type(result), len(engine.admin.commands)

    assert with_engine(scenario) == (expected or OutcomeUnknown, 1)


def test_an_engine_that_is_down_is_distinguished_from_a_lost_answer():
    async def run():
        clock = SystemClock()
        async with raw_server(answers(b"")) as server:
            manager = EngineManager(ExchangeClient(1), server.url, clock, lambda: 5)
            lost = await manager.issue(ADAPTER, 5)
        return type(lost), type(await manager.issue(ADAPTER, 5))

    assert asyncio.run(run()) == (OutcomeUnknown, NotSent)


def test_a_cancelled_command_closes_its_connection():
    async def scenario(engine, manager):
        engine.faults.hang = True
        task = asyncio.create_task(manager.issue(ADAPTER, 5))
        await until(lambda: manager._client.n_open)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await until(lambda: not manager._client.n_open)

    with_engine(scenario)


def test_each_instance_takes_its_own_slot_and_the_order_differs_by_artefact():
    """Guards against loads that start together or always in the same order."""
    names = [f"drafting-{n}" for n in range(20)]
    orders = set()
    for artefact in ("m-1", "m-2", "m-3"):
        delays = {name: start_delay_s(name, names, artefact, 4.0) for name in names}
        assert sorted(delays.values()) == [4.0 * slot for slot in range(20)]
        orders.add(tuple(sorted(names, key=delays.get)))
    assert len(orders) == 3
