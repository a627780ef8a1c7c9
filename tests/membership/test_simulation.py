"""Fleets of members in virtual time: request rates, convergence and behaviour under faults."""

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

RATE_TOLERANCE = 1.2  # times the configured rate: slots are not aligned with the seconds that are counted
START_OPTIONS = ("cached_list", "window", "neighbours")  # fields of `FleetStart`; other options are settings


def simulate(
    count: int, service: SimulatedListService | None = None, seed: int = 1, **options: object
) -> MembershipSimulation:
    start = FleetStart(**{name: options.pop(name) for name in START_OPTIONS if name in options})  # type: ignore[arg-type]
    service = service or SimulatedListService(rate=MAX_REQUESTS_PER_S)
    return MembershipSimulation(count, settings(count, **options), seed, service, start)


@pytest.mark.parametrize("count", [30, 300])
def test_a_fleet_that_starts_together_stays_within_the_request_rate(count: int) -> None:
    simulation = simulate(count)
    at = simulation.run(200.0, simulation.converged)
    assert simulation.converged(), "every node lists all nodes"
    assert simulation.service.peak_requests() <= RATE_TOLERANCE * MAX_REQUESTS_PER_S
    assert at < 10.0 + 2 * simulation.members[next(iter(simulation.members))].quota.window(
        REGISTRATION_SHARE, 2.0
    )
    assert len(simulation.service.watchers) <= 8


def test_a_steady_fleet_sends_few_requests_and_reads_no_list() -> None:
    simulation = simulate(100)
    simulation.run(120.0)
    before = dict(simulation.service.requests_by_kind)
    simulation.run(240.0)
    assert simulation.service.requests_by_kind["ReadList"] == before["ReadList"]
    request_count = sum(simulation.service.requests_by_kind.values()) - sum(before.values())
    assert request_count / 120 < 0.4 * MAX_REQUESTS_PER_S


def test_a_list_service_that_loses_its_data_during_the_start_removes_no_nodes() -> None:
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
    node_counts = []
    for second in range(17, 60):
        simulation.run(float(second))
        node_counts.append(min(len(member.fleet.nodes) for member in simulation.members.values()))
    assert min(node_counts[2:]) >= 30, "nodes listed before are kept"
    simulation.run(400.0, simulation.converged)
    assert simulation.converged(), "all nodes are listed again"
    assert simulation.service.peak_requests(17.0) <= RATE_TOLERANCE * MAX_REQUESTS_PER_S


def test_without_the_list_service_the_list_is_kept() -> None:
    service = SimulatedListService(rate=MAX_REQUESTS_PER_S)
    simulation = simulate(60, service)
    simulation.run(60.0)
    service.up = False
    simulation.run(400.0)
    assert simulation.converged()
    late = [count for second, count in service.requests_by_second.items() if second > 120]
    assert max(late) <= RATE_TOLERANCE * MAX_REQUESTS_PER_S


def test_nodes_that_cannot_reach_the_list_service_get_the_list_from_peers() -> None:
    simulation = simulate(60)
    isolated = set(list(simulation.identities)[::2])
    simulation.is_cut = lambda source, target: (source in isolated and target == "service") or (
        source == "service" and target in isolated
    )
    simulation.run(60.0)
    listed = {simulation.identities[node].key for node in simulation.members if node not in isolated}
    assert all(member.fleet.nodes.positions.keys() == listed for member in simulation.members.values())


def test_a_node_in_a_crash_loop_stays_within_its_request_rate() -> None:
    simulation = simulate(100)
    simulation.run(60.0)
    before, looping = sum(simulation.service.requests_by_kind.values()), "an00007"
    nodes = []
    send = simulation.request_service
    simulation.request_service = lambda node, member, action: (nodes.append(node), send(node, member, action))  # type: ignore
    for start in range(60, 180, 3):
        simulation.at(float(start), lambda: simulation.kill(looping))
        simulation.at(float(start) + 0.1, lambda: simulation.start_node(looping))
    simulation.run(180.0)
    window = simulation.members["an00001"].quota.window(REGISTRATION_SHARE, 2.0)
    assert nodes.count(looping) <= 3 * 120 / window
    assert sum(simulation.service.requests_by_kind.values()) > before


def test_nodes_that_are_suspended_during_the_start_are_listed_after_it() -> None:
    simulation = simulate(60)
    suspended = set(list(simulation.identities)[:20])
    simulation.at(0.6, lambda: simulation.suspended.update(suspended))
    simulation.at(15.0, simulation.suspended.clear)
    simulation.run(120.0, simulation.converged)
    assert simulation.converged()
    assert simulation.service.peak_requests() <= RATE_TOLERANCE * MAX_REQUESTS_PER_S


def test_a_fleet_that_starts_from_an_old_cached_list_converges_on_the_present_nodes() -> None:
    service = SimulatedListService(rate=MAX_REQUESTS_PER_S)
    known = snapshot_of_nodes(80, revision=50, age=600.0)
    service.revision = 60
    service.deleted = [(60, key) for key in known.items][60:]  # reported to a watch from revision 50 on
    simulation = simulate(
        60, service, cached_list=known, shrink_guard=ShrinkGuardSettings(retention_time=10.0)
    )
    simulation.run(200.0, simulation.converged)
    assert simulation.converged(), "the twenty missing nodes are removed after the retention time"


def test_peers_that_report_wrong_ages_do_not_prevent_convergence() -> None:
    simulation = simulate(30)
    original = simulation.deliver

    def tell_with_wrong_age(address: str, member: Member, event: Event) -> None:
        if isinstance(event, PeerAnswered) and event.peer in ("an00001", "an00002"):
            sent = event.snapshot
            event = PeerAnswered(
                event.peer, ListSnapshot(sent.version, 0.0, sent.items, sent.base, sent.removed)
            )
        original(address, member, event)

    simulation.deliver = tell_with_wrong_age  # type: ignore[method-assign]
    simulation.run(120.0, simulation.converged)
    assert simulation.converged()
