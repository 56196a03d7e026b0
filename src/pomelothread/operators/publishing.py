"""Publishing a sheet: append it to the log, read back, and report the outcome."""

from dataclasses import dataclass, field
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ..clock import Clock
from ..log.records import LogClient, LogFailure, LogFault
from .changes import IgnoredRecord, SheetChange
from .deltas import make_delta, with_digest
from .publications import (
    TOPIC,
    SheetRecord,
    encode_record,
    make_carry_forward,
    make_publication,
)
from .replication import SheetReplica
from .sheet import Sheet

RETRY_S = 0.25


@dataclass(frozen=True, slots=True)
class Published:
    """The sheet is in force from `offset` on.

    `superseded_by` is the latest version that was read back, or 0 if there is
    none above `version`.
    """

    version: int
    digest: str
    offset: int
    n_put: int
    n_removed: int
    superseded_by: int = 0


@dataclass(frozen=True, slots=True)
class NothingToPublish:
    """The sheet in force has the same rows."""

    version: int


@dataclass(frozen=True, slots=True)
class WrongBase:
    """The sheet was made from a version that is not the one in force."""

    base: int
    in_force: int


@dataclass(frozen=True, slots=True)
class LostRace:
    """Another publication replaced the base before this one."""

    version: int
    winner: str
    offset: int


@dataclass(frozen=True, slots=True)
class NotPublished:
    """The publication has not taken effect and never will."""

    detail: str


@dataclass(frozen=True, slots=True)
class ResultNotKnown:
    """The publication may have taken effect, or may do so later."""

    publication: str
    detail: str


PublishOutcome = (
    Published | NothingToPublish | WrongBase | LostRace | NotPublished | ResultNotKnown
)


@dataclass(frozen=True, slots=True)
class PublishRequest:
    """A request to publish a sheet.

    Parameters
    ----------
    sheet : Sheet
        The sheet with its rows; its version is not used.
    base : int
        The version that the rows were made from; 0 for the first sheet.
    operator : str
        Who publishes.
    publication : str
        Random identifier of this publication.
    wait_s : float
        How long to append and read back, in seconds.
    restart : bool
        Whether to publish if the log no longer holds the sheet in force.
    """

    sheet: Sheet
    base: int
    operator: str
    publication: str
    wait_s: float
    restart: bool = False


@dataclass(slots=True)
class TopicReader:
    """Reads the topic into a replica and collects the changes and faults.

    Parameters
    ----------
    log : LogClient
        The log.
    replica : SheetReplica
        Applies the records.
    changes : list of SheetChange
        All changes of the sheet in force.
    ignored : list of IgnoredRecord
        All records that were not used.
    parts : set of (str, int)
        Publication and part number of each part read.
    """

    log: LogClient
    replica: SheetReplica = field(init=False)
    changes: list[SheetChange] = field(default_factory=list)
    ignored: list[IgnoredRecord] = field(default_factory=list)
    parts: set[tuple[str, int]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.replica = SheetReplica(self.ignored.append)

    async def read_to_end(self) -> Result[None, LogFailure]:
        """Read until the log returns no further record."""
        while True:
            match await self.log.read(TOPIC, self.replica.next_offset, 0.0):
                case Failure(failure):
                    return Failure(failure)
                case Success(batch):
                    pass
            for record in batch.records:
                match record.value:
                    case {"publication": str(publication), "part": int(part)}:
                        self.parts.add((publication, part))
            self.changes += self.replica.apply_batch(batch)
            if not batch.records and not batch.n_expired:
                return Success(None)


async def publish_sheet(
    log: LogClient, clock: Clock, request: PublishRequest
) -> PublishOutcome:
    """Publish a sheet.

    Parameters
    ----------
    log : LogClient
        The log.
    clock : Clock
        Source of time.
    request : PublishRequest
        What to publish.

    Returns
    -------
    PublishOutcome
        What is known about the publication. An append is repeated only if the
        log refused it. If the answer was lost, the topic is searched for the
        publication's identifier.
    """
    reader = TopicReader(log)
    match await reader.read_to_end():
        case Failure(failure):
            return NotPublished(f"the log cannot be read: {failure.detail}")
    record_or_outcome = _make_record(reader.replica, clock, request)
    if not isinstance(record_or_outcome, SheetRecord):
        return record_or_outcome
    values = encode_record(record_or_outcome)
    deadline_s = clock.monotonic_s() + request.wait_s
    for part, value in enumerate(values, 1):
        match await _append(log, clock, value, deadline_s):
            case Failure(LogFailure(LogFault.REFUSED, detail)):
                return NotPublished(f"the log refused the record: {detail}")
            case Failure(LogFailure(LogFault.UNANSWERED, detail)) if part < len(values):
                await _read_back_part(reader, clock, request, part, deadline_s)
                if (request.publication, part) in reader.parts:
                    continue
                # The later parts are not appended, so the record remains
                # incomplete even if this part arrives later.
                outcome = _determine_outcome(reader, request, record_or_outcome)
                if isinstance(outcome, LostRace):
                    return outcome
                return NotPublished(f"the record is incomplete: {detail}")
    await _read_back_part(reader, clock, request, len(values), deadline_s)
    return _determine_outcome(reader, request, record_or_outcome)


async def _append(
    log: LogClient, clock: Clock, value: dict[str, Any], deadline_s: float
) -> Result[int, LogFailure]:
    """Append a value; retry only if the log is known to have refused it."""
    while True:
        answer = await log.append(TOPIC, value)
        match answer:
            case Failure(LogFailure(LogFault.REFUSED)):
                if clock.monotonic_s() >= deadline_s:
                    return answer
            case _:
                return answer
        await clock.sleep(RETRY_S)


def _make_record(
    replica: SheetReplica, clock: Clock, request: PublishRequest
) -> SheetRecord | PublishOutcome:
    if replica.is_blocked:
        return NotPublished(
            "the log holds sheets of a newer format; use newer software"
        )
    in_force = replica.sheet
    new = with_digest(request.sheet).sheet
    if in_force.version and new.digest == in_force.digest:
        return NothingToPublish(in_force.version)
    if request.base != in_force.version:
        return WrongBase(request.base, in_force.version)
    if request.restart:
        return _make_restart_record(replica, clock, request, new)
    if not replica.is_anchored:
        return NotPublished(
            "the log has deleted the records of the sheet in force; a running "
            "process appends them again. If none is running, publish with --restart"
        )
    delta = make_delta(in_force, new)
    return make_publication(
        in_force,
        delta,
        new.digest,
        publication=request.publication,
        operator=request.operator,
        written_at=clock.now(),
        as_of=replica.next_offset,
    )


def _make_restart_record(
    replica: SheetReplica, clock: Clock, request: PublishRequest, new: Sheet
) -> SheetRecord | PublishOutcome:
    if replica.is_anchored:
        return NotPublished(
            "the log holds the sheet in force; publish without --restart"
        )
    # Each version took at least one record, so this exceeds every earlier version.
    version = replica.next_offset + 1
    return make_carry_forward(
        msgspec.structs.replace(new, version=version),
        publication=request.publication,
        operator=request.operator,
        written_at=clock.now(),
        as_of=replica.next_offset,
    )


async def _read_back_part(
    reader: TopicReader,
    clock: Clock,
    request: PublishRequest,
    part: int,
    deadline_s: float,
) -> None:
    """Read until the part is found, the base is replaced or time runs out."""
    while True:
        answer = await reader.read_to_end()
        if (request.publication, part) in reader.parts:
            return
        was_read = isinstance(answer, Success)
        if was_read and reader.replica.sheet.version > request.base:
            return
        if clock.monotonic_s() >= deadline_s:
            return
        await clock.sleep(RETRY_S)


def _determine_outcome(
    reader: TopicReader, request: PublishRequest, record: SheetRecord
) -> PublishOutcome:
    for change in reader.changes:
        if change.publication == request.publication:
            latest = reader.replica.sheet.version
            return Published(
                record.version,
                record.digest,
                change.offset,
                record.delta().n_put(),
                record.delta().n_removed(),
                latest if latest > record.version else 0,
            )
    for change in reader.changes:
        if change.previous.version == request.base:
            return LostRace(change.sheet.version, change.operator, change.offset)
    for ignored in reader.ignored:
        if ignored.publication == request.publication:
            return NotPublished(f"the record was not accepted: {ignored.detail}")
    return ResultNotKnown(
        request.publication, f"the record was not found within {request.wait_s:g} s"
    )
