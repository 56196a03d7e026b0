"""Table of the entries known to an agent, built from their heartbeats."""

import logging
from dataclasses import dataclass

from ..clock import Clock
from ..events import Event, log_event
from ..peers.control import ControlChannel
from ..peers.messages import PEER_TIMEOUT_S, AgentBeat, EntryBeat
from .places import Reply

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _KnownEntry:
    inbox: str
    heard_at_s: float
    leaving_instances: tuple[str, ...]


class EntryTable:
    """Known entries, indexed by incarnation; sends control messages to them.

    Parameters
    ----------
    channel : ControlChannel
        Sends control messages to entries.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_channel", "_clock", "_entries")

    def __init__(self, channel: ControlChannel, clock: Clock) -> None:
        self._channel = channel
        self._clock = clock
        self._entries: dict[str, _KnownEntry] = {}

    def record_heartbeat(self, beat: EntryBeat) -> bool:
        """Record a heartbeat and return whether the entry is new."""
        now_s = self._clock.monotonic_s()
        is_new = beat.incarnation not in self._entries
        self._entries[beat.incarnation] = _KnownEntry(
            beat.inbox, now_s, beat.leaving_instances
        )
        if is_new:
            log_event(
                _logger, Event.PEER_UP, instance=beat.instance, address=beat.inbox
            )
        return is_new

    def is_reported_leaving(self, instance: str) -> bool:
        """Whether any entry has read in the instance list that an instance leaves."""
        return any(
            instance in entry.leaving_instances for entry in self._entries.values()
        )

    def forget_silent(self) -> None:
        """Remove the entries whose heartbeat is overdue."""
        now_s = self._clock.monotonic_s()
        for incarnation, entry in list(self._entries.items()):
            if now_s - entry.heard_at_s <= PEER_TIMEOUT_S:
                continue
            del self._entries[incarnation]
            if not any(e.inbox == entry.inbox for e in self._entries.values()):
                # Keep the outbox of a process restarted in the same slot.
                self._channel.close_outbox(entry.inbox)
            log_event(
                _logger,
                Event.PEER_DOWN,
                instance=incarnation,
                address=entry.inbox,
                cause="no heartbeat",
            )

    def broadcast_heartbeat(self, beat: AgentBeat) -> None:
        """Send a heartbeat to all known entries."""
        for entry in self._entries.values():
            self._channel.send(entry.inbox, beat)

    def send_replies(self, replies: list[Reply]) -> None:
        """Send replies to those entries that are still known."""
        for reply in replies:
            entry = self._entries.get(reply.entry)
            if entry is not None:
                self._channel.send(entry.inbox, reply.message)
