"""HTTP exchanges that are sent at most once, over Tornado's curl client.

An exchange yields its response head, then chunks of the body, then its end. The
end tells how much is known about a request without a complete response.
"""

from collections.abc import Mapping

from tornado.concurrent import Future
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, HTTPInputError

from .exchange import Exchange
from .exchange_ends import (
    Cancelled,
    Complete,
    Cut,
    End,
    LostBeforeHead,
    NotConnected,
    ResponseHead,
)

__all__ = [
    "Cancelled",
    "Complete",
    "Cut",
    "End",
    "Exchange",
    "ExchangeClient",
    "LostBeforeHead",
    "NotConnected",
    "ResponseHead",
]

CONNECT_TIMEOUT_S = 1.0

# Tornado fails a streamed response that exceeds this total. Its default of
# 100 MiB is meant for buffered responses; streams are not accumulated here.
MAX_STREAMED_BYTES = 1 << 40

METHODS_WITH_BODY = ("POST", "PUT", "PATCH")


class ExchangeClient:
    """Opens exchanges in the running event loop.

    Parameters
    ----------
    max_exchanges : int
        Maximum number of open exchanges; further ones end immediately as
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
        """Number of exchanges that have not ended."""
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
            exchange.fail_unsent(
                f"the limit of {self._n_open} open exchanges is reached"
            )
            return exchange
        fields = HTTPHeaders(headers)
        # An empty value keeps libcurl from adding a content type of its own.
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
            prepare_curl_callback=lambda curl: exchange.prepare(
                curl, reuses_connection
            ),
        )
        try:
            future = self._client.fetch(request, raise_error=False)
        except HTTPInputError as error:
            exchange.fail_unsent(f"the request is malformed: {error}")
            return exchange
        self._n_open += 1
        future.add_done_callback(exchange.finish)
        future.add_done_callback(self._on_exchange_done)
        return exchange

    def _on_exchange_done(self, future: "Future[HTTPResponse]") -> None:
        self._n_open -= 1

    def close(self) -> None:
        """Close all connections and free the curl handles."""
        self._client.close()
