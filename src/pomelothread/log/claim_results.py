"""Results of claiming an idempotency key and of looking one up."""

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
        When the key expires, in milliseconds since 1970.
    """

    key_digest: bytes
    body_digest: bytes
    attempt: int
    origin: int
    expires_at_ms: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """The caller holds the key and must pass `token` to `finish` or `abandon`."""

    token: ClaimToken


@dataclass(frozen=True, slots=True)
class AlreadyDone:
    """The order has run.

    If `body_omitted` is true, the body was too large to be stored and the body
    of `run` is empty.
    """

    run: Run
    body_omitted: bool = False


@dataclass(frozen=True, slots=True)
class ResponseUnavailable:
    """The order has run, but its stored response cannot be read now."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """The order is running, or another call is claiming its key."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used with another body."""


@dataclass(frozen=True, slots=True)
class KeyExpired:
    """The timestamp of the key is older than the lifetime of keys."""


@dataclass(frozen=True, slots=True)
class KeyNotDated:
    """The service requires a UUIDv7 key whose timestamp is not in the future."""


@dataclass(frozen=True, slots=True)
class ClaimOutcomeUnknown:
    """The claimant has ended without a recorded response; the order may have run."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The log gave no decision; the claim of this call is never dispatched.

    `is_history_known` says whether the topic has been read to its end. If it
    has not, an earlier request with the same key may have run.
    """

    retry_after_s: float
    is_history_known: bool = True


@dataclass(frozen=True, slots=True)
class KeyUnclaimed:
    """The log holds no claim on the key."""


@dataclass(frozen=True, slots=True)
class ClaimAbandoned:
    """The key was claimed, but the order was not dispatched."""


ClaimResult = (
    Claimed
    | AlreadyDone
    | ResponseUnavailable
    | AlreadyRunning
    | KeyReused
    | KeyExpired
    | KeyNotDated
    | ClaimOutcomeUnknown
    | ClaimUnavailable
)
LookupResult = (
    AlreadyDone
    | ResponseUnavailable
    | AlreadyRunning
    | ClaimAbandoned
    | ClaimOutcomeUnknown
    | ClaimUnavailable
    | KeyUnclaimed
)
