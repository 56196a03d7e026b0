"""Keeps a process up to date with the platform's sheet and instance list."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..events import Event, log_event
from ..instance_list.client import InstanceListClient, follow_instances
from ..instance_list.membership import Membership
from ..log.client import HttpLogClient
from ..operators.changes import IgnoredRecord, SheetChange, Source
from ..operators.following import FollowSettings, FollowStatus, follow_sheet
from ..operators.publications import TOPIC
from ..operators.replication import SheetReplica
from ..operators.sheet import Sheet
from .http_exchange import ExchangeClient
from .node import LongRunningTasks, log_list_outage
from .sheets import adopt_from_peers

_logger = logging.getLogger(__name__)

# Only agents serve the sheet to peers, because callers cannot reach their port.
SHEET_SOURCE_ROLE = "agent"


@dataclass(frozen=True, slots=True)
class PlatformAddresses:
    """Addresses of the platform's services, and the name of the own instance.

    Parameters
    ----------
    instance : str
        Name of the own instance.
    log_address, instance_list_address : str
        ``ip:port`` of each service.
    log_retention_s : float
        How long the log keeps a record, in seconds.
    """

    instance: str
    log_address: str
    instance_list_address: str
    log_retention_s: float


class PlatformFollower:
    """The sheet in force and the listed instances, kept up to date.

    Parameters
    ----------
    addresses : PlatformAddresses
        Addresses of the platform's services.
    client : ExchangeClient
        Client for fetching the sheet from peers while the log is unreachable.
    clock : Clock
        Source of time.
    on_sheet : callable
        Called with each `SheetChange`.
    on_change : callable
        Called after any change of the sheet, the list or the state of the log.

    Attributes
    ----------
    membership : Membership
        The last copy of the instance list.
    replica : SheetReplica
        The sheet in force.
    """

    __slots__ = (
        "_addresses",
        "_client",
        "_clock",
        "_is_at_end",
        "_log_failed",
        "_log_failed_at_s",
        "_on_change",
        "_on_sheet",
        "membership",
        "replica",
    )

    def __init__(
        self,
        addresses: PlatformAddresses,
        client: ExchangeClient,
        clock: Clock,
        on_sheet: Callable[[SheetChange], None],
        on_change: Callable[[], None],
    ) -> None:
        self._addresses = addresses
        self._client = client
        self._clock = clock
        self._on_sheet = on_sheet
        self._on_change = on_change
        self._is_at_end = False
        self._log_failed = False
        self._log_failed_at_s = 0.0
        self.membership = Membership()
        self.replica = SheetReplica(on_ignored=_log_ignored_record)

    @property
    def sheet(self) -> Sheet:
        """The sheet in force; version 0 before there is one."""
        return self.replica.sheet

    @property
    def has_sheet(self) -> bool:
        """Whether the process may work with the sheet that it holds.

        Either the topic has been read to its end, so that the sheet is known to
        be the one in force, or the log is unreachable and the sheet at hand, such
        as one from a peer, is used instead.
        """
        return self.sheet.version > 0 and (self._is_current or self._log_failed)

    @property
    def _is_current(self) -> bool:
        return self._is_at_end and self.replica.is_anchored

    def start(self, tasks: LongRunningTasks) -> None:
        """Start the tasks that follow the list and the sheet."""
        addresses = self._addresses
        list_client = InstanceListClient(addresses.instance_list_address)
        tasks.start(
            "instances",
            follow_instances(
                list_client,
                self._clock,
                self._on_instances,
                log_list_outage(self._clock),
            ),
        )
        tasks.start(
            "sheet",
            follow_sheet(
                self.replica,
                HttpLogClient(addresses.log_address),
                self._clock,
                FollowSettings(addresses.instance, addresses.log_retention_s),
                self._on_sheet_change,
                self._on_follow_status,
            ),
        )
        tasks.start(
            "sheet-from-peers",
            adopt_from_peers(
                self.replica,
                self._client,
                self._clock,
                self._peer_addresses,
                lambda: self._log_failed or not self._is_current,
                self._on_sheet_change,
            ),
        )

    def _on_instances(self, membership: Membership) -> None:
        self.membership.replace(membership)
        self._on_change()

    def _on_sheet_change(self, change: SheetChange) -> None:
        self._on_sheet(change)
        if change.source is Source.PEER:
            version = change.sheet.version
            log_event(_logger, Event.SHEET_FROM_PEER, sheet_version=version)
        log_event(
            _logger,
            Event.SHEET_ACCEPTED,
            sheet_version=change.sheet.version,
            operator=change.operator,
            digest=change.sheet.digest,
        )
        self._on_change()

    def _on_follow_status(self, status: FollowStatus) -> None:
        failure = status.failure
        now_s = self._clock.monotonic_s()
        if failure is not None and not self._log_failed:
            self._log_failed_at_s = now_s
            log_event(
                _logger, Event.LOG_UNREACHABLE, topic=TOPIC, detail=failure.detail
            )
        if failure is None and self._log_failed:
            outage_s = round(now_s - self._log_failed_at_s, 1)
            log_event(_logger, Event.LOG_BACK, topic=TOPIC, outage_s=outage_s)
        self._log_failed = failure is not None
        self._is_at_end = status.is_at_end
        self._on_change()

    def _peer_addresses(self) -> list[str]:
        return [
            instance.http_address
            for instance in self.membership.all(SHEET_SOURCE_ROLE)
            if instance.name != self._addresses.instance
        ]


def _log_ignored_record(ignored: IgnoredRecord) -> None:
    log_event(
        _logger,
        Event.SHEET_IGNORED,
        offset=ignored.offset,
        reason=ignored.reason.value,
        detail=ignored.detail,
    )
