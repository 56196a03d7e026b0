"""HTTP client of the platform's log."""

from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import pycurl
from returns.result import Failure, Result, Success
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from ..undecodable import UNDECODABLE
from .records import LogBatch, LogFailure, LogFault, LogRecord, as_object

CONTENT_TYPE = "application/vnd.kafka.json.v2+json"
ACCEPT = "application/vnd.kafka.v2+json"
MAX_CLIENTS = 32

# libcurl errors that occur before any byte of the request is sent.
_NOT_SENT_ERRORS = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_URL_MALFORMAT,
    )
)
# Statuses with which the log reports that it did not store the record.
_REJECTION_STATUSES = frozenset((400, 401, 403, 404, 413, 415, 422, 429, 503))


class _AppendedOffset(msgspec.Struct):
    offset: int


class _AppendResponse(msgspec.Struct):
    offsets: tuple[_AppendedOffset, ...]


class _WireRecord(msgspec.Struct):
    offset: int
    timestamp: int
    value: Any


class _ExpiredOffsetResponse(msgspec.Struct):
    first_offset: int


class _CurlClient(CurlAsyncHTTPClient):
    """Ignores the timer that libcurl sets while the client is closed.

    If a long poll is in flight, tornado 6.6 runs this timer after the close and
    logs an AttributeError.
    """

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


class HttpLogClient:
    """`LogClient` that uses the produce and fetch calls of Kafka REST Proxy v2.

    It never retries: after a lost response the record may have been appended,
    and only the caller knows whether a duplicate does harm.

    Parameters
    ----------
    address : str
        ``host:port`` of the log service.
    connect_timeout_s : float, default=1.0
        Time limit for establishing a connection.
    timeout_s : float, default=5.0
        Time limit for an append; for a read, `max_wait_s` is added to it.

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
            Value to store; must be encodable as JSON.

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
            appended = msgspec.json.decode(response.body, type=_AppendResponse)
            return Success(appended.offsets[0].offset)
        except (*UNDECODABLE, IndexError) as error:
            detail = f"malformed response to an append: {error}"
            return Failure(LogFailure(LogFault.UNANSWERED, detail))

    async def read(
        self, topic: str, offset: int, max_wait_s: float
    ) -> Result[LogBatch, LogFailure]:
        """Read records, starting at `offset`.

        Parameters
        ----------
        topic : str
            Name of the topic.
        offset : int
            Offset of the first record to read.
        max_wait_s : float
            How long the log may wait for a new record if there is none, in
            seconds.

        Returns
        -------
        Result of LogBatch, LogFailure
            If retention has deleted the record at `offset`, the batch starts
            at the first record that is left, and `n_expired` is the number of
            records before it that are missing.
        """
        response = await self._read_once(topic, offset, max_wait_s)
        n_expired = 0
        if response.code == 404:
            try:
                first = msgspec.json.decode(response.body, type=_ExpiredOffsetResponse)
            except UNDECODABLE:
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
        except UNDECODABLE as error:
            detail = f"malformed response to a read: {error}"
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
            # Connection errors are raised even with raise_error=False.
            return HTTPResponse(request, error.code, error=error)


def _use_new_connection(curl: Any) -> None:
    # libcurl resends a POST if a reused connection is closed without a response.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _allow_reuse(curl: Any) -> None:
    # tornado reuses curl handles with the options that were set on them before.
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)


def _failure_of(response: HTTPResponse) -> LogFailure:
    """Classify a failed call by whether it may have taken effect."""
    if response.code in _REJECTION_STATUSES:
        return LogFailure(LogFault.REFUSED, f"HTTP status {response.code}")
    errno = getattr(response.error, "errno", None)
    fault = LogFault.REFUSED if errno in _NOT_SENT_ERRORS else LogFault.UNANSWERED
    return LogFailure(fault, str(response.error))
