"""Refuses requests that repeatedly crash upstreams.

The caller may repeat such a request at any instance, so crashes are shared between
instances. Each start of an upstream crashes once, whether the next one has another name
or the same.

Requests that were running at the same upstream when it crashed are counted too. A
request that is served afterwards has not been the cause: that refutes the crashes that
were known when it was sent, at all instances. One that is refused is tried again from
time to time.
"""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from .crashing_parts import (
    CRASH_CONFIRMATION_S,
    MAX_FAILED_TRIALS,
    Verdict,
    trial_delay_s,
)
from .departures import UpstreamStart

# Crashes after which a request is refused. One crash can be a coincidence, and so
# can two if an upstream restarts repeatedly for another reason.
N_CRASHES_TO_REFUSE = 3
# Maximum number of stored fingerprints; a crash adds up to one for each slot of
# the upstream.
MAX_FINGERPRINTS = 10_000
# Maximum number of crashes, and of refuted ones, that are kept for a fingerprint.
MAX_CRASHES = 12
# Time of the start of an upstream that only its name is known of, as older builds share
# and store it.
UNKNOWN_START_MS = 0

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


@dataclass(slots=True)
class _Suspicion:
    """What is known of the crashes that a request was present at.

    Parameters
    ----------
    crashed : dict of UpstreamStart to float
        Starts of upstreams that ended, and the monotonic time at which this instance
        learned of each.
    refuted : dict of UpstreamStart to None
        Those after which the request was served, the oldest first.
    n_trials : int
        Number of requests that this instance has sent although they are refused.
    tried_s : float
        Monotonic time of the last one.
    """

    crashed: dict[UpstreamStart, float] = field(default_factory=dict)
    refuted: dict[UpstreamStart, None] = field(default_factory=dict)
    n_trials: int = 0
    tried_s: float = -math.inf

    @property
    def n_crashes(self) -> int:
        """Number of crashes, without those that are known once more by name only."""
        dated = {s.upstream_id for s in self.crashed if s.started_ms}
        return sum(
            s.started_ms != UNKNOWN_START_MS or s.upstream_id not in dated
            for s in self.crashed
        )


class CrashGuard:
    """Counts the starts of upstreams that have crashed while running each request.

    Examples
    --------
    >>> guard = CrashGuard()
    >>> for number in range(3):
    ...     start = UpstreamStart("engine-1", 1000 + number)
    ...     guard.record_cut("f", start, now_s=float(number))
    ...     _ = guard.record_refused_connection(start, now_s=number + 0.5)
    >>> guard.verdict("f", now_s=3.0)
    <Verdict.REFUSED: ...>
    >>> len(guard.observe_served("f", sent_s=3.0))
    3
    >>> guard.verdict("f", now_s=4.0)
    <Verdict.ALLOWED: ...>
    """

    __slots__ = ("_recent_cuts", "_suspicions")

    def __init__(self) -> None:
        self._suspicions: OrderedDict[str, _Suspicion] = OrderedDict()
        self._recent_cuts: dict[UpstreamStart, list[tuple[float, str]]] = {}

    def verdict(self, fingerprint: str, now_s: float, may_try: bool = False) -> Verdict:
        """Decide whether a request may be sent to an upstream.

        Parameters
        ----------
        fingerprint : str
            Digest of the request.
        now_s : float
            Monotonic time.
        may_try : bool
            Whether this instance may send a refused request as a trial.

        Returns
        -------
        Verdict
            `TRIAL` until `begin_trial` is called; never `HELD`.
        """
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.n_crashes < N_CRASHES_TO_REFUSE:
            return Verdict.ALLOWED
        if may_try and _is_trial_due(suspicion, now_s):
            return Verdict.TRIAL
        return Verdict.REFUSED

    def begin_trial(self, fingerprint: str, now_s: float) -> None:
        """Record that a request with the verdict `TRIAL` is going to be sent."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None:
            suspicion.n_trials += 1
            suspicion.tried_s = now_s

    def record_cut(self, fingerprint: str, start: UpstreamStart, now_s: float) -> None:
        """Record that a connection was cut while an upstream ran a request."""
        cuts = self._recent_cuts.setdefault(start, [])
        cuts[:] = [cut for cut in cuts if now_s - cut[0] < CRASH_CONFIRMATION_S]
        cuts.append((now_s, fingerprint))

    def record_refused_connection(
        self, start: UpstreamStart, now_s: float
    ) -> dict[str, frozenset[UpstreamStart]]:
        """Record that an upstream refuses connections.

        Requests whose connection to it was cut within the last
        `CRASH_CONFIRMATION_S` seconds are counted as present at a crash.

        Parameters
        ----------
        start : UpstreamStart
            Start of the upstream.
        now_s : float
            Monotonic time.

        Returns
        -------
        dict of str to frozenset of UpstreamStart
            Fingerprints with a newly counted crash and all their crashes, to be
            shared with other instances.
        """
        changed: dict[str, frozenset[UpstreamStart]] = {}
        for cut_s, fingerprint in self._recent_cuts.pop(start, []):
            is_recent = now_s - cut_s < CRASH_CONFIRMATION_S
            if is_recent and self.merge(fingerprint, (start,), now_s).is_new:
                changed[fingerprint] = self.crashes_of(fingerprint)
        return changed

    def merge(
        self, fingerprint: str, starts: Iterable[UpstreamStart], now_s: float
    ) -> "Merged":
        """Add crashes that were counted by this or another instance.

        Parameters
        ----------
        fingerprint : str
            Digest of the request.
        starts : iterable of UpstreamStart
            Starts of upstreams that ended.
        now_s : float
            Monotonic time.
        """
        suspicion = self._suspicions.pop(fingerprint, None) or _Suspicion()
        self._suspicions[fingerprint] = suspicion
        named = frozenset(starts)
        refuted = named & suspicion.refuted.keys()
        n_before = len(suspicion.crashed)
        for start in named - refuted:
            if len(suspicion.crashed) < MAX_CRASHES:
                suspicion.crashed.setdefault(start, now_s)
        if len(self._suspicions) > MAX_FINGERPRINTS:
            self._suspicions.popitem(last=False)
        return Merged(len(suspicion.crashed) > n_before, refuted)

    def observe_served(
        self, fingerprint: str, sent_s: float
    ) -> frozenset[UpstreamStart]:
        """Record that a request was served in whole.

        Parameters
        ----------
        fingerprint : str
            Digest of the request.
        sent_s : float
            Monotonic time at which it was sent.

        Returns
        -------
        frozenset of UpstreamStart
            Crashes that this refutes.
        """
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return frozenset()
        known = frozenset(s for s, at_s in suspicion.crashed.items() if at_s <= sent_s)
        self.refute(fingerprint, known)
        return known

    def refute(self, fingerprint: str, starts: Collection[UpstreamStart]) -> None:
        """Drop crashes after which some instance has seen the request served."""
        if not starts:
            return
        suspicion = self._suspicions.setdefault(fingerprint, _Suspicion())
        for start in starts:
            suspicion.crashed.pop(start, None)
            suspicion.refuted.pop(start, None)
            suspicion.refuted[start] = None
        while len(suspicion.refuted) > MAX_CRASHES:
            del suspicion.refuted[next(iter(suspicion.refuted))]
        if not suspicion.crashed:
            suspicion.n_trials = 0
        if len(self._suspicions) > MAX_FINGERPRINTS:
            self._suspicions.popitem(last=False)

    def crashes_of(self, fingerprint: str) -> frozenset[UpstreamStart]:
        """Return the starts of upstreams that have crashed while running a request."""
        suspicion = self._suspicions.get(fingerprint)
        return frozenset(suspicion.crashed) if suspicion else frozenset()

    def refuted_of(self, fingerprint: str) -> frozenset[UpstreamStart]:
        """Return the crashes after which a request was served."""
        suspicion = self._suspicions.get(fingerprint)
        return frozenset(suspicion.refuted) if suspicion else frozenset()

    def fingerprints(self) -> list[str]:
        """Return the fingerprints with a known or a refuted crash."""
        return list(self._suspicions)

    def newest(self, n_most: int) -> dict[str, frozenset[UpstreamStart]]:
        """Return the most recently changed fingerprints and their crashes."""
        newest: dict[str, frozenset[UpstreamStart]] = {}
        for fingerprint in reversed(self._suspicions):
            if len(newest) == n_most:
                break
            crashes = self.crashes_of(fingerprint)
            if crashes:
                newest[fingerprint] = crashes
        return newest


@dataclass(frozen=True, slots=True)
class Merged:
    """What was new among crashes that were added.

    Parameters
    ----------
    is_new : bool
        Whether any was not known.
    refuted : frozenset of UpstreamStart
        Those that have been refuted, of which whoever names them has to be told.
    """

    is_new: bool
    refuted: frozenset[UpstreamStart]


def _is_trial_due(suspicion: _Suspicion, now_s: float) -> bool:
    # Crashes beyond those that are needed were those of trials. Counting them in the
    # evidence keeps the count over restarts.
    n_failed = suspicion.n_crashes - N_CRASHES_TO_REFUSE
    if suspicion.n_trials >= MAX_FAILED_TRIALS:
        # They ended neither in a crash nor in a whole response.
        return False
    last_s = max(*suspicion.crashed.values(), suspicion.tried_s)
    return now_s - last_s >= trial_delay_s(n_failed)
