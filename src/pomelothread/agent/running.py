"""A request at the upstream, and how its dispatch can end."""

from dataclasses import dataclass
from typing import Protocol

from ..outcomes import NotKnown, NotRun, Run
from ..peers.dispatch import Dispatch
from ..peers.http_exchange import Exchange
from ..peers.messages import Offer
from .places import Place


class DispatchSink(Protocol):
    """Where the answer to an entry's POST goes."""

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of the upstream's response."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send part of the body."""
        ...

    def finish(self) -> None:
        """End the response; everything was sent."""
        ...

    def abort(self) -> None:
        """Close without a proper end."""
        ...


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """Nothing was sent to the upstream, and this POST never will be.

    Parameters
    ----------
    reason : str
        One of the constants of `pomelothread.peers.dispatch`.
    """

    reason: str


# None means that the sink has been given a response.
DispatchOutcome = Run | NotRun | NotKnown | NotDispatched | None


@dataclass(slots=True)
class RunningRequest:
    """A request at the upstream.

    Parameters
    ----------
    place : Place
        What it holds until it has ended.
    dispatch : Dispatch
        What the entry asked for.
    fingerprint : str
        Identifies its content.
    ran_alone : bool
        Whether no other request ran at any time while it did.
    exchange : Exchange or None
        With the upstream, once it is open.
    entry_left : bool
        Whether the entry closed its connection.
    started_at_s : float
        Monotonic time at which it was sent, or taken before that.
    deadline_at_s : float
        Monotonic time of the caller's deadline.
    prefill_until_s : float
        Monotonic time by which its first token is expected, and 0 from then on
        when it has come.
    """

    place: Place
    dispatch: Dispatch
    fingerprint: str
    ran_alone: bool
    exchange: Exchange | None = None
    entry_left: bool = False
    started_at_s: float = 0.0
    deadline_at_s: float = 0.0
    prefill_until_s: float = 0.0

    @property
    def offer(self) -> Offer:
        """The offer that the place was granted for."""
        return self.place.offer
