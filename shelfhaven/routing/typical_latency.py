"""Typical latency of each request class in a pool.

To compare latencies across classes, a pool divides each by the typical latency of its class. The result is
called a *relative latency*.
"""

from __future__ import annotations

from collections.abc import Mapping

GAIN = 1 / 32  # weight of a new sample in the mean of its class
MAX_RELATIVE_SAMPLE = 4.0  # cap on a sample, so that the tail and outliers do not distort the mean
MIN_TYPICAL_LATENCY = 1e-6  # seconds; nonzero because it is a divisor


class TypicalLatencies:
    """Mean latency under light load by class, in seconds; a class is unknown until its first sample."""

    def __init__(self) -> None:
        self.by_class: dict[str, float] = {}

    def restore(self, by_class: Mapping[str, float]) -> None:
        """Restore the means of a previous incarnation for classes that are not known yet."""
        restored = {class_name: seconds for class_name, seconds in by_class.items() if seconds > 0}
        self.by_class = {**restored, **self.by_class}

    def expected(self, class_name: str) -> float:
        """Expected duration of a run of the class in seconds; 0 if the class is unknown."""
        return self.by_class.get(class_name, 0.0)

    def relative(self, class_name: str, elapsed: float) -> float:
        """Convert a latency to a relative latency; the first one of a class becomes its typical latency."""
        typical = self.by_class.get(class_name)
        if typical is None:
            typical = self.by_class[class_name] = max(elapsed, MIN_TYPICAL_LATENCY)
        return elapsed / typical

    def learn(self, class_name: str, relative_latency: float) -> None:
        """Add a relative latency to the mean of its class, which must be known."""
        typical = self.by_class[class_name]
        excess = min(relative_latency, MAX_RELATIVE_SAMPLE) - 1
        self.by_class[class_name] = max(MIN_TYPICAL_LATENCY, typical + GAIN * typical * excess)
