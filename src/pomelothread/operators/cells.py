"""Reading single cells: numbers, choices, flags, names, hashes and paths.

Each reader takes the trimmed text of a cell and returns its value, or what
was expected and what to do.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

MAX_NUMBER = 1e12
MAX_NAME_CHARACTERS = 64

# "1,000" and "1.000" mean a thousand or one, depending on regional settings.
_AMBIGUOUS = re.compile(r"[1-9]\d{0,2}[.,]\d{3}")
_PLAIN = re.compile(r"-?\d+([.,]\d+)?")
_GROUPED = re.compile(r"-?\d{1,3}( \d{3})+([.,]\d+)?|-?\d{1,3}(,\d{3}){2,}(\.\d+)?")
_GROUPED_BY_DOTS = re.compile(r"-?\d{1,3}(\.\d{3}){2,}(,\d+)?")
_SCIENTIFIC = re.compile(r"\d([.,]\d+)?E[+-]?\d+", re.IGNORECASE)
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]*")
_PATH = re.compile(r"/[A-Za-z0-9._~/{}-]*")


@dataclass(frozen=True, slots=True)
class Remedy:
    """What a cell should hold, and what the planner should do."""

    expected: str
    to_do: str


Reader = Callable[[str], Result[Any, Remedy]]


def spoiled_by_spreadsheet(text: str) -> str:
    """Recognise content that the spreadsheet put in place of what was typed.

    Parameters
    ----------
    text : str
        Content of the cell.

    Returns
    -------
    str
        What to do, or "" if nothing was recognised.

    Examples
    --------
    >>> spoiled_by_spreadsheet("#REF!")
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


def _parse_number(text: str, remedy: Remedy) -> Result[float, Remedy]:
    if to_do := spoiled_by_spreadsheet(text):
        return Failure(Remedy(remedy.expected, to_do))
    if _AMBIGUOUS.fullmatch(text):
        whole = text.replace(",", "").replace(".", "")
        decimal = text.replace(",", ".").rstrip("0").rstrip(".")
        to_do = f"This can be read as {whole} or as {decimal}; enter the one you mean."
        return Failure(Remedy(remedy.expected, to_do))
    if text.endswith("%"):
        return Failure(Remedy(remedy.expected, "Enter 0.5 instead of 50%."))
    if _PLAIN.fullmatch(text):
        plain = text.replace(",", ".")
    elif _GROUPED_BY_DOTS.fullmatch(text):
        plain = text.replace(".", "").replace(",", ".")
    elif _GROUPED.fullmatch(text):
        plain = text.replace(" ", "")
        grouped_by_space = plain != text
        plain = plain.replace(",", "." if grouped_by_space else "")
    else:
        return Failure(remedy)
    # A run of digits of any length is a finite or infinite float, never an error.
    value = float(plain)
    if abs(value) > MAX_NUMBER:
        return Failure(
            Remedy(f"{remedy.expected} of at most {MAX_NUMBER:.0f}", remedy.to_do)
        )
    return Success(value)


def positive_number(text: str) -> Result[float, Remedy]:
    """Read a number greater than zero, with a decimal point or comma.

    Examples
    --------
    >>> positive_number("2,5")
    <Success: 2.5>
    >>> positive_number("1,000").failure().to_do
    'This can be read as 1000 or as 1; enter the one you mean.'
    """
    remedy = Remedy(
        "a number greater than 0", "Enter digits only, without a unit, such as 30."
    )
    number = _parse_number(text, remedy)
    match number:
        case Success(value) if value <= 0:
            return Failure(remedy)
    return number


def whole_number(minimum: int) -> Reader:
    """Make a reader of whole numbers.

    Parameters
    ----------
    minimum : int
        Smallest number that is accepted.

    Returns
    -------
    Reader
        Reads an int.

    Examples
    --------
    >>> whole_number(0)("1 048 576")
    <Success: 1048576>
    """
    remedy = Remedy(
        f"a whole number, {minimum} or more",
        f"Enter digits only, such as {max(minimum, 1)}.",
    )

    def read(text: str) -> Result[int, Remedy]:
        match _parse_number(text, remedy):
            case Success(value) if value >= minimum and value == int(value):
                return Success(int(value))
            case Failure(found):
                return Failure(found)
        return Failure(remedy)

    return read


def choice(*values: str) -> Reader:
    """Make a reader of one of a few words, in any case."""
    listed = " or ".join(values)
    remedy = Remedy(listed, f"Enter {listed}.")

    def read(text: str) -> Result[str, Remedy]:
        value = text.casefold()
        return Success(value) if value in values else Failure(remedy)

    return read


def flag(text: str) -> Result[bool, Remedy]:
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
    return Failure(Remedy("yes or no", "Enter yes or no."))


def name(text: str) -> Result[str, Remedy]:
    """Read a name that can stand in a URL path and in a metric's label."""
    expected = "a name of lower-case letters, digits, dots, hyphens and underscores"
    if to_do := spoiled_by_spreadsheet(text):
        return Failure(Remedy(expected, to_do))
    if len(text) > MAX_NAME_CHARACTERS:
        expected += f" of at most {MAX_NAME_CHARACTERS} characters"
        return Failure(Remedy(expected, "Choose a shorter name."))
    if _NAME.fullmatch(text):
        return Success(text)
    # Word processors turn hyphens into dashes, and spreadsheets capitalise.
    suggestion = re.sub(r"[\s\u2010-\u2015\u2212]+", "-", text.casefold())
    if _NAME.fullmatch(suggestion):
        return Failure(Remedy(expected, f"Enter {suggestion}."))
    return Failure(Remedy(expected, "Remove the other characters."))


def model_name(text: str) -> Result[str, Remedy]:
    """Read the name by which the engine knows a model."""
    expected = "the model's name as the engine lists it, without spaces"
    if to_do := spoiled_by_spreadsheet(text):
        return Failure(Remedy(expected, to_do))
    if any(c.isspace() for c in text):
        return Failure(Remedy(expected, "Copy the name from the engine's list."))
    return Success(text)


def weight_path(text: str) -> Result[str, Remedy]:
    """Read the place of an adapter in the weight store."""
    if any(c.isspace() for c in text):
        expected = "the adapter's path in the weight store, without spaces"
        return Failure(Remedy(expected, "Copy the path from the weight store."))
    return Success(text)


def hexadecimal(n_digits: int, what: str) -> Reader:
    """Make a reader of a digest in hexadecimal digits.

    Parameters
    ----------
    n_digits : int
        Exact number of digits.
    what : str
        What the digest is, for messages.

    Returns
    -------
    Reader
        Reads the digest in lower case.
    """
    remedy = Remedy(
        f"{what}: {n_digits} characters, each 0 to 9 or a to f",
        "Copy it again as text.",
    )
    pattern = re.compile(f"[0-9a-f]{{{n_digits}}}")

    def read(text: str) -> Result[str, Remedy]:
        value = text.casefold()
        if pattern.fullmatch(value):
            return Success(value)
        if to_do := spoiled_by_spreadsheet(text):
            return Failure(Remedy(remedy.expected, to_do))
        if value and set(value) <= set("0123456789abcdef"):
            counted = f"The cell has {len(value)} characters; copy it again as text."
            return Failure(Remedy(remedy.expected, counted))
        return Failure(remedy)

    return read


def url_path(text: str) -> Result[str, Remedy]:
    """Read a path on a plain service."""
    if _PATH.fullmatch(text):
        return Success(text)
    return Failure(
        Remedy("a path that starts with /", "Enter a path such as /orders, no host.")
    )


def lookup_path(text: str) -> Result[str, Remedy]:
    """Read a path by which a plain service answers for one key."""
    if _PATH.fullmatch(text) and text.count("{key}") == 1:
        return Success(text)
    return Failure(
        Remedy(
            "a path that starts with / and contains {key} once",
            "Enter a path such as /orders/{key}.",
        )
    )
