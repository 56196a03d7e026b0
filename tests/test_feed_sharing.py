"""Tests that few gateways read the store and all learn of changes within the bound."""

import random

import pytest

from pomelothread.addresses import Address
from pomelothread.clock import SystemClock
from pomelothread.gateway.feeds import (
    ANSWER_AGE_S,
    CONFIGURATION_DUE_SHARES,
    LISTING_DUE_SHARES,
    KeyedRecord,
)
from pomelothread.gateway.listings import ListingSync
from pomelothread.gateway.upstreams import UpstreamListing, UpstreamTable
from pomelothread.policy.feed_sharing import (
    FeedReport,
    FeedWatch,
    ReadingTimes,
    rank_among,
)
from pomelothread.policy.store_calls import HEALTHY_CALL_S, call_times

BOUND_S = 5.0
STEP_S = 0.05
CALL_S = 0.9


class Fleet:
    """Simulates gateways that follow one feed, in steps of a clock."""

    def __init__(self, n_gateways, shares, wait_s=0.0, loss=0.0, seed=1):
        times = ReadingTimes(*(share * BOUND_S for share in shares))
        self.watches = [FeedWatch(times) for _ in range(n_gateways)]
        self.random = random.Random(seed)
        self.wait_s, self.loss = wait_s, loss
        self.now_s, self.version, self.offset = 100.0, 1, 10
        self.known = [1] * n_gateways
        self.reading = {}
        self.n_reads = 0
        self.dead = set()
        self.cut_off = set()
        self.isolated = set()
        for number, watch in enumerate(self.watches):
            watch.record_read(1, 10, self.now_s)
            watch.rank = number

    def change(self):
        self.version += 1
        self.offset += 1

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self):
        self.now_s += STEP_S
        for number, watch in enumerate(self.watches):
            if number in self.dead:
                self.reading.pop(number, None)
                continue
            began_s = self.reading.get(number)
            if began_s is None and watch.due_at_s <= self.now_s:
                self.reading[number] = began_s = self.now_s
                self.n_reads += 1
            if began_s is not None:
                self.read(number, watch, began_s)
        if round(self.now_s / STEP_S) % round(1.0 / STEP_S) == 0:
            self.update_ranks()
            for number in range(len(self.watches)):
                self.send_report(number)

    def read(self, number, watch, began_s):
        if number in self.cut_off:
            if self.now_s - began_s > CALL_S + watch.retry_s:
                del self.reading[number]
            return
        if self.known[number] == self.version and self.now_s - began_s < self.wait_s:
            return
        self.known[number] = self.version
        del self.reading[number]
        watch.record_read(self.version, self.offset, self.now_s - ANSWER_AGE_S)
        self.send_report(number)

    def update_ranks(self):
        """Set each gateway's rank: the number of those before it that it hears."""
        for number, watch in enumerate(self.watches):
            watch.rank = sum(
                other not in self.dead and not {other, number} & self.isolated
                for other in range(number)
            )

    def send_report(self, number):
        if number in self.dead or number in self.isolated:
            return
        report = self.watches[number].report(self.now_s)
        for other, watch in enumerate(self.watches):
            is_delivered = self.random.random() >= self.loss
            if other != number and is_delivered and other not in self.isolated:
                watch.observe_report(report, self.now_s)

    def latency_s(self):
        """Return the time until all connected live gateways know a new change."""
        began_s = self.now_s
        self.change()
        while any(
            known != self.version and number not in self.dead | self.cut_off
            for number, known in enumerate(self.known)
        ):
            self.step()
            assert self.now_s - began_s < 60.0
        return self.now_s - began_s


FEEDS = {
    "configuration": (CONFIGURATION_DUE_SHARES, call_times(BOUND_S).wait_s),
    "upstreams": (LISTING_DUE_SHARES, 0.0),
}


@pytest.mark.parametrize("feed", FEEDS)
@pytest.mark.parametrize("n_gateways", [1, 2, 5, 24])
def test_calls_to_the_store_do_not_grow_with_the_number_of_gateways(feed, n_gateways):
    shares, wait_s = FEEDS[feed]
    fleet = Fleet(n_gateways, shares, wait_s)
    fleet.run(60.0)
    # A single gateway reads every 2.25 or 2.5 s.
    assert fleet.n_reads <= 60.0 / 2.25 + 2


@pytest.mark.parametrize("feed", FEEDS)
@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize(
    "faults",
    [
        {},
        {"dead": {0}},
        {"dead": {0, 1}},
        {"dead": {0, 1, 2, 3}},
        {"cut_off": {0}},
        {"cut_off": {0, 1}},
        {"isolated": {0}},
        {"isolated": {3}},
        {"isolated": set(range(6))},
        {"dead": {0}, "cut_off": {1}, "isolated": {2}},
    ],
)
def test_a_change_is_known_everywhere_in_time_whoever_fails(feed, loss, faults):
    shares, wait_s = FEEDS[feed]
    for seed in range(5):
        fleet = Fleet(6, shares, wait_s, loss, seed)
        fleet.run(7.0 + 0.35 * seed)
        for name, numbers in faults.items():
            setattr(fleet, name, numbers)
        # Changes at the moment of the fault, and at later ones.
        for pause_s in (0.0, 3.0, 1.7):
            fleet.run(pause_s)
            assert fleet.latency_s() < BOUND_S - CALL_S


# Bounds that deployments use, and 1 s.
@pytest.mark.parametrize("bound_s", [1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 8.0])
def test_the_limits_of_calls_add_up_to_less_than_the_bound(bound_s):
    times = call_times(bound_s)
    assert min(times.wait_s, times.early_pause_s, times.connect_s) > 0.0
    assert times.answer_s >= HEALTHY_CALL_S
    assert times.slowest_change_s < bound_s
    stand_in_s = CONFIGURATION_DUE_SHARES[-1] * bound_s + HEALTHY_CALL_S
    assert stand_in_s < bound_s
    # The gateway that reads the list, over a connection that has gone silent.
    read_s = LISTING_DUE_SHARES[0] * bound_s + times.answer_s + HEALTHY_CALL_S
    assert read_s < bound_s


def test_a_gateway_behind_reads_at_once_and_one_ahead_does_not():
    watch = FeedWatch(ReadingTimes(1.0, 2.0, 3.0))
    watch.record_read(7, 10, 100.0)
    assert not watch.observe_report(FeedReport(6, 9, 0.0), 100.5)
    assert not watch.observe_report(FeedReport(6, 10, 0.0), 100.5)
    assert watch.due_at_s == 101.0
    assert watch.observe_report(FeedReport(8, 11, 0.0), 100.5)
    assert watch.due_at_s <= 100.5
    watch.record_read(8, 11, 100.6)
    assert watch.due_at_s == pytest.approx(101.6)


@pytest.mark.parametrize("age_s", [0.9, 5.0, -3.0])
def test_a_report_never_makes_the_state_seem_newer_than_the_peer_knows(age_s):
    watch = FeedWatch(ReadingTimes(1.0, 2.0, 3.0))
    watch.record_read(7, 10, 100.0)
    watch.observe_report(FeedReport(7, 10, age_s), 100.5)
    assert watch.due_at_s <= 101.0 + max(0.0, 0.5 - max(0.0, age_s))


def test_no_report_is_sent_or_accepted_before_the_first_read():
    watch = FeedWatch(ReadingTimes(1.0, 2.0, 3.0))
    assert watch.report(5.0) is None
    assert not watch.observe_report(FeedReport(7, 10, 0.0), 5.0)
    assert watch.due_at_s == 0.0


# Time of the last read, duration of the reported outage, seconds since its end, and
# whether it is accepted as an outage of the store.
OUTAGES = [
    (100.0, 6.0, 0.5, True),
    (100.0, 2.0, 0.5, False),
    (105.0, 6.0, 0.5, False),
    (100.0, 0.0, 60.0, False),
]


@pytest.mark.parametrize(("as_of_s", "outage_s", "steady_s", "is_accepted"), OUTAGES)
def test_an_outage_of_the_store_is_one_in_which_nobody_has_read(
    as_of_s, outage_s, steady_s, is_accepted
):
    watch = FeedWatch(ReadingTimes(1.0, 2.0, 3.0))
    watch.record_read(7, 10, as_of_s)
    watch.observe_report(FeedReport(7, 12, 0.1, steady_s, outage_s), 108.0)
    assert (watch.store_recovered_at_s is not None) is is_accepted


# This process had no answers from 100 to 108 s. Each row: seconds for which a peer has
# had answers, the outage before that, and whether the store was away.
PEERS_OF_AN_OUTAGE = [
    ("had no outage", 40.0, 0.0, False),
    ("saw the same outage", 0.9, 7.5, True),
    ("started during the outage", 3.0, 0.0, True),
    ("saw an earlier outage", 20.0, 7.5, False),
]


@pytest.mark.parametrize(
    ("steady_s", "outage_s", "was_store_away"),
    [row[1:] for row in PEERS_OF_AN_OUTAGE],
    ids=[row[0] for row in PEERS_OF_AN_OUTAGE],
)
def test_a_gateway_that_was_cut_off_learns_that_the_store_was_not_away(
    steady_s, outage_s, was_store_away
):
    watch = FeedWatch(ReadingTimes(1.0, 2.0, 3.0))
    watch.record_read(7, 10, 99.5)
    watch.record_recovery(108.0, 8.0)
    watch.record_read(7, 20, 108.0)
    watch.observe_report(FeedReport(7, 21, 0.1, steady_s, outage_s), 108.4)
    assert (watch.store_recovered_at_s is not None) is was_store_away


def test_missing_upstreams_are_removed_at_once_if_only_this_gateway_was_cut_off():
    # Gateways that had been cut off kept upstreams that had left during that time until
    # 5 s after the connection was restored.
    table, clock = UpstreamTable("r", {}), SystemClock()
    recovered_at_s = clock.monotonic_s()
    sync = ListingSync(table, clock, listing, lambda gone: None, lambda: recovered_at_s)
    sync.apply(KeyedRecord("a", b"ready 1"))
    sync.apply(KeyedRecord("a", None))
    sync.remove_expired()
    assert table.get("a") is not None
    recovered_at_s = None
    sync.remove_expired()
    assert table.get("a") is None


def test_gateways_agree_on_their_order():
    keys = [(n * 37 % 11, f"10.0.0.{n}") for n in range(20)]
    ranks = [rank_among(key, (k for k in keys if k != key)) for key in keys]
    assert sorted(ranks) == list(range(20))


def listing(record):
    value = record.value.decode().split()
    address = Address("10.0.0.1", int(value[1]))
    return UpstreamListing(record.key, "s", address, "z", 4, value[0] == "leaving", 1)


def test_equal_lists_have_equal_digests_in_whatever_order_they_were_read():
    def digest_of(*records):
        table = UpstreamTable("r", {})
        sync = ListingSync(table, SystemClock(), listing, lambda gone: None)
        for key, value in records:
            sync.apply(KeyedRecord(key, value))
        return sync.digest()

    a, b = ("a", b"ready 1"), ("b", b"ready 2")
    assert digest_of(a, b) == digest_of(b, a, ("c", b"ready 3"), ("c", None))
    assert digest_of(a, b) != digest_of(a, ("b", b"leaving 2"))
    assert digest_of(a, b) != digest_of(a, ("b", b"ready 3"))
    assert digest_of(a) != digest_of(a, b)
