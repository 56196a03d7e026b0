"""Decides which events may follow those that a caller has received of a stream.

The ids of a stream's events increase and need not be consecutive. An upstream may begin
again all the same, after a break or within one response.
"""


def goes_back(event_id: int | None, last_id: int | None) -> bool:
    """Return whether an event repeats or precedes one of the same response.

    Parameters
    ----------
    event_id : int or None
        Id of the event; None if it has none or it is not known.
    last_id : int or None
        Id of the last event before it whose id is known.

    Examples
    --------
    >>> [goes_back(event_id, 7) for event_id in (6, 7, 8, 400, None)]
    [True, True, False, False, False]
    """
    return event_id is not None and last_id is not None and event_id <= last_id


def may_resume_with(
    event_id: int | None, first_id: int | None, last_id: int | None, n_ids: int
) -> bool:
    """Return whether another response may go on with an event.

    Parameters
    ----------
    event_id : int or None
        Id of its first event; None if it has none or it is not known.
    first_id, last_id : int or None
        Ids of the first and the last event that the caller has received; the first one
        is not known if another request has brought it.
    n_ids : int
        Number of events with an id that the caller has received.

    Returns
    -------
    bool
        A gap is refused only where ids were consecutive so far.

    Examples
    --------
    >>> [may_resume_with(event_id, 1, 3, 3) for event_id in (3, 4, 5, None)]
    [False, True, False, False]
    >>> may_resume_with(5, None, 3, 0), may_resume_with(5, 1, 3, 2)
    (True, True)
    """
    if last_id is None:
        return True
    if event_id is None or event_id <= last_id:
        return False
    if first_id is None:
        return True
    has_consecutive_ids = n_ids == last_id - first_id + 1
    return not has_consecutive_ids or event_id == last_id + 1
