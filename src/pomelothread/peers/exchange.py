"""One HTTP exchange: passes what libcurl's callbacks receive to one reading task."""

from collections.abc import AsyncIterator
from contextlib import suppress

import pycurl
from tornado.concurrent import Future
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPResponse
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    parse_response_start_line,
)

from .exchange_ends import (
    Cancelled,
    Complete,
    Cut,
    End,
    LostBeforeHead,
    NotConnected,
    ResponseHead,
)

# Receiving pauses while this many bytes wait for the reader, which bounds the
# memory of a slow caller of a fast upstream.
MAX_BUFFERED_BYTES = 262_144

# Without TCP keepalive a peer whose machine has failed would keep a stream open
# indefinitely, since long responses have no total timeout.
# With Linux's 9 probes the connection is closed after 10 + 9 x 2 s.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 2

# libcurl errors that occur only before the request is sent.
_CONNECT_ERRORS = frozenset(
    (
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_INTERFACE_FAILED,
    )
)


class Exchange:
    """One request and its response, which can be read as it arrives.

    Created by `ExchangeClient.open_exchange`. Only one task may read it. If it
    stops before the end it must call `cancel`; otherwise the transfer stays open.
    """

    __slots__ = (
        "_buffered",
        "_curl",
        "_end",
        "_fields",
        "_head",
        "_head_error",
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
        self._head_error = ""
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

    @property
    def is_paused(self) -> bool:
        """Whether receiving is paused until the buffered data has been read."""
        return self._is_paused

    async def head(self) -> ResponseHead | End:
        """Wait for the response head.

        Returns
        -------
        ResponseHead or End
            The head, or the end if the exchange ended without one.
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
            # libcurl delivers the data it held back during this call. The call
            # raises an error if the transfer has failed; the exchange ends then.
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
        """Close the connection, which the peer notices immediately.

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
        # libcurl lets the progress callback abort a transfer. Changing the
        # pause state makes libcurl process the transfer and call it.
        self._curl.setopt(pycurl.XFERINFOFUNCTION, _abort_transfer)
        self._curl.setopt(pycurl.NOPROGRESS, False)
        # Before the connection is established libcurl rejects the pause, but
        # calls the callback anyway.
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

    def prepare(self, curl: pycurl.Curl, reuses_connection: bool) -> None:
        """Set the libcurl options that Tornado has no argument for.

        Parameters
        ----------
        curl : pycurl.Curl
            Handle on which Tornado is about to send the request.
        reuses_connection : bool
            Whether a kept connection may be used, and libcurl may therefore
            repeat the request.
        """
        self._curl = curl
        # Tornado's own callbacks pass each line and chunk through the queue of
        # the event loop, which costs a system call for each.
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_data)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        # An empty name disables a proxy that environment variables configure.
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TCP_KEEPALIVE, True)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        if reuses_connection:
            return
        # libcurl repeats a request when a reused connection closes without a
        # response, but never on a fresh connection.
        curl.setopt(pycurl.FRESH_CONNECT, True)
        curl.setopt(pycurl.FORBID_REUSE, True)
        # A body that cannot be rewound cannot be sent twice.
        curl.setopt(pycurl.SEEKFUNCTION, _refuse_rewind)

    def fail_unsent(self, detail: str) -> None:
        """End an exchange whose request could not be sent."""
        self._end = NotConnected(detail)

    def _on_connected(self, *addresses: object) -> int:
        if self._is_cancelled:
            return int(pycurl.PREREQFUNC_ABORT)
        self._is_connected = True
        return int(pycurl.PREREQFUNC_OK)

    def _on_header_line(self, raw: bytes) -> int | None:
        if self._head is not None:
            return None  # A trailer of a chunked message.
        if not raw.endswith(b"\n"):
            # The connection closed within this line. libcurl passes it on, and
            # treats a lone "\r" as the end of the head of an empty response.
            return None
        line = raw.decode("latin-1").rstrip("\r\n")
        try:
            self._add_head_line(line)
        except HTTPInputError as error:
            self._head_error = str(error)
            return -1
        return None

    def _add_head_line(self, line: str) -> None:
        if not self._start_line:
            self._start_line = line
            return
        if line:
            self._fields.parse_line(line)
            return
        # The reason phrase and the space before it are often missing.
        status = parse_response_start_line(self._start_line + " ").code
        if status >= 200:
            self._head = ResponseHead(status, self._fields)
            self._wake()
            return
        # An interim response (1xx): the final head follows.
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

    def finish(self, future: "Future[HTTPResponse]") -> None:
        """Record how the exchange ended, once Tornado is done with the handle.

        Parameters
        ----------
        future : Future of HTTPResponse
            Result of Tornado's client.
        """
        self._curl = None
        # Statuses of 400 and above are not errors, because `raise_error` is off.
        error = future.exception()
        if self._end is not None:
            return
        self._end = (
            self._end_from_response() if error is None else self._end_from_error(error)
        )
        self._wake()

    def _end_from_response(self) -> End:
        if self._head is None:
            return LostBeforeHead("the response has no valid head")
        has_no_body = self._head.status in (204, 304)
        fields = self._head.headers
        is_delimited = "Content-Length" in fields or "Transfer-Encoding" in fields
        return Complete(is_delimited or has_no_body)

    def _end_from_error(self, error: BaseException) -> End:
        if not isinstance(error, CurlError):
            # Tornado rejected the request itself, for example an illegal header.
            return NotConnected(repr(error))
        detail = f"{error.message} (libcurl error {error.errno})"
        if self._head_error:
            detail = f"malformed response head: {self._head_error}"
        if self._head is not None:
            return Cut(detail)
        if error.errno in _CONNECT_ERRORS or not self._is_connected:
            return NotConnected(detail, error.errno == pycurl.E_COULDNT_CONNECT)
        return LostBeforeHead(detail)


def _abort_transfer(*progress: float) -> int:
    return 1


def _refuse_rewind(offset: int, origin: int) -> int:
    return int(pycurl.SEEKFUNC_FAIL)
