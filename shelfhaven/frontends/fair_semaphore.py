"""A semaphore that serves connections round-robin, however many tasks of one of them wait."""

from __future__ import annotations

import asyncio
from collections import deque


class FairSemaphore:
    """A semaphore whose waiting tasks each belong to a connection.

    Among the waiting tasks, connections are served one after the other, and those of one connection in the
    order in which they came.
    """

    def __init__(self, count: int) -> None:
        self._free = count
        self._waiting: dict[str, deque[asyncio.Future[None]]] = {}  # by connection, the next one first

    async def acquire(self, connection: str) -> None:
        """Acquire the semaphore, after waiting if it is exhausted."""
        if self._free:
            self._free -= 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(connection, deque()).append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if not waiter.cancelled():  # it was acquired just before
                self.release()
            raise

    def release(self) -> None:
        """Release the semaphore to the next waiting task, if there is one."""
        while self._waiting:
            connection = next(iter(self._waiting))
            waiting = self._waiting.pop(connection)
            waiter = waiting.popleft()
            if waiting:
                self._waiting[connection] = waiting  # behind the other connections
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free += 1
