"""Requests that wait for an upstream, and the slots that they get."""

import asyncio
import random
from dataclasses import dataclass

from ..clock import Clock
from ..policy.upstream_choice import (
    ShortestStart,
    Wanted,
    choose_upstream,
    has_free_slot,
    may_take_from_s,
    may_take_now,
    untried,
)
from ..policy.waiting_order import gives_up_at_s, place_in_queue
from .jobs import Job
from .upstreams import Upstream, UpstreamTable

# A waiting request is looked at again after this long, since estimates, rests
# and the loads of peers change without an event of our own.
RECHECK_S = 0.05
# A slot that has just become free is left to a peer with a more urgent request
# for this long: about one message between regions.
YIELD_S = 0.06
# Messages of peers within this time lead to one look at the waiting requests.
GATHER_S = 0.005
# What waits at most. Machines of 200 MB hold this beside the program and open
# streams; a request of usual size takes 20 KB.
MAX_WAITING = 1_000
MAX_WAITING_BYTES = 48 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Lease:
    """A slot of an upstream, to be returned when the attempt has ended.

    Parameters
    ----------
    upstream : Upstream
        Where the request is to be sent.
    n_prompt_tokens : int
        Tokens that count as pending until the first event.
    n_pending_tokens : int
        Tokens that were pending before it.
    """

    upstream: Upstream
    n_prompt_tokens: int
    n_pending_tokens: int


@dataclass(frozen=True, slots=True)
class NoSlot:
    """No upstream took the request while it could wait.

    Parameters
    ----------
    had_upstream : bool
        Whether there was any upstream that could have taken it.
    rests_for_s : float
        Seconds until an upstream may take a request again, if all of them rest.
    """

    had_upstream: bool
    rests_for_s: float = 0.0


@dataclass(slots=True)
class _Ticket:
    job: Job
    granted: asyncio.Future[Lease | NoSlot]


class UpstreamQueue:
    """Binds waiting requests to free slots.

    Parameters
    ----------
    table : UpstreamTable
        The upstreams.
    clock : Clock
        Source of time.
    random_source : random.Random
        Breaks ties.
    """

    def __init__(
        self, table: UpstreamTable, clock: Clock, random_source: random.Random
    ) -> None:
        self._table = table
        self._clock = clock
        self._random = random_source
        self._tickets: dict[str, list[_Ticket]] = {}
        self._peer_urgencies: dict[str, int] = {}
        self._recheck: asyncio.TimerHandle | None = None
        self._serve_soon: asyncio.TimerHandle | None = None
        self.load_changed: asyncio.Event = asyncio.Event()

    @property
    def n_waiting(self) -> int:
        """Requests that wait."""
        return sum(len(tickets) for tickets in self._tickets.values())

    def most_urgent_waiting(self) -> dict[str, int]:
        """Return, for each service, the smallest urgency that waits in time."""
        now_s = self._clock.monotonic_s()
        urgencies = {}
        for service, tickets in self._tickets.items():
            in_time = [
                ticket.job.waiting.urgency
                for ticket in tickets
                if ticket.job.waiting.aim_at_s > now_s
            ]
            if in_time:
                urgencies[service] = min(in_time)
        return urgencies

    def set_peer_urgencies(self, urgencies: dict[str, int]) -> None:
        """Take in, for each service, the smallest urgency that waits at a peer."""
        self._peer_urgencies = urgencies

    async def acquire(self, job: Job) -> Lease | NoSlot:
        """Wait for a slot of an upstream that has not had this request.

        Parameters
        ----------
        job : Job
            The request.

        Returns
        -------
        Lease or NoSlot
            `NoSlot` as soon as waiting longer does not help the caller.
        """
        loop = asyncio.get_running_loop()
        ticket = _Ticket(job, loop.create_future())
        self._tickets.setdefault(job.service, []).append(ticket)
        self.serve(job.service)
        if not ticket.granted.done():
            self._make_room()
        if ticket.granted.done():
            return ticket.granted.result()
        self.load_changed.set()
        wait_s = gives_up_at_s(job.waiting) - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                return await ticket.granted
        except TimeoutError:
            if ticket.granted.done() and not ticket.granted.cancelled():
                # Granted in the same turn of the loop in which the wait ended.
                return ticket.granted.result()
            candidates = self._usable(job)
            return NoSlot(had_upstream=bool(candidates))
        finally:
            tickets = self._tickets.get(job.service, [])
            if ticket in tickets:
                tickets.remove(ticket)
            if ticket.granted.done() and not ticket.granted.cancelled():
                self._return_if_unused(ticket)

    def _make_room(self) -> None:
        """Give up the least urgent request if more wait than memory allows."""
        waiting = [t for tickets in self._tickets.values() for t in tickets]
        n_bytes = sum(len(ticket.job.request.body) for ticket in waiting)
        if len(waiting) <= MAX_WAITING and n_bytes <= MAX_WAITING_BYTES:
            return
        now_s = self._clock.monotonic_s()
        last = max(waiting, key=lambda t: place_in_queue(t.job.waiting, now_s, 0.0))
        self._tickets[last.job.service].remove(last)
        last.granted.set_result(NoSlot(had_upstream=True))

    def serve_soon(self) -> None:
        """Give free slots to waiting requests once for several messages of peers."""
        if self._serve_soon is None:
            loop = asyncio.get_running_loop()
            self._serve_soon = loop.call_later(GATHER_S, self._on_serve_soon)

    def _on_serve_soon(self) -> None:
        self._serve_soon = None
        self.serve_all()

    def serve_all(self) -> None:
        """Give free slots to waiting requests of all services."""
        for service in list(self._tickets):
            self.serve(service)

    def serve(self, service: str) -> None:
        """Give free slots to the waiting requests of one service."""
        tickets = self._tickets.get(service)
        if not tickets:
            return
        self._recheck_later()
        upstreams = self._table.of_service(service)
        now_s = self._clock.monotonic_s()
        if may_take_from_s(upstreams, frozenset()) > now_s:
            self._give_up_before_rests_end(service, now_s)
            return
        # With many waiting, a look at each of them is dear, and most events free
        # nothing that any could take.
        open_now = may_take_now(upstreams, now_s)
        if not has_free_slot(open_now):
            return
        shortest_start_s = ShortestStart(upstreams)
        tickets.sort(
            key=lambda ticket: place_in_queue(
                ticket.job.waiting,
                now_s,
                shortest_start_s(_wanted_by(ticket.job, now_s)),
            )
        )
        for ticket in list(tickets):
            if ticket.granted.done():
                tickets.remove(ticket)
                continue
            upstream = self._choose(ticket.job, open_now, now_s)
            if upstream is not None:
                tickets.remove(ticket)
                ticket.granted.set_result(self._take(upstream, ticket.job, now_s))
                open_now = may_take_now(open_now, now_s)
                if not has_free_slot(open_now):
                    return

    def _give_up_before_rests_end(self, service: str, now_s: float) -> None:
        """Refuse at once what cannot wait until an upstream ends its rest."""
        upstreams = self._table.of_service(service)
        for ticket in list(self._tickets[service]):
            from_s = may_take_from_s(upstreams, frozenset(ticket.job.tried))
            if from_s > gives_up_at_s(ticket.job.waiting):
                self._tickets[service].remove(ticket)
                if not ticket.granted.done():
                    no_slot = NoSlot(had_upstream=True, rests_for_s=from_s - now_s)
                    ticket.granted.set_result(no_slot)

    def note_first_event(self, lease: Lease) -> None:
        """Count the prompt of a lease as read."""
        lease.upstream.n_pending_tokens -= lease.n_prompt_tokens
        self.load_changed.set()

    def release(self, lease: Lease, has_first_event: bool) -> None:
        """Return a slot."""
        upstream = lease.upstream
        upstream.n_running -= 1
        if not has_first_event:
            upstream.n_pending_tokens -= lease.n_prompt_tokens
        upstream.free_since_s = self._clock.monotonic_s()
        self.load_changed.set()
        self.serve(upstream.listing.service)

    def _return_if_unused(self, ticket: _Ticket) -> None:
        """Return a slot that was granted just as its request was cancelled."""
        task = asyncio.current_task()
        lease = ticket.granted.result()
        if task is not None and task.cancelling() and isinstance(lease, Lease):
            self.release(lease, has_first_event=False)

    def _recheck_later(self) -> None:
        if self._recheck is None:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(RECHECK_S, self._on_recheck)

    def _on_recheck(self) -> None:
        self._recheck = None
        self.serve_all()

    def _usable(self, job: Job) -> list[Upstream]:
        now_s = self._clock.monotonic_s()
        open_now = may_take_now(self._table.of_service(job.service), now_s)
        return untried(open_now, job.tried)

    def _choose(
        self, job: Job, open_now: list[Upstream], now_s: float
    ) -> Upstream | None:
        wanted = _wanted_by(job, now_s)
        candidates = untried(open_now, job.tried)
        peer_urgency = self._peer_urgencies.get(job.service)
        waiting = job.waiting
        is_late = now_s > waiting.aim_at_s
        if peer_urgency is not None and (is_late or peer_urgency < waiting.urgency):
            candidates = [u for u in candidates if now_s - u.free_since_s > YIELD_S]
        return choose_upstream(candidates, wanted, self._random)

    def _take(self, upstream: Upstream, job: Job, now_s: float) -> Lease:
        n_prompt_tokens = job.facts.n_prompt_tokens if job.route.is_streaming else 0
        lease = Lease(upstream, n_prompt_tokens, upstream.n_all_pending_tokens)
        upstream.n_running += 1
        upstream.n_pending_tokens += n_prompt_tokens
        upstream.health.observe_sent(now_s)
        self.load_changed.set()
        return lease


def _wanted_by(job: Job, now_s: float) -> Wanted:
    return Wanted(
        n_prompt_tokens=job.facts.n_prompt_tokens,
        is_stream=job.route.is_streaming,
        aim_left_s=job.waiting.aim_at_s - now_s,
    )
