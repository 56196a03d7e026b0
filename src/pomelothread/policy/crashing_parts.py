"""Finds the parts of prompts that crash upstreams, and refuses prompts with them.

An upstream may crash as it begins to respond to a prompt with a certain part, whatever
else the prompt contains. A crash cuts all requests that run at the upstream, so each
part of a prompt that it had not begun to respond to is a suspect. Three rules separate
the cause from the other suspects:

* A part is sound at the moment at which an upstream begins to respond to a prompt with
  it and does not crash. That ends the suspicion of earlier crashes.
* Crashes that a refused part explains are no evidence against other parts. The last
  parts of a prompt are examined first, since fewer requests share them. Only what is
  common to several of them is the better explanation: prompts may go on differently
  after the cause.
* Crashes of several upstreams at about the same time count once: a request that was
  sent before the previous crash may only have been present at a common cause.

Evidence is exchanged between instances, and every instance draws the same conclusions
from it, as far as it has received it.
"""

import itertools
import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from .departures import UpstreamStart

# Crashes after which a part is refused: one that has never been sound; one at the
# beginning of prompts, which many requests share; and one that was sound before.
N_CRASHES = 2
N_CRASHES_OF_FIRST_PART = 3
N_CRASHES_OF_SOUND_PART = 4
# Parts that many requests share are refused only after crashes over this time: while
# any upstream responds, a sound one is cleared within it.
MIN_SPAN_S = 2.0
# A part that crashes upstreams is seen in different requests; a single request may
# crash upstreams for another reason, and `crash_guard` refuses it.
N_REQUESTS = 2
# Requests with a part that is about to be refused wait for this long, in which peers
# report whether the part is sound. It covers a round trip between regions.
SETTLE_S = 0.25
# An upstream that lives for this long after its first event has not crashed because
# it began to respond.
MIN_RESPONDING_S = 0.25
# A lost connection counts as a crash if the upstream refuses connections within
# this time.
CRASH_CONFIRMATION_S = 3.0
# After this time without a crash, one request tries whether the part still crashes
# upstreams. The time grows with each trial that ended in a crash.
FIRST_TRIAL_S = 20.0
TRIAL_DELAY_FACTOR = 6.0
# After as many trials that ended in a crash, the part is refused until its evidence
# expires.
MAX_FAILED_TRIALS = 3
EVIDENCE_LIFE_S = 24 * 3600.0
# Limits of the stored state. A sound part takes about 150 bytes, a crash 400.
MAX_SOUND_PARTS = 10_000
MAX_SUSPECTED_PARTS = 1_000
MAX_CRASHES_OF_PART = 12
MAX_CUTS_OF_UPSTREAM = 64
MAX_UNREPORTED_CRASHES = 200


@dataclass(frozen=True, slots=True)
class PartCrash:
    """A crash of an upstream while it had a request with a part.

    Parameters
    ----------
    part : str
        Id of the part.
    depth : int
        Position of the part in the prompt; 0 for the first one.
    start : UpstreamStart
        Start of the upstream that ended.
    body : str
        Beginning of the request's fingerprint, to tell repeats from other requests.
    sent_s : float
        Monotonic time at which the request was sent.
    crashed_s : float
        Monotonic time at which its connection was lost.
    """

    part: str
    depth: int
    start: UpstreamStart
    body: str
    sent_s: float
    crashed_s: float


@dataclass(frozen=True, slots=True)
class CutRequest:
    """A request whose connection to an upstream was lost.

    Parameters
    ----------
    parts : tuple of str
        Parts of its prompt that other requests may share, in order.
    start : UpstreamStart
        Start of the upstream.
    body : str
        Beginning of the request's fingerprint.
    sent_s : float
        Monotonic time at which it was sent.
    cut_s : float
        Monotonic time at which the connection was lost.
    """

    parts: tuple[str, ...]
    start: UpstreamStart
    body: str
    sent_s: float
    cut_s: float


class Verdict(Enum):
    """What to do with a request, given the parts of its prompt."""

    ALLOWED = "send it"
    TRIAL = "send it, to find out whether its part still crashes upstreams"
    HELD = "keep it waiting until peers have reported"
    REFUSED = "do not send it"


class CrashingParts:
    """Evidence about parts of prompts, and the parts that are refused.

    Examples
    --------
    >>> parts = CrashingParts()
    >>> for n in range(2):
    ...     start = UpstreamStart(f"engine-{n}", 1)
    ...     cut = CutRequest(("a", "b"), start, f"body {n}", float(n), n + 0.5)
    ...     parts.record_cut(cut)
    ...     _ = parts.confirm_crash(start, n + 0.6)
    >>> parts.verdict(("a", "b"), 1.6), parts.verdict(("a", "b"), 2.0)
    (<Verdict.HELD: ...>, <Verdict.REFUSED: ...>)
    >>> parts.verdict(("a", "c"), 2.0)
    <Verdict.ALLOWED: ...>
    """

    __slots__ = (
        "_crashes",
        "_cuts",
        "_expires_s",
        "_is_outdated",
        "_refused_from_s",
        "_sound_s",
        "_tried_s",
        "_unreported_crashes",
        "_unreported_sound",
    )

    def __init__(self) -> None:
        self._cuts: dict[UpstreamStart, list[CutRequest]] = {}
        self._crashes: OrderedDict[str, dict[UpstreamStart, PartCrash]] = OrderedDict()
        self._sound_s: OrderedDict[str, float] = OrderedDict()
        # Time from which each refused part is held; refused after `SETTLE_S`.
        self._refused_from_s: dict[str, float] = {}
        self._tried_s: dict[str, float] = {}
        self._unreported_crashes: list[PartCrash] = []
        self._unreported_sound: dict[str, float] = {}
        self._is_outdated = False
        self._expires_s = math.inf

    def record_cut(self, cut: CutRequest) -> None:
        """Record a request that was cut before its response had clearly begun."""
        if not cut.parts:
            return
        cuts = self._cuts.setdefault(cut.start, [])
        cuts[:] = [c for c in cuts if cut.cut_s - c.cut_s < CRASH_CONFIRMATION_S]
        if len(cuts) < MAX_CUTS_OF_UPSTREAM:
            cuts.append(cut)

    def confirm_crash(self, start: UpstreamStart, now_s: float) -> list[PartCrash]:
        """Record that an upstream refuses connections.

        Parameters
        ----------
        start : UpstreamStart
            Start of the upstream.
        now_s : float
            Monotonic time.

        Returns
        -------
        list of PartCrash
            New evidence of this instance.
        """
        added = []
        for cut in self._cuts.pop(start, []):
            if now_s - cut.cut_s >= CRASH_CONFIRMATION_S:
                continue
            for depth, part in enumerate(cut.parts):
                crash = PartCrash(part, depth, start, cut.body, cut.sent_s, cut.cut_s)
                if self.add(crash):
                    added.append(crash)
        # The cause is most likely among the parts that have never been sound.
        self._unreported_crashes += added
        self._unreported_crashes.sort(key=lambda crash: crash.part in self._sound_s)
        del self._unreported_crashes[MAX_UNREPORTED_CRASHES:]
        return added

    def add(self, crash: PartCrash) -> bool:
        """Add evidence of this instance, a peer or the store.

        Parameters
        ----------
        crash : PartCrash
            A crash while an upstream had a request with the part.

        Returns
        -------
        bool
            False if it is known already or the part was sound later.
        """
        sound_s = self._sound_s.get(crash.part)
        if sound_s is not None:
            # Peers that have not seen the part may take it for the cause.
            self._unreported_sound[crash.part] = sound_s
            if sound_s > crash.crashed_s:
                return False
        crashes = self._crashes.setdefault(crash.part, {})
        if crash.start in crashes:
            return False
        crashes[crash.start] = crash
        if len(crashes) > MAX_CRASHES_OF_PART:
            oldest = min(crashes.values(), key=lambda known: known.crashed_s)
            del crashes[oldest.start]
            if oldest is crash:
                return False
        self._is_outdated = True
        if len(self._crashes) > MAX_SUSPECTED_PARTS:
            self._forget(self._oldest_suspect())
        return True

    def observe_sound(self, parts: Iterable[str], began_s: float) -> list[str]:
        """Record that an upstream began to respond to a prompt and did not crash.

        Parameters
        ----------
        parts : iterable of str
            Parts of the prompt that other requests may share.
        began_s : float
            Monotonic time at which the response began.

        Returns
        -------
        list of str
            Parts that were suspected and are not any more.
        """
        cleared = [part for part in parts if self.merge_sound(part, began_s)]
        for part in cleared:
            self._unreported_sound[part] = began_s
        return cleared

    def merge_sound(self, part: str, sound_s: float) -> bool:
        """Record that a part was sound at some time; return whether it was suspected.

        Parameters
        ----------
        part : str
            Id of the part.
        sound_s : float
            Monotonic time at which an upstream began to respond.
        """
        known_s = self._sound_s.pop(part, -math.inf)
        self._sound_s[part] = max(known_s, sound_s)
        if len(self._sound_s) > MAX_SOUND_PARTS:
            self._sound_s.popitem(last=False)
        crashes = self._crashes.get(part)
        if crashes is None:
            return False
        self._is_outdated = True
        kept = {s: c for s, c in crashes.items() if c.crashed_s >= sound_s}
        if len(kept) == len(crashes):
            return False
        if kept:
            self._crashes[part] = kept
        else:
            self._forget(part)
        return True

    def forget_crash(self, part: str, start: UpstreamStart) -> None:
        """Drop evidence that another instance has withdrawn."""
        crashes = self._crashes.get(part)
        if crashes is None or crashes.pop(start, None) is None:
            return
        self._is_outdated = True
        if not crashes:
            self._forget(part)

    def verdict(
        self, parts: Sequence[str], now_s: float, may_try: bool = False
    ) -> Verdict:
        """Decide whether a request may be sent to an upstream.

        Parameters
        ----------
        parts : sequence of str
            Parts of its prompt that other requests may share.
        now_s : float
            Monotonic time.
        may_try : bool
            Whether this instance may send a request to try a refused part.

        Returns
        -------
        Verdict
            `TRIAL` until `begin_trial` is called.
        """
        if not self._crashes:
            return Verdict.ALLOWED
        from_s = self._refused(now_s)
        named = [part for part in dict.fromkeys(parts) if part in from_s]
        if not named:
            return Verdict.ALLOWED
        settled = [part for part in named if now_s - from_s[part] >= SETTLE_S]
        if not settled:
            return Verdict.HELD
        if may_try and len(named) == 1 and self._is_trial_due(named[0], now_s):
            return Verdict.TRIAL
        return Verdict.REFUSED

    def begin_trial(self, parts: Iterable[str], now_s: float) -> None:
        """Record that a request with the verdict `TRIAL` is going to be sent."""
        for part in parts:
            if part in self._refused_from_s:
                self._tried_s[part] = now_s

    def refused(self, now_s: float) -> frozenset[str]:
        """Return the parts that are refused now."""
        from_s = self._refused(now_s)
        return frozenset(
            p for p, since_s in from_s.items() if now_s - since_s >= SETTLE_S
        )

    def is_untested(self, parts: Iterable[str]) -> bool:
        """Return whether any part is not known to have been sound."""
        return any(part not in self._sound_s for part in parts)

    def is_suspected(self, crash: PartCrash) -> bool:
        """Return whether a crash is still evidence against its part."""
        return crash.start in self._crashes.get(crash.part, {})

    def was_sound(self, part: str) -> bool:
        """Return whether a part is known to have been sound at any time."""
        return part in self._sound_s

    def evidence(self) -> list[PartCrash]:
        """Return all evidence that has not been refuted."""
        return [
            crash for of_part in self._crashes.values() for crash in of_part.values()
        ]

    def crashes_of(self, part: str) -> list[PartCrash]:
        """Return the evidence against one part."""
        return list(self._crashes.get(part, {}).values())

    def take_unreported(
        self, n_most_crashes: int, n_most_sound: int
    ) -> tuple[list[PartCrash], dict[str, float]]:
        """Remove and return what peers have not been told yet.

        Parameters
        ----------
        n_most_crashes, n_most_sound : int
            Maximum number of crashes and of sound parts.

        Returns
        -------
        tuple of (list of PartCrash, dict of str to float)
            Crashes, and the times at which parts were sound.
        """
        crashes = self._unreported_crashes[:n_most_crashes]
        del self._unreported_crashes[:n_most_crashes]
        names = list(self._unreported_sound)[:n_most_sound]
        return crashes, {name: self._unreported_sound.pop(name) for name in names}

    @property
    def has_unreported(self) -> bool:
        """Whether there is anything that peers have not been told yet."""
        return bool(self._unreported_crashes or self._unreported_sound)

    def _refused(self, now_s: float) -> dict[str, float]:
        """Return since when each part is held or refused."""
        if self._is_outdated or now_s > self._expires_s:
            self._is_outdated = False
            self._drop_expired(now_s)
            self._reconsider(now_s)
        return self._refused_from_s

    def _reconsider(self, now_s: float) -> None:
        """Decide which parts are refused, after the evidence has changed."""
        suspects_of = self._suspects_by_start()
        self._refused_from_s = {
            part: since_s
            for part, since_s in self._refused_from_s.items()
            if self._is_enough(part, self._crashes.get(part, {}).values())
            and not self._is_explained_by_earlier(part, suspects_of)
        }
        explained = {
            start for part in self._refused_from_s for start in self._crashes[part]
        }
        for part in sorted(self._crashes, key=self._examination_key):
            if part in self._refused_from_s:
                continue
            unexplained = [
                crash
                for start, crash in self._crashes[part].items()
                if start not in explained
            ]
            if self._is_enough(part, unexplained) or self._is_common_to_branches(
                part, suspects_of
            ):
                self._refused_from_s[part] = now_s
                explained |= self._crashes[part].keys()
        for part in list(self._refused_from_s):
            if self._is_explained_by_another(part):
                del self._refused_from_s[part]

    def _suspects_by_start(self) -> dict[UpstreamStart, list[str]]:
        """Return the parts with enough evidence of their own, by their crashes."""
        suspects: dict[UpstreamStart, list[str]] = {}
        for part, crashes in self._crashes.items():
            if self._is_enough(part, crashes.values()):
                for start in crashes:
                    suspects.setdefault(start, []).append(part)
        return suspects

    def _is_explained_by_earlier(
        self, part: str, suspects_of: dict[UpstreamStart, list[str]]
    ) -> bool:
        """Return whether a part that is examined earlier has all its crashes.

        The evidence against that part may have arrived later.
        """
        crashes = self._crashes[part]
        common = set.intersection(*(set(suspects_of[start]) for start in crashes))
        key = self._examination_key(part)
        return any(self._examination_key(other) < key for other in common)

    def _is_common_to_branches(
        self, part: str, suspects_of: dict[UpstreamStart, list[str]]
    ) -> bool:
        """Return whether a part explains more than several other parts each do.

        Prompts may go on differently after the cause. Then each of the parts that
        follow has crashes enough to be refused, and none is left as evidence against
        the cause. All crashes with one of these parts count as one.
        """
        crashes = self._crashes[part]
        starts = crashes.keys()
        suspects = {name for start in starts for name in suspects_of.get(start, ())}
        if not suspects:
            return False
        explained: set[UpstreamStart] = set()
        for other in self._refused_from_s:
            if not self._crashes[other].keys() < starts:
                explained |= self._crashes[other].keys()
        branches = (self._crashes[name].keys() for name in suspects)
        n_branches = 0
        for branch in sorted(branches, key=lambda b: (len(b), sorted(map(str, b)))):
            if branch < starts and branch.isdisjoint(explained):
                n_branches += 1
                explained |= branch
        rest = [crash for start, crash in crashes.items() if start not in explained]
        n_needed = N_CRASHES_OF_FIRST_PART
        if part in self._sound_s:
            n_needed = N_CRASHES_OF_SOUND_PART
        return (
            n_branches > 0
            and n_branches + n_independent(rest) >= n_needed
            and n_independent(crashes.values()) >= n_needed
            and _span_s(crashes.values()) >= MIN_SPAN_S
        )

    def _is_explained_by_another(self, part: str) -> bool:
        """Return whether another refused part has all its crashes and more."""
        starts = self._crashes[part].keys()
        return any(
            starts < self._crashes[other].keys() for other in self._refused_from_s
        )

    def _examination_key(self, part: str) -> tuple[int, int, str]:
        crashes = self._crashes[part].values()
        return -max(crash.depth for crash in crashes), -len(crashes), part

    def _is_enough(self, part: str, crashes: Iterable[PartCrash]) -> bool:
        crashes = list(crashes)
        if len({crash.body for crash in crashes}) < N_REQUESTS:
            return False
        if part in self._sound_s:
            needed = N_CRASHES_OF_SOUND_PART
        elif all(crash.depth == 0 for crash in crashes):
            needed = N_CRASHES_OF_FIRST_PART
        else:
            return n_independent(crashes) >= N_CRASHES
        return _span_s(crashes) >= MIN_SPAN_S and n_independent(crashes) >= needed

    def _is_trial_due(self, part: str, now_s: float) -> bool:
        times_s = sorted(crash.crashed_s for crash in self._crashes[part].values())
        # A crash long after the one before was that of a trial. Counting them in the
        # evidence, not here, keeps the count over restarts.
        n_failed = sum(b - a >= FIRST_TRIAL_S for a, b in itertools.pairwise(times_s))
        last_s = max(times_s[-1], self._tried_s.get(part, -math.inf))
        return now_s - last_s >= trial_delay_s(n_failed)

    def _drop_expired(self, now_s: float) -> None:
        for part, crashes in list(self._crashes.items()):
            for start, crash in list(crashes.items()):
                if now_s - crash.crashed_s > EVIDENCE_LIFE_S:
                    del crashes[start]
            if not crashes:
                self._forget(part)
        times_s = (crash.crashed_s for crash in self.evidence())
        self._expires_s = min(times_s, default=math.inf) + EVIDENCE_LIFE_S

    def _oldest_suspect(self) -> str:
        suspects = (p for p in self._crashes if p not in self._refused_from_s)
        return next(suspects, next(iter(self._crashes)))

    def _forget(self, part: str) -> None:
        del self._crashes[part]
        self._refused_from_s.pop(part, None)
        self._tried_s.pop(part, None)


def trial_delay_s(n_failed: int) -> float:
    """Return the seconds without a crash until a trial is sent.

    Parameters
    ----------
    n_failed : int
        Number of trials that ended in a crash; after `MAX_FAILED_TRIALS` the delay is
        infinite.
    """
    if n_failed >= MAX_FAILED_TRIALS:
        return math.inf
    return FIRST_TRIAL_S * TRIAL_DELAY_FACTOR**n_failed


def _span_s(crashes: Iterable[PartCrash]) -> float:
    times_s = [crash.crashed_s for crash in crashes]
    return max(times_s) - min(times_s)


def n_independent(crashes: Iterable[PartCrash]) -> int:
    """Count crashes, without those that may have a common cause.

    Parameters
    ----------
    crashes : iterable of PartCrash
        Crashes of different starts of upstreams.

    Returns
    -------
    int
        Number of crashes whose request was sent after the previous one counted.

    Examples
    --------
    >>> start = UpstreamStart("engine-1", 1)
    >>> from dataclasses import replace
    >>> crash = PartCrash("a", 0, start, "body", sent_s=0.0, crashed_s=1.0)
    >>> n_independent([crash, replace(crash, sent_s=0.9, crashed_s=1.2)])
    1
    >>> n_independent([crash, replace(crash, sent_s=1.1, crashed_s=1.2)])
    2
    """
    n_counted, counted_s = 0, -math.inf
    for crash in sorted(crashes, key=lambda crash: crash.crashed_s):
        if crash.sent_s >= counted_s:
            n_counted += 1
            counted_s = crash.crashed_s
    return n_counted
