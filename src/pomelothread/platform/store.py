"""Client of the platform's store, which keeps a log for each topic, over HTTP."""

import asyncio
import base64
import logging
import struct
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from ..addresses import Address
from ..events import Event, log_event
from ..gateway.feeds import FeedFault, KeyedRecord, Records
from ..http1.client import ConnectionPool, Exchange, ExchangeFault
from ..http1.messages import Headers, Request, header
from ..undecodable import UNDECODABLE

_log = logging.getLogger(__name__)

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
LISTING_TOPIC = "keyed.servers"
# Topics that the gateways write.
CRASH_TOPIC = "keyed.crashes"
PART_CRASH_TOPIC = "keyed.part-crashes"
QUOTA_TOPIC = "keyed.quotas"
VERSION_TOPIC = "keyed.versions"

# Rises each time the store returns from an older copy.
_EPOCH = b"store-era"
MAX_EPOCH_DIGITS = 9

# The store closes connections that are idle for longer; only reads reuse them.
MAX_IDLE_S = 10.0
# A page or a read holds at most 1 MB, which is 1.4 MB in base64 with its fields.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Limit of the pages that are read of one topic; 17,000 keys take 34.
MAX_PAGES = 200

_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


class _Item(msgspec.Struct):
    key: str
    # The value in base64; missing if the key was deleted.
    value: str | None = None


class _NewestPage(msgspec.Struct):
    items: list[_Item]
    end: int
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class _Answer:
    """Answer of the store; status 0 if there is none."""

    status: int = 0
    body: bytes = b""
    epoch: int | None = None


class StoreClient:
    """Reads and appends records of the store.

    Parameters
    ----------
    address : Address
        Address of the store.
    pool : ConnectionPool
        Pool for this client alone, so that long polls hold up no other requests.
    answer_s : float
        Timeout of a call, in addition to the time that a read asks to wait.
    observe_epoch : callable
        Called with the epoch that an answer names, before the answer is used.
    """

    def __init__(
        self,
        address: Address,
        pool: ConnectionPool,
        answer_s: float,
        observe_epoch: Callable[[int], None] = lambda epoch: None,
    ) -> None:
        self._address = address
        self._pool = pool
        self._answer_s = answer_s
        self._observe_epoch = observe_epoch

    async def read_newest(self, topic: str) -> Result[Records, FeedFault]:
        """Return the newest record of each key of a topic."""
        records: list[KeyedRecord] = []
        after = ""
        first: _Answer | None = None
        end = 0
        for _ in range(MAX_PAGES):
            target = f"/v1/log-newest?topic={topic}&part=0"
            if after:
                target += f"&after={quote(after, safe='')}"
            answer = await self._call("GET", target, b"", self._answer_s)
            if answer.status != 200:
                return Failure(FeedFault.UNAVAILABLE)
            if first is not None and answer.epoch != first.epoch:
                return Failure(FeedFault.RESTORED)
            try:
                page = msgspec.json.decode(answer.body, type=_NewestPage)
                records += [_decode_item(item) for item in page.items]
            except UNDECODABLE as error:
                log_event(_log, Event.FEED_MALFORMED, feed=topic, detail=error)
                return Failure(FeedFault.UNAVAILABLE)
            # The pages are not one snapshot. Following from the end of the first
            # page reads again what changed between them.
            if first is None:
                first, end = answer, page.end
            if not page.has_more or not page.items:
                return Success(Records(tuple(records), end, answer.epoch))
            after = page.items[-1].key
        log_event(_log, Event.FEED_MALFORMED, feed=topic, detail="too many pages")
        return Failure(FeedFault.UNAVAILABLE)

    async def read_from(
        self, topic: str, offset: int, wait_s: float
    ) -> Result[Records, FeedFault]:
        """Return the records of a topic from an offset on."""
        target = f"/v1/log-read?topic={topic}&part=0&from={offset}"
        if wait_s:
            target += f"&wait_ms={round(wait_s * 1000)}"
        answer = await self._call("GET", target, b"", wait_s + self._answer_s)
        if answer.status == 410:
            return Failure(FeedFault.EXPIRED)
        if answer.status != 200:
            return Failure(FeedFault.UNAVAILABLE)
        records = _decode_records(answer.body)
        if records is None:
            log_event(_log, Event.FEED_MALFORMED, feed=topic, detail="truncated")
            return Failure(FeedFault.UNAVAILABLE)
        return Success(Records(records, offset + len(records), answer.epoch))

    async def append(self, topic: str, key: str, value: bytes) -> bool:
        """Append one keyed record; return whether the store confirmed it."""
        name = key.encode()
        content = bytes((len(name),)) + name + value
        body = _LENGTH.pack(len(content)) + content
        target = f"/v1/log-append?topic={topic}&part=0"
        answer = await self._call("POST", target, body, self._answer_s)
        return answer.status == 200

    async def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> _Answer:
        # When a reused connection fails, the request may have been carried out.
        # Only reads may be repeated, so only they reuse connections.
        max_idle_s = MAX_IDLE_S if method == "GET" else 0.0
        headers: Headers = ((b"host", str(self._address).encode()),)
        request = Request(method.encode(), target.encode(), headers, body)
        connection = await self._pool.acquire(self._address, max_idle_s)
        if isinstance(connection, ExchangeFault):
            return _Answer()
        exchange = Exchange(connection, request, lambda _: True)
        try:
            async with asyncio.timeout(timeout_s):
                exchange.send()
                response = await exchange.read_whole(MAX_ANSWER_BYTES)
                if isinstance(response, ExchangeFault):
                    return _Answer()
        except TimeoutError:
            # Not logged: the follower logs each outage once, instead of every call.
            return _Answer()
        finally:
            exchange.finish(self._pool, self._address)
            if not exchange.is_complete:
                # The idle connections have most likely failed too; each would time out.
                self._pool.close_idle(self._address)
        epoch = _parse_epoch(exchange.head.headers if exchange.head else ())
        if epoch is not None:
            self._observe_epoch(epoch)
        return _Answer(*response, epoch)


class TopicFeed:
    """One topic of the store as a `KeyedFeed`.

    Parameters
    ----------
    client : StoreClient
        Client that makes the calls.
    topic : str
        Name of the topic.
    """

    def __init__(self, client: StoreClient, topic: str) -> None:
        self._client = client
        self._topic = topic

    async def read_newest(self) -> Result[Records, FeedFault]:
        """Return the newest record of each key."""
        return await self._client.read_newest(self._topic)

    async def read_from(self, offset: int, wait_s: float) -> Result[Records, FeedFault]:
        """Return the records from an offset on."""
        return await self._client.read_from(self._topic, offset, wait_s)


def _parse_epoch(headers: Headers) -> int | None:
    value = header(headers, _EPOCH) or b""
    is_valid = value.isdigit() and len(value) <= MAX_EPOCH_DIGITS
    return int(value) if is_valid else None


def _decode_item(item: _Item) -> KeyedRecord:
    if item.value is None:
        return KeyedRecord(item.key, None)
    return KeyedRecord(item.key, base64.b64decode(item.value) or None)


def _decode_records(body: bytes) -> tuple[KeyedRecord, ...] | None:
    """Decode a read: two offsets, then records of length, key length, key, value."""
    if len(body) < _READ_HEADER.size:
        return None
    records = []
    position = _READ_HEADER.size
    while position < len(body):
        if position + _LENGTH.size > len(body):
            return None
        (n_bytes,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + n_bytes]
        if len(content) < n_bytes:
            return None
        position += n_bytes
        records.append(_decode_keyed(content))
    return tuple(records)


def _decode_keyed(content: bytes) -> KeyedRecord:
    if not content:
        return KeyedRecord("", None)
    n_key = content[0]
    key = content[1 : 1 + n_key].decode(errors="replace")
    return KeyedRecord(key, content[1 + n_key :] or None)
