"""The instances in the platform's instance list."""

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
        ``ip:port`` each; the control address may be "".
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
    """The last copy of the instance list, which stays in use during an outage.

    An instance is identified by its name: an address that reappears under
    another name belongs to another instance.

    Parameters
    ----------
    instances : tuple of Instance
        The listed instances.
    """

    __slots__ = ("_instances",)

    def __init__(self, instances: tuple[Instance, ...] = ()) -> None:
        self._instances = instances

    def replace(self, other: "Membership") -> None:
        """Replace the content by that of another copy."""
        self._instances = other._instances

    def all(self, role: str = "") -> list[Instance]:
        """Return all instances, or only those of a role."""
        return [
            instance
            for instance in self._instances
            if not role or instance.role == role
        ]

    def live(self, role: str, pool: str = "") -> list[Instance]:
        """Return the live instances of a role, optionally of one pool only."""
        return [
            instance
            for instance in self.all(role)
            if instance.state == LIVE and (not pool or instance.pool == pool)
        ]

    def leaving(self) -> list[Instance]:
        """Return the instances that are leaving."""
        return [instance for instance in self._instances if instance.state == LEAVING]

    def find_by_address(self, http_address: str) -> Instance | None:
        """Return the instance at an address, if one is listed there.

        Parameters
        ----------
        http_address : str
            ``ip:port``.

        Returns
        -------
        Instance or None
            A live one if several are listed, because a list that lags behind can
            still show the previous instance of the address.
        """
        listed = [
            instance
            for instance in self._instances
            if instance.http_address == http_address
        ]
        live = [instance for instance in listed if instance.state == LIVE]
        return next(iter(live or listed), None)
