"""Codec of the uwsgi protocol: packets of variables, each followed by a body.

`RequestParser` turns received bytes into requests, `encode` turns a request into bytes.  This module does no
I/O, buffers the unread bytes of at most one request and interprets no variable but CONTENT_LENGTH.

The format is that of "The uwsgi protocol" in the uWSGI documentation: a header of four bytes (modifier1, the
size of the block as a 16-bit little-endian integer, modifier2), then the block, which holds the names and
values of the variables in turn, each as a 16-bit little-endian length and that many bytes.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

from shelfhaven.errors import ShelfhavenError

HEADER = struct.Struct("<BHB")
STRING_LENGTH = struct.Struct("<H")
APPLICATION_REQUEST = 0  # modifier1 of a request to an application; others address the uWSGI server itself
BLOCK_SIZE_LIMIT = 1 << 16  # bytes; a block is smaller, as its size has 16 bits
MAX_BLOCK_BYTES = 16 * 1024  # gateways send 1 to 3 KiB of variables
MAX_BODY_BYTES = 64 * 1024
MAX_NAME_BYTES = 256
MAX_VARIABLES = 512  # of a request; gateways send two dozen and one for each header field
MAX_CONTENT_LENGTH_DIGITS = 18  # bounds the cost of the conversion: a peer may send thousands of digits
CONTENT_LENGTH = "CONTENT_LENGTH"


class StreamError(ShelfhavenError):
    """The stream cannot be split into requests any further; `status` is the HTTP status of the answer."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    """One request: its variables, as a gateway sent them, and its body."""

    variables: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class _PendingBody:
    """A request whose body has not arrived completely.

    The block is kept as it came: thousands of short variables take twenty times its size once decoded.
    """

    block: bytes
    length: int


class RequestParser:
    """Splits one connection's bytes into requests."""

    def __init__(self, max_block_bytes: int = MAX_BLOCK_BYTES, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_block_bytes = max_block_bytes
        self.max_body_bytes = max_body_bytes
        self.unread = bytearray()
        self._pending: _PendingBody | None = None

    def feed(self, data: bytes) -> list[Request]:
        """Add received data; return the requests that are now complete, in order.

        Raises:
            StreamError: the stream cannot be split any further.
        """
        self.unread += data
        requests = []
        while (request := self._next_request()) is not None:
            requests.append(request)
        return requests

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._pending is not None or bool(self.unread)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are kept of an incomplete request."""
        return len(self.unread) + (len(self._pending.block) if self._pending else 0)

    def discard(self) -> None:
        """Forget the incomplete request."""
        self.unread.clear()
        self._pending = None

    def _next_request(self) -> Request | None:
        variables = None
        if self._pending is None:
            block = self._read_block()
            if block is None:
                return None
            variables = decode_block(block)
            self._pending = _PendingBody(block, self._parse_content_length(variables))
        pending = self._pending
        if len(self.unread) < pending.length:
            return None
        body = bytes(self.unread[: pending.length])
        del self.unread[: pending.length]
        self._pending = None
        return Request(variables or decode_block(pending.block), body)

    def _read_block(self) -> bytes | None:
        """Return the block of the next request's variables; None until it is complete."""
        if self.unread and self.unread[0] != APPLICATION_REQUEST:
            raise StreamError(HTTPStatus.NOT_IMPLEMENTED, f"modifier1 {self.unread[0]} is not served here")
        if len(self.unread) < HEADER.size:
            return None
        _, size, _ = HEADER.unpack_from(self.unread)
        if size > self.max_block_bytes:
            reason = f"a block of {size} bytes, over {self.max_block_bytes}"
            raise StreamError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason)
        end = HEADER.size + size
        if len(self.unread) < end:
            return None
        block = bytes(self.unread[HEADER.size : end])
        del self.unread[:end]
        return block

    def _parse_content_length(self, variables: Mapping[str, str]) -> int:
        digits = variables.get(CONTENT_LENGTH, "")
        if not digits:
            return 0
        if not (digits.isascii() and digits.isdigit()) or len(digits) > MAX_CONTENT_LENGTH_DIGITS:
            raise StreamError(HTTPStatus.BAD_REQUEST, "CONTENT_LENGTH: no number of bytes")
        length = int(digits)
        if length > self.max_body_bytes:
            reason = f"CONTENT_LENGTH: over {self.max_body_bytes} bytes"
            raise StreamError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason)
        return length


def decode_block(block: bytes) -> dict[str, str]:
    """Return the variables of a block.

    Raises:
        StreamError: the block is malformed.
    """
    text = block.decode("latin-1")  # one character per byte: positions in the text are those in the block
    variables: dict[str, str] = {}
    position = 0
    while position < len(block):
        name_end = _string_end(block, position, "name")
        name = text[position + STRING_LENGTH.size : name_end]
        if not name or len(name) > MAX_NAME_BYTES:
            reason = "a variable without a name, or with one far too long"
            raise StreamError(HTTPStatus.BAD_REQUEST, reason)
        if name in variables:
            raise StreamError(HTTPStatus.BAD_REQUEST, f"{name}: twice in one request")
        if len(variables) == MAX_VARIABLES:
            reason = f"over {MAX_VARIABLES} variables"
            raise StreamError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason)
        position = _string_end(block, name_end, "value")
        variables[name] = text[name_end + STRING_LENGTH.size : position]
    return variables


def _string_end(block: bytes, position: int, kind: str) -> int:
    """Return the end of the string whose length is at this position; `kind` is used in error messages."""
    start = position + STRING_LENGTH.size
    if start > len(block):
        raise StreamError(HTTPStatus.BAD_REQUEST, f"a {kind} whose length is past the block's end")
    end = start + block[position] + (block[position + 1] << 8)
    if end > len(block):
        raise StreamError(HTTPStatus.BAD_REQUEST, f"a {kind} that is past the block's end")
    return end


def encode(variables: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request; CONTENT_LENGTH is set to the length of the body.

    Raises:
        ValueError: the variables do not fit in a packet.
    """
    chunks = []
    for name, value in ({**variables, CONTENT_LENGTH: str(len(body))}).items():
        for text in (name, value):
            data = text.encode("latin-1", "replace")
            chunks += [STRING_LENGTH.pack(len(data)), data]
    block = b"".join(chunks)
    if len(block) >= BLOCK_SIZE_LIMIT:
        raise ValueError("variables over 64 KiB")
    return HEADER.pack(APPLICATION_REQUEST, len(block), 0) + block + body
