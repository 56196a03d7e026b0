"""Soak test: runs real gateway processes under seeded random faults.

``python -m soak --seed=1`` prints the fault plan, the request counts and a verdict.
It exits with status 1 if a check failed, and then keeps the logs of the run in
``out/soak-SEED``.
"""

import asyncio
import random
import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from absl import app, flags

from soak_checks import (
    N_LONG_EVENTS,
    SAFETY_CHECKS,
    SEAL_HEADER,
    STREAM_EVENTS,
    TIMED_CHECKS,
    CallerRequest,
    History,
    received_streams,
    violations,
)
from soak_plan import PlannedFault, plan_soak
from soak_streams import StreamLoad
from soak_world import HOST, KEYS, SoakDeployment
from standins.platform_caller import Answer, Caller, open_caller

GATEWAY = [str(Path(__file__).with_name("soak_gateway.py"))]
N_CALLERS = 18
N_STREAM_CALLERS = 16
DURATION_S = 15.0
# Requests that each caller sends after the last fault, to check recovery.
N_FINAL_REQUESTS = 4
# Wait for a connection; a gateway that was killed or is paused accepts none.
CONNECT_TIMEOUT_S = 1.0
# Callers wait this long beyond the deadline before they give up on an answer.
ANSWER_TIMEOUT_MARGIN_S = 4.0
# Share of requests whose caller disconnects before the answer.
DISCONNECT_SHARE = 0.06
# Probability that a caller reuses its open connection for the next request.
KEEP_ALIVE_SHARE = 0.7
# Share of the streams that have a part in their prompts that crashes engines now.
CRASHING_SHARE = 0.08
ROUTES = ("drafts", "resumes", "orders", "lookups")


def _stream_headers(request: CallerRequest) -> list[tuple[str, str]]:
    headers = [("X-Prompt-Prefix", request.prompt)]
    if request.first_id:
        headers.append(("Last-Event-Id", str(request.after_event)))
        headers.append(("Resumes", request.first_id))
    return headers


@dataclass(slots=True)
class Verdict:
    """Result of one soak run."""

    seed: int
    plan: list[PlannedFault]
    n_requests: int
    n_runs: int
    statuses: Counter[int]
    failures: list[tuple[str, str]]
    streams: Counter[str]


class Load:
    """Generates the load: callers that send requests until they are told to stop.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment that the callers send requests to.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, deployment: SoakDeployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._n_sent = 0
        # Streams that broke off, to be taken up by their callers.
        self._broken: list[CallerRequest] = []
        self.is_stopping = False

    async def send_until_stopped(self) -> None:
        """Send requests one after another, mostly on keep-alive connections."""
        connection: tuple[Caller, int] | None = None
        while not self.is_stopping:
            if connection is not None and self._random.random() > KEEP_ALIVE_SHARE:
                connection[0].close()
                connection = None
            if self._broken:
                # A try of its own, on a new connection.
                taken_up = await self._call(None, False, broken=self._broken.pop())
                if taken_up is not None:
                    taken_up[0].close()
            connection = await self._call(
                connection, self._random.random() < DISCONNECT_SHARE
            )
            await asyncio.sleep(self._random.uniform(0.0, 0.06))
        if connection is not None:
            connection[0].close()

    async def send_final_requests(self) -> None:
        """Send the recovery requests, for an organisation without a quota."""
        for _ in range(N_FINAL_REQUESTS):
            connection = await self._call(None, False, "club")
            if connection is not None:
                connection[0].close()

    async def _call(
        self,
        connection: tuple[Caller, int] | None,
        disconnects_early: bool,
        organisation: str | None = None,
        broken: CallerRequest | None = None,
    ) -> tuple[Caller, int] | None:
        """Send one request; return its connection if that can be reused.

        A connection is a caller and the number of the gateway it is connected to.
        """
        caller, number = connection or (
            None,
            self._random.choice(self._numbers_in_rotation()),
        )
        request = self._make_request(number, organisation)
        if broken is not None:
            self._continue_stream(request, broken)
        self._deployment.history.requests.append(request)
        if caller is None:
            address = self._deployment.gateways[number].callers_address
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    caller = await open_caller(address, HOST)
            except (OSError, TimeoutError):
                # The gateway is down or paused.
                request.was_connected = False
                request.ended_s = self._deployment.now_s()
                await asyncio.sleep(0.05)
                return None
        request.sent_s = self._deployment.now_s()
        is_stream = request.is_stream
        caller.send(
            request.target,
            body=request.body,
            request_id=request.request_id,
            key=KEYS[request.organisation],
            tokens=f"{request.n_tokens - 40},40" if is_stream else None,
            headers=_stream_headers(request) if is_stream else (),
            deadline_ms=round(request.deadline_s * 1000),
        )
        wait_s = request.deadline_s + ANSWER_TIMEOUT_MARGIN_S
        if disconnects_early:
            wait_s = self._random.uniform(0.0, 0.3)
        try:
            async with asyncio.timeout(wait_s):
                answer = await caller.answer()
        except TimeoutError:
            request.caller_disconnected = disconnects_early
            caller.close()
            return None
        self._record_answer(request, answer)
        if answer.is_complete and caller.is_reusable:
            return caller, number
        caller.close()
        return None

    def _record_answer(self, request: CallerRequest, answer: Answer) -> None:
        request.status, request.headers = answer.status, answer.headers
        request.answer, request.is_complete = answer.body, answer.is_complete
        request.ended_s = self._deployment.now_s()
        is_broken = request.status == 200 and not request.is_complete
        if request.route == "resumes" and is_broken and b"\n\n" in request.answer:
            self._broken.append(request)

    def _continue_stream(self, request: CallerRequest, broken: CallerRequest) -> None:
        """Make a request take up the stream of one that broke off."""
        request.route = "resumes"
        request.target = f"/resumes/{request.request_id}"
        request.organisation = broken.organisation
        request.n_tokens = broken.n_tokens
        request.crashing_part = broken.crashing_part
        request.first_id = broken.stream_id
        request.after_event = broken.after_event + broken.answer.count(b"\n\n")
        first = broken
        if broken.first_id:
            requests = self._deployment.history.requests
            first = next(r for r in requests if r.request_id == broken.first_id)
        _, version = first.events[0]
        request.version_serves = self._deployment.has_version(version)

    def _numbers_in_rotation(self) -> list[int]:
        return [gateway.number for gateway in self._deployment.in_rotation]

    def _make_request(self, gateway: int, organisation: str | None) -> CallerRequest:
        self._n_sent += 1
        request_id = f"r{self._n_sent}"
        route = self._random.choice(ROUTES)
        if organisation is None:
            organisation = self._random.choice(list(KEYS))
        is_stream = route in STREAM_EVENTS
        n_tokens = self._random.randint(60, 600) if is_stream else 20
        crashing = sorted(self._deployment.crashing_parts)
        part = ""
        if is_stream and crashing and self._random.random() < CRASHING_SHARE:
            part = self._random.choice(crashing)
        return CallerRequest(
            request_id=request_id,
            route=route,
            target=f"/{route}/{request_id}",
            body=f"body of {request_id}".encode(),
            organisation=organisation,
            n_tokens=n_tokens,
            gateway=gateway,
            sent_s=self._deployment.now_s(),
            deadline_s=round(self._random.uniform(1.0, 4.0), 2),
            crashing_part=part,
        )


async def soak(
    seed: int,
    directory: Path,
    duration_s: float = DURATION_S,
    program: Sequence[str] = GATEWAY,
    is_timed: bool = True,
    plan: list[PlannedFault] | None = None,
) -> Verdict:
    """Run one soak test.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the load.
    directory : Path
        Directory for settings and logs.
    duration_s : float
        Length of the load with faults.
    program : sequence of str
        Interpreter arguments that start a gateway.
    is_timed : bool
        Whether the checks with a time limit run, too.
    plan : list of PlannedFault, optional
        Faults to inject instead of the ones drawn from the seed.

    Returns
    -------
    Verdict
        Counts, and every failed check.
    """
    if plan is None:
        plan = plan_soak(seed, duration_s)
    deployment = SoakDeployment(directory, list(program))
    load = Load(deployment, seed)
    streams = StreamLoad(deployment, seed)
    background: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        start = deployment.now_s()
        background = [
            asyncio.ensure_future(deployment.run_balancer()),
            asyncio.ensure_future(deployment.probe_versions()),
            asyncio.ensure_future(deployment.copy_store()),
        ]
        callers = [
            asyncio.ensure_future(load.send_until_stopped()) for _ in range(N_CALLERS)
        ]
        callers += [
            asyncio.ensure_future(streams.send_until_stopped())
            for _ in range(N_STREAM_CALLERS)
        ]
        faults = []
        for planned in plan:
            await asyncio.sleep(max(0.0, start + planned.at_s - deployment.now_s()))
            faults.append(asyncio.ensure_future(deployment.inject(planned.fault)))
        await asyncio.sleep(max(0.0, start + duration_s - deployment.now_s()))
        await asyncio.gather(*faults)
        load.is_stopping = streams.is_stopping = True
        await asyncio.gather(*callers)
        await asyncio.gather(
            *(gateway.wait_until_ready() for gateway in deployment.gateways)
        )
        deployment.history.recovery_from_s = deployment.now_s()
        await asyncio.gather(*(load.send_final_requests() for _ in range(N_CALLERS)))
    finally:
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        await deployment.close()
    checks = SAFETY_CHECKS | TIMED_CHECKS if is_timed else SAFETY_CHECKS
    failures = violations(deployment.history, checks)
    failures += [
        ("stops end well", f"exit code {code}")
        for code in deployment.exit_codes
        if code != 0
    ]
    history = deployment.history
    write_streams(history, directory / "streams.txt")
    statuses = Counter(request.status for request in history.requests)
    return Verdict(
        seed,
        plan,
        len(history.requests),
        len(history.runs),
        statuses,
        failures,
        _count_streams(history),
    )


def _count_streams(history: History) -> Counter[str]:
    streams = received_streams(history).values()
    return Counter(
        {
            "begun": len(streams),
            "complete": sum(s.is_complete for s in streams),
            "complete but not whole": sum(
                s.is_complete and not s.is_whole for s in streams
            ),
            "with events of two versions": sum(len(s.versions) > 1 for s in streams),
        }
    )


def write_streams(history: History, path: Path) -> None:
    """Write the tries of all callers of long streams, as the callers saw them."""
    lines = [
        f"{r.stream_id} try {r.request_id} gateway {r.gateway} "
        f"{r.sent_s:.3f} to {r.ended_s or 0.0:.3f} s status {r.status} "
        f"{'complete' if r.is_complete else 'cut'} seal {r.headers.get(SEAL_HEADER)} "
        + " ".join(f"{number}:{version}" for number, version in r.events)
        for r in sorted(history.requests, key=lambda r: (r.stream_id, r.sent_s))
        if STREAM_EVENTS.get(r.route) == N_LONG_EVENTS
    ]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def print_verdict(verdict: Verdict) -> None:
    """Print the plan, the counts and the failed checks."""
    for planned in verdict.plan:
        print(f"{planned.at_s:6.2f} s  {planned.fault}")
    statuses = ", ".join(f"{k}: {n}" for k, n in sorted(verdict.statuses.items()))
    print(
        f"seed {verdict.seed}: {len(verdict.plan)} faults, "
        f"{verdict.n_requests} requests, {verdict.n_runs} runs; answers {statuses}"
    )
    print("streams: " + ", ".join(f"{n} {k}" for k, n in verdict.streams.items()))
    for check, detail in verdict.failures:
        print(f"BROKEN --seed={verdict.seed}: {check}: {detail}")
    print("no promise broken" if not verdict.failures else "FAILED", flush=True)


def main(argv: Sequence[str]) -> int:
    """Run all seeds and return the exit status of the process."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    values = flags.FLAGS
    n_failed = 0
    for seed in range(values.seed, values.seed + values.seeds):
        with tempfile.TemporaryDirectory() as name:
            verdict = asyncio.run(soak(seed, Path(name), values.duration_s))
            print_verdict(verdict)
            if verdict.failures:
                n_failed += 1
                log_directory = Path("out") / f"soak-{seed}"
                shutil.copytree(name, log_directory, dirs_exist_ok=True)
                print(f"logs: {log_directory}")
    if values.seeds > 1:
        print(f"{values.seeds} seeds, {n_failed} failed")
    return 1 if n_failed else 0


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "seed of the faults and of the load")
    flags.DEFINE_integer("seeds", 1, "number of consecutive seeds to run", 1)
    flags.DEFINE_float("duration_s", DURATION_S, "length of the load with faults", 1.0)
    sys.exit(app.run(main))
