"""How much a server may have in hand, and how many further attempts a pool may make.

Owns two small pieces of state: a limit that follows what a server completes, and a budget that grows with
first attempts. It must never do I/O, read a clock or know what a request is.

The limit follows the gradient idea: latency with few in hand over the present one says by how much to shrink,
and the square root of the limit is always allowed as a queue, so that it can grow again. Latencies are in
units of what the class of request usually takes in the pool: a mix of classes does not look like load. Under
lasting load there never are few in hand, and what the best latency is would be forgotten: then the limit
is held down for some answers, to measure it anew. A mean is compared and not the least, which with uneven
work says nothing of what is usual.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

GAIN = 0.2  # part of the way to the new limit, for as many completions as the limit
SHORT_GAIN = 1 / 8  # weight of a new latency in the present mean
QUIET_GAIN = 1 / 8  # weight of a new latency in the mean with few in hand
GRADIENT_LEAST = 0.5  # a limit shrinks by half at most, however slow the last answers were
USED_PART = 0.5  # of the limit in hand, below which a completion says nothing of the limit
QUIET_LEAST, QUIET_PART = 2, 0.25  # requests in hand, or part of the limit, that count as few
PROBE_EVERY = 250  # completions under load between two probes: a probe costs a few requests' time
PROBE_FIRST = 30  # the same while nothing is known
PROBE_ANSWERS = 6  # with few in hand, that end a probe
PROBE_MOST = 4.0  # limits' worth of answers after which a probe ends in any case
BACKOFF = 0.7  # of the limit, after a run that failed by overload or time
REFUSED_BACKOFF = 0.85  # of the limit, after a refusal: the server itself knows its bounds


@dataclass(slots=True)
class AdaptiveLimit:
    """Requests that a server may have in hand; `value` is in requests, never under `least` or over `most`."""

    value: float
    least: float
    most: float
    tolerance: float = 1.5  # present latency over that with few in hand that is still fine
    short: float = 0.0  # mean latency of the last answers, in usual ones
    quiet: float = 0.0  # the same of answers with few in hand
    pressed: int = 0  # completions under load since the last probe
    probing: int = 0  # answers with few in hand that a probe still waits for
    patience: int = 0  # answers after which it ends in any case

    @property
    def allowed(self) -> float:
        """Requests in hand that are allowed just now: few during a probe."""
        return max(self.least, QUIET_PART * self.value) if self.probing else self.value

    def is_quiet(self, in_hand: int) -> bool:
        """Whether so many in hand are few."""
        return in_hand <= max(QUIET_LEAST, QUIET_PART * self.value)

    def completed(self, latency: float, in_hand: int) -> None:
        """An answer came after `latency` (in usual ones), with so many in hand at most while it took."""
        if not 0 < latency < math.inf:
            return
        few = self.is_quiet(in_hand)
        if few:
            self.quiet += QUIET_GAIN * (latency - self.quiet) if self.quiet else latency
        if self.probing:
            self.probing -= few
            self.patience -= 1
            if self.patience <= 0:
                self.probing = 0
            return
        self.short += SHORT_GAIN * (latency - self.short) if self.short else latency
        if in_hand < USED_PART * self.value:  # the limit was not what bound it
            return
        self.pressed += 1
        if self.pressed >= (PROBE_EVERY if self.quiet else PROBE_FIRST):
            self.pressed, self.probing = 0, PROBE_ANSWERS
            self.patience = int(PROBE_MOST * self.value) + PROBE_ANSWERS
        elif self.quiet:
            gradient = max(GRADIENT_LEAST, min(1.0, self.tolerance * self.quiet / self.short))
            target = self.value * gradient + math.sqrt(self.value)
            self._set(self.value + GAIN * (target - self.value) / max(1.0, self.value))

    def failed(self) -> None:
        """A run broke or ran out of time."""
        self._set(self.value * BACKOFF)

    def refused(self) -> None:
        """The server turned a run away."""
        self._set(self.value * REFUSED_BACKOFF)

    def restart(self, value: float) -> None:
        """The server is another now, as far as is known: begin as with a new one, at that limit at most."""
        self._set(min(self.value, value))
        self.short = self.quiet = 0.0
        self.pressed = self.probing = 0

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
