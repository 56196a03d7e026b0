"""The client of the instance list, against the stand-in and its injected faults."""

import asyncio
import json
from datetime import UTC, datetime

import pytest
from raw_server import answers, raw_server, until
from returns.result import Failure, Success

from pomelothread.clock import ManualClock
from pomelothread.instance_list.client import (
    POLL_PERIOD_S,
    InstanceListClient,
    follow_instances,
    parse_instances,
)
from pomelothread.instance_list.membership import Instance, Membership
from standins.instance_list import start_instance_list, target_group

LIVE_AGENT = target_group("10.0.0.1:80", "10.0.0.1:81", "a", pool="drafts")
LEAVING_AGENT = target_group(
    "10.0.0.2:80", "10.0.0.2:81", "b", pool="orders", state="leaving"
)
LIVE_ENTRY = target_group("10.0.0.3:80", "10.0.0.3:81", "e", role="entry")


def names(instances):
    return [instance.name for instance in instances]


@pytest.mark.parametrize(
    ("groups", "expected"),
    [
        ([], []),
        ([LIVE_AGENT, LIVE_ENTRY], ["a", "e"]),
        ([{"targets": [], "labels": {"instance": "x"}}, LIVE_AGENT], ["a"]),
        ([{"targets": ["10.0.0.9:80"], "labels": {}}, LIVE_AGENT], ["a"]),
        ([{"targets": ["10.0.0.9:80"]}, LIVE_AGENT], ["a"]),
        ([LIVE_AGENT | {"more": 1}], ["a"]),
        ({}, None),
        ([{"labels": {}}], None),
        ([LIVE_AGENT, 1], None),
        ([{"targets": [1], "labels": {"instance": "x"}}], None),
    ],
)
def test_a_list_is_parsed_completely_or_rejected(groups, expected):
    """Guards against taking a malformed list for an empty fleet."""
    result = parse_instances(json.dumps(groups).encode())
    if expected is None:
        assert isinstance(result, Failure)
    else:
        assert names(result.unwrap().all()) == expected


def test_membership_selects_by_role_pool_and_state():
    membership = parse_instances(
        json.dumps([LIVE_AGENT, LEAVING_AGENT, LIVE_ENTRY]).encode()
    ).unwrap()
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


def test_an_address_that_reappears_belongs_to_another_instance():
    """Guards against mistaking a new instance for the previous one at its address."""
    successor = target_group("10.0.0.1:80", "10.0.0.1:81", "a2", pool="drafts")
    predecessor = LIVE_AGENT | {"labels": LIVE_AGENT["labels"] | {"state": "leaving"}}
    membership = parse_instances(json.dumps([predecessor, successor]).encode()).unwrap()
    assert membership.find_by_address("10.0.0.1:80").name == "a2"
    assert names(membership.leaving()) == ["a"]
    membership.replace(Membership())
    assert membership.find_by_address("10.0.0.1:80") is None


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
        stand_in.set_groups([LIVE_AGENT])
        client = InstanceListClient(stand_in.address)
        first, second = await client.fetch(), await client.fetch()
        stand_in.set_groups([LIVE_AGENT, LEAVING_AGENT])
        third = await client.fetch()
        await stand_in.stop()
        return first, second, third, stand_in.n_not_modified

    first, second, third, n_not_modified = asyncio.run(run())
    assert (names(first.unwrap().all()), second) == (["a"], Success(None))
    assert (len(third.unwrap().all()), n_not_modified) == (2, 1)


def test_the_last_copy_stays_in_use_while_the_list_is_down_frozen_or_lagging():
    """Guards against an outage of the list that empties the fleet."""
    steps = [
        ({}, [LIVE_AGENT], ["a"], None),
        ({"down": True}, [], ["a"], "out"),
        ({}, None, ["a"], None),
        ({"down": False, "malformed": True}, [LIVE_AGENT, LEAVING_AGENT], ["a"], None),
        ({"malformed": False, "frozen": True}, [LIVE_ENTRY], ["a", "b"], "back"),
        ({"frozen": False}, None, ["e"], None),
        ({"lag_s": 2.5 * POLL_PERIOD_S}, [LIVE_AGENT], ["e"], None),
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
                stand_in.set_groups(groups)
            if task is None:
                task = asyncio.create_task(
                    follow_instances(client, clock, membership.replace, outages.append)
                )
            else:
                clock.advance(POLL_PERIOD_S)
            await until(lambda n=number: stand_in.n_polls == n + 1)
            await until(lambda: len(clock._sleepers) == 1)
            assert names(membership.all()) == expected, number
            kinds = ["out" if fault else "back" for fault in outages]
            assert kinds == ([outage] if outage else []), number
        task.cancel()
        await stand_in.stop()

    asyncio.run(run())
