"""Outlier detection: ejection, health checks and recovery of backends."""

from __future__ import annotations

from itertools import pairwise

import pytest

from shelfhaven.routing.backend import AttemptSignal, BackendChange, BackendState
from shelfhaven.routing.outlier_detection import EJECTION_DECAY_TIME
from tests.routing.pools import SimulatedPool, make_pool, states_of


def test_backend_that_is_ten_times_slower_receives_few_attempts_and_is_ejected() -> None:
    simulated = SimulatedPool(
        make_pool(), lambda name: 1.0 if name == "s0" else 0.1, lambda _: AttemptSignal.SUCCESS
    )
    simulated.run(400, 0.02)
    assert simulated.attempts_by_backend["s0"] < 0.1 * 400
    assert simulated.pool.backends["s0"].state is not BackendState.IN_USE


def test_consecutive_failures_eject_a_backend_and_one_attempt_checks_its_health() -> None:
    unreachable = {"s0"}
    simulated = SimulatedPool(
        make_pool(),
        lambda _: 0.05,
        lambda name: AttemptSignal.UNREACHABLE if name in unreachable else AttemptSignal.SUCCESS,
    )
    simulated.run(30, 0.02)
    assert states_of(simulated.pool)["s0"] is BackendState.EJECTED
    before = simulated.attempts_by_backend["s0"]
    simulated.run(10, 0.02)
    assert simulated.attempts_by_backend["s0"] == before
    simulated.now = simulated.pool.backends[
        "s0"
    ].ejected_until  # still unreachable, which a single attempt detects
    simulated.run(20, 0.02)
    assert simulated.attempts_by_backend["s0"] == before + 1
    unreachable.clear()
    simulated.now = simulated.pool.backends["s0"].ejected_until
    simulated.run(3, 0.06)
    assert states_of(simulated.pool)["s0"] is BackendState.SLOW_START


def test_each_further_ejection_is_longer() -> None:
    pool = make_pool()
    backend = pool.backends["s0"]
    durations = []
    now = 0.0
    for attempt in range(4):
        pool.outlier_detector.force_ejection(now, backend, "test")
        durations.append(backend.ejected_until - now)
        now = backend.ejected_until
        pool.outlier_detector.update_states(now)
        assert backend.state is BackendState.HEALTH_CHECK
        pool.begin_attempt(now, backend, attempt, "c")
    assert all(later > 1.2 * earlier for earlier, later in pairwise(durations))


def test_backend_in_health_check_receives_one_attempt_at_a_time() -> None:
    pool = make_pool(2)
    backend = pool.backends["s0"]
    pool.outlier_detector.force_ejection(0.0, backend, "test")
    assert pool.pick(backend.ejected_until) is backend
    pool.begin_attempt(backend.ejected_until, backend, 1, "c")
    assert all(pool.pick(backend.ejected_until) is pool.backends["s1"] for _ in range(4))


def test_non_idempotent_run_is_a_health_check_only_if_no_other_backend_is_active() -> None:
    pool = make_pool(2)
    pool.outlier_detector.force_ejection(0.0, pool.backends["s0"], "test")
    assert pool.pick(9.0, idempotent=False) is pool.backends["s1"]
    pool.outlier_detector.force_ejection(9.0, pool.backends["s1"], "test")
    assert pool.pick(9.0, idempotent=False) is pool.backends["s0"]


def test_at_most_the_configured_fraction_is_ejected() -> None:
    simulated = SimulatedPool(make_pool(), lambda _: 0.05, lambda _: AttemptSignal.UNREACHABLE)
    for _ in range(200):
        simulated.run(1, 0.01)
        ejected = [
            state
            for state in states_of(simulated.pool).values()
            if state in (BackendState.EJECTED, BackendState.HEALTH_CHECK)
        ]
        assert len(ejected) <= 2
    assert len(ejected) == 2


def test_unresponsive_backend_is_ejected_without_any_response() -> None:
    simulated = SimulatedPool(
        make_pool(), lambda name: 1e9 if name == "s0" else 0.05, lambda _: AttemptSignal.SUCCESS
    )
    simulated.run(100, 0.02)
    assert simulated.pool.backends["s0"].state in (BackendState.EJECTED, BackendState.HEALTH_CHECK)
    assert simulated.attempts_by_backend["s0"] <= 5


def test_backend_that_answers_some_attempts_is_not_unresponsive() -> None:
    pool = make_pool(2)
    backend = pool.backends["s0"]
    pool.latencies.restore({"c": 0.1})
    for attempt in (1, 2, 3):
        pool.begin_attempt(0.0, backend, attempt, "c")
    pool.end_attempt(0.5, 3, AttemptSignal.SUCCESS)
    pool.outlier_detector.update_states(1.0)
    assert backend.state is BackendState.IN_USE
    pool.outlier_detector.update_states(1e9)
    assert backend.state is BackendState.IN_USE


def test_backend_is_unresponsive_only_above_a_multiple_of_the_ejection_ratio() -> None:
    pool = make_pool(2, ejection_latency_ratio=4.0)
    backend = pool.backends["s0"]
    pool.latencies.restore({"c": 0.125})
    for attempt in (1, 2):
        pool.begin_attempt(0.0, backend, attempt, "c")
    pool.outlier_detector.update_states(1.0)  # 8 typical latencies, twice the ratio
    assert states_of(pool)["s0"] is BackendState.IN_USE
    pool.outlier_detector.update_states(1.01)
    assert states_of(pool)["s0"] is BackendState.EJECTED


def test_flapping_backend_receives_few_attempts() -> None:
    simulated = SimulatedPool(make_pool(), lambda _: 0.02, lambda _: AttemptSignal.SUCCESS)
    simulated.signal = (
        lambda name: AttemptSignal.UNREACHABLE
        if name == "s0" and int(simulated.now / 0.2) % 2
        else AttemptSignal.SUCCESS
    )
    simulated.run(2000, 0.01)
    assert simulated.attempts_by_backend["s0"] < 2000 / 4
    assert simulated.pool.backends["s0"].ejections > 0


def test_recovering_backend_is_in_slow_start() -> None:
    simulated = SimulatedPool(make_pool(), lambda _: 0.1, lambda _: AttemptSignal.SUCCESS)
    simulated.run(100, 0.02)
    simulated.attempts_by_backend.clear()
    simulated.pool.outlier_detector.start_recovery(simulated.now, simulated.pool.backends["s0"])
    simulated.run(50, 0.02)
    assert simulated.attempts_by_backend["s0"] < 50 / 8
    simulated.run(300, 0.02)
    assert simulated.pool.backends["s0"].state is BackendState.IN_USE


def test_state_changes_are_returned_once_and_in_order() -> None:
    pool = make_pool(2)
    backend = pool.backends["s0"]
    pool.outlier_detector.force_ejection(0.0, backend, "test")
    pool.outlier_detector.update_states(backend.ejected_until)
    assert pool.take_changes() == [
        BackendChange("s0", BackendState.EJECTED, "test"),
        BackendChange("s0", BackendState.HEALTH_CHECK, "ejection time is over"),
    ]
    assert pool.take_changes() == []


def test_run_is_no_health_check_of_a_backend_that_it_has_tried() -> None:
    pool = make_pool(2)
    backend = pool.backends["s0"]
    pool.outlier_detector.force_ejection(0.0, backend, "test")
    assert pool.pick(backend.ejected_until, avoid=["s0"]) is pool.backends["s1"]
    assert pool.pick(backend.ejected_until, avoid=["s1"]) is backend


@pytest.mark.parametrize(
    ("latency", "signal", "state"),
    [
        (0.1, AttemptSignal.SUCCESS, BackendState.SLOW_START),
        # The backend is reachable, and its limit shrinks.
        (0.1, AttemptSignal.REJECTED, BackendState.SLOW_START),
        (0.1, AttemptSignal.FAILURE, BackendState.EJECTED),
        (0.1, AttemptSignal.UNREACHABLE, BackendState.EJECTED),
        (0.1, AttemptSignal.NONE, BackendState.HEALTH_CHECK),  # the next attempt checks it
        (0.5, AttemptSignal.SUCCESS, BackendState.EJECTED),  # slower than four times the typical latency
    ],
)
def test_result_of_the_health_check_determines_the_next_state(
    latency: float, signal: AttemptSignal, state: BackendState
) -> None:
    pool = make_pool(2)
    backend = pool.backends["s0"]
    pool.latencies.restore({"c": 0.1})
    pool.outlier_detector.force_ejection(0.0, backend, "test")
    started_at = backend.ejected_until
    assert pool.pick(started_at) is backend
    pool.begin_attempt(started_at, backend, 1, "c")
    pool.end_attempt(started_at + latency, 1, signal)
    assert backend.state is state


def test_count_of_ejections_decreases_with_time_in_use() -> None:
    pool = make_pool(2)
    backend = pool.backends["s0"]
    backend.ejections = 2
    pool.outlier_detector.update_states(EJECTION_DECAY_TIME)
    assert backend.ejections == 2
    pool.outlier_detector.update_states(EJECTION_DECAY_TIME + 1)
    pool.outlier_detector.update_states(EJECTION_DECAY_TIME + 2)
    assert backend.ejections == 1
    pool.outlier_detector.update_states(2 * EJECTION_DECAY_TIME + 2)
    assert backend.ejections == 0
