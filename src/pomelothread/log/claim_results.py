"""What a claim on a key, or a question about one, can result in."""

from dataclasses import dataclass

from ..outcomes import Run


@dataclass(frozen=True, slots=True)
class ClaimToken:
    """Permission to dispatch one order once.

    Parameters
    ----------
    key_digest, body_digest : bytes
        Digests of the scoped key and of the order's body.
    attempt, origin : int
        Attempt and log offset of the claim.
    expires_at_ms : int
        When the key is forgotten.
    """

    key_digest: bytes
    body_digest: bytes
    attempt: int
    origin: int
    expires_at_ms: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """The caller holds the key and must `finish` or `abandon` the token."""

    token: ClaimToken


@dataclass(frozen=True, slots=True)
class AlreadyDone:
    """The order has run.

    `body_omitted` says that the body was too large to be stored; the body of
    `run` is then empty.
    """

    run: Run
    body_omitted: bool = False


@dataclass(frozen=True, slots=True)
class DoneUnreadable:
    """The order has run, but its stored response cannot be read now."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """The order is being run, or is just being claimed."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used with another body."""


@dataclass(frozen=True, slots=True)
class KeyExpired:
    """The timestamp of the key is further back than the key's life."""


@dataclass(frozen=True, slots=True)
class KeyNotDated:
    """The service demands a UUIDv7 key with a timestamp that is not ahead."""


@dataclass(frozen=True, slots=True)
class ClaimNotKnown:
    """Claimed by a claimant that is gone, without a record of the response."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """Nothing was decided; this attempt is not dispatched now or later.

    `is_history_known` says whether the topic had been read to its end at some
    time. Without that, an earlier request with the same key may have run.
    """

    retry_after_s: float
    is_history_known: bool = True


@dataclass(frozen=True, slots=True)
class NeverSeen:
    """No claim on the key is on the log."""


@dataclass(frozen=True, slots=True)
class ClaimAbandoned:
    """The key was claimed, and the order was not run."""


ClaimResult = (
    Claimed
    | AlreadyDone
    | DoneUnreadable
    | AlreadyRunning
    | KeyReused
    | KeyExpired
    | KeyNotDated
    | ClaimNotKnown
    | ClaimUnavailable
)
LookupResult = (
    AlreadyDone
    | DoneUnreadable
    | AlreadyRunning
    | ClaimAbandoned
    | ClaimNotKnown
    | ClaimUnavailable
    | NeverSeen
)
