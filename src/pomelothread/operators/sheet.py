"""Data model of the planning sheet."""

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
    """A service that callers can request.

    `kind` is ``model`` for inference or ``plain`` for another HTTP service;
    `repeat` is ``safe`` or ``never``. `model` is the model's name in the engine.
    `path` is the path prefix of a plain service; `lookup_path` is its path for
    looking up a key, or "" if it has none.
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

    `path` is its path in the weight store. Each version of an adapter needs its
    own name, because engines list only names.
    """

    name: str
    pool: str
    path: str


class Release(msgspec.Struct, frozen=True):
    """Allows a request that was convicted of crashing upstreams to run again."""

    fingerprint: str


class Sheet(msgspec.Struct, frozen=True):
    """All rows of one version, by name.

    Version 0 is the empty sheet of a process that has not read one yet.
    """

    version: int = 0
    digest: str = ""
    tiers: dict[str, Tier] = {}
    organisations: dict[str, Organisation] = {}
    services: dict[str, Service] = {}
    adapters: dict[str, Adapter] = {}
    releases: dict[str, Release] = {}
