"""A semaphore that serves connections in turn, however many tasks of one of them wait."""

from __future__ import annotations

import asyncio
from collections import deque


class FairTurns:
    """A number of turns; a task waits for one while all are taken.

    Among the waiting tasks, connections are served one after the other, and those of one connection in the
    order in which they came.
    """

    def __init__(self, count: int) -> None:
        self._free = count
        self._waiting: dict[str, deque[asyncio.Future[None]]] = {}  # by connection, the next one first

    async def acquire(self, connection: str) -> None:
        """Wait for a turn and take it."""
        if self._free:
            self._free -= 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(connection, deque()).append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():  # it was given just before
                self.release()
            raise

    def release(self) -> None:
        """Give a turn back, to the next waiting task if there is one."""
        while self._waiting:
            connection = next(iter(self._waiting))
            waiting = self._waiting.pop(connection)
            turn = waiting.popleft()
            if waiting:
                self._waiting[connection] = waiting  # behind the other connections
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1
