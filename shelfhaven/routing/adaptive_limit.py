"""Adaptive concurrency limit of one backend.

The algorithm is a variant of the gradient limit of Netflix's concurrency-limits library. The gradient, the
ratio of the latency under light load (the baseline) to the recent latency, determines how much the limit
shrinks. The square root of the limit is added as an allowed queue, so that the limit can grow again.

Latencies are relative: they are divided by the typical latency of the class in the pool, so that a changed
mix of classes is not mistaken for load. The algorithm compares means rather than minima, because with
requests of uneven size a minimum says nothing about the typical latency.

Under sustained load a backend is never lightly loaded, and the baseline would become stale. Therefore the
limit is lowered from time to time until a few responses have been observed under light load; this is called a
*measurement* of the baseline.

This module does no I/O, reads no clock and knows nothing about requests.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

LIMIT_GAIN = 0.2  # fraction of the distance to the target limit covered in as many completions as the limit
RECENT_GAIN = 1 / 8  # weight of a new sample in the recent mean latency
BASELINE_GAIN = 1 / 8  # weight of a new sample in the mean latency under light load
MIN_GRADIENT = 0.5  # however slow the recent responses were, the target is at least half of the limit
MIN_UTILIZATION = 0.5  # fraction of the limit in flight below which completions do not change the limit
LIGHT_LOAD_REQUESTS = 2  # up to this many requests in flight count as light load
LIGHT_LOAD_FRACTION = 0.25  # up to this fraction of the limit in flight counts as light load
MEASUREMENT_INTERVAL = 250  # completions under load between measurements, which cost a few requests' time
FIRST_MEASUREMENT_INTERVAL = 30  # completions under load before a measurement while there is no baseline
MEASUREMENT_SAMPLES = 6  # responses under light load that complete a measurement
MAX_MEASUREMENT_RESPONSES_PER_LIMIT = 4.0  # a measurement ends after this many times the limit in responses
FAILURE_BACKOFF = 0.7  # factor on the limit after a run that failed or timed out
REJECTION_BACKOFF = 0.85  # factor after a rejection; milder, as the backend already limits its own load


@dataclass(slots=True)
class AdaptiveLimit:
    """Limit on the number of requests in flight at one backend.

    Attributes:
        value: the limit, in requests.
        min_value: lower bound of the limit.
        max_value: upper bound of the limit.
        latency_tolerance: ratio of recent to baseline latency up to which the limit does not shrink.
        recent_latency: mean relative latency of recent responses; 0 before the first one.
        baseline_latency: mean relative latency of responses under light load; 0 before the first one.
        loaded_completions: completions under load since the last measurement.
        measurement_samples_left: responses under light load that the measurement still needs; 0 if none is
            in progress.
        measurement_responses_left: responses of any kind after which the measurement ends.
    """

    value: float
    min_value: float
    max_value: float
    latency_tolerance: float = 1.5
    recent_latency: float = 0.0
    baseline_latency: float = 0.0
    loaded_completions: int = 0
    measurement_samples_left: int = 0
    measurement_responses_left: int = 0

    @property
    def max_in_flight(self) -> float:
        """Requests that may be in flight now; lower than the limit during a measurement."""
        if self.measurement_samples_left:
            return max(self.min_value, LIGHT_LOAD_FRACTION * self.value)
        return self.value

    def is_lightly_loaded(self, in_flight: int) -> bool:
        """Whether this number of requests in flight counts as light load."""
        return in_flight <= max(LIGHT_LOAD_REQUESTS, LIGHT_LOAD_FRACTION * self.value)

    def record_success(self, latency: float, in_flight: int) -> None:
        """Update the limit after a successful response.

        Args:
            latency: relative latency of the response.
            in_flight: largest known number of requests in flight at the backend during the request.
        """
        if not 0 < latency < math.inf:
            return
        lightly_loaded = self.is_lightly_loaded(in_flight)
        if lightly_loaded:
            self.baseline_latency = _moving_average(self.baseline_latency, latency, BASELINE_GAIN)
        if self.measurement_samples_left:
            self._advance_measurement(lightly_loaded)
            return
        self.recent_latency = _moving_average(self.recent_latency, latency, RECENT_GAIN)
        if in_flight < MIN_UTILIZATION * self.value:
            return
        self.loaded_completions += 1
        if self.loaded_completions >= (
            MEASUREMENT_INTERVAL if self.baseline_latency else FIRST_MEASUREMENT_INTERVAL
        ):
            self._begin_measurement()
        elif self.baseline_latency:
            self._follow_gradient()

    def record_failure(self) -> None:
        """Lower the limit after a run that failed or timed out."""
        self._set_value(self.value * FAILURE_BACKOFF)

    def record_rejection(self) -> None:
        """Lower the limit after the backend rejected a run."""
        self._set_value(self.value * REJECTION_BACKOFF)

    def reset(self, value: float) -> None:
        """Discard all measurements, as for a new backend, and lower the limit to `value` if it is higher."""
        self._set_value(min(self.value, value))
        self.recent_latency = 0.0
        self.baseline_latency = 0.0
        self.loaded_completions = 0
        self.measurement_samples_left = 0

    def reconfigure(self, min_value: float, max_value: float, latency_tolerance: float) -> None:
        """Change the bounds and the tolerance; measurements are kept."""
        self.min_value = min_value
        self.max_value = max_value
        self.latency_tolerance = latency_tolerance
        self._set_value(self.value)

    def _begin_measurement(self) -> None:
        self.loaded_completions = 0
        self.measurement_samples_left = MEASUREMENT_SAMPLES
        self.measurement_responses_left = (
            int(MAX_MEASUREMENT_RESPONSES_PER_LIMIT * self.value) + MEASUREMENT_SAMPLES
        )

    def _advance_measurement(self, lightly_loaded: bool) -> None:
        """Count a response towards the end of the measurement."""
        if lightly_loaded:
            self.measurement_samples_left -= 1
        self.measurement_responses_left -= 1
        if self.measurement_responses_left <= 0:
            self.measurement_samples_left = 0

    def _follow_gradient(self) -> None:
        """Move the limit towards its gradient target."""
        ratio = self.latency_tolerance * self.baseline_latency / self.recent_latency
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        target = self.value * gradient + math.sqrt(self.value)
        self._set_value(self.value + LIMIT_GAIN * (target - self.value) / max(1.0, self.value))

    def _set_value(self, value: float) -> None:
        """Set the limit, clamped to its bounds."""
        self.value = min(self.max_value, max(self.min_value, value))


def _moving_average(mean: float, sample: float, gain: float) -> float:
    """Exponentially weighted moving average after one more sample; the first sample initializes it."""
    return mean + (gain * (sample - mean) if mean else sample)
