"""Stand-in for the platform's instance list (Prometheus HTTP service discovery).

``python -m standins.instance_list --port=0`` prints one JSON line with its
address once it listens.
"""

import asyncio
import hashlib
import sys
from collections import deque
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field, fields
from typing import Any

import msgspec
from absl import flags
from tornado.httpserver import HTTPServer
from tornado.web import Application

from pomelothread.clock import Clock, SystemClock

from .serving import JsonHandler, announce, listen, parse_flags

FLAGS = flags.FlagValues()
flags.DEFINE_integer("port", 0, "port, 0 for any free one", flag_values=FLAGS)
flags.DEFINE_float("lag_s", 0.0, "delay before a change is visible", flag_values=FLAGS)


@dataclass(slots=True)
class ListFaults:
    """Faults that can be switched by ``POST /_faults``.

    Parameters
    ----------
    lag_s : float
        Delay before a change is visible to polls.
    frozen : bool
        Polls keep getting the same list.
    down : bool
        Connections are closed without a response.
    malformed : bool
        The response is cut off in the middle.
    """

    lag_s: float = 0.0
    frozen: bool = False
    down: bool = False
    malformed: bool = False


@dataclass(slots=True)
class InstanceList:
    """A running instance list.

    `changes` holds the lists that are not visible yet, with the time from which each
    of them is.
    """

    clock: Clock
    faults: ListFaults = field(default_factory=ListFaults)
    current: list[dict[str, Any]] = field(default_factory=list)
    changes: deque[tuple[float, list[dict[str, Any]]]] = field(default_factory=deque)
    shown: list[dict[str, Any]] = field(default_factory=list)
    n_polls: int = 0
    n_not_modified: int = 0
    address: str = ""
    server: HTTPServer | None = None

    def set_groups(self, groups: list[dict[str, Any]]) -> None:
        """Set the target groups; polls see them after the lag."""
        self.current = groups
        shown_from_s = self.clock.monotonic_s() + self.faults.lag_s
        self.changes.append((shown_from_s, groups))

    def visible(self) -> list[dict[str, Any]]:
        """Return the target groups that a poll sees now."""
        if self.faults.frozen:
            return self.shown
        now_s = self.clock.monotonic_s()
        while self.changes and self.changes[0][0] <= now_s:
            self.shown = self.changes.popleft()[1]
        return self.shown

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self.server is not None:
            self.server.stop()
            await self.server.close_all_connections()


class ListHandler(JsonHandler):
    """``GET /instances``."""

    def initialize(self, instances: InstanceList) -> None:
        """Keep the list."""
        self.instances = instances

    def get(self) -> None:
        """Send the target groups, or 304 if the client has the current ones."""
        self.instances.n_polls += 1
        if self.instances.faults.down:
            self.drop_connection()
            return
        data = msgspec.json.encode(self.instances.visible())
        tag = f'"{hashlib.blake2b(data, digest_size=8).hexdigest()}"'
        self.set_header("Etag", tag)
        if self.request.headers.get("If-None-Match") == tag:
            self.instances.n_not_modified += 1
            self.set_status(304)
            return
        self.set_header("Content-Type", "application/json")
        if self.instances.faults.malformed:
            data = data[: len(data) // 2]
        self.finish(data)


class EditHandler(ListHandler):
    """``/_instances``: PUT sets the list, DELETE removes one instance or all."""

    def put(self) -> None:
        """Set the whole list."""
        groups = self.json_body()
        if not isinstance(groups, list):
            self.send_error_text(400, "the body is not a list of target groups")
            return
        self.instances.set_groups(groups)
        self.set_status(204)

    def delete(self) -> None:
        """Remove the instance that the query names, or all if it names none."""
        name = self.get_query_argument("instance", "")
        kept = [
            group
            for group in self.instances.current
            if name and group.get("labels", {}).get("instance") != name
        ]
        self.instances.set_groups(kept)
        self.set_status(204)


class SwitchHandler(ListHandler):
    """``/_faults``: POST changes switches, DELETE resets them."""

    def post(self) -> None:
        """Change some switches."""
        values = self.json_body() or {}
        unknown = set(values) - {switch.name for switch in fields(ListFaults)}
        if unknown:
            self.send_error_text(400, f"unknown faults {sorted(unknown)}")
            return
        for name, value in values.items():
            setattr(self.instances.faults, name, value)
        self.send_json(asdict(self.instances.faults))

    def delete(self) -> None:
        """Reset every switch."""
        for name, value in asdict(ListFaults()).items():
            setattr(self.instances.faults, name, value)
        self.send_json(asdict(self.instances.faults))


def target_group(
    address: str, control: str, instance: str, **labels: str
) -> dict[str, Any]:
    """Return the target group of one instance.

    Parameters
    ----------
    address, control : str
        ``ip:port`` of its HTTP server and of its control port.
    instance : str
        Name of the instance.
    **labels : str
        Further labels; they override the defaults.

    Returns
    -------
    dict
        A target group of Prometheus HTTP service discovery.
    """
    defaults = {
        "role": "agent",
        "state": "live",
        "failure_domain": "kathiawar-1",
        "region": "kathiawar",
        "pool": "",
    }
    named = {"instance": instance, "control": control}
    return {"targets": [address], "labels": named | defaults | labels}


def start_instance_list(
    port: int = 0, lag_s: float = 0.0, clock: Clock | None = None
) -> InstanceList:
    """Start an instance list in the running event loop."""
    instances = InstanceList(clock or SystemClock(), ListFaults(lag_s))
    shared = {"instances": instances}
    application = Application(
        [
            (r"/instances", ListHandler, shared),
            (r"/_instances", EditHandler, shared),
            (r"/_faults", SwitchHandler, shared),
        ],
        log_function=lambda handler: None,
    )
    instances.server, instances.address = listen(application, port)
    return instances


async def _serve() -> None:
    instances = start_instance_list(FLAGS.port, FLAGS.lag_s)
    announce(address=instances.address)
    await asyncio.get_running_loop().create_future()


def main(argv: Sequence[str]) -> None:
    """Run an instance list until the process is stopped."""
    parse_flags(FLAGS, argv)
    asyncio.run(_serve())


if __name__ == "__main__":
    main(sys.argv)
