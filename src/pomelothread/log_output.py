"""Writes log lines without ever holding up the process.

Lines wait in memory for a thread of their own. When whoever reads them stalls,
or more come than a second's worth, further lines are dropped and counted.
"""

import collections
import logging
import threading
from collections.abc import Iterator
from typing import TextIO

# Lines that wait at most; at 500 bytes each they take 1 MB.
MAX_WAITING_LINES = 2_000
# Lines are written together at this interval, which also bounds the volume to
# `MAX_WAITING_LINES` in each.
WRITE_INTERVAL_S = 0.2
# A write of up to this size to a pipe is whole or not done at all (PIPE_BUF); a
# longer one may be cut in the middle of a line.
MAX_WRITE_BYTES = 4_096


class QueueingHandler(logging.Handler):
    """Hands formatted lines to a thread that writes them.

    Parameters
    ----------
    stream : TextIO
        Where lines go.
    max_waiting_lines : int
        Lines beyond this are dropped.

    Attributes
    ----------
    n_dropped : int
        Lines that were dropped so far.
    """

    def __init__(
        self, stream: TextIO, max_waiting_lines: int = MAX_WAITING_LINES
    ) -> None:
        super().__init__()
        self._stream = stream
        self._max_waiting_lines = max_waiting_lines
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
        if len(self._lines) >= self._max_waiting_lines:
            self.n_dropped += 1
            return
        self._lines.append(self.format(record))
        self._has_lines.set()

    def close(self) -> None:
        """Write what waits, unless the reader has stalled."""
        self._is_closed.set()
        self._has_lines.set()
        self._thread.join(timeout=WRITE_INTERVAL_S * 2)
        super().close()

    def _write_lines(self) -> None:
        while not self._is_closed.is_set():
            self._has_lines.wait()
            self._is_closed.wait(WRITE_INTERVAL_S)
            self._has_lines.clear()
            self._write_waiting()
        self._write_waiting()

    def _write_waiting(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if not lines:
            return
        for batch in _batches(lines):
            try:
                self._stream.write("\n".join(batch) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads any more, and there is nowhere to say so.
                self.n_dropped += len(batch)


def _batches(lines: list[str]) -> Iterator[list[str]]:
    """Divide lines into parts that are written at once, of one line or more."""
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
