"""The entries that an agent hears, from their heartbeats."""

import logging
from dataclasses import dataclass

from ..clock import Clock
from ..events import Event, log_event
from ..peers.control import ControlChannel
from ..peers.messages import SILENCE_S, AgentBeat, EntryBeat
from .places import Reply

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _KnownEntry:
    inbox: str
    heard_at_s: float
    leaving_instances: tuple[str, ...]


class EntryTable:
    """Entries by incarnation, and sending to them.

    Parameters
    ----------
    channel : ControlChannel
        To the entries.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_channel", "_clock", "_entries")

    def __init__(self, channel: ControlChannel, clock: Clock) -> None:
        self._channel = channel
        self._clock = clock
        self._entries: dict[str, _KnownEntry] = {}

    def hear(self, beat: EntryBeat) -> bool:
        """Take in a heartbeat and return whether the entry is new."""
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

    def say_leaving(self, instance: str) -> bool:
        """Whether any entry has read in the list that an instance is leaving."""
        return any(
            instance in entry.leaving_instances for entry in self._entries.values()
        )

    def forget_silent(self) -> None:
        """Drop the entries whose heartbeat is overdue."""
        now_s = self._clock.monotonic_s()
        for incarnation, entry in list(self._entries.items()):
            if now_s - entry.heard_at_s <= SILENCE_S:
                continue
            del self._entries[incarnation]
            if not any(e.inbox == entry.inbox for e in self._entries.values()):
                # Not the outbox of a successor in the same slot.
                self._channel.forget(entry.inbox)
            log_event(
                _logger,
                Event.PEER_DOWN,
                instance=incarnation,
                address=entry.inbox,
                cause="no heartbeat",
            )

    def send_beat(self, beat: AgentBeat) -> None:
        """Send a heartbeat to all entries."""
        for entry in self._entries.values():
            self._channel.send(entry.inbox, beat)

    def send_replies(self, replies: list[Reply]) -> None:
        """Send replies to the entries that are still there."""
        for reply in replies:
            entry = self._entries.get(reply.entry)
            if entry is not None:
                self._channel.send(entry.inbox, reply.message)
