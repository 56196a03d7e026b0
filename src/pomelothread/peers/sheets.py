"""Fetches the sheet from peers while the log cannot be read."""

import random
from collections.abc import Callable, Sequence

from ..clock import Clock
from ..operators.changes import SheetChange
from ..operators.replication import SheetReplica
from .http_exchange import ExchangeClient, ResponseHead

POLL_PERIOD_S = 1.0
REQUEST_TIMEOUT_S = 3.0
MAX_SHEET_BYTES = 64 * 1024 * 1024
# All peers hold the same sheet within seconds, so a few are enough: of three,
# one may be outdated and another one down.
MAX_PEERS_PER_ROUND = 3


async def adopt_from_peers(
    replica: SheetReplica,
    client: ExchangeClient,
    clock: Clock,
    peer_addresses: Callable[[], Sequence[str]],
    is_needed: Callable[[], bool],
    on_change: Callable[[SheetChange], None],
) -> None:
    """Fetch the sheet from peers as long as the log cannot be read.

    Parameters
    ----------
    replica : SheetReplica
        Adopts a snapshot only if its version is higher than the one it holds.
    client : ExchangeClient
        Client for the HTTP requests.
    clock : Clock
        Clock for the delay between rounds.
    peer_addresses : callable
        Returns the HTTP addresses of the peers in the instance list.
    is_needed : callable
        Returns whether the log is unreachable or not yet read to its end.
    on_change : callable
        Called with each `SheetChange`.
    """
    while True:
        await clock.sleep(POLL_PERIOD_S)
        if not is_needed():
            continue
        addresses = list(peer_addresses())
        random.shuffle(addresses)
        for address in addresses[:MAX_PEERS_PER_ROUND]:
            exchange = client.open_exchange(
                "GET",
                f"http://{address}/control/sheet",
                {},
                total_timeout_s=REQUEST_TIMEOUT_S,
            )
            head = await exchange.head()
            if not isinstance(head, ResponseHead) or head.status != 200:
                exchange.cancel()
                continue
            body = await exchange.read_whole(MAX_SHEET_BYTES)
            if not isinstance(body, bytes):
                continue
            change = replica.adopt(body)
            if change is not None:
                on_change(change)
