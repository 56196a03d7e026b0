"""Communication between entries and agents, and what their processes share."""
