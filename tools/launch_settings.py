"""Settings files and instance list entries of the nodes that are launched."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from deployments import Deployment, EntryPlan, UpstreamPlan
from processes import Program

LIVE = "live"
LEAVING = "leaving"
ENTRY = "entry"
AGENT = "agent"


@dataclass(slots=True)
class Node:
    """An entry or an agent, with what the instance list says of it.

    Parameters
    ----------
    role : str
        ``entry`` or ``agent``.
    plan : EntryPlan or UpstreamPlan
        What is started.
    program : Program
        The process.
    state : str
        State in the instance list.
    is_listed : bool
        Whether the instance list shows it at all.
    """

    role: str
    plan: EntryPlan | UpstreamPlan
    program: Program
    state: str = LIVE
    is_listed: bool = True

    @property
    def http_address(self) -> str:
        """``ip:port`` for HTTP, as announced."""
        return self.program.announced.get("http_address", "")

    @property
    def control_address(self) -> str:
        """``ip:port`` of the inbox, as announced."""
        return self.program.announced.get("control_address", "")


@dataclass(frozen=True, slots=True)
class LaunchOptions:
    """How a deployment is started.

    Parameters
    ----------
    sample_ratio : float
        Fraction of the requests that are traced to files; 0 turns tracing off.
    log_level : str
        Lowest level that the nodes log.
    publishes_sheet : bool
        Whether the deployment's sheet is published before the nodes start.
    entry, agent : dict
        Keys that are merged into the settings of all entries or agents.
    """

    sample_ratio: float = 0.0
    log_level: str = "info"
    publishes_sheet: bool = True
    entry: Mapping[str, Any] = field(default_factory=dict)
    agent: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Platform:
    """What a node is told about its surroundings.

    Parameters
    ----------
    log_address, instance_list_address : str
        ``ip:port`` of the platform's services.
    directory : Path
        Where span files are written.
    upstream : dict of str to str
        What the upstream beside an agent announced.
    """

    log_address: str
    instance_list_address: str
    directory: Path
    upstream: Mapping[str, str]


def to_toml(table: Mapping[str, Any]) -> str:
    """Write a table of plain values and tables of them as TOML.

    Parameters
    ----------
    table : mapping
        Strings, numbers and booleans, whose JSON is also TOML, and mappings of
        these.

    Returns
    -------
    str
        The text.

    Examples
    --------
    >>> print(to_toml({"pool": "model", "node": {"region": "essex"}}))
    pool = "model"
    [node]
    region = "essex"
    """
    plain = {k: v for k, v in table.items() if not isinstance(v, Mapping)}
    lines = [f"{key} = {json.dumps(value)}" for key, value in plain.items()]
    for key, value in table.items():
        if isinstance(value, Mapping):
            lines += [f"[{key}]", *(f"{k} = {json.dumps(v)}" for k, v in value.items())]
    return "\n".join(lines)


def node_settings(
    node: Node, deployment: Deployment, options: LaunchOptions, platform: Platform
) -> dict[str, Any]:
    """Return the settings of a node.

    Parameters
    ----------
    node : Node
        The node; after its first start its addresses stay the same.
    deployment : Deployment
        Where it belongs.
    options : LaunchOptions
        How it is started.
    platform : Platform
        Where the services that it uses listen.

    Returns
    -------
    dict
        The table that the settings file holds.
    """
    settings: dict[str, Any] = {
        "http_address": node.http_address or "127.0.0.1:0",
        "control_address": node.control_address or "127.0.0.1:0",
        "log_address": platform.log_address,
        "instance_list_address": platform.instance_list_address,
        "node": _where(node, deployment),
        "logging": {"level": options.log_level},
    }
    if options.sample_ratio > 0:
        settings["tracing"] = {
            "sample_ratio": options.sample_ratio,
            "span_file": str(platform.directory / f"{node.program.name}.spans.jsonl"),
        }
    match node.plan:
        case EntryPlan():
            # No load balancer is in front of it that would notice late.
            return settings | {"drain_accept_s": 0.0} | dict(options.entry)
        case UpstreamPlan() as plan:
            announced = platform.upstream
            settings["pool"] = plan.pool
            settings["upstream"] = {
                "kind": plan.kind,
                "url": f"http://{announced['address']}",
                "cache_events": announced.get("cache_events", "").removeprefix(
                    "tcp://"
                ),
                "enforces_fencing": plan.enforces_fencing,
            }
            settings["places"] = {"initial": plan.n_places}
            return settings | dict(options.agent)


def _where(node: Node, deployment: Deployment) -> dict[str, str]:
    domain = node.plan.failure_domain
    return {
        "instance": node.plan.instance,
        "failure_domain": domain,
        "region": deployment.regions[domain],
    }


def listed_instance(node: Node, deployment: Deployment) -> dict[str, Any]:
    """Return a node in the format of the instance list.

    Parameters
    ----------
    node : Node
        The node.
    deployment : Deployment
        Where it belongs.

    Returns
    -------
    dict
        One item of Prometheus' HTTP service discovery.
    """
    pool = node.plan.pool if isinstance(node.plan, UpstreamPlan) else ""
    labels = {
        "role": node.role,
        "state": node.state,
        "pool": pool,
        "control": node.control_address,
    }
    return {
        "targets": [node.http_address],
        "labels": labels | _where(node, deployment),
    }
