"""Detection of stalls and event-loop lag, and the warm-up."""

from __future__ import annotations

from shelfhaven.decision.health import LagDetector, StallDetector, WarmUp
from tests.decision.samples import settings
from tests.decision.world import JobState, World


def test_a_stalled_server_is_unhealthy_and_rejects_requests_until_a_run_ends() -> None:
    world = World(settings())
    jobs = [world.arrive(0, 1) for _ in range(2)]
    world.advance(1.0)
    assert not world.healthy
    assert world.arrive(0, 1).answers == 1
    world.finish(jobs[0])
    world.advance(0.2)
    assert world.healthy
    assert world.arrive(0, 1).state == JobState.RUNNING


def _serve(world: World, seconds: float, interval: float, age: float) -> None:
    end = world.now + seconds
    while world.now < end:
        job = world.arrive(0, 1, age=age)
        world.advance(interval)
        if job.state == JobState.RUNNING:
            world.finish(job, duration=0.1)


def test_event_loop_lag_makes_the_server_unhealthy_at_a_low_event_rate_but_not_in_a_flood() -> None:
    world = World(settings())
    _serve(world, 5.0, 0.05, 0.0)
    _serve(world, 5.0, 0.05, 0.9)  # a long lag at the usual event rate: a flood
    assert world.healthy
    _serve(world, 5.0, 0.5, 0.9)
    assert not world.healthy
    world.advance(12.0)
    assert world.healthy


def test_a_stall_is_one_and_a_half_mean_runs_without_progress_while_all_slots_are_taken() -> None:
    detector = StallDetector(settings(cores=2))
    detector.start(0.0)
    detector.update(2.0, running=1, slots=2, longest_mean_run=1.0)
    assert not detector.stalled, "one core is free"
    detector.update(3.4, running=2, slots=2, longest_mean_run=1.0)
    assert not detector.stalled
    detector.update(3.6, running=2, slots=2, longest_mean_run=1.0)
    assert detector.stalled
    detector.record_progress(3.6)
    detector.update(3.7, running=2, slots=2, longest_mean_run=1.0)
    assert not detector.stalled


def test_a_stall_lasts_at_least_half_a_second_however_short_the_runs() -> None:
    detector = StallDetector(settings(cores=2))
    detector.start(0.0)
    detector.update(0.4, running=2, slots=2, longest_mean_run=0.01)
    assert not detector.stalled
    detector.update(0.6, running=2, slots=2, longest_mean_run=0.01)
    assert detector.stalled


def test_lag_counts_only_at_a_low_event_rate_and_decays_on_an_idle_server() -> None:
    detector = LagDetector(settings())
    for _ in range(100):
        for _ in range(10):
            detector.record_arrival(0.8)
        detector.update(is_idle=False)
    assert detector.lag > 0.4
    assert not detector.is_lagging(was_unhealthy=False), "the event rate is high: a flood"
    for _ in range(20):
        detector.update(is_idle=False)
    assert detector.is_lagging(was_unhealthy=False)
    for _ in range(30):
        detector.update(is_idle=True)
    assert not detector.is_lagging(was_unhealthy=False)
    assert detector.is_lagging(was_unhealthy=True), "the lag is not yet short enough for recovery"


def test_a_cold_server_warms_up_linearly() -> None:
    warm_up = WarmUp(settings(starts_cold=True, cold_speed=0.25, warm_up=8.0))
    warm_up.start(100.0)
    assert warm_up.progress == 0.25
    warm_up.update(104.0)
    assert warm_up.progress == 0.625
    warm_up.update(120.0)
    assert warm_up.progress == 1.0
    assert WarmUp(settings()).progress == 1.0
