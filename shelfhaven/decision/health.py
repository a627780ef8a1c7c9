"""Detection of an unhealthy server, whatever the cause, and the warm-up after a cold start.

There are two detectors.  One finds stalls: all cores are taken and no run ends.  The other finds event-loop
lag (requests wait to be read) that comes with a low event rate.  They guard against hangs and against slow,
throttled or stolen cores.  Risk: if all servers become slow at once, all become unhealthy; therefore an
unhealthy server recovers by itself.
"""

from __future__ import annotations

from shelfhaven.decision.averages import CONTROL_INTERVAL_S, RATE_WINDOW_S, RECENT_GAIN
from shelfhaven.decision.inputs import positive_or_zero
from shelfhaven.decision.settings import Settings

# Length of a stall in mean run times.  Six independent runs all last this long by chance once in 8,000 times.
STALL_MEAN_RUNS = 1.5

# Minimum length of a stall in seconds, so that short pauses of the machine are tolerated.
MIN_STALL_S = 0.5

# Event-loop lag, as a fraction of the shortest latency objective, above which the server becomes unhealthy,
# and below which it becomes healthy again.
UNHEALTHY_LAG_FRACTION = 0.4
HEALTHY_LAG_FRACTION = 0.15

# Fraction of the peak event rate below which a lag counts.  The event rate stays high in a flood of requests,
# but not with slow cores.
LOW_RATE_FRACTION = 0.5

# Time constant, in seconds, with which the peak event rate decays; far longer than a temporary slowdown.
PEAK_RATE_WINDOW_S = 60.0


class WarmUp:
    """A lower bound of the fraction of full speed that a server has reached."""

    __slots__ = ("_settings", "_started_at", "progress")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._started_at = 0.0
        self.progress = settings.cold_speed if settings.starts_cold else 1.0

    def start(self, now: float) -> None:
        """Record that the process has started."""
        self._started_at = now

    def update(self, now: float) -> None:
        """Update the progress, which rises linearly from the cold speed to 1."""
        settings = self._settings
        if settings.starts_cold and settings.warm_up > 0:
            elapsed = now - self._started_at
            gained = (1 - settings.cold_speed) * elapsed / settings.warm_up
            self.progress = min(1.0, settings.cold_speed + gained)


class StallDetector:
    """Detects that all cores have been taken for some time without any progress."""

    __slots__ = ("_cores", "_progress_at", "slots_taken_since", "stalled")

    def __init__(self, settings: Settings) -> None:
        self._cores = settings.cores
        self._progress_at = 0.0
        self.slots_taken_since = 0.0
        self.stalled = False

    def start(self, now: float) -> None:
        """Record that the process has started."""
        self._progress_at = now
        self.slots_taken_since = now

    def record_progress(self, now: float) -> None:
        """Record that a run has ended or reached a downstream call."""
        self._progress_at = now

    def update(self, now: float, running: int, slots: int, longest_mean_run: float) -> None:
        """Update the detector; called once per control interval."""
        if running < min(self._cores, slots):  # with few runs, all of them may happen to be long
            self.slots_taken_since = now
        without_progress = now - max(self._progress_at, self.slots_taken_since)
        self.stalled = without_progress > max(MIN_STALL_S, STALL_MEAN_RUNS * longest_mean_run)


class LagDetector:
    """Detects that requests wait long to be read although the event rate is lower than usual.

    Events, for this rate, are arrivals and ends of runs.
    """

    __slots__ = ("_event_count", "_event_rate", "_peak_rate", "_shortest_objective", "lag")

    def __init__(self, settings: Settings) -> None:
        self._shortest_objective = min(cls.latency_objective for cls in settings.classes)
        self.lag = 0.0  # mean time, in seconds, that recent requests waited before they were read
        self._event_count = 0  # since the last update
        self._event_rate = 0.0  # per second
        self._peak_rate = 0.0

    def record_arrival(self, age: float) -> None:
        """Record a request that reached the machine `age` seconds before it was read."""
        self.lag += RECENT_GAIN * (positive_or_zero(age) - self.lag)
        self._event_count += 1

    def record_run_end(self) -> None:
        """Record that a run has ended."""
        self._event_count += 1

    def update(self, is_idle: bool) -> None:
        """Update the event rates; called once per control interval.

        `is_idle` tells whether cores are free and no request is queued.
        """
        if is_idle:  # there may be no new samples: let the lag decay, so that the server is used again
            self.lag -= self.lag * CONTROL_INTERVAL_S / RATE_WINDOW_S
        rate = self._event_count / CONTROL_INTERVAL_S
        self._event_rate += CONTROL_INTERVAL_S * (rate - self._event_rate)
        self._peak_rate = max(
            self._event_rate, self._peak_rate * (1 - CONTROL_INTERVAL_S / PEAK_RATE_WINDOW_S)
        )
        self._event_count = 0

    def is_lagging(self, was_unhealthy: bool) -> bool:
        """Return whether the lag is long while the event rate is low.

        The limit of the lag is far lower on an unhealthy server (hysteresis).
        """
        fraction = HEALTHY_LAG_FRACTION if was_unhealthy else UNHEALTHY_LAG_FRACTION
        lag_is_long = self.lag > fraction * self._shortest_objective
        return lag_is_long and self._event_rate < LOW_RATE_FRACTION * self._peak_rate


class HealthMonitor:
    """The health of this server according to both detectors."""

    __slots__ = ("lag_detector", "stall_detector", "unhealthy")

    def __init__(self, settings: Settings) -> None:
        self.stall_detector = StallDetector(settings)
        self.lag_detector = LagDetector(settings)
        self.unhealthy = False

    def update(self) -> bool:
        """Update the health from the detectors, which must be up to date; return whether it has changed."""
        unhealthy = self.stall_detector.stalled or self.lag_detector.is_lagging(self.unhealthy)
        changed = unhealthy != self.unhealthy
        self.unhealthy = unhealthy
        return changed
