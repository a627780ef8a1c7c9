"""Admission control: the PI controller, and which requests are rejected below full admission."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shelfhaven.decision.admission import MIN_ADMITTED_SHARE, AdmissionControl
from shelfhaven.decision.run_estimates import RunEstimates
from shelfhaven.decision.settings import ClassSettings, DownstreamKind, Outcome
from tests.decision.samples import CALLS, READ, overloaded, rejections, sample_request, settings
from tests.decision.world import JobState, World


def test_full_admission_rejects_no_caller_however_often_it_sends() -> None:
    world = overloaded(1.0)
    jobs = [world.arrive(0, 1) for _ in range(20)]
    assert all(job.state in (JobState.RUNNING, JobState.QUEUED) for job in jobs)


def test_a_caller_over_its_ceiling_is_rejected_first() -> None:
    world = overloaded(1.0)
    world.arrive(0, 2)  # two callers: the minimum average headway is 0.5 s, the ceiling 4 s
    for _ in range(12):
        world.arrive(0, 1)  # far over its ceiling, but admission is full
    world.controller.state.admission.admitted_share = 0.9
    light = world.arrive(0, 2)
    heavy = world.arrive(0, 1)
    assert light.answers == 0
    assert heavy.answers == 1


def test_the_rejected_fraction_is_one_minus_the_admitted_share() -> None:
    world = overloaded(0.75)
    # the high rate makes headways so short that no caller is over its ceiling
    world.controller.state.callers.completion_rate = 1000.0
    rejected = 0
    for n in range(200):
        world.now += 0.1
        job = world.arrive(0, n % 2)
        rejected += job.answers
        for running in [job for job in world.jobs.values() if job.state == JobState.RUNNING]:
            world.finish(running)
    assert rejected == pytest.approx(50, abs=3)


def test_requests_of_low_weight_for_their_work_are_rejected_first() -> None:
    world = overloaded(0.6, classes=(READ, replace(READ, priority_weight=10.0)))
    rejected = rejections(world, [(0, 0)] * 8 + [(1, 0)] * 2)
    assert rejected[0, 0] > 50
    assert rejected[1, 0] == 0


def test_a_high_weight_does_not_protect_a_caller_over_its_ceiling() -> None:
    world = overloaded(0.9, classes=(READ, replace(READ, priority_weight=10.0)))
    world.arrive(0, 2)
    world.controller.state.admission.admitted_share = 1.0
    for _ in range(12):
        world.arrive(0, 1)
    world.controller.state.admission.admitted_share = 0.9
    assert world.arrive(1, 1).answers == 1


def test_long_waits_lower_the_admitted_share_and_an_empty_queue_restores_it() -> None:
    world = World(settings())
    jobs = [world.arrive(0, n % 2) for n in range(12)]
    world.advance(0.7)
    assert world.controller.state.admission.admitted_share < 1.0
    for job in jobs:
        if job.state == JobState.RUNNING:
            world.finish(job)
    world.advance(6.0)
    world.settle()
    assert world.controller.state.admission.admitted_share == 1.0


def test_several_hopeless_requests_lower_the_admitted_share_but_one_does_not() -> None:
    world = World(settings())
    busy = [world.arrive(0, 1), world.arrive(0, 2)]
    world.arrive(0, 3, hint=30.0)  # hopeless because all cores are taken; given up at once
    world.advance(0.15)
    assert world.controller.state.admission.admitted_share == 1.0
    for _ in range(8):
        world.arrive(0, 3, hint=30.0)
    world.advance(0.15)
    assert world.controller.state.admission.admitted_share < 1.0
    assert [job.state for job in busy] == [JobState.RUNNING, JobState.RUNNING]


def test_rejected_calls_lower_the_admitted_share_until_calls_succeed_or_stop() -> None:
    world = World(
        settings(
            downstream=DownstreamKind.TIER,
            classes=(CALLS[0], ClassSettings(9.0, 30.0, calls_downstream=True)),
        )
    )

    def run_with_call(outcome: Outcome) -> None:
        job = world.arrive(1, 1)
        if job.is_in(JobState.RUNNING):
            world.need_call(job)
            world.end_call(job, outcome)
            if job.is_in(JobState.CALLING):  # reset, and retried
                world.end_call(job, outcome)
            if outcome is Outcome.OK:
                world.finish(job)
            elif job.is_in(JobState.CALL_NEEDED):
                world.cancel(job)
            world.settle()
        world.advance(0.3)

    for _ in range(30):
        run_with_call(Outcome.RESET)
    assert world.controller.state.admission.admitted_share == 1.0  # resets do not indicate a lack of capacity
    for _ in range(30):
        run_with_call(Outcome.REJECTED)
    assert world.controller.state.admission.admitted_share < 0.5
    lowered_share = world.controller.state.admission.admitted_share
    world.advance(20.0)  # without calls for long, old rejections are forgotten
    assert world.controller.state.admission.admitted_share > lowered_share
    for _ in range(40):
        run_with_call(Outcome.OK)
    assert world.controller.state.admission.admitted_share == 1.0


def test_a_lower_tier_sheds_at_shorter_waits() -> None:
    shares = []
    for tier in (0, 1):
        world = World(settings(tier=tier))
        for n in range(12):
            world.arrive(0, n % 2)
        world.advance(0.3)
        shares.append(world.controller.state.admission.admitted_share)
    assert shares[1] < shares[0]


def _admission() -> AdmissionControl:
    sample_settings = settings()
    return AdmissionControl(sample_settings, RunEstimates(sample_settings))


def test_the_admitted_share_follows_both_terms_of_the_controller_down_to_a_minimum() -> None:
    admission = _admission()
    admission.update_share(2.0)  # error 1: 0.3 from the proportional term, 0.5/s for 0.1 s from the integral
    assert admission.admitted_share == pytest.approx(0.65)
    admission.update_share(2.0)
    assert admission.admitted_share == pytest.approx(0.6)
    for _ in range(100):
        admission.update_share(99.0)
    assert admission.admitted_share == MIN_ADMITTED_SHARE


def test_queue_waits_are_relative_to_the_target_wait() -> None:
    admission = _admission()
    request = sample_request()  # expected run 0.25 s of 1 s: the target wait is 0.4 * 0.75 s
    admission.record_queue_wait(0.6, request)
    assert admission.relative_wait == pytest.approx(2.0 / 8)
    request.may_have_run = True
    admission.record_queue_wait(60.0, request)
    assert admission.relative_wait == pytest.approx(2.0 / 8), "the wait of a suspended request is ignored"


def test_an_arrival_is_rejected_once_the_rejections_due_reach_its_threshold() -> None:
    admission = _admission()
    admission.admitted_share = 0.5
    shed = [admission.should_shed(sample_request(), 1.0) for _ in range(6)]
    assert shed == [False, True] * 3
    assert admission.should_shed(sample_request(), 0.0), "a caller over its ceiling has a threshold of 0"
    admission.admitted_share = 1.0
    assert not admission.should_shed(sample_request(), 0.0)
