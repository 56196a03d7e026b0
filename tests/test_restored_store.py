"""Tests that nothing is lost or goes back when the store returns from an older copy."""

import asyncio
import hashlib
import random
from datetime import UTC, datetime

import msgspec
import pytest
from platform_rig import API_KEY, configuration, gateway_rig, route, second_gateway
from returns.result import Success

from pomelothread.addresses import Address
from pomelothread.clock import ManualClock, SystemClock
from pomelothread.gateway.crashes import CrashReporter
from pomelothread.gateway.feeds import (
    EXPIRED_LISTING_GRACE_S,
    FeedFault,
    Follower,
    KeyedRecord,
    Records,
)
from pomelothread.gateway.listings import ListingSync
from pomelothread.gateway.part_crashes import PartCrashReporter
from pomelothread.gateway.quota_notes import QuotaNotes
from pomelothread.gateway.store_epoch import StoreEpoch
from pomelothread.gateway.upstreams import UpstreamTable
from pomelothread.http1.client import ConnectionPool
from pomelothread.platform.records import decode_listing
from pomelothread.platform.store import StoreClient, TopicFeed
from pomelothread.policy.configuration_versions import ConfigurationVersions
from pomelothread.policy.crash_guard import CrashGuard
from pomelothread.policy.crashing_parts import CrashingParts
from pomelothread.policy.feed_sharing import FeedReport, FeedWatch, ReadingTimes
from pomelothread.policy.quotas import QuotaNote, QuotaTolerance, QuotaTracker

CONFIGURATIONS = "keyed.op"
LISTINGS = "keyed.servers"
QUOTA_NOTES = "keyed.quotas"
# Enough calls for several reads of each feed.
N_CALLS = 12


def versioned(version, *names):
    """Return a configuration with a route for each name."""
    return configuration(
        version, [route(), *(route(n, "idempotent", "desk") for n in names)]
    )


def put_version(rig, version, *names):
    rig.store.put(CONFIGURATIONS, "config", versioned(version, *names))


async def until_version(rig, version):
    while rig.gateway.configuration_version != version:
        await asyncio.sleep(0.01)


async def until_calls(rig, condition):
    """Wait until a condition holds, or the store has got `N_CALLS` more calls."""
    last = rig.store.n_calls + N_CALLS
    while not condition() and rig.store.n_calls < last:
        await asyncio.sleep(0.01)


async def test_a_configuration_at_an_offset_given_out_again_is_in_force():
    async with gateway_rig() as rig:
        copy = rig.store.copy()
        put_version(rig, 2)
        put_version(rig, 3)
        await until_version(rig, 3)
        rig.store.restore(copy)
        put_version(rig, 3)
        put_version(rig, 4, "added")
        await until_calls(rig, lambda: rig.gateway.configuration_version == 4)
        assert rig.gateway.configuration_version == 4
        assert (await rig.call("/added/1")).status == 200


@pytest.mark.parametrize("n_lost", [1, 2])
async def test_a_departure_at_an_offset_given_out_again_is_known(n_lost):
    async with gateway_rig() as rig:
        engine, entry = rig.upstreams["engine-0"], None
        copy = rig.store.copy()
        for seq in range(n_lost):
            entry = {**engine.store_entry(), "seq": 2 + seq}
            rig.store.put(LISTINGS, "engine-0", entry)
        desk = await rig.add_upstream("desk-9", "desk")
        while rig.gateway.is_leaving("desk-9"):
            await asyncio.sleep(0.01)
        rig.store.restore(copy)
        rig.store.put(LISTINGS, "engine-0", {**entry, "state": "draining", "seq": 9})
        for _ in range(n_lost):
            rig.store.put(LISTINGS, "desk-9", desk.store_entry())
        await until_calls(rig, lambda: rig.gateway.is_leaving("engine-0"))
        assert rig.gateway.is_leaving("engine-0")


async def test_peers_tell_that_the_store_has_returned_from_a_copy():
    async with gateway_rig() as first, second_gateway(first) as second:
        copy = first.store.copy()
        put_version(first, 2)
        await until_version(first, 2)
        await until_version(second, 2)
        first.store.restore(copy)
        put_version(first, 2)
        put_version(first, 3, "added")
        for rig in (first, second):
            await until_calls(
                first, lambda rig=rig: rig.gateway.configuration_version == 3
            )
            assert (await rig.call("/added/1")).status == 200


class FeedOfEpochs:
    """Feed whose answers name the given epochs, one for each call."""

    def __init__(self, store_epoch, *epochs):
        self.store_epoch = store_epoch
        self.epochs = list(epochs)

    def answer(self, records, offset):
        epoch = self.epochs.pop(0)
        if epoch is not None:
            self.store_epoch.observe(epoch, "an answer")
        return Success(Records(records, offset, epoch))

    async def read_newest(self):
        return self.answer((), 10)

    async def read_from(self, offset, wait_s):
        return self.answer((KeyedRecord("a", b"1"),), offset + 1)


@pytest.mark.parametrize(
    ("epochs", "n_full", "n_applied"),
    [
        ((1, 1, 1), 1, 2),
        # The second read is answered after the return; its record may be any.
        ((1, 2, 2), 2, 0),
        # The answer to the second read is late; the third one is a full read.
        ((2, 1, 2), 2, 0),
        ((1, 2, 1, 2), 2, 0),
        ((None, None, None), 1, 2),
        ((None, 1, 1), 2, 0),
    ],
)
def test_only_records_of_the_current_epoch_are_applied(epochs, n_full, n_applied):
    store_epoch, applied = StoreEpoch(), []
    feed = FeedOfEpochs(store_epoch, *epochs)
    full = []

    async def scenario():
        follower = Follower(
            "configuration",
            feed,
            ManualClock(datetime(2026, 3, 1, tzinfo=UTC)),
            apply_all=full.append,
            apply=applied.append,
            wait_s=1.0,
            store_epoch=store_epoch,
        )
        while feed.epochs:
            await follower.step()

    asyncio.run(scenario())
    assert (len(full), len(applied)) == (n_full, n_applied)


REPORTS = [
    # Own epoch and offset, then those that a peer reports, and whether to read at once.
    ((1, 10), (1, 11), True),
    ((1, 10), (1, 9), False),
    ((1, 10), (2, 3), True),
    ((2, 3), (1, 10), False),
    ((2, 3), (2, 4), True),
]


@pytest.mark.parametrize("digest", [7, 8])
@pytest.mark.parametrize(("own", "reported", "is_behind"), REPORTS)
def test_offsets_of_peers_are_compared_within_one_epoch(
    own, reported, is_behind, digest
):
    watch = FeedWatch(ReadingTimes(2.0, 2.5, 3.0))
    watch.record_read(7, own[1], as_of_s=100.0, epoch=own[0])
    due_at_s = watch.due_at_s
    report = FeedReport(digest, reported[1], age_s=0.0, epoch=reported[0])
    is_same_state = digest == 7 and reported[0] == own[0]
    assert watch.observe_report(report, 101.0) is (is_behind and not is_same_state)
    if reported < own:
        # A state of the lost history does not postpone the read.
        assert watch.due_at_s == due_at_s
    assert watch.report(101.0).epoch == own[0]


async def test_a_full_read_whose_pages_span_the_return_is_not_used():
    async def two_pages(reader, writer):
        for era, more in ((1, True), (2, False)):
            await reader.readuntil(b"\r\n\r\n")
            page = b'{"items":[{"key":"k"}],"end":9,"has_more":%s}'
            body = page % (b"true" if more else b"false")
            head = "HTTP/1.1 200 OK\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
            writer.write((head % (era, len(body))).encode() + body)
        writer.close()

    server = await asyncio.start_server(two_pages, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname())
    client = StoreClient(address, ConnectionPool(SystemClock()), 5.0)
    result = await TopicFeed(client, "keyed.x").read_newest()
    assert result.failure() is FeedFault.RESTORED
    server.close()


@pytest.mark.parametrize(
    ("header", "observed"),
    [(b"3", [3]), (b"", []), (b"-1", []), (b"1.5", []), (b"9" * 40, []), (b"x", [])],
)
async def test_an_epoch_that_is_no_small_number_counts_as_none(header, observed):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nStore-Era: %s\r\n\r\n" % header
        )
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname())
    epochs = []
    client = StoreClient(address, ConnectionPool(SystemClock()), 5.0, epochs.append)
    assert (await client.read_newest("keyed.x")).failure() is FeedFault.UNAVAILABLE
    assert epochs == observed
    server.close()


LISTING = {
    "service": "desk", "address": "127.0.0.1:9", "zone": "z", "slots": 4,
    "state": "ready", "seq": 5, "born": 100,
}  # fmt: skip


def listed(upstream_id, **change):
    return KeyedRecord(upstream_id, msgspec.json.encode({**LISTING, **change}))


# Last record before the return, record in the copy, and whether the upstream gets
# requests after the copy has been read.
RECORDS = [
    (listed("u", state="draining", seq=6), listed("u"), False),
    (listed("u", seq=6), listed("u"), True),
    # It has ended.
    (KeyedRecord("u", None), listed("u"), False),
    # It has written again.
    (KeyedRecord("u", None), listed("u", seq=7), True),
    # The copy has an earlier start of it.
    (listed("u", born=200, seq=1), listed("u", state="draining", seq=4), True),
    # It has started again since.
    (listed("u", state="draining", seq=6), listed("u", born=300, seq=1), True),
    # It was listed after the copy was made.
    (listed("u", seq=6), None, True),
]


@pytest.mark.parametrize(("known", "copied", "is_used"), RECORDS)
def test_a_list_from_a_copy_does_not_undo_what_is_known(known, copied, is_used):
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    table = UpstreamTable("r", {"z": "r"})
    sync = ListingSync(table, clock, decode_listing, lambda gone: None)
    sync.apply_all((listed("u"),))
    sync.apply(known)
    sync.record_epoch()
    sync.apply_all((copied,) if copied else ())
    upstream = table.get("u")
    assert (upstream is not None and not upstream.is_leaving) is is_used
    clock.advance(EXPIRED_LISTING_GRACE_S)
    sync.remove_expired()
    assert (table.get("u") is None) is (copied is None or upstream is None)
    # What an upstream writes itself after the return holds, whatever was known.
    sync.apply(listed("u", seq=1))
    assert not table.get("u").is_leaving


async def test_a_gateway_that_starts_learns_of_departures_that_the_copy_lacks():
    async with gateway_rig() as first:
        copy = first.store.copy()
        engine = first.upstreams["engine-0"]
        entry = {**engine.store_entry("draining"), "seq": 2}
        first.store.put(LISTINGS, "engine-0", entry)
        while not first.gateway.is_leaving("engine-0"):
            await asyncio.sleep(0.01)
        first.store.restore(copy)
        async with second_gateway(first) as second:
            while not second.gateway.is_leaving("engine-0"):
                await asyncio.sleep(0.01)
        assert first.gateway.is_leaving("engine-0")


# Each configuration that is read: version, content, epoch; then those in force.
READ = [
    ([(3, "a", 1), (4, "b", 1), (3, "a", 2)], [3, 4, 4]),
    ([(4, "b", 1), (4, "c", 1)], ["b", "b"]),
    ([(4, "b", 1), (4, "c", 2)], ["b", "c"]),
    ([(4, "b", 1), (4, "b", 2), (4, "c", 2)], ["b", "b", "c"]),
    ([(4, "b", 1), (3, "c", 2), (5, "d", 2)], ["b", "b", "d"]),
]


@pytest.mark.parametrize(("read", "in_force"), READ)
def test_versions_never_go_back_and_may_get_another_content_in_a_new_epoch(
    read, in_force
):
    versions, current = ConfigurationVersions(), None
    for (version, content, epoch), expected in zip(read, in_force, strict=True):
        if versions.accept(version, ord(content), epoch):
            current = (version, content)
        assert expected in current
        assert versions.version == current[0]


# Steps: "own" or "peers", and a version; then whether the own one is outdated.
STEPS = [
    ([("own", 2)], False),
    ([("own", 2), ("peers", 4)], True),
    ([("peers", 4), ("own", 2)], True),
    ([("own", 2), ("peers", 4), ("own", 4)], False),
    # The peers have ended.
    ([("own", 2), ("peers", 4), ("peers", 0)], False),
    # It was as new as its peers once and learns of a change later.
    ([("own", 4), ("peers", 4), ("peers", 5)], False),
]


@pytest.mark.parametrize(("steps", "is_outdated"), STEPS)
def test_only_a_process_that_never_was_as_new_as_its_peers_is_outdated(
    steps, is_outdated
):
    versions = ConfigurationVersions()
    for whose, version in steps:
        if whose == "own":
            versions.accept(version, 0, epoch=1)
        else:
            versions.observe_peers(version)
    assert versions.is_outdated is is_outdated


async def test_a_gateway_that_starts_on_an_old_copy_does_not_deny_what_peers_serve():
    async with gateway_rig() as first:
        copy = first.store.copy()
        put_version(first, 2, "added")
        await until_version(first, 2)
        first.store.restore(copy)
        async with second_gateway(first, awaits_ready=False) as second:
            while (
                not second.gateway.n_peers or not second.gateway.configuration_version
            ):
                await asyncio.sleep(0.01)
            assert (await second.call("/added/1")).status == 503
            assert await second.readiness() == 503
            put_version(first, 2, "added")
            await second.until_ready()
            assert (await second.call("/added/2")).status == 200


class ZeroSleepClock(ManualClock):
    """Clock whose `sleep` ends as soon as other tasks have run."""

    async def sleep(self, delay_s):
        await asyncio.sleep(0)


class Appends:
    """Records what is appended."""

    def __init__(self):
        self.records = []

    async def __call__(self, key, value):
        self.records.append((key, value))
        return True


CRASHED = KeyedRecord("f", b'["e1","e2","e3"]')
PART_CRASH = {
    "part": "abc", "depth": 1, "upstream_id": "e1", "started_ms": 1, "body": "b",
    "sent_at_ms": 1_772_323_199_000, "crashed_at_ms": 1_772_323_199_500,
}  # fmt: skip
SUSPECTED = KeyedRecord(
    hashlib.blake2b(b"abc/e1/1", digest_size=12).hexdigest(),
    msgspec.json.encode(PART_CRASH),
)


def make_reporter(kind, appends):
    clock = ZeroSleepClock(datetime(2026, 3, 1, tzinfo=UTC))
    if kind == "crashes":
        return CrashReporter(CrashGuard(), appends, clock), CRASHED
    parts = CrashingParts()
    return PartCrashReporter(parts, appends, clock, random.Random(1)), SUSPECTED


@pytest.mark.parametrize("kind", ["crashes", "part crashes"])
@pytest.mark.parametrize("lost_by", ["store", "nobody", "store, and stored by a peer"])
async def test_evidence_of_crashes_that_the_store_has_lost_is_stored_again(
    kind, lost_by
):
    appends = Appends()
    reporter, record = make_reporter(kind, appends)
    reporter.apply_all((record,))
    reporter.apply_all((record,) if lost_by == "nobody" else ())
    if lost_by == "store, and stored by a peer":
        reporter.apply(record)
    for _ in range(10):
        await asyncio.sleep(0)
    assert [key for key, _ in appends.records] == (
        [record.key] if lost_by == "store" else []
    )


async def test_quota_notes_that_the_store_has_lost_are_stored_again():
    tenants = [{"name": "club", "api_keys": [API_KEY], "rate_per_s": 5, "burst": 5}]
    async with gateway_rig(config=configuration(tenants=tenants)) as rig:
        copy = rig.store.copy()
        assert (await rig.call("/lookups/1")).status == 200
        while not rig.store.newest(QUOTA_NOTES):
            await asyncio.sleep(0.01)
        rig.store.restore(copy)
        while not rig.store.newest(QUOTA_NOTES):
            await asyncio.sleep(0.01)
        (note,) = rig.store.newest(QUOTA_NOTES).values()
        assert msgspec.json.decode(note)["epoch"] == rig.store.era


# Epochs of the notes, their ages in seconds, and whether the last window is known.
NOTES = [
    ([(2, 1.0)], True),
    ([(1, 1.0)], False),
    ([(2, 1.0), (1, 5.0)], False),
    ([(2, 1.0), (1, 100.0)], True),
    ([], True),
]


@pytest.mark.parametrize(("notes", "is_known"), NOTES)
def test_notes_from_before_the_return_of_the_store_may_not_be_the_last(notes, is_known):
    tracker = QuotaTracker(QuotaTolerance(8.0, 0.0, 0.0), started_s=1000.0)
    stored = {
        f"gateway-{n}": QuotaNote(round(1e9 - 1000 * age_s), {}, epoch)
        for n, (epoch, age_s) in enumerate(notes)
    }
    assert tracker.restore(stored, "gateway-9", 1000.0, 10**9, epoch=2) is is_known


async def test_notes_read_after_a_return_that_the_process_saw_may_lack_the_last_ones():
    store_epoch = StoreEpoch()
    store_epoch.observe(1, "an answer")
    tracker = QuotaTracker(QuotaTolerance(8.0, 0.0, 0.0), started_s=0.0)

    class Feed:
        async def read_newest(self):
            store_epoch.observe(2, "an answer")
            return Success(Records((), 0, 2))

    notes = QuotaNotes(
        "gateway-1",
        tracker,
        Feed(),
        None,
        8.0,
        ManualClock(datetime(2026, 3, 1, tzinfo=UTC)),
        store_epoch,
        random.Random(1),
    )
    ready, restored = asyncio.Event(), asyncio.Event()
    ready.set()
    writing = asyncio.ensure_future(notes.run(ready, restored))
    await restored.wait()
    writing.cancel()
    tracker.set_quota("club", 100.0, 0.0)
    # Limits grow from nothing, as what was admitted before is not known.
    assert not tracker.try_take("club", 400.0, now_s=1.0)
    assert tracker.restore({}, "gateway-1", 0.0, 0, 2)
    assert tracker.try_take("club", 400.0, now_s=1.0)
