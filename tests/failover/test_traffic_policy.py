"""Tests of the traffic policy: encoding, invariants, and the policy that a node follows."""

from __future__ import annotations

import pytest

from shelfhaven.failover.traffic_policy import (
    FailoverCause,
    PolicyFollower,
    TrafficPolicy,
    ZonePolicy,
    ZoneState,
    decode_policy,
    encode_policy,
)


def test_policy_round_trip_and_rejection_of_malformed_values() -> None:
    zone_policy = ZonePolicy(
        ZoneState.PARTIAL, FailoverCause.FAILING, 0.25, {"b": 0.5, "c": 0.5}, 12.0, 2, "", "0.80 of runs fail"
    )
    policy = TrafficPolicy(7, 3, 99, "n1", 60.0, "", {"a": zone_policy, "b": ZonePolicy(), "c": ZonePolicy()})
    assert decode_policy(encode_policy(policy)) == policy
    for value in (b"", b"[]", b"{}", b'{"epoch":1}', encode_policy(policy)[:-5]):
        with pytest.raises(ValueError, match="malformed traffic policy"):
            decode_policy(value)
    with pytest.raises(ValueError, match="every zone is closed"):
        decode_policy(encode_policy(TrafficPolicy(1, zones={"a": ZonePolicy(diverted_fraction=1.0)})))
    with pytest.raises(ValueError, match="do not sum to 1"):
        decode_policy(
            encode_policy(
                TrafficPolicy(1, zones={"a": ZonePolicy(destinations={"b": 0.4}), "b": ZonePolicy()})
            )
        )
    with pytest.raises(ValueError, match="its own destination"):
        decode_policy(
            encode_policy(
                TrafficPolicy(1, zones={"a": ZonePolicy(destinations={"a": 1.0}), "b": ZonePolicy()})
            )
        )


def test_stored_policy_has_a_stable_encoding() -> None:
    zone_policy = ZonePolicy(
        state=ZoneState.RECOVERING,
        cause=FailoverCause.FAILING,
        diverted_fraction=0.123456,
        destinations={"b": 0.33333333, "c": 0.66666667},
        load=12.34567,
        failed_recoveries=2,
        pinned_by="operators",
        reason="x" * 201,
        diverted_by_class={"topup": 0.87654321},
    )
    policy = TrafficPolicy(
        epoch=7,
        renewal=3,
        fencing_token=99,
        decided_by="n1",
        valid_for=60.5,
        halt_reason="y" * 201,
        zones={"a": zone_policy, "b": ZonePolicy()},
    )
    assert encode_policy(policy) == (
        b'{"epoch":7,"beat":3,"fence":99,"by":"n1","holds":60.5,"halted":"' + b"y" * 200 + b'","zones":{'
        b'"a":{"standing":"coming back","cause":"failing","away":0.1235,"to":{"b":0.333333,"c":0.666667},'
        b'"load":12.346,"strikes":2,"pinned":"operators","why":"'
        + b"x"
        * 200
        + b'","parts":{"topup":0.8765}},'
        b'"b":{"standing":"open","cause":"","away":0.0,"to":{},"load":0.0,"strikes":0,"pinned":"","why":"",'
        b'"parts":{}}}}'
    )


def test_follower_ignores_older_and_expired_policies() -> None:
    follower = PolicyFollower()
    assert follower.policy_in_force(0.0) is None
    assert follower.accept(1.0, TrafficPolicy(5, 1, valid_for=10.0))
    assert not follower.accept(2.0, TrafficPolicy(4, 9, valid_for=10.0))
    assert not follower.accept(
        2.0, TrafficPolicy(5, 1, valid_for=10.0)
    ), "the same version does not extend the validity"
    assert follower.policy_in_force(10.9) == TrafficPolicy(5, 1, valid_for=10.0)
    assert follower.policy_in_force(11.0) is None
    assert follower.accept(12.0, TrafficPolicy(5, 2, valid_for=10.0))
    assert follower.policy_in_force(21.0) is not None


def test_diverted_nodes_are_a_stable_subset_as_the_fraction_shrinks() -> None:
    names = [f"n{number}" for number in range(400)]

    def diverted_nodes(zone_policy: ZonePolicy) -> set[str]:
        policy = TrafficPolicy(1, zones={"a": zone_policy, "b": ZonePolicy()})
        return {name for name in names if policy.diverts_node(name, "a")}

    half, quarter = (
        diverted_nodes(ZonePolicy(cause=FailoverCause.FAILING, diverted_fraction=fraction))
        for fraction in (0.5, 0.25)
    )
    assert quarter < half
    assert len(half) == pytest.approx(200, abs=40)
    assert diverted_nodes(ZonePolicy(cause=FailoverCause.OPERATORS, diverted_fraction=1.0)) == set(names)
    assert diverted_nodes(ZonePolicy(cause=FailoverCause.UNREACHABLE, diverted_fraction=1.0)) == set()
    assert (
        diverted_nodes(
            ZonePolicy(cause=FailoverCause.FAILING, diverted_fraction=1.0, diverted_by_class={"x": 1.0})
        )
        == set()
    )
