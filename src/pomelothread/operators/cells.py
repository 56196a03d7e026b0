"""Parsers for single cells: numbers, choices, flags, names, hashes and paths.

Each reader takes the trimmed text of a cell and returns its value, or a
`CellFault` that tells the operator how to correct the cell.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

MAX_NUMBER = 1e12
MAX_NAME_CHARACTERS = 64

# "1,000" and "1.000" mean a thousand or one, depending on the locale.
_AMBIGUOUS = re.compile(r"[1-9]\d{0,2}[.,]\d{3}")
_PLAIN = re.compile(r"-?\d+([.,]\d+)?")
_GROUPED = re.compile(r"-?\d{1,3}( \d{3})+([.,]\d+)?|-?\d{1,3}(,\d{3}){2,}(\.\d+)?")
_GROUPED_BY_DOTS = re.compile(r"-?\d{1,3}(\.\d{3}){2,}(,\d+)?")
_SCIENTIFIC = re.compile(r"\d([.,]\d+)?E[+-]?\d+", re.IGNORECASE)
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]*")
_PATH = re.compile(r"/[A-Za-z0-9._~/{}-]*")


@dataclass(frozen=True, slots=True)
class CellFault:
    """What a cell should hold, and what the operator should do."""

    expected: str
    remedy: str


Reader = Callable[[str], Result[Any, CellFault]]


def artefact_remedy(text: str) -> str:
    """Detect a value that the spreadsheet replaced, and say how to correct it.

    Parameters
    ----------
    text : str
        Content of the cell.

    Returns
    -------
    str
        What the operator should do, or "" if the cell has no such artefact.

    Examples
    --------
    >>> artefact_remedy("#REF!")
    'The cell holds a formula error; correct the formula or type the value.'
    """
    if text.startswith("#") and set(text) == {"#"}:
        return "The column is too narrow to show the number; widen it and export again."
    if text.startswith("#"):
        return "The cell holds a formula error; correct the formula or type the value."
    if text.startswith("="):
        return "The cell holds a formula as text; type the value."
    if _SCIENTIFIC.fullmatch(text):
        return (
            "The spreadsheet shortened a long number; "
            "format the cell as Text and enter the value again."
        )
    return ""


def _parse_number(text: str, fault: CellFault) -> Result[float, CellFault]:
    if remedy := artefact_remedy(text):
        return Failure(CellFault(fault.expected, remedy))
    if _AMBIGUOUS.fullmatch(text):
        whole = text.replace(",", "").replace(".", "")
        decimal = text.replace(",", ".").rstrip("0").rstrip(".")
        remedy = f"This can be read as {whole} or as {decimal}; enter the one you mean."
        return Failure(CellFault(fault.expected, remedy))
    if text.endswith("%"):
        return Failure(CellFault(fault.expected, "Enter 0.5 instead of 50%."))
    if _PLAIN.fullmatch(text):
        plain = text.replace(",", ".")
    elif _GROUPED_BY_DOTS.fullmatch(text):
        plain = text.replace(".", "").replace(",", ".")
    elif _GROUPED.fullmatch(text):
        plain = text.replace(" ", "")
        grouped_by_space = plain != text
        plain = plain.replace(",", "." if grouped_by_space else "")
    else:
        return Failure(fault)
    # float() accepts digits of any length; an overflow gives infinity, not an error.
    value = float(plain)
    if abs(value) > MAX_NUMBER:
        return Failure(
            CellFault(f"{fault.expected} of at most {MAX_NUMBER:.0f}", fault.remedy)
        )
    return Success(value)


def positive_number(text: str) -> Result[float, CellFault]:
    """Read a number greater than zero, with a decimal point or comma.

    Examples
    --------
    >>> positive_number("2,5")
    <Success: 2.5>
    >>> positive_number("1,000").failure().remedy
    'This can be read as 1000 or as 1; enter the one you mean.'
    """
    fault = CellFault(
        "a number greater than 0", "Enter digits only, without a unit, such as 30."
    )
    number = _parse_number(text, fault)
    match number:
        case Success(value) if value <= 0:
            return Failure(fault)
    return number


def whole_number(minimum: int) -> Reader:
    """Return a reader of whole numbers.

    Parameters
    ----------
    minimum : int
        Minimum number that is accepted.

    Returns
    -------
    Reader
        Reads an int.

    Examples
    --------
    >>> whole_number(0)("1 048 576")
    <Success: 1048576>
    """
    fault = CellFault(
        f"a whole number, {minimum} or more",
        f"Enter digits only, such as {max(minimum, 1)}.",
    )

    def read(text: str) -> Result[int, CellFault]:
        match _parse_number(text, fault):
            case Success(value) if value >= minimum and value == int(value):
                return Success(int(value))
            case Failure(found):
                return Failure(found)
        return Failure(fault)

    return read


def choice(*values: str) -> Reader:
    """Return a reader that accepts one of the given words, in any case."""
    listed = " or ".join(values)
    fault = CellFault(listed, f"Enter {listed}.")

    def read(text: str) -> Result[str, CellFault]:
        value = text.casefold()
        return Success(value) if value in values else Failure(fault)

    return read


def flag(text: str) -> Result[bool, CellFault]:
    """Read yes or no, in the spellings that spreadsheets export.

    Examples
    --------
    >>> flag("TRUE")
    <Success: True>
    """
    match text.casefold():
        case "yes" | "y" | "true" | "1":
            return Success(True)
        case "no" | "n" | "false" | "0":
            return Success(False)
    return Failure(CellFault("yes or no", "Enter yes or no."))


def name(text: str) -> Result[str, CellFault]:
    """Read a name that is valid in a URL path and as a metric label."""
    expected = "a name of lower-case letters, digits, dots, hyphens and underscores"
    if remedy := artefact_remedy(text):
        return Failure(CellFault(expected, remedy))
    if len(text) > MAX_NAME_CHARACTERS:
        expected += f" of at most {MAX_NAME_CHARACTERS} characters"
        return Failure(CellFault(expected, "Choose a shorter name."))
    if _NAME.fullmatch(text):
        return Success(text)
    # Word processors turn hyphens into dashes; spreadsheets capitalise words.
    suggestion = re.sub(r"[\s\u2010-\u2015\u2212]+", "-", text.casefold())
    if _NAME.fullmatch(suggestion):
        return Failure(CellFault(expected, f"Enter {suggestion}."))
    return Failure(CellFault(expected, "Remove the other characters."))


def model_name(text: str) -> Result[str, CellFault]:
    """Read the name by which the engine knows a model."""
    expected = "the model's name as the engine lists it, without spaces"
    if remedy := artefact_remedy(text):
        return Failure(CellFault(expected, remedy))
    if any(c.isspace() for c in text):
        return Failure(CellFault(expected, "Copy the name from the engine's list."))
    return Success(text)


def weight_path(text: str) -> Result[str, CellFault]:
    """Read the path of an adapter in the weight store."""
    if any(c.isspace() for c in text):
        expected = "the adapter's path in the weight store, without spaces"
        return Failure(CellFault(expected, "Copy the path from the weight store."))
    return Success(text)


def hexadecimal(n_digits: int, description: str) -> Reader:
    """Return a reader of digests in hexadecimal digits.

    Parameters
    ----------
    n_digits : int
        Exact number of digits.
    description : str
        What the digest identifies, for messages.

    Returns
    -------
    Reader
        Reads the digest in lower case.
    """
    fault = CellFault(
        f"{description}: {n_digits} characters, each 0 to 9 or a to f",
        "Copy it again as text.",
    )
    pattern = re.compile(f"[0-9a-f]{{{n_digits}}}")

    def read(text: str) -> Result[str, CellFault]:
        value = text.casefold()
        if pattern.fullmatch(value):
            return Success(value)
        if remedy := artefact_remedy(text):
            return Failure(CellFault(fault.expected, remedy))
        if value and set(value) <= set("0123456789abcdef"):
            length_remedy = (
                f"The cell has {len(value)} characters; copy it again as text."
            )
            return Failure(CellFault(fault.expected, length_remedy))
        return Failure(fault)

    return read


def url_path(text: str) -> Result[str, CellFault]:
    """Read the URL path of a plain service."""
    if _PATH.fullmatch(text):
        return Success(text)
    return Failure(
        CellFault(
            "a path that starts with /", "Enter a path without a host, such as /orders."
        )
    )


def lookup_path(text: str) -> Result[str, CellFault]:
    """Read the URL path at which a plain service reports on one key."""
    if _PATH.fullmatch(text) and text.count("{key}") == 1:
        return Success(text)
    return Failure(
        CellFault(
            "a path that starts with / and contains {key} once",
            "Enter a path such as /orders/{key}.",
        )
    )
