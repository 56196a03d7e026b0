"""The planning sheet: parsing, publishing and replicating it."""
