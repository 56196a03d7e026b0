"""IP addresses with TCP ports, as written in settings and messages."""

import ipaddress
from dataclasses import dataclass
from functools import lru_cache

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
# Size of the cache: the instance list repeats the same addresses each second.
_MAX_CACHED = 8_192


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port.

    Parameters
    ----------
    host : str
        IPv4 or IPv6 address, without brackets.
    port : int
        TCP port; 0 lets the kernel choose one when listening.

    Examples
    --------
    >>> str(Address("::1", 8000))
    '[::1]:8000'
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``, with an IPv6 address in brackets."""
        return (
            f"[{self.host}]:{self.port}"
            if ":" in self.host
            else f"{self.host}:{self.port}"
        )


@lru_cache(maxsize=_MAX_CACHED)
def parse_address(text: str) -> Address | None:
    """Parse ``ip:port`` or ``[ipv6]:port``.

    Parameters
    ----------
    text : str
        The address; host names aren't accepted, since instances have none.

    Returns
    -------
    Address or None
        None if the text isn't an IP address with a port.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    >>> parse_address("localhost:80") is None
    True
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        return None
    if len(port) > _MAX_PORT_DIGITS or int(port) > _MAX_PORT:
        return None
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return None
    if bracketed != (ip.version == 6):
        return None
    return Address(str(ip), int(port))
