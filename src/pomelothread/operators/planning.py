"""Reading the planners' CSV file into a sheet, or all of its faults."""

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
from .crosschecks import PlannedRow, cross_check
from .decoding import SEPARATOR_NAMES, Row, Table, normal_header, read_table
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
class _Reading:
    """Rows and faults found so far."""

    index_by_column: dict[str, int]
    faults: list[SheetFault] = field(default_factory=list)
    rows: list[PlannedRow] = field(default_factory=list)

    def add_fault(
        self, row: int, column: str, given: str, expected: str, to_do: str
    ) -> None:
        index = self.index_by_column.get(column, -1)
        self.faults.append(SheetFault(row, column, given, expected, to_do, index))


def parse_sheet(data: bytes) -> Result[Sheet, list[SheetFault]]:
    r"""Read a planning sheet.

    Parameters
    ----------
    data : bytes
        Content of the CSV file.

    Returns
    -------
    Result of Sheet or list of SheetFault
        The whole sheet, with version 0 and no digest, or every fault in the
        order of the rows. A sheet with any fault is not returned in part.

    Examples
    --------
    >>> print(parse_sheet(b"kind,name\ntier,urgent\n").failure()[0].to_do)
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
    reading = _Reading({})
    _read_header(header, rows, reading)
    if "kind" not in reading.index_by_column:
        return Failure(reading.faults)
    for row in rows:
        _read_row(row, table.separator, len(header.cells), reading)
    reading.faults += cross_check(
        reading.rows,
        reading.index_by_column,
        header.number,
        frozenset((fault.row, fault.column) for fault in reading.faults),
    )
    if reading.faults:
        return Failure(sorted(reading.faults, key=lambda f: (f.row, f.column_index)))
    rows_by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in ROW_KINDS}
    for planned in reading.rows:
        rows_by_kind[planned.kind][planned.name] = planned.build(
            _STRUCT_BY_KIND[planned.kind]
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


def _read_header(header: Row, rows: list[Row], reading: _Reading) -> None:
    index_by_column = reading.index_by_column
    known = ", ".join(COLUMN_NAMES)
    for index, cell in enumerate(header.cells):
        column = normal_header(cell)
        if not column:
            continue
        if column in index_by_column:
            to_do = "Remove or rename one of the two columns."
            reading.add_fault(
                header.number, column, "the heading twice", "it once", to_do
            )
        elif column in COLUMN_NAMES:
            index_by_column[column] = index
        else:
            to_do = "Correct the heading, or move remarks to a column headed note."
            reading.faults.append(
                SheetFault(
                    header.number,
                    cell,
                    "an unknown heading",
                    f"one of {known}",
                    to_do,
                    index,
                )
            )
    kind_index = index_by_column.get("kind", 0)
    kinds = {row.cells[kind_index].casefold() for row in rows if row.cells[kind_index:]}
    for column in REQUIRED_COLUMNS:
        users = [kind for kind in kinds_with(column) if kind in kinds]
        if column in index_by_column or (column != "kind" and not users):
            continue
        needed_by = " and ".join(users) if column != "kind" else "all"
        reading.add_fault(
            header.number,
            column,
            "no such column",
            f"a column headed {column}",
            f"Add the column; {needed_by} rows need it.",
        )


def _read_row(row: Row, separator: str, n_columns: int, reading: _Reading) -> None:
    extra = row.cells[n_columns:]
    # With commas as separators, an unquoted decimal comma shifts all cells to
    # its right, so even an empty surplus cell is a sign of a misread row.
    if any(extra) or (extra and separator == ","):
        reading.add_fault(
            row.number,
            "",
            f"{len(row.cells)} cells",
            f"at most {n_columns}, as in the header row",
            f"Look for an extra {SEPARATOR_NAMES[separator]} in this row, such as a "
            "decimal comma that is not in quotes.",
        )
        return
    cells = row.cells + ("",) * (n_columns - len(row.cells))
    text_by_column = {c: cells[i] for c, i in reading.index_by_column.items()}
    kind = text_by_column["kind"].casefold()
    if kind not in ROW_KINDS:
        listed = ", ".join(ROW_KINDS)
        reading.add_fault(
            row.number,
            "kind",
            quoted(text_by_column["kind"]),
            f"one of {listed}",
            "Enter the kind of the row, or empty the whole row.",
        )
        return
    _read_cells(row.number, kind, text_by_column, reading)
    _report_stray_cells(row, kind, text_by_column, reading)


def _read_cells(
    number: int, kind: str, text_by_column: dict[str, str], reading: _Reading
) -> None:
    values: dict[str, Any] = {}
    for column in COLUMNS_BY_KIND[kind]:
        if column.name not in text_by_column:
            continue
        text = text_by_column[column.name]
        if not text:
            if column.required:
                _report_empty(number, kind, column, reading)
            continue
        match column.reader(text):
            case Success(value):
                values[column.field or column.name] = value
            case Failure(remedy):
                reading.add_fault(
                    number, column.name, quoted(text), remedy.expected, remedy.to_do
                )
    reading.rows.append(PlannedRow(number, kind, text_by_column["name"], values))


def _report_empty(number: int, kind: str, column: Column, reading: _Reading) -> None:
    # The reader knows what the cell should hold; an empty text never passes it.
    expected = column.reader("").swap().value_or(None)
    reading.add_fault(
        number,
        column.name,
        "an empty cell",
        expected.expected if expected is not None else "a value",
        f"Fill the cell; every {kind} row needs it.",
    )


def _report_stray_cells(
    row: Row, kind: str, text_by_column: dict[str, str], reading: _Reading
) -> None:
    for index, text in enumerate(row.cells):
        if text and index not in reading.index_by_column.values():
            reading.faults.append(
                SheetFault(
                    row.number,
                    "",
                    quoted(text),
                    "nothing in a column without heading",
                    "Give the column a known heading, or empty the cell.",
                    index,
                )
            )
    own = {"kind", NOTE, *(column.name for column in COLUMNS_BY_KIND[kind])}
    for column, text in text_by_column.items():
        if text and column not in own:
            users = " and ".join(kinds_with(column))
            reading.add_fault(
                row.number,
                column,
                quoted(text),
                f"an empty cell, because only {users} rows use this column",
                "Empty the cell, or check that the row's cells are not shifted.",
            )
