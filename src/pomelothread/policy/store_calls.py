"""How long the parts of a call to the platform's store may take.

Answers connections that go silent and gateways that were cut off: a change has to
be known within a bound that the platform states, however the connection to the
store died. All limits follow from that bound, so that their sum stays below it.
"""

from dataclasses import dataclass

# Parts of the bound.
WAIT_SHARE = 0.5
ANSWER_SHARE = 0.25
CONNECT_SHARE = 0.16
EARLY_PAUSE_SHARE = 0.13
LATE_PAUSE_SHARE = 0.33
# Left over for the way of the change to the caller.
RESERVE_SHARE = 0.05
# Upper limits, for long bounds. A slow store answers in some 250 ms, regions are
# 60 ms apart there and back, and a SYN that was lost is repeated after a second.
MAX_ANSWER_S = 0.9
MAX_CONNECT_S = 0.5
MAX_EARLY_PAUSE_S = 0.4
MAX_LATE_PAUSE_S = 1.0
# A call over a new connection when nothing is wrong: two round trips between
# regions and the answer of a store that is busy.
SOUND_CALL_S = 0.25
# A read that waits is given up this long after a peer has told of something newer;
# a sound one brings it sooner, also from a slow store in the other region.
OVERTAKEN_S = 0.5


@dataclass(frozen=True, slots=True)
class CallTimes:
    """Limits of the calls that follow one feed.

    Parameters
    ----------
    wait_s : float
        How long a read may wait for a change.
    answer_s : float
        Time for an answer beside the wait; a call that takes longer has failed.
    connect_s : float
        Time for a new connection.
    early_pause_s : float
        Pause between two failed calls of a gateway that reads for others.
    late_pause_s : float
        The same for the other gateways.
    """

    wait_s: float
    answer_s: float
    connect_s: float
    early_pause_s: float
    late_pause_s: float

    @property
    def slowest_change_s(self) -> float:
        """Seconds until a change is known, whichever way a connection has died.

        A read that waits on a connection which has gone silent is followed at once
        by one over a new connection. A gateway that was cut off probes: its last
        call without an answer may begin just before the path is back.
        """
        after_silence_s = self.wait_s + self.answer_s
        after_cut_s = max(self.connect_s, self.answer_s) + self.late_pause_s
        return max(after_silence_s, after_cut_s) + SOUND_CALL_S


def call_times(bound_s: float) -> CallTimes:
    """Return the limits for a change that must be known within a bound.

    Parameters
    ----------
    bound_s : float
        Seconds from the store's acknowledgement of a change.

    Returns
    -------
    CallTimes
        `slowest_change_s` is below the bound for bounds of a second or more.

    Examples
    --------
    >>> call_times(3.0).wait_s
    1.5
    >>> round(call_times(3.0).slowest_change_s, 2)
    2.5
    """
    answer_s = min(MAX_ANSWER_S, ANSWER_SHARE * bound_s)
    longest_wait_s = (1.0 - RESERVE_SHARE) * bound_s - answer_s - SOUND_CALL_S
    return CallTimes(
        wait_s=min(WAIT_SHARE * bound_s, longest_wait_s),
        answer_s=answer_s,
        connect_s=min(MAX_CONNECT_S, CONNECT_SHARE * bound_s),
        early_pause_s=min(MAX_EARLY_PAUSE_S, EARLY_PAUSE_SHARE * bound_s),
        late_pause_s=min(MAX_LATE_PAUSE_S, LATE_PAUSE_SHARE * bound_s),
    )
