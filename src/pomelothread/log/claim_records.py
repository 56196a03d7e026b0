"""Records of the topics ``claims.<pool>``."""

from enum import IntEnum
from typing import Any

import msgspec

CLAIM_FORMAT = 1
MAX_STORED_BODY_BYTES = 16 * 1024


class ClaimantId(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one run of an agent process.

    `started_at_ms` orders the runs of one instance. Runs do not overlap: a run
    can bind the instance's port only after the previous one has ended.
    """

    instance: str
    started_at_ms: int
    incarnation: str


class Started(msgspec.Struct, frozen=True, array_like=True, tag="started"):
    """The author has started, so earlier runs of its instance have ended."""


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claims a key.

    Of several claims on a key the one with the highest attempt wins, and among
    those with the same attempt the one with the lowest offset.
    """

    key_digest: bytes
    body_digest: bytes
    service: str
    organisation: str
    attempt: int
    life_ms: int


class Abandoned(msgspec.Struct, frozen=True, array_like=True, tag="abandoned"):
    """The author did not dispatch the order that it claimed, and never will."""

    key_digest: bytes
    attempt: int


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """The order has run, with this response.

    The record repeats the data of the claim, so it can be applied after the
    claim has been deleted. `origin` is the offset of the claim. `holder` is
    None if the author is the holder; it is set in a copy that another claimant
    carries forward. A body larger than `MAX_STORED_BODY_BYTES` is not stored:
    `body` is then empty and `body_omitted` is true.
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

    def with_holder(self, holder: ClaimantId) -> "Done":
        """Return a copy that names the holder, so that any author can append it."""
        copy: Done = msgspec.structs.replace(self, holder=holder)
        return copy


class Carried(msgspec.Struct, frozen=True, array_like=True, tag="carried"):
    """Copy of a claim whose original would be deleted before the key expires.

    `holder_is_superseded` says that a later run of the holder's instance has
    been seen. It is stored here because retention deletes the records of that
    run as well.
    """

    key_digest: bytes
    body_digest: bytes
    holder: ClaimantId
    attempt: int
    origin: int
    expires_at_ms: int
    abandoned: bool
    holder_is_superseded: bool = False


ClaimRecord = Started | Claim | Abandoned | Done | Carried


class ClaimBatch(msgspec.Struct, frozen=True):
    """Value of one log record: a batch of claim records of one author."""

    author: ClaimantId
    sequence: int
    entries: tuple[Any, ...]
    format: int = CLAIM_FORMAT


class KeyState(IntEnum):
    """State of a claimed key."""

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
    """Return the value of a log record that contains `records`."""
    batch = ClaimBatch(author, sequence, tuple(records))
    value: dict[str, Any] = msgspec.to_builtins(batch)
    return value


def decode_record(entry: Any) -> ClaimRecord | None:
    """Decode one entry of a batch; None if it is malformed or of an unknown kind."""
    try:
        return msgspec.convert(entry, ClaimRecord)  # type: ignore[no-any-return]
    except msgspec.ValidationError:
        return None
