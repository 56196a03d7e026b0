"""Tests of the CSV parser: variants of spreadsheet exports, and faults."""

import csv
import io
from pathlib import Path

import pytest
from returns.result import Success

from pomelothread.operators.columns import COLUMN_NAMES
from pomelothread.operators.faults import SheetFault
from pomelothread.operators.planning import parse_sheet
from pomelothread.operators.sheet import Sheet

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
TOKEN = "ab" * 32
TABLE = [
    {"kind": "tier", "name": "checks", "rank": "0", "protected": "yes"},
    {"kind": "tier", "name": "drafts", "rank": "1"},
    {"kind": "organisation", "name": "club", "token_sha256": TOKEN, "share": "2.5"},
    {
        "kind": "service",
        "name": "course-check",
        "pool": "drafting",
        "tier": "checks",
        "service_kind": "model",
        "deadline_s": "15",
        "model": "trail-8b",
        "max_body_bytes": "1048576",
    },
    {
        "kind": "service",
        "name": "print-order",
        "pool": "press",
        "tier": "drafts",
        "service_kind": "plain",
        "deadline_s": "20",
        "repeat": "never",
        "path": "/orders",
        "lookup_path": "/orders/{key}",
    },
    {"kind": "release", "name": "0f" * 16},
]
CLUB, CHECK, ORDER = 4, 5, 6


def csv_text(
    changes: dict[tuple[int, str], str] | None = None, separator: str = ","
) -> str:
    """Return the table as CSV; `changes` are by spreadsheet row and column."""
    rows = [dict(row) for row in TABLE]
    for (row, column), value in (changes or {}).items():
        rows[row - 2][column] = value
    out = io.StringIO()
    writer = csv.DictWriter(out, COLUMN_NAMES, delimiter=separator)
    writer.writeheader()
    writer.writerows(rows)
    return out.getvalue()


def parse_faults(text: str | bytes) -> list[SheetFault]:
    data = text.encode() if isinstance(text, str) else text
    return parse_sheet(data).failure()


STANDARD_CSV = csv_text()
EXPECTED = parse_sheet(STANDARD_CSV.encode()).unwrap()
HEADER, *DATA_LINES = STANDARD_CSV.splitlines()
DECIMAL_COMMAS = csv_text({(CLUB, "share"): "2,5"}, ";")

EXPORT_VARIANTS = {
    "byte order mark": b"\xef\xbb\xbf" + STANDARD_CSV.encode(),
    "line feeds only": STANDARD_CSV.replace("\r\n", "\n").encode(),
    "carriage returns only": STANDARD_CSV.replace("\r\n", "\r").encode(),
    "semicolons and decimal comma": DECIMAL_COMMAS.encode(),
    "tabs": csv_text(separator="\t").encode(),
    "bars": csv_text(separator="|").encode(),
    "sep line": b"sep=;\r\n" + DECIMAL_COMMAS.encode(),
    "quoted sep line after a mark": b'\xef\xbb\xbf"sep=;"\r\n'
    + DECIMAL_COMMAS.encode(),
    "Unicode text": csv_text(separator="\t").encode("utf-16"),
    "UTF-16 without a mark": csv_text(separator="\t").encode("utf-16-le"),
    "big-endian UTF-16 without a mark": STANDARD_CSV.encode("utf-16-be"),
    "blank rows": "\r\n".join([",,", HEADER, "", *DATA_LINES, ",,,", "  ,"]).encode(),
    "trailing empty columns": "\r\n".join(
        x + ",,," for x in [HEADER, *DATA_LINES]
    ).encode(),
    "short rows": "\r\n".join(x.rstrip(",") for x in [HEADER, *DATA_LINES]).encode(),
    "stray spaces": STANDARD_CSV.replace(",", " , ").encode(),
    "non-breaking spaces": STANDARD_CSV.replace("club", "\u00a0club\u202f").encode(),
    "zero-width space": STANDARD_CSV.replace("club", "club\u200b").encode(),
    "capitals and spaces in headings": STANDARD_CSV.replace("deadline_s", "Deadline S")
    .replace("kind,", "KIND,", 1)
    .encode(),
    "capitalised words": STANDARD_CSV.replace("never", "Never")
    .replace("tier,c", "Tier,c")
    .encode(),
    "capital hash": STANDARD_CSV.replace(TOKEN, TOKEN.upper()).encode(),
    "TRUE": STANDARD_CSV.replace("yes", "TRUE").encode(),
    "digits in groups": STANDARD_CSV.replace("1048576", "1 048 576").encode(),
    "commas between thousands": STANDARD_CSV.replace("1048576", '"1,048,576"').encode(),
    "decimals of a whole number": STANDARD_CSV.replace(
        "1048576", "1048576.00"
    ).encode(),
    "a note": csv_text({(CLUB, "note"): 'says "hello",\nthen leaves'}).encode(),
    "columns in another order": "\r\n".join(
        ",".join(reversed(x.split(","))) for x in [HEADER, *DATA_LINES]
    ).encode(),
}


@pytest.mark.parametrize("data", EXPORT_VARIANTS.values(), ids=EXPORT_VARIANTS.keys())
def test_variants_of_spreadsheet_exports_give_the_same_sheet(data: bytes):
    # Guards against refusing a file in which the operator can see no fault.
    assert parse_sheet(data) == Success(EXPECTED)


CELL_FAULTS = [
    ((2, "rank"), "first", "Enter digits only"),
    ((2, "rank"), "-1", "a whole number, 0 or more"),
    ((2, "rank"), "0.5", "a whole number"),
    ((3, "rank"), "0", "which row 2 has too"),
    ((2, "protected"), "maybe", "Enter yes or no."),
    ((2, "protected"), "no", "given no tier with yes"),
    ((3, "rank"), "1,000", "read as 1000 or as 1;"),
    ((2, "deadline_s"), "5", "only service rows use this column"),
    ((CLUB, "name"), "", "an empty cell"),
    ((CLUB, "name"), "Bhuj Club", "Enter bhuj-club."),
    ((CLUB, "name"), "bhuj\u2013club", "Enter bhuj-club."),
    ((CLUB, "name"), "#REF!", "formula error"),
    ((CLUB, "name"), "x" * 65, "shorter name"),
    ((CLUB, "token_sha256"), "1.2E+31", "shortened a long number"),
    ((CLUB, "token_sha256"), "abc123", "has 6 characters"),
    ((CLUB, "token_sha256"), "demo-club", "SHA-256"),
    ((CLUB, "share"), "0", "greater than 0"),
    ((CLUB, "share"), "50%", "instead of 50%"),
    ((CLUB, "share"), "########", "too narrow"),
    ((CLUB, "share"), "nan", "a number"),
    ((CLUB, "share"), "9" * 5000, "at most 1000000000000"),
    ((CLUB, "max_waiting"), "0", "a whole number, 1 or more"),
    ((CLUB, "kind"), "organization", "one of tier, organisation"),
    ((CHECK, "tier"), "urgent", "checks, drafts"),
    ((CHECK, "deadline_s"), "15 s", "without a unit"),
    ((CHECK, "model"), "", "kind model needs it"),
    ((CHECK, "model"), "trail 8b", "without spaces"),
    ((CHECK, "repeat"), "never", "only plain services"),
    ((CHECK, "path"), "/x", "no paths"),
    ((CHECK, "service_kind"), "llm", "model or plain"),
    ((CHECK, "dated_keys"), "yes", "repeat never has keys"),
    ((ORDER, "name"), "course-check", "which row 5 has too"),
    ((ORDER, "pool"), "drafting", "services of one kind in each pool"),
    ((ORDER, "model"), "trail-8b", "a plain service has no model"),
    ((ORDER, "path"), "http://10.0.0.1/x", "starts with /"),
    ((ORDER, "lookup_path"), "/orders", "contains {key} once"),
    ((ORDER, "key_life_s"), "0", "greater than 0"),
    ((7, "name"), "12", "fingerprint"),
]


@pytest.mark.parametrize(("cell", "cell_text", "expected_text"), CELL_FAULTS)
def test_a_faulty_cell_is_reported_with_a_remedy(
    cell: tuple[int, str], cell_text: str, expected_text: str
):
    faults = parse_faults(csv_text({cell: cell_text}))
    assert [(f.row, f.column) for f in faults] == [cell]
    assert f"row {cell[0]}, column {cell[1]} (cell " in str(faults[0])
    assert expected_text in str(faults[0])


FILE_FAULTS = {
    "empty": (b"", "no rows"),
    "blank": (b"\r\n;;;\r\n", "no rows"),
    "workbook": (b"PK\x03\x04\x14\x00", "a workbook"),
    "Windows-1252": (STANDARD_CSV.replace("club", "\u00e9").encode("cp1252"), "line 4"),
    "cut UTF-16": (b"\xff\xfek\x00i", "not utf-16"),
    "zero bytes": (STANDARD_CSV.encode() + b"\0", "zero bytes"),
    "open quote": (STANDARD_CSV.replace("club", '"club', 1).encode(), "double quote"),
    "unquoted decimal comma": (
        STANDARD_CSV.replace("2.5", "2,5").encode(),
        "decimal comma",
    ),
    "header only": (HEADER.encode(), "no service row"),
    "no header": ("\r\n".join(DATA_LINES).encode(), "a column headed kind"),
    "heading twice": (
        STANDARD_CSV.replace("note", "rank", 1).encode(),
        "heading twice",
    ),
    "unknown heading": (
        STANDARD_CSV.replace("note", "remark", 1).encode(),
        "headed note",
    ),
    "cell under no heading": (
        STANDARD_CSV.replace("note", "", 1).replace("yes,", "yes,", 1)[:-2].encode()
        + b"x",
        "column without heading",
    ),
    "no column of a required value": (
        STANDARD_CSV.replace(",rank,", ",,", 1).encode(),
        "tier rows need it",
    ),
}


@pytest.mark.parametrize(
    ("data", "expected_text"), FILE_FAULTS.values(), ids=FILE_FAULTS
)
def test_an_unreadable_file_is_refused_with_the_reason(data: bytes, expected_text: str):
    assert expected_text in "\n".join(str(fault) for fault in parse_faults(data))


def test_every_fault_is_reported_at_once_in_the_order_of_the_rows():
    # Guards against reporting only the first fault of a file at each attempt.
    changes = {
        (CHECK, "deadline_s"): "soon",
        (2, "rank"): "x",
        (CLUB, "share"): "-1",
        (CLUB, "token_sha256"): "",
    }
    faults = parse_faults(csv_text(changes))
    found = [(f.row, f.column) for f in faults]
    assert found == [
        (2, "rank"),
        (CLUB, "token_sha256"),
        (CLUB, "share"),
        (CHECK, "deadline_s"),
    ]


def test_rows_are_numbered_as_the_spreadsheet_shows_them():
    # Excel hides the sep line, and a cell with a line break is part of one row.
    note = csv_text({(2, "note"): "two\nlines", (CLUB, "share"): "x"}, ";")
    [fault] = parse_faults("sep=;\r\n" + note)
    assert (fault.row, str(fault).split()[4:6]) == (CLUB, ["(cell", "F4):"])


def test_a_protected_tier_must_not_rank_below_an_unprotected_one():
    # Guards against shedding protected requests to keep unprotected ones.
    [fault] = parse_faults(csv_text({(2, "rank"): "3"}))
    assert (fault.row, fault.column) == (2, "rank")


def test_two_organisations_cannot_share_a_token():
    # Guards against attributing requests to the wrong organisation.
    text = STANDARD_CSV + f"organisation,guild,,,{TOKEN}\r\n"
    [fault] = parse_faults(text)
    assert (fault.row, fault.column) == (8, "token_sha256")


@pytest.mark.parametrize("deployment", ["saurashtra", "ashcombe"])
def test_the_example_sheets_have_no_faults(deployment: str):
    found = parse_sheet((EXAMPLES / deployment / "sheet.csv").read_bytes()).unwrap()
    assert isinstance(found, Sheet)
    assert (len(found.tiers), len(found.organisations)) == (4, 5)
    assert sum(tier.protected for tier in found.tiers.values()) == 1
    assert [s.name for s in found.services.values() if s.repeat == "never"]
