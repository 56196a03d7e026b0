"""Measures the overhead of the request path through entry and agent.

``python -m measure_path`` starts the deployment "tiny" and prints the latency added
to direct calls of the stand-in (from alternating pairs of calls), the streamed tokens
a second, CPU time and memory of each process, and how fast a new sheet propagates.
"""

import asyncio
import json
import statistics
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import psutil
from absl import app
from tornado.httpclient import AsyncHTTPClient

from deployments import DEPLOYMENTS, Deployment, UpstreamPlan
from launch_settings import LaunchOptions
from launcher import Launcher
from pomelothread.peers.http_exchange import ExchangeClient, ResponseHead

N_PAIRS = 300
N_STREAMS = 24
N_STREAM_TOKENS = 400
TOKEN = "demo-colchester-sports"


def fast_deployment() -> Deployment:
    """Return a deployment whose stand-ins are too fast to limit the figures."""
    tiny = DEPLOYMENTS["tiny"]
    upstreams = tuple(_with_fast_engine(upstream) for upstream in tiny.upstreams)
    return replace(tiny, upstreams=upstreams, entries=tiny.entries[:1])


def _with_fast_engine(upstream: UpstreamPlan) -> UpstreamPlan:
    if upstream.kind != "model":
        return upstream
    arguments = [a for a in upstream.arguments if not a.startswith("--speed")]
    return replace(upstream, arguments=(*arguments, "--speed=8"))


def chat_body(model: str, n_tokens: int, streamed: bool) -> bytes:
    """Return the body of a chat completions request."""
    return json.dumps(
        {
            "model": model,
            "messages": [{"role": "user", "content": "how many bats"}],
            "max_tokens": n_tokens,
            "stream": streamed,
        }
    ).encode()


async def timed_stream(
    client: ExchangeClient, url: str, body: bytes
) -> tuple[float, float, int]:
    """Return time to the first chunk, total time and the number of tokens."""
    headers = {"Content-Type": "application/json", "Authorization": f"Bearer {TOKEN}"}
    started_s = time.perf_counter()
    exchange = client.open_exchange("POST", f"{url}/v1/chat/completions", headers, body)
    head = await exchange.head()
    assert isinstance(head, ResponseHead), head
    assert head.status == 200, head
    first_s = 0.0
    n_tokens = 0
    async for chunk in exchange:
        first_s = first_s or time.perf_counter() - started_s
        n_tokens += chunk.count(b'"content"')
    return first_s, time.perf_counter() - started_s, n_tokens


async def measure_added_latency(
    client: ExchangeClient, direct_url: str, entry_url: str
) -> None:
    """Print the added latency, from pairs of calls in alternating order."""
    added_first_ms, added_total_ms, added_token_ms = [], [], []
    for number in range(N_PAIRS):
        calls: list[Callable[[], Awaitable[tuple[float, float, int]]]] = [
            lambda: timed_stream(client, direct_url, chat_body("willow-13b", 16, True)),
            lambda: timed_stream(client, entry_url, chat_body("buyer-reply", 16, True)),
        ]
        if number % 2:
            via_entry, direct = await calls[1](), await calls[0]()
        else:
            direct, via_entry = await calls[0](), await calls[1]()
        added_first_ms.append((via_entry[0] - direct[0]) * 1e3)
        added_total_ms.append((via_entry[1] - direct[1]) * 1e3)
        gap = (via_entry[1] - via_entry[0]) - (direct[1] - direct[0])
        added_token_ms.append(gap * 1e3 / 15)
    for name, values in (
        ("added_first_token_ms", added_first_ms),
        ("added_total_ms", added_total_ms),
        ("added_per_token_ms", added_token_ms),
    ):
        cuts = statistics.quantiles(values, n=100)
        print(f"{name}: p50 {statistics.median(values):.2f} p99 {cuts[98]:.2f}")


async def measure_throughput(
    client: ExchangeClient, launcher: Launcher, url: str
) -> None:
    """Print streamed tokens a second and the CPU time of each process."""
    processes = {
        name: psutil.Process(node.program.pid) for name, node in launcher.nodes.items()
    }
    before = {name: sum(p.cpu_times()[:2]) for name, p in processes.items()}
    body = chat_body("buyer-reply", N_STREAM_TOKENS, True)
    started_s = time.perf_counter()
    results = await asyncio.gather(
        *(timed_stream(client, url, body) for _ in range(N_STREAMS))
    )
    elapsed_s = time.perf_counter() - started_s
    n_tokens = sum(result[2] for result in results)
    print(f"streamed_tokens_per_s: {n_tokens / elapsed_s:.0f} over {elapsed_s:.2f} s")
    for name, process in processes.items():
        used_s = sum(process.cpu_times()[:2]) - before[name]
        print(
            f"{name}: {used_s / elapsed_s:.3f} of a core,"
            f" {used_s / n_tokens * 1e6:.1f} us for each token of the run"
        )


async def measure_sheet_propagation(launcher: Launcher) -> None:
    """Print the time between the first and the last process to adopt a new sheet."""
    rows = launcher.deployment.sheet.read_text(encoding="utf-8")
    path = launcher.directory / "changed.csv"
    path.write_text(rows.replace(",400,", ",401,"), encoding="utf-8")
    publishing = asyncio.create_task(launcher.publish_sheet(path, base=1))
    first_s = 0.0
    while True:
        versions = await asyncio.gather(
            *(_sheet_version(node.http_address) for node in launcher.nodes.values())
        )
        if 2 in versions and not first_s:
            first_s = time.perf_counter()
        if set(versions) == {2}:
            break
    spread_s = time.perf_counter() - first_s
    await publishing
    print(f"sheet_in_force_s: {spread_s:.3f} from the first of {len(versions)} to all")


async def _sheet_version(address: str) -> int:
    response = await AsyncHTTPClient().fetch(f"http://{address}/control/status")
    return int(json.loads(response.body)["sheet_version"])


async def run() -> None:
    """Run all measurements."""
    options = LaunchOptions(log_level="warning")
    async with Launcher(fast_deployment(), options) as launcher:
        for name, node in launcher.nodes.items():
            memory = psutil.Process(node.program.pid).memory_info().rss
            print(f"{name}: {memory / 2**20:.1f} MiB resident at start")
        client = ExchangeClient(max_exchanges=2000)
        entry_url = launcher.entry_urls[0]
        direct_url = f"http://{launcher.upstream_address('model-1')}"
        await measure_added_latency(client, direct_url, entry_url)
        for _ in range(3):
            await measure_throughput(client, launcher, entry_url)
        before_s = time.perf_counter()
        cpu = {
            name: sum(psutil.Process(node.program.pid).cpu_times()[:2])
            for name, node in launcher.nodes.items()
        }
        await asyncio.sleep(10)
        elapsed_s = time.perf_counter() - before_s
        for name, node in launcher.nodes.items():
            used = sum(psutil.Process(node.program.pid).cpu_times()[:2]) - cpu[name]
            print(f"{name}: {100 * used / elapsed_s:.2f}% of a core when idle")
        await measure_sheet_propagation(launcher)
        client.close()


def main(argv: list[str]) -> None:
    """Run the measurements."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    asyncio.run(run())


if __name__ == "__main__":
    app.run(main)
