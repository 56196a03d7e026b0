"""Client for the status of running processes, with the sheet that they hold."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from ..undecodable import UNDECODABLE

STATUS_PATH = "/control/status"
MAX_CLIENTS = 50


class NodeStatus(msgspec.Struct, frozen=True):
    """Response of a process to ``GET /control/status``."""

    instance: str
    role: str
    sheet_version: int
    sheet_digest: str
    state: str


@dataclass(frozen=True, slots=True)
class NodeResult:
    """A node's address and its status, or the reason why there is none."""

    address: str
    status: Result[NodeStatus, str]


async def fetch_statuses(
    addresses: Sequence[str], timeout_s: float
) -> list[NodeResult]:
    """Fetch the status of several nodes concurrently.

    Parameters
    ----------
    addresses : sequence of str
        ``ip:port`` of each node's HTTP address.
    timeout_s : float
        Timeout of each request, in seconds.

    Returns
    -------
    list of NodeResult
        In the order of `addresses`.
    """
    http = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def fetch_status(address: str) -> NodeResult:
        request = HTTPRequest(
            f"http://{address}{STATUS_PATH}",
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            response = await http.fetch(request, raise_error=False)
        except (HTTPClientError, ValueError) as error:
            return NodeResult(address, Failure(str(error)))
        if response.code != 200:
            return NodeResult(address, Failure(str(response.error)))
        try:
            status = msgspec.json.decode(response.body, type=NodeStatus)
        except UNDECODABLE as error:
            return NodeResult(address, Failure(f"malformed response: {error}"))
        return NodeResult(address, Success(status))

    try:
        return await asyncio.gather(*(fetch_status(address) for address in addresses))
    finally:
        http.close()
