"""Tests of admission control: stream limits, load shedding and event loop lag."""

from __future__ import annotations

import pytest

from shelfhaven.routing.processor_policy import ConsultSettings
from shelfhaven.routing.stream_admission import LoadShedder, LoopLag, StreamLimits


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
    shed_count = sum(shedder.sheds_next() for _ in range(100))
    assert shed_count == pytest.approx(100 * shedder.shed_fraction, abs=1)
    for _ in range(40):
        shedder.update(now, cpu_seconds)
        now += 0.1
        cpu_seconds += 0.05
    assert shedder.shed_fraction == 0.0


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
