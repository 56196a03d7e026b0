"""The HTTP interface of the entry for callers."""
