"""The descriptors that connections share: routers may hold half, calls to the ledger what is left.

Owns the count alone.  It must never open or close anything; what waits for a descriptor is told when one is
back, and calls are told when a router waits.
"""

from __future__ import annotations

from collections.abc import Callable

OTHERS = 12  # standard streams, the loop, listener, link and datagram socket make nine
ROUTERS_PART = 1 / 2  # by the protocol
COMING = 4  # descriptors that calls leave to routers beyond those that they hold, where they can


class Descriptors:
    """Counts descriptors held by routers' connections and by calls."""

    def __init__(self, limit: int) -> None:
        self.room = max(2, limit - OTHERS)
        self.routers_most = max(1, min(int(limit * ROUTERS_PART), self.room - 1))
        self.calls_least = self.room - self.routers_most  # these are theirs whatever routers do
        self.routers = self.calls = 0
        self.wanted = False  # a router waits for a descriptor that a call holds
        self.on_free: list[Callable[[], None]] = []
        self.on_wanted: list[Callable[[], None]] = []

    def take_router(self) -> bool:
        """Count one more router's connection, if there is room."""
        if self.routers >= self.routers_most:
            return False
        self.wanted = self.routers + self.calls >= self.room
        if self.wanted:
            for told in self.on_wanted:
                told()
            return False
        self.routers += 1
        return True

    def take_call(self) -> bool:
        """Count one more connection to the ledger: of its own part, or of what routers leave unused."""
        spare = self.room - self.routers - self.calls - COMING
        if self.calls >= self.calls_least and (spare <= 0 or self.wanted):
            return False
        self.calls += 1
        return True

    def give_router(self) -> None:
        """A router's connection is closed."""
        self.routers -= 1
        self._freed()

    def give_call(self) -> None:
        """A connection to the ledger is closed."""
        self.calls -= 1
        self._freed()

    def _freed(self) -> None:
        for told in self.on_free:
            told()
