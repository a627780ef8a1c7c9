"""The uwsgi codec: requests split at every byte, malformed requests, arbitrary input."""

from __future__ import annotations

import struct
from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.protocol import uwsgi

VARIABLES = {"REQUEST_METHOD": "POST", "PATH_INFO": "/topup", "HTTP_IDEMPOTENCY_KEY": "k1", "EMPTY": ""}
BODY = b"airtime\x00\xff"


def encoded_variable(name: bytes, value: bytes) -> bytes:
    return struct.pack("<H", len(name)) + name + struct.pack("<H", len(value)) + value


def packet(block: bytes, modifier1: int = 0, size: int | None = None) -> bytes:
    return struct.pack("<BHB", modifier1, len(block) if size is None else size, 0) + block


def test_a_request_split_at_every_byte_is_parsed_the_same() -> None:
    data = uwsgi.encode(VARIABLES, BODY)
    expected = uwsgi.Request({**VARIABLES, "CONTENT_LENGTH": str(len(BODY))}, BODY)
    for position in range(len(data) + 1):
        parser = uwsgi.RequestParser()
        assert parser.feed(data[:position]) + parser.feed(data[position:]) == [expected]
        assert not parser.has_partial_request
    parser = uwsgi.RequestParser()
    requests = [request for byte in data * 2 for request in parser.feed(bytes([byte]))]
    assert requests == [expected, expected]


@pytest.mark.parametrize(
    ("data", "status", "message"),
    [
        (packet(b"", modifier1=5), 501, "modifier1 5"),
        (b"\x01", 501, "modifier1 1"),
        (packet(b"", size=20_000), 431, "20000 bytes"),
        (packet(b"\x03"), 400, "length is past"),
        (packet(struct.pack("<H", 9) + b"short"), 400, "past the block's end"),
        (packet(struct.pack("<H", 1) + b"a"), 400, "value whose length"),
        (packet(struct.pack("<H", 1) + b"a" + struct.pack("<H", 65535) + b"b"), 400, "value that is past"),
        (packet(encoded_variable(b"A", b"1") + encoded_variable(b"A", b"2")), 400, "A: twice"),
        (packet(encoded_variable(b"", b"1")), 400, "without a name"),
        (packet(encoded_variable(b"N" * 300, b"1")), 400, "far too long"),
        (packet(encoded_variable(b"CONTENT_LENGTH", b"-5")), 400, "CONTENT_LENGTH"),
        (packet(encoded_variable(b"CONTENT_LENGTH", b"1e3")), 400, "CONTENT_LENGTH"),
        (packet(encoded_variable(b"CONTENT_LENGTH", "\u0663".encode())), 400, "CONTENT_LENGTH"),
        (packet(encoded_variable(b"CONTENT_LENGTH", b"65537")), 413, "over 65536"),
        (packet(encoded_variable(b"CONTENT_LENGTH", b"9" * 40)), 400, "CONTENT_LENGTH"),
    ],
)
def test_a_malformed_request_raises_an_error_with_its_http_status(
    data: bytes, status: int, message: str
) -> None:
    for step in (1, len(data)):
        parser = uwsgi.RequestParser()
        parts = [data[position : position + step] for position in range(0, len(data), step)]
        with pytest.raises(uwsgi.StreamError, match=message) as raised:
            deque(map(parser.feed, parts), maxlen=0)
        assert raised.value.status == status


def test_no_more_than_one_block_is_buffered_if_its_size_is_wrong() -> None:
    parser = uwsgi.RequestParser(max_block_bytes=64)
    assert parser.feed(packet(encoded_variable(b"A", b"1"), size=60)) == []
    assert parser.has_partial_request
    with pytest.raises(uwsgi.StreamError):
        parser.feed(b"x" * 60)


def test_variables_that_do_not_fit_in_a_packet_are_not_encoded() -> None:
    with pytest.raises(ValueError, match="64 KiB"):
        uwsgi.encode({"A": "x" * 65_000, "B": "y" * 1_000})


@given(st.binary(max_size=200), st.integers(0, 200))
def test_arbitrary_bytes_are_parsed_the_same_however_they_are_split(data: bytes, position: int) -> None:
    def parse(parts: list[bytes]) -> tuple[list[uwsgi.Request], str]:
        parser, requests = uwsgi.RequestParser(max_block_bytes=100, max_body_bytes=50), []
        try:
            for part in parts:
                requests += parser.feed(part)
        except uwsgi.StreamError as error:
            return [], str(error)
        return requests, ""

    expected = parse([data])
    split = parse([data[:position], data[position:]])
    assert expected == split or (expected[1] and split[1])


NAMES = st.text("ABCXYZ_", min_size=1, max_size=8).filter(lambda name: name != "CONTENT_LENGTH")


@given(st.dictionaries(NAMES, st.text(max_size=20)), st.binary(max_size=100))
def test_encoded_variables_are_decoded_unchanged(variables: dict[str, str], body: bytes) -> None:
    (request,) = uwsgi.RequestParser().feed(uwsgi.encode(variables, body))
    assert request.body == body
    for name, value in variables.items():
        assert request.variables[name] == value.encode("latin-1", "replace").decode("latin-1")
