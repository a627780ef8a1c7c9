"""Test helpers: small pools, slow starts, and a pool simulated in virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from shelfhaven.routing.backend import AttemptSignal, BackendState
from shelfhaven.routing.pool import Pool
from shelfhaven.routing.pool_settings import PoolSettings
from shelfhaven.routing.slow_start import SlowStart, SlowStartSettings

SETTINGS = PoolSettings(initial_limit=4, max_limit=16)


def make_pool(count: int = 4, **changes: float) -> Pool:
    """A pool of `count` backends named s0, s1 and so on; `changes` are pool settings."""
    names = [f"s{n}" for n in range(count)]
    return Pool(replace(SETTINGS, **changes), names, 0.0, Random(1))  # type: ignore[arg-type]


def make_slow_start(fleet_size: int, cold_fraction: float = 1.0, **changes: float) -> SlowStart:
    """A slow start that begins at time 0; `changes` are slow start settings."""
    values = {"window": 10.0, "backend_concurrency": 16.0, "backend_connection_rate": 1000.0, **changes}
    slow_start = SlowStart(SlowStartSettings(**values), 0.0)
    slow_start.update(0.0, cold_fraction, fleet_size)
    return slow_start


def states_of(pool: Pool) -> dict[str, BackendState]:
    """States of the backends by name."""
    return {name: backend.state for name, backend in pool.backends.items()}


@dataclass(frozen=True, order=True)
class ScheduledEnd:
    """The scheduled end of an attempt."""

    at: float
    attempt: int
    backend: str


class SimulatedPool:
    """A pool in virtual time; `latency` and `signal` give the results of attempts by the backend's name."""

    def __init__(
        self, pool: Pool, latency: Callable[[str], float], signal: Callable[[str], AttemptSignal]
    ) -> None:
        self.pool = pool
        self.latency = latency
        self.signal = signal
        self.now = 0.0
        self.attempts = 0
        self.in_flight: list[ScheduledEnd] = []
        self.attempts_by_backend: Counter[str] = Counter()

    def run(self, runs: int, interval: float) -> None:
        """Start `runs` runs, `interval` seconds apart."""
        for _ in range(runs):
            self.now += interval
            self.end_attempts()
            backend = self.pool.pick(self.now)
            if backend:
                self.attempts += 1
                self.pool.begin_attempt(self.now, backend, self.attempts, "c")
                self.attempts_by_backend[backend.name] += 1
                end = self.now + self.latency(backend.name)
                self.in_flight.append(ScheduledEnd(end, self.attempts, backend.name))

    def end_attempts(self) -> None:
        """End the attempts that are due by now."""
        for scheduled in sorted(self.in_flight):
            if scheduled.at <= self.now:
                self.pool.end_attempt(scheduled.at, scheduled.attempt, self.signal(scheduled.backend))
                self.in_flight.remove(scheduled)
