"""Which queued request runs next, and which is hopeless."""

from __future__ import annotations

import pytest

from shelfhaven.decision.actions import FailRequest, RejectRequest, SetTimer, StartRun
from shelfhaven.decision.controller import Controller
from shelfhaven.decision.events import RequestArrived, RunFinished, ServerStarted, TimerFired
from shelfhaven.decision.queueing import Scheduler
from shelfhaven.decision.run_estimates import RunEstimates
from shelfhaven.decision.settings import ClassSettings, Outcome
from tests.decision.samples import actions_of, sample_request, settings
from tests.decision.world import JobState, World


def test_of_two_otherwise_equal_requests_the_one_of_greater_weight_runs_first() -> None:
    world = World(settings(weight_by_work=True))
    running = [world.arrive(0, 1), world.arrive(0, 1)]
    low = world.arrive(0, 1, hint=0.2)
    high = world.arrive(1, 1, key=1, hint=0.2)
    world.now += 0.05
    world.finish(running[0])
    assert high.state == JobState.RUNNING
    assert low.state == JobState.QUEUED


def test_a_request_that_cannot_meet_its_objective_is_rejected_at_once_with_retry_after() -> None:
    world = World(settings())
    world.controller.state.callers.completion_rate = 4.0
    busy = [world.arrive(0, 1), world.arrive(0, 1)]
    late = world.arrive(0, 2)
    world.now += 1.1  # past the objective of 1 s, long before the due time of 3 s
    world.finish(busy[0])
    assert late.answers == 1
    rejection = next(
        action
        for action in world.actions
        if isinstance(action, RejectRequest) and action.request_id == late.id
    )
    assert rejection.retry_after > 0


def test_a_late_weight_keeps_a_request_queued_for_a_time_past_its_objective() -> None:
    for late_weight, stays in ((0.0, False), (0.2, False), (1.0, True)):
        classes = (ClassSettings(1.0, 10.0), ClassSettings(1.0, 10.0, late_weight=late_weight))
        world = World(settings(classes=classes))
        world.arrive(0, 1), world.arrive(0, 2)
        late = world.arrive(1, 3)
        world.now += 3.5  # past the objective by more than a fifth of the time from there to the due time
        world.arrive(0, 4)
        assert (late.state == JobState.QUEUED) is stays


def test_a_request_that_finds_a_free_core_is_run_even_if_it_may_be_late() -> None:
    world = World(settings(weight_by_work=True))
    job = world.arrive(0, 1, hint=1.2)
    assert job.state == JobState.RUNNING


def test_a_request_with_a_hopeless_work_hint_is_rejected_on_busy_cores_and_run_on_idle_ones() -> None:
    for cpu_busy, state in ((1.0, JobState.FINISHED), (0.2, JobState.RUNNING)):
        world = World(settings(weight_by_work=True))
        world.advance(0.2, cpu=cpu_busy)
        assert world.arrive(0, 1, hint=5.0).state == state


def test_a_request_whose_run_would_exceed_the_memory_stays_queued() -> None:
    world = World(settings(memory_kb=200.0, cores=4))
    first, second = world.arrive(0, 1, footprint_kb=30.0), world.arrive(0, 1, footprint_kb=30.0)
    assert (first.state, second.state) == (JobState.RUNNING, JobState.QUEUED)
    world.finish(first)
    assert second.state == JobState.RUNNING


def test_a_request_that_cannot_start_within_its_limit_is_rejected_before_the_limit() -> None:
    controller = Controller(settings(cores=1, tick=0.01), 1)
    controller.on_event(0.0, ServerStarted())
    controller.on_event(0.0, RequestArrived(1, 0, 1, 1.0))
    queued = controller.on_event(0.0, RequestArrived(2, 0, 1, 1.0, start_within=0.2))
    margin = controller.answer_margin
    timers = [action.delay for action in queued if isinstance(action, SetTimer) and action.request_id == 2]
    assert timers == [pytest.approx(0.2 - margin), pytest.approx(3.0 - margin)]
    rejected = controller.on_event(0.2 - margin, TimerFired(2))
    assert actions_of(rejected, RejectRequest)
    late = controller.on_event(0.3, RequestArrived(3, 0, 1, 1.0, start_within=0.01))
    assert actions_of(late, RejectRequest)


def test_a_run_that_started_within_its_limit_may_take_until_its_due_time() -> None:
    controller = Controller(settings(cores=1, tick=0.01), 1)
    controller.on_event(0.0, ServerStarted())
    assert actions_of(controller.on_event(0.0, RequestArrived(1, 0, 1, 1.0, start_within=0.2)), StartRun)
    assert not actions_of(controller.on_event(0.2, TimerFired(1)), FailRequest)
    assert actions_of(controller.on_event(3.0, TimerFired(1)), FailRequest)


def test_after_a_stall_nothing_is_started_past_its_time() -> None:
    controller = Controller(settings(cores=1, tick=0.01), 1)
    controller.on_event(0.0, ServerStarted())
    controller.on_event(0.0, RequestArrived(1, 0, 1, 1.0))
    controller.on_event(0.0, RequestArrived(2, 0, 1, 1.0, start_within=0.2))
    # The core is free, but the timer is late.
    ended = controller.on_event(1.0, RunFinished(1, Outcome.OK, 1.0))
    assert not actions_of(ended, StartRun)
    assert [action.request_id for action in ended if isinstance(action, RejectRequest)] == [2]


def _scheduler() -> Scheduler:
    return Scheduler(RunEstimates(settings()), answer_margin=0.0)


def test_run_order_is_suspended_requests_then_urgent_ones_then_lowest_id() -> None:
    urgent = sample_request(request_id=4, budget=0.9)
    first = sample_request(request_id=1)
    second = sample_request(request_id=2)
    suspended = sample_request(request_id=3)
    suspended.started_at = 0.0
    queue = {request.id: request for request in (second, first, urgent, suspended)}
    assert _scheduler().run_order(0.1, queue) == [suspended, urgent, first, second]


def test_a_request_that_waited_needs_time_for_one_and_a_half_expected_runs_a_fresh_one_for_half() -> None:
    waited = sample_request(request_id=1, work_hint=0.5)  # worthless after 1 s
    fresh = sample_request(request_id=2, now=0.5, work_hint=0.9, budget=0.5)
    queue = {1: waited, 2: fresh}
    assert _scheduler().hopeless_requests(0.5, queue, spare_fraction=0.0) == [waited]
    assert (
        _scheduler().hopeless_requests(0.5, queue, spare_fraction=1.0) == []
    ), "with spare cores every request is tried"


def test_only_the_newest_request_is_checked_again_at_the_same_time() -> None:
    scheduler = _scheduler()
    old, newest = sample_request(request_id=1, work_hint=0.9), sample_request(request_id=2, work_hint=0.9)
    queue = {1: old, 2: newest}
    assert scheduler.hopeless_requests(0.5, queue, spare_fraction=0.0) == [old, newest]
    assert scheduler.hopeless_requests(0.5, queue, spare_fraction=0.0) == [newest]
    assert scheduler.hopeless_requests(0.6, queue, spare_fraction=0.0) == [old, newest]


def test_a_request_that_may_have_run_is_never_hopeless() -> None:
    request = sample_request(work_hint=9.0)
    request.may_have_run = True
    assert _scheduler().hopeless_requests(0.5, {1: request}, spare_fraction=0.0) == []
