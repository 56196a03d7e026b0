"""The operator's configuration in force: routes, services and organisations."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..http1.server import ServerLimits


class Repeatability(enum.Enum):
    """Whether a request of a route may be sent to a second upstream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Destination:
    """A service that receives a share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share relative to the weights of the route's other destinations.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the requests with one host and path prefix.

    Parameters
    ----------
    name : str
        Name given by the operator.
    host : str
        Value of the Host header, in lower case.
    path_prefix : str
        Begins and ends with a slash.
    repeatability : Repeatability
        Whether a request may be sent to a second upstream.
    timeout_s : float
        Maximum time in which a request has to be answered.
    target_latency_s : float
        Latency target of a response; for streams, of the first event.
    tier : int
        Priority of the requests; 0 is the most urgent.
    destinations : tuple of Destination
        Services that may run the requests.
    max_attempts : int
        Number of upstreams to which one request may be sent.
    is_public : bool
        Whether callers need no API key.
    is_resumable : bool
        Whether another upstream may continue an interrupted stream.
    target_gap_s : float or None
        Target for the longest pause between two events of a stream.

    Raises
    ------
    ValueError
        If no destination has a positive weight.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_s: float
    target_latency_s: float
    tier: int
    destinations: tuple[Destination, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool
    target_gap_s: float | None

    def __post_init__(self) -> None:
        """Check that at least one destination has a positive weight."""
        if not any(destination.weight > 0 for destination in self.destinations):
            raise ValueError(
                f"route {self.name!r} has no service with a positive weight"
            )

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent to another upstream."""
        match self.repeatability:
            case Repeatability.IDEMPOTENT:
                return True
            case Repeatability.NON_IDEMPOTENT:
                return False
            case Repeatability.STREAMING:
                return self.is_resumable

    @property
    def is_resumable_stream(self) -> bool:
        """Whether responses are streams that may go on after a break."""
        return self.is_streaming and self.is_resumable

    @property
    def is_streaming(self) -> bool:
        """Whether responses are streams of events."""
        return self.repeatability is Repeatability.STREAMING


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one upstream accepts from all clients together.
    is_engine : bool
        Whether its upstreams are inference engines.
    """

    name: str
    max_connections: int
    is_engine: bool


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer that sends requests, with its API keys and quota.

    Parameters
    ----------
    name : str
        Name that is passed to upstreams.
    keys : frozenset of str
        API keys with which its callers authenticate.
    tier : int or None
        Replaces the tier of the route if it is set.
    units_per_s : float
        Quota of all instances together; 0 for no quota.
    burst_units : float
        Units that may be used above the rate in a burst.
    counts_tokens : bool
        Whether the unit of the quota is a token instead of a request.
    plain_units : float
        Units charged for a request that states no number of tokens.
    """

    name: str
    keys: frozenset[str]
    tier: int | None = None
    units_per_s: float = 0.0
    burst_units: float = 0.0
    counts_tokens: bool = False
    plain_units: float = 1.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Higher versions replace lower ones.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        By name.
    organisations : tuple of Organisation
        Empty if callers need no keys.
    limits : ServerLimits
        Limits on what callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: tuple[Organisation, ...]
    limits: ServerLimits
    _routes_by_host: dict[str, tuple[Route, ...]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )
    _organisations_by_key: dict[str, Organisation] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Index routes by host, longest prefix first, and organisations by key."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for host, routes in by_host.items():
            routes.sort(key=lambda route: -len(route.path_prefix))
            self._routes_by_host[host] = tuple(routes)
        for organisation in self.organisations:
            for key in organisation.keys:
                self._organisations_by_key[key] = organisation

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path.

        Parameters
        ----------
        host : str
            Value of the Host header.
        path : str
            Path without the query.

        Returns
        -------
        Route or None
            None if no route of the host matches.
        """
        routes: Sequence[Route] = self._routes_by_host.get(host.lower(), ())
        return next((r for r in routes if path.startswith(r.path_prefix)), None)

    def find_organisation(self, key: str | None) -> Organisation | None:
        """Return the organisation that an API key belongs to, or None."""
        return self._organisations_by_key.get(key) if key is not None else None
