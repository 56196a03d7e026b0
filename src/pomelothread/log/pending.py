"""Claims of one claimant that wait for confirmation, and their deadlines."""

import asyncio
from collections import deque

from ..clock import Clock
from .claim_writer import QueuedRecord


class PendingClaim:
    """A call that waits for its claim to be confirmed by the log.

    Attributes
    ----------
    deadline_s : float
        Monotonic time from which the claim can no longer be confirmed.
    is_failed : bool
        True if the claim cannot be confirmed: its deadline has passed, an append
        failed, or records were deleted unread.
    has_returned : bool
        True once the call has returned.
    queued : QueuedRecord or None
        The claim's record, if one was queued.
    wake_event : asyncio.Event
        Set when the ledger entry of the key may have changed or the claim failed.
    """

    __slots__ = ("deadline_s", "has_returned", "is_failed", "queued", "wake_event")

    def __init__(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.is_failed = False
        self.has_returned = False
        self.queued: QueuedRecord | None = None
        self.wake_event = asyncio.Event()

    def fail(self) -> None:
        """Mark the claim as failed and wake its call."""
        self.is_failed = True
        self.wake_event.set()

    def drop_record(self) -> None:
        """Drop the queued record, so that it is not sent (again)."""
        if self.queued is not None:
            self.queued.is_dropped = True


class PendingClaims:
    """Pending claims of a claimant, by key digest.

    Parameters
    ----------
    clock : Clock
        Clock for the deadlines.
    timeout_s : float
        Time limit of each claim in seconds.
    """

    __slots__ = ("_by_deadline", "_by_key", "_clock", "_has_claims", "_timeout_s")

    def __init__(self, clock: Clock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._by_key: dict[bytes, PendingClaim] = {}
        # One task watches all deadlines: every claim has the same time limit, so
        # the deadlines pass in the order in which the claims were added.
        self._by_deadline: deque[PendingClaim] = deque()
        self._has_claims = asyncio.Event()

    def __contains__(self, key_digest: bytes) -> bool:
        return key_digest in self._by_key

    def add(self, key_digest: bytes) -> PendingClaim:
        """Add a claim on a key that has no pending claim."""
        pending = PendingClaim(self._clock.monotonic_s() + self._timeout_s)
        self._by_key[key_digest] = pending
        self._by_deadline.append(pending)
        self._has_claims.set()
        return pending

    def remove(self, key_digest: bytes) -> None:
        """Remove the claim on a key when its call returns."""
        pending = self._by_key.pop(key_digest)
        pending.has_returned = True
        pending.drop_record()

    def wake(self, key_digest: bytes) -> None:
        """Wake the claim on a key, if one is pending, to check the ledger again."""
        if (pending := self._by_key.get(key_digest)) is not None:
            pending.wake_event.set()

    def fail_all(self) -> None:
        """Fail all pending claims."""
        for pending in self._by_key.values():
            pending.fail()

    def has_timed_out(self, pending: PendingClaim) -> bool:
        """Whether the deadline has passed, even if `run` has not seen it yet."""
        return self._clock.monotonic_s() >= pending.deadline_s

    async def run(self) -> None:
        """Fail claims at their deadlines until the task is cancelled."""
        while True:
            await self._has_claims.wait()
            while self._by_deadline:
                oldest = self._by_deadline[0]
                left_s = oldest.deadline_s - self._clock.monotonic_s()
                if left_s > 0 and not oldest.has_returned:
                    await self._clock.sleep(left_s)
                    continue
                oldest.fail()
                self._by_deadline.popleft()
            self._has_claims.clear()
