"""Stored responses of orders, read from the log when they are asked for."""

from collections import OrderedDict

import msgspec
from returns.result import Failure, Result, Success

from ..outcomes import Run
from .claim_records import ClaimBatch, Done, decode_record
from .ledger import KeyEntry
from .records import LogClient, LogFailure, LogFault, LogRecord

# Responses are at most 16 KiB; about this many bytes of them stay in memory.
CACHE_SIZE_BYTES = 1024 * 1024
RESPONSE_OVERHEAD_BYTES = 1024


class StoredResponses:
    """Responses of finished orders: the latest own ones, others from the log.

    The ledger holds an offset for each response instead of its body, since a
    day of orders would not fit into the 32 MB that control may use of a node.

    Parameters
    ----------
    client : LogClient
        The log.
    topic : str
        Topic of the claims.
    cache_size_bytes : int, default=CACHE_SIZE_BYTES
        Limit for the responses kept in memory.
    """

    def __init__(
        self, client: LogClient, topic: str, cache_size_bytes: int = CACHE_SIZE_BYTES
    ) -> None:
        self._client = client
        self._topic = topic
        self._cache_size_bytes = cache_size_bytes
        self._cached: OrderedDict[bytes, Done] = OrderedDict()
        self._cached_bytes = 0
        self._window: dict[int, LogRecord] = {}

    def remember(self, done: Done) -> None:
        """Keep a response in memory, in place of the oldest ones."""
        self._forget(done.key_digest)
        self._cached[done.key_digest] = done
        self._cached_bytes += _size_bytes(done)
        while self._cached_bytes > self._cache_size_bytes:
            self._forget(next(iter(self._cached)))

    async def fetch(
        self, key_digest: bytes, entry: KeyEntry
    ) -> Result[Done, LogFailure]:
        """Return the record with the response to the order of a key.

        Parameters
        ----------
        key_digest : bytes
            Digest of the scoped key.
        entry : KeyEntry
            What the ledger holds of the key; its state is done.

        Returns
        -------
        Result of Done, LogFailure
            A failure if the log cannot be read now.
        """
        cached = self._cached.get(key_digest)
        # A key that expired and was used again has another origin.
        if cached is not None and cached.origin == entry.origin:
            return Success(cached)
        offset = entry.done_offset
        if offset not in self._window:
            match await self._client.read(self._topic, offset, 0.0):
                case Success(batch):
                    self._window = {record.offset: record for record in batch.records}
                case Failure(failure):
                    return Failure(failure)
        record = self._window.get(offset)
        done = None if record is None else _find_done(record, key_digest)
        if done is None or done.origin != entry.origin:
            detail = f"offset {offset} no longer holds the response"
            return Failure(LogFailure(LogFault.REFUSED, detail))
        return Success(done)

    def release_window(self) -> None:
        """Forget the records read for the last responses."""
        self._window = {}

    def _forget(self, key_digest: bytes) -> None:
        done = self._cached.pop(key_digest, None)
        if done is not None:
            self._cached_bytes -= _size_bytes(done)


def _size_bytes(done: Done) -> int:
    return RESPONSE_OVERHEAD_BYTES + len(done.body)


def _find_done(record: LogRecord, key_digest: bytes) -> Done | None:
    batch = msgspec.convert(record.value, ClaimBatch)
    for item in batch.entries:
        match decode_record(item):
            case Done() as done if done.key_digest == key_digest:
                return done
    return None


def run_of(done: Done, replayed: bool = True) -> Run:
    """Return the response in a record as an outcome."""
    return Run(done.status, done.headers, done.body, replayed)
