"""Tests of the failover controller, including its limits under random sequences of faults."""

from __future__ import annotations

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from shelfhaven.failover.controller import FailoverController
from shelfhaven.failover.traffic_policy import (
    FailoverCause,
    TrafficPolicy,
)
from tests.failover.helpers import QUICK_SETTINGS, REACHABILITY, ControlledFleet


def test_controller_records_usual_loads_before_any_decision() -> None:
    controller = FailoverController(QUICK_SETTINGS)
    summaries = ControlledFleet().summaries
    policy, _ = controller.next_policy(0.0, TrafficPolicy(), TrafficPolicy(), summaries, 1)
    assert policy
    assert {zone: zone_policy.load for zone, zone_policy in policy.zones.items()} == dict.fromkeys(
        "abc", 60.0
    )


def test_a_burst_when_a_controller_begins_does_not_limit_what_it_diverts_later() -> None:
    # guards against a lost zone that is diverted in part, as its load seemed over half of all
    fleet = ControlledFleet()
    fleet.change("b", load=150.0)
    fleet.run(0.5)
    fleet.change("b", load=60.0)
    fleet.run(4.0)
    assert 60.0 < fleet.controller.evidence.zones["b"].usual_load < 75.0
    fleet.lose("b")
    fleet.run(30.0)
    assert fleet.diverted("b") == 1.0


def test_the_load_from_before_a_fault_outweighs_the_samples_while_it_is_detected() -> None:
    fleet = ControlledFleet()
    fleet.run(30.0)
    fleet.change("b", load=0.0)
    fleet.run(1.0)
    assert fleet.controller.evidence.zones["b"].usual_load > 50.0


FAULTS = st.sampled_from(["healthy", "unreachable", "failing", "overloaded", "cold", "one witness"])


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abc"), FAULTS, st.floats(0.5, 12.0)), max_size=12))
def test_limits_hold_under_any_sequence_of_faults(
    schedule: list[tuple[str, str, float]],
) -> None:
    fleet = ControlledFleet()
    fleet.run(3.0)
    for zone, fault, seconds in schedule:
        fleet.change(
            zone,
            known_nodes=10,
            capacity=100.0,
            load=60.0,
            rejection_rate=0.0,
            failure_rate=0.0,
            warm_fraction=1.0,
            reachability=REACHABILITY[zone],
        )
        match fault:
            case "unreachable":
                fleet.lose(zone)
            case "failing":
                fleet.change(zone, failure_rate=0.9)
            case "overloaded":
                fleet.change(zone, capacity=30.0, rejection_rate=0.5)
            case "cold":
                fleet.change(zone, warm_fraction=0.2, capacity=20.0)
            case "one witness":
                fleet.change(zone, reachability={other: 0.0 for other in list(REACHABILITY[zone])[:1]})
        for _ in range(math.ceil(seconds / 0.5)):
            for other, summary in fleet.summaries.items():  # diverted load no longer arrives
                fleet.change(other, load=60.0 * (1 - fleet.diverted(other)) if summary.known_nodes else 0.0)
            fleet.run(0.5)
    last_fractions: dict[str, float] = dict.fromkeys("abc", 0.0)
    last_move_at = -math.inf
    for decided_at, policy in fleet.policies:
        zone_policies = {zone: policy.zone_policy(zone) for zone in "abc"}
        assert (
            sum(zone_policy.diverted_fraction for zone_policy in zone_policies.values())
            <= 3 * QUICK_SETTINGS.max_diverted + 0.3
        )
        assert any(zone_policy.diverted_fraction < 1 for zone_policy in zone_policies.values())
        changed = [zone for zone in "abc" if zone_policies[zone].diverted_fraction != last_fractions[zone]]
        assert len(changed) <= 1, "only one zone is moved at a time"
        for zone in changed:
            if zone_policies[zone].cause is not FailoverCause.UNREACHABLE:
                max_step = (
                    max(QUICK_SETTINGS.step_size, 2 * last_fractions[zone])
                    if zone_policies[zone].diverted_fraction > last_fractions[zone]
                    else QUICK_SETTINGS.step_size
                )
                assert abs(zone_policies[zone].diverted_fraction - last_fractions[zone]) <= max_step + 1e-9
                assert decided_at - last_move_at >= QUICK_SETTINGS.step_interval - 1e-9
            last_move_at = decided_at
            last_fractions[zone] = zone_policies[zone].diverted_fraction
