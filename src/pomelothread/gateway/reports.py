"""Keeps peers informed of the load of this process, and takes in theirs."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import TypeVar

from ..addresses import Address
from ..clock import Clock
from ..events import Event, log_event
from ..policy.departures import UpstreamStart
from ..policy.feed_sharing import FeedReport, FeedWatch
from ..policy.quotas import QuotaBook
from .crashes import CrashBook
from .peer_link import PeerLink
from .peer_messages import MAX_LEAVING, MAX_NAMED, LoadReport, PeerMessage, Rumour
from .peers import Peer, PeerTable
from .queue import UpstreamQueue
from .state import GatewayState
from .upstreams import Upstream, UpstreamTable

_log = logging.getLogger(__name__)
_T = TypeVar("_T")

# Everything is said at least this often.
BEAT_S = 1.0
# Changes within this time go into one message.
COALESCE_S = 0.015
# Time between two beats, of which the second one is for a process that is new.
MIN_BEAT_S = 0.2
# Peers that get a rumour with each beat of a fleet of several cells.
N_RUMOURS = 2
# Organisations that the speaker of a cell tells of. They fit into a datagram;
# what others use is too far from their quotas to matter.
MAX_ORGANISATIONS = 40


class Reporter:
    """Sends changes soon after they happen, and everything in each beat.

    Parameters
    ----------
    incarnation : str
        Of this process.
    upstreams : UpstreamTable
        Whose load is reported.
    queue : UpstreamQueue
        Tells what waits, and learns of free slots.
    quotas : QuotaBook
        Tells what was admitted.
    crashes : CrashBook
        Tells of requests that crash upstreams, and learns of them.
    peers : PeerTable
        Other gateways.
    state : GatewayState
        Learns how many gateways there are.
    clock : Clock
        Source of time.
    random_source : random.Random
        Chooses who gets a rumour, and whom it names.
    """

    def __init__(
        self,
        incarnation: str,
        upstreams: UpstreamTable,
        queue: UpstreamQueue,
        quotas: QuotaBook,
        crashes: CrashBook,
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
        self._sent: dict[str, tuple[int, int]] = {}
        self._sent_used: dict[str, float] = {}
        self._sent_waiting: dict[str, int] = {}
        self._started_s = clock.monotonic_s()
        self._last_beat_s = -BEAT_S
        self._beat_due_s = 0.0
        self._feeds: tuple[tuple[FeedWatch, Callable[[], None]], ...] = ()
        self.link = PeerLink(peers, self.on_message, self.on_rumour)

    def share_feeds(self, *feeds: tuple[FeedWatch, Callable[[], None]]) -> None:
        """Tell peers what is known of feeds, and learn from them.

        Parameters
        ----------
        *feeds : tuple of (FeedWatch, callable)
            In the same order at all gateways; the callable reads the feed at once.
        """
        self._feeds = feeds

    async def run(self) -> None:
        """Report until cancelled."""
        # Peers count what this process admits from its first message on.
        self.report()
        while True:
            left_s = self._beat_due_s - self._clock.monotonic_s()
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    await self._queue.load_changed.wait()
            except TimeoutError:
                # Nothing has changed; the beat is due.
                pass
            await self._clock.sleep(COALESCE_S)
            self._queue.load_changed.clear()
            self.report()

    def report(self) -> None:
        """Tell peers what they do not know yet, and notice who says nothing."""
        message = self.next_message()
        if message is not None:
            self.link.send(message)
            if message.is_beat:
                self._divide()
                self._spread_rumours()
        if self._peers.mark_silent():
            self._refresh(self._upstreams.all())

    def next_message(self) -> PeerMessage | None:
        """Return what is to be sent now, or None if nothing has changed."""
        now_s = self._clock.monotonic_s()
        is_beat = now_s >= self._beat_due_s
        current = {
            u.listing.upstream_id: (u.n_running, u.n_pending_tokens)
            for u in self._upstreams.all()
            if u.n_running
        }
        waiting = self._queue.most_urgent_waiting()
        used = self._quotas.used()
        if is_beat:
            self._last_beat_s, self._beat_due_s = now_s, now_s + BEAT_S
            loads = [LoadReport(k, *load) for k, load in current.items()]
            hosts = self._hosts_to_name()
            far_used = self._far_used()
            crashes = self._crashes.for_beat()
            leaving = self._upstreams.newest_departures(MAX_LEAVING)
        else:
            loads = [
                LoadReport(k, *current.get(k, (0, 0)))
                for k in current.keys() | self._sent.keys()
                if current.get(k) != self._sent.get(k)
            ]
            hosts = []
            far_used = {}
            crashes = self._crashes.take_untold()
            leaving = self._upstreams.untold_departures(MAX_LEAVING)
            used = {k: v for k, v in used.items() if v != self._sent_used.get(k)}
            is_same = not (loads or used or crashes or leaving or self._has_news())
            if is_same and waiting == self._sent_waiting:
                return None
        self._sent = current
        self._sent_used.update(used)
        self._sent_waiting = waiting
        self._sequence += 1
        return PeerMessage(
            self._incarnation,
            self._sequence,
            is_beat,
            loads,
            used,
            waiting,
            hosts,
            crashes,
            round(now_s - self._started_s, 2),
            far_used,
            [(start.upstream_id, start.started_ms) for start in leaving],
            self._feed_reports(is_beat, now_s),
            list(self._peers.division.sizes) if is_beat else [],
        )

    def _has_news(self) -> bool:
        return any(watch.has_news for watch, _ in self._feeds)

    def _feed_reports(self, is_beat: bool, now_s: float) -> list[FeedReport | None]:
        if not (is_beat or self._has_news()):
            return []
        rank = self._peers.rank
        for watch, _ in self._feeds:
            watch.rank = rank
            watch.has_news = False
        return [watch.report(now_s) for watch, _ in self._feeds]

    def _hear_feeds(self, message: PeerMessage, now_s: float) -> None:
        for (watch, wake), report in zip(self._feeds, message.feeds, strict=False):
            if report is not None and watch.hear(report, now_s):
                wake()

    def on_message(self, peer: Peer, message: PeerMessage) -> None:
        """Take in a message of a peer."""
        now_s = self._clock.monotonic_s()
        self._state.last_peer_message_s = now_s
        self._state.n_gateways = len(self._peers) + 1
        if self._peers.n_cells > 1:
            self._state.n_gateways = len(self._peers.alive()) + 1
        if self._peers.is_near(peer):
            self._quotas.observe_peer(
                peer.incarnation, message.used, now_s, message.uptime_s
            )
        if message.far_used:
            speaker = f"others by {peer.incarnation}"
            self._quotas.observe_cells(speaker, message.far_used, now_s)
        if message.is_beat and not self._peers.is_near(peer):
            # It does not know the size of the fleet yet.
            self.link.send_rumour(self._rumour(is_question=False), peer.address)
        self._crashes.hear(message.crashes)
        self._hear_division(message.cell_sizes)
        if message.is_beat and message.uptime_s < BEAT_S:
            # A process that has just started knows no load yet.
            self._beat_soon()
        self._hear_departures(peer, message)
        self._hear_feeds(message, now_s)
        named = (self._upstreams.get(upstream_id) for upstream_id in peer.changed)
        self._refresh(upstream for upstream in named if upstream is not None)
        self._queue.set_peer_urgencies(self._peers.most_urgent_waiting())
        self._queue.serve_soon()

    def _hear_division(self, sizes: list[int]) -> None:
        before = self._peers.n_cells
        if self._peers.hear_division(sizes):
            self._apply_division(before)
            # The peers of the cell are to hear of this process.
            self._beat_soon()

    def _beat_soon(self) -> None:
        now_s = self._clock.monotonic_s()
        soon_s = max(now_s, self._last_beat_s + MIN_BEAT_S)
        self._beat_due_s = min(self._beat_due_s, soon_s)
        self._queue.load_changed.set()

    def _hear_departures(self, peer: Peer, message: PeerMessage) -> None:
        starts = (UpstreamStart(*start) for start in message.leaving)
        for start in self._upstreams.hear_departures(starts):
            log_event(
                _log,
                Event.UPSTREAM_TOLD_TO_LEAVE,
                upstream=start.upstream_id,
                peer=peer.incarnation,
            )

    def on_rumour(self, sender: Address, rumour: Rumour) -> None:
        """Take in what a peer of another cell tells."""
        if rumour.cell_used:
            now_s = self._clock.monotonic_s()
            speaker = f"cell of {rumour.incarnation}"
            self._quotas.observe_cells(speaker, rumour.cell_used, now_s)
        self._hear_division(rumour.cell_sizes)
        if rumour.is_question:
            self.link.send_rumour(self._rumour(is_question=False), sender)

    def _divide(self) -> None:
        before = self._peers.n_cells
        if self._peers.divide():
            self._apply_division(before)

    def _apply_division(self, n_cells_before: int) -> None:
        n_cells = self._peers.n_cells
        self._upstreams.set_cell(self._peers.cell, self._peers.division.sizes)
        if n_cells == n_cells_before:
            return
        self._quotas.set_cells(n_cells)
        for peer in self._peers.all():
            if not self._peers.is_near(peer):
                # What it admits is told by the speaker of its cell from now on.
                self._quotas.forget_peer(peer.incarnation)
        log_event(
            _log,
            Event.FLEET_DIVIDED,
            n_cells=n_cells,
            cell=self._peers.cell,
            n_gateways=sum(self._peers.division.sizes),
        )

    def _spread_rumours(self) -> None:
        """Tell some peers who is there, and speak for the cell to other cells."""
        if self._peers.n_cells == 1:
            return
        peers = self._peers.alive()
        for peer in self._random.sample(peers, min(N_RUMOURS, len(peers))):
            self.link.send_rumour(self._rumour(is_question=True), peer.address)
        speakers = self._peers.speakers()
        if not self._speaks(speakers):
            return
        cell_used = self._quotas.cell_used(MAX_ORGANISATIONS)
        sizes = list(self._peers.division.sizes)
        rumour = Rumour(self._incarnation, [], False, cell_used, sizes)
        for cell, address in speakers.items():
            if cell != self._peers.cell:
                self.link.send_rumour(rumour, address)

    def _speaks(self, speakers: dict[int, Address]) -> bool:
        return speakers[self._peers.cell] == self._peers.own_address

    def _far_used(self) -> dict[str, float]:
        if self._peers.n_cells == 1 or not self._speaks(self._peers.speakers()):
            return {}
        return self._quotas.far_used(MAX_ORGANISATIONS)

    def _hosts_to_name(self) -> list[str]:
        if self._peers.n_cells > 1:
            # Rumours tell who is there, at less cost.
            return []
        heard = [p.address.host for p in self._peers.all() if not p.is_silent]
        return self._some(heard)

    def _rumour(self, is_question: bool) -> Rumour:
        now_s = self._clock.monotonic_s()
        alive = [
            (peer.address.host, round(now_s - (peer.alive_s or 0.0), 1))
            for peer in self._peers.alive()
        ]
        return Rumour(
            self._incarnation,
            self._some(alive),
            is_question,
            cell_sizes=list(self._peers.division.sizes),
        )

    def _some(self, items: list[_T]) -> list[_T]:
        if len(items) <= MAX_NAMED:
            return items
        return self._random.sample(items, MAX_NAMED)

    def _refresh(self, upstreams: Iterable[Upstream]) -> None:
        now_s = self._clock.monotonic_s()
        for upstream in upstreams:
            before = upstream.n_peer_running
            n_running, n_tokens = self._peers.load_at(upstream.listing.upstream_id)
            upstream.n_peer_running = n_running
            upstream.n_peer_pending_tokens = n_tokens
            if n_running < before:
                upstream.free_since_s = now_s
