"""A request scheduler for unlike inference engines and plain services."""

__version__ = "0.1.0"
