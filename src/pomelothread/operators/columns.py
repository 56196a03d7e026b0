"""The columns of the planning sheet and the kinds of row that use them."""

from dataclasses import dataclass

from . import cells
from .sheet import KIND_MODEL, KIND_PLAIN, REPEAT_NEVER, REPEAT_SAFE

TIER = "tier"
ORGANISATION = "organisation"
SERVICE = "service"
ADAPTER = "adapter"
RELEASE = "release"
ROW_KINDS = (TIER, ORGANISATION, SERVICE, ADAPTER, RELEASE)
NOTE = "note"


@dataclass(frozen=True, slots=True)
class Column:
    """A column as it applies to one kind of row.

    Parameters
    ----------
    name : str
        Heading of the column.
    reader : Reader
        Reads a cell that is not empty.
    required : bool
        Whether the cell must be filled; if not, an empty cell takes the default.
    field : str
        Field of the row's struct; "" if its name is that of the column.
    """

    name: str
    reader: cells.Reader
    required: bool = False
    field: str = ""


COLUMNS_BY_KIND: dict[str, tuple[Column, ...]] = {
    TIER: (
        Column("name", cells.name, required=True),
        Column("rank", cells.whole_number(0), required=True),
        Column("protected", cells.flag),
    ),
    ORGANISATION: (
        Column("name", cells.name, required=True),
        Column(
            "token_sha256",
            cells.hexadecimal(64, "the SHA-256 of the organisation's token"),
            required=True,
        ),
        Column("share", cells.positive_number),
        Column("max_waiting", cells.whole_number(1)),
    ),
    SERVICE: (
        Column("name", cells.name, required=True),
        Column("pool", cells.name, required=True),
        Column("tier", cells.name, required=True),
        Column(
            "service_kind",
            cells.choice(KIND_MODEL, KIND_PLAIN),
            required=True,
            field="kind",
        ),
        Column("deadline_s", cells.positive_number, required=True),
        Column("repeat", cells.choice(REPEAT_SAFE, REPEAT_NEVER)),
        Column("model", cells.model_name),
        Column("path", cells.url_path),
        Column("lookup_path", cells.lookup_path),
        Column("max_body_bytes", cells.whole_number(1)),
        Column("max_output_tokens", cells.whole_number(1)),
        Column("key_life_s", cells.positive_number),
        Column("dated_keys", cells.flag),
    ),
    ADAPTER: (
        Column("name", cells.model_name, required=True),
        Column("pool", cells.name, required=True),
        Column("path", cells.weight_path, required=True),
    ),
    RELEASE: (
        Column(
            "name",
            cells.hexadecimal(32, "the fingerprint of the convicted request"),
            required=True,
            field="fingerprint",
        ),
    ),
}

# In the order of the kinds above; the example sheets use the same order.
COLUMN_NAMES = tuple(
    dict.fromkeys(
        ["kind", *(c.name for cs in COLUMNS_BY_KIND.values() for c in cs), NOTE]
    )
)
REQUIRED_COLUMNS = (
    "kind",
    *dict.fromkeys(c.name for cs in COLUMNS_BY_KIND.values() for c in cs if c.required),
)


def kinds_with(column: str) -> tuple[str, ...]:
    """List the kinds of row that use a column."""
    return tuple(
        kind
        for kind, columns in COLUMNS_BY_KIND.items()
        if any(c.name == column for c in columns)
    )
