"""Load reports of an engine: Prometheus text with vLLM's metric names."""

from collections.abc import Callable
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families
from returns.result import Failure, Result, Success

from ..clock import Clock
from ..peers.http_exchange import ExchangeClient, ResponseHead

METRICS_PATH = "/metrics"
POLL_PERIOD_S = 0.5
TIMEOUT_S = 1.0

# An engine's full exposition has some hundred histogram lines.
MAX_REPORT_BYTES = 2_097_152

_RUNNING = "vllm:num_requests_running"
_WAITING = "vllm:num_requests_waiting"
# vLLM renamed this metric between versions.
_CACHE_USAGE = ("vllm:kv_cache_usage_perc", "vllm:gpu_cache_usage_perc")
_START_TIME = "process_start_time_seconds"
_PARSED_METRICS = (_RUNNING, _WAITING, *_CACHE_USAGE, _START_TIME)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as reported by an engine; the report may be seconds old.

    Parameters
    ----------
    n_running, n_waiting : int
        Requests in the batch and in the queue, over all models.
    cache_usage : float
        Used share of the KV cache, from 0 to 1; the highest of all models.
    started_s : float or None
        Start of the engine's process in seconds since the epoch, if reported.
    received_s : float
        Monotonic time of its arrival.
    """

    n_running: int
    n_waiting: int
    cache_usage: float
    started_s: float | None
    received_s: float


def parse_load_report(text: str, received_s: float) -> Result[LoadReport, str]:
    """Parse a load report.

    Parameters
    ----------
    text : str
        Prometheus text exposition.
    received_s : float
        Monotonic time of its arrival.

    Returns
    -------
    Result of LoadReport or str
        The failure describes what is missing or malformed.

    Examples
    --------
    >>> text = '''vllm:num_requests_running{model_name="a"} 2.0
    ... vllm:num_requests_waiting{model_name="a"} 5.0
    ... '''
    >>> parse_load_report(text, 0.0).unwrap().n_waiting
    5
    >>> parse_load_report("up 1", 0.0)
    <Failure: the report lacks vllm:num_requests_running>
    """
    # The parser takes about 10 us a line, and only five metrics matter.
    lines = [line for line in text.splitlines() if line.startswith(_PARSED_METRICS)]
    values: dict[str, list[float]] = {}
    try:
        for family in text_string_to_metric_families("\n".join(lines) + "\n"):
            for sample in family.samples:
                values.setdefault(sample.name, []).append(sample.value)
        n_running = int(sum(values.get(_RUNNING, ())))
        n_waiting = int(sum(values.get(_WAITING, ())))
    except (ValueError, OverflowError) as error:
        return Failure(f"the report is malformed: {error}")
    for name in (_RUNNING, _WAITING):
        if name not in values:
            return Failure(f"the report lacks {name}")
    usages = [value for name in _CACHE_USAGE for value in values.get(name, ())]
    starts = values.get(_START_TIME)
    return Success(
        LoadReport(
            n_running,
            n_waiting,
            max(usages, default=0.0),
            starts[0] if starts else None,
            received_s,
        )
    )


class LoadReportPoller:
    """Polls an engine's load reports and keeps the last valid one.

    Parameters
    ----------
    client : ExchangeClient
        Client for requests to the engine.
    url : str
        Base URL of the engine.
    clock : Clock
        Clock for the poll period and the age of reports.
    on_restart : callable
        Called when the start time of the engine's process has changed, which
        means that all its requests and its cache are lost.

    Attributes
    ----------
    latest : LoadReport or None
        The last valid report, regardless of its age.
    fault : str
        Why the last poll failed, or "" if it succeeded.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_on_restart",
        "_started_s",
        "_url",
        "fault",
        "latest",
    )

    def __init__(
        self,
        client: ExchangeClient,
        url: str,
        clock: Clock,
        on_restart: Callable[[], None],
    ) -> None:
        self._client = client
        self._url = url.rstrip("/") + METRICS_PATH
        self._clock = clock
        self._on_restart = on_restart
        self._started_s: float | None = None
        self.latest: LoadReport | None = None
        self.fault = ""

    @property
    def age_s(self) -> float:
        """Seconds since the last valid report arrived; infinite without one."""
        if self.latest is None:
            return float("inf")
        return self._clock.monotonic_s() - self.latest.received_s

    async def run(self) -> None:
        """Poll until the task is cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(POLL_PERIOD_S)

    async def poll(self) -> None:
        """Poll once; after a failure the last report is kept."""
        match await self._fetch():
            case Success(report):
                self.fault = ""
                self._store(report)
            case Failure(fault):
                self.fault = fault

    async def _fetch(self) -> Result[LoadReport, str]:
        exchange = self._client.open_exchange(
            "GET", self._url, {}, total_timeout_s=TIMEOUT_S, reuses_connection=True
        )
        head = await exchange.head()
        if not isinstance(head, ResponseHead):
            return Failure(str(head))
        body = await exchange.read_whole(MAX_REPORT_BYTES)
        if not isinstance(body, bytes):
            return Failure(str(body))
        if head.status != 200:
            return Failure(f"{METRICS_PATH} answered {head.status}")
        text = body.decode("utf-8", "replace")
        return parse_load_report(text, self._clock.monotonic_s())

    def _store(self, report: LoadReport) -> None:
        self.latest = report
        if report.started_s is None:
            return
        # The last known start time is kept when a report lacks one, so that a
        # restart in the meantime is still detected.
        previous_s, self._started_s = self._started_s, report.started_s
        if previous_s is not None and previous_s != report.started_s:
            self._on_restart()
