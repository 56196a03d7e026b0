"""Settings files and instance list items of the nodes of a deployment."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from deployments import Deployment, EntryPlan, UpstreamPlan
from processes import ChildProcess

LIVE = "live"
LEAVING = "leaving"
ENTRY = "entry"
AGENT = "agent"


@dataclass(slots=True)
class Node:
    """An entry or an agent, with its state in the instance list.

    Parameters
    ----------
    role : str
        ``entry`` or ``agent``.
    plan : EntryPlan or UpstreamPlan
        Its part of the deployment.
    program : ChildProcess
        The process.
    state : str
        State in the instance list.
    is_listed : bool
        Whether it is in the instance list.
    """

    role: str
    plan: EntryPlan | UpstreamPlan
    program: ChildProcess
    state: str = LIVE
    is_listed: bool = True

    @property
    def http_address(self) -> str:
        """``ip:port`` for HTTP, as announced."""
        return self.program.announced.get("http_address", "")

    @property
    def control_address(self) -> str:
        """``ip:port`` for control messages, as announced."""
        return self.program.announced.get("control_address", "")


@dataclass(frozen=True, slots=True)
class LaunchOptions:
    """Options for all nodes of a deployment.

    Parameters
    ----------
    sample_ratio : float
        Fraction of the requests that are traced to files; 0 turns tracing off.
    log_level : str
        Lowest level that the nodes log.
    publishes_sheet : bool
        Whether the deployment's sheet is published before the nodes start.
    entry, agent : dict
        Settings of all entries or agents, which replace the usual ones by key.
    """

    sample_ratio: float = 0.0
    log_level: str = "info"
    publishes_sheet: bool = True
    entry: Mapping[str, Any] = field(default_factory=dict)
    agent: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """Addresses and paths that the settings of a node depend on.

    Parameters
    ----------
    log_address, instance_list_address : str
        ``ip:port`` of the log and of the instance list.
    directory : Path
        Directory for span files.
    upstream : dict of str to str
        Addresses that an agent's upstream has announced.
    """

    log_address: str
    instance_list_address: str
    directory: Path
    upstream: Mapping[str, str]


def to_toml(table: Mapping[str, Any]) -> str:
    """Format a mapping as TOML.

    Parameters
    ----------
    table : mapping
        Strings, numbers and booleans, whose JSON is also valid TOML, and mappings
        of these.

    Returns
    -------
    str
        The TOML document.

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
    node: Node,
    deployment: Deployment,
    options: LaunchOptions,
    environment: NodeEnvironment,
) -> dict[str, Any]:
    """Return the settings of a node.

    Parameters
    ----------
    node : Node
        The node. If it was started before, it gets the same addresses again.
    deployment : Deployment
        Deployment of the node.
    options : LaunchOptions
        Options of the deployment.
    environment : NodeEnvironment
        Addresses of the services that it uses.

    Returns
    -------
    dict
        Content of the settings file.
    """
    settings: dict[str, Any] = {
        "http_address": node.http_address or "127.0.0.1:0",
        "control_address": node.control_address or "127.0.0.1:0",
        "log_address": environment.log_address,
        "instance_list_address": environment.instance_list_address,
        "node": _node_location(node, deployment),
        "logging": {"level": options.log_level},
    }
    if options.sample_ratio > 0:
        settings["tracing"] = {
            "sample_ratio": options.sample_ratio,
            "span_file": str(
                environment.directory / f"{node.program.name}.spans.jsonl"
            ),
        }
    match node.plan:
        case EntryPlan():
            # No load balancer needs time to notice that an entry is draining.
            return settings | {"drain_accept_s": 0.0} | dict(options.entry)
        case UpstreamPlan() as plan:
            announced = environment.upstream
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


def _node_location(node: Node, deployment: Deployment) -> dict[str, str]:
    domain = node.plan.failure_domain
    return {
        "instance": node.plan.instance,
        "failure_domain": domain,
        "region": deployment.regions[domain],
    }


def listed_instance(node: Node, deployment: Deployment) -> dict[str, Any]:
    """Return a node as an item of the instance list.

    Parameters
    ----------
    node : Node
        The node.
    deployment : Deployment
        Deployment of the node.

    Returns
    -------
    dict
        A target group of Prometheus' HTTP service discovery.
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
        "labels": labels | _node_location(node, deployment),
    }
