"""A server process whose responses declare no length, to be ended by SIGKILL.

The kernel closes the connections of a process that is killed like those of one that has
ended well, so a response without framing seems complete. It sends a part of each
response, reports that on its standard output, and then waits to be killed.

Usage: ``python unframed_server.py PART``, where PART is the body that is sent. With
``--whole`` it closes the connection after the body and serves on; with ``--holds`` it
does so once it reads a line, and reports each question for its start. ``--born=MS`` is
the start that it states; with ``--no-start`` it states none. It closes connections that
are idle for longer than ``--keep-alive=S``. With ``--listener=FD`` it accepts from a
listening socket that it has inherited, with ``--port=PORT`` it listens on that port.
"""

import os
import socket
import sys
import threading

DEFAULT_BORN_MS = "1700000000000"


def main() -> None:
    """Accept connections; each one is served by a thread of its own."""
    with _listen() as server:
        print(server.getsockname()[1], flush=True)
        while True:
            connection, _ = server.accept()
            threading.Thread(target=_serve, args=(connection,), daemon=True).start()


def _tell(line: bytes) -> None:
    """Write a line at once, as other threads write theirs."""
    os.write(sys.stdout.fileno(), line)


def _option(name: str, default: str) -> str:
    prefix = f"--{name}="
    values = [a.removeprefix(prefix) for a in sys.argv if a.startswith(prefix)]
    return values[-1] if values else default


def _listen() -> socket.socket:
    listener = _option("listener", "")
    if listener:
        return socket.socket(fileno=int(listener))
    return socket.create_server(("127.0.0.1", int(_option("port", "0"))))


def _report() -> bytes:
    status, body = "200 OK", f'{{"born": {_option("born", DEFAULT_BORN_MS)}}}'
    if "--no-start" in sys.argv:
        status, body = "400 Bad Request\r\nX-Not-Executed: 1", ""
    keep_alive = _option("keep-alive", "4")
    return (
        f"HTTP/1.1 {status}\r\nKeep-Alive: timeout={keep_alive}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def _serve(connection: socket.socket) -> None:
    connection.settimeout(float(_option("keep-alive", "4")))
    with connection:
        head = _read_head(connection)
        while head.startswith(b"GET /v1/report "):
            connection.sendall(_report())
            if "--holds" in sys.argv:
                _tell(b"asked\n")
            head = _read_head(connection)
        if not head:
            return
        part = sys.argv[1].encode().decode("unicode_escape").encode()
        connection.sendall(_response_head(head) + part)
        _tell(b"sent\n")
        if "--holds" in sys.argv:
            sys.stdin.readline()
        elif "--whole" not in sys.argv:
            threading.Event().wait()


def _read_head(connection: socket.socket) -> bytes:
    """Return the head of a request; empty if the caller has closed before."""
    head = b""
    while b"\r\n\r\n" not in head:
        try:
            data = connection.recv(65_536)
        except (ConnectionResetError, TimeoutError):
            data = b""
        if not data:
            return b""
        head += data
    return head


def _response_head(request_head: bytes) -> bytes:
    lines = request_head.decode("latin-1").split("\r\n")
    names = (line.partition(": ") for line in lines)
    (request_id,) = (text for name, _, text in names if name.lower() == "x-attempt-id")
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
        "X-Response-Seal: seal\r\n\r\n"
    ).encode()


if __name__ == "__main__":
    main()
