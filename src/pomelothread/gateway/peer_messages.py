"""What gateways tell each other, as it goes into datagrams."""

import math

import msgspec

from ..policy.feed_sharing import FeedReport

# Peers that one message names at most. With all else it fits into a datagram of
# 1,400 bytes for 30 upstreams.
MAX_NAMED = 40
# Upstreams that one message names as leaving at most.
MAX_LEAVING = 16


class LoadReport(msgspec.Struct, array_like=True):
    """Requests of the sender at one upstream.

    Parameters
    ----------
    upstream_id : str
        The upstream.
    n_running : int
        Requests that the sender has there.
    n_pending_tokens : int
        Prompt tokens of those without a first event.
    """

    upstream_id: str
    n_running: int
    n_pending_tokens: int


class PeerMessage(msgspec.Struct, array_like=True, tag="load"):
    """What the gateways of one cell tell each other.

    Parameters
    ----------
    incarnation : str
        Of the sender; new at each start.
    sequence : int
        Grows with each message.
    is_beat : bool
        Whether upstreams that are not named have no request of the sender.
    loads : list of LoadReport
        Upstreams whose load has changed.
    used : dict of str to float
        Quota units admitted since the start, by organisation.
    waiting : dict of str to int
        Smallest urgency that waits, by service.
    peers : list of str
        Hosts of some gateways that the sender has heard, in a beat.
    crashes : dict of str to list of str
        Upstreams that crashed while they ran a request, by its fingerprint.
    uptime_s : float
        Seconds since the start of the sender.
    far_used : dict of str to float
        Quota units that other cells have admitted since the sender was started,
        from the speaker of a cell.
    leaving : list of (str, int)
        Upstreams that have said that they leave, with the Unix time of their
        start in milliseconds.
    feeds : list of FeedReport or None
        What the sender knows of the configuration and of the list of upstreams;
        None for one that it has not read.
    cell_sizes : list of int
        Gateways of each cell as the sender divides the fleet, in a beat.
    """

    incarnation: str
    sequence: int
    is_beat: bool
    loads: list[LoadReport] = []
    used: dict[str, float] = {}
    waiting: dict[str, int] = {}
    peers: list[str] = []
    crashes: dict[str, list[str]] = {}
    uptime_s: float = math.inf
    far_used: dict[str, float] = {}
    leaving: list[tuple[str, int]] = []
    feeds: list[FeedReport | None] = []
    cell_sizes: list[int] = []


class Rumour(msgspec.Struct, array_like=True, tag="rumour"):
    """What gateways of different cells tell each other.

    Parameters
    ----------
    incarnation : str
        Of the sender.
    alive : list of (str, float)
        Hosts of some gateways and how many seconds ago somebody heard them.
    is_question : bool
        Whether the receiver shall answer with a rumour of its own.
    cell_used : dict of str to float
        Quota units that the cell of the sender has admitted since the sender was
        started, from the speaker of a cell.
    cell_sizes : list of int
        Gateways of each cell as the sender divides the fleet.
    """

    incarnation: str
    alive: list[tuple[str, float]]
    is_question: bool
    cell_used: dict[str, float] = {}
    cell_sizes: list[int] = []
