"""Declares the fields of settings classes and reads TOML tables into them.

A settings class is a frozen, slotted data class whose fields are declared
with the functions of this module; a field whose type is another such class is a
table, and an absent table is read as an empty one. `read_table` checks every key
of a table and collects every fault, so that a file can be corrected in one pass.
"""

import dataclasses
import difflib
import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from returns.result import Failure, Result, Success

from .addresses import parse_address

# Similarity below which a known name isn't suggested for an unknown key; 0.6 is
# difflib's own default and finds single letters that were swapped or left out.
_MIN_SIMILARITY = 0.6


@dataclass(frozen=True, slots=True)
class SettingFault:
    """One fault of a settings file.

    Parameters
    ----------
    path : str
        The file.
    key : str
        Dotted name of the key, or "" if the whole file is concerned.
    given : str
        What the file holds.
    expected : str
        What it should hold.
    remedy : str
        What to do.

    Examples
    --------
    >>> print(SettingFault("a.toml", "max_waiting", "-1", "an integer", "raise it"))
    a.toml: max_waiting: given -1, expected an integer; raise it
    """

    path: str
    key: str
    given: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault as one line for the operator."""
        where = f"{self.path}: {self.key}" if self.key else self.path
        return f"{where}: given {self.given}, expected {self.expected}; {self.remedy}"


@dataclass(frozen=True, slots=True)
class _Rule:
    """Allowed values of a key; `check` returns None for any other value."""

    expected: str
    remedy: str
    check: Callable[[Any], Any]


def _declare(rule: _Rule, default: Any) -> Any:
    metadata = {"rule": rule}
    if default is None:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def text_field(*, default: str | None = None) -> Any:
    """Declare a key that holds a name of printable characters without spaces.

    Parameters
    ----------
    default : str or None
        Value of an absent key; None makes the key required.
    """

    def check(value: Any) -> Any:
        if not isinstance(value, str) or not value or not value.isprintable():
            return None
        return None if " " in value else value

    rule = _Rule("a name without spaces", "write a name in quotes", check)
    return _declare(rule, default)


def path_field(*, default: str) -> Any:
    """Declare a key that holds the path of a file, or "" for none.

    Parameters
    ----------
    default : str
        Value of an absent key.
    """

    def check(value: Any) -> Any:
        return value if isinstance(value, str) and "\0" not in value else None

    rule = _Rule('the path of a file or ""', "write a path in quotes", check)
    return _declare(rule, default)


def choice_field(*choices: str, default: str | None = None) -> Any:
    """Declare a key that holds one of the given words.

    Parameters
    ----------
    *choices : str
        The words.
    default : str or None
        Value of an absent key; None makes the key required.
    """
    listed = ", ".join(f'"{choice}"' for choice in choices)
    rule = _Rule(
        f"one of {listed}",
        "choose one of them",
        lambda value: value if value in choices else None,
    )
    return _declare(rule, default)


def flag_field(*, default: bool) -> Any:
    """Declare a key that holds true or false.

    Parameters
    ----------
    default : bool
        Value of an absent key.
    """
    rule = _Rule(
        "true or false",
        "write true or false without quotes",
        lambda value: value if isinstance(value, bool) else None,
    )
    return _declare(rule, default)


def integer_field(minimum: int, maximum: int, *, default: int | None = None) -> Any:
    """Declare a key that holds an integer within a range.

    Parameters
    ----------
    minimum, maximum : int
        Inclusive bounds.
    default : int or None
        Value of an absent key; None makes the key required.
    """

    def check(value: Any) -> Any:
        # bool is a subclass of int.
        if isinstance(value, bool) or not isinstance(value, int):
            return None
        return value if minimum <= value <= maximum else None

    rule = _Rule(
        f"an integer from {minimum} to {maximum}", "write one in this range", check
    )
    return _declare(rule, default)


def number_field(
    minimum: float, maximum: float, *, default: float | None = None
) -> Any:
    """Declare a key that holds a number within a range.

    Parameters
    ----------
    minimum, maximum : float
        Inclusive bounds.
    default : float or None
        Value of an absent key; None makes the key required.
    """

    def check(value: Any) -> Any:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return None
        # TOML has nan, for which the comparison is false.
        return float(value) if minimum <= value <= maximum else None

    rule = _Rule(
        f"a number from {minimum:g} to {maximum:g}", "write one in this range", check
    )
    return _declare(rule, default)


def address_field(
    *, listening: bool = False, reachable: bool = True, optional: bool = False
) -> Any:
    """Declare a key that holds ``ip:port``.

    Parameters
    ----------
    listening : bool
        Whether port 0 is allowed, which lets the kernel choose.
    reachable : bool
        Whether other processes connect to this address, so that an unspecified one
        (``0.0.0.0``, ``::``) isn't allowed.
    optional : bool
        Whether "" is allowed, and is the default.
    """
    expected = '"ip:port"' + (" (port 0: any free one)" if listening else "")
    if reachable:
        expected += " with an address that others can connect to"
    if optional:
        expected += ' or ""'

    def check(value: Any) -> Any:
        if optional and value == "":
            return value
        address = parse_address(value) if isinstance(value, str) else None
        if address is None or (address.port == 0 and not listening):
            return None
        if reachable and ipaddress.ip_address(address.host).is_unspecified:
            return None
        return str(address)

    remedy = "write an IP address, not a host name, and a port in quotes"
    return _declare(_Rule(expected, remedy, check), "" if optional else None)


def url_field(*, ip_only: bool, optional: bool = False) -> Any:
    """Declare a key that holds an HTTP URL without query and fragment.

    Parameters
    ----------
    ip_only : bool
        Whether the host has to be an IP address.
    optional : bool
        Whether "" is allowed, and is the default.
    """
    expected = '"http://ip:port"' if ip_only else "an http or https URL"
    if optional:
        expected += ' or ""'

    def check(value: Any) -> Any:
        if optional and value == "":
            return value
        if not isinstance(value, str) or not _is_url(value, ip_only=ip_only):
            return None
        return value.rstrip("/")

    return _declare(
        _Rule(expected, "write the whole URL in quotes", check),
        "" if optional else None,
    )


def _is_url(text: str, *, ip_only: bool) -> bool:
    try:
        url = urlsplit(text)
        port = url.port
    except ValueError:
        return False
    if url.scheme not in {"http", "https"} or not url.hostname or " " in text:
        return False
    if url.query or url.fragment or url.username:
        return False
    if not ip_only:
        return True
    return port is not None and parse_address(url.netloc) is not None


def read_table(
    cls: type[Any], table: dict[str, Any], path: str, prefix: str = ""
) -> Result[Any, list[SettingFault]]:
    """Read a TOML table into an object of a settings class.

    Parameters
    ----------
    cls : type
        Settings class.
    table : dict
        The table.
    path : str
        The file, for the faults.
    prefix : str
        Dotted name of the table with a final dot; "" for the whole file.

    Returns
    -------
    Result of object or list of SettingFault
        The settings, or every fault in the order of the fields, then the unknown
        keys.
    """
    faults: list[SettingFault] = []
    values: dict[str, Any] = {}
    fields = dataclasses.fields(cls)
    for field in fields:
        key = prefix + field.name
        match _read_field(field, table, path, key):
            case Success(None):
                pass
            case Success(value):
                values[field.name] = value
            case Failure(found):
                faults += found
    names = [field.name for field in fields]
    faults += [
        SettingFault(path, prefix + key, "an unknown key", *_suggest(key, names))
        for key in table
        if key not in names
    ]
    if faults:
        return Failure(faults)
    return Success(cls(**values))


def _read_field(
    field: "dataclasses.Field[Any]", table: dict[str, Any], path: str, key: str
) -> Result[Any, list[SettingFault]]:
    given = table.get(field.name)
    if isinstance(field.type, type) and dataclasses.is_dataclass(field.type):
        if given is None:
            given = {}
        if not isinstance(given, dict):
            fault = SettingFault(path, key, repr(given), "a table", f"write [{key}]")
            return Failure([fault])
        return read_table(field.type, given, path, key + ".")
    rule: _Rule = field.metadata["rule"]
    if given is None:
        if field.default is not dataclasses.MISSING:
            return Success(None)
        fault = SettingFault(path, key, "nothing", rule.expected, "add the key")
        return Failure([fault])
    value = rule.check(given)
    if value is None:
        return Failure(
            [SettingFault(path, key, repr(given), rule.expected, rule.remedy)]
        )
    return Success(value)


def _suggest(key: str, names: list[str]) -> tuple[str, str]:
    near = difflib.get_close_matches(key, names, 1, _MIN_SIMILARITY)
    if near:
        return f'"{near[0]}"', "correct the name or remove the key"
    return f"one of {', '.join(names)}", "remove the key"
