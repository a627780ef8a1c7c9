"""A discrete-event scheduler: runs callbacks in the order of their virtual times.

Callbacks that are due at the same time run in the order in which they were scheduled, so that a simulation
repeats exactly for the same seed. The real clock is never read.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """The clock and its queue of scheduled callbacks.

    `run` evaluates its `done` condition once per `calls_per_check` callbacks.
    """

    calls_per_check = 256

    def __init__(self) -> None:
        self.now = 0.0
        self.sequence = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time."""
        heapq.heappush(self.queue, (when, next(self.sequence), callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in seconds."""
        self.at(self.now + delay, callback)

    def run(self, until: float, done: Callable[[], bool] | None = None) -> float:
        """Run callbacks up to a time, or until `done` returns true; return the virtual time reached."""
        completed = 0
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
            completed += 1
            if done and completed % self.calls_per_check == 0 and done():
                return self.now
        self.now = max(self.now, until)
        return self.now
