"""Messages between gateways, as encoded in datagrams."""

import math

import msgspec

from ..policy.feed_sharing import FeedReport

# Maximum number of peers that one message names. With reports of 30 upstreams it still
# fits into a datagram of 1,400 bytes.
MAX_NAMED_PEERS = 40
# Maximum number of leaving upstreams that one message names.
MAX_LEAVING = 16
# Maximum number of refunds that one message names.
MAX_REFUNDS = 10
# Maximum number of limits of upstreams that one message names.
MAX_LIMITS = 4


class LoadReport(msgspec.Struct, array_like=True):
    """Load that the sender causes at one upstream.

    Parameters
    ----------
    upstream_id : str
        The upstream.
    n_running : int
        Requests of the sender that run there.
    n_pending_tokens : int
        Prompt tokens of the sender's requests there that have not returned a first
        event.
    """

    upstream_id: str
    n_running: int
    n_pending_tokens: int


class PartCrashReport(msgspec.Struct, array_like=True):
    """A crash of an upstream while it had a request with a part of a prompt.

    Parameters
    ----------
    part : str
        Id of the part.
    depth : int
        Position of the part in the prompt; 0 for the first one.
    upstream_id : str
        The upstream.
    started_ms : int
        Unix time in milliseconds at which the upstream started.
    body : str
        Beginning of the request's fingerprint.
    sent_age_s : float
        Seconds since the request was sent.
    crashed_age_s : float
        Seconds since its connection was lost.
    """

    part: str
    depth: int
    upstream_id: str
    started_ms: int
    body: str
    sent_age_s: float
    crashed_age_s: float


# A part of a prompt, and for how many seconds it is known to have been sound.
SoundPart = tuple[str, float]


class PeerMessage(msgspec.Struct, array_like=True, tag="load"):
    """Heartbeat or update that a gateway sends to its cell.

    Parameters
    ----------
    incarnation : str
        Identifies a run of the sender; new at each start.
    sequence : int
        Increases with each message.
    is_heartbeat : bool
        Whether this is a heartbeat, which reports the full state: upstreams that it
        does not name run no request of the sender. Other messages report only what
        has changed.
    loads : list of LoadReport
        All loads in a heartbeat, otherwise those that have changed.
    used : dict of str to float
        Quota units that the sender has admitted since its start, by organisation.
    waiting : dict of str to int
        Rank of the most urgent waiting request, by service.
    peers : list of str
        Hosts of some gateways from which the sender receives messages, in a
        heartbeat.
    crashes : dict of str to list of str
        Upstreams that crashed while they ran a request, by the request's
        fingerprint; each with the Unix time of its start in milliseconds, as NAME@TIME.
    uptime_s : float
        Seconds since the start of the sender.
    other_cells_used : dict of str to float
        Quota units that other cells have admitted since the sender was started;
        sent by the representative of a cell.
    leaving : list of (str, int)
        Upstreams that have announced that they leave, each with the Unix time in
        milliseconds at which the upstream started.
    feeds : list of FeedReport or None
        What the sender knows of the configuration and of the list of upstreams, in
        this order; None for one that it has not read.
    cell_sizes : list of int
        Number of gateways in each cell, as computed by the sender; only in a
        heartbeat.
    limits : list of (str, int, float or None, float)
        Upstreams that have named a limit, each with the Unix time in milliseconds at
        which it started, the requests a second that it takes (None if the limit has
        ended), and the seconds since it said so.
    steady_s : float or None
        Seconds for which the sender has been fit to coordinate permits; 0.0 while it
        is not, None in messages that are no heartbeats.
    part_crashes : list of PartCrashReport
        Evidence against parts of prompts; a heartbeat repeats some.
    sound_parts : list of (str, float)
        Parts that a peer may suspect, and how many seconds ago an upstream began to
        respond to a prompt with each of them and did not crash.
    store_epoch : int
        Newest epoch of the store that the sender knows; 0 if it knows none.
    configuration_version : int
        Version of the configuration that the sender has in force; 0 for none.
    refuted_crashes : dict of str to list of str
        Those of `crashes` after which the request was served, so that it was not the
        cause.
    refunds : list of (str, float, float)
        Charges among `used` that were not needed: organisation, seconds since the
        charge, and units. They are not repeated.
    """

    incarnation: str
    sequence: int
    is_heartbeat: bool
    loads: list[LoadReport] = []
    used: dict[str, float] = {}
    waiting: dict[str, int] = {}
    peers: list[str] = []
    crashes: dict[str, list[str]] = {}
    uptime_s: float = math.inf
    other_cells_used: dict[str, float] = {}
    leaving: list[tuple[str, int]] = []
    feeds: list[FeedReport | None] = []
    cell_sizes: list[int] = []
    limits: list[tuple[str, int, float | None, float]] = []
    steady_s: float | None = None
    part_crashes: list[PartCrashReport] = []
    sound_parts: list[SoundPart] = []
    store_epoch: int = 0
    configuration_version: int = 0
    refuted_crashes: dict[str, list[str]] = {}
    refunds: list[tuple[str, float, float]] = []


class PermitRequest(msgspec.Struct, array_like=True, tag="permit-request"):
    """How many permits of an upstream a gateway waits for.

    Parameters
    ----------
    incarnation : str
        Identifies a run of the gateway that waits.
    gateway : str
        Its address, if another gateway passes the message on; otherwise empty.
    upstream_id : str
        The upstream.
    started_ms : int
        Unix time in milliseconds at which the upstream started.
    n_wanted : int
        Number of permits, in place of the number in earlier messages.
    urgency : int
        Rank of the most urgent request that waits; lower numbers are more urgent.
    max_wait_s : float
        Seconds for which the requests can wait.
    n_returned : int
        Number of permits that the gateway has got and does not use.
    rate_per_s : float or None
        Newest limit that the sender knows.
    limit_age_s : float
        Seconds since the upstream named it.
    """

    incarnation: str
    gateway: str
    upstream_id: str
    started_ms: int
    n_wanted: int
    urgency: int
    max_wait_s: float
    n_returned: int
    rate_per_s: float | None
    limit_age_s: float


class PermitReply(msgspec.Struct, array_like=True, tag="permit-reply"):
    """Permits that the coordinator of an upstream issues, or a forecast.

    Parameters
    ----------
    incarnation : str
        Identifies a run of the coordinator.
    sequence : int
        Increases with each reply of the coordinator.
    upstream_id : str
        The upstream.
    started_ms : int
        Unix time in milliseconds at which the upstream started.
    n_issued : int
        Number of permits that the receiver gets with this message.
    wait_s : float or None
        Predicted seconds until it gets the next one; None for no prediction.
    hold_off_s : float
        Seconds for which the receiver should not ask again; 0.0 while it is to get
        permits.
    rate_per_s : float or None
        Newest limit that the coordinator knows; None if it has ended.
    limit_age_s : float
        Seconds since the upstream named it.
    """

    incarnation: str
    sequence: int
    upstream_id: str
    started_ms: int
    n_issued: int
    wait_s: float | None
    hold_off_s: float
    rate_per_s: float | None
    limit_age_s: float


class StreamNews(msgspec.Struct, array_like=True, tag="streams"):
    """Software at which streams of the sender began.

    Parameters
    ----------
    streams : list of (str, str, str)
        Id of the request that brought the first event, service, and software version.
    unknown : list of str
        Ids of streams that began at software that the sender does not know.
    """

    streams: list[tuple[str, str, str]]
    unknown: list[str] = []


class StreamQuery(msgspec.Struct, array_like=True, tag="stream-query"):
    """Question at which software a stream began.

    Parameters
    ----------
    stream_id : str
        Id of the request that brought its first event.
    services : list of str
        Services that run the requests of its route.
    """

    stream_id: str
    services: list[str]


class StreamReply(msgspec.Struct, array_like=True, tag="stream-reply"):
    """Answer to a `StreamQuery`.

    Parameters
    ----------
    stream_id : str
        Id of the request that brought the first event.
    software : (str, str) or None
        Service and software version; None if the sender does not know the stream.
    n_versions : int
        Largest number of versions that the sender has lately seen of a service.
    """

    stream_id: str
    software: tuple[str, str] | None
    n_versions: int


class GossipMessage(msgspec.Struct, array_like=True, tag="rumour"):
    """Gossip about the members of a fleet of several cells, and their use of quotas.

    Parameters
    ----------
    incarnation : str
        Identifies a run of the sender.
    alive : list of (str, float)
        Hosts of some gateways, and for each how many seconds ago any gateway
        received a message from it.
    wants_reply : bool
        Whether the receiver replies with a gossip message of its own.
    cell_used : dict of str to float
        Quota units that the cell of the sender has admitted since the sender was
        started; sent by the representative of a cell.
    cell_sizes : list of int
        Number of gateways in each cell, as computed by the sender.
    part_crashes : list of PartCrashReport
        Some evidence against parts of prompts.
    """

    incarnation: str
    alive: list[tuple[str, float]]
    wants_reply: bool
    cell_used: dict[str, float] = {}
    cell_sizes: list[int] = []
    part_crashes: list[PartCrashReport] = []
