"""Signed datagrams: their encoding, and rejection of invalid ones."""

from __future__ import annotations

import pytest

from shelfhaven.membership.signed_datagram import seal, unseal

SECRET = b"secret"
DATAGRAM = b'\xc1\x0f\x9d\x9d\x7f\x9c\xbb\xa8\x16\xb0\x12\xfd\xd4\xd6\x90n[0,7,"a"]'


def test_the_encoding_is_that_of_earlier_versions() -> None:
    assert seal(SECRET, [0, 7, "a"]) == DATAGRAM
    assert unseal(SECRET, DATAGRAM) == [0, 7, "a"]


@pytest.mark.parametrize("datagram", [b"", DATAGRAM[:16], DATAGRAM[:-1], DATAGRAM + b" "])
def test_a_datagram_of_the_wrong_length_is_rejected(datagram: bytes) -> None:
    with pytest.raises(ValueError, match="not signed by this fleet"):
        unseal(SECRET, datagram)
