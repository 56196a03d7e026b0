"""Fold of the records of one claims topic."""

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
    """What is known of one key.

    Not tracked by the garbage collector: with the keys of a day a full
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
        When the key is forgotten, by the log's clock.
    state : KeyState
        Claimed, abandoned or done.
    stored_at_ms : int
        When the youngest record was appended that is complete without others.
    done_offset : int
        Offset of the youngest record with the response; -1 without one.
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
        """Whether `holder` has the key by `attempt`, and nothing came after."""
        return (
            self.state is KeyState.CLAIMED
            and self.attempt == attempt
            and self.holder == holder
        )


class ClaimLedger:
    """State of every key of a pool, folded from the log without any I/O.

    Among the claims on a key the one with the highest attempt wins, and among
    those of one attempt the one with the lowest offset. A higher attempt is
    only made by a claimant that has read that the lower one was abandoned.
    The rule does not depend on the order or number of copies, so a record that
    was appended twice, or carried forward, changes nothing.

    The time of each decision is that of the record's append, so all processes
    agree on which claim found an expired key.

    Attributes
    ----------
    entries : dict of bytes to KeyEntry
        By the digest of organisation, service and key.
    now_ms : int
        When the last record was appended, by the log's clock.
    n_unknown : int
        Records that were skipped because their kind is not known.
    has_newer_format : bool
        True once a record in a newer format was met. The fold is incomplete
        from there on, so nothing may be claimed by it.

    Examples
    --------
    >>> ledger = ClaimLedger()
    >>> len(ledger.entries)
    0
    """

    __slots__ = (
        "_gone",
        "_holders",
        "_latest",
        "entries",
        "has_newer_format",
        "n_unknown",
        "now_ms",
    )

    def __init__(self) -> None:
        self.entries: dict[bytes, KeyEntry] = {}
        self.now_ms = 0
        self.n_unknown = 0
        self.has_newer_format = False
        # One object for each claimant, since each holds many keys.
        self._holders: dict[ClaimantId, ClaimantId] = {}
        self._latest: dict[str, ClaimantId] = {}
        self._gone: set[ClaimantId] = set()

    def apply(self, record: LogRecord) -> list[bytes]:
        """Fold one record of the log.

        Parameters
        ----------
        record : LogRecord
            A record of the topic.

        Returns
        -------
        list of bytes
            Digests of the keys that the record concerns.
        """
        if record.value.get("format", CLAIM_FORMAT) > CLAIM_FORMAT:
            self.has_newer_format = True
            return []
        try:
            batch = msgspec.convert(record.value, ClaimBatch)
        except msgspec.ValidationError:
            self.n_unknown += 1
            return []
        author = self._intern(batch.author)
        self._note_author(author)
        now_ms = self.now_ms = round(record.appended_at.timestamp() * 1000)
        touched = []
        for item in batch.entries:
            decoded = decode_record(item)
            match decoded:
                case Claim() as claim:
                    self._fold_claim(claim, author, record.offset, now_ms)
                case Abandoned() as abandoned:
                    self._fold_abandoned(abandoned, author)
                case Done() as done:
                    self._fold_done(done, author, record.offset, now_ms)
                case Carried() as carried:
                    self._fold_carried(carried, now_ms)
                case Started():
                    continue
                case None:
                    self.n_unknown += 1
                    continue
            touched.append(decoded.key_digest)
        return touched

    def get(self, key_digest: bytes, now_ms: int) -> KeyEntry | None:
        """Return the entry of a key that has not expired."""
        entry = self.entries.get(key_digest)
        if entry is None or entry.expires_at_ms <= now_ms:
            return None
        return entry

    def is_replaced(self, holder: ClaimantId) -> bool:
        """Whether a later run of the holder's instance has been seen."""
        if holder in self._gone:
            return True
        latest = self._latest.get(holder.instance)
        return latest is not None and _is_later(latest, holder)

    def expire(self, key_digests: Iterable[bytes], now_ms: int) -> None:
        """Forget those of the given keys whose life has passed."""
        for key_digest in key_digests:
            entry = self.entries.get(key_digest)
            if entry is not None and entry.expires_at_ms <= now_ms:
                del self.entries[key_digest]

    def _intern(self, holder: ClaimantId) -> ClaimantId:
        return self._holders.setdefault(holder, holder)

    def _note_author(self, author: ClaimantId) -> None:
        latest = self._latest.get(author.instance)
        if latest is None or _is_later(author, latest):
            self._latest[author.instance] = author

    def _outranked(
        self, key_digest: bytes, attempt: int, origin: int, now_ms: int
    ) -> KeyEntry | None:
        """Return the entry that stands against a claim, if there is one."""
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

    def _fold_claim(
        self, claim: Claim, author: ClaimantId, offset: int, now_ms: int
    ) -> None:
        if self._outranked(claim.key_digest, claim.attempt, offset, now_ms):
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

    def _fold_abandoned(self, abandoned: Abandoned, author: ClaimantId) -> None:
        entry = self.entries.get(abandoned.key_digest)
        if entry is None or entry.state is not KeyState.CLAIMED:
            return
        if entry.holder is author and entry.attempt == abandoned.attempt:
            entry.state = KeyState.ABANDONED

    def _fold_done(
        self, done: Done, author: ClaimantId, offset: int, now_ms: int
    ) -> None:
        if done.expires_at_ms <= now_ms:
            return
        entry = self._outranked(done.key_digest, done.attempt, done.origin, now_ms)
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

    def _fold_carried(self, carried: Carried, now_ms: int) -> None:
        if carried.expires_at_ms <= now_ms:
            return
        if carried.holder_is_gone:
            self._gone.add(self._intern(carried.holder))
        state = KeyState.ABANDONED if carried.abandoned else KeyState.CLAIMED
        claim = (carried.attempt, carried.origin)
        entry = self._outranked(carried.key_digest, *claim, now_ms)
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
