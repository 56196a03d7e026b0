"""Reports the load of this process to its peers, and processes their reports."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import astuple
from typing import TypeVar

from ..addresses import Address
from ..clock import Clock
from ..events import Event, log_event
from ..policy.departures import UpstreamStart
from ..policy.feed_sharing import FeedReport, FeedWatch
from ..policy.quotas import QuotaTracker
from ..policy.rate_limits import LimitReport
from .coordinator_choice import CoordinatorChoice
from .crashes import CrashReporter
from .limit_log import log_limit_change
from .part_crashes import PartCrashReporter
from .peer_link import PeerLink
from .peer_messages import (
    MAX_LEAVING,
    MAX_LIMITS,
    MAX_NAMED_PEERS,
    MAX_REFUNDS,
    GossipMessage,
    LoadReport,
    PartCrashReport,
    PeerMessage,
    SoundPart,
)
from .peers import Peer, PeerTable
from .permits import PermitExchange
from .queue import UpstreamQueue
from .state import GatewayState
from .store_epoch import StoreEpoch
from .stream_versions import StreamVersionExchange
from .upstreams import Upstream, UpstreamTable

_log = logging.getLogger(__name__)
_T = TypeVar("_T")

# Maximum interval between heartbeats, which report the full state.
HEARTBEAT_S = 1.0
# Changes within this time are sent in one message.
COALESCE_S = 0.015
# Minimum interval between a heartbeat and an early one, which is sent after a peer has
# started or has reported a larger fleet.
MIN_HEARTBEAT_GAP_S = 0.2
# Peers that are sent gossip with each heartbeat if there are several cells.
GOSSIP_FANOUT = 2
# Maximum number of organisations whose usage the representative of a cell reports. They
# fit into a datagram, and the usage of all others is too far below their quotas to
# matter.
MAX_REPORTED_ORGANISATIONS = 40


class Reporter:
    """Sends changes shortly after they occur, and the full state in each heartbeat.

    Parameters
    ----------
    incarnation : str
        Identifies this run of the process.
    upstreams : UpstreamTable
        The upstreams whose load is reported.
    queue : UpstreamQueue
        Queue of waiting requests; served again after a peer's report.
    quotas : QuotaTracker
        Counts the units that this process and its peers have admitted.
    crashes : CrashReporter
        Records of requests that crash upstreams, exchanged with peers.
    peers : PeerTable
        The other gateways.
    state : GatewayState
        Receives the number of gateways.
    clock : Clock
        Source of time.
    random_source : random.Random
        Chooses the receivers of gossip and the peers that it names.
    """

    def __init__(
        self,
        incarnation: str,
        upstreams: UpstreamTable,
        queue: UpstreamQueue,
        quotas: QuotaTracker,
        crashes: CrashReporter,
        peers: PeerTable,
        state: GatewayState,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._random = random_source
        self._incarnation = incarnation
        self._upstreams = upstreams
        self._queue = queue
        self._quotas = quotas
        self._crashes = crashes
        self._peers = peers
        self._state = state
        self._clock = clock
        self._sequence = 0
        self._sent_loads: dict[str, tuple[int, int]] = {}
        self._sent_used: dict[str, float] = {}
        self._sent_waiting: dict[str, int] = {}
        self._started_s = clock.monotonic_s()
        self._last_heartbeat_s = -HEARTBEAT_S
        self._heartbeat_due_s = 0.0
        self._feeds: tuple[tuple[FeedWatch, Callable[[], None]], ...] = ()
        self._coordinators: CoordinatorChoice | None = None
        self._part_crashes: PartCrashReporter | None = None
        self._streams: StreamVersionExchange | None = None
        self._store_epoch = StoreEpoch()
        self._sent_epoch: int | None = None
        self.link = PeerLink(peers, self.on_message, self.on_gossip)

    def share_feeds(self, *feeds: tuple[FeedWatch, Callable[[], None]]) -> None:
        """Exchange the state of feeds with peers.

        Parameters
        ----------
        *feeds : tuple of (FeedWatch, callable)
            In the same order at all gateways; the callable reads the feed at once.
        """
        self._feeds = feeds

    def share_streams(self, streams: StreamVersionExchange) -> None:
        """Exchange with peers at which software streams began."""
        self._streams = streams
        streams.send = self.link.send_stream
        self.link.on_streams = streams.on_message

    def share_store_epoch(self, store_epoch: StoreEpoch) -> None:
        """Tell peers at once that the store has returned from an older copy."""
        self._store_epoch = store_epoch
        store_epoch.on_rise(self._queue.load_changed.set)

    def share_permits(
        self, permits: PermitExchange, coordinators: CoordinatorChoice
    ) -> None:
        """Exchange permits of upstreams that name a limit with peers.

        Parameters
        ----------
        permits : PermitExchange
            Sends and receives the messages about permits.
        coordinators : CoordinatorChoice
            Tells peers for how long this gateway has been fit to coordinate.
        """
        self._coordinators = coordinators
        permits.send = self.link.send_permits
        self.link.on_permits = permits.on_message

    def share_part_crashes(self, part_crashes: PartCrashReporter) -> None:
        """Exchange evidence about parts of prompts with peers.

        Parameters
        ----------
        part_crashes : PartCrashReporter
            Evidence of this gateway.
        """
        self._part_crashes = part_crashes
        part_crashes.on_news = self._queue.load_changed.set

    async def run(self) -> None:
        """Report until cancelled."""
        # The first message is sent at once: peers count no quota usage of this process
        # until they receive it.
        self.report()
        while True:
            left_s = self._heartbeat_due_s - self._clock.monotonic_s()
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    await self._queue.load_changed.wait()
            except TimeoutError:
                # Nothing has changed; the heartbeat is due.
                pass
            await self._clock.sleep(COALESCE_S)
            self._queue.load_changed.clear()
            self.report()

    def report(self) -> None:
        """Send what has changed to peers, and check for silent peers."""
        message = self.next_message()
        if message is not None:
            self.link.send(message)
            if message.is_heartbeat:
                self._divide()
                self._gossip()
        if self._peers.mark_silent():
            self._update_peer_loads(self._upstreams.all())
            self._state.versions.observe_peers(self._peers.newest_version())
        if self._part_crashes is not None:
            self._part_crashes.log_changes()
        if self._streams is not None:
            self._streams.tell_peers()

    def next_message(self) -> PeerMessage | None:
        """Return the message to send now, or None if nothing has changed.

        The changes that it reports count as sent and are not returned again by the
        next call.
        """
        now_s = self._clock.monotonic_s()
        is_heartbeat = now_s >= self._heartbeat_due_s
        current = {
            u.listing.upstream_id: (u.n_running, u.n_pending_tokens)
            for u in self._upstreams.all()
            if u.n_running
        }
        waiting = self._queue.lowest_waiting_urgencies()
        used = self._quotas.used()
        if is_heartbeat:
            self._last_heartbeat_s, self._heartbeat_due_s = now_s, now_s + HEARTBEAT_S
            loads = [LoadReport(k, *load) for k, load in current.items()]
            hosts = self._peer_hosts()
            other_cells_used = self._other_cells_used()
            crashes = self._crashes.newest_for_heartbeat()
            leaving = self._upstreams.listed_departures(MAX_LEAVING)
            limits = self._some_limits(now_s)
        else:
            loads = [
                LoadReport(k, *current.get(k, (0, 0)))
                for k in current.keys() | self._sent_loads.keys()
                if current.get(k) != self._sent_loads.get(k)
            ]
            hosts = []
            other_cells_used = {}
            crashes = self._crashes.take_unreported()
            leaving = self._upstreams.take_unreported_departures(MAX_LEAVING)
            limits = self._upstreams.rate_limits.take_unreported(MAX_LIMITS, now_s)
            used = {k: v for k, v in used.items() if v != self._sent_used.get(k)}
            has_news = self._has_news() or self._has_part_news()
            has_news = has_news or self._store_epoch.current != self._sent_epoch
            has_news = has_news or self._crashes.has_unreported
            has_news = has_news or self._quotas.has_untold_refunds
            has_notices = bool(crashes or leaving or limits or has_news)
            is_same = not (loads or used or has_notices)
            if is_same and waiting == self._sent_waiting:
                return None
        self._sent_loads = current
        self._sent_used.update(used)
        self._quotas.mark_reported(now_s)
        self._sent_waiting = waiting
        self._sent_epoch = self._store_epoch.current
        self._sequence += 1
        part_crashes, sound_parts = self._part_news(is_heartbeat)
        return PeerMessage(
            self._incarnation,
            self._sequence,
            is_heartbeat,
            loads,
            used,
            waiting,
            hosts,
            crashes,
            round(now_s - self._started_s, 2),
            other_cells_used,
            [(start.upstream_id, start.started_ms) for start in leaving],
            self._feed_reports(is_heartbeat, now_s),
            list(self._peers.division.sizes) if is_heartbeat else [],
            [
                (*astuple(limit.start), limit.rate_per_s, round(limit.age_s, 3))
                for limit in limits
            ],
            self._steady_s() if is_heartbeat else None,
            part_crashes,
            sound_parts,
            self._sent_epoch or 0,
            self._state.versions.version or 0,
            self._crashes.take_unreported_refuted(),
            self._quotas.take_untold_refunds(MAX_REFUNDS, now_s),
        )

    def _has_part_news(self) -> bool:
        return self._part_crashes is not None and self._part_crashes.has_unreported

    def _part_news(
        self, is_heartbeat: bool
    ) -> tuple[list[PartCrashReport], list[SoundPart]]:
        """Return the news about prompt parts; a heartbeat repeats some evidence."""
        if self._part_crashes is None:
            return [], []
        crashes, sound = self._part_crashes.take_unreported()
        if is_heartbeat and not crashes:
            crashes = self._part_crashes.some_evidence(len(self._peers))
        return crashes, sound

    def _some_limits(self, now_s: float) -> list[LimitReport]:
        """Return the limits that a heartbeat names, so that new gateways learn them.

        If there are many, each heartbeat names others.
        """
        tracker = self._upstreams.rate_limits
        limits = tracker.take_unreported(MAX_LIMITS, now_s)
        if len(limits) == MAX_LIMITS:
            return limits
        starts = [upstream.listing.start for upstream in self._upstreams.limited()]
        n_more = min(len(starts), MAX_LIMITS - len(limits))
        return limits + tracker.reports(self._random.sample(starts, n_more), now_s)

    def _steady_s(self) -> float | None:
        return self._coordinators.steady_s() if self._coordinators else None

    def _has_news(self) -> bool:
        return any(watch.has_unsent_report for watch, _ in self._feeds)

    def _feed_reports(
        self, is_heartbeat: bool, now_s: float
    ) -> list[FeedReport | None]:
        if not (is_heartbeat or self._has_news()):
            return []
        rank = self._peers.rank
        for watch, _ in self._feeds:
            watch.rank = rank
            watch.has_unsent_report = False
        return [watch.report(now_s) for watch, _ in self._feeds]

    def _receive_feed_reports(self, message: PeerMessage, now_s: float) -> None:
        for (watch, wake), report in zip(self._feeds, message.feeds, strict=False):
            if report is not None and watch.observe_report(report, now_s):
                wake()

    def on_message(self, peer: Peer, message: PeerMessage) -> None:
        """Process a message of a peer."""
        now_s = self._clock.monotonic_s()
        self._state.last_peer_message_s = now_s
        if message.store_epoch:
            source = f"gateway {peer.incarnation}"
            self._store_epoch.observe(message.store_epoch, source)
        self._state.versions.observe_peers(self._peers.newest_version())
        self._state.n_gateways = len(self._peers) + 1
        if self._peers.n_cells > 1:
            self._state.n_gateways = len(self._peers.alive()) + 1
        if self._peers.is_in_own_cell(peer):
            self._quotas.observe_peer(
                peer.incarnation, message.used, now_s, message.uptime_s
            )
            self._quotas.observe_refunds(peer.incarnation, message.refunds, now_s)
        if message.other_cells_used:
            # Totals of the other cells, as known to the representative of a cell.
            source = f"others by {peer.incarnation}"
            self._quotas.observe_cells(source, message.other_cells_used, now_s)
        if message.is_heartbeat and not self._peers.is_in_own_cell(peer):
            # A peer that sends heartbeats to another cell does not know the size of
            # the fleet yet. The gossip tells it the division and names live gateways.
            self.link.send_gossip(self._make_gossip(wants_reply=False), peer.address)
        self._crashes.merge_reported(message.crashes, message.refuted_crashes)
        self._receive_part_news(message.part_crashes, message.sound_parts)
        self._receive_division(message.cell_sizes)
        if message.is_heartbeat and message.uptime_s < HEARTBEAT_S:
            # A process that has just started does not know the load of others yet.
            self.report_soon()
        self._receive_departures(peer, message)
        self._receive_limits(peer, message, now_s)
        self._receive_feed_reports(message, now_s)
        changed = (self._upstreams.get(name) for name in peer.changed_upstreams)
        self._update_peer_loads(
            upstream for upstream in changed if upstream is not None
        )
        self._queue.set_peer_urgencies(self._peers.lowest_waiting_urgencies())
        self._queue.schedule_assignment()

    def _receive_division(self, sizes: list[int]) -> None:
        before = self._peers.n_cells
        if self._peers.receive_division(sizes):
            self._apply_division(before)
            # Introduces this process to the peers of its new cell.
            self.report_soon()

    def report_soon(self) -> None:
        """Send the next heartbeat as soon as possible."""
        now_s = self._clock.monotonic_s()
        soon_s = max(now_s, self._last_heartbeat_s + MIN_HEARTBEAT_GAP_S)
        self._heartbeat_due_s = min(self._heartbeat_due_s, soon_s)
        self._queue.load_changed.set()

    def _receive_departures(self, peer: Peer, message: PeerMessage) -> None:
        starts = (UpstreamStart(*start) for start in message.leaving)
        for start in self._upstreams.merge_departures(starts):
            log_event(
                _log,
                Event.UPSTREAM_TOLD_TO_LEAVE,
                upstream=start.upstream_id,
                peer=peer.incarnation,
            )

    def _receive_limits(self, peer: Peer, message: PeerMessage, now_s: float) -> None:
        for upstream_id, started_ms, rate_per_s, age_s in message.limits:
            start = UpstreamStart(upstream_id, started_ms)
            report = LimitReport(start, rate_per_s, age_s)
            change = self._upstreams.merge_rate_limit(report, now_s)
            if change is not None:
                log_limit_change(change, f"gateway {peer.incarnation}")

    def _receive_part_news(
        self, crashes: list[PartCrashReport], sound: list[SoundPart]
    ) -> None:
        if self._part_crashes is not None:
            self._part_crashes.receive(crashes, sound)

    def on_gossip(self, sender: Address, gossip: GossipMessage) -> None:
        """Process gossip of a peer."""
        self._receive_part_news(gossip.part_crashes, [])
        if gossip.cell_used:
            now_s = self._clock.monotonic_s()
            # Total of the cell that the sender represents.
            source = f"cell of {gossip.incarnation}"
            self._quotas.observe_cells(source, gossip.cell_used, now_s)
        self._receive_division(gossip.cell_sizes)
        if gossip.wants_reply:
            self.link.send_gossip(self._make_gossip(wants_reply=False), sender)

    def _divide(self) -> None:
        before = self._peers.n_cells
        if self._peers.divide():
            self._apply_division(before)

    def _apply_division(self, n_cells_before: int) -> None:
        n_cells = self._peers.n_cells
        self._upstreams.set_cell(self._peers.cell, self._peers.division.sizes)
        if n_cells == n_cells_before:
            return
        if self._coordinators is not None:
            self._coordinators.interrupt()
        self._quotas.set_cells(n_cells)
        for peer in self._peers.all():
            if not self._peers.is_in_own_cell(peer):
                # Its usage now arrives in the total of its cell and must not be
                # counted twice.
                self._quotas.forget_peer(peer.incarnation)
        log_event(
            _log,
            Event.FLEET_DIVIDED,
            n_cells=n_cells,
            cell=self._peers.cell,
            n_gateways=sum(self._peers.division.sizes),
        )

    def _gossip(self) -> None:
        """Send gossip to some peers.

        The representative of a cell also reports the cell's use of quotas to the
        representatives of the other cells.
        """
        if self._peers.n_cells == 1:
            return
        peers = self._peers.alive()
        for peer in self._random.sample(peers, min(GOSSIP_FANOUT, len(peers))):
            self.link.send_gossip(self._make_gossip(wants_reply=True), peer.address)
        representatives = self._peers.representatives()
        if not self._is_representative(representatives):
            return
        cell_used = self._quotas.cell_used(MAX_REPORTED_ORGANISATIONS)
        sizes = list(self._peers.division.sizes)
        gossip = GossipMessage(self._incarnation, [], False, cell_used, sizes)
        for cell, address in representatives.items():
            if cell != self._peers.cell:
                self.link.send_gossip(gossip, address)

    def _is_representative(self, representatives: dict[int, Address]) -> bool:
        return representatives[self._peers.cell] == self._peers.own_address

    def _other_cells_used(self) -> dict[str, float]:
        if self._peers.n_cells == 1 or not self._is_representative(
            self._peers.representatives()
        ):
            return {}
        return self._quotas.other_cells_used(MAX_REPORTED_ORGANISATIONS)

    def _peer_hosts(self) -> list[str]:
        if self._peers.n_cells > 1:
            # Gossip tells which gateways there are, with fewer bytes.
            return []
        active = [p.address.host for p in self._peers.all() if not p.is_silent]
        return self._sample(active)

    def _make_gossip(self, wants_reply: bool) -> GossipMessage:
        now_s = self._clock.monotonic_s()
        alive = [
            (peer.address.host, round(now_s - (peer.last_alive_s or 0.0), 1))
            for peer in self._peers.alive()
        ]
        return GossipMessage(
            self._incarnation,
            self._sample(alive),
            wants_reply,
            cell_sizes=list(self._peers.division.sizes),
            part_crashes=self._part_crashes.some_evidence(len(self._peers))
            if self._part_crashes
            else [],
        )

    def _sample(self, items: list[_T]) -> list[_T]:
        if len(items) <= MAX_NAMED_PEERS:
            return items
        return self._random.sample(items, MAX_NAMED_PEERS)

    def _update_peer_loads(self, upstreams: Iterable[Upstream]) -> None:
        now_s = self._clock.monotonic_s()
        for upstream in upstreams:
            before = upstream.n_peer_running
            n_running, n_tokens = self._peers.load_at(upstream.listing.upstream_id)
            upstream.n_peer_running = n_running
            upstream.n_peer_pending_tokens = n_tokens
            if n_running < before:
                upstream.last_request_end_s = now_s
