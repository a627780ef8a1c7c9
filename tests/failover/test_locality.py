"""Locality-aware routing: the order in which zones are tried."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from random import Random

import pytest

from shelfhaven.failover.traffic_policy import (
    TrafficPolicy,
    ZonePolicy,
)
from shelfhaven.routing.backend import AttemptSignal, BackendState
from shelfhaven.routing.locality import LocalityRouter, LocalitySettings
from shelfhaven.routing.pool import Pool
from shelfhaven.routing.pool_settings import PoolSettings
from tests.failover.helpers import local_router


def count_first_zones(
    router: LocalityRouter, zones: str = "abc", time_left: float = 10.0, draws: int = 2000
) -> Counter[str]:
    return Counter(router.zone_order(list(zones), time_left)[0] for _ in range(draws))


def test_order_is_own_zone_then_own_region_then_other_regions() -> None:
    router = local_router()
    assert router.zone_order(["c", "b", "a"], 10.0) == ["a", "b", "c"]
    assert count_first_zones(router) == {"a": 2000}


def test_diverted_fraction_goes_to_the_destinations() -> None:
    router = local_router()
    zone_policies = {
        "a": ZonePolicy(diverted_fraction=0.3, destinations={"b": 0.25, "c": 0.75}),
        "b": ZonePolicy(),
        "c": ZonePolicy(),
    }
    router.diversion = TrafficPolicy(1, zones=zone_policies)
    first_zones = count_first_zones(router, draws=20_000)
    assert first_zones["a"] / 20_000 == pytest.approx(0.7, abs=0.02)
    assert first_zones["c"] / 20_000 == pytest.approx(0.225, abs=0.02)
    router.diversion = TrafficPolicy(
        2, zones={"b": ZonePolicy(diverted_fraction=1.0, destinations={"a": 0.5, "c": 0.5})}
    )
    assert all("b" not in router.zone_order(["a", "b", "c"], 10.0) for _ in range(100)), "b is closed"
    router.diversion = TrafficPolicy(
        3, zones={"a": ZonePolicy(diverted_fraction=1.0, destinations={"b": 1.0})}
    )
    assert count_first_zones(router) == {"b": 2000}
    assert router.zone_order(["a"], 10.0) == ["a"], "there is no other zone"


def test_spill_changes_smoothly_and_at_a_different_rate_on_each_node() -> None:
    routers = [LocalityRouter(LocalitySettings(), "a", Random(seed)) for seed in range(20)]
    histories: list[list[float]] = []
    for router in routers:
        history = []
        for tick in range(400):
            router.update(tick * 0.1, 1.0 if tick < 150 else 0.6)
            history.append(router.spill)
        histories.append(history)
        assert max(abs(new - old) for old, new in pairwise(history)) <= 0.2 * 1.5 * 0.1 + 1e-9
        assert history[149] == 1.0
        assert history[-1] == 0.0
    assert len({round(history[20], 4) for history in histories}) == 20


def test_changed_spill_rate_applies_to_a_running_router() -> None:
    slow, fast = local_router(), local_router()
    fast.settings = LocalitySettings(spill_rate=0.4)
    for router in (slow, fast):
        router.update(0.0, 1.0)
        router.update(0.5, 1.0)
    assert fast.spill == pytest.approx(2 * slow.spill)
    before = slow.spill
    slow.update(1.0, None)
    assert slow.spill == before, "without local backends the spill is unchanged"


def test_long_gap_between_updates_causes_no_jump_of_the_spill() -> None:
    router = local_router()
    router.update(0.0, 1.0)
    router.update(1000.0, 1.0)
    assert router.spill <= 0.3


def test_zone_too_far_for_the_remaining_time_is_skipped() -> None:
    router = LocalityRouter(LocalitySettings(one_way_latency={"b": 0.01, "c": 0.2}), "a", Random(1))
    assert router.zone_order(["a", "b", "c"], 1.0) == ["a", "b", "c"]
    assert router.zone_order(["a", "b", "c"], 0.5) == ["a", "b"]
    assert router.zone_order(["a", "b", "c"], 0.01) == ["a"]
    assert router.zone_order(["b", "c"], 0.001) == ["b", "c"], "if every zone is too far, none is skipped"


def test_pool_uses_another_zone_when_its_own_is_full_and_subtracts_the_network_latency() -> None:
    zones = {"a1": "a", "a2": "a", "b1": "b"}
    settings = PoolSettings(initial_limit=2, max_limit=2)
    router = LocalityRouter(LocalitySettings(one_way_latency={"b": 0.5}), "a", Random(1))
    pool = Pool(settings, zones, 0.0, Random(2))
    pool.locality = router
    pool.zones = zones
    chosen_zones = []
    for attempt in range(1, 7):
        backend = pool.pick(0.0, time_left=100.0)
        assert backend
        pool.begin_attempt(0.0, backend, attempt, "x")
        chosen_zones.append(zones[backend.name])
    assert chosen_zones == ["a"] * 4 + ["b"] * 2
    assert pool.pick(0.0, time_left=100.0) is None
    assert router.attempts_by_zone == {"a": 4, "b": 2}
    assert pool.local_capacity(0.0) == 4.0, "four of the six runs fit in the own zone"
    other_pool = Pool(PoolSettings(), zones, 0.0, Random(2))
    other_pool.locality = router
    other_pool.zones = zones
    for attempt in range(1, 60):
        backend = other_pool.backends[("a1", "a2", "b1")[attempt % 3]]
        other_pool.begin_attempt(float(attempt), backend, attempt, "x")
        other_pool.end_attempt(
            attempt + (1.1 if backend.name == "b1" else 0.1), attempt, AttemptSignal.SUCCESS
        )
    assert other_pool.backends["b1"].state is BackendState.IN_USE
