"""The program beside an upstream, the only one that dispatches to it."""
