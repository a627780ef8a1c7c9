"""Codec of the routers' protocol: JSON-RPC 2.0 messages, each preceded by a `Content-Length` header.

`FrameParser` splits received bytes into the bodies of messages, `decode` turns a body into a typed message,
and the `encode_*` functions turn answers into bytes.  This module does no I/O, keeps no state but the unread
bytes of a stream and does not decide whether a request is served.
"""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeAlias, TypeGuard

import orjson

from shelfhaven.errors import ShelfhavenError
from shelfhaven.protocol.framing import parse_length

MAX_HEADER_BYTES = 1024  # the header is one short line
MAX_MESSAGE_BYTES = 16 * 1024  # enough for a body of 2 KiB in base64 and a dozen short fields
MAX_BODY_BYTES = 2048
MAX_NAME_LENGTH = 256  # characters of a name or key
FOOTPRINT_LIMIT_KB = 2000  # the protocol requires a footprint below this
NUMBER_LIMIT = 1 << 53  # integers above this are not exact in JSON
ATTEMPT_ID_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
PARTITION_KEY_PATTERN = re.compile(r"[0-9a-f]{1,16}\Z")
HEADER_END = b"\r\n\r\n"

# Error codes of JSON-RPC 2.0, section 5.1
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
# Error codes of the routers' protocol
REJECTED = -32000
FAILED = -32001
CANCELLED = -32800


class StreamError(ShelfhavenError):
    """The stream cannot be split into messages any further."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request as the router sent it; optional fields that it left out are 0 or empty.

    Attributes:
        received_ms: Unix time at which the router received the request.
        work_hint_ms: expected duration of the run.
        footprint_kb: memory that the request takes while it is in the server.
        priority: weight within the request's class.
        budget_ms: how long the client still waits.
    """

    id: int
    attempt_id: str
    class_name: str
    received_ms: float
    caller: int
    tenant: str
    is_retry: bool
    work_hint_ms: float
    footprint_kb: float
    priority: float
    idempotency_key: str
    partition_key: int
    budget_ms: float
    body: bytes


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The router no longer waits for the request with this id."""

    id: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """The router asks whether this server is healthy."""

    id: int


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """An invalid message that can be answered by its id; `code` and `message` describe the error."""

    id: int
    code: int
    message: str


JsonObject: TypeAlias = dict[str, object]  # received, with values not checked yet, or to be sent
Message: TypeAlias = Request | CancelRequest | HealthCheck | InvalidMessage


class FrameParser:
    """Splits one connection's bytes into the bodies of messages."""

    def __init__(self) -> None:
        self.unread = bytearray()
        self._body_length: int | None = None  # length of the next body, once its header has been read

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add received data; yield the bodies that are now complete, in order.

        Raises:
            StreamError: after the last complete body, if the stream cannot be split any further.
        """
        self.unread += data
        while (body := self._next_body()) is not None:
            yield body

    def _next_body(self) -> bytes | None:
        if self._body_length is None:
            self._body_length = self._read_header()
        length = self._body_length
        if length is None or len(self.unread) < length:
            return None
        body = bytes(self.unread[:length])
        del self.unread[:length]
        self._body_length = None
        return body

    def _read_header(self) -> int | None:
        """Return the length that the next header gives; None until the header is complete."""
        end = self.unread.find(HEADER_END, 0, MAX_HEADER_BYTES + len(HEADER_END))
        if end < 0:
            if len(self.unread) > MAX_HEADER_BYTES:
                raise StreamError("header exceeds the size limit")
            return None
        length = _parse_content_length(bytes(self.unread[:end]))
        del self.unread[: end + len(HEADER_END)]
        return length


def _parse_content_length(header: bytes) -> int:
    for line in header.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            length = parse_length(value.strip(), MAX_MESSAGE_BYTES)
            if length is None:
                raise StreamError("invalid or too large Content-Length")
            return length
    raise StreamError("header without a Content-Length")


class _InvalidParamError(ShelfhavenError):
    """A parameter is missing or invalid."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")
        self.name = name
        self.reason = reason


def _is_id(value: object) -> TypeGuard[int]:
    return type(value) is int and 0 < value < NUMBER_LIMIT


def decode(body: bytes) -> Message:
    """Decode the body of one message.

    Raises:
        StreamError: the message has no readable id, so that an answer could not be matched to it.
    """
    message = _decode_object(body)
    method = message.get("method")
    id_ = message.get("id")
    params = message.get("params")
    if method == "cancelRequest" and isinstance(params, dict) and _is_id(params.get("id")):
        return CancelRequest(params["id"])
    if not _is_id(id_):
        raise StreamError("message without a positive integer id")
    if message.get("jsonrpc") != "2.0" or not isinstance(method, str) or not method:
        return InvalidMessage(id_, INVALID_REQUEST, "not a request of JSON-RPC 2.0")
    if method == "alive":
        return HealthCheck(id_)
    if not isinstance(params, dict):
        return InvalidMessage(id_, INVALID_PARAMS, "params: not an object")
    try:
        return _decode_request(id_, method, params)
    except _InvalidParamError as error:
        return InvalidMessage(id_, INVALID_PARAMS, str(error))


def _decode_object(body: bytes) -> JsonObject:
    try:
        message = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise StreamError("message is not valid JSON") from error
    if not isinstance(message, dict):
        raise StreamError("message is not a JSON object")
    return message


def _decode_request(id_: int, method: str, params: JsonObject) -> Request:
    partition_key = _parse_string(params, "row")
    if partition_key and not PARTITION_KEY_PATTERN.match(partition_key):
        raise _InvalidParamError("row", "not a number in hex")
    attempt_id = _parse_string(params, "call")
    if not ATTEMPT_ID_PATTERN.match(attempt_id):
        raise _InvalidParamError("call", "not 16 hex digits")
    return Request(
        id=id_,
        attempt_id=attempt_id,
        class_name=method,
        received_ms=_parse_number(params, "recv", required=True),
        caller=_parse_integer(params, "src"),
        tenant=_parse_string(params, "org"),
        is_retry=params.get("rep") in (1, "1", True),
        work_hint_ms=_parse_number(params, "work"),
        footprint_kb=_parse_footprint(params),
        priority=_parse_number(params, "crit", limit=1),
        idempotency_key=_parse_string(params, "dedupe"),
        partition_key=int(partition_key, 16) if partition_key else 0,
        budget_ms=_parse_number(params, "ttl"),
        body=_parse_body(params),
    )


def _parse_number(
    params: JsonObject, name: str, required: bool = False, limit: float = NUMBER_LIMIT
) -> float:
    """Return a number of at least 0 and below the limit; 0 if it is optional and missing."""
    value = params.get(name)
    if value is None and not required:
        return 0.0
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < limit:
        raise _InvalidParamError(name, f"not a number from 0 to under {limit}")
    return float(value)


def _parse_footprint(params: JsonObject) -> float:
    value = _parse_number(params, "heap", required=True, limit=FOOTPRINT_LIMIT_KB)
    if value == 0:
        raise _InvalidParamError("heap", "not above 0")
    return value


def _parse_integer(params: JsonObject, name: str) -> int:
    value = _parse_number(params, name, required=True)
    if not value.is_integer():
        raise _InvalidParamError(name, "not a whole number")
    return int(value)


def _parse_string(params: JsonObject, name: str) -> str:
    value = params.get(name, "")
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH:
        raise _InvalidParamError(name, "not a short string")
    return value


def _parse_body(params: JsonObject) -> bytes:
    text = params.get("body", "")
    if not isinstance(text, str):
        raise _InvalidParamError("body", "not a string")
    try:
        body = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise _InvalidParamError("body", "not base64") from error
    if len(body) > MAX_BODY_BYTES:
        raise _InvalidParamError("body", "over 2 KiB")
    return body


def _encode_frame(message: JsonObject) -> bytes:
    body = orjson.dumps(message)
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def _encode_response(id_: int, result: JsonObject, load: float | None) -> bytes:
    """Return a response with a result, and the advertised load once there is one."""
    if load is not None:
        result["load"] = load
    return _encode_frame({"jsonrpc": "2.0", "id": id_, "result": result})


def encode_result(id_: int, body: bytes, load: float | None) -> bytes:
    """Return the answer that carries a run's result."""
    return _encode_response(id_, {"body": base64.b64encode(body).decode()}, load)


def encode_error(
    id_: int | None, code: int, message: str, load: float | None, pushback_ms: float = 0.0, stop: bool = False
) -> bytes:
    """Return an answer without a result: to a rejected, failed, cancelled or invalid request.

    `pushback_ms`: the delay before a retry that the caller is advised to keep, 0 for no advice; `stop`: the
    caller should not retry at another server either.
    """
    data: JsonObject = {} if load is None else {"load": load}
    if pushback_ms > 0:
        data["pushback"] = pushback_ms
    if stop:
        data["stop"] = 1
    content: JsonObject = {"code": code, "message": message}
    if data:
        content["data"] = data
    return _encode_frame({"jsonrpc": "2.0", "id": id_, "error": content})


def encode_health(id_: int, healthy: bool, load: float | None) -> bytes:
    """Return the answer to a health check."""
    return _encode_response(id_, {"green": healthy}, load)


UNREADABLE_ANSWER = encode_error(None, PARSE_ERROR, "cannot be read; this connection is closed", None)
SHUTDOWN_NOTICE = _encode_frame({"jsonrpc": "2.0", "method": "shutdown"})
