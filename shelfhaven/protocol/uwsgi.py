"""Codec of the uwsgi protocol: packets of variables, with a body behind them, and their HTTP answers' heads.

Owns the cutting of a byte stream into requests and the encoding of requests. It must never do I/O, keep more
than one request's unread bytes, or judge what a variable means beyond CONTENT_LENGTH.

Source: "The uwsgi protocol", uWSGI documentation: a head of four bytes (modifier1, size of the block as 16
bits in little endian, modifier2), then pairs of a 16-bit length and that many bytes for each name and value.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass

HEAD = struct.Struct("<BHB")
SIZE = struct.Struct("<H")
SERVED = 0  # modifier1 of a request for an application; all others are for a uWSGI server itself
BLOCK_MOST = 16 * 1024  # bytes of variables; a gateway sends one to three KiB
BODY_MOST = 64 * 1024  # bytes
NAME_MOST = 256  # bytes of a name
BAD_REQUEST, TOO_LARGE, HEADERS_TOO_LARGE, NOT_IMPLEMENTED = 400, 413, 431, 501


class StreamError(Exception):
    """The stream cannot be cut into requests any further; `status` is the HTTP status that says why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    """One request: its variables, as a gateway sent them, and its body."""

    variables: dict[str, str]
    body: bytes


class Cutter:
    """Cuts one connection's bytes into requests."""

    def __init__(self, block_most: int = BLOCK_MOST, body_most: int = BODY_MOST) -> None:
        self.block_most, self.body_most = block_most, body_most
        self.unread = bytearray()
        self.variables: dict[str, str] | None = None  # of the request whose body is awaited
        self.expected = 0  # bytes of that body

    def feed(self, data: bytes) -> list[Request]:
        """The requests that are complete with this data, in order."""
        self.unread += data
        requests = []
        while (request := self._next()) is not None:
            requests.append(request)
        return requests

    @property
    def begun(self) -> bool:
        """Whether part of a request came."""
        return self.variables is not None or bool(self.unread)

    def _next(self) -> Request | None:
        if self.variables is None:
            if len(self.unread) < HEAD.size:
                if self.unread and self.unread[0] != SERVED:
                    raise StreamError(NOT_IMPLEMENTED, f"modifier1 {self.unread[0]} is not served here")
                return None
            modifier1, size, _ = HEAD.unpack_from(self.unread)
            if modifier1 != SERVED:
                raise StreamError(NOT_IMPLEMENTED, f"modifier1 {modifier1} is not served here")
            if size > self.block_most:
                raise StreamError(HEADERS_TOO_LARGE, f"a block of {size} bytes, over {self.block_most}")
            if len(self.unread) < HEAD.size + size:
                return None
            self.variables = decode(bytes(self.unread[HEAD.size : HEAD.size + size]))
            del self.unread[: HEAD.size + size]
            self.expected = self._length(self.variables)
        if len(self.unread) < self.expected:
            return None
        body = bytes(self.unread[: self.expected])
        del self.unread[: self.expected]
        request, self.variables = Request(self.variables, body), None
        return request

    def _length(self, variables: Mapping[str, str]) -> int:
        text = variables.get("CONTENT_LENGTH", "")
        if not text:
            return 0
        if not (text.isascii() and text.isdigit()) or len(text) > 18:
            raise StreamError(BAD_REQUEST, "CONTENT_LENGTH: no number of bytes")
        if int(text) > self.body_most:
            raise StreamError(TOO_LARGE, f"CONTENT_LENGTH: over {self.body_most} bytes")
        return int(text)


def decode(block: bytes) -> dict[str, str]:
    """The variables of a block. Raises StreamError where it is none."""
    text = block.decode("latin-1")  # once: a byte is a character
    variables: dict[str, str] = {}
    place, end = 0, len(block)
    while place < end:
        middle = _end(block, place, end, "name")
        name = text[place + 2 : middle]
        if not name or len(name) > NAME_MOST:
            raise StreamError(BAD_REQUEST, "a variable without a name, or with one far too long")
        if name in variables:
            raise StreamError(BAD_REQUEST, f"{name}: twice in one request")
        place = _end(block, middle, end, "value")
        variables[name] = text[middle + 2 : place]
    return variables


def _end(block: bytes, place: int, end: int, what: str) -> int:
    """Where the text ends whose length stands at that place."""
    if place + 2 > end:
        raise StreamError(BAD_REQUEST, f"a {what} whose length is past the block's end")
    past = place + 2 + block[place] + (block[place + 1] << 8)
    if past > end:
        raise StreamError(BAD_REQUEST, f"a {what} that is past the block's end")
    return past


def encode(variables: Mapping[str, str], body: bytes = b"") -> bytes:
    """One request. CONTENT_LENGTH is set here, so that it never lies."""
    parts = []
    for name, value in ({**variables, "CONTENT_LENGTH": str(len(body))}).items():
        for text in (name, value):
            data = text.encode("latin-1", "replace")
            parts += [SIZE.pack(len(data)), data]
    block = b"".join(parts)
    if len(block) >= 1 << 16:
        raise ValueError("variables over 64 KiB")
    return HEAD.pack(SERVED, len(block), 0) + block + body
