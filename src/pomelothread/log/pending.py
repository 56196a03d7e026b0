"""Claims that are being made by one claimant, and their time limit."""

import asyncio
from collections import deque

from ..clock import Clock
from .claim_writer import Outgoing


class PendingClaim:
    """One call that waits for the log.

    Attributes
    ----------
    deadline_s : float
        Monotonic time after which the claim cannot be confirmed any more.
    is_failed : bool
        True if it cannot be confirmed for another reason.
    is_over : bool
        True once the call has returned.
    outgoing : Outgoing or None
        The claim's record, if one was queued.
    woken : asyncio.Event
        Set when there is something new for the call to look at.
    """

    __slots__ = ("deadline_s", "is_failed", "is_over", "outgoing", "woken")

    def __init__(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.is_failed = False
        self.is_over = False
        self.outgoing: Outgoing | None = None
        self.woken = asyncio.Event()

    def fail(self) -> None:
        """End the claim without a decision."""
        self.is_failed = True
        self.woken.set()

    def drop_record(self) -> None:
        """Take the record back if it was not sent yet."""
        if self.outgoing is not None:
            self.outgoing.is_dropped = True


class PendingClaims:
    """All pending claims of a claimant by key digest.

    Parameters
    ----------
    clock : Clock
        Gives the time limit.
    timeout_s : float
        Time limit of each claim in seconds.
    """

    __slots__ = ("_by_key", "_by_time", "_clock", "_has_claims", "_timeout_s")

    def __init__(self, clock: Clock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._by_key: dict[bytes, PendingClaim] = {}
        # One task watches all limits: all have the same length, so they pass
        # in the order in which the claims began.
        self._by_time: deque[PendingClaim] = deque()
        self._has_claims = asyncio.Event()

    def __contains__(self, key_digest: bytes) -> bool:
        return key_digest in self._by_key

    def begin(self, key_digest: bytes) -> PendingClaim:
        """Add the claim on a key that has none pending."""
        pending = PendingClaim(self._clock.monotonic_s() + self._timeout_s)
        self._by_key[key_digest] = pending
        self._by_time.append(pending)
        self._has_claims.set()
        return pending

    def end(self, key_digest: bytes) -> None:
        """Remove the claim on a key."""
        pending = self._by_key.pop(key_digest)
        pending.is_over = True
        pending.drop_record()

    def wake(self, key_digest: bytes) -> None:
        """Let the claim on a key look at the ledger, if one is pending."""
        if (pending := self._by_key.get(key_digest)) is not None:
            pending.woken.set()

    def fail_all(self) -> None:
        """End all pending claims without a decision."""
        for pending in self._by_key.values():
            pending.fail()

    def is_late(self, pending: PendingClaim) -> bool:
        """Whether the limit has passed, whether or not the task saw it."""
        return self._clock.monotonic_s() >= pending.deadline_s

    async def run(self) -> None:
        """Fail claims at their limit until the task is cancelled."""
        while True:
            await self._has_claims.wait()
            while self._by_time:
                oldest = self._by_time[0]
                left_s = oldest.deadline_s - self._clock.monotonic_s()
                if left_s > 0 and not oldest.is_over:
                    await self._clock.sleep(left_s)
                    continue
                oldest.fail()
                self._by_time.popleft()
            self._has_claims.clear()
