"""Splitting of a stream in two, for the tests of the codecs."""

from __future__ import annotations


def split_at(data: bytes, position: int) -> tuple[bytes, bytes]:
    """Return the data before the position and the data from it on."""
    return data[:position], data[position:]
