"""Readiness: when a starting node becomes ready, and its share of traffic while it warms up."""

from __future__ import annotations

import pytest

from shelfhaven.membership.readiness import (
    MAX_WARM_LOAD,
    Readiness,
    ReadinessSettings,
    ReadinessStep,
    min_cold_share,
)


def starting_node() -> Readiness:
    return Readiness(ReadinessSettings(10.0, 3.0, 20.0), 0.0)


def test_a_node_is_ready_once_it_has_a_list_a_link_and_a_first_answer() -> None:
    readiness = starting_node()
    assert readiness.update(0.0, False, 0.0) is ReadinessStep.WAITING_FOR_LIST
    readiness.has_list = True
    assert readiness.update(1.0, False, 0.0) is ReadinessStep.WAITING_FOR_LINK
    assert readiness.update(2.0, True, 0.0) is ReadinessStep.WAITING_FOR_FIRST_ANSWER
    readiness.has_first_answer = True
    assert readiness.update(2.5, True, 0.0) is ReadinessStep.READY
    assert readiness.update(3.0, False, 0.0) is ReadinessStep.READY, "a later loss of the link is ignored"
    assert [readiness.warm(now) for now in (3.0, 22.4, 22.5)] == [False, False, True]


def test_after_a_timeout_a_node_needs_no_list_and_no_first_answer_but_a_link() -> None:
    readiness = starting_node()
    assert readiness.update(9.9, False, 0.0) is ReadinessStep.WAITING_FOR_LIST
    assert readiness.update(100.0, False, 0.0) is ReadinessStep.WAITING_FOR_LINK
    assert readiness.update(101.0, True, 0.0) is ReadinessStep.WAITING_FOR_FIRST_ANSWER
    assert readiness.update(104.0, True, 0.0) is ReadinessStep.READY


def test_in_a_cold_fleet_no_node_waits_for_a_first_answer() -> None:
    readiness = starting_node()
    readiness.has_list = True
    assert readiness.update(0.1, True, 1.0) is ReadinessStep.READY
    assert readiness.share(0.1, 1.0) >= 1 / MAX_WARM_LOAD


@pytest.mark.parametrize("cold", [0.05, 0.3, 0.5, 0.9, 0.99])
def test_warm_nodes_in_a_cold_fleet_stay_within_the_maximum_load(cold: float) -> None:
    share = max(0.1, min_cold_share(cold))
    assert 1 / ((1 - cold) + cold * share) <= MAX_WARM_LOAD + 1e-9
