"""Slow start of a node: keeps its load on the backends within its quota."""

from __future__ import annotations

import pytest

from shelfhaven.decision.settings import Outcome
from shelfhaven.routing.attempts import AttemptResult, Run, RunFinished, SendAttempt
from shelfhaven.routing.pool_settings import PoolSettings
from shelfhaven.routing.run_router import RunRouter
from shelfhaven.routing.slow_start import MAX_OVERLOAD_FACTOR
from tests.routing.pools import make_slow_start

BACKENDS = [f"s{n}" for n in range(8)]


@pytest.mark.parametrize("fleet_size", [1, 4, 16, 40, 128])
def test_all_nodes_together_stay_within_the_capacity_of_the_backends(fleet_size: int) -> None:
    slow_start = make_slow_start(fleet_size)
    now = 0.0
    quotas = []
    while not slow_start.complete:
        quotas.append(int(slow_start.concurrency_quota(8)))
        now += 0.5
        slow_start.update(now, 1.0, fleet_size)
    quotas.append(int(slow_start.concurrency_quota(8)))
    assert quotas == sorted(quotas)
    assert fleet_size * quotas[0] <= max(fleet_size, 64)
    assert fleet_size * quotas[-1] <= 128


def test_connection_rate_enforces_a_quota_of_less_than_one_run() -> None:
    slow_start = make_slow_start(1000, backend_connection_rate=80.0)
    opened = 0
    now = 0.0
    while now < 10.0:
        now += 0.01
        if slow_start.connection_delay(now, 8) <= 0:
            slow_start.record_connection()
            opened += 1
    assert 6 <= opened <= 8, "a thousandth of 8 backends' 80 connections per second each is 0.64 per second"
    assert 0 < slow_start.connection_delay(now, 8) <= 1 / 0.64


def test_slow_start_completes_sooner_in_a_warm_fleet() -> None:
    durations = {}
    for cold_fraction in (0.0, 0.5, 1.0):
        slow_start = make_slow_start(100, cold_fraction)
        now = 0.0
        while not slow_start.complete and now < 100.0:
            now += 0.1
            slow_start.update(now, cold_fraction, 100)
        durations[cold_fraction] = round(now)
    assert durations == {0.0: 10, 0.5: 25, 1.0: 40}


def test_overload_lengthens_the_window_of_the_node_and_of_its_peers() -> None:
    unloaded = make_slow_start(10)
    overloaded = make_slow_start(10)
    peer = make_slow_start(10)
    for tick in range(1, 200):
        now = tick / 10
        unloaded.update(now, 1.0, 10)
        overloaded.update(now, 1.0, 10)
        if tick < 100 and tick % 10 == 0:
            overloaded.record_overload(now)
        peer.update(now, 1.0, 10, overloaded.overload_factor)
        assert overloaded.overload_factor <= MAX_OVERLOAD_FACTOR
    assert overloaded.progress < 0.5 * unloaded.progress
    assert overloaded.progress < peer.progress < unloaded.progress
    for tick in range(200, 1000):
        overloaded.update(tick / 10, 1.0, 10)
    assert overloaded.complete, "the effect of past overload decays"


def test_nodes_do_not_echo_overload_reports_forever() -> None:
    slow_start = make_slow_start(2)
    other = make_slow_start(2)
    slow_start.record_overload(0.0)
    for tick in range(1, 400):
        slow_start.update(tick / 10, 1.0, 2, other.overload_factor)
        other.update(tick / 10, 1.0, 2, slow_start.overload_factor)
    assert slow_start.overload_factor < 1.05
    assert other.overload_factor < 1.05


def launch(router: RunRouter, now: float, number: int) -> list[SendAttempt | RunFinished]:
    return router.launch(now, Run(f"c{number}", "look", now + 5.0, True, False))


def test_pool_in_slow_start_stays_within_its_quota() -> None:
    router = RunRouter(
        PoolSettings(initial_limit=16, max_pending_time=1.0), BACKENDS, 0.0, 1, make_slow_start(16)
    )
    sent = [
        action for n in range(200) for action in launch(router, 0.0, n) if isinstance(action, SendAttempt)
    ]
    assert router.capacity(0.0) == 4.0, "half of a sixteenth of the capacity of 8 backends"
    assert len(sent) <= 4
    assert router.retry_budget.tokens <= 0.2 * 200, "no retries were accumulated"
    slow_start = router.pool.slow_start
    assert slow_start
    slow_start.update(100.0, 0.0, 16)
    assert slow_start.complete
    assert router.capacity(100.0) == 8.0
    slow_start.update(101.0, 0.0, 1)
    assert router.capacity(101.0) == 16 * len(BACKENDS), "a single node may use the whole pool"


def test_overload_lowers_the_quota_until_the_pool_recovers() -> None:
    settings = PoolSettings(initial_limit=16, max_pending_time=0.0, max_attempts=1, ejection_failures=99)
    router = RunRouter(settings, BACKENDS, 0.0, 1, make_slow_start(8))
    slow_start = router.pool.slow_start
    assert slow_start
    slow_start.update(1000.0, 0.0, 8)
    assert int(slow_start.concurrency_quota(8)) == 16
    now = 1000.0
    for number in range(20):
        for action in launch(router, now, number):
            if isinstance(action, SendAttempt):
                router.attempt_ended(now + 0.9, action.attempt, AttemptResult.TIMEOUT)
        now += 1.0
        slow_start.update(now, 0.0, 8)
    assert int(slow_start.concurrency_quota(8)) <= 9
    for _ in range(2000):
        now += 0.1
        slow_start.update(now, 0.0, 8)
    assert int(slow_start.concurrency_quota(8)) == 16


def test_rejection_counts_as_overload_and_success_does_not() -> None:
    router = RunRouter(
        PoolSettings(max_pending_time=1.0, max_attempts=1), BACKENDS, 0.0, 1, make_slow_start(2)
    )
    slow_start = router.pool.slow_start
    assert slow_start
    for number, result in ((1, AttemptResult.SERVED), (2, AttemptResult.NOT_RUN)):
        (sent,) = (action for action in launch(router, 2.0, number) if isinstance(action, SendAttempt))
        before = slow_start.overload_factor
        router.attempt_ended(2.1, sent.attempt, result)
        assert (slow_start.overload_factor > before) == (result is AttemptResult.NOT_RUN)


def test_run_pending_because_of_slow_start_is_sent_when_capacity_opens_or_rejected_in_time() -> None:
    router = RunRouter(
        PoolSettings(max_pending_time=0.3), ["s0"], 0.0, 1, make_slow_start(16, backend_concurrency=16.0)
    )
    (first,) = launch(router, 0.0, 1)
    assert isinstance(first, SendAttempt)
    assert launch(router, 0.0, 2) == []
    assert router.next_advance(0.0) <= 0.3
    (finished,) = router.advance(0.31)
    assert isinstance(finished, RunFinished)
    assert finished.outcome is Outcome.REJECTED
    assert launch(router, 0.4, 3) == []
    finished, sent = router.attempt_ended(0.5, first.attempt, AttemptResult.SERVED)
    assert isinstance(finished, RunFinished)
    assert isinstance(sent, SendAttempt)
