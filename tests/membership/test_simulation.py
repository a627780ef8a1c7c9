"""Fleets of members in virtual time: what they ask, learn and survive."""

from __future__ import annotations

import pytest

from shelfhaven.lab.membership_simulation import FleetStart, MembershipSimulation
from shelfhaven.lab.simulated_list_service import SimulatedListService
from shelfhaven.membership.list_version import ListSnapshot
from shelfhaven.membership.member import Member
from shelfhaven.membership.messages import Event, PeerAnswered
from shelfhaven.membership.service_quota import REGISTRATION_SHARE
from shelfhaven.membership.shrink_guard import ShrinkGuardSettings
from tests.membership.fixtures import MAX_REQUESTS_PER_S, settings, snapshot_of_nodes

OVER = 1.2  # of the stated rate in the busiest second: a second's edge cuts no slot in two
START = ("cached_list", "window", "neighbours")  # changes that are of the start and not of the settings


def simulate(
    count: int, service: SimulatedListService | None = None, seed: int = 1, **changes: object
) -> MembershipSimulation:
    start = FleetStart(**{name: changes.pop(name) for name in START if name in changes})  # type: ignore[arg-type]
    service = service or SimulatedListService(rate=MAX_REQUESTS_PER_S)
    return MembershipSimulation(count, settings(count, **changes), seed, service, start)


@pytest.mark.parametrize("count", [30, 300])
def test_a_fleet_that_starts_together_asks_no_more_than_the_stated_rate(count: int) -> None:
    simulation = simulate(count)
    at = simulation.run(200.0, simulation.converged)
    assert simulation.converged(), "everybody knows everybody"
    assert simulation.service.peak_requests() <= OVER * MAX_REQUESTS_PER_S
    assert at < 10.0 + 2 * simulation.members[next(iter(simulation.members))].quota.window(
        REGISTRATION_SHARE, 2.0
    )
    assert len(simulation.service.watchers) <= 8


def test_a_steady_fleet_asks_little_and_reads_nothing() -> None:
    simulation = simulate(100)
    simulation.run(120.0)
    before = dict(simulation.service.requests_by_kind)
    simulation.run(240.0)
    assert simulation.service.requests_by_kind["ReadList"] == before["ReadList"]
    asked = sum(simulation.service.requests_by_kind.values()) - sum(before.values())
    assert asked / 120 < 0.4 * MAX_REQUESTS_PER_S


def test_a_service_that_dies_half_way_and_comes_back_empty_removes_nothing() -> None:
    service = SimulatedListService(rate=MAX_REQUESTS_PER_S)
    simulation = simulate(
        100,
        service,
        window=(0.0, 10.0),
        shrink_guard=ShrinkGuardSettings(retention_time=20.0),
        min_lease=12.0,
    )
    simulation.run(6.0)
    service.up = False
    simulation.run(16.0)
    service.up = True
    service.restart_empty()
    least = []
    for second in range(17, 60):
        simulation.run(float(second))
        least.append(min(len(member.fleet.nodes) for member in simulation.members.values()))
    assert min(least[2:]) >= 30, "what was known before is kept"
    simulation.run(400.0, simulation.converged)
    assert simulation.converged(), "and all are listed again"
    assert simulation.service.peak_requests(17.0) <= OVER * MAX_REQUESTS_PER_S


def test_the_end_of_the_service_leaves_the_list_as_it_is() -> None:
    service = SimulatedListService(rate=MAX_REQUESTS_PER_S)
    simulation = simulate(60, service)
    simulation.run(60.0)
    service.up = False
    simulation.run(400.0)
    assert simulation.converged()
    late = [count for second, count in service.requests_by_second.items() if second > 120]
    assert max(late) <= OVER * MAX_REQUESTS_PER_S


def test_half_that_cannot_reach_the_service_learn_from_the_other_half() -> None:
    simulation = simulate(60)
    far = set(list(simulation.identities)[::2])
    simulation.cut = lambda source, target: (source in far and target == "service") or (
        source == "service" and target in far
    )
    simulation.run(60.0)
    listed = {simulation.identities[node].key for node in simulation.members if node not in far}
    assert all(member.fleet.nodes.positions.keys() == listed for member in simulation.members.values())


def test_a_crash_loop_asks_no_more_often_than_a_node_that_runs() -> None:
    simulation = simulate(100)
    simulation.run(60.0)
    before, looping = sum(simulation.service.requests_by_kind.values()), "an00007"
    asked = []
    real = simulation.request_service
    simulation.request_service = lambda node, member, action: (asked.append(node), real(node, member, action))  # type: ignore
    for start in range(60, 180, 3):
        simulation.at(float(start), lambda: simulation.kill(looping))
        simulation.at(float(start) + 0.1, lambda: simulation.begin(looping))
    simulation.run(180.0)
    window = simulation.members["an00001"].quota.window(REGISTRATION_SHARE, 2.0)
    assert asked.count(looping) <= 3 * 120 / window
    assert sum(simulation.service.requests_by_kind.values()) > before


def test_a_third_that_is_paused_during_the_start_comes_up_after_it() -> None:
    simulation = simulate(60)
    stopped = set(list(simulation.identities)[:20])
    simulation.at(0.6, lambda: simulation.stopped.update(stopped))
    simulation.at(15.0, simulation.stopped.clear)
    simulation.run(120.0, simulation.converged)
    assert simulation.converged()
    assert simulation.service.peak_requests() <= OVER * MAX_REQUESTS_PER_S


def test_a_start_from_an_old_cached_list_finds_the_present_fleet() -> None:
    service = SimulatedListService(rate=MAX_REQUESTS_PER_S)
    known = snapshot_of_nodes(80, revision=50, age=600.0)
    service.revision = 60
    service.deleted = [(60, key) for key in known.items][60:]  # as the service tells who watches from 50 on
    simulation = simulate(
        60, service, cached_list=known, shrink_guard=ShrinkGuardSettings(retention_time=10.0)
    )
    simulation.run(200.0, simulation.converged)
    assert simulation.converged(), "the twenty that are no more are let go once the service stands by it"


def test_peers_that_send_wrong_ages_keep_nobody_from_the_right_list() -> None:
    simulation = simulate(30)
    real = simulation.tell

    def lying(address: str, member: Member, event: Event) -> None:
        if isinstance(event, PeerAnswered) and event.peer in ("an00001", "an00002"):
            sent = event.snapshot
            event = PeerAnswered(
                event.peer, ListSnapshot(sent.version, 0.0, sent.items, sent.base, sent.removed)
            )
        real(address, member, event)

    simulation.tell = lying  # type: ignore[method-assign]
    simulation.run(120.0, simulation.converged)
    assert simulation.converged()
