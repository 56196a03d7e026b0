"""Stored responses of orders, read from the log on demand."""

from collections import OrderedDict

import msgspec
from returns.result import Failure, Result, Success

from ..outcomes import Run
from .claim_records import ClaimBatch, Done, decode_record
from .ledger import KeyEntry
from .records import LogClient, LogFailure, LogFault, LogRecord

# Approximate limit of the cache; each response body has at most 16 KiB.
CACHE_SIZE_BYTES = 1024 * 1024
RESPONSE_OVERHEAD_BYTES = 1024


class StoredResponses:
    """Responses of finished orders, from a cache of own responses or from the log.

    The ledger holds the offset of each response instead of its body, because the
    bodies of one day would not fit into the 32 MB of memory that the control
    plane may use on a node.

    Parameters
    ----------
    client : LogClient
        The log.
    topic : str
        Topic of the claims.
    cache_size_bytes : int, default=CACHE_SIZE_BYTES
        Size limit of the cached responses.
    """

    def __init__(
        self, client: LogClient, topic: str, cache_size_bytes: int = CACHE_SIZE_BYTES
    ) -> None:
        self._client = client
        self._topic = topic
        self._cache_size_bytes = cache_size_bytes
        self._cached: OrderedDict[bytes, Done] = OrderedDict()
        self._cached_bytes = 0
        self._last_read_records: dict[int, LogRecord] = {}

    def cache(self, done: Done) -> None:
        """Add a response to the cache and evict the oldest ones beyond its limit."""
        self._evict(done.key_digest)
        self._cached[done.key_digest] = done
        self._cached_bytes += _size_bytes(done)
        while self._cached_bytes > self._cache_size_bytes:
            self._evict(next(iter(self._cached)))

    async def fetch(
        self, key_digest: bytes, entry: KeyEntry
    ) -> Result[Done, LogFailure]:
        """Return the record with the response of an order.

        Parameters
        ----------
        key_digest : bytes
            Digest of the scoped key.
        entry : KeyEntry
            Ledger entry of the key, in the state `KeyState.DONE`.

        Returns
        -------
        Result of Done, LogFailure
            A failure if the log cannot be read or no longer holds the response.
        """
        cached = self._cached.get(key_digest)
        # A key that was used again after it had expired has another origin.
        if cached is not None and cached.origin == entry.origin:
            return Success(cached)
        offset = entry.done_offset
        if offset not in self._last_read_records:
            match await self._client.read(self._topic, offset, 0.0):
                case Success(batch):
                    self._last_read_records = {
                        record.offset: record for record in batch.records
                    }
                case Failure(failure):
                    return Failure(failure)
        record = self._last_read_records.get(offset)
        done = None if record is None else _find_done(record, key_digest)
        if done is None or done.origin != entry.origin:
            detail = f"offset {offset} no longer holds the response"
            return Failure(LogFailure(LogFault.REFUSED, detail))
        return Success(done)

    def clear_last_read(self) -> None:
        """Discard the records of the last read."""
        self._last_read_records = {}

    def _evict(self, key_digest: bytes) -> None:
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
    """Return the response of a record as an outcome."""
    return Run(done.status, done.headers, done.body, replayed)
