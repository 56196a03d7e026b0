"""A lookup that many callers repeat, while servers crash one after the other."""

import asyncio
import itertools
from pathlib import Path

from harness import Deployment, Record, Server, ask, has_trouble, route, run_case

N_SERVERS = 3
N_CRASHES = 5
DOWN_S = 2.0
CRASH_EVERY_S = 6.0
STABLE_WINDOW_S = 4.0
STEADY_S = 12.0
MIN_REQUESTS = 20
WORK_S = 0.09
KEY = "i9n73hh2b9wu3fexd9dn"
LOOKUP = "/stock-check/bat-7"


class Clients:
    """Callers that send requests without a pause longer than `PAUSE_S`.

    Parameters
    ----------
    deployment : Deployment
        Where they call.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._numbers = itertools.count()
        # Time of sending and status, by name of the route.
        self.answers: dict[str, list[tuple[float, int]]] = {}

    async def send_all(self, name: str, method: str, target: str) -> None:
        """Send one request after the other."""
        while True:
            number = next(self._numbers)
            gateways = self._deployment.gateways
            gateway = gateways[number % len(gateways)]
            request_id = f"{name}-{number}"
            record = self._deployment.record
            sent_s = record.now_s()
            answer = await ask(
                gateway.address,
                target,
                method=method,
                body=b"" if method == "GET" else b'{"order": %d}' % number,
                request_id=request_id,
                key=KEY,
                deadline_ms=6000,
            )
            record.add(
                f"client gets for {request_id} ({method} {target}, sent {sent_s:.3f}): "
                f"status {answer.status}"
            )
            self.answers.setdefault(name, []).append((sent_s, answer.status))
            await asyncio.sleep(0.1)

    def served_share(self, name: str, from_s: float, until_s: float) -> float:
        """Return the share of a route's requests of some time that were served."""
        statuses = [
            status
            for sent_s, status in self.answers.get(name, [])
            if from_s <= sent_s < until_s
        ]
        n_served = statuses.count(200)
        self._deployment.record.add(
            f"from {from_s:.3f} to {until_s:.3f} s, {n_served} of {len(statuses)} "
            f"requests on {name} were served"
        )
        if len(statuses) < MIN_REQUESTS:
            raise RuntimeError(f"only {len(statuses)} requests on {name}")
        return n_served / len(statuses)


async def _work(server: Server, call) -> None:
    await asyncio.sleep(WORK_S)
    await call.respond(200, b"done", server.answer_headers(call))


async def _case(record: Record) -> bool:
    async with Deployment(record, n_gateways=2) as deployment:
        for number in range(N_SERVERS):
            await deployment.add_server(
                f"i-{number}", "yard-ledger", _work, slots=6, queue=24
            )
        times = {"timeout_ms": 3000, "target_latency_ms": 400}
        orders = route(
            "order-place", "non_idempotent", "yard-ledger", 2, max_attempts=1, **times
        )
        lookups = route("stock-check", "idempotent", "yard-ledger", 2, **times)
        tenants: list[dict[str, object]] = [{"name": "hule930", "api_keys": [KEY]}]
        deployment.put_configuration(1, [orders], tenants)
        await deployment.start_gateways()
        await asyncio.sleep(4.0)
        deployment.put_configuration(2, [orders, lookups], tenants)
        await asyncio.sleep(4.0)
        clients = Clients(deployment)
        tasks = [
            asyncio.ensure_future(clients.send_all("stock-check", "GET", LOOKUP))
            for _ in range(16)
        ] + [
            asyncio.ensure_future(
                clients.send_all("order-place", "POST", "/order-place/1")
            )
            for _ in range(3)
        ]
        await asyncio.sleep(2.0)
        before_s = record.now_s() - 2.0
        for number in range(N_CRASHES):
            server = deployment.servers[number % N_SERVERS]
            if has_trouble:
                server.crash_now()
            await asyncio.sleep(DOWN_S)
            if has_trouble:
                await server.begin(f"i-{N_SERVERS + number}")
            await asyncio.sleep(CRASH_EVERY_S - DOWN_S)
        await asyncio.sleep(STABLE_WINDOW_S)
        steady_from_s = record.now_s()
        await asyncio.sleep(STEADY_S)
        until_s = record.now_s()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for name in ("stock-check", "order-place"):
            clients.served_share(name, before_s, before_s + 2.0)
        added = clients.served_share("stock-check", steady_from_s, until_s)
        first = clients.served_share("order-place", steady_from_s, until_s)
        return added < first / 4


if __name__ == "__main__":
    run_case(_case, Path(__file__).resolve().parent)
