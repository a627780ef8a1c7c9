"""The load that is advertised to callers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shelfhaven.decision.actions import AdvertiseLoad
from shelfhaven.decision.load_advertisement import LoadAdvertiser, LoadSnapshot
from shelfhaven.decision.settings import LoadAdvertisement
from tests.decision.samples import settings
from tests.decision.world import World


def test_the_window_is_an_even_share_when_busy_and_larger_for_the_heaviest_caller_when_idle() -> None:
    window_by_cpu = {}
    for cpu in (1.0, 0.2):
        world = World(settings(load_advertisement=LoadAdvertisement.WINDOW, callers=10))
        for n in range(60):
            job = world.arrive(0, 1 if n % 10 else n)
            world.advance(0.1, cpu=cpu)
            world.finish(job, duration=0.1)
        window_by_cpu[cpu] = world.advertised or 0.0
    assert 0 < window_by_cpu[1.0] < 0.5 * window_by_cpu[0.2]


def test_an_unhealthy_server_advertises_full_load_and_a_small_weight() -> None:
    for kind, value in ((LoadAdvertisement.LEVEL, 1.0), (LoadAdvertisement.WEIGHT, 0.1)):
        world = World(settings(load_advertisement=kind))
        world.arrive(0, 1), world.arrive(0, 2)
        world.advance(2.0)  # both cores are taken and no run ends
        assert not world.healthy
        assert world.advertised == value


def test_a_draining_server_closes_its_window_at_once_only_if_other_servers_have_capacity() -> None:
    def advertised_after_drain(busy: float, servers: int) -> list[float]:
        world = World(settings(load_advertisement=LoadAdvertisement.WINDOW, replicas=servers))
        world.advance(1.0, cpu=busy)
        before = [action.value for action in world.actions if isinstance(action, AdvertiseLoad)]
        world.drain(3.0)
        world.advance(0.5, cpu=busy)
        after = [action.value for action in world.actions if isinstance(action, AdvertiseLoad)][len(before) :]
        world.advance(1.0, cpu=busy)  # after the grace of one second
        assert [action.value for action in world.actions if isinstance(action, AdvertiseLoad)][-1] == 0.0
        return after

    assert 0.0 in advertised_after_drain(busy=0.2, servers=2)
    assert 0.0 in advertised_after_drain(busy=0.6, servers=8)
    # the other of two servers cannot take over the load
    assert 0.0 not in advertised_after_drain(busy=0.6, servers=2)


BUSY = LoadSnapshot(
    admitted_share=0.8,
    concurrency=4.0,
    completion_rate=5.0,
    heaviest_caller_share=0.5,
    spare_fraction=0.0,
    unhealthy=False,
    closed=False,
)


def _advertised(kind: LoadAdvertisement, load: LoadSnapshot) -> float | None:
    action = LoadAdvertiser(settings(load_advertisement=kind, callers=4)).update(load)
    return None if action is None else action.value


def test_advertised_values_of_a_busy_server() -> None:
    assert _advertised(LoadAdvertisement.NONE, BUSY) is None
    assert _advertised(LoadAdvertisement.LEVEL, BUSY) == pytest.approx(0.2)
    assert _advertised(LoadAdvertisement.WEIGHT, BUSY) == 0.8
    assert _advertised(LoadAdvertisement.WINDOW, BUSY) == pytest.approx(0.8 * (4.0 + 2.0) / 4)


def test_advertised_values_of_an_unhealthy_or_closed_server() -> None:
    for kind, unhealthy, closed in (
        (LoadAdvertisement.LEVEL, 1.0, 1.0),
        (LoadAdvertisement.WEIGHT, 0.1, 0.0),
        (LoadAdvertisement.WINDOW, 0.1, 0.0),
    ):
        assert _advertised(kind, replace(BUSY, unhealthy=True)) == unhealthy
        assert _advertised(kind, replace(BUSY, closed=True)) == closed


def test_with_spare_cores_the_window_is_what_the_heaviest_caller_needs() -> None:
    spare = replace(BUSY, spare_fraction=1.0)
    assert _advertised(LoadAdvertisement.WINDOW, spare) == pytest.approx(0.8 * ((4.0 + 2.0) * 0.5 + 1.0))


def test_small_changes_are_not_sent() -> None:
    advertiser = LoadAdvertiser(settings(load_advertisement=LoadAdvertisement.WEIGHT))
    assert advertiser.update(BUSY) == AdvertiseLoad(0.8)
    assert advertiser.update(replace(BUSY, admitted_share=0.77)) is None
    assert advertiser.update(replace(BUSY, admitted_share=0.75)) == AdvertiseLoad(0.75)
