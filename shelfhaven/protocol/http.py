"""Codec of the calls to the ledger: HTTP/1.1 requests out, responses in.

Owns the encoding of a call and the cutting and decoding of its reply. It must never do I/O, follow
redirects or say what a status means for a request.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEAD = 8 * 1024  # bytes
MAX_BODY = 1 << 20  # bytes


class StreamError(Exception):
    """The bytes are no response that can be read."""


@dataclass(frozen=True, slots=True)
class Reply:
    """One response."""

    status: int
    untouched: bool
    body: bytes


class Cutter:
    """Cuts the one reply out of a connection's bytes; what comes after it is nobody's."""

    def __init__(self) -> None:
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
        length = _length(status, fields)
        if len(self.unread) < length:
            return None
        body = bytes(self.unread[:length])
        del self.unread[:length]
        self.head = None
        return Reply(status, fields.get(b"x-untouched") == b"1", body)


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


def _length(status: int, fields: dict[bytes, bytes]) -> int:
    if status < 200 or status in (204, 304):
        return 0
    value = fields.get(b"content-length")
    if b"transfer-encoding" in fields or value is None:
        raise StreamError("a body without a length")
    if not value.isdigit() or len(value) > 9 or int(value) > MAX_BODY:
        raise StreamError("a length that is no length or too large")
    return int(value)


def post(host: str, txn: str, limit_ms: int, body: bytes) -> bytes:
    """One call."""
    head = (
        f"POST /post HTTP/1.1\r\nHost: {host}\r\nX-Txn-Ref: {txn}\r\nX-Limit-Ms: {limit_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
