"""Logging never waits for whoever reads the lines."""

import io
import logging
import threading

from pomelothread.log_output import QueueingHandler


class StallingStream(io.StringIO):
    """Blocks in `write` until it is released."""

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


def test_a_reader_that_stalls_costs_lines_and_holds_up_nobody():
    stream = StallingStream()
    handler = QueueingHandler(stream, max_waiting_lines=10)
    emit(handler, 1)
    stream.began.wait()
    emit(handler, 1000)
    assert handler.n_dropped == 990
    stream.released.set()
    handler.close()
    assert stream.getvalue().count("\n") == 11


def test_a_closed_stream_is_counted():
    stream = io.StringIO()
    stream.close()
    handler = QueueingHandler(stream)
    emit(handler, 2)
    handler.close()
    assert handler.n_dropped == 2


class WritesOfAPipe(io.StringIO):
    """Keeps of each write what a pipe takes at once."""

    def write(self, text):
        return super().write(text[:4096])


def test_lines_of_a_busy_moment_are_not_cut():
    # Seen on further scale-2: of each 0.2 s, the first 16 lines were kept and the
    # last of them ended in its middle, the lines on the configuration among them.
    stream = WritesOfAPipe()
    handler = QueueingHandler(stream)
    emit(handler, 1000)
    handler.emit(logging.LogRecord("x", 20, "f", 1, "é" * 300, (), None))
    emit(handler, 100)
    handler.close()
    lines = stream.getvalue().splitlines()
    assert lines[999:1002] == ["line 999", "é" * 300, "line 0"]
    assert len(lines) == 1101
