"""Parts that the scripts of the review share: gateways, servers, store and record.

The gateways are processes of the project, started with the command of the deploy file.
The store is the project's own stand-in. Everything listens on loopback addresses.
"""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import h11

from pomelothread.addresses import Address
from standins.platform import Call, HttpStandIn, PlatformStore
from standins.platform_caller import Answer, open_caller
from standins.platform_configuration import make_configuration, make_route

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
HEARTBEAT_S = 1.2
N_SILENT_HEARTBEATS = 3
READY_TIMEOUT_S = 20.0

# The bounds of the site ashcombe-willow.
SETTINGS = """
node = "{node}"
role = "gateway"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "kiln-shed"
region = "midlands"
internal_port_range = [{peer_port}, {peer_port}]
seeds = [{seeds}]
first_start = true
heartbeat_ms = 1200
[zones]
kiln-shed = "midlands"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{control_port}"
[bounds]
stable_window_ms = 4000
drain_ms = 3000
grace_s = 8
config_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
quota_window_s = 8
quota_over = 0.1
quota_slack = 190000
[platform]
address = "127.0.0.1:{store_port}"
"""

has_trouble = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of `record.txt`, with the seconds since the start of the script.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self.add(f"trouble: {'yes' if has_trouble else 'no'}")

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


@dataclass
class Arrival:
    """One request at a server.

    Parameters
    ----------
    at_s : float
        Seconds since the start of the script.
    server : str
        Id of the server.
    request_id : str
        The client's `X-Attempt-Id`.
    has_run : bool
        Whether the server began to run it.
    headers : dict of str to str
        As received, names in lower case.
    """

    at_s: float
    server: str
    request_id: str
    has_run: bool
    headers: dict[str, str] = field(default_factory=dict)


Work = Callable[["Server", Call], Awaitable[None]]


class Server(HttpStandIn):
    """A server that writes its heartbeats into the store and runs requests.

    Parameters
    ----------
    name : str
        Its id, which it keeps when it starts again.
    service : str
        Service that it belongs to.
    store : PlatformStore
        Where it registers itself.
    record : Record
        What it gets and runs is added.
    work : callable
        Runs one request and answers it.
    slots : int
        Requests that it runs at once.
    queue : int
        Requests that it keeps waiting; more are turned away with 503.
    version : str
        Version of its software.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: PlatformStore,
        record: Record,
        work: Work,
        slots: int = 6,
        queue: int = 36,
        version: str = "v1",
    ) -> None:
        super().__init__(self._handle_call)
        self.name, self.service, self.version = name, service, version
        self.slots = slots
        self.state = "ready"
        self.is_leaving = False
        self.writes_heartbeats = True
        self.arrivals: list[Arrival] = []
        self.record = record
        self._store = store
        self._work = work
        self._queue = queue
        self._born_ms = 0
        self._seq = 0
        self._beat_s = 0.0
        self._is_listed = False
        self._n_present = 0
        self._free = asyncio.Semaphore(slots)
        self._beats: asyncio.Task[None] | None = None

    async def begin(self, name: str | None = None) -> None:
        """Start, or start again at the same address.

        Parameters
        ----------
        name : str or None
            New id; None to keep the one that it had.
        """
        if name is not None:
            self.remove_entry()
            self.name = name
        await self.start(self.port)
        self._born_ms = int(time.time() * 1000)
        self._seq = 0
        self._n_present = 0
        self._free = asyncio.Semaphore(self.slots)
        self.writes_heartbeats = True
        self.write_entry()
        if self._beats is None:
            self._beats = asyncio.ensure_future(self._write_heartbeats())
        self.record.add(f"server {self.name} started, born {self._born_ms}")

    def write_entry(self) -> None:
        """Write the entry into the store."""
        self._seq += 1
        self._beat_s = time.monotonic()
        self._is_listed = True
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "kiln-shed",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born_ms,
        }
        self._store.put("keyed.servers", self.name, entry)

    def remove_entry(self) -> None:
        """Have the entry removed from the store."""
        self.writes_heartbeats = False
        if self._is_listed:
            self._is_listed = False
            self._store.put("keyed.servers", self.name, None)
            self.record.add(f"the store has removed the entry of {self.name}")

    def crash_now(self) -> None:
        """End like a process that crashes: say nothing and reset all connections."""
        self.writes_heartbeats = False
        self.record.add(f"server {self.name} crashes")
        self.crash()

    async def end(self) -> None:
        """Stop for good."""
        if self._beats is not None:
            self._beats.cancel()
        await self.stop()

    async def _write_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.writes_heartbeats:
                self.write_entry()
                continue
            silent_s = time.monotonic() - self._beat_s
            if silent_s >= N_SILENT_HEARTBEATS * HEARTBEAT_S:
                self.remove_entry()

    async def _handle_call(self, call: Call) -> None:
        if call.headers.get("x-expect-instance") not in (None, self.name):
            await call.respond(421, headers={"X-Instance-Id": self.name})
            return
        request_id = call.headers.get("x-attempt-id", "")
        arrival = Arrival(
            self.record.now_s(), self.name, request_id, False, call.headers
        )
        self.arrivals.append(arrival)
        if self._n_present >= self.slots + self._queue:
            self.record.add(f"{self.name} turns {request_id} away, it is full")
            await call.respond(503, headers={"X-Not-Executed": "1"})
            return
        self._n_present += 1
        free = self._free
        try:
            async with free:
                arrival.has_run = True
                self.record.add(f"{self.name} runs {request_id}")
                await self._run_until_closed(call)
        finally:
            self._n_present -= 1

    async def _run_until_closed(self, call: Call) -> None:
        """Run a request, and drop it when its connection closes."""
        work = asyncio.ensure_future(self._work(self, call))
        closed = asyncio.ensure_future(call.reader.read(1))
        try:
            await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (work, closed):
                task.cancel()
            await asyncio.gather(closed, return_exceptions=True)
        if not work.done() or work.cancelled():
            with suppress(asyncio.CancelledError):
                await work
        if work.cancelled():
            raise ConnectionError("the caller has closed the connection")
        work.result()

    def answer_headers(self, call: Call) -> dict[str, str]:
        """Return the headers that each answer to a request carries."""
        return {
            "X-Attempt-Id": call.headers.get("x-attempt-id", ""),
            "X-Response-Seal": f"seal.{self.name}",
            **({"Server-Leaving": "1"} if self.is_leaving else {}),
        }

    async def send_stream(
        self, call: Call, n_events: int, pause_s: float, first_pause_s: float = 0.03
    ) -> None:
        """Answer with a stream of events that goes on after `Last-Event-Id`."""
        headers = {
            "content-type": "text/event-stream",
            "transfer-encoding": "chunked",
            **self.answer_headers(call),
        }
        await asyncio.sleep(first_pause_s)
        await call.send(h11.Response(status_code=200, headers=list(headers.items())))
        first = int(call.headers.get("last-event-id", "0")) + 1
        for number in range(first, n_events + 1):
            event = f"id: {number}\ndata: {self.version} {self.name}\n\n".encode()
            await call.send(h11.Data(data=event))
            if number < n_events:
                await asyncio.sleep(pause_s)
        await call.send(h11.EndOfMessage())


class GatewayProcess:
    """One gateway of the project, as the deploy file starts it.

    Parameters
    ----------
    folder : Path
        Folder for its settings file and its log.
    number : int
        Distinguishes the gateways of a case; each has an address of its own.
    peer_port : int
        Port of all gateways for messages between them.
    store_port : int
        Port of the store.
    n_gateways : int
        Number of gateways, all of which are seeds.
    """

    def __init__(
        self,
        folder: Path,
        number: int,
        peer_port: int,
        store_port: int,
        n_gateways: int,
    ) -> None:
        self.ip = _gateway_ip(number)
        ports = free_ports(4, self.ip)
        self.address = Address(self.ip, ports[0])
        self.admin_address = Address(self.ip, ports[1])
        self._metrics_port = ports[3]
        self._path = folder / f"boot-{number}.toml"
        self._log = folder / f"gateway-{number}.log"
        seeds = ", ".join(
            f'"{_gateway_ip(n)}:{ports[2]}"' for n in range(1, n_gateways + 1)
        )
        text = SETTINGS.format(
            node=f"front-{number}",
            ip=self.ip,
            peer_port=peer_port,
            seeds=seeds,
            front_port=ports[0],
            ready_port=ports[1],
            control_port=ports[2],
            store_port=store_port,
        )
        self._path.write_text(text, encoding="utf-8")
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "POMELOTHREAD_SETTINGS": str(self._path),
        }
        command = ["python3", "-S", "-m", "pomelothread.platform"]
        command.append(f"--metrics_port={self._metrics_port}")
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def until_ready(self) -> None:
        """Wait until the gateway says that it is ready."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            answer = await ask(self.admin_address, "/v1/readiness", method="GET")
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"gateway {self.ip} did not get ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        await self.until_ended()

    async def until_ended(self) -> None:
        """Wait for the end of the process."""
        while self._process is not None and self._process.poll() is None:
            await asyncio.sleep(0.01)


class Deployment:
    """A store, servers and gateways, which all end with it.

    Parameters
    ----------
    record : Record
        Record of the case.
    n_gateways : int
        Number of gateways.
    """

    def __init__(self, record: Record, n_gateways: int) -> None:
        self.record = record
        self.store = PlatformStore()
        self.servers: list[Server] = []
        self.gateways: list[GatewayProcess] = []
        self._n_gateways = n_gateways
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> "Deployment":
        """Start the store."""
        await self.store.http.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes and servers."""
        for gateway in self.gateways:
            await gateway.kill()
        for server in self.servers:
            await server.end()
        await self.store.http.stop()
        self._folder.cleanup()

    async def add_server(
        self, name: str, service: str, work: Work, **options
    ) -> Server:
        """Start a server."""
        server = Server(name, service, self.store, self.record, work, **options)
        await server.begin()
        self.servers.append(server)
        return server

    def put_configuration(
        self,
        version: int,
        routes: list[dict[str, object]],
        tenants: list[dict[str, object]],
    ) -> None:
        """Write a configuration, as the operator does."""
        configuration = make_configuration(version, routes, tenants)
        self.store.put("keyed.op", "config", configuration)
        self.record.add(f"the store has acknowledged configuration {version}")

    async def start_gateways(self) -> None:
        """Start all gateways and wait until they are ready."""
        peer_port = free_ports(1, _gateway_ip(1), socket.SOCK_DGRAM)[0]
        for number in range(1, self._n_gateways + 1):
            gateway = GatewayProcess(
                Path(self._folder.name),
                number,
                peer_port,
                self.store.http.port,
                self._n_gateways,
            )
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.until_ready()
        self.record.add(f"{self._n_gateways} gateways are ready")

    @property
    def arrivals(self) -> list[Arrival]:
        """Requests at all servers, in the order of their arrival."""
        every = [arrival for server in self.servers for arrival in server.arrivals]
        return sorted(every, key=lambda arrival: arrival.at_s)


def route(name: str, kind: str, service: str, tier: int, **changes: object):
    """Return a route for the paths below ``/NAME/``."""
    return make_route(name, HOST, kind, service, tier, **changes)


async def ask(address: Address, target: str, **options) -> Answer:
    """Send one request on a connection of its own; status 0 without an answer."""
    try:
        async with asyncio.timeout(1.0):
            caller = await open_caller(address, HOST)
    except (OSError, TimeoutError):
        return Answer(0, {}, b"", False)
    try:
        caller.send(target, **options)
        return await caller.answer()
    finally:
        caller.close()


def free_ports(n: int, ip: str, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return ports of a loopback address that are free now."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(n)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def run_case(case: Callable[[Record], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    Parameters
    ----------
    case : callable
        Coroutine function that returns whether the rule was broken.
    folder : Path
        Folder of the case.
    """
    record = Record(folder)

    async def run() -> bool:
        async with asyncio.timeout(110.0):
            return await case(record)

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.add("the rule was broken" if is_broken else "the rule held")
    print("broken" if is_broken else "held")
    sys.exit(1 if is_broken else 0)


def _gateway_ip(number: int) -> str:
    return f"127.0.0.{10 + number}"
