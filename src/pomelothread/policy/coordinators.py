"""Decides which gateway coordinates the permits of an upstream.

All gateways choose the same coordinator from what they hear of each other, without an
election. Two of them may issue permits for the same upstream only for the short time in
which their views differ, so a gateway takes part only if it has been running and in
touch without interruption for longer than views differ. One that hears no majority of
the gateways may be cut off: it issues only a share of the limit, and only to itself.

Load: fleets of one to hundreds of gateways that restart, freeze and lose each other
while upstreams name limits.
"""

from collections.abc import Iterable

from .cells import name_hash

# A gateway coordinates after it has run and heard a majority for this long. Others know
# of it by then, as they send each other heartbeats every second.
SETTLING_S = 3.0
# A pause of the process of this length or more counts as a freeze: others may have
# chosen another coordinator meanwhile.
FREEZE_S = 2.0
# A gateway of another cell that has not replied for this long may be gone. It is not
# asked again for the second time.
NO_REPLY_S = 0.5
AVOIDED_S = 5.0


def choose_coordinator(upstream_id: str, gateways: Iterable[str]) -> str | None:
    """Return the gateway that coordinates an upstream.

    Parameters
    ----------
    upstream_id : str
        The upstream.
    gateways : iterable of str
        Names of the gateways that take part.

    Returns
    -------
    str or None
        None if there is no gateway. A gateway that joins or leaves changes the
        coordinator only of upstreams that it coordinates itself.

    Examples
    --------
    >>> choose_coordinator("engine-1", ["a", "b", "c"])
    'c'
    >>> choose_coordinator("engine-1", [])
    """
    return max(
        gateways,
        key=lambda name: (name_hash(f"{upstream_id} {name}"), name),
        default=None,
    )


def home_cell(upstream_id: str, n_cells: int) -> int:
    """Return the cell whose gateways coordinate an upstream.

    It does not depend on the sizes of the cells, about which gateways may differ.
    """
    return name_hash(upstream_id) % n_cells


class Steadiness:
    """Whether this gateway has run and been in touch for long enough to coordinate.

    Parameters
    ----------
    started_s : float
        Monotonic time of the start of the process.

    Examples
    --------
    >>> steadiness = Steadiness(started_s=0.0)
    >>> steadiness.update(n_heard=3, n_known=4, now_s=1.0)
    >>> steadiness.is_settled(now_s=2.0), steadiness.is_settled(now_s=3.0)
    (False, True)
    """

    __slots__ = ("_since_s", "_started_s", "_updated_s", "share")

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._since_s = started_s
        self._updated_s = started_s
        # Share of a limit that this gateway may issue as a coordinator.
        self.share = 1.0

    @property
    def is_isolated(self) -> bool:
        """Whether this gateway hears no majority of the gateways."""
        return self.share < 1.0

    def update(self, n_heard: int, n_known: int, now_s: float) -> None:
        """Record how many gateways are heard.

        Parameters
        ----------
        n_heard : int
            Gateways from which messages arrive, and this one.
        n_known : int
            Gateways that were there recently, and this one.
        now_s : float
            Monotonic time. It includes the time in which the machine was suspended.
        """
        if now_s - self._updated_s >= FREEZE_S:
            self._since_s = now_s
        self._updated_s = now_s
        was_isolated = self.is_isolated
        self.share = 1.0 if 2 * n_heard > n_known else 1.0 / n_known
        if was_isolated and not self.is_isolated:
            self._since_s = now_s

    def interrupt(self, now_s: float) -> None:
        """Record that the other gateways need to learn of this one again."""
        self._since_s = now_s

    def steady_s(self, now_s: float) -> float:
        """Return the seconds without interruption; 0.0 while isolated."""
        return 0.0 if self.is_isolated else now_s - self._since_s

    def settles_in_s(self, now_s: float) -> float:
        """Return the seconds without interruption until it may coordinate."""
        return max(0.0, SETTLING_S - (now_s - self._since_s))

    def is_settled(self, now_s: float) -> bool:
        """Return whether this gateway may coordinate, for others or for itself."""
        return self.settles_in_s(now_s) == 0.0


class RelayChoice:
    """Chooses a gateway of another cell to be asked for permits.

    Gateways of different cells do not exchange heartbeats, so one that has gone is
    noticed by its silence. Any gateway of the home cell passes questions on to the
    coordinator.

    Examples
    --------
    >>> relays = RelayChoice()
    >>> relays.choose("engine-1", ["a", "b"], now_s=0.0)
    'b'
    >>> relays.record_ask("engine-1", "b", now_s=0.0)
    >>> relays.choose("engine-1", ["a", "b"], now_s=0.6)
    'a'
    """

    __slots__ = ("_asked", "_avoided_until_s")

    def __init__(self) -> None:
        self._asked: dict[str, tuple[str, float]] = {}
        self._avoided_until_s: dict[str, float] = {}

    def choose(
        self, upstream_id: str, gateways: Iterable[str], now_s: float
    ) -> str | None:
        """Return the gateway to ask about an upstream; None if there is none."""
        asked, asked_s = self._asked.get(upstream_id, ("", now_s))
        if now_s - asked_s > NO_REPLY_S:
            del self._asked[upstream_id]
            self._avoided_until_s[asked] = now_s + AVOIDED_S
        names = list(gateways)
        fit = [n for n in names if self._avoided_until_s.get(n, 0.0) <= now_s]
        return choose_coordinator(upstream_id, fit or names)

    def record_ask(self, upstream_id: str, gateway: str, now_s: float) -> None:
        """Record that a gateway was asked and has to reply."""
        self._asked.setdefault(upstream_id, (gateway, now_s))

    def record_reply(self, upstream_id: str) -> None:
        """Record that a reply about an upstream has come."""
        self._asked.pop(upstream_id, None)
