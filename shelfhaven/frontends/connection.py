"""The life of a connection of a caller, independent of who reads its requests: states, sending, closing.

A `Connection` owns the stream, the references of its unanswered requests and the bytes to be sent.  It does
not close a connection that has an unanswered request, and answers by itself only what cannot be read.
Subclasses read requests and answer them: `MessageConnection` for protocols that this project parses.

Bytes are sent by `_flush`; `_release` and `abort` close the socket.  docs/shutdown-and-races.md lists the
events that may happen between any two steps.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import traceback
from abc import ABC, abstractmethod
from enum import Enum
from http import HTTPStatus

from tornado.iostream import StreamClosedError

from shelfhaven.backends.failure_boundary import TRACEBACK_LIMIT
from shelfhaven.errors import ShelfhavenError
from shelfhaven.frontends.stream import DetachableStream
from shelfhaven.server import messages
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import peek
from shelfhaven.server.receive_buffers import ReceiveBuffers

CLOSE_RACE_WINDOW_S = 0.05  # by the protocol, a request may still cross a close this soon after a message
MESSAGE_TIMEOUT_S = 1.5  # until a message is complete; a caller that sends nothing is closed within 3 s
CLOSE_TIMEOUT_S = 0.5  # a close waits this long for the peer's end of stream: answers arrive sooner
CLOSE_POLL_S = 0.02  # between checks for the peer's end of stream


class ConnectionState(Enum):
    """States of a connection."""

    OPEN = "open"  # read from and written to
    UNREADABLE = "unreadable"  # no longer read from; outstanding answers are sent
    PEER_HALF_CLOSED = "peer ended"  # the peer has ended its stream; outstanding answers are sent
    CLOSING = "closing"  # all answers have been sent and this side has ended its stream
    CLOSED = "closed"


class UnreadableStreamError(ShelfhavenError):
    """The stream cannot be read any further; `code` is a status of the frontend's protocol, or 0."""

    def __init__(self, text: str, code: int = 0) -> None:
        super().__init__(text)
        self.code = code


class Connection(ABC):
    """Actor of one connection.

    Attributes:
        message_timeout: seconds within which a message that has begun must be complete.
        unread_answer_timeout: seconds within which the peer must have read an answer; None for no limit.
        receive_buffers: counts incomplete messages; the listener sets the one of the process.
    """

    message_timeout = MESSAGE_TIMEOUT_S
    unread_answer_timeout: float | None = None

    def __init__(self, stream: DetachableStream, log: Log) -> None:
        self.stream = stream
        self.log = log
        self.receive_buffers: ReceiveBuffers[Connection] = ReceiveBuffers()
        self.state = ConnectionState.OPEN
        self.unanswered: set[int] = set()  # references of requests
        self.outgoing: list[bytes] = []
        self.draining = False  # a connection accepted now gets the announcement after its first data
        self.carries_health_checks = False
        self.last_used_at = time.monotonic()  # time of the last message or answer
        self.message_awaited_since = self.last_used_at  # then the time of each message's first byte
        self.held_back = False  # this side does not read for a while, so no message is overdue
        self.silent = True  # no complete message has been received yet
        self.closed_by_reader = False  # the reading task has done its last read and closes the stream itself
        self.output_finished = asyncio.Event()  # an unreadable connection has no more answers to send

    @property
    @abstractmethod
    def buffered_bytes(self) -> int:
        """Number of bytes that are kept of a message that is not complete."""

    @property
    @abstractmethod
    def has_partial_message(self) -> bool:
        """Whether part of a message has been read."""

    @abstractmethod
    async def _serve(self) -> None:
        """Read and handle requests until the stream ends or cannot be read, and all answers are written."""

    @abstractmethod
    def _cancel_unanswered(self) -> None:
        """Give up the unanswered requests, whose answers can no longer be sent."""

    @abstractmethod
    def _encode_unreadable(self, error: UnreadableStreamError) -> bytes:
        """Return the bytes that tell a peer that its stream cannot be read; empty to send nothing."""

    @abstractmethod
    def announce_shutdown(self) -> None:
        """Ask the peer to send no new requests and to close, as far as the protocol can express that."""

    async def run(self) -> None:
        """Read until the stream ends, send outstanding answers, and close."""
        has_failed = False
        try:
            await self._serve()
        except (OSError, StreamClosedError, TimeoutError):
            pass
        except asyncio.CancelledError:
            self._release()
            raise
        except Exception:  # noqa: BLE001 - logged, and told to the peer
            has_failed = self.closed_by_reader = True
            self.fail_internally()
        try:
            if has_failed:
                await self._send_outstanding()
            await self._end_stream()
        except (OSError, TimeoutError):
            pass
        finally:
            self._release()

    async def _send_outstanding(self) -> None:
        """Wait until outstanding answers and the error have been sent, and detach the stream."""
        if not self.stream.closed():
            await self.output_finished.wait()
        with contextlib.suppress(OSError, StreamClosedError, TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.stream.write(b"")
        self.stream.detach()

    async def _end_stream(self) -> None:
        """End this side's stream, unless the peer has ended the connection."""
        if not self.stream.eof_received:
            await self._close_gracefully()

    async def _close_gracefully(self) -> None:
        """End this side's stream and wait a limited time for the peer to end its own.

        Closing a socket with unread input resets the connection, and a reset may overtake answers that the
        peer has not read.  Bytes received from now on are left unread; a request among them counts as never
        received.
        """
        sock = self.stream.detached_socket
        if sock is None:
            return
        self.state = ConnectionState.CLOSING
        sock.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while peek(sock) != b"":
                await asyncio.sleep(CLOSE_POLL_S)

    def _release(self) -> None:
        """Close the socket and cancel the unanswered requests, whose answers can no longer be sent."""
        self.state = ConnectionState.CLOSED
        self.receive_buffers.update(self, 0)
        self.abort()
        self._cancel_unanswered()
        self.unanswered.clear()

    def abort(self) -> None:
        """Close the socket at once, discarding anything pending."""
        self.stream.close()
        if self.stream.detached_socket:
            self.stream.detached_socket.close()

    def begin_close(self) -> None:
        """Begin the graceful close of a connection without unanswered requests."""
        self.stream.detach()

    @abstractmethod
    def _discard_partial_message(self) -> None:
        """Free the memory of an incomplete message, which will not be read."""

    def _record_buffered_bytes(self) -> None:
        """Record what is kept of an incomplete message; if all connections keep too much, close some."""
        buffers = self.receive_buffers
        buffers.update(self, self.buffered_bytes)
        while (connection := buffers.connection_to_close(time.monotonic())) is not None:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            connection.fail_unreadable(UnreadableStreamError("too many incomplete messages here", status))
            buffers.update(connection, 0)

    def _record_message(self) -> None:
        """Record that a complete message was received."""
        self.last_used_at = self.message_awaited_since = time.monotonic()
        self.silent = False

    def fail_unreadable(self, error: UnreadableStreamError) -> None:
        """Stop reading, tell the peer why, and close once outstanding answers have been sent."""
        if self.state is not ConnectionState.OPEN:
            return
        self.log.event("connection_broken", error=str(error), open=len(self.unanswered))
        self.state = ConnectionState.UNREADABLE
        self.outgoing.append(self._encode_unreadable(error))
        self.receive_buffers.update(self, 0)
        self._discard_partial_message()
        self._flush()

    def fail_internally(self) -> None:
        """Log the exception that is being handled, and stop reading."""
        self.log.event("connection_failed", error=traceback.format_exc(limit=TRACEBACK_LIMIT))
        self.fail_unreadable(
            UnreadableStreamError(messages.INTERNAL_ERROR_TEXT, HTTPStatus.INTERNAL_SERVER_ERROR)
        )

    def is_idle(self) -> bool:
        """Whether a close would lose nothing: there is no unanswered request and no unsent or unread data."""
        if self.state is not ConnectionState.OPEN or self.stream.closed():
            return False
        if self.unanswered or self.outgoing or self.has_partial_message or self.stream.writing():
            return False
        return peek(self.stream.socket) is None

    def is_evictable(self, now: float) -> bool:
        """Whether the connection can be closed at once: it is idle, and no request can cross the close."""
        return now - self.last_used_at >= CLOSE_RACE_WINDOW_S and self.is_idle()

    def is_message_overdue(self, now: float) -> bool:
        """Whether the first message, or the rest of an incomplete one, has not come in time."""
        return (
            not self.held_back and (self.silent or self.has_partial_message)
        ) and now - self.message_awaited_since > self.message_timeout

    def is_answer_stuck(self, now: float) -> bool:
        """Whether the peer has left an answer unread for too long."""
        return (
            self.unread_answer_timeout is not None
            and self.stream.writing()
            and now - self.last_used_at > self.unread_answer_timeout
        )

    def _flush(self) -> None:
        if self.stream.closed():
            self._flush_ended_stream()
            return
        if self.outgoing:
            data = b"".join(self.outgoing)
            self.outgoing.clear()
            self.last_used_at = time.monotonic()
            self.stream.write(data)
        self._close_if_done()

    def _flush_ended_stream(self) -> None:
        """Discard what can no longer be sent."""
        self.outgoing.clear()
        self.output_finished.set()

    def _close_if_done(self) -> None:
        """Close an unreadable connection once its outstanding answers have been sent."""
        if self.state is not ConnectionState.UNREADABLE or self.unanswered or self.outgoing:
            return
        self.output_finished.set()
        if not self.closed_by_reader and not self.stream.closed():  # ends the wait of the reading task
            self.stream.write(b"").add_done_callback(lambda _: self.stream.detach())
