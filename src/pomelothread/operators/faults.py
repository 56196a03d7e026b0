"""Faults of a planning sheet, described for the operator who corrects them."""

from dataclasses import dataclass

# Longer texts, such as a pasted paragraph, are truncated in messages.
MAX_QUOTED_CHARACTERS = 60


def column_letters(index: int) -> str:
    """Return the letters by which spreadsheets name a column.

    Parameters
    ----------
    index : int
        Position of the column, counted from 0.

    Returns
    -------
    str
        ``A`` to ``Z``, then ``AA`` and so on.

    Examples
    --------
    >>> column_letters(0), column_letters(25), column_letters(26)
    ('A', 'Z', 'AA')
    """
    letters = ""
    index += 1
    while index:
        index, remainder = divmod(index - 1, 26)
        letters = chr(ord("A") + remainder) + letters
    return letters


def quoted(text: str) -> str:
    """Quote the content of a cell for a message, truncated if it is long."""
    if not text:
        return "an empty cell"
    if len(text) > MAX_QUOTED_CHARACTERS:
        text = text[: MAX_QUOTED_CHARACTERS - 3] + "..."
    return '"' + text.replace("\n", " ").replace("\t", " ") + '"'


@dataclass(frozen=True, slots=True)
class SheetFault:
    """One fault of a planning sheet.

    Parameters
    ----------
    row : int
        Row as the spreadsheet numbers it, from 1; 0 for the whole file.
    column : str
        Name of the column; "" for the whole row.
    given : str
        What the sheet contains.
    expected : str
        What it should contain.
    remedy : str
        What the operator should do.
    column_index : int
        Position of the column from 0; -1 if it is not in the file.

    Examples
    --------
    >>> print(SheetFault(7, "rank", '"first"', "a whole number", "Enter 0.", 2))
    row 7, column rank (cell C7): given "first", expected a whole number. Enter 0.
    """

    row: int
    column: str
    given: str
    expected: str
    remedy: str
    column_index: int = -1

    def __str__(self) -> str:
        place = f"row {self.row}" if self.row else "the file"
        if self.column:
            place += f", column {self.column}"
        if self.row and self.column_index >= 0:
            place += f" (cell {column_letters(self.column_index)}{self.row})"
        return f"{place}: given {self.given}, expected {self.expected}. {self.remedy}"
