"""Deployment of a soak run: gateway processes, store, upstreams and faults."""

import asyncio
import os
import signal
import socket
import sys
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path

import soak_checks
from pomelothread.addresses import Address
from soak_checks import Arrival, Disruption, History, NamedLimit, Probe, Run
from soak_gateway import cut_path
from soak_plan import (
    MAX_COPY_AGE_S,
    N_DESKS,
    N_ENGINES,
    N_GATEWAYS,
    N_SERVERS,
    N_WRITERS,
    CrashingPart,
    Fault,
    ForeignRecords,
    Kill,
    KillServer,
    NamesLimit,
    Pause,
    PeerCut,
    Reconfigure,
    Replace,
    Stop,
    StoreFault,
    StoreLink,
    StoreRestored,
    Upgrade,
    UpstreamLink,
    UpstreamTrouble,
)
from standins.fault_proxy import FaultProxy, LinkFault
from standins.platform import PlatformStore, PlatformUpstream, Topic, UpstreamFault
from standins.platform_caller import open_caller
from standins.platform_configuration import make_configuration, make_route
from standins.server_process import ServerProcess

HOST = "soak.example"
KEYS = {"club": "key-of-club", soak_checks.QUOTA_ORGANISATION: "key-of-guild"}
EVENT_INTERVAL_S = 0.02
LINK_DELAY_S = 0.25
# Interval at which copies of the store are made, and time after its return from one in
# which operator and upstreams write again what it has lost.
COPY_INTERVAL_S = 0.25
WRITTEN_AGAIN_S = 1.0
# Time after which a crashed engine accepts connections again.
RESTART_S = 1.0
# Number of software versions of engines that serve side by side.
N_VERSIONS = 2
LONG_EVENT_INTERVAL_S = 0.06
N_WRITER_SLOTS = 16
# A proxy before a process holds connections while the process is down.
PROXY_PATIENCE_S = 3.0
# The load balancer checks readiness each second and takes a gateway out of rotation
# after two failed checks in a row.
BALANCER_INTERVAL_S = 1.0
N_MISSES_TO_REMOVE = 2
# A process that is still running this long after SIGTERM is killed, and the soak
# fails.
STOP_TIMEOUT_S = 30.0
START_TIMEOUT_S = 60.0

SETTINGS = """
node = "gateway-{number}"
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internal_port_range = [{peer_port}, {peer_port}]
seeds = ["127.0.0.2:{ready_port}", "127.0.0.3:{ready_port}"]
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[bounds]
config_ms = {config_ms}
drain_ms = {drain_ms}
grace_s = 8
retry_budget_ratio = {retry_ratio}
budget_window_s = {retry_window_s}
budget_slack = {retry_slack}
quota_window_s = {quota_window_s}
quota_over = {quota_over}
quota_slack = {quota_slack}
[platform]
address = "{store}"
"""


class GatewayProcess:
    """One real gateway process and its link to the store.

    Parameters
    ----------
    number : int
        Index in the deployment.
    ports : tuple of int
        Ports for callers, readiness and peers. Gateways share the port numbers
        and differ in their address.
    store : Address
        Address of the store.
    directory : Path
        Directory for settings and logs.
    program : list of str
        Interpreter arguments that precede the flags.
    on_start : callable
        Called with the number before each start of the process.
    """

    def __init__(
        self,
        number: int,
        ports: tuple[int, int, int],
        store: Address,
        directory: Path,
        program: list[str],
        on_start: Callable[[int], None],
    ) -> None:
        self.on_start = on_start
        ip = f"127.0.0.{number + 2}"
        self.number = number
        self.incarnation = 0
        self.callers_address = Address(ip, ports[0])
        self.ready_address = Address(ip, ports[1])
        self._peer_port = ports[2]
        self.store_link = FaultProxy(store)
        self._directory = directory
        self._program = program
        self.process: asyncio.subprocess.Process | None = None
        # Serialises faults, so that one does not signal a process that another one
        # is starting or stopping.
        self.lock = asyncio.Lock()

    async def prepare(self) -> None:
        """Start the link to the store and write the settings file."""
        await self.store_link.start()
        text = SETTINGS.format(
            number=self.number,
            ip=self.callers_address.host,
            front_port=self.callers_address.port,
            ready_port=self.ready_address.port,
            peer_port=self._peer_port,
            store=self.store_link.address,
            config_ms=round(soak_checks.CONFIGURATION_BOUND_S * 1000),
            drain_ms=round(soak_checks.LEAVING_BOUND_S * 1000),
            retry_ratio=soak_checks.RETRY_RATIO,
            retry_window_s=soak_checks.RETRY_WINDOW_S,
            retry_slack=soak_checks.RETRY_SLACK,
            quota_window_s=soak_checks.QUOTA_WINDOW_S,
            quota_over=soak_checks.QUOTA_OVER,
            quota_slack=soak_checks.QUOTA_SLACK,
        )
        self._settings_path.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the process without waiting until it is ready."""
        self.incarnation += 1
        self.on_start(self.number)
        log_path = self._directory / f"gateway-{self.number}.log"
        with log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._program,
                f"--settings={self._settings_path}",
                stdout=log,
                stderr=log,
                env=os.environ,
            )

    async def cut_from_peers(self, for_s: float) -> None:
        """Lose all messages between this gateway and the others for some time."""
        path = cut_path(self._settings_path)
        path.touch()
        await asyncio.sleep(for_s)
        path.unlink(missing_ok=True)

    async def wait_until_ready(self) -> None:
        """Wait until the gateway reports that it is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Check readiness as the load balancer does."""
        try:
            async with asyncio.timeout(BALANCER_INTERVAL_S):
                caller = await open_caller(self.ready_address, HOST)
                try:
                    caller.send("/v1/readiness", method="GET", body=b"")
                    return (await caller.answer()).status == 200
                finally:
                    caller.close()
        except (OSError, TimeoutError):
            # The load balancer cannot tell a gateway that is down from one that is
            # paused or busy.
            return False

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_until_ended(self) -> int | None:
        """Return the exit code, or None if the process had to be killed."""
        assert self.process is not None
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
            return None

    async def close(self) -> None:
        """Kill the process and stop its link."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
        await self.store_link.stop()

    @property
    def _settings_path(self) -> Path:
        return self._directory / f"gateway-{self.number}.toml"


class SoakDeployment:
    """Store, upstreams, gateways, load balancer and operator of a soak run.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    program : list of str
        Interpreter arguments that start a gateway.
    """

    def __init__(self, directory: Path, program: list[str]) -> None:
        self.history = History()
        self.store = PlatformStore()
        self._directory = directory
        self._program = program
        self._started_s = time.monotonic()
        self._upstreams: list[PlatformUpstream] = []
        self._writers: list[PlatformUpstream] = []
        self._servers: list[ServerProcess] = []
        # Writers that are down, or whose newest start is not listed.
        self._unlisted: set[str] = set()
        self._replaced: list[PlatformUpstream] = []
        self._links: dict[str, FaultProxy] = {}
        self._n_upstreams = 0
        # Parts of prompts that crash engines now.
        self.crashing_parts: frozenset[str] = frozenset()
        self._restarts: set[asyncio.Task[None]] = set()
        self._down: set[str] = set()
        # Time and copy of the store, the oldest one first.
        self._copies: deque[tuple[float, dict[str, Topic]]] = deque(
            maxlen=round(MAX_COPY_AGE_S / COPY_INTERVAL_S) + 1
        )
        # State of each listed upstream.
        self._entries: dict[str, tuple[PlatformUpstream | ServerProcess, str]] = {}
        self._n_reports = 0
        self.version = 0
        self.gateways: list[GatewayProcess] = []
        self._misses: dict[int, int] = {}
        self.exit_codes: list[int | None] = []

    def now_s(self) -> float:
        """Return the seconds since the deployment was created."""
        return time.monotonic() - self._started_s

    @property
    def in_rotation(self) -> list[GatewayProcess]:
        """Gateways that get new connections; all of them if none is ready."""
        found = [
            g
            for g in self.gateways
            if self._misses.get(g.number, 0) < N_MISSES_TO_REMOVE
        ]
        return found or self.gateways

    async def start(self) -> None:
        """Start all parts and wait until the gateways are ready."""
        await self.store.http.start()
        self.reconfigure()
        for number in range(N_ENGINES + N_DESKS):
            await self._add_upstream("engines" if number < N_ENGINES else "desk")
        for number in range(N_WRITERS):
            await self._add_writer(number)
        for number in range(N_SERVERS):
            await self._add_server(number)
        ports = _free_ports(3)
        store = Address("127.0.0.1", self.store.http.port)
        for number in range(N_GATEWAYS):
            gateway = GatewayProcess(
                number,
                ports,
                store,
                self._directory,
                self._program,
                lambda n: self.history.starts.append((n, self.now_s())),
            )
            self.gateways.append(gateway)
            await gateway.prepare()
            await gateway.start()
        await asyncio.gather(*(gateway.wait_until_ready() for gateway in self.gateways))

    async def close(self) -> None:
        """Stop everything that was started, then collect the runs of the upstreams."""
        for restart in self._restarts:
            restart.cancel()
        for gateway in self.gateways:
            await gateway.close()
        for link in self._links.values():
            await link.stop()
        for upstream in (*self._upstreams, *self._replaced, *self._writers):
            await upstream.http.stop()
        for server in self._servers:
            await server.stop()
        await self.store.http.stop()
        self._collect_runs()

    async def run_balancer(self) -> None:
        """Check the readiness of all gateways each second, until cancelled."""
        while True:
            ready = await asyncio.gather(*(g.is_ready() for g in self.gateways))
            for gateway, is_ready in zip(self.gateways, ready, strict=True):
                misses = self._misses.get(gateway.number, 0)
                self._misses[gateway.number] = 0 if is_ready else misses + 1
            await asyncio.sleep(BALANCER_INTERVAL_S)

    async def copy_store(self) -> None:
        """Copy the store at intervals, until cancelled."""
        while True:
            self._copies.append((self.now_s(), self.store.copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _restore_store(self, age_s: float, away_s: float) -> None:
        """Let the store return from a copy, and write again what it has lost."""
        copied = [copy for at_s, copy in self._copies if at_s <= self.now_s() - age_s]
        copy = copied[-1] if copied else self._copies[0][1]
        self.store.is_down = True
        await asyncio.sleep(away_s)
        self.store.restore(copy)
        self.store.is_down = False
        version = self.version
        await asyncio.sleep(WRITTEN_AGAIN_S / 2)
        if version == self.version:
            self.store.put("keyed.op", "config", _make_configuration(version))
        for name in self.store.newest("keyed.servers"):
            if name not in self._entries:
                self.store.put("keyed.servers", name, None)
        await asyncio.sleep(WRITTEN_AGAIN_S / 2)
        for upstream, state in list(self._entries.values()):
            if upstream.upstream_id not in self._unlisted:
                self._list(upstream, state)

    async def probe_versions(self) -> None:
        """Record the configuration versions of all gateways, until cancelled."""
        await asyncio.gather(
            *(self._probe_gateway(gateway) for gateway in self.gateways)
        )

    async def _probe_gateway(self, gateway: GatewayProcess) -> None:
        while True:
            await asyncio.sleep(0.1)
            incarnation, sent_s = gateway.incarnation, self.now_s()
            newest = self.version
            for version in range(newest, max(0, newest - 8), -1):
                if await self._has_version(gateway, version):
                    break
            else:
                continue
            if incarnation == gateway.incarnation:
                self.history.probes.append(
                    Probe(gateway.number, incarnation, sent_s, version)
                )

    async def _has_version(self, gateway: GatewayProcess, version: int) -> bool:
        """Tell whether a gateway uses a version, by the route that only it has.

        A request without an id is answered 400 on a known route, 404 otherwise.
        """
        try:
            async with asyncio.timeout(2.0):
                caller = await open_caller(gateway.callers_address, HOST)
                try:
                    caller.send(f"/v{version}/", request_id=None, body=b"")
                    return (await caller.answer()).status not in (0, 404, 503)
                finally:
                    caller.close()
        except (OSError, TimeoutError):
            # The version of a gateway that is down or paused is unknown.
            return False

    def reconfigure(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        self.store.put("keyed.op", "config", _make_configuration(self.version))
        self.history.versions[self.version] = self.now_s()

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, wait for its duration, end it and record it."""
        start_s = self.now_s()
        match fault:
            case Kill(gateways, down_s):
                await asyncio.gather(*(self._kill(n, down_s) for n in gateways))
                for number in gateways:
                    self._record_disruption(number, start_s)
            case Stop(number):
                await self._stop(number)
            case Pause(number, for_s):
                await self._pause(number, for_s)
                self._record_disruption(number, start_s)
            case StoreLink(number, link_fault, for_s):
                await _apply_link_fault(
                    self.gateways[number].store_link, link_fault, for_s
                )
                self._record_disruption(number, start_s)
            case StoreFault(kind, for_s):
                await self._apply_store_fault(kind, for_s)
                self._record_disruption(None, start_s)
            case StoreRestored(age_s, away_s):
                await self._restore_store(age_s, away_s)
                self._record_disruption(None, start_s)
            case UpstreamLink(number, link_fault, for_s):
                upstream = self._upstreams[number]
                await _apply_link_fault(
                    self._links[upstream.upstream_id], link_fault, for_s
                )
                self._record_faulty_span(upstream, start_s)
                held = self.history.held_spans.setdefault(upstream.upstream_id, [])
                # What was held arrives at the end of the fault, or after the delay.
                held.append((start_s, self.now_s() + 2 * LINK_DELAY_S))
            case UpstreamTrouble(number, upstream_fault, for_s):
                upstream = self._upstreams[number]
                upstream.fault = upstream_fault
                await asyncio.sleep(for_s)
                upstream.fault = UpstreamFault.NONE
                self._record_faulty_span(upstream, start_s)
            case NamesLimit(numbers, rate_per_s, for_s):
                await asyncio.gather(
                    *(self._name_limit(n, rate_per_s, for_s) for n in numbers)
                )
            case PeerCut(number, for_s):
                await self.gateways[number].cut_from_peers(for_s)
                self._record_disruption(number, start_s)
            case CrashingPart(part, for_s):
                self._set_crashing(self.crashing_parts | {part})
                await asyncio.sleep(for_s)
                self._set_crashing(self.crashing_parts - {part})
            case Replace(number, is_announced):
                await self._replace(number, is_announced)
            case Upgrade(number, down_s, listed_after_s):
                await self._upgrade(self._writers[number], down_s, listed_after_s)
            case KillServer(number, down_s, is_upgraded, listed_after_s):
                server = self._servers[number]
                await self._kill_server(server, down_s, is_upgraded, listed_after_s)
            case Reconfigure(n_versions):
                for _ in range(n_versions):
                    self.reconfigure()
                    await asyncio.sleep(0.1)
            case ForeignRecords():
                self.store.put("keyed.servers", "foreign", b"\x00 no entry")
                self.store.put("keyed.servers", "partial", {"service": "desk"})
                self.store.put("keyed.op", "other", b"no configuration")
                self.store.put("keyed.quotas", "other", {"written_ms": "soon"})
                self.store.put("keyed.crashes", "other", [1, 2])

    def _set_crashing(self, parts: frozenset[str]) -> None:
        self.crashing_parts = parts
        for upstream in (*self._upstreams, *self._replaced):
            upstream.crashing_parts = parts

    def _crash(self, upstream: PlatformUpstream) -> None:
        if upstream.upstream_id in self._down:
            # It crashes already, for another request of the same moment.
            return
        self._down.add(upstream.upstream_id)
        restart = asyncio.ensure_future(self._restart(upstream))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self, upstream: PlatformUpstream) -> None:
        """Let an engine refuse connections for a while, then start again."""
        start_s = self.now_s()
        self.history.crashes.append((upstream.upstream_id, start_s))
        link = self._links[upstream.upstream_id]
        link.stop_listening()
        link.reset_all()
        await asyncio.sleep(RESTART_S)
        await link.start(link.port)
        self._record_faulty_span(upstream, start_s)
        self._down.discard(upstream.upstream_id)
        upstream.started_ms += 1
        if upstream in self._upstreams:
            self._list(upstream, "ready")

    async def _upgrade(
        self, writer: PlatformUpstream, down_s: float, listed_after_s: float
    ) -> None:
        name = writer.upstream_id
        if name in self._down:
            # It is about to start with the next version already.
            return
        self._down.add(name)
        self._unlisted.add(name)
        start_s = self.now_s()
        link = self._links[name]
        link.stop_listening()
        link.reset_all()
        writer.crash()
        await asyncio.sleep(down_s)
        writer.software_version = _next_version(writer.software_version)
        await writer.restart()
        await link.start(link.port)
        self._down.discard(name)
        self._record_faulty_span(writer, start_s)
        await self._list_later(writer, listed_after_s)

    async def _kill_server(
        self,
        server: ServerProcess,
        down_s: float,
        is_upgraded: bool,
        listed_after_s: float,
    ) -> None:
        name = server.upstream_id
        if name in self._down:
            return
        self._down.add(name)
        self._unlisted.add(name)
        start_s = self.now_s()
        await server.kill()
        await asyncio.sleep(down_s)
        if is_upgraded:
            server.software_version = _next_version(server.software_version)
        await server.start()
        self._down.discard(name)
        self._record_faulty_span(server, start_s)
        await self._list_later(server, listed_after_s)

    async def _list_later(
        self, upstream: PlatformUpstream | ServerProcess, after_s: float
    ) -> None:
        """List a new start some time later, unless it has crashed by then."""
        name, started_ms = upstream.upstream_id, upstream.started_ms
        await asyncio.sleep(after_s)
        if upstream.started_ms == started_ms and name not in self._down:
            self._unlisted.discard(name)
            self._list(upstream, "ready")

    async def _name_limit(self, number: int, rate_per_s: float, for_s: float) -> None:
        upstream = self._upstreams[number]
        if upstream.extra_headers:
            # It names another limit already.
            return
        start_s = self.now_s()
        upstream.extra_headers = {soak_checks.LIMIT_HEADER: str(rate_per_s)}
        await asyncio.sleep(for_s)
        upstream.extra_headers = {}
        limit = NamedLimit(upstream.upstream_id, rate_per_s, start_s, self.now_s())
        self.history.limits.append(limit)

    async def _kill(self, number: int, down_s: float) -> None:
        gateway = self.gateways[number]
        async with gateway.lock:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            await gateway.wait_until_ended()
            await asyncio.sleep(down_s)
            await gateway.start()
            await gateway.wait_until_ready()

    async def _stop(self, number: int) -> None:
        gateway = self.gateways[number]
        async with gateway.lock:
            start_s = self.now_s()
            gateway.signal(signal.SIGTERM)
            self.history.stops.append((number, start_s))
            self.exit_codes.append(await gateway.wait_until_ended())
            await gateway.start()
            await gateway.wait_until_ready()
        self._record_disruption(number, start_s, is_planned=True)

    async def _pause(self, number: int, for_s: float) -> None:
        gateway = self.gateways[number]
        async with gateway.lock:
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            gateway.signal(signal.SIGCONT)

    async def _apply_store_fault(self, kind: str, for_s: float) -> None:
        match kind:
            case "forgets":
                for topic in ("keyed.op", "keyed.servers"):
                    self.store.delete_history(topic)
            case "down":
                self.store.is_down = True
            case "silent":
                self.store.is_silent = True
            case "loses answers":
                self.store.loses_answers = True
        await asyncio.sleep(for_s)
        self.store.is_down = self.store.is_silent = self.store.loses_answers = False

    async def _replace(self, number: int, is_announced: bool) -> None:
        upstream = self._upstreams[number]
        self._upstreams[number] = await self._add_upstream(upstream.service, False)
        self._replaced.append(upstream)
        name = upstream.upstream_id
        self._list(upstream, "draining" if is_announced else "gone")
        self.history.leaving[name] = self.now_s()
        await asyncio.sleep(
            soak_checks.LEAVING_BOUND_S + 2 * soak_checks.SCHEDULING_TOLERANCE_S
        )
        self._list(upstream, "gone")
        # It keeps listening, to record requests that are still sent to it.

    async def _add_upstream(
        self, service: str, is_kept: bool = True
    ) -> PlatformUpstream:
        self._n_upstreams += 1
        upstream = PlatformUpstream(
            f"{service}-{self._n_upstreams}",
            service,
            soak_checks.N_EVENTS,
            EVENT_INTERVAL_S,
            f"v{self._n_upstreams % N_VERSIONS}" if service == "engines" else "v0",
        )
        upstream.names_version = True
        upstream.crashing_parts = self.crashing_parts
        upstream.on_crash = partial(self._crash, upstream)
        await upstream.http.start()
        link = FaultProxy(Address("127.0.0.1", upstream.http.port))
        await link.start()
        self._links[upstream.upstream_id] = link
        self._list(upstream, "ready")
        if is_kept:
            self._upstreams.append(upstream)
        return upstream

    async def _add_writer(self, number: int) -> None:
        """Start a writer; two versions serve side by side."""
        writer = PlatformUpstream(
            f"writers-{number}",
            "writers",
            soak_checks.N_LONG_EVENTS,
            LONG_EVENT_INTERVAL_S,
            f"v{number % N_VERSIONS}",
        )
        writer.names_version = True
        await writer.http.start()
        link = FaultProxy(Address("127.0.0.1", writer.http.port))
        await link.start()
        self._links[writer.upstream_id] = link
        self._writers.append(writer)
        self._list(writer, "ready")

    async def _add_server(self, number: int) -> None:
        """Start a writer that is a process, all but the first one behind a proxy."""
        server = ServerProcess(
            f"servers-{number}",
            "writers",
            soak_checks.N_LONG_EVENTS,
            LONG_EVENT_INTERVAL_S,
            f"v{number % N_VERSIONS}",
        )
        self._servers.append(server)
        await server.start()
        if number > 0:
            target = Address("127.0.0.1", server.port)
            proxy = FaultProxy(target, patience_s=PROXY_PATIENCE_S)
            await proxy.start()
            self._links[server.upstream_id] = proxy
        self._list(server, "ready")

    def _list(self, upstream: PlatformUpstream | ServerProcess, state: str) -> None:
        """Write the entry of an upstream, or remove it if it is gone."""
        name = upstream.upstream_id
        if state == "gone":
            self._entries.pop(name, None)
            self.store.put("keyed.servers", name, None)
            return
        self._n_reports += 1
        self._entries[name] = (upstream, state)
        n_slots = N_WRITER_SLOTS if upstream.service == "writers" else 4
        entry = upstream.store_entry(state, n_slots)
        if name in self._links:
            entry["address"] = str(self._links[name].address)
        self.store.put("keyed.servers", name, {**entry, "seq": self._n_reports})

    def has_version(self, version: str) -> bool:
        """Return whether an engine of a software version takes new requests."""
        return any(
            state == "ready" and upstream.software_version == version
            for upstream, state in self._entries.values()
            if upstream.service == "engines"
        )

    def n_writers(self, version: str) -> int:
        """Return the number of listed writers of a software version."""
        writers: list[PlatformUpstream | ServerProcess] = [
            *self._writers,
            *self._servers,
        ]
        return sum(
            writer.software_version == version
            and writer.upstream_id not in self._unlisted
            for writer in writers
        )

    def _record_disruption(
        self, gateway: int | None, start_s: float, is_planned: bool = False
    ) -> None:
        disruption = Disruption(gateway, start_s, self.now_s(), is_planned)
        self.history.disruptions.append(disruption)

    def _record_faulty_span(
        self, upstream: PlatformUpstream | ServerProcess, start_s: float
    ) -> None:
        spans = self.history.faulty_spans.setdefault(upstream.upstream_id, [])
        # Requests that were sent during the fault may still get wrong answers after
        # its end.
        spans.append((start_s, self.now_s() + soak_checks.SETTLING_S))

    def _collect_runs(self) -> None:
        for upstream in (*self._upstreams, *self._replaced, *self._writers):
            self.history.arrivals += [
                Arrival(
                    call.headers.get("x-attempt-id", ""),
                    upstream.upstream_id,
                    call.received_s - self._started_s,
                )
                for call in upstream.received_calls
            ]
            self.history.runs += [
                Run(
                    call.headers.get("x-attempt-id", ""),
                    upstream.upstream_id,
                    upstream.service,
                    call.target,
                    call.body,
                    call.headers,
                    call.received_s - self._started_s,
                    version,
                )
                for call, version in zip(
                    upstream.executed_calls, upstream.versions_run, strict=True
                )
            ]


def _next_version(version: str) -> str:
    return f"v{int(version[1:]) + 1}"


async def _apply_link_fault(link: FaultProxy, fault: LinkFault, for_s: float) -> None:
    link.set_fault(fault, LINK_DELAY_S)
    if fault is LinkFault.REFUSES:
        link.reset_all()
    await asyncio.sleep(for_s)
    link.set_fault(LinkFault.NONE)


def _make_configuration(version: int) -> dict[str, object]:
    terms: dict[str, object] = {"timeout_ms": 6000, "max_attempts": 3}
    routes = [
        make_route("drafts", HOST, "streaming", "engines", 0, **terms),
        make_route("resumes", HOST, "streaming", "engines", 1, resumable=True, **terms),
        make_route("serials", HOST, "streaming", "writers", 1, resumable=True, **terms),
        make_route("letters", HOST, "streaming", "writers", 1, **terms),
        make_route("orders", HOST, "non_idempotent", "desk", 1, **terms),
        make_route("lookups", HOST, "idempotent", "desk", 2, **terms),
        # `_has_version` finds out by this route which version a gateway uses.
        make_route(f"v{version}", HOST, "idempotent", "desk", 2, public=True, **terms),
    ]
    quota = {
        "unit": "token_count",
        "rate_per_s": soak_checks.QUOTA_RATE_PER_S,
        "burst": soak_checks.QUOTA_BURST,
        "plain_tokens": 20,
    }
    tenants: list[dict[str, object]] = []
    for name, key in KEYS.items():
        limits = quota if name == soak_checks.QUOTA_ORGANISATION else {}
        tenants.append({"name": name, "api_keys": [key], **limits})
    services = [
        {"name": "engines", "max_conns": 100, "engine": {"slots": 4}},
        {"name": "writers", "max_conns": 100, "engine": {"slots": N_WRITER_SLOTS}},
        {"name": "desk", "max_conns": 100},
    ]
    return make_configuration(version, routes, tenants, services=services)


def _free_ports(n: int) -> tuple[int, int, int]:
    """Return ports that are free on the first gateway's address.

    All gateways use them; the other addresses are not checked.
    """
    sockets = []
    with suppress(OSError):
        for _ in range(n):
            sock = socket.socket()
            sock.bind(("127.0.0.2", 0))
            sockets.append(sock)
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    first, second, third = ports
    return first, second, third
