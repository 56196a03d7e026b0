"""Time limits for the parts of a call to the platform's store.

The platform requires that a gateway learns of each change within a bound, also if
the connection to the store goes silent or the gateway was cut off from the network.
All limits are derived from this bound, so that their sum stays below it.
"""

from dataclasses import dataclass

# Shares of the bound.
WAIT_SHARE = 0.5
ANSWER_SHARE = 0.25
CONNECT_SHARE = 0.16
EARLY_PAUSE_SHARE = 0.13
LATE_PAUSE_SHARE = 0.33
# Reserved for the time that the change takes from the gateway to the caller.
RESERVE_SHARE = 0.05
# Upper limits, which apply to long bounds. A slow store answers in some 250 ms, a round
# trip between regions takes 60 ms, and a lost SYN is repeated after a second.
MAX_ANSWER_S = 0.9
MAX_CONNECT_S = 0.5
MAX_EARLY_PAUSE_S = 0.4
MAX_LATE_PAUSE_S = 1.0
# Duration of a call over a new connection when nothing fails: two round trips between
# regions and the answer of a busy store.
HEALTHY_CALL_S = 0.25
# A waiting read is abandoned this long after a peer has reported a newer state. Over a
# working connection it returns that state sooner, even from a slow store in the other
# region.
STALE_READ_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class CallTimes:
    """Limits of the calls that follow one feed.

    Parameters
    ----------
    wait_s : float
        How long a read may wait for a change.
    answer_s : float
        Time for the answer in addition to the wait; a call that takes longer has
        failed.
    connect_s : float
        Time for opening a new connection.
    early_pause_s : float
        Pause between two failed calls of a gateway that reads for its peers.
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
        """Maximum time until a change is known, for all failures of a connection.

        If the connection goes silent during a waiting read, the read fails and is
        repeated at once over a new connection. A gateway that is cut off keeps
        retrying; its last failed call may begin just before the network recovers.
        """
        after_silence_s = self.wait_s + self.answer_s
        after_cut_s = max(self.connect_s, self.answer_s) + self.late_pause_s
        return max(after_silence_s, after_cut_s) + HEALTHY_CALL_S


def call_times(bound_s: float) -> CallTimes:
    """Return the limits under which a change is known within a bound.

    Parameters
    ----------
    bound_s : float
        Maximum seconds from the store's acknowledgement of a change.

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
    longest_wait_s = (1.0 - RESERVE_SHARE) * bound_s - answer_s - HEALTHY_CALL_S
    return CallTimes(
        wait_s=min(WAIT_SHARE * bound_s, longest_wait_s),
        answer_s=answer_s,
        connect_s=min(MAX_CONNECT_S, CONNECT_SHARE * bound_s),
        early_pause_s=min(MAX_EARLY_PAUSE_S, EARLY_PAUSE_SHARE * bound_s),
        late_pause_s=min(MAX_LATE_PAUSE_S, LATE_PAUSE_SHARE * bound_s),
    )
