"""How much a server may have in hand, and how many further attempts a pool may make.

Owns two small pieces of state: a limit that follows what a server completes, and a budget that grows with
first attempts. It must never do I/O, read a clock or know what a request is.

The limit follows the gradient idea: the best latency seen over the present one says by how much to shrink,
and the square root of the limit is always allowed as a queue, so that it can grow again. Latencies are in
units of what the class of request usually takes in the pool: a mix of classes does not look like load.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

GAIN = 0.2  # part of the way to the new limit, for as many completions as the limit
SHORT_GAIN = 0.25  # weight of a new latency in the short mean: about the last four
GRADIENT_LEAST = 0.5  # a limit shrinks by half at most, however slow the last answers were
FLOOR_RISE = 0.002  # part by which the best latency is forgotten at each completion: about 500 of them
USED_PART = 0.5  # of the limit in hand, below which a completion says nothing of the limit
BACKOFF = 0.7  # of the limit, after a run that failed by overload or time
REFUSED_BACKOFF = 0.85  # of the limit, after a refusal: the server itself knows its bounds


@dataclass(slots=True)
class AdaptiveLimit:
    """Requests that a server may have in hand; `value` is in requests, never under `least` or over `most`."""

    value: float
    least: float
    most: float
    tolerance: float = 2.0  # latency over the best seen that is still fine
    short: float = 0.0  # mean latency of the last answers, in usual ones
    floor: float = 0.0  # best latency seen, forgotten slowly

    def completed(self, latency: float, in_hand: int) -> None:
        """An answer came after `latency` (in usual ones), with so many in hand as it came."""
        if not 0 < latency < math.inf:
            return
        self.short += SHORT_GAIN * (latency - self.short) if self.short else latency
        self.floor = min(latency, self.floor * (1 + FLOOR_RISE)) if self.floor else latency
        if in_hand < USED_PART * self.value:  # the limit was not what bound it
            return
        gradient = max(GRADIENT_LEAST, min(1.0, self.tolerance * self.floor / self.short))
        target = self.value * gradient + math.sqrt(self.value)
        self._set(self.value + GAIN * (target - self.value) / max(1.0, self.value))

    def failed(self) -> None:
        """A run broke or ran out of time."""
        self._set(self.value * BACKOFF)

    def refused(self) -> None:
        """The server turned a run away."""
        self._set(self.value * REFUSED_BACKOFF)

    def _set(self, value: float) -> None:
        self.value = min(self.most, max(self.least, value))


@dataclass(slots=True)
class AttemptBudget:
    """Further attempts as a part of first ones, over the whole pool, with a bounded reserve."""

    part: float  # further attempts allowed for each first one
    reserve: float  # most that can be saved up; also what there is at first
    saved: float = -1.0

    def __post_init__(self) -> None:
        if self.saved < 0:
            self.saved = self.reserve

    def first(self) -> None:
        """A first attempt was made."""
        self.saved = min(self.reserve, self.saved + self.part)

    @property
    def has(self) -> bool:
        """Whether a further attempt would be allowed."""
        return self.saved >= 1.0

    def take(self) -> bool:
        """Take one further attempt, if it is allowed."""
        if not self.has:
            return False
        self.saved -= 1.0
        return True
