"""Keeping an engine's adapters as the sheet wants them."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from ..clock import Clock
from ..events import Event, log_event
from ..operators.sheet import Sheet
from ..peers.waiting import wait_at_most
from ..upstreams.management import (
    Applied,
    Command,
    EngineManager,
    LoadAdapter,
    UnloadAdapter,
    start_delay_s,
)

_logger = logging.getLogger(__name__)

# The engine's list is compared with the sheet this often, since an engine that
# restarts has lost its adapters.
COMPARE_PERIOD_S = 10.0


class AdapterKeeper:
    """Loads and unloads adapters, one command at a time.

    Only the agent in the engine's slot owns one, and each command is given up
    if another sheet has come into force before it is sent. So an old command
    does no harm at an engine that ignores fencing tokens either.

    Parameters
    ----------
    manager : EngineManager
        Issues the commands.
    pool, instance : str
        Of this agent.
    instances : callable
        Returns the names of all instances of the pool.
    load_interval_s : float
        Time that the weight store needs between two starts of a load.
    clock : Clock
        For the period.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_instance",
        "_instances",
        "_load_interval_s",
        "_manager",
        "_pool",
        "_sheet",
        "_unwanted",
    )

    def __init__(
        self,
        manager: EngineManager,
        pool: str,
        instance: str,
        instances: Callable[[], Iterable[str]],
        load_interval_s: float,
        clock: Clock,
    ) -> None:
        self._manager = manager
        self._pool = pool
        self._instance = instance
        self._instances = instances
        self._load_interval_s = load_interval_s
        self._clock = clock
        self._sheet = Sheet()
        self._unwanted: set[str] = set()
        self._changed = asyncio.Event()

    def use_sheet(self, sheet: Sheet) -> None:
        """Take over what a newer sheet wants."""
        self._unwanted |= self._wanted().keys()
        self._sheet = sheet
        self._unwanted -= self._wanted().keys()
        self._changed.set()

    async def run(self) -> None:
        """Compare and correct until the task is cancelled."""
        while True:
            self._changed.clear()
            await self.correct()
            changed = asyncio.ensure_future(self._changed.wait())
            await wait_at_most(changed, self._clock, COMPARE_PERIOD_S)
            changed.cancel()

    async def correct(self) -> None:
        """Issue the commands that the engine's list of models calls for."""
        wanted = self._wanted()
        if not wanted and not self._unwanted:
            return
        listed = await self._manager.models()
        if listed is None:
            return
        self._unwanted &= listed
        commands: list[Command] = [UnloadAdapter(n) for n in sorted(self._unwanted)]
        commands += [
            LoadAdapter(name, path)
            for name, path in sorted(wanted.items())
            if name not in listed
        ]
        version = self._sheet.version
        for command in commands:
            await self._issue(command, version)

    async def _issue(self, command: Command, version: int) -> None:
        delay_s = 0.0
        if isinstance(command, LoadAdapter):
            delay_s = start_delay_s(
                self._instance,
                {self._instance, *self._instances()},
                command.name,
                self._load_interval_s,
            )
        result = await self._manager.issue(command, version, delay_s)
        if isinstance(result, Applied):
            log_event(
                _logger, Event.COMMAND_DONE, command=command, fencing_token=version
            )
            return
        log_event(
            _logger,
            Event.COMMAND_FAILED,
            command=command,
            fencing_token=version,
            detail=result,
        )

    def _wanted(self) -> dict[str, str]:
        return {
            adapter.name: adapter.path
            for adapter in self._sheet.adapters.values()
            if adapter.pool == self._pool
        }
