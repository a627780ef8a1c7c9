"""Tests of the aggregation of load digests into zone summaries."""

from __future__ import annotations

import pytest

from shelfhaven.failover.aggregation import ZoneSummary, summarize_zones
from shelfhaven.failover.load_digest import LoadDigest


def test_summary_extrapolates_the_sample_and_bounds_false_digests() -> None:
    sample = [LoadDigest(f"n{number}", "a", capacity=10.0, load=5.0) for number in range(5)]
    summaries = summarize_zones(sample, {"a": 20, "b": 7}, {"a": 4})
    assert summaries["a"].capacity == pytest.approx(160.0)
    assert summaries["a"].load == pytest.approx(80.0)
    assert summaries["b"] == ZoneSummary("b", 7)
    false_digest = LoadDigest("n9", "a", capacity=1e9, load=0.0, failure_rate=1.0, rejection_rate=1.0)
    summary = summarize_zones([*sample, false_digest], {"a": 6}, {})["a"]
    assert summary.capacity == pytest.approx(90.0)
    assert summary.failure_rate == summary.rejection_rate == 0.0


def test_reachability_counts_reports_of_healthy_nodes_in_other_zones_only() -> None:
    healthy = [LoadDigest(f"n{number}", "a", reachability={"b": 0.1, "a": 1.0}) for number in range(3)]
    unhealthy = [LoadDigest(f"m{number}", "a", reachability={"b": 1.0}, health=0.1) for number in range(9)]
    summaries = summarize_zones([*healthy, *unhealthy], {"a": 12, "b": 3}, {})
    assert summaries["b"].reachability == {"a": 0.1}
    assert summaries["a"].reachability == {}, "a zone's reports about itself do not count"
