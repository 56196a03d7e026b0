"""The instance list's client against the stand-in, with all its faults."""

import asyncio
import json
from datetime import UTC, datetime

import pytest
from raw_server import answers, raw_server, until
from returns.result import Failure, Success

from pomelothread.clock import ManualClock
from pomelothread.instance_list.client import (
    POLL_S,
    InstanceListClient,
    follow_instances,
    parse_instances,
)
from pomelothread.instance_list.membership import Instance, Membership
from standins.instance_list import start_instance_list, target_group

A = target_group("10.0.0.1:80", "10.0.0.1:81", "a", pool="drafts")
B = target_group("10.0.0.2:80", "10.0.0.2:81", "b", pool="orders", state="leaving")
E = target_group("10.0.0.3:80", "10.0.0.3:81", "e", role="entry")


def names(instances):
    return [instance.name for instance in instances]


@pytest.mark.parametrize(
    ("groups", "expected"),
    [
        ([], []),
        ([A, E], ["a", "e"]),
        ([{"targets": [], "labels": {"instance": "x"}}, A], ["a"]),
        ([{"targets": ["10.0.0.9:80"], "labels": {}}, A], ["a"]),
        ([{"targets": ["10.0.0.9:80"]}, A], ["a"]),
        ([A | {"more": 1}], ["a"]),
        ({}, None),
        ([{"labels": {}}], None),
        ([A, 1], None),
        ([{"targets": [1], "labels": {"instance": "x"}}], None),
    ],
)
def test_a_list_is_read_whole_or_refused(groups, expected):
    """Guards against a malformed list that reads as an empty fleet."""
    result = parse_instances(json.dumps(groups).encode())
    if expected is None:
        assert isinstance(result, Failure)
    else:
        assert names(result.unwrap().all()) == expected


def test_membership_selects_by_role_pool_and_state():
    membership = parse_instances(json.dumps([A, B, E]).encode()).unwrap()
    assert membership.live("agent", "drafts") == [
        Instance(
            name="a",
            role="agent",
            state="live",
            http_address="10.0.0.1:80",
            control_address="10.0.0.1:81",
            failure_domain="kathiawar-1",
            region="kathiawar",
            pool="drafts",
        )
    ]
    assert names(membership.live("agent")) == ["a"]
    assert names(membership.live("entry")) == ["e"]
    assert names(membership.leaving()) == ["b"]


@pytest.mark.parametrize("state", ["leaving", "starting", "LIVE"])
def test_an_instance_in_an_unknown_state_gets_no_work(state):
    group = target_group("10.0.0.1:80", "", "a", state=state)
    membership = parse_instances(json.dumps([group]).encode()).unwrap()
    assert (membership.live("agent"), names(membership.leaving())) == ([], ["a"])


def test_an_address_that_comes_back_is_another_instance():
    """Guards against work for a successor on the word of its predecessor."""
    successor = target_group("10.0.0.1:80", "10.0.0.1:81", "a2", pool="drafts")
    old = A | {"labels": A["labels"] | {"state": "leaving"}}
    membership = parse_instances(json.dumps([old, successor]).encode()).unwrap()
    assert membership.at("10.0.0.1:80").name == "a2"
    assert names(membership.leaving()) == ["a"]
    membership.replace(Membership())
    assert membership.at("10.0.0.1:80") is None


@pytest.mark.parametrize(
    "script",
    [
        answers(b""),
        answers(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
        answers(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[]"),
        answers(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n["),
        answers(b"HTTP/1.1 307 Go\r\nLocation: /x\r\nContent-Length: 2\r\n\r\n[]"),
    ],
)
def test_a_failed_fetch_is_a_failure_and_not_an_empty_list(script):
    async def run():
        async with raw_server(script) as server:
            address = server.url.removeprefix("http://").rstrip("/")
            return await InstanceListClient(address).fetch()

    assert isinstance(asyncio.run(run()), Failure)


def test_an_unchanged_list_is_not_sent_again():
    async def run():
        stand_in = start_instance_list()
        stand_in.change([A])
        client = InstanceListClient(stand_in.address)
        first, second = await client.fetch(), await client.fetch()
        stand_in.change([A, B])
        third = await client.fetch()
        await stand_in.stop()
        return first, second, third, stand_in.n_not_modified

    first, second, third, n_not_modified = asyncio.run(run())
    assert (names(first.unwrap().all()), second) == (["a"], Success(None))
    assert (len(third.unwrap().all()), n_not_modified) == (2, 1)


def test_the_last_copy_stays_while_the_list_is_out_frozen_or_behind():
    """Guards against an outage of the list that empties the fleet."""
    steps = [
        ({}, [A], ["a"], None),
        ({"down": True}, [], ["a"], "out"),
        ({}, None, ["a"], None),
        ({"down": False, "malformed": True}, [A, B], ["a"], None),
        ({"malformed": False, "frozen": True}, [E], ["a", "b"], "back"),
        ({"frozen": False}, None, ["e"], None),
        ({"lag_s": 2.5 * POLL_S}, [A], ["e"], None),
        ({}, None, ["e"], None),
        ({}, None, ["a"], None),
    ]

    async def run():
        clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
        stand_in = start_instance_list(clock=clock)
        client = InstanceListClient(stand_in.address)
        membership, outages = Membership(), []
        task = None
        for number, (faults, groups, expected, outage) in enumerate(steps):
            outages.clear()
            for name, value in faults.items():
                setattr(stand_in.faults, name, value)
            if groups is not None:
                stand_in.change(groups)
            if task is None:
                task = asyncio.create_task(
                    follow_instances(client, clock, membership.replace, outages.append)
                )
            else:
                clock.advance(POLL_S)
            await until(lambda n=number: stand_in.n_polls == n + 1)
            await until(lambda: len(clock._sleepers) == 1)
            assert names(membership.all()) == expected, number
            kinds = ["out" if fault else "back" for fault in outages]
            assert kinds == ([outage] if outage else []), number
        task.cancel()
        await stand_in.stop()

    asyncio.run(run())
