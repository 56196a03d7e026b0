"""Measures marginal costs at an entry or an agent, for capacity planning.

``python -m measure_slopes`` prints the memory of each waiting request, offer, known
agent and control connection, size and CPU time of control messages, and the CPU time
of a routing decision. docs/CAPACITY.md uses these figures.
"""

import asyncio
import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime

import psutil
from absl import app

from pomelothread.agent.grants import Grants
from pomelothread.clock import ManualClock
from pomelothread.entry.agents import AgentTable
from pomelothread.entry.waiting import WaitingRequest, WaitingRequests
from pomelothread.instance_list.membership import Membership
from pomelothread.peers.control import ControlChannel
from pomelothread.peers.messages import (
    AgentBeat,
    EntryBeat,
    Grant,
    Message,
    Offer,
    encode_message,
)
from pomelothread.policy.places import ConcurrencyLimit
from pomelothread.policy.routing import RequestFacts, choose_agents

N_ITEMS = 2000
N_MESSAGES = 20_000
N_CHANNELS = 100

ENTRY_BEAT = EntryBeat("0123456789abcdef", "entry-17", "10.1.2.3:40123", 12, 77)


def agent_beat(number: int) -> AgentBeat:
    """Return a heartbeat of typical size."""
    return AgentBeat(
        incarnation=f"{number:016x}",
        instance=f"drafting-{number}",
        inbox=f"10.1.{number // 250}.{number % 250}:40123",
        pool="drafting",
        failure_domain="kathiawar-1",
        region="kathiawar",
        http_address=f"10.1.{number // 250}.{number % 250}:8080",
        state="open",
        n_places=32,
        n_free_places=3,
        waiting_by_rank={0: 2, 1: 5, 3: 17},
        token_gap_s=0.0312,
        prefill_tokens_per_s=8123.5,
        service_time_s=4.25,
        sheet_version=77,
    )


def make_offer(number: int) -> Offer:
    """Return an offer of typical size."""
    return Offer(
        incarnation="0123456789abcdef",
        request_id=f"0123456789abcdef-{number}",
        pool="drafting",
        service="course-check",
        tier_rank=0,
        protected=True,
        organisation=f"organisation-{number % 50}",
        share=2.0,
        n_input_tokens=700,
        n_output_tokens=256,
        deadline_ms=14_000,
        prefix_hashes=(2**61 + number, 2**60 + number, 2**59 + number),
    )


def bytes_per_object(make: Callable[[int], object]) -> float:
    """Return the mean memory of an object, over `N_ITEMS` objects."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [make(number) for number in range(N_ITEMS)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(kept)


async def measure_memory() -> None:
    """Print the memory of a waiting request, an offer and a known agent."""
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    waiting = WaitingRequests(10 * N_ITEMS, 2**40)

    def wait(number: int) -> object:
        facts = RequestFacts(0, True, 700, 256, 14.0, (number, number + 1), "r")
        request = WaitingRequest(
            f"0123456789abcdef-{number}",
            "drafting",
            "course-check",
            "club",
            1.0,
            facts,
            14.0,
            2800,
        )
        waiting.add(request)
        for agent in range(3):
            request.offered_to[f"agent-{agent}"] = "10.1.2.3:40123"
        return request

    print(f"bytes_waiting_request: {bytes_per_object(wait):.0f} without its body")
    limit = ConcurrencyLimit(1, 1, 1, 10**6, 0.041, 0.0)
    grants = Grants("agent", limit, clock)
    print(
        "bytes_offer_at_agent:"
        f" {bytes_per_object(lambda n: grants.offer(make_offer(n))):.0f}"
    )
    table = AgentTable(clock, Membership())
    print(
        "bytes_known_agent:"
        f" {bytes_per_object(lambda n: table.record_heartbeat(agent_beat(n))):.0f}"
        " without its outbox"
    )


async def measure_outboxes() -> None:
    """Print the memory of a connected outbox and the peer's inbox."""
    process = psutil.Process()
    sender = ControlChannel("127.0.0.1:0")
    before = process.memory_info().rss
    peers = [ControlChannel("127.0.0.1:0") for _ in range(N_CHANNELS)]
    for peer in peers:
        sender.send(peer.address, ENTRY_BEAT)
    for peer in peers:
        await peer.receive()
    used = (process.memory_info().rss - before) / N_CHANNELS
    print(f"bytes_outbox_and_inbox: {used:.0f} resident, both ends")
    for peer in (*peers, sender):
        peer.close()


async def measure_control_messages() -> None:
    """Print size and CPU time of control messages, alone and 16 in a frame."""
    a, b = ControlChannel("127.0.0.1:0"), ControlChannel("127.0.0.1:0")
    messages: dict[str, Message] = {
        "entry_beat": ENTRY_BEAT,
        "agent_beat": agent_beat(7),
        "offer": make_offer(7),
        "grant": Grant("0123456789abcdef", "0123456789abcdef-7", 12345, 2000),
    }
    for name, message in messages.items():
        print(f"bytes_{name}: {len(encode_message(message))}")
    for n_in_frame in (1, 16):
        started_s = time.process_time()
        for _ in range(N_MESSAGES // 10 // n_in_frame):
            for _ in range(n_in_frame):
                a.send(b.address, messages["agent_beat"])
            for _ in range(n_in_frame):
                await b.receive()
        n_messages = N_MESSAGES // 10 // n_in_frame * n_in_frame
        used_us = (time.process_time() - started_s) / n_messages * 1e6
        print(f"cpu_us_agent_beat: {used_us:.0f} both ends, {n_in_frame} in a frame")
    a.close()
    b.close()


def measure_routing() -> None:
    """Print the CPU time of a routing decision for 10 and 100 agents."""
    clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    for n_agents in (10, 100):
        table = AgentTable(clock, Membership())
        for number in range(n_agents):
            table.record_heartbeat(agent_beat(number))
        facts = RequestFacts(1, False, 700, 256, 14.0, (1, 2, 3), "kathiawar")
        started_s = time.process_time()
        for number in range(200):
            choose_agents(facts, table.views("drafting"), 0.0, spread_seed=number)
        used_us = (time.process_time() - started_s) / 200 * 1e6
        print(f"cpu_us_routing: {used_us:.0f} with {n_agents} agents")


async def run() -> None:
    """Run all measurements."""
    await measure_memory()
    await measure_outboxes()
    await measure_control_messages()
    measure_routing()


def main(argv: list[str]) -> None:
    """Run the measurements."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    asyncio.run(run())


if __name__ == "__main__":
    app.run(main)
