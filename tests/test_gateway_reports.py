"""Gateways report their load to peers; the load of a silent peer is not counted."""

import random
from datetime import UTC, datetime

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pomelothread.addresses import Address
from pomelothread.clock import ManualClock
from pomelothread.gateway.peer_link import PeerLink
from pomelothread.gateway.peer_messages import LoadReport, PeerMessage
from pomelothread.gateway.peers import SILENT_AFTER_S, PeerTable

OWN, OTHER = Address("10.0.0.1", 7600), Address("10.0.0.2", 7600)


def make_table():
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    return PeerTable(OWN, clock), clock


def message(sequence, *loads, incarnation="one", is_heartbeat=False, **fields):
    reports = [LoadReport(*load) for load in loads]
    return PeerMessage(incarnation, sequence, is_heartbeat, reports, **fields)


def test_loads_of_peers_are_added_and_outdated_messages_are_ignored():
    table, _ = make_table()
    table.receive(OTHER, message(2, ("a", 3, 900)))
    assert table.receive(OTHER, message(1, ("a", 1, 0))) is None
    table.receive(Address("10.0.0.3", 7600), message(1, ("a", 1, 100)))
    assert table.load_at("a") == (4, 1000)


def test_a_heartbeat_or_a_new_incarnation_replaces_all_loads_of_a_peer():
    table, _ = make_table()
    table.receive(OTHER, message(5, ("a", 3, 0), ("b", 1, 0)))
    table.receive(OTHER, message(6, ("b", 2, 0), is_heartbeat=True))
    assert (table.load_at("a"), table.load_at("b")) == ((0, 0), (2, 0))
    table.receive(OTHER, message(1, ("a", 1, 0), incarnation="two"))
    assert (table.load_at("a"), table.load_at("b")) == ((1, 0), (0, 0))


def test_a_peer_names_all_upstreams_at_which_its_load_has_changed():
    table, _ = make_table()
    table.receive(OTHER, message(1, ("a", 3, 0), ("b", 1, 0)))
    peer = table.receive(OTHER, message(2, ("b", 2, 0)))
    assert peer.changed_upstreams == {"b"}
    peer = table.receive(OTHER, message(3, ("c", 1, 0), is_heartbeat=True))
    assert peer.changed_upstreams == {"a", "b", "c"}
    peer = table.receive(OTHER, message(1, ("d", 1, 0), incarnation="two"))
    assert peer.changed_upstreams == {"c", "d"}


def test_the_load_of_a_silent_peer_is_no_longer_counted():
    table, clock = make_table()
    table.receive(OTHER, message(1, ("a", 3, 0), waiting={"s": 0}))
    clock.advance(SILENT_AFTER_S + 0.1)
    assert table.mark_silent()
    assert table.load_at("a") == (0, 0)
    assert table.lowest_waiting_urgencies() == {}
    assert len(table) == 0


def test_own_messages_and_the_own_address_add_no_peer():
    table, _ = make_table()
    assert table.receive(OWN, message(1, ("a", 1, 0))) is None
    table.add_or_refresh(OWN)
    assert table.all() == []


@given(st.binary(max_size=60))
def test_no_datagram_raises(data):
    table, _ = make_table()
    link = PeerLink(table, lambda peer, message: None, lambda sender, gossip: None)
    link.datagram_received(data, ("10.0.0.2", 1))


def test_a_heartbeat_makes_up_for_lost_messages():
    source = random.Random(5)
    table, _ = make_table()
    load = {}
    for sequence in range(1, 200):
        load[source.choice("abc")] = source.randrange(5)
        if source.random() < 0.5:
            changed = [(name, n, 0) for name, n in load.items()]
            table.receive(OTHER, message(sequence, *changed[:1]))
    table.receive(
        OTHER, message(200, *((n, k, 0) for n, k in load.items()), is_heartbeat=True)
    )
    assert {name: table.load_at(name)[0] for name in load} == load


def test_a_message_fits_into_a_datagram_for_thirty_upstreams():
    loads = [(f"i-{n:010x}", 4, 12_345) for n in range(30)]
    full = message(
        9, *loads, is_heartbeat=True, peers=[f"10.0.0.{n}" for n in range(28)]
    )
    assert len(msgspec.msgpack.encode(full)) < 1400
