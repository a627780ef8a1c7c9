"""Limits how many messages of streams the gRPC library receives at a time.

The library keeps each message until it is complete, up to the limit of one message, and lets a peer send a
large one only while the application waits for it.  So the number of reads that wait bounds the memory.  Reads
take turns, those of each connection one after the other: one that takes long gives its turn to the next, and
goes on.  Of those that go on, the oldest ones end when there are too many.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

from shelfhaven.frontends.fair_semaphore import FairSemaphore

BYTES_PER_MB = 1 << 20
TURN_MEMORY_FRACTION = 1 / 16  # of the memory limit, for reads that have their turn
SLOW_MEMORY_FRACTION = 1 / 4  # for reads that take long, such as of bodies that come slowly
MIN_TURNS = 8
TURN_S = 0.05  # sound messages are there at once; one that is not takes long


@dataclass(slots=True, eq=False)
class _Read:
    """One read; `limit` bounds its time."""

    limit: asyncio.Timeout
    started_at: float
    has_turn: bool = True


class MessageReads:
    """The reads of one listener that wait for a message.

    Attributes:
        max_slow: number of reads that may take longer than a turn.
    """

    def __init__(self, memory_mb: float, max_message_bytes: int) -> None:
        messages = memory_mb * BYTES_PER_MB / max_message_bytes  # that fit into the memory
        self.max_slow = max(MIN_TURNS, int(SLOW_MEMORY_FRACTION * messages))
        self._turns = FairSemaphore(max(MIN_TURNS, int(TURN_MEMORY_FRACTION * messages)))
        self._reads: dict[_Read, None] = {}  # in the order of their start

    @contextlib.asynccontextmanager
    async def turn(self, limit: asyncio.Timeout, connection: str) -> AsyncIterator[None]:
        """Wait for a turn to read, within `limit`, which expires early if too many reads take long.

        `connection` identifies the connection of the stream.
        """
        await self._turns.acquire(connection)
        read = _Read(limit, time.monotonic())
        self._reads[read] = None
        try:
            yield
        finally:
            del self._reads[read]
            self._release(read)

    def end_turns(self, now: float) -> None:
        """Let the next reads have the turns of those that take long, and end the oldest of too many."""
        slow = []
        for read in self._reads:
            if now - read.started_at < TURN_S:
                break
            self._release(read)
            slow.append(read)
        for read in slow[: max(0, len(slow) - self.max_slow)]:
            if not read.limit.expired():
                read.limit.reschedule(asyncio.get_running_loop().time())

    def _release(self, read: _Read) -> None:
        if read.has_turn:
            read.has_turn = False
            self._turns.release()
