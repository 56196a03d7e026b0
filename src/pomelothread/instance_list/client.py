"""Client for the instance list in Prometheus HTTP service discovery format."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from ..clock import Clock
from ..peers.http_exchange import ExchangeClient, ResponseHead
from ..undecodable import UNDECODABLE
from .membership import LEAVING, LIVE, Instance, Membership

POLL_PERIOD_S = 1.0
TIMEOUT_S = 2.0
MAX_LIST_BYTES = 8_388_608


class _TargetGroup(msgspec.Struct):
    targets: list[str]
    labels: dict[str, str] = {}


_decoder = msgspec.json.Decoder(list[_TargetGroup])


class InstanceListClient:
    """Fetches the list over a kept connection, since a GET may be repeated.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service that provides the list.
    """

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/instances"
        self._client = ExchangeClient(max_exchanges=2)
        self._etag = ""

    async def fetch(self) -> Result[Membership | None, str]:
        """Fetch the list.

        Returns
        -------
        Result of Membership or None, or str
            None if the list has not changed since the last fetch. The failure
            describes the error.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        exchange = self._client.open_exchange(
            "GET",
            self._url,
            headers,
            connect_timeout_s=TIMEOUT_S,
            total_timeout_s=TIMEOUT_S,
            reuses_connection=True,
        )
        head = await exchange.head()
        if not isinstance(head, ResponseHead):
            return Failure(str(head))
        body = await exchange.read_whole(MAX_LIST_BYTES)
        if head.status == 304:
            return Success(None)
        if head.status != 200:
            return Failure(f"status {head.status}")
        if not isinstance(body, bytes):
            return Failure(str(body))
        result = parse_instances(body)
        if isinstance(result, Success):
            self._etag = head.headers.get("Etag", "")
        return result

    def close(self) -> None:
        """Close the connection."""
        self._client.close()


def parse_instances(body: bytes) -> Result[Membership | None, str]:
    """Parse the JSON of the list.

    Parameters
    ----------
    body : bytes
        A list of target groups.

    Returns
    -------
    Result of Membership or str
        Groups without an instance name or a target are left out. A state that
        is neither live nor leaving counts as leaving: work sent to an instance
        in an unknown state could be lost.

    Examples
    --------
    >>> parse_instances(b"[").failure()
    'malformed: Input data was truncated'
    """
    try:
        groups = _decoder.decode(body)
    except UNDECODABLE as error:
        return Failure(f"malformed: {error}")
    instances = [
        _parse_target_group(group)
        for group in groups
        if group.targets and group.labels.get("instance")
    ]
    return Success(Membership(tuple(instances)))


def _parse_target_group(group: _TargetGroup) -> Instance:
    labels = group.labels
    return Instance(
        name=labels["instance"],
        role=labels.get("role", ""),
        state=LIVE if labels.get("state", LIVE) == LIVE else LEAVING,
        http_address=group.targets[0],
        control_address=labels.get("control", ""),
        failure_domain=labels.get("failure_domain", ""),
        region=labels.get("region", ""),
        pool=labels.get("pool", ""),
    )


def _ignore_outage(fault: str) -> None:
    return None


async def follow_instances(
    client: InstanceListClient,
    clock: Clock,
    on_change: Callable[[Membership], None],
    on_outage: Callable[[str], None] = _ignore_outage,
) -> None:
    """Poll the list until the task is cancelled.

    Parameters
    ----------
    client : InstanceListClient
        Client for the list.
    clock : Clock
        Clock for the poll period.
    on_change : callable
        Called with each new copy. It is not called during an outage, so that
        the last copy stays in use.
    on_outage : callable, optional
        Called with a description of the error when the list becomes unreachable
        or malformed, and with "" when the outage ends.
    """
    is_unreachable = False
    while True:
        match await client.fetch():
            case Success(membership):
                if is_unreachable:
                    is_unreachable = False
                    on_outage("")
                if membership is not None:
                    on_change(membership)
            case Failure(fault):
                if not is_unreachable:
                    is_unreachable = True
                    on_outage(fault)
        await clock.sleep(POLL_PERIOD_S)
