"""Decoding of an exported file into rows of trimmed cells.

Spreadsheets export the same rows in many ways: the separator depends on the
locale, "Unicode text" is UTF-16 with tabs, and Excel accepts a first line
``sep=;``. Every unambiguous variant is accepted; others are reported as faults.
"""

import codecs
import csv
import io
import re
from collections.abc import Collection
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .faults import SheetFault

SEPARATOR_NAMES = {",": "comma", ";": "semicolon", "\t": "tab", "|": "vertical bar"}
SEPARATORS = tuple(SEPARATOR_NAMES)
EXPORT_REMEDY = 'Export the sheet again as "CSV UTF-8".'
# Text pasted from web pages and number formats contain non-breaking spaces and
# zero-width characters; str.strip removes the former but not the latter.
INVISIBLE_CHARACTERS: dict[int, str | None] = {
    ord(c): None for c in "\ufeff\u200b\u200c\u200d\u2060\u00ad"
}
INVISIBLE_CHARACTERS |= {ord(c): " " for c in "\u00a0\u202f\u2007"}

_SEPARATOR_LINE = re.compile(
    r"""\ufeff?"?sep=(?P<separator>[^\r\n])"?[ ,;\t]*(\r\n|\r|\n)""", re.IGNORECASE
)


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the file.

    Parameters
    ----------
    number : int
        Row as the spreadsheet numbers it, from 1.
    cells : tuple of str
        Cells, trimmed by `trim_cell`.
    """

    number: int
    cells: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Table:
    """The separator of a file and its rows that are not blank."""

    separator: str
    rows: tuple[Row, ...]


def _file_fault(given: str, expected: str, remedy: str = EXPORT_REMEDY) -> SheetFault:
    return SheetFault(0, "", given, expected, remedy)


def decode_text(data: bytes) -> Result[str, SheetFault]:
    """Decode a file by its byte order mark, or as UTF-8.

    Parameters
    ----------
    data : bytes
        Content of the file.

    Returns
    -------
    Result of str or SheetFault
        A file in another encoding is refused, because a wrong guess would
        silently change names.
    """
    if data.startswith(b"PK\x03\x04") or data.startswith(b"\xd0\xcf\x11\xe0"):
        return Failure(_file_fault("a workbook (such as .xlsx or .ods)", "a CSV file"))
    encoding = "utf-8-sig"
    if data.startswith((codecs.BOM_UTF16_LE, codecs.BOM_UTF16_BE)):
        encoding = "utf-16"
    elif data[1:2] == b"\0":
        encoding = "utf-16-le"
    elif data[:1] == b"\0":
        encoding = "utf-16-be"
    try:
        text = data.decode(encoding)
    except UnicodeDecodeError as error:
        row = data[: error.start].count(b"\n") + 1
        given = f"bytes near line {row} that are not {encoding.removesuffix('-sig')}"
        return Failure(_file_fault(given, "text in UTF-8 or UTF-16"))
    if "\0" in text:
        return Failure(_file_fault("zero bytes", "a text file"))
    return Success(text)


def choose_separator(header: str, known_columns: Collection[str]) -> str:
    r"""Choose the separator that splits the header into the most known columns.

    Parameters
    ----------
    header : str
        First line that is not blank.
    known_columns : collection of str
        Names of columns in lower case.

    Returns
    -------
    str
        A comma, a semicolon, a tab or a vertical bar.

    Examples
    --------
    >>> choose_separator("kind;name;rank", {"kind", "name", "rank"})
    ';'
    """

    def count_known(separator: str) -> int:
        cells = (normalise_heading(cell) for cell in header.split(separator))
        return sum(cell in known_columns for cell in cells)

    return max(SEPARATORS, key=count_known)


def trim_cell(cell: str) -> str:
    """Remove invisible characters and surrounding spaces."""
    return cell.translate(INVISIBLE_CHARACTERS).strip()


def normalise_heading(cell: str) -> str:
    """Return the name of a column from its heading as it was typed.

    Examples
    --------
    >>> normalise_heading(" Deadline S ")
    'deadline_s'
    """
    words = trim_cell(cell).strip('"').casefold().replace("-", " ").replace("_", " ")
    return "_".join(words.split())


def read_table(
    data: bytes, known_columns: Collection[str]
) -> Result[Table, list[SheetFault]]:
    """Read the rows of an exported file.

    Parameters
    ----------
    data : bytes
        Content of the file.
    known_columns : collection of str
        Names of columns, used to find the separator.

    Returns
    -------
    Result of Table or list of SheetFault
        Rows that are not blank, with their numbers in the spreadsheet.
    """
    match decode_text(data):
        case Failure(fault):
            return Failure([fault])
        case Success(text):
            pass
    separator = ""
    declared = _SEPARATOR_LINE.match(text)
    if declared is not None:
        # Excel interprets this line and hides it, so it has no row number.
        text = text[declared.end() :]
        separator = declared["separator"]
    filled = (line for line in text.splitlines() if line.strip(" ,;|\t\r"))
    header = next(filled, "")
    if not header:
        return Failure(
            [_file_fault("no rows", "a header row and rows below it", EXPORT_REMEDY)]
        )
    if separator not in SEPARATORS:
        separator = choose_separator(header, known_columns)
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=separator, strict=True)
    rows: list[Row] = []
    number = 0
    try:
        for number, cells in enumerate(reader, 1):
            trimmed_cells = tuple(trim_cell(cell) for cell in cells)
            if any(trimmed_cells):
                rows.append(Row(number, trimmed_cells))
    except csv.Error as error:
        fault = SheetFault(
            number + 1,
            "",
            f"text that cannot be split into cells ({error})",
            "every double quote inside a cell doubled and every quoted cell closed",
            "Look for a stray double quote in this row and export again.",
        )
        return Failure([fault])
    return Success(Table(separator, tuple(rows)))
