"""Queues requests and assigns them to free slots of upstreams."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..clock import Clock
from ..policy.crashing_parts import Verdict
from ..policy.upstream_choice import (
    ShortestStart,
    UpstreamRequirements,
    available_upstreams,
    choose_upstream,
    earliest_available_s,
    has_capacity,
    untried,
)
from ..policy.waiting_order import gives_up_at_s, queue_sort_key
from .jobs import Job
from .upstreams import Upstream, UpstreamTable

# Interval at which waiting requests are reconsidered: speed estimates, rests and the
# loads that peers report change without an event in this process.
RECHECK_INTERVAL_S = 0.05
# A slot that has just been freed is left for this long to a peer that has a more
# urgent request. It is about the latency of one message between regions.
YIELD_TO_PEER_S = 0.06
# Messages of peers that arrive within this time are handled by one pass over the
# waiting requests.
PEER_MESSAGE_BATCH_S = 0.005
# Limits of the queue. They fit into a machine with 200 MB of memory beside the
# program and the open streams; a request of typical size takes 20 KB.
MAX_WAITING = 1_000
MAX_WAITING_BYTES = 48 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Lease:
    """A slot of an upstream, to be released when the attempt has ended.

    Parameters
    ----------
    upstream : Upstream
        Upstream that the slot belongs to.
    n_prompt_tokens : int
        Prompt tokens that count as pending until the first event.
    n_pending_tokens : int
        Prompt tokens that were pending at the upstream before this request.
    permit_until_s : float or None
        Monotonic time until which its permit holds; None without a permit.
    """

    upstream: Upstream
    n_prompt_tokens: int
    n_pending_tokens: int
    permit_until_s: float | None = None

    def may_send(self, now_s: float) -> bool:
        """Return whether the upstream may still be sent the request."""
        if self.upstream.refuses_requests(now_s):
            return False
        if self.upstream.permits is None:
            return True
        return self.permit_until_s is not None and now_s <= self.permit_until_s


@dataclass(frozen=True, slots=True)
class NoSlot:
    """The request has not been assigned to an upstream and is not queued any more.

    Parameters
    ----------
    had_upstream : bool
        Whether any upstream would have taken it, given a free slot.
    available_in_s : float
        Seconds until an upstream may take a request again, if none of them does now.
    is_convicted : bool
        Whether a part of its prompt crashes upstreams.
    is_stopping : bool
        Whether this process stops before the request could end.
    """

    had_upstream: bool
    available_in_s: float = 0.0
    is_convicted: bool = False
    is_stopping: bool = False


@dataclass(frozen=True, slots=True)
class Shortage:
    """Requests of a service that no upstream takes now.

    Parameters
    ----------
    upstreams : list of Upstream
        Upstreams of the service.
    jobs : list of Job
        Requests that wait; may be empty.
    """

    upstreams: list[Upstream]
    jobs: list[Job]

    @property
    def urgency(self) -> int:
        """Rank of the most urgent request; lower numbers are more urgent."""
        return min((job.waiting.urgency for job in self.jobs), default=0)

    def max_wait_s(self, now_s: float) -> float:
        """Return the longest time in seconds that a request can still wait."""
        until_s = max((gives_up_at_s(job.waiting) for job in self.jobs), default=now_s)
        return max(0.0, until_s - now_s)

    def n_waiting_for(self, upstream_id: str, n_most: int) -> int:
        """Return how many requests may be sent to an upstream, up to `n_most`."""
        named = [u for u in self.upstreams if u.listing.upstream_id == upstream_id]
        eligible = (job for job in self.jobs if _eligible(job, named))
        return sum(1 for _ in itertools.islice(eligible, n_most))


@dataclass(slots=True)
class _Waiter:
    job: Job
    granted: asyncio.Future[Lease | NoSlot]


class UpstreamQueue:
    """Assigns waiting requests to free slots of upstreams, in order of urgency.

    Parameters
    ----------
    table : UpstreamTable
        Upstreams of each service.
    clock : Clock
        Source of time.
    random_source : random.Random
        Randomises the choice among upstreams of similar cost.
    """

    def __init__(
        self, table: UpstreamTable, clock: Clock, random_source: random.Random
    ) -> None:
        self._table = table
        self._clock = clock
        self._random = random_source
        self._waiters: dict[str, list[_Waiter]] = {}
        self._peer_urgencies: dict[str, int] = {}
        self._refuses_unsent = False
        self._recheck_timer: asyncio.TimerHandle | None = None
        self._serve_timer: asyncio.TimerHandle | None = None
        self.load_changed: asyncio.Event = asyncio.Event()
        # Called after each assignment for a service some of whose upstreams name a
        # limit.
        self.on_shortage: Callable[[Shortage], None] = _ignore_shortage
        # Decides from its prompt whether a waiting request may be sent.
        self.verdict_on: Callable[[Job], Verdict] = _allow

    @property
    def n_waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(waiters) for waiters in self._waiters.values())

    def has_waiting(self, service: str) -> bool:
        """Return whether requests for a service wait."""
        return any(not w.granted.done() for w in self._waiters.get(service, ()))

    def lowest_waiting_urgencies(self) -> dict[str, int]:
        """Return each service's lowest urgency among requests that are not late."""
        now_s = self._clock.monotonic_s()
        urgencies = {}
        for service, waiters in self._waiters.items():
            in_time = [
                waiter.job.waiting.urgency
                for waiter in waiters
                if waiter.job.waiting.on_time_until_s > now_s
            ]
            if in_time:
                urgencies[service] = min(in_time)
        return urgencies

    def set_peer_urgencies(self, urgencies: dict[str, int]) -> None:
        """Set each service's lowest urgency among requests that wait at peers."""
        self._peer_urgencies = urgencies

    async def acquire(self, job: Job) -> Lease | NoSlot:
        """Wait for a slot of an upstream that the request has not been sent to.

        Parameters
        ----------
        job : Job
            The request.

        Returns
        -------
        Lease or NoSlot
            `NoSlot` if its maximum wait has passed or would pass before an upstream
            is available, or if it is shed.
        """
        if self._refuses_unsent and job.n_sent == 0:
            return NoSlot(had_upstream=True, is_stopping=True)
        if job.doubted_end is not None and not self._has_other(job):
            # The upstream that has ended the stream can be asked what follows, too.
            job.tried.clear()
        loop = asyncio.get_running_loop()
        waiter = _Waiter(job, loop.create_future())
        self._waiters.setdefault(job.service, []).append(waiter)
        self.assign_slots(job.service)
        if not waiter.granted.done():
            self._shed_if_full()
        if waiter.granted.done():
            return waiter.granted.result()
        self.load_changed.set()
        wait_s = gives_up_at_s(job.waiting) - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                return await waiter.granted
        except TimeoutError:
            if waiter.granted.done() and not waiter.granted.cancelled():
                # Granted in the same iteration of the event loop as the timeout.
                return waiter.granted.result()
            return self._no_slot(job)
        finally:
            waiters = self._waiters.get(job.service, [])
            if waiter in waiters:
                waiters.remove(waiter)
            if waiter.granted.done() and not waiter.granted.cancelled():
                self._release_if_cancelled(waiter)

    def refuse_unsent(self) -> None:
        """Refuse all requests that have not been sent, now and from now on."""
        self._refuses_unsent = True
        for waiters in self._waiters.values():
            for waiter in list(waiters):
                if waiter.job.n_sent == 0 and not waiter.granted.done():
                    waiters.remove(waiter)
                    no_slot = NoSlot(had_upstream=True, is_stopping=True)
                    waiter.granted.set_result(no_slot)

    def _shed_if_full(self) -> None:
        """Refuse the least urgent request if the queue is over its limits."""
        waiting = [w for waiters in self._waiters.values() for w in waiters]
        n_bytes = sum(len(waiter.job.request.body) for waiter in waiting)
        if len(waiting) <= MAX_WAITING and n_bytes <= MAX_WAITING_BYTES:
            return
        now_s = self._clock.monotonic_s()
        last = max(waiting, key=lambda w: queue_sort_key(w.job.waiting, now_s, 0.0))
        self._waiters[last.job.service].remove(last)
        last.granted.set_result(NoSlot(had_upstream=True))

    def schedule_assignment(self) -> None:
        """Schedule `assign_all_slots`, once for several messages of peers."""
        if self._serve_timer is None:
            loop = asyncio.get_running_loop()
            self._serve_timer = loop.call_later(
                PEER_MESSAGE_BATCH_S, self._on_serve_timer
            )

    def _on_serve_timer(self) -> None:
        self._serve_timer = None
        self.assign_all_slots()

    def assign_all_slots(self) -> None:
        """Assign free slots to waiting requests of all services."""
        for service in list(self._waiters):
            self.assign_slots(service)

    def assign_slots(self, service: str) -> None:
        """Assign free slots to waiting requests of one service."""
        waiters = self._waiters.get(service)
        if waiters:
            self._assign(service, waiters)
        upstreams = self._table.of_service(service)
        if any(upstream.permits is not None for upstream in upstreams):
            jobs = [w.job for w in waiters or () if not w.granted.done()]
            self.on_shortage(Shortage(upstreams, jobs))

    def _assign(self, service: str, waiters: list[_Waiter]) -> None:
        self._schedule_recheck()
        self._refuse_convicted(waiters)
        upstreams = self._table.of_service(service)
        _refuse_without_software(waiters, upstreams)
        now_s = self._clock.monotonic_s()
        if earliest_available_s(upstreams, now_s) > now_s:
            self._refuse_unservable(service, now_s)
            return
        # Examining every waiting request is expensive, and most events do not free a
        # slot that any of them could use.
        accepting = available_upstreams(upstreams, now_s)
        if not has_capacity(accepting):
            return
        shortest_start_s = ShortestStart(upstreams)
        waiters.sort(
            key=lambda waiter: queue_sort_key(
                waiter.job.waiting,
                now_s,
                shortest_start_s(_requirements_of(waiter.job, now_s)),
            )
        )
        for waiter in list(waiters):
            if waiter.granted.done():
                waiters.remove(waiter)
                continue
            if self.verdict_on(waiter.job) is not Verdict.ALLOWED:
                continue
            upstream = self._choose(waiter.job, accepting, now_s)
            if upstream is not None:
                waiters.remove(waiter)
                waiter.granted.set_result(self._lease_slot(upstream, waiter.job, now_s))
                accepting = available_upstreams(accepting, now_s)
                if not has_capacity(accepting):
                    return

    def _refuse_convicted(self, waiters: list[_Waiter]) -> None:
        """Refuse requests with a part that crashes upstreams."""
        for waiter in list(waiters):
            if self.verdict_on(waiter.job) is Verdict.REFUSED:
                waiters.remove(waiter)
                if not waiter.granted.done():
                    no_slot = NoSlot(had_upstream=True, is_convicted=True)
                    waiter.granted.set_result(no_slot)

    def _refuse_unservable(self, service: str, now_s: float) -> None:
        """Refuse requests whose wait would end before any upstream takes them."""
        upstreams = self._table.of_service(service)
        for waiter in list(self._waiters[service]):
            eligible = _eligible(waiter.job, upstreams)
            from_s = earliest_available_s(eligible, now_s)
            if from_s > gives_up_at_s(waiter.job.waiting):
                self._waiters[service].remove(waiter)
                if not waiter.granted.done():
                    no_slot = NoSlot(had_upstream=True, available_in_s=from_s - now_s)
                    waiter.granted.set_result(no_slot)

    def record_first_event(self, lease: Lease) -> None:
        """Stop counting the prompt tokens of a lease as pending."""
        lease.upstream.n_pending_tokens -= lease.n_prompt_tokens
        self.load_changed.set()

    def release(self, lease: Lease, has_first_event: bool) -> None:
        """Release a slot and assign it to a waiting request."""
        upstream = lease.upstream
        upstream.n_running -= 1
        if not has_first_event:
            upstream.n_pending_tokens -= lease.n_prompt_tokens
        upstream.last_request_end_s = self._clock.monotonic_s()
        self.load_changed.set()
        self.assign_slots(upstream.listing.service)

    def _release_if_cancelled(self, waiter: _Waiter) -> None:
        """Release a slot that was granted just as its request was cancelled."""
        task = asyncio.current_task()
        lease = waiter.granted.result()
        if task is not None and task.cancelling() and isinstance(lease, Lease):
            self.release(lease, has_first_event=False)

    def _schedule_recheck(self) -> None:
        if self._recheck_timer is None:
            loop = asyncio.get_running_loop()
            self._recheck_timer = loop.call_later(RECHECK_INTERVAL_S, self._on_recheck)

    def _on_recheck(self) -> None:
        self._recheck_timer = None
        self.assign_all_slots()

    def _has_other(self, job: Job) -> bool:
        """Return whether an upstream is listed that was not sent the request yet."""
        return bool(_eligible(job, self._table.of_service(job.service)))

    def _no_slot(self, job: Job) -> NoSlot:
        """Return the result for a request that has waited as long as it may."""
        now_s = self._clock.monotonic_s()
        upstreams = self._table.of_service(job.service)
        if _eligible(job, available_upstreams(upstreams, now_s)):
            return NoSlot(had_upstream=True)
        limited = [u for u in upstreams if u.permits is not None and not u.is_leaving]
        if not _eligible(job, limited):
            return NoSlot(had_upstream=False)
        # No permit has come in time.
        from_s = earliest_available_s(_eligible(job, upstreams), now_s)
        return NoSlot(had_upstream=True, available_in_s=max(0.0, from_s - now_s))

    def _choose(
        self, job: Job, accepting: list[Upstream], now_s: float
    ) -> Upstream | None:
        requirements = _requirements_of(job, now_s)
        candidates = _eligible(job, accepting)
        peer_urgency = self._peer_urgencies.get(job.service)
        waiting = job.waiting
        is_late = now_s > waiting.on_time_until_s
        if peer_urgency is not None and (is_late or peer_urgency < waiting.urgency):
            candidates = [
                u for u in candidates if now_s - u.last_request_end_s > YIELD_TO_PEER_S
            ]
        return choose_upstream(candidates, requirements, self._random)

    def _lease_slot(self, upstream: Upstream, job: Job, now_s: float) -> Lease:
        n_prompt_tokens = job.facts.n_prompt_tokens if job.route.is_streaming else 0
        permits = upstream.permits
        permit_until_s = permits.take(now_s) if permits is not None else None
        lease = Lease(
            upstream, n_prompt_tokens, upstream.n_all_pending_tokens, permit_until_s
        )
        upstream.n_running += 1
        upstream.n_pending_tokens += n_prompt_tokens
        upstream.health.observe_sent(now_s)
        self.load_changed.set()
        return lease


def _eligible(job: Job, upstreams: list[Upstream]) -> list[Upstream]:
    """Return the upstreams at which a request may run, whether they are free or not."""
    software = job.software
    return [
        upstream
        for upstream in untried(upstreams, job.tried)
        if (software is None or upstream.listing.software == software)
        and upstream.listing.start not in job.unproven_starts
    ]


def _refuse_without_software(
    waiters: list[_Waiter], upstreams: Iterable[Upstream]
) -> None:
    """Refuse requests whose stream began at software that no upstream runs any more."""
    listed = {u.listing.software for u in upstreams if not u.is_leaving}
    for waiter in list(waiters):
        software = waiter.job.software
        if software is not None and software not in listed:
            waiters.remove(waiter)
            if not waiter.granted.done():
                waiter.granted.set_result(NoSlot(had_upstream=False))


def _allow(job: Job) -> Verdict:
    """Without evidence about prompts, all requests may be sent."""
    return Verdict.ALLOWED


def _ignore_shortage(shortage: Shortage) -> None:
    """Without other gateways there is nobody to ask for permits."""


def _requirements_of(job: Job, now_s: float) -> UpstreamRequirements:
    return UpstreamRequirements(
        n_prompt_tokens=job.facts.n_prompt_tokens,
        is_stream=job.route.is_streaming,
        on_time_left_s=job.waiting.on_time_until_s - now_s,
    )
