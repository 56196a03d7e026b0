"""Deltas between two sheets: computing and applying them."""

from dataclasses import dataclass
from typing import Any

import msgspec

from .digests import (
    COLLECTIONS,
    NAME_FIELD_BY_COLLECTION,
    DigestTree,
    SheetRow,
    row_digest,
)
from .sheet import Adapter, Organisation, Release, Service, Sheet, Tier


class RowsPut(msgspec.Struct, frozen=True):
    """Rows that are new or replace the row of the same name."""

    tiers: tuple[Tier, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    services: tuple[Service, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    releases: tuple[Release, ...] = ()


class RowsRemoved(msgspec.Struct, frozen=True, omit_defaults=True):
    """Names of rows that are no longer in the sheet."""

    tiers: tuple[str, ...] = ()
    organisations: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    releases: tuple[str, ...] = ()


class SheetDelta(msgspec.Struct, frozen=True):
    """The rows to put and the rows to remove."""

    put: RowsPut = RowsPut()
    removed: RowsRemoved = RowsRemoved()

    def n_put(self) -> int:
        """Count the rows that are new or changed."""
        return sum(len(getattr(self.put, c)) for c in COLLECTIONS)

    def n_removed(self) -> int:
        """Count the rows that are removed."""
        return sum(len(getattr(self.removed, c)) for c in COLLECTIONS)


@dataclass(frozen=True, slots=True)
class DigestedSheet:
    """A sheet with the digest tree of its rows."""

    sheet: Sheet
    tree: DigestTree


def make_delta(base: Sheet, new: Sheet) -> SheetDelta:
    """Compute the delta between two sheets.

    Parameters
    ----------
    base : Sheet
        The sheet to start from.
    new : Sheet
        The sheet that results from applying the delta.

    Returns
    -------
    SheetDelta
        Sorted by name within each collection.

    Examples
    --------
    >>> base = Sheet(tiers={"a": Tier("a", 0), "b": Tier("b", 1)})
    >>> delta = make_delta(base, Sheet(tiers={"a": Tier("a", 2)}))
    >>> delta.put.tiers, delta.removed.tiers
    ((Tier(name='a', rank=2, protected=False),), ('b',))
    """
    put: dict[str, tuple[SheetRow, ...]] = {}
    removed: dict[str, tuple[str, ...]] = {}
    for collection in COLLECTIONS:
        before: dict[str, Any] = getattr(base, collection)
        after: dict[str, Any] = getattr(new, collection)
        changed = sorted(n for n, row in after.items() if before.get(n) != row)
        put[collection] = tuple(after[n] for n in changed)
        removed[collection] = tuple(sorted(before.keys() - after.keys()))
    return SheetDelta(
        msgspec.convert(put, RowsPut), msgspec.convert(removed, RowsRemoved)
    )


def apply_delta(base: DigestedSheet, delta: SheetDelta, version: int) -> DigestedSheet:
    """Apply a delta to a sheet.

    Parameters
    ----------
    base : DigestedSheet
        The sheet to start from; not modified.
    delta : SheetDelta
        Rows to put and to remove; removing an absent row has no effect.
    version : int
        Version of the result.

    Returns
    -------
    DigestedSheet
        The new sheet, with its digest. It shares unchanged collections with
        `base` and has copies of the others, so `base` stays valid.
    """
    removed_digests: list[bytes] = []
    added_digests: list[bytes] = []
    collections: dict[str, dict[str, SheetRow]] = {}
    for collection in COLLECTIONS:
        rows: dict[str, SheetRow] = getattr(base.sheet, collection)
        put: tuple[SheetRow, ...] = getattr(delta.put, collection)
        removed: tuple[str, ...] = getattr(delta.removed, collection)
        collections[collection] = rows
        if not put and not removed:
            continue
        changed = dict(rows)
        name_field = NAME_FIELD_BY_COLLECTION[collection]
        # A name that is put twice is added and hashed once, with its last row.
        new_rows = {getattr(row, name_field): row for row in put}
        for name in {*removed, *new_rows}:
            if (old := rows.get(name)) is not None:
                removed_digests.append(row_digest(collection, old))
        for name in removed:
            changed.pop(name, None)
        # Rows are replaced in place, not deleted and inserted: with 17,000 rows,
        # copying the dict for the next delta took 1.1 ms if it had deleted
        # entries, and 0.16 ms if not.
        for name, row in new_rows.items():
            changed[name] = row
            added_digests.append(row_digest(collection, row))
        collections[collection] = changed
    tree = base.tree.updated(removed_digests, added_digests)
    sheet = msgspec.structs.replace(
        base.sheet, version=version, digest=tree.hexadecimal(), **collections
    )
    return DigestedSheet(sheet, tree)


def has_same_rows(sheet: Sheet, rows: RowsPut) -> bool:
    """Return whether a sheet has exactly the given rows, without hashing them."""
    return all(
        {getattr(row, name_field): row for row in getattr(rows, collection)}
        == getattr(sheet, collection)
        for collection, name_field in NAME_FIELD_BY_COLLECTION.items()
    )


def with_digest(sheet: Sheet) -> DigestedSheet:
    """Return a sheet with its digest computed from all rows."""
    tree = DigestTree.of(sheet)
    return DigestedSheet(
        msgspec.structs.replace(sheet, digest=tree.hexadecimal()), tree
    )
