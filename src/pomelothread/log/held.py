"""Keys that one claimant holds, and the outcomes that it is recording."""

from .claim_records import ClaimantId, Done
from .claim_results import ClaimToken
from .ledger import KeyEntry


class HeldKeys:
    """Keys of one claimant with an issued token, or with an outcome to be appended.

    The ledger knows which claimant holds a key, but not whether the claimant
    acts on it. A claim of this claimant that has no issued token and no outcome
    here was not confirmed in time and has not been dispatched.

    Parameters
    ----------
    holder : ClaimantId
        This claimant.

    Attributes
    ----------
    finishing : dict of bytes to Done
        Responses that have not been read back from the log yet.
    abandoning : dict of bytes to int
        Attempts whose `Abandoned` record is queued but not read back yet. It
        may be on the log already, so these attempts are never dispatched.
    """

    __slots__ = ("_holder", "_issued_tokens", "abandoning", "finishing")

    def __init__(self, holder: ClaimantId) -> None:
        self._holder = holder
        self._issued_tokens: dict[bytes, ClaimToken] = {}
        self.finishing: dict[bytes, Done] = {}
        self.abandoning: dict[bytes, int] = {}

    def issue_token(self, key_digest: bytes, entry: KeyEntry) -> ClaimToken:
        """Issue the token for a claim of this claimant."""
        token = ClaimToken(
            key_digest,
            entry.body_digest,
            entry.attempt,
            entry.origin,
            entry.expires_at_ms,
        )
        self._issued_tokens[key_digest] = token
        return token

    def consume_token(self, token: ClaimToken) -> None:
        """Take back an issued token, before its order is finished or abandoned.

        Raises
        ------
        ValueError
            If the token is not issued, so a second `finish` or `abandon` of the
            same token is rejected.
        """
        if self._issued_tokens.get(token.key_digest) != token:
            raise ValueError(
                f"{token} is not issued; finish or abandon each token only once"
            )
        del self._issued_tokens[token.key_digest]

    def is_undispatched(self, key_digest: bytes, entry: KeyEntry) -> bool:
        """Whether this claimant holds the key by a claim that it has not dispatched."""
        return (
            entry.is_open(entry.attempt, self._holder)
            and key_digest not in self._issued_tokens
            and key_digest not in self.finishing
        )

    def discard_confirmed(self, key_digest: bytes, entry: KeyEntry | None) -> None:
        """Remove the outcomes of a key that have been read back from the log."""
        done = self.finishing.get(key_digest)
        if done is not None and not self._is_open(entry, done.attempt):
            del self.finishing[key_digest]
        attempt = self.abandoning.get(key_digest)
        if attempt is not None and not self._is_open(entry, attempt):
            del self.abandoning[key_digest]

    def _is_open(self, entry: KeyEntry | None, attempt: int) -> bool:
        return entry is not None and entry.is_open(attempt, self._holder)
