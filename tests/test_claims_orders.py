"""Claims under generated sequences of calls, pauses, restarts and faults."""

import asyncio
from typing import Any

import hypothesis.strategies as st
from claims_rig import HEADERS, KEY_LIFE_S, RETENTION_S, Fleet, Node
from hypothesis import given, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from naive_claims import NaiveClaims

from pomelothread.log import claim_results as results
from pomelothread.log.claim_results import AlreadyDone, Claimed, ClaimToken

NAMES = ("a", "b", "c")
names = st.sampled_from(NAMES)
keys = st.sampled_from(("k1", "k2", "k3"))
bodies = st.sampled_from((b"x", b"y"))


class ClaimMachine(RuleBasedStateMachine):
    """Three instances that are paused and replaced, on a log with faults.

    Guards against: two dispatches of one key, an order that ran and is not
    found, different responses from different claimants, and a key that stays
    blocked although its claimants run and the log works.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.tokens: list[tuple[Node, str, ClaimToken]] = []
        self.claim_tasks: list[tuple[Node, str, asyncio.Task[Any]]] = []
        self.claim_calls: set[tuple[Node, str]] = set()
        self.interrupted_keys: set[str] = set()

    def run(self, coroutine: Any) -> Any:
        return self.loop.run_until_complete(coroutine)

    @initialize()
    def start(self) -> None:
        async def start() -> None:
            self.fleet = Fleet(*NAMES)
            self.fleet.log.faults.retention_s = RETENTION_S
            await self.fleet.advance(0.1)

        self.run(start())

    def collect(self) -> None:
        """Collect the results of finished calls, with the tokens of claimed keys."""
        for node, key, task in list(self.claim_tasks):
            if not task.done():
                continue
            self.claim_tasks.remove((node, key, task))
            if task.cancelled():
                continue
            match task.result():
                case Claimed(token):
                    self.tokens.append((node, key, token))

    @rule(name=names, key=keys, body=bodies)
    def claim(self, name: str, key: str, body: bytes) -> None:
        node = self.fleet.nodes[name]
        if node.is_paused:
            return

        self.claim_calls.add((node, key))

        async def begin() -> None:
            task = self.fleet.begin_claim(name, key, body, dispatch=False)
            self.claim_tasks.append((node, key, task))
            await self.fleet.settle()

        self.run(begin())
        self.collect()

    @precondition(lambda self: self.tokens)
    @rule(choice=st.integers(0, 100), is_dispatched=st.booleans())
    def use_token(self, choice: int, is_dispatched: bool) -> None:
        node, key, token = self.tokens.pop(choice % len(self.tokens))
        if node.is_paused:
            self.tokens.append((node, key, token))
            return

        async def use() -> None:
            if not is_dispatched:
                await node.claimant.abandon(token)
                return
            self.fleet.n_dispatched[key] += 1
            body = f"{key} by {node.name}".encode()
            self.fleet.finished[key] = body
            await node.claimant.finish(token, 201, HEADERS, body)

        self.run(use())

    @rule(delta_s=st.sampled_from((0.02, 0.02, 0.5, 3.0)))
    def advance(self, delta_s: float) -> None:
        self.run(self.fleet.advance(delta_s, 4))
        self.collect()

    @precondition(lambda self: self.can_carry_forward())
    @rule()
    def pass_retention(self) -> None:
        """Let records expire while a claimant can carry them forward."""
        self.run(self.fleet.advance(RETENTION_S * 1.25, 40))
        self.collect()

    def can_carry_forward(self) -> bool:
        faults = self.fleet.log.faults
        works = not (faults.down or faults.refuse_appends)
        works = works and faults.n_late_appends + faults.n_lost_requests == 0
        return works and any(not n.is_paused for n in self.fleet.nodes.values())

    @rule(name=names)
    def pause_or_resume(self, name: str) -> None:
        running = self.fleet.nodes[name].process.running
        if running.is_set():
            running.clear()
        else:
            running.set()
        self.run(self.fleet.settle())
        self.collect()

    @rule(name=names)
    def replace(self, name: str) -> None:
        old = self.fleet.nodes[name]
        # The outcome of its claims may stay unknown if their responses are not on
        # the log yet.
        self.interrupted_keys |= {key for node, key in self.claim_calls if node is old}
        self.tokens = [item for item in self.tokens if item[0] is not old]

        async def start() -> None:
            self.fleet.start(name)
            await self.fleet.settle()

        self.run(start())
        self.collect()

    @rule(
        down=st.booleans(),
        refuse=st.booleans(),
        n_lost_answers=st.integers(0, 2),
        n_lost_requests=st.integers(0, 2),
        n_late=st.integers(0, 3),
        delay_s=st.sampled_from((0.0, 0.0, 0.1, 2.5)),
    )
    def set_faults(
        self, down, refuse, n_lost_answers, n_lost_requests, n_late, delay_s
    ) -> None:
        faults = self.fleet.log.faults
        faults.down = down
        faults.refuse_appends = refuse
        faults.n_lost_answers = n_lost_answers
        faults.n_lost_requests = n_lost_requests
        faults.n_late_appends = n_late
        faults.delay_s = faults.delay_answer_s = delay_s

    @rule()
    def deliver_late_appends(self) -> None:
        async def deliver() -> None:
            self.fleet.log.deliver_late_appends()
            await self.fleet.settle()

        self.run(deliver())
        self.collect()

    @invariant()
    def no_key_is_dispatched_twice(self) -> None:
        if hasattr(self, "fleet"):
            assert all(n == 1 for n in self.fleet.n_dispatched.values())

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        try:
            self.run(self.check_healed())
        finally:
            self.fleet.stop()
            self.run(self.fleet.settle())
            self.loop.close()

    async def check_healed(self) -> None:
        fleet = self.fleet
        fleet.heal()
        await fleet.advance(20.0)
        self.collect()
        for node, _key, token in self.tokens:
            await node.claimant.abandon(token)
        fleet.start("d")
        await fleet.advance(5.0)
        for key in ("k1", "k2", "k3"):
            found = {await fleet.lookup(name, key) for name in (*NAMES, "d")}
            assert len(found) == 1, found
            match found.pop():
                case AlreadyDone(run):
                    assert run.body == fleet.finished[key]
                case results.ClaimOutcomeUnknown():
                    assert key in self.interrupted_keys
                case results.KeyUnclaimed() | results.ClaimAbandoned():
                    assert fleet.n_dispatched[key] == 0
                    assert isinstance(await fleet.claim("d", key), Claimed)
                case other:
                    raise AssertionError(other)


ClaimMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
TestClaimOrders = ClaimMachine.TestCase


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            names, keys, bodies, st.sampled_from(("claim", "finish", "abandon", "look"))
        ),
        max_size=25,
    )
)
def test_without_faults_claims_agree_with_the_naive_version(calls) -> None:
    naive = NaiveClaims()

    async def run() -> None:
        fleet = Fleet(*NAMES)
        tokens: dict[str, tuple[str, ClaimToken]] = {}
        await fleet.advance(0.1)
        for name, key, body, call in calls:
            claimant = fleet.nodes[name].claimant
            match call:
                case "claim":
                    claiming = asyncio.ensure_future(
                        claimant.claim(key, body, "print", "club", KEY_LIFE_S)
                    )
                    await fleet.advance(0.1)
                    result, expected = claiming.result(), naive.claim(key, body)
                    if isinstance(result, Claimed):
                        tokens[key] = (name, result.token)
                        assert isinstance(expected, Claimed)
                    else:
                        assert result == expected
                case "look":
                    assert await fleet.lookup(name, key) == naive.lookup(key)
                case _ if key not in tokens:
                    continue
                case "finish":
                    holder, token = tokens.pop(key)
                    held_by = fleet.nodes[holder].claimant
                    await held_by.finish(token, 200, HEADERS, body)
                    naive.finish(key, 200, HEADERS, body)
                case "abandon":
                    holder, token = tokens.pop(key)
                    await fleet.nodes[holder].claimant.abandon(token)
                    naive.abandon(key)
            await fleet.advance(0.1)
        fleet.stop()

    asyncio.run(run())
