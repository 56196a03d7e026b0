"""Logs and counts which processes write the events of streams."""

import logging
from collections.abc import Callable

from ..clock import Clock
from ..events import Event, log_event
from ..policy.response_ends import EndProof, NoProof
from ..policy.stream_versions import MAX_ID_CHARS
from .dialect import NoStart
from .jobs import Job
from .metrics import GatewayMetrics
from .upstreams import UpstreamListing

_log = logging.getLogger(__name__)


class StreamLog:
    """Writes what tells afterwards which process wrote each part of a stream.

    Parameters
    ----------
    metrics : GatewayMetrics
        Counts streams and starts.
    clock : Clock
        Source of time.
    list_as_of_s : callable
        Returns the monotonic time of the list of upstreams that is known; None before
        the first read.
    """

    def __init__(
        self,
        metrics: GatewayMetrics,
        clock: Clock,
        list_as_of_s: Callable[[], float | None],
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._list_as_of_s = list_as_of_s

    def record_start(
        self, job: Job, listing: UpstreamListing, start_ms: int | NoStart
    ) -> None:
        """Record the start that a process states before it gets a request."""
        if isinstance(start_ms, NoStart):
            # Logged once for each upstream, where it was asked.
            self._metrics.record_start("unknown")
            return
        if start_ms == listing.started_ms:
            self._metrics.record_start("as listed")
            return
        self._metrics.record_start("not listed")
        log_event(
            _log,
            Event.UPSTREAM_START_DIFFERS,
            upstream=listing.upstream_id,
            address=listing.address,
            start_ms=start_ms,
            request_id=job.request_id,
            listed_start_ms=listing.started_ms,
            software_version=listing.software_version,
            list_age_s=self._list_age_s(),
        )

    def record_continuation(
        self,
        job: Job,
        listing: UpstreamListing,
        started_ms: int | None,
        first_event_id: int | None,
    ) -> None:
        """Record the first event of a stream that goes on at an upstream.

        Parameters
        ----------
        job : Job
            The request, with the last event that its caller has received.
        listing : UpstreamListing
            Entry of the upstream.
        started_ms : int or None
            Start that its process has stated; None if it is not known.
        first_event_id : int or None
            None if the event has no id, or if there is none.
        """
        log_event(
            _log,
            Event.STREAM_GOES_ON,
            stream=job.stream_id[:MAX_ID_CHARS],
            request_id=job.request_id,
            last_event_id=job.last_event_id,
            first_event_id=first_event_id,
            upstream=listing.upstream_id,
            software_version=listing.software_version,
            start_ms=started_ms,
            listed_start_ms=listing.started_ms,
            list_age_s=self._list_age_s(),
        )

    def record_outcome(self, outcome: str) -> None:
        """Count a stream that has gone on after a break, or was refused or cut."""
        self._metrics.record_stream(outcome)

    def record_unframed_end(
        self,
        job: Job,
        listing: UpstreamListing,
        started_ms: int | None,
        proof: EndProof | NoProof,
    ) -> None:
        """Record what proves that a response without framing is whole, or why not."""
        self._metrics.record_unframed(_name(proof))
        log_event(
            _log,
            Event.UNFRAMED_RESPONSE_ENDED,
            upstream=listing.upstream_id,
            request_id=job.request_id,
            last_event_id=job.last_event_id,
            stream=job.stream_id[:MAX_ID_CHARS],
            start_ms=started_ms,
            listed_start_ms=listing.started_ms,
            proof=_name(proof),
        )

    def _list_age_s(self) -> float | None:
        as_of_s = self._list_as_of_s()
        return (
            None if as_of_s is None else round(self._clock.monotonic_s() - as_of_s, 3)
        )


def _name(proof: EndProof | NoProof) -> str:
    return proof.value if isinstance(proof, EndProof) else f"none: {proof.value}"
