"""The order in which connections are closed to free descriptors for new ones.

This module computes the order only and does no I/O.  The owner of a connection checks whether it can be
closed without losing data.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol, TypeVar

PROTECTED_ACTIVE_FRACTION = 0.5  # active connections up to this fraction of all are not evicted


class EvictableConnection(Protocol):
    """A connection as the eviction order sees it."""

    silent: bool  # no complete message has been received yet
    last_used_at: float  # time of the last use; all connections use the same clock


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


def eviction_order(connections: Collection[ConnectionT]) -> list[ConnectionT]:
    """Return the connections that may be evicted, in the order in which to evict them.

    Silent connections come first, then active ones (those that have sent a message), each in least recently
    used order.  While the active connections are no more than `PROTECTED_ACTIVE_FRACTION` of all, only silent
    ones may be evicted: new connections can wait for those, which must send a message within a short time.
    """
    silent = [connection for connection in connections if connection.silent]
    active_count = len(connections) - len(silent)
    only_silent = active_count <= PROTECTED_ACTIVE_FRACTION * len(connections)
    candidates = silent if only_silent else connections
    return sorted(candidates, key=lambda connection: (not connection.silent, connection.last_used_at))
