"""Load balancing over the backends of a pool.

The pool chooses the backend of each attempt. Of two backends drawn at random, it takes the one with the lower
product of attempts in flight and estimated latency ("The Power of Two Choices in Randomized Load Balancing").
Each backend has a concurrency limit, and zones are tried in the order of `locality.py`. Backends are ejected
by `outlier_detection.py`; what happens to a run after an attempt is decided by `run_router.py`.

This module does no I/O and reads no clock: the current time is an argument. Attempts are identified by
numbers that the calling code assigns.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from random import Random

from shelfhaven.routing.adaptive_limit import AdaptiveLimit
from shelfhaven.routing.backend import (
    OVERLOAD_SIGNALS,
    AttemptSignal,
    Backend,
    BackendChange,
    BackendState,
    InFlightAttempt,
)
from shelfhaven.routing.locality import LocalityRouter
from shelfhaven.routing.outlier_detection import OutlierDetector, SuccessfulAttempt
from shelfhaven.routing.pool_settings import PoolSettings
from shelfhaven.routing.slow_start import SlowStart
from shelfhaven.routing.typical_latency import TypicalLatencies

MIN_SLOW_START_FRACTION = 0.1  # fraction of its limit with which a backend begins its slow start
SLOW_START_CHECK_INTERVAL = 0.02  # seconds between checks for capacity opened by this node's slow start
MIN_BACKEND_LATENCY_FRACTION = 0.1  # at least this part of a latency is the backend's, not the network's
MIN_SLOW_START_WINDOW = 1e-9  # seconds; nonzero because it is a divisor


class Pool:
    """The backends of one pool, and the attempts in flight at them."""

    def __init__(
        self,
        settings: PoolSettings,
        names: Iterable[str],
        now: float,
        random: Random,
        slow_start: SlowStart | None = None,
    ) -> None:
        self.settings = settings
        self.random = random
        self.slow_start = slow_start  # of this node towards the pool; None if it has none
        self.locality: LocalityRouter | None = None  # None if zones are not distinguished
        self.zones: Mapping[str, str] = {}  # by backend name; a missing one is in this node's own zone
        self.backends: dict[str, Backend] = {}
        self.draining: list[Backend] = []  # removed from the endpoint list but with attempts in flight
        self.latencies = TypicalLatencies()
        self.outlier_detector = OutlierDetector(settings, self.backends, self.latencies, random)
        self.backend_by_attempt: dict[int, Backend] = {}
        for name in names:
            self.backends[name] = self._new_backend(name, now, BackendState.IN_USE)

    def _new_backend(self, name: str, now: float, state: BackendState) -> Backend:
        settings = self.settings
        limit = AdaptiveLimit(
            settings.initial_limit, settings.min_limit, settings.max_limit, settings.latency_tolerance
        )
        return Backend(name, limit, state, now, last_result_at=now)

    def take_changes(self) -> list[BackendChange]:
        """Return the state changes since the last call, for the log."""
        changes = self.outlier_detector.changes
        if changes:
            self.outlier_detector.changes = []
        return changes

    # Endpoint list

    def update(self, now: float, settings: PoolSettings, names: Collection[str]) -> None:
        """Apply new settings and a new endpoint list.

        Backends that are no longer listed drain, new ones begin in slow start, the others keep their state.
        """
        self.settings = settings
        self.outlier_detector.settings = settings
        for name in [name for name in self.backends if name not in names]:
            self._remove(now, name)
        for name in names:
            if name not in self.backends:
                self._add(now, name)
        for backend in self.backends.values():
            backend.limit.reconfigure(settings.min_limit, settings.max_limit, settings.latency_tolerance)

    def _remove(self, now: float, name: str) -> None:
        backend = self.backends.pop(name)
        self.outlier_detector.change_state(
            now, backend, BackendState.DRAINING, "removed from the endpoint list"
        )
        if backend.in_flight:
            self.draining.append(backend)

    def _add(self, now: float, name: str) -> None:
        """Add a backend; one of the same name that is still draining returns with its measurements."""
        backend = next((draining for draining in self.draining if draining.name == name), None)
        if backend:
            self.draining.remove(backend)
        else:
            backend = self._new_backend(name, now, BackendState.SLOW_START)
        self.backends[name] = backend
        self.outlier_detector.change_state(
            now, backend, BackendState.SLOW_START, "added to the endpoint list"
        )

    # Backend selection

    def pick(
        self,
        now: float,
        avoid: Collection[str] = (),
        idempotent: bool = True,
        time_left: float = math.inf,
        class_name: str = "",
    ) -> Backend | None:
        """Choose the backend for the next attempt of a run; None if no backend has capacity.

        Args:
            now: current time.
            avoid: backends that the run has tried, chosen again only if no other has capacity.
            idempotent: whether the run may be executed twice; if not, it is used as a health check only if no
                backend is active.
            time_left: seconds that the run's caller still waits.
            class_name: class of the run.
        """
        self.outlier_detector.update_states(now)
        if self.locality:
            self.locality.update(now, self._local_utilization(now, self.locality))
        if not self._slow_start_allows_attempt(now):
            return None
        if backend_to_check := self._backend_to_check(avoid, idempotent):
            return backend_to_check
        available = [backend for backend in self.backends.values() if self._has_capacity(now, backend)]
        untried = [backend for backend in available if backend.name not in avoid]
        candidates = untried or available
        if self.locality:
            router = self.locality
            candidates = self._backends_in_first_zone(
                router, untried, time_left, class_name
            ) or self._backends_in_first_zone(router, available, time_left, class_name)
        if not candidates:
            return None
        drawn = self.random.sample(candidates, 2) if len(candidates) > 2 else candidates
        return min(drawn, key=lambda backend: self._cost(now, backend))

    def _backend_to_check(self, avoid: Collection[str], idempotent: bool) -> Backend | None:
        """The first backend whose health check is due, if the run may be used as a health check."""
        for backend in self.backends.values():
            is_due = backend.state is BackendState.HEALTH_CHECK and backend.health_check_attempt is None
            if is_due and backend.name not in avoid:
                may_check = idempotent or not any(other.is_active for other in self.backends.values())
                return backend if may_check else None
        return None

    def _cost(self, now: float, backend: Backend) -> float:
        """Cost of sending an attempt to a backend: its expected wait, in typical latencies.

        A backend that fails fast never has many attempts in flight and would look cheap. If it cannot be
        ejected because too many others are, its failures beyond the ejection threshold raise its cost.
        """
        load = (len(backend.in_flight) + 1) / self.slow_start_fraction(now, backend)
        excess_failures = max(0, backend.consecutive_failures - self.settings.ejection_failures + 1)
        return load * self.outlier_detector.estimated_latency(now, backend) * (1 + excess_failures) ** 2

    # Zones

    def zone_of(self, backend: Backend) -> str:
        """Zone of a backend."""
        return self.zones.get(backend.name, self.locality.zone if self.locality else "")

    def is_local(self, attempt: int) -> bool:
        """Whether an attempt is in flight at a backend in this node's own zone."""
        backend = self.backend_by_attempt.get(attempt)
        if backend is None:
            return False
        return self.locality is None or self.zone_of(backend) == self.locality.zone

    def has_local_backends(self) -> bool:
        """Whether any backend is in this node's own zone."""
        return self.locality is not None and bool(self._local_backends(self.locality))

    def _local_backends(self, router: LocalityRouter) -> list[Backend]:
        return [backend for backend in self.backends.values() if self.zone_of(backend) == router.zone]

    def _local_utilization(self, now: float, router: LocalityRouter) -> float | None:
        """Fraction of the local backends' limits in use: 1 if none is active, None if there is none."""
        local = self._local_backends(router)
        active = [backend for backend in local if backend.is_active]
        limits = sum(self._effective_limit(now, backend) for backend in active)
        if not limits:
            return 1.0 if local else None
        return sum(len(backend.in_flight) for backend in active) / limits

    def _backends_in_first_zone(
        self, router: LocalityRouter, candidates: list[Backend], time_left: float, class_name: str
    ) -> list[Backend]:
        """The candidates in the first zone, in the router's order, that has any of them."""
        by_zone: dict[str, list[Backend]] = {}
        for backend in candidates:
            by_zone.setdefault(self.zone_of(backend), []).append(backend)
        # includes zones without candidates: otherwise the traffic fractions would change when a zone is full
        zones = dict.fromkeys(self.zone_of(backend) for backend in self.backends.values())
        order = router.zone_order(list(zones), time_left, class_name)
        return next((by_zone[zone] for zone in order if zone in by_zone), [])

    # Attempts

    def begin_attempt(self, now: float, backend: Backend, attempt: int, class_name: str) -> None:
        """Record the start of an attempt at a backend; `class_name` is the class of its run."""
        if self.slow_start:
            self.slow_start.record_connection()
        if self.locality:
            self.locality.record_attempt(self.zone_of(backend))
        backend.in_flight[attempt] = InFlightAttempt(now, class_name, len(backend.in_flight) + 1)
        self.backend_by_attempt[attempt] = backend
        if backend.state is BackendState.HEALTH_CHECK:
            backend.health_check_attempt = attempt

    def end_attempt(self, now: float, attempt: int, signal: AttemptSignal) -> None:
        """Record the end of an attempt; unknown attempts are ignored."""
        backend = self.backend_by_attempt.pop(attempt, None)
        if backend is None:
            return
        concurrency_at_end = len(backend.in_flight)
        ended = backend.in_flight.pop(attempt)
        was_health_check = backend.health_check_attempt == attempt
        if was_health_check:
            backend.health_check_attempt = None
        if backend.state is BackendState.DRAINING:
            self._forget_if_drained(backend)
            return
        if signal is AttemptSignal.NONE:
            return
        backend.last_result_at = now
        if self.slow_start and signal in OVERLOAD_SIGNALS:
            self.slow_start.record_overload(now)
        if signal is AttemptSignal.SUCCESS:
            elapsed = self._without_network_latency(backend, now - ended.started_at)
            concurrency = max(concurrency_at_end, ended.concurrency)
            successful_attempt = SuccessfulAttempt(ended.class_name, elapsed, concurrency, was_health_check)
            self.outlier_detector.record_success(now, backend, successful_attempt)
        elif signal is AttemptSignal.REJECTED:
            self.outlier_detector.record_rejection(now, backend, was_health_check)
        else:
            was_reached = signal is AttemptSignal.FAILURE
            self.outlier_detector.record_failure(now, backend, was_health_check, was_reached)

    def _forget_if_drained(self, backend: Backend) -> None:
        if not backend.in_flight and backend in self.draining:
            self.draining.remove(backend)

    def _without_network_latency(self, backend: Backend, elapsed: float) -> float:
        """Subtract the network round trip, so that a backend in a remote zone is not taken to be slow."""
        one_way = 0.0
        if self.locality:
            one_way = self.locality.settings.one_way_latency.get(self.zone_of(backend), 0.0)
        return max(MIN_BACKEND_LATENCY_FRACTION * elapsed, elapsed - 2 * one_way)

    # Capacity

    def slow_start_fraction(self, now: float, backend: Backend) -> float:
        """Fraction of its limit that a backend may use: below 1 during its slow start."""
        if backend.state is not BackendState.SLOW_START:
            return 1.0
        window = max(self.settings.slow_start_window, MIN_SLOW_START_WINDOW)
        return min(1.0, max(MIN_SLOW_START_FRACTION, (now - backend.state_since) / window))

    def capacity(self, now: float) -> float:
        """Runs that the pool can have in flight, including those at backends that receive no new attempts."""
        backends = self.backends.values()
        usable = sum(self._effective_limit(now, backend) for backend in backends if backend.is_active)
        if self.slow_start:
            usable = min(usable, self._concurrency_quota())
        inactive = [backend for backend in (*backends, *self.draining) if not backend.is_active]
        return usable + sum(len(backend.in_flight) for backend in inactive)

    def local_capacity(self, now: float) -> float:
        """Capacity of the backends in this node's own zone; that of the whole pool if there are none."""
        local = self._local_backends(self.locality) if self.locality else []
        if not local:
            return self.capacity(now)
        local_limits = sum(self._effective_limit(now, backend) for backend in local if backend.is_active)
        return min(self.capacity(now), local_limits)

    def in_flight(self) -> int:
        """Attempts in flight at all backends."""
        return len(self.backend_by_attempt)

    def next_state_change(self, now: float) -> float:
        """Earliest time at which capacity may open without an attempt ending; infinite if there is none."""
        times = [
            backend.ejected_until
            for backend in self.backends.values()
            if backend.state is BackendState.EJECTED
        ]
        if self.slow_start:
            times.append(now + max(SLOW_START_CHECK_INTERVAL, self._connection_delay(now)))
        return max(now, min(times, default=math.inf))

    def _effective_limit(self, now: float, backend: Backend) -> float:
        return max(1.0, backend.limit.max_in_flight * self.slow_start_fraction(now, backend))

    def _has_capacity(self, now: float, backend: Backend) -> bool:
        return backend.is_active and len(backend.in_flight) < int(self._effective_limit(now, backend))

    def _active_count(self) -> int:
        return max(1, sum(backend.is_active for backend in self.backends.values()))

    def _slow_start_allows_attempt(self, now: float) -> bool:
        """Whether this node's slow start, if it has one, allows another attempt now."""
        if not self.slow_start:
            return True
        return (
            len(self.backend_by_attempt) < int(self._concurrency_quota()) and self._connection_delay(now) <= 0
        )

    def _concurrency_quota(self) -> float:
        """Runs that this node may have in flight at all active backends together."""
        return self.slow_start.concurrency_quota(self._active_count()) if self.slow_start else math.inf

    def _connection_delay(self, now: float) -> float:
        """Seconds until this node may open its next connection."""
        return self.slow_start.connection_delay(now, self._active_count()) if self.slow_start else 0.0
