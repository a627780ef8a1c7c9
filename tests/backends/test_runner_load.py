"""Tests of the gauges of all runners of one core."""

from __future__ import annotations

from shelfhaven.backends.runner_load import LoadGauges, RunnerLoad


def test_gauges_include_the_other_runners_in_the_requested_order() -> None:
    gauges = LoadGauges(("cpu_busy", "runs_room"), [lambda: RunnerLoad(3, 6.0), lambda: RunnerLoad(1, 2.0)])
    assert gauges.sample(RunnerLoad(2, 4.0)) == (0.5, 12.0)


def test_an_unknown_gauge_is_zero_and_the_utilization_is_at_most_one() -> None:
    assert LoadGauges(("other", "cpu_busy")).sample(RunnerLoad(9, 4.0)) == (0.0, 1.0)
    assert LoadGauges(("cpu_busy", "runs_room")).sample(RunnerLoad(0, 0.0)) == (0.0, 0.0)
