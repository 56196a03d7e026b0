"""HTTP exchanges that are sent at most once, over Tornado's curl client.

An exchange gives its response head, then its chunks, then how it ended. The end
says how much is known about a request that has no complete response.
"""

from collections.abc import AsyncIterator, Mapping
from contextlib import suppress
from dataclasses import dataclass

import pycurl
from tornado.concurrent import Future
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import (
    HTTPHeaders,
    parse_response_start_line,
)

CONNECT_TIMEOUT_S = 1.0

# Reading from the connection pauses while this many bytes wait for the reader,
# so that a slow caller of a fast upstream costs bounded memory.
MAX_BUFFERED_BYTES = 262_144

# Tornado fails a streamed response over this total. Its default of 100 MiB is
# meant for buffered responses; a stream here never accumulates.
MAX_STREAMED_BYTES = 1 << 40

# Without these a peer whose machine vanished would hold a stream open for ever,
# since long reports have no total timeout.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5

METHODS_WITH_BODY = ("POST", "PUT", "PATCH")

# Errors of libcurl that are raised only before the request is sent.
_CONNECT_ERRORS = frozenset(
    (
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_INTERFACE_FAILED,
    )
)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        All headers, repeated ones included.
    """

    status: int
    headers: HTTPHeaders


@dataclass(frozen=True, slots=True)
class Complete:
    """The whole message was received.

    Parameters
    ----------
    is_delimited : bool
        False if the message had neither a length nor chunked coding, so that
        its end is only the end of the connection, which a crash looks like too.
    """

    is_delimited: bool = True


@dataclass(frozen=True, slots=True)
class Cut:
    """The connection ended after the head, before the message was complete."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was established: nothing of the request was sent.

    Parameters
    ----------
    detail : str
        What libcurl says.
    is_refused : bool
        Whether the attempt failed at once, because nothing listens there or no
        route leads there; False when it timed out.
    """

    detail: str
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class LostBeforeHead:
    """The connection ended before the head: the request may have run."""

    detail: str


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The exchange was cancelled here; `was_sent` if a connection existed."""

    was_sent: bool


End = Complete | Cut | NotConnected | LostBeforeHead | Cancelled


class Exchange:
    """One request and its response, as they arrive.

    Made by `ExchangeClient.open_exchange`. At most one task reads it.
    """

    __slots__ = (
        "_buffered",
        "_curl",
        "_end",
        "_fields",
        "_head",
        "_is_cancelled",
        "_is_connected",
        "_is_paused",
        "_n_buffered_bytes",
        "_start_line",
        "_waiter",
    )

    def __init__(self) -> None:
        self._buffered: list[bytes] = []
        self._curl: pycurl.Curl | None = None
        self._end: End | None = None
        self._fields = HTTPHeaders()
        self._head: ResponseHead | None = None
        self._is_cancelled = False
        self._is_connected = False
        self._is_paused = False
        self._n_buffered_bytes = 0
        self._start_line = ""
        self._waiter: Future[None] | None = None

    @property
    def end(self) -> End | None:
        """How the exchange ended, or None while it is open."""
        return self._end

    async def head(self) -> ResponseHead | End:
        """Wait for the response head.

        Returns
        -------
        ResponseHead or End
            The end if the exchange ended without a head.
        """
        while self._head is None and self._end is None:
            await self._wait()
        if self._head is not None:
            return self._head
        assert self._end is not None
        return self._end

    async def read(self) -> bytes:
        """Wait for data and return all of it that has arrived.

        Returns
        -------
        bytes
            Empty when the exchange has ended; `end` then says how.
        """
        while not self._buffered and self._end is None:
            await self._wait()
        if not self._buffered:
            return b""
        buffered = self._buffered
        data = buffered[0] if len(buffered) == 1 else b"".join(buffered)
        buffered.clear()
        self._n_buffered_bytes = 0
        if self._is_paused and self._curl is not None:
            self._is_paused = False
            # libcurl hands over what it held back from inside this call, and
            # refuses it when the transfer has failed, which ends the exchange.
            with suppress(pycurl.error):
                self._curl.pause(pycurl.PAUSE_CONT)
        return data

    async def read_whole(self, max_bytes: int) -> bytes | End:
        """Read the rest of the body.

        Parameters
        ----------
        max_bytes : int
            The exchange is cancelled when the body is longer.

        Returns
        -------
        bytes or End
            The body, or the end if that was not `Complete`.
        """
        parts = []
        n_bytes = 0
        async for data in self:
            parts.append(data)
            n_bytes += len(data)
            if n_bytes > max_bytes:
                self.cancel()
                return Cut(f"the body is longer than {max_bytes} bytes")
        assert self._end is not None
        return b"".join(parts) if isinstance(self._end, Complete) else self._end

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        data = await self.read()
        if not data:
            raise StopAsyncIteration
        return data

    def cancel(self) -> None:
        """Close the connection; the other side sees it at once.

        A request whose connection is not yet established is never sent. Does
        nothing when the exchange has ended.
        """
        if self._end is not None:
            return
        self._is_cancelled = True
        self._buffered.clear()
        self._end = Cancelled(self._is_connected)
        self._wake()
        if self._curl is None:
            return
        # The progress callback is the way that libcurl offers for aborting a
        # transfer. It runs when the transfer next does, which the change of
        # the pause state brings about.
        self._curl.setopt(pycurl.XFERINFOFUNCTION, _abort)
        self._curl.setopt(pycurl.NOPROGRESS, False)
        # Before it is connected the pause is refused, and it runs anyway.
        with suppress(pycurl.error):
            self._curl.pause(pycurl.PAUSE_ALL)
            self._curl.pause(pycurl.PAUSE_CONT)

    async def _wait(self) -> None:
        waiter: Future[None] = Future()
        self._waiter = waiter
        try:
            await waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _prepare(self, curl: pycurl.Curl, reuses_connection: bool) -> None:
        """Set what Tornado has no argument for; called by its client."""
        self._curl = curl
        # Tornado's own callbacks pass each line and chunk through the queue of
        # the event loop, which costs a system call for each.
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_data)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        # An empty name switches off the proxy of the environment variables.
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TCP_KEEPALIVE, True)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        if reuses_connection:
            return
        # libcurl repeats a request when a reused connection closes without a
        # response; a fresh connection is never repeated.
        curl.setopt(pycurl.FRESH_CONNECT, True)
        curl.setopt(pycurl.FORBID_REUSE, True)
        # A body that cannot be rewound cannot be sent twice.
        curl.setopt(pycurl.SEEKFUNCTION, _refuse_rewind)
        curl.setopt(pycurl.IOCTLFUNCTION, _refuse_ioctl)

    def _on_connected(self, *addresses: object) -> int:
        if self._is_cancelled:
            return int(pycurl.PREREQFUNC_ABORT)
        self._is_connected = True
        return int(pycurl.PREREQFUNC_OK)

    def _on_header_line(self, raw: bytes) -> None:
        if self._head is not None:
            return  # A trailer of a chunked message.
        line = raw.decode("latin-1").rstrip("\r\n")
        if not self._start_line:
            self._start_line = line
            return
        if line:
            self._fields.parse_line(line)
            return
        status = parse_response_start_line(self._start_line).code
        if status >= 200:
            self._head = ResponseHead(status, self._fields)
            self._wake()
            return
        # An interim response: the final head follows.
        self._start_line = ""
        self._fields = HTTPHeaders()

    def _on_data(self, chunk: bytes) -> int:
        if self._is_cancelled:
            return 0
        if self._n_buffered_bytes >= MAX_BUFFERED_BYTES:
            self._is_paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._buffered.append(chunk)
        self._n_buffered_bytes += len(chunk)
        self._wake()
        return len(chunk)

    def _finish(self, future: "Future[HTTPResponse]") -> None:
        """Record the end; called when Tornado's client is done with the handle."""
        self._curl = None
        # Statuses of 400 and above are no errors, as `raise_error` is off.
        error = future.exception()
        if self._end is not None:
            return
        self._end = self._completed() if error is None else self._end_of(error)
        self._wake()

    def _completed(self) -> End:
        if self._head is None:
            return LostBeforeHead("the response has no valid head")
        has_no_body = self._head.status in (204, 304)
        fields = self._head.headers
        is_delimited = "Content-Length" in fields or "Transfer-Encoding" in fields
        return Complete(is_delimited or has_no_body)

    def _end_of(self, error: BaseException) -> End:
        if not isinstance(error, CurlError):
            # Tornado refused the request itself, e.g. an illegal header.
            return NotConnected(str(error))
        detail = f"{error.message} (libcurl error {error.errno})"
        if self._head is not None:
            return Cut(detail)
        if error.errno in _CONNECT_ERRORS or not self._is_connected:
            return NotConnected(detail, error.errno == pycurl.E_COULDNT_CONNECT)
        return LostBeforeHead(detail)


class ExchangeClient:
    """Opens exchanges in the running event loop.

    Parameters
    ----------
    max_exchanges : int
        Most exchanges that are open at the same time; further ones end as
        `NotConnected`. Tornado would queue them without limit instead, and a
        queued request could be sent long after its grant expired.
    """

    def __init__(self, max_exchanges: int) -> None:
        if max_exchanges < 1:
            raise ValueError(
                f"max_exchanges={max_exchanges} must be 1 or more; pass the number"
                " of exchanges that may be open at the same time"
            )
        self._max_exchanges = max_exchanges
        self._n_open = 0
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=max_exchanges,
            max_body_size=MAX_STREAMED_BYTES,
        )

    @property
    def n_open(self) -> int:
        """How many exchanges have not ended."""
        return self._n_open

    def open_exchange(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] | HTTPHeaders,
        body: bytes = b"",
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        total_timeout_s: float = 0.0,
        reuses_connection: bool = False,
    ) -> Exchange:
        """Send a request, without retries and redirects.

        Parameters
        ----------
        method : str
            HTTP method in upper case.
        url : str
            Absolute URL with an IP address.
        headers : mapping of str to str or HTTPHeaders
            Request headers.
        body : bytes, default b""
            Request body.
        connect_timeout_s : float
            Limit for establishing the connection.
        total_timeout_s : float, default 0.0
            Limit for the whole exchange; 0 means none.
        reuses_connection : bool, default False
            Keep the connection for later exchanges. Only for requests that may
            be repeated, because libcurl repeats them when a kept connection
            turns out to be closed.

        Returns
        -------
        Exchange
            The open exchange.
        """
        if reuses_connection and method in METHODS_WITH_BODY:
            raise ValueError(
                f"reuses_connection=True with method={method}: libcurl could send"
                " it twice; leave it False"
            )
        exchange = Exchange()
        if self._n_open >= self._max_exchanges:
            exchange._end = NotConnected(f"{self._n_open} exchanges are open")
            return exchange
        fields = HTTPHeaders(headers)
        # An empty value keeps libcurl from adding a type that nobody stated.
        fields.setdefault("Content-Type", "")
        request = HTTPRequest(
            url,
            method=method,
            headers=fields,
            body=body if body or method in METHODS_WITH_BODY else None,
            connect_timeout=connect_timeout_s,
            request_timeout=total_timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=lambda curl: exchange._prepare(
                curl, reuses_connection
            ),
        )
        self._n_open += 1
        future = self._client.fetch(request, raise_error=False)
        future.add_done_callback(exchange._finish)
        future.add_done_callback(self._count_end)
        return exchange

    def _count_end(self, future: "Future[HTTPResponse]") -> None:
        self._n_open -= 1

    def close(self) -> None:
        """Drop all connections and free the handles."""
        self._client.close()


def _abort(*progress: float) -> int:
    return 1


def _refuse_rewind(offset: int, origin: int) -> int:
    return int(pycurl.SEEKFUNC_FAIL)


def _refuse_ioctl(command: int) -> int:
    return int(pycurl.IOE_FAILRESTART)
