"""Quotas of organisations, enforced jointly by all instances.

Operators measure a quota over a sliding window, with a tolerance. Each instance
counts its own admissions and those reported by its peers in such a window. A peer
that sends no reports is assumed to use an equal share of the quota, so the sum over
all instances stays within the quota while they are disconnected.

Each instance also writes notes of what it has admitted to storage outside of the
process. A starting instance reads the notes of all instances, because all peers that
could report to it may have been killed at the same time. If the notes are too old or
cannot be read, its limits grow from 0 during the first window.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from ..undecodable import MAX_INTEGER
from .sliding_window import SLOT_S, SlidingWindow

# A peer that has sent no report for this long is assumed to use its equal share. Peers
# send one at least once a second.
PEER_SILENT_AFTER_S = 1.5
# A silent peer is assumed to have ended after this time. It is longer than most network
# partitions: if both sides of a partition used the whole quota, they would exceed it
# together.
PEER_GONE_AFTER_S = 30.0
# Other cells are assumed to use their equal shares if none of their reports has arrived
# for this long. One instance of each cell, its representative, sends them once a
# second.
OTHER_CELLS_SILENT_AFTER_S = 5.0
# Shares of the tolerance that the limits include. The rest covers requests that
# instances admit before they receive each other's reports, at least one for each
# instance, and requests that are missing from the notes after a restart.
USED_SHARE_OF_RATIO = 0.5
USED_SHARE_OF_SLACK = 0.2
# A note is due when an instance has admitted this share of its part of a quota since
# the last note. If all instances are killed, their notes together lack at most this
# share of a window.
NOTE_DUE_SHARE = 0.15
# The same for an organisation that has used more than `MUCH_USED_SHARE` of its quota.
# This share is smaller, because the losses add up if all instances are killed several
# times within one window.
NOTE_DUE_SHARE_IF_MUCH_USED = 0.03
MUCH_USED_SHARE = 0.5
# A note that would not be empty is due after this long even without new requests, so
# that the absence of recent notes shows that they could not be written.
MAX_NOTE_AGE_S = 4.0
# Refunds of charges that are about to expire are not told to peers: a peer may have
# dropped the charge by then and would cancel another one.
REFUND_MARGIN_S = 1.5
# Maximum difference between the clocks of two instances. Admissions in a note are
# treated as more recent by this, so that they expire later.
CLOCK_ERROR_S = 2.5
# A note of an earlier epoch of the store that is older than this is not of a process
# that still runs; others may have written a newer one that the store has lost.
LOST_HISTORY_S = 60.0


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How operators measure quotas.

    Parameters
    ----------
    window_s : float
        Length of the sliding window.
    over_ratio : float
        Tolerated excess as a share of the quota of a window.
    slack_units : float
        Tolerated excess in units, in addition to `over_ratio`.
    """

    window_s: float
    over_ratio: float
    slack_units: float


class QuotaNote(msgspec.Struct, frozen=True):
    """What one instance has admitted in the last window.

    Parameters
    ----------
    written_ms : int
        Unix time of the note in milliseconds.
    used : dict of str to list of (float, float)
        For each organisation, the age in seconds and the units of its admissions.
    epoch : int
        Epoch of the store when it was written; 0 if the store has none.
    """

    written_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    used: dict[str, list[tuple[float, float]]]
    epoch: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)] = 0


@dataclass(slots=True)
class _Quota:
    rate_per_s: float
    burst_units: float
    window: SlidingWindow
    own_window: SlidingWindow
    own_used: float = 0.0
    noted_used: float = 0.0
    # Units admitted since the start of this process by its own cell and by others.
    cell_used: float = 0.0
    other_cells_used: float = 0.0
    used_by_source: dict[str, float] = field(default_factory=dict)

    def observe(self, source: str, total: float, now_s: float) -> float:
        """Count the increase of a source's sum, and return it.

        A source is a peer, or a peer's reports on one or more other cells. The first
        sum of an unknown source only sets the base of the next increase; 0.0 is
        returned.
        """
        if not 0.0 <= total < math.inf:
            # Not a valid sum; ignore it until the next message.
            return 0.0
        before = self.used_by_source.get(source)
        self.used_by_source[source] = total
        if before is None or total <= before:
            # Sums of older builds fall with a refund, which would outlive its charge.
            return 0.0
        self.window.add(total - before, now_s)
        return total - before


class QuotaTracker:
    """Enforces the quotas of all organisations that have one.

    Parameters
    ----------
    tolerance : QuotaTolerance
        How operators measure quotas.
    started_s : float
        Monotonic time of the start of this process. What was admitted in the
        window before it is unknown until `restore` is called.

    Examples
    --------
    >>> tracker = QuotaTracker(QuotaTolerance(1.0, 0.0, 10.0), started_s=0.0)
    >>> tracker.set_quota("club", rate_per_s=10.0, burst_units=10.0)
    >>> [tracker.try_take("club", 15.0, now_s=5.0 + step) for step in (0, 0, 2)]
    [True, False, True]
    """

    __slots__ = (
        "_counted_from_s_by_peer",
        "_knows_past_use",
        "_last_cells_report_s",
        "_last_note_s",
        "_last_report_s_by_peer",
        "_n_cells",
        "_quotas",
        "_reported_s",
        "_started_s",
        "_tolerance",
        "_untold_refunds",
    )

    def __init__(self, tolerance: QuotaTolerance, started_s: float) -> None:
        self._tolerance = tolerance
        self._started_s = started_s
        self._knows_past_use = False
        self._n_cells = 1
        self._last_cells_report_s = started_s
        self._last_note_s = started_s
        self._quotas: dict[str, _Quota] = {}
        self._last_report_s_by_peer: dict[str, float] = {}
        # Time since which the charges of each peer are counted.
        self._counted_from_s_by_peer: dict[str, float] = {}
        # Refunds that peers have not been told of, by organisation and time of the
        # charge in steps of `SLOT_S`.
        self._untold_refunds: dict[tuple[str, float], float] = {}
        self._reported_s = started_s

    def set_quota(
        self, organisation: str, rate_per_s: float, burst_units: float
    ) -> None:
        """Set the quota of an organisation; a rate of 0 removes it."""
        if rate_per_s <= 0:
            self._quotas.pop(organisation, None)
            return
        quota = self._quotas.get(organisation)
        if quota is None:
            window_s = self._tolerance.window_s
            self._quotas[organisation] = _Quota(
                rate_per_s,
                burst_units,
                SlidingWindow(window_s),
                SlidingWindow(window_s),
            )
            return
        quota.rate_per_s = rate_per_s
        quota.burst_units = burst_units

    def keep_only(self, organisations: set[str]) -> None:
        """Remove the quotas of organisations that are not in the set."""
        for organisation in set(self._quotas) - organisations:
            del self._quotas[organisation]

    def try_take(self, organisation: str, units: float, now_s: float) -> bool:
        """Admit a request if the quota allows it, and count it.

        Parameters
        ----------
        organisation : str
            Organisation that sent the request.
        units : float
            Units of quota that it uses.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether it is admitted; always True for an organisation without a
            quota.
        """
        quota = self._quotas.get(organisation)
        if quota is None:
            return True
        quota.window.expire(now_s)
        if quota.window.total + units > self._limit(quota, now_s):
            return False
        quota.window.add(units, now_s)
        quota.own_window.add(units, now_s)
        quota.own_used += units
        quota.cell_used += units
        return True

    def refund(
        self, organisation: str, units: float, charged_s: float, now_s: float
    ) -> None:
        """Refund the units of a request that was not sent to any upstream.

        They leave the window as if they had not been charged. A charge that has
        expired is not refunded, nor one that this tracker has not made.

        Parameters
        ----------
        organisation : str
            Organisation that sent the request.
        units : float
            Units that it was charged.
        charged_s : float
            Monotonic time that `try_take` was given for it.
        now_s : float
            Monotonic time.
        """
        quota = self._quotas.get(organisation)
        if quota is None:
            return
        quota.window.expire(now_s)
        quota.own_window.expire(now_s)
        units = min(units, quota.own_window.charged_in_slot(charged_s))
        if units <= 0.0:
            return
        quota.own_window.remove(charged_s, units)
        quota.window.remove(charged_s, units)
        if charged_s > self._reported_s:
            quota.own_used -= units
            quota.cell_used -= units
            return
        # Peers have booked the charge. A lower sum would cancel other charges, which
        # expire later. Refunds of about the same time are told as one, with the
        # earliest time.
        key = organisation, charged_s // SLOT_S * SLOT_S
        self._untold_refunds[key] = self._untold_refunds.get(key, 0.0) + units

    def mark_reported(self, now_s: float) -> None:
        """Record that peers have been sent what was admitted until now."""
        self._reported_s = now_s

    @property
    def has_untold_refunds(self) -> bool:
        """Whether there are refunds that peers have not been told of."""
        return bool(self._untold_refunds)

    def take_untold_refunds(
        self, n_most: int, now_s: float
    ) -> list[tuple[str, float, float]]:
        """Take refunds that peers have not been told of.

        Parameters
        ----------
        n_most : int
            Maximum number of rows. The rest is returned later, unless it is too old.
        now_s : float
            Monotonic time.

        Returns
        -------
        list of (str, float, float)
            Organisation, seconds since the charge, and units.
        """
        rows: list[tuple[str, float, float]] = []
        for organisation, charged_s in list(self._untold_refunds):
            if len(rows) == n_most:
                break
            units = self._untold_refunds.pop((organisation, charged_s))
            age_s = now_s - charged_s
            if age_s <= self._tolerance.window_s - REFUND_MARGIN_S:
                rows.append((organisation, round(age_s, 3), units))
        return rows

    def observe_refunds(
        self, peer: str, refunds: Iterable[tuple[str, float, float]], now_s: float
    ) -> None:
        """Take back charges of a peer that were not used.

        A refund that does not arrive is counted as used until it expires.

        Parameters
        ----------
        peer : str
            Incarnation of the peer.
        refunds : iterable of (str, float, float)
            Organisation, seconds since the charge, and units.
        now_s : float
            Monotonic time.
        """
        counted_from_s = self._counted_from_s_by_peer.get(peer, math.inf)
        for organisation, age_s, units in refunds:
            quota = self._quotas.get(organisation)
            is_valid = 0.0 <= age_s < math.inf and 0.0 < units < math.inf
            if quota is None or not is_valid or now_s - age_s < counted_from_s:
                continue
            quota.window.expire(now_s)
            if age_s <= self._tolerance.window_s - REFUND_MARGIN_S:
                quota.window.remove(now_s - age_s, units)

    def seconds_until(self, organisation: str, units: float, now_s: float) -> float:
        """Return the seconds until a refused request could be admitted."""
        quota = self._quotas.get(organisation)
        if quota is None:
            return 0.0
        excess = quota.window.total + units - self._limit(quota, now_s)
        return quota.window.seconds_until(excess, now_s)

    def used(self) -> dict[str, float]:
        """Return the units admitted by this process so far, by organisation."""
        return {name: quota.own_used for name, quota in self._quotas.items()}

    def observe_peer(
        self,
        peer: str,
        used: dict[str, float],
        now_s: float,
        uptime_s: float = math.inf,
    ) -> None:
        """Count what a peer reports to have admitted.

        Parameters
        ----------
        peer : str
            Incarnation of the peer; a new incarnation counts from 0 again.
        used : dict of str to float
            Units admitted since the start of the peer, by organisation;
            organisations whose sums have not changed may be left out.
        now_s : float
            Monotonic time.
        uptime_s : float
            Seconds since the start of the peer. If it started within the last
            window, what it admitted before its first report is counted too.
        """
        is_recent = uptime_s < self._tolerance.window_s
        self._last_report_s_by_peer[peer] = now_s
        if peer not in self._counted_from_s_by_peer:
            uncounted_s = 0.0 if not is_recent else uptime_s
            self._counted_from_s_by_peer[peer] = now_s - uncounted_s
        for organisation, total in used.items():
            quota = self._quotas.get(organisation)
            if quota is None:
                continue
            if is_recent:
                quota.used_by_source.setdefault(peer, 0.0)
            quota.cell_used += quota.observe(peer, total, now_s)

    def set_cells(self, n_cells: int) -> None:
        """Set the number of cells into which the instances are divided."""
        self._n_cells = n_cells

    def observe_cells(self, source: str, used: dict[str, float], now_s: float) -> None:
        """Count what other cells are reported to have admitted.

        Parameters
        ----------
        source : str
            Identifies the instance that sent the report and the cells that its sums
            cover; sums of different sources are counted separately.
        used : dict of str to float
            Units admitted so far, for the organisations that have used the largest
            shares of their quotas.
        now_s : float
            Monotonic time.
        """
        self._last_cells_report_s = now_s
        for organisation, total in used.items():
            quota = self._quotas.get(organisation)
            if quota is not None:
                quota.other_cells_used += quota.observe(source, total, now_s)

    def cell_used(self, n_most: int) -> dict[str, float]:
        """Return the units admitted by the own cell since the start.

        Parameters
        ----------
        n_most : int
            Maximum number of organisations: those that have used the largest shares
            of their quotas in the last window.
        """
        return {name: quota.cell_used for name, quota in self._most_used(n_most)}

    def other_cells_used(self, n_most: int) -> dict[str, float]:
        """Return the units admitted by other cells; otherwise like `cell_used`."""
        return {name: quota.other_cells_used for name, quota in self._most_used(n_most)}

    def _most_used(self, n_most: int) -> list[tuple[str, _Quota]]:
        used = [item for item in self._quotas.items() if item[1].window.total > 0.0]
        used.sort(
            key=lambda item: item[1].window.total / self._units_per_window(item[1])
        )
        return used[-n_most:]

    def forget_peer(self, peer: str) -> None:
        """Stop counting the reports of a peer.

        Its admissions in the window stay counted. If it reports again, it is treated as
        a peer that has not reported before.
        """
        self._last_report_s_by_peer.pop(peer, None)
        self._counted_from_s_by_peer.pop(peer, None)
        for quota in self._quotas.values():
            quota.used_by_source.pop(peer, None)

    def is_note_due(self, now_s: float) -> bool:
        """Return whether the next note has to be written now."""
        is_old = now_s - self._last_note_s >= MAX_NOTE_AGE_S
        for quota in self._quotas.values():
            units_since_note = quota.own_used - quota.noted_used
            quota.own_window.expire(now_s)
            window_units = self._units_per_window(quota)
            is_much_used = quota.window.total > MUCH_USED_SHARE * window_units
            share = NOTE_DUE_SHARE_IF_MUCH_USED if is_much_used else NOTE_DUE_SHARE
            if units_since_note > share * window_units / self.n_instances:
                return True
            if is_old and quota.own_window.total > 0.0:
                return True
        return False

    @property
    def n_instances(self) -> int:
        """Number of instances that report, this one included."""
        return len(self._last_report_s_by_peer) + 1

    def make_note(self, now_s: float, written_ms: int, epoch: int = 0) -> QuotaNote:
        """Return a note of what this process has admitted in the last window.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        written_ms : int
            Unix time in milliseconds, from which a later process computes the age.
        epoch : int
            Epoch of the store, from which a later process sees whether newer notes of
            this process may have been lost.

        Returns
        -------
        QuotaNote
            To be confirmed with `mark_note_stored` when it is stored.
        """
        used = {}
        for organisation, quota in self._quotas.items():
            quota.own_window.expire(now_s)
            by_age = quota.own_window.by_age(now_s)
            if by_age:
                used[organisation] = by_age
        return QuotaNote(written_ms, used, epoch)

    def mark_note_stored(self, used: dict[str, float], now_s: float) -> None:
        """Record that a note which covers these sums from `used` was stored."""
        self._last_note_s = now_s
        for organisation, total in used.items():
            quota = self._quotas.get(organisation)
            if quota is not None:
                quota.noted_used = total

    def restore(
        self,
        notes: dict[str, QuotaNote],
        instance: str,
        now_s: float,
        unix_ms: int,
        epoch: int = 0,
        *,
        may_lack_notes: bool = False,
    ) -> bool:
        """Count what the notes of all instances say was admitted before the start.

        Parameters
        ----------
        notes : dict of str to QuotaNote
            The newest note of each instance.
        instance : str
            Name of this instance. Its next note replaces the one in `notes`, and
            therefore has to include it.
        now_s : float
            Monotonic time.
        unix_ms : int
            Unix time in milliseconds.
        epoch : int
            Epoch of the store.
        may_lack_notes : bool
            Whether the store has just returned from an older copy.

        Returns
        -------
        bool
            False if there are notes but the newest one is older than a window, or
            one may be older than a note that the store has lost, so that the last
            admissions are unknown; the limits then grow from 0.
        """
        ages_s = []
        for noted_by, note in notes.items():
            age_by_clock_s = (unix_ms - note.written_ms) * 0.001
            ages_s.append(age_by_clock_s)
            if note.epoch < epoch and age_by_clock_s < LOST_HISTORY_S:
                may_lack_notes = True
            note_age_s = max(0.0, age_by_clock_s - CLOCK_ERROR_S)
            for organisation, by_age in note.used.items():
                quota = self._quotas.get(organisation)
                if quota is None:
                    continue
                for age_s, units in by_age:
                    if units <= 0.0:
                        # Older builds noted refunds, which would outlive the charges.
                        continue
                    admitted_s = now_s - note_age_s - age_s
                    quota.window.add_past(units, admitted_s)
                    if noted_by == instance:
                        quota.own_window.add_past(units, admitted_s)
        # Makes the first note due at once, because the old one is not current any more.
        self._last_note_s = now_s - MAX_NOTE_AGE_S
        is_recent = not ages_s or min(ages_s) <= self._tolerance.window_s
        self._knows_past_use = is_recent and not may_lack_notes
        return self._knows_past_use

    def _units_per_window(self, quota: _Quota) -> float:
        return quota.rate_per_s * self._tolerance.window_s + quota.burst_units

    def _limit(self, quota: _Quota, now_s: float) -> float:
        """Return the maximum number of units in the window at this time."""
        tolerance = self._tolerance
        window_units = self._units_per_window(quota)
        observed_share = (now_s - self._started_s) / (tolerance.window_s + SLOT_S)
        if observed_share < 1.0:
            # What was admitted before the start is unknown, or known from notes
            # that lack the most recent requests.
            ramp = 1.0 if self._knows_past_use else observed_share
            return window_units * ramp * self._available_share(now_s)
        tolerated = (
            window_units * USED_SHARE_OF_RATIO * tolerance.over_ratio
            + USED_SHARE_OF_SLACK * tolerance.slack_units
        )
        return (window_units + tolerated) * self._available_share(now_s)

    def _available_share(self, now_s: float) -> float:
        """Return the share of the quota that is left by silent peers and cells."""
        if (
            self._n_cells > 1
            and now_s - self._last_cells_report_s > OTHER_CELLS_SILENT_AFTER_S
        ):
            return self._available_share_of_cell(now_s) / self._n_cells
        return self._available_share_of_cell(now_s)

    def _available_share_of_cell(self, now_s: float) -> float:
        n_silent = 0
        for peer, last_report_s in list(self._last_report_s_by_peer.items()):
            if now_s - last_report_s > PEER_GONE_AFTER_S:
                self.forget_peer(peer)
            elif now_s - last_report_s > PEER_SILENT_AFTER_S:
                n_silent += 1
        return 1.0 - n_silent / (len(self._last_report_s_by_peer) + 1)
