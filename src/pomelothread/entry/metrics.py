"""What an entry counts."""

from ..metrics import Metrics
from ..operators.sheet import Service
from ..outcomes import NotKnown, NotRun

MAX_TIME_S = 3600.0
RESOLUTION_S = 0.0001


class EntryMetrics:
    """Counters and histograms of an entry.

    Parameters
    ----------
    metrics : Metrics
        Where they are listed.
    """

    __slots__ = ("_finished", "_times", "cut")

    def __init__(self, metrics: Metrics) -> None:
        self._finished = metrics.counter(
            "requests_total",
            "Requests with a final answer.",
            "tier",
            "service",
            "outcome",
            "reason",
        )
        self._times = metrics.histogram(
            "request_seconds",
            "Time from arrival to the end of the answer.",
            "tier",
            "outcome",
            resolution=RESOLUTION_S,
            maximum=MAX_TIME_S,
        )
        self.cut = metrics.counter(
            "streams_cut_total", "Streams that ended early."
        ).labels()

    def finished(
        self, service: Service, outcome: NotRun | NotKnown | None, elapsed_s: float
    ) -> None:
        """Count a request.

        Parameters
        ----------
        service : Service
            What was asked for.
        outcome : NotRun, NotKnown or None
            None if the request ran.
        elapsed_s : float
            Seconds from its arrival to the end of its answer.
        """
        match outcome:
            case None:
                name, reason = "run", ""
            case NotRun():
                name, reason = "not-run", outcome.reason.value[0]
            case NotKnown():
                name, reason = "not-known", outcome.reason.value[0]
        self._finished.labels(service.tier, service.name, name, reason).add()
        self._times.labels(service.tier, name).observe(elapsed_s)
