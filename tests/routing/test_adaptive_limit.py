"""Adaptive concurrency limit: adapts to the latency of a backend within its bounds."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.routing.adaptive_limit import AdaptiveLimit


def test_limit_grows_at_steady_latency_and_shrinks_when_latency_rises() -> None:
    limit = AdaptiveLimit(4, 1, 64)
    for _ in range(200):
        limit.record_success(1.0, int(limit.max_in_flight))
    grown = limit.value
    assert grown > 12
    for _ in range(200):
        in_flight = int(limit.max_in_flight)
        limit.record_success(1.0 if in_flight <= 4 else 8.0, in_flight)
    assert limit.value < 0.6 * grown


def test_unused_limit_is_unchanged() -> None:
    limit = AdaptiveLimit(8, 1, 64)
    for _ in range(50):
        limit.record_success(1.0, 2)
    assert limit.value == 8


def test_limit_converges_for_a_backend_with_four_workers() -> None:
    random = Random(3)
    for initial_limit in (2, 8, 64):
        limit = AdaptiveLimit(initial_limit, 1, 256)
        limit_values = []
        for _ in range(6000):  # under constant load, so that only measurements yield a baseline
            in_flight = int(limit.max_in_flight)
            limit.record_success(max(1.0, in_flight / 4) * random.expovariate(1), in_flight)
            limit_values.append(limit.value)
        assert min(limit_values[2000:]) >= 4
        assert max(limit_values[2000:]) <= 20


@given(st.lists(st.tuples(st.sampled_from("cfr"), st.floats(), st.integers(0, 99)), max_size=50))
def test_limit_stays_within_its_bounds_for_any_sequence_of_results(
    results: list[tuple[str, float, int]],
) -> None:
    limit = AdaptiveLimit(4, 1, 16)
    for kind, latency, in_flight in results:
        if kind == "c":
            limit.record_success(latency, in_flight)
        else:
            (limit.record_failure if kind == "f" else limit.record_rejection)()
        assert 1 <= limit.value <= 16


def test_new_bounds_apply_at_once_and_keep_the_measurements() -> None:
    limit = AdaptiveLimit(8, 1, 64)
    limit.record_success(2.0, 1)
    limit.reconfigure(1, 4, 3.0)
    assert (limit.value, limit.baseline_latency, limit.latency_tolerance) == (4, 2.0, 3.0)
    limit.reconfigure(6, 16, 3.0)
    assert limit.value == 6


def test_reset_discards_the_measurements_and_does_not_raise_the_limit() -> None:
    limit = AdaptiveLimit(4, 1, 64)
    for _ in range(10):
        limit.record_success(2.0, 4)
    before = limit.value
    limit.reset(100)
    assert limit.value == before
    assert (limit.recent_latency, limit.baseline_latency, limit.loaded_completions) == (0.0, 0.0, 0)
    limit.reset(2)
    assert limit.value == 2
