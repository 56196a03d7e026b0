"""Control messages between entries and agents.

Any message may be lost, delayed, duplicated or reordered. Messages are therefore
idempotent and name the incarnations that they concern.
"""

import msgspec

from ..undecodable import UNDECODABLE

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1

# Entries and agents send heartbeats with this period. A peer that has been silent
# for five periods is not used.
HEARTBEAT_PERIOD_S = 0.5
PEER_TIMEOUT_S = 2.5

OPEN = "open"
DRAINING = "draining"
CLOSED = "closed"


class _Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages.

    Messages are encoded as arrays, which take less than half of the bytes of
    maps. New fields must therefore be appended at the end, with a default: an
    older peer ignores them, and a newer peer fills in the default if they are
    missing.
    """


class Floor(msgspec.Struct, frozen=True, array_like=True):
    """A pool's floor: waiting requests with a rank number above it are shed.

    Parameters
    ----------
    pool : str
        Pool of upstreams.
    tier_rank : int
        Highest rank number that is still kept; rank 0 is the most urgent.
    life_ms : int
        Remaining lifetime in milliseconds.
    """

    pool: str
    tier_rank: int
    life_ms: int


class EntryBeat(_Message, frozen=True):
    """Heartbeat of an entry to an agent."""

    incarnation: str
    instance: str
    inbox: str
    n_offers: int = 0
    sheet_version: int = 0
    leaving_instances: tuple[str, ...] = ()
    protocol_version: int = PROTOCOL_VERSION
    min_protocol_version: int = MIN_PROTOCOL_VERSION


class AgentBeat(_Message, frozen=True):
    """Heartbeat of an agent to an entry, with its load."""

    incarnation: str
    instance: str
    inbox: str
    pool: str
    failure_domain: str
    region: str
    http_address: str
    state: str
    n_places: int = 0
    n_free_places: int = 0
    waiting_by_rank: dict[int, int] = {}
    waiting_tokens: int = 0
    token_gap_s: float = 0.0
    prefill_tokens_per_s: float = 0.0
    service_time_s: float = 0.0
    floors: tuple[Floor, ...] = ()
    suspects: tuple[str, ...] = ()
    convicted: tuple[str, ...] = ()
    sheet_version: int = 0
    protocol_version: int = PROTOCOL_VERSION
    min_protocol_version: int = MIN_PROTOCOL_VERSION


class Offer(_Message, frozen=True):
    """A waiting request, offered to an agent."""

    incarnation: str
    request_id: str
    pool: str
    service: str
    tier_rank: int
    protected: bool
    organisation: str
    share: float
    n_input_tokens: int
    n_output_tokens: int
    deadline_ms: int
    prefix_hashes: tuple[int, ...] = ()
    solo: bool = False


class Withdraw(_Message, frozen=True):
    """Withdraws an offer: the request no longer needs a place at this agent."""

    incarnation: str
    request_id: str


class Grant(_Message, frozen=True):
    """Reserves a place for one request, valid for one dispatch."""

    incarnation: str
    request_id: str
    grant: int
    life_ms: int


class Decline(_Message, frozen=True):
    """The entry does not use the grant; the place is free again."""

    incarnation: str
    request_id: str
    grant: int


class Refuse(_Message, frozen=True):
    """The agent does not queue the offer, or has removed it from its queue.

    `reason` is one of ``floor``, ``leaving``, ``full`` and ``convicted``.
    """

    incarnation: str
    request_id: str
    reason: str


class Revoke(_Message, frozen=True):
    """Asks the agent to invalidate a grant, and whether it has been used."""

    incarnation: str
    request_id: str
    grant: int
    agent_incarnation: str


class Revoked(_Message, frozen=True):
    """Answer to `Revoke`: whether the grant was never used and never will be."""

    incarnation: str
    request_id: str
    grant: int
    never_used: bool


class RaiseFloor(_Message, frozen=True):
    """Asks the agent to shed waiting requests of a pool that rank below a tier."""

    incarnation: str
    pool: str
    tier_rank: int
    floor_number: int


class FloorRaised(_Message, frozen=True):
    """The agent has shed the waiting requests that rank below the floor."""

    incarnation: str
    pool: str
    tier_rank: int
    floor_number: int


Message = (
    EntryBeat
    | AgentBeat
    | Offer
    | Withdraw
    | Grant
    | Decline
    | Refuse
    | Revoke
    | Revoked
    | RaiseFloor
    | FloorRaised
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message as msgpack."""
    return _encoder.encode(message)


def decode_message(data: bytes | msgspec.Raw) -> Message | None:
    """Decode a message.

    Parameters
    ----------
    data : bytes
        One message as received.

    Returns
    -------
    Message or None
        None if the tag is unknown (a newer peer) or the data is malformed.

    Examples
    --------
    >>> decode_message(encode_message(Withdraw("a1", "r7")))
    Withdraw(incarnation='a1', request_id='r7')
    >>> decode_message(b"junk") is None
    True
    """
    try:
        return _decoder.decode(data)
    except UNDECODABLE:
        return None
