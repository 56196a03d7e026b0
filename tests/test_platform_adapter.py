"""Input from the platform becomes the gateway's types or a reported fault."""

import asyncio
from datetime import UTC, datetime

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_rig import configuration, route
from returns.result import Failure, Success

from pomelothread.addresses import Address
from pomelothread.clock import ManualClock, SystemClock
from pomelothread.gateway.events_of_stream import EventSplitter
from pomelothread.gateway.feeds import (
    EXPIRED_LISTING_GRACE_S,
    FeedFault,
    Follower,
    KeyedRecord,
    Records,
)
from pomelothread.gateway.listings import ListingSync
from pomelothread.gateway.state import GatewayState
from pomelothread.gateway.upstreams import UpstreamTable
from pomelothread.http1.client import ConnectionPool
from pomelothread.http1.messages import Request, ResponseHead
from pomelothread.outcomes import NotRun, Reason
from pomelothread.platform.boot import load_settings
from pomelothread.platform.early import find_settings_path, open_callers_port
from pomelothread.platform.headers import PlatformDialect
from pomelothread.platform.records import decode_configuration, decode_listing
from pomelothread.platform.store import StoreClient, TopicFeed
from pomelothread.policy.feed_sharing import FeedReport, FeedWatch, ReadingTimes
from standins.platform import PlatformStore

BOOT = """
node = "front-1"
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internal_port_range = [7600, 7615]
seeds = ["10.0.0.1:8229", "no address"]
later_field = true
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:8224"
[bounds]
drain_ms = 3000
config_ms = 3000
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
quota_window_s = 8
quota_over = 0.1
quota_slack = 190000
[platform]
address = "10.200.1.7:8225"
"""


def write_boot(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text, encoding="utf-8")
    return path


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path):
    settings = load_settings(write_boot(tmp_path, BOOT), 9464).unwrap()
    assert settings.instance == "front-1"
    assert (settings.leaving_bound_s, settings.configuration_bound_s) == (3.0, 3.0)
    assert settings.store_address == Address("10.200.1.7", 8225)
    assert settings.peer_address == Address("127.0.0.1", 7600)
    assert settings.seed_addresses == (Address("10.0.0.1", 7600),)
    assert settings.admin_addresses[1] == Address("127.0.0.1", 9464)
    assert settings.quota_tolerance.slack_units == 190000


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("grace_s = 8", "grace_s = 0", ["grace_s"]),
        ('"127.0.0.1:8224"', '"nowhere"', ["listen.ready"]),
        ('"10.200.1.7:8225"', '"x:1"', ["platform.address"]),
        ('node = "front-1"', "", ["node"]),
        ("[listen]", "[listen", ["line"]),
        ('front = "127.0.0.1:0"\nready = "127.0.0.1:8224"',
         'front = "x"\nready = "y"', ["listen.front", "listen.ready"]),
    ],
)  # fmt: skip
def test_every_fault_of_the_settings_is_named(tmp_path, old, new, named):
    faults = load_settings(write_boot(tmp_path, BOOT.replace(old, new))).failure()
    assert all(any(name in fault for fault in faults) for name in named)


def test_the_port_opens_before_the_program_is_loaded(tmp_path):
    path = write_boot(tmp_path, BOOT)
    listener = open_callers_port([f"--settings={path}"])
    assert listener.getsockname()[0] == "127.0.0.1"
    listener.close()
    assert open_callers_port([f"--settings={path}.missing"]) is None
    assert find_settings_path(["--check", "--settings=a"]) == "a"


def test_a_configuration_becomes_routes_services_and_organisations():
    tenants = [
        {"name": "club", "api_keys": ["k"], "priority": 1, "unit": "token_count",
         "plain_tokens": 200, "rate_per_s": 10, "burst": 20, "new": 1},
    ]  # fmt: skip
    split = [{"service": "engines", "weight": 9}, {"service": "desk", "weight": 1}]
    routes = [
        {**route("a"), "service": None, "traffic_split": split},
        route("b", kind="idempotent", path_prefix="/a/b/"),
    ]
    value = msgspec.json.encode(configuration(routes=routes, tenants=tenants))
    decoded = decode_configuration(value).unwrap()
    assert decoded.find_route("A.example", "/a/b/1").name == "b"
    assert decoded.find_route("a.example", "/a/1").destinations[0].weight == 9
    assert decoded.find_route("a.example", "/a") is None
    assert decoded.services["engines"].is_engine
    assert not decoded.services["desk"].is_engine
    club = decoded.find_organisation("k")
    assert (club.tier, club.counts_tokens, club.plain_units) == (1, True, 200)


def test_a_lower_or_equal_version_never_replaces_the_one_in_force(tmp_path):
    state = GatewayState(load_settings(write_boot(tmp_path, BOOT)).unwrap())
    for version, is_accepted in ((5, True), (4, False), (5, False), (6, True)):
        value = msgspec.json.encode(configuration(version=version))
        assert state.accept(decode_configuration(value).unwrap()) is is_accepted
    assert state.configuration.version == 6


@given(st.binary(max_size=200))
def test_decoding_arbitrary_bytes_does_not_raise(value):
    assert isinstance(decode_configuration(value), (Success, Failure))
    decode_listing(KeyedRecord("k", value))


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ("service", "address", "zone", "slots", "state", "born", "version")
            ),
            inner,
            max_size=7,
        )
    ),
    max_leaves=12,
)


@given(JSON)
def test_decoding_json_of_another_schema_does_not_raise(value):
    data = msgspec.json.encode(value)
    assert isinstance(decode_configuration(data), (Success, Failure))
    decode_listing(KeyedRecord("k", data))


LISTING = {
    "service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4,
    "state": "ready", "born": 1_700_000_000_000,
}  # fmt: skip


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:0"},
        {"slots": 0},
        {"slots": "4"},
        {"born": None},
        {"born": 1.5},
        {"service": None},
    ],
)
def test_an_invalid_upstream_record_is_no_listing(change):
    assert decode_listing(KeyedRecord("k", msgspec.json.encode(LISTING)))
    wrong = msgspec.json.encode({**LISTING, **change})
    assert decode_listing(KeyedRecord("k", wrong)) is None


@pytest.mark.parametrize(
    ("value", "tokens"),
    [
        (b"1460,80", (1460, 80)),
        (b" 5 , 6 ", (5, 6)),
        (b"1460", (0, 0)),
        (b"-1,5", (0, 0)),
        (b"a,b", (0, 0)),
    ],
)
def test_token_counts_are_decoded_or_ignored(value, tokens):
    request = Request(b"POST", b"/a?b", ((b"x-token-usage", value),), b"")
    facts = PlatformDialect().read_request(request)
    assert (facts.n_prompt_tokens, facts.n_output_tokens) == tokens
    assert facts.path == "/a"


@pytest.mark.parametrize(
    ("lines", "shared_parts"),
    [
        ((), ()),
        ((b"5c1e07a2:800,91bd3f06:410,e4402b7d:250",), ("5c1e07a2", "91bd3f06")),
        ((b"5c1e07a2:800 , 91bd3f06 :410,\te4402b7d:250",), ("5c1e07a2", "91bd3f06")),
        ((b"5C1E07A2:800,e4402b7d:250",), ("5c1e07a2",)),
        ((b"005c1e07a2:800,e4402b7d:250",), ("5c1e07a2",)),
        ((b"a:1,b:2", b"c:3"), ("a", "b")),
        ((b"a:0,b:0",), ("a",)),
        ((b"a:1,a:1,a:1",), ("a", "a")),
        # A prompt whose only part is its own.
        ((b"e4402b7d:250",), ()),
        # Values that cannot be read.
        ((b"",), ()),
        ((b",",), ()),
        ((b"a:1,,b:2",), ()),
        ((b"a:1,b",), ()),
        ((b"a,b:2",), ()),
        ((b":1,b:2",), ()),
        ((b"a:1,b:2,",), ()),
        ((b"a:-1,b:2",), ()),
        ((b"a:1.5,b:2",), ()),
        ((b"a:1e3,b:2",), ()),
        ((b"a:1:1,b:2",), ()),
        ((b"0xa:1,b:2",), ()),
        ((b"system:1,b:2",), ()),
        ((b"\xff\xfe:1,b:2",), ()),
        ((b"f" * 33 + b":1,b:2",), ()),
        ((b"a:" + b"9" * 19 + b",b:2",), ()),
        ((b",".join([b"a:1"] * 65),), ()),
    ],
)
def test_parts_of_a_prompt_that_others_may_share_are_read_or_ignored(
    lines, shared_parts
):
    headers = tuple((b"x-prompt-prefix", line) for line in lines)
    request = Request(b"POST", b"/x", headers, b"")
    assert PlatformDialect().read_request(request).shared_parts == shared_parts


@pytest.mark.parametrize(
    ("status", "headers", "genuine", "not_run"),
    [
        (200, ((b"x-response-seal", b"s"),), True, False),
        (200, (), False, False),
        (200, ((b"x-response-seal", b"s"), (b"content-encoding", b"gzip")),
         False, False),
        (503, ((b"x-not-executed", b"1"),), False, True),
        (503, (), False, False),
        (421, (), False, True),
    ],
)  # fmt: skip
def test_a_response_head_tells_whether_it_is_genuine_and_the_request_ran(
    status, headers, genuine, not_run
):
    facts = PlatformDialect().read_response(ResponseHead(status, headers))
    assert (facts.is_from_upstream, facts.was_not_run) == (genuine, not_run)


def test_a_refusal_gives_fractions_of_seconds():
    status, headers, _ = PlatformDialect().encode_refusal(
        NotRun(Reason.OVERLOADED, retry_after_s=0.256), b"id"
    )
    assert status == 503
    assert (b"retry-after", b"0.26") in headers
    assert (b"x-attempt-id", b"id") in headers


async def with_store(use, answer_s=0.9, needs_pool=False):
    store = PlatformStore()
    await store.http.start()
    pool = ConnectionPool(SystemClock())
    try:
        address = Address("127.0.0.1", store.http.port)
        client = StoreClient(address, pool, answer_s)
        await use(store, client, *((pool,) if needs_pool else ()))
    finally:
        await store.http.stop()


async def test_records_are_read_in_order_and_expired_ones_are_named():
    async def use(store, client):
        feed = TopicFeed(client, "keyed.x")
        store.put("keyed.x", "a", {"n": 1})
        newest = (await feed.read_newest()).unwrap()
        assert newest == Records((KeyedRecord("a", b'{"n":1}'),), 1, epoch=1)
        assert await client.append("keyed.x", "b", b"two")
        store.put("keyed.x", "a", None)
        after = (await feed.read_from(1, 0.0)).unwrap()
        records = (KeyedRecord("b", b"two"), KeyedRecord("a", None))
        assert after == Records(records, 3, epoch=1)
        store.delete_history("keyed.x")
        assert (await feed.read_from(1, 0.0)).failure() is FeedFault.EXPIRED

    await with_store(use)


@pytest.mark.parametrize("fault", ["is_down", "is_silent"])
async def test_a_store_that_does_not_answer_is_unavailable(fault):
    async def use(store, client):
        setattr(store, fault, True)
        feed = TopicFeed(client, "keyed.x")
        assert (await feed.read_newest()).failure() is FeedFault.UNAVAILABLE
        assert (await feed.read_from(0, 0.0)).failure() is FeedFault.UNAVAILABLE
        assert not await client.append("keyed.x", "a", b"1")

    await with_store(use, answer_s=0.05)


async def test_a_call_without_an_answer_closes_the_idle_connections_too():
    # The store has stopped answering on all of them. Each idle connection that is
    # tried again would cost the timeout of a whole call.
    async def use(store, client, pool):
        feed = TopicFeed(client, "keyed.x")
        await asyncio.gather(feed.read_newest(), feed.read_newest(), feed.read_newest())
        n_opened = pool.n_opened
        store.is_silent = True
        assert (await feed.read_newest()).failure() is FeedFault.UNAVAILABLE
        store.is_silent = False
        assert pool.n_opened == n_opened
        assert (await feed.read_newest()).unwrap() == Records((), 0, epoch=1)
        assert pool.n_opened == n_opened + 1

    await with_store(use, answer_s=0.05, needs_pool=True)


async def test_a_lost_answer_to_an_append_is_not_taken_for_success():
    async def use(store, client):
        store.loses_answers = True
        assert not await client.append("keyed.x", "a", b"1")

    await with_store(use)


NEVER_ANSWERED = object()


class ScriptedFeed:
    """Feed that returns the given results, one for each read."""

    def __init__(self, *results):
        self.results = list(results)
        self.waits_s = []

    async def read_newest(self):
        return self.results.pop(0)

    async def read_from(self, offset, wait_s):
        self.waits_s.append(wait_s)
        result = self.results.pop(0)
        if result is not NEVER_ANSWERED:
            return result
        self.pending = asyncio.get_running_loop().create_future()
        return await self.pending


def make_listing_sync(clock, store_recovered_at_s=lambda: None):
    table = UpstreamTable("r", {"z": "r"})
    sync = ListingSync(
        table, clock, decode_listing, lambda gone: None, store_recovered_at_s
    )
    return table, sync


def entry(key, **change):
    return KeyedRecord(key, msgspec.json.encode({**LISTING, **change}))


def test_a_listing_that_expired_during_an_outage_is_kept_until_it_should_be_back():
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    watch = FeedWatch(ReadingTimes(1.0, 1.2, 1.4))
    table, sync = make_listing_sync(clock, lambda: watch.store_recovered_at_s)
    unavailable = Failure(FeedFault.UNAVAILABLE)
    feed = ScriptedFeed(
        Success(Records((entry("back"), entry("gone"), entry("early")), 3)),
        Success(Records((KeyedRecord("early", None),), 4)),
        unavailable,
        Success(Records((KeyedRecord("back", None), KeyedRecord("gone", None)), 6)),
        Success(Records((entry("back"),), 7)),
    )
    follower = Follower(
        "upstreams", feed, clock, apply_all=sync.apply_all, apply=sync.apply,
        wait_s=0.0, watch=watch,
    )  # fmt: skip
    clock.advance(EXPIRED_LISTING_GRACE_S)

    async def scenario():
        await follower.step()
        await follower.step()
        assert table.get("early") is None
        await follower.step()
        clock.advance(5.0)
        await follower.step()
        assert len(table) == 2
        await follower.step()
        clock.advance(EXPIRED_LISTING_GRACE_S)
        sync.remove_expired()

    asyncio.run(scenario())
    assert [u.listing.upstream_id for u in table.all()] == ["back"]


def test_a_departure_is_not_kept_for_an_outage_that_ended_long_before_the_read():
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    watch = FeedWatch(ReadingTimes(1.0, 1.2, 1.4))
    table, sync = make_listing_sync(clock, lambda: watch.store_recovered_at_s)
    feed = ScriptedFeed(
        Success(Records((entry("engine"),), 3)),
        Failure(FeedFault.UNAVAILABLE),
        Success(Records((KeyedRecord("engine", None),), 4)),
    )
    follower = Follower(
        "upstreams", feed, clock, apply_all=sync.apply_all, apply=sync.apply,
        wait_s=0.0, watch=watch, digest=sync.digest,
    )  # fmt: skip

    async def scenario():
        await follower.step()
        await follower.step()
        clock.advance(2.0)
        # The store answers the peer again, and nothing has changed.
        for steady_s in (0.0, 1.0, 2.0, 3.0, 4.0):
            report = FeedReport(sync.digest(), 3, 0.0, steady_s, outage_s=2.0)
            watch.observe_report(report, clock.monotonic_s())
            clock.advance(1.0)
        await follower.step()

    asyncio.run(scenario())
    assert watch.store_recovered_at_s == 2.0
    assert list(table.all()) == []


class InstantSleepClock(ManualClock):
    """Clock whose `sleep` returns immediately and is counted."""

    n_pauses = 0

    async def sleep(self, delay_s):
        self.n_pauses += 1


def follow_configuration(feed, clock):
    return Follower(
        "configuration", feed, clock, apply_all=lambda records: None,
        apply=lambda record: None, wait_s=1.5, watch=FeedWatch(ReadingTimes(0, 1, 2)),
    )  # fmt: skip


def test_in_an_outage_the_follower_probes_at_once_and_without_a_long_poll():
    # If the reads of an outage wait for changes, or the first one for the retry delay,
    # a gateway gets its first answer 3.4 s or more later; the bound is 3.0 s.
    clock = InstantSleepClock(datetime(2026, 3, 1, tzinfo=UTC))
    failed, nothing = Failure(FeedFault.UNAVAILABLE), Success(Records((), 3))
    feed = ScriptedFeed(nothing, nothing, failed, failed, failed, nothing, nothing)
    feed.results.append(NEVER_ANSWERED)
    follower = follow_configuration(feed, clock)

    async def scenario():
        following = asyncio.ensure_future(follower.run())
        while feed.results:
            await asyncio.sleep(0)
        following.cancel()

    asyncio.run(scenario())
    assert feed.waits_s == [1.5, 1.5, 0.0, 0.0, 0.0, 1.5, 1.5]
    assert clock.n_pauses == 2


def test_a_read_that_lags_behind_a_peer_is_abandoned_once(monkeypatch):
    monkeypatch.setattr("pomelothread.gateway.feeds.STALE_READ_TIMEOUT_S", 0.0)
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    nothing = Success(Records((), 3))
    feed = ScriptedFeed(nothing, NEVER_ANSWERED, NEVER_ANSWERED)
    follower = follow_configuration(feed, clock)

    async def scenario():
        assert await follower.step()
        reading = asyncio.ensure_future(follower.step())
        while len(feed.results) > 1:
            await asyncio.sleep(0)
        follower.wake()
        assert not await reading
        probing = asyncio.ensure_future(follower.step())
        await asyncio.sleep(0)
        # The second read is not given up as well. Otherwise a slow store would never
        # be read while configurations follow each other quickly.
        follower.wake()
        await asyncio.sleep(0.0)
        assert not probing.done()
        feed.pending.set_result(nothing)
        assert await probing

    asyncio.run(scenario())
    assert feed.waits_s == [1.5, 0.0]


def test_an_upstream_that_started_again_is_a_new_one():
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    table, sync = make_listing_sync(clock)
    sync.apply(entry("a"))
    table.get("a").n_running = 3
    sync.apply(entry("a", state="draining"))
    assert table.get("a").n_running == 3
    assert table.get("a").listing.is_leaving
    sync.apply(entry("a", born=1_700_000_000_001))
    assert table.get("a").n_running == 0
    assert len(table.of_service("s")) == 1


@given(st.lists(st.integers(1, 9), max_size=8), st.integers(1, 7))
def test_events_stay_whole_and_unchanged_for_any_chunking(sizes, step):
    events = [
        b"id: %d\ndata: %s\n\n" % (number, b"x" * size)
        for number, size in enumerate(sizes)
    ]
    data = b"".join(events) + b"id: 99\nda"
    splitter, returned = EventSplitter(), b""
    for start in range(0, len(data), step):
        part = splitter.feed(data[start : start + step])
        assert not part or part.endswith(b"\n\n")
        returned += part
    assert returned == b"".join(events)
    assert splitter.last_id == (len(sizes) - 1 if sizes else None)


def test_the_retry_budgets_of_all_gateways_stay_within_that_of_the_fleet(tmp_path):
    # A budget that is created before the peers are known must be reduced to this
    # gateway's share once they are.
    settings = load_settings(write_boot(tmp_path, BOOT)).unwrap()
    state = GatewayState(settings)
    state.retry_budget("desk")
    state.n_gateways = 28
    budget = state.retry_budget("desk")
    n_repeats = 0
    while budget.try_spend():
        n_repeats += 1
    assert n_repeats * 28 <= settings.retry_stock
