"""The frontend for proxies that ask by a plain HTTP/1.1 subrequest, whose status is the verdict.

This module encodes verdicts as HTTP responses.  Method and target of the
proxied request are taken from X-Original-Method and X-Original-URI, or else from the subrequest itself.

Such a proxy does not report how a run ended, so every run ends when its lease expires.  Therefore the time
that runs take is not measured, duplicates of an idempotency key get no result, and the capacity of the
service behind the proxy stays at the value that the operator configured.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from shelfhaven.frontends.consulting import (
    OVERLOAD_RETRY_AFTER_S,
    ConsultationSession,
    ProxyListener,
    ProxyListenerContext,
)
from shelfhaven.frontends.listener import Listener
from shelfhaven.frontends.stream import DetachableStream
from shelfhaven.frontends.subrequest_connection import SubrequestConnection
from shelfhaven.operator_config import Listen
from shelfhaven.protocol.http import REASON_PHRASES, response_content
from shelfhaven.routing import processor_policy
from shelfhaven.routing.processor_policy import ConsultationStage
from shelfhaven.routing.request_mapping import MappingError, RequestMapping
from shelfhaven.server import messages

MILLISECONDS_PER_SECOND = 1000
ORIGINAL_FIELDS = ("X-Original-Method", "X-Original-Uri")  # of the proxied request, as the library names them
CONFLICT = 409  # status of the answer to a duplicate whose original has run


class Subrequest(ConsultationSession):
    """One subrequest.

    Attributes:
        status: HTTP status of the response.
        headers: headers of the response, except those that `SubrequestListener` adds.
    """

    sends_body = False

    def __init__(self, listener: ProxyListener, peer: str, request: HTTPServerRequest) -> None:
        super().__init__(listener, peer)
        self.request = request
        self.consultation.never_reports = True
        self.status: int = HTTPStatus.OK
        self.headers = HTTPHeaders()

    async def response_body(self) -> bytes:
        """Wait for the verdict; set the status and headers of the response and return its body."""
        try:
            self._map_request(_cgi_variables(self.request))
        except MappingError as error:
            (verdict,) = self.consultation.mapping_failed(error.status, str(error))
            assert isinstance(verdict, processor_policy.ImmediateResponse)
            return self._encode_immediate(verdict)
        self.consultation.request_headers(end_of_stream=True)  # the proxy does not send the request's body
        return await self._submit(b"")

    @property
    def has_run(self) -> bool:
        """Whether the proxy was told to forward the request, and the core waits for the end of its run."""
        consultation = self.consultation
        return consultation.stage is ConsultationStage.CONTINUED and not consultation.answered_in_shadow

    def withdraw(self) -> None:
        """Stop waiting for the verdict, as the proxy has closed the connection."""
        if self.verdict and not self.verdict.done():
            self.verdict.cancel()

    def _encode_continue(
        self, _verdict: processor_policy.Continue, launch: messages.LaunchRun | None
    ) -> bytes:
        if launch:
            budget_ms = max(0, int(launch.time_left * MILLISECONDS_PER_SECOND))
            self.headers["X-Budget-Left-Ms"] = str(budget_ms)
        return b""

    def _encode_immediate(self, verdict: processor_policy.ImmediateResponse) -> bytes:
        is_rejected = verdict.status == HTTPStatus.SERVICE_UNAVAILABLE and verdict.not_run
        self.status = self.listener.listen.reject_status if is_rejected else verdict.status
        if verdict.result is not None:  # the original has run, so the proxy must not forward the duplicate
            self.status = CONFLICT
        if verdict.not_run:
            self.headers["X-Not-Run"] = "1"
        if verdict.retry_after > 0:
            self.headers["Retry-After"] = str(math.ceil(verdict.retry_after))
            self.headers["X-Retry-After-Ms"] = str(math.ceil(verdict.retry_after * MILLISECONDS_PER_SECOND))
        return verdict.result if verdict.result is not None else f"{verdict.text}\n".encode()


class SubrequestListener(ProxyListener):
    """Actor of one listener for subrequests; its connections are those of a `Listener`."""

    def __init__(self, listen: Listen, mapping: RequestMapping, context: ProxyListenerContext) -> None:
        super().__init__(listen, mapping, context)
        self.listener = Listener(
            listen.address,
            context.descriptors,
            self._make_connection,
            self.log,
            listen.max_connections,
            context.receive_buffers,
        )
        self.connection_numbers = itertools.count(1)
        self.stopped = False  # whether it no longer listens; what was sent before gets a verdict still

    def _make_connection(self, stream: DetachableStream, peer: str) -> SubrequestConnection:
        name = f"{peer} {next(self.connection_numbers)}"

        async def handle(request: HTTPServerRequest) -> None:
            """Serve one request of this peer."""
            request.remote_ip = peer
            await self._serve(request, name)

        return SubrequestConnection(stream, self.listen, self._is_field_used, handle, self.log)

    def _is_field_used(self, name: str) -> bool:
        return name in ORIGINAL_FIELDS or _variable_name(name) in self.mapping.variable_names

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: the address cannot be bound.
        """
        self.listener.start()
        self._measure_load()

    def begin_drain(self) -> None:
        """Begin the graceful shutdown; requests of proxies are still answered."""
        super().begin_drain()
        self.listener.begin_drain()

    def stop_listening(self, _time_left: float) -> None:
        """Stop listening, after accepting the whole backlog; connections stay until `end`."""
        self.stopped = True
        self.listener.stop_listening()

    def open_requests(self) -> int:
        """Return the number of requests without a response."""
        return self.listener.open_requests()

    def has_connections(self) -> bool:
        """Return whether a connection is open; what was sent on it may still be unread."""
        return bool(self.listener.connections)

    async def end(self, time_left: float) -> None:
        """Close each connection once its requests are answered, within `time_left` seconds."""
        self._stop_load_measurement()
        await self.listener.close_connections(time_left)

    async def _serve(self, request: HTTPServerRequest, connection: str) -> None:
        if request.path == self.listen.health_path:
            status = HTTPStatus.OK if self.is_healthy() else HTTPStatus.SERVICE_UNAVAILABLE
            self._respond(request, status, HTTPHeaders(), b"")
            return
        if self.stopped and not self._has_key(request):
            self._reject_unread(request, {"X-Not-Run": "1"})
            return
        if not self.admit(connection):
            self._reject_unread(request, {})
            return
        subrequest = Subrequest(self, request.remote_ip or "", request)
        try:
            await self._consult(subrequest)
        except asyncio.CancelledError:
            pass  # the proxy has closed the connection, so there is no response to send
        finally:
            self.streams.release_stream()
            if not subrequest.has_run:  # otherwise its lease goes on, and ends the run
                subrequest.closed()

    def _has_key(self, request: HTTPServerRequest) -> bool:
        """Return whether the core may know of an earlier attempt of a request, by its idempotency key."""
        try:
            mapped = self.mapping.map_request(
                time.monotonic(), _cgi_variables(request), request.remote_ip or "", 0
            )
        except MappingError:
            return False
        return bool(mapped.idempotency_key)

    def _reject_unread(self, request: HTTPServerRequest, fields: dict[str, str]) -> None:
        """Reject a request that is not passed on to the core."""
        headers = HTTPHeaders(fields)
        headers["Retry-After"] = str(math.ceil(OVERLOAD_RETRY_AFTER_S))
        self._respond(request, self.listen.reject_status, headers, b"not looked at\n")

    async def _consult(self, subrequest: Subrequest) -> None:
        """Wait for the verdict and respond with it, unless the proxy closes the connection first."""
        connection = _http_connection(subrequest.request)
        connection.set_close_callback(subrequest.withdraw)
        body = await subrequest.response_body()
        if subrequest.load is not None:
            subrequest.headers["X-Load"] = f"{subrequest.load:g}"
        connection.set_close_callback(None)
        self._respond(subrequest.request, subrequest.status, subrequest.headers, body)

    def _respond(self, request: HTTPServerRequest, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a response.  The library refuses a body on a request by HEAD, and would end the connection."""
        headers["Content-Length"] = str(len(body))
        if self.draining:
            headers["Connection"] = "close"
        connection = _http_connection(request)
        try:
            start_line = ResponseStartLine("HTTP/1.1", status, REASON_PHRASES.get(status, "Unknown"))
            connection.write_headers(start_line, headers, response_content(request.method or "", body))
            connection.finish()
        except (OSError, StreamClosedError):
            self.log.event("proxy_gone", peer=request.remote_ip)


def _cgi_variables(request: HTTPServerRequest) -> dict[str, str]:
    """Return the proxied request as CGI variables, which the mapping reads."""
    headers = request.headers
    target = headers.get("X-Original-URI", request.uri or "")
    variables = {_variable_name(name): value for name, value in headers.get_all()}
    variables["PATH_INFO"], _, variables["QUERY_STRING"] = target.partition("?")
    variables["REQUEST_METHOD"] = headers.get("X-Original-Method", request.method or "")
    return variables


def _variable_name(field_name: str) -> str:
    """Return the name of the CGI variable of a header field."""
    name = field_name.upper().replace("-", "_")
    return name if name == "CONTENT_TYPE" else f"HTTP_{name}"


def _http_connection(request: HTTPServerRequest) -> HTTP1Connection:
    """Return the connection of a request; this server has only HTTP/1.1 connections."""
    connection = request.connection
    assert isinstance(connection, HTTP1Connection)
    return connection
