"""The upstreams that the platform lists, and what this process sees of them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..addresses import Address
from ..policy.cells import part_of_cell
from ..policy.departures import DepartureBook, UpstreamStart
from ..policy.upstream_health import HealthRecord
from ..policy.upstream_speed import SpeedEstimate, StartModel


@dataclass(frozen=True, slots=True)
class UpstreamListing:
    """What the platform says of one upstream.

    Parameters
    ----------
    upstream_id : str
        Name of this incarnation.
    service : str
        Service that it belongs to.
    address : Address
        Where it listens.
    failure_domain : str
        Failure domain that it runs in.
    n_slots : int
        Requests that it runs at the same time.
    is_leaving : bool
        Whether it takes no new requests.
    started_ms : int
        Unix time of its start; a new one means that it has forgotten everything.
    """

    upstream_id: str
    service: str
    address: Address
    failure_domain: str
    n_slots: int
    is_leaving: bool
    started_ms: int

    @property
    def start(self) -> UpstreamStart:
        """The start of the upstream that this is about."""
        return UpstreamStart(self.upstream_id, self.started_ms)


@dataclass(slots=True)
class Upstream:
    """One upstream with what this process knows of its load.

    Parameters
    ----------
    listing : UpstreamListing
        What the platform says.
    is_near : bool
        Whether it runs in the region of this process.
    n_running : int
        Requests of this process that it has been sent and has not finished.
    n_pending_tokens : int
        Prompt tokens of those that have not had a first event.
    n_peer_running : int
        Requests of other instances, as they last said.
    n_peer_pending_tokens : int
        Prompt tokens of those.
    free_since_s : float
        Monotonic time at which a request was last seen to end.
    heard_s : float
        Monotonic time of the newest event of a stream.
    n_sharing : int
        Cells of gateways that use it without hearing each other.
    has_said_to_leave : bool
        Whether one of its own responses said that it leaves.
    """

    listing: UpstreamListing
    is_near: bool
    speed: SpeedEstimate = field(default_factory=SpeedEstimate)
    health: HealthRecord = field(default_factory=HealthRecord)
    n_running: int = 0
    n_pending_tokens: int = 0
    n_peer_running: int = 0
    n_peer_pending_tokens: int = 0
    free_since_s: float = 0.0
    heard_s: float = 0.0
    n_sharing: int = 1
    has_said_to_leave: bool = False

    @property
    def is_leaving(self) -> bool:
        """Whether it takes no new requests, by the list or by its own word."""
        return self.listing.is_leaving or self.has_said_to_leave

    def may_take(self, now_s: float) -> bool:
        """Tell whether it may get a request now, if it has a free slot."""
        return not self.is_leaving and self.health.may_take(now_s)

    def has_withdrawn(self, now_s: float) -> bool:
        """Tell whether it has itself asked for no more requests now."""
        return self.is_leaving or now_s < self.health.asked_until_s

    @property
    def n_slots(self) -> int:
        """Requests that this cell of gateways may run there at the same time."""
        return max(1, self.listing.n_slots // self.n_sharing)

    @property
    def n_all_running(self) -> int:
        """Requests of all instances, as far as they are known."""
        return self.n_running + self.n_peer_running

    @property
    def n_all_pending_tokens(self) -> int:
        """Prompt tokens of all instances that are not read yet."""
        return self.n_pending_tokens + self.n_peer_pending_tokens


class UpstreamTable:
    """All listed upstreams.

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
        "_cell",
        "_cell_sizes",
        "_departures",
        "_of_cell",
        "_region",
        "_regions",
        "_starts",
    )

    def __init__(self, region: str, regions: dict[str, str]) -> None:
        self._region = region
        self._regions = regions
        self._departures = DepartureBook()
        self._by_id: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._starts: dict[str, StartModel] = {}
        self._cell = 0
        self._cell_sizes: tuple[int, ...] = (1,)
        self._of_cell: dict[str, list[Upstream]] = {}

    def __len__(self) -> int:
        """Return the number of listed upstreams."""
        return len(self._by_id)

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its name."""
        return self._by_id.get(upstream_id)

    def all(self) -> Iterable[Upstream]:
        """Return all upstreams."""
        return self._by_id.values()

    def set_cell(self, cell: int, cell_sizes: tuple[int, ...]) -> None:
        """Use only the upstreams of one of several cells of gateways.

        Parameters
        ----------
        cell : int
            Number of the cell.
        cell_sizes : tuple of int
            Gateways of each cell.
        """
        if (cell, cell_sizes) != (self._cell, self._cell_sizes):
            self._cell, self._cell_sizes = cell, cell_sizes
            self._of_cell.clear()

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service for this cell."""
        found = self._of_cell.get(service)
        if found is None:
            found = self._of_cell[service] = self._choose_part(service)
        return found

    def _choose_part(self, service: str) -> list[Upstream]:
        upstreams = self._by_service.get(service, [])
        # What leaves by the list leaves so for all gateways, and is shared out to
        # none of the cells.
        staying = [u for u in upstreams if not u.listing.is_leaving] or upstreams
        names = [upstream.listing.upstream_id for upstream in staying]
        chosen, n_sharing = part_of_cell(names, self._cell, self._cell_sizes)
        part = [u for u in upstreams if u.listing.upstream_id in chosen]
        for upstream in part:
            upstream.n_sharing = n_sharing
        return part

    def put(self, listing: UpstreamListing) -> Upstream | None:
        """Add an upstream or change its listing.

        Parameters
        ----------
        listing : UpstreamListing
            What the platform says now.

        Returns
        -------
        Upstream or None
            The upstream if it is a new incarnation, None if it was known.
        """
        known = self._by_id.get(listing.upstream_id)
        if known is not None and known.listing == listing:
            return None
        self._of_cell.clear()
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
        start = self._starts.setdefault(listing.service, StartModel())
        upstream = Upstream(
            listing,
            region is None or region == self._region,
            SpeedEstimate(start=start),
            has_said_to_leave=listing.start in self._departures,
        )
        self._by_id[listing.upstream_id] = upstream
        self._by_service.setdefault(listing.service, []).append(upstream)
        return upstream

    def note_departure(self, start: UpstreamStart) -> bool:
        """Record that a start of an upstream leaves; return whether that is new."""
        is_new = self._departures.note(start)
        self._mark_leaving(start)
        return is_new

    def note_departure_at(self, address: Address, other_than: str) -> None:
        """Record that whoever has an address leaves, unless it is `other_than`."""
        for upstream in self._by_id.values():
            listing = upstream.listing
            if listing.address == address and listing.upstream_id != other_than:
                self.note_departure(listing.start)

    def hear_departures(self, starts: Iterable[UpstreamStart]) -> list[UpstreamStart]:
        """Take in departures that a peer tells of; return those that are new."""
        unknown = self._departures.hear(starts)
        for start in unknown:
            self._mark_leaving(start)
        return unknown

    def untold_departures(self, n_most: int) -> list[UpstreamStart]:
        """Return departures that peers are to be told of, once."""
        return self._departures.take_untold(n_most)

    def newest_departures(self, n_most: int) -> list[UpstreamStart]:
        """Return the last departures of upstreams that are still listed."""
        listed = [u.listing.start for u in self._by_id.values() if u.has_said_to_leave]
        return listed[-n_most:]

    def _mark_leaving(self, start: UpstreamStart) -> None:
        upstream = self._by_id.get(start.upstream_id)
        if upstream is not None and upstream.listing.start == start:
            upstream.has_said_to_leave = True

    def remove(self, upstream_id: str) -> Upstream | None:
        """Remove an upstream; requests that it runs are not affected."""
        self._of_cell.clear()
        upstream = self._by_id.pop(upstream_id, None)
        if upstream is not None:
            self._by_service[upstream.listing.service].remove(upstream)
        return upstream
