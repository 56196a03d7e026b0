"""Stand-ins for the platform's store and its upstreams.

They implement the parts of the platform's published protocol that the gateway uses,
and can inject the faults that the protocol names.
"""

import asyncio
import base64
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import h11
import msgspec

from standins.loopback_server import LoopbackServer
from standins.store_entries import make_store_entry

_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")
_READ_BYTES = 65_536
_NO_LINGER = struct.pack("ii", 1, 0)

CallHandler = Callable[["Call"], Awaitable[None]]


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of an orderly close."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


@dataclass(slots=True)
class Call:
    """One request that a stand-in has received, and the means to answer it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    protocol: h11.Connection
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    received_s: float = field(default_factory=time.monotonic)

    async def send(self, *events: h11.Event) -> None:
        """Send some h11 events of the response."""
        for event in events:
            self.writer.write(self.protocol.send(event) or b"")
        await self.writer.drain()

    async def respond(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send a whole response."""
        lines = {"content-length": str(len(body)), **(headers or {})}
        await self.send(
            h11.Response(status_code=status, headers=list(lines.items())),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        reset_connection(self.writer)


class HttpStandIn(LoopbackServer):
    """HTTP server on a port of the loopback interface.

    Parameters
    ----------
    handle : callable
        Coroutine function that answers one call.
    """

    def __init__(self, handle: CallHandler) -> None:
        super().__init__()
        self._handle = handle
        self._writers: set[asyncio.StreamWriter] = set()
        self._has_crashed = False

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 lets the kernel choose one."""
        self._has_crashed = False
        await super().start(port)

    def crash(self) -> None:
        """Refuse new connections and reset all open ones."""
        self._has_crashed = True
        self.stop_listening()
        for writer in self._writers:
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._has_crashed:
            # The kernel had accepted it before the crash.
            reset_connection(writer)
            return
        protocol = h11.Connection(h11.SERVER)
        self._writers.add(writer)
        try:
            while (call := await _read_call(protocol, reader, writer)) is not None:
                await self._handle(call)
                if writer.is_closing() or protocol.our_state is not h11.DONE:
                    return
                protocol.start_next_cycle()
        except (ConnectionError, h11.ProtocolError):
            # Tests include callers that disconnect in the middle of an exchange.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_call(
    protocol: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> Call | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}
            method, target = head.method.decode(), head.target.decode("latin-1")
            return Call(method, target, headers, bytes(body), protocol, reader, writer)
        else:
            return None


@dataclass(slots=True)
class Topic:
    """Records of a topic with a single partition, and the newest of each key."""

    records: list[bytes] = field(default_factory=list)
    n_deleted: int = 0
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.n_deleted + len(self.records)

    def copy(self) -> "Topic":
        """Return a topic with the same records."""
        return Topic(list(self.records), self.n_deleted, dict(self.newest))


class PlatformStore:
    """The platform's store: a log with topics, some of them keyed.

    Attributes
    ----------
    is_down : bool
        Whether calls are answered 503.
    is_silent : bool
        Whether calls get no answer.
    loses_answers : bool
        Whether connections are reset after an append, instead of an answer.
    n_calls : int
        Number of calls received.
    era : int
        Stated in all answers; rises each time the store is restored from a copy.
    """

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self.era = 1
        self._changed = asyncio.Event()
        self.is_down = False
        self.is_silent = False
        self.loses_answers = False
        self.n_calls = 0
        self.http = HttpStandIn(self._handle)

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a keyed record; None removes the key."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        name = key.encode()
        self._append(
            topic, bytes((len(name),)) + name + (b"" if value is None else data)
        )

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key that has not been removed."""
        topic_log = self._topics.get(topic, Topic())
        return {key: value for key, (value, _) in topic_log.newest.items() if value}

    def delete_history(self, topic: str) -> None:
        """Delete all records of a topic; the newest value of each key is kept."""
        topic_log = self._topics.setdefault(topic, Topic())
        topic_log.n_deleted = topic_log.end
        topic_log.records.clear()

    def copy(self) -> dict[str, Topic]:
        """Return a copy of all topics, for `restore`."""
        return {name: topic.copy() for name, topic in self._topics.items()}

    def restore(self, copy: dict[str, Topic]) -> None:
        """Lose everything that was written since a copy was made."""
        self._topics = {name: topic.copy() for name, topic in copy.items()}
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _append(self, topic: str, content: bytes) -> int:
        topic_log = self._topics.setdefault(topic, Topic())
        offset = topic_log.end
        topic_log.records.append(content)
        if topic.startswith("keyed."):
            key = content[1 : 1 + content[0]].decode()
            topic_log.newest[key] = (content[1 + content[0] :], offset)
        self._changed.set()
        self._changed = asyncio.Event()
        return offset

    async def _handle(self, call: Call) -> None:
        self.n_calls += 1
        path, _, query_text = call.target.partition("?")
        query = dict(part.split("=", 1) for part in query_text.split("&") if part)
        if self.is_silent:
            await asyncio.Event().wait()
        if self.is_down:
            await self._respond(call, 503)
        elif path == "/v1/log-newest":
            await self._handle_newest(call, query)
        elif path == "/v1/log-read":
            await self._handle_read(call, query)
        elif path == "/v1/log-append":
            await self._handle_append(call, query)
        else:
            await self._respond(call, 404)

    async def _respond(self, call: Call, status: int, body: bytes = b"") -> None:
        await call.respond(status, body, {"Store-Era": str(self.era)})

    async def _handle_newest(self, call: Call, query: dict[str, str]) -> None:
        topic = self._topics.setdefault(query["topic"], Topic())
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": offset}
            for k, (v, offset) in topic.newest.items()
            if v
        ]
        page = {"items": items, "has_more": False, "end": topic.end}
        await self._respond(call, 200, msgspec.json.encode(page))

    async def _handle_read(self, call: Call, query: dict[str, str]) -> None:
        topic = self._topics.setdefault(query["topic"], Topic())
        offset = int(query["from"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while offset == topic.end and time.monotonic() < until_s:
            try:
                async with asyncio.timeout(until_s - time.monotonic()):
                    await self._changed.wait()
            except TimeoutError:
                # No record arrived within the wait time of the request.
                break
            topic = self._topics.setdefault(query["topic"], Topic())
        if not topic.n_deleted <= offset <= topic.end:
            answer = {"first": topic.n_deleted}
            await self._respond(call, 410, msgspec.json.encode(answer))
            return
        body = _BOUNDS.pack(topic.end, topic.n_deleted)
        for record in topic.records[offset - topic.n_deleted :]:
            body += _LENGTH.pack(len(record)) + record
        await self._respond(call, 200, body)

    async def _handle_append(self, call: Call, query: dict[str, str]) -> None:
        body, position, offset = call.body, 0, 0
        while position < len(body):
            (n_bytes,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            offset = self._append(query["topic"], body[position : position + n_bytes])
            position += n_bytes
        if self.loses_answers:
            call.reset()
            return
        answer = {"offset": offset, "end": offset + 1}
        await self._respond(call, 200, msgspec.json.encode(answer))


_FILLER = b"a" * 16_000
# Pause between writes, so that an endless response does not use up the CPU time of
# the process.
_FILLER_PAUSE_S = 0.02


async def _send_without_end(
    call: Call, response_headers: dict[str, str], prefix: bytes, filler: bytes
) -> None:
    """Start a response and send filler bytes until the caller closes."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in response_headers.items())
    call.writer.write(f"HTTP/1.1 200 OK\r\n{lines}".encode() + prefix)
    while not call.writer.is_closing():
        call.writer.write(filler)
        await call.writer.drain()
        await asyncio.sleep(_FILLER_PAUSE_S)


class UpstreamFault(Enum):
    """Fault that an upstream injects into its answers."""

    NONE = "none"
    SHEDS = "503 with the statement that it has not run the request"
    ERRORS = "500 of its own"
    LARGE_ERRORS = "500 with a body of a megabyte"
    BUSY_AFTER_RUN = "503 of its own, without that statement"
    CUTS = "resets the connection in the middle of the body"
    ENDS_EARLY = "closes a body without framing in the middle of an event"
    ENDS_BETWEEN_EVENTS = "closes a body without framing before the end of the stream"
    LOSES_ANSWER = "runs the request and resets the connection"
    MUTE = "never answers"
    GARBAGE = "sends bytes that are not an HTTP response"
    EXTRA = "sends a second response after the first"
    UNFRAMED = "sends a whole body without framing"
    UNMARKED = "sends a response without the headers that identify it"
    CRASHES = "stops listening as it begins to run the request"
    ENDLESS_HEAD = "sends headers without end"
    ENDLESS_BODY = "sends a body without end"
    DRIPS = "sends single bytes with pauses, and never a whole response"


class PlatformUpstream:
    """One upstream that runs requests as they arrive, without a queue.

    Parameters
    ----------
    upstream_id : str
        Identifier of this incarnation.
    service : str
        Service that it belongs to.
    n_events : int
        Number of events in a stream.
    event_interval_s : float
        Pause before each event, in seconds.
    software_version : str
        Version of its software, which it writes into its entry in the store.
    """

    def __init__(
        self,
        upstream_id: str,
        service: str,
        n_events: int = 4,
        event_interval_s: float = 0.0,
        software_version: str = "v1",
    ) -> None:
        self.software_version = software_version
        self.upstream_id = upstream_id
        self.service = service
        self.n_events = n_events
        self.event_interval_s = event_interval_s
        self.fault = UpstreamFault.NONE
        # Whether each event of a stream names the software version of its writer.
        self.names_version = False
        # Headers added to all its responses, such as the one that says it is leaving.
        self.extra_headers: dict[str, str] = {}
        # Parts of prompts that crash it as it begins to respond, whatever else the
        # prompt contains.
        self.crashing_parts: frozenset[str] = frozenset()
        # Whether it sends the first event of a stream before such a crash.
        self.crashes_after_event = False
        self.n_crashes = 0
        # Called for a crash, instead of the reset of all connections.
        self.on_crash: Callable[[], None] | None = None
        self.started_ms = 1_700_000_000_000
        # Whether it answers the question for its report, which states its start.
        self.states_start = True
        self.is_silent_on_start = False
        # Its start when it was asked, for each such question.
        self.start_queries: list[int] = []
        self.executed_calls: list[Call] = []
        # Software version at each of these calls.
        self.versions_run: list[str] = []
        # All requests that were meant for it, with those that it rejects.
        self.received_calls: list[Call] = []
        self.n_caller_disconnects = 0
        self.n_shed = 0
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.http = HttpStandIn(self._handle)

    def store_entry(self, state: str = "ready", slots: int = 4) -> dict[str, Any]:
        """Return its entry in the store."""
        return make_store_entry(
            self.service,
            self.http.port,
            self.software_version,
            self.started_ms,
            state,
            slots,
        )

    async def _handle(self, call: Call) -> None:
        expected = call.headers.get("x-expect-instance")
        if expected not in (None, self.upstream_id):
            instance_header = {"X-Instance-Id": self.upstream_id}
            await call.respond(421, headers=instance_header | self.extra_headers)
            return
        if call.target == "/v1/report":
            await self._report(call)
            return
        self.received_calls.append(call)
        if self.fault is UpstreamFault.SHEDS:
            self.n_shed += 1
            not_run = {"X-Not-Executed": "1"}
            await call.respond(503, headers=not_run | self.extra_headers)
            return
        self.executed_calls.append(call)
        self.versions_run.append(self.software_version)
        if shared_parts(call) & self.crashing_parts:
            if self.crashes_after_event:
                await self._begin_stream(call)
            await self.may_answer.wait()
            self.crash()
            return
        await self._run(call)

    async def _report(self, call: Call) -> None:
        """State the start of this process; a slot is not needed."""
        self.start_queries.append(self.started_ms)
        if self.is_silent_on_start:
            await self._wait_until_caller_closes(call)
            return
        if not self.states_start:
            await call.respond(400, headers={"X-Not-Executed": "1"})
            return
        report = {"stage": "colocated", "seq": 0, "born": self.started_ms}
        await call.respond(
            200, msgspec.json.encode(report), {"content-type": "application/json"}
        )

    async def _begin_stream(self, call: Call) -> None:
        headers = {
            "X-Attempt-Id": call.headers.get("x-attempt-id", ""),
            "X-Response-Seal": f"seal.{self.upstream_id}",
            "transfer-encoding": "chunked",
        }
        await call.send(
            h11.Response(status_code=200, headers=list(headers.items())),
            h11.Data(data=b"id: 1\ndata: token 1\n\n"),
        )

    def crash(self) -> None:
        """End as a process that crashes: all connections are reset."""
        self.n_crashes += 1
        if self.on_crash is not None:
            self.on_crash()
        else:
            self.http.crash()

    async def restart(self) -> None:
        """Start again at the same address, as a new start of the same upstream."""
        self.started_ms += 1
        await self.http.start(self.http.port)

    async def _run(self, call: Call) -> None:
        response_headers = {
            "X-Attempt-Id": call.headers.get("x-attempt-id", ""),
            "X-Response-Seal": f"seal.{self.upstream_id}",
            **self.extra_headers,
        }
        match self.fault:
            case UpstreamFault.ERRORS:
                await call.respond(500, b"failed", response_headers)
            case UpstreamFault.LARGE_ERRORS:
                await call.respond(500, b"x" * 1_000_000, response_headers)
            case UpstreamFault.BUSY_AFTER_RUN:
                await call.respond(503, b"failed", response_headers)
            case UpstreamFault.LOSES_ANSWER:
                call.reset()
            case UpstreamFault.CRASHES:
                call.reset()
                self.http.stop_listening()
            case UpstreamFault.MUTE:
                await self._wait_until_caller_closes(call)
            case UpstreamFault.GARBAGE:
                call.writer.write(b"\x00\x01 no response\r\n\r\n")
                call.writer.close()
            case UpstreamFault.UNMARKED:
                await call.respond(200, b"whose?")
            case UpstreamFault.ENDLESS_HEAD:
                await _send_without_end(call, {}, b"", b"X-Filler: %s\r\n" % _FILLER)
            case UpstreamFault.ENDLESS_BODY:
                await _send_without_end(call, response_headers, b"\r\n", _FILLER)
            case UpstreamFault.DRIPS:
                await _send_without_end(call, response_headers, b"\r\nid: 1\n", b"d")
            case _ if "x-token-usage" in call.headers:
                await self._stream(call, response_headers)
            case UpstreamFault.CUTS:
                head = {"content-length": "100", **response_headers}
                await call.send(
                    h11.Response(status_code=200, headers=list(head.items())),
                    h11.Data(data=b"a part"),
                )
                call.reset()
            case UpstreamFault.UNFRAMED:
                await self.may_answer.wait()
                _write_unframed_head(call, response_headers)
                call.writer.write(b"done " + call.body)
                call.writer.close()
            case _:
                await self.may_answer.wait()
                await call.respond(200, b"done " + call.body, response_headers)
                if self.fault is UpstreamFault.EXTRA:
                    call.writer.write(_extra_response())

    async def _stream(self, call: Call, response_headers: dict[str, str]) -> None:
        is_framed = self.fault not in (
            UpstreamFault.UNFRAMED,
            UpstreamFault.ENDS_EARLY,
            UpstreamFault.ENDS_BETWEEN_EVENTS,
        )
        headers = {"content-type": "text/event-stream", **response_headers}
        if is_framed:
            headers["transfer-encoding"] = "chunked"
            await call.send(
                h11.Response(status_code=200, headers=list(headers.items()))
            )
        else:
            _write_unframed_head(call, headers)
        first = int(call.headers.get("last-event-id", "0")) + 1
        writer_text = f" of {self.software_version}" if self.names_version else ""
        for number in range(first, self.n_events + 1):
            await asyncio.sleep(self.event_interval_s)
            await self.may_answer.wait()
            event = f"id: {number}\ndata: token {number}{writer_text}\n\n".encode()
            is_fault_event = number == (first + self.n_events + 1) // 2
            if is_fault_event and self.fault is UpstreamFault.CUTS:
                await call.send(h11.Data(data=event[:5]))
                call.reset()
                return
            if is_fault_event and self.fault is UpstreamFault.ENDS_EARLY:
                call.writer.write(event[:5])
                call.writer.close()
                return
            if is_fault_event and self.fault is UpstreamFault.ENDS_BETWEEN_EVENTS:
                call.writer.close()
                return
            if is_framed:
                await call.send(h11.Data(data=event))
            else:
                call.writer.write(event)
        if is_framed:
            await call.send(h11.EndOfMessage())
        else:
            call.writer.close()

    async def _wait_until_caller_closes(self, call: Call) -> None:
        try:
            while await call.reader.read(_READ_BYTES):
                pass
        except ConnectionError:
            # The caller closed the connection with a reset.
            pass
        self.n_caller_disconnects += 1
        call.writer.close()


def shared_parts(call: Call) -> frozenset[str]:
    """Return the parts of a prompt that other requests may share: all but the last."""
    entries = call.headers.get("x-prompt-prefix", "").split(",")
    return frozenset(entry.partition(":")[0] for entry in entries[:-1])


def _write_unframed_head(call: Call, headers: dict[str, str]) -> None:
    lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    call.writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())


def _extra_response() -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\n"
        b"X-Response-Seal: seal.other\r\nContent-Length: 6\r\n\r\nothers"
    )
