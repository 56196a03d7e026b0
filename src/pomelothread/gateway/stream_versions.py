"""Tells peers at which software version streams began, and asks them.

A caller may take up a stream at any gateway, also after the one that began it has
ended. Each stream is told to a few peers; a gateway that does not know a stream asks
the same ones.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..addresses import Address
from ..clock import Clock
from ..policy.departures import UpstreamStart
from ..policy.stream_versions import (
    MAX_ID_CHARS,
    N_ASKED,
    N_KEEPERS,
    STREAM_LIFE_S,
    Software,
    StreamVersions,
    keepers,
)
from .peer_messages import StreamNews, StreamQuery, StreamReply
from .peers import PeerTable
from .upstreams import UpstreamTable
from .version_history import VersionHistory

# Maximum number of streams in a message.
MAX_STREAMS_OF_MESSAGE = 30
# Peers are asked again after this time, as a datagram may be lost, and not waited for
# any longer after `N_QUESTIONS` times. A round trip between regions takes 60 ms.
ANSWER_S = 0.12
N_QUESTIONS = 3

Send = Callable[[StreamNews | StreamQuery | StreamReply, Address], None]


@dataclass(slots=True)
class _Question:
    """A question to peers at which software a stream began."""

    unheard: set[Address]
    is_ambiguous: bool = False
    software: Software | None = None
    answered: asyncio.Event = field(default_factory=asyncio.Event)


class StreamVersionExchange:
    """Knows at which software streams began, with the help of peers.

    Parameters
    ----------
    upstreams : UpstreamTable
        The listed upstreams and their versions.
    peers : PeerTable
        The other gateways.
    versions : StreamVersions
        What this gateway knows of streams and versions.
    history : VersionHistory
        Knows which versions served before this gateway started.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        peers: PeerTable,
        versions: StreamVersions,
        history: VersionHistory,
        clock: Clock,
    ) -> None:
        self._upstreams = upstreams
        self._peers = peers
        self._clock = clock
        # Streams that began at starts that are not listed yet, and when.
        self._unlisted: dict[UpstreamStart, dict[str, float]] = {}
        self._questions: dict[str, list[_Question]] = defaultdict(list)
        self.versions = versions
        self._history = history
        # Sends a message to a peer; set by the process.
        self.send: Send = lambda message, address: None

    def observe_listed(self) -> None:
        """Record which versions are listed now."""
        listed = {upstream.listing.software for upstream in self._upstreams.all()}
        self.versions.observe_listed(listed, self._clock.monotonic_s())
        self._resolve_unlisted()
        self._history.observe_change()

    def record_began(
        self, stream_id: str, origin: Software | UpstreamStart | None
    ) -> None:
        """Record where a stream began or goes on.

        Parameters
        ----------
        stream_id : str
            Id of the request that brought its first event.
        origin : Software or UpstreamStart or None
            Its software; the start of the process if the list does not name that yet;
            None if it has stated no start.
        """
        now_s = self._clock.monotonic_s()
        if isinstance(origin, Software):
            self.versions.record(stream_id, origin, now_s)
            return
        self.versions.record_unknown(stream_id, now_s)
        if origin is not None:
            self._unlisted.setdefault(origin, {})[stream_id] = now_s

    def _resolve_unlisted(self) -> None:
        """Record the software of streams whose start is listed by now."""
        now_s = self._clock.monotonic_s()
        for start, streams in list(self._unlisted.items()):
            software = self._upstreams.software_of(start)
            for stream_id, began_s in list(streams.items()):
                if software is not None:
                    self.versions.record(stream_id, software, now_s)
                elif now_s - began_s <= STREAM_LIFE_S:
                    continue
                del streams[stream_id]
            if not streams:
                del self._unlisted[start]

    def tell_peers(self) -> None:
        """Tell the keepers of each stream at which software it began."""
        hosts = self._hosts()
        for stream_id in self.versions.take_untold_unknown():
            for host in keepers(stream_id, hosts, N_KEEPERS):
                self.send(StreamNews([], [stream_id]), hosts[host])
        untold = self.versions.take_untold()
        if not untold:
            return
        by_host: dict[str, list[tuple[str, str, str]]] = defaultdict(list)
        for stream_id, software in untold.items():
            for host in keepers(stream_id, hosts, N_KEEPERS):
                row = (stream_id, software.service, software.version)
                by_host[host].append(row)
        for host, rows in by_host.items():
            for first in range(0, len(rows), MAX_STREAMS_OF_MESSAGE):
                news = StreamNews(rows[first : first + MAX_STREAMS_OF_MESSAGE])
                self.send(news, hosts[host])

    async def find(self, stream_id: str, services: Sequence[str]) -> Software | None:
        """Find out at which software a stream began.

        Parameters
        ----------
        stream_id : str
            Id of the request that brought its first event; "" if it is not known.
        services : sequence of str
            Services that run the requests of its route.

        Returns
        -------
        Software or None
            None if it cannot be told. It is not guessed while several versions serve
            or did lately, while it is not known which ones did, or while a peer that
            may know it is not heard.
        """
        now_s = self._clock.monotonic_s()
        known = self.versions.began_at(stream_id, now_s)
        if known is not None:
            return known
        if self.versions.is_of_unknown_software(stream_id, now_s):
            return None
        question = await self._ask(stream_id, services)
        if question.software is not None:
            self.versions.merge(stream_id, question.software, now_s)
            return question.software
        if question.unheard or question.is_ambiguous:
            # Whoever is not heard may know that it began at another version.
            return None
        if not await self._history.is_past_known():
            return None
        if self.versions.is_of_unknown_software(stream_id, now_s):
            return None
        return self.versions.sole_software(services)

    async def _ask(self, stream_id: str, services: Sequence[str]) -> _Question:
        hosts = self._hosts()
        asked = keepers(stream_id, hosts, N_ASKED)
        question = _Question({hosts[host] for host in asked})
        if not asked or len(stream_id) > MAX_ID_CHARS:
            return question
        self._questions[stream_id].append(question)
        try:
            for _ in range(N_QUESTIONS):
                for host in asked:
                    self.send(StreamQuery(stream_id, list(services)), hosts[host])
                try:
                    async with asyncio.timeout(ANSWER_S):
                        await question.answered.wait()
                    break
                except TimeoutError:
                    # A message was lost, or a peer has ended.
                    continue
        finally:
            self._questions[stream_id].remove(question)
            if not self._questions[stream_id]:
                del self._questions[stream_id]
        return question

    def on_message(
        self, sender: Address, message: StreamNews | StreamQuery | StreamReply
    ) -> None:
        """Process a message of a peer."""
        now_s = self._clock.monotonic_s()
        match message:
            case StreamNews(streams, unknown):
                for stream_id in unknown:
                    self.versions.merge(stream_id, None, now_s)
                for stream_id, service, version in streams:
                    self.versions.merge(stream_id, Software(service, version), now_s)
            case StreamQuery(stream_id, services):
                known = self.versions.began_at(stream_id, now_s)
                software = (known.service, known.version) if known else None
                n_versions = max(map(self.versions.n_versions, services), default=0)
                if self.versions.is_of_unknown_software(stream_id, now_s):
                    # An asker must not guess it either.
                    n_versions = max(n_versions, 2)
                self.send(StreamReply(stream_id, software, n_versions), sender)
            case StreamReply(stream_id, software, n_versions):
                for question in self._questions.get(stream_id, ()):
                    question.unheard.discard(sender)
                    question.is_ambiguous |= n_versions > 1
                    if software is not None:
                        question.software = Software(*software)
                    if software is not None or not question.unheard:
                        question.answered.set()

    def _hosts(self) -> dict[str, Address]:
        return {peer.address.host: peer.address for peer in self._peers.alive()}
