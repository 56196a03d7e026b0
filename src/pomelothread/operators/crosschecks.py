"""Consistency checks across the cells and rows of a planning sheet."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from .columns import ORGANISATION, SERVICE, TIER
from .faults import SheetFault, quoted
from .sheet import KIND_MODEL, KIND_PLAIN, REPEAT_NEVER, REPEAT_SAFE


@dataclass(frozen=True, slots=True)
class ParsedRow:
    """A row with its parsed values.

    Parameters
    ----------
    number : int
        Row as the spreadsheet numbers it.
    kind : str
        Kind of the row.
    name : str
        Text of the column `name`.
    values : dict
        Value by field, without cells that are empty or have a fault.
    """

    number: int
    kind: str
    name: str
    values: dict[str, Any]

    def build(self, struct: type[Any]) -> Any:
        """Build the row's struct; all required values must be present."""
        return struct(**self.values)


@dataclass(frozen=True, slots=True)
class _CheckContext:
    rows: Sequence[ParsedRow]
    index_by_column: dict[str, int]
    header_number: int
    faulty_cells: frozenset[tuple[int, str]]

    def fault(
        self, row: int, column: str, given: str, expected: str, remedy: str
    ) -> SheetFault:
        index = self.index_by_column.get(column, -1)
        return SheetFault(row, column, given, expected, remedy, index)

    def of_kind(self, kind: str) -> list[ParsedRow]:
        return [row for row in self.rows if row.kind == kind]


def cross_check(
    rows: Sequence[ParsedRow],
    index_by_column: dict[str, int],
    header_number: int,
    faulty_cells: frozenset[tuple[int, str]],
) -> list[SheetFault]:
    """Check the rows of a sheet against each other.

    Parameters
    ----------
    rows : sequence of ParsedRow
        All rows, including those with faulty cells.
    index_by_column : dict of str to int
        Position of each column.
    header_number : int
        Row of the header; faults of the whole sheet are reported there.
    faulty_cells : frozenset of (int, str)
        Row and column of each fault found so far. Faults that follow from one
        of them are not reported.

    Returns
    -------
    list of SheetFault
        Empty if the rows are consistent.
    """
    context = _CheckContext(rows, index_by_column, header_number, faulty_cells)
    found = [
        *_missing_kind_faults(context),
        *_duplicate_faults(context),
        *_tier_faults(context),
        *_service_faults(context),
        *_pool_faults(context),
    ]
    return [fault for fault in found if (fault.row, fault.column) not in faulty_cells]


def _missing_kind_faults(context: _CheckContext) -> Iterator[SheetFault]:
    if any(column == "kind" for _, column in context.faulty_cells):
        return
    for kind in (TIER, ORGANISATION, SERVICE):
        if not context.of_kind(kind):
            yield context.fault(
                context.header_number,
                "kind",
                f"no {kind} row below it",
                f"at least one {kind} row",
                "Check that the whole sheet was exported.",
            )


def _duplicate_faults(context: _CheckContext) -> Iterator[SheetFault]:
    # A request's token identifies its organisation, so tokens must be unique.
    unique_fields = ("name", "fingerprint", "rank", "token_sha256")
    first_row: dict[tuple[str, str, object], int] = {}
    for row in context.rows:
        for field in unique_fields:
            if field not in row.values:
                continue
            column = "name" if field == "fingerprint" else field
            value = row.values[field]
            earlier = first_row.setdefault((row.kind, column, value), row.number)
            if earlier != row.number:
                yield context.fault(
                    row.number,
                    column,
                    f"{quoted(str(value))}, which row {earlier} has too",
                    f"another {column} in each {row.kind} row",
                    "Change one of the two rows, or remove it.",
                )


def _tier_faults(context: _CheckContext) -> Iterator[SheetFault]:
    tiers = context.of_kind(TIER)
    protected = [row for row in tiers if row.values.get("protected")]
    has_faulty_cell = any(
        (row.number, "protected") in context.faulty_cells for row in tiers
    )
    if tiers and not protected and not has_faulty_cell:
        yield context.fault(
            tiers[0].number,
            "protected",
            "no tier with yes",
            "yes for at least one tier",
            "Enter yes for the tier whose requests must be shed last.",
        )
    unprotected_ranks = [
        row.values["rank"]
        for row in tiers
        if "rank" in row.values and not row.values.get("protected")
    ]
    for row in protected:
        rank = row.values.get("rank")
        if rank is not None and any(rank > other for other in unprotected_ranks):
            # Load shedding goes by rank, so it would shed this tier's requests
            # to keep those of an unprotected tier with a smaller rank.
            yield context.fault(
                row.number,
                "rank",
                f"rank {rank}, below a tier that is not protected",
                "the lowest numbers in protected tiers",
                "Give protected tiers the smallest ranks.",
            )


def _service_faults(context: _CheckContext) -> Iterator[SheetFault]:
    # This uses the text of the name, so that a tier whose name has a fault is
    # not also reported as missing.
    tier_names = {row.name.casefold() for row in context.of_kind(TIER)} - {""}
    tier_list = ", ".join(sorted(tier_names))
    for row in context.of_kind(SERVICE):
        values = row.values
        tier = values.get("tier")
        if tier is not None and tier not in tier_names:
            yield context.fault(
                row.number,
                "tier",
                quoted(tier),
                f"the name of a tier row ({tier_list or 'there is none'})",
                "Correct the name, or add a tier row.",
            )
        match values.get("kind"):
            case str(kind) if kind == KIND_MODEL:
                yield from _model_faults(context, row)
            case str(kind) if kind == KIND_PLAIN:
                yield from _plain_faults(context, row)
        repeat = values.get("repeat", REPEAT_SAFE)
        if values.get("dated_keys") and repeat != REPEAT_NEVER:
            yield context.fault(
                row.number,
                "dated_keys",
                "yes",
                "no, because only a service with repeat never has keys",
                "Enter no, or enter never in the column repeat.",
            )


def _model_faults(context: _CheckContext, row: ParsedRow) -> Iterator[SheetFault]:
    if not row.values.get("model") and "model" in context.index_by_column:
        yield context.fault(
            row.number,
            "model",
            "an empty cell",
            "the model's name as the engine lists it",
            "Fill the cell; a service of kind model needs it.",
        )
    elif "model" not in context.index_by_column:
        yield context.fault(
            row.number,
            "model",
            "no such column",
            "a column headed model",
            "Add the column; a service of kind model needs it.",
        )
    if row.values.get("repeat") == REPEAT_NEVER:
        yield context.fault(
            row.number,
            "repeat",
            "never for a service of kind model",
            "safe; only plain services can have orders that never repeat",
            "Enter safe, or enter plain in the column service_kind.",
        )
    for column in ("path", "lookup_path"):
        if row.values.get(column):
            yield context.fault(
                row.number,
                column,
                quoted(row.values[column]),
                "an empty cell; a service of kind model has no paths",
                "Empty the cell, or enter plain in the column service_kind.",
            )


def _plain_faults(context: _CheckContext, row: ParsedRow) -> Iterator[SheetFault]:
    if row.values.get("model"):
        yield context.fault(
            row.number,
            "model",
            quoted(row.values["model"]),
            "an empty cell; a plain service has no model",
            "Empty the cell, or enter model in the column service_kind.",
        )


def _pool_faults(context: _CheckContext) -> Iterator[SheetFault]:
    first: dict[str, ParsedRow] = {}
    for row in context.of_kind(SERVICE):
        pool, kind = row.values.get("pool"), row.values.get("kind")
        if pool is None or kind is None:
            continue
        earlier = first.setdefault(pool, row)
        if earlier.values["kind"] != kind:
            yield context.fault(
                row.number,
                "pool",
                f"{quoted(pool)} for a service of kind {kind}, while row "
                f"{earlier.number} uses it for kind {earlier.values['kind']}",
                "services of one kind in each pool",
                "Choose another pool, or correct the column service_kind.",
            )
