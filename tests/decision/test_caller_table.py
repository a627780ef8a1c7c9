"""The caller table: headway counters, the ceiling, and Retry-After."""

from __future__ import annotations

from typing import Any

import pytest

from shelfhaven.decision import caller_table
from shelfhaven.decision.actions import RejectRequest
from shelfhaven.decision.caller_table import Caller, CallerTable
from tests.decision.samples import PATIENT, overloaded, settings


def test_the_most_recently_active_caller_is_first_and_the_last_one_is_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_table, "MAX_CALLERS", 2)
    callers = CallerTable()
    for now, key in enumerate([1, 2, 1, 3]):
        callers.record_arrival(key, float(now))
    assert list(callers.entries) == [3, 1]


def test_minimum_average_headway_is_the_number_of_callers_over_the_completion_rate() -> None:
    callers = CallerTable()
    assert callers.minimum_average_headway() == 0.0
    for key in range(3):
        callers.record_arrival(key, 0.0)
    callers.completion_rate = 6.0
    assert callers.minimum_average_headway() == 0.5


def test_counter_is_charged_one_headway_and_decays_with_time_down_to_zero() -> None:
    callers = CallerTable()
    callers.completion_rate = 2.0
    caller = callers.record_arrival(1, 0.0)  # one caller, two completions per second: the headway is 0.5 s
    callers.charge(caller)
    callers.charge(caller)
    assert caller.counter == 1.0
    callers.record_arrival(1, 0.25)
    assert caller.counter == 0.75
    callers.record_arrival(1, 9.0)
    assert caller.counter == 0.0


def test_a_caller_above_eight_headways_is_over_the_ceiling_and_no_longer_charged() -> None:
    callers = CallerTable()
    callers.completion_rate = 2.0
    caller = callers.record_arrival(1, 0.0)
    for _ in range(8):
        callers.charge(caller)
    assert caller.counter == 4.0
    assert not callers.is_over_ceiling(caller)  # at the ceiling, not above it
    callers.charge(caller)
    assert callers.is_over_ceiling(caller)
    callers.charge(caller)
    assert caller.counter == 4.5


def test_heaviest_share_is_the_share_of_the_caller_with_the_highest_arrival_rate() -> None:
    callers = CallerTable()
    for n in range(40):
        callers.record_arrival(1, n * 0.1)
        if n % 4 == 0:
            callers.record_arrival(2, n * 0.1)
    assert callers.heaviest_share == pytest.approx(0.8, abs=0.03)


def test_retry_after_is_the_larger_of_the_headway_and_the_callers_mean_interval() -> None:
    world = overloaded(0.05, classes=(PATIENT,))
    rejections: list[RejectRequest] = []
    for _ in range(20):
        world.now += 0.4  # one caller, which sends every 0.4 s; the minimum average headway is 1 / 4 s
        world.arrive(0, 1)
        rejections = [action for action in world.actions if isinstance(action, RejectRequest)]
    assert rejections
    assert rejections[-1].retry_after == pytest.approx(0.4)
    world.controller.state.callers.completion_rate = 2.0  # the headway is now 0.5 s, above the mean interval
    before = len(rejections)
    while len(rejections) == before:
        world.now += 0.4
        world.arrive(0, 1)
        rejections = [action for action in world.actions if isinstance(action, RejectRequest)]
    assert rejections[-1].retry_after == pytest.approx(0.5)


def test_retry_after_is_at_most_its_maximum_and_0_where_callers_ignore_it() -> None:
    for allowed, expected in ((True, 0.3), (False, 0.0)):
        world = overloaded(0.05, allows_retry_after=allowed, max_retry_after=0.3, classes=(PATIENT,))
        for _ in range(20):
            world.now += 0.4
            world.arrive(0, 1)
        rejections = [action for action in world.actions if isinstance(action, RejectRequest)]
        assert rejections
        assert {action.retry_after for action in rejections} == {expected}


def test_the_cost_of_an_arrival_does_not_grow_with_the_number_of_callers() -> None:
    class CountingDict(dict[int, Caller]):
        iterations = 0

        def values(self) -> Any:  # any iteration over the callers calls this method or __iter__
            CountingDict.iterations += 1
            return super().values()

        def __iter__(self) -> Any:
            CountingDict.iterations += 1
            return super().__iter__()

        def move_to_end(self, key: int, last: bool = True) -> None:
            pass

    world = overloaded(0.5, callers=500)
    world.controller.state.callers.entries = CountingDict()  # type: ignore[assignment]
    for n in range(500):
        world.arrive(0, n)
        world.advance(0.01)
    assert len(world.controller.state.callers.entries) == 500
    assert CountingDict.iterations == 0


def test_retry_after_is_at_least_the_given_minimum_and_at_most_its_maximum() -> None:
    callers = CallerTable()
    caller = callers.record_arrival(1, 0.0)
    assert callers.retry_after(caller, 0.5, settings(max_retry_after=2.0)) == 0.5
    assert callers.retry_after(caller, 5.0, settings(max_retry_after=2.0)) == 2.0
    assert callers.retry_after(caller, 5.0, settings(allows_retry_after=False)) == 0.0


def test_rejection_threshold_is_highest_with_an_empty_counter_and_0_over_the_ceiling() -> None:
    callers = CallerTable()
    callers.completion_rate = 2.0
    heavy = callers.record_arrival(1, 0.0)
    heavy.counter = 9.0
    light = callers.record_arrival(2, 0.0)
    callers.mean_counter = 1.0
    assert callers.rejection_threshold(heavy) == 0.0
    assert callers.rejection_threshold(light) == 4.0
    light.counter = 0.5
    assert callers.rejection_threshold(light) == 2.5
    light.counter = 2.0
    assert callers.rejection_threshold(light) == 1.0
