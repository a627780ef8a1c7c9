"""Shares the limit on file descriptors between inbound connections (routers) and outbound (downstream calls).

This module only counts; it never opens or closes a descriptor.  Inbound connections may use half of the
limit.  The rest is reserved for outbound connections, which may also borrow what inbound ones leave unused.
Callbacks notify those that wait for a descriptor when one is released, and the owner of outbound connections
when an inbound connection waits for a borrowed descriptor.
"""

from __future__ import annotations

from collections.abc import Callable

# nine are in use: standard streams, event loop, listener, connection to the agent, datagram socket
NON_CONNECTION_DESCRIPTORS = 12
MAX_INBOUND_FRACTION = 1 / 2  # of the limit; the protocol sets it
INBOUND_HEADROOM = 4  # free descriptors that borrowing must leave to inbound connections


class Descriptors:
    """Counts the descriptors in use by inbound and by outbound connections."""

    def __init__(self, limit: int) -> None:
        self.capacity = max(2, limit - NON_CONNECTION_DESCRIPTORS)
        self.max_inbound = max(1, min(int(limit * MAX_INBOUND_FRACTION), self.capacity - 1))
        self.reserved_outbound = self.capacity - self.max_inbound
        self.inbound = 0
        self.outbound = 0
        self.inbound_waiting = False  # for a descriptor that an outbound connection has borrowed
        self.on_released: list[Callable[[], None]] = []
        self.on_inbound_waiting: list[Callable[[], None]] = []

    def acquire_inbound(self) -> bool:
        """Take a descriptor for an inbound connection; return whether one was free."""
        if self.inbound >= self.max_inbound:
            return False
        self.inbound_waiting = self.inbound + self.outbound >= self.capacity
        if self.inbound_waiting:
            for callback in self.on_inbound_waiting:
                callback()
            return False
        self.inbound += 1
        return True

    def acquire_outbound(self) -> bool:
        """Take a reserved or borrowed descriptor for an outbound connection; return whether one was free."""
        borrowable = self.capacity - self.inbound - self.outbound - INBOUND_HEADROOM
        may_borrow = borrowable > 0 and not self.inbound_waiting
        if self.outbound >= self.reserved_outbound and not may_borrow:
            return False
        self.outbound += 1
        return True

    def release_inbound(self) -> None:
        """Return the descriptor of a closed inbound connection."""
        self.inbound -= 1
        self._notify_released()

    def release_outbound(self) -> None:
        """Return the descriptor of a closed outbound connection."""
        self.outbound -= 1
        self._notify_released()

    def _notify_released(self) -> None:
        for callback in self.on_released:
            callback()
