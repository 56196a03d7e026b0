"""Asks for permits, and exchanges messages about them with the other gateways."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable

from msgspec.structs import replace

from ..addresses import Address, parse_address
from ..clock import Clock
from ..events import Event, log_event
from ..policy.cells import name_hash
from ..policy.departures import UpstreamStart
from ..policy.permits import (
    MAX_WANTED,
    MIN_HOLD_OFF_S,
    Forecast,
    PermitStock,
    Question,
)
from ..policy.rate_limits import LimitReport
from ..policy.upstream_choice import has_capacity
from .coordinator_choice import CoordinatorChoice
from .limit_log import log_limit_change
from .metrics import GatewayMetrics
from .peer_messages import PermitReply, PermitRequest
from .permit_issuing import PermitCoordinator
from .queue import Shortage, UpstreamQueue
from .upstreams import Upstream, UpstreamTable

_log = logging.getLogger(__name__)

# Maximum number of upstreams of a service that are asked for at a time.
MAX_ASKED_UPSTREAMS = 4
# Replies that are remembered to find repeated ones: those of several seconds.
MAX_REMEMBERED_REPLIES = 1_000
# Maximum interval between two checks whether this process was frozen.
MAX_IDLE_S = 0.5


class PermitExchange:
    """Gets permits for waiting requests, and issues them as a coordinator.

    Parameters
    ----------
    incarnation : str
        Identifies this run of the process.
    upstreams : UpstreamTable
        Limits of upstreams, and the permits for them.
    queue : UpstreamQueue
        Reports shortages, and assigns slots when permits arrive.
    choice : CoordinatorChoice
        Finds the coordinators of upstreams.
    metrics : GatewayMetrics
        Counts permits.
    clock : Clock
        Source of time; it includes the time in which the machine is suspended.
    """

    def __init__(
        self,
        incarnation: str,
        upstreams: UpstreamTable,
        queue: UpstreamQueue,
        choice: CoordinatorChoice,
        metrics: GatewayMetrics,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._upstreams = upstreams
        self._queue = queue
        self._choice = choice
        self._metrics = metrics
        self._clock = clock
        self._coordinator = PermitCoordinator(
            upstreams.rate_limits, choice, self._deliver
        )
        self._sequence = 0
        # Incarnation and sequence number of the last replies, oldest first.
        self._received: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._asks_changed = asyncio.Event()
        # Sends a message to a peer, without waiting; set by the reporter.
        self.send: Callable[[PermitRequest | PermitReply, Address], None] = _not_sent
        queue.on_shortage = self.request

    async def run(self) -> None:
        """Issue permits when they are due, until cancelled."""
        while True:
            self._asks_changed.clear()
            due_s = self.issue_due()
            left_s = MAX_IDLE_S
            if due_s is not None:
                left_s = min(left_s, due_s - self._clock.monotonic_s())
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    await self._asks_changed.wait()
            except TimeoutError:
                # A permit may be due, and a freeze of this process is looked for.
                continue

    def issue_due(self) -> float | None:
        """Issue the permits that are due; return the time of the next, if any."""
        self._choice.update()
        return self._coordinator.issue_due(self._clock.monotonic_s())

    def request(self, shortage: Shortage) -> None:
        """Ask for permits for waiting requests, or withdraw the question.

        Parameters
        ----------
        shortage : Shortage
            Requests of a service that wait.
        """
        now_s = self._clock.monotonic_s()
        limited = [u for u in shortage.upstreams if u.permits is not None]
        chosen = self._choose_to_ask(limited, now_s) if shortage.jobs else []
        for upstream in limited:
            stock = upstream.permits
            assert stock is not None
            n_wanted = 0
            if upstream in chosen:
                upstream_id = upstream.listing.upstream_id
                n_waiting = shortage.n_waiting_for(upstream_id, MAX_WANTED)
                n_wanted = max(0, n_waiting - stock.n_usable(now_s))
            if stock.must_ask(n_wanted, now_s):
                question = Question(
                    str(self._choice.own_address),
                    n_wanted,
                    shortage.urgency,
                    shortage.max_wait_s(now_s),
                )
                self._ask(upstream.listing.start, stock, question, now_s)

    def _choose_to_ask(self, limited: list[Upstream], now_s: float) -> list[Upstream]:
        """Return the upstreams whose permits are expected first."""
        fit = [
            upstream
            for upstream in limited
            if not upstream.is_leaving
            and upstream.health.may_take(now_s)
            and has_capacity([upstream])
        ]

        def order(upstream: Upstream) -> tuple[float, int]:
            assert upstream.permits is not None
            # The hash spreads the gateways over upstreams without a forecast.
            name = f"{self._choice.own_address} {upstream.listing.upstream_id}"
            return upstream.permits.available_from_s(now_s), name_hash(name)

        return sorted(fit, key=order)[:MAX_ASKED_UPSTREAMS]

    def _ask(
        self,
        start: UpstreamStart,
        stock: PermitStock,
        question: Question,
        now_s: float,
    ) -> None:
        self._choice.update()
        coordinator = self._choice.find(start.upstream_id)
        if coordinator is None:
            # After a start of the whole fleet, all gateways settle at the same time.
            wait_s = self._choice.settles_in_s()
            stock.record_forecast(Forecast(wait_s, MIN_HOLD_OFF_S), now_s)
            return
        stock.record_ask(question.n_wanted, now_s)
        if coordinator == self._choice.own_address:
            forecast = self._record_question(start, question, now_s)
            if forecast is not None:
                stock.record_forecast(forecast, now_s)
            return
        if question.n_wanted:
            relays = self._choice.relays
            relays.record_ask(start.upstream_id, str(coordinator), now_s)
        self._send_request(start, coordinator, question, now_s)

    def _record_question(
        self, start: UpstreamStart, question: Question, now_s: float
    ) -> Forecast | None:
        self._asks_changed.set()
        return self._coordinator.record(start, question, now_s)

    def _send_request(
        self,
        start: UpstreamStart,
        coordinator: Address,
        question: Question,
        now_s: float,
        n_returned: int = 0,
    ) -> None:
        limit = self._upstreams.rate_limits.report(start, now_s)
        if limit is None:
            return
        message = PermitRequest(
            self._incarnation,
            "",
            start.upstream_id,
            start.started_ms,
            question.n_wanted,
            question.urgency,
            round(question.max_wait_s, 3),
            n_returned,
            limit.rate_per_s,
            round(limit.age_s, 3),
        )
        self.send(message, coordinator)

    def on_message(self, sender: Address, message: PermitRequest | PermitReply) -> None:
        """Process a message about permits."""
        now_s = self._clock.monotonic_s()
        self._choice.update()
        start = UpstreamStart(message.upstream_id, message.started_ms)
        report = LimitReport(start, message.rate_per_s, message.limit_age_s)
        change = self._upstreams.merge_rate_limit(report, now_s, passes_on=True)
        if change is not None:
            log_limit_change(change, f"gateway {message.incarnation}")
        match message:
            case PermitRequest():
                self._on_request(start, sender, message, now_s)
            case PermitReply():
                self._on_reply(start, sender, message, now_s)

    def _on_request(
        self,
        start: UpstreamStart,
        sender: Address,
        message: PermitRequest,
        now_s: float,
    ) -> None:
        coordinator = self._choice.find(start.upstream_id)
        if coordinator != self._choice.own_address:
            # A message is passed on once, so that it ends when views differ.
            if coordinator is not None and not message.gateway:
                self.send(replace(message, gateway=str(sender)), coordinator)
            return
        gateway = parse_address(message.gateway) if message.gateway else sender
        if gateway is None:
            log_event(
                _log,
                Event.PEER_MESSAGE_MALFORMED,
                address=sender,
                detail=f"{message.gateway[:40]!r} is not an address",
            )
            return
        self._coordinator.give_back(start, min(message.n_returned, MAX_WANTED))
        question = Question(
            str(gateway), message.n_wanted, message.urgency, message.max_wait_s
        )
        forecast = self._record_question(start, question, now_s)
        if question.n_wanted > 0:
            self._reply(start, gateway, 0, forecast, now_s)

    def _deliver(self, start: UpstreamStart, gateway: Address) -> None:
        """Hand a permit of this coordinator to a gateway."""
        now_s = self._clock.monotonic_s()
        self._metrics.record_permit(start.upstream_id, "issued")
        if gateway == self._choice.own_address:
            self._coordinator.give_back(start, self._receive(start, 1, now_s))
            return
        self._reply(start, gateway, 1, None, now_s)

    def _reply(
        self,
        start: UpstreamStart,
        gateway: Address,
        n_issued: int,
        forecast: Forecast | None,
        now_s: float,
    ) -> None:
        limit = self._upstreams.rate_limits.report(start, now_s)
        if limit is None:
            return
        self._sequence += 1
        message = PermitReply(
            self._incarnation,
            self._sequence,
            start.upstream_id,
            start.started_ms,
            n_issued,
            round(forecast.wait_s, 3) if forecast is not None else None,
            round(forecast.hold_off_s, 3) if forecast is not None else 0.0,
            limit.rate_per_s,
            round(limit.age_s, 3),
        )
        self.send(message, gateway)

    def _on_reply(
        self, start: UpstreamStart, sender: Address, message: PermitReply, now_s: float
    ) -> None:
        self._choice.relays.record_reply(start.upstream_id)
        if self._is_repeated(message):
            return
        upstream = self._upstreams.get(start.upstream_id)
        stock = upstream.permits if upstream is not None else None
        if message.wait_s is not None and stock is not None:
            stock.record_forecast(Forecast(message.wait_s, message.hold_off_s), now_s)
        if message.n_issued > 0:
            n_unused = self._receive(start, min(message.n_issued, MAX_WANTED), now_s)
            if n_unused:
                no_question = Question(str(self._choice.own_address), 0, 0, 0.0)
                self._send_request(start, sender, no_question, now_s, n_unused)

    def _is_repeated(self, message: PermitReply) -> bool:
        """Return whether the network has delivered a reply before."""
        identity = (message.incarnation, message.sequence)
        if identity in self._received:
            return True
        self._received[identity] = None
        if len(self._received) > MAX_REMEMBERED_REPLIES:
            self._received.popitem(last=False)
        return False

    def _receive(self, start: UpstreamStart, n_issued: int, now_s: float) -> int:
        """Use permits that were issued to this gateway; return how many it does not."""
        upstream = self._upstreams.get(start.upstream_id)
        if (
            upstream is None
            or upstream.permits is None
            or upstream.listing.start != start
            or not upstream.permits.add(n_issued, now_s)
        ):
            self._metrics.record_permit(start.upstream_id, "void")
            return 0
        service = upstream.listing.service
        self._queue.assign_slots(service)
        if upstream.permits is None or self._queue.has_waiting(service):
            return 0
        n_unused = upstream.permits.take_all(now_s)
        if n_unused:
            self._metrics.record_permit(start.upstream_id, "returned")
        return n_unused


def _not_sent(message: PermitRequest | PermitReply, address: Address) -> None:
    """Drop messages before the process listens to its peers."""
