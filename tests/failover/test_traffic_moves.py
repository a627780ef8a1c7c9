"""Tests of traffic diversion away from zones with a fault."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.controller import FailoverController
from shelfhaven.failover.traffic_policy import (
    FailoverCause,
    TrafficPolicy,
    ZonePolicy,
    ZoneState,
    decode_policy,
    encode_policy,
)
from tests.failover.helpers import ControlledFleet, class_loads, local_router


def test_unreachable_zone_is_diverted_at_once_in_proportion_to_spare_capacity() -> None:
    fleet = ControlledFleet()
    fleet.change("c", load=80.0)
    fleet.run(5.0)
    fleet.lose("a")
    fleet.run(1.5)
    assert fleet.diverted("a") == 1.0
    zone_policy = fleet.policy.zone_policy("a")
    assert (zone_policy.state, zone_policy.cause) == (ZoneState.CLOSED, FailoverCause.UNREACHABLE)
    assert zone_policy.destinations["b"] == pytest.approx(25 / 30)
    assert zone_policy.load == pytest.approx(60.0), "the load before the fault"


def test_failing_zone_is_diverted_in_steps_within_the_spare_capacity() -> None:
    fleet = ControlledFleet()
    fleet.run(5.0)
    fleet.change("a", failure_rate=0.8)
    fleet.change("b", load=70.0)
    fleet.change("c", load=70.0)  # b and c can take 15 runs each, together half of a's load
    fleet.run(1.5)
    assert fleet.diverted("a") == 0.25
    for other in "bc":
        fleet.change(other, load=70.0 + 60 * 0.25 / 2)
    fleet.run(2.0)
    assert fleet.diverted("a") == 0.5
    for other in "bc":
        fleet.change(other, load=70.0 + 60 * 0.5 / 2)
    fleet.run(20.0)
    assert fleet.diverted("a") == 0.5, "the other zones have no capacity for more"
    intervals = [later - earlier for (earlier, _), (later, _) in pairwise(fleet.policies)]
    assert min(intervals) >= 2.0, "the effect of each step is observed before the next"


def test_class_that_fails_in_one_zone_is_diverted_alone() -> None:
    fleet = ControlledFleet()
    for zone in "abc":
        fleet.change(zone, capacity=200.0, by_class=class_loads(look=0.0, topup=0.1))
    fleet.run(5.0)
    fleet.change("a", by_class=class_loads(look=0.0, topup=0.9), failure_rate=0.2)
    fleet.run(1.5)
    zone_policy = fleet.policy.zone_policy("a")
    assert (zone_policy.cause, zone_policy.diverted_fraction) == (FailoverCause.FAILING, 0.25)
    assert zone_policy.diverted_by_class == {"topup": 0.625}, "0.25 of the zone's load"
    assert zone_policy.diverted_fraction_of("look") == 0.0
    assert "0.90 of topup fail" in zone_policy.reason
    assert decode_policy(encode_policy(fleet.policy)).zone_policy("a") == zone_policy
    fleet.run(10.0)
    zone_policy = fleet.policy.zone_policy("a")
    assert zone_policy.diverted_by_class == {"topup": 1.0}
    assert zone_policy.diverted_fraction == pytest.approx(0.4), "the share of topup in the load"
    fleet.change("a", by_class=class_loads(look=0.9, topup=0.9), failure_rate=0.9)
    fleet.run(10.0)
    assert (fleet.policy.zone_policy("a").diverted_by_class, fleet.diverted("a")) == (
        {},
        1.0,
    ), "all classes fail, so the whole zone is diverted"
    router = local_router()
    router.diversion = TrafficPolicy(
        1, zones={"a": replace(zone_policy, destinations={"b": 1.0}), "b": ZonePolicy(), "c": ZonePolicy()}
    )
    assert router.zone_order(list("abc"), 10.0, "topup") == ["b", "c"]
    assert router.zone_order(list("abc"), 10.0, "look")[0] == "a"


def test_classes_with_the_highest_value_rate_are_diverted_first_and_return_last() -> None:
    fleet = ControlledFleet()
    for zone in "abc":
        fleet.change(zone, by_class=class_loads(look=0.0, topup=0.0))
    fleet.run(5.0)
    for zone in "bc":
        fleet.change(zone, load=70.0)  # b and c can take 15 runs each, together half of a's load
    fleet.change("a", failure_rate=0.8, by_class=class_loads(look=0.8, topup=0.8, value_rate=0.1))
    history = []
    for _ in range(40):
        fleet.run(0.5)
        history.append(fleet.policy.zone_policy("a"))
        diverted_load = 60 * fleet.diverted("a") / 2
        for zone in "bc":
            fleet.change(zone, load=70.0 + diverted_load)
    zone_policy = fleet.policy.zone_policy("a")
    assert zone_policy.diverted_fraction == pytest.approx(
        0.5, abs=0.03
    ), "as much as the other zones can take"
    assert (
        zone_policy.diverted_by_class["topup"] == 1.0
    ), "the other zones report the highest value rate for topup"
    assert zone_policy.diverted_by_class["look"] == pytest.approx(
        (zone_policy.diverted_fraction - 0.4) / 0.6, abs=0.01
    )
    assert {
        zone_policy.diverted_fraction_of("topup") >= zone_policy.diverted_fraction_of("look")
        for zone_policy in history
    } == {True}
    fleet.change("a", failure_rate=0.0, by_class=class_loads(look=0.0, topup=0.0))
    recovery = []
    for _ in range(60):
        fleet.run(0.5)
        recovery.append(fleet.policy.zone_policy("a"))
    assert recovery[-1].diverted_fraction == 0.0
    partial = next(zone_policy for zone_policy in recovery if 0 < zone_policy.diverted_fraction < 0.4)
    assert partial.diverted_by_class.keys() == {
        "topup"
    }, "the class with the lowest value rate has returned first"
    look_fractions = [zone_policy.diverted_fraction_of("look") for zone_policy in recovery]
    assert all(later <= earlier for earlier, later in pairwise(look_fractions))


def test_steps_double_while_the_destinations_cope() -> None:
    for rejection_rate, expected in ((0.0, [0.25, 0.75, 1.0]), (0.3, [0.25, 0.5, 0.75, 1.0])):
        fleet = ControlledFleet()
        fleet.run(5.0)
        for zone in "bc":
            fleet.change(zone, capacity=1000.0, rejection_rate=rejection_rate)
        fleet.change("a", failure_rate=0.8)
        fleet.run(12.0)
        assert [policy.zone_policy("a").diverted_fraction for _, policy in fleet.policies] == expected


def test_overloaded_zone_diverts_its_excess_and_takes_it_back_with_more_capacity() -> None:
    fleet = ControlledFleet()
    fleet.run(5.0)
    fractions_by_capacity = {}
    for capacity in (50.0, 100.0):
        fractions = []
        for _ in range(120):
            load = 70.0 * (1 - fleet.diverted("a"))
            fleet.change("a", capacity=capacity, load=load, rejection_rate=max(0.0, 1 - capacity / load))
            fleet.run(0.5)
            fractions.append(fleet.diverted("a"))
        fractions_by_capacity[capacity] = fractions
    excess = 1 - 50 * 0.85 / 70
    assert max(fractions_by_capacity[50.0]) <= excess + 0.01
    assert fractions_by_capacity[50.0][-1] == pytest.approx(excess, abs=0.15)
    assert (
        sum(later < earlier for earlier, later in pairwise(fractions_by_capacity[50.0][20:])) == 0
    ), "returning traffic would overload the zone again"
    assert fractions_by_capacity[100.0][-1] == 0.0


def test_diverted_load_is_limited_and_the_last_zone_stays_open() -> None:
    fleet = ControlledFleet(max_diverted=0.5)
    fleet.run(5.0)
    fleet.lose("a")
    fleet.run(10.0)
    fleet.lose("b")
    fleet.change("c", reachability={"a": 0.0, "b": 0.0})
    fleet.change("a", reachability={"b": 0.0, "c": 0.0})
    fleet.change("b", reachability={"a": 0.0, "c": 0.0})
    fleet.run(60.0)
    diverted_load = 60.0 * (fleet.diverted("a") + fleet.diverted("b") + fleet.diverted("c"))
    assert diverted_load <= 0.5 * 180.0 + 1e-6
    assert fleet.diverted("c") == 0.0


def test_new_controller_estimates_the_load_of_an_unreachable_zone() -> None:
    fleet = ControlledFleet(max_diverted=0.5)
    fleet.run(5.0)
    fleet.lose("a")
    fleet.run(10.0)
    for zone in "bc":
        fleet.change(zone, load=90.0)
    fleet.controller = FailoverController(fleet.controller.settings, fleet.controller.regions)
    fleet.lose("b")
    fleet.change("c", reachability={"a": 0.0, "b": 0.0})
    fleet.run(30.0)
    assert fleet.diverted("a") + fleet.diverted("b") <= 1.5 + 0.2


def test_pinned_zone_is_not_changed_and_a_drained_one_receives_no_traffic() -> None:
    fleet = ControlledFleet()
    fleet.run(1.0)
    pinned = ZonePolicy(ZoneState.OPEN, FailoverCause.OPERATORS, 0.0, pinned_by="operators")
    fleet.policy = replace(fleet.policy, epoch=1, zones={"a": pinned})
    fleet.lose("a")
    fleet.run(30.0)
    assert fleet.diverted("a") == 0.0, "the controller does not change a pinned zone"
    drained = ZonePolicy(
        ZoneState.CLOSED, FailoverCause.OPERATORS, 1.0, {"c": 1.0}, 60.0, pinned_by="operators"
    )
    fleet = ControlledFleet(max_diverted=0.9)
    fleet.policy = TrafficPolicy(1, zones={"a": ZonePolicy(), "b": drained, "c": ZonePolicy()})
    fleet.run(5.0)
    fleet.lose("a")
    fleet.run(10.0)
    assert fleet.diverted("b") == 1.0
    assert fleet.policy.zone_policy("a").destinations == {"c": 1.0}


def test_diverted_traffic_is_redirected_when_a_destination_becomes_unreachable() -> None:
    fleet = ControlledFleet(max_diverted=0.9)
    fleet.run(5.0)
    fleet.lose("a")
    fleet.run(5.0)
    assert set(fleet.policy.zone_policy("a").destinations) == {"b", "c"}
    fleet.lose("b")
    fleet.change("c", reachability={"a": 0.0, "b": 0.0})
    fleet.summaries["c"] = ZoneSummary("c", 10, 10, 100.0, 60.0, reachability={})
    fleet.run(10.0)
    assert set(fleet.policy.zone_policy("a").destinations) == {"c"}
