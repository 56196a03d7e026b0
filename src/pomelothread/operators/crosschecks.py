"""Checks that need more than one cell of a planning sheet."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from .columns import ORGANISATION, SERVICE, TIER
from .faults import SheetFault, quoted
from .sheet import KIND_MODEL, KIND_PLAIN, REPEAT_NEVER, REPEAT_SAFE


@dataclass(frozen=True, slots=True)
class PlannedRow:
    """A row whose cells have been read.

    Parameters
    ----------
    number : int
        Row in the spreadsheet.
    kind : str
        Kind of the row.
    name : str
        Text of the column `name`.
    values : dict
        Value by field; a cell that is empty or has a fault is missing.
    """

    number: int
    kind: str
    name: str
    values: dict[str, Any]

    def build(self, struct: type[Any]) -> Any:
        """Make the row's struct; all required values must be there."""
        return struct(**self.values)


@dataclass(frozen=True, slots=True)
class _Checker:
    rows: Sequence[PlannedRow]
    index_by_column: dict[str, int]
    header_number: int
    faulty_cells: frozenset[tuple[int, str]]

    def fault(
        self, row: int, column: str, given: str, expected: str, to_do: str
    ) -> SheetFault:
        index = self.index_by_column.get(column, -1)
        return SheetFault(row, column, given, expected, to_do, index)

    def of_kind(self, kind: str) -> list[PlannedRow]:
        return [row for row in self.rows if row.kind == kind]


def cross_check(
    rows: Sequence[PlannedRow],
    index_by_column: dict[str, int],
    header_number: int,
    faulty_cells: frozenset[tuple[int, str]],
) -> list[SheetFault]:
    """Check the rows of a sheet against each other.

    Parameters
    ----------
    rows : sequence of PlannedRow
        All rows, those with faulty cells too.
    index_by_column : dict of str to int
        Position of each column.
    header_number : int
        Row of the header, where faults of the whole sheet are reported.
    faulty_cells : frozenset of (int, str)
        Row and column of the faults found so far. What follows from one of
        them is not reported again.

    Returns
    -------
    list of SheetFault
        Empty if the rows agree with each other.
    """
    checker = _Checker(rows, index_by_column, header_number, faulty_cells)
    found = [
        *_missing_kinds(checker),
        *_duplicates(checker),
        *_tier_faults(checker),
        *_service_faults(checker),
        *_pool_faults(checker),
    ]
    return [fault for fault in found if (fault.row, fault.column) not in faulty_cells]


def _missing_kinds(checker: _Checker) -> Iterator[SheetFault]:
    if any(column == "kind" for _, column in checker.faulty_cells):
        return
    for kind in (TIER, ORGANISATION, SERVICE):
        if not checker.of_kind(kind):
            yield checker.fault(
                checker.header_number,
                "kind",
                f"no {kind} row below it",
                f"at least one {kind} row",
                "Check that the whole sheet was exported.",
            )


def _duplicates(checker: _Checker) -> Iterator[SheetFault]:
    # A token names the organisation of a request, so two cannot share one.
    unique_fields = ("name", "fingerprint", "rank", "token_sha256")
    first_row: dict[tuple[str, str, object], int] = {}
    for row in checker.rows:
        for field in unique_fields:
            if field not in row.values:
                continue
            column = "name" if field == "fingerprint" else field
            value = row.values[field]
            earlier = first_row.setdefault((row.kind, column, value), row.number)
            if earlier != row.number:
                yield checker.fault(
                    row.number,
                    column,
                    f"{quoted(str(value))}, which row {earlier} has too",
                    f"another {column} in each {row.kind} row",
                    "Change one of the two rows, or remove it.",
                )


def _tier_faults(checker: _Checker) -> Iterator[SheetFault]:
    tiers = checker.of_kind(TIER)
    protected = [row for row in tiers if row.values.get("protected")]
    is_unclear = any((row.number, "protected") in checker.faulty_cells for row in tiers)
    if tiers and not protected and not is_unclear:
        yield checker.fault(
            tiers[0].number,
            "protected",
            "no tier with yes",
            "yes in the tier of the checks",
            "Enter yes for the tier that must never be shed before others.",
        )
    open_ranks = [
        row.values["rank"]
        for row in tiers
        if "rank" in row.values and not row.values.get("protected")
    ]
    for row in protected:
        rank = row.values.get("rank")
        if rank is not None and any(rank > other for other in open_ranks):
            # The floor sheds by rank, so it would shed this tier's requests
            # to keep those of a more urgent tier that has no protection.
            yield checker.fault(
                row.number,
                "rank",
                f"rank {rank}, below a tier that is not protected",
                "the lowest numbers in protected tiers",
                "Give protected tiers the smallest ranks.",
            )


def _service_faults(checker: _Checker) -> Iterator[SheetFault]:
    # A tier whose name has a fault of its own is not reported as missing too.
    tier_names = {row.name.casefold() for row in checker.of_kind(TIER)} - {""}
    listed = ", ".join(sorted(tier_names))
    for row in checker.of_kind(SERVICE):
        values = row.values
        tier = values.get("tier")
        if tier is not None and tier not in tier_names:
            yield checker.fault(
                row.number,
                "tier",
                quoted(tier),
                f"the name of a tier row ({listed or 'there is none'})",
                "Correct the name, or add a tier row.",
            )
        match values.get("kind"):
            case str(kind) if kind == KIND_MODEL:
                yield from _model_faults(checker, row)
            case str(kind) if kind == KIND_PLAIN:
                yield from _plain_faults(checker, row)
        repeat = values.get("repeat", REPEAT_SAFE)
        if values.get("dated_keys") and repeat != REPEAT_NEVER:
            yield checker.fault(
                row.number,
                "dated_keys",
                "yes",
                "no, because only a service with repeat never has keys",
                "Enter no, or enter never in the column repeat.",
            )


def _model_faults(checker: _Checker, row: PlannedRow) -> Iterator[SheetFault]:
    if not row.values.get("model") and "model" in checker.index_by_column:
        yield checker.fault(
            row.number,
            "model",
            "an empty cell",
            "the model's name as the engine lists it",
            "Fill the cell; a service of kind model needs it.",
        )
    elif "model" not in checker.index_by_column:
        yield checker.fault(
            row.number,
            "model",
            "no such column",
            "a column headed model",
            "Add the column; a service of kind model needs it.",
        )
    if row.values.get("repeat") == REPEAT_NEVER:
        yield checker.fault(
            row.number,
            "repeat",
            "never for a service of kind model",
            "safe; only plain services can have orders that never repeat",
            "Enter safe, or enter plain in the column service_kind.",
        )
    for column in ("path", "lookup_path"):
        if row.values.get(column):
            yield checker.fault(
                row.number,
                column,
                quoted(row.values[column]),
                "an empty cell; a service of kind model has no paths",
                "Empty the cell, or enter plain in the column service_kind.",
            )


def _plain_faults(checker: _Checker, row: PlannedRow) -> Iterator[SheetFault]:
    if row.values.get("model"):
        yield checker.fault(
            row.number,
            "model",
            quoted(row.values["model"]),
            "an empty cell; a plain service has no model",
            "Empty the cell, or enter model in the column service_kind.",
        )


def _pool_faults(checker: _Checker) -> Iterator[SheetFault]:
    first: dict[str, PlannedRow] = {}
    for row in checker.of_kind(SERVICE):
        pool, kind = row.values.get("pool"), row.values.get("kind")
        if pool is None or kind is None:
            continue
        earlier = first.setdefault(pool, row)
        if earlier.values["kind"] != kind:
            yield checker.fault(
                row.number,
                "pool",
                f"{quoted(pool)} for a service of kind {kind}, while row "
                f"{earlier.number} uses it for kind {earlier.values['kind']}",
                "services of one kind in each pool",
                "Choose another pool, or correct the column service_kind.",
            )
