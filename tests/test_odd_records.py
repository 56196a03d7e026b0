"""Tests that records of other writers, however odd, stop nobody who reads them."""

import asyncio
from datetime import UTC, datetime

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_rig import configuration, gateway_rig, second_gateway
from returns.result import Success

from pomelothread.addresses import parse_address
from pomelothread.clock import ManualClock
from pomelothread.gateway.crashes import CrashReporter
from pomelothread.gateway.feeds import Follower, KeyedRecord, Records
from pomelothread.gateway.part_crashes import PartCrashReporter
from pomelothread.gateway.quota_notes import decode_note
from pomelothread.http1.messages import parse_number, parse_number_pair
from pomelothread.instance_list.client import parse_instances
from pomelothread.operators.snapshots import decode_snapshot
from pomelothread.peers.messages import decode_message
from pomelothread.platform.records import decode_configuration, decode_listing
from pomelothread.policy.crash_guard import CrashGuard
from pomelothread.policy.crashing_parts import CrashingParts

DEEP = b"[" * 100_000 + b"]" * 100_000
# The same in MessagePack: arrays of one element.
DEEP_BINARY = b"\x91" * 100_000 + b"\x00"
DIGITS = b"9" * 5_000

LISTING = (
    b'{"service":"desk","address":"127.0.0.1:%s","zone":"z","slots":%s,'
    b'"state":"ready","seq":%s,"born":%s,"other":%s}'
)
ODD_LISTINGS = [
    LISTING % (b"9", b"4", b"1", b"1", DEEP),
    LISTING % (b"9", DEEP, b"1", b"1", b"0"),
    LISTING % (DIGITS, b"4", b"1", b"1", b"0"),
    LISTING % (b"65536", b"4", b"1", b"1", b"0"),
    LISTING % (b"0", b"4", b"1", b"1", b"0"),
    LISTING % (b"9", b"1" + b"0" * 30, b"1", b"1", b"0"),
    LISTING % (b"9", b"4", b"1" + b"0" * 30, b"1", b"0"),
    LISTING % (b"9", b"4", b"1", b"1" + b"0" * 30, b"0"),
    LISTING % (b"9", DIGITS, b"1", b"1", b"0"),
    LISTING % (b"9", b"4", DIGITS, DIGITS, b"0"),
    LISTING % (b"9", b"1e999", b"1", b"1", b"0"),
    DEEP,
    DIGITS,
    b"\xff\xfe",
    b"",
]


@pytest.mark.parametrize("number", range(len(ODD_LISTINGS)))
def test_an_odd_listing_names_no_upstream(number):
    assert decode_listing(KeyedRecord("odd", ODD_LISTINGS[number])) is None


async def test_upstreams_beside_odd_listings_are_used_and_followed():
    async with gateway_rig(engines=0, desks=1) as rig:
        for number, value in enumerate(ODD_LISTINGS):
            rig.store.put("keyed.servers", f"odd-{number}", value)
        rig.store.put("keyed.op", "config", DEEP)
        rig.store.put("keyed.op", "config", {**configuration(2), "version": 10**30})
        await rig.add_upstream("desk-9", "desk")
        rig.put_configuration(version=3)
        while rig.gateway.configuration_version != 3:
            await asyncio.sleep(0.01)
        while rig.gateway.is_leaving("desk-9"):
            await asyncio.sleep(0.01)
        rig.store.put("keyed.servers", "desk-0", None)
        while not rig.gateway.is_leaving("desk-0"):
            await asyncio.sleep(0.01)
        assert (await rig.call("/lookups/1")).status == 200


async def test_a_gateway_starts_beside_odd_records_in_every_topic():
    async with gateway_rig(engines=0, desks=1) as rig:
        for topic in ("keyed.servers", "keyed.quotas", "keyed.crashes"):
            for number, value in enumerate((*ODD_LISTINGS, *ODD_RECORDS)):
                rig.store.put(topic, f"odd-{number}", value)
        for number, value in enumerate((*ODD_LISTINGS, *ODD_RECORDS)):
            rig.store.put("keyed.part-crashes", f"odd-{number}", value)
        async with second_gateway(rig) as second:
            assert (await second.call("/lookups/1")).status == 200


ODD_RECORDS = [
    b'{"written_ms":%s,"used":{}}' % DIGITS,
    b'{"written_ms":1%s,"used":{}}' % (b"0" * 400),
    b'{"written_ms":1,"used":{"club":[[1e999,1]]}}',
    b'{"written_ms":1,"used":{},"other":%s}' % DEEP,
    b'{"part":"a","depth":1,"upstream_id":"u","started_ms":1,"body":"b",'
    b'"sent_at_ms":1%s,"crashed_at_ms":1%s}' % (b"0" * 400, b"0" * 400),
    b'["a",%s]' % DEEP,
]


@pytest.mark.parametrize("number", range(len(ODD_RECORDS)))
def test_an_odd_record_of_a_gateway_is_ignored(number):
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    record = KeyedRecord("odd", ODD_RECORDS[number])
    crashes = CrashReporter(CrashGuard(), None, clock)
    crashes.apply_all((record, KeyedRecord("f", b'["a","b","c"]')))
    assert crashes.missing_value("f") is None
    PartCrashReporter(CrashingParts(), None, clock, None).apply_all((record,))
    assert decode_note(record) is None


def test_a_record_that_fails_does_not_stop_those_beside_it():
    applied = []

    def apply(record):
        if record.key == "odd":
            raise OverflowError
        applied.append(record.key)

    class Feed:
        async def read_newest(self):
            return Success(Records((KeyedRecord("odd", b""), KeyedRecord("a", b"")), 2))

    follower = Follower(
        "feed",
        Feed(),
        ManualClock(datetime(2026, 3, 1, tzinfo=UTC)),
        apply_all=lambda records: [apply(record) for record in records],
        apply=apply,
        wait_s=1.0,
    )
    assert asyncio.run(follower.step())
    assert applied == ["a"]


@pytest.mark.parametrize("port", ["9" * 5_000, "99999", "65536", "-1", "1e3", ""])
def test_a_port_out_of_range_is_no_address(port):
    assert parse_address(f"127.0.0.1:{port}") is None


DECODERS = {
    "configuration": lambda data: decode_configuration(data).failure(),
    "instances": lambda data: parse_instances(data).failure(),
    "snapshot": lambda data: decode_snapshot(data).failure(),
    "number": lambda data: parse_number(data) is None,
    "numbers": lambda data: parse_number_pair(b"1," + data, 10) is None,
    "message": lambda data: decode_message(data) is None,
}


@pytest.mark.parametrize("name", DECODERS)
@pytest.mark.parametrize("data", [DEEP, DEEP_BINARY, b'{"a":%s}' % DEEP, b"-" + DIGITS])
def test_decoders_reject_deep_nesting_and_long_numbers(name, data):
    assert DECODERS[name](data)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=10,
)


@given(
    changes=st.dictionaries(
        st.sampled_from(
            ("service", "address", "zone", "slots", "state", "seq", "born", "version")
        ),
        json_values | st.integers(min_value=-(10**40), max_value=10**40),
    ),
    depth=st.integers(min_value=0, max_value=3_000),
)
def test_a_listing_with_any_fields_is_valid_or_ignored(changes, depth):
    entry = msgspec.json.decode(LISTING % (b"9", b"4", b"1", b"1", b"0"))
    data = msgspec.json.encode({**entry, **changes})
    nested = b',"nested":' + b"[" * depth + b"]" * depth + b"}"
    listing = decode_listing(KeyedRecord("odd", data[:-1] + nested))
    if listing is not None:
        assert 1 <= listing.n_slots <= 10**6
        assert max(listing.started_ms, listing.n_reports) <= 2**53
