"""The memory that incomplete messages of all connections take, and which of them goes when it is too much.

A message is kept until its last byte has arrived.  Each is limited in size, but many callers that stop half
way through large ones would together exceed the memory of this process.  The messages that have come at the
lowest rate since their first byte go first: the rate of one whose caller has stopped falls with time.

This module does no I/O and reads no clock; the owner of a connection closes it.
"""

from __future__ import annotations

import math
from typing import Generic, Protocol, TypeVar

BUFFER_MEMORY_FRACTION = 1 / 16  # of the memory limit; the allocator may take some times as much
BYTES_PER_MB = 1 << 20
MIN_AGE_S = 0.001  # of a message, as its rate is not known before
MIN_RELEASED_BYTES = 4096  # a smaller message stays, as its end would free next to nothing


class Receiver(Protocol):
    """A connection as this module sees it."""

    message_awaited_since: float  # time of the first byte of its incomplete message


ReceiverT = TypeVar("ReceiverT", bound=Receiver)


def buffer_limit(memory_mb: float) -> float:
    """Return the bytes that incomplete messages may have in a process with this memory limit."""
    return BUFFER_MEMORY_FRACTION * memory_mb * BYTES_PER_MB


class ReceiveBuffers(Generic[ReceiverT]):
    """Bytes that are kept of incomplete messages, by connection.

    Attributes:
        limit: bytes that all of them may have.
        total: bytes that all of them have.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.total = 0
        self._sizes: dict[ReceiverT, int] = {}

    def update(self, receiver: ReceiverT, size: int) -> None:
        """Record how many bytes a connection keeps of an incomplete message; 0 if it keeps none."""
        self.total += size - self._sizes.get(receiver, 0)
        if size:
            self._sizes[receiver] = size
        else:
            self._sizes.pop(receiver, None)

    def connection_to_close(self, now: float) -> ReceiverT | None:
        """Return the connection whose message should go, as there is too much; None while there is not."""
        if self.total <= self.limit:
            return None
        large = [receiver for receiver, size in self._sizes.items() if size >= MIN_RELEASED_BYTES]
        return min(large, key=lambda receiver: self._rate(receiver, now)) if large else None

    def _rate(self, receiver: ReceiverT, now: float) -> float:
        """Return the bytes per second at which a connection's message has come."""
        return self._sizes[receiver] / max(MIN_AGE_S, now - receiver.message_awaited_since)
