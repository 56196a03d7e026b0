"""Queues offers, grants them places at the upstream, and tracks running requests."""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..peers.messages import (
    OPEN,
    PEER_TIMEOUT_S,
    Decline,
    FloorRaised,
    Grant,
    Offer,
    RaiseFloor,
    Refuse,
    Revoke,
    Revoked,
    Withdraw,
)
from ..policy.fairness import FairQueue
from ..policy.floors import FLOOR_LIFE_S, ActiveFloors
from ..policy.places import ConcurrencyLimit
from .places import Place, Reply

GRANT_LIFETIME_S = 2.0
# How long used grants are remembered to answer a late `Revoke`; after this, the
# answer is "may have been used".
USED_GRANT_RETENTION_S = 600.0


@dataclass(slots=True)
class _OpenGrant:
    offer: Offer
    expires_at_s: float


class Grants:
    """Decides which waiting request gets the next place of one upstream.

    A grant is valid for one dispatch. It is removed before the first byte is sent to
    the upstream, so neither a repeated nor a late POST can dispatch a second time.

    Parameters
    ----------
    incarnation : str
        The agent's incarnation.
    limit : ConcurrencyLimit
        Limits the number of places of the upstream.
    clock : Clock
        Source of monotonic time.
    can_finish : callable, optional
        Returns whether an offer that starts now would finish within the given
        number of seconds. Unprotected offers that would not are given no place.
    """

    __slots__ = (
        "_can_finish",
        "_clock",
        "_deadlines_s",
        "_entries_heard_at_s",
        "_grant_by_request",
        "_incarnation",
        "_next_grant",
        "_oldest_known_grant",
        "_open_grants",
        "_running",
        "_used_at_s",
        "floors",
        "limit",
        "n_expired",
        "queue",
        "state",
    )

    def __init__(
        self,
        incarnation: str,
        limit: ConcurrencyLimit,
        clock: Clock,
        can_finish: Callable[[Offer, float], bool] = lambda offer, left_s: True,
    ) -> None:
        self._incarnation = incarnation
        self._can_finish = can_finish
        self._deadlines_s: dict[str, float] = {}
        self._clock = clock
        self._next_grant = 1
        self._open_grants: dict[int, _OpenGrant] = {}
        self._grant_by_request: dict[str, int] = {}
        self._running: dict[int, Place] = {}
        self._used_at_s: dict[int, float] = {}
        self._oldest_known_grant = 1
        self._entries_heard_at_s: dict[str, float] = {}
        self.limit = limit
        self.floors = ActiveFloors()
        self.queue: FairQueue[Offer] = FairQueue()
        self.state = OPEN
        self.n_expired = 0

    @property
    def n_running(self) -> int:
        """Number of requests running at the upstream."""
        return len(self._running)

    @property
    def n_taken(self) -> int:
        """Number of places in use or granted."""
        return len(self._running) + len(self._open_grants)

    def running(self) -> list[Place]:
        """Return the places in use, oldest first."""
        return list(self._running.values())

    def record_entry_alive(self, entry: str) -> None:
        """Record that an entry is alive."""
        self._entries_heard_at_s[entry] = self._clock.monotonic_s()

    def offer(self, offer: Offer) -> list[Reply]:
        """Queue an offer, or repeat the reply if it was already granted.

        Parameters
        ----------
        offer : Offer
            The offer as received; entries repeat their open offers.

        Returns
        -------
        list of Reply
            A grant for this or other offers, or a refusal.
        """
        now_s = self._clock.monotonic_s()
        self.record_entry_alive(offer.incarnation)
        if self.state != OPEN:
            return [self._refuse(offer, "leaving")]
        grant = self._grant_by_request.get(offer.request_id)
        if grant is not None:
            return [self._grant_reply(grant, now_s)]
        if self.floors.is_below(offer.pool, offer.tier_rank, now_s):
            return [self._refuse(offer, "floor")]
        self._deadlines_s[offer.request_id] = now_s + offer.deadline_ms / 1000
        self.queue.push(
            offer.request_id,
            offer,
            tier_rank=offer.tier_rank,
            organisation=offer.organisation,
            share=offer.share,
            cost=_cost(offer),
        )
        return self.grant_free_places()

    def withdraw(self, message: Withdraw) -> list[Reply]:
        """Remove an offer, and cancel a grant already made for it."""
        self._remove(message.request_id)
        grant = self._grant_by_request.get(message.request_id)
        if grant is None:
            return []
        self._cancel_grant(grant)
        return self.grant_free_places()

    def decline(self, message: Decline) -> list[Reply]:
        """Cancel a grant that its entry does not use."""
        granted = self._open_grants.get(message.grant)
        if granted is None or granted.offer.request_id != message.request_id:
            return []
        self._cancel_grant(message.grant)
        return self.grant_free_places()

    def revoke(self, message: Revoke) -> list[Reply]:
        """Cancel a grant if it is still open, and reply whether it was never used.

        A restarted agent cannot know what its predecessor dispatched, so a grant of
        another incarnation is never reported as unused.
        """
        never_used = (
            message.agent_incarnation == self._incarnation
            and self._oldest_known_grant <= message.grant < self._next_grant
            and message.grant not in self._used_at_s
        )
        if never_used and message.grant in self._open_grants:
            self._cancel_grant(message.grant)
        revoked = Revoked(
            self._incarnation, message.request_id, message.grant, never_used
        )
        return [Reply(message.incarnation, revoked), *self.grant_free_places()]

    def raise_floor(self, message: RaiseFloor) -> list[Reply]:
        """Refuse all offers below a floor, then confirm that it was raised."""
        now_s = self._clock.monotonic_s()
        self.floors.raise_floor(message.pool, message.tier_rank, now_s, FLOOR_LIFE_S)
        replies = []
        for key, offer in self.queue.items_above(message.tier_rank):
            self._remove(key)
            replies.append(self._refuse(offer, "floor"))
        raised = FloorRaised(
            self._incarnation, message.pool, message.tier_rank, message.floor_number
        )
        replies.append(Reply(message.incarnation, raised))
        return replies

    def use_grant(self, grant: int, incarnation: str, request_id: str) -> Place | None:
        """Use up a grant; this alone permits a dispatch.

        Parameters
        ----------
        grant : int
            Number of the grant.
        incarnation : str
            Incarnation of the agent that made it.
        request_id : str
            The request that the grant was made for.

        Returns
        -------
        Place or None
            None if the grant is unknown, used or expired. The caller then must
            not dispatch the request on this grant.
        """
        if incarnation != self._incarnation:
            return None
        granted = self._open_grants.get(grant)
        if granted is None or granted.offer.request_id != request_id:
            return None
        now_s = self._clock.monotonic_s()
        if granted.expires_at_s <= now_s:
            self._cancel_grant(grant)
            self.n_expired += 1
            return None
        self._pop_open_grant(grant)
        self._used_at_s[grant] = now_s
        place = Place(grant, granted.offer)
        self._running[grant] = place
        return place

    def release(self, place: Place) -> list[Reply]:
        """Free the place of a request that has ended."""
        self._running.pop(place.grant, None)
        return self.grant_free_places()

    def close(self, state: str) -> list[Reply]:
        """Stop granting and refuse all offers; running requests continue."""
        self.state = state
        replies = []
        for key, offer in self.queue.items_above(-1):
            self._remove(key)
            replies.append(self._refuse(offer, "leaving"))
        return replies

    def reopen(self) -> list[Reply]:
        """Resume granting after a temporary closure."""
        self.state = OPEN
        return self.grant_free_places()

    def expire(self) -> list[Reply]:
        """Cancel grants that were not used in time; drop offers of silent entries."""
        now_s = self._clock.monotonic_s()
        for grant, granted in list(self._open_grants.items()):
            if granted.expires_at_s <= now_s:
                self._cancel_grant(grant)
                self.n_expired += 1
        silent = {
            entry
            for entry, heard_at_s in self._entries_heard_at_s.items()
            if now_s - heard_at_s > PEER_TIMEOUT_S
        }
        for entry in silent:
            del self._entries_heard_at_s[entry]
        if silent:
            for key, offer in self.queue.items_above(-1):
                if offer.incarnation in silent:
                    self._remove(key)
        self._forget_old_used_grants(now_s)
        return self.grant_free_places()

    def grant_free_places(self) -> list[Reply]:
        """Grant places to waiting offers while there are free places."""
        replies: list[Reply] = []
        if self.state != OPEN:
            return replies
        now_s = self._clock.monotonic_s()
        while len(self.queue) and self._has_place():
            popped = self.queue.pop(self._head_of_line_filter(now_s))
            if popped is None:
                break
            key, offer = popped
            del self._deadlines_s[key]
            grant = self._next_grant
            self._next_grant += 1
            self._open_grants[grant] = _OpenGrant(offer, now_s + GRANT_LIFETIME_S)
            self._grant_by_request[offer.request_id] = grant
            replies.append(self._grant_reply(grant, now_s))
        return replies

    def n_free_places(self) -> int:
        """Estimate how many more requests of any tier would get a place now."""
        return max(0, self.limit.n_places - self.n_taken)

    def _remove(self, key: str) -> None:
        self.queue.remove(key)
        self._deadlines_s.pop(key, None)

    def _has_place(self) -> bool:
        taken = self._occupying_offers()
        n_unprotected = sum(not other.protected for other in taken)
        return self.limit.has_place(len(taken), n_unprotected, protected=True)

    def _head_of_line_filter(self, now_s: float) -> Callable[[Offer], bool]:
        """Return a filter that only the first offer that can finish in time may pass.

        Without it, a small request of a lower tier would overtake a protected one
        that waits for context tokens, and a long request could wait forever.
        """
        is_first = True

        def fits(offer: Offer) -> bool:
            nonlocal is_first
            if not is_first:
                return False
            left_s = self._deadlines_s[offer.request_id] - now_s
            if not offer.protected and not self._can_finish(offer, left_s):
                return False
            is_first = False
            return self._fits(offer)

        return fits

    def _fits(self, offer: Offer) -> bool:
        taken = self._occupying_offers()
        if taken and (offer.solo or any(other.solo for other in taken)):
            return False
        return self.limit.allows(
            n_running=len(taken),
            n_running_unprotected=sum(not other.protected for other in taken),
            context_tokens=sum(o.n_input_tokens + o.n_output_tokens for o in taken),
            offer_tokens=offer.n_input_tokens + offer.n_output_tokens,
            protected=offer.protected,
        )

    def _occupying_offers(self) -> list[Offer]:
        taken = [granted.offer for granted in self._open_grants.values()]
        return taken + [place.offer for place in self._running.values()]

    def _grant_reply(self, grant: int, now_s: float) -> Reply:
        granted = self._open_grants[grant]
        life_ms = max(0, round((granted.expires_at_s - now_s) * 1000))
        offer = granted.offer
        message = Grant(self._incarnation, offer.request_id, grant, life_ms)
        return Reply(offer.incarnation, message)

    def _refuse(self, offer: Offer, reason: str) -> Reply:
        message = Refuse(self._incarnation, offer.request_id, reason)
        return Reply(offer.incarnation, message)

    def _pop_open_grant(self, grant: int) -> _OpenGrant:
        granted = self._open_grants.pop(grant)
        self._grant_by_request.pop(granted.offer.request_id, None)
        return granted

    def _cancel_grant(self, grant: int) -> None:
        """Cancel an unused grant and refund its cost to the organisation."""
        offer = self._pop_open_grant(grant).offer
        self.queue.refund(
            tier_rank=offer.tier_rank,
            organisation=offer.organisation,
            share=offer.share,
            cost=_cost(offer),
        )

    def _forget_old_used_grants(self, now_s: float) -> None:
        # Entries are in order of use, and grant numbers roughly in the same order, so
        # removing the oldest entries moves the watermark past old grants only.
        while self._used_at_s:
            grant, used_at_s = next(iter(self._used_at_s.items()))
            if now_s - used_at_s < USED_GRANT_RETENTION_S:
                return
            del self._used_at_s[grant]
            self._oldest_known_grant = max(self._oldest_known_grant, grant + 1)


def _cost(offer: Offer) -> float:
    """Return what an organisation is charged: tokens, or 1 for a plain request."""
    return float(max(1, offer.n_input_tokens + offer.n_output_tokens))
