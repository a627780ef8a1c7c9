"""A connection of a caller, independent of its protocol: reading requests, sending answers, closing.

A `Connection` owns the stream, the references of its unanswered requests and the bytes to be sent.  It does
not close a connection that has an unanswered request, and answers by itself only what cannot be read.
Subclasses implement the framing, decoding and encoding of a protocol.

Answers are sent by `_flush`, and to a half-closed peer by `_answer_half_closed_peer`; `_release` and `abort`
close the socket.  docs/shutdown-and-races.md lists the events that may happen between any two steps.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import traceback
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum
from typing import TypeAlias

from tornado.iostream import StreamClosedError

from shelfhaven.errors import ShelfhavenError
from shelfhaven.frontends.stream import DetachableStream
from shelfhaven.server import messages
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox, peek

READ_BYTES = 64 * 1024  # at most, in one read
CLOSE_RACE_WINDOW_S = 0.05  # by the protocol, a request may still cross a close this soon after a message
MESSAGE_TIMEOUT_S = 1.5  # until a message is complete; a caller that sends nothing is closed within 3 s
CLOSE_TIMEOUT_S = 0.5  # a close waits this long for the peer's end of stream: answers arrive sooner
CLOSE_POLL_S = 0.02  # between checks for the peer's end of stream
HALF_CLOSED_POLL_S = 0.05  # between checks whether a peer that ended its stream has closed the connection

NotifyCore: TypeAlias = Callable[
    [messages.SubmitRequest | messages.CancelRequest | messages.RejectMalformed | messages.CheckHealth], None
]


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
    """Actor of one connection, and a frontend as the core sees it.

    Attributes:
        message_timeout: seconds within which a message that has begun must be complete.
        unread_answer_timeout: seconds within which the peer must have read an answer; None for no limit.
        liveness_probe: a message that a peer may receive at any time.  A peer that has ended its stream
            resets the connection on receiving it if it has closed the connection, and reads it otherwise.
            Empty if the protocol has no such message.
    """

    message_timeout = MESSAGE_TIMEOUT_S
    unread_answer_timeout: float | None = None
    liveness_probe = b""

    def __init__(self, stream: DetachableStream, notify_core: NotifyCore, log: Log) -> None:
        self.stream = stream
        self.notify_core = notify_core
        self.log = log
        self.mailbox: Mailbox[messages.Answer] = Mailbox(self._queue_answer, log, self._flush)
        self.state = ConnectionState.OPEN
        self.unanswered: set[int] = set()  # references of requests
        self.outgoing: list[bytes] = []
        self.draining = False  # a connection accepted now gets the announcement after its first data
        self.carries_health_checks = False
        self.last_used_at = time.monotonic()  # time of the last message or answer
        self.message_awaited_since = self.last_used_at  # then the time of each message's first byte
        self.silent = True  # no complete message has been received yet
        self.closed_by_reader = False  # the reading task has done its last read and closes the stream itself
        self.output_finished = asyncio.Event()  # an unreadable connection has no more answers to send
        self.answer_ready = asyncio.Event()  # there are answers to send to a half-closed peer

    @property
    @abstractmethod
    def has_partial_message(self) -> bool:
        """Whether part of a message has been read."""

    @abstractmethod
    def _parse(self, data: bytes) -> None:
        """Parse received bytes and notify the core of each message in them.

        Raises:
            UnreadableStreamError: the stream cannot be read any further.
        """

    @abstractmethod
    def _encode(self, answer: messages.Answer) -> bytes:
        """Return the bytes of an answer."""

    @abstractmethod
    def _encode_unreadable(self, error: UnreadableStreamError) -> bytes:
        """Return the bytes that tell a peer that its stream cannot be read; empty to send nothing."""

    @abstractmethod
    def announce_shutdown(self) -> None:
        """Ask the peer to send no new requests and to close, as far as the protocol can express that."""

    def answer(self, answer: messages.Answer) -> None:
        """Queue an answer of the core."""
        self.mailbox.put(answer)

    async def run(self) -> None:
        """Read until the stream ends, send outstanding answers, and close."""
        try:
            await self._serve()
        except (OSError, StreamClosedError, TimeoutError):
            pass
        except asyncio.CancelledError:
            self._release()
            raise
        try:
            if self._can_answer_half_closed_peer():
                await self._answer_half_closed_peer()
            elif not self.stream.eof_received:
                await self._close_gracefully()
        except (OSError, TimeoutError):
            pass
        finally:
            self._release()

    async def _serve(self) -> None:
        """Read messages until the stream ends or cannot be read; then send outstanding answers."""
        while self.state is ConnectionState.OPEN:
            data = await self.stream.read_bytes(READ_BYTES, partial=True)
            self._handle_data(data)
            if self.stream.writing():  # backpressure: stop reading until the peer has read its answers
                await self.stream.write(b"")
        await self.output_finished.wait()
        await self.stream.write(b"")  # waits until pending bytes have been sent
        await self._prepare_close()

    async def _prepare_close(self) -> None:
        """Prepare an unreadable stream for the close."""
        self.stream.detach()

    def _can_answer_half_closed_peer(self) -> bool:
        """Whether the peer has ended its stream and a probe can tell whether it still reads answers."""
        return self.stream.eof_received and bool(self.liveness_probe)

    async def _answer_half_closed_peer(self) -> None:
        """Send outstanding answers to a peer that has ended its stream, until all are sent or it resets.

        A TCP peer that has shut down its sending direction may still read.  A peer that has closed the
        connection resets it on the first byte that it receives, so the probe is sent before the answers.
        """
        sock = self.stream.detached_socket
        if sock is None or not (self.unanswered or self.outgoing or self.stream.unsent):
            return
        self.state = ConnectionState.PEER_HALF_CLOSED
        self.outgoing[:0] = [self.stream.unsent, self.liveness_probe]
        while self.unanswered or self.outgoing:
            data = b"".join(self.outgoing)
            self.outgoing.clear()
            self.answer_ready.clear()
            if data:
                sending = asyncio.get_running_loop().sock_sendall(sock, data)
                await asyncio.wait_for(sending, self.unread_answer_timeout)
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.answer_ready.wait(), HALF_CLOSED_POLL_S)

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
        self.abort()
        for ref in self.unanswered:
            self.notify_core(messages.CancelRequest(self, ref))
        self.unanswered.clear()
        self.mailbox.end()

    def abort(self) -> None:
        """Close the socket at once, discarding anything pending."""
        self.stream.close()
        if self.stream.detached_socket:
            self.stream.detached_socket.close()

    def begin_close(self) -> None:
        """Begin the graceful close of a connection without unanswered requests."""
        self.stream.detach()

    def _handle_data(self, data: bytes) -> None:
        """Handle received bytes; bytes received on an unreadable connection are discarded."""
        if self.state is not ConnectionState.OPEN:
            return
        if not self.has_partial_message:
            self.message_awaited_since = time.monotonic()
        try:
            self._parse(data)
        except UnreadableStreamError as error:
            self.closed_by_reader = True
            self.fail_unreadable(error)
        except Exception:
            self.fail_unreadable(UnreadableStreamError(traceback.format_exc(limit=-4)))
        if self.draining:
            self.announce_shutdown()
        if self.outgoing:
            self._flush()

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
        self._flush()

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
            self.silent or self.has_partial_message
        ) and now - self.message_awaited_since > self.message_timeout

    def is_answer_stuck(self, now: float) -> bool:
        """Whether the peer has left an answer unread for too long."""
        return (
            self.unread_answer_timeout is not None
            and self.stream.writing()
            and now - self.last_used_at > self.unread_answer_timeout
        )

    def _queue_answer(self, answer: messages.Answer) -> None:
        if answer.request_ref not in self.unanswered:  # the request has been cancelled
            return
        self.unanswered.discard(answer.request_ref)
        self.outgoing.append(self._encode(answer))

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
        """Have answers sent on the detached socket of an ended stream if possible, else discard them."""
        if self._can_answer_half_closed_peer():
            self.answer_ready.set()
            return
        self.outgoing.clear()
        self.output_finished.set()

    def _close_if_done(self) -> None:
        """Close an unreadable connection once its outstanding answers have been sent."""
        if self.state is not ConnectionState.UNREADABLE or self.unanswered or self.outgoing:
            return
        self.output_finished.set()
        if not self.closed_by_reader and not self.stream.closed():  # ends the wait of the reading task
            self.stream.write(b"").add_done_callback(lambda _: self.stream.detach())
