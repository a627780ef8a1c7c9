"""Load that this server puts on a shared dependency: its calls in progress, summed over a sliding window.

The dependency may keep working on a call that was abandoned here, so such a call still counts for a while.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from shelfhaven.decision.averages import CONTROL_INTERVAL_S

# Window used where the settings give none.  Its length has no effect then, but it must be positive.
DEFAULT_WINDOW_S = 1.0

# Decimal digits to which a sum of call seconds is rounded, to hide the rounding errors of many small terms.
CALL_SECONDS_DIGITS = 6


class Bucket(NamedTuple):
    """Call seconds between the end of the previous bucket and the end of this one."""

    end: float
    call_seconds: float


class CallLoad:
    """Calls that the dependency is working on, now and over the last window.

    Each second of each call in progress adds one call second.
    """

    __slots__ = (
        "_abandoned_call_ends",
        "_call_seconds",
        "_summed_until",
        "abandoned_call_occupancy",
        "buckets",
        "in_progress",
        "window",
    )

    def __init__(self, window: float, abandoned_call_occupancy: float) -> None:
        self.window = window or DEFAULT_WINDOW_S
        self.abandoned_call_occupancy = abandoned_call_occupancy  # seconds
        self.in_progress = 0  # calls, including abandoned ones that still count
        self.buckets: deque[Bucket] = deque()
        self._call_seconds = 0.0  # sum over all buckets
        self._summed_until = 0.0
        self._abandoned_call_ends: deque[float] = deque()

    def begin(self, now: float) -> None:
        """Record that a call was placed."""
        self._advance(now)
        self.in_progress += 1

    def finish(self, now: float) -> None:
        """Record that a call has ended."""
        self._advance(now)
        self.in_progress -= 1

    def abandon(self, now: float) -> None:
        """Count an abandoned call until the dependency is expected to be done with it.

        This adds a call of its own: `finish` must still be called for the call that was abandoned.
        """
        self.begin(now)
        self._abandoned_call_ends.append(now + self.abandoned_call_occupancy)

    def call_seconds(self, now: float) -> float:
        """Return the call seconds within the last window, or slightly more."""
        self._advance(now)
        return round(self._call_seconds, CALL_SECONDS_DIGITS)

    def _advance(self, now: float) -> None:
        while self._abandoned_call_ends and self._abandoned_call_ends[0] <= now:
            self._sum_until(self._abandoned_call_ends.popleft())
            self.in_progress -= 1
        self._sum_until(now)
        while self.buckets and self.buckets[0].end <= now - self.window:
            self._call_seconds -= self.buckets.popleft().call_seconds
        if not self.buckets:
            self._call_seconds = 0.0  # clears the accumulated rounding error

    def _sum_until(self, end: float) -> None:
        call_seconds = self.in_progress * (end - self._summed_until)
        self._summed_until = end
        self._call_seconds += call_seconds
        if self.buckets and self._interval_of(self.buckets[-1].end) == self._interval_of(end):
            call_seconds += self.buckets.pop().call_seconds
        self.buckets.append(Bucket(end, call_seconds))

    @staticmethod
    def _interval_of(time: float) -> int:
        """Return the number of the control interval; buckets that end in the same one are merged.

        Merging bounds the number of buckets.
        """
        return int(time / CONTROL_INTERVAL_S)
