"""One attempt: sends a request to one upstream and relays the response."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeVar

from ..clock import Clock
from ..events import Event, log_event
from ..http1.client import (
    ConnectionPool,
    EndOfBody,
    Exchange,
    ExchangeFault,
)
from ..http1.messages import Headers, ResponseHead, end_to_end, header
from ..http1.server import Responder
from ..policy.crashing_parts import MIN_RESPONDING_S
from ..policy.departures import UpstreamStart
from ..policy.early_ends import Doubt
from ..policy.rate_limits import NoRateLimit, read_rate_statement
from ..policy.repeats import (
    AttemptEnd,
    Broken,
    Declined,
    Delivered,
    Doubted,
    FailedResponse,
    Unsent,
    Withheld,
)
from ..policy.response_ends import EndProof, NoProof
from ..policy.stream_versions import Software
from ..policy.upstream_speed import predict_first_event_s
from .buffer_budget import BufferBudget
from .dialect import Dialect, ResponseFacts
from .events_of_stream import EventSplitter, first_event_id
from .jobs import DoubtedEnd, Job
from .limit_log import log_limit_change
from .queue import Lease, UpstreamQueue
from .response_ends import ResponseEnds, WatchedResponse
from .stream_log import StreamLog
from .upstream_process import UpstreamProcess
from .upstreams import UpstreamTable

_log = logging.getLogger(__name__)

# Responses up to this size are buffered before the head is sent to the caller, so
# that a truncated one can still be retried or answered with an error.
MAX_BUFFERED_BYTES = 512 * 1024
# A repeatable request is retried on another upstream if its first byte takes this
# many times as long as predicted, but not before the minimum.
FIRST_BYTE_TIMEOUT_FACTOR = 4.0
MIN_FIRST_BYTE_TIMEOUT_S = 0.8
# Both this timeout and that of a stream are multiplied by this factor if the upstream
# has responded to other requests in the meantime: it is alive, and a retry would only
# add load.
BUSY_TIMEOUT_FACTOR = 3.0
# Maximum pause between events before a resumable stream is continued on another
# upstream. Callers disconnect after two seconds.
STREAM_IDLE_TIMEOUT_S = 1.2
_GOES_BACK = "an event of the stream repeats or precedes another"
STATUSES_WITHOUT_BODY = (204, 304)


T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class BufferedFailure:
    """A buffered error response that has not been sent to the caller.

    Parameters
    ----------
    status : int
        Status code.
    headers : tuple of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body.
    """

    status: int
    headers: Headers
    body: bytes


class Attempt:
    """Sends one request to one upstream and relays its response.

    Parameters
    ----------
    job : Job
        The request.
    lease : Lease
        Leased slot of the upstream.
    responder : Responder
        Writes the response to the caller.
    dialect : Dialect
        Translates headers between callers and upstreams.
    pool : ConnectionPool
        Connections to upstreams.
    queue : UpstreamQueue
        Notified of the first event, when the prompt has been processed.
    upstreams : UpstreamTable
        Notified of upstreams that announce that they are leaving.
    clock : Clock
        Source of time.
    try_spend_retry : callable
        Takes a retry from the retry budget; False if the request has to stay on
        this upstream.
    observe_sound : callable
        Called with the monotonic time at which the response began, once the upstream
        has shown that it does not crash for that reason.
    record_began : callable
        Called with the id of a stream and its origin: the software at which it begins
        or goes on, else the start of the process, else None.
    budget : BufferBudget
        Bounds what all attempts buffer together.
    stream_log : StreamLog
        Logs which process answers.
    ends : ResponseEnds
        Proves the ends of responses without framing.

    Attributes
    ----------
    process : UpstreamProcess
        The process that answers, with its start if it has stated that.
    sent_s : float
        Monotonic time at which the request was sent; 0.0 before.
    began_s : float or None
        Monotonic time of the first event of the response.
    is_framed : bool
        Whether the response declares where it ends, so that a crash does not look
        like its end.
    is_end_proven : bool
        Whether the process that wrote a response without framing was shown to live
        after its end.
    is_known_sound : bool
        Whether `observe_sound` has been called.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_dialect",
        "_ends",
        "_n_buffered_bytes",
        "_observe_sound",
        "_pool",
        "_queue",
        "_record_began",
        "_responder",
        "_stream_log",
        "_try_spend_retry",
        "_upstreams",
        "began_s",
        "buffered_failure",
        "first_event_s",
        "has_first_event",
        "is_end_proven",
        "is_framed",
        "is_known_sound",
        "job",
        "lease",
        "process",
        "sent_s",
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
        try_spend_retry: Callable[[], bool],
        observe_sound: Callable[[float], None],
        record_began: Callable[[str, Software | UpstreamStart | None], None],
        budget: BufferBudget,
        stream_log: StreamLog,
        ends: ResponseEnds,
    ) -> None:
        self._ends = ends
        self._budget = budget
        self._stream_log = stream_log
        self.process = UpstreamProcess(
            job, lease.upstream, upstreams, pool, dialect, stream_log
        )
        self._n_buffered_bytes = 0
        self._record_began = record_began
        self._observe_sound = observe_sound
        self._try_spend_retry = try_spend_retry
        self.job = job
        self.lease = lease
        self._responder = responder
        self._dialect = dialect
        self._pool = pool
        self._queue = queue
        self._upstreams = upstreams
        self._clock = clock
        self.sent_s = 0.0
        self.began_s: float | None = None
        self.has_first_event = False
        self.first_event_s: float | None = None
        self.buffered_failure: BufferedFailure | None = None
        self.status = 0
        self.was_sent = False
        self.is_framed = True
        self.is_end_proven = False
        self.is_known_sound = False

    async def run(self) -> AttemptEnd:
        """Send the request, relay the response and return the result."""
        job, listing = self.job, self.lease.upstream.listing
        connection = await self.process.connect()
        if isinstance(connection, ExchangeFault):
            return Unsent()
        self.sent_s = self._clock.monotonic_s()
        if not (
            self.lease.may_send(self.sent_s) and self.process.check_stream(self.sent_s)
        ):
            # During the connect it announced that it leaves, asked for a rest or named
            # a limit, the permit has expired, or another process answers.
            self._pool.release(listing.address, connection)
            return Withheld()
        request = self._dialect.make_upstream_request(
            job.request,
            left_s=job.left_s(self.sent_s),
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
            self._budget.release(self._n_buffered_bytes)
            exchange.finish(self._pool, listing.address)

    async def _read(self, exchange: Exchange) -> AttemptEnd:
        watched = self._ends.watch(self.lease.upstream, exchange, self.sent_s)
        try:
            return await self._read_response(exchange, watched)
        finally:
            watched.close()

    async def _read_response(
        self, exchange: Exchange, watched: WatchedResponse
    ) -> AttemptEnd:
        job = self.job
        head = await self._read_or_timeout(
            exchange.read_head, self._first_byte_timeout_s()
        )
        if head is None:
            return self._timed_out("timed out waiting for the response head")
        if isinstance(head, ExchangeFault):
            return _broken_by(head)
        self.status = head.status
        self.is_framed = _has_framing(head, job.request.method)
        watched.observe_head(self.is_framed)
        self.lease.upstream.last_activity_s = self._clock.monotonic_s()
        facts = self._dialect.read_response(head)
        self._observe_rate_limit(facts)
        if exchange.is_on_reused_connection and not facts.has_request_id:
            # It may be a duplicate of the response to an earlier request.
            return Broken("response without a request id")
        self._handle_upstream_notices(facts)
        if facts.was_not_run:
            return Declined()
        if not 200 <= head.status < 300:
            return await self._buffer_failure(exchange, head, watched)
        if not facts.is_from_upstream:
            return Broken("body encoded or not marked as the upstream's")
        if job.route.is_streaming:
            return await self._relay_events(exchange, head, watched)
        return await self._relay_body(exchange, head, watched)

    def _handle_upstream_notices(self, facts: ResponseFacts) -> None:
        """Record that the upstream is leaving or asks for a rest."""
        listing, starts = self.lease.upstream.listing, self.process.starts
        if facts.is_leaving and facts.is_other_upstream:
            self._upstreams.record_departure_at(listing.address, listing.upstream_id)
        elif facts.is_leaving and self._upstreams.record_departures(starts):
            self._queue.load_changed.set()
            log_event(
                _log,
                Event.UPSTREAM_SAID_TO_LEAVE,
                upstream=listing.upstream_id,
                request_id=self.job.request_id,
            )
        if facts.requested_rest_s and not facts.is_other_upstream:
            self._upstreams.record_requested_rest(
                self.lease.upstream,
                starts,
                self._clock.monotonic_s(),
                facts.requested_rest_s,
            )
            log_event(
                _log,
                Event.UPSTREAM_ASKED_FOR_REST,
                upstream=listing.upstream_id,
                request_id=self.job.request_id,
                rest_s=round(facts.requested_rest_s, 3),
            )

    def _observe_rate_limit(self, facts: ResponseFacts) -> None:
        """Record whether the upstream limits the requests that it takes."""
        if facts.is_other_upstream:
            return
        statement = read_rate_statement(facts.rate_limits)
        if isinstance(statement, NoRateLimit) and not facts.has_request_id:
            # It may be the late response to an earlier request.
            return
        for start in self.process.starts:
            change = self._upstreams.observe_rate_limit(
                start, statement, self.sent_s, self._clock.monotonic_s()
            )
            if change is not None:
                self._queue.load_changed.set()
                log_limit_change(change, f"request {self.job.request_id}")

    async def _buffer_failure(
        self, exchange: Exchange, head: ResponseHead, watched: WatchedResponse
    ) -> AttemptEnd:
        body = await self._read_buffered(exchange)
        if not isinstance(body, bytes):
            return _broken_by(body)
        if exchange.is_complete:
            broken = await self._find_early_end(watched)
            if broken is not None:
                return broken
        if self.job.first_head is not None:
            return Broken(f"status {head.status} when resuming a stream")
        if not exchange.is_complete:
            return Broken(f"status {head.status} with a body that is too large")
        headers = tuple(end_to_end(head.headers))
        self.buffered_failure = BufferedFailure(head.status, headers, body)
        return FailedResponse()

    async def _relay_body(
        self, exchange: Exchange, head: ResponseHead, watched: WatchedResponse
    ) -> AttemptEnd:
        body = await self._read_buffered(exchange)
        if isinstance(body, ExchangeFault):
            return _broken_by(body)
        headers = tuple(end_to_end(head.headers))
        if exchange.is_complete:
            broken = await self._find_early_end(watched)
            if broken is not None:
                return broken
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
                    broken = await self._find_early_end(watched)
                    if broken is not None:
                        return broken
                    self._responder.finish()
                    return Delivered()
                case ExchangeFault():
                    return _broken_by(part)

    async def _relay_events(
        self, exchange: Exchange, head: ResponseHead, watched: WatchedResponse
    ) -> AttemptEnd:
        job, speed = self.job, self.lease.upstream.speed
        splitter = EventSplitter()
        # Also if the caller takes up a stream that an earlier request has begun.
        goes_on = job.first_head is not None or job.last_event_id is not None
        n_ids_before = job.n_event_ids
        last_event_s = self.sent_s
        timeout_s = self._first_byte_timeout_s()
        read_events = partial(self._read_events, exchange, splitter)
        while True:
            events = await self._read_or_timeout(read_events, timeout_s)
            match events:
                case None:
                    return self._timed_out("timed out waiting for an event")
                case ExchangeFault():
                    if splitter.has_partial_event:
                        job.resolve_doubt(is_whole=False)
                    return _broken_by(events)
                case EndOfBody():
                    if goes_on:
                        self._record_continuation(None)
                    return await self._finish_stream(splitter, head, watched)
            if splitter.is_too_long:
                return Broken("event larger than the limit")
            if not events:
                return Broken(_GOES_BACK)
            if goes_on:
                event_id = first_event_id(events)
                self._record_continuation(event_id)
                if not job.may_be_followed_by(event_id):
                    if job.is_later_event(event_id):
                        job.resolve_doubt(is_whole=False)
                    return Broken("resumed stream does not go on after the last event")
                self._stream_log.record_outcome("gone on")
                job.resolve_doubt(is_whole=False)
                goes_on = False
            now_s = self._clock.monotonic_s()
            self.lease.upstream.last_activity_s = now_s
            if self.began_s is not None:
                speed.observe_gap(now_s - last_event_s)
                if now_s - self.began_s >= MIN_RESPONDING_S:
                    self.observe_sound_once(self.began_s)
            else:
                self._record_first_event(now_s)
                timeout_s = STREAM_IDLE_TIMEOUT_S if job.route.may_repeat else None
            last_event_s = now_s
            job.record_event(now_s)
            self._start_stream(head)
            job.may_go_on = splitter.may_go_on
            if splitter.last_id is not None:
                job.last_event_id = splitter.last_id
                job.n_event_ids = n_ids_before + splitter.n_ids
                if job.first_event_id is None:
                    job.first_event_id = splitter.first_id
            await self._responder.send(events)
            if splitter.goes_back:
                return Broken(_GOES_BACK)

    def _timed_out(self, detail: str) -> Broken:
        """Return the end of an attempt whose time limit has passed.

        `_read_or_timeout` has charged its repeat, unless it asks what follows an end.
        """
        return Broken(detail, has_repeat=self.job.doubted_end is None)

    def _record_continuation(self, event_id: int | None) -> None:
        self._stream_log.record_continuation(
            self.job, self.lease.upstream.listing, self.process.started_ms, event_id
        )

    def _start_stream(self, head: ResponseHead) -> None:
        if self.job.first_head is None:
            self.job.first_head = head
            headers = tuple(end_to_end(head.headers))
            self._responder.start(head.status, headers)

    async def _finish_stream(
        self, splitter: EventSplitter, head: ResponseHead, watched: WatchedResponse
    ) -> AttemptEnd:
        if splitter.has_partial_event:
            self.job.resolve_doubt(is_whole=False)
            if not self.is_framed:
                watched.early_ends.observe_partial_event()
            was_cut = not self.is_framed
            return Broken("stream ended within an event", was_cut=was_cut)
        broken = await self._find_early_end(watched)
        if broken is not None:
            return broken
        if not (self.is_framed or self.has_first_event or self.job.has_events):
            return Broken("stream without framing and without any event")
        doubt = self._doubt_end(watched)
        if doubt is not None:
            self.job.doubted_end = DoubtedEnd(
                doubt, watched.early_ends, splitter.remainder
            )
            return Doubted()
        self.job.resolve_doubt(is_whole=True)
        self._start_stream(head)
        self._responder.finish(splitter.remainder)
        return Delivered()

    def _doubt_end(self, watched: WatchedResponse) -> Doubt | None:
        """Return why not to believe the end of a stream; None if it is believed."""
        is_short = self._observe_length()
        if not self._can_ask_what_follows():
            return None
        return watched.early_ends.doubt(self.job.has_early_end, is_short)

    def _observe_length(self) -> bool:
        """Record how many events a stream had; return whether most have more."""
        job = self.job
        if not job.route.is_resumable_stream or job.takes_up_stream:
            return False
        lengths = self._ends.lengths_of(job.route.name)
        is_short = lengths.is_short(job.n_event_ids)
        lengths.observe(job.n_event_ids)
        return is_short

    def _can_ask_what_follows(self) -> bool:
        """Return whether another upstream can prove the end of the stream.

        A stream that has brought no event only states that nothing follows.
        """
        job = self.job
        return (
            not self.is_framed
            and self.has_first_event
            and job.route.is_resumable
            and job.may_go_on
            and job.last_event_id is not None
            and (job.software is not None or job.origin is not None)
        )

    async def _find_early_end(self, watched: WatchedResponse) -> Broken | None:
        """Return how a complete body was broken off; None if it is whole.

        Only a body without framing may be complete and broken off.
        """
        if self.is_framed:
            return None
        result = await watched.prove_end()
        self._stream_log.record_unframed_end(
            self.job, self.lease.upstream.listing, self.process.started_ms, result
        )
        match result:
            case EndProof():
                self.is_end_proven = True
                return None
            case NoProof.NOT_KNOWN:
                return Broken("response without framing, and no proof of its end")
            case NoProof():
                detail = "response without framing ended with its upstream"
                return Broken(detail, was_cut=True)

    @property
    def has_certain_end(self) -> bool:
        """Whether a response that was whole cannot have been ended by a crash."""
        return self.is_framed or self.is_end_proven

    def observe_sound_once(self, began_s: float) -> None:
        """Record that the upstream began to respond and did not crash."""
        if not self.is_known_sound:
            self.is_known_sound = True
            self._observe_sound(began_s)

    def _record_first_event(self, now_s: float) -> None:
        self.has_first_event = True
        self.began_s = now_s
        self.first_event_s = now_s - self.sent_s
        lease = self.lease
        n_tokens = lease.n_prompt_tokens + lease.n_pending_tokens
        lease.upstream.speed.observe_first(self.first_event_s, n_tokens)
        self._record_origin()
        self._queue.record_first_event(lease)

    def _record_origin(self) -> None:
        """Record at which software the stream may go on from now on."""
        job, origin = self.job, self.process.origin
        if not job.route.is_resumable_stream:
            return
        match origin:
            case Software():
                job.software = origin
            case UpstreamStart():
                job.origin = origin
        self._record_began(job.stream_id, origin)

    async def _read_or_timeout(
        self, read: Callable[[], Coroutine[Any, Any, T]], timeout_s: float | None
    ) -> T | None:
        """Read, or return None if the request is to be retried on another upstream.

        After `timeout_s`, an upstream that has responded to other requests in the
        meantime gets more time, and the request stays where it is if no retry is
        allowed.
        """
        if timeout_s is None:
            return await read()
        started_s = self._clock.monotonic_s()
        result = await _read_within(read, timeout_s)
        if result is None and self.job.doubted_end is not None:
            # The caller has all events and waits for the end only.
            return None
        if result is None and self.lease.upstream.last_activity_s > started_s:
            result = await _read_within(read, (BUSY_TIMEOUT_FACTOR - 1.0) * timeout_s)
        if result is None and not self._try_spend_retry():
            return await read()
        return result

    def _first_byte_timeout_s(self) -> float | None:
        """Return the first-byte timeout, or None if a retry is not allowed."""
        job, lease = self.job, self.lease
        if job.doubted_end is not None:
            return STREAM_IDLE_TIMEOUT_S
        if not job.route.may_repeat or job.n_sent >= job.route.max_attempts:
            return None
        speed = lease.upstream.speed
        if not job.route.is_streaming:
            return max(
                MIN_FIRST_BYTE_TIMEOUT_S, FIRST_BYTE_TIMEOUT_FACTOR * speed.response_s
            )
        predicted_s = predict_first_event_s(
            speed, lease.n_prompt_tokens, lease.n_pending_tokens
        )
        return max(MIN_FIRST_BYTE_TIMEOUT_S, FIRST_BYTE_TIMEOUT_FACTOR * predicted_s)

    async def _read_buffered(self, exchange: Exchange) -> bytes | ExchangeFault:
        """Read the whole body, or just over `MAX_BUFFERED_BYTES` of a larger one."""
        body = bytearray()
        while len(body) <= MAX_BUFFERED_BYTES:
            part = await exchange.read_body()
            match part:
                case bytes():
                    body += part
                case EndOfBody():
                    break
                case ExchangeFault():
                    return part
            if not self._may_buffer(len(body)):
                return ExchangeFault.TOO_LARGE
        return bytes(body)

    async def _read_events(
        self, exchange: Exchange, splitter: EventSplitter
    ) -> bytes | EndOfBody | ExchangeFault:
        """Read until an event is complete, or until the body ends or fails.

        Bytes of a partial event do not return, so they do not reset the idle timeout.
        """
        while True:
            part = await exchange.read_body()
            if not isinstance(part, bytes):
                return part
            events = splitter.feed(part)
            if not self._may_buffer(splitter.n_buffered_bytes):
                return ExchangeFault.TOO_LARGE
            if events or splitter.is_too_long or splitter.goes_back:
                return events

    def _may_buffer(self, n_bytes: int) -> bool:
        """Return whether the budget of all attempts has room for this one's bytes."""
        if not self._budget.try_resize(self._n_buffered_bytes, n_bytes):
            return False
        self._n_buffered_bytes = n_bytes
        return True


def _broken_by(fault: ExchangeFault) -> Broken:
    return Broken(fault.value, was_cut=fault is ExchangeFault.CUT)


async def _with_timeout(
    reading: Coroutine[Any, Any, T], timeout_s: float | None
) -> T | None:
    """Await `reading`; returns None on a timeout."""
    if timeout_s is None:
        return await reading
    try:
        async with asyncio.timeout(timeout_s):
            return await reading
    except TimeoutError:
        return None


async def _read_within(
    read: Callable[[], Coroutine[Any, Any, T]], timeout_s: float
) -> T | None:
    """Read, or return None if nothing has arrived within the time limit."""
    result = await _with_timeout(read(), timeout_s)
    if result is None:
        # If this process was stopped meanwhile, the response arrives in the same turn
        # of the event loop as the end of the time limit.
        result = await _with_timeout(read(), 0.0)
    return result


def _has_framing(head: ResponseHead, method: bytes) -> bool:
    """Return whether the end of the body is known without the end of the connection."""
    return (
        method == b"HEAD"
        or head.status in STATUSES_WITHOUT_BODY
        or header(head.headers, b"content-length") is not None
        or header(head.headers, b"transfer-encoding") is not None
    )
