"""One attempt: a request sent to one upstream, and its response relayed."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeVar

from ..clock import Clock
from ..events import Event, log_event
from ..http1.client import ConnectionPool, EndOfBody, Exchange, ExchangeFault
from ..http1.messages import Headers, ResponseHead, end_to_end, header
from ..http1.server import Responder
from ..policy.repeats import (
    AttemptEnd,
    Broken,
    Declined,
    Delivered,
    FailedResponse,
    Unsent,
    Withheld,
)
from ..policy.upstream_speed import predict_first_event_s
from .dialect import Dialect, ResponseFacts
from .events_of_stream import EventSplitter
from .jobs import Job
from .queue import Lease, UpstreamQueue
from .upstreams import UpstreamTable

_log = logging.getLogger(__name__)

# A whole response up to this size is read before its head is passed on, so
# that a broken one can still be repeated or answered with a failure.
MAX_HELD_BYTES = 512 * 1024
# How much longer than predicted a repeatable request may take to its first
# byte before another upstream gets it.
SILENCE_FACTOR = 4.0
MIN_SILENCE_S = 0.8
# The same, this many times as long, if the upstream has sent something else in
# the meantime: it works, and sending the request again would only add load.
BUSY_FACTOR = 3.0
# Longest pause in a stream that another upstream may continue. Callers leave
# after two seconds.
MAX_STREAM_SILENCE_S = 1.2
# Idle time after which a connection is not used for a request that must not be
# sent twice: the upstream may just be closing it.
MAX_IDLE_UNREPEATABLE_S = 1.0
MAX_IDLE_S = 30.0


T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class HeldFailure:
    """A failure of the upstream that the caller has not got yet.

    Parameters
    ----------
    status : int
        Status of the upstream.
    headers : tuple of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body.
    """

    status: int
    headers: Headers
    body: bytes


class Attempt:
    """Sends one request to one upstream.

    Parameters
    ----------
    job : Job
        The request.
    lease : Lease
        Slot of the upstream.
    responder : Responder
        Where the response goes.
    dialect : Dialect
        Translates headers.
    pool : ConnectionPool
        Connections to upstreams.
    queue : UpstreamQueue
        Learns when the prompt has been read.
    upstreams : UpstreamTable
        Learns which upstreams leave.
    clock : Clock
        Source of time.
    claim_repeat : callable
        Takes a repeat out of the fleet's budget; False if the request has to stay
        where it is.
    """

    __slots__ = (
        "_claim_repeat",
        "_clock",
        "_dialect",
        "_job",
        "_lease",
        "_pool",
        "_queue",
        "_responder",
        "_sent_s",
        "_upstreams",
        "first_event_s",
        "has_first_event",
        "held_failure",
        "status",
        "was_sent",
    )

    def __init__(
        self,
        job: Job,
        lease: Lease,
        responder: Responder,
        dialect: Dialect,
        pool: ConnectionPool,
        queue: UpstreamQueue,
        upstreams: UpstreamTable,
        clock: Clock,
        claim_repeat: Callable[[], bool],
    ) -> None:
        self._claim_repeat = claim_repeat
        self._job = job
        self._lease = lease
        self._responder = responder
        self._dialect = dialect
        self._pool = pool
        self._queue = queue
        self._upstreams = upstreams
        self._clock = clock
        self._sent_s = 0.0
        self.has_first_event = False
        self.first_event_s: float | None = None
        self.held_failure: HeldFailure | None = None
        self.status = 0
        self.was_sent = False

    async def run(self) -> AttemptEnd:
        """Send the request and relay the response; returns how it ended."""
        job, listing = self._job, self._lease.upstream.listing
        may_repeat = job.route.may_repeat
        connection = await self._pool.acquire(
            listing.address, MAX_IDLE_S if may_repeat else MAX_IDLE_UNREPEATABLE_S
        )
        if isinstance(connection, ExchangeFault):
            return Unsent()
        self._sent_s = self._clock.monotonic_s()
        if self._lease.upstream.has_withdrawn(self._sent_s):
            # It left, or asked for rest, while the connection was made.
            self._pool.release(listing.address, connection)
            return Withheld()
        request = self._dialect.forwarded_request(
            job.request,
            left_s=job.left_s(self._sent_s),
            upstream_id=listing.upstream_id,
            organisation=job.organisation.name if job.organisation else None,
            last_event_id=job.last_event_id,
        )
        exchange = Exchange(
            connection,
            request,
            lambda headers: self._dialect.is_response_to(job.facts.request_id, headers),
        )
        self.was_sent = True
        job.n_sent += 1
        job.tried.add(listing.upstream_id)
        job.may_have_run = True
        try:
            exchange.send()
            return await self._read(exchange)
        finally:
            exchange.finish(self._pool, listing.address)

    async def _read(self, exchange: Exchange) -> AttemptEnd:
        job = self._job
        head = await self._unless_silent(exchange.read_head, self._silence_limit_s())
        if head is None:
            return Broken("silent before the response", has_repeat=True)
        if isinstance(head, ExchangeFault):
            return _broken_by(head)
        self.status = head.status
        self._lease.upstream.heard_s = self._clock.monotonic_s()
        facts = self._dialect.read_response(head)
        if exchange.is_on_reused_connection and not facts.names_request:
            # It may be a second copy of the response to an earlier request.
            return Broken("a response that names no request")
        self._note_wishes(facts)
        if facts.was_not_run:
            return Declined()
        if not 200 <= head.status < 300:
            return await self._hold_failure(exchange, head)
        if not facts.is_genuine:
            return Broken("not the upstream's own body")
        if job.route.is_streaming:
            return await self._relay_events(exchange, head)
        return await self._relay_body(exchange, head)

    def _note_wishes(self, facts: ResponseFacts) -> None:
        """Record that the upstream leaves, or asks for no further requests."""
        listing = self._lease.upstream.listing
        if facts.is_leaving and facts.is_other_upstream:
            self._upstreams.note_departure_at(listing.address, listing.upstream_id)
        elif facts.is_leaving and self._upstreams.note_departure(listing.start):
            self._queue.load_changed.set()
            log_event(
                _log,
                Event.UPSTREAM_SAID_TO_LEAVE,
                upstream=listing.upstream_id,
                request_id=self._job.request_id,
            )
        if facts.rest_s and not facts.is_other_upstream:
            now_s = self._clock.monotonic_s()
            self._lease.upstream.health.grant_rest(now_s, facts.rest_s)
            log_event(
                _log,
                Event.UPSTREAM_ASKED_FOR_REST,
                upstream=listing.upstream_id,
                request_id=self._job.request_id,
                rest_s=round(facts.rest_s, 3),
            )

    async def _hold_failure(self, exchange: Exchange, head: ResponseHead) -> AttemptEnd:
        body = await self._read_held(exchange)
        if not isinstance(body, bytes):
            return _broken_by(body)
        if self._job.first_head is not None:
            return Broken(f"status {head.status} for the rest of a stream")
        if not exchange.is_complete:
            return Broken(f"status {head.status} with a body that is too large")
        headers = tuple(end_to_end(head.headers))
        self.held_failure = HeldFailure(head.status, headers, body)
        return FailedResponse()

    async def _relay_body(self, exchange: Exchange, head: ResponseHead) -> AttemptEnd:
        body = await self._read_held(exchange)
        if isinstance(body, ExchangeFault):
            return _broken_by(body)
        headers = tuple(end_to_end(head.headers))
        if exchange.is_complete:
            self._responder.respond(head.status, headers, body)
            return Delivered()
        self._responder.start(head.status, headers)
        while True:
            await self._responder.send(body)
            part = await exchange.read_body()
            match part:
                case bytes():
                    body = part
                case EndOfBody():
                    self._responder.finish()
                    return Delivered()
                case ExchangeFault():
                    return _broken_by(part)

    async def _relay_events(self, exchange: Exchange, head: ResponseHead) -> AttemptEnd:
        job, speed = self._job, self._lease.upstream.speed
        splitter = EventSplitter()
        last_event_s = self._sent_s
        limit_s = self._silence_limit_s()
        read_events = partial(_read_events, exchange, splitter)
        while True:
            events = await self._unless_silent(read_events, limit_s)
            match events:
                case None:
                    return Broken("silent in the stream", has_repeat=True)
                case ExchangeFault():
                    return _broken_by(events)
                case EndOfBody():
                    return self._finish_stream(splitter, head)
            if splitter.is_too_long:
                return Broken("no stream of events")
            now_s = self._clock.monotonic_s()
            self._lease.upstream.heard_s = now_s
            if self.has_first_event:
                speed.observe_gap(now_s - last_event_s)
            else:
                self._note_first_event(now_s)
                limit_s = MAX_STREAM_SILENCE_S if job.route.may_repeat else None
            last_event_s = now_s
            job.note_event(now_s)
            self._start_stream(head)
            if splitter.last_id is not None:
                job.last_event_id = splitter.last_id
            await self._responder.send(events)

    def _start_stream(self, head: ResponseHead) -> None:
        if self._job.first_head is None:
            self._job.first_head = head
            headers = tuple(end_to_end(head.headers))
            self._responder.start(head.status, headers)

    def _finish_stream(self, splitter: EventSplitter, head: ResponseHead) -> AttemptEnd:
        if splitter.is_within_event and not _is_framed(head):
            # Without framing, a close in the middle of an event is no end.
            return Broken("ended within an event")
        self._start_stream(head)
        self._responder.finish(splitter.rest)
        return Delivered()

    def _note_first_event(self, now_s: float) -> None:
        self.has_first_event = True
        self.first_event_s = now_s - self._sent_s
        lease = self._lease
        n_tokens = lease.n_prompt_tokens + lease.n_pending_tokens
        lease.upstream.speed.observe_first(self.first_event_s, n_tokens)
        self._queue.note_first_event(lease)

    async def _unless_silent(
        self, read: Callable[[], Coroutine[Any, Any, T]], limit_s: float | None
    ) -> T | None:
        """Read, or return None if another upstream is to get the request.

        An upstream that is silent for `limit_s` keeps the request nevertheless if
        it is busy with others, or if there is no repeat left.
        """
        if limit_s is None:
            return await read()
        started_s = self._clock.monotonic_s()
        result = await _within(read(), limit_s)
        if result is None and self._lease.upstream.heard_s > started_s:
            result = await _within(read(), (BUSY_FACTOR - 1.0) * limit_s)
        if result is None and not self._claim_repeat():
            return await read()
        return result

    def _silence_limit_s(self) -> float | None:
        """Return after how long without a byte another upstream is asked."""
        job, lease = self._job, self._lease
        if not job.route.may_repeat or job.n_sent >= job.route.max_attempts:
            return None
        speed = lease.upstream.speed
        if not job.route.is_streaming:
            return max(MIN_SILENCE_S, SILENCE_FACTOR * speed.response_s)
        predicted_s = predict_first_event_s(
            speed, lease.n_prompt_tokens, lease.n_pending_tokens
        )
        return max(MIN_SILENCE_S, SILENCE_FACTOR * predicted_s)

    async def _read_held(self, exchange: Exchange) -> bytes | ExchangeFault:
        """Read the body, or its beginning if it is larger than is held."""
        body = bytearray()
        while len(body) <= MAX_HELD_BYTES:
            part = await exchange.read_body()
            match part:
                case bytes():
                    body += part
                case EndOfBody():
                    break
                case ExchangeFault():
                    return part
        return bytes(body)


async def _read_events(
    exchange: Exchange, splitter: EventSplitter
) -> bytes | EndOfBody | ExchangeFault:
    """Wait for whole events, or for what ends the stream.

    Bytes of an event that is not whole are no sign that a stream goes on.
    """
    while True:
        part = await exchange.read_body()
        if not isinstance(part, bytes):
            return part
        events = splitter.feed(part)
        if events or splitter.is_too_long:
            return events


def _broken_by(fault: ExchangeFault) -> Broken:
    return Broken(fault.value, was_cut=fault is ExchangeFault.CUT)


async def _within(reading: Coroutine[Any, Any, T], limit_s: float | None) -> T | None:
    """Return what is read, or None if it takes longer than the limit."""
    if limit_s is None:
        return await reading
    try:
        async with asyncio.timeout(limit_s):
            return await reading
    except TimeoutError:
        return None


def _is_framed(head: ResponseHead) -> bool:
    """Tell whether the end of the body is marked."""
    return (
        header(head.headers, b"content-length") is not None
        or header(head.headers, b"transfer-encoding") is not None
    )
