"""Idempotency keys: their digests, and the time in a dated key."""

import hashlib
import uuid

import msgspec

from .claim_results import KeyExpired, KeyNotDated

DIGEST_SIZE_BYTES = 16
# Clocks of callers and instances may differ by this much: keys are kept for
# longer than their life, and dated keys may be ahead, by this time.
KEY_SKEW_S = 300.0


def scope_digest(organisation: str, service: str, key: str) -> bytes:
    """Return the digest of a key in its scope.

    The parts are encoded as JSON, so that no two scopes give the same bytes.

    Examples
    --------
    >>> scope_digest("a", "bc", "k") == scope_digest("ab", "c", "k")
    False
    """
    return body_digest(msgspec.json.encode((organisation, service, key)))


def body_digest(body: bytes) -> bytes:
    """Return the digest by which two bodies are compared."""
    return hashlib.blake2b(body, digest_size=DIGEST_SIZE_BYTES).digest()


def key_timestamp_ms(key: str) -> int | None:
    """Return the time in a UUIDv7 key.

    Parameters
    ----------
    key : str
        The caller's key.

    Returns
    -------
    int or None
        Milliseconds since 1970; None if the key is not a UUIDv7 in its usual
        text form.

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


def key_fault(
    key: str, now_ms: int, key_life_s: float, dated_keys: bool
) -> KeyExpired | KeyNotDated | None:
    """Say why a key cannot be used, by its form and date alone.

    Parameters
    ----------
    key : str
        The caller's key.
    now_ms : int
        Current time in milliseconds since 1970.
    key_life_s : float
        How long keys are kept, in seconds.
    dated_keys : bool
        Whether only UUIDv7 keys are taken.

    Returns
    -------
    KeyExpired or KeyNotDated or None
        None if the key may be claimed.

    Examples
    --------
    >>> key_fault("order-17", 0, 86_400.0, dated_keys=True)
    KeyNotDated()
    >>> key_fault("order-17", 0, 86_400.0, dated_keys=False) is None
    True
    """
    key_ms = key_timestamp_ms(key)
    if key_ms is None:
        return KeyNotDated() if dated_keys else None
    age_s = (now_ms - key_ms) / 1000
    if age_s >= key_life_s:
        return KeyExpired()
    if dated_keys and age_s < -KEY_SKEW_S:
        # It would still be taken as fresh after its entry has expired.
        return KeyNotDated()
    return None
