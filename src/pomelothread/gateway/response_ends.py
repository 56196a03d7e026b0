"""Proves that responses without framing were ended by their upstreams.

An upstream that states its start is asked for it after the end of the response. For
one that states none, a connection is kept as a witness: as it has answered while the
response was open, and answers again after the end, its process has lived throughout.
"""

import asyncio
from collections import OrderedDict

from ..clock import Clock
from ..http1.client import (
    KEEP_ALIVE_MARGIN_S,
    ConnectionPool,
    Exchange,
    ExchangeFault,
    UpstreamConnection,
)
from ..policy.departures import UpstreamStart
from ..policy.early_ends import EarlyEnds, SoftwareEnds, UsualLengths
from ..policy.response_ends import (
    EndProof,
    NoAnswer,
    NoProof,
    NoStartStated,
    Observation,
    StartStated,
    WitnessAnswered,
    Writer,
    judge_end,
)
from ..policy.stream_versions import Software
from .dialect import Dialect, NoStart
from .state import GatewayState
from .upstream_starts import ask_start, has_answered
from .upstreams import Upstream, UpstreamTable

# A witness is asked again after this share of the time for which it can be used.
RENEWAL_SHARE = 0.5
# Time after which another connection is tried if there is none to keep.
RETRY_S = 2.0
# Pauses before an upstream that cut a new connection is asked again.
RESET_PAUSES_S = (0.05, 0.1, 0.2)
# Maximum number of routes whose lengths of streams are remembered.
MAX_ROUTES = 512


class ResponseEnds:
    """Knows how the responses of all upstreams end.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to upstreams.
    dialect : Dialect
        Encodes questions to upstreams and decodes their answers.
    state : GatewayState
        Starts the tasks that keep witnesses.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_dialect",
        "_lengths",
        "_pool",
        "_software_ends",
        "_state",
        "_upstreams",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        state: GatewayState,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._state = state
        self._dialect = dialect
        self._clock = clock
        self._upstreams: dict[UpstreamStart, UpstreamEnds] = {}
        self._software_ends: dict[Software, SoftwareEnds] = {}
        # Of the routes that were used last, by name.
        self._lengths: OrderedDict[str, UsualLengths] = OrderedDict()

    async def prepare(self, upstream: Upstream) -> None:
        """Find a witness before a request is sent, if its response may need one."""
        ends = self._upstreams.get(upstream.listing.start)
        if ends is not None and ends.has_answered_without_framing:
            await ends.prepare()

    def watch(
        self,
        upstream: Upstream,
        exchange: Exchange,
        sent_s: float,
    ) -> "WatchedResponse":
        """Watch a response until it is closed, from when its request was sent.

        Parameters
        ----------
        upstream : Upstream
            Where the request was sent.
        exchange : Exchange
            Reads the response.
        sent_s : float
            Monotonic time at which the request was sent.
        """
        start = upstream.listing.start
        ends = self._upstreams.get(start)
        if ends is None:
            software = upstream.listing.software
            software_ends = self._software_ends.setdefault(software, SoftwareEnds())
            ends = UpstreamEnds(
                upstream,
                software_ends,
                self._pool,
                self._dialect,
                self._state,
                self._clock,
            )
            self._upstreams[start] = ends
        return WatchedResponse(ends, exchange, sent_s)

    def lengths_of(self, route_name: str) -> UsualLengths:
        """Return the usual lengths of the streams of a route."""
        lengths = self._lengths.setdefault(route_name, UsualLengths())
        self._lengths.move_to_end(route_name)
        if len(self._lengths) > MAX_ROUTES:
            self._lengths.popitem(last=False)
        return lengths

    def forget_unlisted(self, upstreams: UpstreamTable) -> None:
        """Close the witnesses of starts that are not listed and have no response."""
        for start, ends in list(self._upstreams.items()):
            upstream = upstreams.get(start.upstream_id)
            is_listed = upstream is not None and upstream.listing.start == start
            if not is_listed and not ends.watched:
                ends.close()
                del self._upstreams[start]
        known = {ends.software for ends in self._upstreams.values()}
        for software in self._software_ends.keys() - known:
            del self._software_ends[software]


class WatchedResponse:
    """The response to one request, with what is known of the process that writes it.

    Parameters
    ----------
    ends : UpstreamEnds
        Asks its upstream.
    exchange : Exchange
        Reads the response.
    sent_s : float
        Monotonic time at which the request was sent.

    Attributes
    ----------
    witness : UpstreamConnection or None
        Connection that has answered before the response ended.
    """

    __slots__ = (
        "_earlier_starts_ms",
        "_ends",
        "_exchange",
        "sent_s",
        "witness",
    )

    def __init__(self, ends: "UpstreamEnds", exchange: Exchange, sent_s: float) -> None:
        self._ends = ends
        self._exchange = exchange
        self._earlier_starts_ms = set(ends.known_starts_ms())
        self.sent_s = sent_s
        self.witness: UpstreamConnection | None = None
        if ends.has_answered_without_framing:
            self._seek_witness()

    @property
    def writer(self) -> Writer:
        """What is known of the process that writes the response."""
        return Writer(self._exchange.started_ms, frozenset(self._earlier_starts_ms))

    @property
    def early_ends(self) -> EarlyEnds:
        """Streams that its upstream has broken off."""
        return self._ends.early_ends

    def observe_head(self, is_framed: bool) -> None:
        """Record whether the response declares where it ends."""
        if is_framed:
            self.close()
            return
        self._ends.has_answered_without_framing = True
        self._seek_witness()

    def observe_witness(self, connection: UpstreamConnection) -> None:
        """Record that another connection has answered, if the response is open."""
        if not self._exchange.may_have_ended:
            self.witness = connection

    def observe_start(self, start_ms: int) -> None:
        """Record that a start was stated at its address, if the response is open."""
        if not self._exchange.may_have_ended:
            self._earlier_starts_ms.add(start_ms)

    async def prove_end(self) -> EndProof | NoProof:
        """Return what proves that its upstream has ended it, or why nothing does."""
        return await self._ends.prove(self)

    def close(self) -> None:
        """Stop to watch; the response has ended or needs no proof."""
        self._ends.watched.discard(self)

    def _seek_witness(self) -> None:
        if self._exchange.started_ms is None:
            self._ends.find_witness(self)


class UpstreamEnds:
    """Asks one upstream for what proves the ends of its responses.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    software_ends : SoftwareEnds
        Ends of the streams of all upstreams with its software version.
    pool : ConnectionPool
        Connections to upstreams.
    dialect : Dialect
        Encodes questions to upstreams and decodes their answers.
    state : GatewayState
        Starts the task that keeps the witness.
    clock : Clock
        Source of time.

    Attributes
    ----------
    software : Software
        Software of the upstream, as listed at first.
    has_answered_without_framing : bool
        Whether any response has declared no end.
    early_ends : EarlyEnds
        Streams that the upstream has broken off.
    watched : set of WatchedResponse
        Open responses that need a witness or a start.
    """

    __slots__ = (
        "_clock",
        "_dialect",
        "_is_keeping",
        "_lock",
        "_n_answered",
        "_n_asked",
        "_pool",
        "_state",
        "_stated_start_ms",
        "_upstream",
        "_witness",
        "early_ends",
        "has_answered_without_framing",
        "software",
        "watched",
    )

    def __init__(
        self,
        upstream: Upstream,
        software_ends: SoftwareEnds,
        pool: ConnectionPool,
        dialect: Dialect,
        state: GatewayState,
        clock: Clock,
    ) -> None:
        self._upstream = upstream
        self._state = state
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._stated_start_ms: int | None = None
        self._witness: UpstreamConnection | None = None
        self._is_keeping = False
        self._lock = asyncio.Lock()
        # Questions on the witness, and the last of them that was answered.
        self._n_asked = 0
        self._n_answered = 0
        self.software = upstream.listing.software
        self.has_answered_without_framing = False
        self.early_ends = EarlyEnds(software_ends)
        self.watched: set[WatchedResponse] = set()

    def known_starts_ms(self) -> set[int]:
        """Return the starts that are listed or were stated."""
        known = {self._upstream.listing.started_ms}
        if self._stated_start_ms is not None:
            known.add(self._stated_start_ms)
        return known

    def find_witness(self, response: WatchedResponse) -> None:
        """Give a response a witness, and keep one until it is closed.

        If the upstream states its start, the response only learns the starts that are
        stated while it is open: the list may be older than the process that writes it.
        """
        if response in self.watched:
            return
        self.watched.add(response)
        if self._stated_start_ms is not None:
            return
        if self._lock.locked() or self._has_usable_witness():
            response.witness = self._witness
        if not self._is_keeping:
            self._is_keeping = True
            self._state.start(self._keep_witness())

    async def prepare(self) -> None:
        """Open a witness if the upstream states no start and there is none."""
        if not self._upstream.has_hidden_start or self._lock.locked():
            return
        if not self._has_usable_witness():
            await self._renew()

    async def prove(self, response: WatchedResponse) -> EndProof | NoProof:
        """Return what proves that a response is whole, or why nothing does."""
        writer, found = response.writer, None
        if not self._upstream.has_hidden_start:
            found = judge_end(writer, await self._ask_on_new_connection())
            is_known = found is NoProof.OTHER_START and writer.start_ms is not None
            if isinstance(found, EndProof) or is_known:
                return found
        if await self._has_witness_answered(response):
            return judge_end(writer, WitnessAnswered())
        return found or judge_end(writer, await self._ask_on_new_connection())

    def close(self) -> None:
        """Close the witness; its task ends as no response is watched."""
        self._drop_witness()

    async def _keep_witness(self) -> None:
        try:
            await self._renew_while_needed()
        finally:
            self._is_keeping = False

    async def _renew_while_needed(self) -> None:
        """Ask the witness so often that it stays open, while responses need it."""
        while self.watched and self._stated_start_ms is None:
            now_s = self._clock.monotonic_s()
            witness = self._witness
            wait_s = 0.0
            if witness is not None and self._has_usable_witness():
                usable_s = witness.keep_alive_s - KEEP_ALIVE_MARGIN_S
                renew_at_s = witness.idle_since_s + RENEWAL_SHARE * usable_s
                wait_s = renew_at_s - now_s
            if wait_s > 0.0:
                await self._clock.sleep(wait_s)
                continue
            is_resting = now_s < self._upstream.health.requested_rest_until_s
            if not is_resting and await self._renew():
                continue
            await self._clock.sleep(RETRY_S)

    async def _renew(self) -> bool:
        """Ask the witness, or a new one; return whether there is one now."""
        if self._has_usable_witness():
            # Now and then, an upstream announces that it closes the connection.
            await self._ask_witness()
        if not self._has_usable_witness():
            await self._ask_on_new_connection()
        return self._has_usable_witness()

    async def _has_witness_answered(self, response: WatchedResponse) -> bool:
        """Return whether a connection that has answered before answers now."""
        witness = response.witness
        if witness is not None and witness is self._witness:
            return await self._ask_witness()
        address = self._upstream.listing.address
        connection = self._pool.take_idle_since(address, response.sent_s)
        if connection is None:
            return False
        answers, may_reuse = await self._ask_again(connection)
        if may_reuse:
            self._keep(connection)
        return answers

    async def _ask_witness(self) -> bool:
        """Return whether the witness answers a question that is sent from now on.

        Responses that end at the same time share a question.
        """
        n_asked_before = self._n_asked
        async with self._lock:
            if self._n_answered > n_asked_before:
                return True
            witness = self._witness
            if witness is None or not self._has_usable_witness():
                return False
            self._n_asked += 1
            n_asked = self._n_asked
            answers, may_reuse = False, False
            try:
                answers, may_reuse = await self._ask_again(witness)
            finally:
                if not may_reuse:
                    self._drop_witness()
            if answers:
                self._n_answered = n_asked
            return answers

    async def _ask_again(self, connection: UpstreamConnection) -> tuple[bool, bool]:
        """Return whether a connection answers, and whether it can be used again."""
        answers, may_reuse = await has_answered(connection, self._dialect)
        connection.idle_since_s = self._clock.monotonic_s()
        return answers, may_reuse

    async def _ask_on_new_connection(self) -> Observation:
        """Ask the process that accepts a new connection for its start.

        An upstream that has too many connections resets new ones, so it is asked again.
        """
        seen = await self._ask_once()
        for pause_s in RESET_PAUSES_S:
            if seen is not None:
                return seen
            await self._clock.sleep(pause_s)
            seen = await self._ask_once()
        return seen or NoAnswer()

    async def _ask_once(self) -> Observation | None:
        """Return what was seen; None if a connection was accepted and cut."""
        address = self._upstream.listing.address
        connection = await self._pool.connect(address)
        if isinstance(connection, ExchangeFault):
            return NoAnswer()
        try:
            answer = await ask_start(connection, self._upstream, self._dialect)
        except asyncio.CancelledError:
            connection.stream.abort()
            raise
        connection.idle_since_s = self._clock.monotonic_s()
        if isinstance(answer.start_ms, int):
            self._stated_start_ms = answer.start_ms
            for response in self.watched:
                response.observe_start(answer.start_ms)
        if answer.may_reuse:
            self._keep(connection)
        match answer.start_ms:
            case int():
                return StartStated(answer.start_ms)
            case NoStart.NOT_STATED | NoStart.UNREADABLE:
                return NoStartStated()
            case NoStart.SILENT:
                return NoAnswer()
            case NoStart.CUT:
                return None

    def _keep(self, connection: UpstreamConnection) -> None:
        """Keep a connection that has answered as the witness, or in the pool."""
        needs_witness = (
            connection.started_ms is None and self.has_answered_without_framing
        )
        is_asking = self._lock.locked()
        if needs_witness and not is_asking and not self._has_usable_witness():
            self._drop_witness()
            self._witness = connection
            for response in self.watched:
                response.observe_witness(connection)
            return
        self._pool.release(self._upstream.listing.address, connection)

    def _has_usable_witness(self) -> bool:
        now_s = self._clock.monotonic_s()
        witness = self._witness
        return witness is not None and witness.is_usable(now_s, witness.keep_alive_s)

    def _drop_witness(self) -> None:
        if self._witness is not None:
            self._witness.stream.close()
            self._witness = None
