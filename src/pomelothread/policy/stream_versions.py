"""Remembers at which software version of its upstreams each stream began.

Streams of upstreams of different versions do not fit together, so a stream goes on only
at the version that began it. A caller may take a stream up at any instance, so some
others are told; they are found by a hash of the stream's id.

What is remembered is bounded, and forgotten when no caller can take the stream up.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .cells import name_hash

# A caller takes a stream up within its deadline, which is shorter.
STREAM_LIFE_S = 60.0
# Maximum number of remembered streams: those of an instance, and of the peers that tell
# it, within `STREAM_LIFE_S`.
MAX_STREAMS = 20_000
# Number of peers that are told of a stream.
N_KEEPERS = 3
# Number of peers that are asked. Their order may differ a little between instances.
N_ASKED = 5
# Maximum length of a stream's id; a longer one is not remembered.
MAX_ID_CHARS = 128


@dataclass(frozen=True, slots=True)
class Software:
    """A service, and the version of its upstreams' software.

    Parameters
    ----------
    service : str
        Name of the service.
    version : str
        Any text; versions have no order.
    """

    service: str
    version: str


class StreamVersions:
    """Software at which each stream began, and versions that have served lately.

    Examples
    --------
    >>> versions = StreamVersions()
    >>> versions.record("a1", Software("chat", "v2"), now_s=5.0)
    >>> versions.began_at("a1", now_s=6.0)
    Software(service='chat', version='v2')
    >>> versions.began_at("a2", now_s=6.0) is None
    True
    """

    __slots__ = ("_began", "_seen_s", "_untold", "_untold_unknown")

    def __init__(self) -> None:
        # None as software: it is not known at which one the stream began.
        self._began: OrderedDict[str, tuple[Software | None, float]] = OrderedDict()
        # Streams of this instance that peers have not been told of.
        self._untold: dict[str, Software] = {}
        self._untold_unknown: list[str] = []
        # Time at which each version of a service was last listed.
        self._seen_s: dict[str, dict[str, float]] = {}

    def __len__(self) -> int:
        """Return the number of remembered streams."""
        return len(self._began)

    def record(self, stream_id: str, software: Software, now_s: float) -> None:
        """Record at which software a stream began; the first one stays."""
        if self._remember(stream_id, software, now_s):
            self._untold[stream_id] = software

    def record_unknown(self, stream_id: str, now_s: float) -> None:
        """Record that a stream began at software that is not known.

        It is not guessed from the versions that are listed, and peers are told at once
        not to guess either.
        """
        if self._remember(stream_id, None, now_s):
            self._untold_unknown.append(stream_id)

    def merge(self, stream_id: str, software: Software | None, now_s: float) -> None:
        """Record what a peer has told; None if it does not know the software."""
        self._remember(stream_id, software, now_s)

    def _remember(
        self, stream_id: str, software: Software | None, now_s: float
    ) -> bool:
        is_known = self.began_at(stream_id, now_s) is not None
        if is_known or not 0 < len(stream_id) <= MAX_ID_CHARS:
            return False
        if software is None and self.is_of_unknown_software(stream_id, now_s):
            return False
        self._began.pop(stream_id, None)
        self._began[stream_id] = (software, now_s)
        self._forget_oldest(now_s)
        return True

    def _forget_oldest(self, now_s: float) -> None:
        while self._began:
            stream_id, (_, began_s) = next(iter(self._began.items()))
            is_old = now_s - began_s > STREAM_LIFE_S
            if not is_old and len(self._began) <= MAX_STREAMS:
                return
            del self._began[stream_id]
            self._untold.pop(stream_id, None)

    def began_at(self, stream_id: str, now_s: float) -> Software | None:
        """Return at which software a stream began; None if it is not known."""
        software, began_s = self._began.get(stream_id, (None, 0.0))
        return software if now_s - began_s <= STREAM_LIFE_S else None

    def is_of_unknown_software(self, stream_id: str, now_s: float) -> bool:
        """Return whether a stream is known to have begun at unknown software."""
        if stream_id not in self._began:
            return False
        software, began_s = self._began[stream_id]
        return software is None and now_s - began_s <= STREAM_LIFE_S

    def take_untold_unknown(self) -> list[str]:
        """Take the streams of unknown software that peers have to be told of."""
        untold, self._untold_unknown = self._untold_unknown, []
        return untold

    def take_untold(self) -> dict[str, Software]:
        """Take the streams that peers have to be told of.

        They are told while there is one version, too: the process at which a stream
        begins may be of another one that is not listed yet.
        """
        untold, self._untold = self._untold, {}
        return untold

    def observe_listed(self, listed: Iterable[Software], now_s: float) -> None:
        """Record which versions are listed now."""
        for software in listed:
            seen_s = self._seen_s.setdefault(software.service, {})
            seen_s[software.version] = now_s
        for seen_s in self._seen_s.values():
            for version, at_s in list(seen_s.items()):
                if now_s - at_s > STREAM_LIFE_S:
                    del seen_s[version]

    def merge_past(self, listed: Iterable[Software], now_s: float) -> None:
        """Record versions that were listed before, perhaps until now."""
        for software in listed:
            seen_s = self._seen_s.setdefault(software.service, {})
            seen_s.setdefault(software.version, now_s)

    def listed_lately(self) -> frozenset[Software]:
        """Return all software that was listed within `STREAM_LIFE_S`."""
        return frozenset(
            Software(service, version)
            for service, seen_s in self._seen_s.items()
            for version in seen_s
        )

    def n_versions(self, service: str) -> int:
        """Return how many versions of a service were listed lately."""
        return len(self._seen_s.get(service, ()))

    def sole_software(self, services: Sequence[str]) -> Software | None:
        """Return the only software at which a stream can have begun, if so.

        Parameters
        ----------
        services : sequence of str
            Services that run the requests of its route.
        """
        if len(services) != 1 or self.n_versions(services[0]) != 1:
            return None
        return Software(services[0], next(iter(self._seen_s[services[0]])))


def keepers(stream_id: str, gateways: Iterable[str], n_most: int) -> list[str]:
    """Return the gateways that remember a stream, the first ones first.

    Parameters
    ----------
    stream_id : str
        The stream.
    gateways : iterable of str
        Names of the gateways that are alive.
    n_most : int
        Maximum number of gateways.

    Examples
    --------
    >>> keepers("a1", ["x", "y", "z"], 2) == keepers("a1", ["z", "x", "y"], 2)
    True
    """
    ranked = sorted(gateways, key=lambda name: name_hash(f"{stream_id} {name}"))
    return ranked[:n_most]
