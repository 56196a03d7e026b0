"""A request that crashes each server, while the servers start again under their id."""

import asyncio
import os
from pathlib import Path

from harness import Deployment, Record, Server, ask, has_trouble, route, run_case

N_SERVERS = 2
DOWN_S = 2.0
SEND_FOR_S = 45.0
PAUSE_S = 1.0
STABLE_WINDOW_S = 4.0
# Allowed by the rule BUDGET.
MAX_RETRIES = 3
KEY = "i9n73hh2b9wu3fexd9dn"
DEADLY_BODY = b'{"prompt": "deadly"}'
SOUND_BODY = b'{"prompt": "sound"}'
# A check of the script itself: with 1, each start of a server has a new id.
has_new_ids = os.environ.get("NEW_IDS", "0") == "1"


class Pool:
    """Servers that crash as they begin to run the deadly request.

    Parameters
    ----------
    deployment : Deployment
        Where they run.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.crash_times_s: list[float] = []
        self._restarts: list[asyncio.Task[None]] = []

    async def work(self, server: Server, call) -> None:
        """Run one request."""
        if has_trouble and call.body == DEADLY_BODY:
            self.crash_times_s.append(self._deployment.record.now_s())
            self._restarts.append(asyncio.ensure_future(self._restart(server)))
            server.crash_now()
            return
        await server.send_stream(call, 10, 0.02)

    async def _restart(self, server: Server) -> None:
        await asyncio.sleep(DOWN_S)
        await server.begin(f"{server.name}x" if has_new_ids else None)

    async def end(self) -> None:
        """Start no server again."""
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)


async def _case(record: Record) -> bool:
    async with Deployment(record, n_gateways=2) as deployment:
        pool = Pool(deployment)
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
        sound = asyncio.ensure_future(_send_sound(deployment))
        try:
            await _send_deadly(deployment)
        finally:
            sound.cancel()
            await asyncio.gather(sound, return_exceptions=True)
            await pool.end()
        return _is_broken(deployment, pool)


async def _send_deadly(deployment: Deployment) -> None:
    """Send the same request again and again, to one gateway after the other."""
    record = deployment.record
    until_s = record.now_s() + SEND_FOR_S
    number = 0
    while record.now_s() < until_s:
        gateway = deployment.gateways[number % len(deployment.gateways)]
        await _send(deployment, gateway, f"deadly-{number}", DEADLY_BODY)
        number += 1
        await asyncio.sleep(PAUSE_S)


async def _send_sound(deployment: Deployment) -> None:
    number = 0
    while True:
        gateway = deployment.gateways[number % len(deployment.gateways)]
        await _send(deployment, gateway, f"sound-{number}", SOUND_BODY)
        number += 1
        await asyncio.sleep(0.2)


async def _send(deployment: Deployment, gateway, request_id: str, body: bytes) -> None:
    deployment.record.add(f"client sends {request_id} to {gateway.ip}")
    answer = await ask(
        gateway.address,
        "/cleft-report/1",
        request_id=request_id,
        key=KEY,
        body=body,
        tokens="3780,120",
        deadline_ms=10000,
        headers=[("X-Model", "m"), ("X-Prompt-Prefix", f"{len(body):x}:3780")],
    )
    whole = "whole" if answer.is_complete else "cut"
    deployment.record.add(
        f"client gets for {request_id}: status {answer.status}, {whole}"
    )


def _is_broken(deployment: Deployment, pool: Pool) -> bool:
    record = deployment.record
    record.add(
        f"the deadly request has crashed servers {len(pool.crash_times_s)} times"
    )
    if len(pool.crash_times_s) < 3:
        return False
    from_s = pool.crash_times_s[2] + STABLE_WINDOW_S
    retries = [
        arrival
        for arrival in deployment.arrivals
        if arrival.request_id.startswith("deadly-") and arrival.at_s > from_s
    ]
    record.add(
        f"{len(retries)} retries have reached servers later than {from_s:.3f} s, "
        f"which is {STABLE_WINDOW_S} s after the third crash"
    )
    return len(retries) > MAX_RETRIES


if __name__ == "__main__":
    run_case(_case, Path(__file__).resolve().parent)
