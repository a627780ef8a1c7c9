"""Load balancing over a pool, and updates of its endpoint list."""

from __future__ import annotations

from dataclasses import replace

from shelfhaven.routing.backend import AttemptSignal, BackendState
from tests.routing.pools import SETTINGS, SimulatedPool, make_pool, states_of


def test_equal_backends_receive_equal_shares() -> None:
    simulated = SimulatedPool(make_pool(), lambda _: 0.1, lambda _: AttemptSignal.SUCCESS)
    simulated.run(400, 0.02)
    assert all(80 <= count <= 120 for count in simulated.attempts_by_backend.values())
    assert set(states_of(simulated.pool).values()) == {BackendState.IN_USE}


def test_backend_removed_from_the_endpoint_list_drains() -> None:
    pool = make_pool(2)
    backend = pool.backends["s0"]
    pool.begin_attempt(0.0, backend, 1, "c")
    pool.update(0.1, SETTINGS, ["s1", "s2"])
    assert pool.draining == [backend]
    assert {pool.pick(0.2).name for _ in range(20)} <= {"s1", "s2"}  # type: ignore[union-attr]
    assert pool.in_flight() == 1
    pool.end_attempt(0.3, 1, AttemptSignal.SUCCESS)
    assert pool.draining == []
    assert pool.backends["s2"].state is BackendState.SLOW_START


def test_backend_that_is_listed_again_while_draining_keeps_its_state() -> None:
    pool = make_pool(2)
    backend = pool.backends["s0"]
    pool.begin_attempt(0.0, backend, 1, "c")
    pool.update(0.1, SETTINGS, ["s1"])
    pool.update(0.2, SETTINGS, ["s0", "s1"])
    assert pool.backends["s0"] is backend
    assert pool.draining == []


def test_backend_in_slow_start_may_use_a_growing_fraction_of_its_limit() -> None:
    pool = make_pool(1, slow_start_window=10.0)
    pool.update(0.0, replace(SETTINGS, slow_start_window=10.0), ["s0", "s1"])
    backend = pool.backends["s1"]
    assert [pool.slow_start_fraction(now, backend) for now in (0.0, 5.0, 20.0)] == [0.1, 0.5, 1.0]
    assert pool.slow_start_fraction(0.0, pool.backends["s0"]) == 1.0
    assert pool.capacity(5.0) == 4 + 2


def test_end_of_an_unknown_attempt_has_no_effect() -> None:
    pool = make_pool(1)
    before = repr(pool.backends)
    pool.end_attempt(1.0, 7, AttemptSignal.FAILURE)
    assert repr(pool.backends) == before
