"""Starts a gateway of a soak run, whose link to its peers can be cut.

While a file named like its settings file but ending in ``.cut`` exists, the gateway
neither sends messages to its peers nor receives any.
"""

import sys
from pathlib import Path

from pomelothread.addresses import Address
from pomelothread.gateway import reports
from pomelothread.gateway.peer_link import PeerLink
from pomelothread.platform.__main__ import main

SETTINGS_FLAG = "--settings="


def cut_path(settings_path: Path) -> Path:
    """Return the file that cuts a gateway off while it exists."""
    return settings_path.with_suffix(".cut")


class CuttableLink(PeerLink):
    """Link to the peers that loses all messages while it is cut."""

    cut_path: Path

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a message unless the link is cut."""
        if not self.cut_path.exists():
            super().datagram_received(data, addr)

    def _send(self, message: object, addresses: list[Address]) -> None:
        if not self.cut_path.exists():
            super()._send(message, addresses)  # type: ignore[arg-type]


if __name__ == "__main__":
    (settings,) = (a for a in sys.argv if a.startswith(SETTINGS_FLAG))
    CuttableLink.cut_path = cut_path(Path(settings.removeprefix(SETTINGS_FLAG)))
    reports.PeerLink = CuttableLink  # type: ignore[attr-defined]
    main()
