"""The content of a planning sheet, as every process holds it."""

import msgspec

REPEAT_SAFE = "safe"
REPEAT_NEVER = "never"
KIND_MODEL = "model"
KIND_PLAIN = "plain"


class Tier(msgspec.Struct, frozen=True):
    """A priority tier; rank 0 is the most urgent."""

    name: str
    rank: int
    protected: bool = False


class Organisation(msgspec.Struct, frozen=True):
    """A customer, with its share of capacity within a tier."""

    name: str
    token_sha256: str
    share: float = 1.0
    max_waiting: int = 1000


class Service(msgspec.Struct, frozen=True):
    """Something that callers can request.

    `kind` is ``model`` or ``plain``; `repeat` is ``safe`` or ``never``.
    `model` is the name that the engine knows; `path` is the prefix of the
    plain service's path, with `lookup_path` for asking by key, if it has one.
    """

    name: str
    pool: str
    tier: str
    kind: str
    deadline_s: float
    repeat: str = REPEAT_SAFE
    model: str = ""
    path: str = ""
    lookup_path: str = ""
    max_body_bytes: int = 1_048_576
    max_output_tokens: int = 1024
    key_life_s: float = 86_400.0
    dated_keys: bool = False


class Adapter(msgspec.Struct, frozen=True):
    """A LoRA adapter that every engine of a pool has loaded.

    `path` is its place in the weight store. Another version of an adapter
    needs another name, since engines list names only.
    """

    name: str
    pool: str
    path: str


class Release(msgspec.Struct, frozen=True):
    """Lets a convicted request run again."""

    fingerprint: str


class Sheet(msgspec.Struct, frozen=True):
    """All rows in force, by name.

    Version 0 is the empty sheet that a process holds before it has read one.
    """

    version: int = 0
    digest: str = ""
    tiers: dict[str, Tier] = {}
    organisations: dict[str, Organisation] = {}
    services: dict[str, Service] = {}
    adapters: dict[str, Adapter] = {}
    releases: dict[str, Release] = {}
