"""The process of an upstream that an attempt has a connection to.

The list names an upstream, and it is older than the process that accepts a connection.
Before a stream that may be resumed, the process is asked which start it is.
"""

from ..http1.client import ConnectionPool, ExchangeFault, UpstreamConnection
from ..policy.departures import UpstreamStart
from ..policy.process_starts import (
    ProcessStart,
    compare_start,
    is_start_excluded,
    may_get_stream,
)
from ..policy.stream_versions import Software
from .dialect import Dialect, NoStart
from .jobs import Job
from .stream_log import StreamLog
from .upstream_starts import ask_start
from .upstreams import Upstream, UpstreamTable

# Idle time after which a pooled connection is not reused. It is shorter for requests
# that must not be sent twice, since the upstream may be closing the connection.
MAX_IDLE_UNREPEATABLE_S = 1.0
MAX_IDLE_S = 30.0
# Connections that are tried to ask an upstream for its start before a stream.
N_CONNECTIONS_ASKED = 3


class UpstreamProcess:
    """Connects to the process of an upstream, and knows its start if that is stated.

    Parameters
    ----------
    job : Job
        The request that is to be sent there.
    upstream : Upstream
        Upstream that the list names.
    upstreams : UpstreamTable
        Notified if the list is older than the process.
    pool : ConnectionPool
        Connections to upstreams.
    dialect : Dialect
        Encodes the question for the start and decodes the answer.
    stream_log : StreamLog
        Logs which process answers.

    Attributes
    ----------
    started_ms : int or None
        Unix time of the start of the process in milliseconds, as it has stated; None if
        it is not known.
    """

    __slots__ = (
        "_dialect",
        "_job",
        "_pool",
        "_stream_log",
        "_upstream",
        "_upstreams",
        "started_ms",
    )

    def __init__(
        self,
        job: Job,
        upstream: Upstream,
        upstreams: UpstreamTable,
        pool: ConnectionPool,
        dialect: Dialect,
        stream_log: StreamLog,
    ) -> None:
        self._job = job
        self._upstream = upstream
        self._upstreams = upstreams
        self._pool = pool
        self._dialect = dialect
        self._stream_log = stream_log
        self.started_ms: int | None = None

    @property
    def start(self) -> UpstreamStart:
        """Start of the process: as stated, else as listed."""
        listing = self._upstream.listing
        return UpstreamStart(listing.upstream_id, self.started_ms or listing.started_ms)

    @property
    def starts(self) -> set[UpstreamStart]:
        """Starts that what the process says of itself holds for.

        A process that is not listed yet gets what is sent to the listed start, so it
        holds for both.
        """
        stated, listed = self.start, self._upstream.listing.start
        is_older = stated.started_ms < listed.started_ms
        return {stated} if is_older else {stated, listed}

    @property
    def origin(self) -> Software | UpstreamStart | None:
        """Where a stream begins here: its software, else its start, if it is known."""
        match self._compare():
            case ProcessStart.LISTED:
                return self._upstream.listing.software
            case ProcessStart.OTHER:
                return self.start
            case ProcessStart.UNKNOWN:
                return None

    async def connect(self) -> UpstreamConnection | ExchangeFault:
        """Return a connection; before a stream that may be resumed, ask its process."""
        job, listing = self._job, self._upstream.listing
        max_idle_s = MAX_IDLE_S if job.route.may_repeat else MAX_IDLE_UNREPEATABLE_S
        connection = await self._pool.acquire(listing.address, max_idle_s)
        if job.route.is_resumable_stream and not self._upstream.has_hidden_start:
            connection = await self._ask(connection)
        if isinstance(connection, UpstreamConnection):
            self.started_ms = connection.started_ms
        return connection

    async def _ask(
        self, connection: UpstreamConnection | ExchangeFault
    ) -> UpstreamConnection | ExchangeFault:
        listing = self._upstream.listing
        # An idle connection may have been closed, and an answer may close another one.
        for _ in range(N_CONNECTIONS_ASKED):
            if isinstance(connection, ExchangeFault):
                return connection
            if (connection.started_ms or listing.started_ms) < listing.started_ms:
                # It leads to a process that the listed one has replaced.
                connection.stream.abort()
                connection = await self._pool.connect(listing.address)
                continue
            was_idle = connection.is_reused
            answer = await ask_start(connection, self._upstream, self._dialect)
            self._stream_log.record_start(self._job, listing, answer.start_ms)
            if answer.may_reuse:
                return connection
            connection = await self._pool.connect(listing.address)
            if isinstance(answer.start_ms, NoStart) and not was_idle:
                break
        return connection

    def check_stream(self, now_s: float) -> bool:
        """Return whether the request may be sent, as far as its stream is concerned.

        Otherwise the stream would perhaps join two versions, and the start is excluded
        where asking again does not help.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        """
        job, upstream = self._job, self._upstream
        if not job.route.is_resumable_stream:
            return True
        start = self._compare()
        if start is ProcessStart.OTHER:
            self._upstreams.record_outdated(upstream)
        if may_get_stream(start, job.has_events):
            return True
        listed = upstream.listing.start
        if is_start_excluded(
            start,
            is_hidden=upstream.has_hidden_start,
            was_unanswered=listed in job.unanswered_starts,
        ):
            job.unproven_starts.add(listed)
        if start is ProcessStart.UNKNOWN and not upstream.has_hidden_start:
            job.unanswered_starts.add(listed)
            upstream.health.observe_failure(now_s)
        return False

    def _compare(self) -> ProcessStart:
        return compare_start(self.started_ms, self._upstream.listing.started_ms)
