"""The scenarios of the benchmark: load over time, and injected faults."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from launcher import LOG, Launcher

STEADY_LOAD = 0.5
SWING_LOAD = 3.0
# Start and end of the rise, then start and end of the fall.
SWING_TIMES_S = (2.0, 4.0, 9.0, 11.0)
SLOW_FACTOR = 10.0
# Start and end of each period in which some upstreams are slow, others each time.
SLOW_PERIODS_S = ((1.0, 3.0), (4.0, 6.0), (7.0, 9.0))
LOG_PAUSE_TIMES_S = (2.0, 7.0)
DOMAIN_KILL_AT_S = 3.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load over time, with an optional fault.

    Parameters
    ----------
    name : str
        Name on the command line.
    load : callable
        Maps a time in seconds to the load, as a multiple of the capacity.
    duration_s : float
        How long requests are sent.
    drain_s : float
        How long to wait for answers afterwards.
    fault : callable or None
        Injects the fault; it is called when the load starts.
    has_long_prefixes : bool
        Whether prompts share long prefixes.
    """

    name: str
    load: Callable[[float], float]
    duration_s: float = 10.0
    drain_s: float = 8.0
    fault: Callable[[Launcher], Awaitable[None]] | None = None
    has_long_prefixes: bool = False


def steady_load(at_s: float) -> float:
    """Return the constant load, half of the capacity."""
    return STEADY_LOAD


def swing_load(at_s: float) -> float:
    """Return the load of the swing: a rise to three times the capacity, and a fall.

    Examples
    --------
    >>> [swing_load(at_s) for at_s in (0.0, 3.0, 4.0, 9.0, 10.0, 12.0)]
    [0.5, 1.75, 3.0, 3.0, 1.75, 0.5]
    """
    rise_s, top_s, fall_s, end_s = SWING_TIMES_S
    if at_s <= rise_s or at_s >= end_s:
        return STEADY_LOAD
    if at_s < top_s:
        part = (at_s - rise_s) / (top_s - rise_s)
    elif at_s <= fall_s:
        part = 1.0
    else:
        part = (end_s - at_s) / (end_s - fall_s)
    return STEADY_LOAD + part * (SWING_LOAD - STEADY_LOAD)


async def set_slow(launcher: Launcher, instance: str, factor: float) -> None:
    """Set the factor by which an upstream is slowed down."""
    await AsyncHTTPClient().fetch(
        HTTPRequest(
            f"http://{launcher.upstream_address(instance)}/_faults",
            method="POST",
            body=msgspec.json.encode({"slow_factor": factor}),
        )
    )


def slowed_instances(launcher: Launcher, period_index: int) -> list[str]:
    """Return a fifth of the upstreams of each pool, others in each period.

    Of a pool with fewer than five upstreams, it returns one.
    """
    pools: dict[str, list[str]] = {}
    for upstream in launcher.deployment.upstreams:
        pools.setdefault(upstream.pool, []).append(upstream.instance)
    slowed = []
    for instances in pools.values():
        n_slowed = max(1, len(instances) // 5)
        slowed += [
            instances[(period_index * n_slowed + i) % len(instances)]
            for i in range(n_slowed)
        ]
    return slowed


async def _slow_upstreams(launcher: Launcher) -> None:
    started_s = asyncio.get_running_loop().time()
    for period_index, (from_s, to_s) in enumerate(SLOW_PERIODS_S):
        instances = slowed_instances(launcher, period_index)
        for at_s, factor in ((from_s, SLOW_FACTOR), (to_s, 1.0)):
            await _sleep_until(started_s + at_s)
            for instance in instances:
                await set_slow(launcher, instance, factor)


async def _pause_log(launcher: Launcher) -> None:
    started_s = asyncio.get_running_loop().time()
    pause_s, resume_s = LOG_PAUSE_TIMES_S
    await _sleep_until(started_s + pause_s)
    launcher.signal(LOG, signal.SIGSTOP)
    try:
        await _sleep_until(started_s + resume_s)
    finally:
        launcher.signal(LOG, signal.SIGCONT)


async def _kill_domain(launcher: Launcher) -> None:
    await asyncio.sleep(DOMAIN_KILL_AT_S)
    for instance in lost_instances(launcher):
        launcher.signal(f"upstream:{instance}", signal.SIGKILL)
        launcher.signal(instance, signal.SIGKILL)


def lost_instances(launcher: Launcher) -> list[str]:
    """Return the upstreams of the second failure domain, the one that is killed."""
    domain = list(launcher.deployment.regions)[1]
    return [
        upstream.instance
        for upstream in launcher.deployment.upstreams
        if upstream.failure_domain == domain
    ]


async def restore_domain(launcher: Launcher) -> None:
    """Start what `_kill_domain` killed again, on the same ports."""
    instances = lost_instances(launcher)
    for instance in instances:
        await launcher.kill(f"upstream:{instance}")
        await launcher.kill(instance)
    await asyncio.gather(*(launcher.start_standin(name) for name in instances))
    await asyncio.gather(*(launcher.restart_node(name) for name in instances))


async def _sleep_until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))


DOMAIN_LOSS = "domain-loss"

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", steady_load),
        Scenario("swing", swing_load, duration_s=14.0, drain_s=14.0),
        Scenario("stragglers", steady_load, fault=_slow_upstreams),
        Scenario("prefixes", steady_load, has_long_prefixes=True),
        Scenario("log-out", steady_load, fault=_pause_log),
        Scenario(DOMAIN_LOSS, steady_load, fault=_kill_domain),
    )
}
