"""What gateways tell each other: load, use of quotas, who waits.

Messages are UDP datagrams: a lost one is replaced by the next, and nothing
waits for an answer. A message holds only what has changed since the last one,
a beat holds everything. In a large fleet they go to the gateways of the same
cell only; a rumour now and then tells all others who is there.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import msgspec

from ..addresses import Address, parse_address
from ..clock import Clock
from ..events import Event, log_event
from ..policy.cells import n_cells_for, name_hash
from ..policy.feed_sharing import FeedReport, rank_among

_log = logging.getLogger(__name__)

# Everything is said at least this often.
BEAT_S = 1.0
# Changes within this time go into one message.
COALESCE_S = 0.015
# Load of a peer that is silent for longer is no longer counted.
SILENT_AFTER_S = 2.2
# A peer that is silent for longer is not told anything any more.
FORGET_AFTER_S = 40.0
# A peer counts as alive if anybody has heard it within this time; rumours take
# some seconds to pass through a large fleet.
ALIVE_S = 15.0
# Cells are merged only if the fleet has been smaller for this long: gateways do
# not count each other at the same moment, and restart together at times.
MERGE_AFTER_S = 10.0
# They are merged only if a fleet larger by this would have fewer cells, too, so
# that a fleet at the boundary does not go back and forth as gateways come and go.
MERGE_MARGIN = 1.2
# Peers that one message names at most. With all else it fits into a datagram of
# 1,400 bytes for 30 upstreams.
MAX_NAMED = 40
# Cells that a peer may tell of; the largest fleet has 16.
MAX_CELLS = 64
# A process that is younger takes the division of the fleet from others, as it does
# not know yet how many there are.
NEWCOMER_S = 5.0
# Time between two beats of which the second one greets a newcomer.
MIN_BEAT_S = 0.2
# Peers that are known at most, ten times the largest fleet.
MAX_PEERS = 4_096
# Upstreams that one message names as leaving at most.
MAX_LEAVING = 16
# Peers that get a rumour with each beat of a fleet of several cells.
N_RUMOURS = 2


class LoadReport(msgspec.Struct, array_like=True):
    """Requests of the sender at one upstream.

    Parameters
    ----------
    upstream_id : str
        The upstream.
    n_running : int
        Requests that the sender has there.
    n_pending_tokens : int
        Prompt tokens of those without a first event.
    """

    upstream_id: str
    n_running: int
    n_pending_tokens: int


class PeerMessage(msgspec.Struct, array_like=True, tag="load"):
    """What the gateways of one cell tell each other.

    Parameters
    ----------
    incarnation : str
        Of the sender; new at each start.
    sequence : int
        Grows with each message.
    is_beat : bool
        Whether upstreams that are not named have no request of the sender.
    loads : list of LoadReport
        Upstreams whose load has changed.
    used : dict of str to float
        Quota units admitted since the start, by organisation.
    waiting : dict of str to int
        Smallest urgency that waits, by service.
    peers : list of str
        Hosts of some gateways that the sender has heard, in a beat.
    crashes : dict of str to list of str
        Upstreams that crashed while they ran a request, by its fingerprint.
    uptime_s : float
        Seconds since the start of the sender.
    far_used : dict of str to float
        Quota units that other cells have admitted since the sender was started,
        from the speaker of a cell.
    leaving : list of (str, int)
        Upstreams that have said that they leave, with the Unix time of their
        start in milliseconds.
    feeds : list of FeedReport or None
        What the sender knows of the configuration and of the list of upstreams;
        None for one that it has not read.
    n_cells : int
        Into how many cells the sender divides the fleet.
    """

    incarnation: str
    sequence: int
    is_beat: bool
    loads: list[LoadReport] = []
    used: dict[str, float] = {}
    waiting: dict[str, int] = {}
    peers: list[str] = []
    crashes: dict[str, list[str]] = {}
    uptime_s: float = math.inf
    far_used: dict[str, float] = {}
    leaving: list[tuple[str, int]] = []
    feeds: list[FeedReport | None] = []
    n_cells: int = 1


class Rumour(msgspec.Struct, array_like=True, tag="rumour"):
    """What gateways of different cells tell each other.

    Parameters
    ----------
    incarnation : str
        Of the sender.
    alive : list of (str, float)
        Hosts of some gateways and how many seconds ago somebody heard them.
    is_question : bool
        Whether the receiver shall answer with a rumour of its own.
    cell_used : dict of str to float
        Quota units that the cell of the sender has admitted since the sender was
        started, from the speaker of a cell.
    n_cells : int
        Into how many cells the sender divides the fleet.
    """

    incarnation: str
    alive: list[tuple[str, float]]
    is_question: bool
    cell_used: dict[str, float] = {}
    n_cells: int = 1


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
        self.n_cells = 1
        self._small_since_s: float | None = None

    def __len__(self) -> int:
        """Return the number of peers that are heard."""
        return sum(not peer.is_silent for peer in self._peers.values())

    def all(self) -> list[Peer]:
        """Return all peers that are known."""
        return list(self._peers.values())

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

    def divide(self) -> int:
        """Divide the fleet into cells by its size; return the number of cells."""
        n_gateways = len(self.alive()) + 1
        n_cells = n_cells_for(n_gateways)
        now_s = self._clock.monotonic_s()
        if n_cells < self.n_cells:
            n_cells = min(self.n_cells, n_cells_for(n_gateways * MERGE_MARGIN))
        if n_cells >= self.n_cells:
            self._small_since_s = None
            self.n_cells = n_cells
        elif self._small_since_s is None:
            self._small_since_s = now_s
        elif now_s - self._small_since_s >= MERGE_AFTER_S:
            self._small_since_s = None
            self.n_cells = n_cells
        return self.n_cells

    def cell_sizes(self) -> tuple[int, ...]:
        """Return how many gateways that live each cell has."""
        sizes = [0] * self.n_cells
        for address in (self.own_address, *(peer.address for peer in self.alive())):
            sizes[self._cell_of(address)] += 1
        return tuple(sizes)

    def adopt_cells(self, n_cells: int) -> bool:
        """Take over a division into more cells; return whether it is another."""
        is_power_of_two = n_cells & (n_cells - 1) == 0
        if not (self.n_cells < n_cells <= MAX_CELLS and is_power_of_two):
            return False
        self.n_cells = n_cells
        self._small_since_s = None
        return True

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
        return name_hash(address.host) % self.n_cells

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


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives messages of gateways.

    Parameters
    ----------
    table : PeerTable
        Who is told, and what they say.
    on_message : callable
        Called after a message has been taken in.
    on_rumour : callable
        Called with the sender of a rumour, whose hosts have been taken in.
    """

    def __init__(
        self,
        table: PeerTable,
        on_message: Callable[[Peer, PeerMessage], None],
        on_rumour: Callable[[Address, Rumour], None],
    ) -> None:
        self._table = table
        self._on_message = on_message
        self._on_rumour = on_rumour
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(PeerMessage | Rumour)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        # asyncio's own datagram transport is no subclass of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in one message."""
        address = Address(addr[0], addr[1])
        try:
            self._take_in(address, self._decoder.decode(data))
        except msgspec.MsgspecError as error:
            log_event(_log, Event.PEER_MESSAGE_MALFORMED, address=address, detail=error)
        except Exception as error:
            # One message must not end the process; the next beat replaces it.
            log_event(
                _log,
                Event.PEER_MESSAGE_FAILED,
                exc_info=error,
                address=address,
                detail=repr(error),
            )

    def _take_in(self, address: Address, message: PeerMessage | Rumour) -> None:
        match message:
            case PeerMessage():
                for host in message.peers:
                    self._introduce(host, address.port, age_s=0.0)
                peer = self._table.receive(address, message)
                if peer is not None:
                    self._on_message(peer, message)
            case Rumour():
                self._table.introduce(address, age_s=0.0)
                for host, age_s in message.alive:
                    self._introduce(host, address.port, age_s)
                self._on_rumour(address, message)

    def _introduce(self, host: str, port: int, age_s: float) -> None:
        address = parse_address(f"{host}:{port}")
        if address is None:
            detail = f"{host[:40]!r} is no IP address"
            log_event(_log, Event.PEER_MESSAGE_MALFORMED, address=host, detail=detail)
            return
        self._table.introduce(address, max(0.0, age_s))

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer does not listen; it is known to be silent."""

    def send(self, message: PeerMessage) -> None:
        """Send a message to all peers of the cell, without waiting."""
        self._send(message, [peer.address for peer in self._table.near()])

    def send_rumour(self, rumour: Rumour, address: Address) -> None:
        """Send a rumour to one peer, without waiting."""
        self._send(rumour, [address])

    def _send(self, message: PeerMessage | Rumour, addresses: list[Address]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = self._encoder.encode(message)
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
