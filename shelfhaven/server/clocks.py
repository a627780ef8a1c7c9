"""The clocks of the core: monotonic time, Unix time, and the time of the event being handled.

Invariant: `now` never decreases, even if the monotonic clock does.
"""

from __future__ import annotations

from collections.abc import Callable


class Clocks:
    """The time sources of the core; tests pass in clocks that they control."""

    def __init__(self, monotonic: Callable[[], float], wall: Callable[[], float]) -> None:
        self.monotonic = monotonic  # seconds since an arbitrary origin
        self.wall = wall  # seconds since the Unix epoch
        self.now = monotonic()  # monotonic time of the event being handled

    def advance(self) -> float:
        """Set `now` to the time of the next event and return it."""
        self.now = self.latest()
        return self.now

    def latest(self) -> float:
        """Return the current monotonic time, but never less than `now`."""
        return max(self.now, self.monotonic())
