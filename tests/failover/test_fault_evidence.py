"""Tests of the evidence of faults, through the decisions of the failover controller."""

from __future__ import annotations

from dataclasses import replace

from shelfhaven.failover.administration import forget_zone
from shelfhaven.failover.controller import FailoverController
from shelfhaven.failover.node_view import NodeView, ZoneFigures
from shelfhaven.failover.traffic_policy import (
    FailoverCause,
    TrafficPolicy,
)
from tests.failover.helpers import QUICK_SETTINGS, ControlledFleet


def test_no_move_while_all_zones_fail_alike() -> None:
    fleet = ControlledFleet()
    fleet.run(30.0)
    for zone in "abc":
        fleet.change(zone, failure_rate=0.9, rejection_rate=0.5)
    fleet.run(60.0)
    assert fleet.policies == []


def test_zone_that_reaches_no_other_zone_does_not_close_them() -> None:
    fleet = ControlledFleet()
    fleet.run(5.0)
    # the view of a node in zone a, which is cut off: only zone a's own digests are fresh
    for zone in "bc":
        fleet.change(zone, reachability={"a": 0.0, **{other: 1.0 for other in "bc" if other != zone}})
    fleet.change("a", reachability={"b": 0.0, "c": 0.0})
    fleet.run(20.0)
    assert fleet.diverted("b") == fleet.diverted("c") == 0.0
    assert fleet.diverted("a") == 1.0


def test_one_observer_among_several_is_not_enough_evidence() -> None:
    fleet = ControlledFleet()
    fleet.change("a", reachability={"b": 0.0, "c": 1.0})
    fleet.run(30.0)
    assert fleet.policies == []


def test_unreachable_zone_does_not_close_the_zones_that_it_does_not_reach() -> None:
    fleet = ControlledFleet()
    fleet.run(5.0)
    fleet.change("b", reachability={"a": 0.0, "c": 0.0})
    fleet.change("a", reachability={"b": 0.0, "c": 1.0})
    # the moving average that c has for b decays later than that of a
    fleet.change("c", reachability={"b": 0.6, "a": 1.0})
    fleet.run(10.0)
    assert fleet.diverted("a") == 0.0, "zone c reaches it"
    assert fleet.diverted("b") == 1.0


def test_unlisted_zone_is_unreachable_until_it_is_listed_again_or_forgotten() -> None:
    fleet = ControlledFleet()
    fleet.policy, _ = fleet.controller.next_policy(0.0, fleet.policy, fleet.policy, fleet.summaries, 1)  # type: ignore[assignment]
    fleet.run(5.0)
    summary_before = fleet.summaries.pop("a")
    fleet.run(1.5)
    assert fleet.diverted("a") == 0.0, "with two listed zones the evidence has to last longer"
    fleet.run(2.5)
    zone_policy = fleet.policy.zone_policy("a")
    assert (zone_policy.cause, zone_policy.diverted_fraction, zone_policy.load) == (
        FailoverCause.UNREACHABLE,
        1.0,
        60.0,
    )
    assert zone_policy.destinations == {"b": 0.5, "c": 0.5}
    assert "on the endpoint list" in zone_policy.reason
    policy_before = fleet.policy
    fleet.controller = FailoverController(QUICK_SETTINGS, dict.fromkeys("abc", "r"))
    fleet.run(20.0)
    assert fleet.policy == policy_before, "a new controller takes it over from the policy"
    fleet.summaries["a"] = replace(summary_before, warm_fraction=0.2)
    fleet.run(20.0)
    assert fleet.diverted("a") == 0.8, "traffic returns no faster than the zone warms up"
    fleet.change("a", warm_fraction=1.0)
    fleet.run(20.0)
    assert fleet.diverted("a") == 0.0
    del fleet.summaries["a"]
    fleet.run(5.0)
    view = NodeView("n", {"a": ZoneFigures(listed_nodes=2)})
    assert forget_zone("a", fleet.policy, view)[0] is None, "it still has listed nodes"
    assert forget_zone("x", fleet.policy, NodeView())[0] is None
    changed, _ = forget_zone("a", fleet.policy, NodeView())
    assert changed
    fleet.policy = changed
    fleet.run(20.0)
    assert "a" not in fleet.policy.zones


def test_new_controller_without_an_endpoint_list_considers_no_zone_unreachable() -> None:
    fleet = ControlledFleet()
    fleet.policy, _ = fleet.controller.next_policy(0.0, TrafficPolicy(), TrafficPolicy(), fleet.summaries, 1)  # type: ignore[assignment]
    fleet.controller = FailoverController(QUICK_SETTINGS, dict.fromkeys("abc", "r"))
    fleet.summaries = {"a": fleet.summaries["a"]}  # the node has not read the endpoint list yet
    fleet.run(60.0)
    assert fleet.policies == []


def test_intermittent_failures_are_not_enough_evidence() -> None:
    fleet = ControlledFleet()
    for _ in range(20):
        fleet.change("a", failure_rate=0.9)
        fleet.run(0.5)
        fleet.change("a", failure_rate=0.0)
        fleet.run(0.5)
    assert fleet.policies == []


def test_zones_that_fail_one_after_another_halt_diversions() -> None:
    fleet = ControlledFleet()
    fleet.run(5.0)
    fleet.change("a", failure_rate=0.8)
    fleet.run(3.0)
    assert fleet.diverted("a") > 0
    fleet.change("b", failure_rate=0.8)
    fleet.run(20.0)
    assert "a, b" in fleet.policy.halt_reason
    assert fleet.diverted("a") == fleet.diverted("b") == 0.0, "traffic returns once diversions are halted"
    fleet.change("a", failure_rate=0.0)
    fleet.change("b", failure_rate=0.0)
    fleet.run(60.0)
    assert fleet.policy.halt_reason == ""
