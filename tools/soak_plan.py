"""Which faults a soak injects and when, drawn from its seed."""

import random
from dataclasses import dataclass

from standins.fault_proxy import LinkFault
from standins.platform import UpstreamFault

N_GATEWAYS = 3
N_ENGINES = 3
N_DESKS = 3

# Mean time between the starts of two faults; they overlap.
MEAN_GAP_S = 0.7
# No fault starts in the first seconds, in which callers arrive.
FIRST_S = 1.0


@dataclass(frozen=True, slots=True)
class Kill:
    """Gateways end without warning and start again."""

    gateways: tuple[int, ...]
    down_s: float


@dataclass(frozen=True, slots=True)
class Stop:
    """A gateway gets SIGTERM, ends, and starts again."""

    gateway: int


@dataclass(frozen=True, slots=True)
class Pause:
    """A gateway stands still."""

    gateway: int
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreLink:
    """The way of one gateway to the store is faulty."""

    gateway: int
    fault: LinkFault
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreFault:
    """The store itself is faulty."""

    kind: str
    for_s: float


@dataclass(frozen=True, slots=True)
class UpstreamLink:
    """The way to one upstream is faulty."""

    upstream: int
    fault: LinkFault
    for_s: float


@dataclass(frozen=True, slots=True)
class UpstreamTrouble:
    """An upstream answers wrongly."""

    upstream: int
    fault: UpstreamFault
    for_s: float


@dataclass(frozen=True, slots=True)
class Replace:
    """An upstream leaves, announced or not, and another one takes its place."""

    upstream: int
    is_announced: bool


@dataclass(frozen=True, slots=True)
class Reconfigure:
    """Operators write new versions of the configuration."""

    n_versions: int


@dataclass(frozen=True, slots=True)
class ForeignRecords:
    """Another writer puts what cannot be used into the topics."""


Fault = (
    Kill
    | Stop
    | Pause
    | StoreLink
    | StoreFault
    | UpstreamLink
    | UpstreamTrouble
    | Replace
    | Reconfigure
    | ForeignRecords
)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault and its time from the start of the load."""

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
_UPSTREAM_FAULTS = tuple(
    fault
    for fault in UpstreamFault
    if fault not in (UpstreamFault.NONE, UpstreamFault.CRASHES, *_ENDLESS_FAULTS)
)
# Mean time between two upstreams that send bytes without end.
ENDLESS_GAP_S = 5.0


def plan_soak(seed: int, duration_s: float) -> list[PlannedFault]:
    """Draw the faults of a soak.

    Parameters
    ----------
    seed : int
        Of the plan.
    duration_s : float
        Length of the load with faults.

    Returns
    -------
    list of PlannedFault
        By time.

    Examples
    --------
    >>> plan_soak(1, 10.0) == plan_soak(1, 10.0)
    True
    """
    source = random.Random(seed)
    plan = []
    at_s = FIRST_S + source.expovariate(1.0 / MEAN_GAP_S)
    while at_s < duration_s:
        plan.append(PlannedFault(round(at_s, 2), _draw(source)))
        at_s += source.expovariate(1.0 / MEAN_GAP_S)
    plan += _plan_endless(seed, duration_s)
    return sorted(plan, key=lambda planned: planned.at_s)


def _plan_endless(seed: int, duration_s: float) -> list[PlannedFault]:
    """Draw from a source of their own, so that the other faults stay the same."""
    source = random.Random(f"endless {seed}")
    plan = []
    at_s = FIRST_S + source.expovariate(1.0 / ENDLESS_GAP_S)
    while at_s < duration_s:
        upstream = source.randrange(N_ENGINES + N_DESKS)
        fault = source.choice(_ENDLESS_FAULTS)
        for_s = round(source.uniform(0.3, 3.0), 2)
        trouble = UpstreamTrouble(upstream, fault, for_s)
        plan.append(PlannedFault(round(at_s, 2), trouble))
        at_s += source.expovariate(1.0 / ENDLESS_GAP_S)
    return plan


def _draw(source: random.Random) -> Fault:
    gateway = source.randrange(N_GATEWAYS)
    upstream = source.randrange(N_ENGINES + N_DESKS)
    for_s = round(source.uniform(0.3, 3.0), 2)
    link_fault = source.choice(_LINK_FAULTS)
    match source.randrange(12):
        case 0:
            return Kill((gateway,), round(source.uniform(0.0, 1.5), 2))
        case 1:
            down_s = round(source.uniform(0.0, 1.5), 2)
            return Kill(tuple(range(N_GATEWAYS)), down_s)
        case 2 | 3:
            return Stop(gateway)
        case 4:
            return Pause(gateway, for_s)
        case 5:
            return StoreLink(gateway, link_fault, for_s)
        case 6:
            return StoreFault(source.choice(_STORE_KINDS), for_s)
        case 7:
            return UpstreamLink(upstream, link_fault, for_s)
        case 8 | 9:
            return UpstreamTrouble(upstream, source.choice(_UPSTREAM_FAULTS), for_s)
        case 10:
            return Replace(upstream, source.random() < 0.7)
        case _ if source.random() < 0.8:
            return Reconfigure(source.randint(1, 5))
        case _:
            return ForeignRecords()
