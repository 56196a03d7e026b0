"""Claimants of one pool on an in-memory log, which tests can pause and kill."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from returns.result import Result

from pomelothread.clock import ManualClock
from pomelothread.log.claim_results import Claimed, ClaimResult, LookupResult
from pomelothread.log.claims import Claimant
from pomelothread.log.memory import MemoryFaults, MemoryLog
from pomelothread.log.records import LogBatch, LogFailure

TOPIC = "claims.press"
RETENTION_S = 1600.0
KEY_LIFE_S = 86_400.0
HEADERS = (("content-type", "text/plain"),)


class PausableProcess:
    """Clock and log of one process, whose calls a test can block.

    No call returns while `running` is clear, no read of the log while `reads` is clear,
    and no delay while `timers` is clear.
    """

    def __init__(self, clock: ManualClock, log: MemoryLog) -> None:
        self._clock = clock
        self._log = log
        self.running, self.reads, self.timers = (asyncio.Event() for _ in range(3))
        for event in (self.running, self.reads, self.timers):
            event.set()
        self.now = clock.now
        self.monotonic_s = clock.monotonic_s

    async def sleep(self, delay_s: float) -> None:
        await self._clock.sleep(delay_s)
        await self.running.wait()
        await self.timers.wait()

    async def append(
        self, topic: str, value: dict[str, Any]
    ) -> Result[int, LogFailure]:
        await self.running.wait()
        result = await self._log.append(topic, value)
        await self.running.wait()
        return result

    async def read(
        self, topic: str, offset: int, max_wait_s: float
    ) -> Result[LogBatch, LogFailure]:
        await self.running.wait()
        while True:
            await self.reads.wait()
            result = await self._log.read(topic, offset, max_wait_s)
            await self.running.wait()
            if self.reads.is_set():
                return result


class Node:
    """One run of a claimant and the tasks of the calls made to it."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.name = name
        self.process = PausableProcess(fleet.clock, fleet.log)
        self.claimant = Claimant(
            self.process,
            "press",
            name,
            self.process,
            retention_s=RETENTION_S,
            is_instance_live=lambda instance: instance in fleet.nodes,
            rng=random.Random(name),
        )
        self.tasks = [asyncio.create_task(self.claimant.run())]

    @property
    def is_paused(self) -> bool:
        return not self.process.running.is_set()

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()


class Fleet:
    """The log, its claimants, and which orders were dispatched and finished.

    Attributes
    ----------
    n_dispatched : Counter
        Dispatches by key; more than one means that an order was run twice (H1, H5).
    finished : dict
        Body of the response by key.
    """

    def __init__(self, *names: str) -> None:
        self.clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        self.log = MemoryLog(self.clock)
        self.nodes: dict[str, Node] = {}
        self.n_dispatched: Counter[str] = Counter()
        self.finished: dict[str, bytes] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> Node:
        """Start a claimant of an instance; kill the previous one, if there is one."""
        if name in self.nodes:
            self.nodes.pop(name).kill()
        self.nodes[name] = Node(self, name)
        return self.nodes[name]

    def stop(self) -> None:
        for node in self.nodes.values():
            node.kill()

    def heal(self) -> None:
        """End all faults but retention, deliver late records, resume all claimants."""
        self.log.faults = MemoryFaults(retention_s=self.log.faults.retention_s)
        self.log.deliver_late_appends()
        for node in self.nodes.values():
            node.process.running.set()

    async def settle(self) -> None:
        """Run all tasks until they wait for the clock."""
        for _ in range(40):
            await asyncio.sleep(0)

    async def advance(self, delta_s: float, n_steps: int = 10) -> None:
        for _ in range(n_steps):
            await self.settle()
            self.clock.advance(delta_s / n_steps)
        await self.settle()

    def begin_claim(
        self, name: str, key: str, body: bytes, dispatch: bool = True
    ) -> "asyncio.Task[ClaimResult]":
        """Start a claim; if it succeeds, dispatch and finish the order at once."""
        node = self.nodes[name]

        async def claim() -> ClaimResult:
            result = await node.claimant.claim(key, body, "print", "club", KEY_LIFE_S)
            if isinstance(result, Claimed) and dispatch:
                self.n_dispatched[key] += 1
                self.finished[key] = b"ran " + body
                await node.claimant.finish(
                    result.token, 201, HEADERS, self.finished[key]
                )
            return result

        task = asyncio.create_task(claim())
        node.tasks.append(task)
        return task

    async def claim(self, name: str, key: str, body: bytes = b"10 maps") -> ClaimResult:
        """Claim an order, advancing the clock until there is a result."""
        task = self.begin_claim(name, key, body)
        await self.settle()
        while not task.done():
            await self.advance(0.02, 1)
        return task.result()

    async def lookup(self, name: str, key: str) -> LookupResult:
        return await self.nodes[name].claimant.lookup("print", key, "club")


def run_fleet(scenario: Callable[[Fleet], Any], *names: str) -> None:
    """Run a scenario with claimants that have read the log to its end."""

    async def run() -> None:
        fleet = Fleet(*names)
        try:
            await fleet.advance(0.1)
            await scenario(fleet)
        finally:
            fleet.stop()

    asyncio.run(run())
