"""The frontend for gateways: requests by the uwsgi protocol, answered in HTTP.

A connection carries one request at a time.  The mapping determines what a request asks for and the core
whether it is served; this module encodes the core's answers and answers by itself only a stream that cannot
be read.

    served    200 with the body of the run's result
    rejected  503 with Retry-After in whole seconds, X-Retry-After-Ms, and X-Not-Run: 1, which guarantees
              that nothing was executed
    failed    502, or 504 after the deadline; the request may have been executed
    invalid   400, 403, 404, 405, 408, 413, 431 or 501 with the reason; nothing was executed
    unread    503 with Retry-After; of an earlier attempt nothing is known
"""

from __future__ import annotations

import asyncio
import math
import os
import socket
import time
from typing import NamedTuple

import orjson

from shelfhaven.frontends.connection import ConnectionState, UnreadableStreamError
from shelfhaven.frontends.message_connection import MessageConnection, NotifyCore
from shelfhaven.frontends.stream import READ_CHUNK_BYTES, DetachableStream
from shelfhaven.operator_config import Listen
from shelfhaven.protocol import http
from shelfhaven.protocol import uwsgi as wire
from shelfhaven.routing.request_mapping import MappingError, RequestMapping
from shelfhaven.server import messages
from shelfhaven.server.log import Log

# HTTP statuses
SERVED = 200
REJECTED = 503
FAILED = 502
DEADLINE_PASSED = 504
INVALID = 400
PLAIN_TEXT = ("Content-Type", "text/plain; charset=utf-8")
# A lingering close, as in nginx, reads and discards input before the socket is closed.
LINGERING_CLOSE_TIMEOUT_S = 1.0
MAX_LINGERING_CLOSE_BYTES = 1 << 20  # of discarded input
ATTEMPT_ID_BYTES = 8  # written in hex, like the attempt ids of routers


class _GatewayResponse(NamedTuple):
    status: int
    fields: list[tuple[str, str]]
    body: bytes


class GatewayConnection(MessageConnection):
    """Actor of one gateway's connection; it carries one request at a time."""

    def __init__(
        self,
        stream: DetachableStream,
        peer: str,
        listen: Listen,
        mapping: RequestMapping,
        notify_core: NotifyCore,
        log: Log,
    ) -> None:
        super().__init__(stream, notify_core, log)
        self.peer = peer
        self.listen = listen
        self.mapping = mapping
        self.message_timeout = listen.request_timeout
        self.unread_answer_timeout = listen.answer_timeout or None
        self.parser = wire.RequestParser(listen.max_block_bytes, listen.max_body_bytes)
        self.keep_alive = listen.keep_alive
        self.request_ref = 0  # of the current or last request
        self.request_method = ""  # of the current or last request

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are kept of an incomplete request."""
        return self.parser.buffered_bytes

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a request has been read."""
        return self.parser.has_partial_request

    def _discard_partial_message(self) -> None:
        self.parser.discard()

    def _parse(self, data: bytes) -> bool:
        try:
            requests = self.parser.feed(data)
        except wire.StreamError as error:
            raise UnreadableStreamError(str(error), error.status) from error
        for request in requests:
            if self.unanswered:
                raise UnreadableStreamError("more than one request at a time")
            self._record_message()
            self._handle_request(request)
        if self.unanswered and self.parser.has_partial_request:
            raise UnreadableStreamError("bytes after the request")
        return False

    def _handle_request(self, request: wire.Request) -> None:
        self.request_ref += 1
        self.unanswered.add(self.request_ref)
        self.request_method = request.variables.get("REQUEST_METHOD", "")
        path = request.variables.get("PATH_INFO", "")
        if path in (self.listen.health_path, self.listen.load_path):
            self.carries_health_checks = True
            self.message_allowance.charge()
            self.notify_core(messages.CheckHealth(self, self.request_ref))
            return
        try:
            self.notify_core(self._build_submission(request))
            self.message_allowance.credit()
        except MappingError as error:
            self.message_allowance.charge()
            self.notify_core(messages.RejectMalformed(self, self.request_ref, error.status, str(error)))
        except Exception:
            self.unanswered.discard(self.request_ref)  # the core does not know of it
            raise

    def _build_submission(self, request: wire.Request) -> messages.SubmitRequest:
        variables = request.variables
        mapped = self.mapping.map_request(time.monotonic(), variables, self.peer, len(request.body))
        return messages.SubmitRequest(
            frontend=self,
            request_ref=self.request_ref,
            attempt_id=os.urandom(ATTEMPT_ID_BYTES).hex(),
            class_index=mapped.class_index,
            tenant=mapped.tenant,
            caller=mapped.caller,
            received_at=time.time(),
            budget=mapped.budget or None,
            work_hint=mapped.work_hint or None,
            footprint_kb=mapped.footprint_kb,
            priority=mapped.priority,
            is_retry=mapped.is_retry,
            idempotency_key=mapped.idempotency_key,
            partition_key=mapped.partition_key,
            body=request.body,
            attributes=messages.RequestAttributes(
                variables.get("REQUEST_METHOD", ""),
                variables["PATH_INFO"],
                variables.get("QUERY_STRING", ""),
                variables.get("CONTENT_TYPE", ""),
                mapped.extra_variables,
                mapped.identity_parts,
                mapped.legacy_identity_parts,
            ),
        )

    def _encode_unreadable(self, error: UnreadableStreamError) -> bytes:
        """Return the error response; nothing if a request is unanswered, as the peer expects its answer."""
        if self.unanswered:
            return b""
        fields = [PLAIN_TEXT, *http.unread_request_fields(error.code)]
        return http.encode_response(error.code or INVALID, fields, f"{error}\n".encode(), close=True)

    def _encode(self, answer: messages.Answer) -> bytes:
        close = not self.keep_alive or self.draining
        if close:
            self.state = ConnectionState.UNREADABLE  # closed once this answer has been sent
        response = self._response_to(answer)
        load = [] if answer.load is None else [("X-Load", f"{answer.load:g}")]
        fields = [*load, *response.fields]
        return http.encode_response(response.status, fields, response.body, close, self.request_method)

    def _response_to(self, answer: messages.Answer) -> _GatewayResponse:
        """Return the response that carries an answer, without the advertised load."""
        match answer:
            case messages.ServedAnswer():
                return _GatewayResponse(SERVED, [("Content-Type", self.listen.content_type)], answer.body)
            case messages.RejectedAnswer():
                fields = [PLAIN_TEXT, http.NOT_RUN, *_retry_fields(answer)]
                return _GatewayResponse(REJECTED, fields, b"refused; nothing ran\n")
            case messages.FailedAnswer():
                status = answer.code or (DEADLINE_PASSED if answer.deadline_passed else FAILED)
                not_run = [http.NOT_RUN] if answer.code else []  # a code is set only for invalid requests
                return _GatewayResponse(status, [PLAIN_TEXT, *not_run], f"{answer.text}\n".encode())
            case messages.HealthAnswer():
                status = SERVED if answer.healthy else REJECTED
                body = orjson.dumps({"good": answer.healthy, "load": answer.load})
                return _GatewayResponse(status, [("Content-Type", "application/json")], body)

    def announce_shutdown(self) -> None:
        """Close the connection after the next answer: HTTP has no message to announce a shutdown.

        An idle connection ends with its listener.
        """
        self.keep_alive = False

    async def _prepare_close(self) -> None:
        """Perform a lingering close: closing a socket with unread input would reset the connection, and the
        peer could lose answers that were already sent.
        """
        self.stream.socket.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LINGERING_CLOSE_TIMEOUT_S):
            bytes_left = MAX_LINGERING_CLOSE_BYTES
            while bytes_left > 0:
                bytes_left -= len(await self.stream.read_bytes(READ_CHUNK_BYTES, partial=True))


def _retry_fields(answer: messages.RejectedAnswer) -> list[tuple[str, str]]:
    """Return the header fields that state when to retry, and whether to try another server."""
    fields = []
    if answer.retry_after > 0:
        fields.append(("Retry-After", str(math.ceil(answer.retry_after))))
        fields.append(("X-Retry-After-Ms", str(math.ceil(answer.retry_after * 1000))))
    if answer.no_retry_elsewhere:
        fields.append(("X-Stay", "1"))
    return fields
