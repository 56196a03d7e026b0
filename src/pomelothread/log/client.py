"""Client of the platform's log over HTTP."""

from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import pycurl
from returns.result import Failure, Result, Success
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from .records import LogBatch, LogFailure, LogFault, LogRecord, as_object

CONTENT_TYPE = "application/vnd.kafka.json.v2+json"
ACCEPT = "application/vnd.kafka.v2+json"
MAX_CLIENTS = 32

# Errors of libcurl that end a call before a byte of the request is sent.
_NOTHING_SENT = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_URL_MALFORMAT,
    )
)
# Answers by which the log says that it did not take the append.
_REFUSING_STATUSES = frozenset((400, 401, 403, 404, 413, 415, 422, 429, 503))


class _AppendedOffset(msgspec.Struct):
    offset: int


class _AppendAnswer(msgspec.Struct):
    offsets: tuple[_AppendedOffset, ...]


class _WireRecord(msgspec.Struct):
    offset: int
    timestamp: int
    value: Any


class _DeletedAnswer(msgspec.Struct):
    first_offset: int


class _CurlClient(CurlAsyncHTTPClient):
    """Ignores the timer that libcurl sets while it is being closed.

    tornado 6.6 runs it after the close and logs an AttributeError if a long
    poll was under way.
    """

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


class HttpLogClient:
    """`LogClient` over the Kafka REST Proxy v2 produce and fetch calls.

    It never retries: after a lost answer the append may have taken effect,
    and only the caller knows whether a second record does harm.

    Parameters
    ----------
    address : str
        ``host:port`` of the log service.
    connect_timeout_s : float, default=1.0
        Limit for establishing a connection.
    timeout_s : float, default=5.0
        Limit for an append, and for a read in addition to its `max_wait_s`.

    Raises
    ------
    ValueError
        If a timeout is not positive.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float = 1.0,
        timeout_s: float = 5.0,
    ) -> None:
        for name, value in (
            ("connect_timeout_s", connect_timeout_s),
            ("timeout_s", timeout_s),
        ):
            if value <= 0:
                raise ValueError(f"{name}={value} must be a positive number of seconds")
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._timeout_s = timeout_s
        self._http = _CurlClient(force_instance=True, max_clients=MAX_CLIENTS)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def append(
        self, topic: str, value: dict[str, Any]
    ) -> Result[int, LogFailure]:
        """Append one record.

        Parameters
        ----------
        topic : str
            Name of the topic.
        value : dict
            What to store; must be encodable as JSON.

        Returns
        -------
        Result of int, LogFailure
            The offset. `LogFault.UNANSWERED` means that the record may be on
            the log or may still reach it.
        """
        request = HTTPRequest(
            f"http://{self._address}/topics/{quote(topic)}",
            method="POST",
            headers={"Content-Type": CONTENT_TYPE, "Accept": ACCEPT},
            body=msgspec.json.encode({"records": [{"value": value}]}),
            follow_redirects=False,
            connect_timeout=self._connect_timeout_s,
            request_timeout=self._timeout_s,
            prepare_curl_callback=_use_new_connection,
        )
        response = await self._fetch(request)
        if response.code != 200:
            return Failure(_failure_of(response))
        try:
            answer = msgspec.json.decode(response.body, type=_AppendAnswer)
            return Success(answer.offsets[0].offset)
        except (msgspec.MsgspecError, IndexError) as error:
            detail = f"malformed answer to an append: {error}"
            return Failure(LogFailure(LogFault.UNANSWERED, detail))

    async def read(
        self, topic: str, offset: int, max_wait_s: float
    ) -> Result[LogBatch, LogFailure]:
        """Read records from `offset` on.

        Parameters
        ----------
        topic : str
            Name of the topic.
        offset : int
            First offset wanted.
        max_wait_s : float
            How long the log may wait for a record if there is none, in
            seconds.

        Returns
        -------
        Result of LogBatch, LogFailure
            If retention has deleted `offset`, the batch starts at the first
            record that is left, and `n_expired` says how many are missing.
        """
        response = await self._read_once(topic, offset, max_wait_s)
        n_expired = 0
        if response.code == 404:
            try:
                first = msgspec.json.decode(response.body, type=_DeletedAnswer)
            except msgspec.MsgspecError:
                return Failure(_failure_of(response))
            n_expired = first.first_offset - offset
            offset = first.first_offset
            response = await self._read_once(topic, offset, 0.0)
            if response.code == 404:
                return Success(LogBatch((), offset, n_expired))
        if response.code != 200:
            return Failure(_failure_of(response))
        try:
            wire = msgspec.json.decode(response.body, type=tuple[_WireRecord, ...])
        except msgspec.MsgspecError as error:
            detail = f"malformed answer to a read: {error}"
            return Failure(LogFailure(LogFault.UNANSWERED, detail))
        records = tuple(
            LogRecord(
                topic,
                record.offset,
                datetime.fromtimestamp(record.timestamp / 1000, UTC),
                as_object(record.value),
            )
            for record in wire
        )
        next_offset = records[-1].offset + 1 if records else offset
        return Success(LogBatch(records, next_offset, n_expired))

    async def _read_once(
        self, topic: str, offset: int, max_wait_s: float
    ) -> HTTPResponse:
        query = urlencode({"offset": offset, "max_wait_ms": round(max_wait_s * 1000)})
        request = HTTPRequest(
            f"http://{self._address}/topics/{quote(topic)}/partitions/0/records?{query}",
            headers={"Accept": ACCEPT},
            follow_redirects=False,
            connect_timeout=self._connect_timeout_s,
            request_timeout=self._timeout_s + max_wait_s,
            prepare_curl_callback=_allow_reuse,
        )
        return await self._fetch(request)

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        try:
            return await self._http.fetch(request, raise_error=False)
        except HTTPClientError as error:
            # Errors of the connection are raised in spite of raise_error=False.
            return HTTPResponse(request, error.code, error=error)


def _use_new_connection(curl: Any) -> None:
    # libcurl sends a POST again if a reused connection closes unanswered.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _allow_reuse(curl: Any) -> None:
    # tornado keeps the options of a handle for the next request on it.
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)


def _failure_of(response: HTTPResponse) -> LogFailure:
    """Say whether a failed call certainly had no effect."""
    if response.code in _REFUSING_STATUSES:
        return LogFailure(LogFault.REFUSED, f"HTTP status {response.code}")
    errno = getattr(response.error, "errno", None)
    fault = LogFault.REFUSED if errno in _NOTHING_SENT else LogFault.UNANSWERED
    return LogFailure(fault, str(response.error))
