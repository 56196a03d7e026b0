"""Orders: requests whose key is claimed in the log before they run."""

import asyncio
import hashlib
import logging
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from ..clock import Clock
from ..events import Event, log_event
from ..log.claim_results import (
    AlreadyDone,
    AlreadyRunning,
    ClaimAbandoned,
    Claimed,
    ClaimOutcomeUnknown,
    ClaimToken,
    ClaimUnavailable,
    KeyExpired,
    KeyNotDated,
    KeyReused,
    KeyUnclaimed,
    ResponseUnavailable,
)
from ..log.claims import Claimant
from ..operators.sheet import Service
from ..outcomes import NotKnown, NotRun, Reason, Run
from ..peers.dispatch import MAX_ORDER_LOOKUP_BYTES, Dispatch, order_path
from ..peers.headers import end_to_end_headers
from ..peers.http_exchange import ExchangeClient, ResponseHead
from ..peers.waiting import wait_at_most

_logger = logging.getLogger(__name__)

ASK_AGAIN_S = 1.0
# An append takes about 25 ms including its batch. The response to the caller must
# not be delayed for long by a log that has failed since the claim.
RECORD_TIMEOUT_S = 1.0
LOOKUP_TIMEOUT_S = 5.0
# Delays between lookups of an order whose answer was lost. The upstream may
# still be working on it, so "not found" is not final.
LOOKUP_DELAYS_S = (0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)

_OrderId = tuple[str, str, str]


class Orders:
    """Claims keys of orders, records their outcomes, and looks them up.

    Parameters
    ----------
    claimant : Claimant
        Claims keys in the log.
    client : ExchangeClient
        HTTP client for the upstream's lookup by key.
    upstream_url : str
        Base URL of the upstream.
    clock : Clock
        For the delays between lookups.
    append_crash_record : callable
        Appends a record to the topic of crashes in the background.
    """

    __slots__ = (
        "_claimant",
        "_client",
        "_clock",
        "_lookups",
        "_lost_answers",
        "_upstream_url",
        "append_crash_record",
    )

    def __init__(
        self,
        claimant: Claimant,
        client: ExchangeClient,
        upstream_url: str,
        clock: Clock,
        append_crash_record: Callable[[dict[str, Any]], None],
    ) -> None:
        self._claimant = claimant
        self._client = client
        self._upstream_url = upstream_url.rstrip("/")
        self._clock = clock
        self._lost_answers: set[_OrderId] = set()
        self._lookups: set[asyncio.Task[None]] = set()
        self.append_crash_record = append_crash_record

    def status_url(self, dispatch: Dispatch) -> str:
        """Return the URL at which the caller can look up the order."""
        return order_path(dispatch.service, dispatch.key)

    async def claim(
        self, dispatch: Dispatch, service: Service, body: bytes
    ) -> ClaimToken | Run | NotRun | NotKnown:
        """Claim the key of an order.

        Parameters
        ----------
        dispatch : Dispatch
            The order, with its key.
        service : Service
            Its row of the sheet.
        body : bytes
            The body that would be sent to the upstream.

        Returns
        -------
        ClaimToken, Run, NotRun or NotKnown
            A token permits one dispatch of the order. Anything else is the response
            to the caller.
        """
        if not dispatch.key:
            return NotRun(Reason.MISSING_KEY, "Send an Idempotency-Key header.")
        result = await self._claimant.claim(
            dispatch.key,
            body,
            dispatch.service,
            dispatch.organisation,
            service.key_life_s,
            service.dated_keys,
        )
        url = self.status_url(dispatch)
        match result:
            case Claimed(token=token):
                return token
            case AlreadyDone(run=run, body_omitted=body_omitted):
                return await self._replay(dispatch, service, run, body_omitted)
            case ResponseUnavailable(retry_after_s=retry_after_s):
                return _unreadable_outcome(url, retry_after_s)
            case AlreadyRunning() if self._order_id(dispatch) in self._lost_answers:
                return await self._resolve_from_upstream(dispatch, service)
            case AlreadyRunning():
                log_event(
                    _logger,
                    Event.CLAIM_CONFLICT,
                    key_digest=_key_digest(dispatch.key),
                    service=dispatch.service,
                )
                detail = "The order with this key is running; ask for its outcome."
                return NotKnown(Reason.ORDER_RUNNING, detail, url, ASK_AGAIN_S)
            case KeyReused():
                log_event(
                    _logger,
                    Event.KEY_REUSED,
                    key_digest=_key_digest(dispatch.key),
                    service=dispatch.service,
                    organisation=dispatch.organisation,
                )
                detail = "The key belongs to an order with another body."
                return NotRun(Reason.KEY_REUSED, detail)
            case KeyExpired():
                detail = (
                    f"The key is older than {service.key_life_s:.0f} s. This request"
                    " was not run; whether an earlier one ran is no longer known."
                )
                return NotRun(Reason.KEY_EXPIRED, detail)
            case KeyNotDated():
                detail = "The key must be a UUIDv7 whose time is not in the future."
                return NotRun(Reason.KEY_NOT_DATED, detail)
            case ClaimOutcomeUnknown():
                log_event(
                    _logger,
                    Event.CLAIM_UNFINISHED,
                    key_digest=_key_digest(dispatch.key),
                    service=dispatch.service,
                )
                return await self._resolve_from_upstream(dispatch, service)
            case ClaimUnavailable(retry_after_s=retry_after_s, is_history_known=False):
                detail = (
                    "The log cannot be read. This request did not run; whether an"
                    " earlier one with the same key did is not known now."
                )
                return NotKnown(Reason.LOG_UNAVAILABLE, detail, url, retry_after_s)
            case ClaimUnavailable(retry_after_s=retry_after_s):
                log_event(
                    _logger,
                    Event.CLAIM_UNAVAILABLE,
                    key_digest=_key_digest(dispatch.key),
                    service=dispatch.service,
                    detail="the claim was not confirmed in time",
                )
                detail = (
                    "The key could not be claimed on the log, so this request did not"
                    f" run. If an earlier one used the key, ask at {url}."
                )
                return NotRun(Reason.LOG_UNAVAILABLE, detail, retry_after_s)

    async def lookup(
        self, service: Service, key: str, organisation: str
    ) -> Run | NotRun | NotKnown:
        """Look up the outcome of an order.

        Parameters
        ----------
        service : Service
            The service that it was sent to.
        key : str
            The idempotency key.
        organisation : str
            The organisation that sent the order.

        Returns
        -------
        Run, NotRun or NotKnown
            `NotRun` with `UNKNOWN_KEY` if the log has no claim of the key.
        """
        dispatch = _lookup_dispatch(service, key, organisation)
        url = self.status_url(dispatch)
        match await self._claimant.lookup(service.name, key, organisation):
            case AlreadyDone(run=run, body_omitted=body_omitted):
                return await self._replay(dispatch, service, run, body_omitted)
            case ResponseUnavailable(retry_after_s=retry_after_s):
                return _unreadable_outcome(url, retry_after_s)
            case AlreadyRunning() if self._order_id(dispatch) not in self._lost_answers:
                return NotKnown(
                    Reason.ORDER_RUNNING, "The order is running.", url, ASK_AGAIN_S
                )
            case ClaimAbandoned():
                detail = "The order was not run; the same key may be sent again."
                return NotRun(Reason.NO_UPSTREAM, detail, ASK_AGAIN_S)
            case KeyUnclaimed():
                return NotRun(Reason.UNKNOWN_KEY)
            case ClaimUnavailable(retry_after_s=retry_after_s):
                detail = "The log cannot be read now."
                return NotKnown(Reason.LOG_UNAVAILABLE, detail, url, retry_after_s)
            case _:
                return await self._resolve_from_upstream(dispatch, service)

    async def finish(
        self,
        token: ClaimToken,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        """Record the response to an order; called before its caller is answered.

        If the agent died between the answer and the record, the caller would know
        that the order ran, but nobody could look it up. While the log is slow or
        down, the caller waits for `RECORD_TIMEOUT_S` at most.
        """
        recorded = await self._claimant.finish(token, status, headers, body)
        await wait_at_most(recorded, self._clock, RECORD_TIMEOUT_S)

    async def abandon(self, token: ClaimToken) -> None:
        """Record that an order was not dispatched and never will be."""
        await self._claimant.abandon(token)

    def resolve_later(
        self, dispatch: Dispatch, service: Service, token: ClaimToken
    ) -> None:
        """Look up, in the background, the result of an order whose answer was lost.

        Parameters
        ----------
        dispatch : Dispatch
            The order.
        service : Service
            Its row of the sheet; without a lookup path the result stays unknown.
        token : ClaimToken
            Its claim, under which the result is recorded.
        """
        self._lost_answers.add(self._order_id(dispatch))
        if not service.lookup_path:
            return
        task = asyncio.create_task(self._poll_outcome(dispatch, service, token))
        self._lookups.add(task)
        task.add_done_callback(self._lookups.discard)

    async def _poll_outcome(
        self, dispatch: Dispatch, service: Service, token: ClaimToken
    ) -> None:
        for delay_s in LOOKUP_DELAYS_S:
            await self._clock.sleep(delay_s)
            run = await self._fetch_outcome(dispatch, service)
            if run is None:
                continue
            await self._claimant.finish(token, run.status, run.headers, run.body)
            self._lost_answers.discard(self._order_id(dispatch))
            return

    async def _replay(
        self, dispatch: Dispatch, service: Service, run: Run, body_omitted: bool
    ) -> Run | NotKnown:
        """Return the stored response, or fetch it if it was too large to store."""
        if not body_omitted:
            return run
        found = await self._fetch_outcome(dispatch, service)
        if found is not None:
            return found
        detail = "The order ran; its response was too large to be kept."
        return NotKnown(Reason.ANSWER_LOST, detail, self.status_url(dispatch))

    async def _resolve_from_upstream(
        self, dispatch: Dispatch, service: Service
    ) -> Run | NotKnown:
        """Ask the upstream for the outcome of an order without a recorded result."""
        run = await self._fetch_outcome(dispatch, service)
        if run is not None:
            return run
        detail = "The order may have run; its answer was lost."
        url = self.status_url(dispatch)
        return NotKnown(Reason.ANSWER_LOST, detail, url, ASK_AGAIN_S)

    async def _fetch_outcome(self, dispatch: Dispatch, service: Service) -> Run | None:
        if not service.lookup_path:
            return None
        path = service.lookup_path.replace("{key}", quote(dispatch.key, safe=""))
        exchange = self._client.open_exchange(
            "GET", self._upstream_url + path, {}, total_timeout_s=LOOKUP_TIMEOUT_S
        )
        head = await exchange.head()
        if not isinstance(head, ResponseHead):
            return None
        body = await exchange.read_whole(MAX_ORDER_LOOKUP_BYTES)
        if head.status != 200 or not isinstance(body, bytes):
            return None
        headers = tuple(end_to_end_headers(head.headers.get_all()))
        return Run(head.status, headers, body, replayed=True)

    def _order_id(self, dispatch: Dispatch) -> _OrderId:
        return dispatch.organisation, dispatch.service, dispatch.key


def _key_digest(key: str) -> str:
    """Return a digest that identifies a key in log lines without revealing it."""
    return hashlib.blake2b(key.encode(), digest_size=8).hexdigest()


def _unreadable_outcome(url: str, retry_after_s: float) -> NotKnown:
    detail = "The order ran; its stored response cannot be read now."
    return NotKnown(Reason.LOG_UNAVAILABLE, detail, url, retry_after_s)


def _lookup_dispatch(service: Service, key: str, organisation: str) -> Dispatch:
    return Dispatch(
        request_id="",
        grant=0,
        agent_incarnation="",
        service=service.name,
        organisation=organisation,
        method="GET",
        path="",
        content_type="",
        key=key,
        never_repeated=True,
    )
