"""Requests from arrival to answer, in hand-written event sequences."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shelfhaven.decision.actions import (
    FailRequest,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    SetTimer,
    StartRun,
    StopRun,
)
from shelfhaven.decision.controller import Controller
from shelfhaven.decision.events import RequestArrived, RequestCancelled, RunFinished, ServerStarted
from shelfhaven.decision.settings import CancelMode, ClassSettings, DownstreamKind, Outcome
from tests.decision.samples import PAYMENT, READ, actions_of, settings
from tests.decision.world import JobState, World


def test_a_call_returning_to_full_cores_suspends_the_newest_run_which_resumes_first() -> None:
    calls = (ClassSettings(1.0, 3.0, calls_downstream=True), PAYMENT)
    for cancel_mode, suspends in ((CancelMode.SUSPEND, True), (CancelMode.NONE, False)):
        world = World(settings(downstream=DownstreamKind.TIER, classes=calls, cancel_mode=cancel_mode))
        calling, older = world.arrive(0, 1), world.arrive(0, 2)
        world.need_call(calling)
        world.now += 0.01
        newest = world.arrive(1, 3, key=1)
        waiting = world.arrive(0, 4)
        world.end_call(calling, Outcome.OK)
        world.settle()
        assert world.on_core() == (2 if suspends else 3)
        assert (newest.state == JobState.SUSPENDED) is suspends
        world.finish(older)
        assert newest.state == JobState.RUNNING
        assert waiting.state == JobState.QUEUED
        world.finish(newest)
        assert (calling.state, waiting.state) == (JobState.RUNNING, JobState.RUNNING)


def test_a_suspended_request_past_its_due_time_is_failed_not_rejected() -> None:
    calls = (ClassSettings(1.0, 3.0, calls_downstream=True), PAYMENT)
    world = World(settings(downstream=DownstreamKind.TIER, classes=calls, cancel_mode=CancelMode.SUSPEND))
    calling, _ = world.arrive(0, 1), world.arrive(0, 2)
    world.need_call(calling)
    world.now += 0.01
    newest = world.arrive(1, 3, key=1)
    world.end_call(calling, Outcome.OK)
    world.settle()
    assert newest.state == JobState.SUSPENDED
    world.advance(3.1)
    assert newest.answers == 1
    assert FailRequest(newest.id) in world.actions


def test_a_run_past_its_due_time_is_failed_and_stopped() -> None:
    world = World(settings(cancel_mode=CancelMode.SUSPEND))
    job = world.arrive(0, 1)
    world.advance(3.0)
    assert job.answers == 1
    assert StopRun(job.id) in world.actions


@pytest.mark.parametrize("cancel_mode", [CancelMode.ABORT, CancelMode.SUSPEND])
def test_an_idempotent_run_past_its_objective_is_stopped_if_a_late_answer_earns_nothing(
    cancel_mode: CancelMode,
) -> None:
    world = World(settings(cancel_mode=cancel_mode))
    world.controller.state.concurrency.idle_fraction = 0.0
    idempotent, keyed = world.arrive(0, 1), world.arrive(1, 2, key=1)
    world.advance(1.1)
    assert idempotent.answers == 1
    assert actions_of(world.actions, StopRun) == [StopRun(idempotent.id)]
    assert keyed.answers == 0, "its effect may have happened, so its answer is awaited"


@pytest.mark.parametrize(
    ("cancel_mode", "cls", "idle_fraction"),
    [
        (CancelMode.NONE, READ, 0.0),
        (CancelMode.ABORT, replace(READ, late_weight=0.2), 0.0),
        (CancelMode.ABORT, READ, 0.9),
    ],
)
def test_a_run_past_its_objective_continues_if_it_cannot_be_stopped_still_earns_or_cores_are_idle(
    cancel_mode: CancelMode, cls: ClassSettings, idle_fraction: float
) -> None:
    world = World(settings(cancel_mode=cancel_mode, classes=(cls,)))
    world.controller.state.concurrency.idle_fraction = idle_fraction
    job = world.arrive(0, 1)
    world.advance(1.1)
    assert (job.runs, job.answers) == (1, 0)


def test_after_the_drain_grace_no_arrival_runs_and_all_are_answered_before_the_stop() -> None:
    world = World(settings())
    running = world.arrive(0, 1)
    world.drain(2.0)
    assert not world.healthy
    world.advance(0.5)
    within_grace = world.arrive(0, 1)
    assert within_grace.state == JobState.RUNNING
    world.finish(within_grace)
    world.advance(0.6)
    after_grace = world.arrive(0, 1)  # a core is free, but the grace of one second has passed
    assert (after_grace.answers, after_grace.runs) == (1, 0)
    world.advance(0.899)
    assert running.answers == 1


def test_abandoned_and_cancelled_runs_free_the_core_and_are_answered_once() -> None:
    for outcome in (Outcome.ABANDONED, Outcome.CANCELLED):
        world = World(settings())
        job, other, waiting = (world.arrive(0, 1) for _ in range(3))
        assert waiting.state == JobState.QUEUED
        world.finish(job, outcome)  # its caller left without notice
        assert (
            sum(isinstance(action, FailRequest) and action.request_id == job.id for action in world.actions)
            == 1
        )
        assert (other.state, waiting.state) == (JobState.RUNNING, JobState.RUNNING)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_a_run_that_never_started_is_rejected_and_its_key_released(outcome: Outcome) -> None:
    controller = Controller(settings(), 1)
    controller.on_event(0.0, ServerStarted())
    admitted = controller.on_event(0.0, RequestArrived(1, 1, 1, 1.0))
    assert actions_of(admitted, RetainKey)
    actions = controller.on_event(0.1, RunFinished(1, outcome, 0.1))
    assert [type(action) for action in actions if not isinstance(action, SetTimer)] == [
        RejectRequest,
        ReleaseKey,
    ]
    again = controller.on_event(0.2, RequestArrived(2, 1, 1, 1.0))
    assert actions_of(again, StartRun)


def test_a_retry_after_from_the_runner_is_passed_on_and_does_not_count_as_load() -> None:
    relative_waits = []
    for retry_after, maximum in ((0.0, 30.0), (5.0, 30.0), (5.0, 2.0)):
        controller = Controller(settings(max_retry_after=maximum), 1)
        controller.on_event(0.0, ServerStarted())
        for request_id in range(1, 40):
            controller.on_event(request_id * 0.1, RequestArrived(request_id, 1, request_id, 1.0))
            (rejected,) = actions_of(
                controller.on_event(
                    request_id * 0.1 + 0.05, RunFinished(request_id, Outcome.REJECTED, 0.0, retry_after)
                ),
                RejectRequest,
            )
        assert isinstance(rejected, RejectRequest)
        assert rejected.retry_after == min(
            retry_after, maximum
        ), "no headway is known yet, so only the runner's value counts"
        relative_waits.append(controller.state.admission.relative_wait)
    assert relative_waits[0] > 0
    assert relative_waits[1:] == [0.0, 0.0]
    controller_without_retry_after = Controller(settings(allows_retry_after=False), 1)
    controller_without_retry_after.on_event(0.0, ServerStarted())
    controller_without_retry_after.on_event(0.0, RequestArrived(1, 1, 1, 1.0))
    (rejected,) = actions_of(
        controller_without_retry_after.on_event(0.1, RunFinished(1, Outcome.REJECTED, 0.0, 5.0)),
        RejectRequest,
    )
    assert isinstance(rejected, RejectRequest)
    assert rejected.retry_after == 0.0, "the settings allow no retry-after"


def test_an_unstarted_run_whose_caller_has_left_is_not_answered() -> None:
    controller = Controller(settings(), 1)
    controller.on_event(0.0, ServerStarted())
    controller.on_event(0.0, RequestArrived(1, 0, 1, 1.0))
    controller.on_event(0.1, RequestCancelled(1))
    assert not controller.on_event(0.2, RunFinished(1, Outcome.REJECTED, 0.1))
    assert not controller.state.requests.by_id
