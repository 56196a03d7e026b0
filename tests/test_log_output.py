"""Logging does not block when the reader of the stream stalls."""

import io
import logging
import threading

from pomelothread.log_output import QueueingHandler


class StallingStream(io.StringIO):
    """Stream whose `write` blocks until it is released."""

    def __init__(self):
        super().__init__()
        self.began = threading.Event()
        self.released = threading.Event()

    def write(self, text):
        self.began.set()
        self.released.wait()
        return super().write(text)


def emit(handler, n):
    for number in range(n):
        handler.emit(logging.LogRecord("x", 20, "f", 1, "line %d", (number,), None))


def test_lines_are_written_in_order():
    stream = io.StringIO()
    handler = QueueingHandler(stream)
    emit(handler, 3)
    handler.close()
    assert stream.getvalue() == "line 0\nline 1\nline 2\n"
    assert handler.n_dropped == 0


def test_a_stalled_reader_causes_dropped_lines_and_blocks_nobody():
    stream = StallingStream()
    handler = QueueingHandler(stream, max_queued_lines=10)
    emit(handler, 1)
    stream.began.wait()
    emit(handler, 1000)
    assert handler.n_dropped == 990
    stream.released.set()
    handler.close()
    assert stream.getvalue().count("\n") == 11


def test_lines_for_a_closed_stream_are_counted_as_dropped():
    stream = io.StringIO()
    stream.close()
    handler = QueueingHandler(stream)
    emit(handler, 2)
    handler.close()
    assert handler.n_dropped == 2


class PipeLikeStream(io.StringIO):
    """Stream that truncates each write to what a pipe accepts at once."""

    def write(self, text):
        return super().write(text[:4096])


def test_lines_of_a_burst_are_not_cut():
    # If all lines of an interval are written at once, a pipe may accept only the first
    # 4,096 bytes: of each 0.2 s, 16 lines were kept and the last was cut.
    stream = PipeLikeStream()
    handler = QueueingHandler(stream)
    emit(handler, 1000)
    handler.emit(logging.LogRecord("x", 20, "f", 1, "é" * 300, (), None))
    emit(handler, 100)
    handler.close()
    lines = stream.getvalue().splitlines()
    assert lines[999:1002] == ["line 999", "é" * 300, "line 0"]
    assert len(lines) == 1101
