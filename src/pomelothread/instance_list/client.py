"""Reading the instance list in Prometheus HTTP service discovery format."""

import logging
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from ..clock import Clock
from ..events import Event, log_event
from .membership import Instance, Membership

_logger = logging.getLogger(__name__)

POLL_S = 1.0
TIMEOUT_S = 2.0


class _TargetGroup(msgspec.Struct):
    targets: list[str]
    labels: dict[str, str] = {}


_decoder = msgspec.json.Decoder(list[_TargetGroup])


class InstanceListClient:
    """Fetches the list; a GET may be repeated, so connections are kept.

    Parameters
    ----------
    address : str
        ``ip:port`` of the list.
    """

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/instances"
        self._client = CurlAsyncHTTPClient(force_instance=True)
        self._etag = ""

    async def fetch(self) -> Result[Membership | None, str]:
        """Return the list.

        Returns
        -------
        Result of Membership or None, or str
            None if it has not changed; the failure is a sentence.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        request = HTTPRequest(
            self._url,
            headers=headers,
            connect_timeout=TIMEOUT_S,
            request_timeout=TIMEOUT_S,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            return Failure(str(error))
        if response.code == 304:
            return Success(None)
        if response.code != 200:
            return Failure(f"status {response.code}")
        result = parse_instances(response.body)
        if isinstance(result, Success):
            self._etag = response.headers.get("Etag", "")
        return result


def parse_instances(body: bytes) -> Result[Membership | None, str]:
    """Parse the JSON of the list.

    Parameters
    ----------
    body : bytes
        A list of target groups.

    Returns
    -------
    Result of Membership or str
        Groups without an instance name or a target are left out.
    """
    try:
        groups = _decoder.decode(body)
    except msgspec.DecodeError as error:
        return Failure(f"malformed: {error}")
    return Success(
        Membership(
            tuple(
                Instance(
                    name=group.labels["instance"],
                    role=group.labels.get("role", ""),
                    state=group.labels.get("state", "live"),
                    http_address=group.targets[0],
                    control_address=group.labels.get("control", ""),
                    failure_domain=group.labels.get("failure_domain", ""),
                    region=group.labels.get("region", ""),
                    pool=group.labels.get("pool", ""),
                )
                for group in groups
                if group.targets and group.labels.get("instance")
            )
        )
    )


async def follow_instances(
    client: InstanceListClient, clock: Clock, on_change: Callable[[Membership], None]
) -> None:
    """Poll the list for ever.

    Parameters
    ----------
    client : InstanceListClient
        The list.
    clock : Clock
        For the period.
    on_change : callable
        Called with each new copy.
    """
    failed_at_s: float | None = None
    while True:
        match await client.fetch():
            case Success(membership):
                if failed_at_s is not None:
                    outage_s = round(clock.monotonic_s() - failed_at_s, 1)
                    log_event(_logger, Event.LIST_BACK, outage_s=outage_s)
                    failed_at_s = None
                if membership is not None:
                    on_change(membership)
            case Failure(detail):
                if failed_at_s is None:
                    failed_at_s = clock.monotonic_s()
                    log_event(_logger, Event.LIST_UNREACHABLE, detail=detail)
        await clock.sleep(POLL_S)
