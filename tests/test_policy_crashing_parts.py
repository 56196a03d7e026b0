"""Which part of a prompt crashes upstreams is found from what all gateways saw."""

import itertools
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pomelothread.policy import crashing_parts
from pomelothread.policy.crashing_parts import (
    EVIDENCE_LIFE_S,
    FIRST_TRIAL_S,
    MAX_CRASHES_OF_PART,
    MAX_SUSPECTED_PARTS,
    SETTLE_S,
    CrashingParts,
    CutRequest,
    PartCrash,
    Verdict,
)
from pomelothread.policy.departures import UpstreamStart

ALLOWED, HELD, REFUSED = Verdict.ALLOWED, Verdict.HELD, Verdict.REFUSED


def crash(n, *prompts, at_s=None, took_s=0.5, in_s=0.1):
    """Return a crash of upstream `n` that cuts requests with these prompts."""
    at_s = float(n) if at_s is None else at_s
    return n, prompts, at_s - took_s, at_s, in_s


def apply(parts, event):
    match event:
        case ("sound", prompt, began_s):
            parts.observe_sound(prompt.split(), began_s)
        case (n, prompts, sent_s, cut_s, in_s):
            start = UpstreamStart(f"engine-{n}", 1)
            for number, prompt in enumerate(prompts):
                body = f"{n}.{number}"
                cut = CutRequest(tuple(prompt.split()), start, body, sent_s, cut_s)
                parts.record_cut(cut)
            parts.confirm_crash(start, cut_s + in_s)


def played(*events):
    parts = CrashingParts()
    for event in events:
        apply(parts, event)
    return parts


@pytest.mark.parametrize(
    ("events", "refused"),
    [
        # Never sound: two crashes, or three for the first part of prompts.
        ([crash(1, "f d")], set()),
        ([crash(1, "f d"), crash(2, "f d")], {"d"}),
        ([crash(1, "d"), crash(2, "d")], set()),
        ([crash(1, "d"), crash(2, "d"), crash(3, "d")], {"d"}),
        # The other parts of the requests are explained by the one that is refused.
        ([crash(n, "f g d") for n in (1, 2, 3, 4, 5)], {"d"}),
        ([crash(n, f"f s{n} d") for n in (1, 2, 3)], {"d"}),
        ([crash(n, f"d s{n}") for n in (1, 2, 3)], {"d"}),
        # Two parts that crash upstreams at once.
        (
            [crash(1, "f d"), crash(2, "f e"), crash(3, "f d"), crash(4, "f e")],
            {"d", "e"},
        ),
        ([crash(1, "f d", "f e"), crash(2, "f d", "f e")], {"d"}),
        # What follows the cause is another part after each two crashes.
        ([crash(n, f"d s{n // 2}") for n in range(2, 6)], {"s1", "s2"}),
        ([crash(n, f"d s{n // 2}") for n in range(2, 7)], {"d"}),
        ([crash(n, f"d s{n // 2}") for n in range(2, 8)], {"d"}),
        ([crash(n, f"f d s{n // 2}") for n in range(2, 8)], {"d"}),
        ([crash(n, f"d g s{n // 2}") for n in range(2, 8)], {"g"}),
        ([crash(n, f"d g{n // 6} s{n // 2}") for n in range(2, 9)], {"d"}),
        (
            [("sound", "d", 0.0), *(crash(n, f"d s{n // 2}") for n in range(2, 9))],
            {"d"},
        ),
        # The first part was sound meanwhile: all that follow it crash upstreams.
        (
            [
                *(crash(n, f"f s{n // 2}") for n in range(2, 8)),
                ("sound", "f", 5.5),
            ],
            {"s1", "s2", "s3"},
        ),
        # Requests beside the cause, which are of several kinds.
        (
            [
                ("sound", "f", 0.0),
                *(crash(n, f"d s{n // 2}", f"f b{n}", "f c") for n in range(2, 8)),
                ("sound", "f c", 7.5),
            ],
            {"d"},
        ),
        # Several parts that crash upstreams below one that is seldom sound.
        (
            [
                ("sound", "f", 0.0),
                *(crash(n, f"f {'de'[n % 2]}") for n in range(1, 9)),
            ],
            {"d", "e"},
        ),
        # In several kinds of requests, at several depths.
        ([crash(1, "f d"), crash(2, "g h d")], {"d"}),
        # Requests beside the cause change from crash to crash.
        ([crash(1, "f d", "f a"), crash(2, "f d", "g b")], {"d"}),
        # Sound between the crashes, or before them.
        ([crash(1, "f d"), ("sound", "f d", 1.5), crash(2, "f d")], set()),
        ([("sound", "f d", 0.0), crash(1, "f d"), crash(2, "f d")], set()),
        ([("sound", "f d", 0.0), *(crash(n, "f d") for n in (1, 2, 3, 4))], {"d"}),
        ([("sound", "f", 0.0), *(crash(n, "f d") for n in (1, 2, 3, 4))], {"d"}),
        # All upstreams down for a moment, while nothing can be found sound.
        (
            [
                ("sound", "f", 0.0),
                *(crash(n, "f", at_s=1 + n / 4, took_s=0.1) for n in range(7)),
            ],
            set(),
        ),
        ([crash(n, "f", at_s=1 + n / 4, took_s=0.1) for n in range(7)], set()),
        # Sound later: a response that began after the last crash.
        ([crash(1, "f d"), crash(2, "f d"), ("sound", "f d", 2.5)], set()),
        # Requests that were sent before the previous crash have a common cause.
        ([crash(1, "f d", at_s=1.0), crash(2, "f d", at_s=1.1)], set()),
        ([crash(1, "f d", at_s=1.0), crash(2, "f d", at_s=1.1, took_s=0.05)], {"d"}),
        # A lost connection to an upstream that answers later is no crash.
        ([crash(1, "f d"), crash(2, "f d", in_s=3.5)], set()),
        # A prompt whose only part is its own.
        ([crash(1, ""), crash(2, ""), crash(3, "")], set()),
    ],
)
def test_parts_are_refused_on_evidence(events, refused):
    parts = played(*events)
    parts.refused(10.0)
    assert parts.refused(10.0 + SETTLE_S) == refused


def test_one_request_that_is_repeated_does_not_convict_its_parts():
    parts = CrashingParts()
    for n in range(4):
        start = UpstreamStart(f"engine-{n}", 1)
        parts.record_cut(CutRequest(("f", "d"), start, "same", n + 0.1, n + 0.2))
        parts.confirm_crash(start, n + 0.3)
    parts.refused(9.0)
    assert parts.refused(10.0) == set()


def test_a_start_of_an_upstream_counts_once_and_a_later_start_again():
    parts = played(crash(1, "f d"), crash(1, "f d", at_s=2.0))
    assert parts.verdict(("f", "d"), 3.0) is ALLOWED
    start = UpstreamStart("engine-1", 2)
    parts.record_cut(CutRequest(("f", "d"), start, "body", 3.0, 3.1))
    parts.confirm_crash(start, 3.2)
    assert parts.verdict(("f", "d"), 3.3) is HELD


def test_requests_are_held_until_peers_can_have_reported():
    parts = played(crash(1, "f d"), crash(2, "f d"))
    assert parts.verdict(("f", "d"), 3.0) is HELD
    assert parts.verdict(("f", "s"), 3.0) is ALLOWED
    parts.merge_sound("d", 0.0)
    assert parts.verdict(("f", "d"), 3.1) is ALLOWED


def test_a_late_report_of_a_peer_ends_a_wrong_refusal():
    parts = played(crash(1, "f d"), crash(2, "f d"))
    parts.verdict(("f", "d"), 3.0)
    assert parts.verdict(("f", "d"), 4.0) is REFUSED
    parts.merge_sound("d", 2.5)
    assert parts.verdict(("f", "d"), 4.1) is ALLOWED


def test_a_refused_part_is_tried_later_after_each_crash_and_not_for_ever():
    parts = played(crash(1, "f d"), crash(2, "f d"))
    parts.verdict(("f", "d"), 2.0)
    trials_s, now_s, n = [], 3.0, 2
    while now_s < EVIDENCE_LIFE_S:
        assert parts.verdict(("f", "d"), now_s) is REFUSED
        if parts.verdict(("f", "d"), now_s, may_try=True) is Verdict.TRIAL:
            trials_s.append(now_s)
            parts.begin_trial(("f", "d"), now_s)
            assert parts.verdict(("f", "d"), now_s, may_try=True) is REFUSED
            n += 1
            apply(parts, crash(n, "f d", at_s=now_s + 1.0))
        now_s += 5.0
    assert FIRST_TRIAL_S <= trials_s[0] <= FIRST_TRIAL_S + 10.0
    gaps_s = [b - a for a, b in itertools.pairwise(trials_s)]
    assert gaps_s == sorted(gaps_s)
    # The users allow three requests after the fifth crash.
    assert len(trials_s) == 3


@pytest.mark.parametrize(
    "events",
    [
        [crash(n, "f") for n in range(1, 4)],
        [("sound", "f", 0.0), *(crash(n, "f") for n in range(1, 5))],
        [("sound", "f", 0.0), *(crash(n, "f") for n in range(1, 30))],
    ],
    ids=["never sound", "sound before", "many crashes"],
)
def test_a_part_that_many_requests_share_is_tried_soon_after_an_outage(events):
    parts = played(*events)
    last_s = float(events[-1][0])
    parts.refused(last_s)
    assert parts.verdict(("f",), last_s + 1.0, may_try=True) is REFUSED
    due_s = last_s + FIRST_TRIAL_S
    assert parts.verdict(("f",), due_s, may_try=True) is Verdict.TRIAL
    parts.begin_trial(("f",), due_s)
    assert parts.verdict(("f",), due_s, may_try=True) is REFUSED
    parts.observe_sound(("f",), due_s + 0.5)
    assert parts.verdict(("f",), due_s + 1.0) is ALLOWED


def test_failed_trials_are_counted_over_restarts():
    before = played(crash(1, "f d"), crash(2, "f d"), crash(3, "f d", at_s=30.0))
    after = CrashingParts()
    for evidence in before.evidence():
        after.add(evidence)
    after.refused(31.0)
    assert after.verdict(("f", "d"), 60.0, may_try=True) is REFUSED
    assert after.verdict(("f", "d"), 150.0, may_try=True) is Verdict.TRIAL


def test_evidence_expires_and_stays_within_its_bounds():
    parts = CrashingParts()
    for n in range(3 * MAX_CRASHES_OF_PART):
        apply(parts, crash(n, "f d"))
    assert len(parts.crashes_of("d")) == MAX_CRASHES_OF_PART
    parts.refused(100.0)
    for n in range(2 * MAX_SUSPECTED_PARTS):
        apply(parts, crash(100 + n, f"f s{n}"))
    assert len({c.part for c in parts.evidence()}) <= MAX_SUSPECTED_PARTS
    assert "d" in parts.refused(3000.0)
    assert parts.refused(3000.0 + EVIDENCE_LIFE_S) == set()


def test_the_number_of_sound_parts_is_bounded(monkeypatch):
    monkeypatch.setattr(crashing_parts, "MAX_SOUND_PARTS", 10)
    parts = CrashingParts()
    parts.observe_sound((f"s{n}" for n in range(30)), 1.0)
    assert [parts.was_sound(f"s{n}") for n in (0, 19, 20, 29)] == [
        False,
        False,
        True,
        True,
    ]


class Gateway:
    """The evidence of one gateway and its requests in progress."""

    def __init__(self):
        self.parts = CrashingParts()
        self.inbox = []


class Fleet:
    """Gateways that send requests with random prompts to upstreams that crash."""

    def __init__(self, seed, n_gateways, depth, loss, n_questions=0):
        self.random = random.Random(seed)
        self.gateways = [Gateway() for _ in range(n_gateways)]
        self.depth, self.loss = depth, loss
        # Crashing requests on each document, which is a part after the cause.
        self.n_questions, self.n_asked = n_questions, 0
        self.now_s = 0.0
        self.running = {f"engine-{n}": [] for n in range(4)}
        self.n_starts = self.n_crashes = self.n_unrelated = 0
        self.starts = dict.fromkeys(self.running, 0)

    def prompt(self, is_crashing):
        shared = [f"f{self.random.randrange(2)}"]
        shared += [
            f"s{self.random.randrange(6)}" for _ in range(self.random.randrange(3))
        ]
        if is_crashing:
            depth = min(self.depth, len(shared))
            shared.insert(depth, "d")
            if self.n_questions:
                shared.insert(depth + 1, f"doc{self.n_asked // self.n_questions}")
        elif self.n_questions and self.random.random() < 0.1:
            n_documents = 1 + self.n_asked // self.n_questions
            shared.append(f"doc{self.random.randrange(n_documents)}")
        return tuple(shared)

    def step(self):
        """Send one request, then end one, then exchange messages."""
        self.now_s += 0.1
        gateway = self.random.choice(self.gateways)
        prompt = self.prompt(self.random.random() < 0.1)
        if gateway.parts.verdict(prompt, self.now_s) is ALLOWED:
            name = self.random.choice(list(self.running))
            self.n_starts += 1
            request = (gateway, prompt, self.now_s, f"body {self.n_starts}")
            self.running[name].append(request)
        name = self.random.choice(list(self.running))
        if self.running[name]:
            if "d" in self.running[name][0][1]:
                self.n_crashes += 1
                self.n_asked += 1
                self.crash(name)
            else:
                gateway, prompt, *_ = self.running[name].pop(0)
                gateway.parts.observe_sound(prompt, self.now_s)
        elif self.random.random() < 0.002:
            self.n_unrelated += 1
            self.crash(name)
        self.exchange()

    def crash(self, name):
        start = UpstreamStart(name, self.starts[name])
        self.starts[name] += 1
        cut, self.running[name] = self.running[name], []
        self.random.shuffle(cut)
        for gateway, prompt, sent_s, body in cut:
            gateway.parts.record_cut(
                CutRequest(prompt, start, body, sent_s, self.now_s)
            )
        for gateway in self.gateways:
            gateway.parts.confirm_crash(start, self.now_s + 0.05)

    def exchange(self):
        for gateway in self.gateways:
            for receive in gateway.inbox:
                receive()
            gateway.inbox.clear()
        for gateway in self.gateways:
            crashes, sound = gateway.parts.take_unreported(6, 12)
            evidence = gateway.parts.evidence()
            crashes += self.random.sample(evidence, min(len(evidence), 1))
            for peer in self.gateways:
                if peer is gateway or self.random.random() < self.loss:
                    continue
                peer.inbox += [lambda p=peer, c=c: p.parts.add(c) for c in crashes]
                peer.inbox += [
                    lambda p=peer, k=k, t=t: p.parts.merge_sound(k, t)
                    for k, t in sound.items()
                ]


@hypothesis_settings(max_examples=60)
@given(
    seed=st.integers(0, 2**32),
    n_gateways=st.integers(1, 5),
    depth=st.integers(0, 2),
    loss=st.sampled_from((0.0, 0.3)),
    n_questions=st.integers(0, 3),
)
def test_a_fleet_refuses_the_part_and_serves_requests_that_share_others(
    seed, n_gateways, depth, loss, n_questions
):
    fleet = Fleet(seed, n_gateways, depth, loss, n_questions)
    n_at_window_end = None
    fifth_s = None
    for _ in range(1500):
        fleet.step()
        if fifth_s is None and fleet.n_crashes >= 5:
            fifth_s = fleet.now_s
        if fifth_s is not None and fleet.now_s >= fifth_s + 4.0:
            n_at_window_end = n_at_window_end or fleet.n_crashes
    if n_at_window_end is not None:
        assert fleet.n_crashes <= n_at_window_end + 3
    for gateway in fleet.gateways:
        for sound in ("f0", "f1"):
            assert gateway.parts.verdict((sound,), fleet.now_s) is ALLOWED
        refused = gateway.parts.refused(fleet.now_s)
        if fleet.n_crashes > n_questions:
            assert refused <= {"d"}


def test_the_parts_that_were_never_sound_are_reported_first():
    parts = CrashingParts()
    prompts = [f"f s{n}" for n in range(20)]
    for prompt in prompts:
        parts.observe_sound(prompt.split(), 0.5)
    apply(parts, crash(1, *prompts, "f d"))
    reported, _ = parts.take_unreported(1, 0)
    assert [report.part for report in reported] == ["d"]


@pytest.mark.parametrize(
    ("prompt", "n_crashes"),
    [("f s{n} d", 4), ("d s{half}", 5), ("d s{half}", 8), ("d g{half} s{half}", 6)],
)
def test_reports_arrive_in_any_order_with_the_same_result(prompt, n_crashes):
    reports = [
        PartCrash(part, depth, UpstreamStart(f"engine-{n}", 1), f"b{n}", n - 0.5, n)
        for n in range(2, 2 + n_crashes)
        for depth, part in enumerate(prompt.format(n=n, half=n // 2).split())
    ]
    for seed in range(20):
        parts = CrashingParts()
        shuffled = reports[:]
        random.Random(seed).shuffle(shuffled)
        for n, report in enumerate(shuffled):
            assert parts.add(report)
            if seed % 2:
                # What was refused on the way makes no difference.
                parts.refused(n / 10)
        assert not any(parts.add(replace(report)) for report in shuffled)
        parts.refused(10.0)
        assert parts.refused(11.0) == {"d"}
