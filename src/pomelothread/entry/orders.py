"""Looks up the outcome of an order at the agents of its pool."""

from collections.abc import Sequence
from urllib.parse import quote

from ..operators.sheet import Service
from ..outcomes import NotKnown, NotRun, Reason, Run
from ..peers.dispatch import (
    MAX_ORDER_LOOKUP_BYTES,
    NOT_KNOWN,
    NOT_RUN,
    OUTCOME_HEADER,
    REASON_HEADER,
    RUN,
    order_path,
)
from ..peers.headers import end_to_end_headers
from ..peers.http_exchange import ExchangeClient, ResponseHead
from ..policy.routing import AgentView

LOOKUP_TIMEOUT_S = 5.0
RETRY_AFTER_S = 2.0


async def look_up_order_outcome(
    client: ExchangeClient,
    agents: Sequence[AgentView],
    organisation: str,
    service: Service,
    key: str,
) -> Run | NotRun | NotKnown:
    """Ask the agents of a pool one after another until one knows the outcome.

    All agents read the same log, but each can query only its own upstream about an
    order whose answer was lost. So if one agent reports a lost answer, the next is
    asked.

    Parameters
    ----------
    client : ExchangeClient
        HTTP client for the lookups.
    agents : sequence of AgentView
        Agents of the service's pool; each knows all orders of the pool.
    organisation : str
        The organisation that sent the order.
    service : Service
        The service that it was sent to.
    key : str
        The idempotency key.

    Returns
    -------
    Run, NotRun or NotKnown
        The stored response, or what is known about the order. `NotRun` with
        `UNKNOWN_KEY` means that no order with this key has been seen.
    """
    path = order_path(service.name, key)
    query = f"organisation={quote(organisation, safe='')}"
    detail = "No agent of the service's pool could be asked."
    not_known = NotKnown(Reason.NO_UPSTREAM, detail, path)
    for agent in agents:
        exchange = client.open_exchange(
            "GET",
            f"http://{agent.http_address}{path}?{query}",
            {},
            total_timeout_s=LOOKUP_TIMEOUT_S,
        )
        head = await exchange.head()
        if not isinstance(head, ResponseHead):
            continue
        body = await exchange.read_whole(MAX_ORDER_LOOKUP_BYTES)
        if not isinstance(body, bytes):
            continue
        reason = _parse_reason(head.headers.get(REASON_HEADER, ""))
        match head.headers.get(OUTCOME_HEADER):
            case value if value == RUN:
                headers = tuple(end_to_end_headers(head.headers.get_all()))
                return Run(head.status, headers, body, replayed=True)
            case value if value == NOT_RUN:
                retry_after_s = RETRY_AFTER_S if reason != Reason.UNKNOWN_KEY else None
                return NotRun(reason, "", retry_after_s)
            case value if value == NOT_KNOWN:
                not_known = NotKnown(reason, "The order may have run.", path)
                if reason != Reason.ANSWER_LOST:
                    return not_known
            case _:
                continue
    return not_known


def _parse_reason(name: str) -> Reason:
    for reason in Reason:
        if reason.value[0] == name:
            return reason
    return Reason.ANSWER_LOST
