"""Mailboxes: how actors take messages, one at a time.

Owns the queue of one actor and its turn in the loop. It must never reorder or drop a message; an exception
of the actor is logged and costs the one message that raised it.
"""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from shelfhaven.server.log import Log

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Queue of one actor; its messages are handled in the next turn of the loop, all of them in one turn."""

    def __init__(
        self, handle: Callable[[T], None], log: Log, after: Callable[[], None] | None = None
    ) -> None:
        self.handle, self.after, self.log = handle, after, log
        self.queue: deque[T] = deque()
        self.scheduled = False

    def put(self, message: T) -> None:
        """Add a message."""
        self.queue.append(message)
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        self.scheduled = False
        while self.queue:
            message = self.queue.popleft()
            try:
                self.handle(message)
            except Exception:
                self.log.event("actor_failed", error=traceback.format_exc(limit=-4))
        if self.after:
            try:
                self.after()
            except Exception:
                self.log.event("actor_failed", error=traceback.format_exc(limit=-4))
