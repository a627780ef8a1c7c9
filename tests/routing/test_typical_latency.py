"""Typical latencies of classes, and relative latencies."""

from __future__ import annotations

import pytest

from shelfhaven.routing.typical_latency import (
    GAIN,
    MAX_RELATIVE_SAMPLE,
    MIN_TYPICAL_LATENCY,
    TypicalLatencies,
)


def test_first_latency_of_a_class_becomes_its_typical_latency() -> None:
    latencies = TypicalLatencies()
    assert latencies.expected("look") == 0.0
    assert latencies.relative("look", 0.2) == 1.0
    assert latencies.expected("look") == 0.2
    assert latencies.relative("look", 0.5) == pytest.approx(2.5)
    assert latencies.expected("look") == 0.2, "only `learn` changes it"


def test_typical_latency_of_a_class_that_takes_no_time_is_positive() -> None:
    latencies = TypicalLatencies()
    assert latencies.relative("look", 0.0) == 0.0
    latencies.learn("look", 0.0)
    assert latencies.expected("look") == MIN_TYPICAL_LATENCY


def test_one_sample_changes_the_mean_by_a_bounded_amount() -> None:
    latencies = TypicalLatencies()
    latencies.relative("look", 1.0)
    latencies.learn("look", 1e6)
    assert latencies.expected("look") == pytest.approx(1.0 + GAIN * (MAX_RELATIVE_SAMPLE - 1))


def test_restored_latencies_do_not_override_measured_ones() -> None:
    latencies = TypicalLatencies()
    latencies.relative("measured", 0.5)
    latencies.restore({"measured": 9.0, "new": 0.1, "none": 0.0})
    assert latencies.by_class == {"measured": 0.5, "new": 0.1}
