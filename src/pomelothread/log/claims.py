"""Claims on the idempotency keys of orders: the agent's side."""

import asyncio
import random
import secrets
from collections.abc import Callable

from returns.result import Success

from ..clock import Clock
from .claim_records import (
    MAX_STORED_BODY_BYTES,
    Abandoned,
    Claim,
    ClaimantId,
    Done,
    KeyState,
    Started,
    claims_topic,
)
from .claim_results import (
    AlreadyDone,
    AlreadyRunning,
    ClaimAbandoned,
    Claimed,
    ClaimNotKnown,
    ClaimResult,
    ClaimToken,
    ClaimUnavailable,
    DoneUnreadable,
    KeyReused,
    LookupResult,
    NeverSeen,
)
from .claim_writer import CLAIM_BATCH_S, ClaimWriter, Keep, Outgoing
from .held import HeldKeys
from .keys import KEY_SKEW_S, body_digest, key_fault, scope_digest
from .ledger import ClaimLedger, KeyEntry
from .pending import PendingClaim, PendingClaims
from .records import LogClient, LogRecord
from .responses import StoredResponses, run_of
from .tail import LogTail
from .upkeep import ClaimUpkeep

__all__ = ["ClaimLedger", "Claimant"]

CONFIRM_TIMEOUT_S = 2.0
MIN_RETRY_AFTER_S = 1.0


class Claimant:
    """Claims keys on the log for one agent, and reports how orders ended.

    A claim counts once its record is read back and none with precedence was
    read before it. One that cannot be confirmed in time is never dispatched:
    if its record shows up later, `abandoned` is appended for it, or a new
    call with the same key and body takes it over.

    Parameters
    ----------
    client : LogClient
        The log; its timeout for appends should be at most `confirm_timeout_s`.
    pool : str
        Pool of the agent; the topic is ``claims.<pool>``.
    instance : str
        Name of the instance, which is the name of the slot. Claims of earlier
        runs in the slot are those of a claimant that is gone, so the slot's
        port must be bound before.
    clock : Clock
        Gives time and delays.
    retention_s : float or None, default=None
        Retention of the log in seconds; None if records are kept for ever.
    is_instance_live : callable, optional
        Says whether an instance may still run orders. By default an instance
        is taken as live until a later run of it is seen on the log.
    confirm_timeout_s : float, default=CONFIRM_TIMEOUT_S
        How long a claim may wait for its confirmation.
    batch_s : float, default=CLAIM_BATCH_S
        How long a claim waits for others to share its log record.
    rng : random.Random, optional
        Source of jitter.

    Attributes
    ----------
    ledger : ClaimLedger
        Fold of the topic.
    tail : LogTail
        Reader of the topic.
    n_unconfirmed : int
        Claims that were not confirmed in time.
    """

    def __init__(
        self,
        client: LogClient,
        pool: str,
        instance: str,
        clock: Clock,
        retention_s: float | None = None,
        is_instance_live: Callable[[str], bool] = lambda instance: True,
        confirm_timeout_s: float = CONFIRM_TIMEOUT_S,
        batch_s: float = CLAIM_BATCH_S,
        rng: random.Random | None = None,
    ) -> None:
        if confirm_timeout_s <= batch_s:
            raise ValueError(
                f"confirm_timeout_s={confirm_timeout_s} must be more than "
                f"batch_s={batch_s}, or no claim can be confirmed"
            )
        topic = claims_topic(pool)
        rng = rng or random.Random()
        self._clock = clock
        self._is_instance_live = is_instance_live
        self._confirm_timeout_s = confirm_timeout_s
        self._pending = PendingClaims(clock, confirm_timeout_s)
        self._is_flushing = False
        self.id = ClaimantId(instance, self._now_ms(), secrets.token_hex(8))
        self._held = HeldKeys(self.id)
        self._id_on_wire = [instance, self.id.started_at_ms, self.id.incarnation]
        self.n_unconfirmed = 0
        self.ledger = ClaimLedger()
        self.tail = LogTail(client, topic, clock, self._on_record, self._on_gap, rng)
        self._writer = ClaimWriter(client, topic, self.id, clock, rng, batch_s)
        self._responses = StoredResponses(client, topic)
        self._upkeep = ClaimUpkeep(
            self.ledger,
            self.tail,
            self._writer,
            self._responses,
            clock,
            rng,
            retention_s,
        )

    async def run(self) -> None:
        """Read and write the log until the task is cancelled."""
        self._writer.put(Outgoing(Started(), Keep.UNTIL_APPENDED))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.tail.run())
            tasks.create_task(self._writer.run())
            tasks.create_task(self._upkeep.run())
            tasks.create_task(self._pending.run())

    async def claim(
        self,
        key: str,
        body: bytes,
        service: str,
        organisation: str,
        key_life_s: float,
        dated_keys: bool = False,
    ) -> ClaimResult:
        """Claim the key of an order before it is dispatched.

        Parameters
        ----------
        key : str
            The caller's ``Idempotency-Key``.
        body : bytes
            Body of the order; only its digest leaves the process.
        service, organisation : str
            Scope of the key.
        key_life_s : float
            How long the key is kept, in seconds.
        dated_keys : bool, default=False
            Whether only UUIDv7 keys are taken.

        Returns
        -------
        ClaimResult
            The order may be dispatched only after `Claimed`.
        """
        if key_life_s <= 0:
            raise ValueError(f"key_life_s={key_life_s} must be positive")
        fault = key_fault(key, self._now_ms(), key_life_s, dated_keys)
        if fault is not None:
            return fault
        digest = scope_digest(organisation, service, key)
        if digest in self._pending:
            return AlreadyRunning()
        claim = Claim(
            digest,
            body_digest(body),
            service,
            organisation,
            1,
            round((key_life_s + KEY_SKEW_S) * 1000),
        )
        pending = self._pending.begin(digest)
        try:
            return await self._claim(claim, pending)
        finally:
            self._pending.end(digest)
            self._abandon_unheld(digest)

    async def finish(
        self,
        token: ClaimToken,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> asyncio.Future[None]:
        """Record the response to an order.

        Returns at once; the record is appended in the background until it is
        on the log, and answered from memory until then.

        Parameters
        ----------
        token : ClaimToken
            From `Claimed`.
        status : int
            HTTP status of the upstream.
        headers : tuple of (str, str)
            End-to-end headers of the response.
        body : bytes
            The whole body; not stored if it is over 16 KiB.

        Returns
        -------
        Future
            Done when the record is on the log.
        """
        self._held.release(token)
        is_too_large = len(body) > MAX_STORED_BODY_BYTES
        done = Done(
            token.key_digest,
            token.body_digest,
            token.attempt,
            token.origin,
            token.expires_at_ms,
            status,
            headers,
            b"" if is_too_large else body,
            is_too_large,
        )
        self._held.finishing[token.key_digest] = done
        self._responses.remember(done)
        outgoing = Outgoing(done, Keep.UNTIL_APPENDED)
        self._writer.put(outgoing)
        return outgoing.ended

    async def abandon(self, token: ClaimToken) -> None:
        """Record that an order was not dispatched, and never will be."""
        self._held.release(token)
        self._append_abandoned(token.key_digest, token.attempt)

    async def lookup(self, service: str, key: str, organisation: str) -> LookupResult:
        """Return what is known of an order."""
        digest = scope_digest(organisation, service, key)
        if digest in self._pending:
            return AlreadyRunning()
        entry = self.ledger.get(digest, self._now_ms())
        if entry is None:
            if not self.tail.is_caught_up or self.tail.failure is not None:
                return self._unavailable()
            return NeverSeen()
        match entry.state:
            case KeyState.ABANDONED:
                return ClaimAbandoned()
            case KeyState.CLAIMED if self._held.abandoning.get(digest) == entry.attempt:
                return ClaimAbandoned()
            case KeyState.CLAIMED if digest not in self._held.finishing:
                return self._state_of_claim(entry)
            case _:
                return await self._replay(digest, entry)

    async def flush(self) -> None:
        """Refuse further claims, and wait until all records are on the log."""
        self._is_flushing = True
        await self._writer.wait_appended()

    async def _claim(self, claim: Claim, pending: PendingClaim) -> ClaimResult:
        digest = claim.key_digest
        entry = self.ledger.get(digest, self._now_ms())
        while True:
            attempt = None
            if entry is None:
                attempt = 1
            elif entry.state is KeyState.ABANDONED:
                attempt = entry.attempt + 1
            elif not self._held.is_unheld(digest, entry):
                return await self._result_of(claim, entry)
            elif digest not in self._held.abandoning:
                if entry.body_digest == claim.body_digest:
                    return Claimed(self._held.take(digest, entry))
                # An earlier attempt of this claimant, for another body.
                self._append_abandoned(digest, entry.attempt)
            if attempt is not None and not self._propose(claim, attempt, pending):
                return self._unavailable()
            pending.woken.clear()
            await pending.woken.wait()
            # A process that was paused runs its timers late and in any order.
            if pending.is_failed or self._pending.is_late(pending):
                self.n_unconfirmed += 1
                return self._unavailable()
            entry = self.ledger.get(digest, self.ledger.now_ms)

    def _propose(self, claim: Claim, attempt: int, pending: PendingClaim) -> bool:
        """Queue the claim's record unless it is on its way already."""
        match pending.outgoing:
            case Outgoing(record=Claim(attempt=proposed)) if proposed == attempt:
                return True
        if not self._can_claim():
            return False
        pending.drop_record()
        record = Claim(
            claim.key_digest,
            claim.body_digest,
            claim.service,
            claim.organisation,
            attempt,
            claim.life_ms,
        )
        pending.outgoing = Outgoing(record, Keep.ONCE, pending.fail)
        self._writer.put(pending.outgoing)
        return True

    def _can_claim(self) -> bool:
        return (
            self.tail.is_caught_up
            and self.tail.failure is None
            and self._writer.delay_left_s == 0.0
            and self._writer.busy_s < self._confirm_timeout_s
            and not self.ledger.has_newer_format
            and not self._is_flushing
        )

    async def _result_of(self, claim: Claim, entry: KeyEntry) -> ClaimResult:
        if entry.body_digest != claim.body_digest:
            return KeyReused()
        if entry.state is KeyState.DONE or claim.key_digest in self._held.finishing:
            return await self._replay(claim.key_digest, entry)
        return self._state_of_claim(entry)

    def _state_of_claim(self, entry: KeyEntry) -> AlreadyRunning | ClaimNotKnown:
        if entry.holder == self.id:
            return AlreadyRunning()
        instance = entry.holder.instance
        if instance == self.id.instance or self.ledger.is_replaced(entry.holder):
            return ClaimNotKnown()
        if not self._is_instance_live(instance):
            return ClaimNotKnown()
        return AlreadyRunning()

    async def _replay(
        self, digest: bytes, entry: KeyEntry
    ) -> AlreadyDone | DoneUnreadable:
        if (done := self._held.finishing.get(digest)) is not None:
            return AlreadyDone(run_of(done), done.body_omitted)
        match await self._responses.fetch(digest, entry):
            case Success(done):
                return AlreadyDone(run_of(done), done.body_omitted)
            case _:
                return DoneUnreadable(self._unavailable().retry_after_s)

    def _unavailable(self) -> ClaimUnavailable:
        return ClaimUnavailable(
            max(MIN_RETRY_AFTER_S, self._writer.delay_left_s), self.tail.is_caught_up
        )

    def _abandon_unheld(self, digest: bytes) -> None:
        entry = self.ledger.entries.get(digest)
        if entry is None or digest in self._pending or digest in self._held.abandoning:
            return
        if self._held.is_unheld(digest, entry):
            self._append_abandoned(digest, entry.attempt)

    def _append_abandoned(self, digest: bytes, attempt: int) -> None:
        self._held.abandoning[digest] = attempt
        self._writer.put(Outgoing(Abandoned(digest, attempt), Keep.UNTIL_APPENDED))

    def _on_record(self, record: LogRecord) -> None:
        touched = self.ledger.apply(record)
        if record.value.get("author") == self._id_on_wire:
            self._writer.note_read_back(record.value.get("sequence", 0))
        for digest in touched:
            self._note_touched(digest, self.ledger.entries.get(digest))

    def _note_touched(self, digest: bytes, entry: KeyEntry | None) -> None:
        self._held.note_read(digest, entry)
        if digest in self._pending:
            self._pending.wake(digest)
        else:
            self._abandon_unheld(digest)

    def _on_gap(self, n_expired: int) -> None:
        # A claim with precedence may have been among the records that were
        # not read, so no claim that is under way can be confirmed.
        self._pending.fail_all()
        # These may have been among them, and a claim is not taken over before
        # they are read back.
        for digest, attempt in self._held.abandoning.items():
            self._append_abandoned(digest, attempt)

    def _now_ms(self) -> int:
        return round(self._clock.now().timestamp() * 1000)
