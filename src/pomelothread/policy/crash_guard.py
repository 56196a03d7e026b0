"""Refuses requests that repeatedly crash upstreams.

The caller may repeat such a request at any instance, so crash counts are shared
between instances. Requests that were running at the same upstream when it crashed
are counted too, but rarely reach the limit, because they are not present at
several crashes.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

# Crashes after which a request is refused. One crash can be a coincidence, and so
# can two if an upstream restarts repeatedly for another reason.
N_CRASHES_TO_REFUSE = 3
# Maximum number of stored fingerprints; a crash adds up to one for each slot of
# the upstream.
MAX_FINGERPRINTS = 10_000
# A connection that is cut counts as a crash of the upstream only if the upstream
# refuses connections within this time.
CRASH_CONFIRMATION_S = 3.0

FINGERPRINT_BYTES = 12


def request_fingerprint(
    method: bytes, target: bytes, body: bytes, organisation: str
) -> str:
    """Return a digest that is equal for repeats of the same request.

    Parameters
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Path and query.
    body : bytes
        The whole body.
    organisation : str
        Organisation that sends the request.

    Returns
    -------
    str
        Hexadecimal digest.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, target, organisation.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class CrashGuard:
    """Counts the upstreams that have crashed while running each request.

    Examples
    --------
    >>> guard = CrashGuard()
    >>> for number in range(3):
    ...     guard.record_cut("f", f"engine-{number}", now_s=float(number))
    ...     _ = guard.record_refused_connection(f"engine-{number}", now_s=number + 0.5)
    >>> guard.is_refused("f")
    True
    """

    __slots__ = ("_crashed_upstreams", "_recent_cuts")

    def __init__(self) -> None:
        self._crashed_upstreams: OrderedDict[str, frozenset[str]] = OrderedDict()
        self._recent_cuts: dict[str, list[tuple[float, str]]] = {}

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to any upstream."""
        return len(self._crashed_upstreams.get(fingerprint, ())) >= N_CRASHES_TO_REFUSE

    def record_cut(self, fingerprint: str, upstream_id: str, now_s: float) -> None:
        """Record that a connection was cut while an upstream ran a request."""
        cuts = self._recent_cuts.setdefault(upstream_id, [])
        cuts[:] = [cut for cut in cuts if now_s - cut[0] < CRASH_CONFIRMATION_S]
        cuts.append((now_s, fingerprint))

    def record_refused_connection(
        self, upstream_id: str, now_s: float
    ) -> dict[str, frozenset[str]]:
        """Record that an upstream refuses connections.

        Requests whose connection to it was cut within the last
        `CRASH_CONFIRMATION_S` seconds are counted as present at a crash.

        Parameters
        ----------
        upstream_id : str
            Name of the upstream.
        now_s : float
            Monotonic time.

        Returns
        -------
        dict of str to frozenset of str
            Fingerprints with a newly counted crash and all upstreams that have
            crashed while running them, to be shared with other instances.
        """
        changed: dict[str, frozenset[str]] = {}
        for cut_s, fingerprint in self._recent_cuts.pop(upstream_id, []):
            if now_s - cut_s < CRASH_CONFIRMATION_S:
                known = self._crashed_upstreams.get(fingerprint, frozenset())
                if upstream_id not in known:
                    self.merge(fingerprint, (upstream_id,))
                    changed[fingerprint] = self._crashed_upstreams[fingerprint]
        return changed

    def merge(self, fingerprint: str, upstream_ids: Iterable[str]) -> None:
        """Add crashes that were counted by another instance."""
        known = self._crashed_upstreams.pop(fingerprint, frozenset())
        self._crashed_upstreams[fingerprint] = known | frozenset(upstream_ids)
        if len(self._crashed_upstreams) > MAX_FINGERPRINTS:
            self._crashed_upstreams.popitem(last=False)

    def upstreams_of(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams that have crashed while running a request."""
        return self._crashed_upstreams.get(fingerprint, frozenset())

    def fingerprints(self) -> list[str]:
        """Return the fingerprints of all requests with a known crash."""
        return list(self._crashed_upstreams)

    def newest(self, n_most: int) -> dict[str, list[str]]:
        """Return the most recently changed fingerprints and their upstreams."""
        fingerprints_by_age = list(self._crashed_upstreams)[-n_most:]
        return {
            fingerprint: sorted(self._crashed_upstreams[fingerprint])
            for fingerprint in fingerprints_by_age
        }
