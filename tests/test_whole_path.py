"""End-to-end tests of the real processes, as callers and operators see them."""

import asyncio
import json
import threading

import httpx2
import openai
import pytest

from deployments import DEPLOYMENTS
from launcher import Launcher
from standins.text import answer_text

AUTH = {"Authorization": "Bearer demo-ashcombe-shop"}
MESSAGES = [{"role": "user", "content": "grade cleft 12"}]


class Site:
    """A running deployment, and an event loop in a thread for its launcher."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()
        self.launcher = Launcher(DEPLOYMENTS["tiny"])
        self.run(self.launcher.start())

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def close(self):
        try:
            self.run(self.launcher.stop())
        finally:
            self.loop.call_soon_threadsafe(self.loop.stop)
            self._thread.join()
            self.loop.close()

    def state(self, instance):
        url = f"http://{self.launcher.upstream_address(instance)}/_state"
        return httpx2.get(url).json()

    def set_faults(self, instance, **faults):
        url = f"http://{self.launcher.upstream_address(instance)}/_faults"
        if not faults:
            return httpx2.delete(url)
        return httpx2.post(url, json=faults)

    def n_requests_received(self):
        # Lookups of orders by agents carry no request id and are not counted.
        return sum(
            count
            for upstream in self.launcher.deployment.upstreams
            for name, count in self.state(upstream.instance)["received"].items()
            if name
        )

    def request(self, method, path, entry=0, headers=None, **options):
        url = self.launcher.entry_urls[entry] + path
        return httpx2.request(
            method, url, headers=AUTH | (headers or {}), timeout=30, **options
        )

    def order(self, key, body="6 bats", entry=0):
        headers = {"Idempotency-Key": key}
        return self.request(
            "POST", "/services/bulk-order", entry, headers, content=body
        )

    def client(self, entry=0):
        return openai.OpenAI(
            base_url=self.launcher.entry_urls[entry] + "/v1",
            api_key="demo-colchester-sports",
        )


@pytest.fixture(scope="module")
def site():
    site = Site()
    try:
        yield site
    finally:
        site.close()


@pytest.mark.parametrize("entry", [0, 1])
def test_the_openai_client_gets_a_whole_answer(site, entry):
    completion = site.client(entry).chat.completions.create(
        model="buyer-reply", messages=MESSAGES, max_tokens=6
    )
    text = completion.choices[0].message.content
    assert text == answer_text(MESSAGES[0]["content"], 6)


@pytest.mark.parametrize("entry", [0, 1])
def test_the_openai_client_gets_a_streamed_answer(site, entry):
    stream = site.client(entry).chat.completions.create(
        model="buyer-reply", messages=MESSAGES, max_tokens=9, stream=True
    )
    parts = [c.choices[0].delta.content or "" for c in stream if c.choices]
    assert "".join(parts) == answer_text(MESSAGES[0]["content"], 9)


def test_the_openai_client_does_not_repeat_what_may_have_run(site):
    for instance in ("model-1", "model-2"):
        site.set_faults(instance, close_after_effect=True)
    before = site.n_requests_received()
    try:
        with pytest.raises(openai.APIStatusError) as raised:
            site.client().chat.completions.create(
                model="buyer-reply", messages=MESSAGES, max_tokens=4
            )
    finally:
        for instance in ("model-1", "model-2"):
            site.set_faults(instance)
    assert raised.value.response.json()["outcome"] == "not-known"
    assert site.n_requests_received() == before + 1


def test_the_openai_client_comes_back_by_itself_after_not_run(site):
    # The first response is "no upstream"; the client's own retry then succeeds.
    for instance in ("model-1", "model-2"):
        site.set_faults(instance, unhealthy=True)
        site.run(_wait_for_state(site, instance, "closed"))
    probe = {"model": "buyer-reply", "messages": MESSAGES}
    reason = ""
    while not reason.endswith("no-upstream"):  # Until both are known.
        path, headers = "/v1/chat/completions", {"Prefer": "wait=1"}
        reason = site.request("POST", path, headers=headers, json=probe).json()["type"]
    client = site.client()
    seen = []

    def heal(response):
        seen.append(response.status_code)
        for instance in ("model-1", "model-2"):
            site.set_faults(instance)
            site.run(_wait_for_state(site, instance, "open"))

    with httpx2.Client(event_hooks={"response": [heal]}) as http:
        completion = client.with_options(http_client=http).chat.completions.create(
            model="buyer-reply", messages=MESSAGES, max_tokens=4
        )
    assert seen == [503, 200]
    assert completion.choices[0].message.content == answer_text(
        MESSAGES[0]["content"], 4
    )


async def _wait_for_state(site, instance, state):
    """Wait until an agent reports a state."""
    address = site.launcher.nodes[instance].http_address
    async with httpx2.AsyncClient() as client:
        while True:
            response = await client.get(f"http://{address}/control/status")
            if response.json()["state"] == state:
                return
            await asyncio.sleep(0.02)


def test_the_services_are_listed_as_models(site):
    names = {model.id for model in site.client().models.list()}
    assert {"buyer-reply", "cleft-report"} <= names


BAD_REQUESTS = {
    "no token": ("GET", "/v1/models", {"headers": {"Authorization": ""}}, 401),
    "no such resource": ("GET", "/nothing", {}, 404),
    "no such service": ("GET", "/services/nothing", {}, 404),
    "malformed chat": ("POST", "/v1/chat/completions", {"content": b"{"}, 400),
    "wrong method": ("GET", "/v1/chat/completions", {}, 405),
    "order without a key": ("POST", "/services/bulk-order", {"content": b"x"}, 422),
    "oversized body": (
        "POST",
        "/services/bulk-order",
        {"content": b"x" * 17_000_000, "headers": {"Idempotency-Key": "big"}},
        413,
    ),
    "unknown order": ("GET", "/v1/orders/bulk-order/never-sent", {}, 404),
}


@pytest.mark.parametrize("case", BAD_REQUESTS)
def test_bad_input_gets_problem_details_and_reaches_no_upstream(site, case):
    method, path, options, status = BAD_REQUESTS[case]
    before = site.n_requests_received()
    response = site.request(method, path, **options)
    assert response.status_code == status
    assert response.headers["Content-Type"] == "application/problem+json"
    assert response.json()["outcome"] == "not-run"
    assert site.n_requests_received() == before


def test_a_trace_context_reaches_the_upstream_unbroken(site):
    parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    response = site.request(
        "GET", "/services/stock-check/bat", headers={"traceparent": parent}
    )
    assert response.status_code == 200


def test_an_order_runs_once_whatever_entry_its_repeats_reach(site):
    first = site.order("k-1")
    assert first.status_code == 201
    for entry in (0, 1, 0):
        again = site.order("k-1", entry=entry)
        assert (again.status_code, again.content) == (201, first.content)
        assert again.headers["Idempotent-Replayed"] == "true"
    assert site.state("ledger-1")["effects"]["k-1"] == 1
    found = site.request("GET", "/v1/orders/bulk-order/k-1", entry=1)
    assert found.content == first.content


def test_a_used_key_with_another_body_is_refused(site):
    site.order("k-2")
    response = site.order("k-2", body="7 bats", entry=1)
    assert response.status_code == 422
    assert response.json()["type"].endswith("key-reused")
    assert site.state("ledger-1")["effects"]["k-2"] == 1


def test_an_order_whose_answer_was_lost_is_found_by_lookup(site):
    site.set_faults("ledger-1", close_after_effect=True, times=1)
    response = site.order("k-3")
    problem = response.json()
    assert (response.status_code, problem["outcome"]) == (502, "not-known")
    assert response.headers["x-should-retry"] == "false"
    found = site.request("GET", problem["status_url"])
    assert found.status_code in (200, 201)
    assert site.order("k-3", entry=1).status_code in (200, 201)
    assert site.state("ledger-1")["effects"]["k-3"] == 1


def test_a_cut_stream_is_told_at_once_and_not_repeated(site):
    for instance in ("model-1", "model-2"):
        site.set_faults(instance, cut_after_chunks=3, times=1)
    body = {"model": "buyer-reply", "messages": MESSAGES, "stream": True}
    before = site.n_requests_received()
    chunks = []
    with (
        pytest.raises(httpx2.RemoteProtocolError),
        httpx2.stream(
            "POST",
            site.launcher.entry_urls[0] + "/v1/chat/completions",
            json=body,
            headers=AUTH,
        ) as response,
    ):
        chunks.extend(response.iter_bytes())
    for instance in ("model-1", "model-2"):
        site.set_faults(instance)
    text = b"".join(chunks).decode()
    assert "answer-cut" in text
    assert "[DONE]" not in text
    assert site.n_requests_received() == before + 1


def test_every_process_shows_health_readiness_metrics_and_status(site):
    for node in site.launcher.nodes.values():
        base = f"http://{node.http_address}"
        assert httpx2.get(base + "/healthz").status_code == 200
        assert httpx2.get(base + "/readyz").status_code == 200
        assert (
            b"pomelothread_sheet_version 1.0" in httpx2.get(base + "/metrics").content
        )
        status = json.loads(httpx2.get(base + "/control/status").content)
        assert status["sheet_version"] == 1


def test_an_agent_follows_the_cache_of_its_engine(site):
    text = " ".join(f"cleft-{number}" for number in range(200))
    for instance in ("model-1", "model-2"):
        direct = f"http://{site.launcher.upstream_address(instance)}"
        body = {
            "model": "willow-13b",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 1,
        }
        agent = f"http://{site.launcher.nodes[instance].http_address}/metrics"
        n_blocks = 0.0
        while not n_blocks:  # Events may come before the agent has subscribed.
            body["messages"][0]["content"] += " again"
            body["messages"][0]["content"] = "x" + body["messages"][0]["content"]
            httpx2.post(direct + "/v1/chat/completions", json=body)
            (line,) = [
                row
                for row in httpx2.get(agent).text.splitlines()
                if row.startswith("pomelothread_cached_blocks ")
            ]
            n_blocks = float(line.split()[1])


def test_callers_cannot_read_the_sheet(site):
    for node in site.launcher.nodes.values():
        response = httpx2.get(f"http://{node.http_address}/control/sheet")
        assert response.status_code == (200 if node.role == "agent" else 404)


def test_orders_are_refused_at_once_while_the_log_is_down_and_checks_go_on(site):
    url = f"http://{site.launcher.log_address}/_faults"
    httpx2.post(url, json={"down": True})
    try:
        response = site.order("k-4")
        assert response.status_code == 503
        assert response.json()["outcome"] == "not-run"
        assert int(response.headers["Retry-After"]) >= 1
        assert site.request("GET", "/services/stock-check/bat").status_code == 200
    finally:
        httpx2.post(url, json={"down": False})
    assert "k-4" not in site.state("ledger-1")["effects"]


def test_an_order_that_ran_is_never_called_not_run_after_all_agents_were_replaced(site):
    launcher = site.launcher
    first = site.order("k-5")
    while first.status_code == 503:  # The agent still backs off after an outage.
        first = site.order("k-5")
    assert first.status_code == 201
    url = f"http://{launcher.log_address}/_faults"
    site.run(launcher.kill("ledger-1"))
    httpx2.post(url, json={"down": True})
    try:
        # The new agent gets the sheet from a peer and has read no claims.
        site.run(launcher.restart_node("ledger-1"))
        answers = [site.order("k-5") for _ in range(3)]
    finally:
        httpx2.post(url, json={"down": False})
    for answer in answers:
        assert answer.json()["outcome"] == "not-known"
        assert int(answer.headers["Retry-After"]) >= 1
    assert site.state("ledger-1")["effects"]["k-5"] == 1
