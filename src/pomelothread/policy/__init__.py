"""Routing, limits, shedding and retries, decided without I/O."""
