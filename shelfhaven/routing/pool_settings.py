"""Settings of a pool of backends, from the operator configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Settings of one pool; times in seconds, fractions from 0 to 1.

    Attributes:
        initial_limit: concurrency limit of a new backend, in runs.
        min_limit: lower bound of a backend's concurrency limit, in runs.
        max_limit: upper bound of a backend's concurrency limit, in runs.
        latency_tolerance: ratio of recent to light-load latency up to which a limit does not shrink.
        ejection_failures: consecutive failures after which a backend is ejected.
        ejection_latency_ratio: ratio to the median latency of the others above which a backend is ejected.
        max_ejected_fraction: maximum fraction of the backends that is ejected at a time.
        base_ejection_time: duration of the first ejection, doubled for each further one.
        max_ejection_time: upper bound of the duration of an ejection, before jitter.
        slow_start_window: time in which a new or recovered backend reaches its full limit.
        max_attempts: maximum number of attempts of one run.
        retry_ratio: retries that the pool may make per run, on average.
        retry_reserve: maximum number of unused retries that the pool can accumulate.
        max_pending_time: maximum time that a run waits for capacity.
        max_pending_runs: maximum number of runs that wait for capacity at a time.
        idempotent_grace: time after the caller's deadline for which the result of a run with an idempotency
            key is still awaited.
        connect_timeout: maximum time to establish a connection.
    """

    initial_limit: float = 8.0
    min_limit: float = 1.0
    max_limit: float = 256.0
    latency_tolerance: float = 1.5
    ejection_failures: int = 5
    ejection_latency_ratio: float = 4.0
    max_ejected_fraction: float = 0.5
    base_ejection_time: float = 1.0
    max_ejection_time: float = 30.0
    slow_start_window: float = 5.0
    max_attempts: int = 3
    retry_ratio: float = 0.2
    retry_reserve: float = 10.0
    max_pending_time: float = 0.25
    max_pending_runs: int = 64
    idempotent_grace: float = 2.0
    connect_timeout: float = 0.5
