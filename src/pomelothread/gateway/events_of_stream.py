"""Splits a stream of server-sent events into whole events."""

import re

# Larger events mean that the upstream sends no event stream.
MAX_EVENT_BYTES = 1_048_576

# Blocks of comment lines alone, which upstreams may send to keep a connection.
_COMMENTS_ONLY = re.compile(rb"(?:(?::[^\r\n]*)?\r?\n)*")
_END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
# Longer numbers are no ids: they do not fit into 64 bits.
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d{1,18})\r?(?:\n|$)")


class EventSplitter:
    r"""Collects bytes and returns them when an event is whole.

    Comments between events are returned together with the event that follows.

    Attributes
    ----------
    last_id : int or None
        Id of the last event that was returned.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n")
    b''
    >>> splitter.feed(b"\nid: 2")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.rest
    (1, b'id: 2')
    """

    __slots__ = ("_comments", "_unfinished", "last_id")

    def __init__(self) -> None:
        self._comments = b""
        self._unfinished = b""
        self.last_id: int | None = None

    @property
    def rest(self) -> bytes:
        """Bytes that have not been returned."""
        return self._comments + self._unfinished

    @property
    def is_within_event(self) -> bool:
        """Whether a part of an event has come."""
        return bool(self._unfinished)

    @property
    def is_too_long(self) -> bool:
        """Whether more has come before the end of an event than any may have."""
        return len(self._comments) + len(self._unfinished) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return all events that are whole now, unchanged."""
        # An end of an event may have begun in the last three bytes.
        searched = max(0, len(self._unfinished) - 3)
        data = self._unfinished + data
        end = 0
        for match in _END_OF_EVENT.finditer(data, searched):
            end = match.end()
        whole, self._unfinished = data[:end], data[end:]
        if _COMMENTS_ONLY.fullmatch(whole):
            self._comments += whole
            return b""
        whole, self._comments = self._comments + whole, b""
        if whole:
            ids = _EVENT_ID.findall(whole)
            if ids:
                self.last_id = int(ids[-1])
        return whole
