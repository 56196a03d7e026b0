"""Control messages and channels, also between two protocol versions."""

import asyncio
from datetime import UTC, datetime

import msgspec
import pynng
import pytest
from test_grants import make_offer

from pomelothread.clock import ManualClock
from pomelothread.entry.agents import AgentTable
from pomelothread.instance_list.membership import Membership
from pomelothread.peers.control import ControlChannel
from pomelothread.peers.messages import (
    PROTOCOL_VERSION,
    AgentBeat,
    EntryBeat,
    Grant,
    Withdraw,
    decode_message,
    encode_message,
)

BEAT = AgentBeat("i", "agent-1", "127.0.0.1:1", "p", "d", "r", "127.0.0.1:2", "open")
MESSAGES = [BEAT, make_offer("r1"), Withdraw("a", "r"), Grant("a", "r", 7, 2000)]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_survives_its_encoding(message):
    assert decode_message(encode_message(message)) == message


def test_an_older_process_reads_a_newer_message_without_its_new_fields():
    newer = [*msgspec.to_builtins(Withdraw("a", "r")), "a field of the future"]
    assert decode_message(msgspec.msgpack.encode(newer)) == Withdraw("a", "r")


def test_a_newer_process_reads_an_older_message_with_defaults():
    older = ["EntryBeat", "a", "entry-1", "127.0.0.1:1"]
    assert decode_message(msgspec.msgpack.encode(older)) == EntryBeat(
        "a", "entry-1", "127.0.0.1:1"
    )


@pytest.mark.parametrize(
    ("lowest", "highest", "is_used"),
    [
        (PROTOCOL_VERSION, PROTOCOL_VERSION, True),
        (PROTOCOL_VERSION, PROTOCOL_VERSION + 3, True),
        (PROTOCOL_VERSION + 1, PROTOCOL_VERSION + 3, False),
        (0, 0, False),
    ],
)
def test_an_agent_is_used_only_if_the_versions_overlap(lowest, highest, is_used):
    beat = msgspec.structs.replace(
        BEAT, min_protocol_version=lowest, protocol_version=highest
    )
    table = AgentTable(make_clock(), Membership())
    table.record_heartbeat(beat)
    assert bool(table.views("p")) is is_used


def test_the_outbox_of_a_successor_in_the_same_slot_is_kept():
    table = AgentTable(make_clock(), Membership())
    table.record_heartbeat(BEAT)
    table.record_heartbeat(msgspec.structs.replace(BEAT, incarnation="successor"))
    (removed,) = table.forget_silent()
    assert removed.beat.incarnation == "i"
    assert table.uses_inbox(removed.beat.inbox)


def make_clock():
    return ManualClock(datetime(2026, 3, 1, tzinfo=UTC))


def run_with_channels(use):
    async def scenario():
        channels = [ControlChannel("127.0.0.1:0") for _ in range(2)]
        try:
            return await use(*channels)
        finally:
            for channel in channels:
                channel.close()

    return asyncio.run(scenario())


def test_a_burst_arrives_whole_and_in_order():
    async def use(a, b):
        for number in range(200):
            a.send(b.address, Grant("a", "r", number, 1))
        return [(await b.receive()).grant for _ in range(200)]

    assert run_with_channels(use) == list(range(200))


def test_a_message_to_nobody_neither_blocks_nor_fails():
    async def use(a, b):
        for _ in range(2000):
            a.send("127.0.0.1:1", Withdraw("a", "r"))
            await asyncio.sleep(0)
        a.send(b.address, Withdraw("a", "still alive"))
        await b.receive()
        return a.n_unsent

    assert run_with_channels(use) > 0


@pytest.mark.parametrize(
    ("frame", "n_unknown_messages"),
    [
        (b"junk", 1),
        (b"", 1),
        (msgspec.msgpack.encode([["NoSuchMessage"]]), 1),
        (msgspec.msgpack.encode([["Grant"], 5]), 2),
        (msgspec.msgpack.encode([]), 0),
    ],
)
def test_what_cannot_be_read_is_counted_and_dropped(frame, n_unknown_messages):
    async def use(a, b):
        with pynng.Push0(dial=f"tcp://{b.address}") as sender:
            await sender.asend(frame)
            await sender.asend(
                msgspec.msgpack.encode([msgspec.to_builtins(Withdraw("a", "last"))])
            )
            assert (await b.receive()).request_id == "last"
        return b.n_unknown_messages

    assert run_with_channels(use) == n_unknown_messages


def test_a_successor_at_the_same_address_gets_later_messages():
    async def scenario():
        a, b = ControlChannel("127.0.0.1:0"), ControlChannel("127.0.0.1:0")
        a.send(b.address, Withdraw("a", "first"))
        await b.receive()
        address = b.address
        b.close()
        successor = ControlChannel(address)
        received = asyncio.ensure_future(successor.receive())
        while not received.done():
            a.send(address, Withdraw("a", "again"))
            await asyncio.wait({received}, timeout=0.02)
        a.close()
        successor.close()
        return received.result().request_id

    assert asyncio.run(scenario()) == "again"
