"""A listening socket and the connections accepted from it, independent of the protocol.

A `Listener` owns its socket and connections.  It accepts the whole backlog before it closes the socket.  It
aborts a connection with an unanswered request only if the peer has not read an earlier answer in time.
"""

from __future__ import annotations

import asyncio
import errno
import itertools
import socket
import stat
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeAlias

from tornado.ioloop import IOLoop

from shelfhaven.config import Address
from shelfhaven.frontends.connection import Connection, ConnectionState, UnreadableStreamError
from shelfhaven.frontends.stream import DetachableStream
from shelfhaven.server import messages
from shelfhaven.server.connection_eviction import eviction_order
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox, after_reading
from shelfhaven.server.receive_buffers import ReceiveBuffers

BACKLOG = 1024
MIN_IDLE_CHECK_INTERVAL_S = 0.05  # between checks for idle connections
STALL_CHECK_INTERVAL_S = 0.25  # between checks for stalled connections
MAX_EVICTIONS = 8  # connections closed at once when no further one can be accepted
CLOSE_POLL_S = 0.02  # between checks for connections that can be closed during a shutdown
ACCEPT_BACKOFF_S = 0.05  # pause in accepting when descriptors run out
REQUEST_TIMEOUT = 408  # HTTP status for an incomplete message; a frontend without statuses ignores it

# Returns the connection for a stream and the host of its peer.
ConnectionFactory: TypeAlias = Callable[[DetachableStream, str], Connection]


def _remove_stale_socket_file(path: Path) -> None:
    """Remove a socket file that no process listens on.

    Raises:
        OSError: the socket is in use; the error is that of a port in use.
    """
    if not path.exists() or not stat.S_ISSOCK(path.stat().st_mode):
        return
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
        try:
            client.connect(str(path))
        except ConnectionRefusedError:
            path.unlink(missing_ok=True)
        else:
            raise OSError(errno.EADDRINUSE, f"{path} is in use")


class ListenerGroup:
    """Forwards messages to all listeners."""

    def __init__(self, listeners: Sequence[Listener]) -> None:
        self.listeners = listeners

    def put(self, message: messages.SetIdleTimeout) -> None:
        """Set the idle timeout of all listeners."""
        for listener in self.listeners:
            listener.put(message)


class Listener:
    """Actor of one listening socket and its connections.

    `max_connections` limits the open connections; with 0 only the available descriptors limit them.
    `receive_buffers` counts the incomplete messages of all listeners.
    """

    def __init__(
        self,
        address: Address | Path,
        descriptors: Descriptors,
        make_connection: ConnectionFactory,
        log: Log,
        max_connections: int = 0,
        receive_buffers: ReceiveBuffers[Connection] | None = None,
    ) -> None:
        self.address = address
        self.make_connection = make_connection
        self.log = log
        self.descriptors = descriptors
        self.max_connections = max_connections
        self.receive_buffers = receive_buffers
        descriptors.on_released.append(self._resume_accepting)
        self.connections: dict[Connection, asyncio.Task[None]] = {}
        self.socket: socket.socket | None = None
        self.accepting = False
        self.draining = False
        self.mailbox: Mailbox[messages.SetIdleTimeout] = Mailbox(self._set_idle_timeout, log)
        self.idle_timeout = 0.0  # seconds; 0: no timeout
        self.idle_check_timer: asyncio.TimerHandle | None = None
        self.stall_check_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Listen.

        Raises:
            OSError: the address cannot be bound.
        """
        self.socket = self._create_socket()
        self._resume_accepting()
        self._close_stalled()

    def _create_socket(self) -> socket.socket:
        family = socket.AF_UNIX if isinstance(self.address, Path) else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        try:
            listening.setblocking(False)
            if isinstance(self.address, Path):
                _remove_stale_socket_file(self.address)
                listening.bind(str(self.address))
            else:
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listening.bind((self.address.host, self.address.port))
            listening.listen(BACKLOG)
        except OSError:
            listening.close()
            raise
        return listening

    def _resume_accepting(self) -> None:
        if self.socket and not self.accepting:
            self.accepting = True
            IOLoop.current().add_handler(self.socket, self._on_readable, IOLoop.READ)

    def _stop_accepting(self) -> None:
        if self.socket and self.accepting:
            self.accepting = False
            IOLoop.current().remove_handler(self.socket)

    def _pause_accepting(self) -> None:
        self._stop_accepting()
        IOLoop.current().call_later(ACCEPT_BACKOFF_S, self._resume_accepting)

    def _on_readable(self, *_: object) -> None:
        """Accept the backlog, as far as descriptors are available."""
        self._accept_backlog(is_closing=False)

    def _accept_backlog(self, is_closing: bool) -> None:
        """Accept the backlog; if the listener is closing, all of it, even beyond the limits."""
        evicted = False
        while self.socket:
            if is_closing:
                self.descriptors.inbound += 1
            elif not self._acquire_connection_slot():
                if not evicted and self._evict_connections():
                    evicted = True
                    continue
                self.log.event("connections_full", open=len(self.connections))
                self._pause_accepting()
                return
            try:
                accepted, peer = self.socket.accept()
            except BlockingIOError:
                self.descriptors.inbound -= 1
                return
            except OSError as error:
                self.descriptors.inbound -= 1
                if self._can_accept_after(error, is_closing):
                    continue
                self.log.event("accept_failed", error=str(error))
                self._pause_accepting()
                return
            self._add_connection(accepted, str(peer[0]) if peer else "unix")
            if evicted and not is_closing:
                return  # continuing could evict again although no other connection waits to be accepted

    def _can_accept_after(self, error: OSError, is_closing: bool) -> bool:
        """Whether accepting can go on at once after an error."""
        if error.errno in (errno.ECONNABORTED, errno.EPROTO):
            return True  # the peer closed the connection before it was accepted
        return is_closing and error.errno in (errno.EMFILE, errno.ENFILE) and self._evict_connections()

    def _acquire_connection_slot(self) -> bool:
        return (
            not self.max_connections or len(self.connections) < self.max_connections
        ) and self.descriptors.acquire_inbound()

    def _evict_connections(self) -> bool:
        """Close connections to free descriptors for new ones; return whether any was closed.

        These are the connections that only wait for their peer's end of stream; if there are none, a few
        idle ones in eviction order.
        """
        closing = [item for item in self.connections if item.state is ConnectionState.CLOSING]
        evicted = closing or self._connections_to_evict()
        for connection in evicted:
            connection.abort()
            self._remove_connection(connection)
        return bool(evicted)

    def _connections_to_evict(self) -> list[Connection]:
        """Return up to `MAX_EVICTIONS` connections that can be closed, in eviction order."""
        now = time.monotonic()
        evictable = (
            connection for connection in eviction_order(self.connections) if connection.is_evictable(now)
        )
        return list(itertools.islice(evictable, MAX_EVICTIONS))

    def _close_stalled(self) -> None:
        """Close stalled connections, and schedule the next check after data in the sockets has been read."""
        now = time.monotonic()
        for connection in list(self.connections):
            if connection.is_message_overdue(now):
                connection.fail_unreadable(UnreadableStreamError("no whole message in time", REQUEST_TIMEOUT))
            elif connection.is_answer_stuck(now):
                self.log.event("answer_not_taken", listener=str(self.address))
                connection.abort()
        self.stall_check_timer = asyncio.get_running_loop().call_later(
            STALL_CHECK_INTERVAL_S, after_reading, self._close_stalled
        )

    def _add_connection(self, accepted: socket.socket, peer: str) -> None:
        accepted.setblocking(False)
        stream = DetachableStream(accepted)
        stream.set_nodelay(accepted.family != socket.AF_UNIX)
        connection = self.make_connection(stream, peer)
        if self.receive_buffers:
            connection.receive_buffers = self.receive_buffers
        task = asyncio.get_running_loop().create_task(connection.run())
        self.connections[connection] = task
        task.add_done_callback(lambda _: self._remove_connection(connection))
        connection.draining = self.draining

    def put(self, message: messages.SetIdleTimeout) -> None:
        """Set the idle timeout."""
        self.mailbox.put(message)

    def _set_idle_timeout(self, message: messages.SetIdleTimeout) -> None:
        self.idle_timeout = message.timeout or 0.0
        if self.idle_check_timer:
            self.idle_check_timer.cancel()
            self.idle_check_timer = None
        if self.idle_timeout > 0:
            self._check_idle()

    def _check_idle(self) -> None:
        """Ask the peers of idle connections to close them: a close by this side could cross a request."""
        self._announce_to_idle(time.monotonic() - self.idle_timeout)
        self.idle_check_timer = asyncio.get_running_loop().call_later(
            max(self.idle_timeout, MIN_IDLE_CHECK_INTERVAL_S), self._check_idle
        )

    def _announce_to_idle(self, before: float) -> None:
        for connection in self.connections:
            if (
                not connection.unanswered
                and not connection.carries_health_checks
                and connection.last_used_at <= before
            ):
                connection.announce_shutdown()

    def _remove_connection(self, connection: Connection) -> None:
        if self.connections.pop(connection, None):
            self.descriptors.release_inbound()

    def begin_drain(self) -> None:
        """Ask all peers to close their connections, also those accepted from now on."""
        self.draining = True
        for connection in self.connections:
            connection.draining = True
            connection.announce_shutdown()

    def stop_listening(self) -> None:
        """Stop listening, after accepting the whole backlog."""
        if self.socket:
            self._accept_backlog(is_closing=True)
            self._stop_accepting()
            self.socket.close()
            self.socket = None
            if isinstance(self.address, Path):
                self.address.unlink(missing_ok=True)

    def open_requests(self) -> int:
        """Return the number of requests on all connections whose answers have not been sent."""
        return sum(
            len(c.unanswered) + bool(c.stream.writing() and not c.stream.closed()) for c in self.connections
        )

    async def close_connections(self, time_left: float) -> None:
        """Close each connection once it has no unanswered request; wait at most `time_left` seconds for that.

        A connection that still has an unanswered request after that stays open.
        """
        deadline = time.monotonic() + time_left
        while self._close_idle() and time.monotonic() < deadline:
            await asyncio.sleep(CLOSE_POLL_S)
        closing = [task for connection, task in self.connections.items() if connection.stream.closed()]
        if closing:
            await asyncio.wait(closing, timeout=max(0.0, deadline - time.monotonic()))
        for timer in (self.idle_check_timer, self.stall_check_timer):
            if timer:
                timer.cancel()
        for connection in list(self.connections):
            if not connection.unanswered and not connection.stream.writing():
                connection.abort()

    def _close_idle(self) -> bool:
        """Begin to close the idle connections; return whether any connection is still open."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.begin_close()
        return any(
            connection.state is ConnectionState.OPEN and not connection.stream.closed()
            for connection in self.connections
        )
