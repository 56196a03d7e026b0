"""Streams that clients take up after all gateways were killed."""

import asyncio
from pathlib import Path

from harness import Deployment, Record, ask, has_trouble, route, run_case

N_STREAMS = 18
N_EVENTS = 24
PAUSE_S = 0.28
DEADLINE_S = 12.0
MAX_TRIES = 5
# Allowed by the rule ORDER.
MAX_MIXED_STREAMS = 2
KEY = "i9n73hh2b9wu3fexd9dn"


class Client:
    """A client that takes its stream up after a broken connection.

    Parameters
    ----------
    name : str
        Prefix of the ids of its attempts.
    deployment : Deployment
        Where it calls.
    """

    def __init__(self, name: str, deployment: Deployment) -> None:
        self.name = name
        self._deployment = deployment
        self.events: list[tuple[int, str]] = []

    @property
    def versions(self) -> set[str]:
        """Software versions of the servers whose events it has got."""
        return {text.split()[0] for _, text in self.events}

    async def run(self, first_gateway: int) -> None:
        """Ask for one stream, and take it up until it is complete."""
        record = self._deployment.record
        first_id = ""
        until_s = record.now_s() + DEADLINE_S
        for number in range(MAX_TRIES):
            request_id = f"{self.name}-{number}"
            headers = [("X-Model", "m"), ("X-Prompt-Prefix", "5c1e:60,9f3a:700")]
            if self.events:
                headers.append(("Last-Event-Id", str(self.events[-1][0])))
                headers.append(("Resumes", first_id))
            gateways = self._deployment.gateways
            gateway = gateways[(first_gateway + number) % len(gateways)]
            left_s = until_s - record.now_s()
            record.add(f"client sends {request_id} to {gateway.ip}: {headers[2:]}")
            answer = await ask(
                gateway.address,
                "/blade-spec/1",
                request_id=request_id,
                key=KEY,
                tokens="760,120",
                deadline_ms=int(left_s * 1000),
                headers=headers,
            )
            events = _parse(answer.body) if answer.status == 200 else []
            if events and not self.events:
                first_id = request_id
            self.events += events
            record.add(
                f"client gets for {request_id}: status {answer.status}, "
                f"events {events}, {'whole' if answer.is_complete else 'cut'}"
            )
            if answer.status == 200 and answer.is_complete:
                return
            left_s = until_s - record.now_s()
            wait_s = float(answer.headers.get("retry-after", "0.5"))
            await asyncio.sleep(min(max(wait_s, 0.5), left_s / 3))


def _parse(body: bytes) -> list[tuple[int, str]]:
    """Return number and text of each whole event."""
    events = []
    for block in body.split(b"\n\n")[:-1]:
        lines = block.decode().splitlines()
        events.append((int(lines[0].removeprefix("id: ")), lines[1][len("data: ") :]))
    return events


async def _case(record: Record) -> bool:
    async with Deployment(record, n_gateways=2) as deployment:
        old = await deployment.add_server("i-old", "pomelo-pool", _stream, version="v1")
        for name in ("i-a", "i-b"):
            await deployment.add_server(name, "pomelo-pool", _stream, version="v2")
        deployment.put_configuration(
            1,
            [
                route(
                    "blade-spec",
                    "streaming",
                    "pomelo-pool",
                    1,
                    resumable=True,
                    timeout_ms=12000,
                    target_latency_ms=600,
                    gap_aim_ms=300,
                )
            ],
            [{"name": "hule930", "api_keys": [KEY]}],
        )
        await deployment.start_gateways()
        await asyncio.sleep(3.0)
        clients = [Client(f"stream{n}", deployment) for n in range(N_STREAMS)]
        running = [asyncio.ensure_future(c.run(n)) for n, c in enumerate(clients)]
        # A release: the new server starts first, then the old one leaves. It is one
        # of those that do not report `draining`: its entry is removed, and it serves
        # on for longer than `drain_ms`.
        await asyncio.sleep(0.5)
        await deployment.add_server("i-new", "pomelo-pool", _stream, version="v2")
        await asyncio.sleep(1.5)
        old.is_leaving = True
        old.remove_entry()
        await asyncio.sleep(1.0)
        if has_trouble:
            record.add("all gateways are killed")
            for gateway in deployment.gateways:
                await gateway.kill()
            await asyncio.sleep(0.5)
            for gateway in deployment.gateways:
                gateway.start()
            record.add("all gateways are started again")
        await asyncio.gather(*running)
        mixed = [client for client in clients if len(client.versions) > 1]
        for client in clients:
            record.add(f"{client.name} holds events of {sorted(client.versions)}")
        return len(mixed) > MAX_MIXED_STREAMS


async def _stream(server, call) -> None:
    await server.send_stream(call, N_EVENTS, PAUSE_S)


if __name__ == "__main__":
    run_case(_case, Path(__file__).resolve().parent)
