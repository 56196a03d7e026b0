"""Health checks of the upstream beside an agent."""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..peers.http_exchange import End, ExchangeClient, NotConnected, ResponseHead

HEALTH_PATH = "/health"
CHECK_PERIOD_S = 0.5
TIMEOUT_S = 0.5

# A single failure can be a lost packet or a pause of the engine.
FAILURES_UNTIL_DOWN = 2
MAX_ANSWER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Up:
    """The upstream answers its health check."""


@dataclass(frozen=True, slots=True)
class Down:
    """The upstream failed consecutive checks; `detail` describes the last one."""

    detail: str


@dataclass(frozen=True, slots=True)
class Gone:
    """Nothing listens on its address: its process has ended or is restarting.

    All requests that ran there are lost.
    """

    detail: str


HealthChange = Up | Down | Gone


class UpstreamHealth:
    """Checks the health of the upstream periodically and reports changes.

    Parameters
    ----------
    client : ExchangeClient
        Client for requests to the upstream.
    url : str
        Base URL of the upstream.
    clock : Clock
        Clock for the check period.
    on_change : callable
        Called with each `HealthChange`. If the upstream was up, a refused
        connection is reported as `Gone` at the first failure, since it cannot be
        caused by load.

    Attributes
    ----------
    is_up : bool
        False before the first successful check, after two consecutive failures
        and after a refused connection.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_is_gone",
        "_n_failures",
        "_on_change",
        "_url",
        "is_up",
    )

    def __init__(
        self,
        client: ExchangeClient,
        url: str,
        clock: Clock,
        on_change: Callable[[HealthChange], None],
    ) -> None:
        self._client = client
        self._clock = clock
        self._is_gone = False
        self._n_failures = 0
        self._on_change = on_change
        self._url = url.rstrip("/") + HEALTH_PATH
        self.is_up = False

    async def run(self) -> None:
        """Check until the task is cancelled."""
        while True:
            started_s = self._clock.monotonic_s()
            await self.check()
            # The time of the check counts towards the period. Otherwise, after
            # a timeout, the second failure would come a whole second later.
            elapsed_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(0.0, CHECK_PERIOD_S - elapsed_s))

    async def check(self) -> None:
        """Check once and report a change."""
        match await self._request_health():
            case ResponseHead(status=200):
                self._record_success()
            case ResponseHead(status=status):
                self._record_failure(f"health check returned status {status}")
            case NotConnected(detail=detail, is_refused=True):
                self._record_refusal(detail)
            case end:
                self._record_failure(str(end))

    async def refuses_connections(self) -> bool:
        """Check whether nothing listens on the upstream's address now."""
        head = await self._request_health()
        return isinstance(head, NotConnected) and head.is_refused

    async def _request_health(self) -> ResponseHead | End:
        exchange = self._client.open_exchange(
            "GET",
            self._url,
            {},
            connect_timeout_s=TIMEOUT_S,
            total_timeout_s=TIMEOUT_S,
        )
        head = await exchange.head()
        await exchange.read_whole(MAX_ANSWER_BYTES)
        return head

    def _record_success(self) -> None:
        self._n_failures = 0
        self._is_gone = False
        if not self.is_up:
            self.is_up = True
            self._on_change(Up())

    def _record_failure(self, detail: str) -> None:
        self._n_failures += 1
        if self.is_up and self._n_failures >= FAILURES_UNTIL_DOWN:
            self.is_up = False
            self._on_change(Down(detail))

    def _record_refusal(self, detail: str) -> None:
        self._n_failures += 1
        if self._is_gone:
            return
        self._is_gone = True
        if self.is_up:
            self.is_up = False
            self._on_change(Gone(detail))
