"""Faults of a planning sheet, in words for the planner who has to fix them."""

from dataclasses import dataclass

# Long cells are cut in messages, so that a pasted paragraph stays readable.
MAX_QUOTED_CHARACTERS = 60


def column_letters(index: int) -> str:
    """Name a column as spreadsheets do.

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
    """Quote the content of a cell for a message."""
    if not text:
        return "an empty cell"
    if len(text) > MAX_QUOTED_CHARACTERS:
        text = text[: MAX_QUOTED_CHARACTERS - 3] + "..."
    return '"' + text.replace("\n", " ").replace("\t", " ") + '"'


@dataclass(frozen=True, slots=True)
class SheetFault:
    """One thing that is wrong with a planning sheet.

    Parameters
    ----------
    row : int
        Row as the spreadsheet numbers it, from 1; 0 if the whole file is meant.
    column : str
        Name of the column, or "" if the whole row is meant.
    given : str
        What the sheet says, quoted.
    expected : str
        What it should say.
    to_do : str
        What the planner should do.
    column_index : int
        Position of the column from 0, or -1 if it is not in the file.

    Examples
    --------
    >>> print(SheetFault(7, "rank", '"first"', "a whole number", "Enter 0.", 2))
    row 7, column rank (cell C7): given "first", expected a whole number. Enter 0.
    """

    row: int
    column: str
    given: str
    expected: str
    to_do: str
    column_index: int = -1

    def __str__(self) -> str:
        place = f"row {self.row}" if self.row else "the file"
        if self.column:
            place += f", column {self.column}"
        if self.row and self.column_index >= 0:
            place += f" (cell {column_letters(self.column_index)}{self.row})"
        return f"{place}: given {self.given}, expected {self.expected}. {self.to_do}"
