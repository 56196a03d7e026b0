"""Stops requests that crash each upstream that begins to run them.

The caller sends such a request again, at any instance, so what is known of it
is shared. Requests that ran beside it when an upstream crashed are counted too,
but do not meet several crashes under the same fingerprint.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

# Crashes after which a request is refused. One can be a coincidence, and two
# when an upstream is restarted again and again.
N_CRASHES_TO_REFUSE = 3
# Fingerprints that are remembered; a crash leaves one for each slot.
MAX_FINGERPRINTS = 10_000
# A cut is the crash of an upstream if it refuses connections within this time.
CRASH_EVIDENCE_S = 3.0

FINGERPRINT_BYTES = 12


def request_fingerprint(
    method: bytes, target: bytes, body: bytes, organisation: str
) -> str:
    """Return what identifies a request that comes again.

    Parameters
    ----------
    method : bytes
        Of the request.
    target : bytes
        Path and query.
    body : bytes
        The whole body.
    organisation : str
        Who sends it.

    Returns
    -------
    str
        Hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, target, organisation.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class CrashGuard:
    """Upstreams that have crashed while they ran a request.

    Examples
    --------
    >>> guard = CrashGuard()
    >>> for number in range(3):
    ...     guard.note_cut("f", f"engine-{number}", now_s=float(number))
    ...     _ = guard.note_refused_connection(f"engine-{number}", now_s=number + 0.5)
    >>> guard.is_refused("f")
    True
    """

    __slots__ = ("_crashed", "_cuts")

    def __init__(self) -> None:
        self._crashed: OrderedDict[str, frozenset[str]] = OrderedDict()
        self._cuts: dict[str, list[tuple[float, str]]] = {}

    def is_refused(self, fingerprint: str) -> bool:
        """Tell whether a request is no longer sent to any upstream."""
        return len(self._crashed.get(fingerprint, ())) >= N_CRASHES_TO_REFUSE

    def note_cut(self, fingerprint: str, upstream_id: str, now_s: float) -> None:
        """Record that a connection ended while a request was at an upstream."""
        cuts = self._cuts.setdefault(upstream_id, [])
        cuts[:] = [cut for cut in cuts if now_s - cut[0] < CRASH_EVIDENCE_S]
        cuts.append((now_s, fingerprint))

    def note_refused_connection(
        self, upstream_id: str, now_s: float
    ) -> dict[str, frozenset[str]]:
        """Record that an upstream does not listen.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        now_s : float
            Monotonic time.

        Returns
        -------
        dict of str to frozenset of str
            Fingerprints that have met one more crash, with all upstreams that
            have crashed under them; to be told to other instances.
        """
        changed: dict[str, frozenset[str]] = {}
        for cut_s, fingerprint in self._cuts.pop(upstream_id, []):
            if now_s - cut_s < CRASH_EVIDENCE_S:
                known = self._crashed.get(fingerprint, frozenset())
                if upstream_id not in known:
                    self.merge(fingerprint, (upstream_id,))
                    changed[fingerprint] = self._crashed[fingerprint]
        return changed

    def merge(self, fingerprint: str, upstream_ids: Iterable[str]) -> None:
        """Take in what another instance has seen."""
        known = self._crashed.pop(fingerprint, frozenset())
        self._crashed[fingerprint] = known | frozenset(upstream_ids)
        if len(self._crashed) > MAX_FINGERPRINTS:
            self._crashed.popitem(last=False)

    def newest(self, n_most: int) -> dict[str, list[str]]:
        """Return the fingerprints that were changed last."""
        prints = list(self._crashed)[-n_most:]
        return {
            fingerprint: sorted(self._crashed[fingerprint]) for fingerprint in prints
        }
