"""Records of a soak run, as callers and upstreams saw it, and checks on them."""

import re
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

# Limits that are written into the settings of the gateways.
CONFIGURATION_BOUND_S = 3.0
LEAVING_BOUND_S = 3.0
RETRY_RATIO = 0.2
RETRY_SLACK = 58
RETRY_WINDOW_S = 10.0
QUOTA_WINDOW_S = 8.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 2_000.0
QUOTA_RATE_PER_S = 1_000.0
QUOTA_BURST = 1_000.0
# Checks with a time limit apply again this long after the end of a disruption.
SETTLING_S = 4.0
# Allowance for scheduling delays of a machine that runs all processes.
SCHEDULING_TOLERANCE_S = 1.0

# In any span of this length an upstream may get this many times the limit that it
# names, and a few more requests, from gateways that have passed the limit on to a
# caller some time before.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_TOLD_S = 0.5

# Requests with a part that crashes engines that may run later than `SETTLING_S` after
# this many crashes.
N_CRASHES = 5
MAX_LATE_RUNS = 3
CONVICTED = b"urn:pomelothread:problem:convicted"

# Streams that may hold events of two software versions, and number of streams that
# callers take up from which on the share of those that go on counts.
MAX_MIXED_STREAMS = 2
MIN_TAKEN_UP = 12

QUOTA_ORGANISATION = "guild"
N_EVENTS = 12
N_LONG_EVENTS = 30
# Number of events in a whole stream of each route.
STREAM_EVENTS = {
    "drafts": N_EVENTS,
    "resumes": N_EVENTS,
    "serials": N_LONG_EVENTS,
    "letters": N_LONG_EVENTS,
}
# Routes whose requests must run at most once.
RUN_ONCE_ROUTES = frozenset(("orders", "drafts"))
# Statuses by which the gateway states that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
SEAL_HEADER = "x-response-seal"
LIMIT_HEADER = "server-limit"
_EVENT = re.compile(rb"id: (\d+)\ndata: token \d+ of (v\d+)\n\n")


@dataclass(slots=True)
class CallerRequest:
    """One request, as its caller saw it.

    Parameters
    ----------
    request_id, route, target : str
        Identifier, route name and request target.
    body : bytes
        Body of the request.
    organisation : str
        Organisation whose API key was sent.
    n_tokens : int
        Tokens that the request counts against a quota.
    gateway : int
        Number of the gateway that it was sent to.
    sent_s : float
        Time of sending.
    deadline_s : float
        Deadline that was sent with the request, in seconds after `sent_s`.
    crashing_part : str
        Part of its prompt that crashes engines, or "".
    first_id : str
        Request that brought the first event of the stream that it takes up, or "".
    after_event : int
        Number of events of that stream that its caller has.
    version_serves : bool
        Whether an upstream of the stream's software version took requests then.
    was_connected : bool
        Whether a connection to the gateway could be opened.
    caller_disconnected : bool
        Whether the caller closed the connection before the answer.
    status : int
        Status of the answer; 0 if there was none.
    headers : dict of str to str
        Headers of the answer.
    answer : bytes
        Body of the answer, as far as it was received.
    is_complete : bool
        Whether the whole answer was received, according to its framing.
    ended_s : float or None
        Time at which the answer or the connection ended; None if neither did.
    """

    request_id: str
    route: str
    target: str
    body: bytes
    organisation: str
    n_tokens: int
    gateway: int
    sent_s: float
    deadline_s: float
    crashing_part: str = ""
    first_id: str = ""
    after_event: int = 0
    version_serves: bool = False
    was_connected: bool = True
    caller_disconnected: bool = False
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b""
    is_complete: bool = False
    ended_s: float | None = None

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream of events."""
        return self.route in STREAM_EVENTS

    @property
    def stream_id(self) -> str:
        """Request that brought, or was to bring, the first event of its stream."""
        return self.first_id or self.request_id

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number of each whole event, and the software version that it names."""
        if self.status != 200 or not self.is_stream:
            return []
        found = _EVENT.findall(self.answer)
        return [(int(number), version.decode()) for number, version in found]

    @property
    def prompt(self) -> str:
        """Parts of the prompt: one that many share, perhaps a crashing one, its own."""
        crashing = f"{self.crashing_part}:40," if self.crashing_part else ""
        return f"abc{int(self.request_id[1:]) % 3}:60,{crashing}{self.request_id[1:]}:9"


@dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request that an upstream started."""

    request_id: str
    upstream_id: str
    service: str
    target: str
    body: bytes
    headers: dict[str, str]
    at_s: float
    # Of the process that ran it.
    software_version: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has reached an upstream, whether it ran or not."""

    request_id: str
    upstream_id: str
    at_s: float


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """Time span in which an upstream named one limit in all its responses."""

    upstream_id: str
    rate_per_s: float
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class Disruption:
    """A fault or restart of one gateway or of all.

    Parameters
    ----------
    gateway : int or None
        Number of the affected gateway; None for all.
    start_s, end_s : float
        Time span.
    is_planned : bool
        Whether running requests must survive it, as with a stop by SIGTERM.
    """

    gateway: int | None
    start_s: float
    end_s: float
    is_planned: bool = False


@dataclass(frozen=True, slots=True)
class Probe:
    """Configuration version that a gateway was observed to use."""

    gateway: int
    incarnation: int
    sent_s: float
    version: int


@dataclass(slots=True)
class History:
    """Everything that was recorded in one soak run."""

    requests: list[CallerRequest] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    # Time at which the store acknowledged each configuration version.
    versions: dict[int, float] = field(default_factory=dict)
    # Time at which the store acknowledged that an upstream is leaving, by its id.
    leaving: dict[str, float] = field(default_factory=dict)
    # Time spans in which an upstream or the link to it was faulty, by its id.
    faulty_spans: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    # Gateway number and time of each start of a process.
    starts: list[tuple[int, float]] = field(default_factory=list)
    # Time spans in which the link to an upstream held requests back, by its id.
    held_spans: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    # Upstream and time of each crash for a part of a prompt.
    crashes: list[tuple[str, float]] = field(default_factory=list)
    # Gateway number and time of each SIGTERM.
    stops: list[tuple[int, float]] = field(default_factory=list)
    # Requests sent from this time on follow the last fault; nine tenths must succeed.
    recovery_from_s: float | None = None

    def runs_by_id(self) -> dict[str, list[Run]]:
        """Group the runs by request id."""
        runs = defaultdict(list)
        for run in self.runs:
            runs[run.request_id].append(run)
        return runs

    def is_undisturbed(
        self, gateway: int, from_s: float, to_s: float, includes_planned: bool = True
    ) -> bool:
        """Tell whether no disruption fell into a span or `SETTLING_S` before it."""
        return not any(
            disruption.gateway in (None, gateway)
            and (includes_planned or not disruption.is_planned)
            and disruption.start_s < to_s
            and disruption.end_s > from_s - SETTLING_S
            for disruption in self.disruptions
        )

    def was_held(self, upstream_id: str, at_s: float) -> bool:
        """Tell whether the link to an upstream held requests back until then."""
        spans = self.held_spans.get(upstream_id, ())
        return any(start_s <= at_s <= end_s for start_s, end_s in spans)

    def was_healthy(self, upstream_id: str, from_s: float, to_s: float) -> bool:
        """Tell whether an upstream had no fault throughout a span."""
        spans = self.faulty_spans.get(upstream_id, ())
        return not any(start_s < to_s and end_s > from_s for start_s, end_s in spans)


Check = Callable[[History], Iterator[str]]


def runs_once(history: History) -> Iterator[str]:
    """Find requests that ran more than once on routes that forbid it."""
    routes = {request.request_id: request.route for request in history.requests}
    for request_id, runs in history.runs_by_id().items():
        if routes.get(request_id) in RUN_ONCE_ROUTES and len(runs) > 1:
            yield f"{request_id} ran at {[run.upstream_id for run in runs]}"


def refusals_are_true(history: History) -> Iterator[str]:
    """Find requests that ran although they were answered as not run."""
    runs = history.runs_by_id()
    for request in history.requests:
        is_refused = request.status in NOT_RUN_STATUSES and request.is_complete
        if (
            is_refused
            and request.route in RUN_ONCE_ROUTES
            and request.request_id in runs
        ):
            yield f"{request.request_id} was answered {request.status} and ran"


def answers_are_whole(history: History) -> Iterator[str]:
    """Find successful answers that differ from what an upstream sent for them."""
    for request in history.requests:
        if request.status != 200 or not request.headers:
            continue
        if request.headers.get("x-attempt-id") != request.request_id:
            yield f"{request.request_id} got the answer of another request"
        if SEAL_HEADER not in request.headers:
            yield f"{request.request_id} got a success that no upstream gave"
        whole = b"" if request.is_stream else b"done " + request.body
        if not request.is_stream and request.is_complete and request.answer != whole:
            yield f"{request.request_id} got {request.answer[:80]!r}"


def streams_are_in_order(history: History) -> Iterator[str]:
    """Find streams with lost or repeated events, or reported complete too early."""
    for request in history.requests:
        if request.status != 200 or not request.is_stream:
            continue
        n_events = STREAM_EVENTS[request.route]
        *events, tail = request.answer.split(b"\n\n")
        number = request.after_event + len(events)
        is_whole = number == n_events and not tail
        is_in_order = all(
            event.startswith(_event_start(n)) and _EVENT.fullmatch(event + b"\n\n")
            for n, event in enumerate(events, request.after_event + 1)
        )
        if (
            not is_in_order
            or number > n_events
            or not _is_cut_event(number + 1, tail)
            or (request.is_complete and not is_whole)
        ):
            yield f"{request.request_id} got {request.answer[-120:]!r}"


def _event_start(number: int) -> bytes:
    return b"id: %d\ndata: token %d of v" % (number, number)


def _is_cut_event(number: int, tail: bytes) -> bool:
    """Tell whether bytes are empty or begin an event of this number."""
    start = _event_start(number)
    return start.startswith(tail) or bool(
        re.fullmatch(re.escape(start) + rb"\d+\n?", tail)
    )


@dataclass(slots=True)
class ReceivedStream:
    """All that a caller has got for one stream, over all its tries.

    Parameters
    ----------
    route : str
        Route that it was asked for.
    events : list of tuple
        Number of each event, in the order of arrival, and the version that it names.
    is_complete : bool
        Whether an answer ended as complete.
    """

    route: str
    events: list[tuple[int, str]] = field(default_factory=list)
    is_complete: bool = False

    @property
    def is_whole(self) -> bool:
        """Whether it has every event once and in order, the last one too."""
        numbers = [number for number, _ in self.events]
        return numbers == list(range(1, STREAM_EVENTS[self.route] + 1))

    @property
    def versions(self) -> set[str]:
        """Software versions of the processes that wrote its events."""
        return {version for _, version in self.events}


def received_streams(history: History) -> dict[str, ReceivedStream]:
    """Return the streams that brought an event or ended, by their first request."""
    streams: dict[str, ReceivedStream] = {}
    for request in sorted(history.requests, key=lambda request: request.sent_s):
        if not request.is_stream or request.status != 200:
            continue
        if not (request.events or request.is_complete):
            continue
        stream = streams.setdefault(request.stream_id, ReceivedStream(request.route))
        stream.events += request.events
        stream.is_complete |= request.is_complete
    return streams


def complete_streams_are_whole(history: History) -> Iterator[str]:
    """Find streams that ended as complete without each event once and in order."""
    for name, stream in received_streams(history).items():
        if stream.is_complete and not stream.is_whole:
            numbers = [number for number, _ in stream.events]
            is_short = numbers == list(range(1, len(numbers) + 1))
            yield (
                f"{name} was complete with {len(numbers)} of "
                f"{STREAM_EVENTS[stream.route]} events"
                + ("" if is_short else f", not in order: {numbers}")
            )


def streams_are_of_one_version(history: History) -> Iterator[str]:
    """Find streams with events of two software versions, or that ran on at another.

    Each event names the version of the process that wrote it. A stream is all that its
    caller has got for it, over all tries.
    """
    requests = {request.request_id: request for request in history.requests}
    versions = {
        name: stream.versions for name, stream in received_streams(history).items()
    }
    for run in history.runs:
        request = requests.get(run.request_id)
        if request is None or "last-event-id" not in run.headers:
            continue
        if versions.get(request.stream_id):
            versions[request.stream_id].add(run.software_version)
    mixed = sorted(name for name, found in versions.items() if len(found) > 1)
    if len(mixed) > MAX_MIXED_STREAMS:
        yield f"{len(mixed)} streams are of two versions: {mixed}"


def streams_go_on(history: History) -> Iterator[str]:
    """Find out whether streams that are taken up go on less than half as often."""
    for route in ("resumes", "serials"):
        undisturbed = [
            request
            for request in history.requests
            if request.route == route
            and not request.caller_disconnected
            and history.is_undisturbed(request.gateway, request.sent_s, request.sent_s)
        ]
        taken_up = [r for r in undisturbed if r.first_id and r.version_serves]
        new = [r for r in undisturbed if not r.first_id and not r.crashing_part]
        if len(taken_up) < MIN_TAKEN_UP or not new:
            continue
        share = sum(r.status == 200 for r in taken_up) / len(taken_up)
        share_of_new = sum(r.status == 200 for r in new) / len(new)
        if share < share_of_new / 2:
            yield (
                f"{share:.2f} of {len(taken_up)} streams of {route} went on, "
                f"{share_of_new:.2f} of {len(new)} new ones began"
            )


def runs_were_asked(history: History) -> Iterator[str]:
    """Find runs that differ from what was sent, or that carry an API key."""
    requests_by_id = {request.request_id: request for request in history.requests}
    for run in history.runs:
        request = requests_by_id.get(run.request_id)
        if request is None:
            yield f"{run.request_id!r} was never sent"
            continue
        if (run.target, run.body) != (request.target, request.body):
            yield f"{run.request_id} ran as {run.target} {run.body[:40]!r}"
        if run.headers.get("x-tenant") != request.organisation:
            yield f"{run.request_id} ran for {run.headers.get('x-tenant')}"
        if "api-key" in run.headers:
            yield f"{run.request_id} brought its key"


def versions_never_go_back(history: History) -> Iterator[str]:
    """Find processes that went back to an older configuration version."""
    newest: dict[tuple[int, int], int] = {}
    for probe in sorted(history.probes, key=lambda probe: probe.sent_s):
        process = (probe.gateway, probe.incarnation)
        if probe.version < newest.get(process, 0):
            yield (
                f"gateway {probe.gateway} went from version {newest[process]} "
                f"to {probe.version}"
            )
        newest[process] = max(probe.version, newest.get(process, 0))


def versions_are_in_force(history: History) -> Iterator[str]:
    """Find undisturbed gateways that applied a configuration version too late."""
    bound_s = CONFIGURATION_BOUND_S + SCHEDULING_TOLERANCE_S
    for probe in history.probes:
        if not history.is_undisturbed(
            probe.gateway, probe.sent_s - bound_s, probe.sent_s
        ):
            continue
        due = [v for v, s in history.versions.items() if s + bound_s < probe.sent_s]
        if due and probe.version < max(due):
            yield (
                f"gateway {probe.gateway} has version {probe.version}, "
                f"not {max(due)}, at {probe.sent_s:.1f} s"
            )


def leaving_upstreams_are_left_alone(history: History) -> Iterator[str]:
    """Find requests that reached a leaving upstream after the time limit."""
    gateways = {request.request_id: request.gateway for request in history.requests}
    bound_s = LEAVING_BOUND_S + SCHEDULING_TOLERANCE_S
    for run in history.runs:
        acked_s = history.leaving.get(run.upstream_id)
        if acked_s is None or run.at_s < acked_s + bound_s:
            continue
        gateway = gateways.get(run.request_id)
        if gateway is not None and history.is_undisturbed(gateway, acked_s, run.at_s):
            yield (
                f"{run.upstream_id} got {run.request_id} "
                f"{run.at_s - acked_s:.1f} s after it was leaving"
            )


def repeats_keep_to_the_budget(history: History) -> Iterator[str]:
    """Find time windows with more repeats than the retry budget allows."""
    first_runs: set[str] = set()
    repeats: dict[str, list[float]] = defaultdict(list)
    firsts: dict[str, list[float]] = defaultdict(list)
    for run in sorted(history.runs, key=lambda run: run.at_s):
        if run.request_id in first_runs:
            repeats[run.service].append(run.at_s)
        else:
            first_runs.add(run.request_id)
            firsts[run.service].append(run.at_s)
    for service, times_s in repeats.items():
        for start_s in times_s:
            n_repeats = _n_within(times_s, start_s, start_s + RETRY_WINDOW_S)
            n_first_events = max(
                _n_within(firsts[service], start_s - back_s, start_s + RETRY_WINDOW_S)
                for back_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if n_repeats > RETRY_RATIO * n_first_events + RETRY_SLACK:
                yield f"{n_repeats} repeats for {n_first_events} requests to {service}"
                break


def quotas_are_kept(history: History) -> Iterator[str]:
    """Find a time window in which an organisation exceeded its quota."""
    requests_by_id = {request.request_id: request for request in history.requests}
    used = sorted(
        (run.at_s, request.n_tokens)
        for run in history.runs
        if (request := requests_by_id.get(run.request_id)) is not None
        and request.organisation == QUOTA_ORGANISATION
    )
    whole = QUOTA_RATE_PER_S * QUOTA_WINDOW_S + QUOTA_BURST
    allowed = whole * (1.0 + QUOTA_OVER) + QUOTA_SLACK
    for start_s, _ in used:
        n_tokens = sum(n for s, n in used if start_s <= s <= start_s + QUOTA_WINDOW_S)
        if n_tokens > allowed:
            yield f"{n_tokens} tokens within {QUOTA_WINDOW_S} s, {allowed:.0f} allowed"
            return


def limits_are_kept(history: History) -> Iterator[str]:
    """Find a time window in which an upstream got more than the limit it named.

    A gateway counts from `LIMIT_TOLD_S` after it passed on a response with the limit
    until it is started again.
    """
    gateways = {request.request_id: request.gateway for request in history.requests}
    for limit in history.limits:
        told = [
            (request.gateway, request.ended_s)
            for request in history.requests
            if LIMIT_HEADER in request.headers
            and request.headers.get(SEAL_HEADER) == f"seal.{limit.upstream_id}"
            and request.ended_s is not None
            and limit.start_s <= request.ended_s
        ]
        times_s = sorted(
            arrival.at_s
            for arrival in history.arrivals
            if arrival.upstream_id == limit.upstream_id
            and limit.start_s <= arrival.at_s <= limit.end_s
            and not history.was_held(limit.upstream_id, arrival.at_s)
            and arrival.request_id in gateways
            and _was_told(history, told, gateways[arrival.request_id], arrival.at_s)
        )
        allowed = LIMIT_FACTOR * limit.rate_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        most = max(
            (_n_within(times_s, start_s, start_s + LIMIT_WINDOW_S))
            for start_s in (*times_s, 0.0)
        )
        if most > allowed:
            yield (
                f"{limit.upstream_id} got {most} requests within {LIMIT_WINDOW_S} s "
                f"at {limit.rate_per_s} a second, {allowed:.0f} allowed"
            )


def _was_told(
    history: History, told: list[tuple[int, float]], gateway: int, at_s: float
) -> bool:
    started_s = max((s for g, s in history.starts if g == gateway and s <= at_s))
    return any(
        number == gateway and started_s <= told_s <= at_s - LIMIT_TOLD_S
        for number, told_s in told
    )


def planned_stops_cut_nothing(history: History) -> Iterator[str]:
    """Find requests that were open at SIGTERM and cut by the stop."""
    runs = history.runs_by_id()
    for gateway, at_s in history.stops:
        for request in history.requests:
            is_open = request.sent_s <= at_s and (request.ended_s or at_s) >= at_s
            if request.gateway != gateway or not is_open or request.caller_disconnected:
                continue
            ended_s = request.ended_s or request.sent_s + request.deadline_s
            if not history.is_undisturbed(gateway, request.sent_s, ended_s, False):
                continue
            was_run = request.request_id in runs
            is_healthy = all(
                history.was_healthy(run.upstream_id, request.sent_s, ended_s)
                for run in runs.get(request.request_id, ())
            )
            if was_run and is_healthy and not request.is_complete:
                yield f"{request.request_id} was cut by the stop of gateway {gateway}"


def every_request_is_answered(history: History) -> Iterator[str]:
    """Find requests that undisturbed gateways did not answer in time."""
    for request in history.requests:
        if request.caller_disconnected or not request.was_connected:
            continue
        until_s = request.sent_s + request.deadline_s
        if not history.is_undisturbed(request.gateway, request.sent_s, until_s):
            continue
        if (
            request.ended_s is None
            or request.ended_s > until_s + SCHEDULING_TOLERANCE_S
        ):
            yield f"{request.request_id} was not answered within {request.deadline_s} s"
        elif request.status == 0:
            yield f"{request.request_id} got no answer before its connection ended"


def everything_recovers(history: History) -> Iterator[str]:
    """Find out whether over a tenth of the requests after the last fault failed."""
    if history.recovery_from_s is None:
        return
    final = [a for a in history.requests if a.sent_s >= history.recovery_from_s]
    failed = [a for a in final if a.status != 200 or not a.is_complete]
    if not final or len(failed) > len(final) // 10:
        yield f"{len(failed)} of {len(final)} requests failed after the last fault"


def crashing_parts_are_refused(history: History) -> Iterator[str]:
    """Find parts with which too many requests ran long after the fifth crash."""
    requests = {request.request_id: request for request in history.requests}
    times_s = defaultdict(list)
    for run in history.runs:
        request = requests.get(run.request_id)
        if request is not None and request.crashing_part:
            times_s[request.crashing_part].append((run.at_s, request))
    for part, runs in times_s.items():
        runs.sort(key=lambda run: run[0])
        if len(runs) < N_CRASHES:
            continue
        from_s = runs[N_CRASHES - 1][0] + SETTLING_S
        late = [
            at_s
            for at_s, request in runs
            if at_s > from_s and history.is_undisturbed(request.gateway, at_s, at_s)
        ]
        if len(late) > MAX_LATE_RUNS:
            yield f"{len(late)} requests with {part} ran after {from_s:.2f} s: {late}"


def sound_requests_are_not_convicted(history: History) -> Iterator[str]:
    """Find sound requests that were refused for a part of their prompts."""
    convicted = [
        request.request_id
        for request in history.requests
        if not request.crashing_part and CONVICTED in request.answer
    ]
    if convicted:
        yield f"{len(convicted)} sound requests were refused: {convicted[:5]}"


# Checks whose result does not depend on the speed of the machine.
SAFETY_CHECKS: dict[str, Check] = {
    "runs once": runs_once,
    "refusals are true": refusals_are_true,
    "answers are whole": answers_are_whole,
    "streams are in order": streams_are_in_order,
    "complete streams are whole": complete_streams_are_whole,
    "streams are of one version": streams_are_of_one_version,
    "streams go on": streams_go_on,
    "runs were asked for": runs_were_asked,
    "versions never go back": versions_never_go_back,
    "repeats keep to the budget": repeats_keep_to_the_budget,
    "quotas are kept": quotas_are_kept,
    "limits are kept": limits_are_kept,
    "crashing parts are refused": crashing_parts_are_refused,
    "sound requests are not convicted": sound_requests_are_not_convicted,
    "planned stops cut nothing": planned_stops_cut_nothing,
    "everything recovers": everything_recovers,
}
TIMED_CHECKS: dict[str, Check] = {
    "versions are in force": versions_are_in_force,
    "leaving upstreams are left alone": leaving_upstreams_are_left_alone,
    "every request is answered": every_request_is_answered,
}


def violations(history: History, checks: dict[str, Check]) -> list[tuple[str, str]]:
    """Return the failures as pairs of check name and detail."""
    return [
        (name, detail) for name, check in checks.items() for detail in check(history)
    ]


def _n_within(times_s: Iterable[float], from_s: float, to_s: float) -> int:
    return sum(from_s <= time_s <= to_s for time_s in times_s)
