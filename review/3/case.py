"""A part that crashes servers, in prompts on one document after the other."""

import asyncio
import itertools
from pathlib import Path

from harness import Deployment, Record, Server, ask, has_trouble, route, run_case

N_SERVERS = 5
N_OTHERS = 7
DOWN_S = 3.0
N_DOCUMENTS = 7
QUESTIONS_OF_DOCUMENT = 2
STABLE_WINDOW_S = 4.0
FIRST_CRASHES = 5
# Allowed by the rule BUDGET.
MAX_REQUESTS = 3
KEY = "i9n73hh2b9wu3fexd9dn"
# First parts of prompts: the deadly one, and a sound one.
DEADLY_PART = "dead01"
SOUND_PART = "5afe01"


class Pool:
    """Servers that crash as they begin to write an answer on the deadly part.

    Parameters
    ----------
    record : Record
        Record of the case.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._numbers = itertools.count(N_SERVERS)
        self.crash_times_s: list[float] = []
        self._restarts: list[asyncio.Task[None]] = []

    async def work(self, server: Server, call) -> None:
        """Run one request."""
        is_deadly = call.headers["x-prompt-prefix"].startswith(DEADLY_PART)
        if has_trouble and is_deadly:
            await asyncio.sleep(0.05)
            self.crash_times_s.append(self._record.now_s())
            self._restarts.append(asyncio.ensure_future(self._restart(server)))
            server.crash_now()
            return
        await server.send_stream(call, 6, 0.02)

    async def _restart(self, server: Server) -> None:
        await asyncio.sleep(DOWN_S)
        await server.begin(f"i-{next(self._numbers)}")

    async def end(self) -> None:
        """Start no server again."""
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)


class Client:
    """Sends requests about documents, and counts the answers.

    Parameters
    ----------
    deployment : Deployment
        Where it calls.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._numbers = itertools.count()
        # Time and status of each sound request on a document of a deadly one.
        self.sound: list[tuple[float, int]] = []

    async def send(self, name: str, first_part: str, document: str) -> int:
        """Send one request, no two of which are alike; return the status."""
        number = next(self._numbers)
        gateways = self._deployment.gateways
        gateway = gateways[number % len(gateways)]
        request_id = f"{name}-{number}"
        parts = f"{first_part}:60,{document}:900,{0xABC000 + number:x}:50"
        record = self._deployment.record
        record.add(f"client sends {request_id} to {gateway.ip}, prompt {parts}")
        answer = await ask(
            gateway.address,
            "/cleft-report/1",
            request_id=request_id,
            key=KEY,
            body=b'{"question": %d}' % number,
            tokens="1010,120",
            deadline_ms=10000,
            headers=[("X-Model", "m"), ("X-Prompt-Prefix", parts)],
        )
        whole = "whole" if answer.is_complete else "cut"
        record.add(f"client gets for {request_id}: status {answer.status}, {whole}")
        return answer.status

    async def send_background(self) -> None:
        """Send sound requests on other documents."""
        for number in itertools.count():
            await self.send("other", SOUND_PART, f"b{number % 10:03x}")
            await asyncio.sleep(0.25)

    async def work_through(self) -> None:
        """Ask about one document after the other, with the deadly part."""
        for number in range(N_DOCUMENTS):
            document = f"d{number:03x}"
            for _ in range(QUESTIONS_OF_DOCUMENT):
                await self.send("deadly", DEADLY_PART, document)
                await asyncio.sleep(1.5)
            for _ in range(2):
                at_s = self._deployment.record.now_s()
                status = await self.send("sound", SOUND_PART, document)
                self.sound.append((at_s, status))


async def _case(record: Record) -> bool:
    async with Deployment(record, n_gateways=2) as deployment:
        pool = Pool(record)
        for number in range(N_SERVERS):
            await deployment.add_server(f"i-{number}", "pomelo-pool", pool.work)
        deployment.put_configuration(
            1,
            [
                route(
                    "cleft-report",
                    "streaming",
                    "pomelo-pool",
                    0,
                    timeout_ms=10000,
                    target_latency_ms=800,
                    gap_aim_ms=300,
                    max_attempts=1,
                )
            ],
            [{"name": "hule930", "api_keys": [KEY]}],
        )
        await deployment.start_gateways()
        await asyncio.sleep(5.0)
        client = Client(deployment)
        background = [
            asyncio.ensure_future(client.send_background()) for _ in range(N_OTHERS)
        ]
        await asyncio.sleep(2.0)
        try:
            await client.work_through()
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            await pool.end()
        return _is_broken(deployment, pool, client)


def _is_broken(deployment: Deployment, pool: Pool, client: Client) -> bool:
    record = deployment.record
    record.add(f"the deadly part has crashed servers {len(pool.crash_times_s)} times")
    if len(pool.crash_times_s) < FIRST_CRASHES:
        return False
    from_s = pool.crash_times_s[FIRST_CRASHES - 1] + STABLE_WINDOW_S
    late = [
        arrival
        for arrival in deployment.arrivals
        if arrival.request_id.startswith("deadly-") and arrival.at_s > from_s
    ]
    statuses = [status for at_s, status in client.sound if at_s > from_s]
    record.add(
        f"later than {from_s:.3f} s, which is {STABLE_WINDOW_S} s after the fifth "
        f"crash, {len(late)} requests with the part have reached servers; of "
        f"{len(statuses)} sound requests on its documents, {statuses.count(200)} "
        "were served"
    )
    return len(late) > MAX_REQUESTS


if __name__ == "__main__":
    run_case(_case, Path(__file__).resolve().parent)
