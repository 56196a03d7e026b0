"""Membership and last reported state of the other gateways, and their cells."""

import logging
import math
from dataclasses import dataclass, field

from ..addresses import Address
from ..clock import Clock
from ..events import Event, log_event
from ..policy.cells import name_hash
from ..policy.coordinators import SETTLING_S
from ..policy.division import Division
from ..policy.feed_sharing import rank_among
from .peer_messages import LoadReport, PeerMessage

_log = logging.getLogger(__name__)

# The load of a peer that is silent for longer is no longer counted.
SILENT_AFTER_S = 2.2
# A peer from which no gateway has received a message for this long is removed and gets
# no more messages.
FORGET_AFTER_S = 40.0
# A peer is alive if any gateway has received a message from it within this time.
# Gossip takes some seconds to spread through a large fleet.
ALIVE_S = 15.0
# Maximum number of stored peers, ten times the size of the largest fleet.
MAX_PEERS = 4_096


@dataclass(slots=True)
class Peer:
    """Another gateway.

    Parameters
    ----------
    address : Address
        Address on which it listens.
    incarnation : str
        Its last known incarnation, or "" before its first message.
    sequence : int
        Sequence number of its newest message.
    last_message_s : float
        Monotonic time of its newest message, or at which it was added if there was
        no message.
    last_alive_s : float or None
        Monotonic time of the last message that any gateway is known to have
        received from it.
    loads : dict of str to LoadReport
        Its load by upstream.
    waiting : dict of str to int
        Urgency of the most urgent request that waits there, by service; lower
        numbers are more urgent.
    is_silent : bool
        Whether it has sent nothing for so long that its load is not counted.
    changed_upstreams : set of str
        Upstreams at which its newest message may have changed its load.
    steady_since_s : float
        Monotonic time since which it has been fit to coordinate permits, as it
        reports; infinite if it has not reported that.
    configuration_version : int
        Version of the configuration that it has in force; 0 if unknown.
    """

    address: Address
    incarnation: str = ""
    sequence: int = -1
    last_message_s: float = 0.0
    last_alive_s: float | None = None
    loads: dict[str, LoadReport] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    is_silent: bool = True
    changed_upstreams: set[str] = field(default_factory=set)
    steady_since_s: float = math.inf
    configuration_version: int = 0


class PeerTable:
    """The other gateways and the state that they last reported.

    Parameters
    ----------
    own_address : Address
        Address of this process, which is not its own peer.
    clock : Clock
        Source of time.
    """

    def __init__(self, own_address: Address, clock: Clock) -> None:
        self.own_address = own_address
        self._clock = clock
        self._peers: dict[Address, Peer] = {}
        # Loads of all peers by upstream, so that the load of one upstream is found
        # without a search through all peers.
        self._loads: dict[str, dict[Address, LoadReport]] = {}
        self.division = Division(clock.monotonic_s())
        # Peers of the own cell, until a peer or the division changes.
        self._own_cell_peers: list[Peer] | None = None

    def __len__(self) -> int:
        """Return the number of peers that are not silent."""
        return sum(not peer.is_silent for peer in self._peers.values())

    def all(self) -> list[Peer]:
        """Return all peers that are known."""
        return list(self._peers.values())

    @property
    def n_cells(self) -> int:
        """Number of cells into which the fleet is divided."""
        return self.division.n_cells

    @property
    def cell(self) -> int:
        """Index of this gateway's cell."""
        return self._cell_of(self.own_address)

    def is_in_own_cell(self, peer: Peer) -> bool:
        """Tell whether a peer belongs to the own cell."""
        return self._cell_of(peer.address) == self.cell

    def own_cell_peers(self) -> list[Peer]:
        """Return the peers of the own cell."""
        if self._own_cell_peers is None:
            self._own_cell_peers = [
                peer for peer in self._peers.values() if self.is_in_own_cell(peer)
            ]
        return self._own_cell_peers

    def count_own_cell(self, counts_unheard: bool) -> tuple[int, int]:
        """Return how many gateways of the own cell are heard, and how many are known.

        Both numbers include this one.

        Parameters
        ----------
        counts_unheard : bool
            Whether addresses count from which no message has ever come.
        """
        peers = self.own_cell_peers()
        n_heard = sum(not peer.is_silent for peer in peers)
        n_known = sum(counts_unheard or peer.incarnation != "" for peer in peers)
        return n_heard + 1, n_known + 1

    def newest_version(self) -> int:
        """Return the newest configuration version of any peer that is heard, or 0."""
        heard = (peer for peer in self._peers.values() if not peer.is_silent)
        return max((peer.configuration_version for peer in heard), default=0)

    def settled(self) -> list[Address]:
        """Return the peers of the own cell that may coordinate permits."""
        until_s = self._clock.monotonic_s() - SETTLING_S
        return [
            peer.address
            for peer in self.own_cell_peers()
            if not peer.is_silent and peer.steady_since_s <= until_s
        ]

    def alive_in(self, cell: int) -> list[Address]:
        """Return the gateways of a cell from which any gateway has got a message."""
        alive = (peer.address for peer in self.alive())
        return [address for address in alive if self._cell_of(address) == cell]

    def alive(self) -> list[Peer]:
        """Return the peers from which any gateway has recently received a message."""
        since_s = self._clock.monotonic_s() - ALIVE_S
        return [p for p in self._peers.values() if (p.last_alive_s or 0.0) > since_s]

    def divide(self) -> bool:
        """Update the division from the live peers; return whether it changed."""
        hosts = [peer.address.host for peer in self.alive()]
        has_changed = self.division.update(
            [self.own_address.host, *hosts], self._clock.monotonic_s()
        )
        if has_changed:
            self._own_cell_peers = None
        return has_changed

    def receive_division(self, sizes: list[int]) -> bool:
        """Receive the division of a peer; return whether the own one has changed."""
        has_changed = self.division.adopt_reported(sizes, self._clock.monotonic_s())
        if has_changed:
            self._own_cell_peers = None
        return has_changed

    def representatives(self) -> dict[int, Address]:
        """Return, for each cell, the gateway that reports for it to other cells.

        It is the live gateway whose host sorts first, so that no election is needed.
        """
        representatives = {self.cell: self.own_address}
        for peer in self.alive():
            cell = self._cell_of(peer.address)
            representative = representatives.get(cell, peer.address)
            if peer.address.host <= representative.host:
                representatives[cell] = peer.address
        return representatives

    @property
    def rank(self) -> int:
        """Position of this gateway among those of its cell that are not silent."""
        active = [
            peer.address.host for peer in self.own_cell_peers() if not peer.is_silent
        ]
        return rank_among(_rank_key(self.own_address.host), map(_rank_key, active))

    def add_or_refresh(self, address: Address, age_s: float | None = None) -> None:
        """Add the address of a possible peer, or record that the peer is alive.

        Parameters
        ----------
        address : Address
            Address on which it would listen.
        age_s : float or None
            Seconds since any gateway received a message from it; None if unknown.
        """
        if address == self.own_address:
            return
        now_s = self._clock.monotonic_s()
        peer = self._peers.get(address)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:
                return
            peer = self._peers[address] = Peer(address, last_message_s=now_s)
            self._own_cell_peers = None
        if age_s is not None:
            peer.last_alive_s = max(peer.last_alive_s or 0.0, now_s - age_s)

    def _cell_of(self, address: Address) -> int:
        return self.division.cell_of(address.host)

    def receive(self, address: Address, message: PeerMessage) -> Peer | None:
        """Process a message; return the peer, or None if the message is ignored.

        A message is ignored if it is outdated or comes from the own address, or if the
        peer is new and the table is full.

        `Peer.changed_upstreams` names the upstreams at which its load may have
        changed.
        """
        if address == self.own_address:
            return None
        self.add_or_refresh(address)
        peer = self._peers.get(address)
        if peer is None:
            return None
        before: set[str] = set()
        if message.incarnation != peer.incarnation:
            before = self._forget_loads(peer)
            peer.sequence = -1
            peer.incarnation = message.incarnation
            peer.steady_since_s = math.inf
            peer.configuration_version = 0
        if message.sequence <= peer.sequence:
            return None
        peer.sequence = message.sequence
        peer.last_message_s = peer.last_alive_s = self._clock.monotonic_s()
        if peer.is_silent:
            peer.is_silent = False
            log_event(
                _log, Event.GATEWAY_PEER_UP, peer=peer.incarnation, address=address
            )
        if message.steady_s is not None:
            peer.steady_since_s = peer.last_message_s - max(0.0, message.steady_s)
        if message.is_heartbeat:
            before |= self._forget_loads(peer)
        for load in message.loads:
            peer.loads[load.upstream_id] = load
            self._loads.setdefault(load.upstream_id, {})[address] = load
        peer.changed_upstreams = before | {load.upstream_id for load in message.loads}
        peer.waiting = message.waiting
        peer.configuration_version = message.configuration_version
        return peer

    def mark_silent(self) -> bool:
        """Stop counting the load of silent peers; return whether any became silent.

        Also removes peers from which no gateway has received a message for
        `FORGET_AFTER_S`.
        """
        now_s = self._clock.monotonic_s()
        has_changed = False
        for address, peer in list(self._peers.items()):
            silent_s = now_s - peer.last_message_s
            unheard_s = now_s - max(peer.last_message_s, peer.last_alive_s or 0.0)
            if unheard_s > FORGET_AFTER_S:
                self._forget_loads(peer)
                del self._peers[address]
                self._own_cell_peers = None
            elif silent_s > SILENT_AFTER_S and not peer.is_silent:
                peer.is_silent = True
                self._forget_loads(peer)
                peer.waiting = {}
                has_changed = True
                if not self.is_in_own_cell(peer):
                    # Peers that a growing fleet has put into other cells are silent
                    # because they no longer send messages to this process.
                    continue
                log_event(
                    _log,
                    Event.GATEWAY_PEER_SILENT,
                    peer=peer.incarnation,
                    silent_s=round(silent_s, 3),
                )
        return has_changed

    def load_at(self, upstream_id: str) -> tuple[int, int]:
        """Return running requests and pending tokens of all peers at an upstream."""
        loads = self._loads.get(upstream_id, {}).values()
        n_running = sum(load.n_running for load in loads)
        return n_running, sum(load.n_pending_tokens for load in loads)

    def _forget_loads(self, peer: Peer) -> set[str]:
        """Remove the loads of a peer; return the upstreams concerned."""
        upstream_ids = set(peer.loads)
        for upstream_id in upstream_ids:
            of_upstream = self._loads[upstream_id]
            del of_upstream[peer.address]
            if not of_upstream:
                del self._loads[upstream_id]
        peer.loads.clear()
        return upstream_ids

    def lowest_waiting_urgencies(self) -> dict[str, int]:
        """Return each service's lowest urgency among requests that wait at peers."""
        urgencies: dict[str, int] = {}
        for peer in self._peers.values():
            for service, urgency in peer.waiting.items():
                urgencies[service] = min(urgency, urgencies.get(service, urgency))
        return urgencies


def _rank_key(host: str) -> tuple[int, str]:
    """Return the sort key by which gateways are ranked."""
    return name_hash(host), host
