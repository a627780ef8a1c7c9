"""Generated event sequences, checked against the four rules by the oracle in tests/decision/world.py."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis.strategies import booleans, integers, just, lists, one_of, sampled_from, tuples

from shelfhaven.decision.actions import RejectRequest, RetainKey, SetTimer, StartRun
from shelfhaven.decision.events import (
    CallFinished,
    CallNeeded,
    DrainStarted,
    Event,
    RequestArrived,
    RequestCancelled,
    RunFinished,
    TimerFired,
)
from shelfhaven.decision.settings import (
    CancelMode,
    ClassSettings,
    DownstreamKind,
    LoadAdvertisement,
    Outcome,
    RetrySafety,
    Settings,
)
from tests.decision.world import Job, JobState, World

CLASSES = (
    ClassSettings(1.0, 3.0, 1.0, 0.0, RetrySafety.IDEMPOTENT, 0.0, True, 0.3),
    ClassSettings(0.8, 2.0, 2.0, 0.2, RetrySafety.IDEMPOTENCY_KEY, 4.0, True, 0.0),
    ClassSettings(0.5, 1.0, 5.0, 0.0, RetrySafety.NOT_IDEMPOTENT, 0.0, True, 0.0),
)
BASE: dict[str, object] = {
    "cores": 2, "memory_kb": 900.0, "classes": CLASSES, "running_memory_factor": 4.0, "key_kb": 8.0,
    "tick": 0.002, "answer_slack": 0.06, "drain_grace": 1.0, "callers": 3, "crash_concurrency_factor": 5.0,
    "crash_window": 3.0,
    "gauges": ("cpu_busy", "runnable"), "downstream": DownstreamKind.TIER, "readiness": True,
}  # fmt: skip


def _settings(**changes: object) -> Settings:
    return Settings(**{**BASE, **changes})  # type: ignore[arg-type]


VARIANTS = {
    "window": _settings(load_advertisement=LoadAdvertisement.WINDOW, notifies_cancellation=True),
    "deadlines": _settings(passes_deadline=True, cancel_mode=CancelMode.SUSPEND),
    "cold abort": _settings(
        starts_cold=True,
        cold_speed=0.25,
        warm_up=8.0,
        cancel_mode=CancelMode.ABORT,
        load_advertisement=LoadAdvertisement.LEVEL,
    ),
    "shared": _settings(
        downstream=DownstreamKind.SHARED,
        downstream_capacity=0.7,
        downstream_window=5.0,
        load_advertisement=LoadAdvertisement.WEIGHT,
    ),
    "no retry-after": _settings(allows_retry_after=False, weight_by_work=True),
    "small": _settings(memory_kb=260.0, cores=1),
}
FAILURES = [Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET]

OPERATIONS = one_of(
    tuples(
        just("arrive"), integers(0, 2), integers(1, 4), integers(1, 3),
        sampled_from([0.0, 0.0, 0.3, 2.0]), sampled_from([0.0, 0.01, 0.4, 3.5]),
    ),
    tuples(just("advance"), sampled_from([0.0, 0.01, 0.1, 0.7, 4.1]), booleans()),
    tuples(just("finish"), integers(0, 5), booleans()),
    tuples(just("need call"), integers(0, 5)),
    tuples(just("end call"), integers(0, 5), sampled_from([Outcome.OK, *FAILURES])),
    tuples(just("cancel"), integers(0, 5)),
    tuples(just("drain"), sampled_from([0.0, 0.5, 3.0])),
    tuples(just("stray event"), integers(0, 4)),
)  # fmt: skip


def _pick(world: World, index: int, *states: JobState) -> Job | None:
    jobs = [job for job in world.jobs.values() if job.state in states]
    return jobs[index % len(jobs)] if jobs else None


def _run_sequence(world: World, ops: list[tuple]) -> None:  # type: ignore[type-arg]
    """Run one generated sequence, then wait until every request has ended."""
    for op in ops:
        _run_operation(world, op)
        world.settle()
        if world.stop_at is not None and world.now >= world.stop_at:
            return
    world.advance(8.0)
    world.settle()
    for job in world.jobs.values():
        assert job.answers == 1 or job.cancelled


def _run_operation(world: World, op: tuple) -> None:  # type: ignore[type-arg]
    """Run one generated operation, unless no request is in a suitable state for it."""
    name, args = op[0], op[1:]
    job = _pick(world, args[0], *SUITABLE_STATES[name]) if name in SUITABLE_STATES else None
    if name == "arrive":
        class_index, caller, key, budget, age = args
        world.arrive(class_index, caller, key if class_index == 1 else 0, budget, age)
    elif name == "advance":
        world.advance(args[0], stall=args[1] and args[0] < 1)
    elif name == "drain" and world.drain_at is None:
        world.drain(args[0])
    elif name == "stray event":
        world.send(STRAY_EVENTS[args[0]])
    elif job is not None and name == "finish":
        world.finish(job, Outcome.OK if args[1] else Outcome.ERROR)
    elif job is not None and name == "need call":
        world.need_call(job)
    elif job is not None and name == "end call":
        world.end_call(job, args[1])
    elif job is not None and name == "cancel":
        world.cancel(job)


SUITABLE_STATES = {
    "finish": (JobState.RUNNING, JobState.AWAITING_ORIGINAL),
    "need call": (JobState.RUNNING,),
    "end call": (JobState.CALLING,),
    "cancel": (
        JobState.QUEUED,
        JobState.RUNNING,
        JobState.AWAITING_ORIGINAL,
        JobState.CALLING,
        JobState.CALL_NEEDED,
        JobState.STOPPING,
        JobState.SUSPENDED,
    ),
}
NAN = float("nan")
# events of requests and timers that the controller does not know
STRAY_EVENTS: list[Event] = [
    RunFinished(99999, Outcome.ABANDONED, -1.0),
    CallFinished(99999, Outcome.TIMEOUT, NAN),
    CallNeeded(99999),
    RequestCancelled(99999),
    TimerFired(99999, (NAN, -1.0)),
]


@pytest.mark.parametrize("variant", VARIANTS)
@settings(max_examples=60)
@given(ops=lists(OPERATIONS, max_size=60))
def test_rules_hold_for_any_sequence_of_events(variant: str, ops: list[tuple]) -> None:  # type: ignore[type-arg]
    _run_sequence(World(VARIANTS[variant]), ops)


@pytest.mark.parametrize("variant", VARIANTS)
def test_rules_hold_under_sustained_overload(variant: str) -> None:
    world = World(VARIANTS[variant])
    for n in range(600):
        world.arrive(n % 3, n % 4, n % 7 if n % 3 == 1 else 0)
        if n % 5 == 0:
            world.advance(0.05)
        for job in [job for job in world.jobs.values() if job.state == JobState.RUNNING][: n % 2]:
            world.finish(job)
        world.settle()
        if n == 500:
            world.drain(1.5)
        if world.stop_at is not None and world.now >= world.stop_at:
            break
    action_types = {type(action) for action in world.actions}
    assert {StartRun, RejectRequest, RetainKey} <= action_types


def test_invalid_numbers_raise_no_error_and_break_no_rule() -> None:
    world = World(VARIANTS["window"])
    for value in (NAN, -1.0, float("inf"), -float("inf"), 1e30):
        for class_index in range(3):
            event = RequestArrived(10_000 + world.next_id, class_index, 1, value, 0, value, value, value)
            world.next_id += 1
            actions = world.controller.on_event(world.now, event)
            assert any(isinstance(action, StartRun | RejectRequest | SetTimer) for action in actions)
    world.controller.on_event(world.now, DrainStarted(NAN))
    assert isinstance(world.controller.on_event(world.now, RequestArrived(1, 77, 1, 1.0))[0], RejectRequest)


def test_the_same_events_give_the_same_actions() -> None:
    action_lists = []
    for _ in range(2):
        world = World(VARIANTS["window"], seed=5)
        for n in range(80):
            world.arrive(n % 3, n % 4, n % 5 if n % 3 == 1 else 0)
            world.advance(0.03)
        action_lists.append(world.actions)
    assert action_lists[0] == action_lists[1]
    assert len(action_lists[0]) > 120
