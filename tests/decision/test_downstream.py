"""Downstream calls: timeouts, retries, skipped calls, and the quota of a shared dependency."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shelfhaven.decision.actions import PlaceCall, SkipCall
from shelfhaven.decision.downstream import CallStep, DownstreamCalls
from shelfhaven.decision.events import CallFinished
from shelfhaven.decision.run_estimates import RunEstimates
from shelfhaven.decision.settings import ClassSettings, DownstreamKind, Outcome, RetrySafety
from tests.decision.samples import CALLS, sample_request, settings
from tests.decision.world import Job, JobState, World


def test_a_failed_call_is_skipped_if_its_request_still_earns_weight() -> None:
    world = World(settings(downstream=DownstreamKind.TIER, classes=CALLS))
    job = world.arrive(0, 1)
    world.need_call(job)
    world.end_call(job, Outcome.TIMEOUT)
    assert SkipCall(job.id) in world.actions


def test_a_call_that_must_not_run_twice_is_retried_only_if_it_never_ran() -> None:
    world = World(settings(downstream=DownstreamKind.TIER, classes=CALLS))
    rejected, lost = world.arrive(1, 1, key=1), world.arrive(1, 1, key=2)
    for job, outcome in ((rejected, Outcome.REJECTED), (lost, Outcome.RESET)):
        world.need_call(job)
        world.end_call(job, outcome)
    world.advance(0.2)
    assert rejected.calls == 1  # not retried at once, as it would probably be rejected again
    world.advance(0.2)
    assert rejected.calls == 2
    assert lost.calls == 1
    assert lost.answers == 1


def _call_intervals(world: World, steps: int, step: float, duration: float) -> list[tuple[float, float]]:
    """Offer more work than calls are allowed for; return when each call was in progress downstream."""
    placed_at: dict[int, float] = {}
    intervals = []
    for index in range(steps):
        world.advance(step)
        world.arrive(0, index % 7)
        for job in list(world.jobs.values()):
            if job.state == JobState.RUNNING and not job.calls:
                world.need_call(job)
            if job.state == JobState.CALLING:
                placed_at.setdefault(job.id, world.now)
            if job.state == JobState.CALLING and world.now >= placed_at[job.id] + duration:
                times_out = job.id % 2
                intervals.append(
                    (placed_at[job.id], world.now + times_out * world.settings.abandoned_call_occupancy)
                )
                world.end_call(job, Outcome.TIMEOUT if times_out else Outcome.OK)
                if not times_out:
                    world.finish(job)
        world.settle()
    return intervals


def _world_with_a_call() -> tuple[World, Job]:
    """Return a server whose only request has a call in progress at a shared dependency."""
    classes = (ClassSettings(20.0, 20.0, calls_downstream=True),)
    world = World(
        settings(
            downstream=DownstreamKind.SHARED,
            downstream_capacity=4.0,
            downstream_window=5.0,
            abandoned_call_occupancy=0.5,
            classes=classes,
        )
    )
    job = world.arrive()
    world.need_call(job)
    assert job.state == JobState.CALLING
    return world, job


def _calls_in_progress(world: World) -> int:
    """Return the number of calls that count as in progress at the dependency."""
    world.controller.state.downstream.load.call_seconds(world.now)
    return world.controller.state.downstream.load.in_progress


@pytest.mark.parametrize(
    ("outcome", "keeps_running"),
    [
        (Outcome.OK, False), (Outcome.ERROR, False), (Outcome.REJECTED, False),
        (Outcome.TIMEOUT, True),
    ],
)  # fmt: skip
def test_only_an_abandoned_call_keeps_running_downstream(outcome: Outcome, keeps_running: bool) -> None:
    world, job = _world_with_a_call()
    world.end_call(job, outcome)
    assert _calls_in_progress(world) == keeps_running
    world.now += 0.6
    assert _calls_in_progress(world) == 0


def test_the_call_of_a_cancelled_request_keeps_running_downstream() -> None:
    world, job = _world_with_a_call()
    world.cancel(job)
    assert _calls_in_progress(world) == 1
    world.now += 0.6
    assert _calls_in_progress(world) == 0


@pytest.mark.parametrize("capacity", [0.6, 1.5, 4.0])
def test_mean_calls_in_progress_stay_within_capacity_in_every_window(capacity: float) -> None:
    window = 5.0
    classes = (ClassSettings(20.0, 20.0, calls_downstream=True),)
    world = World(
        settings(
            downstream=DownstreamKind.SHARED, downstream_capacity=capacity, downstream_window=window,
            abandoned_call_occupancy=0.5, cores=8, classes=classes, memory_kb=1e6,
        )
    )  # fmt: skip
    started_at = world.now
    intervals = _call_intervals(world, 600, 0.05, 0.6)
    means = [
        sum(max(0.0, min(end, at + window) - max(begin, at)) for begin, end in intervals) / window
        for at in (started_at + tenth / 10 for tenth in range(250))
    ]
    assert max(means) <= capacity
    assert max(means) > 0.4 * capacity, "a good part of the capacity is still used"


def test_a_call_times_out_before_its_request_is_due() -> None:
    world = World(settings(downstream=DownstreamKind.TIER, classes=CALLS, passes_deadline=True))
    job = world.arrive(0, 1, budget=0.9)
    world.now += 0.3
    world.need_call(job)
    call = next(action for action in world.actions if isinstance(action, PlaceCall))
    assert call.timeout is not None
    assert 0 < call.timeout <= 0.6


def test_a_reset_call_of_an_idempotent_request_is_retried_once() -> None:
    world = World(settings(downstream=DownstreamKind.TIER, classes=CALLS))
    job = world.arrive(0, 1)
    world.need_call(job)
    world.end_call(job, Outcome.RESET)
    assert job.is_in(JobState.CALLING)
    world.end_call(job, Outcome.RESET)
    assert job.is_in(JobState.RUNNING)  # the call was skipped
    late = world.arrive(0, 1)
    world.need_call(late)
    world.now += 0.95  # a retry would return after the objective of one second
    world.end_call(late, Outcome.RESET)
    assert late.state == JobState.RUNNING
    assert sum(isinstance(action, PlaceCall) for action in world.actions) == 3


def test_a_reset_call_that_must_not_run_twice_is_not_retried() -> None:
    keyed = replace(CALLS[0], retry_safety=RetrySafety.IDEMPOTENCY_KEY, key_ttl=2.0)
    world = World(settings(downstream=DownstreamKind.TIER, classes=(keyed,)))
    job = world.arrive(0, 1)
    world.need_call(job)
    world.end_call(job, Outcome.RESET)
    assert sum(isinstance(action, PlaceCall) for action in world.actions) == 1


def test_a_call_that_never_returns_is_skipped_in_time_for_the_objective() -> None:
    world = World(settings(downstream=DownstreamKind.TIER, classes=CALLS))
    job = world.arrive(0, 1)
    world.need_call(job)
    call = next(action for action in world.actions if isinstance(action, PlaceCall))
    assert call.timeout is not None
    assert call.timeout < 1.0  # the objective; the due time is three seconds away
    world.now += call.timeout
    world.end_call(job, Outcome.TIMEOUT)
    assert job.state == JobState.RUNNING  # the call was skipped; the answer can still be in time
    assert world.now < job.arrived_at + 1.0


def test_while_many_calls_are_rejected_optional_calls_are_skipped() -> None:
    world = World(settings(downstream=DownstreamKind.TIER, classes=CALLS))
    world.controller.state.downstream.rejected_fraction = 0.5
    must_call, may_skip = world.arrive(1, 1, key=1), world.arrive(0, 1)
    world.need_call(must_call)
    world.need_call(may_skip)
    assert must_call.state == JobState.CALLING
    assert SkipCall(may_skip.id) in world.actions
    world.advance(9.0)  # after a while without calls they are tried again
    later = world.arrive(0, 1)
    world.need_call(later)
    assert later.state == JobState.CALLING


def _calls(**changes: object) -> DownstreamCalls:
    server_settings = settings(classes=CALLS, **changes)
    return DownstreamCalls(server_settings, RunEstimates(server_settings))


def test_mean_and_deviation_cover_only_successful_calls() -> None:
    calls = _calls()
    calls.record(0.0, CallFinished(1, Outcome.OK, 0.4))
    assert (calls.mean, calls.deviation) == (0.4, 0.1)
    calls.record(0.0, CallFinished(1, Outcome.ERROR, 9.0))
    assert (calls.mean, calls.deviation) == (0.4, 0.1)


def test_a_call_may_take_until_the_objective_or_as_long_as_successful_calls_do() -> None:
    calls = _calls()
    assert calls.timeout(0.0, sample_request(CALLS[0])) == 1.0 - 0.5 * 0.25
    assert (
        calls.timeout(1.5, sample_request(CALLS[0])) is None
    ), "no call was measured and the objective has passed"
    calls.mean, calls.deviation = 0.5, 0.1
    assert calls.timeout(1.5, sample_request(CALLS[0])) == pytest.approx(0.9)
    assert calls.timeout(2.75, sample_request(CALLS[0])) == 0.25, "never past the due time"


def test_next_step_before_a_call() -> None:
    calls = _calls()
    may_skip, must_call = sample_request(CALLS[0]), sample_request(CALLS[1])
    assert calls.next_step(0.0, may_skip) is CallStep.PLACE
    assert calls.next_step(3.0, may_skip) is CallStep.GIVE_UP
    calls.rejected_fraction = 0.5
    assert calls.next_step(0.0, may_skip) is CallStep.SKIP
    assert calls.next_step(0.0, must_call) is CallStep.PLACE
    must_call.answered = True
    assert calls.next_step(0.0, must_call) is CallStep.GIVE_UP


def test_step_after_a_failed_call() -> None:
    calls = _calls()
    may_skip, must_call = sample_request(CALLS[0]), sample_request(CALLS[1])
    assert calls.step_after_failure(0.0, may_skip, Outcome.RESET) is CallStep.PLACE
    assert calls.step_after_failure(0.0, may_skip, Outcome.RESET) is CallStep.SKIP, "it is retried only once"
    assert calls.step_after_failure(0.0, must_call, Outcome.REJECTED) is CallStep.RETRY_LATER
    assert (
        calls.step_after_failure(2.5, must_call, Outcome.REJECTED) is CallStep.GIVE_UP
    ), "too little time is left"
    assert calls.step_after_failure(0.0, must_call, Outcome.TIMEOUT) is CallStep.GIVE_UP, "it may have run"


def test_a_call_beyond_the_quota_of_a_shared_dependency_is_retried_later() -> None:
    calls = _calls(downstream=DownstreamKind.SHARED, downstream_capacity=1.0, downstream_window=5.0)
    assert calls.next_step(0.0, sample_request(CALLS[0])) is CallStep.PLACE
    calls.load.begin(0.0)
    assert calls.next_step(0.0, sample_request(CALLS[0])) is CallStep.RETRY_LATER


def test_pressure_decays_without_calls() -> None:
    calls = _calls()
    for _ in range(100):
        calls.record(10.0, CallFinished(1, Outcome.REJECTED, 0.1))
    assert calls.pressure() == pytest.approx(1 / 0.3, rel=0.01)
    before = calls.pressure()
    calls.decay_rejected_fraction(13.0)
    assert calls.pressure() == before
    calls.decay_rejected_fraction(13.1)
    assert calls.pressure() == pytest.approx(before * (1 - 0.1 / 3))


def test_restored_statistics_are_used_only_until_a_call_is_measured() -> None:
    calls = _calls()
    calls.restore(0.5, 0.1, 0.0)
    assert calls.mean == 0.0, "restored with a weight of 0"
    calls.restore(0.5, float("nan"), 0.5)
    assert (calls.mean, calls.deviation) == (0.5, 0.0)
    calls.restore(9.0, 9.0, 1.0)
    assert calls.mean == 0.5
