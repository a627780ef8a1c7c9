"""The frontend for routers: JSON-RPC, with any number of requests on a connection.

A `RouterConnection` translates the protocol's messages to those of the core and keeps the ids that are in use
on its connection.  The core decides all answers, except the confirmation of a cancellation and the answer to
a stream that cannot be read.
"""

from __future__ import annotations

import itertools
import time

from shelfhaven.config import Config
from shelfhaven.decision.settings import RetrySafety
from shelfhaven.frontends.connection import UnreadableStreamError
from shelfhaven.frontends.message_connection import MessageConnection, NotifyCore
from shelfhaven.frontends.stream import DetachableStream
from shelfhaven.protocol import jsonrpc as wire
from shelfhaven.server import messages
from shelfhaven.server.log import Log

MAX_UNANSWERED = 32  # requests on a connection; the protocol's limit
MESSAGES_PER_TURN = MAX_UNANSWERED  # handled before the event loop serves other connections
MAX_CLOCK_DIFFERENCE_S = 60.0  # routers run on this machine, and no client waits this long for a request


class ClassAndTenantIndex:
    """Positions of classes and tenants in the settings, by name.

    Attributes:
        classes: positions of the classes.
        keyed_classes: positions of the classes whose requests need an idempotency key.
        tenants: positions of the tenants.
        max_deadline: the longest deadline of any class in seconds; no request can use an answer that is left
            unread for longer.
    """

    def __init__(self, config: Config) -> None:
        self.classes = {name: position for position, name in enumerate(config.classes)}
        self.keyed_classes = {
            position
            for position, settings in enumerate(config.settings.classes)
            if settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY
        }
        self.tenants = {name: position for position, name in enumerate(config.tenants)}
        self.max_deadline = max(settings.deadline for settings in config.settings.classes)


class RouterConnection(MessageConnection):
    """Actor of one router's connection."""

    liveness_probe = wire.SHUTDOWN_NOTICE

    def __init__(
        self, stream: DetachableStream, index: ClassAndTenantIndex, notify_core: NotifyCore, log: Log
    ) -> None:
        super().__init__(stream, notify_core, log)
        self.index = index
        self.unread_answer_timeout = index.max_deadline
        self.parser = wire.FrameParser()
        self.first_error = ""  # text, as a stored exception would keep this frame and the connection alive
        self.shutdown_announced = False

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are kept of an incomplete message."""
        return len(self.parser.unread)

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message has been read."""
        return bool(self.parser.unread)

    def _parse(self, data: bytes) -> bool:
        """Parse received bytes and handle the messages in them, at most `MESSAGES_PER_TURN`.

        A message that cannot be read ends the connection.  Requests that were received with it still get
        their answers: those before it, and those after it as far as the stream can be split into messages.
        """
        message_count = 0
        try:
            for body in itertools.islice(self.parser.feed(data), MESSAGES_PER_TURN):
                message_count += 1
                self._record_message()
                try:
                    self._handle_message(wire.decode(body))
                except wire.StreamError as error:
                    self.first_error = self.first_error or str(error)
        except wire.StreamError as error:
            raise UnreadableStreamError(self.first_error or str(error)) from None
        if message_count == MESSAGES_PER_TURN:
            return True
        if self.first_error:
            raise UnreadableStreamError(self.first_error)
        return False

    def _discard_partial_message(self) -> None:
        self.parser.unread.clear()

    def _encode_unreadable(self, _error: UnreadableStreamError) -> bytes:
        return wire.UNREADABLE_ANSWER

    def _handle_message(self, message: wire.Message) -> None:
        match message:
            case wire.Request():
                self._handle_request(message)
            case wire.CancelRequest():
                self._cancel(message.id)
            case wire.HealthCheck():
                self.carries_health_checks = True
                self._register(message.id)
                self.message_allowance.charge()
                self.notify_core(messages.CheckHealth(self, message.id))
            case wire.InvalidMessage():
                self._register(message.id)
                self.message_allowance.charge()
                self.notify_core(messages.RejectMalformed(self, message.id, message.code, message.message))

    def _cancel(self, ref: int) -> None:
        if ref not in self.unanswered:
            self.message_allowance.charge()
            return
        self.unanswered.discard(ref)
        self.notify_core(messages.CancelRequest(self, ref))
        # The protocol does not require a confirmation, but permits it.
        self.outgoing.append(wire.encode_error(ref, wire.CANCELLED, "taken back", None))

    def _register(self, ref: int) -> None:
        if ref in self.unanswered:
            raise wire.StreamError("id of a request that is still unanswered")
        self.unanswered.add(ref)

    def _handle_request(self, request: wire.Request) -> None:
        self._register(request.id)
        try:
            self._submit_or_reject(request)
        except Exception:
            self.unanswered.discard(request.id)  # the core does not know of it
            raise

    def _submit_or_reject(self, request: wire.Request) -> None:
        class_index = self.index.classes.get(request.class_name)
        if class_index is None:
            self._reject(request, wire.METHOD_NOT_FOUND, "unknown method")
            return
        tenant = self.index.tenants.get(request.tenant) if request.tenant else 0
        if tenant is None:
            self._reject(request, wire.INVALID_PARAMS, "org: unknown")
        elif class_index in self.index.keyed_classes and not request.idempotency_key:
            self._reject(request, wire.INVALID_PARAMS, "dedupe: missing in a keyed class")
        elif abs(time.time() - request.received_ms / 1000) > MAX_CLOCK_DIFFERENCE_S:
            self._reject(request, wire.INVALID_PARAMS, "recv: far from this machine's clock")
        elif len(self.unanswered) > MAX_UNANSWERED:
            self._reject(request, wire.INVALID_REQUEST, "too many open requests")
        else:
            self.message_allowance.credit()
            self.notify_core(self._build_submission(request, class_index, tenant))

    def _reject(self, request: wire.Request, code: int, reason: str) -> None:
        self.message_allowance.charge()
        self.notify_core(messages.RejectMalformed(self, request.id, code, reason))

    def _build_submission(
        self, request: wire.Request, class_index: int, tenant: int
    ) -> messages.SubmitRequest:
        return messages.SubmitRequest(
            frontend=self,
            request_ref=request.id,
            attempt_id=request.attempt_id,
            class_index=class_index,
            tenant=tenant,
            caller=request.caller,
            received_at=request.received_ms / 1000,
            budget=request.budget_ms / 1000 or None,
            work_hint=request.work_hint_ms / 1000 or None,
            footprint_kb=request.footprint_kb,
            priority=request.priority,
            is_retry=request.is_retry,
            idempotency_key=request.idempotency_key,
            partition_key=request.partition_key,
            body=request.body,
        )

    def announce_shutdown(self) -> None:
        """Send the protocol's shutdown notice, once."""
        if not self.shutdown_announced and not self.stream.closed():
            self.shutdown_announced = True
            self.stream.write(wire.SHUTDOWN_NOTICE)

    def _encode(self, answer: messages.Answer) -> bytes:
        match answer:
            case messages.ServedAnswer():
                return wire.encode_result(answer.request_ref, answer.body, answer.load)
            case messages.RejectedAnswer():
                pushback = round(answer.retry_after * 1000, 3)
                return wire.encode_error(
                    answer.request_ref,
                    wire.REJECTED,
                    "refused",
                    answer.load,
                    pushback,
                    answer.no_retry_elsewhere,
                )
            case messages.FailedAnswer():
                return wire.encode_error(
                    answer.request_ref, answer.code or wire.FAILED, answer.text, answer.load
                )
            case messages.HealthAnswer():
                return wire.encode_health(answer.request_ref, answer.healthy, answer.load)
