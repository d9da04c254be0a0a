"""What decoders raise for data that another program may have written."""

import msgspec

ERRORS = (msgspec.DecodeError, RecursionError)
"""Deeply nested data of an unknown field ends in a ``RecursionError``."""
