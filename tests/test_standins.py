"""Behaviour of the stand-ins that tests and benchmarks rely on."""

import asyncio
import json
import subprocess
import sys
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path

import httpx2
import pytest

from pomelothread.clock import ManualClock
from pomelothread.peers.http_exchange import ExchangeClient, ResponseHead
from standins.engine import start_engine
from standins.engine_model import EngineModel, ModelSettings, SequenceEnd, Stored
from standins.plain_service import start_plain_service
from standins.serving import Faults
from standins.text import answer_text

TOOLS = Path(__file__).resolve().parent.parent / "tools"
SOURCE = TOOLS.parent / "src"


def run_model(settings, lengths, n_steps, n_output=4, prompt=None):
    """Run sequences through a model; return it, their last steps and the changes."""

    async def run():
        clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        changes = []
        model = EngineModel(settings, clock, lambda: 1.0, changes.extend)
        task = asyncio.create_task(model.run())
        sequences = [
            model.submit(prompt or list(range(n, n + length)), n_output)
            for n, length in enumerate(lengths)
        ]
        ended_in = [None] * len(sequences)
        for step in range(1, n_steps + 1):
            for _ in range(3):
                await asyncio.sleep(0)
            clock.advance(1.0)
            for _ in range(3):
                await asyncio.sleep(0)
            for n, sequence in enumerate(sequences):
                if sequence.ended.done() and ended_in[n] is None:
                    assert sequence.ended.result() is SequenceEnd.COMPLETE
                    ended_in[n] = step
        task.cancel()
        return model, ended_in, changes

    return asyncio.run(run())


def test_a_batch_admits_in_order_of_arrival_up_to_its_size():
    _, ended_in, _ = run_model(ModelSettings(max_batch=2), [8, 8, 8], 10)
    assert ended_in == [4, 4, 8]


def test_a_cached_prefix_is_not_prefilled_again():
    prompt = list(range(40))
    model, _, changes = run_model(ModelSettings(max_batch=1), [0, 0], 12, prompt=prompt)
    assert (model.n_prefill_computed, model.n_prefill_cached) == (48, 32)
    assert [len(c.hashes) for c in changes if isinstance(c, Stored)] == [2]


def test_a_full_cache_evicts_the_least_recently_used_blocks():
    _, _, changes = run_model(ModelSettings(n_blocks=3), [32, 32], 6)
    stored_first, stored_second, removed = changes
    assert removed.hashes == stored_first.hashes[:1]
    assert len(stored_second.hashes) == 2


def test_a_long_prompt_does_not_stall_running_sequences():
    _, ended_in, _ = run_model(ModelSettings(), [10, 7000], 10)
    assert ended_in[0] == 4
    assert ended_in[1] == 7


async def call(client, address, method, path, body=b"", key="", request_id="r"):
    exchange = client.open_exchange(
        method,
        f"http://{address}{path}",
        {"X-Request-Id": request_id, "Idempotency-Key": key},
        body,
    )
    head = await exchange.head()
    answer = await exchange.read_whole(1_000_000)
    return (head.status if isinstance(head, ResponseHead) else None), answer


@pytest.mark.parametrize(
    ("fault", "n_runs"),
    [
        ({}, 1),
        ({"close_before_answer": True}, 0),
        ({"close_after_effect": True}, 1),
        ({"cut_after_chunks": 0}, 1),
    ],
)
def test_the_plain_service_counts_runs_whether_or_not_it_answers(fault, n_runs):
    async def run():
        service = start_plain_service(service_time_s=0.0)
        client = ExchangeClient(1)
        service.faults.change(fault)
        await call(client, service.address, "POST", "/orders", b"3 bats", "k1")
        service.faults.change(asdict(Faults()))
        await call(client, service.address, "POST", "/orders", b"9 bats", "k2")
        found, _ = await call(client, service.address, "GET", "/orders/k1")
        _, state = await call(client, service.address, "GET", "/_state")
        await service.stop()
        return found, json.loads(state)

    found, state = asyncio.run(run())
    assert found == (200 if n_runs else 404)
    assert state["effects"].get("k1", 0) == n_runs
    assert state["effects_by_body"]["9 bats"] == 1
    assert state["duplicates"] == {"r": 3}


def test_a_limited_fault_ends_after_its_last_request():
    async def run():
        engine = start_engine(ModelSettings(speed=100))
        client = ExchangeClient(1)
        body = json.dumps(
            {"model": "drafts", "messages": [{"role": "user", "content": "leg"}]}
        ).encode()
        engine.faults.change({"close_before_answer": True, "times": 2})
        path = "/v1/chat/completions"
        statuses = [
            (await call(client, engine.address, "POST", path, body))[0]
            for _ in range(3)
        ]
        await engine.stop()
        return statuses

    assert asyncio.run(run()) == [None, None, 200]


def test_only_a_prompt_with_the_crash_text_ends_the_process():
    command = [sys.executable, "-m", "standins.engine", "--port=0", "--speed=100"]
    paths = {"PYTHONPATH": f"{SOURCE}:{TOOLS}"}
    process = subprocess.Popen(command, stdout=subprocess.PIPE, env=paths, text=True)
    try:
        address = json.loads(process.stdout.readline())["address"]

        async def run():
            client = ExchangeClient(1)
            switch = json.dumps({"crash_on_text": "plate-7"}).encode()
            await call(client, address, "POST", "/_faults", switch)
            answers = []
            for text in ("plate-6", "plate-7"):
                message = {"role": "user", "content": text}
                body = {"model": "drafts", "messages": [message], "max_tokens": 3}
                data = json.dumps(body).encode()
                path = "/v1/chat/completions"
                answers.append(await call(client, address, "POST", path, data))
            return answers

        (status, answer), (crashed, _) = asyncio.run(run())
        choice = json.loads(answer)["choices"][0]
        assert (status, crashed) == (200, None)
        assert choice["message"]["content"] == answer_text("plate-6", 3)
        assert process.wait() == 70
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_a_fault_switched_on_and_off_during_a_stream_leaves_no_gap():
    # The engine read the fault switch for each token, so that a stream lacked 29
    # tokens in its middle and still ended normally. A fault trial took it for the
    # answer to another caller.
    async def scenario():
        engine = start_engine(ModelSettings(speed=4.0), models=("drafts",))
        body = {
            "model": "drafts",
            "messages": [{"role": "user", "content": "leg"}],
            "max_tokens": 20,
            "stream": True,
        }
        url = f"http://{engine.address}/v1/chat/completions"
        text = ""
        async with (
            httpx2.AsyncClient() as client,
            client.stream("POST", url, json=body) as response,
        ):
            async for chunk in response.aiter_text():
                text += chunk
                engine.faults.close_after_effect = 3 < text.count("data:") < 10
        await engine.stop()
        return text

    text = asyncio.run(scenario())
    assert text.endswith("data: [DONE]\n\n")
    assert all(f"-{position}" in text for position in range(20))
