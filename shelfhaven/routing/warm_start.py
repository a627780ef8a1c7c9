"""Warm start: a starting node takes estimates of its backends from a running node (the donor) or from disk.

An estimate serves as a prior: it biases the first choices until the node's own first responses outweigh it.
Its weight is the donor's health (0 to 1), halved for each half-life of the estimate's age.

Only relative latencies are transferred, because the donor's own load hardly distorts them. Typical latencies
are not transferred between nodes, as the first response measures them better. A backend that is reported as
ejected is health-checked soon. If more than half of the backends are reported as ejected, the node assumes
that the donor itself is disconnected and ignores its estimates.

This module does no I/O and reads no clock: the current time is an argument.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from shelfhaven.routing.backend import Backend, BackendState
from shelfhaven.routing.pool import Pool

HALF_LIFE = 60.0  # seconds of age in which the weight of an estimate halves
MIN_ESTIMATE_WEIGHT = 0.05  # estimates with a lower weight are ignored
REPORTED_EJECTIONS = 3  # ejections that a report of full weight counts as, if the health check confirms it
MAX_REPORTED_EJECTION = 3.0  # seconds; maximum duration of an ejection that is based on a report
MAX_BACKENDS = 256  # maximum number of backends in one message
MAX_RELATIVE_LATENCY = 20.0  # maximum in a message, in typical latencies
NUMBERS_PER_BACKEND = 4  # fields of `BackendEstimate` in a message


@dataclass(frozen=True, slots=True)
class BackendEstimate:
    """Estimated state of one backend.

    Attributes:
        relative_latency: latency in units of the typical latency.
        concurrency_limit: adaptive limit, in runs.
        ejected_for: seconds until the ejection ends; 0 if the backend is not ejected.
        age: seconds since the last result.
    """

    relative_latency: float
    concurrency_limit: float
    ejected_for: float
    age: float


def estimates_of(now: float, pool: Pool) -> dict[str, BackendEstimate]:
    """Estimates of the backends that a pool has measured or currently ejects."""
    estimates: dict[str, BackendEstimate] = {}
    for backend in pool.backends.values():
        is_ejected = backend.state is BackendState.EJECTED
        ejected_for = backend.ejected_until - now if is_ejected else 0.0
        if len(estimates) < MAX_BACKENDS and (backend.latency_samples or ejected_for > 0):
            estimates[backend.name] = BackendEstimate(
                relative_latency=min(MAX_RELATIVE_LATENCY, backend.relative_latency),
                concurrency_limit=backend.limit.value,
                ejected_for=max(0.0, ejected_for),
                age=max(0.0, now - backend.last_result_at),
            )
    return estimates


def estimate_weight(health: float, age: float) -> float:
    """Weight of an estimate, from 0 to 1."""
    return float(max(0.0, min(1.0, health)) * 0.5 ** (max(0.0, age) / HALF_LIFE))


def apply_estimates(now: float, pool: Pool, estimates: Mapping[str, BackendEstimate], health: float) -> int:
    """Apply a donor's estimates as priors; returns the number of backends to which one was applied."""
    in_pool = {name: estimate for name, estimate in estimates.items() if name in pool.backends}
    if sum(estimate.ejected_for > 0 for estimate in in_pool.values()) > len(pool.backends) / 2:
        return 0
    applied = 0
    for name, estimate in in_pool.items():
        backend = pool.backends[name]
        weight = estimate_weight(health, estimate.age)
        if backend.latency_samples or weight < MIN_ESTIMATE_WEIGHT or not backend.is_active:
            continue
        applied += 1
        _apply_prior(backend, estimate, weight)
        if estimate.ejected_for > 0:
            duration = min(MAX_REPORTED_EJECTION, estimate.ejected_for) * weight
            pool.outlier_detector.eject_on_report(now, backend, duration, round(REPORTED_EJECTIONS * weight))
    return applied


def _apply_prior(backend: Backend, estimate: BackendEstimate, weight: float) -> None:
    relative_latency = max(1.0, min(MAX_RELATIVE_LATENCY, estimate.relative_latency))
    backend.relative_latency = 1.0 + weight * (relative_latency - 1.0)
    limit = backend.limit
    desired = limit.value + weight * (estimate.concurrency_limit - limit.value)
    limit.value = min(limit.max_value, max(limit.min_value, desired))


def to_json_values(estimates: Mapping[str, BackendEstimate]) -> dict[str, list[float]]:
    """Encode estimates for JSON, as four numbers for each backend."""
    return {
        name: [estimate.relative_latency, estimate.concurrency_limit, estimate.ejected_for, estimate.age]
        for name, estimate in estimates.items()
    }


def from_json_values(raw: object) -> dict[str, BackendEstimate]:
    """Decode estimates from JSON values. Raises ValueError if they are malformed."""
    if not isinstance(raw, dict) or len(raw) > MAX_BACKENDS:
        raise ValueError("servers: not a table, or it has too many entries")
    estimates = {}
    for name, numbers in raw.items():
        if not (
            isinstance(numbers, list)
            and len(numbers) == NUMBERS_PER_BACKEND
            and all(map(_is_valid_number, numbers))
        ):
            raise ValueError("servers: expected four finite, non-negative numbers for each server")
        estimates[str(name)] = BackendEstimate(*(float(number) for number in numbers))
    return estimates


def _is_valid_number(number: object) -> bool:
    return isinstance(number, int | float) and 0 <= number < math.inf
