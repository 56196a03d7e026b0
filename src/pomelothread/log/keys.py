"""Digests of idempotency keys, and the timestamps of UUIDv7 keys."""

import hashlib
import uuid

import msgspec

from .claim_results import KeyExpired, KeyNotDated

DIGEST_SIZE_BYTES = 16
# Allowed difference between the clocks of callers and instances. Keys are kept
# for this time beyond their lifetime, and a UUIDv7 key may be this far in the
# future.
MAX_CLOCK_SKEW_S = 300.0


def scope_digest(organisation: str, service: str, key: str) -> bytes:
    """Return the digest of a key in the scope of an organisation and a service.

    The parts are encoded as JSON, so different scopes never give the same bytes.

    Examples
    --------
    >>> scope_digest("a", "bc", "k") == scope_digest("ab", "c", "k")
    False
    """
    return body_digest(msgspec.json.encode((organisation, service, key)))


def body_digest(body: bytes) -> bytes:
    """Return the digest that is stored and compared in place of a body."""
    return hashlib.blake2b(body, digest_size=DIGEST_SIZE_BYTES).digest()


def key_timestamp_ms(key: str) -> int | None:
    """Return the timestamp of a UUIDv7 key.

    Parameters
    ----------
    key : str
        The caller's key.

    Returns
    -------
    int or None
        Milliseconds since 1970; None if the key is not a UUIDv7 in its
        canonical text form.

    Examples
    --------
    >>> key_timestamp_ms("0195532b-8800-7000-8000-000000000001")
    1740857116672
    >>> key_timestamp_ms("order-17") is None
    True
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if str(parsed) != key.lower() or parsed.version != 7:
        return None
    return parsed.int >> 80


def check_key(
    key: str, now_ms: int, key_life_s: float, dated_keys: bool
) -> KeyExpired | KeyNotDated | None:
    """Check the form and the timestamp of a key.

    Parameters
    ----------
    key : str
        The caller's key.
    now_ms : int
        Current time in milliseconds since 1970.
    key_life_s : float
        Lifetime of keys in seconds.
    dated_keys : bool
        Whether only UUIDv7 keys are accepted.

    Returns
    -------
    KeyExpired or KeyNotDated or None
        Why the key is rejected; None if it may be claimed.

    Examples
    --------
    >>> check_key("order-17", 0, 86_400.0, dated_keys=True)
    KeyNotDated()
    >>> check_key("order-17", 0, 86_400.0, dated_keys=False) is None
    True
    """
    key_ms = key_timestamp_ms(key)
    if key_ms is None:
        return KeyNotDated() if dated_keys else None
    age_s = (now_ms - key_ms) / 1000
    if age_s >= key_life_s:
        return KeyExpired()
    if dated_keys and age_s < -MAX_CLOCK_SKEW_S:
        # Its timestamp would still be valid after its entry has expired, so the
        # key could be claimed a second time.
        return KeyNotDated()
    return None
