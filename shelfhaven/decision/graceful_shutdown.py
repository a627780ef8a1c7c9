"""Graceful shutdown: until when arrivals may still run, and by when all requests must be answered."""

from __future__ import annotations

import math

from shelfhaven.decision.concurrency_limit import SPARE_IDLE_FRACTION
from shelfhaven.decision.events import DrainStarted
from shelfhaven.decision.inputs import positive_or_zero
from shelfhaven.decision.settings import Settings


class GracefulShutdown:
    """The points in time of a drain; all are infinite until the drain starts."""

    __slots__ = ("_grace", "_replicas", "advertises_closed_at", "started_at", "stops_at")

    def __init__(self, settings: Settings) -> None:
        self._grace = settings.drain_grace
        self._replicas = settings.replicas
        self.started_at = math.inf
        self.stops_at = math.inf  # when the process ends
        self.advertises_closed_at = math.inf  # when callers are told to stop sending

    @property
    def started(self) -> bool:
        """Whether the drain has started."""
        return self.started_at != math.inf

    def start(self, now: float, event: DrainStarted, idle_fraction: float) -> None:
        """Start the drain.  The grace counts from the notice, however late that is handled.

        Callers are told at once only if the other servers, assumed to be as busy as this one, can take over
        its load.  Otherwise they are told after the grace: a server that replaces this one becomes known to
        callers only after a delay.
        """
        self.started_at = now - positive_or_zero(event.elapsed)
        self.stops_at = now + positive_or_zero(event.time_left)
        others_lack_capacity = idle_fraction * self._replicas < 1 + SPARE_IDLE_FRACTION
        self.advertises_closed_at = self.started_at + (self._grace if others_lack_capacity else 0.0)

    def arrived_too_late(self, arrived_at: float) -> bool:
        """Return whether a request arrived after the grace and must not run."""
        return arrived_at > self.started_at + self._grace
