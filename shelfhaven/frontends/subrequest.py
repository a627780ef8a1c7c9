"""The frontend for proxies that ask by a plain HTTP/1.1 subrequest, whose status is the verdict.

This module runs Tornado's HTTP server and encodes verdicts as HTTP responses.  Method and target of the
proxied request are taken from X-Original-Method and X-Original-URI, or else from the subrequest itself.

Such a proxy does not report how a run ended, so every run ends when its lease expires.  Therefore the time
that runs take is not measured, duplicates of an idempotency key get no result, and the capacity of the
service behind the proxy stays at the value that the operator configured.
"""

from __future__ import annotations

import asyncio
import math
from http import HTTPStatus
from pathlib import Path

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets, bind_unix_socket

from shelfhaven.frontends.consulting import (
    OVERLOAD_RETRY_AFTER_S,
    ConsultationSession,
    ProxyListener,
    ProxyListenerContext,
)
from shelfhaven.operator_config import Listen
from shelfhaven.protocol.http import REASON_PHRASES
from shelfhaven.routing import processor_policy
from shelfhaven.routing.processor_policy import ConsultationStage
from shelfhaven.routing.request_mapping import MappingError, RequestMapping
from shelfhaven.server import messages

MAX_HEADER_BYTES = 32 * 1024
IDLE_TIMEOUT_S = 60.0  # after which a connection without a request is closed
MILLISECONDS_PER_SECOND = 1000
CONFLICT = 409  # status of the answer to a duplicate whose original has run
UNIX_PEER = "unix"  # host of a peer that connects over a Unix socket


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
            self._map_request(self._cgi_variables())
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

    def _cgi_variables(self) -> dict[str, str]:
        """Return the proxied request as CGI variables, which the mapping reads."""
        headers = self.request.headers
        target = headers.get("X-Original-URI", self.request.uri or "")
        variables = {f"HTTP_{name.upper().replace('-', '_')}": value for name, value in headers.get_all()}
        variables["PATH_INFO"], _, variables["QUERY_STRING"] = target.partition("?")
        variables["REQUEST_METHOD"] = headers.get("X-Original-Method", self.request.method or "")
        variables["CONTENT_TYPE"] = headers.get("Content-Type", "")
        return variables

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
    """Actor of one listener for subrequests."""

    def __init__(self, listen: Listen, mapping: RequestMapping, context: ProxyListenerContext) -> None:
        super().__init__(listen, mapping, context)
        self.server = HTTPServer(
            self._accept_request,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=self.settings.max_body_bytes,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=listen.request_timeout,
        )
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: the address cannot be bound.
        """
        address = self.listen.address
        if isinstance(address, Path):
            self.server.add_socket(bind_unix_socket(str(address)))
        else:
            self.server.add_sockets(bind_sockets(address.port, address.host))
        self._measure_load()

    def stop_listening(self, _time_left: float) -> None:
        """Accept no new connections; open ones stay until `end`."""
        self.server.stop()

    async def end(self) -> None:
        """Close all open connections."""
        self._stop_load_measurement()
        self.server.stop()
        await self.server.close_all_connections()

    def _accept_request(self, request: HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, request: HTTPServerRequest) -> None:
        if request.path == self.listen.health_path:
            status = HTTPStatus.OK if self.is_healthy() else HTTPStatus.SERVICE_UNAVAILABLE
            self._respond(request, status, HTTPHeaders(), b"")
            return
        if not self.admit():
            headers = HTTPHeaders({"Retry-After": str(math.ceil(OVERLOAD_RETRY_AFTER_S))})
            self._respond(request, self.listen.reject_status, headers, b"not looked at\n")
            return
        subrequest = Subrequest(self, request.remote_ip or UNIX_PEER, request)
        try:
            await self._consult(subrequest)
        except asyncio.CancelledError:
            pass  # the proxy has closed the connection, so there is no response to send
        finally:
            self.streams.release_stream()
            if not subrequest.has_run:  # otherwise its lease goes on, and ends the run
                subrequest.closed()

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
        headers["Content-Length"] = str(len(body))
        if self.draining:
            headers["Connection"] = "close"
        connection = _http_connection(request)
        try:
            start_line = ResponseStartLine("HTTP/1.1", status, REASON_PHRASES.get(status, "Unknown"))
            connection.write_headers(start_line, headers, body)
            connection.finish()
        except (OSError, StreamClosedError):
            self.log.event("proxy_gone", peer=request.remote_ip)


def _http_connection(request: HTTPServerRequest) -> HTTP1Connection:
    """Return the connection of a request; this server has only HTTP/1.1 connections."""
    connection = request.connection
    assert isinstance(connection, HTTP1Connection)
    return connection
