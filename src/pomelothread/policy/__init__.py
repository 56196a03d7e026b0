"""Decisions on routing, limits, shedding and retries, as plain functions."""
