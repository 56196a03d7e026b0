"""Logs changes of the limits that upstreams name."""

import logging

from ..events import Event, log_event
from ..policy.rate_limits import LimitChange

_log = logging.getLogger(__name__)


def log_limit_change(change: LimitChange, source: str) -> None:
    """Log that a limit was learned, has changed or has ended.

    Parameters
    ----------
    change : LimitChange
        The change.
    source : str
        Where this process has learned of it.
    """
    if change.after_per_s is None:
        log_event(
            _log,
            Event.UPSTREAM_LIMIT_ENDED,
            upstream=change.start.upstream_id,
            before_per_s=change.before_per_s,
            age_s=round(change.age_s, 3),
            source=source,
        )
        return
    log_event(
        _log,
        Event.UPSTREAM_LIMIT_LEARNED,
        upstream=change.start.upstream_id,
        rate_per_s=change.after_per_s,
        before_per_s=change.before_per_s,
        age_s=round(change.age_s, 3),
        source=source,
    )
