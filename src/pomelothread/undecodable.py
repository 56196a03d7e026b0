"""Exceptions by which decoders reject what another process has written."""

import msgspec

# Beside its own errors, msgspec raises a RecursionError for deep nesting, also in a
# field that is not used, and a ValueError for an integer of thousands of digits.
UNDECODABLE = (msgspec.MsgspecError, ValueError, RecursionError)

# Largest integer that records may hold. It fits into every message between processes,
# and as a time in milliseconds it is beyond any date.
MAX_INTEGER = 2**53
