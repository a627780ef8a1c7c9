"""The key table: duplicates are answered from their original instead of running again."""

from __future__ import annotations

from shelfhaven.decision.actions import RejectRequest, RetainKey, StartRun, StopRun
from shelfhaven.decision.controller import Controller
from shelfhaven.decision.events import RequestArrived
from shelfhaven.decision.idempotency import KeyTable
from shelfhaven.decision.memory import MemoryBudget
from shelfhaven.decision.settings import CancelMode
from tests.decision.samples import actions_of, settings
from tests.decision.world import JobState, World


def test_a_duplicate_is_answered_from_its_original_until_the_key_expires() -> None:
    world = World(settings())
    original = world.arrive(1, 1, key=7)
    duplicate = world.arrive(1, 2, key=7)
    assert (original.state, duplicate.state) == (JobState.RUNNING, JobState.AWAITING_ORIGINAL)
    world.finish(duplicate)
    world.finish(original)
    assert world.arrive(1, 2, key=7).state == JobState.AWAITING_ORIGINAL
    world.advance(5.5)
    world.settle()
    assert world.arrive(1, 2, key=7).state == JobState.RUNNING  # the key has expired


def test_a_key_is_retained_before_its_request_runs_and_released_if_the_request_is_rejected() -> None:
    world = World(settings())
    for _ in range(3):
        world.arrive(0, 1)
    queued = world.arrive(1, 1, key=3)
    assert queued.id in world.retained
    world.advance(3.1)
    assert queued.answers == 1
    assert queued.id not in world.retained


def test_a_duplicate_of_a_request_that_was_just_rejected_is_new_work() -> None:
    controller = Controller(settings(), 1)
    controller.state.health.stall_detector.stalled = True
    assert actions_of(controller.on_event(0.0, RequestArrived(1, 1, 1, 5.0)), RejectRequest)
    controller.state.health.stall_detector.stalled = False
    actions = controller.on_event(0.0, RequestArrived(2, 1, 1, 5.0, original_id=1))
    assert actions_of(actions, RetainKey)
    assert actions_of(actions, StartRun)


def test_a_cancelled_run_is_stopped_unless_a_duplicate_waits_for_its_answer() -> None:
    world = World(settings(cancel_mode=CancelMode.ABORT))
    original, without_duplicate = world.arrive(1, 1, key=7), world.arrive(1, 1, key=8)
    world.arrive(1, 2, key=7)
    world.cancel(original)
    world.cancel(without_duplicate)
    assert actions_of(world.actions, StopRun) == [StopRun(without_duplicate.id)]


def test_keys_and_runs_stay_within_the_memory() -> None:
    world = World(settings(memory_kb=200.0, cores=8))
    for n in range(30):
        world.arrive(1, 1, key=n, footprint_kb=6.0)
    assert 100.0 < world.memory() <= 200.0


def test_keys_use_memory_until_they_are_released_or_expire() -> None:
    memory = MemoryBudget(100.0)
    keys = KeyTable(memory, 5.0)
    keys.retain(1, until=2.0)
    keys.retain(2, until=3.0)
    assert memory.used_kb == 10.0
    assert keys.release(1)
    assert not keys.release(1)
    assert memory.used_kb == 5.0
    keys.expire(2.9)
    assert memory.used_kb == 5.0
    keys.expire(3.0)
    assert memory.used_kb == 0.0


def test_a_rejected_request_is_remembered_until_its_key_expires() -> None:
    keys = KeyTable(MemoryBudget(100.0), 5.0)
    keys.record_rejected(1, until=2.0)
    keys.expire(1.9)
    assert keys.was_rejected(1)
    keys.expire(2.0)
    assert not keys.was_rejected(1)
