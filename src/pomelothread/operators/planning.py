"""Parser of the operators' CSV file: returns the sheet or all of its faults."""

from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from .columns import (
    ADAPTER,
    COLUMN_NAMES,
    COLUMNS_BY_KIND,
    NOTE,
    ORGANISATION,
    RELEASE,
    REQUIRED_COLUMNS,
    ROW_KINDS,
    SERVICE,
    TIER,
    Column,
    kinds_with,
)
from .crosschecks import ParsedRow, cross_check
from .decoding import SEPARATOR_NAMES, Row, Table, normalise_heading, read_table
from .faults import SheetFault, quoted
from .sheet import Adapter, Organisation, Release, Service, Sheet, Tier

_STRUCT_BY_KIND: dict[str, type[Any]] = {
    TIER: Tier,
    ORGANISATION: Organisation,
    SERVICE: Service,
    ADAPTER: Adapter,
    RELEASE: Release,
}


@dataclass(slots=True)
class _ParseState:
    """Rows and faults found so far, and the position of each column."""

    index_by_column: dict[str, int]
    faults: list[SheetFault] = field(default_factory=list)
    rows: list[ParsedRow] = field(default_factory=list)

    def add_fault(
        self, row: int, column: str, given: str, expected: str, remedy: str
    ) -> None:
        index = self.index_by_column.get(column, -1)
        self.faults.append(SheetFault(row, column, given, expected, remedy, index))


def parse_sheet(data: bytes) -> Result[Sheet, list[SheetFault]]:
    r"""Parse a planning sheet.

    Parameters
    ----------
    data : bytes
        Content of the CSV file.

    Returns
    -------
    Result of Sheet or list of SheetFault
        The sheet, with version 0 and no digest, or all faults in the order of
        the rows. A sheet with any fault is refused as a whole.

    Examples
    --------
    >>> print(parse_sheet(b"kind,name\ntier,urgent\n").failure()[0].remedy)
    Add the column; tier rows need it.
    """
    match read_table(data, COLUMN_NAMES):
        case Failure(faults):
            return Failure(faults)
        case Success(table):
            return _parse_table(table)
    raise AssertionError("a Result is a Success or a Failure")


def _parse_table(table: Table) -> Result[Sheet, list[SheetFault]]:
    header, *rows = table.rows
    state = _ParseState({})
    _read_header(header, rows, state)
    if "kind" not in state.index_by_column:
        return Failure(state.faults)
    for row in rows:
        _read_row(row, table.separator, len(header.cells), state)
    state.faults += cross_check(
        state.rows,
        state.index_by_column,
        header.number,
        frozenset((fault.row, fault.column) for fault in state.faults),
    )
    if state.faults:
        return Failure(sorted(state.faults, key=lambda f: (f.row, f.column_index)))
    rows_by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in ROW_KINDS}
    for parsed in state.rows:
        rows_by_kind[parsed.kind][parsed.name] = parsed.build(
            _STRUCT_BY_KIND[parsed.kind]
        )
    return Success(
        Sheet(
            tiers=rows_by_kind[TIER],
            organisations=rows_by_kind[ORGANISATION],
            services=rows_by_kind[SERVICE],
            adapters=rows_by_kind[ADAPTER],
            releases=rows_by_kind[RELEASE],
        )
    )


def _read_header(header: Row, rows: list[Row], state: _ParseState) -> None:
    index_by_column = state.index_by_column
    known = ", ".join(COLUMN_NAMES)
    for index, cell in enumerate(header.cells):
        column = normalise_heading(cell)
        if not column:
            continue
        if column in index_by_column:
            remedy = "Remove or rename one of the two columns."
            state.add_fault(
                header.number, column, "the heading twice", "it once", remedy
            )
        elif column in COLUMN_NAMES:
            index_by_column[column] = index
        else:
            remedy = "Correct the heading, or move remarks to a column headed note."
            state.faults.append(
                SheetFault(
                    header.number,
                    cell,
                    "an unknown heading",
                    f"one of {known}",
                    remedy,
                    index,
                )
            )
    kind_index = index_by_column.get("kind", 0)
    kinds = {row.cells[kind_index].casefold() for row in rows if row.cells[kind_index:]}
    for column in REQUIRED_COLUMNS:
        using_kinds = [kind for kind in kinds_with(column) if kind in kinds]
        if column in index_by_column or (column != "kind" and not using_kinds):
            continue
        needed_by = " and ".join(using_kinds) if column != "kind" else "all"
        state.add_fault(
            header.number,
            column,
            "no such column",
            f"a column headed {column}",
            f"Add the column; {needed_by} rows need it.",
        )


def _read_row(row: Row, separator: str, n_columns: int, state: _ParseState) -> None:
    extra = row.cells[n_columns:]
    # With commas as separators, an unquoted decimal comma shifts all cells to
    # its right, so even an empty surplus cell means that the row is misread.
    if any(extra) or (extra and separator == ","):
        state.add_fault(
            row.number,
            "",
            f"{len(row.cells)} cells",
            f"at most {n_columns}, as in the header row",
            f"Look for an extra {SEPARATOR_NAMES[separator]} in this row, such as a "
            "decimal comma that is not in quotes.",
        )
        return
    cells = row.cells + ("",) * (n_columns - len(row.cells))
    text_by_column = {c: cells[i] for c, i in state.index_by_column.items()}
    kind = text_by_column["kind"].casefold()
    if kind not in ROW_KINDS:
        listed = ", ".join(ROW_KINDS)
        state.add_fault(
            row.number,
            "kind",
            quoted(text_by_column["kind"]),
            f"one of {listed}",
            "Enter the kind of the row, or empty the whole row.",
        )
        return
    _read_cells(row.number, kind, text_by_column, state)
    _report_unexpected_cells(row, kind, text_by_column, state)


def _read_cells(
    number: int, kind: str, text_by_column: dict[str, str], state: _ParseState
) -> None:
    values: dict[str, Any] = {}
    for column in COLUMNS_BY_KIND[kind]:
        if column.name not in text_by_column:
            continue
        text = text_by_column[column.name]
        if not text:
            if column.required:
                _report_empty_cell(number, kind, column, state)
            continue
        match column.reader(text):
            case Success(value):
                values[column.field or column.name] = value
            case Failure(fault):
                state.add_fault(
                    number, column.name, quoted(text), fault.expected, fault.remedy
                )
    state.rows.append(ParsedRow(number, kind, text_by_column["name"], values))


def _report_empty_cell(
    number: int, kind: str, column: Column, state: _ParseState
) -> None:
    # The reader's fault says what the cell should hold. The readers of model names
    # and weight paths accept an empty text, so there is no fault to quote.
    expected = column.reader("").swap().value_or(None)
    state.add_fault(
        number,
        column.name,
        "an empty cell",
        expected.expected if expected is not None else "a value",
        f"Fill the cell; every {kind} row needs it.",
    )


def _report_unexpected_cells(
    row: Row, kind: str, text_by_column: dict[str, str], state: _ParseState
) -> None:
    for index, text in enumerate(row.cells):
        if text and index not in state.index_by_column.values():
            state.faults.append(
                SheetFault(
                    row.number,
                    "",
                    quoted(text),
                    "nothing in a column without heading",
                    "Give the column a known heading, or empty the cell.",
                    index,
                )
            )
    used_columns = {"kind", NOTE, *(column.name for column in COLUMNS_BY_KIND[kind])}
    for column, text in text_by_column.items():
        if text and column not in used_columns:
            using_kinds = " and ".join(kinds_with(column))
            state.add_fault(
                row.number,
                column,
                quoted(text),
                f"an empty cell, because only {using_kinds} rows use this column",
                "Empty the cell, or check that the row's cells are not shifted.",
            )
