"""Starts and stops all processes of a deployment on the loopback interface.

``python -m launcher --deployment=tiny`` runs one until Ctrl-C. The demo, the
tests and the measurements use `Launcher`.
"""

import asyncio
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
from absl import app, flags
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from deployments import DEPLOYMENTS, Deployment
from launch_settings import (
    AGENT,
    ENTRY,
    LaunchOptions,
    Node,
    NodeEnvironment,
    listed_instance,
    node_settings,
    to_toml,
)
from processes import ROOT, START_TIMEOUT_S, ChildProcess, LaunchError

LOG = "log"
INSTANCE_LIST = "instance-list"

POLL_S = 0.02


class Launcher:
    """All processes of one deployment, as an asynchronous context manager.

    On exit it stops the entries, then the agents, then the stand-ins, and removes
    the temporary directory.

    Parameters
    ----------
    deployment : Deployment
        Deployment to start.
    options : LaunchOptions
        Options for its nodes.

    Attributes
    ----------
    directory : Path
        Temporary directory with settings, logs and spans.
    nodes : dict of str to Node
        Entries and agents by instance.
    standins : dict of str to ChildProcess
        Upstreams by instance, and `LOG` and `INSTANCE_LIST`.
    """

    def __init__(
        self, deployment: Deployment, options: LaunchOptions | None = None
    ) -> None:
        self.deployment = deployment
        self.options = options or LaunchOptions()
        self.directory = Path(tempfile.mkdtemp(prefix="pomelothread-"))
        self.standins = {
            name: self._program(name, f"standins.{module}")
            for name, module in self._standin_modules().items()
        }
        self.nodes: dict[str, Node] = {}
        for entry in deployment.entries:
            program = self._program(entry.instance, "pomelothread.entry.command")
            self.nodes[entry.instance] = Node(ENTRY, entry, program)
        for upstream in deployment.upstreams:
            program = self._program(
                f"agent-{upstream.instance}", "pomelothread.agent.command"
            )
            self.nodes[upstream.instance] = Node(AGENT, upstream, program)
        self._standin_arguments = {
            upstream.instance: upstream.arguments for upstream in deployment.upstreams
        }

    async def __aenter__(self) -> "Launcher":
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stop()

    @property
    def log_address(self) -> str:
        """``ip:port`` of the log."""
        return self.standins[LOG].announced["address"]

    @property
    def instance_list_address(self) -> str:
        """``ip:port`` of the instance list."""
        return self.standins[INSTANCE_LIST].announced["address"]

    @property
    def entry_urls(self) -> list[str]:
        """URLs of the running entries."""
        return [
            f"http://{node.http_address}"
            for node in self.nodes.values()
            if node.role == ENTRY and node.program.is_running
        ]

    @property
    def span_paths(self) -> list[Path]:
        """Span files of all nodes."""
        return sorted(self.directory.glob("*.spans.jsonl"))

    def upstream_address(self, instance: str) -> str:
        """Return ``ip:port`` of an upstream."""
        return self.standins[instance].announced["address"]

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready.

        Without a sheet no node becomes ready; then it returns when all listen.
        """
        await self.start_standins()
        async with asyncio.TaskGroup() as group:
            if self.options.publishes_sheet:
                group.create_task(self.publish_sheet(self.deployment.sheet))
            for instance in self._instances(AGENT):
                group.create_task(self.start_node(instance))
        # Entries read the list when they start and then once a second. Agents that
        # are listed before are found at once, not a second later.
        await self.list_instances()
        async with asyncio.TaskGroup() as group:
            for instance in self._instances(ENTRY):
                group.create_task(self.start_node(instance))
        await self.list_instances()
        if not self.options.publishes_sheet:
            return
        async with asyncio.TaskGroup() as group:
            for instance in self.nodes:
                group.create_task(self.wait_ready(instance))

    async def start_standins(self) -> None:
        """Start upstreams, log and instance list."""
        async with asyncio.TaskGroup() as group:
            for name in self.standins:
                group.create_task(self.start_standin(name))

    async def start_standin(self, name: str) -> None:
        """Start a stand-in, on the same port if it ran before."""
        program = self.standins[name]
        _, _, port = program.announced.get("address", ":0").rpartition(":")
        arguments = self._standin_arguments.get(name, ())
        await program.start([f"--port={port}", *arguments])

    async def start_node(self, instance: str) -> None:
        """Start an entry or an agent, on the same ports if it ran before."""
        node = self.nodes[instance]
        path = self.directory / f"{node.program.name}.toml"
        path.write_text(to_toml(self._settings(node)), encoding="utf-8")
        await node.program.start([f"--settings={path}"])

    async def wait_ready(self, instance: str) -> None:
        """Wait until ``/readyz`` of a node returns 200."""
        await self._poll(instance, "/readyz", "200", lambda code, body: code == 200)

    async def wait_state(self, instance: str, state: str) -> None:
        """Wait until ``/control/status`` of a node shows a state."""
        await self._poll(
            instance,
            "/control/status",
            state,
            lambda code, body: (
                code == 200 and msgspec.json.decode(body)["state"] == state
            ),
        )

    async def _poll(
        self,
        instance: str,
        path: str,
        expected: str,
        is_reached: Callable[[int, bytes], bool],
    ) -> None:
        """Poll a node until it answers as expected; raise LaunchError if it doesn't."""
        node = self.nodes[instance]
        url = f"http://{node.http_address}{path}"
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while node.program.is_running:
                    if is_reached(*await _get(url)):
                        return
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            pass
        raise LaunchError(
            f"{node.program.name}: {path} did not show {expected}: "
            f"{node.program.log_tail()}"
        )

    async def list_instances(self) -> None:
        """Update the instance list with the present state of all nodes."""
        listed = [
            listed_instance(node, self.deployment)
            for node in self.nodes.values()
            if node.is_listed and node.http_address
        ]
        await AsyncHTTPClient().fetch(
            HTTPRequest(
                f"http://{self.instance_list_address}/_instances",
                method="PUT",
                headers={"Content-Type": "application/json"},
                body=msgspec.json.encode(listed),
            )
        )

    async def publish_sheet(self, path: Path, base: int = 0) -> str:
        """Publish a sheet with the operators' command and return its output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pomelothread.operators.command",
            "publish",
            str(path),
            f"--log={self.log_address}",
            f"--base={base}",
            "--operator=launcher",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            cwd=ROOT / "src",
        )
        output, _ = await process.communicate()
        if process.returncode != 0:
            raise LaunchError(f"the sheet was not published: {output.decode()}")
        return output.decode()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node or a stand-in.

        Parameters
        ----------
        name : str
            An instance for its node, ``upstream:`` and an instance for its
            upstream, or `LOG` or `INSTANCE_LIST`.
        number : signal.Signals
            SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
        """
        self.program(name).signal(number)

    def program(self, name: str) -> ChildProcess:
        """Return the process with a name, as `signal` takes it."""
        upstream = name.removeprefix("upstream:")
        if upstream != name or name not in self.nodes:
            return self.standins[upstream]
        return self.nodes[name].program

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        await self.program(name).stop(timeout_s=0)

    async def restart_node(self, instance: str) -> None:
        """Restart a node that has ended, and wait until it is ready."""
        await self.start_node(instance)
        await self.list_instances()
        await self.wait_ready(instance)

    async def stop_nodes(self) -> dict[str, int]:
        """Stop entries, then agents, and return the exit statuses by name.

        A node that was killed earlier is not in the result.
        """
        statuses: dict[str, int] = {}
        for role in (ENTRY, AGENT):
            running = [
                node.program
                for node in self.nodes.values()
                if node.role == role and node.program.is_running
            ]
            ended = await asyncio.gather(*(program.stop() for program in running))
            statuses |= zip((p.name for p in running), ended, strict=True)
        return statuses

    async def stop(self) -> None:
        """Stop everything and remove the directory."""
        try:
            await self.stop_nodes()
        finally:
            programs = [node.program for node in self.nodes.values()]
            programs += self.standins.values()
            await asyncio.gather(*(program.stop(timeout_s=0) for program in programs))
            shutil.rmtree(self.directory, ignore_errors=True)

    def _instances(self, role: str) -> list[str]:
        return [name for name, node in self.nodes.items() if node.role == role]

    def _standin_modules(self) -> dict[str, str]:
        kinds = {"model": "engine", "plain": "plain_service"}
        modules = {u.instance: kinds[u.kind] for u in self.deployment.upstreams}
        return modules | {LOG: "log_service", INSTANCE_LIST: "instance_list"}

    def _program(self, name: str, module: str) -> ChildProcess:
        return ChildProcess(name, module, self.directory / f"{name}.log")

    def _settings(self, node: Node) -> dict[str, Any]:
        announced = self.standins.get(node.plan.instance)
        return node_settings(
            node,
            self.deployment,
            self.options,
            NodeEnvironment(
                self.log_address,
                self.instance_list_address,
                self.directory,
                announced.announced if announced else {},
            ),
        )


async def _get(url: str) -> tuple[int, bytes]:
    """Return status and body of a GET; status 0 if there was no answer."""
    # An instance that is restarting refuses connections until it listens again.
    with suppress(OSError):
        response = await AsyncHTTPClient().fetch(url, raise_error=False)
        return int(response.code), response.body
    return 0, b""


async def _run(deployment: Deployment) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    async with Launcher(deployment) as launcher:
        print(f"entries: {' '.join(launcher.entry_urls)}")
        print(f"log: {launcher.log_address}")
        print(f"logs of the processes: {launcher.directory}")
        print("stop with Ctrl-C", flush=True)
        await stopped.wait()


def main(argv: Sequence[str]) -> None:
    """Run a deployment until Ctrl-C."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    asyncio.run(_run(DEPLOYMENTS[flags.FLAGS.deployment]))


if __name__ == "__main__":
    flags.DEFINE_enum("deployment", "tiny", sorted(DEPLOYMENTS), "deployment to start")
    app.run(main)
