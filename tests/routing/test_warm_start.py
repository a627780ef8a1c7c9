"""Warm start: estimates of a donor bias the first choices, but do not override own measurements."""

from __future__ import annotations

from random import Random

import pytest

from shelfhaven.routing import warm_start
from shelfhaven.routing.backend import AttemptSignal, BackendState
from shelfhaven.routing.pool import Pool
from shelfhaven.routing.pool_settings import PoolSettings


def make_pool(names: list[str], now: float = 0.0) -> Pool:
    return Pool(PoolSettings(), names, now, Random(2))


def serve_rounds(pool: Pool, now: float, latencies: dict[str, float], rounds: int) -> float:
    """Serve `rounds` runs at each active backend, one after another; returns the time at the end."""
    attempt = 0
    for _ in range(rounds):
        for name, seconds in latencies.items():
            if pool.backends[name].state in (BackendState.IN_USE, BackendState.SLOW_START):
                attempt += 1
                pool.begin_attempt(now, pool.backends[name], attempt, "look")
                now += seconds
                pool.end_attempt(now, attempt, AttemptSignal.SUCCESS)
    return now


def test_new_node_avoids_a_slow_backend_from_its_first_run() -> None:
    donor = make_pool(["a", "b", "c"])
    now = serve_rounds(donor, 0.0, {"a": 0.1, "b": 0.1, "c": 0.32}, 12)
    estimates = warm_start.from_json_values(warm_start.to_json_values(warm_start.estimates_of(now, donor)))
    warm, cold = make_pool(["a", "b", "c"]), make_pool(["a", "b", "c"])
    assert warm_start.apply_estimates(0.0, warm, estimates, 1.0) == 3
    picks_of_c = {name: 0 for name in ("warm", "cold")}
    for name, pool in (("warm", warm), ("cold", cold)):
        for _ in range(300):
            backend = pool.pick(0.0)
            picks_of_c[name] += backend is not None and backend.name == "c"
    assert picks_of_c["warm"] < 0.2 * picks_of_c["cold"]


@pytest.mark.parametrize(("health", "age"), [(0.0, 0.0), (1.0, 600.0)])
def test_estimates_of_an_unhealthy_donor_and_old_estimates_are_ignored(health: float, age: float) -> None:
    new_pool = make_pool(["a", "b", "c"])
    estimates = {"c": warm_start.BackendEstimate(9.0, 1.0, 3.0, age)}
    assert warm_start.apply_estimates(0.0, new_pool, estimates, health) == 0
    assert new_pool.backends["c"].relative_latency == 1.0
    assert new_pool.backends["c"].state is BackendState.IN_USE


def test_donor_that_reports_most_backends_as_ejected_is_ignored() -> None:
    new_pool = make_pool(["a", "b", "c"])
    estimates = {name: warm_start.BackendEstimate(1.0, 8.0, 30.0, 0.0) for name in "abc"}
    assert warm_start.apply_estimates(0.0, new_pool, estimates, 1.0) == 0
    assert all(backend.state is BackendState.IN_USE for backend in new_pool.backends.values())


def test_backend_reported_as_ejected_is_ejected_at_once_and_checked_soon() -> None:
    new_pool = make_pool(["a", "b", "c"])
    warm_start.apply_estimates(0.0, new_pool, {"c": warm_start.BackendEstimate(1.0, 8.0, 1000.0, 0.0)}, 1.0)
    backend = new_pool.backends["c"]
    reported_state = backend.state
    assert reported_state is BackendState.EJECTED
    assert backend.ejected_until <= warm_start.MAX_REPORTED_EJECTION
    new_pool.pick(3.1)
    assert new_pool.backends["c"].state.value == "trial"


def test_a_few_own_responses_outweigh_an_estimate() -> None:
    new_pool = make_pool(["a", "b"])
    warm_start.apply_estimates(0.0, new_pool, {"b": warm_start.BackendEstimate(3.0, 8.0, 0.0, 0.0)}, 1.0)
    serve_rounds(new_pool, 0.0, {"a": 0.1, "b": 0.1}, 25)
    assert new_pool.backends["b"].relative_latency < 1.15
    late_estimates = {"b": warm_start.BackendEstimate(9.0, 1.0, 3.0, 0.0)}
    assert warm_start.apply_estimates(9.0, new_pool, late_estimates, 1.0) == 0


@pytest.mark.parametrize("raw", [None, [], {"a": 1}, {"a": [1, 2]}, {"a": [1, 2, 3, -1]}, {"a": ["x"] * 4}])
def test_malformed_estimates_are_rejected(raw: object) -> None:
    with pytest.raises(ValueError, match="servers"):
        warm_start.from_json_values(raw)
