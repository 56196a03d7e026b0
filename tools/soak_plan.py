"""Draws the faults of a soak run, and their times, from a seed."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from standins.fault_proxy import LinkFault
from standins.platform import UpstreamFault

N_GATEWAYS = 3
N_ENGINES = 3
N_DESKS = 3
# Engines of a service of their own, whose long streams callers take up.
N_WRITERS = 3
# Writers that are processes of their own; the first one is reached without a proxy.
N_SERVERS = 3

# Mean time between the starts of two faults; faults may overlap.
MEAN_FAULT_GAP_S = 0.7
# No fault starts before this time, while callers open their first connections.
FIRST_FAULT_S = 1.0


@dataclass(frozen=True, slots=True)
class Kill:
    """Gateways are killed with SIGKILL and restarted after `down_s`."""

    gateways: tuple[int, ...]
    down_s: float


@dataclass(frozen=True, slots=True)
class Stop:
    """A gateway is stopped with SIGTERM and restarted."""

    gateway: int


@dataclass(frozen=True, slots=True)
class Pause:
    """A gateway process is suspended with SIGSTOP."""

    gateway: int
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreLink:
    """The link from one gateway to the store is faulty."""

    gateway: int
    fault: LinkFault
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreFault:
    """The store itself is faulty."""

    kind: str
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store is away and returns from a copy that was made before."""

    age_s: float
    away_s: float


@dataclass(frozen=True, slots=True)
class UpstreamLink:
    """The link to one upstream is faulty."""

    upstream: int
    fault: LinkFault
    for_s: float


@dataclass(frozen=True, slots=True)
class UpstreamTrouble:
    """An upstream misbehaves."""

    upstream: int
    fault: UpstreamFault
    for_s: float


@dataclass(frozen=True, slots=True)
class NamesLimit:
    """Upstreams name a limit in their responses."""

    upstreams: tuple[int, ...]
    rate_per_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class PeerCut:
    """A gateway is cut off from its peers, and from nothing else."""

    gateway: int
    for_s: float


@dataclass(frozen=True, slots=True)
class CrashingPart:
    """A part of prompts crashes each engine that begins to respond to it."""

    part: str
    for_s: float


@dataclass(frozen=True, slots=True)
class Replace:
    """An upstream is replaced, with or without an announcement that it leaves."""

    upstream: int
    is_announced: bool


@dataclass(frozen=True, slots=True)
class Upgrade:
    """A writer crashes and starts again under its id with the next software version.

    Its new entry reaches the store some time after it listens.
    """

    writer: int
    down_s: float
    listed_after_s: float


@dataclass(frozen=True, slots=True)
class KillServer:
    """A writer's process is ended by SIGKILL and starts again at its address.

    It has a new start, perhaps the next software version, and its new entry reaches the
    store some time after it listens.
    """

    server: int
    down_s: float
    is_upgraded: bool
    listed_after_s: float


@dataclass(frozen=True, slots=True)
class Reconfigure:
    """An operator publishes new configuration versions."""

    n_versions: int


@dataclass(frozen=True, slots=True)
class ForeignRecords:
    """Malformed records of another writer appear in the topics."""


Fault = (
    Kill
    | Stop
    | Pause
    | StoreLink
    | StoreFault
    | StoreRestored
    | UpstreamLink
    | UpstreamTrouble
    | NamesLimit
    | PeerCut
    | CrashingPart
    | Replace
    | Upgrade
    | KillServer
    | Reconfigure
    | ForeignRecords
)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault and its time in seconds after the start of the load."""

    at_s: float
    fault: Fault


_STORE_KINDS = ("down", "silent", "loses answers", "forgets")
_LINK_FAULTS = (
    LinkFault.DELAYS,
    LinkFault.SILENT,
    LinkFault.ONE_WAY,
    LinkFault.REFUSES,
)
_ENDLESS_FAULTS = (
    UpstreamFault.ENDLESS_HEAD,
    UpstreamFault.ENDLESS_BODY,
    UpstreamFault.DRIPS,
)
# Not drawn as others are. A stream that a living upstream ends between two events is
# believed until a sample has found that upstream.
_OTHER_FAULTS = (
    UpstreamFault.NONE,
    UpstreamFault.CRASHES,
    UpstreamFault.ENDS_BETWEEN_EVENTS,
    *_ENDLESS_FAULTS,
)
_UPSTREAM_FAULTS = tuple(fault for fault in UpstreamFault if fault not in _OTHER_FAULTS)
# Mean time between the starts of two faults with an endless answer.
MEAN_ENDLESS_GAP_S = 5.0
# Mean time between the starts of two limits, and of two cuts between gateways.
MEAN_LIMIT_GAP_S = 4.0
MEAN_PEER_CUT_GAP_S = 6.0
LIMITS_PER_S = (0.0, 0.5, 1.9, 5.0)
# Maximum age of the copy from which the store returns.
MAX_COPY_AGE_S = 6.0
# Mean time between two upgrades, between two kills of a process, and how long each
# writer is down.
MEAN_UPGRADE_GAP_S = 1.5
MEAN_SERVER_KILL_GAP_S = 1.5
WRITER_DOWN_S = (0.3, 1.3)
MAX_LISTED_AFTER_S = 2.0


def plan_soak(seed: int, duration_s: float) -> list[PlannedFault]:
    """Draw the faults of a soak run.

    Parameters
    ----------
    seed : int
        Seed of the plan.
    duration_s : float
        Length of the load with faults.

    Returns
    -------
    list of PlannedFault
        Sorted by time.

    Examples
    --------
    >>> plan_soak(1, 10.0) == plan_soak(1, 10.0)
    True
    """
    rng = random.Random(seed)
    plan = []
    for at_s in _fault_times_s(rng, MEAN_FAULT_GAP_S, duration_s):
        plan.append(PlannedFault(at_s, _draw_fault(rng)))
    plan += _plan_endless(seed, duration_s)
    plan += _plan_limits(seed, duration_s)
    plan += _plan_crashing_parts(seed, duration_s)
    plan += _plan_restored(seed, duration_s)
    plan += _plan_upgrades(seed, duration_s)
    plan += _plan_server_kills(seed, duration_s)
    return sorted(plan, key=lambda planned: planned.at_s)


def _fault_times_s(
    rng: random.Random, mean_gap_s: float, duration_s: float
) -> Iterator[float]:
    """Draw the times at which faults of a kind start, each after the one before."""
    at_s = FIRST_FAULT_S + rng.expovariate(1.0 / mean_gap_s)
    while at_s < duration_s:
        yield round(at_s, 2)
        at_s += rng.expovariate(1.0 / mean_gap_s)


def _plan_endless(seed: int, duration_s: float) -> list[PlannedFault]:
    """Draw the endless answers.

    They use a generator of their own, so that the other faults of a seed do not
    depend on them.
    """
    rng = random.Random(f"endless {seed}")
    plan = []
    for at_s in _fault_times_s(rng, MEAN_ENDLESS_GAP_S, duration_s):
        upstream = rng.randrange(N_ENGINES + N_DESKS)
        fault = rng.choice(_ENDLESS_FAULTS)
        for_s = round(rng.uniform(0.3, 3.0), 2)
        trouble = UpstreamTrouble(upstream, fault, for_s)
        plan.append(PlannedFault(at_s, trouble))
    return plan


def _plan_limits(seed: int, duration_s: float) -> list[PlannedFault]:
    """Draw limits that upstreams name, and cuts between gateways.

    They use a generator of their own, for the same reason.
    """
    rng = random.Random(f"limits {seed}")
    plan: list[PlannedFault] = []
    for at_s in _fault_times_s(rng, MEAN_LIMIT_GAP_S, duration_s):
        first = rng.choice((0, N_ENGINES))
        service = range(first, first + N_ENGINES)
        upstreams = tuple(rng.sample(service, rng.randint(1, len(service))))
        for_s = round(rng.uniform(3.0, 8.0), 2)
        limit = NamesLimit(upstreams, rng.choice(LIMITS_PER_S), for_s)
        plan.append(PlannedFault(at_s, limit))
    for at_s in _fault_times_s(rng, MEAN_PEER_CUT_GAP_S, duration_s):
        cut = PeerCut(rng.randrange(N_GATEWAYS), round(rng.uniform(0.3, 5.0), 2))
        plan.append(PlannedFault(at_s, cut))
    return plan


def _plan_crashing_parts(seed: int, duration_s: float) -> list[PlannedFault]:
    """Draw one or two parts that crash engines, to the end of the load.

    They use a generator of their own, for the same reason.
    """
    rng = random.Random(f"parts {seed}")
    plan = []
    for number in range(rng.randint(1, 2)):
        at_s = round(rng.uniform(FIRST_FAULT_S, duration_s / 3), 2)
        fault = CrashingPart(f"dead{number}", round(duration_s - at_s, 2))
        plan.append(PlannedFault(at_s, fault))
    return plan


def _plan_restored(seed: int, duration_s: float) -> list[PlannedFault]:
    """Draw up to two returns of the store from a copy.

    They use a generator of their own, for the same reason.
    """
    rng = random.Random(f"restored {seed}")
    plan = []
    for _ in range(rng.randint(0, 2)):
        at_s = round(rng.uniform(FIRST_FAULT_S, duration_s), 2)
        age_s = round(rng.uniform(0.3, MAX_COPY_AGE_S), 2)
        away_s = round(rng.uniform(0.0, 2.0), 2)
        plan.append(PlannedFault(at_s, StoreRestored(age_s, away_s)))
    return plan


def _plan_upgrades(seed: int, duration_s: float) -> list[PlannedFault]:
    """Draw writers that crash and start again with another software version.

    They use a generator of their own, for the same reason.
    """
    rng = random.Random(f"upgrades {seed}")
    plan = []
    for at_s in _fault_times_s(rng, MEAN_UPGRADE_GAP_S, duration_s):
        down_s = round(rng.uniform(*WRITER_DOWN_S), 2)
        listed_after_s = round(rng.uniform(0.0, MAX_LISTED_AFTER_S), 2)
        upgrade = Upgrade(rng.randrange(N_WRITERS), down_s, listed_after_s)
        plan.append(PlannedFault(at_s, upgrade))
    return plan


def _plan_server_kills(seed: int, duration_s: float) -> list[PlannedFault]:
    """Draw processes of writers that are killed and start again.

    They use a generator of their own, for the same reason.
    """
    rng = random.Random(f"server kills {seed}")
    plan = []
    for at_s in _fault_times_s(rng, MEAN_SERVER_KILL_GAP_S, duration_s):
        server, is_upgraded = rng.randrange(N_SERVERS), rng.random() < 0.5
        down_s = round(rng.uniform(*WRITER_DOWN_S), 2)
        listed_after_s = round(rng.uniform(0.0, MAX_LISTED_AFTER_S), 2)
        kill = KillServer(server, down_s, is_upgraded, listed_after_s)
        plan.append(PlannedFault(at_s, kill))
    return plan


def _draw_fault(rng: random.Random) -> Fault:
    gateway = rng.randrange(N_GATEWAYS)
    upstream = rng.randrange(N_ENGINES + N_DESKS)
    for_s = round(rng.uniform(0.3, 3.0), 2)
    link_fault = rng.choice(_LINK_FAULTS)
    match rng.randrange(12):
        case 0:
            return Kill((gateway,), round(rng.uniform(0.0, 1.5), 2))
        case 1:
            down_s = round(rng.uniform(0.0, 1.5), 2)
            return Kill(tuple(range(N_GATEWAYS)), down_s)
        case 2 | 3:
            return Stop(gateway)
        case 4:
            return Pause(gateway, for_s)
        case 5:
            return StoreLink(gateway, link_fault, for_s)
        case 6:
            return StoreFault(rng.choice(_STORE_KINDS), for_s)
        case 7:
            return UpstreamLink(upstream, link_fault, for_s)
        case 8 | 9:
            return UpstreamTrouble(upstream, rng.choice(_UPSTREAM_FAULTS), for_s)
        case 10:
            return Replace(upstream, rng.random() < 0.7)
        case _ if rng.random() < 0.8:
            return Reconfigure(rng.randint(1, 5))
        case _:
            return ForeignRecords()
