"""Starts the processes of the benchmark, measures capacity and reads counters."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
import psutil
from tornado.httpclient import AsyncHTTPClient

from bench_load import RequestGenerator, send
from deployments import DEPLOYMENTS, Deployment, UpstreamPlan
from launch_settings import ENTRY, LaunchOptions
from launcher import Launcher
from pomelothread.operators.planning import parse_sheet
from pomelothread.peers.http_exchange import ExchangeClient
from processes import ChildProcess

POMELO = "pomelo"
NAIVE = "naive"
POLICIES = (POMELO, NAIVE)

# Number of places of each agent; equals the upstream's batch size or worker count,
# as an operator would set it.
N_PLACES = 8
# Engines run at half of the deployment's speed, and the target token gap is twice
# the default. At full speed, a load of three times the capacity needed more CPU
# time than a 10-core machine with other load had.
SPEED_RATIO = 0.5
TARGET_TOKEN_GAP_S = 0.082
ENGINE_ARGUMENTS = (f"--max_batch={N_PLACES}", "--n_blocks=1024")
# Slow enough that three times the capacity of a pool is a few hundred requests a
# second, which the processes of one machine can handle.
PLAIN_ARGUMENTS = (f"--n_workers={N_PLACES}", "--service_time_s=0.4")
# At three times the capacity, most requests are open at the same time.
MAX_EXCHANGES = 4000

# Answers take up to 8 s on the slowest engine. With shorter times, calibrations of
# the same deployment differed by 20%.
CALIBRATION_WARM_S = 4.0
CALIBRATION_S = 10.0

_CONTROL_PREFIX = "pomelothread_control_"


@dataclass(slots=True)
class Sample:
    """Counters of all processes at one time.

    Parameters
    ----------
    states : dict of str to Counter
        Counters of each upstream.
    control : dict of str to dict
        Control bytes ``sent`` and ``received`` by node.
    processes : dict of str to dict
        Role, CPU time and memory by process name.
    """

    states: dict[str, "Counter[str]"]
    control: dict[str, dict[str, float]]
    processes: dict[str, dict[str, Any]] = field(default_factory=dict)

    def control_since(self, earlier: "Sample", direction: str) -> int:
        """Return the control bytes of all nodes that are in both samples."""
        return round(
            sum(
                counters[direction] - earlier.control[name][direction]
                for name, counters in self.control.items()
                if name in earlier.control
            )
        )

    def processes_since(self, earlier: "Sample") -> dict[str, dict[str, Any]]:
        """Return CPU time since an earlier sample, and memory in this one."""
        return {
            name: {
                "role": process["role"],
                "cpu_s": round(process["cpu_s"] - earlier.processes[name]["cpu_s"], 3),
                "rss_mib": process["rss_mib"],
            }
            for name, process in self.processes.items()
            if name in earlier.processes
        }


def bench_deployment(name: str) -> Deployment:
    """Return a deployment small enough to load with three times its capacity."""
    deployment = DEPLOYMENTS[name]
    return replace(
        deployment,
        upstreams=tuple(_with_bench_capacity(u) for u in deployment.upstreams),
    )


def _with_bench_capacity(upstream: UpstreamPlan) -> UpstreamPlan:
    arguments: tuple[str, ...] = PLAIN_ARGUMENTS
    if upstream.kind == "model":
        speeds = (a for a in upstream.arguments if a.startswith("--speed="))
        speed = SPEED_RATIO * float(next(speeds).removeprefix("--speed="))
        arguments = (*ENGINE_ARGUMENTS, f"--speed={speed}")
    # A flag that is given twice takes the last value.
    return replace(
        upstream, arguments=(*upstream.arguments, *arguments), n_places=N_PLACES
    )


class Rig:
    """A running deployment, and the naive proxy in front of the same upstreams.

    Parameters
    ----------
    name : str
        Name of the deployment.

    Attributes
    ----------
    capacity : dict of str to float
        By pool, tokens a second of engines or requests a second of services.
    mean_work : dict of str to float
        By pool, mean of `Request.work`.
    """

    def __init__(self, name: str) -> None:
        self.deployment = bench_deployment(name)
        self.sheet = parse_sheet(self.deployment.sheet.read_bytes()).unwrap()
        places = {
            "initial": N_PLACES,
            "maximum": N_PLACES,
            "target_token_gap_s": TARGET_TOKEN_GAP_S,
        }
        options = LaunchOptions(log_level="warning", agent={"places": places})
        self.launcher = Launcher(self.deployment, options)
        self.naive = ChildProcess(
            "naive", "bench_naive", self.launcher.directory / "naive.log"
        )
        self.pools = sorted({u.pool for u in self.deployment.upstreams})
        self.capacity: dict[str, float] = {}
        self.mean_work: dict[str, float] = {}

    async def __aenter__(self) -> "Rig":
        await self.launcher.start()
        self.client = ExchangeClient(MAX_EXCHANGES)
        upstreams = ",".join(
            f"{u.pool}={self.launcher.upstream_address(u.instance)}"
            for u in self.deployment.upstreams
        )
        await self.naive.start(
            [f"--sheet={self.deployment.sheet}", f"--upstreams={upstreams}"]
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.client.close()
        await self.naive.stop(timeout_s=0)
        await self.launcher.stop()

    def urls(self, policy: str) -> list[str]:
        """Return the URLs to which callers of a policy send requests."""
        if policy == POMELO:
            return self.launcher.entry_urls
        return [f"http://{self.naive.announced['http_address']}"]

    def remote_upstreams(self) -> list[UpstreamPlan]:
        """Return the upstreams outside the regions of the entries."""
        regions = self.deployment.regions
        home = {regions[entry.failure_domain] for entry in self.deployment.entries}
        return [
            upstream
            for upstream in self.deployment.upstreams
            if regions[upstream.failure_domain] not in home
        ]

    async def calibrate(self, seed: int) -> None:
        """Measure the capacity with a closed-loop load on the upstreams."""
        stop = asyncio.Event()
        tasks = []
        for upstream in self.deployment.upstreams:
            for number in range(2 * N_PLACES):
                rng = random.Random(f"{seed}-{upstream.instance}-{number}")
                salt = f"calibrate{upstream.instance}"
                generator = RequestGenerator(
                    self.deployment.name, self.sheet, rng, f"{salt}{number}"
                )
                tasks.append(
                    asyncio.create_task(self._call_directly(upstream, generator, stop))
                )
        await asyncio.sleep(CALIBRATION_WARM_S)
        before = await self.sample()
        await asyncio.sleep(CALIBRATION_S)
        after = await self.sample()
        stop.set()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks)
        for pool in self.pools:
            work = 0
            for upstream in self.deployment.upstreams:
                if upstream.pool != pool:
                    continue
                name = upstream.instance
                key = "n_generated" if upstream.kind == "model" else "n_completed"
                work += after.states[name][key] - before.states[name][key]
            self.capacity[pool] = work / CALIBRATION_S

    async def _call_directly(
        self, upstream: UpstreamPlan, generator: RequestGenerator, stop: asyncio.Event
    ) -> None:
        url = f"http://{self.launcher.upstream_address(upstream.instance)}"
        paths = {
            f"/services/{service.name}": service.path
            for service in self.sheet.services.values()
        }
        while not stop.is_set():
            request = generator.make(upstream.pool, 0.0)
            body, path = request.body, request.path
            if upstream.kind == "model":
                decoded = msgspec.json.decode(body)
                decoded["model"] = self.sheet.services[decoded["model"]].model
                body = msgspec.json.encode(decoded)
            else:
                matching = next(prefix for prefix in paths if path.startswith(prefix))
                path = paths[matching] + path.removeprefix(matching)
            await send(self.client, url, replace(request, path=path, body=body), 0.0)

    async def sample(self) -> Sample:
        """Read all counters, except those of processes that have ended."""
        launcher = self.launcher
        states = {}
        control = {}
        for upstream in self.deployment.upstreams:
            if launcher.program(f"upstream:{upstream.instance}").is_running:
                url = f"http://{launcher.upstream_address(upstream.instance)}/_state"
                state = msgspec.json.decode(await _get(url))
                states[upstream.instance] = Counter(
                    {k: v for k, v in state.items() if isinstance(v, int)}
                )
        programs = {"naive": ("naive", self.naive)}
        for name, node in launcher.nodes.items():
            if node.program.is_running:
                text = (await _get(f"http://{node.http_address}/metrics")).decode()
                control[name] = control_bytes(text)
                role = "entries" if node.role == ENTRY else "agents"
                programs[node.program.name] = (role, node.program)
        processes = {
            name: {"role": role, **_usage(program.pid)}
            for name, (role, program) in programs.items()
        }
        return Sample(states, control, processes)


def control_bytes(metrics: str) -> dict[str, float]:
    """Return the control bytes from metrics in the Prometheus text format.

    Examples
    --------
    >>> control_bytes("pomelothread_control_sent_bytes 7.0")
    {'sent': 7.0, 'received': 0.0}
    """
    totals = {"sent": 0.0, "received": 0.0}
    for line in metrics.splitlines():
        name, _, value = line.rpartition(" ")
        for direction in totals:
            if name.startswith(f"{_CONTROL_PREFIX}{direction}_bytes"):
                totals[direction] += float(value)
    return totals


def _usage(pid: int) -> dict[str, float]:
    process = psutil.Process(pid)
    times = process.cpu_times()
    return {
        "cpu_s": times.user + times.system,
        "rss_mib": round(process.memory_info().rss / 2**20, 1),
    }


async def _get(url: str) -> bytes:
    response = await AsyncHTTPClient().fetch(url)
    return bytes(response.body)
