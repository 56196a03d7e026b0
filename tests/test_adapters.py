"""The adapters of an engine follow the sheet in force, also after a restart."""

import asyncio
from datetime import UTC, datetime

import pytest

from pomelothread.agent.adapters import AdapterReconciler
from pomelothread.clock import ManualClock
from pomelothread.operators.sheet import Adapter, Sheet
from pomelothread.upstreams.management import Applied, LoadAdapter, UnloadAdapter


class FakeManager:
    """Engine manager that lists the adapters it was told to load."""

    def __init__(self, listed=("base",)):
        self.listed = set(listed)
        self.commands = []
        self.is_reachable = True

    async def models(self):
        return frozenset(self.listed) if self.is_reachable else None

    async def issue(self, command, sheet_version, delay_s=0.0):
        self.commands.append((command, sheet_version, delay_s))
        match command:
            case LoadAdapter(name=name):
                self.listed.add(name)
            case UnloadAdapter(name=name):
                self.listed.discard(name)
        return Applied()


def make_sheet(version, *names, pool="drafting"):
    adapters = {name: Adapter(name, pool, f"store://{name}") for name in names}
    return Sheet(version=version, adapters=adapters)


def reconcile_sheets(sheets, manager=None, restart=False):
    async def scenario():
        fake = manager or FakeManager()
        clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        reconciler = AdapterReconciler(
            fake, "drafting", "a", lambda: ["a", "b", "c"], 4.0, clock
        )
        for new_sheet in sheets:
            reconciler.use_sheet(new_sheet)
            await reconciler.reconcile()
        if restart:
            fake.listed = {"base"}
            await reconciler.reconcile()
        return fake

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ("sheets", "listed"),
    [
        ([make_sheet(1)], {"base"}),
        ([make_sheet(1, "legs")], {"base", "legs"}),
        (
            [make_sheet(1, "legs"), make_sheet(2, "legs", "bats")],
            {"base", "legs", "bats"},
        ),
        ([make_sheet(1, "legs"), make_sheet(2)], {"base"}),
        (
            [make_sheet(1, "legs"), make_sheet(2), make_sheet(3, "legs")],
            {"base", "legs"},
        ),
        ([make_sheet(1, "legs", pool="other")], {"base"}),
    ],
)
def test_the_engine_has_what_the_last_sheet_wants(sheets, listed):
    assert reconcile_sheets(sheets).listed == listed


def test_a_restarted_engine_gets_its_adapters_again():
    fake = reconcile_sheets([make_sheet(1, "legs")], restart=True)
    assert fake.listed == {"base", "legs"}
    assert [version for _, version, _ in fake.commands] == [1, 1]


def test_models_that_no_sheet_named_are_left_alone():
    fake = FakeManager(listed=("base", "by-hand"))
    assert reconcile_sheets([make_sheet(1, "legs"), make_sheet(2)], fake).listed == {
        "base",
        "by-hand",
    }


def test_nothing_is_sent_while_the_engine_does_not_answer():
    fake = FakeManager()
    fake.is_reachable = False
    assert reconcile_sheets([make_sheet(1, "legs")], fake).commands == []


def test_loads_of_a_pool_are_spread_over_the_rate_of_the_weight_store():
    fake = reconcile_sheets([make_sheet(1, "legs", "bats", "pods")])
    assert {delay_s for _, _, delay_s in fake.commands} <= {0.0, 4.0, 8.0}
