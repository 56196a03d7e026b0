"""The deployment that fault trials run on, and the journals of its upstreams."""

import asyncio
import dataclasses
import shutil
import signal
import tempfile
import time
from collections.abc import Mapping
from contextlib import AbstractAsyncContextManager, nullcontext, suppress
from pathlib import Path
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from deployments import DEPLOYMENTS, EXAMPLES, Deployment, EntryPlan, UpstreamPlan
from fault_load import RUN, Call, Callers
from launch_settings import ENTRY, LIVE, LaunchOptions, Node
from launcher import INSTANCE_LIST, LOG, POLL_S, Launcher

PROBE_LIMIT_S = 30.0
# The shortest retention that the settings accept. The fault "log expires" deletes
# older records; whatever is still needed must have been carried forward by then.
RETENTION_S = 60


class JournalLine(msgspec.Struct, frozen=True):
    """A line of an upstream's journal: a request or an executed order."""

    event: str
    at_s: float
    key: str
    body: str
    request_id: str = ""
    method: str = ""
    path: str = ""
    upstream: str = ""


class Journal:
    """Reads the journals of all upstreams; they outlast a kill of the upstream."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._sizes: dict[str, int] = {}
        self.lines: list[JournalLine] = []

    def read(self) -> list[JournalLine]:
        """Read the new lines and return all lines."""
        for path in self._directory.iterdir():
            start = self._sizes.get(path.name, 0)
            if path.stat().st_size == start:
                continue
            with path.open("rb") as file:
                file.seek(start)
                data = file.read()
            end = data.rfind(b"\n") + 1
            self._sizes[path.name] = start + end
            for line in data[:end].splitlines():
                decoded = msgspec.json.decode(line, type=JournalLine)
                self.lines.append(msgspec.structs.replace(decoded, upstream=path.name))
        return self.lines


def fault_deployment(journals: Path) -> Deployment:
    """Return a deployment of two entries, two engines and two plain services."""

    def upstream(pool: str, number: int, domain: str, *arguments: str) -> UpstreamPlan:
        instance = f"{pool}-{number}"
        journal = f"--journal={journals / instance}"
        kind = "plain" if pool == "ledger" else "model"
        # Only two places, so that requests have to wait.
        return UpstreamPlan(
            instance, pool, kind, domain, (*arguments, journal), 2, number == 1
        )

    engine = ("--models=willow-13b", "--speed=4", "--max_batch=64")
    plain = ("--service_time_s=0.02",)
    domains = ("midlands-1", "essex-1")
    return Deployment(
        "faults",
        DEPLOYMENTS["tiny"].regions,
        tuple(
            upstream(pool, number, domain, *arguments)
            for pool, arguments in (("model", engine), ("ledger", plain))
            for number, domain in enumerate(domains, 1)
        ),
        tuple(EntryPlan(f"entry-{i}", domain) for i, domain in enumerate(domains, 1)),
        EXAMPLES / "ashcombe" / "sheet.csv",
    )


def fault_options() -> LaunchOptions:
    """Return options with short drain and retention times."""
    return LaunchOptions(
        entry={"drain_accept_s": 0.3, "log_retention_s": RETENTION_S},
        agent={"claims": {"retention_s": RETENTION_S, "confirm_timeout_s": 2.0}},
    )


class SystemUnderTest:
    """A running deployment into which faults are injected, and its journals."""

    def __init__(self, launcher_type: type[Launcher] = Launcher) -> None:
        self._journals = Path(tempfile.mkdtemp(prefix="pomelothread-journals-"))
        self.journal = Journal(self._journals)
        self.launcher = launcher_type(fault_deployment(self._journals), fault_options())
        self.callers = Callers(self.accepting_urls)
        self.draining: set[str] = set()
        self.locks = {
            name: asyncio.Lock()
            for name in (*self.launcher.nodes, *self.upstream_names())
        }
        self._entry_stops = asyncio.Lock()
        # Orders that ran in any trial, with their responses.
        self.completed_orders: dict[Call, str] = {}
        self.checked_log_sizes: dict[str, int] = {}
        self._plans = {name: node.plan for name, node in self.launcher.nodes.items()}

    async def __aenter__(self) -> "SystemUnderTest":
        await self.launcher.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.callers.client.aclose()
        await self.launcher.__aexit__(*exc_info)
        shutil.rmtree(self._journals, ignore_errors=True)

    def planned_stop_lock(self, name: str) -> AbstractAsyncContextManager[object]:
        """Return the lock to hold during a planned stop.

        Operators stop one entry after the other (docs/OPERATIONS.md). If both were
        stopped, callers would find no entry, and the check "stop" would report them.
        """
        node = self.launcher.nodes.get(name)
        is_entry = node is not None and node.role == ENTRY
        return self._entry_stops if is_entry else nullcontext()

    def names(self, role: str) -> list[str]:
        """Return the nodes of a role."""
        return [n for n, node in self.launcher.nodes.items() if node.role == role]

    def upstream_names(self) -> list[str]:
        """Return the names of the upstreams, as `Launcher.signal` takes them."""
        return [f"upstream:{u.instance}" for u in self.launcher.deployment.upstreams]

    def accepting_urls(self) -> list[str]:
        """Return the URLs of the entries that a load balancer would choose from."""
        return [
            f"http://{node.http_address}"
            for name, node in self.launcher.nodes.items()
            if node.role == ENTRY
            and node.program.is_running
            and name not in self.draining
        ]

    async def set_faults(self, name: str, **values: Any) -> None:
        """Change the injected faults of a stand-in, unless it has ended."""
        with suppress(HTTPClientError, OSError):
            await self._call(name, "/_faults", "POST", values)

    async def _call(
        self, name: str, path: str, method: str = "GET", body: Any = None
    ) -> Any:
        address = self.launcher.program(f"upstream:{name}").announced["address"]
        response = await AsyncHTTPClient().fetch(
            HTTPRequest(
                f"http://{address}{path}",
                method=method,
                body=None if body is None else msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
            )
        )
        return msgspec.json.decode(response.body) if response.body else None

    async def listed_instances(self) -> list[dict[str, Any]]:
        """Return the present content of the instance list."""
        shown: list[dict[str, Any]] = await self._call(INSTANCE_LIST, "/instances")
        return shown

    async def terminate(self, name: str) -> int:
        """Send SIGTERM to a node, wait for its end and return the exit status."""
        self.draining.add(name)
        return await self.launcher.program(name).stop(PROBE_LIMIT_S)

    async def restart(self, name: str) -> None:
        """Restart a process if it has ended."""
        program = self.launcher.program(name)
        if program.is_running:
            return
        upstream = name.removeprefix("upstream:")
        if upstream != name:
            await self.launcher.start_standin(upstream)
            return
        # The load balancer chooses an entry again only once it is ready.
        self.draining.add(name)
        try:
            await self.launcher.start_node(name)
            await self.launcher.list_instances()
            await self.launcher.wait_ready(name)
        finally:
            self.draining.discard(name)

    async def restore(self) -> str:
        """End all faults, restart what has ended, and wait until requests succeed.

        Returns a description of what did not recover, or "".
        """
        nodes = self.launcher.nodes
        for name in (*nodes, *self.upstream_names()):
            self.launcher.signal(name, signal.SIGCONT)
        await self.set_faults(LOG, **_LOG_DEFAULTS)
        await self._call(INSTANCE_LIST, "/_faults", "DELETE")
        for name in self.upstream_names():
            instance = name.removeprefix("upstream:")
            try:
                await self._call(instance, "/_faults", "DELETE")
            except (HTTPClientError, OSError):
                await self.launcher.kill(name)
            await self.restart(name)
        for name, node in nodes.items():
            node.state = LIVE
            if node.plan != self._plans[name]:
                await self.launcher.kill(name)
                node.plan = self._plans[name]
        await asyncio.gather(*(self.restart(name) for name in nodes))
        await self.launcher.list_instances()
        try:
            async with asyncio.timeout(PROBE_LIMIT_S):
                for name in nodes:
                    await self.wait_open(name)
                await self._wait_until_served()
        except TimeoutError:
            return (
                f"some probe requests still failed {PROBE_LIMIT_S:g} s after the fault"
            )
        return ""

    async def status(self, name: str) -> Mapping[str, Any]:
        """Return the status that a node reports; empty if it doesn't answer."""
        address = self.launcher.nodes[name].http_address
        with suppress(HTTPClientError, OSError):
            response = await AsyncHTTPClient().fetch(f"http://{address}/control/status")
            status: dict[str, Any] = msgspec.json.decode(response.body)
            return status
        return {}

    async def wait_open(self, name: str) -> None:
        """Wait until an agent is open or an entry is ready."""
        while (await self.status(name)).get("state") not in {"open", "ready"}:
            await asyncio.sleep(POLL_S)

    async def _wait_until_served(self) -> None:
        """Wait until a request of each kind succeeds at both entries."""
        probes = [
            Call("stock-check", "ashcombe-shop", 0, "probe", "ledger"),
            Call("cleft-grade", "willow-yard", 2, "probe", "model", 2),
        ]
        callers = Callers(self.accepting_urls)
        try:
            for entry in range(len(self.names(ENTRY))):
                for probe in probes:
                    call = dataclasses.replace(probe, entry=entry)
                    while (await callers.send(call)).outcome != RUN:
                        await asyncio.sleep(POLL_S)
                while (await callers.send(_order_probe(entry))).outcome != RUN:
                    await asyncio.sleep(POLL_S)
        finally:
            await callers.client.aclose()

    def replace_agent(self, name: str, instance: str) -> Node:
        """Give an agent another instance name, which its next start uses."""
        node = self.launcher.nodes[name]
        self.launcher.standins[instance] = self.launcher.standins[name]
        node.plan = dataclasses.replace(node.plan, instance=instance)
        return node


def _order_probe(entry: int) -> Call:
    key = f"probe-{time.monotonic_ns()}"
    return Call("bulk-order", "malvern-schools", 1, key, "ledger", key=key, entry=entry)


_LOG_DEFAULTS: dict[str, Any] = {
    "down": False,
    "refuse_appends": False,
    "refuse_reads": False,
    "lose_append_answers": False,
    "delay_s": 0.0,
    "delay_answer_s": 0.0,
    "retention_s": None,
    "hang": False,
}
