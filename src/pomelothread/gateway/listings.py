"""Applies the platform's list of upstreams to the upstream table."""

import logging
from collections.abc import Callable

from ..clock import Clock
from ..events import Event, log_event
from ..policy.cells import name_hash
from ..policy.listing_history import ListingHistory
from .feeds import EXPIRED_LISTING_GRACE_S, KeyedRecord
from .upstreams import Upstream, UpstreamListing, UpstreamTable

_log = logging.getLogger(__name__)


class ListingSync:
    """Keeps the upstream table in sync with the platform's list.

    Parameters
    ----------
    table : UpstreamTable
        The table to update.
    clock : Clock
        Source of time.
    decode : callable
        Decodes a record; logs a record that describes no upstream and returns
        None.
    on_change : callable
        Called after each change with the upstreams that were removed.
    store_recovered_at_s : callable
        Returns the monotonic time at which the store answered again after an
        outage, or None if there was no outage.
    """

    def __init__(
        self,
        table: UpstreamTable,
        clock: Clock,
        decode: Callable[[KeyedRecord], UpstreamListing | None],
        on_change: Callable[[tuple[Upstream, ...]], None],
        store_recovered_at_s: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._decode = decode
        self._on_change = on_change
        self._store_recovered_at_s = store_recovered_at_s
        # When upstreams are removed whose listings expired during an outage.
        self._expired_until_s: dict[str, float] = {}
        self._hashes: dict[str, int] = {}
        self._history = ListingHistory()
        # Time at which the store returned from an older copy.
        self._restored_at_s: float | None = None
        self.has_been_read = False

    def record_epoch(self) -> None:
        """Record that the store has returned from an older copy."""
        self._restored_at_s = self._clock.monotonic_s()

    def digest(self) -> int:
        """Return a hash of the list as the platform has it."""
        digest = 0
        for listing_hash in self._hashes.values():
            digest ^= listing_hash
        return digest

    def apply_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace the whole list."""
        present = {record.key for record in records if record.value is not None}
        self._hashes = {k: h for k, h in self._hashes.items() if k in present}
        for record in records:
            if record.value is not None:
                self._put(record, may_be_outdated=self._restored_at_s is not None)
        missing = [
            upstream.listing.upstream_id
            for upstream in list(self._table.all())
            if upstream.listing.upstream_id not in present
        ]
        for upstream_id in missing:
            self._remove_or_defer(upstream_id)
        self.has_been_read = True
        self._on_change(())

    def apply(self, record: KeyedRecord) -> None:
        """Apply one changed record."""
        if record.value is None:
            self._remove_or_defer(record.key)
        else:
            self._put(record)

    def remove_expired(self) -> None:
        """Remove upstreams that were not listed again after an outage of the store."""
        now_s = self._clock.monotonic_s()
        had_outage = self._recovered_at_s() is not None
        for upstream_id, until_s in list(self._expired_until_s.items()):
            if now_s >= until_s or not had_outage:
                self._remove(upstream_id)

    def _recovered_at_s(self) -> float | None:
        """Return when the store answered again or returned from a copy, if it did."""
        times_s = (self._store_recovered_at_s(), self._restored_at_s)
        return max((at_s for at_s in times_s if at_s is not None), default=None)

    def _put(self, record: KeyedRecord, may_be_outdated: bool = False) -> None:
        listing = self._decode(record)
        if listing is None:
            return
        self._hashes[listing.upstream_id] = _listing_hash(listing)
        start, n_reports = listing.start, listing.n_reports
        if may_be_outdated and self._history.is_outdated(start, n_reports):
            return
        self._history.record(start, n_reports)
        self._expired_until_s.pop(listing.upstream_id, None)
        known = self._table.get(listing.upstream_id)
        was_leaving = known is not None and known.listing.is_leaving
        is_new = self._table.put(listing) is not None
        if is_new or was_leaving != listing.is_leaving:
            log_event(
                _log,
                Event.UPSTREAM_LISTED,
                upstream=listing.upstream_id,
                service=listing.service,
                address=listing.address,
                state="leaving" if listing.is_leaving else "ready",
                software_version=listing.software_version,
                listed_start_ms=listing.started_ms,
            )
            self._on_change(())

    def _remove_or_defer(self, upstream_id: str) -> None:
        self._hashes.pop(upstream_id, None)
        if self._table.get(upstream_id) is None:
            return
        recovered_at_s = self._recovered_at_s()
        if recovered_at_s is not None:
            kept_until_s = recovered_at_s + EXPIRED_LISTING_GRACE_S
            if self._clock.monotonic_s() < kept_until_s:
                self._expired_until_s[upstream_id] = kept_until_s
                return
        self._remove(upstream_id)

    def _remove(self, upstream_id: str) -> None:
        self._expired_until_s.pop(upstream_id, None)
        self._history.record_end(upstream_id)
        upstream = self._table.remove(upstream_id)
        if upstream is not None:
            log_event(_log, Event.UPSTREAM_UNLISTED, upstream=upstream_id)
            self._on_change((upstream,))


def _listing_hash(listing: UpstreamListing) -> int:
    return name_hash(
        f"{listing.upstream_id} {listing.started_ms} {listing.service} "
        f"{listing.address} {listing.failure_domain} {listing.n_slots} "
        f"{listing.is_leaving} {listing.software_version}"
    )
