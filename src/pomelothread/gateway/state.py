"""State that all tasks of a gateway share."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from ..events import Event, log_event
from ..http1.server import ServerLimits
from ..policy.configuration_versions import ConfigurationVersions
from ..policy.retries import RetryBudget
from .configuration import Configuration
from .settings import GatewaySettings

_log = logging.getLogger(__name__)

# Fraction of the fleet's retry budget that the gateways use together. The rest covers
# retries that restarted processes have sent and no longer count.
BUDGET_SHARE = 0.5
# Minimum number of gateways by which the retry budget is divided: a process that has
# just started does not know of the others yet.
MIN_GATEWAYS = 3


def _not_started(work: Coroutine[Any, Any, None]) -> object:
    work.close()
    raise AssertionError("a task was started before the process")


class GatewayState:
    """Configuration in force, shutdown state and retry budgets of one process.

    Parameters
    ----------
    settings : GatewaySettings
        Of the process.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}
        self.configuration: Configuration | None = None
        self.versions = ConfigurationVersions()
        self.configuration_received = asyncio.Event()
        # Set when the start is complete and requests no longer wait for it.
        self.startup_complete = asyncio.Event()
        self.n_open = 0
        self.is_draining = False
        self.refuses_new = False
        self.n_gateways = 1
        self.last_peer_message_s: float | None = None
        # Starts a task; set by the process, which stops if the task fails.
        self.start: Callable[[Coroutine[Any, Any, None]], object] = _not_started

    @property
    def limits(self) -> ServerLimits:
        """Limits on what callers may send, as now in force."""
        return self.configuration.limits if self.configuration else ServerLimits()

    @property
    def usable_configuration(self) -> Configuration | None:
        """Configuration to decide by; None if only peers have the newest one."""
        return None if self.versions.is_outdated else self.configuration

    def accept(
        self, configuration: Configuration, digest: int = 0, epoch: int = 0
    ) -> bool:
        """Put a configuration in force if it is newer; return whether it was.

        Parameters
        ----------
        configuration : Configuration
            The configuration.
        digest : int
            Checksum of its record.
        epoch : int
            Epoch of the store from which it was read.
        """
        previous = self.configuration
        if not self.versions.accept(configuration.version, digest, epoch):
            return False
        self.configuration = configuration
        self.configuration_received.set()
        log_event(
            _log,
            Event.CONFIGURATION_IN_FORCE,
            configuration_version=configuration.version,
            previous_version=previous.version if previous else None,
        )
        return True

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the budget for retries of this process to a service."""
        n_gateways = max(MIN_GATEWAYS, self.n_gateways)
        stock = BUDGET_SHARE * self._settings.retry_stock / n_gateways
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(BUDGET_SHARE * self._settings.retry_ratio, stock)
            self._budgets[service] = budget
        budget.set_stock(stock)
        return budget

    def peer_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the last message of any peer, or None."""
        if self.last_peer_message_s is None:
            return None
        return round(now_s - self.last_peer_message_s, 3)
