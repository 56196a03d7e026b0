"""Writes log lines in a background thread, so that logging never blocks.

Lines are queued in memory. When the queue is full, because the reader of the
stream has stalled or lines arrive too quickly, further lines are dropped and
counted.
"""

import collections
import logging
import threading
from collections.abc import Iterator
from typing import TextIO

# Maximum length of the queue; at 500 bytes a line it takes 1 MB.
MAX_QUEUED_LINES = 2_000
# Queued lines are written at this interval, so that at most `MAX_QUEUED_LINES` are
# written in each.
WRITE_INTERVAL_S = 0.2
# A write of up to this size to a pipe is atomic (PIPE_BUF); a longer one may be cut
# in the middle of a line.
MAX_WRITE_BYTES = 4_096


class QueueingHandler(logging.Handler):
    """Handler that queues formatted lines for a thread that writes them.

    Parameters
    ----------
    stream : TextIO
        Stream that lines are written to.
    max_queued_lines : int
        Maximum length of the queue; further lines are dropped.

    Attributes
    ----------
    n_dropped : int
        Lines that were dropped so far.
    """

    def __init__(
        self, stream: TextIO, max_queued_lines: int = MAX_QUEUED_LINES
    ) -> None:
        super().__init__()
        self._stream = stream
        self._max_queued_lines = max_queued_lines
        self._lines: collections.deque[str] = collections.deque()
        self._has_lines = threading.Event()
        self._is_closed = threading.Event()
        self.n_dropped = 0
        self._thread = threading.Thread(
            target=self._write_lines, name="log", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of a record, or count it as dropped."""
        if len(self._lines) >= self._max_queued_lines:
            self.n_dropped += 1
            return
        self._lines.append(self.format(record))
        self._has_lines.set()

    def close(self) -> None:
        """Write the queued lines, unless the reader of the stream has stalled."""
        self._is_closed.set()
        self._has_lines.set()
        self._thread.join(timeout=WRITE_INTERVAL_S * 2)
        super().close()

    def _write_lines(self) -> None:
        while not self._is_closed.is_set():
            self._has_lines.wait()
            self._is_closed.wait(WRITE_INTERVAL_S)
            self._has_lines.clear()
            self._write_queued()
        self._write_queued()

    def _write_queued(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if not lines:
            return
        for batch in _batches(lines):
            try:
                self._stream.write("\n".join(batch) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # The stream is closed, so this cannot be logged either.
                self.n_dropped += len(batch)


def _batches(lines: list[str]) -> Iterator[list[str]]:
    """Split lines into batches for one write each, of at least one line."""
    batch: list[str] = []
    n_bytes = 0
    for line in lines:
        n_line = len(line.encode()) + 1
        if batch and n_bytes + n_line > MAX_WRITE_BYTES:
            yield batch
            batch, n_bytes = [], 0
        batch.append(line)
        n_bytes += n_line
    if batch:
        yield batch
