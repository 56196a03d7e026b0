"""A request scheduler for heterogeneous inference engines and plain HTTP services."""

__version__ = "0.1.0"
