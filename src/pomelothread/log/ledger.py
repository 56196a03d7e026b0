"""In-memory state of the keys of one claims topic."""

from collections.abc import Iterable

import msgspec

from .claim_records import (
    CLAIM_FORMAT,
    Abandoned,
    Carried,
    Claim,
    ClaimantId,
    ClaimBatch,
    Done,
    KeyState,
    Started,
    decode_record,
)
from .records import LogRecord


class KeyEntry(msgspec.Struct, gc=False):
    """State of one key.

    Not tracked by the garbage collector: with the keys of one day, a full
    collection would visit hundreds of thousands of entries.

    Attributes
    ----------
    body_digest : bytes
        Digest of the body that the claim was made for.
    holder : ClaimantId
        Author of the claim.
    attempt : int
        1 for the first claim; one more after each abandoned one.
    origin : int
        Offset of the claim.
    expires_at_ms : int
        When the key expires, by the log's clock.
    state : KeyState
        Claimed, abandoned or done.
    stored_at_ms : int
        When the newest record was appended from which the entry can be rebuilt
        without older ones.
    done_offset : int
        Offset of the newest record with the response; -1 if there is none.
    """

    body_digest: bytes
    holder: ClaimantId
    attempt: int
    origin: int
    expires_at_ms: int
    state: KeyState
    stored_at_ms: int
    done_offset: int = -1

    def is_open(self, attempt: int, holder: ClaimantId) -> bool:
        """Whether `attempt` of `holder` holds the key and has no outcome yet."""
        return (
            self.state is KeyState.CLAIMED
            and self.attempt == attempt
            and self.holder == holder
        )


class ClaimLedger:
    """State of all keys of a pool, built from the records of the log without I/O.

    Of several claims on a key the one with the highest attempt wins, and among
    those with the same attempt the one with the lowest offset. A claimant makes
    a higher attempt only after it has read that the lower one was abandoned.
    The rule does not depend on the order or number of copies, so a record that
    is appended twice or carried forward changes nothing.

    Expiry is decided by the time at which a record was appended, so all
    processes agree on whether a claim found the key expired.

    Attributes
    ----------
    entries : dict of bytes to KeyEntry
        Entries by the digest of organisation, service and key.
    now_ms : int
        When the last record was appended, by the log's clock.
    n_skipped : int
        Number of records that were skipped because they are malformed or of an
        unknown kind.
    has_newer_format : bool
        True once a record in a newer format has been read. The state is
        incomplete from then on, so no key may be claimed.

    Examples
    --------
    >>> ledger = ClaimLedger()
    >>> len(ledger.entries)
    0
    """

    __slots__ = (
        "_holders",
        "_latest_runs",
        "_superseded",
        "entries",
        "has_newer_format",
        "n_skipped",
        "now_ms",
    )

    def __init__(self) -> None:
        self.entries: dict[bytes, KeyEntry] = {}
        self.now_ms = 0
        self.n_skipped = 0
        self.has_newer_format = False
        # One object per claimant, shared by the many entries that it holds.
        self._holders: dict[ClaimantId, ClaimantId] = {}
        self._latest_runs: dict[str, ClaimantId] = {}
        self._superseded: set[ClaimantId] = set()

    def apply(self, record: LogRecord) -> list[bytes]:
        """Apply one record of the log.

        Parameters
        ----------
        record : LogRecord
            A record of the topic.

        Returns
        -------
        list of bytes
            Digests of the keys that the record refers to.
        """
        if record.value.get("format", CLAIM_FORMAT) > CLAIM_FORMAT:
            self.has_newer_format = True
            return []
        try:
            batch = msgspec.convert(record.value, ClaimBatch)
        except msgspec.ValidationError:
            self.n_skipped += 1
            return []
        author = self._intern(batch.author)
        self._record_run(author)
        now_ms = self.now_ms = round(record.appended_at.timestamp() * 1000)
        affected_digests = []
        for item in batch.entries:
            decoded = decode_record(item)
            match decoded:
                case Claim() as claim:
                    self._apply_claim(claim, author, record.offset, now_ms)
                case Abandoned() as abandoned:
                    self._apply_abandoned(abandoned, author)
                case Done() as done:
                    self._apply_done(done, author, record.offset, now_ms)
                case Carried() as carried:
                    self._apply_carried(carried, now_ms)
                case Started():
                    continue
                case None:
                    self.n_skipped += 1
                    continue
            affected_digests.append(decoded.key_digest)
        return affected_digests

    def get(self, key_digest: bytes, now_ms: int) -> KeyEntry | None:
        """Return the entry of a key; None if there is none or it has expired."""
        entry = self.entries.get(key_digest)
        if entry is None or entry.expires_at_ms <= now_ms:
            return None
        return entry

    def is_superseded(self, holder: ClaimantId) -> bool:
        """Whether a later run of the holder's instance has been seen."""
        if holder in self._superseded:
            return True
        latest = self._latest_runs.get(holder.instance)
        return latest is not None and _is_later(latest, holder)

    def expire(self, key_digests: Iterable[bytes], now_ms: int) -> None:
        """Delete the entries of those of the given keys that have expired."""
        for key_digest in key_digests:
            entry = self.entries.get(key_digest)
            if entry is not None and entry.expires_at_ms <= now_ms:
                del self.entries[key_digest]

    def _intern(self, holder: ClaimantId) -> ClaimantId:
        return self._holders.setdefault(holder, holder)

    def _record_run(self, author: ClaimantId) -> None:
        latest = self._latest_runs.get(author.instance)
        if latest is None or _is_later(author, latest):
            self._latest_runs[author.instance] = author

    def _entry_with_precedence(
        self, key_digest: bytes, attempt: int, origin: int, now_ms: int
    ) -> KeyEntry | None:
        """Return the entry that takes precedence over a claim, or None."""
        entry = self.get(key_digest, now_ms)
        if entry is None:
            return None
        if entry.state is KeyState.DONE:
            return entry
        if attempt > entry.attempt:
            return None
        if attempt == entry.attempt and origin < entry.origin:
            return None
        return entry

    def _apply_claim(
        self, claim: Claim, author: ClaimantId, offset: int, now_ms: int
    ) -> None:
        if self._entry_with_precedence(claim.key_digest, claim.attempt, offset, now_ms):
            return
        self.entries[claim.key_digest] = KeyEntry(
            claim.body_digest,
            author,
            claim.attempt,
            offset,
            now_ms + claim.life_ms,
            KeyState.CLAIMED,
            now_ms,
        )

    def _apply_abandoned(self, abandoned: Abandoned, author: ClaimantId) -> None:
        entry = self.entries.get(abandoned.key_digest)
        if entry is None or entry.state is not KeyState.CLAIMED:
            return
        if entry.holder is author and entry.attempt == abandoned.attempt:
            entry.state = KeyState.ABANDONED

    def _apply_done(
        self, done: Done, author: ClaimantId, offset: int, now_ms: int
    ) -> None:
        if done.expires_at_ms <= now_ms:
            return
        entry = self._entry_with_precedence(
            done.key_digest, done.attempt, done.origin, now_ms
        )
        if entry is None:
            self.entries[done.key_digest] = KeyEntry(
                done.body_digest,
                self._intern(done.holder or author),
                done.attempt,
                done.origin,
                done.expires_at_ms,
                KeyState.DONE,
                now_ms,
                offset,
            )
            return
        if (entry.attempt, entry.origin) == (done.attempt, done.origin):
            entry.state = KeyState.DONE
            entry.stored_at_ms = now_ms
            entry.done_offset = offset

    def _apply_carried(self, carried: Carried, now_ms: int) -> None:
        if carried.expires_at_ms <= now_ms:
            return
        if carried.holder_is_superseded:
            self._superseded.add(self._intern(carried.holder))
        state = KeyState.ABANDONED if carried.abandoned else KeyState.CLAIMED
        claim = (carried.attempt, carried.origin)
        entry = self._entry_with_precedence(carried.key_digest, *claim, now_ms)
        if entry is None:
            self.entries[carried.key_digest] = KeyEntry(
                carried.body_digest,
                self._intern(carried.holder),
                carried.attempt,
                carried.origin,
                carried.expires_at_ms,
                state,
                now_ms,
            )
            return
        if (entry.attempt, entry.origin) == claim and entry.state <= state:
            entry.state = state
            entry.stored_at_ms = now_ms


def _is_later(one: ClaimantId, other: ClaimantId) -> bool:
    return (one.started_at_ms, one.incarnation) > (
        other.started_at_ms,
        other.incarnation,
    )
