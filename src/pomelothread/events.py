"""Numbered log events and the formatters of log lines.

docs/events.md explains each event to operators. Numbers are never reused: 1xx
entry, 2xx agent, 3xx log and claims, 4xx sheet, 5xx membership and messages,
6xx upstreams, 7xx the process itself, 8xx gateway.
"""

import logging
import re
import sys
from datetime import UTC, datetime
from enum import Enum
from typing import TYPE_CHECKING, Any, TextIO

import msgspec

if TYPE_CHECKING:
    from .settings import LoggingSettings

_FIELD = re.compile(r"%\((\w+)\)s")


class Event(Enum):
    """A kind of log line; the value is (number, level, template)."""

    ENTRY_STARTED = (
        101,
        logging.INFO,
        "entry started, incarnation %(incarnation)s, HTTP on %(http_address)s, "
        "control on %(control_address)s",
    )
    ENTRY_READY = (102, logging.INFO, "entry ready with sheet %(sheet_version)s")
    ENTRY_DRAINING = (
        103,
        logging.INFO,
        "entry draining, %(n_waiting)s requests waiting, %(n_running)s running",
    )
    ENTRY_STOPPED = (104, logging.INFO, "entry stopped after %(uptime_s)s s")
    REQUEST_SHED = (
        110,
        logging.INFO,
        "request %(request_id)s of %(organisation)s for %(service)s not run: "
        "%(reason)s",
    )
    OUTCOME_NOT_KNOWN = (
        111,
        logging.WARNING,
        "outcome of request %(request_id)s of %(organisation)s for %(service)s is "
        "not known: %(reason)s at agent %(agent)s",
    )
    STREAM_CUT = (
        112,
        logging.WARNING,
        "response to request %(request_id)s for %(service)s was cut after "
        "%(n_bytes)s bytes by agent %(agent)s",
    )
    FLOOR_REQUESTED = (
        113,
        logging.WARNING,
        "asked all agents of pool %(pool)s to shed work below tier rank %(tier_rank)s",
    )
    AGENT_STARTED = (
        201,
        logging.INFO,
        "agent of pool %(pool)s started, incarnation %(incarnation)s, HTTP on "
        "%(http_address)s, control on %(control_address)s",
    )
    AGENT_READY = (202, logging.INFO, "agent ready with sheet %(sheet_version)s")
    AGENT_DRAINING = (
        203,
        logging.INFO,
        "agent draining, %(n_waiting)s offers returned, %(n_running)s running",
    )
    AGENT_STOPPED = (204, logging.INFO, "agent stopped after %(uptime_s)s s")
    DISPATCH_REFUSED = (
        211,
        logging.WARNING,
        "dispatch of request %(request_id)s refused: grant %(grant)s is %(cause)s",
    )
    PLACE_LIMIT_CHANGED = (
        212,
        logging.INFO,
        "places changed from %(n_places_before)s to %(n_places)s at a token gap of "
        "%(token_gap_s)s s",
    )
    FLOOR_RAISED = (
        213,
        logging.WARNING,
        "floor of pool %(pool)s raised to tier rank %(tier_rank)s, %(n_refused)s "
        "offers refused",
    )
    LOG_UNREACHABLE = (
        301,
        logging.WARNING,
        "log unreachable for topic %(topic)s: %(detail)s",
    )
    LOG_BACK = (
        302,
        logging.INFO,
        "log reachable again for topic %(topic)s after %(outage_s)s s",
    )
    LOG_RECORDS_EXPIRED = (
        303,
        logging.ERROR,
        "%(n_expired)s records of topic %(topic)s were deleted before they were read",
    )
    LOG_RECORD_SKIPPED = (
        304,
        logging.ERROR,
        "record at offset %(offset)s of topic %(topic)s skipped: %(detail)s",
    )
    CLAIM_CONFLICT = (
        310,
        logging.INFO,
        "order with key %(key_digest)s of %(service)s is already running",
    )
    CLAIM_UNAVAILABLE = (
        311,
        logging.WARNING,
        "key %(key_digest)s of %(service)s cannot be claimed: %(detail)s",
    )
    CLAIM_UNFINISHED = (
        312,
        logging.WARNING,
        "claim of key %(key_digest)s of %(service)s has no result",
    )
    KEY_REUSED = (
        313,
        logging.WARNING,
        "key %(key_digest)s of %(service)s was used again with another body by "
        "%(organisation)s",
    )
    CRASH_SUSPECT = (
        320,
        logging.WARNING,
        "request body %(fingerprint)s was running when the upstream died",
    )
    CRASH_CONVICTED = (
        321,
        logging.ERROR,
        "request body %(fingerprint)s crashed an upstream while running alone; refused",
    )
    SHEET_ACCEPTED = (
        401,
        logging.INFO,
        "sheet %(sheet_version)s of %(operator)s in force, digest %(digest)s",
    )
    SHEET_IGNORED = (
        402,
        logging.WARNING,
        "sheet record at offset %(offset)s not used: %(reason)s, %(detail)s",
    )
    SHEET_FROM_PEER = (
        404,
        logging.WARNING,
        "sheet %(sheet_version)s taken from a peer, the log is unreachable",
    )
    LIST_UNREACHABLE = (
        501,
        logging.WARNING,
        "instance list unreachable, the last copy stays in use: %(detail)s",
    )
    LIST_BACK = (
        502,
        logging.INFO,
        "instance list reachable again after %(outage_s)s s",
    )
    PEER_UP = (503, logging.INFO, "peer %(instance)s at %(address)s is up")
    PEER_DOWN = (
        504,
        logging.WARNING,
        "peer %(instance)s at %(address)s is down: %(cause)s",
    )
    PEER_INCOMPATIBLE = (
        505,
        logging.ERROR,
        "peer %(instance)s speaks protocol %(min_protocol_version)s to "
        "%(protocol_version)s and is not used",
    )
    MESSAGE_DROPPED = (
        510,
        logging.WARNING,
        "%(n_messages)s control messages of an unknown kind dropped",
    )
    UPSTREAM_DOWN = (601, logging.ERROR, "upstream %(url)s is down: %(detail)s")
    UPSTREAM_UP = (602, logging.INFO, "upstream %(url)s is up")
    COMMAND_DONE = (
        610,
        logging.INFO,
        "upstream carried out %(command)s with fencing token %(fencing_token)s",
    )
    COMMAND_FAILED = (
        611,
        logging.ERROR,
        "upstream failed %(command)s with fencing token %(fencing_token)s: %(detail)s",
    )
    INVARIANT_BROKEN = (
        701,
        logging.CRITICAL,
        "invariant broken, the process stops: %(detail)s",
    )

    GATEWAY_STARTED = (
        801,
        logging.INFO,
        "gateway started, incarnation %(incarnation)s, callers on "
        "%(callers_address)s, store at %(store_address)s",
    )
    GATEWAY_READY = (
        802,
        logging.INFO,
        "gateway ready with configuration %(configuration_version)s and "
        "%(n_upstreams)s upstreams",
    )
    GATEWAY_DRAINING = (
        803,
        logging.INFO,
        "gateway draining, %(n_waiting)s requests waiting, %(n_open)s open",
    )
    GATEWAY_STOPPED = (804, logging.INFO, "gateway stopped, %(n_open)s requests open")
    REQUEST_SENT = (
        810,
        logging.INFO,
        "request %(request_id)s sent to %(upstream)s of %(service)s as attempt "
        "%(attempt)s after %(waited_s)s s: %(n_running)s of %(n_slots)s slots taken, "
        "%(n_pending_tokens)s tokens pending, speed factor %(speed_factor)s, "
        "last message from a peer %(peer_age_s)s s ago",
    )
    ATTEMPT_FAILED = (
        811,
        logging.WARNING,
        "attempt %(attempt)s of request %(request_id)s at %(upstream)s failed after "
        "%(took_s)s s: %(detail)s; next: %(decision)s",
    )
    REQUEST_ENDED = (
        812,
        logging.INFO,
        "request %(request_id)s of %(organisation)s on route %(route)s ended with "
        "%(outcome)s after %(took_s)s s, first event after %(first_event_s)s s, "
        "longest pause %(longest_pause_s)s s, %(attempts)s attempts, configuration "
        "%(configuration_version)s",
    )
    REQUEST_REFUSED = (
        813,
        logging.INFO,
        "request %(request_id)s of %(organisation)s on route %(route)s refused after "
        "%(took_s)s s: %(reason)s, retry after %(retry_after_s)s s, configuration "
        "%(configuration_version)s",
    )
    CONNECTION_FAILED = (
        814,
        logging.WARNING,
        "connection ended while it was being set up: %(detail)s",
    )
    CONFIGURATION_IN_FORCE = (
        820,
        logging.INFO,
        "configuration %(configuration_version)s in force, previously "
        "%(previous_version)s",
    )
    CONFIGURATION_IGNORED = (
        821,
        logging.WARNING,
        "configuration %(configuration_version)s ignored: %(detail)s",
    )
    CRASH_COUNTED = (
        815,
        logging.ERROR,
        "upstream %(upstream)s crashed while running request body %(fingerprint)s, "
        "crash %(n_crashes)s of this body; refused from now on: %(refused)s",
    )
    CRASH_NOT_STORED = (
        816,
        logging.WARNING,
        "crash of request body %(fingerprint)s could not be written to the store; "
        "only gateways that run now know of it",
    )
    RUNNING_REQUEST_CUT = (
        861,
        logging.WARNING,
        "connection to upstream %(upstream)s was lost while it ran request "
        "%(request_id)s with the shared prompt parts %(parts)s; time since its first "
        "event: %(since_first_event_s)s s",
    )
    PROMPT_PART_SUSPECTED = (
        862,
        logging.WARNING,
        "upstream %(upstream)s crashed before it responded to a request with prompt "
        "part %(part)s, crash %(n_crashes)s of this part; known to have been sound: "
        "%(was_sound)s",
    )
    PROMPT_PART_REFUSED = (
        863,
        logging.ERROR,
        "requests with prompt part %(part)s are refused: %(n_crashes)s crashes of "
        "%(upstreams)s",
    )
    PROMPT_PART_ALLOWED = (
        864,
        logging.INFO,
        "requests with prompt part %(part)s are sent again: the part is sound, or its "
        "evidence has expired",
    )
    PART_CRASH_NOT_STORED = (
        865,
        logging.WARNING,
        "evidence about prompt part %(part)s at upstream %(upstream)s could not be "
        "written to the store; only gateways that run now know of it",
    )
    PROMPT_PART_TRIED = (
        866,
        logging.WARNING,
        "request %(request_id)s tries whether prompt parts %(parts)s still crash "
        "upstreams",
    )
    QUOTAS_RESTORED = (
        817,
        logging.INFO,
        "quota usage restored from %(n_notes)s notes; the last window is known: "
        "%(is_known)s",
    )
    QUOTA_NOTE_NOT_STORED = (
        818,
        logging.WARNING,
        "quota usage of %(instance)s could not be written to the store",
    )
    REQUEST_BROKEN = (
        819,
        logging.ERROR,
        "request %(request_id)s ended by an unexpected error: %(detail)s",
    )
    CONNECTION_BROKEN = (
        822,
        logging.ERROR,
        "connection of a caller closed after an unexpected error: %(detail)s",
    )
    CALLBACK_FAILED = (
        823,
        logging.ERROR,
        "unexpected error outside of any request: %(detail)s",
    )
    TASK_FAILED = (
        824,
        logging.ERROR,
        "a task of the process failed and is restarted: %(detail)s",
    )
    FEED_LOST = (
        830,
        logging.WARNING,
        "cannot read %(feed)s from the store; the last known state stays in use",
    )
    FEED_BACK = (
        831,
        logging.INFO,
        "store answers again for %(feed)s after %(outage_s)s s",
    )
    FEED_EXPIRED = (
        832,
        logging.WARNING,
        "records of %(feed)s were deleted before they were read; reading the newest "
        "of each key",
    )
    FEED_MALFORMED = (
        833,
        logging.ERROR,
        "answer of the store for %(feed)s is malformed: %(detail)s",
    )
    FEED_RECORD_FAILED = (
        834,
        logging.ERROR,
        "record %(key)s of %(feed)s skipped after an unexpected error: %(detail)s",
    )
    FEED_OVERTAKEN = (
        835,
        logging.WARNING,
        "read of %(feed)s abandoned, repeating it on a new connection: "
        "a peer has newer records",
    )
    STORE_RESTORED = (
        836,
        logging.WARNING,
        "the store has returned from an older copy: epoch %(epoch)s, "
        "%(epoch_before)s before, learned from %(source)s",
    )
    FEED_READ_IN_EPOCH = (
        837,
        logging.INFO,
        "%(feed)s read in full in epoch %(epoch)s of the store: %(n_records)s records "
        "up to offset %(offset)s; read to offset %(offset_before)s in epoch "
        "%(epoch_before)s",
    )
    RECORDS_STORED_AGAIN = (
        838,
        logging.INFO,
        "%(n_stored)s records of %(feed)s stored again that the store had lost; "
        "%(n_failed)s could not be stored",
    )
    UPSTREAM_LISTED = (
        840,
        logging.INFO,
        "upstream %(upstream)s of %(service)s at %(address)s is listed as %(state)s, "
        "software version %(software_version)s, start %(listed_start_ms)s",
    )
    UPSTREAM_UNLISTED = (841, logging.INFO, "upstream %(upstream)s is no longer listed")
    LISTING_UNUSABLE = (
        842,
        logging.WARNING,
        "listing of upstream %(upstream)s is invalid: %(detail)s",
    )
    UPSTREAM_RESTS = (
        843,
        logging.WARNING,
        "upstream %(upstream)s gets no requests for %(rest_s)s s after "
        "%(n_failures)s consecutive failures",
    )
    UPSTREAM_SAID_TO_LEAVE = (
        844,
        logging.INFO,
        "upstream %(upstream)s announced its shutdown in the response to request "
        "%(request_id)s",
    )
    UPSTREAM_ASKED_FOR_REST = (
        845,
        logging.WARNING,
        "upstream %(upstream)s declined request %(request_id)s and asked for no "
        "requests for %(rest_s)s s",
    )
    UPSTREAM_TOLD_TO_LEAVE = (
        846,
        logging.INFO,
        "gateway %(peer)s reported that upstream %(upstream)s is shutting down",
    )
    UPSTREAM_LIMIT_LEARNED = (
        847,
        logging.WARNING,
        "upstream %(upstream)s takes %(rate_per_s)s requests a second from all "
        "gateways together, %(before_per_s)s before; stated %(age_s)s s ago, learned "
        "from %(source)s",
    )
    UPSTREAM_LIMIT_ENDED = (
        848,
        logging.INFO,
        "upstream %(upstream)s no longer limits its requests to %(before_per_s)s a "
        "second; stated %(age_s)s s ago, learned from %(source)s",
    )
    PERMITS_COORDINATED = (
        849,
        logging.INFO,
        "this gateway issues the permits of upstream %(upstream)s now: %(share)s of "
        "%(rate_per_s)s a second, %(n_gateways)s gateways are heard",
    )
    PERMITS_NOT_COORDINATED = (
        860,
        logging.INFO,
        "this gateway no longer issues permits of upstream %(upstream)s; coordinator "
        "%(coordinator)s",
    )
    STREAM_NOT_RESUMED = (
        867,
        logging.WARNING,
        "request %(request_id)s cannot go on with stream %(stream)s after event "
        "%(last_event_id)s: %(cause)s",
    )
    VERSIONS_READ = (
        868,
        logging.INFO,
        "software that was listed before the start: %(software)s; "
        "complete: %(is_complete)s",
    )
    VERSIONS_STORED = (
        869,
        logging.INFO,
        "software that was listed lately, as stored now: %(software)s",
    )
    VERSIONS_NOT_STORED = (
        870,
        logging.WARNING,
        "cannot store which software was listed lately: %(software)s",
    )
    CRASHES_REFUTED = (
        871,
        logging.INFO,
        "request %(request_id)s was served, so earlier crashes of upstreams do not "
        "count against %(fingerprint)s",
    )
    CRASHING_REQUEST_TRIED = (
        872,
        logging.WARNING,
        "request %(request_id)s is sent to try whether %(fingerprint)s still crashes "
        "upstreams",
    )
    STREAM_GOES_ON = (
        873,
        logging.INFO,
        "stream %(stream)s goes on for request %(request_id)s after event "
        "%(last_event_id)s with event %(first_event_id)s of upstream %(upstream)s, "
        "version %(software_version)s; start %(start_ms)s, listed %(listed_start_ms)s; "
        "list as of %(list_age_s)s s ago",
    )
    UPSTREAM_START_DIFFERS = (
        874,
        logging.WARNING,
        "upstream %(upstream)s at %(address)s states start %(start_ms)s to request "
        "%(request_id)s, but is listed with start %(listed_start_ms)s and version "
        "%(software_version)s; list as of %(list_age_s)s s ago",
    )
    UPSTREAM_START_UNKNOWN = (
        875,
        logging.WARNING,
        "upstream %(upstream)s, listed with start %(listed_start_ms)s, did not state "
        "its start: %(detail)s",
    )
    UNFRAMED_RESPONSE_ENDED = (
        876,
        logging.INFO,
        "response of upstream %(upstream)s to request %(request_id)s ended without "
        "framing after event %(last_event_id)s of stream %(stream)s; start "
        "%(start_ms)s, listed %(listed_start_ms)s; proof of its end: %(proof)s",
    )
    GATEWAY_PEER_UP = (850, logging.INFO, "gateway %(peer)s at %(address)s is up")
    GATEWAY_PEER_SILENT = (
        851,
        logging.WARNING,
        "gateway %(peer)s has sent nothing for %(silent_s)s s; its load is no longer "
        "counted",
    )
    PEER_MESSAGE_MALFORMED = (
        852,
        logging.WARNING,
        "message from %(address)s dropped: %(detail)s",
    )
    PEER_MESSAGE_FAILED = (
        854,
        logging.ERROR,
        "message from %(address)s skipped after an unexpected error: %(detail)s",
    )
    FLEET_DIVIDED = (
        853,
        logging.INFO,
        "%(n_gateways)s gateways are divided into %(n_cells)s cells; this one is in "
        "cell %(cell)s",
    )

    @property
    def number(self) -> int:
        """Number of the event in docs/events.md."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Level as in `logging`."""
        return self.value[1]

    @property
    def template(self) -> str:
        """Text with ``%(field)s`` for each field."""
        return self.value[2]

    @property
    def fields(self) -> tuple[str, ...]:
        """Names of the fields, in the order of the text."""
        return tuple(_FIELD.findall(self.template))


def log_event(
    logger: logging.Logger,
    event: Event,
    /,
    *,
    exc_info: BaseException | None = None,
    **fields: object,
) -> None:
    """Log an event.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    event : Event
        What happened.
    exc_info : BaseException or None
        Exception whose traceback is logged too.
    **fields : object
        Exactly the fields of the event's template; a test checks every call.
    """
    if not logger.isEnabledFor(event.level):
        return
    logger.log(
        event.level, event.template, fields, exc_info=exc_info, extra={"event": event}
    )


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    Members: `time` (UTC, RFC 3339), `level`, `logger`, `instance`, `text`; for
    an event also `event` (number), `name` and `fields`; `traceback` if there is
    one.

    Parameters
    ----------
    instance : str
        Name of the instance.
    """

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON without a line break."""
        line: dict[str, Any] = {
            "time": datetime.fromtimestamp(record.created, UTC),
            "level": record.levelname.lower(),
            "logger": record.name,
            "instance": self._instance,
            "text": record.getMessage(),
        }
        event = getattr(record, "event", None)
        if isinstance(event, Event):
            line["event"] = event.number
            line["name"] = event.name
            line["fields"] = record.args
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        # Fields of other types, such as addresses and enums, are written with str().
        return msgspec.json.encode(line, enc_hook=str).decode()


class TextFormatter(logging.Formatter):
    """Formats a record as a line of text for a terminal.

    Parameters
    ----------
    instance : str
        Name of the instance.
    """

    def __init__(self, instance: str) -> None:
        super().__init__(
            f"%(asctime)s %(levelname)-8s {instance.replace('%', '%%')} "
            "%(number)s %(message)s"
        )

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as text, with the event's number or ``---``."""
        event = getattr(record, "event", None)
        record.number = event.number if isinstance(event, Event) else "---"
        return super().format(record)


def setup_logging(
    settings: "LoggingSettings",
    instance: str,
    stream: TextIO | None = None,
    handler: logging.Handler | None = None,
) -> None:
    """Write all log records of the process to one stream or handler.

    Parameters
    ----------
    settings : LoggingSettings
        Level and format.
    instance : str
        Name of the instance.
    stream : TextIO or None
        Stream that lines are written to; stderr by default.
    handler : logging.Handler or None
        Handler to use instead of one that writes to `stream`.
    """
    handler = handler or logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(instance)
        if settings.format == "json"
        else TextFormatter(instance)
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
