"""Codec of HTTP/1.1 as far as it is spoken here: calls to the ledger, and answers of and to uwsgi peers.

Owns the encoding of a call and of an answer, and the cutting and decoding of a reply. It must never do I/O,
follow redirects or say what a status means for a request.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

MAX_HEAD = 8 * 1024  # bytes
MAX_BODY = 1 << 20  # bytes
UNKNOWN = -1  # length of a body that ends with its connection


class StreamError(Exception):
    """The bytes are no response that can be read."""


@dataclass(frozen=True, slots=True)
class Reply:
    """One response."""

    status: int
    untouched: bool
    body: bytes
    not_run: bool = False  # it says that nothing ran


class Cutter:
    """Cuts the one reply out of a connection's bytes; what comes after it is nobody's.

    `to_close`: a reply without a length ends with its connection, as those of uwsgi servers may.
    """

    def __init__(self, to_close: bool = False, body_most: int = MAX_BODY) -> None:
        self.to_close, self.body_most = to_close, body_most
        self.unread = bytearray()
        self.head: tuple[int, dict[bytes, bytes]] | None = None

    def feed(self, data: bytes) -> Reply | None:
        """The reply, if it is complete with this data; interim ones (1xx) are passed over."""
        self.unread += data
        while (reply := self._next()) is not None and reply.status < 200:
            pass
        return reply

    def _next(self) -> Reply | None:
        if self.head is None:
            end = self.unread.find(b"\r\n\r\n", 0, MAX_HEAD + 4)
            if end < 0:
                if len(self.unread) > MAX_HEAD:
                    raise StreamError("a head without end")
                return None
            self.head = _head(bytes(self.unread[:end]))
            del self.unread[: end + 4]
        status, fields = self.head
        length = _length(status, fields, self.body_most, self.to_close)
        if length == UNKNOWN:
            if len(self.unread) > self.body_most:
                raise StreamError("a body that is too large")
            return None
        if len(self.unread) < length:
            return None
        body = bytes(self.unread[:length])
        del self.unread[:length]
        return self._reply(status, fields, body)

    def _reply(self, status: int, fields: dict[bytes, bytes], body: bytes) -> Reply:
        self.head = None
        return Reply(status, fields.get(b"x-untouched") == b"1", body, fields.get(b"x-not-run") == b"1")

    def close(self) -> Reply | None:
        """The reply that ends with its connection, if the head is whole and told no length."""
        if self.head is None or _length(*self.head, self.body_most, self.to_close) != UNKNOWN:
            return None
        return self._reply(*self.head, bytes(self.unread))


def _head(head: bytes) -> tuple[int, dict[bytes, bytes]]:
    first, *lines = head.split(b"\r\n")
    version, _, rest = first.partition(b" ")
    digits = rest[:3]
    if not version.startswith(b"HTTP/1.") or len(digits) != 3 or not digits.isdigit():
        raise StreamError("no status line")
    fields: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon:
            raise StreamError("a header line without a colon")
        name, value = name.strip().lower(), value.strip()
        if name == b"content-length" and fields.get(name, value) != value:
            raise StreamError("two lengths")
        fields[name] = value
    return int(digits), fields


def _length(status: int, fields: dict[bytes, bytes], most: int, to_close: bool) -> int:
    if status < 200 or status in (204, 304):
        return 0
    value = fields.get(b"content-length")
    if b"transfer-encoding" in fields or (value is None and not to_close):
        raise StreamError("a body without a length")
    if value is None:
        return UNKNOWN
    if not value.isdigit() or len(value) > 9 or int(value) > most:
        raise StreamError("a length that is no length or too large")
    return int(value)


def post(host: str, txn: str, limit_ms: int, body: bytes) -> bytes:
    """One call."""
    head = (
        f"POST /post HTTP/1.1\r\nHost: {host}\r\nX-Txn-Ref: {txn}\r\nX-Limit-Ms: {limit_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


PHRASES = {status.value: status.phrase for status in HTTPStatus}


def answer(status: int, fields: Iterable[tuple[str, str]], body: bytes, close: bool) -> bytes:
    """One answer, with its length; `close` says that nothing follows on its connection."""
    lines = [f"HTTP/1.1 {status} {PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines += [f"Content-Length: {len(body)}", f"Connection: {'close' if close else 'keep-alive'}"]
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body
