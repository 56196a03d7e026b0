"""Whether the upstream beside an agent can take requests."""

import logging
from collections.abc import Callable

from ..clock import Clock
from ..events import Event, log_event
from ..peers.http_exchange import Exchange, ExchangeClient, NotConnected, ResponseHead

_logger = logging.getLogger(__name__)

HEALTH_PATH = "/health"
PERIOD_S = 0.5
TIMEOUT_S = 0.5
N_FAILURES_DOWN = 2
MAX_ANSWER_BYTES = 65_536


class UpstreamHealth:
    """Asks the upstream for its health and reports changes.

    Parameters
    ----------
    client : ExchangeClient
        Towards the upstream.
    url : str
        Base URL of the upstream.
    clock : Clock
        For the period.
    on_change : callable
        Called with True or False when `is_up` changes.

    Attributes
    ----------
    is_up : bool
        False before the first good answer and after two failures in a row.
    """

    __slots__ = ("_client", "_clock", "_n_failures", "_on_change", "_url", "is_up")

    def __init__(
        self,
        client: ExchangeClient,
        url: str,
        clock: Clock,
        on_change: Callable[[bool], None],
    ) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self._clock = clock
        self._on_change = on_change
        self._n_failures = 0
        self.is_up = False

    async def run(self) -> None:
        """Ask until the task is cancelled."""
        while True:
            self._observe(await self._ask())
            await self._clock.sleep(PERIOD_S)

    async def refuses_connections(self) -> bool:
        """Whether nothing listens at the upstream's address now."""
        exchange = self._open()
        head = await exchange.head()
        await exchange.read_whole(MAX_ANSWER_BYTES)
        return isinstance(head, NotConnected)

    async def _ask(self) -> str:
        """Return a sentence on what is wrong, or "" if all is well."""
        exchange = self._open()
        head = await exchange.head()
        await exchange.read_whole(MAX_ANSWER_BYTES)
        match head:
            case ResponseHead(status=200):
                return ""
            case ResponseHead(status=status):
                return f"{HEALTH_PATH} answered {status}"
            case _:
                return str(head)

    def _open(self) -> Exchange:
        return self._client.open_exchange(
            "GET", self._url + HEALTH_PATH, {}, total_timeout_s=TIMEOUT_S
        )

    def _observe(self, fault: str) -> None:
        if not fault:
            self._n_failures = 0
            if not self.is_up:
                self.is_up = True
                log_event(_logger, Event.UPSTREAM_UP, url=self._url)
                self._on_change(True)
            return
        self._n_failures += 1
        if self.is_up and self._n_failures >= N_FAILURES_DOWN:
            self.is_up = False
            log_event(_logger, Event.UPSTREAM_DOWN, url=self._url, detail=fault)
            self._on_change(False)
