"""Load on a shared dependency, summed over a sliding window."""

from __future__ import annotations

from shelfhaven.decision import averages
from shelfhaven.decision.call_load import CallLoad


def test_buckets_cover_no_more_than_the_window() -> None:
    load = CallLoad(5.0, 0.2)
    for index in range(10_000):
        change = load.finish if index % 2 else load.begin
        change(index * 0.05)
    assert len(load.buckets) <= 5.0 / averages.CONTROL_INTERVAL_S + 2
    assert load.call_seconds(1000.0) == 0.0


def test_call_seconds_count_only_calls_within_the_window() -> None:
    load = CallLoad(5.0, 0.2)
    load.begin(0.0)
    load.begin(1.0)
    load.finish(2.0)
    assert load.call_seconds(3.0) == 4.0
    load.finish(3.0)
    assert load.call_seconds(20.0) == 0.0


def test_an_abandoned_call_counts_for_a_while() -> None:
    load = CallLoad(5.0, 0.5)
    load.begin(0.0)
    load.abandon(1.0)
    load.finish(1.0)
    assert load.in_progress == 1
    assert load.call_seconds(2.0) == 1.5
    assert load.in_progress == 0
