"""A reference model of claims, kept in memory and correct for a single process."""

from pomelothread.log.claim_results import (
    AlreadyDone,
    AlreadyRunning,
    ClaimAbandoned,
    Claimed,
    ClaimResult,
    ClaimToken,
    KeyReused,
    KeyUnclaimed,
    LookupResult,
)
from pomelothread.outcomes import Run


class NaiveClaims:
    """Remembers each key with its body and its response."""

    def __init__(self) -> None:
        self._orders: dict[str, tuple[bytes, Run | None]] = {}
        self._abandoned: set[str] = set()

    def claim(self, key: str, body: bytes) -> ClaimResult:
        if key not in self._orders:
            self._orders[key] = (body, None)
            self._abandoned.discard(key)
            return Claimed(ClaimToken(key.encode(), body, 1, 0, 0))
        first_body, run = self._orders[key]
        if body != first_body:
            return KeyReused()
        return AlreadyRunning() if run is None else AlreadyDone(run)

    def finish(self, key: str, status: int, headers, body: bytes) -> None:
        request_body = self._orders[key][0]
        self._orders[key] = (request_body, Run(status, headers, body, replayed=True))

    def abandon(self, key: str) -> None:
        del self._orders[key]
        self._abandoned.add(key)

    def lookup(self, key: str) -> LookupResult:
        if key in self._abandoned:
            return ClaimAbandoned()
        if key not in self._orders:
            return KeyUnclaimed()
        run = self._orders[key][1]
        return AlreadyRunning() if run is None else AlreadyDone(run)
