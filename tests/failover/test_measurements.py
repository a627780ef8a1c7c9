"""Tests of the computation of a node's load digest from its counters."""

from __future__ import annotations

from collections import Counter

import pytest

from shelfhaven.failover.load_digest import LoadDigest
from shelfhaven.failover.measurements import LoadMeter, NodeCounters


def test_digest_reports_moving_averages_of_the_counters() -> None:
    meter = LoadMeter()
    digest = LoadDigest("a1", "a")
    answers, run_results = Counter(served=0), Counter[tuple[str, bool]]()
    for _ in range(30):
        answers.update(served=6, failed=2, refused=8)
        run_results.update({("look", False): 6, ("topup", True): 3, ("topup", False): 1})
        running_by_class = {"look": 7, "topup": 3}
        priority_weights = {"look": 1.0, "topup": 3.0}
        counters = NodeCounters(
            answers,
            run_results,
            10,
            40.0,
            0.5,
            1.4,
            running_by_class,
            {"look": 0.02},
            priority_weights,
            has_local_backends=True,
        )
        digest = meter.measure(digest, counters)
    assert digest.rejection_rate == pytest.approx(0.5, abs=0.01)
    assert digest.failure_rate == pytest.approx(
        0.3, abs=0.01
    ), "the failure rate of the runs at the zone's own backends"
    assert digest.load == pytest.approx(20.0, rel=0.02), "the load includes rejected requests"
    look, topup = digest.by_class["look"], digest.by_class["topup"]
    assert (look.failure_rate, topup.failure_rate) == (0.0, 0.75)
    assert [look.load, topup.load] == pytest.approx([14.0, 6.0], rel=0.02)
    assert (look.value_rate, topup.value_rate) == (50.0, 0.0), "the run time of topup is unknown"
    assert (digest.capacity, digest.warm_fraction, digest.health) == (40.0, 0.5, 1.0)
    next_digest = meter.measure(
        digest, NodeCounters(answers + Counter(failed=1), run_results, 0, 40.0, 1.0, 1.0)
    )
    assert next_digest.failure_rate == pytest.approx(
        0.25, abs=0.01
    ), "the failure rate of the answers, without local backends; one result is too few to change it"
    for _ in range(30):
        digest = meter.measure(
            digest, NodeCounters(answers + Counter(failed=1), run_results, 0, 40.0, 1.0, 1.0)
        )
    assert (digest.failure_rate, digest.rejection_rate) == (0.0, 0.0), "without requests the rates decay to 0"
    assert digest.by_class["topup"].failure_rate == 0.0


def test_failures_of_local_backends_are_reported_although_other_zones_serve_the_requests() -> None:
    meter = LoadMeter()
    digest = LoadDigest("a1", "a")
    answers, run_results = Counter(served=0), Counter[tuple[str, bool]]()
    for round_number in range(120):
        answers.update(served=5)  # the pool retries at servers of another zone
        # Fewer than one run of each class per measurement.
        run_results.update({("look", False): round_number % 2, ("topup", True): round_number % 2})
        digest = meter.measure(
            digest, NodeCounters(answers, run_results, 2, 40.0, 1.0, 1.0, has_local_backends=True)
        )
    assert digest.by_class["topup"].failure_rate > 0.9
    assert digest.by_class["look"].failure_rate == 0.0
    assert digest.failure_rate == pytest.approx(0.5, abs=0.01)
