"""Keeps peers informed of the load of this process, and takes in theirs."""

import asyncio
from collections.abc import Iterable

from ..clock import Clock
from ..policy.quotas import QuotaBook
from .crashes import CrashBook
from .peers import (
    BEAT_S,
    COALESCE_S,
    LoadReport,
    Peer,
    PeerLink,
    PeerMessage,
    PeerTable,
)
from .queue import UpstreamQueue
from .state import GatewayState
from .upstreams import Upstream, UpstreamTable


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
    ) -> None:
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
        self._last_beat_s = -BEAT_S
        self.link = PeerLink(peers, self.on_message)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            try:
                async with asyncio.timeout(BEAT_S):
                    await self._queue.load_changed.wait()
            except TimeoutError:
                # Nothing has changed; the beat is due.
                pass
            await self._clock.sleep(COALESCE_S)
            self._queue.load_changed.clear()
            message = self.next_message()
            if message is not None:
                self.link.send(message)
            if self._peers.mark_silent():
                self._refresh(self._upstreams.all())

    def next_message(self) -> PeerMessage | None:
        """Return what is to be sent now, or None if nothing has changed."""
        now_s = self._clock.monotonic_s()
        is_beat = now_s - self._last_beat_s >= BEAT_S
        current = {
            u.listing.upstream_id: (u.n_running, u.n_pending_tokens)
            for u in self._upstreams.all()
        }
        waiting = self._queue.most_urgent_waiting()
        used = self._quotas.used()
        if is_beat:
            self._last_beat_s = now_s
            loads = [LoadReport(k, *load) for k, load in current.items() if load[0]]
            hosts = [p.address.host for p in self._peers.all() if not p.is_silent]
            crashes = self._crashes.for_beat()
        else:
            loads = [
                LoadReport(k, *load)
                for k, load in current.items()
                if load != self._sent.get(k, (0, 0))
            ]
            hosts = []
            crashes = self._crashes.take_untold()
            used = {k: v for k, v in used.items() if v != self._sent_used.get(k)}
            is_same = not loads and not used and not crashes
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
        )

    def on_message(self, peer: Peer, message: PeerMessage) -> None:
        """Take in a message of a peer."""
        now_s = self._clock.monotonic_s()
        self._state.last_peer_message_s = now_s
        self._state.n_gateways = len(self._peers) + 1
        self._quotas.observe_peer(peer.incarnation, message.used, now_s)
        self._crashes.hear(message.crashes)
        if message.is_beat:
            self._refresh(self._upstreams.all())
        else:
            named = (self._upstreams.get(load.upstream_id) for load in message.loads)
            self._refresh(upstream for upstream in named if upstream is not None)
        self._queue.set_peer_urgencies(self._peers.most_urgent_waiting())
        self._queue.serve_all()

    def _refresh(self, upstreams: Iterable[Upstream]) -> None:
        now_s = self._clock.monotonic_s()
        for upstream in upstreams:
            before = upstream.n_peer_running
            n_running, n_tokens = self._peers.load_at(upstream.listing.upstream_id)
            upstream.n_peer_running = n_running
            upstream.n_peer_pending_tokens = n_tokens
            if n_running < before:
                upstream.free_since_s = now_s
