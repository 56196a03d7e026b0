"""Records of the topics ``claims.<pool>``."""

from enum import IntEnum
from typing import Any

import msgspec

CLAIM_FORMAT = 1
MAX_STORED_BODY_BYTES = 16 * 1024


class ClaimantId(msgspec.Struct, frozen=True, array_like=True):
    """One run of an agent.

    `started_at_ms` orders the runs in the slot of one instance: the slot's
    port makes sure that an earlier run has ended when a later one starts.
    """

    instance: str
    started_at_ms: int
    incarnation: str


class Started(msgspec.Struct, frozen=True, array_like=True, tag="started"):
    """The author has started, so earlier runs of its instance are gone."""


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Asks for the key; the first one by offset of the highest attempt wins."""

    key_digest: bytes
    body_digest: bytes
    service: str
    organisation: str
    attempt: int
    life_ms: int


class Abandoned(msgspec.Struct, frozen=True, array_like=True, tag="abandoned"):
    """The author has not dispatched its claim, and never will."""

    key_digest: bytes
    attempt: int


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """The order has run, and this is the response.

    It holds all that is known of the key, so it is complete without the claim.
    `origin` is the offset of the claim. `holder` is None if the author is the
    holder; it is set in a copy that another claimant carries forward.
    `body` is empty if it was larger than `MAX_STORED_BODY_BYTES`, which
    `body_omitted` says.
    """

    key_digest: bytes
    body_digest: bytes
    attempt: int
    origin: int
    expires_at_ms: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_omitted: bool = False
    holder: ClaimantId | None = None

    def carried_by(self, holder: ClaimantId) -> "Done":
        """Return a copy that another author may append."""
        copy: Done = msgspec.structs.replace(self, holder=holder)
        return copy


class Carried(msgspec.Struct, frozen=True, array_like=True, tag="carried"):
    """Copy of a claim that retention would delete within the key's life.

    `holder_is_gone` replaces the record by which the holder's successor has
    shown itself, since retention deletes that one too.
    """

    key_digest: bytes
    body_digest: bytes
    holder: ClaimantId
    attempt: int
    origin: int
    expires_at_ms: int
    abandoned: bool
    holder_is_gone: bool = False


ClaimRecord = Started | Claim | Abandoned | Done | Carried


class ClaimBatch(msgspec.Struct, frozen=True):
    """Value of one log record: all that its author had to say at that time."""

    author: ClaimantId
    sequence: int
    entries: tuple[Any, ...]
    format: int = CLAIM_FORMAT


class KeyState(IntEnum):
    """What the log says of a key."""

    CLAIMED = 0
    ABANDONED = 1
    DONE = 2


def claims_topic(pool: str) -> str:
    """Return the topic for the claims of a pool.

    Examples
    --------
    >>> claims_topic("press")
    'claims.press'
    """
    return f"claims.{pool}"


def encode_batch(
    author: ClaimantId, sequence: int, records: list[ClaimRecord]
) -> dict[str, Any]:
    """Return the value of a log record that carries `records`."""
    batch = ClaimBatch(author, sequence, tuple(records))
    value: dict[str, Any] = msgspec.to_builtins(batch)
    return value


def decode_record(entry: Any) -> ClaimRecord | None:
    """Return one entry of a batch; None if its kind is not known."""
    try:
        return msgspec.convert(entry, ClaimRecord)  # type: ignore[no-any-return]
    except msgspec.ValidationError:
        return None
