"""Codec of the routers' protocol: JSON-RPC 2.0 behind `Content-Length` heads.

Owns the cutting of a byte stream into messages, their decoding into small typed values and the encoding of
answers.  It must never do I/O, keep state beyond one stream's unread bytes, or judge whether to serve.
"""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeAlias, TypeGuard

import orjson

MAX_HEAD = 1024  # bytes; the head is one short line
MAX_MESSAGE = 16 * 1024  # bytes; a body of 2 KiB in base64 beside a dozen short fields
MAX_BODY = 2048  # bytes
MAX_NAME = 256  # characters of a name or key
HEAP_BELOW = 2000  # KB, by the protocol
MAX_ID = 1 << 53  # a number beyond is not exact in JSON
CALL = re.compile(r"[0-9a-f]{16}\Z")
ROW = re.compile(r"[0-9a-f]{1,16}\Z")

PARSE_ERROR, INVALID_REQUEST, NO_METHOD, INVALID_PARAMS = -32700, -32600, -32601, -32602
REFUSED, FAILED, CANCELLED = -32000, -32001, -32800


class StreamError(Exception):
    """The stream cannot be cut into messages any further."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request of some class; times as told, in milliseconds."""

    id: int
    call: str
    cls: str
    recv: float
    src: int
    org: str
    rep: bool
    work: float
    heap: float
    crit: float
    dedupe: str
    row: int
    ttl: float
    body: bytes


@dataclass(frozen=True, slots=True)
class Cancel:
    """The router has stopped waiting for the request with this id."""

    id: int


@dataclass(frozen=True, slots=True)
class Check:
    """A health check."""

    id: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """A message that asks for an answer and cannot be served as it is."""

    id: int
    code: int
    message: str


Message: TypeAlias = Request | Cancel | Check | Invalid


class Cutter:
    """Cuts one connection's bytes into the bodies of messages."""

    def __init__(self) -> None:
        self.unread = bytearray()
        self.expected = -1  # length of the body whose head was read

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The bodies that are complete with this data, in order.

        Raises StreamError after the last of them where the stream cannot be cut any further.
        """
        self.unread += data
        while (body := self._next()) is not None:
            yield body

    def _next(self) -> bytes | None:
        if self.expected < 0:
            end = self.unread.find(b"\r\n\r\n", 0, MAX_HEAD + 4)
            if end < 0:
                if len(self.unread) > MAX_HEAD:
                    raise StreamError("a head without end")
                return None
            self.expected = _length(bytes(self.unread[:end]))
            del self.unread[: end + 4]
        if len(self.unread) < self.expected:
            return None
        body = bytes(self.unread[: self.expected])
        del self.unread[: self.expected]
        self.expected = -1
        return body


def _length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            digits = value.strip()
            if digits.isdigit() and len(digits) < 10 and int(digits) <= MAX_MESSAGE:
                return int(digits)
            raise StreamError("a length that is no length or too large")
    raise StreamError("a head without a length")


class _BadParam(Exception):
    """A parameter that is missing or of the wrong kind."""


def _is_id(value: Any) -> TypeGuard[int]:
    return type(value) is int and 0 < value < MAX_ID


def decode(body: bytes) -> Message:
    """The typed value of one message.

    Raises StreamError where not even an id can be read: no answer could be told from another then.
    """
    try:
        message = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise StreamError("a body that is no JSON") from error
    if not isinstance(message, dict):
        raise StreamError("a message that is no object")
    method, id_, params = message.get("method"), message.get("id"), message.get("params")
    if method == "cancelRequest" and isinstance(params, dict) and _is_id(params.get("id")):
        return Cancel(params["id"])
    if not _is_id(id_):
        raise StreamError("a message without an id that is a number from 1 up")
    if message.get("jsonrpc") != "2.0" or not isinstance(method, str) or not method:
        return Invalid(id_, INVALID_REQUEST, "not a request of JSON-RPC 2.0")
    if method == "alive":
        return Check(id_)
    if not isinstance(params, dict):
        return Invalid(id_, INVALID_PARAMS, "params: not an object")
    try:
        return _request(id_, method, params)
    except _BadParam as error:
        return Invalid(id_, INVALID_PARAMS, str(error))


def _request(id_: int, method: str, params: dict[str, Any]) -> Request:
    row = _text(params, "row")
    if row and not ROW.match(row):
        raise _BadParam("row: not a number in hex")
    call = _text(params, "call")
    if not CALL.match(call):
        raise _BadParam("call: not 16 hex digits")
    return Request(
        id=id_,
        call=call,
        cls=method,
        recv=_number(params, "recv", needed=True),
        src=_whole(params, "src"),
        org=_text(params, "org"),
        rep=params.get("rep") in (1, "1", True),
        work=_number(params, "work"),
        heap=_heap(params),
        crit=_number(params, "crit", below=1),
        dedupe=_text(params, "dedupe"),
        row=int(row, 16) if row else 0,
        ttl=_number(params, "ttl"),
        body=_body(params),
    )


def _number(params: dict[str, Any], name: str, needed: bool = False, below: float = MAX_ID) -> float:
    value = params.get(name)
    if value is None and not needed:
        return 0.0
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < below:
        raise _BadParam(f"{name}: not a number from 0 to under {below}")
    return float(value)


def _heap(params: dict[str, Any]) -> float:
    value = _number(params, "heap", needed=True, below=HEAP_BELOW)
    if value == 0:
        raise _BadParam("heap: not above 0")
    return value


def _whole(params: dict[str, Any], name: str) -> int:
    value = _number(params, name, needed=True)
    if not value.is_integer():
        raise _BadParam(f"{name}: not a whole number")
    return int(value)


def _text(params: dict[str, Any], name: str) -> str:
    value = params.get(name, "")
    if not isinstance(value, str) or len(value) > MAX_NAME:
        raise _BadParam(f"{name}: not a short string")
    return value


def _body(params: dict[str, Any]) -> bytes:
    text = params.get("body", "")
    if not isinstance(text, str):
        raise _BadParam("body: not a string")
    try:
        body = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise _BadParam("body: not base64") from error
    if len(body) > MAX_BODY:
        raise _BadParam("body: over 2 KiB")
    return body


def _frame(message: dict[str, Any]) -> bytes:
    body = orjson.dumps(message)
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def _loaded(fields: dict[str, Any], load: float | None) -> dict[str, Any]:
    """An answer's fields, with the published value once there is one."""
    return fields if load is None else fields | {"load": load}


def served(id_: int, body: bytes, load: float | None) -> bytes:
    """The answer that carries a run's result."""
    result = _loaded({"body": base64.b64encode(body).decode()}, load)
    return _frame({"jsonrpc": "2.0", "id": id_, "result": result})


def error(
    id_: int | None, code: int, message: str, load: float | None, pushback_ms: float = 0.0, stop: bool = False
) -> bytes:
    """An answer that carries no result: refused, failed or invalid."""
    data = _loaded({}, load)
    if pushback_ms > 0:
        data["pushback"] = pushback_ms
    if stop:
        data["stop"] = 1
    content: dict[str, Any] = {"code": code, "message": message}
    if data:
        content["data"] = data
    return _frame({"jsonrpc": "2.0", "id": id_, "error": content})


def health(id_: int, good: bool, load: float | None) -> bytes:
    """The answer to a health check."""
    result = _loaded({"green": good}, load)
    return _frame({"jsonrpc": "2.0", "id": id_, "result": result})


UNREADABLE = error(None, PARSE_ERROR, "cannot be read; this connection is closed", None)
SHUTDOWN = _frame({"jsonrpc": "2.0", "method": "shutdown"})
