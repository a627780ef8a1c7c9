"""Tests of admission control: stream limits, load shedding and event loop lag."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from shelfhaven.routing.processor_policy import ConsultSettings
from shelfhaven.routing.stream_admission import (
    MAX_SHED_FRACTION,
    TARGET_UTILIZATION,
    LoadShedder,
    LoopLag,
    StreamLimits,
    fair_quota,
)


def test_streams_and_bytes_beyond_the_limits_are_rejected() -> None:
    streams = StreamLimits(ConsultSettings(max_streams=2, max_buffered_bytes=10))
    assert [streams.admit(0.0) for _ in range(3)] == [True, True, False]
    streams.release_stream()
    assert streams.admit(0.0)
    assert streams.reserve_bytes(8)
    assert not streams.reserve_bytes(3)
    assert streams.reserve_bytes(-8)
    assert streams.reserve_bytes(10)


def test_streams_are_rejected_while_the_event_loop_lags_too_much_for_timely_verdicts() -> None:
    streams = StreamLimits(ConsultSettings(verdict_timeout=0.2, verdict_margin=0.02))
    lag = LoopLag(0.02, 0.05)
    now = 10.0
    for _ in range(10):
        lag.tick(now)
        now += 0.021
    assert streams.admit(lag.mean_lag)
    for _ in range(10):
        now += 0.05
        lag.tick(now)
    assert not streams.admit(lag.mean_lag)
    assert streams.rejected == 1
    for _ in range(20):
        now += 0.021
        lag.tick(now)
    assert streams.admit(lag.mean_lag)


def test_a_process_at_its_cpu_limit_sheds_streams_until_its_utilization_falls() -> None:
    shedder = LoadShedder(1.0)
    now = 10.0
    cpu_seconds = 0.0
    for _ in range(10):
        shedder.update(now, cpu_seconds)
        now += 0.1
        cpu_seconds += 0.05
    assert shedder.shed_fraction == 0.0
    for _ in range(10):
        shedder.update(now, cpu_seconds)
        now += 0.1
        cpu_seconds += 0.1
    assert 0.2 < shedder.shed_fraction <= 0.95
    shed_count = sum(shedder.sheds_next("connection") for _ in range(100))
    assert shed_count == pytest.approx(100 * shedder.shed_fraction, abs=1)
    for _ in range(40):
        shedder.update(now, cpu_seconds)
        now += 0.1
        cpu_seconds += 0.05
    assert shedder.shed_fraction == 0.0


def shedder_with(shed_fraction: float, arrivals: dict[str, int]) -> LoadShedder:
    """Return a shedder with this fraction, at the end of an interval with these arrivals."""
    shedder = LoadShedder(1.0)
    shedder.update(10.0, 0.0)
    shedder.shed_fraction = shed_fraction
    for connection, count in arrivals.items():
        for _ in range(count):
            shedder.sheds_next(connection)
    shedder.update(10.2, TARGET_UTILIZATION * 0.2)
    return shedder


def test_a_connection_that_floods_is_shed_and_the_others_are_not() -> None:
    shedder = shedder_with(0.9, {"flood": 400, "one": 4, "two": 4})
    shed: Counter[str] = Counter()
    for number in range(400):
        shed["flood"] += shedder.sheds_next("flood")
        if number % 100 == 0:
            shed["one"] += shedder.sheds_next("one")
            shed["two"] += shedder.sheds_next("two")
            shed["new"] += shedder.sheds_next(f"new {number}")
    assert shed["one"] == shed["two"] == shed["new"] == 0
    assert shed["flood"] == pytest.approx(0.9 * 408, abs=2)


@pytest.mark.parametrize("connections", [1, 7])
def test_connections_with_equal_loads_are_shed_equally_and_evenly(connections: int) -> None:
    names = [f"connection {number}" for number in range(connections)]
    shedder = shedder_with(0.5, dict.fromkeys(names, 100))
    shed = [shedder.sheds_next(name) for _ in range(100) for name in names]
    assert sum(shed) == pytest.approx(50 * connections, abs=1)
    assert all(abs(sum(shed[:count]) - count / 2) <= 1 for count in range(len(shed)))


def test_a_connection_that_begins_to_flood_is_shed_before_the_next_update() -> None:
    shedder = shedder_with(0.8, {"a": 50, "b": 10})
    shed = sum(shedder.sheds_next("b") for _ in range(1000))
    assert shed > 0.75 * 1000


def test_few_streams_are_not_shed_whatever_takes_the_cpu_time() -> None:
    shedder = shedder_with(MAX_SHED_FRACTION, {f"connection {number}": 1 for number in range(9)})
    assert not any(shedder.sheds_next(f"later connection {number}") for number in range(9))


def test_the_fair_quota_fills_the_small_counts_first() -> None:
    assert fair_quota([4, 4, 400], 40) == pytest.approx(32)
    assert fair_quota([10, 10], 10) == 5
    assert fair_quota([1, 2, 3], 6) == math.inf
    assert fair_quota([], 0) == 0.0


def test_withdrawn_requests_count_as_overload_whatever_the_cpu_utilization() -> None:
    shedder = LoadShedder(1.0)
    shedder.update(10.0, 0.0)
    shedder.withdrawn = 3
    shedder.update(10.05, 0.01)
    assert shedder.shed_fraction == 0.0  # within the update interval
    shedder.update(10.11, 0.01)
    assert shedder.shed_fraction > 0.1
    assert shedder.withdrawn == 0


def test_lag_includes_the_whole_pause_before_the_data_was_read() -> None:
    lag = LoopLag(0.02, 0.05)
    assert lag.lag_at(5.0) == 0.0
    lag.tick(10.0)
    assert lag.lag_at(10.02) == 0.0
    assert lag.lag_at(11.02) == pytest.approx(1.0)  # the next tick is overdue
    lag.tick(11.02)
    assert lag.lag_at(11.03) == pytest.approx(1.0)
    lag.tick(11.04)
    assert lag.lag_at(11.075) == 0.0
