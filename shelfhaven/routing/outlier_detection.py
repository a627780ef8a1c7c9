"""Outlier detection: ejection, health checks and recovery of the backends of a pool.

A backend is ejected after consecutive failures, when its latency is far above that of the others, or when
several attempts at it stay unanswered. At most a configured fraction of the backends is ejected at a time.
When an ejection ends, a single attempt serves as health check: if it succeeds, the backend returns in slow
start; if it fails, the backend is ejected again for longer. Terms and rules follow Envoy's outlier detection
and the circuit breaker pattern; docs/uwsgi.md describes when each rule applies and which alternatives were
considered.

This module does no I/O and reads no clock: the current time is an argument. The jitter of ejections comes
from the pool's random number generator.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from statistics import median

from shelfhaven.routing.backend import Backend, BackendChange, BackendState
from shelfhaven.routing.pool_settings import PoolSettings
from shelfhaven.routing.typical_latency import TypicalLatencies

LATENCY_GAIN = 0.125  # weight of a new sample in a backend's mean latency: about the last eight samples count
MIN_LATENCY_SAMPLES = 5  # successes of a backend before its latency is compared
MIN_SIGNIFICANT_AGE = 2.0  # typical latencies; a younger attempt indicates nothing about its backend
UNRESPONSIVE_RATIO_FACTOR = 2.0  # multiple of the ejection latency ratio that ejects an unresponsive backend
EJECTION_JITTER = 0.25  # +/- fraction of the duration: backends ejected together do not return together
MAX_BACKOFF_DOUBLINGS = 30  # prevents float overflow; the configured maximum is reached long before
EJECTION_DECAY_TIME = 30.0  # seconds in use after which the count of ejections decreases by one


@dataclass(frozen=True, slots=True)
class SuccessfulAttempt:
    """An attempt that succeeded.

    Attributes:
        class_name: class of the run.
        elapsed: latency in seconds, without the network latency to another zone.
        concurrency: largest known number of attempts in flight at the backend during the attempt.
        was_health_check: whether the attempt was the backend's health check.
    """

    class_name: str
    elapsed: float
    concurrency: int
    was_health_check: bool


class OutlierDetector:
    """Ejects backends of one pool and lets them return; `backends` is shared with the pool."""

    def __init__(
        self,
        settings: PoolSettings,
        backends: dict[str, Backend],
        latencies: TypicalLatencies,
        random: Random,
    ) -> None:
        self.settings = settings
        self.backends = backends
        self.latencies = latencies
        self.random = random
        self.changes: list[BackendChange] = []  # changes that have not been logged yet

    def change_state(self, now: float, backend: Backend, state: BackendState, reason: str) -> None:
        """Change the state of a backend and record the change for the log."""
        backend.state = state
        backend.state_since = now
        self.changes.append(BackendChange(backend.name, state, reason))

    # Results of attempts

    def record_success(self, now: float, backend: Backend, attempt: SuccessfulAttempt) -> None:
        """Record the latency of a successful attempt; eject a backend that is far slower than the others."""
        relative_latency = self.latencies.relative(attempt.class_name, attempt.elapsed)
        if backend.limit.is_lightly_loaded(attempt.concurrency):  # else the mean would include queueing
            self.latencies.learn(attempt.class_name, relative_latency)
        backend.consecutive_failures = 0
        if attempt.was_health_check:
            self._health_check_succeeded(now, backend, relative_latency)
            return
        backend.relative_latency += LATENCY_GAIN * (relative_latency - backend.relative_latency)
        backend.latency_samples += 1
        backend.limit.record_success(relative_latency, attempt.concurrency)
        self._eject_if_slow(now, backend)

    def record_rejection(self, now: float, backend: Backend, was_health_check: bool) -> None:
        """Lower the limit of a backend that answered that it has no capacity.

        A rejected health check still shows that the backend is reachable, so it recovers.
        """
        backend.limit.record_rejection()
        if was_health_check:
            self.start_recovery(now, backend)

    def record_failure(self, now: float, backend: Backend, was_health_check: bool, was_reached: bool) -> None:
        """Record a failed attempt and eject the backend if there were too many.

        `was_reached`: whether data was sent to the backend, so that overload may be the cause.
        """
        backend.consecutive_failures += 1
        if was_reached:
            backend.limit.record_failure()
        if was_health_check:
            self.force_ejection(now, backend, "health check failed")
        elif backend.is_active and backend.consecutive_failures >= self.settings.ejection_failures:
            self.eject(now, backend, f"{backend.consecutive_failures} consecutive failures")

    def _health_check_succeeded(self, now: float, backend: Backend, relative_latency: float) -> None:
        if relative_latency > self.settings.ejection_latency_ratio * self._median_of_others(backend):
            self.force_ejection(now, backend, "slow response to the health check")
            return
        backend.relative_latency = relative_latency
        backend.latency_samples = 1
        self.start_recovery(now, backend)

    # Changes over time

    def update_states(self, now: float) -> None:
        """Make the state changes that are due by now, and eject unresponsive backends."""
        for backend in list(self.backends.values()):
            self._advance_state(now, backend)
            if backend.is_active and self._is_unresponsive(now, backend):
                self.eject(now, backend, "unresponsive")

    def _advance_state(self, now: float, backend: Backend) -> None:
        """End an ejection or a slow start that is over, or decrease the count of ejections."""
        time_in_state = now - backend.state_since
        if backend.state is BackendState.EJECTED and now >= backend.ejected_until:
            self.change_state(now, backend, BackendState.HEALTH_CHECK, "ejection time is over")
        elif backend.state is BackendState.SLOW_START and time_in_state >= self.settings.slow_start_window:
            self.change_state(now, backend, BackendState.IN_USE, "slow start is complete")
        elif (
            backend.state is BackendState.IN_USE and backend.ejections and time_in_state > EJECTION_DECAY_TIME
        ):
            backend.ejections -= 1
            backend.state_since = now

    # Latency

    def estimated_latency(self, now: float, backend: Backend) -> float:
        """Mean relative latency of a backend, or the relative age of its oldest attempt if greater."""
        if not backend.in_flight:
            return backend.relative_latency
        oldest = backend.oldest_attempt()
        typical = self.latencies.expected(oldest.class_name)
        relative_age = (now - oldest.started_at) / typical if typical > 0 else 0.0
        if relative_age > MIN_SIGNIFICANT_AGE:
            return max(backend.relative_latency, relative_age)
        return backend.relative_latency

    def _median_of_others(self, backend: Backend) -> float:
        """Median relative latency of the other active backends; 1 if none has enough samples."""
        latencies = [
            other.relative_latency
            for other in self.backends.values()
            if other is not backend and other.is_active and other.latency_samples >= MIN_LATENCY_SAMPLES
        ]
        return median(latencies) if latencies else 1.0

    def _eject_if_slow(self, now: float, backend: Backend) -> None:
        is_comparable = backend.latency_samples >= MIN_LATENCY_SAMPLES and len(self.backends) > 1
        if not (backend.is_active and is_comparable):
            return
        median_of_others = self._median_of_others(backend)
        if backend.relative_latency > self.settings.ejection_latency_ratio * median_of_others:
            ratio = backend.relative_latency / median_of_others
            self.eject(now, backend, f"{ratio:.1f} times the median latency of the others")

    def _is_unresponsive(self, now: float, backend: Backend) -> bool:
        """Whether several attempts are in flight, the oldest far too long, and none ended in that time."""
        if len(backend.in_flight) < 2 or len(self.backends) < 2:
            return False
        if backend.last_result_at > backend.oldest_attempt().started_at:
            return False
        latency = self.estimated_latency(now, backend)
        if latency <= MIN_SIGNIFICANT_AGE:
            return False  # the usual case, without computing the median below for every backend
        ratio = UNRESPONSIVE_RATIO_FACTOR * self.settings.ejection_latency_ratio
        return latency > ratio * self._median_of_others(backend)

    # Ejection and recovery

    def eject(self, now: float, backend: Backend, reason: str) -> None:
        """Eject a backend unless that would exceed the maximum ejected fraction.

        Ejecting too many would overload the others; also, the cause is then probably not in the backends.
        """
        ejected = sum(
            other.state in (BackendState.EJECTED, BackendState.HEALTH_CHECK)
            for other in self.backends.values()
        )
        if ejected + 1 <= self.settings.max_ejected_fraction * len(self.backends):
            self.force_ejection(now, backend, reason)

    def force_ejection(self, now: float, backend: Backend, reason: str) -> None:
        """Eject a backend regardless of the maximum ejected fraction.

        Each recent ejection doubles the duration.
        """
        settings = self.settings
        doublings = min(backend.ejections, MAX_BACKOFF_DOUBLINGS)
        duration = min(settings.max_ejection_time, settings.base_ejection_time * 2.0**doublings)
        jitter = 1 + EJECTION_JITTER * (2 * self.random.random() - 1)
        backend.ejected_until = now + duration * jitter
        backend.ejections += 1
        backend.consecutive_failures = 0
        backend.latency_samples = 0
        backend.relative_latency = 1.0
        backend.limit.reset(settings.initial_limit)
        self.change_state(now, backend, BackendState.EJECTED, reason)

    def eject_on_report(self, now: float, backend: Backend, duration: float, ejections: int) -> None:
        """Eject a backend that a peer reports as ejected; its health check then verifies the report."""
        backend.ejected_until = now + duration
        backend.ejections = ejections
        self.change_state(now, backend, BackendState.EJECTED, "reported as ejected by a peer")

    def start_recovery(self, now: float, backend: Backend) -> None:
        """Return a backend to use, in slow start."""
        backend.consecutive_failures = 0
        self.change_state(now, backend, BackendState.SLOW_START, "health check passed")
