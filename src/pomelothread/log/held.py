"""Keys that one claimant has claimed, and what it is doing with them."""

from .claim_records import ClaimantId, Done
from .claim_results import ClaimToken
from .ledger import KeyEntry


class HeldKeys:
    """Keys in hand, being finished and being abandoned.

    The ledger says who holds a key; only this says whether the holder acts on
    it. A claim of this claimant that is in none of the three was not
    confirmed in time and has not been dispatched.

    Parameters
    ----------
    holder : ClaimantId
        This claimant.

    Attributes
    ----------
    finishing : dict of bytes to Done
        Responses that were not read back yet.
    abandoning : dict of bytes to int
        Attempts for which ``abandoned`` was queued and not read back yet.
        They may be on the log already, so they are never dispatched.
    """

    __slots__ = ("_holder", "_in_hand", "abandoning", "finishing")

    def __init__(self, holder: ClaimantId) -> None:
        self._holder = holder
        self._in_hand: dict[bytes, ClaimToken] = {}
        self.finishing: dict[bytes, Done] = {}
        self.abandoning: dict[bytes, int] = {}

    def take(self, key_digest: bytes, entry: KeyEntry) -> ClaimToken:
        """Take a key in hand."""
        token = ClaimToken(
            key_digest,
            entry.body_digest,
            entry.attempt,
            entry.origin,
            entry.expires_at_ms,
        )
        self._in_hand[key_digest] = token
        return token

    def release(self, token: ClaimToken) -> None:
        """Take a key out of hand.

        Raises
        ------
        ValueError
            If it is not in hand: it would have been finished or abandoned
            twice.
        """
        if self._in_hand.get(token.key_digest) != token:
            raise ValueError(
                f"{token} is not in hand; finish or abandon each token once"
            )
        del self._in_hand[token.key_digest]

    def is_unheld(self, key_digest: bytes, entry: KeyEntry) -> bool:
        """Whether an own claim stands that was not dispatched, and is not."""
        return (
            entry.is_open(entry.attempt, self._holder)
            and key_digest not in self._in_hand
            and key_digest not in self.finishing
        )

    def note_read(self, key_digest: bytes, entry: KeyEntry | None) -> None:
        """Forget what the log has confirmed for a key."""
        done = self.finishing.get(key_digest)
        if done is not None and not self._is_open(entry, done.attempt):
            del self.finishing[key_digest]
        attempt = self.abandoning.get(key_digest)
        if attempt is not None and not self._is_open(entry, attempt):
            del self.abandoning[key_digest]

    def _is_open(self, entry: KeyEntry | None, attempt: int) -> bool:
        return entry is not None and entry.is_open(attempt, self._holder)
