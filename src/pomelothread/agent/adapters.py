"""Keeps the adapters loaded in an engine in line with the sheet."""

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

# How often the engine's list of models is compared with the sheet. An engine loses
# its adapters when it restarts.
RECONCILE_PERIOD_S = 10.0


class AdapterReconciler:
    """Loads and unloads adapters, one command at a time.

    Only the agent in the engine's slot sends it commands, and a command is dropped
    if another sheet has come into force before it is sent. So outdated commands are
    harmless even at an engine that ignores fencing tokens.

    Parameters
    ----------
    manager : EngineManager
        Sends the commands to the engine.
    pool, instance : str
        Of this agent.
    instances : callable
        Returns the names of all instances of the pool.
    load_interval_s : float
        Seconds that the weight store needs between the starts of two loads.
    clock : Clock
        For the delay between two comparisons.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_instance",
        "_load_interval_s",
        "_manager",
        "_pool",
        "_pool_instances",
        "_sheet",
        "_to_unload",
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
        self._pool_instances = instances
        self._load_interval_s = load_interval_s
        self._clock = clock
        self._sheet = Sheet()
        self._to_unload: set[str] = set()
        self._changed = asyncio.Event()

    def use_sheet(self, sheet: Sheet) -> None:
        """Use the adapters of a newer sheet."""
        self._to_unload |= self._desired_adapters().keys()
        self._sheet = sheet
        self._to_unload -= self._desired_adapters().keys()
        self._changed.set()

    async def run(self) -> None:
        """Reconcile periodically, and at each new sheet, until cancelled."""
        while True:
            self._changed.clear()
            await self.reconcile()
            changed = asyncio.ensure_future(self._changed.wait())
            await wait_at_most(changed, self._clock, RECONCILE_PERIOD_S)
            changed.cancel()

    async def reconcile(self) -> None:
        """Load missing adapters and unload those that were removed from the sheet."""
        desired = self._desired_adapters()
        if not desired and not self._to_unload:
            return
        listed = await self._manager.models()
        if listed is None:
            return
        self._to_unload &= listed
        commands: list[Command] = [UnloadAdapter(n) for n in sorted(self._to_unload)]
        commands += [
            LoadAdapter(name, path)
            for name, path in sorted(desired.items())
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
                {self._instance, *self._pool_instances()},
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

    def _desired_adapters(self) -> dict[str, str]:
        return {
            adapter.name: adapter.path
            for adapter in self._sheet.adapters.values()
            if adapter.pool == self._pool
        }
