"""Demo: runs a real gateway process against stand-ins of the platform.

It sends streams, orders and lookups while an engine cuts its streams, after the
gateway was killed and while the gateway stops gracefully. It checks the answers to
callers and the runs at upstreams.
"""

import asyncio
import os
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from pomelothread.addresses import Address
from standins.platform import PlatformStore, PlatformUpstream, UpstreamFault
from standins.platform_caller import open_caller
from standins.platform_configuration import make_configuration, make_route

N_CALLERS = 12
N_REQUESTS = 5
HOST = "demo.example"
KEY = "demo-key"
N_EVENTS = 6

SETTINGS = """
node = "gateway-1"
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internal_port_range = [{peer_port}, {peer_port}]
seeds = []
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:{front_port}"
ready = "127.0.0.1:{ready_port}"
[bounds]
config_ms = 3000
drain_ms = 3000
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
quota_window_s = 8
quota_over = 0.1
quota_slack = 190000
[platform]
address = "127.0.0.1:{store_port}"
"""


@dataclass
class Results:
    """Statuses of the answers, and problems that were found."""

    by_status: dict[int, int] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)

    def add(self, status: int) -> None:
        """Count one answer."""
        self.by_status[status] = self.by_status.get(status, 0) + 1


def _configuration() -> dict[str, object]:
    routes = [
        make_route("drafts", HOST, "streaming", "engines", 0, resumable=True),
        make_route("orders", HOST, "non_idempotent", "desk", 1),
        make_route("lookups", HOST, "idempotent", "desk", 2),
    ]
    return make_configuration(1, routes, [{"name": "club", "api_keys": [KEY]}])


class Demo:
    """Stand-ins, one gateway process and its callers."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._store = PlatformStore()
        self._upstreams = [
            PlatformUpstream(f"engine-{n}", "engines", N_EVENTS, 0.01) for n in range(3)
        ] + [PlatformUpstream(f"desk-{n}", "desk") for n in range(2)]
        self._ports = _free_ports(3)
        self._gateway: asyncio.subprocess.Process | None = None
        self.results = Results()

    async def run(self) -> list[str]:
        """Run the demo and return the problems that were found."""
        await self._store.http.start()
        for upstream in self._upstreams:
            await upstream.http.start()
            self._store.put(
                "keyed.servers", upstream.upstream_id, upstream.store_entry()
            )
        self._store.put("keyed.op", "config", _configuration())
        settings = SETTINGS.format(
            front_port=self._ports[0],
            ready_port=self._ports[1],
            peer_port=self._ports[2],
            store_port=self._store.http.port,
        )
        (self._directory / "boot.toml").write_text(settings, encoding="utf-8")
        try:
            await self._run_phases()
        finally:
            if self._gateway is not None and self._gateway.returncode is None:
                self._gateway.kill()
                await self._gateway.wait()
            await self._store.http.stop()
            for upstream in self._upstreams:
                await upstream.http.stop()
        self._check_runs()
        return self.results.problems

    async def _run_phases(self) -> None:
        await self._start()
        await self._call_all("calm")
        self._upstreams[0].fault = UpstreamFault.CUTS
        await self._call_all("an engine cuts its streams")
        self._upstreams[0].fault = UpstreamFault.NONE
        assert self._gateway is not None
        self._gateway.kill()
        await self._gateway.wait()
        await self._start()
        await self._call_all("after a kill")
        calls = asyncio.ensure_future(self._call_all("during a stop"))
        while not sum(len(u.executed_calls) for u in self._upstreams[:1]):
            await asyncio.sleep(0)
        self._gateway.send_signal(signal.SIGTERM)
        await calls
        if await self._gateway.wait() != 0:
            self.results.problems.append(f"exit code {self._gateway.returncode}")

    async def _start(self) -> None:
        with (self._directory / "gateway.log").open("ab") as log:
            self._gateway = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pomelothread.platform",
                f"--settings={self._directory / 'boot.toml'}",
                stdout=log,
                env=os.environ,
            )
        while await self._send_request(self._ports[1], "GET", "/v1/readiness") != 200:
            await asyncio.sleep(0.05)

    async def _call_all(self, phase: str) -> None:
        before = dict(self.results.by_status)
        await asyncio.gather(
            *(self._run_caller(f"{phase}-{n}", n % 3) for n in range(N_CALLERS))
        )
        new = {s: n - before.get(s, 0) for s, n in self.results.by_status.items()}
        print(f"{phase}: {new}")

    async def _run_caller(self, name: str, kind: int) -> None:
        target = ("/drafts/", "/orders/", "/lookups/")[kind]
        for number in range(N_REQUESTS):
            request_id = f"{name.replace(' ', '-')}-{number}"
            status = await self._send_request(
                self._ports[0], "POST", target, request_id, is_stream=kind == 0
            )
            self.results.add(status)
            if status != 200:
                self.results.problems.append(f"{request_id}: status {status}")

    async def _send_request(
        self,
        port: int,
        method: str,
        target: str,
        request_id: str = "none",
        is_stream: bool = False,
    ) -> int:
        """Return the status of a whole response, 0 for an incomplete one."""
        try:
            caller = await open_caller(Address("127.0.0.1", port), HOST)
        except OSError:
            # The gateway does not listen yet, or has stopped listening.
            return 0
        caller.send(
            target,
            method=method,
            body=b"",
            request_id=request_id,
            key=KEY,
            tokens="100,40" if is_stream else None,
            deadline_ms=5000,
        )
        answer = await caller.answer()
        caller.close()
        if not answer.is_complete:
            return 0
        n_events = answer.body.count(b"id: ")
        if is_stream and answer.status == 200 and n_events != N_EVENTS:
            self.results.problems.append(f"{request_id}: {n_events} events")
        return answer.status

    def _check_runs(self) -> None:
        """Report each order that ran more than once."""
        runs: dict[str, int] = {}
        for upstream in self._upstreams:
            for call in upstream.executed_calls:
                if call.target == "/orders/":
                    request_id = call.headers["x-attempt-id"]
                    runs[request_id] = runs.get(request_id, 0) + 1
        self.results.problems += [
            f"{k} ran {n} times" for k, n in runs.items() if n > 1
        ]


def _free_ports(n: int) -> list[int]:
    sockets = [socket.socket() for _ in range(n)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def main() -> int:
    """Run the demo and return the exit status of the process."""
    with tempfile.TemporaryDirectory() as directory:
        problems = asyncio.run(Demo(Path(directory)).run())
    print("\n".join(problems) or "no faults")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
