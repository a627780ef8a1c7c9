"""Codec of the parts of HTTP/1.1 in use: calls to the ledger, responses of uwsgi servers and to gateways.

`ResponseParser` turns received bytes into a response; `encode_ledger_call` and `encode_response` turn calls
and responses into bytes.  This module does no I/O, follows no redirects and does not decide what a status
means for a request.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

from shelfhaven.errors import ShelfhavenError
from shelfhaven.protocol.framing import parse_length

MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 1 << 20
HEAD_END = b"\r\n\r\n"
HEAD = "HEAD"  # method that asks for the header fields alone
FIRST_FINAL_STATUS = 200  # a smaller status is interim: the final response follows
STATUS_DIGITS = 3
BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)  # RFC 9112, section 6.3
NOT_RUN = ("X-Not-Run", "1")  # field of a response to a request that did not run
RETRY_SOON = ("Retry-After", "1")  # in seconds, the least that the field can say
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


class StreamError(ShelfhavenError):
    """The received bytes are not a valid response, or not one that this codec supports."""


@dataclass(frozen=True, slots=True)
class Response:
    """One response.

    Attributes:
        untouched: whether the ledger states that the call changed nothing (`X-Untouched`).
        not_run: whether the backend states that nothing ran (`X-Not-Run`).
    """

    status: int
    untouched: bool
    body: bytes
    not_run: bool = False


@dataclass(frozen=True, slots=True)
class _Head:
    """Status and header fields of a response; field names are in lower case."""

    status: int
    fields: dict[bytes, bytes]


class ResponseParser:
    """Parses the one response that is expected on a connection; bytes after it stay in `unread`.

    With `read_until_close`, a response without a length extends to the end of its connection, as is common
    for uwsgi servers.  `method`: that of the request; a response to HEAD ends with its header fields.
    """

    def __init__(
        self, read_until_close: bool = False, max_body_bytes: int = MAX_BODY_BYTES, method: str = ""
    ) -> None:
        self.read_until_close = read_until_close
        self.max_body_bytes = max_body_bytes
        self.method = method
        self.unread = bytearray()
        self._head: _Head | None = None

    def feed(self, data: bytes) -> Response | None:
        """Add received data; return the response if it is now complete.  Interim ones (1xx) are skipped.

        Raises:
            StreamError: the bytes are not a valid response, or it is too large.
        """
        self.unread += data
        response = self._next_response()
        while response is not None and response.status < FIRST_FINAL_STATUS:
            response = self._next_response()
        return response

    def close(self) -> Response | None:
        """Take the end of the connection; return the response that it completes, if there is one.

        That is a response whose head was received and gave no length.
        """
        if self._head is None or self._body_length(self._head) is not None:
            return None
        return self._finish_response(self._head, bytes(self.unread))

    def _next_response(self) -> Response | None:
        if self._head is None:
            self._head = self._read_head()
        if self._head is None:
            return None
        length = self._body_length(self._head)
        if length is None:
            if len(self.unread) > self.max_body_bytes:
                raise StreamError("body exceeds the size limit")
            return None
        if len(self.unread) < length:
            return None
        body = bytes(self.unread[:length])
        del self.unread[:length]
        return self._finish_response(self._head, body)

    def _read_head(self) -> _Head | None:
        """Return the next head; None until it is complete."""
        end = self.unread.find(HEAD_END, 0, MAX_HEAD_BYTES + len(HEAD_END))
        if end < 0:
            if len(self.unread) > MAX_HEAD_BYTES:
                raise StreamError("header exceeds the size limit")
            return None
        head = _decode_head(bytes(self.unread[:end]))
        del self.unread[: end + len(HEAD_END)]
        return head

    def _finish_response(self, head: _Head, body: bytes) -> Response:
        self._head = None
        untouched = head.fields.get(b"x-untouched") == b"1"
        not_run = head.fields.get(b"x-not-run") == b"1"
        return Response(head.status, untouched, body, not_run)

    def _body_length(self, head: _Head) -> int | None:
        """Return the length of the body; None if the body extends to the end of the connection."""
        if self.method == HEAD or head.status < FIRST_FINAL_STATUS or head.status in BODILESS_STATUSES:
            return 0
        value = head.fields.get(b"content-length")
        if b"transfer-encoding" in head.fields or (value is None and not self.read_until_close):
            raise StreamError("body without a Content-Length")
        if value is None:
            return None
        length = parse_length(value, self.max_body_bytes)
        if length is None:
            raise StreamError("invalid or too large Content-Length")
        return length


def _decode_head(head: bytes) -> _Head:
    status_line, *lines = head.split(b"\r\n")
    return _Head(_decode_status(status_line), _decode_fields(lines))


def _decode_status(status_line: bytes) -> int:
    version, _, rest = status_line.partition(b" ")
    digits = rest[:STATUS_DIGITS]
    if not version.startswith(b"HTTP/1.") or len(digits) != STATUS_DIGITS or not digits.isdigit():
        raise StreamError("invalid status line")
    return int(digits)


def _decode_fields(lines: list[bytes]) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for line in lines:
        raw_name, colon, raw_value = line.partition(b":")
        if not colon:
            raise StreamError("header line without a colon")
        name = raw_name.strip().lower()
        value = raw_value.strip()
        if name == b"content-length" and fields.get(name, value) != value:
            raise StreamError("conflicting Content-Length fields")
        fields[name] = value
    return fields


def encode_ledger_call(host: str, transaction_ref: str, timeout_ms: int, body: bytes) -> bytes:
    """Return the bytes of a call to the ledger."""
    head = (
        f"POST /post HTTP/1.1\r\nHost: {host}\r\nX-Txn-Ref: {transaction_ref}\r\nX-Limit-Ms: {timeout_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def unread_request_fields(status: int) -> list[tuple[str, str]]:
    """Return the header fields of a response to a request that was not read or not handled to its end.

    Where it invites another try it does not state that nothing ran: an earlier try of the same request may
    have run, which only its key could tell.
    """
    match status:
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return [RETRY_SOON]
        case HTTPStatus.INTERNAL_SERVER_ERROR:
            return []
        case _:
            return [NOT_RUN]


def response_content(method: str, body: bytes) -> bytes:
    """Return what follows the header fields: a response to HEAD ends with them, whatever its length says."""
    return b"" if method == HEAD else body


def encode_response(
    status: int, fields: Iterable[tuple[str, str]], body: bytes, close: bool, method: str = ""
) -> bytes:
    """Return the bytes of a response to a request with this method; empty: it is not known.

    `close`: the connection is closed after the response.
    """
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines += [f"Content-Length: {len(body)}", f"Connection: {'close' if close else 'keep-alive'}"]
    head = "\r\n".join(lines).encode("latin-1", "replace") + HEAD_END
    return head + response_content(method, body)
