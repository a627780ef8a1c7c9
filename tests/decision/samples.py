"""Settings, requests and simulated servers that several test modules share."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any

from shelfhaven.decision.actions import Action
from shelfhaven.decision.caller_table import Caller
from shelfhaven.decision.events import RequestArrived
from shelfhaven.decision.request import Request
from shelfhaven.decision.settings import ClassSettings, RetrySafety, Settings
from tests.decision.world import JobState, World

READ = ClassSettings(1.0, 3.0)
PATIENT = ClassSettings(60.0, 60.0)
PAYMENT = ClassSettings(1.0, 3.0, 2.0, 0.2, RetrySafety.IDEMPOTENCY_KEY, 5.0)
CALLS = (
    ClassSettings(1.0, 3.0, calls_downstream=True, weight_without_call=0.3),
    ClassSettings(1.0, 3.0, 2.0, 0.0, RetrySafety.IDEMPOTENCY_KEY, 5.0, calls_downstream=True),
)


def settings(**changes: object) -> Settings:
    """Return the settings of a small server, with changes applied."""
    base: dict[str, object] = {
        "cores": 2, "memory_kb": 10_000.0, "classes": (READ, PAYMENT), "running_memory_factor": 4.0,
        "key_kb": 5.0, "callers": 2, "crash_concurrency_factor": 5.0, "tick": 0.001, "drain_grace": 1.0,
        "gauges": ("cpu_busy",),
    }  # fmt: skip
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def sample_request(
    settings: ClassSettings = READ, now: float = 0.0, caller: Caller | None = None, **fields: Any
) -> Request:
    """Return a new request with its times set; `fields` override those of its arrival event."""
    event = RequestArrived(**{"request_id": 1, "class_index": 0, "caller": 1, "footprint_kb": 10.0} | fields)
    request = Request(event, settings, caller or Caller(now), now)
    request.set_times(event, waited_before=0.0, stops_at=math.inf, answer_margin=0.0)
    return request


def actions_of(actions: list[Action], action_type: type) -> list[Action]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, action_type)]


def overloaded(admitted_share: float, **changes: object) -> World:
    """Return a server that admits this share of arrivals and completes four requests per second."""
    world = World(settings(**changes))
    world.controller.state.admission.admitted_share = admitted_share
    world.controller.state.callers.completion_rate = 4.0
    return world


def rejections(world: World, arrivals: list[tuple[int, int]]) -> Counter[tuple[int, int]]:
    """Send (class, tenant) arrivals, one per 0.1 s, in twenty rounds; count rejections of each pair."""
    rejected: Counter[tuple[int, int]] = Counter()
    world.controller.state.callers.completion_rate = 1000.0  # so high that no caller exceeds its ceiling
    for round_number in range(20):
        for index, (class_index, tenant) in enumerate(arrivals):
            world.now += 0.1
            job = world.arrive(class_index, index % 2, tenant=tenant)
            if round_number >= 5:  # the means have settled by then
                rejected[class_index, tenant] += job.answers
            for running in [job for job in world.jobs.values() if job.state == JobState.RUNNING]:
                world.finish(running)
    return rejected
