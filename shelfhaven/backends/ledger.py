"""Actor for the ledger: its connections, and the downstream calls made on them.

A call is never sent twice, and a call is reported as not run only if that is certain. Data is not accepted as
the reply to a call if another call may have caused it: a connection stays idle for a while after each reply,
and is reused only if no data arrived meanwhile and if a later copy of its replies could be told from the
reply to the next call (`reply_copies.py`). After a connection received unexpected data or broke while idle,
no connection is reused for some time.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from tornado.iostream import IOStream, StreamClosedError

from shelfhaven.backends.failure_boundary import FailureBoundary
from shelfhaven.backends.reply_copies import ConnectionHistory, RecentReplies, ReplyKind, kind_of
from shelfhaven.config import Address
from shelfhaven.decision.settings import Outcome
from shelfhaven.protocol import http
from shelfhaven.server import messages
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox, after_reading, peek

READ_SIZE = 64 * 1024  # bytes
MIN_IDLE_TIME = 0.05  # seconds, by which any excess data of a reply would have arrived
MAX_IDLE_TIME = 4.0  # seconds, after which a connection is not reused; the ledger closes it after 10
NO_REUSE_TIME = 10.0  # seconds without reuse after a connection received unexpected data or broke while idle

LedgerMessage: TypeAlias = messages.PlaceCall | messages.CancelCall


def outcome_of(reply: http.Response) -> Outcome:
    """Return the outcome of a call, given the reply to it."""
    match reply.status, reply.untouched:
        case 200, _:
            return Outcome.OK
        case 503, True:
            return Outcome.REJECTED
        case 409, True:
            return Outcome.ABANDONED
        case 504, _:
            return Outcome.TIMEOUT
    return Outcome.ERROR


@dataclass(slots=True, eq=False)
class LedgerConnection:
    """A connection and the call on it.

    Attributes:
        stream: the connection.
        address: address of the ledger that it connects to.
        call: call on the connection; None if the connection is idle or the call was abandoned.
        sent: whether the call was sent.
        timer: timeout of the call.
        idle_since: time at which the connection last became idle; 0 if it never did.
        closed_locally: whether this side closed the connection.
        history: the calls and replies so far.
    """

    stream: IOStream
    address: Address
    call: messages.PlaceCall | None
    sent: bool = False
    timer: asyncio.TimerHandle | None = None
    idle_since: float = 0.0
    closed_locally: bool = False
    history: ConnectionHistory = field(default_factory=ConnectionHistory)

    def close(self) -> None:
        """Close the connection, which ends its call."""
        self.closed_locally = True
        self.stream.close()


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call that waits for a connection, until `expires_at` at the latest."""

    call: messages.PlaceCall
    expires_at: float


class Ledger:
    """Actor for the ledger.

    Attributes:
        address: address of the ledger; None if there is no ledger.
        connection_by_request: connections that have a call, by the ID of its request.
        connections: all open connections.
        idle: idle connections that may be reused, longest idle first.
        reusable_from: time before which no connection is reused.
        queue: calls that wait for a connection, oldest first.
        recent_replies: the latest replies from `address`.
    """

    def __init__(
        self,
        address: Address | None,
        descriptors: Descriptors,
        tell: Callable[[messages.CallCompleted], None],
        log: Log,
    ) -> None:
        self.address = address
        self.descriptors = descriptors
        self.tell = tell
        self.log = log
        descriptors.on_released.append(self._dispatch_queue)
        descriptors.on_inbound_waiting.append(self._close_idle)
        self.mailbox: Mailbox[LedgerMessage] = Mailbox(self._handle_message, log)
        self.connection_by_request: dict[int, LedgerConnection] = {}
        self.connections: set[LedgerConnection] = set()
        self.idle: deque[LedgerConnection] = deque()
        self.reusable_from = 0.0
        self.queue: deque[QueuedCall] = deque()
        self.recent_replies = RecentReplies()
        self.tasks: set[asyncio.Task[None]] = set()

    def put(self, message: LedgerMessage) -> None:
        """Queue a message that places or cancels a call."""
        self.mailbox.put(message)

    def set_address(self, address: Address | None) -> None:
        """Send calls to another address from now on; calls already sent complete at the old address."""
        if address == self.address:
            return
        self.address = address
        self.recent_replies = RecentReplies()
        self._close_idle()
        for connection in list(self.connections):
            call = connection.call
            if call and not connection.sent:
                self._abandon(connection)
                self._handle_message(call)

    def end(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            self._abandon(connection)

    # Calls

    def _handle_message(self, message: LedgerMessage) -> None:
        if isinstance(message, messages.CancelCall):
            self._cancel(message.request_id)
        elif self.address is None:
            self.tell(messages.CallCompleted(message.request_id, Outcome.CONNECT_FAILED))
        else:
            self._cancel(message.request_id)
            self.queue.append(QueuedCall(message, time.monotonic() + message.timeout))
            self._dispatch_queue()
            if self.queue and self.queue[-1].call is message:
                asyncio.get_running_loop().call_later(message.timeout, self._expire_queued, message)

    def _dispatch_queue(self) -> None:
        """Assign queued calls to idle connections, or to new ones if file descriptors are available."""
        while self.queue and self.address:
            now = time.monotonic()
            if connection := self._reusable_connection(now, self.queue[0].call.attempt_id):
                self._assign_next_call(connection, now)
                self._send(connection)
                continue
            if not self.descriptors.acquire_outbound():
                if self.idle:  # closing it releases its descriptor, which calls this method again
                    self.idle.popleft().close()
                return
            try:
                stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            except OSError as error:
                self.log.event("ledger_no_socket", error=str(error))
                self.descriptors.outbound -= 1  # `release_outbound` would call this method again
                return
            self._open_connection(stream, self.address, now)

    def _open_connection(self, stream: IOStream, address: Address, now: float) -> None:
        """Open a connection for the oldest queued call."""
        connection = LedgerConnection(stream, address, None)
        self.connections.add(connection)
        self._assign_next_call(connection, now)
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _assign_next_call(self, connection: LedgerConnection, now: float) -> None:
        """Assign the oldest queued call to a connection."""
        queued = self.queue.popleft()
        call = replace(queued.call, timeout=max(0.0, queued.expires_at - now))
        connection.call = call
        connection.sent = False
        self.connection_by_request[call.request_id] = connection
        loop = asyncio.get_running_loop()
        connection.timer = loop.call_later(call.timeout, after_reading, self._time_out, connection, call)

    def _cancel(self, request_id: int) -> None:
        """Cancel the call of a request, whether it is queued or on a connection."""
        if connection := self.connection_by_request.get(request_id):
            self._abandon(connection)
        self.queue = deque(queued for queued in self.queue if queued.call.request_id != request_id)

    def _time_out(self, connection: LedgerConnection, call: messages.PlaceCall) -> None:
        if connection.call is call:
            self._fail(connection, Outcome.TIMEOUT)

    def _expire_queued(self, call: messages.PlaceCall) -> None:
        for queued in self.queue:
            if queued.call is call:
                self.queue.remove(queued)
                self.tell(messages.CallCompleted(call.request_id, Outcome.CONNECT_FAILED))
                return

    # Reuse of connections

    def _reusable_connection(self, now: float, attempt_id: str) -> LedgerConnection | None:
        """Return a connection for a call, idle for long enough and without data meanwhile."""
        while self.idle and now - self.idle[0].idle_since > MIN_IDLE_TIME:
            connection = self.idle.popleft()
            if connection.stream.closed():
                continue
            if now - connection.idle_since < MAX_IDLE_TIME and connection.history.allows_call(attempt_id):
                if peek(connection.stream.socket) is None:
                    return connection
                self._disable_reuse()
            connection.close()
        return None

    def _return_to_idle(self, connection: LedgerConnection, reply: ReplyKind, is_clean: bool) -> None:
        """Keep a connection for reuse after a reply, if it may be reused.

        `is_clean` is whether it received nothing but the reply.
        """
        now = time.monotonic()
        if not is_clean:
            self._disable_reuse()
        connection.history.reply_received(reply)
        is_current = connection.address == self.address
        is_distinctive = is_current and self.recent_replies.add(reply)
        descriptor_needed = self.descriptors.inbound_waiting or self.queue  # for another connection
        if descriptor_needed or not is_distinctive or now < self.reusable_from:
            connection.close()
            return
        connection.idle_since = now
        self.idle.append(connection)

    def _disable_reuse(self) -> None:
        """Close the idle connections, and reuse none for some time."""
        self.reusable_from = time.monotonic() + NO_REUSE_TIME
        self._close_idle()

    def _close_idle(self) -> None:
        while self.idle:
            self.idle.popleft().close()

    # One connection

    async def _serve(self, connection: LedgerConnection) -> None:
        """Serve a connection until it ends; then fail its call, if any, and release its descriptor."""
        try:
            with FailureBoundary(self.log, "ledger_failed"):
                await self._exchange(connection)
        finally:
            self._fail(connection, Outcome.RESET)
            self.connections.discard(connection)
            self.descriptors.release_outbound()

    async def _exchange(self, connection: LedgerConnection) -> None:
        """Connect, send the call, and read replies until the connection closes."""
        try:
            await connection.stream.connect((connection.address.host, connection.address.port))
            connection.stream.set_nodelay(True)
            self._send(connection)
            await self._read_replies(connection)
        except (OSError, StreamClosedError):
            if connection.idle_since and not connection.closed_locally:  # it was reusable, but broke
                self._disable_reuse()
        except http.StreamError as error:
            self.log.event("ledger_stream", error=str(error))
            self._disable_reuse()

    async def _read_replies(self, connection: LedgerConnection) -> None:
        parser = http.ResponseParser()
        while not connection.stream.closed():
            data = await connection.stream.read_bytes(READ_SIZE, partial=True)
            if connection.call is None:
                raise http.StreamError("received data without a pending call")
            reply = parser.feed(data)
            while reply and connection.history.is_copy(kind_of(reply)):
                self.log.event("ledger_copy", status=reply.status)
                self._disable_reuse()
                reply = parser.feed(b"")
            if reply:
                self._complete(connection, outcome_of(reply), reply.body)
                self._return_to_idle(connection, kind_of(reply), is_clean=not parser.unread)

    def _send(self, connection: LedgerConnection) -> None:
        if (call := connection.call) and not connection.stream.closed():
            connection.sent = True
            connection.history.call_sent(call.attempt_id)
            timeout_ms = max(1, int(call.timeout * 1000))
            request = http.encode_ledger_call(str(connection.address), call.attempt_id, timeout_ms, call.body)
            connection.stream.write(request)

    def _detach_call(self, connection: LedgerConnection) -> messages.PlaceCall | None:
        """Detach the call from its connection, so that the connection no longer affects its outcome."""
        call = connection.call
        connection.call = None
        if connection.timer:
            connection.timer.cancel()
            connection.timer = None
        if call:
            self.connection_by_request.pop(call.request_id, None)
        return call

    def _complete(self, connection: LedgerConnection, outcome: Outcome, body: bytes = b"") -> None:
        if call := self._detach_call(connection):
            self.tell(messages.CallCompleted(call.request_id, outcome, body))

    def _fail(self, connection: LedgerConnection, outcome: Outcome) -> None:
        """End a call without a reply and close its connection; a call that was not sent did not run."""
        self._complete(connection, outcome if connection.sent else Outcome.CONNECT_FAILED)
        connection.close()

    def _abandon(self, connection: LedgerConnection) -> None:
        """Close a connection without reporting its call; the close tells the ledger to cancel the call."""
        self._detach_call(connection)
        connection.close()
