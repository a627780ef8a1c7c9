"""Tests of the return of traffic to recovered zones."""

from __future__ import annotations

from itertools import pairwise

import pytest

from shelfhaven.failover.traffic_policy import ZoneState
from tests.failover.helpers import REACHABILITY, ControlledFleet


def test_recovery_is_no_faster_than_the_warm_up() -> None:
    fleet = ControlledFleet()
    fleet.run(5.0)
    fleet.lose("a")
    fleet.run(5.0)
    fleet.change(
        "a", known_nodes=10, capacity=20.0, load=0.0, warm_fraction=0.2, reachability=REACHABILITY["a"]
    )
    fleet.run(10.0)
    assert fleet.diverted("a") == pytest.approx(0.8)
    fleet.run(20.0)
    assert fleet.diverted("a") == pytest.approx(0.8), "the zone has not warmed up further"
    fleet.change("a", capacity=100.0, warm_fraction=1.0)
    fleet.run(2.0)
    assert 0.5 < fleet.diverted("a") < 0.6
    fleet.run(20.0)
    assert fleet.policy.zone_policy("a").state is ZoneState.OPEN


def test_flapping_zone_waits_longer_each_time() -> None:
    fleet = ControlledFleet()
    fleet.run(5.0)
    for _ in range(40):  # every three seconds the zone becomes unreachable or recovers
        fleet.lose("a")
        fleet.run(3.0)
        fleet.change("a", known_nodes=10, capacity=100.0, load=0.0, reachability=REACHABILITY["a"])
        fleet.run(3.0)
    fractions = [policy.zone_policy("a").diverted_fraction for _, policy in fleet.policies]
    recoveries = sum(later < earlier for earlier, later in pairwise(fractions))
    assert recoveries == 0, "the zone was never healthy for long enough"
    second_fleet = ControlledFleet()
    second_fleet.run(5.0)
    delays = []
    for _ in range(4):
        second_fleet.lose("a")
        second_fleet.run(6.0)
        second_fleet.change("a", known_nodes=10, capacity=100.0, load=0.0, reachability=REACHABILITY["a"])
        recovered_at = second_fleet.now
        diverted = second_fleet.diverted("a")
        while second_fleet.diverted("a") >= diverted:
            second_fleet.run(0.5)
        delays.append(second_fleet.now - recovered_at)
    assert delays[0] < delays[1] < delays[2]
