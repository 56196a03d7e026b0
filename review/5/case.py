"""A quota whose requests waited, were refused and were refunded."""

import asyncio
from pathlib import Path

from harness import Deployment, Record, Server, ask, has_trouble, route, run_case

# As in the users' example of a configuration.
RATE_PER_S = 81_080
BURST = 81_080
WINDOW_S = 8.0
OVER = 0.1
SLACK = 190_000
TOKENS = 40_000
N_WAVE = 22
CLUB_KEY = "i9n73hh2b9wu3fexd9dn"
SHOP_KEY = "n2ctnfzs989anu6wsjnb"
SHOP_EVENTS = 13
SHOP_PAUSE_S = 0.28


async def _work(server: Server, call) -> None:
    if call.target.startswith("/cleft-report/"):
        await server.send_stream(call, SHOP_EVENTS, SHOP_PAUSE_S)
    else:
        await server.send_stream(call, 4, 0.02)


async def _case(record: Record) -> bool:
    async with Deployment(record, n_gateways=1) as deployment:
        await deployment.add_server("i-0", "pomelo-pool", _work, slots=6)
        streams = {"timeout_ms": 10000, "gap_aim_ms": 300, "max_attempts": 1}
        deployment.put_configuration(
            1,
            [
                route(
                    "cleft-report",
                    "streaming",
                    "pomelo-pool",
                    0,
                    target_latency_ms=800,
                    **streams,
                ),
                route(
                    "counter-chat",
                    "streaming",
                    "pomelo-pool",
                    2,
                    target_latency_ms=500,
                    **streams,
                ),
            ],
            [
                {
                    "name": "club",
                    "api_keys": [CLUB_KEY],
                    "unit": "token_count",
                    "plain_tokens": 200,
                    "rate_per_s": RATE_PER_S,
                    "burst": BURST,
                },
                {"name": "shop", "api_keys": [SHOP_KEY]},
            ],
        )
        await deployment.start_gateways()
        # The limits of a gateway grow in its first window.
        await asyncio.sleep(WINDOW_S + 1.0)
        requests = []
        sent_s: dict[str, float] = {}
        # The usual traffic of the shop leaves slots free; in the burst, with 1.75 times
        # as much of it, it does not.
        n_shop = 7 if has_trouble else 4
        for number in range(n_shop):
            requests.append(
                _send(deployment, f"shop-{number}", "cleft-report", SHOP_KEY, 100)
            )
        await asyncio.sleep(0.2)
        started_s = record.now_s()
        for wave, at_s in enumerate((0.0, 3.6, 8.6)):
            await asyncio.sleep(started_s + at_s - record.now_s())
            for number in range(N_WAVE):
                request_id = f"club-{wave}-{number}"
                sent_s[request_id] = record.now_s()
                requests.append(
                    _send(deployment, request_id, "counter-chat", CLUB_KEY, TOKENS)
                )
        await asyncio.gather(*requests)
        return _is_broken(deployment, sent_s)


def _send(
    deployment: Deployment, request_id: str, name: str, key: str, tokens: int
) -> "asyncio.Task[None]":
    return asyncio.ensure_future(_send_now(deployment, request_id, name, key, tokens))


async def _send_now(
    deployment: Deployment, request_id: str, name: str, key: str, tokens: int
) -> None:
    record = deployment.record
    record.add(f"client sends {request_id} with {tokens} tokens")
    answer = await ask(
        deployment.gateways[0].address,
        f"/{name}/1",
        request_id=request_id,
        key=key,
        tokens=f"{tokens - 60},60",
        deadline_ms=10000,
        headers=[("X-Model", "m"), ("X-Prompt-Prefix", f"5c1e:60,9f3a:{tokens - 120}")],
    )
    record.add(f"client gets for {request_id}: status {answer.status}")


def _is_broken(deployment: Deployment, sent_s: dict[str, float]) -> bool:
    # Times at which the client sent a request and at which it arrived.
    ran = [
        (sent_s[arrival.request_id], arrival.at_s)
        for arrival in deployment.arrivals
        if arrival.request_id.startswith("club-") and arrival.has_run
    ]
    allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK
    most, most_from_s = 0, 0.0
    for from_s, _ in ran:
        until_s = from_s + WINDOW_S
        tokens = TOKENS * sum(from_s <= sent and at_s < until_s for sent, at_s in ran)
        if tokens > most:
            most, most_from_s = tokens, from_s
    deployment.record.add(
        f"in the 8 s from {most_from_s:.3f} s, {most} tokens of the club were sent "
        f"and run; allowed are {allowed:.0f}"
    )
    return most > allowed


if __name__ == "__main__":
    run_case(_case, Path(__file__).resolve().parent)
