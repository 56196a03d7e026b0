"""Decides whether a process may get a stream, by what it states of its start.

The list of upstreams is older than the processes that it names. Software versions are
known from the list only, for the starts that it names; so the version of a process is
known if it states the listed start, and not known otherwise.

The gateway has these names for what follows from that:

* An upstream has a *hidden* start if it answers the question for it and states none.
* Its entry is *outdated* if a process at its address has stated another start.
* A stream is *unlisted* while the list does not name the start at which it began. Its
  software is *unknown* until then, and for good where the start is hidden.
* A start is *unproven* for a request if its stream has begun and the process that
  should go on with it has not stated that start.
"""

from enum import Enum


class ProcessStart(Enum):
    """What a process states, compared with the list."""

    LISTED = "the listed start, so its version is known"
    OTHER = "a start that is not listed, yet or any more"
    UNKNOWN = "nothing"


def compare_start(started_ms: int | None, listed_ms: int) -> ProcessStart:
    """Compare the start that a process has stated with the listed one.

    Parameters
    ----------
    started_ms : int or None
        What the process has stated, in Unix milliseconds; None if nothing.
    listed_ms : int
        Start that the list names.

    Examples
    --------
    >>> compare_start(1000, 1000).name, compare_start(None, 1000).name
    ('LISTED', 'UNKNOWN')
    """
    if started_ms is None:
        return ProcessStart.UNKNOWN
    return ProcessStart.LISTED if started_ms == listed_ms else ProcessStart.OTHER


def may_get_stream(start: ProcessStart, has_begun: bool) -> bool:
    """Return whether a stream can be sent to a process without joining two versions.

    Parameters
    ----------
    start : ProcessStart
        What is known of the process.
    has_begun : bool
        Whether the caller has events of the stream already.
    """
    return start is ProcessStart.LISTED or not has_begun


def is_start_excluded(
    start: ProcessStart, *, is_hidden: bool, was_unanswered: bool
) -> bool:
    """Return whether a stream that has begun is never to go on at a listed start.

    Parameters
    ----------
    start : ProcessStart
        What the process there states.
    is_hidden : bool
        Whether the upstream states no start at all.
    was_unanswered : bool
        Whether an earlier question for the same stream got no answer either. The first
        time may have been a moment's silence.
    """
    match start:
        case ProcessStart.LISTED:
            return False
        case ProcessStart.OTHER:
            return True
        case ProcessStart.UNKNOWN:
            return is_hidden or was_unanswered
