"""Whether the upstream beside an agent can take requests."""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..peers.http_exchange import End, ExchangeClient, NotConnected, ResponseHead

HEALTH_PATH = "/health"
PERIOD_S = 0.5
TIMEOUT_S = 0.5

# One failure can be a lost packet or a pause of the engine.
N_FAILURES_DOWN = 2
MAX_ANSWER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Up:
    """The upstream answers its health check."""


@dataclass(frozen=True, slots=True)
class Down:
    """The upstream failed its check too often; `detail` describes the last one."""

    detail: str


@dataclass(frozen=True, slots=True)
class Gone:
    """Nothing listens at its address: its process has ended or restarts.

    All requests that ran there are lost.
    """

    detail: str


HealthChange = Up | Down | Gone


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
        Receives each `HealthChange`. A refused connection is reported as
        `Gone` by its first failure, since it is no matter of load.

    Attributes
    ----------
    is_up : bool
        False before the first good answer and after two failures in a row.
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
        """Ask until the task is cancelled."""
        while True:
            started_s = self._clock.monotonic_s()
            await self.check()
            # A check that times out must not lengthen the period: the second
            # failure would come a second later.
            elapsed_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(0.0, PERIOD_S - elapsed_s))

    async def check(self) -> None:
        """Ask once and report a change."""
        match await self._ask():
            case ResponseHead(status=200):
                self._succeed()
            case ResponseHead(status=status):
                self._fail(f"{HEALTH_PATH} answered {status}")
            case NotConnected(detail=detail, is_refused=True):
                self._lose(detail)
            case end:
                self._fail(str(end))

    async def refuses_connections(self) -> bool:
        """Whether nothing listens at the upstream's address now."""
        head = await self._ask()
        return isinstance(head, NotConnected) and head.is_refused

    async def _ask(self) -> ResponseHead | End:
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

    def _succeed(self) -> None:
        self._n_failures = 0
        self._is_gone = False
        if not self.is_up:
            self.is_up = True
            self._on_change(Up())

    def _fail(self, detail: str) -> None:
        self._n_failures += 1
        if self.is_up and self._n_failures >= N_FAILURES_DOWN:
            self.is_up = False
            self._on_change(Down(detail))

    def _lose(self, detail: str) -> None:
        self._n_failures += 1
        if self._is_gone:
            return
        self._is_gone = True
        if self.is_up:
            self.is_up = False
            self._on_change(Gone(detail))
