"""The codec of the routers' protocol: streams split at every byte, invalid parameters, arbitrary input."""

from __future__ import annotations

import base64
import contextlib
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.protocol import jsonrpc
from tests.protocol.splitting import split_at

PARAMS: dict[str, Any] = {
    "call": "9b1f03aa5c7e2d41",
    "recv": 1764576000123,
    "src": 4,
    "org": "acme",
    "rep": 1,
    "work": 12.5,
    "heap": 24.5,
    "crit": 0.625,
    "dedupe": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
    "row": "7f3a9c21e0b4d655",
    "body": base64.b64encode(b"\r\n\x00body").decode(),
}


def frame(message: Any) -> bytes:
    body = message if isinstance(message, bytes) else orjson.dumps(message)
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def request_message(**changes: Any) -> dict[str, Any]:
    """Return a request with changed parameters; those changed to None are left out."""
    params = {name: value for name, value in (PARAMS | changes).items() if value is not None}
    return {"jsonrpc": "2.0", "id": 7, "method": "checkout", "params": params}


def decode(message: Any) -> jsonrpc.Message | None:
    return jsonrpc.decode(orjson.dumps(message))


def test_frames_split_at_every_byte_are_parsed_the_same() -> None:
    stream = frame(request_message()) + frame({"jsonrpc": "2.0", "id": 8, "method": "alive"}) + frame(b"{}")
    expected = list(jsonrpc.FrameParser().feed(stream))
    assert len(expected) == 3
    for position in range(len(stream) + 1):
        parser = jsonrpc.FrameParser()
        assert [body for piece in split_at(stream, position) for body in parser.feed(piece)] == expected
    parser = jsonrpc.FrameParser()
    assert [body for end in range(len(stream)) for body in parser.feed(stream[end : end + 1])] == expected


def test_a_request_is_decoded_completely() -> None:
    request = decode(request_message())
    assert isinstance(request, jsonrpc.Request)
    assert (request.id, request.class_name, request.attempt_id, request.body) == (
        7,
        "checkout",
        PARAMS["call"],
        b"\r\n\x00body",
    )
    assert (
        request.caller,
        request.tenant,
        request.is_retry,
        request.work_hint_ms,
        request.footprint_kb,
        request.priority,
    ) == (
        4,
        "acme",
        True,
        12.5,
        24.5,
        0.625,
    )
    assert (request.received_ms, request.partition_key, request.idempotency_key) == (
        1764576000123,
        0x7F3A9C21E0B4D655,
        PARAMS["dedupe"],
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"call": None},
        {"call": "9B1F"},
        {"call": 5},
        {"recv": None},
        {"recv": "now"},
        {"recv": -1},
        {"recv": 1e400},
        {"src": 1.5},
        {"heap": 0},
        {"heap": 2000},
        {"heap": True},
        {"crit": 1},
        {"crit": -0.1},
        {"work": "many"},
        {"src": True},
        {"heap": -24.5},
        {"heap": None},
        {"work": [1]},
        {"crit": {}},
        {"org": 3},
        {"row": "xyz"},
        {"dedupe": "k" * 300},
        {"body": "not base64!"},
        {"body": 5},
        {"body": base64.b64encode(b"x" * 2049).decode()},
    ],
)
def test_an_invalid_parameter_is_named_in_the_answer(changes: dict[str, Any]) -> None:
    message = decode(request_message(**changes))
    assert isinstance(message, jsonrpc.InvalidMessage)
    assert (message.id, message.code) == (7, jsonrpc.INVALID_PARAMS)
    assert message.message.partition(":")[0] in changes


def test_invalid_requests_with_an_id_are_answered_by_id() -> None:
    for message, code in [
        ({"id": 7, "method": "checkout", "params": PARAMS}, jsonrpc.INVALID_REQUEST),
        ({"jsonrpc": "2.0", "id": 7}, jsonrpc.INVALID_REQUEST),
        ({"jsonrpc": "2.0", "id": 7, "method": 5}, jsonrpc.INVALID_REQUEST),
        ({"jsonrpc": "2.0", "id": 7, "method": "checkout", "params": [1]}, jsonrpc.INVALID_PARAMS),
    ]:
        decoded = decode(message)
        assert isinstance(decoded, jsonrpc.InvalidMessage)
        assert (decoded.id, decoded.code) == (7, code)


@pytest.mark.parametrize(
    "body",
    [b"{", b"[]", b"5", b'{"id":"a","method":"alive"}', b'{"id":0}', b'{"id":true}', b'{"id":1.5}', b"\xff"],
)
def test_a_message_without_a_readable_id_raises_a_stream_error(body: bytes) -> None:
    with pytest.raises(jsonrpc.StreamError):
        jsonrpc.decode(body)


def test_only_a_cancellation_needs_no_id() -> None:
    assert decode(
        {"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": 3}}
    ) == jsonrpc.CancelRequest(3)
    for message in (
        {"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": "3"}},
        {"jsonrpc": "2.0", "method": "unheard-of"},
        {"jsonrpc": "2.0", "method": "checkout", "params": PARAMS},
    ):
        with pytest.raises(jsonrpc.StreamError):
            decode(message)


@pytest.mark.parametrize(
    "header",
    [
        b"Content-Length: 20000\r\n\r\n",
        b"Content-Length: -1\r\n\r\n",
        b"Content-Length: ten\r\n\r\n",
        b"Content-Length: 99999999999999999999\r\n\r\n",
        b"Length: 1\r\n\r\n",
        b"\r\n\r\n",
        b"x" * 2000,
    ],
)
def test_a_header_without_a_valid_length_raises_a_stream_error(header: bytes) -> None:
    with pytest.raises(jsonrpc.StreamError):
        list(jsonrpc.FrameParser().feed(header))


def decode_answer(data: bytes) -> dict[str, Any]:
    (body,) = jsonrpc.FrameParser().feed(data)
    answer = orjson.loads(body)
    assert isinstance(answer, dict)
    return answer


def test_answers_are_encoded_with_load_and_retry_advice() -> None:
    assert decode_answer(jsonrpc.encode_result(7, b"\x00r", 0.5)) == {
        "jsonrpc": "2.0",
        "id": 7,
        "result": {"body": base64.b64encode(b"\x00r").decode(), "load": 0.5},
    }
    assert decode_answer(jsonrpc.encode_error(7, jsonrpc.REJECTED, "refused", None, 250.0, True))[
        "error"
    ] == {
        "code": -32000,
        "message": "refused",
        "data": {"pushback": 250.0, "stop": 1},
    }
    assert "data" not in decode_answer(jsonrpc.encode_error(7, jsonrpc.FAILED, "given up", None))["error"]
    assert decode_answer(jsonrpc.encode_health(7, False, 0.0))["result"] == {"green": False, "load": 0.0}
    assert decode_answer(jsonrpc.SHUTDOWN_NOTICE) == {"jsonrpc": "2.0", "method": "shutdown"}


@given(
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(),
        lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    )
)
def test_arbitrary_parameters_are_decoded_or_answered(value: Any) -> None:
    for name in PARAMS:
        message = decode(request_message(**{name: value}))
        assert isinstance(message, jsonrpc.Request | jsonrpc.InvalidMessage)
        assert message.id == 7


@given(st.lists(st.binary(max_size=60), max_size=8))
def test_arbitrary_bytes_raise_nothing_but_stream_errors(chunks: list[bytes]) -> None:
    parser = jsonrpc.FrameParser()
    with contextlib.suppress(jsonrpc.StreamError):
        for chunk in chunks:
            assert None not in list(parser.feed(chunk))
