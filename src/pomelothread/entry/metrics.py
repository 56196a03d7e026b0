"""Metrics of an entry."""

from ..metrics import Metrics
from ..operators.sheet import Service
from ..outcomes import NotKnown, NotRun

MAX_DURATION_S = 3600.0
DURATION_RESOLUTION_S = 0.0001


class EntryMetrics:
    """Counters and histograms of an entry.

    Parameters
    ----------
    metrics : Metrics
        Registry that they are added to.
    """

    __slots__ = ("_durations", "_requests", "streams_cut")

    def __init__(self, metrics: Metrics) -> None:
        self._requests = metrics.counter(
            "requests_total",
            "Requests with a final answer.",
            "tier",
            "service",
            "outcome",
            "reason",
        )
        self._durations = metrics.histogram(
            "request_seconds",
            "Time from arrival to the end of the answer.",
            "tier",
            "outcome",
            resolution=DURATION_RESOLUTION_S,
            maximum=MAX_DURATION_S,
        )
        self.streams_cut = metrics.counter(
            "streams_cut_total", "Streams that ended early."
        ).labels()

    def observe_request(
        self, service: Service, outcome: NotRun | NotKnown | None, elapsed_s: float
    ) -> None:
        """Count a finished request and record its duration.

        Parameters
        ----------
        service : Service
            The requested service.
        outcome : NotRun, NotKnown or None
            Why there was no response; None if the request ran.
        elapsed_s : float
            Seconds from its arrival to the end of its response.
        """
        match outcome:
            case None:
                name, reason = "run", ""
            case NotRun():
                name, reason = "not-run", outcome.reason.value[0]
            case NotKnown():
                name, reason = "not-known", outcome.reason.value[0]
        self._requests.labels(service.tier, service.name, name, reason).add()
        self._durations.labels(service.tier, name).observe(elapsed_s)
