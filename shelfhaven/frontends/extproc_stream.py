"""One stream of the external-processing service: the messages of a proxy and the responses to them.

The stream passes messages to the state machine of its consultation and carries out the actions that this
returns.  The listener reads and writes; this module does no I/O.
"""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import NamedTuple

from google.protobuf.message import DecodeError

from shelfhaven.errors import ShelfhavenError
from shelfhaven.frontends import extproc_messages
from shelfhaven.frontends.consulting import ConsultationSession, ProxyListener
from shelfhaven.frontends.extproc_messages import MessageKind, ProcessingRequest
from shelfhaven.protocol.pb import extproc_pb2
from shelfhaven.routing import processor_policy
from shelfhaven.routing.request_mapping import MappingError
from shelfhaven.server import messages

MAX_HEADERS_MESSAGE_BYTES = 64 * 1024  # decoding takes long where it consists of fields alone
MAX_HEADER_FIELDS = 512  # of a request or response; joining thousands takes long


class UnexpectedMessageError(ShelfhavenError):
    """A message is not allowed at this point of its stream."""


class ProcessedMessage(NamedTuple):
    """What follows from a message; `kind` is None if this version of the protocol does not define it."""

    kind: MessageKind | None
    actions: list[processor_policy.Action]


class ExternalProcessingStream(ConsultationSession):
    """One stream of the external-processing service.

    Attributes:
        buffered_bytes: bytes of this stream that the listener counts as buffered.
        started_at: time on the monotonic clock at which the listener took it up.
        headers_received: whether the request headers, with which a stream begins, have been received.
        body_requested: whether the proxy was asked to send the complete request body.
    """

    def __init__(self, listener: ProxyListener, peer: str, started_at: float) -> None:
        super().__init__(listener, peer, waited=time.monotonic() - started_at)
        self.buffered_bytes = 0
        self.started_at = started_at
        self.headers_received = False
        self.body_requested = False

    def process(self, data: bytes) -> ProcessedMessage:
        """Process one message; `respond` carries out what follows from it.

        Raises:
            UnexpectedMessageError: the message cannot be decoded, or is not allowed at this point.
        """
        if not self.headers_received and len(data) > MAX_HEADERS_MESSAGE_BYTES:
            return self._reject_headers(f"over {MAX_HEADERS_MESSAGE_BYTES} bytes of headers")
        try:
            request = ProcessingRequest.FromString(data)
        except DecodeError as error:
            raise UnexpectedMessageError(str(error)) from None
        finally:
            del data  # an exception's traceback would keep it
        kind = extproc_messages.message_kind(request)
        now = time.monotonic()
        if not self.headers_received and kind is not MessageKind.REQUEST_HEADERS:
            raise UnexpectedMessageError("a stream that does not begin with request headers")
        if kind is None:
            return ProcessedMessage(None, [])
        actions = self._process(now, kind, request)
        actions += self._update_buffered_bytes(now)
        return ProcessedMessage(kind, actions)

    async def respond(self, message: ProcessedMessage) -> bytes | None:
        """Return the response to a message, after the verdict if it needs that; None if it needs none."""
        return await self._respond(message.actions, message.kind) if message.kind else None

    def closed(self) -> None:
        """Handle the end of the stream."""
        super().closed()
        self.listener.streams.reserve_bytes(-self.buffered_bytes)

    def _process(
        self, now: float, kind: MessageKind, request: ProcessingRequest
    ) -> list[processor_policy.Action]:
        """Pass one message to the state machine."""
        consultation = self.consultation
        match kind:
            case MessageKind.REQUEST_HEADERS:
                return self._process_request_headers(request.request_headers)
            case MessageKind.RESPONSE_HEADERS:
                return self._process_response_headers(now, request.response_headers)
            case MessageKind.REQUEST_BODY:
                body = request.request_body
                return consultation.request_body(body.body, body.end_of_stream)
            case MessageKind.RESPONSE_BODY:
                body = request.response_body
                return consultation.response_body(now, body.body, body.end_of_stream)
            case MessageKind.REQUEST_TRAILERS | MessageKind.RESPONSE_TRAILERS:
                return consultation.trailers(now, of_response=kind is MessageKind.RESPONSE_TRAILERS)

    def _reject_headers(self, text: str) -> ProcessedMessage:
        """Answer a first message that is not decoded; the stream ends with the answer."""
        self.headers_received = True
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        return ProcessedMessage(MessageKind.REQUEST_HEADERS, self.consultation.mapping_failed(status, text))

    def _process_request_headers(self, headers: extproc_pb2.HttpHeaders) -> list[processor_policy.Action]:
        if self.headers_received:
            raise UnexpectedMessageError("request headers a second time")
        self.headers_received = True
        if len(headers.headers.headers) > MAX_HEADER_FIELDS:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            return self.consultation.mapping_failed(status, f"over {MAX_HEADER_FIELDS} header fields")
        try:
            self._map_request(extproc_messages.cgi_variables(headers.headers))
        except MappingError as error:
            return self.consultation.mapping_failed(error.status, str(error))
        return self.consultation.request_headers(headers.end_of_stream)

    def _process_response_headers(
        self, now: float, headers: extproc_pb2.HttpHeaders
    ) -> list[processor_policy.Action]:
        if len(headers.headers.headers) > MAX_HEADER_FIELDS:
            raise UnexpectedMessageError(f"over {MAX_HEADER_FIELDS} header fields")
        variables = extproc_messages.cgi_variables(headers.headers)
        status = extproc_messages.response_status(headers.headers)
        not_run = variables.get("HTTP_X_NOT_RUN") == "1"
        return self.consultation.response_headers(now, status, not_run, headers.end_of_stream)

    def _update_buffered_bytes(self, now: float) -> list[processor_policy.Action]:
        """Update the count of buffered bytes; if that exceeds the limit, stop buffering this body."""
        streams = self.listener.streams
        actions: list[processor_policy.Action] = []
        if not streams.reserve_bytes(len(self.consultation.body) - self.buffered_bytes):
            actions = self.consultation.buffer_exhausted(now)
        if actions:
            streams.reserve_bytes(-self.buffered_bytes)
        self.buffered_bytes = len(self.consultation.body)
        return actions

    async def _respond(self, actions: list[processor_policy.Action], kind: MessageKind) -> bytes | None:
        """Carry out actions and return the response among them, after waiting for the verdict if need be."""
        response: bytes | None = None
        for action in actions:
            match action:
                case processor_policy.PassThrough():
                    response = self._encode_pass_through(kind, action.request_body)
                case processor_policy.Submit():
                    response = await self._submit(action.body)
                case processor_policy.ImmediateResponse():
                    response = self._encode_immediate(action)
                case _:
                    self._execute([action])
        return response

    def _encode_pass_through(self, kind: MessageKind, request_body: bool) -> bytes:
        if not request_body:
            return extproc_messages.PASS_THROUGH_RESPONSES[kind]
        self.body_requested = True
        return extproc_messages.encode_body_request()

    def _encode_immediate(self, verdict: processor_policy.ImmediateResponse) -> bytes:
        return extproc_messages.encode_immediate(verdict, self.load, self.listener.listen.content_type)

    def _encode_continue(
        self, verdict: processor_policy.Continue, launch: messages.LaunchRun | None
    ) -> bytes:
        """Encode the verdict as the response to the message that waits for it: the headers or the body."""
        time_left = launch.time_left if launch else None
        return extproc_messages.encode_continue(verdict, time_left, self.load, self.body_requested)
