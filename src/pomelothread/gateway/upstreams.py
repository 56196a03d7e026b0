"""Table of the listed upstreams, with their load, speed and health."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..addresses import Address
from ..policy.cells import upstreams_of_cell
from ..policy.departures import DepartureTracker, UpstreamStart
from ..policy.permits import PermitStock
from ..policy.rate_limits import (
    LimitChange,
    LimitReport,
    RateLimitTracker,
    RateStatement,
)
from ..policy.stream_versions import Software
from ..policy.upstream_health import HealthRecord
from ..policy.upstream_speed import FirstEventModel, SpeedEstimate


@dataclass(frozen=True, slots=True)
class UpstreamListing:
    """Entry of one upstream in the platform's list.

    Parameters
    ----------
    upstream_id : str
        Name of the upstream; it may be used again after a restart.
    service : str
        Service that it belongs to.
    address : Address
        Listening address.
    failure_domain : str
        Failure domain that it runs in.
    n_slots : int
        Number of requests that it runs concurrently.
    is_leaving : bool
        Whether it takes no new requests.
    started_ms : int
        Unix time of its start in milliseconds. A new value means that it has
        restarted and lost its state.
    n_reports : int
        Number of reports that this start has written, to tell an older record from a
        newer one. It is not compared.
    software_version : str
        Version of its software; "" if it states none.
    """

    upstream_id: str
    service: str
    address: Address
    failure_domain: str
    n_slots: int
    is_leaving: bool
    started_ms: int
    n_reports: int = field(default=0, compare=False)
    software_version: str = ""

    @property
    def software(self) -> Software:
        """Service and version of its software."""
        return Software(self.service, self.software_version)

    @property
    def start(self) -> UpstreamStart:
        """Identity of this start of the upstream."""
        return UpstreamStart(self.upstream_id, self.started_ms)


@dataclass(slots=True)
class Upstream:
    """One upstream with its load, as far as this process knows it.

    Parameters
    ----------
    listing : UpstreamListing
        Its entry in the platform's list.
    is_in_same_region : bool
        Whether it runs in the region of this process.
    speed : SpeedEstimate
        Estimates of its response times.
    health : HealthRecord
        Its failures and its rests: times in which it is sent no requests, after
        failures or because it has asked for that with a Retry-After.
    n_running : int
        Requests that this process has sent it and that have not ended.
    n_pending_tokens : int
        Prompt tokens of those requests that have not had a first event.
    n_peer_running : int
        Requests of other instances, as last reported by them.
    n_peer_pending_tokens : int
        Prompt tokens of those that have not had a first event.
    last_request_end_s : float
        Monotonic time at which a request of any instance was last seen to end.
    last_activity_s : float
        Monotonic time of the last response head or event of a stream.
    n_sharing_cells : int
        Number of cells of gateways that share it; cells do not exchange loads.
    has_announced_leaving : bool
        Whether one of its responses announced that it is leaving.
    permits : PermitStock or None
        Permits for its requests, one for each; None while it names no limit.
    has_hidden_start : bool
        Whether it has answered the question for its start without stating one.
    is_outdated : bool
        Whether a process at its address has stated another start than the listed one.
    """

    listing: UpstreamListing
    is_in_same_region: bool
    speed: SpeedEstimate = field(default_factory=SpeedEstimate)
    health: HealthRecord = field(default_factory=HealthRecord)
    n_running: int = 0
    n_pending_tokens: int = 0
    n_peer_running: int = 0
    n_peer_pending_tokens: int = 0
    last_request_end_s: float = 0.0
    last_activity_s: float = 0.0
    n_sharing_cells: int = 1
    has_announced_leaving: bool = False
    permits: PermitStock | None = None
    has_hidden_start: bool = False
    is_outdated: bool = False

    @property
    def is_leaving(self) -> bool:
        """Whether it takes no new requests, by the list or by its own response."""
        return self.listing.is_leaving or self.has_announced_leaving

    def may_take(self, now_s: float) -> bool:
        """Return whether it may be sent a request now, if it has a free slot."""
        has_permit = self.permits is None or self.permits.n_usable(now_s) > 0
        return has_permit and not self.is_leaving and self.health.may_take(now_s)

    def available_from_s(self, now_s: float) -> float:
        """Return the monotonic time from which it may take a request.

        It is not later than `now_s` if the upstream takes one now or its next permit is
        not predicted.
        """
        from_s = self.health.may_take_from_s
        if self.permits is None:
            return from_s
        return max(from_s, self.permits.available_from_s(now_s))

    def refuses_requests(self, now_s: float) -> bool:
        """Return whether it is leaving or has asked for a rest that has not ended."""
        return self.is_leaving or now_s < self.health.requested_rest_until_s

    @property
    def n_slots(self) -> int:
        """Number of requests that this cell of gateways may run there concurrently."""
        return max(1, self.listing.n_slots // self.n_sharing_cells)

    @property
    def n_all_running(self) -> int:
        """Requests of all instances that this process knows of."""
        return self.n_running + self.n_peer_running

    @property
    def n_all_pending_tokens(self) -> int:
        """Prompt tokens of all instances whose requests have not had a first event."""
        return self.n_pending_tokens + self.n_peer_pending_tokens


class UpstreamTable:
    """All listed upstreams, by id and by service.

    Parameters
    ----------
    region : str
        Region of this process.
    regions : dict of str to str
        Region of each failure domain.
    """

    __slots__ = (
        "_by_id",
        "_by_service",
        "_by_service_in_cell",
        "_cell",
        "_cell_sizes",
        "_departures",
        "_region",
        "_regions",
        "_rests_until_s",
        "_starts",
        "on_outdated",
        "rate_limits",
    )

    def __init__(self, region: str, regions: dict[str, str]) -> None:
        self._region = region
        self._regions = regions
        self._departures = DepartureTracker()
        self.rate_limits = RateLimitTracker()
        self._by_id: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._starts: dict[str, FirstEventModel] = {}
        self._cell = 0
        self._cell_sizes: tuple[int, ...] = (1,)
        self._by_service_in_cell: dict[str, list[Upstream]] = {}
        # Monotonic end of the rest that a start has asked for.
        self._rests_until_s: dict[UpstreamStart, float] = {}
        # Called when a process states that the list is older than it is.
        self.on_outdated: Callable[[], None] = _ignore_outdated

    def __len__(self) -> int:
        """Return the number of listed upstreams."""
        return len(self._by_id)

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its id."""
        return self._by_id.get(upstream_id)

    def all(self) -> Iterable[Upstream]:
        """Return all upstreams."""
        return self._by_id.values()

    def set_cell(self, cell: int, cell_sizes: tuple[int, ...]) -> None:
        """Restrict the table to the upstreams of this gateway's cell.

        Parameters
        ----------
        cell : int
            Index of the cell.
        cell_sizes : tuple of int
            Number of gateways in each cell.
        """
        if (cell, cell_sizes) != (self._cell, self._cell_sizes):
            self._cell, self._cell_sizes = cell, cell_sizes
            self._by_service_in_cell.clear()

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that this cell uses."""
        found = self._by_service_in_cell.get(service)
        if found is None:
            found = self._by_service_in_cell[service] = self._select_for_cell(service)
        return found

    def _select_for_cell(self, service: str) -> list[Upstream]:
        upstreams = self._by_service.get(service, [])
        # All gateways see the same list, so upstreams that it shows as leaving are not
        # divided among the cells.
        staying = [u for u in upstreams if not u.listing.is_leaving] or upstreams
        names = [upstream.listing.upstream_id for upstream in staying]
        chosen, n_sharing_cells = upstreams_of_cell(names, self._cell, self._cell_sizes)
        selected = [u for u in upstreams if u.listing.upstream_id in chosen]
        for upstream in selected:
            upstream.n_sharing_cells = n_sharing_cells
        return selected

    def put(self, listing: UpstreamListing) -> Upstream | None:
        """Add an upstream or change its listing.

        Parameters
        ----------
        listing : UpstreamListing
            Current entry of the platform's list.

        Returns
        -------
        Upstream or None
            The upstream if it is new or has restarted, otherwise None.
        """
        known = self._by_id.get(listing.upstream_id)
        if known is not None and known.listing == listing:
            return None
        self._by_service_in_cell.clear()
        is_same_start = known and known.listing.started_ms == listing.started_ms
        if known is not None and is_same_start:
            if known.listing.service != listing.service:
                self._by_service[known.listing.service].remove(known)
                self._by_service.setdefault(listing.service, []).append(known)
            known.listing = listing
            return None
        if known is not None:
            self._by_service[known.listing.service].remove(known)
        region = self._regions.get(listing.failure_domain)
        start = self._starts.setdefault(listing.service, FirstEventModel())
        upstream = Upstream(
            listing,
            region is None or region == self._region,
            SpeedEstimate(start=start),
            HealthRecord(
                requested_rest_until_s=self._rests_until_s.get(listing.start, 0.0)
            ),
            has_announced_leaving=listing.start in self._departures,
        )
        if self.rate_limits.rate_per_s(listing.start) is not None:
            upstream.permits = PermitStock()
        self._by_id[listing.upstream_id] = upstream
        self._by_service.setdefault(listing.service, []).append(upstream)
        return upstream

    def software_of(self, start: UpstreamStart) -> Software | None:
        """Return the software of a start; None if that is not listed."""
        upstream = self._by_id.get(start.upstream_id)
        if upstream is None or upstream.listing.start != start:
            return None
        return upstream.listing.software

    def record_outdated(self, upstream: Upstream) -> None:
        """Record that a process at its address states another start."""
        if not upstream.is_outdated:
            upstream.is_outdated = True
            self.on_outdated()

    def record_departure(self, start: UpstreamStart) -> bool:
        """Record that an upstream is leaving; return whether that was unknown."""
        is_new = self._departures.record(start)
        self._mark_leaving(start)
        return is_new

    def record_departures(self, starts: Iterable[UpstreamStart]) -> bool:
        """Record that all of some starts are leaving; return whether any is new."""
        is_any_new = False
        for start in starts:
            is_any_new |= self.record_departure(start)
        return is_any_new

    def record_requested_rest(
        self,
        upstream: Upstream,
        starts: Iterable[UpstreamStart],
        now_s: float,
        rest_s: float,
    ) -> None:
        """Record that an upstream asks for a rest, which outlives its listing.

        Parameters
        ----------
        upstream : Upstream
            Upstream that was sent a request.
        starts : iterable of UpstreamStart
            Starts that the rest holds for.
        now_s : float
            Monotonic time.
        rest_s : float
            Seconds; a rest that ends later is not shortened.
        """
        upstream.health.record_requested_rest(now_s, rest_s)
        until_s = upstream.health.requested_rest_until_s
        kept = {s: end_s for s, end_s in self._rests_until_s.items() if end_s > now_s}
        self._rests_until_s = kept | dict.fromkeys(starts, until_s)

    def record_departure_at(self, address: Address, except_id: str) -> None:
        """Record that the upstreams listed at an address leave, except `except_id`."""
        for upstream in self._by_id.values():
            listing = upstream.listing
            if listing.address == address and listing.upstream_id != except_id:
                self.record_departure(listing.start)

    def merge_departures(self, starts: Iterable[UpstreamStart]) -> list[UpstreamStart]:
        """Record departures that a peer reports; return those that were unknown."""
        unknown = self._departures.merge_reported(starts)
        for start in unknown:
            self._mark_leaving(start)
        return unknown

    def take_unreported_departures(self, limit: int) -> list[UpstreamStart]:
        """Take up to `limit` departures that have not been reported to peers."""
        return self._departures.take_unreported(limit)

    def listed_departures(self, limit: int) -> list[UpstreamStart]:
        """Return up to `limit` upstreams that are leaving and are still listed."""
        listed = [u.listing.start for u in self._by_id.values() if u.is_leaving]
        return listed[-limit:]

    def rate_limit_per_s(self, start: UpstreamStart) -> float | None:
        """Return the requests a second that an upstream takes; None if unlimited."""
        return self.rate_limits.rate_per_s(start)

    def limited(self) -> list[Upstream]:
        """Return the listed upstreams that name a limit."""
        return [u for u in self._by_id.values() if u.permits is not None]

    def observe_rate_limit(
        self,
        start: UpstreamStart,
        statement: RateStatement,
        sent_s: float,
        now_s: float,
    ) -> LimitChange | None:
        """Record what a response says about a limit; return what has changed."""
        change = self.rate_limits.observe(start, statement, sent_s, now_s)
        self._apply_limit(change)
        return change

    def merge_rate_limit(
        self, report: LimitReport, now_s: float, passes_on: bool = False
    ) -> LimitChange | None:
        """Record what another gateway reports; return what has changed."""
        change = self.rate_limits.merge_reported(report, now_s, passes_on)
        self._apply_limit(change)
        return change

    def _apply_limit(self, change: LimitChange | None) -> None:
        if change is None:
            return
        upstream = self._by_id.get(change.start.upstream_id)
        if upstream is None or upstream.listing.start != change.start:
            return
        if change.after_per_s is None:
            upstream.permits = None
        elif upstream.permits is None:
            upstream.permits = PermitStock()

    def _mark_leaving(self, start: UpstreamStart) -> None:
        upstream = self._by_id.get(start.upstream_id)
        if upstream is not None and upstream.listing.start == start:
            upstream.has_announced_leaving = True

    def remove(self, upstream_id: str) -> Upstream | None:
        """Remove an upstream; requests that are running there continue."""
        self._by_service_in_cell.clear()
        upstream = self._by_id.pop(upstream_id, None)
        if upstream is not None:
            self._by_service[upstream.listing.service].remove(upstream)
        return upstream


def _ignore_outdated() -> None:
    """Without a list that can be read there is nothing to do."""
