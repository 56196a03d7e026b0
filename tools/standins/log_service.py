"""Stand-in for the platform's append-only log, with fault injection.

Requests and responses have the form of the Kafka REST Proxy v2, with one partition
for each topic. ``python -m standins.log_service --port=0`` prints one JSON line
with its address once it listens.
"""

import asyncio
import bisect
import json
from collections import Counter
from typing import Any

import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web
from absl import app, flags

from pomelothread.clock import Clock, SystemClock

CONTENT_TYPE = "application/vnd.kafka.v2+json"
ERROR_OFFSET_DELETED = 40410
MAX_RECORDS_PER_READ = 500


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force; ``POST /_faults`` replaces the fields that it names.

    Parameters
    ----------
    down : bool
        Every call is answered 503.
    refuse_appends, refuse_reads : bool
        Only appends, or only reads, are answered 503.
    lose_append_answers : bool or int
        Appends take effect, then the connection is closed without an answer.
        True concerns all appends, a number that many.
    delay_s, delay_answer_s : float
        Delays before a call takes effect, and between effect and answer.
    retention_s : float or None
        Records older than this are deleted.
    expire_before : int
        Records of every topic with a lower offset are deleted.
    appends_per_s : float or None
        Appends above this rate are answered 429. Bursts of up to the appends of
        one second are allowed.
    hang : bool
        Calls have no effect and are never answered. Their connections are closed
        when the fault is switched off.
    """

    down: bool = False
    refuse_appends: bool = False
    refuse_reads: bool = False
    lose_append_answers: bool | int = False
    delay_s: float = 0.0
    delay_answer_s: float = 0.0
    retention_s: float | None = None
    expire_before: int = 0
    appends_per_s: float | None = None
    hang: bool = False


class Topic:
    """Records of one topic; `first_offset` is the lowest retained offset."""

    __slots__ = ("appended_s", "first_offset", "name", "values")

    def __init__(self, name: str) -> None:
        self.name = name
        self.first_offset = 0
        self.appended_s: list[float] = []
        self.values: list[Any] = []

    @property
    def next_offset(self) -> int:
        """Offset that the next append gets."""
        return self.first_offset + len(self.values)

    def append(self, value: Any, now_s: float) -> int:
        """Store a record and return its offset."""
        self.appended_s.append(now_s)
        self.values.append(value)
        return self.next_offset - 1

    def delete_before(self, offset: int) -> None:
        """Delete the records with lower offsets."""
        n_deleted = min(offset - self.first_offset, len(self.values))
        if n_deleted <= 0:
            return
        del self.appended_s[:n_deleted]
        del self.values[:n_deleted]
        self.first_offset += n_deleted

    def delete_older(self, limit_s: float) -> None:
        """Delete the records that were appended before `limit_s`."""
        n_deleted = bisect.bisect_left(self.appended_s, limit_s)
        self.delete_before(self.first_offset + n_deleted)

    def read(self, offset: int) -> list[dict[str, Any]]:
        """Return the records from `offset` on, as they are sent to clients."""
        begin = offset - self.first_offset
        end = min(begin + MAX_RECORDS_PER_READ, len(self.values))
        return [
            {
                "topic": self.name,
                "partition": 0,
                "offset": self.first_offset + index,
                "timestamp": round(self.appended_s[index] * 1000),
                "value": self.values[index],
            }
            for index in range(begin, end)
        ]


class LogService:
    """The log service, for use inside a test process or as a program.

    Parameters
    ----------
    clock : Clock
        Clock for record timestamps, retention and delays.

    Attributes
    ----------
    faults : Faults
        Tests may change it directly and must then call `notify`.
    address : str
        ``127.0.0.1:PORT`` once started.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock: Clock = clock or SystemClock()
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.topics: dict[str, Topic] = {}
        self.address = ""
        self._changed = asyncio.Event()
        self._append_tokens = 1.0
        self._tokens_updated_s = 0.0
        self._server: tornado.httpserver.HTTPServer | None = None

    def start(self, port: int = 0) -> str:
        """Listen on the loopback interface and return the address."""
        service = {"service": self}
        application = tornado.web.Application(
            [
                (r"/topics/([\w.\-]+)", _AppendHandler, service),
                (r"/topics/([\w.\-]+)/partitions/0/records", _ReadHandler, service),
                (r"/_faults", _FaultsHandler, service),
                (r"/_state", _StateHandler, service),
            ],
            log_function=lambda handler: None,
        )
        sockets = tornado.netutil.bind_sockets(port, "127.0.0.1")
        self._server = tornado.httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is None:
            return
        self._server.stop()
        self.faults = Faults(down=True)
        self.notify()
        await self._server.close_all_connections()

    def notify(self) -> None:
        """Wake the calls that wait for a record or for the end of a fault."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, max_wait_s: float | None) -> None:
        """Wait for `notify`, at most `max_wait_s` seconds of the clock."""
        changed = asyncio.ensure_future(self._changed.wait())
        tasks: set[asyncio.Future[Any]] = {changed}
        if max_wait_s is not None:
            tasks.add(asyncio.ensure_future(self.clock.sleep(max_wait_s)))
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    def topic(self, name: str) -> Topic:
        """Apply retention to a topic and return it; create it if it is new."""
        topic = self.topics.get(name)
        if topic is None:
            topic = self.topics[name] = Topic(name)
        topic.delete_before(self.faults.expire_before)
        if self.faults.retention_s is not None:
            now_s = self.clock.now().timestamp()
            topic.delete_older(now_s - self.faults.retention_s)
        return topic

    def take_append_token(self) -> bool:
        """Tell whether an append is within the rate limit, and count it if it is."""
        rate = self.faults.appends_per_s
        if rate is None:
            return True
        if rate <= 0:
            return False
        now_s = self.clock.monotonic_s()
        refill = (now_s - self._tokens_updated_s) * rate
        self._append_tokens = min(max(rate, 1.0), self._append_tokens + refill)
        self._tokens_updated_s = now_s
        if self._append_tokens < 1.0:
            return False
        self._append_tokens -= 1.0
        return True

    def consume_lost_answer(self) -> bool:
        """Tell whether to drop the answer to an append, and count a dropped one."""
        match self.faults.lose_append_answers:
            case bool() as loses_all:
                return loses_all
            case n_left if n_left > 0:
                self.faults.lose_append_answers = n_left - 1
                return True
            case _:
                return False


class _Handler(tornado.web.RequestHandler):
    """Base of the handlers: applies the faults that concern every call."""

    def initialize(self, service: LogService) -> None:
        self.service = service

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()

    def write_json(self, value: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", CONTENT_TYPE)
        self.finish(msgspec.json.encode(value))

    def write_error_body(self, status: int, message: str, **members: int) -> None:
        self.service.counts[f"status_{status}"] += 1
        body = {"error_code": status * 100 + 1, "message": message, **members}
        self.write_json(body, status)

    async def apply_faults(self, refused: bool) -> bool:
        """Apply the faults that precede the effect; False if the call has ended."""
        service = self.service
        if service.faults.delay_s > 0:
            await service.clock.sleep(service.faults.delay_s)
        if service.faults.hang:
            service.counts["hung"] += 1
            while service.faults.hang:
                await service.wait_for_change(None)
            self.drop_connection()
            return False
        if service.faults.down or refused:
            self.write_error_body(503, "the log is not available")
            return False
        return True


class _AppendHandler(_Handler):
    async def post(self, topic_name: str) -> None:
        service = self.service
        if not await self.apply_faults(service.faults.refuse_appends):
            return
        if not service.take_append_token():
            self.write_error_body(429, "too many appends")
            return
        try:
            values = [
                item["value"] for item in json.loads(self.request.body)["records"]
            ]
        except (ValueError, KeyError, TypeError):
            self.write_error_body(422, 'expected {"records": [{"value": ...}, ...]}')
            return
        topic = service.topic(topic_name)
        now_s = service.clock.now().timestamp()
        offsets = [topic.append(value, now_s) for value in values]
        service.counts["appends"] += 1
        service.counts["append_bytes"] += len(self.request.body)
        service.notify()
        if service.faults.delay_answer_s > 0:
            await service.clock.sleep(service.faults.delay_answer_s)
        if service.consume_lost_answer():
            service.counts["lost_answers"] += 1
            self.drop_connection()
            return
        self.write_json(
            {"offsets": [{"partition": 0, "offset": offset} for offset in offsets]}
        )


class _ReadHandler(_Handler):
    async def get(self, topic_name: str) -> None:
        service = self.service
        if not await self.apply_faults(service.faults.refuse_reads):
            return
        offset = int(self.get_query_argument("offset"))
        max_wait_s = int(self.get_query_argument("max_wait_ms", "0")) / 1000
        deadline_s = service.clock.monotonic_s() + max_wait_s
        while True:
            topic = service.topic(topic_name)
            if offset < topic.first_offset:
                self.write_error_body(
                    404,
                    f"offset {offset} was deleted by retention",
                    error_code=ERROR_OFFSET_DELETED,
                    first_offset=topic.first_offset,
                )
                return
            if service.faults.down or service.faults.refuse_reads:
                self.write_error_body(503, "the log is not available")
                return
            left_s = deadline_s - service.clock.monotonic_s()
            if offset < topic.next_offset or left_s <= 0:
                break
            service.counts["polls"] += 1
            await service.wait_for_change(left_s)
        service.counts["reads"] += 1
        records = topic.read(offset)
        if service.faults.delay_answer_s > 0:
            await service.clock.sleep(service.faults.delay_answer_s)
        self.write_json(records)


class _FaultsHandler(_Handler):
    def post(self) -> None:
        service = self.service
        current = msgspec.to_builtins(service.faults)
        try:
            changes = msgspec.json.decode(self.request.body, type=dict[str, Any])
            service.faults = msgspec.convert(current | changes, Faults)
        except msgspec.MsgspecError as error:
            self.write_error_body(422, str(error))
            return
        service.notify()
        self.write_json(service.faults)


class _StateHandler(_Handler):
    def get(self) -> None:
        service = self.service
        topics = {
            name: {"first_offset": topic.first_offset, "next_offset": topic.next_offset}
            for name, topic in service.topics.items()
        }
        self.write_json(
            {"counts": service.counts, "topics": topics, "faults": service.faults}
        )


async def _serve(port: int) -> None:
    address = LogService().start(port)
    print(json.dumps({"address": address}), flush=True)
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve until the process is stopped."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments {argv[1:]}")
    asyncio.run(_serve(flags.FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 0, "Port to listen on; 0 takes a free one.")
    app.run(main)
