"""Counters, gauges and histograms in the Prometheus text format.

prometheus_client renders the text and reports memory and CPU time of the process.
Its own counters need a lock and 1.1 us for each update, and its summaries have no
quantiles, so values are stored here: plain numbers, and hdrhistogram for
distributions.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from hdrh.histogram import HdrHistogram

from .clock import Clock

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry
    from prometheus_client.metrics_core import Metric

# Equals prometheus_client.exposition.CONTENT_TYPE_PLAIN_0_0_4. Importing that module
# takes 50 ms, a fifth of the start of a gateway, so it is imported only when metrics
# are rendered.
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "pomelothread_"
QUANTILES = (0.5, 0.9, 0.99, 0.999)

# Maximum number of series in a family; further ones are combined as `OTHER`. A series
# for each of 17,000 organisations would exhaust the memory of the process.
MAX_SERIES = 500
OTHER = "other"

# Quantiles cover the last one to two windows. After a day, quantiles over the whole
# lifetime of a process no longer show a single slow value.
WINDOW_S = 60.0

# Significant digits of a histogram. Two digits keep the relative error below 1% and
# take 30 KiB for each histogram; three digits take 180 KiB.
_N_DIGITS = 2


class Counter:
    """Value that only increases.

    Examples
    --------
    >>> counter = Counter()
    >>> counter.add()
    >>> counter.value
    1
    """

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value: float = 0

    def add(self, n: float = 1) -> None:
        """Add `n`, which must not be negative."""
        self.value += n


class Gauge:
    """Value that is set, or that a function returns when it is read."""

    __slots__ = ("_read", "_value")

    def __init__(self) -> None:
        self._value: float = 0
        self._read: Callable[[], float] | None = None

    @property
    def value(self) -> float:
        """The current value."""
        return self._value if self._read is None else self._read()

    def set(self, value: float) -> None:
        """Set the value."""
        self._value = value

    def set_function(self, read: Callable[[], float]) -> None:
        """Call `read` whenever the value is read."""
        self._read = read


class Histogram:
    """Distribution of values from `resolution` to `maximum`.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    resolution : float
        Smallest difference between recorded values, in their unit.
    maximum : float
        Larger values are recorded as this one.
    """

    __slots__ = (
        "_clock",
        "_current",
        "_largest",
        "_previous",
        "_scale",
        "_window_end_s",
        "count",
        "total",
    )

    def __init__(self, clock: Clock, resolution: float, maximum: float) -> None:
        self._clock = clock
        self._scale = 1 / resolution
        self._largest = round(maximum / resolution)
        self._current = self._make()
        self._previous = self._make()
        self._window_end_s = clock.monotonic_s() + WINDOW_S
        self.count = 0
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Record a value; a negative one is recorded as zero."""
        if self._clock.monotonic_s() >= self._window_end_s:
            self._rotate()
        self.count += 1
        self.total += value
        self._current.record_value(
            min(max(round(value * self._scale), 0), self._largest)
        )

    def quantiles(self, *quantiles: float) -> tuple[float, ...]:
        """Return quantiles of the last one to two windows.

        Parameters
        ----------
        *quantiles : float
            Fractions from 0 to 1.

        Returns
        -------
        tuple of float
            A value for each; NaN if nothing was observed.
        """
        if self._clock.monotonic_s() >= self._window_end_s:
            self._rotate()
        merged = self._make()
        merged.add(self._previous)
        merged.add(self._current)
        if not merged.get_total_count():
            return (float("nan"),) * len(quantiles)
        values = merged.get_percentile_to_value_dict([100 * q for q in quantiles])
        return tuple(values[100 * q] / self._scale for q in quantiles)

    def _make(self) -> HdrHistogram:
        return HdrHistogram(1, self._largest, _N_DIGITS)

    def _rotate(self) -> None:
        now_s = self._clock.monotonic_s()
        # If nothing was recorded or read for a whole window, the current values are
        # too old as well.
        is_recent = now_s < self._window_end_s + WINDOW_S
        # A new histogram takes 34 us; reset() of the library takes 331 us.
        self._previous = self._current if is_recent else self._make()
        self._current = self._make()
        self._window_end_s = now_s + WINDOW_S


S = TypeVar("S", Counter, Gauge, Histogram)


class Family(Generic[S]):
    """All series of one metric.

    Parameters
    ----------
    name : str
        Name with its unit, without the common prefix.
    help_text : str
        Description in one sentence.
    label_names : tuple of str
        Names of the labels.
    make : callable
        Returns a new series.
    """

    __slots__ = ("_make", "help_text", "label_names", "name", "series")

    def __init__(
        self,
        name: str,
        help_text: str,
        label_names: tuple[str, ...],
        make: Callable[[], S],
    ) -> None:
        self.name = name
        self.help_text = help_text
        self.label_names = label_names
        self.series: dict[tuple[str, ...], S] = {}
        self._make: Callable[[], S] = make

    def labels(self, *values: str) -> S:
        """Return the series of the label values.

        Parameters
        ----------
        *values : str
            A value for each label name.

        Returns
        -------
        Counter, Gauge or Histogram
            For new label values beyond `MAX_SERIES`, the series whose labels are all
        `OTHER`.
        """
        series = self.series.get(values)
        if series is not None:
            return series
        if len(values) != len(self.label_names):
            raise ValueError(
                f"{self.name} was given {len(values)} label values {values}, expected "
                f"one for each of {self.label_names}; pass them in this order"
            )
        if len(self.series) >= MAX_SERIES:
            values = (OTHER,) * len(values)
        return self.series.setdefault(values, self._make())


@dataclass(frozen=True, slots=True)
class _TypedFamily:
    """A family and the type that it is rendered as."""

    kind: str
    family: Family[Any]

    def metric(self) -> "Metric":
        from prometheus_client.metrics_core import Metric

        # prometheus_client appends the suffix to the name of a counter's family.
        name = PREFIX + self.family.name
        metric = Metric(name.removesuffix("_total"), self.family.help_text, self.kind)
        # A copy, since the function of a gauge may add series to the family.
        for values, series in list(self.family.series.items()):
            labels = dict(zip(self.family.label_names, values, strict=True))
            if isinstance(series, Histogram):
                _add_summary(metric, labels, series)
            else:
                metric.add_sample(name, labels, series.value)
        return metric


def _add_summary(metric: "Metric", labels: dict[str, str], series: Histogram) -> None:
    for quantile, value in zip(QUANTILES, series.quantiles(*QUANTILES), strict=True):
        metric.add_sample(metric.name, {**labels, "quantile": str(quantile)}, value)
    metric.add_sample(metric.name + "_count", labels, series.count)
    metric.add_sample(metric.name + "_sum", labels, series.total)


class Metrics:
    """The metrics of a process.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time for the windows of histograms.

    Examples
    --------
    >>> from pomelothread.clock import SystemClock
    >>> metrics = Metrics(SystemClock())
    >>> requests = metrics.counter("requests_total", "Requests.", "tier")
    >>> requests.labels("check").add()
    >>> print(metrics.render().decode().splitlines()[2])
    pomelothread_requests_total{tier="check"} 1.0
    """

    __slots__ = ("_clock", "_families", "_registry")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._families: dict[str, _TypedFamily] = {}
        self._registry: CollectorRegistry | None = None

    def counter(self, name: str, help_text: str, *label_names: str) -> Family[Counter]:
        """Add a counter; its name ends in ``_total``."""
        if not name.endswith("_total"):
            raise ValueError(f"name={name!r}, expected a final _total; append it")
        return self._add("counter", Family(name, help_text, label_names, Counter))

    def gauge(self, name: str, help_text: str, *label_names: str) -> Family[Gauge]:
        """Add a gauge."""
        return self._add("gauge", Family(name, help_text, label_names, Gauge))

    def histogram(
        self,
        name: str,
        help_text: str,
        *label_names: str,
        resolution: float = 1e-6,
        maximum: float = 3600.0,
    ) -> Family[Histogram]:
        """Add a histogram; by default of seconds, from 1 us to an hour."""

        def make() -> Histogram:
            return Histogram(self._clock, resolution, maximum)

        return self._add("summary", Family(name, help_text, label_names, make))

    def collect(self) -> "Iterator[Metric]":
        """Return all families for prometheus_client."""
        return (typed_family.metric() for typed_family in self._families.values())

    def render(self) -> bytes:
        """Return the text exposition of all metrics."""
        from prometheus_client import CollectorRegistry, ProcessCollector
        from prometheus_client.exposition import generate_latest

        if self._registry is None:
            self._registry = CollectorRegistry(auto_describe=False)
            self._registry.register(self)
            ProcessCollector(registry=self._registry)
        return generate_latest(self._registry)

    def _add(self, kind: str, family: Family[S]) -> Family[S]:
        if family.name in self._families:
            raise ValueError(f"name={family.name!r} is taken; choose another name")
        self._families[family.name] = _TypedFamily(kind, family)
        if not family.label_names:
            # Makes a series without labels visible before its first update.
            family.labels()
        return family
