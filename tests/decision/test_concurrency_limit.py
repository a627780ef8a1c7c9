"""The concurrency limit, and the number of runs that a server can take without a crash."""

from __future__ import annotations

import pytest

from shelfhaven.decision.actions import StartRun
from shelfhaven.decision.concurrency_limit import ConcurrencyLimit
from shelfhaven.decision.controller import Controller
from shelfhaven.decision.events import RequestArrived, ServerStarted, TimerFired
from shelfhaven.decision.settings import ClassSettings, DownstreamKind, Outcome
from shelfhaven.decision.timer_tokens import TICK_TOKEN
from tests.decision.samples import actions_of, settings
from tests.decision.world import JobState, World


def test_one_request_runs_per_core_while_the_cores_are_busy() -> None:
    world = World(settings())
    for n in range(6):
        world.arrive(0, n)
    world.advance(0.3, cpu=1.0)
    assert world.on_core() == 2


def test_the_limit_grows_while_cores_are_idle_and_requests_are_queued() -> None:
    world = World(settings())
    for n in range(6):
        world.arrive(0, n)
    for _ in range(9):
        world.advance(0.05, cpu=0.3)
        running = [job for job in world.jobs.values() if job.state == JobState.RUNNING]
        world.finish(running[0])  # progress, so that the server is not stalled
        world.arrive(0, 1)
    # slots have been taken for less than the window of the gauge, which may cover a time before
    assert world.controller.state.concurrency.limit == 2.0
    for _ in range(9):
        world.advance(0.05, cpu=0.3)
        running = [job for job in world.jobs.values() if job.state == JobState.RUNNING]
        world.finish(running[0])
        world.arrive(0, 1)
    assert world.controller.state.concurrency.limit > 2.2


def test_a_request_that_waits_for_a_downstream_call_takes_no_slot() -> None:
    world = World(
        settings(downstream=DownstreamKind.TIER, classes=(ClassSettings(1.0, 3.0, calls_downstream=True),))
    )
    first, second, third = (world.arrive(0, n) for n in range(3))
    assert [first.state, second.state, third.state] == [JobState.RUNNING, JobState.RUNNING, JobState.QUEUED]
    world.need_call(first)
    assert first.state == JobState.CALLING
    assert third.state == JobState.RUNNING


def test_calls_that_return_together_do_not_reach_the_crash_concurrency() -> None:
    patient = ClassSettings(5.0, 9.0, calls_downstream=True)
    world = World(settings(downstream=DownstreamKind.TIER, classes=(patient,), crash_concurrency_factor=3.0))
    for _ in range(12):
        world.arrive(0, 1)
        for job in [job for job in world.jobs.values() if job.state == JobState.RUNNING]:
            world.need_call(job)
    calling = [job for job in world.jobs.values() if job.state == JobState.CALLING]
    assert len(calling) >= 3
    for job in calling:
        world.end_call(job, Outcome.OK)  # `World` checks the concurrency after each event
    assert world.on_core() >= 3


def test_the_limit_does_not_exceed_the_capacity_of_the_runner() -> None:
    controller = Controller(settings(gauges=("cpu_busy", "runs_room"), cores=4), 1)
    controller.on_event(0.0, ServerStarted())
    controller.on_event(0.1, TimerFired(TICK_TOKEN, (0.5, 1.5)))
    runs = [actions_of(controller.on_event(0.1, RequestArrived(n, 0, 1, 1.0)), StartRun) for n in (1, 2, 3)]
    assert [len(run) for run in runs] == [1, 0, 0]
    controller.on_event(0.2, TimerFired(TICK_TOKEN, (1.0, 9.0)))
    assert controller.state.concurrency.limit == 4.0


def test_the_limit_follows_the_gauges_between_the_cores_and_the_safe_concurrency() -> None:
    limit = ConcurrencyLimit(settings(cores=2, crash_concurrency_factor=5.0))
    for _ in range(50):
        limit.adjust({"cpu_busy": 0.5}, 1.0, has_waiting_work=True, warm_up_progress=1.0)
    assert limit.limit == pytest.approx(0.7 * 2 * 5)
    assert limit.has_spare_cores()
    for _ in range(50):
        limit.adjust({"cpu_busy": 1.0}, 1.0, has_waiting_work=True, warm_up_progress=1.0)
    assert limit.limit == 2.0
    assert limit.spare_fraction() == 0.0


def test_the_limit_stays_while_nothing_is_queued_or_slots_were_free_in_the_gauge_window() -> None:
    limit = ConcurrencyLimit(settings(cores=2))
    limit.adjust({"cpu_busy": 0.5}, 1.0, has_waiting_work=False, warm_up_progress=1.0)
    limit.adjust({"cpu_busy": 0.5}, 0.4, has_waiting_work=True, warm_up_progress=1.0)
    assert limit.limit == 2.0


def test_the_safe_concurrency_of_a_cold_server_is_lower() -> None:
    limit = ConcurrencyLimit(settings(cores=4, crash_concurrency_factor=5.0))
    assert limit.max_safe_concurrency(1.0) == pytest.approx(14.0)
    assert limit.max_safe_concurrency(0.25) == pytest.approx(5.6)
    assert limit.has_free_slot(running=3, awaiting_calls=1, warm_up_progress=0.25)
    assert not limit.has_free_slot(running=3, awaiting_calls=2, warm_up_progress=0.25)
