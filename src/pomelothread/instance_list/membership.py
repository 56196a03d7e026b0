"""The instances that the platform lists."""

from dataclasses import dataclass

LIVE = "live"
LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """One listed instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    role : str
        ``entry`` or ``agent``.
    state : str
        ``live`` or ``leaving``.
    http_address, control_address : str
        ``ip:port`` each; the second may be "".
    failure_domain, region, pool : str
        Where it is and what it serves; "" if the list does not say.
    """

    name: str
    role: str
    state: str
    http_address: str
    control_address: str = ""
    failure_domain: str = ""
    region: str = ""
    pool: str = ""


class Membership:
    """The last copy of the list; it stands while the list cannot be read.

    An instance is identified by its name: an address that comes back under
    another name is another instance.

    Parameters
    ----------
    instances : tuple of Instance
        The content.
    """

    __slots__ = ("_instances",)

    def __init__(self, instances: tuple[Instance, ...] = ()) -> None:
        self._instances = instances

    def replace(self, other: "Membership") -> None:
        """Take over the content of another copy."""
        self._instances = other._instances

    def all(self, role: str = "") -> list[Instance]:
        """Return all instances, or those of a role."""
        return [i for i in self._instances if not role or i.role == role]

    def live(self, role: str, pool: str = "") -> list[Instance]:
        """Return the live instances of a role, or of a pool within it."""
        return [
            i
            for i in self.all(role)
            if i.state == LIVE and (not pool or i.pool == pool)
        ]

    def leaving(self) -> list[Instance]:
        """Return the instances that are leaving."""
        return [i for i in self._instances if i.state == LEAVING]

    def at(self, http_address: str) -> Instance | None:
        """Return the instance at an address, if one is listed there.

        Parameters
        ----------
        http_address : str
            ``ip:port``.

        Returns
        -------
        Instance or None
            A live one if several are listed, because a lagging list can show
            the instance that had the address before.
        """
        listed = [i for i in self._instances if i.http_address == http_address]
        live = [i for i in listed if i.state == LIVE]
        return next(iter(live or listed), None)
