"""Tests of spare capacity, destinations, and the limit on diverted load."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.fault_evidence import FaultEvidence
from shelfhaven.failover.fleet_snapshot import FleetSnapshot
from shelfhaven.failover.settings import FailoverSettings
from shelfhaven.failover.spare_capacity import SpareCapacity
from shelfhaven.failover.traffic_policy import TrafficPolicy, ZonePolicy

SETTINGS = FailoverSettings(capacity_reserve=0.1, max_diverted=0.5)
REGIONS = {"a": "west", "b": "west", "c": "east"}
SUMMARIES = {zone: ZoneSummary(zone, 10, 10, 100.0, 60.0) for zone in "abc"}


def capacity_of(policy: TrafficPolicy, **changes: ZoneSummary) -> SpareCapacity:
    snapshot = FleetSnapshot(0.0, policy, {**SUMMARIES, **changes})
    evidence = FaultEvidence(SETTINGS)
    evidence.update(snapshot)
    return SpareCapacity(SETTINGS, REGIONS, evidence, snapshot)


def test_spare_capacity_excludes_the_reserve_and_includes_diverted_load() -> None:
    assert capacity_of(TrafficPolicy()).spare_by_destination("a") == pytest.approx({"b": 30.0, "c": 30.0})
    diverted = ZonePolicy(diverted_fraction=0.5, destinations={"b": 1.0}, load=60.0)
    capacity = capacity_of(TrafficPolicy(zones={"a": diverted}), b=replace(SUMMARIES["b"], load=90.0))
    assert capacity.spare_by_destination("a") == pytest.approx({"b": 30.0, "c": 30.0})
    assert set(capacity.spare_by_destination("b")) == {"c"}, "zone a is diverted itself"
    failing = capacity_of(TrafficPolicy(), b=replace(SUMMARIES["b"], failure_rate=0.9))
    assert set(failing.spare_by_destination("a")) == {"c"}, "zone b is failing"


def test_destinations_in_the_same_region_are_preferred_while_they_have_capacity() -> None:
    capacity = capacity_of(TrafficPolicy())
    assert capacity.destinations("a", {"b": 10.0, "c": 30.0}) == {"b": 1.0}
    assert capacity.destinations("a", {"b": 0.0, "c": 30.0}) == {"c": 1.0}
    assert capacity.destinations("a", {"b": 0.0, "c": 0.0}) == {"b": 0.5, "c": 0.5}


def test_diverted_load_is_limited_across_the_fleet() -> None:
    assert capacity_of(TrafficPolicy()).max_diverted_fraction("a", 60.0) == 1.0
    diverted = ZonePolicy(diverted_fraction=1.0, destinations={"c": 1.0}, load=60.0)
    capacity = capacity_of(TrafficPolicy(zones={"b": diverted}))
    assert capacity.max_diverted_fraction("a", 60.0) == pytest.approx(0.5)


def test_excess_fraction_is_the_load_above_capacity_less_the_reserve() -> None:
    capacity = capacity_of(TrafficPolicy())
    assert capacity.excess_fraction("a", 180.0) == pytest.approx(0.5)
    assert capacity.excess_fraction("a", 80.0) == 0.0
    assert capacity.excess_fraction("a", 0.0) == 0.0
