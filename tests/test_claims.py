"""Claims under each single fault and each pair of faults."""

import asyncio
import itertools
import uuid
from datetime import UTC, datetime

import pytest
from claims_rig import HEADERS, KEY_LIFE_S, RETENTION_S, TOPIC, Fleet, run_fleet

from pomelothread.log import claim_results as results
from pomelothread.log.claim_records import (
    Carried,
    Claim,
    ClaimantId,
    Done,
    KeyState,
    encode_batch,
)
from pomelothread.log.claim_results import AlreadyDone, Claimed, ClaimUnavailable
from pomelothread.log.claim_writer import CLAIM_BATCH_S
from pomelothread.log.claims import ClaimLedger
from pomelothread.log.records import LogRecord
from pomelothread.outcomes import Run

KEY = "order-17"
BODY = b"10 maps"


class Fault:
    """A fault during one claim by node "a"; this base class injects nothing.

    `begin` is called before the claim starts, `during` one batch delay later. The
    order has been dispatched and finished by then unless a fault from `begin` delays
    or prevents it.
    """

    def begin(self, fleet: Fleet) -> None: ...

    async def during(self, fleet: Fleet) -> None: ...


def log_fault_type(name: str, **fields: object) -> type[Fault]:
    """Return a fault type that sets these fields of `MemoryFaults` in `begin`."""

    def begin(self: Fault, fleet: Fleet) -> None:
        for field, value in fields.items():
            setattr(fleet.log.faults, field, value)

    return type(name, (Fault,), {"begin": begin})


class DownAfterAppend(Fault):
    async def during(self, fleet: Fleet) -> None:
        fleet.log.faults.down = True


class Race(Fault):
    def begin(self, fleet: Fleet) -> None:
        fleet.begin_claim("b", KEY, BODY)


class OtherBody(Fault):
    async def during(self, fleet: Fleet) -> None:
        fleet.begin_claim("a", KEY, b"20 maps")
        fleet.begin_claim("b", KEY, b"20 maps")


class Replaced(Fault):
    async def during(self, fleet: Fleet) -> None:
        fleet.start("a")


class PausedBeforeConfirmation(Fault):
    async def during(self, fleet: Fleet) -> None:
        fleet.nodes["a"].process.running.clear()


class PausedBeyondRetention(PausedBeforeConfirmation):
    """Node "b" carries the claims forward during the pause."""

    async def during(self, fleet: Fleet) -> None:
        await super().during(fleet)
        fleet.log.faults.retention_s = RETENTION_S
        await fleet.advance(RETENTION_S * 1.5, 48)


FAULTS = (
    log_fault_type("AnswerLost", n_lost_answers=1),
    log_fault_type("RequestLost", n_lost_requests=1),
    log_fault_type("AppendIsLate", n_late_appends=4),
    log_fault_type("Refused", refuse_appends=True),
    log_fault_type("Down", down=True),
    log_fault_type("Slow", delay_s=2.5, delay_answer_s=4.0),
    DownAfterAppend,
    Race,
    OtherBody,
    Replaced,
    PausedBeforeConfirmation,
    PausedBeyondRetention,
)
FAULT_COMBINATIONS = [(one,) for one in FAULTS] + list(
    itertools.combinations(FAULTS, 2)
)


def combination_id(faults: tuple[type[Fault], ...]) -> str:
    return "+".join(fault.__name__ for fault in faults)


@pytest.mark.parametrize("fault_types", FAULT_COMBINATIONS, ids=combination_id)
def test_an_order_runs_once_and_stays_findable(fault_types) -> None:
    """Guards against a second dispatch and against a lost response."""
    faults = [fault_type() for fault_type in fault_types]

    async def scenario(fleet: Fleet) -> None:
        for fault in faults:
            fault.begin(fleet)
        fleet.begin_claim("a", KEY, BODY)
        await fleet.advance(0.02, 1)
        for fault in faults:
            await fault.during(fleet)
        await fleet.advance(3.0)
        fleet.heal()
        await fleet.advance(12.0)
        for name in "abab":
            await fleet.claim(name, KEY, BODY)
            await fleet.advance(6.0)
        fleet.start("c")
        await fleet.advance(1.0)
        found = [await fleet.lookup(name, KEY) for name in "abc"]
        assert fleet.n_dispatched[KEY] <= 1
        assert len(set(found)) == 1
        match found[0]:
            case AlreadyDone(Run(status, headers, body, replayed)):
                expected = (201, HEADERS, fleet.finished[KEY], True)
                assert (status, headers, body, replayed) == expected
            case results.ClaimOutcomeUnknown():
                assert Replaced in fault_types
            case other:
                raise AssertionError(other)

    run_fleet(scenario, "a", "b")


def test_orders_are_refused_at_once_while_the_log_is_down() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.log.faults.down = True
        began_s = fleet.clock.monotonic_s()
        assert isinstance(await fleet.claim("a", "first"), ClaimUnavailable)
        assert fleet.clock.monotonic_s() <= began_s + 2 * CLAIM_BATCH_S
        task = fleet.begin_claim("a", "second", BODY)
        await fleet.settle()  # the clock does not move
        assert isinstance(task.result(), ClaimUnavailable)
        fleet.log.faults.down = False
        await fleet.advance(20.0)
        assert isinstance(await fleet.claim("a", "second"), Claimed)

    run_fleet(scenario, "a")


def test_an_unconfirmed_claim_is_abandoned_when_it_shows_up() -> None:
    """Guards against a key that stays blocked by a claim that is never dispatched."""

    async def scenario(fleet: Fleet) -> None:
        fleet.log.faults.n_late_appends = 100
        assert isinstance(await fleet.claim("a", KEY), ClaimUnavailable)
        fleet.log.faults.n_late_appends = 0
        await fleet.advance(6.0)
        fleet.log.deliver_late_appends()
        await fleet.advance(0.1)
        assert await fleet.lookup("b", KEY) == results.ClaimAbandoned()
        assert isinstance(await fleet.claim("b", KEY), Claimed)

    run_fleet(scenario, "a", "b")


def test_a_retry_takes_over_the_unconfirmed_claim_of_the_same_claimant() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.log.faults.n_late_appends = 100
        assert isinstance(await fleet.claim("a", KEY), ClaimUnavailable)
        await fleet.advance(6.0)
        retry = fleet.begin_claim("a", KEY, BODY)
        await fleet.settle()
        fleet.log.deliver_late_appends()
        await fleet.settle()
        assert isinstance(retry.result(), Claimed)

    run_fleet(scenario, "a")


def test_a_claim_is_not_taken_over_once_its_abandonment_may_be_on_the_log() -> None:
    """Guards against a dispatch after an `Abandoned` record has freed the key.

    Another claimant may then claim the key and dispatch the order as well.
    """

    async def scenario(fleet: Fleet) -> None:
        fleet.log.faults.n_late_appends = 100
        await fleet.claim("a", KEY)
        await fleet.advance(6.0)
        fleet.log.deliver_late_appends()
        await fleet.advance(0.05)  # the append of the Abandoned record is late as well
        assert not isinstance(await fleet.claim("a", KEY), Claimed)
        fleet.log.faults.n_late_appends = 0
        fleet.log.deliver_late_appends()
        await fleet.advance(6.0)
        assert isinstance(await fleet.claim("b", KEY), Claimed)
        await fleet.claim("a", KEY)
        assert fleet.n_dispatched[KEY] == 1

    run_fleet(scenario, "a", "b")


def test_a_record_read_back_too_late_confirms_nothing() -> None:
    """Guards against a claim confirmed after its deadline.

    A process that resumes after a pause may read the record back before the
    timer of the deadline runs.
    """

    async def scenario(fleet: Fleet) -> None:
        process = fleet.nodes["a"].process
        task = fleet.begin_claim("a", KEY, BODY)
        process.reads.clear()
        await fleet.advance(0.05)
        process.timers.clear()
        await fleet.advance(60.0)
        process.reads.set()
        await fleet.settle()
        assert isinstance(task.result(), ClaimUnavailable)
        process.timers.set()
        await fleet.advance(0.1)
        assert await fleet.lookup("b", KEY) == results.ClaimAbandoned()

    run_fleet(scenario, "a", "b")


def test_a_gap_in_the_records_confirms_nothing() -> None:
    """Guards against a second dispatch after a claim was deleted unread.

    The deleted claim had precedence over the one that waits for confirmation.
    """

    async def scenario(fleet: Fleet) -> None:
        process = fleet.nodes["a"].process
        process.reads.clear()
        await fleet.claim("b", KEY)
        ((key, entry),) = fleet.nodes["b"].claimant.ledger.entries.items()
        rival = fleet.begin_claim("a", KEY, BODY)
        await fleet.advance(0.05)
        claim = (entry.body_digest, entry.holder, entry.attempt, entry.origin)
        carried = Carried(key, *claim, entry.expires_at_ms, abandoned=False)
        author = fleet.nodes["b"].claimant.id
        await fleet.log.append(TOPIC, encode_batch(author, 99, [carried]))
        fleet.log.expire_before(TOPIC, len(fleet.log.values(TOPIC)) - 2)
        process.reads.set()
        await fleet.settle()
        assert isinstance(rival.result(), ClaimUnavailable)
        await fleet.advance(6.0)
        assert await fleet.claim("a", KEY) == results.AlreadyRunning()
        assert fleet.n_dispatched[KEY] == 1

    run_fleet(scenario, "a", "b")


def test_an_abandonment_lost_in_a_gap_is_appended_again() -> None:
    """Guards against a key that one claimant can never claim again.

    It waits for its `Abandoned` record, which was deleted before it was read back.
    """

    async def scenario(fleet: Fleet) -> None:
        process = fleet.nodes["a"].process
        task = fleet.begin_claim("a", KEY, BODY, dispatch=False)
        await fleet.advance(0.1)
        await fleet.nodes["a"].claimant.abandon(task.result().token)
        process.reads.clear()
        await fleet.advance(0.1)
        fleet.log.expire_before(TOPIC, len(fleet.log.values(TOPIC)))
        await fleet.log.append(TOPIC, {"author": 3})
        process.reads.set()
        await fleet.advance(0.1)
        assert isinstance(await fleet.claim("a", KEY), Claimed)

    run_fleet(scenario, "a")


def test_nothing_is_claimed_before_the_log_was_read_to_its_end() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.start("c").process.reads.clear()
        n_before = fleet.log.n_appends
        task = fleet.begin_claim("c", KEY, BODY)
        await fleet.settle()
        assert isinstance(task.result(), ClaimUnavailable)
        assert fleet.log.n_appends == n_before

    run_fleet(scenario, "a")


def test_a_response_on_the_log_is_final() -> None:
    """Guards against a finished key that a later claim makes claimable again."""
    author = ClaimantId("a", 0, "1")
    claim = Claim(b"k", b"x", "print", "club", 1, 60_000)
    done = Done(b"k", b"x", 1, 0, 2_000_000_000_000, 200, (), b"ran")
    again = Claim(b"k", b"x", "print", "club", 2, 60_000)
    ledger = ClaimLedger()
    at = datetime(2026, 3, 1, tzinfo=UTC)
    for offset, record in enumerate((claim, done, again, claim)):
        value = encode_batch(author, offset, [record])
        ledger.apply(LogRecord(TOPIC, offset, at, value))
    entry = ledger.entries[b"k"]
    assert (entry.state, entry.origin, entry.done_offset) == (KeyState.DONE, 0, 1)


def test_responses_are_findable_while_the_log_refuses_them() -> None:
    async def scenario(fleet: Fleet) -> None:
        task = fleet.begin_claim("a", KEY, BODY, dispatch=False)
        await fleet.advance(0.1)
        fleet.log.faults.down = True
        claimant = fleet.nodes["a"].claimant
        await claimant.finish(task.result().token, 201, HEADERS, b"ran")
        await fleet.advance(30.0)
        done = AlreadyDone(Run(201, HEADERS, b"ran", replayed=True))
        assert await fleet.lookup("a", KEY) == done
        assert await fleet.claim("a", KEY) == done
        flushing = asyncio.ensure_future(claimant.flush())
        await fleet.advance(30.0)
        assert not flushing.done()
        fleet.log.faults.down = False
        await fleet.advance(10.0)
        assert flushing.done()
        assert await fleet.lookup("b", KEY) == done

    run_fleet(scenario, "a", "b")


def test_claims_made_together_share_one_log_record() -> None:
    async def scenario(fleet: Fleet) -> None:
        n_before = fleet.log.n_appends
        tasks = [fleet.begin_claim("a", f"k{n}", BODY, False) for n in range(100)]
        await fleet.advance(0.05)
        assert all(isinstance(task.result(), Claimed) for task in tasks)
        assert fleet.log.n_appends == n_before + 1

    run_fleet(scenario, "a")


def test_a_claim_of_a_claimant_that_is_gone_is_not_known() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.begin_claim("a", KEY, BODY, dispatch=False)
        await fleet.advance(0.1)
        assert await fleet.claim("b", KEY) == results.AlreadyRunning()
        assert await fleet.claim("b", KEY, b"20 maps") == results.KeyReused()
        fleet.start("a")
        await fleet.advance(0.1)
        for name in "ab":
            assert await fleet.claim(name, KEY) == results.ClaimOutcomeUnknown()

    run_fleet(scenario, "a", "b")


def test_a_claimant_that_is_gone_stays_so_after_retention() -> None:
    """Guards against a claim that new readers report as running indefinitely.

    Retention deletes the record that shows that the claimant has ended.
    """

    async def scenario(fleet: Fleet) -> None:
        fleet.log.faults.retention_s = RETENTION_S
        fleet.begin_claim("a", KEY, BODY, dispatch=False)
        await fleet.advance(0.1)
        fleet.start("a")
        await fleet.advance(RETENTION_S * 2.5, 80)
        fleet.start("c")
        await fleet.advance(1.0)
        for name in "abc":
            assert await fleet.lookup(name, KEY) == results.ClaimOutcomeUnknown()

    run_fleet(scenario, "a", "b")


def test_keys_survive_several_retentions_and_then_expire() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.log.faults.retention_s = RETENTION_S
        await fleet.claim("a", "done")
        fleet.begin_claim("a", "running", BODY, dispatch=False)
        task = fleet.begin_claim("a", "abandoned", BODY, dispatch=False)
        await fleet.advance(0.1)
        await fleet.nodes["a"].claimant.abandon(task.result().token)
        await fleet.advance(RETENTION_S * 4, 128)
        fleet.start("c")
        await fleet.advance(1.0)
        assert isinstance(await fleet.lookup("c", "done"), AlreadyDone)
        assert await fleet.lookup("c", "running") == results.AlreadyRunning()
        assert await fleet.lookup("c", "abandoned") == results.ClaimAbandoned()
        assert isinstance(await fleet.claim("c", "abandoned"), Claimed)
        await fleet.advance(KEY_LIFE_S + 600, 1000)
        assert await fleet.lookup("c", "done") == results.KeyUnclaimed()
        assert len(fleet.nodes["c"].claimant.ledger.entries) == 0

    run_fleet(scenario, "a", "b")


def test_nothing_is_claimed_after_a_record_in_a_newer_format() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.log.append(TOPIC, {"format": 2, "claims": []})
        await fleet.settle()
        assert isinstance(await fleet.claim("a", KEY), ClaimUnavailable)

    run_fleet(scenario, "a")


def test_malformed_records_and_unknown_kinds_are_counted_and_skipped() -> None:
    async def scenario(fleet: Fleet) -> None:
        author = ["x", 0, "1"]
        entries = [["new-kind", 1], 7, ["claim", "!"], ["started"]]
        value = {"author": author, "sequence": 1, "entries": entries}
        await fleet.log.append(TOPIC, value)
        await fleet.log.append(TOPIC, {"author": 3})
        await fleet.settle()
        assert fleet.nodes["a"].claimant.ledger.n_skipped == 4
        assert isinstance(await fleet.claim("a", KEY), Claimed)

    run_fleet(scenario, "a")


def uuid7_at(seconds_from_now: float) -> str:
    now_s = datetime(2026, 3, 1, tzinfo=UTC).timestamp() + seconds_from_now
    return str(uuid.UUID(f"{round(now_s * 1000):012x}70008" + "0" * 15))


@pytest.mark.parametrize(
    ("key", "dated_keys", "expected"),
    [
        (uuid7_at(0), True, Claimed),
        (uuid7_at(-KEY_LIFE_S + 60), True, Claimed),
        (uuid7_at(-KEY_LIFE_S - 60), True, results.KeyExpired),
        (uuid7_at(-KEY_LIFE_S - 60), False, results.KeyExpired),
        (uuid7_at(3600), True, results.KeyNotDated),
        ("order-17", True, results.KeyNotDated),
        ("order-17", False, Claimed),
    ],
)
def test_dates_of_keys(key, dated_keys, expected) -> None:
    async def scenario(fleet: Fleet) -> None:
        claimant = fleet.nodes["a"].claimant
        claiming = asyncio.ensure_future(
            claimant.claim(key, BODY, "print", "club", KEY_LIFE_S, dated_keys)
        )
        await fleet.advance(0.1)
        assert isinstance(claiming.result(), expected)

    run_fleet(scenario, "a")


@pytest.mark.parametrize("size_bytes", [0, 16 * 1024, 16 * 1024 + 1])
def test_large_bodies_are_left_out_of_the_log(size_bytes: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        task = fleet.begin_claim("a", KEY, BODY, dispatch=False)
        await fleet.advance(0.1)
        body = b"x" * size_bytes
        await fleet.nodes["a"].claimant.finish(task.result().token, 200, (), body)
        await fleet.advance(0.1)
        is_stored = size_bytes <= 16 * 1024
        run = Run(200, (), body if is_stored else b"", replayed=True)
        assert await fleet.lookup("b", KEY) == AlreadyDone(run, not is_stored)

    run_fleet(scenario, "a", "b")


def test_no_key_and_no_body_is_on_the_log() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.begin_claim("a", "secret-key", b"secret-body", dispatch=False)
        await fleet.advance(0.1)
        assert "secret" not in str(fleet.log.values(TOPIC))

    run_fleet(scenario, "a")
