"""Splits a stream of server-sent events into whole events."""

import re
from collections.abc import Iterator

from ..http1.messages import parse_event_id
from ..policy.event_order import goes_back

# A larger event means that the upstream does not send an event stream.
MAX_EVENT_BYTES = 1_048_576

# Blocks of comments, which upstreams may send as keep-alives, and of times to wait.
_NO_EVENT = re.compile(rb"(?:(?::[^\r\n]*|retry: ?\d+)?(?>\r\n?|\n))*")
# A CR alone ends a line where the first line ends so; elsewhere it may be data.
_LINE_END = re.compile(rb"\r?\n|\r(?=[^\n])")
_END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
_END_OF_EVENT_BY_CR = re.compile(rb"\r\r|\r?\n\r?\n")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventSplitter:
    r"""Buffers bytes of a stream until an event is complete.

    Comments and times to wait are returned together with the event that follows.

    Attributes
    ----------
    first_id, last_id : int or None
        First and last id of the events that were returned.
    n_ids : int
        Number of events with an id that were returned.
    goes_back : bool
        Whether an event has followed whose id does not increase. It is not returned,
        and neither is anything after it.
    may_go_on : bool
        Whether another stream can go on after what was returned: the last event has an
        id, or there is none yet.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n")
    b''
    >>> splitter.feed(b"\nid: 2")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.remainder
    (1, b'id: 2')
    """

    __slots__ = (
        "_end_of_event",
        "_held_back",
        "_unfinished",
        "first_id",
        "goes_back",
        "last_id",
        "may_go_on",
        "n_ids",
    )

    def __init__(self) -> None:
        self._end_of_event: re.Pattern[bytes] | None = None
        self._held_back = bytearray()
        self._unfinished = bytearray()
        self.first_id: int | None = None
        self.last_id: int | None = None
        self.n_ids = 0
        self.goes_back = False
        self.may_go_on = True

    @property
    def remainder(self) -> bytes:
        """Bytes that `feed` has not returned yet."""
        return bytes(self._held_back + self._unfinished)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer ends with a part of an event; an empty line is none."""
        return bool(self._unfinished.strip(b"\r\n"))

    @property
    def is_too_long(self) -> bool:
        """Whether more is buffered than `MAX_EVENT_BYTES`."""
        return self.n_buffered_bytes > MAX_EVENT_BYTES

    @property
    def n_buffered_bytes(self) -> int:
        """Number of bytes that `feed` has not returned yet."""
        return len(self._held_back) + len(self._unfinished)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return, unchanged, all events that are complete now."""
        if self.goes_back:
            return b""
        # The last three bytes may be the beginning of an event's delimiter.
        search_from = max(0, len(self._unfinished) - 3)
        self._unfinished += data
        if self._end_of_event is None:
            self._end_of_event = _find_end_of_event(self._unfinished, search_from)
        if self._end_of_event is None:
            return b""
        end = 0
        for match in self._end_of_event.finditer(self._unfinished, search_from):
            end = match.end()
        whole = bytes(self._unfinished[:end])
        del self._unfinished[:end]
        if _NO_EVENT.fullmatch(whole):
            self._held_back += whole
            return b""
        whole = bytes(self._held_back) + whole
        self._held_back.clear()
        n_bytes = 0
        for event in _split(whole, self._end_of_event):
            event_id = _event_id(event)
            if goes_back(event_id, self.last_id):
                self.goes_back = True
                break
            n_bytes += len(event)
            if event_id is not None:
                self.first_id = event_id if self.n_ids == 0 else self.first_id
                self.last_id = event_id
                self.n_ids += 1
            if not _NO_EVENT.fullmatch(event):
                self.may_go_on = event_id is not None
        return whole[:n_bytes]


def _find_end_of_event(
    stream: bytes | bytearray, search_from: int = 0
) -> re.Pattern[bytes] | None:
    """Return what ends the events of a stream; None without a whole line."""
    found = _LINE_END.search(stream, search_from)
    if found is None:
        return None
    return _END_OF_EVENT_BY_CR if found[0] == b"\r" else _END_OF_EVENT


def _split(events: bytes, end_of_event: re.Pattern[bytes]) -> Iterator[bytes]:
    """Return the blocks of some whole events."""
    start = 0
    for match in end_of_event.finditer(events):
        yield events[start : match.end()]
        start = match.end()


def first_event_id(events: bytes) -> int | None:
    r"""Return the id of the first event of a stream, or None without one.

    A block of comments and times to wait is no event.

    Examples
    --------
    >>> first_event_id(b": comment\n\nid: 3\ndata: a\n\nid: 4\n\n")
    3
    >>> first_event_id(b"data: a\n\nid: 4\n\n") is None
    True
    """
    end_of_event = _find_end_of_event(events)
    if end_of_event is None:
        return None
    for event in _split(events, end_of_event):
        if not _NO_EVENT.fullmatch(event):
            return _event_id(event)
    return None


def _event_id(event: bytes) -> int | None:
    r"""Return the id of an event; None if it has none, or may be read in two ways.

    Examples
    --------
    >>> _event_id(b"id: 3\ndata: a\nid: 4\n\n")
    4
    >>> _event_id(b"id: 3\ndata: a\rid: 4\n\n") is None
    True
    """
    if event.startswith(_BYTE_ORDER_MARK):
        # It is no part of the text only where the whole stream begins.
        return None
    value = _last_id_value(event.splitlines())
    if b"\n" in event and b"\r" in event:
        # A CR alone ends a line for some readers only.
        lines = event.replace(b"\r\n", b"\n").split(b"\n")
        if _last_id_value(lines) != value:
            return None
    return parse_event_id(value)


def _last_id_value(lines: list[bytes]) -> bytes:
    """Return the last value of the field of that name, or an empty one."""
    value = b""
    for line in lines:
        if line == b"id" or line.startswith(b"id:"):
            value = line[3:].removeprefix(b" ")
    return value
