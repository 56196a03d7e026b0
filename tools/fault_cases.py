"""The table of faults, and the coroutines that inject them into a running trial."""

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
from fault_world import RETENTION_S, SystemUnderTest
from launch_settings import AGENT, ENTRY, LEAVING, LIVE
from launcher import INSTANCE_LIST, LOG
from pomelothread.clock import SystemClock
from pomelothread.log.client import HttpLogClient
from pomelothread.operators.planning import parse_sheet
from pomelothread.operators.publishing import Published, PublishRequest, publish_sheet
from processes import START_TIMEOUT_S

POLL_S = 0.005
# Shorter and longer than a grant's lifetime and the heartbeat timeout.
PAUSES_S = (0.2, 1.0, 2.8)
ANSWER_WAIT_S = 3.0
# An instance may still get work for 5 s after the list shows it as leaving.
LEAVING_S = 5.0
LEAVING_HOLD_S = 6.0
CRASH_STATUS = 70
MAX_CRASH_CALLS = 12


@dataclass(slots=True)
class Trial:
    """State of a running trial.

    All its markers start with `prefix`, and its part of the journal starts at
    `first_line`. Faults add the violations that they detect themselves to
    `violations`. To `leaving` they add an instance, the time when the list first
    showed it as leaving, and the time when this ended.
    """

    system: SystemUnderTest
    number: int
    faults: tuple[str, ...]
    rng: random.Random
    prefix: str
    callers: Callers
    first_line: int = 0
    n_crashes: int = 0
    is_load_sent: bool = False
    violations: list[tuple[str, str]] = field(default_factory=list)
    leaving: list[tuple[str, float, float]] = field(default_factory=list)

    def n_received(self) -> int:
        """Return how many requests of this trial the upstreams have received."""
        lines = self.system.journal.read()[self.first_line :]
        return sum(
            line.event == "received" and self.prefix in f"{line.path}{line.body}"
            for line in lines
        )

    async def wait_for_received(self) -> None:
        """Wait until the upstreams have received a random number of requests."""
        n_wanted = self.rng.randint(1, 16)
        while not self.is_load_sent and self.n_received() < n_wanted:
            await asyncio.sleep(POLL_S)

    async def wait_for_answers(
        self, n_more: int, limit_s: float = ANSWER_WAIT_S
    ) -> None:
        """Wait for further answers, up to a limit, as the fault may block them all."""
        n_wanted = len(self.callers.answers) + n_more
        try:
            async with asyncio.timeout(limit_s):
                while not self.is_load_sent and len(self.callers.answers) < n_wanted:
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            pass


Inject = Callable[[Trial, str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that can be injected.

    `victim_kind` is ``entry``, ``agent``, ``engine``, ``upstream`` or "". No running
    request may lose its answer through a harmless fault: a planned stop, or a fault
    of something that running requests don't need. `naive` says whether the fault
    applies to the naive scheduler, which has no agents.
    """

    inject: Inject
    victim_kind: str = ""
    is_harmless: bool = False
    naive: bool = True


async def _nothing(trial: Trial, victim: str) -> None:
    pass


async def _kill(trial: Trial, victim: str) -> None:
    async with trial.system.locks[victim]:
        await trial.system.launcher.kill(victim)
        if trial.rng.random() < 0.5:
            await trial.wait_for_answers(4)
        await trial.system.restart(victim)


async def _pause(trial: Trial, victim: str) -> None:
    pause_s = trial.rng.choice(PAUSES_S)
    async with trial.system.locks[victim]:
        trial.system.launcher.signal(victim, signal.SIGSTOP)
        try:
            await asyncio.sleep(pause_s)
        finally:
            trial.system.launcher.signal(victim, signal.SIGCONT)


async def _pause_pool(trial: Trial, victim: str) -> None:
    """Pause all engines long enough for their agents to close."""
    engines = [n for n in trial.system.upstream_names() if ":model-" in n]
    async with AsyncExitStack() as stack:
        for name in engines:
            await stack.enter_async_context(trial.system.locks[name])
        for name in engines:
            trial.system.launcher.signal(name, signal.SIGSTOP)
        await asyncio.sleep(max(PAUSES_S))
        for name in engines:
            trial.system.launcher.signal(name, signal.SIGCONT)


async def _terminate(trial: Trial, victim: str) -> None:
    system = trial.system
    async with system.planned_stop_lock(victim), system.locks[victim]:
        status = await trial.system.terminate(victim)
        if status not in (0, -signal.SIGTERM):
            trial.violations.append(("stop", f"{victim} exited with {status}"))
        await trial.system.restart(victim)


async def _rolling_restart(trial: Trial, victim: str) -> None:
    """Restart all nodes one after the other, as docs/OPERATIONS.md describes."""
    system = trial.system
    for name, node in system.launcher.nodes.items():
        async with system.planned_stop_lock(name), system.locks[name]:
            node.state = LEAVING
            await system.launcher.list_instances()
            status = await system.terminate(name)
            if status != 0:
                trial.violations.append(("stop", f"{name} exited with {status}"))
            node.state = LIVE
            await system.restart(name)
            async with asyncio.timeout(START_TIMEOUT_S):
                await system.wait_open(name)


def _upstream_fault(ends_by_kill: bool = False, **values: Any) -> Inject:
    """Return an injector that sets faults of an upstream for some answers.

    With `ends_by_kill`, the upstream is then killed and restarted, as its requests
    would never end; otherwise the faults are reset.
    """

    async def inject(trial: Trial, victim: str) -> None:
        instance = victim.removeprefix("upstream:")
        async with trial.system.locks[victim]:
            await trial.system.set_faults(instance, **values)
            await trial.wait_for_answers(trial.rng.randint(2, 20))
            if ends_by_kill:
                await trial.system.launcher.kill(victim)
                await trial.system.restart(victim)
            else:
                await trial.system.set_faults(instance, slow_factor=1.0, times=None)

    return inject


async def _slow_pool(trial: Trial, victim: str) -> None:
    """Slow all plain services down until protected checks miss their deadline."""
    plains = [n for n in trial.system.upstream_names() if ":ledger-" in n]
    for name in plains:
        await trial.system.set_faults(name.removeprefix("upstream:"), slow_factor=40.0)
    await trial.wait_for_answers(30, 2 * ANSWER_WAIT_S)
    for name in plains:
        if trial.system.launcher.program(name).is_running:
            await trial.system.set_faults(
                name.removeprefix("upstream:"), slow_factor=1.0
            )


def _platform_fault(name: str, **values: Any) -> Inject:
    """Return an injector that sets faults of the log or the list for some answers."""

    async def inject(trial: Trial, victim: str) -> None:
        await trial.system.set_faults(name, **values)
        await trial.wait_for_answers(trial.rng.randint(4, 24))
        reset = {key: type(value)(0) for key, value in values.items()}
        await trial.system.set_faults(name, **reset)

    return inject


async def _expire_log(trial: Trial, victim: str) -> None:
    """Let the log delete old records, which must have been carried forward."""
    await trial.system.set_faults(LOG, retention_s=RETENTION_S)
    await trial.wait_for_answers(8)


async def _mark_leaving(trial: Trial, victim: str) -> None:
    system = trial.system
    loop = asyncio.get_running_loop()
    node = system.launcher.nodes[victim]
    async with system.locks[victim]:
        node.state = LEAVING
        await system.launcher.list_instances()
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
        await system.launcher.list_instances()


async def _is_shown_leaving(trial: Trial, victim: str) -> bool:
    try:
        shown = await trial.system.listed_instances()
    except (OSError, HTTPClientError):
        return False
    labels = [group["labels"] for group in shown]
    return any(
        label["instance"] == victim and label["state"] == LEAVING for label in labels
    )


async def _replace(trial: Trial, victim: str) -> None:
    """Kill an agent and start one of another instance at its address."""
    system = trial.system
    async with system.locks[victim]:
        await system.launcher.kill(victim)
        system.replace_agent(victim, f"{victim}-new")
        await system.restart(victim)
        await trial.wait_for_answers(6)


async def _publish_concurrently(trial: Trial, victim: str) -> None:
    """Publish different sheets from the same base as two operators at once."""
    launcher = trial.system.launcher
    sheet = parse_sheet(launcher.deployment.sheet.read_bytes()).unwrap()
    log = HttpLogClient(launcher.log_address)
    base = max(
        [(await trial.system.status(n)).get("sheet_version", 0) for n in launcher.nodes]
    )

    def make_request(operator: str, share: int) -> PublishRequest:
        organisation = structs.replace(sheet.organisations["willow-yard"], share=share)
        rows = sheet.organisations | {"willow-yard": organisation}
        changed = structs.replace(sheet, organisations=rows)
        return PublishRequest(changed, base, operator, uuid.uuid4().hex, 10.0)

    try:
        requests = (
            make_request("first", 2 + trial.number % 50),
            make_request("second", 52),
        )
        outcomes = await asyncio.gather(
            *(publish_sheet(log, SystemClock(), request) for request in requests)
        )
    finally:
        log.close()
    n_published = sum(isinstance(outcome, Published) for outcome in outcomes)
    if n_published > 1:
        trial.violations.append(("sheet", f"two publications succeeded: {outcomes}"))
    if len(trial.faults) == 1 and n_published == 0:
        trial.violations.append(("sheet", f"no publication succeeded: {outcomes}"))


async def _crash_body(trial: Trial, victim: str) -> None:
    """Send a body that crashes engines repeatedly, until it is convicted or runs."""
    system = trial.system
    marker = f"{trial.prefix}-fatal."
    engines = [n for n in system.upstream_names() if ":model-" in n]
    for name in engines:
        await system.set_faults(name.removeprefix("upstream:"), crash_on_text=marker)
    supervisors = [
        asyncio.create_task(_restart_after_crashes(trial, name, marker))
        for name in engines
    ]
    call = Call("buyer-reply", "malvern-schools", 2, marker, "model", 8, True)
    try:
        for number in range(MAX_CRASH_CALLS):
            call = replace(call, entry=number)
            answer = await trial.callers.send(call)
            if answer.outcome == NOT_RUN and answer.detail == "convicted":
                break
            if answer.outcome == RUN:
                break
            if answer.outcome == NOT_RUN:
                for name in engines:
                    await _wait_running(trial, name)
    finally:
        for task in supervisors:
            task.cancel()
        await asyncio.gather(*supervisors, return_exceptions=True)


async def _wait_running(trial: Trial, name: str) -> None:
    program = trial.system.launcher.program(name)
    while not program.is_running or trial.system.locks[name].locked():
        await asyncio.sleep(POLL_S)


async def _restart_after_crashes(trial: Trial, name: str, marker: str) -> None:
    """Restart an engine whenever it ends, and count the crashes by the body."""
    program = trial.system.launcher.program(name)
    while True:
        status = await program.wait()
        async with trial.system.locks[name]:
            if program.is_running:
                continue
            trial.n_crashes += status == CRASH_STATUS
            await trial.system.restart(name)
            instance = name.removeprefix("upstream:")
            await trial.system.set_faults(instance, crash_on_text=marker)


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
    "log expires": Fault(_expire_log, is_harmless=True, naive=False),
    "list down": Fault(
        _platform_fault(INSTANCE_LIST, down=True), is_harmless=True, naive=False
    ),
    "list frozen": Fault(
        _platform_fault(INSTANCE_LIST, frozen=True), is_harmless=True, naive=False
    ),
    "list lags": Fault(
        _platform_fault(INSTANCE_LIST, lag_s=2.0), is_harmless=True, naive=False
    ),
    "leaving": Fault(_mark_leaving, "agent", is_harmless=True, naive=False),
    "replaced": Fault(_replace, "agent", naive=False),
    "two operators": Fault(_publish_concurrently, is_harmless=True, naive=False),
    "crash body": Fault(_crash_body),
    "rolling": Fault(_rolling_restart, is_harmless=True, naive=False),
}


def choose_victim(trial: Trial, fault: Fault) -> str:
    """Choose the process that a fault is injected into."""
    system = trial.system
    names = {
        "entry": system.names(ENTRY),
        "agent": system.names(AGENT),
        "upstream": system.upstream_names(),
        "engine": [n for n in system.upstream_names() if ":model-" in n],
        "": [""],
    }[fault.victim_kind]
    return trial.rng.choice(names)
