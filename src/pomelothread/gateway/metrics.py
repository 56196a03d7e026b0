"""Prometheus metrics of a gateway."""

from ..clock import Clock
from ..metrics import Metrics
from .jobs import Job


class GatewayMetrics:
    """Counters, histograms and gauges that a gateway serves on its admin addresses.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._metrics = Metrics(clock)
        self._ended = self._metrics.counter(
            "gateway_requests_total", "Admitted requests by outcome.", "outcome"
        )
        self._refused = self._metrics.counter(
            "gateway_refusals_total", "Requests answered as not run.", "reason"
        )
        self._attempts = self._metrics.counter(
            "gateway_attempts_total", "Attempts at upstreams by end.", "service", "end"
        )
        self._wait = self._metrics.histogram(
            "gateway_wait_seconds", "Time from arrival to sending.", "service"
        )
        self._first_event = self._metrics.histogram(
            "gateway_first_event_seconds",
            "Time from sending to the first event.",
            "service",
        )
        self._response = self._metrics.histogram(
            "gateway_response_seconds", "Time from arrival to the end.", "service"
        )
        self._streams = self._metrics.counter(
            "gateway_broken_streams_total",
            "Streams that broke by what followed.",
            "outcome",
        )
        self._starts = self._metrics.counter(
            "gateway_upstream_starts_total",
            "Starts that upstreams state, compared with the list.",
            "result",
        )
        self._unframed = self._metrics.counter(
            "gateway_unframed_responses_total",
            "Responses that end with their connection by proof of the end.",
            "proof",
        )
        self.waiting = self._metrics.gauge(
            "gateway_waiting_requests", "Requests that wait for an upstream."
        )
        self.open = self._metrics.gauge(
            "gateway_open_requests", "Requests that are not answered yet."
        )
        self.peers = self._metrics.gauge("gateway_peers", "Gateways that are heard.")
        self.configuration = self._metrics.gauge(
            "gateway_configuration_version", "Version of the configuration in force."
        )
        self.store_epoch = self._metrics.gauge(
            "gateway_store_epoch",
            "How often the store has returned from an older copy, as it counts.",
        )
        self.limited_upstreams = self._metrics.gauge(
            "gateway_limited_upstreams", "Upstreams that limit the requests they take."
        )
        self.refused_parts = self._metrics.gauge(
            "gateway_refused_prompt_parts",
            "Parts of prompts that crash upstreams and are refused.",
        )
        self._permits = self._metrics.counter(
            "gateway_permits_total",
            "Permits for requests to limited upstreams by event.",
            "upstream",
            "event",
        )
        self.lines_dropped = self._metrics.gauge(
            "gateway_log_lines_dropped", "Log lines that nobody read in time."
        )

    def record_end(self, job: Job, outcome: str) -> None:
        """Count the end of an admitted request by its outcome."""
        self._ended.labels(outcome).add()
        took_s = self._clock.monotonic_s() - job.waiting.arrived_s
        self._response.labels(job.service).observe(took_s)

    def record_refusal(self, reason: str) -> None:
        """Count a request that was refused without being run."""
        self._refused.labels(reason).add()

    def record_sent(self, service: str, waited_s: float) -> None:
        """Record how long a request waited before it was sent."""
        self._wait.labels(service).observe(waited_s)

    def record_permit(self, upstream_id: str, event: str) -> None:
        """Count a permit that was issued, used, returned or is void."""
        self._permits.labels(upstream_id, event).add()

    def record_stream(self, outcome: str) -> None:
        """Count a stream that goes on after a break, is refused or is cut."""
        self._streams.labels(outcome).add()

    def record_start(self, result: str) -> None:
        """Count a start that equals the listed one, differs from it or is unknown."""
        self._starts.labels(result).add()

    def record_unframed(self, proof: str) -> None:
        """Count a response without framing by what proves that it is whole."""
        self._unframed.labels(proof).add()

    def record_attempt(self, service: str, end: str, first_s: float | None) -> None:
        """Count an attempt that has ended."""
        self._attempts.labels(service, end).add()
        if first_s is not None:
            self._first_event.labels(service).observe(first_s)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.render()
