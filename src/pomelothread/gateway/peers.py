"""The other gateways: who is there, what they last said, and in which cell they are."""

import logging
from dataclasses import dataclass, field

from ..addresses import Address
from ..clock import Clock
from ..events import Event, log_event
from ..policy.cells import name_hash
from ..policy.division import Division
from ..policy.feed_sharing import rank_among
from .peer_messages import LoadReport, PeerMessage

_log = logging.getLogger(__name__)

# Load of a peer that is silent for longer is no longer counted.
SILENT_AFTER_S = 2.2
# A peer that is silent for longer is not told anything any more.
FORGET_AFTER_S = 40.0
# A peer counts as alive if anybody has heard it within this time; rumours take
# some seconds to pass through a large fleet.
ALIVE_S = 15.0
# Peers that are known at most, ten times the largest fleet.
MAX_PEERS = 4_096


@dataclass(slots=True)
class Peer:
    """Another gateway.

    Parameters
    ----------
    address : Address
        Where it listens.
    incarnation : str
        Its last known incarnation, or "" before its first message.
    sequence : int
        Of its newest message.
    heard_s : float
        Monotonic time of its newest message.
    alive_s : float or None
        Monotonic time at which anybody is known to have heard it.
    loads : dict of str to LoadReport
        Its load by upstream.
    waiting : dict of str to int
        Smallest urgency that waits there, by service.
    is_silent : bool
        Whether its load is no longer counted.
    changed : set of str
        Upstreams that its newest message was about.
    """

    address: Address
    incarnation: str = ""
    sequence: int = -1
    heard_s: float = 0.0
    alive_s: float | None = None
    loads: dict[str, LoadReport] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    is_silent: bool = True
    changed: set[str] = field(default_factory=set)


class PeerTable:
    """Other gateways and what they last said.

    Parameters
    ----------
    own_address : Address
        Of this process, which is no peer.
    clock : Clock
        Source of time.
    """

    def __init__(self, own_address: Address, clock: Clock) -> None:
        self.own_address = own_address
        self._clock = clock
        self._peers: dict[Address, Peer] = {}
        # Loads of all peers by upstream, so that one upstream is looked up
        # without asking every peer.
        self._loads: dict[str, dict[Address, LoadReport]] = {}
        self.division = Division(clock.monotonic_s())

    def __len__(self) -> int:
        """Return the number of peers that are heard."""
        return sum(not peer.is_silent for peer in self._peers.values())

    def all(self) -> list[Peer]:
        """Return all peers that are known."""
        return list(self._peers.values())

    @property
    def n_cells(self) -> int:
        """Into how many cells the fleet is divided."""
        return self.division.n_cells

    @property
    def cell(self) -> int:
        """Number of the own cell."""
        return self._cell_of(self.own_address)

    def is_near(self, peer: Peer) -> bool:
        """Tell whether a peer belongs to the own cell."""
        return self._cell_of(peer.address) == self.cell

    def near(self) -> list[Peer]:
        """Return the peers of the own cell."""
        return [peer for peer in self._peers.values() if self.is_near(peer)]

    def alive(self) -> list[Peer]:
        """Return the peers that anybody has heard of late."""
        since_s = self._clock.monotonic_s() - ALIVE_S
        return [p for p in self._peers.values() if (p.alive_s or 0.0) > since_s]

    def divide(self) -> bool:
        """Divide the fleet by who lives; return whether the division has changed."""
        hosts = [peer.address.host for peer in self.alive()]
        return self.division.count(
            [self.own_address.host, *hosts], self._clock.monotonic_s()
        )

    def hear_division(self, sizes: list[int]) -> bool:
        """Take in the division of a peer; return whether the own one has changed."""
        return self.division.hear(sizes, self._clock.monotonic_s())

    def speakers(self) -> dict[int, Address]:
        """Return, for each cell, the gateway that speaks for it to other cells."""
        speakers = {self.cell: self.own_address}
        for peer in self.alive():
            cell = self._cell_of(peer.address)
            speaker = speakers.get(cell, peer.address)
            if peer.address.host <= speaker.host:
                speakers[cell] = peer.address
        return speakers

    @property
    def rank(self) -> int:
        """How many gateways of the cell that are heard stand before this one."""
        heard = [peer.address.host for peer in self.near() if not peer.is_silent]
        return rank_among(_order(self.own_address.host), map(_order, heard))

    def introduce(self, address: Address, age_s: float | None = None) -> None:
        """Add a peer that may exist.

        Parameters
        ----------
        address : Address
            Where it would listen.
        age_s : float or None
            How long ago somebody heard it, or None if nobody is known to have.
        """
        if address == self.own_address:
            return
        now_s = self._clock.monotonic_s()
        peer = self._peers.get(address)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:
                return
            peer = self._peers[address] = Peer(address, heard_s=now_s)
        if age_s is not None:
            peer.alive_s = max(peer.alive_s or 0.0, now_s - age_s)

    def _cell_of(self, address: Address) -> int:
        return self.division.cell_of(address.host)

    def receive(self, address: Address, message: PeerMessage) -> Peer | None:
        """Take in a message; return the peer, or None for an old message.

        `Peer.changed` names the upstreams at which its load may have changed.
        """
        if address == self.own_address:
            return None
        self.introduce(address)
        peer = self._peers.get(address)
        if peer is None:
            return None
        before: set[str] = set()
        if message.incarnation != peer.incarnation:
            before = self._forget_loads(peer)
            peer.sequence = -1
            peer.incarnation = message.incarnation
        if message.sequence <= peer.sequence:
            return None
        peer.sequence = message.sequence
        peer.heard_s = peer.alive_s = self._clock.monotonic_s()
        if peer.is_silent:
            peer.is_silent = False
            log_event(
                _log, Event.GATEWAY_PEER_UP, peer=peer.incarnation, address=address
            )
        if message.is_beat:
            before |= self._forget_loads(peer)
        for load in message.loads:
            peer.loads[load.upstream_id] = load
            self._loads.setdefault(load.upstream_id, {})[address] = load
        peer.changed = before | {load.upstream_id for load in message.loads}
        peer.waiting = message.waiting
        return peer

    def mark_silent(self) -> bool:
        """Stop counting peers that say nothing; return whether there are any."""
        now_s = self._clock.monotonic_s()
        has_changed = False
        for address, peer in list(self._peers.items()):
            silent_s = now_s - peer.heard_s
            unheard_s = now_s - max(peer.heard_s, peer.alive_s or 0.0)
            if unheard_s > FORGET_AFTER_S:
                self._forget_loads(peer)
                del self._peers[address]
            elif silent_s > SILENT_AFTER_S and not peer.is_silent:
                peer.is_silent = True
                self._forget_loads(peer)
                peer.waiting = {}
                has_changed = True
                if not self.is_near(peer):
                    # Peers of other cells stop talking to us when a fleet grows.
                    continue
                log_event(
                    _log,
                    Event.GATEWAY_PEER_SILENT,
                    peer=peer.incarnation,
                    silent_s=round(silent_s, 3),
                )
        return has_changed

    def load_at(self, upstream_id: str) -> tuple[int, int]:
        """Return requests and pending tokens of all peers at an upstream."""
        loads = self._loads.get(upstream_id, {}).values()
        n_running = sum(load.n_running for load in loads)
        return n_running, sum(load.n_pending_tokens for load in loads)

    def _forget_loads(self, peer: Peer) -> set[str]:
        """Remove the loads of a peer and return their upstreams."""
        upstream_ids = set(peer.loads)
        for upstream_id in upstream_ids:
            of_upstream = self._loads[upstream_id]
            del of_upstream[peer.address]
            if not of_upstream:
                del self._loads[upstream_id]
        peer.loads.clear()
        return upstream_ids

    def most_urgent_waiting(self) -> dict[str, int]:
        """Return, for each service, the smallest urgency that waits at a peer."""
        urgencies: dict[str, int] = {}
        for peer in self._peers.values():
            for service, rank in peer.waiting.items():
                urgencies[service] = min(rank, urgencies.get(service, rank))
        return urgencies


def _order(host: str) -> tuple[int, str]:
    """Return where a gateway stands among others."""
    return name_hash(host), host
