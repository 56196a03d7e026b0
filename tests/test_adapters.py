"""An engine's adapters follow the sheet in force, also after a restart."""

import asyncio
from datetime import UTC, datetime

import pytest

from pomelothread.agent.adapters import AdapterKeeper
from pomelothread.clock import ManualClock
from pomelothread.operators.sheet import Adapter, Sheet
from pomelothread.upstreams.management import Applied, LoadAdapter, UnloadAdapter


class FakeManager:
    """Lists what it was told to load."""

    def __init__(self, listed=("base",)):
        self.listed = set(listed)
        self.commands = []
        self.answers = True

    async def models(self):
        return frozenset(self.listed) if self.answers else None

    async def issue(self, command, sheet_version, delay_s=0.0):
        self.commands.append((command, sheet_version, delay_s))
        match command:
            case LoadAdapter(name=name):
                self.listed.add(name)
            case UnloadAdapter(name=name):
                self.listed.discard(name)
        return Applied()


def sheet(version, *names, pool="drafting"):
    adapters = {name: Adapter(name, pool, f"store://{name}") for name in names}
    return Sheet(version=version, adapters=adapters)


def listed_after(sheets, manager=None, restart=False):
    async def scenario():
        fake = manager or FakeManager()
        clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        keeper = AdapterKeeper(
            fake, "drafting", "a", lambda: ["a", "b", "c"], 4.0, clock
        )
        for one in sheets:
            keeper.use_sheet(one)
            await keeper.correct()
        if restart:
            fake.listed = {"base"}
            await keeper.correct()
        return fake

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ("sheets", "listed"),
    [
        ([sheet(1)], {"base"}),
        ([sheet(1, "legs")], {"base", "legs"}),
        ([sheet(1, "legs"), sheet(2, "legs", "bats")], {"base", "legs", "bats"}),
        ([sheet(1, "legs"), sheet(2)], {"base"}),
        ([sheet(1, "legs"), sheet(2), sheet(3, "legs")], {"base", "legs"}),
        ([sheet(1, "legs", pool="other")], {"base"}),
    ],
)
def test_the_engine_has_what_the_last_sheet_wants(sheets, listed):
    assert listed_after(sheets).listed == listed


def test_a_restarted_engine_gets_its_adapters_again():
    fake = listed_after([sheet(1, "legs")], restart=True)
    assert fake.listed == {"base", "legs"}
    assert [version for _, version, _ in fake.commands] == [1, 1]


def test_models_that_no_sheet_named_are_left_alone():
    fake = FakeManager(listed=("base", "by-hand"))
    assert listed_after([sheet(1, "legs"), sheet(2)], fake).listed == {
        "base",
        "by-hand",
    }


def test_nothing_is_sent_while_the_engine_does_not_answer():
    fake = FakeManager()
    fake.answers = False
    assert listed_after([sheet(1, "legs")], fake).commands == []


def test_loads_of_a_pool_are_spread_over_the_rate_of_the_weight_store():
    fake = listed_after([sheet(1, "legs", "bats", "pods")])
    assert {delay_s for _, _, delay_s in fake.commands} <= {0.0, 4.0, 8.0}
