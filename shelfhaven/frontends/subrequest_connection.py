"""A connection of a proxy that asks by HTTP subrequests, one at a time; Tornado parses them.

How the connection is accepted, kept and closed is the same as for other callers: see `Connection` and
`Listener`.  A request whose first byte has arrived is answered before the connection closes.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TypeAlias

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from shelfhaven.backends.failure_boundary import FailureBoundary
from shelfhaven.frontends.connection import (
    Connection,
    ConnectionState,
    UnreadableStreamError,
)
from shelfhaven.frontends.peer_presence import PeerPresence, peer_presence
from shelfhaven.frontends.stream import DetachableStream
from shelfhaven.operator_config import Listen
from shelfhaven.protocol import http
from shelfhaven.server import messages
from shelfhaven.server.log import Log

MAX_HEADER_BYTES = 32 * 1024
UNUSED_HOST = "localhost"
MAX_HEADER_FIELDS = 512  # of a request; parsing thousands of short ones takes as long as hundreds of requests
LINES_BESIDE_FIELDS = 2  # the request line and the empty line
# Header fields that the library reads after it has handed them over, named as it does.
LIBRARY_FIELDS = frozenset(("Content-Length", "Transfer-Encoding", "Connection", "Expect", "Host"))
IDLE_TIMEOUT_S = 60.0  # after which a connection without a request is closed

Handler: TypeAlias = Callable[[HTTPServerRequest], Awaitable[None]]


class SubrequestConnection(Connection):
    """Actor of one connection of a proxy.

    Attributes:
        is_field_used: tells whether a header field, named as the library does, is needed to serve a request.
        handle: serves one request and writes its response to the request's connection, unless that is closed.
        method_in_service: method of the request that is being served; empty if there is none.
    """

    def __init__(
        self,
        stream: DetachableStream,
        listen: Listen,
        is_field_used: Callable[[str], bool],
        handle: Handler,
        log: Log,
    ) -> None:
        super().__init__(stream, log)
        self.is_field_used = is_field_used
        stream.detach_on_close()  # also where the HTTP library closes it
        stream.on_received = self._record_buffered_bytes
        self.handle = handle
        self.message_timeout = listen.request_timeout
        self.parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=listen.consult.max_body_bytes,
            header_timeout=IDLE_TIMEOUT_S,
            body_timeout=listen.request_timeout,
        )
        self.method_in_service = ""
        self.request_ref = 0  # of the current or last request
        self.task: asyncio.Task[None] | None = None  # serves the current or last request

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are kept of an incomplete request."""
        return self.stream.unread_bytes

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a request has been read, or all of one that follows an unanswered one."""
        return self.stream.unread_bytes > 0

    def is_message_overdue(self, now: float) -> bool:
        """Whether the first request, or the rest of an incomplete one, has not come in time."""
        if self.unanswered or not (self.silent or self.has_partial_message):
            self.message_awaited_since = now  # an incomplete request can only begin after this
            return False
        return super().is_message_overdue(now)

    def is_evictable(self, now: float) -> bool:
        """Whether the connection can be closed at once: it is idle, and its first request has come."""
        return not self.silent and super().is_evictable(now)

    def announce_shutdown(self) -> None:
        """Do nothing: HTTP can say this only in a response."""

    async def _serve(self) -> None:
        """Read and serve requests until the stream ends."""
        while self.state is ConnectionState.OPEN and not self.stream.closed():
            connection = _ServerConnection(self.stream, False, self.parameters)
            reader = _RequestReader(connection, self.is_field_used, self._begin_request)
            try:
                await connection.read_response(reader)
            except StreamClosedError as error:
                if not isinstance(error.real_error, UnsatisfiableReadError):
                    raise
                self._reject_headers()
            if self.task:
                await asyncio.wait([self.task])

    def _begin_request(self, request: HTTPServerRequest) -> None:
        if self.stream.closed() or peer_presence(self.stream.socket) is PeerPresence.GONE:
            self.stream.close()  # the proxy has left: what it sent before is of no use
            return
        self._record_message()
        self._record_buffered_bytes()
        self.request_ref += 1
        self.unanswered.add(self.request_ref)
        self.method_in_service = request.method or ""
        self.task = asyncio.get_running_loop().create_task(self._serve_request(request, self.request_ref))

    async def _serve_request(self, request: HTTPServerRequest, request_ref: int) -> None:
        is_served = False
        try:
            with FailureBoundary(self.log, "proxy_failed"):
                await self.handle(request)
                is_served = True
        finally:
            self.unanswered.discard(request_ref)
            self.last_used_at = time.monotonic()
        if not is_served:
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            self.fail_unreadable(UnreadableStreamError(messages.INTERNAL_ERROR_TEXT, status))
        self.method_in_service = ""
        self._close_if_done()

    def _reject_headers(self) -> None:
        """Answer a request whose headers are too large; the library has closed the stream already."""
        error = UnreadableStreamError("headers too large", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        self.log.event("connection_broken", error=str(error), open=0)
        if self.stream.detached_socket:
            with contextlib.suppress(OSError):
                self.stream.detached_socket.send(self._encode_unreadable(error))

    def _discard_partial_message(self) -> None:
        """Do nothing: what the library has received goes with its stream."""

    def _cancel_unanswered(self) -> None:
        if self.task:
            self.task.cancel()

    def _encode_unreadable(self, error: UnreadableStreamError) -> bytes:
        status = error.code or HTTPStatus.BAD_REQUEST
        fields = http.unread_request_fields(status)
        text = f"{error}\n".encode()
        return http.encode_response(status, fields, text, close=True, method=self.method_in_service)


class _ServerConnection(HTTP1Connection):
    """The library's connection, with a limit on the number of header fields."""

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        if data.count(b"\n") > MAX_HEADER_FIELDS + LINES_BESIDE_FIELDS:
            error = UnsatisfiableReadError("too many header fields")
            self.stream.close(error)
            raise StreamClosedError(real_error=error)
        return super()._parse_headers(data)


class _RequestReader(HTTPMessageDelegate):
    """Receives one request from the library; its body and the header fields of no use are discarded.

    The library keeps the header fields until the request is answered, in twenty times the size that they had.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        is_field_used: Callable[[str], bool],
        begin_request: Callable[[HTTPServerRequest], None],
    ) -> None:
        self.connection = connection
        self.is_field_used = is_field_used
        self.begin_request = begin_request
        self.request: HTTPServerRequest | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Receive the headers."""
        assert isinstance(start_line, RequestStartLine)
        for name in list(headers):
            if name not in LIBRARY_FIELDS and not self.is_field_used(name):
                del headers[name]
        self.request = HTTPServerRequest(
            connection=self.connection,
            start_line=start_line,
            headers=headers,
            host=UNUSED_HOST,  # the library would raise an error on some ports in the header field
        )

    def finish(self) -> None:
        """Receive the end of the request."""
        assert self.request
        self.begin_request(self.request)
