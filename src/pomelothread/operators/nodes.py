"""Asking running processes which sheet they hold."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

STATUS_PATH = "/control/status"
MAX_CLIENTS = 50


class NodeStatus(msgspec.Struct, frozen=True):
    """Answer of a process to ``GET /control/status``."""

    instance: str
    role: str
    sheet_version: int
    sheet_digest: str
    state: str


@dataclass(frozen=True, slots=True)
class AskedNode:
    """A node's address and its answer, or why there is none."""

    address: str
    answer: Result[NodeStatus, str]


async def ask_nodes(addresses: Sequence[str], timeout_s: float) -> list[AskedNode]:
    """Ask nodes for their status, all at once.

    Parameters
    ----------
    addresses : sequence of str
        ``ip:port`` of each node's HTTP address.
    timeout_s : float
        Limit for each answer, in seconds.

    Returns
    -------
    list of AskedNode
        In the order of `addresses`.
    """
    http = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def ask(address: str) -> AskedNode:
        request = HTTPRequest(
            f"http://{address}{STATUS_PATH}",
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            response = await http.fetch(request, raise_error=False)
        except (HTTPClientError, ValueError) as error:
            return AskedNode(address, Failure(str(error)))
        if response.code != 200:
            return AskedNode(address, Failure(str(response.error)))
        try:
            status = msgspec.json.decode(response.body, type=NodeStatus)
        except msgspec.MsgspecError as error:
            return AskedNode(address, Failure(f"malformed answer: {error}"))
        return AskedNode(address, Success(status))

    try:
        return await asyncio.gather(*(ask(address) for address in addresses))
    finally:
        http.close()
