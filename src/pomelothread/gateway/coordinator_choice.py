"""Finds the gateway that coordinates the permits of an upstream."""

from ..addresses import Address, parse_address
from ..clock import Clock
from ..policy.coordinators import (
    RelayChoice,
    Steadiness,
    choose_coordinator,
    home_cell,
)
from .peers import FORGET_AFTER_S, PeerTable


class CoordinatorChoice:
    """Chooses coordinators by what is heard of the other gateways.

    Parameters
    ----------
    peers : PeerTable
        The other gateways.
    clock : Clock
        Source of time; it includes the time in which the machine is suspended.
    """

    def __init__(self, peers: PeerTable, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._steadiness = Steadiness(self._started_s)
        self.relays = RelayChoice()
        self.is_draining = False

    @property
    def own_address(self) -> Address:
        """Address of this gateway."""
        return self._peers.own_address

    @property
    def share(self) -> float:
        """Share of a limit that this gateway may issue as a coordinator."""
        return self._steadiness.share

    @property
    def n_heard(self) -> int:
        """Number of gateways that are heard, and this one."""
        return len(self._peers) + 1

    def update(self) -> None:
        """Note the time, and how many gateways are heard."""
        now_s = self._clock.monotonic_s()
        # Seeds that have not sent a message for long do not exist any more.
        counts_unheard = now_s - self._started_s < FORGET_AFTER_S
        n_heard, n_known = self._peers.count_own_cell(counts_unheard)
        self._steadiness.update(n_heard, n_known, now_s)

    def steady_s(self) -> float:
        """Return the seconds for which this gateway has been fit to coordinate."""
        self.update()
        if self.is_draining:
            return 0.0
        return self._steadiness.steady_s(self._clock.monotonic_s())

    def settles_in_s(self) -> float:
        """Return the seconds until this gateway may coordinate."""
        return self._steadiness.settles_in_s(self._clock.monotonic_s())

    def interrupt(self) -> None:
        """Stop coordinating until the other gateways know this one again."""
        self._steadiness.interrupt(self._clock.monotonic_s())

    def is_own(self, upstream_id: str) -> bool:
        """Return whether this gateway coordinates an upstream."""
        return self.find(upstream_id) == self.own_address

    def find(self, upstream_id: str) -> Address | None:
        """Return the gateway to ask for permits of an upstream.

        Returns
        -------
        Address or None
            The coordinator if its cell is the own one, otherwise a gateway of its
            cell. None if no gateway is fit to coordinate.
        """
        now_s = self._clock.monotonic_s()
        home = home_cell(upstream_id, self._peers.n_cells)
        if home != self._peers.cell:
            names = map(str, self._peers.alive_in(home))
            relay = self.relays.choose(upstream_id, names, now_s)
            return parse_address(relay) if relay is not None else None
        gateways = [] if self._steadiness.is_isolated else self._peers.settled()
        is_needed = not gateways or not self.is_draining
        if is_needed and self._steadiness.is_settled(now_s):
            gateways.append(self.own_address)
        chosen = choose_coordinator(upstream_id, map(str, gateways))
        return parse_address(chosen) if chosen is not None else None
