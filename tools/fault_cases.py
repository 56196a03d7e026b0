"""The table of faults, each a coroutine that injects one into a running trial."""

import asyncio
import random
import signal
import uuid
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace
from typing import Any

from msgspec import structs
from tornado.httpclient import HTTPClientError

from fault_load import NOT_RUN, RUN, Call, Callers
from fault_world import RETENTION_S, World
from launch_settings import AGENT, ENTRY, LEAVING, LIVE
from launcher import INSTANCE_LIST, LOG
from pomelothread.clock import SystemClock
from pomelothread.log.client import HttpLogClient
from pomelothread.operators.planning import parse_sheet
from pomelothread.operators.publishing import Published, PublishOrder, publish_sheet
from processes import START_TIMEOUT_S

POLL_S = 0.005
# Longer than a grant's life, a heartbeat's silence, or shorter than both.
PAUSES_S = (0.2, 1.0, 2.8)
HOLD_S = 3.0
# Work may still arrive for 5 s after the list shows the instance as leaving.
LEAVING_S = 5.0
LEAVING_HOLD_S = 6.0
CRASH_STATUS = 70
MAX_CRASH_CALLS = 12


@dataclass(slots=True)
class Trial:
    """A trial while it runs.

    All its markers start with `prefix`, and its part of the journal starts at
    `first_line`. Faults add to `violations` what they find themselves, and to
    `leaving` an instance, when it was first shown as leaving, and until when.
    """

    world: World
    number: int
    faults: tuple[str, ...]
    rng: random.Random
    prefix: str
    callers: Callers
    first_line: int = 0
    n_crashes: int = 0
    is_loaded: bool = False
    violations: list[tuple[str, str]] = field(default_factory=list)
    leaving: list[tuple[str, float, float]] = field(default_factory=list)

    def n_received(self) -> int:
        """Return how many requests of this trial upstreams have received."""
        lines = self.world.journal.read()[self.first_line :]
        return sum(
            line.event == "received" and self.prefix in f"{line.path}{line.body}"
            for line in lines
        )

    async def after_some_received(self) -> None:
        """Wait until upstreams have received a chosen number of requests."""
        n_wanted = self.rng.randint(1, 16)
        while not self.is_loaded and self.n_received() < n_wanted:
            await asyncio.sleep(POLL_S)

    async def after_answers(self, n_more: int, limit_s: float = HOLD_S) -> None:
        """Wait for further answers, but not for ever: the fault may hold them."""
        n_wanted = len(self.callers.told) + n_more
        try:
            async with asyncio.timeout(limit_s):
                while not self.is_loaded and len(self.callers.told) < n_wanted:
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            pass


Inject = Callable[[Trial, str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Fault:
    """A row of the table.

    `victims` is ``entry``, ``agent``, ``engine``, ``upstream`` or "". A harmless
    fault must not cost a running request its answer: planned stops, and faults
    of what running requests do not need. `naive` says whether it exists for the
    naive scheduler, which has no agents.
    """

    inject: Inject
    victims: str = ""
    is_harmless: bool = False
    naive: bool = True


async def _nothing(trial: Trial, victim: str) -> None:
    pass


async def _kill(trial: Trial, victim: str) -> None:
    async with trial.world.locks[victim]:
        await trial.world.launcher.kill(victim)
        if trial.rng.random() < 0.5:
            await trial.after_answers(4)
        await trial.world.revive(victim)


async def _pause(trial: Trial, victim: str) -> None:
    pause_s = trial.rng.choice(PAUSES_S)
    async with trial.world.locks[victim]:
        trial.world.launcher.signal(victim, signal.SIGSTOP)
        try:
            await asyncio.sleep(pause_s)
        finally:
            trial.world.launcher.signal(victim, signal.SIGCONT)


async def _pause_pool(trial: Trial, victim: str) -> None:
    """Pause all engines until their agents have closed."""
    engines = [n for n in trial.world.upstream_names() if ":model-" in n]
    async with AsyncExitStack() as stack:
        for name in engines:
            await stack.enter_async_context(trial.world.locks[name])
        for name in engines:
            trial.world.launcher.signal(name, signal.SIGSTOP)
        await asyncio.sleep(max(PAUSES_S))
        for name in engines:
            trial.world.launcher.signal(name, signal.SIGCONT)


async def _terminate(trial: Trial, victim: str) -> None:
    world = trial.world
    async with world.planned_stop(victim), world.locks[victim]:
        status = await trial.world.terminate(victim)
        if status not in (0, -signal.SIGTERM):
            trial.violations.append(("stop", f"{victim} exited with {status}"))
        await trial.world.revive(victim)


async def _roll(trial: Trial, victim: str) -> None:
    """Replace all nodes one after the other, as docs/OPERATIONS.md says."""
    world = trial.world
    for name, node in world.launcher.nodes.items():
        async with world.planned_stop(name), world.locks[name]:
            node.state = LEAVING
            await world.launcher.list_instances()
            status = await world.terminate(name)
            if status != 0:
                trial.violations.append(("stop", f"{name} exited with {status}"))
            node.state = LIVE
            await world.revive(name)
            async with asyncio.timeout(START_TIMEOUT_S):
                await world.wait_open(name)


def _upstream_fault(holds: bool = False, **values: Any) -> Inject:
    """Switch a fault of an upstream on; one that holds requests ends by a kill."""

    async def inject(trial: Trial, victim: str) -> None:
        instance = victim.removeprefix("upstream:")
        async with trial.world.locks[victim]:
            await trial.world.switch(instance, **values)
            await trial.after_answers(trial.rng.randint(2, 20))
            if holds:
                await trial.world.launcher.kill(victim)
                await trial.world.revive(victim)
            else:
                await trial.world.switch(instance, slow_factor=1.0, times=None)

    return inject


async def _slow_pool(trial: Trial, victim: str) -> None:
    """Slow all plain services down so much that protected checks expire."""
    plains = [n for n in trial.world.upstream_names() if ":ledger-" in n]
    for name in plains:
        await trial.world.switch(name.removeprefix("upstream:"), slow_factor=40.0)
    await trial.after_answers(30, 2 * HOLD_S)
    for name in plains:
        if trial.world.launcher.program(name).is_running:
            await trial.world.switch(name.removeprefix("upstream:"), slow_factor=1.0)


def _platform_fault(name: str, **values: Any) -> Inject:
    """Switch a fault of the log or the list on, until some answers have come."""

    async def inject(trial: Trial, victim: str) -> None:
        await trial.world.switch(name, **values)
        await trial.after_answers(trial.rng.randint(4, 24))
        reset = {key: type(value)(0) for key, value in values.items()}
        await trial.world.switch(name, **reset)

    return inject


async def _expire(trial: Trial, victim: str) -> None:
    """Delete what is older than the retention; it must have been carried on."""
    await trial.world.switch(LOG, retention_s=RETENTION_S)
    await trial.after_answers(8)


async def _leave(trial: Trial, victim: str) -> None:
    world = trial.world
    loop = asyncio.get_running_loop()
    node = world.launcher.nodes[victim]
    async with world.locks[victim]:
        node.state = LEAVING
        await world.launcher.list_instances()
        end_s = loop.time() + LEAVING_HOLD_S
        shown_at_s = 0.0
        while loop.time() < end_s:
            if not shown_at_s and await _is_shown_leaving(trial, victim):
                shown_at_s = SystemClock().now().timestamp()
                end_s = loop.time() + LEAVING_HOLD_S
            await asyncio.sleep(0.1)
        if shown_at_s:
            until_s = SystemClock().now().timestamp()
            trial.leaving.append((victim, shown_at_s, until_s))
        node.state = LIVE
        await world.launcher.list_instances()


async def _is_shown_leaving(trial: Trial, victim: str) -> bool:
    try:
        shown = await trial.world.shown_instances()
    except (OSError, HTTPClientError):
        return False
    labels = [group["labels"] for group in shown]
    return any(
        label["instance"] == victim and label["state"] == LEAVING for label in labels
    )


async def _replace(trial: Trial, victim: str) -> None:
    """Start another instance's agent at the address of one that is killed."""
    world = trial.world
    async with world.locks[victim]:
        await world.launcher.kill(victim)
        world.replace_agent(victim, f"{victim}-new")
        await world.revive(victim)
        await trial.after_answers(6)


async def _race(trial: Trial, victim: str) -> None:
    """Let two operators publish different sheets from the same base."""
    launcher = trial.world.launcher
    sheet = parse_sheet(launcher.deployment.sheet.read_bytes()).unwrap()
    log = HttpLogClient(launcher.log_address)
    base = max(
        [(await trial.world.status(n)).get("sheet_version", 0) for n in launcher.nodes]
    )

    def order(operator: str, share: int) -> PublishOrder:
        organisation = structs.replace(sheet.organisations["willow-yard"], share=share)
        rows = sheet.organisations | {"willow-yard": organisation}
        changed = structs.replace(sheet, organisations=rows)
        return PublishOrder(changed, base, operator, uuid.uuid4().hex, 10.0)

    try:
        orders = (order("first", 2 + trial.number % 50), order("second", 52))
        outcomes = await asyncio.gather(
            *(publish_sheet(log, SystemClock(), order) for order in orders)
        )
    finally:
        log.close()
    n_published = sum(isinstance(outcome, Published) for outcome in outcomes)
    if n_published > 1:
        trial.violations.append(("sheet", f"two publications won: {outcomes}"))
    if len(trial.faults) == 1 and n_published == 0:
        trial.violations.append(("sheet", f"no publication won: {outcomes}"))


async def _crash_body(trial: Trial, victim: str) -> None:
    """Send a body that kills every engine that runs it, again and again."""
    world = trial.world
    marker = f"{trial.prefix}-fatal."
    engines = [n for n in world.upstream_names() if ":model-" in n]
    for name in engines:
        await world.switch(name.removeprefix("upstream:"), crash_on_text=marker)
    supervisors = [
        asyncio.create_task(_supervise(trial, name, marker)) for name in engines
    ]
    call = Call("buyer-reply", "malvern-schools", 2, marker, "model", 8, True)
    try:
        for number in range(MAX_CRASH_CALLS):
            call = replace(call, entry=number)
            told = await trial.callers.send(call)
            if told.outcome == NOT_RUN and told.detail == "convicted":
                break
            if told.outcome == RUN:
                break
            if told.outcome == NOT_RUN:
                for name in engines:
                    await _wait_running(trial, name)
    finally:
        for task in supervisors:
            task.cancel()
        await asyncio.gather(*supervisors, return_exceptions=True)


async def _wait_running(trial: Trial, name: str) -> None:
    program = trial.world.launcher.program(name)
    while not program.is_running or trial.world.locks[name].locked():
        await asyncio.sleep(POLL_S)


async def _supervise(trial: Trial, name: str, marker: str) -> None:
    """Start an engine again whenever the body has crashed it."""
    program = trial.world.launcher.program(name)
    while True:
        status = await program.wait()
        async with trial.world.locks[name]:
            if program.is_running:
                continue
            trial.n_crashes += status == CRASH_STATUS
            await trial.world.revive(name)
            instance = name.removeprefix("upstream:")
            await trial.world.switch(instance, crash_on_text=marker)


FAULTS: dict[str, Fault] = {
    "none": Fault(_nothing, is_harmless=True),
    "kill entry": Fault(_kill, "entry"),
    "pause entry": Fault(_pause, "entry"),
    "stop entry": Fault(_terminate, "entry", is_harmless=True, naive=False),
    "kill agent": Fault(_kill, "agent", naive=False),
    "pause agent": Fault(_pause, "agent", naive=False),
    "stop agent": Fault(_terminate, "agent", is_harmless=True, naive=False),
    "kill upstream": Fault(_kill, "upstream"),
    "pause upstream": Fault(_pause, "upstream"),
    "pause pool": Fault(_pause_pool),
    "stop upstream": Fault(_terminate, "upstream"),
    "close before": Fault(
        _upstream_fault(close_before_answer=True, times=3), "upstream"
    ),
    "close after": Fault(_upstream_fault(close_after_effect=True, times=3), "upstream"),
    "cut": Fault(_upstream_fault(cut_after_chunks=3, times=3), "engine"),
    "stall": Fault(_upstream_fault(True, stall_after_tokens=3, times=2), "engine"),
    "slow": Fault(_upstream_fault(slow_factor=10.0), "upstream", is_harmless=True),
    "hang": Fault(_upstream_fault(True, hang=True), "upstream"),
    "slow pool": Fault(_slow_pool, naive=False),
    "log down": Fault(_platform_fault(LOG, down=True), naive=False),
    "log refuses": Fault(_platform_fault(LOG, refuse_appends=True), naive=False),
    "log loses": Fault(_platform_fault(LOG, lose_append_answers=4), naive=False),
    "log slow before": Fault(_platform_fault(LOG, delay_s=0.8), naive=False),
    "log slow after": Fault(_platform_fault(LOG, delay_answer_s=2.5), naive=False),
    "log hangs": Fault(_platform_fault(LOG, hang=True), naive=False),
    "log expires": Fault(_expire, is_harmless=True, naive=False),
    "list down": Fault(
        _platform_fault(INSTANCE_LIST, down=True), is_harmless=True, naive=False
    ),
    "list frozen": Fault(
        _platform_fault(INSTANCE_LIST, frozen=True), is_harmless=True, naive=False
    ),
    "list lags": Fault(
        _platform_fault(INSTANCE_LIST, lag_s=2.0), is_harmless=True, naive=False
    ),
    "leaving": Fault(_leave, "agent", is_harmless=True, naive=False),
    "replaced": Fault(_replace, "agent", naive=False),
    "two operators": Fault(_race, is_harmless=True, naive=False),
    "crash body": Fault(_crash_body),
    "rolling": Fault(_roll, is_harmless=True, naive=False),
}


def victim_of(trial: Trial, fault: Fault) -> str:
    """Choose the process that a fault concerns."""
    world = trial.world
    names = {
        "entry": world.names(ENTRY),
        "agent": world.names(AGENT),
        "upstream": world.upstream_names(),
        "engine": [n for n in world.upstream_names() if ":model-" in n],
        "": [""],
    }[fault.victims]
    return trial.rng.choice(names)
