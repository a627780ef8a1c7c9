"""Mailboxes, which deliver messages to an actor one at a time, and helpers for reading sockets first.

A mailbox never reorders or drops a message.  An exception raised while a message is handled is logged and
affects that message only.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Generic, TypeVar, TypeVarTuple

from shelfhaven.server.log import Log

MessageT = TypeVar("MessageT")
Args = TypeVarTuple("Args")

READING_ITERATIONS = 5  # of the event loop: enough to read and handle the data that the sockets already hold


def after_reading(
    callback: Callable[[*Args], None], *args: *Args, iterations: int = READING_ITERATIONS
) -> None:
    """Call `callback` after the data that the sockets already hold has been read and handled.

    When the event loop runs late, a timer may expire before the message that would have been in time is read.
    """
    if iterations > 0:
        next_iteration = partial(after_reading, callback, *args, iterations=iterations - 1)
        asyncio.get_running_loop().call_soon(next_iteration)
    else:
        callback(*args)


def peek(sock: socket.socket) -> bytes | None:
    """Return the next byte without consuming it; empty at the end of the stream, None if no data is there."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def _discard(_: object) -> None:
    """Discard a message to an actor that has ended."""


class Mailbox(Generic[MessageT]):
    """The message queue of one actor; each iteration of the event loop handles all messages as a batch."""

    def __init__(
        self,
        handle: Callable[[MessageT], None],
        log: Log,
        after_batch: Callable[[], None] | None = None,
    ) -> None:
        self.handle = handle
        self.after_batch = after_batch  # called after the last message of each batch
        self.log = log
        self.queue: deque[MessageT] = deque()
        self.scheduled = False

    def end(self) -> None:
        """Drop the reference to the actor, which has ended, and discard all further messages.

        Actor and mailbox refer to each other.  That cycle would be freed only by a full garbage collection,
        which a server under steady load hardly ever runs.
        """
        self.handle = _discard
        self.after_batch = None

    def put(self, message: MessageT) -> None:
        """Queue a message for the next iteration of the event loop."""
        self.queue.append(message)
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._handle_batch)

    def _handle_batch(self) -> None:
        self.scheduled = False
        while self.queue:
            self._call_logging_errors(self.handle, self.queue.popleft())
        if self.after_batch:
            self._call_logging_errors(self.after_batch)

    def _call_logging_errors(self, callback: Callable[[*Args], None], *args: *Args) -> None:
        try:
            callback(*args)
        except Exception:
            self.log.exception("actor_failed")
