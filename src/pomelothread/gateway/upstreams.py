"""The upstreams that the platform lists, and what this process sees of them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..addresses import Address
from ..policy.upstream_health import HealthRecord
from ..policy.upstream_speed import SpeedEstimate


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

    __slots__ = ("_by_id", "_by_service", "_region", "_regions")

    def __init__(self, region: str, regions: dict[str, str]) -> None:
        self._region = region
        self._regions = regions
        self._by_id: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}

    def __len__(self) -> int:
        """Return the number of listed upstreams."""
        return len(self._by_id)

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its name."""
        return self._by_id.get(upstream_id)

    def all(self) -> Iterable[Upstream]:
        """Return all upstreams."""
        return self._by_id.values()

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service, leaving ones included."""
        return self._by_service.get(service, [])

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
        upstream = Upstream(listing, region is None or region == self._region)
        self._by_id[listing.upstream_id] = upstream
        self._by_service.setdefault(listing.service, []).append(upstream)
        return upstream

    def remove(self, upstream_id: str) -> Upstream | None:
        """Remove an upstream; requests that it runs are not affected."""
        upstream = self._by_id.pop(upstream_id, None)
        if upstream is not None:
            self._by_service[upstream.listing.service].remove(upstream)
        return upstream
