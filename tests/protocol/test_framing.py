"""Parsing of the length that precedes a body."""

from __future__ import annotations

import pytest

from shelfhaven.protocol.framing import parse_length


@pytest.mark.parametrize(
    ("digits", "length"),
    [
        (b"0", 0),
        (b"007", 7),
        (b"100", 100),
        (b"101", None),
        (b"", None),
        (b"-1", None),
        (b" 1", None),
        (b"1e1", None),
        ("\u0663".encode(), None),
        (b"0000000001", None),
        (b"9" * 5000, None),
    ],
)
def test_a_length_consists_of_ascii_digits_and_is_at_most_the_limit(
    digits: bytes, length: int | None
) -> None:
    assert parse_length(digits, 100) == length
