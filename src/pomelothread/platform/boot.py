"""Decodes the settings file that the platform writes."""

import tomllib
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from ..addresses import Address, parse_address
from ..gateway.settings import GatewaySettings
from ..policy.quotas import QuotaTolerance

_MS = 0.001


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct):
    config_ms: float
    drain_ms: float
    grace_s: float
    retry_budget_ratio: float
    budget_window_s: float
    budget_slack: float
    quota_window_s: float
    quota_over: float
    quota_slack: float


class _Platform(msgspec.Struct):
    # IP and port of the store.
    address: str


class _Boot(msgspec.Struct):
    node: str
    ip: str
    zone: str
    region: str
    internal_port_range: tuple[int, int]
    listen: _Listen
    bounds: _Bounds
    platform: _Platform
    zones: dict[str, str] = {}
    # Addresses of up to three other machines; they may be out of date.
    seeds: list[str] = []


def load_settings(
    path: Path, metrics_port: int = 0
) -> Result[GatewaySettings, list[str]]:
    """Read and check the platform's settings file.

    Parameters
    ----------
    path : Path
        Path of the TOML file.
    metrics_port : int
        Port that serves metrics besides the readiness address; 0 for none.

    Returns
    -------
    Result of GatewaySettings, list of str
        The settings, or a message for each fault.
    """
    try:
        boot = msgspec.convert(
            tomllib.loads(path.read_text(encoding="utf-8")), _Boot, strict=True
        )
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        return Failure([f"{path}: {error}"])
    faults: list[str] = []
    front = _check_address("listen.front", boot.listen.front, faults)
    ready = _check_address("listen.ready", boot.listen.ready, faults)
    store = _check_address("platform.address", boot.platform.address, faults)
    if boot.internal_port_range[0] < 1:
        faults.append(f"internal_port_range: {boot.internal_port_range} starts below 1")
    if boot.bounds.grace_s <= 0:
        faults.append(f"bounds.grace_s: {boot.bounds.grace_s} must be positive")
    if faults:
        return Failure([f"{path}: {fault}" for fault in faults])
    peer_port = boot.internal_port_range[0]
    seeds = (parse_address(seed) for seed in boot.seeds)
    return Success(
        GatewaySettings(
            instance=boot.node,
            failure_domain=boot.zone,
            region=boot.region,
            regions=boot.zones,
            callers_address=front,
            admin_addresses=(ready, Address(boot.ip, metrics_port))
            if metrics_port
            else (ready,),
            store_address=store,
            peer_address=Address(boot.ip, peer_port),
            seed_addresses=tuple(
                Address(seed.host, peer_port) for seed in seeds if seed is not None
            ),
            configuration_bound_s=boot.bounds.config_ms * _MS,
            leaving_bound_s=boot.bounds.drain_ms * _MS,
            grace_s=boot.bounds.grace_s,
            retry_ratio=boot.bounds.retry_budget_ratio,
            retry_stock=boot.bounds.budget_slack,
            retry_window_s=boot.bounds.budget_window_s,
            quota_tolerance=QuotaTolerance(
                boot.bounds.quota_window_s,
                boot.bounds.quota_over,
                boot.bounds.quota_slack,
            ),
        )
    )


def _check_address(name: str, text: str, faults: list[str]) -> Address:
    address = parse_address(text)
    if address is None:
        faults.append(f"{name}: {text!r} is not an IP address with a port")
        return Address("0.0.0.0", 0)
    return address
