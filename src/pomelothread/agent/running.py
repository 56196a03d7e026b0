"""A request running at the upstream, and the possible results of a dispatch."""

from dataclasses import dataclass
from typing import Protocol

from ..outcomes import NotKnown, NotRun, Run
from ..peers.dispatch import Dispatch
from ..peers.http_exchange import Exchange
from ..peers.messages import Offer
from .places import Place


class DispatchSink(Protocol):
    """Receives the response to an entry's POST."""

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of the upstream's response."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send part of the body."""
        ...

    def finish(self) -> None:
        """End a response that was sent completely."""
        ...

    def abort(self) -> None:
        """Close the connection without completing the response."""
        ...


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """Nothing was sent to the upstream, and nothing will be for this POST.

    Parameters
    ----------
    reason : str
        One of the constants of `pomelothread.peers.dispatch`.
    """

    reason: str


# None means that the response was written to the sink.
DispatchOutcome = Run | NotRun | NotKnown | NotDispatched | None


@dataclass(slots=True)
class RunningRequest:
    """A request running at the upstream.

    Parameters
    ----------
    place : Place
        The place that it holds until it ends.
    dispatch : Dispatch
        The request as sent by the entry.
    fingerprint : str
        Digest that identifies its content.
    ran_alone : bool
        Whether no other request has been running at the same time.
    exchange : Exchange or None
        The HTTP exchange with the upstream, once it is open.
    entry_disconnected : bool
        Whether the entry closed its connection.
    started_at_s : float
        Monotonic time at which it was sent; before that, at which its grant was
        used.
    deadline_at_s : float
        Monotonic time of the caller's deadline.
    prefill_until_s : float
        Monotonic time by which its first token is expected; 0 once the first
        token has arrived.
    """

    place: Place
    dispatch: Dispatch
    fingerprint: str
    ran_alone: bool
    exchange: Exchange | None = None
    entry_disconnected: bool = False
    started_at_s: float = 0.0
    deadline_at_s: float = 0.0
    prefill_until_s: float = 0.0

    @property
    def offer(self) -> Offer:
        """The offer that the place was granted for."""
        return self.place.offer
