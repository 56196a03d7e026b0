"""Clock interface, the system's clocks and a clock that tests control."""

import asyncio
import heapq
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock time, monotonic time and delays.

    Monotonic time is used for every timeout, because the wall clock can step.
    """

    def now(self) -> datetime:
        """Return the current time in UTC."""
        ...

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""
        ...

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for `delay_s` seconds."""
        ...


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for `delay_s` seconds."""
        await asyncio.sleep(delay_s)


class BootClock(SystemClock):
    """Clock whose monotonic time includes the time that the machine is suspended.

    A lease or deadline that ends during a suspension has expired when the
    machine resumes.
    """

    __slots__ = ()

    def monotonic_s(self) -> float:
        """Return seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that moves only when `advance` is called.

    Parameters
    ----------
    start : datetime
        Initial wall-clock time, with a time zone.

    Examples
    --------
    >>> clock = ManualClock(datetime(2026, 3, 1, tzinfo=UTC))
    >>> clock.advance(1.5)
    >>> clock.monotonic_s()
    1.5
    """

    __slots__ = ("_elapsed_s", "_n_sleeps", "_sleepers", "_start")

    def __init__(self, start: datetime) -> None:
        if start.tzinfo is None:
            raise ValueError(
                f"start={start!r} has no time zone; pass an aware datetime"
            )
        self._start = start
        self._elapsed_s = 0.0
        self._n_sleeps = 0
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return (self._start + timedelta(seconds=self._elapsed_s)).astimezone(UTC)

    def monotonic_s(self) -> float:
        """Return seconds since construction."""
        return self._elapsed_s

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task until time has been advanced by `delay_s`."""
        future = asyncio.get_running_loop().create_future()
        self._n_sleeps += 1
        heapq.heappush(
            self._sleepers, (self._elapsed_s + delay_s, self._n_sleeps, future)
        )
        await future

    def advance(self, delta_s: float) -> None:
        """Move time forward and resume the tasks whose delay has passed.

        Parameters
        ----------
        delta_s : float
            Seconds to add; must not be negative.
        """
        if delta_s < 0:
            raise ValueError(f"delta_s={delta_s} is negative; time only moves forward")
        self._elapsed_s += delta_s
        while self._sleepers and self._sleepers[0][0] <= self._elapsed_s:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)
