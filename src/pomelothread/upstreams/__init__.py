"""Engines and plain services behind an agent."""
