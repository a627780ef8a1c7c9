"""A connection whose bytes this project parses: framing, requests to the core, and its answers.

Subclasses implement the framing, decoding and encoding of a protocol.  Answers to a peer that has ended its
stream are sent by `_answer_half_closed_peer`, all others by `Connection`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from abc import abstractmethod
from collections.abc import Callable
from typing import TypeAlias

from shelfhaven.frontends.connection import Connection, ConnectionState, UnreadableStreamError
from shelfhaven.frontends.peer_presence import PeerPresence, peer_presence
from shelfhaven.frontends.stream import READ_CHUNK_BYTES, DetachableStream
from shelfhaven.server import messages
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox
from shelfhaven.server.message_allowance import MessageAllowance

READS_PER_TURN = 4  # of data that is there already, before the event loop serves other connections
HALF_CLOSED_POLL_S = 0.05  # between checks whether a peer that ended its stream has closed the connection

NotifyCore: TypeAlias = Callable[
    [messages.SubmitRequest | messages.CancelRequest | messages.RejectMalformed | messages.CheckHealth], None
]


class MessageConnection(Connection):
    """Actor of one connection, and a frontend as the core sees it.

    Attributes:
        liveness_probe: a message that a peer may receive at any time.  A peer that has ended its stream
            resets the connection on receiving it if it has closed the connection, and reads it otherwise.
            Empty if the protocol has no such message.
    """

    liveness_probe = b""

    def __init__(self, stream: DetachableStream, notify_core: NotifyCore, log: Log) -> None:
        super().__init__(stream, log)
        self.notify_core = notify_core
        self.mailbox: Mailbox[messages.Answer] = Mailbox(self._queue_answer, log, self._flush)
        self.answer_ready = asyncio.Event()  # there are answers to send to a half-closed peer
        self.probed = False  # whether a peer that had ended its stream was sent the probe
        self.reads_in_turn = 0  # reads of data that was there, since the event loop last served others
        self.message_allowance = MessageAllowance(time.monotonic())

    @abstractmethod
    def _parse(self, data: bytes) -> bool:
        """Parse received bytes and notify the core of messages in them, as many as one turn allows.

        Return whether further messages may be complete; they are parsed in the next turn, without new data.

        Raises:
            UnreadableStreamError: the stream cannot be read any further.
        """

    @abstractmethod
    def _encode(self, answer: messages.Answer) -> bytes:
        """Return the bytes of an answer."""

    def answer(self, answer: messages.Answer) -> None:
        """Queue an answer of the core."""
        self.mailbox.put(answer)

    async def _serve(self) -> None:
        """Read messages until the stream ends or cannot be read; then send outstanding answers."""
        while self.state is ConnectionState.OPEN:
            data = await self._read()
            has_more = True
            while has_more:
                if await self._has_peer_left():
                    return  # what it has sent is of no use
                has_more = self._handle_data(data)
                data = b""
                await self._hold_back()
                if has_more:
                    await asyncio.sleep(0)  # ends the turn: the event loop serves the other connections
        await self.output_finished.wait()
        await self.stream.write(b"")  # waits until pending bytes have been sent
        await self._prepare_close()

    async def _read(self) -> bytes:
        """Read what has been received; after some reads, the event loop serves other connections first.

        A read of data that is there already does not suspend the task: without this, a peer that sends as
        fast as its data is handled would keep the event loop to itself.
        """
        reading = asyncio.ensure_future(self.stream.read_bytes(READ_CHUNK_BYTES, partial=True))
        self.reads_in_turn = self.reads_in_turn + 1 if reading.done() else 0
        if self.reads_in_turn == READS_PER_TURN:
            self.reads_in_turn = 0
            await asyncio.sleep(0)
        try:
            return await reading
        finally:
            del reading  # its exception refers to this frame, which would keep the connection alive

    async def _has_peer_left(self) -> bool:
        """Whether the peer has closed the connection, though data that it sent before is still unread.

        A peer that has ended its stream may still wait for answers where the protocol has a probe.
        """
        presence = self._peer_presence()
        if presence is not PeerPresence.HALF_CLOSED:
            return presence is PeerPresence.GONE
        if not self.liveness_probe:
            return True
        if not self.probed and not self.stream.closed():
            self.probed = True
            self.stream.write(self.liveness_probe)
            await asyncio.sleep(HALF_CLOSED_POLL_S)
        return self._peer_presence() is PeerPresence.GONE

    def _peer_presence(self) -> PeerPresence:
        sock = self.stream.detached_socket or self.stream.socket
        return peer_presence(sock) if sock else PeerPresence.GONE

    async def _hold_back(self) -> None:
        """Stop reading until the peer has read its answers, and while it sends too much that is of no use."""
        delay = self.message_allowance.delay(time.monotonic())
        if not delay and not self.stream.writing():
            return
        self.held_back = True
        while delay and not self.stream.closed() and not await self._has_peer_left():
            await asyncio.sleep(min(delay, HALF_CLOSED_POLL_S))
            delay = self.message_allowance.delay(time.monotonic())
        if self.stream.writing():
            await self.stream.write(b"")
        self.held_back = False
        self.message_awaited_since = time.monotonic()

    async def _prepare_close(self) -> None:
        """Prepare an unreadable stream for the close."""
        self.stream.detach()

    async def _end_stream(self) -> None:
        if self._can_answer_half_closed_peer():
            await self._answer_half_closed_peer()
        else:
            await super()._end_stream()

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

    def _release(self) -> None:
        super()._release()
        self.mailbox.end()

    def _cancel_unanswered(self) -> None:
        for ref in self.unanswered:
            self.notify_core(messages.CancelRequest(self, ref))

    def _handle_data(self, data: bytes) -> bool:
        """Handle received bytes for one turn; return whether the next turn may find further messages.

        Bytes received on an unreadable connection are discarded.
        """
        if self.state is not ConnectionState.OPEN:
            return False
        if not self.has_partial_message:
            self.message_awaited_since = time.monotonic()
        has_more = False
        try:
            has_more = self._parse(data)
        except UnreadableStreamError as error:
            self.closed_by_reader = True
            self.fail_unreadable(error)
        except Exception:
            self.fail_internally()
        if self.draining:
            self.announce_shutdown()
        if not has_more:  # what waits for its turn is no incomplete message
            self._record_buffered_bytes()
        if self.outgoing:
            self._flush()
        return has_more

    def _queue_answer(self, answer: messages.Answer) -> None:
        if answer.request_ref not in self.unanswered:  # the request has been cancelled
            return
        self.unanswered.discard(answer.request_ref)
        self.outgoing.append(self._encode(answer))

    def _flush_ended_stream(self) -> None:
        """Have answers sent on the detached socket of an ended stream if possible, else discard them."""
        if self._can_answer_half_closed_peer():
            self.answer_ready.set()
        else:
            super()._flush_ended_stream()
