"""Time limits of attempts, and the estimate of how long a retry's client has been waiting."""

from __future__ import annotations

from shelfhaven.decision import attempt_limits
from shelfhaven.decision.actions import RejectRequest
from shelfhaven.decision.attempt_limits import AttemptLimits
from shelfhaven.decision.events import RequestArrived
from tests.decision.samples import READ, settings
from tests.decision.world import World


def _busy_world(marks_retries: bool = False) -> World:
    """Return a server without idle cores, at full admission."""
    world = World(settings(classes=(READ,), passes_deadline=True, marks_retries=marks_retries))
    world.controller.state.concurrency.idle_fraction = 0.0
    return world


def _first_attempts(world: World, count: int, budget: float) -> None:
    """Send attempts with the same time limit, each of which runs at once."""
    for number in range(count):
        world.advance(0.01)
        job = world.arrive(0, number % 2, budget=budget)
        world.finish(job)


def test_an_attempt_whose_client_has_waited_too_long_is_rejected_at_once() -> None:
    world = _busy_world()
    _first_attempts(world, 60, 1.5)
    old = world.arrive(0, 1, budget=0.9)  # of a 3 s deadline: 2.1 s have passed, and the objective is 1 s
    assert (old.answers, old.runs) == (1, 0)
    (rejection,) = (action for action in world.actions if isinstance(action, RejectRequest))
    assert rejection.no_retry_elsewhere, "no other server has more time for it"
    young = world.arrive(0, 1, budget=2.9)
    assert young.runs == 1


def test_a_common_time_limit_says_nothing_about_the_prior_wait() -> None:
    world = _busy_world()
    _first_attempts(world, 60, 0.9)
    assert world.arrive(0, 1, budget=0.9).runs == 1


def test_attempts_of_a_caller_that_sets_limits_of_its_own_run_after_a_few() -> None:
    world = _busy_world()
    _first_attempts(world, 60, 1.5)
    jobs = [world.arrive(0, 7, budget=0.6 + number / 50) for number in range(8)]
    assert [job.answers for job in jobs] == [1] * attempt_limits.MAX_UNFAMILIAR_LIMITS + [0] * (
        8 - attempt_limits.MAX_UNFAMILIAR_LIMITS
    )


def test_an_old_attempt_runs_if_cores_are_idle() -> None:
    world = _busy_world()
    _first_attempts(world, 60, 1.5)
    world.controller.state.concurrency.idle_fraction = 0.9
    assert world.arrive(0, 1, budget=0.9).runs == 1


def test_where_callers_mark_retries_only_marked_attempts_count_as_old() -> None:
    world = _busy_world(marks_retries=True)
    _first_attempts(world, 60, 1.5)
    assert world.arrive(0, 1, budget=0.6).runs == 1
    marked = RequestArrived(999, 0, 1, 10.0, budget=0.9, is_retry=True)
    assert [
        action.request_id
        for action in world.controller.on_event(world.now, marked)
        if isinstance(action, RejectRequest)
    ] == [999]


def test_the_histogram_of_time_limits_is_bounded() -> None:
    limits = AttemptLimits()
    for number in range(20_000):
        limits.record((number * 0.37) % 60.0)
    assert len(limits.counts) <= attempt_limits.MAX_COUNTED_ATTEMPTS
