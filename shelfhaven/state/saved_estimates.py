"""Estimates that a node saves for its next incarnation, and their weight according to age.

Defines the encoding and the weighting; does no I/O and reads no clock. Only measurements are saved, not the
decisions derived from them (admitted share, concurrency limit, Retry-After values), as the load will have
changed after a restart. Estimates of callers are not saved either, because each incarnation numbers its
callers anew.

After a restart, saved estimates serve as a prior whose weight halves with each half-life of their age: they
count almost fully after a few seconds and not at all after a minute. Estimates of an earlier boot are not
used, as their age is unknown. Values out of range are rejected.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import orjson

from shelfhaven.decision.estimates import LearnedEstimates
from shelfhaven.routing.warm_start import BackendEstimate, from_json_values, to_json_values

HALF_LIFE = 10.0  # seconds
MIN_WEIGHT = 0.05  # estimates with a lower weight are ignored
MAX_CLASSES = 256
MAX_POOLS = 64
MAX_DURATION = 1e6  # seconds; exclusive upper bound of a plausible estimate


class ClassEstimates(NamedTuple):
    """Mean durations of one class in seconds; 0 if unknown."""

    run_mean: float = 0.0
    hint_mean: float = 0.0
    hinted_run_mean: float = 0.0


class CallEstimates(NamedTuple):
    """Mean and deviation of the duration of downstream calls, in seconds."""

    mean: float = 0.0
    deviation: float = 0.0


@dataclass(frozen=True, slots=True)
class PoolEstimates:
    """Estimates of one pool.

    `usual_durations`: the usual duration of a run in seconds, by class; `servers`: estimates by server name.
    """

    usual_durations: Mapping[str, float] = field(default_factory=dict)
    servers: Mapping[str, BackendEstimate] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SavedEstimates:
    """All saved estimates of a node; classes and pools are keyed by name."""

    classes: Mapping[str, ClassEstimates] = field(default_factory=dict)
    call: CallEstimates = field(default_factory=CallEstimates)
    pools: Mapping[str, PoolEstimates] = field(default_factory=dict)


def prior_weight(age: float) -> float:
    """Return the weight, from 0 to 1, of estimates that are `age` seconds old."""
    weight = 0.5 ** (max(0.0, age) / HALF_LIFE)
    return float(weight) if weight >= MIN_WEIGHT else 0.0


def class_estimates_by_name(names: Sequence[str], estimates: LearnedEstimates) -> dict[str, ClassEstimates]:
    """Convert the controller's estimates, listed in the order of `names`, to estimates by class name."""
    means = zip(estimates.run_means, estimates.hint_means, estimates.hinted_run_means, strict=True)
    return dict(zip(names, map(ClassEstimates._make, means), strict=True))


def to_learned_estimates(names: Sequence[str], saved: SavedEstimates) -> LearnedEstimates:
    """Convert saved estimates for a controller whose classes are `names`.

    The classes may have changed since the estimates were saved; values of new classes are 0.
    """
    classes = [saved.classes.get(name, ClassEstimates()) for name in names]
    return LearnedEstimates(
        tuple(estimates.run_mean for estimates in classes),
        tuple(estimates.hint_mean for estimates in classes),
        tuple(estimates.hinted_run_mean for estimates in classes),
        saved.call.mean,
        saved.call.deviation,
    )


def aged_server_estimates(pool: PoolEstimates, age: float) -> dict[str, BackendEstimate]:
    """Return the estimates of a pool's servers as they stand `age` seconds after they were saved."""
    return {
        name: BackendEstimate(
            estimate.relative_latency,
            estimate.concurrency_limit,
            max(0.0, estimate.ejected_for - age),
            estimate.age + age,
        )
        for name, estimate in pool.servers.items()
    }


def encode(saved: SavedEstimates) -> bytes:
    """Encode estimates for storage."""
    classes = {name: tuple(estimates) for name, estimates in saved.classes.items()}
    pools = {
        name: [dict(pool.usual_durations), to_json_values(pool.servers)] for name, pool in saved.pools.items()
    }
    return orjson.dumps([classes, tuple(saved.call), pools])


def decode(data: bytes) -> SavedEstimates:
    """Decode the output of `encode`. Raises ValueError for any other data."""
    document = orjson.loads(data)
    if not isinstance(document, list) or len(document) != 3:
        raise ValueError("saved estimates are not a list of 3 items")
    classes, call, pools = document
    if not isinstance(classes, dict) or not isinstance(pools, dict) or len(classes) > MAX_CLASSES:
        raise ValueError("saved classes or pools are not JSON objects, or there are too many classes")
    if len(pools) > MAX_POOLS or not all(
        isinstance(pool, list) and len(pool) == 2 for pool in pools.values()
    ):
        raise ValueError("too many saved pools, or a pool is not a list of 2 items")
    pools_by_name = {
        name: PoolEstimates(_decode_durations(durations), from_json_values(servers))
        for name, (durations, servers) in pools.items()
    }
    call_estimates = CallEstimates._make(_decode_numbers(call, 2))
    class_estimates = {
        name: ClassEstimates._make(_decode_numbers(means, 3)) for name, means in classes.items()
    }
    return SavedEstimates(class_estimates, call_estimates, pools_by_name)


def _decode_numbers(data: object, count: int) -> list[float]:
    if not isinstance(data, list) or len(data) != count:
        raise ValueError(f"expected a list of {count} numbers")
    for number in data:
        if isinstance(number, bool) or not isinstance(number, int | float) or not 0 <= number < MAX_DURATION:
            raise ValueError(f"{number!r} is not a valid duration")
        if not math.isfinite(number):
            raise ValueError("duration is not finite")
    return [float(number) for number in data]


def _decode_durations(data: object) -> dict[str, float]:
    if not isinstance(data, dict) or len(data) > MAX_CLASSES:
        raise ValueError("durations are not a JSON object, or there are too many")
    return dict(zip(map(str, data), _decode_numbers(list(data.values()), len(data)), strict=True))
