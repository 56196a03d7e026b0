"""Handles unexpected errors outside of any request."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn

from ..clock import Clock
from ..events import Event, log_event

_log = logging.getLogger(__name__)

# A failed task is restarted after a pause. If it fails more than `MAX_TASK_FAILURES`
# times within `TASK_FAILURES_WITHIN_S`, the process stops: repeated failures are not
# caused by one bad message.
TASK_RESTART_S = 0.5
MAX_TASK_FAILURES = 8
TASK_FAILURES_WITHIN_S = 60.0


async def keep_running(run: Callable[[], Awaitable[None]], clock: Clock) -> None:
    """Run a task of the process, and restart it after an unexpected error.

    Parameters
    ----------
    run : callable
        Runs the task once.
    clock : Clock
        Source of time.

    Raises
    ------
    Exception
        What the task raised, if it fails too often or an invariant is broken.
    """
    failure_times_s: deque[float] = deque(maxlen=MAX_TASK_FAILURES)
    while True:
        try:
            await run()
            return
        except Exception as error:
            now_s = clock.monotonic_s()
            if isinstance(error, AssertionError) or _is_too_often(
                failure_times_s, now_s
            ):
                raise
            failure_times_s.append(now_s)
            log_event(_log, Event.TASK_FAILED, exc_info=error, detail=repr(error))
        await clock.sleep(TASK_RESTART_S)


def _is_too_often(failure_times_s: deque[float], now_s: float) -> bool:
    return (
        len(failure_times_s) == MAX_TASK_FAILURES
        and now_s - failure_times_s[0] < TASK_FAILURES_WITHIN_S
    )


def on_callback_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error of a callback as a failed connection or a failed callback.

    An `OSError` is logged as a failed connection. An `AssertionError` means that an
    invariant is broken, and stops the process.
    """
    error = context.get("exception")
    if isinstance(error, OSError):
        # The connection ended while its transport was being set up.
        log_event(_log, Event.CONNECTION_FAILED, detail=context.get("message"))
        return
    if isinstance(error, AssertionError):
        stop_process(error)
    log_event(
        _log, Event.CALLBACK_FAILED, exc_info=error, detail=context.get("message")
    )


def stop_process(error: BaseException) -> NoReturn:
    """Log an error from which the process cannot recover, and end the process.

    This is a broken invariant, or the last error of a task that failed repeatedly,
    which one bad message does not cause. Both are logged as `INVARIANT_BROKEN`; the
    exit status is 1.
    """
    log_event(_log, Event.INVARIANT_BROKEN, exc_info=error, detail=repr(error))
    raise SystemExit(1)
