"""Tests of the detection of requests that crash engines."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelothread.policy import crashes
from pomelothread.policy.crashes import CrashTracker


def test_a_poison_request_crashes_at_most_two_engines_and_neighbours_are_cleared():
    # Three agents share the log. "poison" crashes every engine that runs it; its
    # caller repeats it, and so do the callers of the requests of the same batch.
    log, trackers = [], [CrashTracker(f"agent-{n}") for n in range(3)]

    def append(record):
        if record is not None:
            log.append(record)
            for tracker in trackers:
                tracker.apply_record(record)

    verdict = trackers[0].record_engine_crash(["n1", "poison", "n2"], 1.0)
    assert verdict.convicted == ()
    append(verdict.record)
    n_crashes = 1
    for attempt, body in enumerate(["poison", "n1", "poison", "n2", "poison"]):
        tracker = trackers[attempt % 3]
        if tracker.is_convicted(body):
            continue
        assert tracker.must_run_alone(body)
        if body == "poison":
            verdict = tracker.record_engine_crash([body], 2.0)
            assert verdict.convicted == ("poison",)
            append(verdict.record)
            n_crashes += 1
        else:
            append(tracker.record_finished(body, alone=True))
    assert n_crashes == 2
    late = CrashTracker("agent-late")
    for record in [*log, *log]:
        assert late.apply_record(record)
    for tracker in [*trackers, late]:
        assert tracker.is_convicted("poison")
        assert not tracker.must_run_alone("poison")
        assert not any(tracker.must_run_alone(body) for body in ("n1", "n2"))


@pytest.mark.parametrize(
    ("running", "is_suspect", "convicted"),
    [
        ([], False, ()),
        (["a"], False, ()),  # a single crash may have another cause on the host
        (["a"], True, ("a",)),
        (["a", "b"], True, ()),
        (["a", "a"], True, ()),
    ],
)
def test_only_a_suspect_that_ran_alone_is_convicted(running, is_suspect, convicted):
    tracker = CrashTracker("agent")
    if is_suspect:
        tracker.record_engine_crash(["a", "z"], 0.0)
    verdict = tracker.record_engine_crash(running, 1.0)
    assert verdict.convicted == convicted
    assert (verdict.record is None) is (not running)


def test_finishing_in_a_batch_clears_nothing():
    tracker = CrashTracker("agent")
    tracker.record_engine_crash(["a", "b"], 0.0)
    assert tracker.record_finished("a", alone=False) is None
    assert tracker.must_run_alone("a")


def test_a_release_clears_the_crashes_before_it_and_no_later_ones():
    # A restarted process folds the whole log again. This must undo neither a release
    # nor a suspicion that came after it.
    tracker = CrashTracker("agent")
    records = [
        tracker.record_engine_crash(["a"], 0.0).record,
        tracker.record_engine_crash(["a"], 1.0).record,
    ]
    released = tracker.release("a", sheet_version=7)
    assert not tracker.is_convicted("a") and not tracker.must_run_alone("a")
    assert tracker.release("a", sheet_version=7) is None
    records += [released, tracker.record_engine_crash(["a"], 2.0).record]
    duplicate = CrashTracker("other").release("a", sheet_version=7)
    restarted = CrashTracker("agent-2")
    for record in [*records, duplicate, *records[:2]]:  # some are read twice
        restarted.apply_record(record)
    for each in (tracker, restarted):
        assert each.must_run_alone("a")
        assert not each.is_convicted("a")


def test_heartbeats_replace_the_log_and_expire():
    tracker = CrashTracker("entry")
    tracker.observe_peer(["s"], ["c"], sheet_version=1, now_s=0.0)
    assert tracker.must_run_alone("s") and tracker.is_convicted("c")
    tracker.release("c", sheet_version=2)
    tracker.observe_peer([], ["c"], sheet_version=1, now_s=1.0)  # an older sheet
    assert not tracker.is_convicted("c")
    tracker.observe_peer([], [], sheet_version=1, now_s=61.0)
    assert not tracker.must_run_alone("s")


@pytest.mark.parametrize(
    "record",
    [
        {},
        {"format": 2, "kind": "crash", "event": "e", "fingerprints": ["a"]},
        {"format": 1, "kind": "crash", "event": 3, "fingerprints": ["a"]},
        {"format": 1, "kind": "novel", "event": "e", "fingerprints": ["a"]},
    ],
)
def test_records_that_are_not_understood_change_nothing(record):
    tracker = CrashTracker("agent")
    assert tracker.apply_record(record) is False
    assert not tracker.must_run_alone("a")


def test_suspects_are_bounded(monkeypatch):
    monkeypatch.setattr(crashes, "MAX_SUSPECTS", 5)
    tracker = CrashTracker("agent")
    tracker.record_engine_crash([f"f{n}" for n in range(9)], 0.0)
    assert tracker.suspects == ("f4", "f5", "f6", "f7", "f8")


@settings(derandomize=True, max_examples=100)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["crash", "alone", "finish", "release"]),
            st.lists(st.sampled_from("abc"), min_size=1, max_size=3),
        ),
        max_size=20,
    )
)
def test_readers_of_the_log_agree_with_its_only_writer(steps):
    # Covers records that are read twice.
    writer, reader = CrashTracker("w"), CrashTracker("r")
    for version, (kind, bodies) in enumerate(steps):
        match kind:
            case "crash":
                record = writer.record_engine_crash(bodies, 0.0).record
            case "alone":
                record = writer.record_engine_crash(bodies[:1], 0.0).record
            case "finish":
                record = writer.record_finished(bodies[0], alone=True)
            case _:
                record = writer.release(bodies[0], sheet_version=version)
        if record is not None:
            reader.apply_record(record)
            reader.apply_record(record)
        assert set(reader.suspects) == set(writer.suspects)
        assert reader.convicted == writer.convicted


def test_a_suspect_that_only_an_entry_knew_is_convicted_by_its_second_crash():
    # While the log is unavailable, agents do not learn of each other's crashes from
    # it. Without the reports of entries, a body crashed a third engine before it was
    # convicted.
    tracker = CrashTracker("agent-2")
    tracker.observe_peer(("a",), (), sheet_version=1, now_s=0.0)
    assert tracker.must_run_alone("a")
    assert tracker.suspects == ()
    assert tracker.record_engine_crash(["a"], 1.0).convicted == ("a",)
    assert tracker.convicted == ("a",)
