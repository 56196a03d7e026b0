"""State of one request while the gateway handles it."""

from dataclasses import dataclass, field

from ..http1.messages import Request, ResponseHead
from ..policy.departures import UpstreamStart
from ..policy.early_ends import Doubt, EarlyEnds
from ..policy.event_order import may_resume_with
from ..policy.stream_versions import Software
from ..policy.waiting_order import WaitingFacts
from .configuration import Organisation, Route
from .dialect import CallerFacts


@dataclass(frozen=True, slots=True)
class DoubtedEnd:
    """The end of a stream that may have been broken off.

    Parameters
    ----------
    doubt : Doubt
        Why it is not believed.
    early_ends : EarlyEnds
        What is known of the upstream that has ended it.
    remainder : bytes
        What has come after the last event and was not sent to the caller.
    """

    doubt: Doubt
    early_ends: EarlyEnds
    remainder: bytes


@dataclass(slots=True)
class Job:
    """One request of a caller, from its arrival to its response.

    Parameters
    ----------
    request : Request
        As the caller sent it.
    facts : CallerFacts
        Parsed head of the request.
    route : Route
        Route that the configuration in force at its arrival gave.
    service : str
        Service that was chosen among the destinations of the route.
    organisation : Organisation or None
        Organisation that sent it; None without a known key.
    waiting : WaitingFacts
        Urgency, and arrival, target and deadline on the monotonic clock.
    configuration_version : int
        Version of the configuration in force at its arrival.
    fingerprint : str
        Hash that identifies the request if it is sent again.
    software : Software or None
        Software at which its stream began, and the only one at which it may go on.
    origin : UpstreamStart or None
        Process at which its stream began, if that has stated its start.
    unproven_starts : set of UpstreamStart
        Listed starts that are not sent the stream, as the processes there have not
        stated them.
    unanswered_starts : set of UpstreamStart
        Listed starts where the question for it got no answer once.
    is_trial : bool
        Whether it tries a part of a prompt that is refused.
    tried : set of str
        Ids of the upstreams that it has been sent to.
    n_sent : int
        Number of attempts that have sent it to an upstream.
    may_have_run : bool
        Whether an upstream may have started to execute it.
    last_event_id : int or None
        Id of the last event of the stream that the caller has received.
    first_event_id : int or None
        Id of the first event of the stream that the caller has received.
    may_go_on : bool
        Whether another upstream can be asked for what follows the last event.
    n_event_ids : int
        Number of events with an id that the caller has received.
    first_head : ResponseHead or None
        Response head that has been sent to the caller.
    doubted_end : DoubtedEnd or None
        End of its stream, until another upstream states what follows.
    has_early_end : bool
        Whether an upstream has ended its stream before another one went on.
    first_event_s : float or None
        Seconds from the arrival until the first event was relayed.
    last_event_s : float
        Monotonic time at which the last event was relayed.
    longest_pause_s : float
        Longest time between two relayed events, across attempts.
    """

    request: Request
    facts: CallerFacts
    route: Route
    service: str
    organisation: Organisation | None
    waiting: WaitingFacts
    configuration_version: int
    fingerprint: str
    software: Software | None = None
    origin: UpstreamStart | None = None
    unproven_starts: set[UpstreamStart] = field(default_factory=set)
    unanswered_starts: set[UpstreamStart] = field(default_factory=set)
    is_trial: bool = False
    tried: set[str] = field(default_factory=set)
    n_sent: int = 0
    may_have_run: bool = False
    last_event_id: int | None = None
    first_event_id: int | None = None
    may_go_on: bool = True
    n_event_ids: int = 0
    first_head: ResponseHead | None = None
    doubted_end: DoubtedEnd | None = None
    has_early_end: bool = False
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0

    @property
    def request_id(self) -> str:
        """Id that the caller gave to this try of the request, for logs."""
        return (self.facts.request_id or b"").decode("latin-1")

    @property
    def stream_id(self) -> str:
        """Id of the request that brought the first event of its stream."""
        return self.facts.first_attempt_id or self.request_id

    @property
    def has_events(self) -> bool:
        """Whether the caller has events of the stream, from this request or before."""
        return self.takes_up_stream or self.first_event_s is not None

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller has received events of the stream by another request."""
        return self.route.is_streaming and self.facts.has_last_event_id

    def record_event(self, now_s: float) -> None:
        """Record that events are relayed to the caller."""
        if self.first_event_s is None:
            self.first_event_s = now_s - self.waiting.arrived_s
        else:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s

    def resolve_doubt(self, is_whole: bool) -> None:
        """Record whether a stream whose end was doubted has ended there."""
        if self.doubted_end is None:
            return
        if is_whole:
            self.doubted_end.early_ends.observe_whole()
        else:
            self.doubted_end.early_ends.observe_early_end()
            self.has_early_end = True
        self.doubted_end = None

    def may_be_followed_by(self, event_id: int | None) -> bool:
        """Return whether an event may follow those that the caller has received.

        Parameters
        ----------
        event_id : int or None
            Id of the first event of another upstream's response; None without one.
        """
        return may_resume_with(
            event_id, self.first_event_id, self.last_event_id, self.n_event_ids
        )

    def is_later_event(self, event_id: int | None) -> bool:
        """Return whether an event comes after those that the caller has received."""
        return event_id is not None and event_id > (self.last_event_id or 0)

    def left_s(self, now_s: float) -> float:
        """Return the seconds until the deadline."""
        return self.waiting.deadline_at_s - now_s
