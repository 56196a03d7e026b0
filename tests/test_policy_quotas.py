"""Tests that all instances together stay within a quota, also across restarts."""

import random

import pytest

from pomelothread.gateway.quota_notes import NOTE_CHECK_INTERVAL_S
from pomelothread.policy.quotas import (
    MAX_NOTE_AGE_S,
    NOTE_DUE_SHARE,
    PEER_GONE_AFTER_S,
    PEER_SILENT_AFTER_S,
    USED_SHARE_OF_RATIO,
    USED_SHARE_OF_SLACK,
    QuotaNote,
    QuotaTolerance,
    QuotaTracker,
)

TOLERANCE = QuotaTolerance(window_s=8.0, over_ratio=0.1, slack_units=1000.0)
RATE, BURST = 100.0, 200.0
# Units that operators tolerate in a window, and the limit of a single instance.
ALLOWED = (RATE * 8 + BURST) * 1.1 + 1000.0
LIMIT = (RATE * 8 + BURST) * (
    1 + USED_SHARE_OF_RATIO * 0.1
) + USED_SHARE_OF_SLACK * 1000.0


def make_tracker(started_s=-100.0, tolerance=TOLERANCE):
    tracker = QuotaTracker(tolerance, started_s)
    tracker.set_quota("club", RATE, BURST)
    return tracker


def most_in_a_window(admitted):
    return max(
        sum(units for s, units in admitted if start_s <= s <= start_s + 8.0)
        for start_s, _ in admitted
    )


def test_one_instance_uses_its_limit_and_no_more():
    tracker, admitted = make_tracker(), []
    for step in range(2000):
        now_s = step * 0.02
        if tracker.try_take("club", 10.0, now_s):
            admitted.append((now_s, 10.0))
    assert most_in_a_window(admitted) <= LIMIT
    total_s = 40.0
    assert sum(units for _, units in admitted) >= 0.9 * LIMIT * total_s / 8.25


@pytest.mark.parametrize("delay_s", [0.0, 0.1])
@pytest.mark.parametrize("n_trackers", [2, 5])
def test_instances_that_hear_each_other_stay_within_what_is_allowed(
    n_trackers, delay_s
):
    source = random.Random(7)
    trackers = [make_tracker() for _ in range(n_trackers)]
    admitted, in_flight = [], []
    for step in range(1500):
        now_s = step * 0.02
        while in_flight and in_flight[0][0] <= now_s:
            _, sender, used = in_flight.pop(0)
            for number, tracker in enumerate(trackers):
                if number != sender:
                    tracker.observe_peer(str(sender), used, now_s)
        number = source.randrange(n_trackers)
        if trackers[number].try_take("club", 10.0, now_s):
            admitted.append((now_s, 10.0))
        in_flight.append((now_s + delay_s, number, trackers[number].used()))
    assert most_in_a_window(admitted) <= ALLOWED


def test_what_a_peer_admitted_before_it_was_first_heard_counts_if_it_is_new():
    # Instances that start at the same time admit requests for up to a second before
    # they receive each other's first reports. These requests have to be counted too.
    tracker = make_tracker()
    tracker.observe_peer("old", {"club": 1e6}, 0.0, uptime_s=3600.0)
    assert tracker.try_take("club", 10.0, 0.0)
    tracker.observe_peer("new", {"club": LIMIT - 20.0}, 0.0, uptime_s=0.7)
    assert not tracker.try_take("club", 20.0, 0.0)
    assert tracker.try_take("club", 10.0, 0.0)


def test_instances_that_are_cut_off_share_the_quota():
    trackers = [make_tracker() for _ in range(4)]
    for number, tracker in enumerate(trackers):
        for other in range(4):
            if other != number:
                tracker.observe_peer(str(other), {}, 0.0)
    admitted = []
    for step in range(1000):
        now_s = PEER_SILENT_AFTER_S + 0.01 + step * 0.02
        for tracker in trackers:
            if tracker.try_take("club", 10.0, now_s):
                admitted.append((now_s, 10.0))
    assert most_in_a_window(admitted) <= ALLOWED


def test_the_share_of_a_peer_that_stays_silent_is_used_again_in_the_end():
    tracker = make_tracker()
    tracker.observe_peer("gone", {}, 0.0)
    assert not tracker.try_take("club", LIMIT * 0.9, PEER_SILENT_AFTER_S + 1)
    assert tracker.try_take("club", LIMIT * 0.9, PEER_GONE_AFTER_S + 1)


def test_an_instance_that_is_restarted_stays_within_what_is_allowed():
    admitted = []
    first = make_tracker()
    for step in range(800):
        now_s = step * 0.02
        if first.try_take("club", 10.0, now_s):
            admitted.append((now_s, 10.0))
    restarted_s = 16.5
    second = make_tracker(restarted_s)
    for step in range(800):
        now_s = restarted_s + step * 0.02
        if second.try_take("club", 10.0, now_s):
            admitted.append((now_s, 10.0))
    assert most_in_a_window(admitted) <= ALLOWED


def test_a_quota_used_up_just_before_all_instances_are_killed_is_not_given_again():
    # An organisation uses the quota of a window within four seconds. Then all processes
    # are killed and start again a second later, without any notes.
    admitted = []
    for tracker, start_s, end_s in (
        (make_tracker(), 0.0, 4.0),
        (make_tracker(5.0), 5.0, 8.0),
    ):
        for step in range(int((end_s - start_s) / 0.01)):
            now_s = start_s + step * 0.01
            if tracker.try_take("club", 10.0, now_s):
                admitted.append((now_s, 10.0))
    assert most_in_a_window(admitted) <= ALLOWED


UNIX_MS = 1_700_000_000_000


def admit_in_turn(trackers, admitted, start_s, end_s, step_s, notes):
    """Let the trackers admit requests in turn, and write notes when they are due."""
    check_every = max(1, round(NOTE_CHECK_INTERVAL_S / step_s))
    for step in range(round((end_s - start_s) / step_s)):
        now_s = start_s + step * step_s
        tracker = trackers[step % len(trackers)]
        if tracker.try_take("club", 10.0, now_s):
            admitted.append((now_s, 10.0))
        for number, tracker in enumerate(trackers):
            for other, peer in enumerate(trackers):
                if other != number:
                    peer.observe_peer(f"{start_s}-{number}", tracker.used(), now_s)
            if step % check_every == 0 and tracker.is_note_due(now_s):
                unix_ms = UNIX_MS + round(now_s * 1000)
                notes[str(number)] = tracker.make_note(now_s, unix_ms)
                tracker.mark_note_stored(tracker.used(), now_s)


def restart(notes, n_trackers, now_s, clock_error_s=0.0, tolerance=TOLERANCE):
    trackers = [make_tracker(now_s, tolerance) for _ in range(n_trackers)]
    unix_ms = UNIX_MS + round((now_s + clock_error_s) * 1000)
    known = [
        tracker.restore(notes, str(number), now_s, unix_ms)
        for number, tracker in enumerate(trackers)
    ]
    return trackers, all(known)


@pytest.mark.parametrize("n_trackers", [1, 3])
@pytest.mark.parametrize("n_restarts", [1, 3])
@pytest.mark.parametrize("clock_error_s", [0.0, -2.0, 2.0])
def test_past_use_is_restored_after_all_instances_restart(
    n_trackers, n_restarts, clock_error_s
):
    admitted, notes, now_s = [], {}, 0.0
    trackers = [make_tracker() for _ in range(n_trackers)]
    for _ in range(n_restarts):
        admit_in_turn(trackers, admitted, now_s, now_s + 2.0, 0.005, notes)
        now_s += 3.0
        trackers, is_known = restart(notes, n_trackers, now_s, clock_error_s)
        assert is_known
    admit_in_turn(trackers, admitted, now_s, now_s + 8.0, 0.005, notes)
    assert most_in_a_window(admitted) <= ALLOWED


@pytest.mark.parametrize("run_s", [0.3, 0.7, 2.0])
def test_little_tolerance_is_enough_if_all_instances_are_killed_again_and_again(
    run_s,
):
    # Admissions that are missing from the notes add up over several restarts: an
    # organisation that sent five times its quota was admitted 70% more than the quota
    # when all processes were killed three times within one window.
    tolerance = QuotaTolerance(window_s=8.0, over_ratio=0.1, slack_units=220.0)
    admitted, notes, now_s = [], {}, 0.0
    trackers = [make_tracker(tolerance=tolerance) for _ in range(3)]
    for _ in range(8):
        admit_in_turn(trackers, admitted, now_s, now_s + run_s, 0.02, notes)
        now_s += run_s + 0.5
        trackers, _ = restart(notes, 3, now_s, tolerance=tolerance)
    assert most_in_a_window(admitted) <= (RATE * 8 + BURST) * 1.1 + 220.0


def test_an_organisation_far_below_its_quota_is_not_limited_after_a_restart():
    admitted, notes = [], {}
    tracker = make_tracker()
    # Half of the rate: one request of 10 units every 0.2 s.
    admit_in_turn([tracker], admitted, 0.0, 10.0, 0.2, notes)
    (tracker,), _ = restart(notes, 1, 11.5)
    # Callers that had to wait retry at the same time.
    assert all(tracker.try_take("club", 10.0, 11.5) for _ in range(20))
    assert not make_tracker(11.5).try_take("club", 10.0, 11.5)


def test_past_use_is_unknown_if_the_notes_are_old():
    notes = {}
    admit_in_turn([make_tracker()], [], 0.0, 2.0, 0.01, notes)
    (tracker,), is_known = restart(notes, 1, 2.0 + 8.1)
    assert not is_known
    assert not tracker.try_take("club", 10.0, 2.0 + 8.1)


def test_notes_are_due_by_use_and_by_time():
    tracker = make_tracker(0.0)
    tracker.restore({}, "own", 0.0, UNIX_MS)
    assert not tracker.is_note_due(0.1)
    tracker.try_take("club", 10.0, 0.1)
    assert tracker.is_note_due(0.1)
    tracker.mark_note_stored(tracker.used(), 0.2)
    assert not tracker.is_note_due(0.3)
    assert tracker.is_note_due(0.2 + MAX_NOTE_AGE_S)
    assert not tracker.is_note_due(0.2 + 2 * MAX_NOTE_AGE_S + 1)
    tracker.try_take("club", NOTE_DUE_SHARE * (RATE * 8 + BURST) + 1, 10.0)
    assert tracker.is_note_due(10.0)


def test_a_lowered_quota_is_enforced_after_one_window():
    tracker, admitted = make_tracker(), []
    for step in range(1000):
        now_s = step * 0.02
        if step == 300:
            tracker.set_quota("club", RATE / 10, BURST / 10)
        if tracker.try_take("club", 10.0, now_s):
            admitted.append((now_s, 10.0))
    late = [(s, units) for s, units in admitted if s > 6.0 + 8.0]
    assert most_in_a_window(late) <= (RATE * 8 + BURST) / 10 * 1.1 + 1000.0


def test_units_of_unsent_requests_are_refunded_and_not_reported():
    tracker = make_tracker()
    assert tracker.try_take("club", 500.0, 0.0)
    tracker.refund("club", 500.0, 0.0, 0.1)
    assert tracker.used() == {"club": 0.0}
    assert tracker.try_take("club", LIMIT - 1, 0.2)


# Guards against a refund that stays in the window longer than its charge, and counts
# twice.
@pytest.mark.parametrize("refunded_s", [0.0, 0.1, 3.0, 7.9, 8.1, 8.3, 9.0, 20.0])
def test_a_refund_ends_with_its_charge(refunded_s):
    tracker = make_tracker()
    assert tracker.try_take("club", 500.0, 0.0)
    tracker.refund("club", 500.0, 0.0, refunded_s)
    for now_s in (refunded_s, refunded_s + 8.5, refunded_s + 30.0):
        assert not tracker.try_take("club", LIMIT + 1.0, now_s)
    now_s = refunded_s + 31.0
    assert tracker.try_take("club", LIMIT, now_s)
    # No note gives units back to the next process, either.
    note = tracker.make_note(now_s, UNIX_MS)
    assert all(units >= 0.0 for _, units in note.used["club"])


def test_only_what_was_charged_is_refunded():
    tracker = make_tracker()
    assert tracker.try_take("club", 500.0, 0.0)
    tracker.set_quota("late", RATE, BURST)
    for name in ("late", "unknown"):
        tracker.refund(name, 500.0, 0.0, 1.0)
    tracker.refund("club", 900.0, 0.0, 1.0)
    tracker.refund("club", 500.0, 0.0, 1.0)
    assert not tracker.try_take("club", LIMIT + 1.0, 2.0)
    assert not tracker.try_take("late", LIMIT + 1.0, 2.0)
    # A configuration has taken the organisation away meanwhile.
    assert tracker.try_take("club", 500.0, 3.0)
    tracker.keep_only(set())
    tracker.set_quota("club", RATE, BURST)
    tracker.refund("club", 500.0, 3.0, 4.0)
    assert not tracker.try_take("club", LIMIT + 1.0, 4.0)


class Instance:
    """A tracker, and the requests that it has admitted and not sent yet."""

    def __init__(self, started_s=-100.0):
        self.tracker = make_tracker(started_s)
        self.waiting = []


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize("wait_s", [0.05, 3.0, 7.5, 9.0])
@pytest.mark.parametrize("n_instances", [1, 2, 5])
def test_instances_that_refund_stay_within_what_is_allowed(n_instances, wait_s, loss):
    # Waves of requests wait, and are refused and refunded; then they are sent at once.
    source = random.Random(5)
    fleet = [Instance() for _ in range(n_instances)]
    sent, sums = [], {}
    for step in range(3000):
        now_s = step * 0.02
        instance = source.choice(fleet)
        is_overloaded = int(now_s / 6.0) % 2 == 0
        if instance.tracker.try_take("club", 10.0, now_s):
            if is_overloaded:
                instance.waiting.append(now_s)
            else:
                sent.append((now_s, 10.0))
        for number, sender in enumerate(fleet):
            while sender.waiting and sender.waiting[0] <= now_s - wait_s:
                sender.tracker.refund("club", 10.0, sender.waiting.pop(0), now_s)
            if step % n_instances != number:
                continue
            sums[number] = sender.tracker.used()
            sender.tracker.mark_reported(now_s)
            refunds = sender.tracker.take_untold_refunds(100, now_s)
            for other, peer in enumerate(fleet):
                if other != number and source.random() >= loss:
                    peer.tracker.observe_peer(str(number), sums[number], now_s)
                    peer.tracker.observe_refunds(str(number), refunds, now_s)
    assert most_in_a_window(sent) <= ALLOWED
    if wait_s < 1.0 and not loss:
        # Refunded units are admitted again within their window.
        assert sum(units for _, units in sent) >= 0.8 * LIMIT * 30.0 / 8.25


REFUNDS = [
    (("club", 0.5, 500.0), 500.0),
    (("club", 0.5, 900.0), 900.0),
    (("club", 0.5, 1e9), 1000.0),
    # Charged before this instance has counted the peer, or long ago.
    (("club", 2.5, 500.0), 0.0),
    (("club", 7.5, 500.0), 0.0),
    (("other", 0.5, 500.0), 0.0),
    (("club", 0.5, -500.0), 0.0),
    (("club", -0.5, 500.0), 0.0),
    (("club", float("nan"), 500.0), 0.0),
    (("club", 0.5, float("inf")), 0.0),
]


@pytest.mark.parametrize(("refund", "units"), REFUNDS)
def test_a_refund_of_a_peer_takes_back_what_was_counted(refund, units):
    tracker = make_tracker()
    tracker.observe_peer("a", {"club": 0.0}, 8.0)
    tracker.observe_peer("a", {"club": 1000.0}, 9.4)
    tracker.observe_refunds("a", [refund], 10.0)
    tracker.observe_refunds("unknown", [("club", 0.1, 500.0)], 10.0)
    room = LIMIT - 1000.0 + units
    assert not tracker.try_take("club", room + 0.1, 10.0)
    assert tracker.try_take("club", room - 0.1, 10.0)


def test_refunds_are_told_once_and_while_peers_still_count_the_charge():
    tracker = make_tracker()
    for now_s in (0.0, 1.0, 2.0):
        assert tracker.try_take("club", 100.0, now_s)
    tracker.mark_reported(2.5)
    for now_s in (0.0, 1.0, 2.0):
        tracker.refund("club", 100.0, now_s, 7.2)
    assert tracker.used() == {"club": 300.0}
    # The first charge is too old.
    assert tracker.take_untold_refunds(1, 7.2) == [("club", 6.2, 100.0)]
    assert tracker.take_untold_refunds(9, 7.2) == [("club", 5.2, 100.0)]
    assert not tracker.has_untold_refunds
    # Those of about the same time are one row, with the earliest time.
    for now_s in (8.0, 8.05, 8.2):
        assert tracker.try_take("club", 10.0, now_s)
    tracker.mark_reported(8.5)
    for now_s in (8.0, 8.05, 8.2):
        tracker.refund("club", 10.0, now_s, 9.0)
    assert tracker.take_untold_refunds(9, 9.0) == [("club", 1.0, 30.0)]


def test_a_sum_of_an_older_build_that_falls_gives_nothing_back():
    tracker = make_tracker()
    for now_s, total in ((0.0, 0.0), (0.5, 900.0), (1.0, 400.0), (1.5, 500.0)):
        tracker.observe_peer("a", {"club": total}, now_s)
    assert not tracker.try_take("club", LIMIT - 999.0, 1.5)
    assert tracker.try_take("club", LIMIT - 1001.0, 1.5)


def test_a_note_of_an_older_build_gives_nothing_back():
    tracker = make_tracker(10.0)
    note = QuotaNote(UNIX_MS, {"club": [(1.0, 200.0), (0.5, -5000.0)]})
    tracker.restore({"a": note}, "b", 10.0, UNIX_MS)
    assert not tracker.try_take("club", RATE * 8 + BURST - 199.0, 10.0)


def test_a_refused_request_is_admitted_after_the_stated_time():
    tracker = make_tracker()
    assert tracker.try_take("club", LIMIT, 0.0)
    assert not tracker.try_take("club", 10.0, 1.0)
    wait_s = tracker.seconds_until("club", 10.0, 1.0)
    assert not tracker.try_take("club", 10.0, 1.0 + wait_s - 0.1)
    assert tracker.try_take("club", 10.0, 1.0 + wait_s + 0.1)


def test_organisations_without_a_quota_are_not_limited():
    tracker = make_tracker()
    tracker.set_quota("club", 0.0, 0.0)
    tracker.set_quota("other", RATE, BURST)
    tracker.keep_only(set())
    assert tracker.try_take("club", 1e9, 0.0)
    assert tracker.try_take("other", 1e9, 0.0)
    assert tracker.used() == {}
