"""Parsing of the length that precedes a body, shared by the codecs.

The functions here are pure and raise nothing: each codec decides what an invalid length means.
"""

from __future__ import annotations

MAX_LENGTH_DIGITS = 9  # bounds the cost of the conversion: a peer may send thousands of digits


def parse_length(digits: bytes, max_length: int) -> int | None:
    """Return the length written in ASCII digits; None if it is not a number or exceeds `max_length`."""
    if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
        return None
    length = int(digits)
    return length if length <= max_length else None
