"""The index of cached blocks, fed with messages in vLLM's format."""

import asyncio

import msgspec
import pytest
from raw_server import until

from pomelothread.upstreams.cache_events import CacheIndex, follow_cache_events
from standins.cache_publisher import CachePublisher
from standins.engine_model import Removed, Stored
from standins.serving import Faults
from standins.text import block_hashes


def message(sequence, *events):
    payload = msgspec.msgpack.encode([1.0, list(events), None])
    return [b"kv-events", sequence.to_bytes(8, "big"), payload]


def stored(*hashes):
    return ["BlockStored", list(hashes), None, [1] * 16, 16, None]


def removed(*hashes):
    return ["BlockRemoved", list(hashes)]


START = message(7, stored(1, 2, 3))
MALFORMED = [b"kv-events", (8).to_bytes(8, "big"), b"\xc1"]


@pytest.mark.parametrize(
    ("messages", "expected_blocks", "counts"),
    [
        ([START], {1, 2, 3}, {}),
        ([START, message(8, stored(4), removed(1))], {2, 3, 4}, {}),
        ([START, message(8, ["AllBlocksCleared"]), message(9, stored(5))], {5}, {}),
        ([START, START], {1, 2, 3}, {"n_duplicates": 1}),
        ([START, message(9, stored(5))], {5}, {"n_gaps": 1}),
        ([START, message(9, removed(1))], set(), {"n_gaps": 1}),
        ([START, message(0, stored(5))], {5}, {"n_restarts": 1}),
        ([START, message(7, stored(5))], {5}, {"n_restarts": 1}),
        ([START, MALFORMED], set(), {"n_malformed": 1}),
        ([START, MALFORMED, message(9, stored(5))], {5}, {"n_malformed": 1}),
        ([START, message(8, ["Unheard", 1])], set(), {"n_malformed": 1}),
        ([START, [b"kv-events", b"x", b""]], set(), {"n_malformed": 1}),
        ([START, [b"kv-events"]], set(), {"n_malformed": 1}),
        ([START, message(8, [*stored(4), "GPU", "later"])], {1, 2, 3, 4}, {}),
        ([message(0, stored(b"\xff" * 24 + b"\0" * 7 + b"\x09"))], {9}, {}),
    ],
)
def test_the_index_holds_only_blocks_confirmed_by_events(
    messages, expected_blocks, counts
):
    """Guards against routing to a prefix whose removal was lost in a gap."""
    index = CacheIndex()
    for parts in messages:
        index.apply_message(parts)
    assert {
        block for block in range(1, 20) if index.n_cached([block])
    } == expected_blocks
    names = ("n_gaps", "n_restarts", "n_malformed", "n_duplicates")
    got = {name: getattr(index.counts, name) for name in names}
    assert {name: count for name, count in got.items() if count} == counts


def test_the_index_is_bounded_and_forgets_the_oldest_blocks():
    """Guards against unbounded memory if an engine never reports removals."""
    index = CacheIndex(max_blocks=100)
    for sequence in range(50):
        first = sequence * 10
        index.apply_message(message(sequence, stored(*range(first, first + 10))))
    assert len(index) == 100
    assert index.n_cached(range(400, 500)) == 100
    assert index.n_cached([399]) == 0


def test_only_an_unbroken_prefix_counts():
    index = CacheIndex()
    index.apply_message(message(0, stored(1, 2, 4)))
    assert index.n_cached([1, 2, 3, 4]) == 2


def test_events_of_the_publisher_arrive_and_a_lost_connection_drops_them():
    """Guards against an index that outlives the engine's process."""
    tokens = list(range(48))
    hashes = block_hashes(tokens)

    async def run():
        faults = Faults()
        publisher = CachePublisher(faults)
        index = CacheIndex()
        task = asyncio.create_task(follow_cache_events(publisher.address, index))
        # The subscription takes effect some time after the connection is made.
        while not len(index):
            publisher.publish([Stored(tuple(hashes), None, tuple(tokens))])
            await asyncio.sleep(0)
        assert index.n_cached(hashes) == 3
        publisher.publish([Removed((hashes[2],))])
        await until(lambda: index.n_cached(hashes) == 2)
        faults.n_events_dropped = 1
        publisher.publish([])
        publisher.publish([Stored((1,), None, (0,) * 16)])
        await until(lambda: index.counts.n_gaps)
        await until(lambda: index.n_cached([1]))
        assert len(index) == 1
        publisher.close()
        await until(lambda: index.counts.n_restarts)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return len(index)

    assert asyncio.run(run()) == 0
