"""Incremental digest of a sheet.

The digest is a two-level hash tree: the first byte of a row's digest assigns the
row to one of `N_BUCKETS` buckets, and the sheet's digest is the hash of the
buckets' digests. Changing one row among 17,000 rehashes one bucket of about 66
rows and the 4 KiB of bucket digests instead of the whole sheet.
"""

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from typing import Any

import msgspec

from .sheet import Adapter, Organisation, Release, Service, Sheet, Tier

DIGEST_BYTES = 16
N_BUCKETS = 256

SheetRow = Tier | Organisation | Service | Adapter | Release

# Collections of a sheet, with the field that names a row within each.
NAME_FIELD_BY_COLLECTION = {
    "tiers": "name",
    "organisations": "name",
    "services": "name",
    "adapters": "name",
    "releases": "fingerprint",
}
COLLECTIONS = tuple(NAME_FIELD_BY_COLLECTION)


_FIELDS_BY_TYPE: dict[type[Any], tuple[tuple[str, Any, bool], ...]] = {
    struct: tuple(
        (f.name, f.default, f.type is float) for f in msgspec.structs.fields(struct)
    )
    for struct in (Tier, Organisation, Service, Adapter, Release)
}
_encode = msgspec.msgpack.Encoder().encode


def compact_row(row: SheetRow) -> dict[str, Any]:
    """Return the fields of a row that differ from their defaults.

    Records and digests use this form, so that a field added later with a
    default changes neither the size nor the digest of existing sheets.

    Parameters
    ----------
    row : Tier, Organisation, Service, Adapter or Release
        A row of a sheet.

    Returns
    -------
    dict of str to Any
        Values by field, in the order of the fields.

    Examples
    --------
    >>> compact_row(Tier("checks", 0))
    {'name': 'checks', 'rank': 0}
    """
    # A whole number in a float field is written as a float, because decoding
    # makes it one, and the digest must be the same before and after.
    return {
        field: float(value) if is_float else value
        for field, default, is_float in _FIELDS_BY_TYPE[type(row)]
        if (value := getattr(row, field)) != default
    }


def row_digest(collection: str, row: SheetRow) -> bytes:
    """Hash one row together with the collection that it belongs to."""
    encoded = _encode((collection, compact_row(row)))
    return blake2b(encoded, digest_size=DIGEST_BYTES).digest()


def iter_rows(sheet: Sheet) -> Iterator[tuple[str, SheetRow]]:
    """Yield each row of a sheet with the name of its collection."""
    for collection in COLLECTIONS:
        for row in getattr(sheet, collection).values():
            yield collection, row


def _split(bucket: bytes) -> list[bytes]:
    return [bucket[i : i + DIGEST_BYTES] for i in range(0, len(bucket), DIGEST_BYTES)]


class DigestTree:
    """Immutable hash tree over the rows of one sheet.

    Parameters
    ----------
    buckets : tuple of bytes
        Sorted row digests of each bucket, concatenated: 16 bytes for each row.
    bucket_digests : tuple of bytes
        Digest of each bucket.
    """

    __slots__ = ("_bucket_digests", "_buckets")

    def __init__(
        self, buckets: tuple[bytes, ...], bucket_digests: tuple[bytes, ...]
    ) -> None:
        self._buckets = buckets
        self._bucket_digests = bucket_digests

    @classmethod
    def of(cls, sheet: Sheet) -> "DigestTree":
        """Build the tree by hashing every row of a sheet."""
        rows = (row_digest(collection, row) for collection, row in iter_rows(sheet))
        return EMPTY_TREE.updated((), rows)

    def updated(self, removed: Iterable[bytes], added: Iterable[bytes]) -> "DigestTree":
        """Return the tree after rows have been removed and added.

        Parameters
        ----------
        removed : iterable of bytes
            Digests of rows that are in the tree.
        added : iterable of bytes
            Digests of rows that are not in it.

        Returns
        -------
        DigestTree
            A new tree that shares the unchanged buckets.
        """
        removed_by_bucket: dict[int, set[bytes]] = {}
        added_by_bucket: dict[int, set[bytes]] = {}
        for digest in removed:
            removed_by_bucket.setdefault(digest[0], set()).add(digest)
        for digest in added:
            added_by_bucket.setdefault(digest[0], set()).add(digest)
        buckets = list(self._buckets)
        bucket_digests = list(self._bucket_digests)
        for index in removed_by_bucket.keys() | added_by_bucket.keys():
            rows = set(_split(buckets[index])) - removed_by_bucket.get(index, set())
            rows |= added_by_bucket.get(index, set())
            buckets[index] = b"".join(sorted(rows))
            bucket_digests[index] = _digest(buckets[index])
        return DigestTree(tuple(buckets), tuple(bucket_digests))

    def hexadecimal(self) -> str:
        """Return the digest of the whole sheet."""
        return _digest(b"".join(self._bucket_digests)).hex()


def _digest(data: bytes) -> bytes:
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


EMPTY_TREE = DigestTree((b"",) * N_BUCKETS, (_digest(b""),) * N_BUCKETS)


def sheet_digest(sheet: Sheet) -> str:
    """Compute the digest of a sheet's rows, which does not include the version.

    Parameters
    ----------
    sheet : Sheet
        Any sheet.

    Returns
    -------
    str
        32 hexadecimal digits.

    Examples
    --------
    >>> sheet_digest(Sheet(version=1)) == sheet_digest(Sheet(version=2))
    True
    """
    return DigestTree.of(sheet).hexadecimal()
