"""Claims idempotency keys of orders on the log, for an agent."""

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
    ClaimOutcomeUnknown,
    ClaimResult,
    ClaimToken,
    ClaimUnavailable,
    KeyReused,
    KeyUnclaimed,
    LookupResult,
    ResponseUnavailable,
)
from .claim_writer import CLAIM_BATCH_S, ClaimWriter, QueuedRecord, RetryPolicy
from .held import HeldKeys
from .keys import MAX_CLOCK_SKEW_S, body_digest, check_key, scope_digest
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
    """Claims keys on the log for one agent and records the outcomes of orders.

    A claim is confirmed when its record has been read back and no claim with
    precedence was read before it. A call whose claim is not confirmed in time
    never dispatches its order. If the record of the claim appears on the log
    later, an `Abandoned` record is appended for it, or a new call with the same
    key and body takes the claim over.

    Parameters
    ----------
    client : LogClient
        The log; its timeout for appends should be at most `confirm_timeout_s`.
    pool : str
        Pool of the agent; the topic is ``claims.<pool>``.
    instance : str
        Name of the instance, the same in each of its runs. Earlier runs are
        assumed to have ended. Bind the instance's port first: this ensures that no
        earlier run is still alive.
    clock : Clock
        Clock for timestamps and delays.
    retention_s : float or None, default=None
        Retention of the log in seconds; None if records are never deleted.
    is_instance_live : callable, optional
        Whether an instance may still run orders. By default a run of an
        instance counts as live until a later run is seen on the log.
    confirm_timeout_s : float, default=CONFIRM_TIMEOUT_S
        How long a claim may wait for its confirmation, in seconds.
    batch_s : float, default=CLAIM_BATCH_S
        How long a claim waits for others to share its log record, in seconds.
    rng : random.Random, optional
        Source of jitter.

    Attributes
    ----------
    ledger : ClaimLedger
        State of all keys of the topic.
    tail : LogTail
        Reader of the topic.
    n_unconfirmed : int
        Number of claims that were not confirmed in time, whose append failed, or
        that were pending when records were deleted unread.
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
        self._encoded_id = [instance, self.id.started_at_ms, self.id.incarnation]
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
        self._writer.put(QueuedRecord(Started(), RetryPolicy.UNTIL_APPENDED))
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
            Lifetime of the key in seconds.
        dated_keys : bool, default=False
            Whether only UUIDv7 keys are accepted.

        Returns
        -------
        ClaimResult
            The order may be dispatched only after `Claimed`.
        """
        if key_life_s <= 0:
            raise ValueError(f"key_life_s={key_life_s} must be positive")
        rejection = check_key(key, self._now_ms(), key_life_s, dated_keys)
        if rejection is not None:
            return rejection
        digest = scope_digest(organisation, service, key)
        if digest in self._pending:
            return AlreadyRunning()
        claim = Claim(
            digest,
            body_digest(body),
            service,
            organisation,
            1,
            round((key_life_s + MAX_CLOCK_SKEW_S) * 1000),
        )
        pending = self._pending.add(digest)
        try:
            return await self._claim(claim, pending)
        finally:
            self._pending.remove(digest)
            self._abandon_undispatched(digest)

    async def finish(
        self,
        token: ClaimToken,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> asyncio.Future[None]:
        """Record the response to an order.

        Does not wait for the append, which is retried in the background until it
        succeeds; to wait for it, await the returned future. Until the record is read
        back, the response is held in memory.

        Parameters
        ----------
        token : ClaimToken
            From `Claimed`.
        status : int
            HTTP status of the response.
        headers : tuple of (str, str)
            End-to-end headers of the response.
        body : bytes
            The whole body; not stored if it is larger than 16 KiB.

        Returns
        -------
        Future
            Done when the record is on the log.
        """
        self._held.consume_token(token)
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
        self._responses.cache(done)
        queued = QueuedRecord(done, RetryPolicy.UNTIL_APPENDED)
        self._writer.put(queued)
        return queued.completion

    async def abandon(self, token: ClaimToken) -> None:
        """Record that an order was not dispatched and never will be."""
        self._held.consume_token(token)
        self._append_abandoned(token.key_digest, token.attempt)

    async def lookup(self, service: str, key: str, organisation: str) -> LookupResult:
        """Return the state of the order with this key."""
        digest = scope_digest(organisation, service, key)
        if digest in self._pending:
            return AlreadyRunning()
        entry = self.ledger.get(digest, self._now_ms())
        if entry is None:
            if not self.tail.is_caught_up or self.tail.failure is not None:
                return self._unavailable()
            return KeyUnclaimed()
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
        """Refuse new claims and wait until all queued outcomes are on the log."""
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
            elif not self._held.is_undispatched(digest, entry):
                return await self._result_of(claim, entry)
            elif digest not in self._held.abandoning:
                if entry.body_digest == claim.body_digest:
                    return Claimed(self._held.issue_token(digest, entry))
                # An undispatched claim of this claimant, for another body.
                self._append_abandoned(digest, entry.attempt)
            if attempt is not None and not self._queue_claim(claim, attempt, pending):
                return self._unavailable()
            pending.wake_event.clear()
            await pending.wake_event.wait()
            # After a pause of the process, timers run late and in any order, so
            # the task that watches the limit may not have run yet.
            if pending.is_failed or self._pending.has_timed_out(pending):
                self.n_unconfirmed += 1
                return self._unavailable()
            entry = self.ledger.get(digest, self.ledger.now_ms)

    def _queue_claim(self, claim: Claim, attempt: int, pending: PendingClaim) -> bool:
        """Queue a record for this attempt unless one is queued already."""
        match pending.queued:
            case QueuedRecord(record=Claim(attempt=queued_attempt)) if (
                queued_attempt == attempt
            ):
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
        pending.queued = QueuedRecord(record, RetryPolicy.ONCE, pending.fail)
        self._writer.put(pending.queued)
        return True

    def _can_claim(self) -> bool:
        return (
            self.tail.is_caught_up
            and self.tail.failure is None
            and self._writer.backoff_left_s == 0.0
            and self._writer.append_age_s < self._confirm_timeout_s
            and not self.ledger.has_newer_format
            and not self._is_flushing
        )

    async def _result_of(self, claim: Claim, entry: KeyEntry) -> ClaimResult:
        if entry.body_digest != claim.body_digest:
            return KeyReused()
        if entry.state is KeyState.DONE or claim.key_digest in self._held.finishing:
            return await self._replay(claim.key_digest, entry)
        return self._state_of_claim(entry)

    def _state_of_claim(self, entry: KeyEntry) -> AlreadyRunning | ClaimOutcomeUnknown:
        if entry.holder == self.id:
            return AlreadyRunning()
        instance = entry.holder.instance
        if instance == self.id.instance or self.ledger.is_superseded(entry.holder):
            return ClaimOutcomeUnknown()
        if not self._is_instance_live(instance):
            return ClaimOutcomeUnknown()
        return AlreadyRunning()

    async def _replay(
        self, digest: bytes, entry: KeyEntry
    ) -> AlreadyDone | ResponseUnavailable:
        if (done := self._held.finishing.get(digest)) is not None:
            return AlreadyDone(run_of(done), done.body_omitted)
        match await self._responses.fetch(digest, entry):
            case Success(done):
                return AlreadyDone(run_of(done), done.body_omitted)
            case _:
                return ResponseUnavailable(self._unavailable().retry_after_s)

    def _unavailable(self) -> ClaimUnavailable:
        return ClaimUnavailable(
            max(MIN_RETRY_AFTER_S, self._writer.backoff_left_s), self.tail.is_caught_up
        )

    def _abandon_undispatched(self, digest: bytes) -> None:
        entry = self.ledger.entries.get(digest)
        if entry is None or digest in self._pending or digest in self._held.abandoning:
            return
        if self._held.is_undispatched(digest, entry):
            self._append_abandoned(digest, entry.attempt)

    def _append_abandoned(self, digest: bytes, attempt: int) -> None:
        self._held.abandoning[digest] = attempt
        self._writer.put(
            QueuedRecord(Abandoned(digest, attempt), RetryPolicy.UNTIL_APPENDED)
        )

    def _on_record(self, record: LogRecord) -> None:
        affected_digests = self.ledger.apply(record)
        if record.value.get("author") == self._encoded_id:
            self._writer.on_batch_read(record.value.get("sequence", 0))
        for digest in affected_digests:
            self._on_affected_key(digest, self.ledger.entries.get(digest))

    def _on_affected_key(self, digest: bytes, entry: KeyEntry | None) -> None:
        self._held.discard_confirmed(digest, entry)
        if digest in self._pending:
            self._pending.wake(digest)
        else:
            self._abandon_undispatched(digest)

    def _on_gap(self, n_expired: int) -> None:
        # The records deleted unread may include a claim with precedence, so no
        # pending claim can be confirmed.
        self._pending.fail_all()
        # The deleted records may also include `Abandoned` records of this claimant.
        # They are appended again, because this claimant cannot claim their keys
        # before it has read them back.
        for digest, attempt in self._held.abandoning.items():
            self._append_abandoned(digest, attempt)

    def _now_ms(self) -> int:
        return round(self._clock.now().timestamp() * 1000)
