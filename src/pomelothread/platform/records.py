"""Decodes what operators and upstreams write into the platform's store."""

import logging
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

from ..addresses import parse_address
from ..events import Event, log_event
from ..gateway.configuration import (
    Configuration,
    Destination,
    Organisation,
    Repeatability,
    Route,
    Service,
)
from ..gateway.feeds import KeyedRecord
from ..gateway.upstreams import UpstreamListing
from ..http1.server import ServerLimits
from ..undecodable import MAX_INTEGER, UNDECODABLE

_log = logging.getLogger(__name__)

_MS = 0.001
_REPEATABILITY = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.NON_IDEMPOTENT,
    "streaming": Repeatability.STREAMING,
}

# Positive number that is not absurdly large.
_Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
UnixTimeMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    # 0 is the most urgent.
    priority: int
    max_attempts: int
    # One service, or several under `traffic_split`.
    service: str | None = None
    traffic_split: list[_Split] | None = None
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None


class _Service(msgspec.Struct):
    name: str
    # Limit of one server, for all callers together.
    max_conns: int
    # Present if its servers are model engines.
    engine: dict[str, object] | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # Unit of `rate_per_s` and `burst`: "token_count"; anything else means requests.
    unit: str = ""
    plain_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct):
    version: _Integer
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct):
    service: str
    # IP and port.
    address: str
    zone: str
    slots: _Count
    state: Literal["ready", "draining"]
    # Unix time of its start in milliseconds.
    born: UnixTimeMs
    # Number of its reports since then.
    seq: _Integer = 0
    # Version of its software.
    version: str = ""


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Decode the operator's configuration.

    Parameters
    ----------
    value : bytes
        JSON of the record in the store.

    Returns
    -------
    Result of Configuration, str
        The configuration, or a description of the fault.
    """
    try:
        config = msgspec.json.decode(value, type=_Config)
        return Success(
            Configuration(
                version=config.version,
                routes=tuple(_convert_route(route) for route in config.routes),
                services={s.name: _convert_service(s) for s in config.services},
                organisations=tuple(_convert_tenant(t) for t in config.tenants),
                limits=_convert_limits(config.limits),
            )
        )
    except (*UNDECODABLE, KeyError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def decode_listing(record: KeyedRecord) -> UpstreamListing | None:
    """Decode the record of one upstream.

    Parameters
    ----------
    record : KeyedRecord
        Record whose key is the ID of the upstream.

    Returns
    -------
    UpstreamListing or None
        None for an invalid record, such as another writer's; the fault is logged.
    """
    try:
        server = msgspec.json.decode(record.value or b"", type=_Server)
    except UNDECODABLE as error:
        _log_unusable(record.key, str(error))
        return None
    address = parse_address(server.address)
    if address is None or not address.port:
        _log_unusable(record.key, f"address {server.address!r}")
        return None
    return UpstreamListing(
        upstream_id=record.key,
        service=server.service,
        address=address,
        failure_domain=server.zone,
        n_slots=server.slots,
        is_leaving=server.state == "draining",
        started_ms=server.born,
        n_reports=server.seq,
        software_version=server.version,
    )


def _log_unusable(key: str, detail: str) -> None:
    log_event(_log, Event.LISTING_UNUSABLE, upstream=key, detail=detail)


def _convert_route(route: _Route) -> Route:
    splits = route.traffic_split or ()
    destinations = tuple(Destination(s.service, s.weight) for s in splits)
    if route.service is not None:
        destinations = (Destination(route.service),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        repeatability=_REPEATABILITY[route.kind],
        timeout_s=route.timeout_ms * _MS,
        target_latency_s=route.target_latency_ms * _MS,
        tier=route.priority,
        destinations=destinations,
        max_attempts=max(1, route.max_attempts),
        is_public=route.public,
        is_resumable=route.resumable,
        target_gap_s=None if route.gap_aim_ms is None else route.gap_aim_ms * _MS,
    )


def _convert_service(service: _Service) -> Service:
    return Service(service.name, service.max_conns, service.engine is not None)


def _convert_limits(limits: _Limits) -> ServerLimits:
    return ServerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.header_timeout_ms * _MS,
        idle_timeout_s=limits.idle_timeout_ms * _MS,
    )


def _convert_tenant(tenant: _Tenant) -> Organisation:
    counts_tokens = tenant.unit == "token_count"
    return Organisation(
        name=tenant.name,
        keys=frozenset(tenant.api_keys),
        tier=tenant.priority,
        units_per_s=tenant.rate_per_s,
        burst_units=tenant.burst,
        counts_tokens=counts_tokens,
        plain_units=tenant.plain_tokens if counts_tokens else 1.0,
    )
