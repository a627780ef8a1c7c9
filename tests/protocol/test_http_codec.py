"""The HTTP codec: responses split at every byte, invalid ones, and those that end with their connection."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.protocol import http
from tests.protocol.splitting import split_at

ACCEPTED = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nab\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Busy\r\nx-untouched:1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "response"),
    [(ACCEPTED, http.Response(200, False, b"ab\r\n\r\n")), (REJECTION, http.Response(503, True, b""))],
)
@pytest.mark.parametrize("trailing", [b"", ACCEPTED, b"noise\r\n\r\n"])
def test_a_response_split_at_every_byte_is_parsed_the_same_whatever_follows(
    data: bytes, response: http.Response, trailing: bytes
) -> None:
    for position in range(len(data) + 1):
        parser = http.ResponseParser()
        first, second = split_at(data, position) if 0 < position < len(data) else (data, b"")
        parsed = (
            parser.feed(first + trailing)
            if not second
            else parser.feed(first) or parser.feed(second + trailing)
        )
        assert parsed == response


@pytest.mark.parametrize(
    "data",
    [
        b"SMTP ready\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nabc",
        b"x" * 10_000,
    ],
)
def test_an_unreadable_response_raises_a_stream_error(data: bytes) -> None:
    with pytest.raises(http.StreamError):
        http.ResponseParser().feed(data)


def test_a_ledger_call_is_encoded() -> None:
    head, _, body = http.encode_ledger_call("127.0.0.1:8900", "9b1f", 250, b"x\r\n").partition(b"\r\n\r\n")
    assert head.split(b"\r\n") == [
        b"POST /post HTTP/1.1",
        b"Host: 127.0.0.1:8900",
        b"X-Txn-Ref: 9b1f",
        b"X-Limit-Ms: 250",
        b"Content-Length: 3",
    ]
    assert body == b"x\r\n"


@given(st.lists(st.binary(max_size=60), max_size=8))
def test_arbitrary_bytes_raise_nothing_but_stream_errors(chunks: list[bytes]) -> None:
    parser = http.ResponseParser()
    with contextlib.suppress(http.StreamError):
        for chunk in chunks:
            response = parser.feed(chunk)
            assert response is None or response.status >= 200


# Responses of uwsgi servers


def test_a_response_without_a_length_ends_with_its_connection() -> None:
    data = b"HTTP/1.1 200 OK\r\nContent-Type: x\r\n\r\nbody"
    for position in range(len(data) + 1):
        parser = http.ResponseParser(read_until_close=True)
        assert parser.feed(data[:position]) is None
        assert parser.feed(data[position:]) is None
        assert parser.close() == http.Response(200, False, b"body")


TRUNCATED = [b"", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"]


@pytest.mark.parametrize("data", TRUNCATED)
def test_a_truncated_response_is_not_returned(data: bytes) -> None:
    parser = http.ResponseParser(read_until_close=True)
    assert parser.feed(data) is None
    assert parser.close() is None


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 9000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + b"z" * 2000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
        b"\x00\x00\x00 nonsense\r\n\r\n",
    ],
)
def test_a_response_over_the_size_limits_raises_a_stream_error(data: bytes) -> None:
    parser = http.ResponseParser(read_until_close=True, max_body_bytes=1000)
    with pytest.raises(http.StreamError):
        parser.feed(data)


def test_an_encoded_response_is_parsed_with_its_not_run_header() -> None:
    data = http.encode_response(503, [("X-Not-Run", "1"), ("Retry-After", "2")], b"no", close=True)
    assert http.ResponseParser().feed(data) == http.Response(503, False, b"no", not_run=True)
    assert b"\r\nConnection: close\r\n" in data
