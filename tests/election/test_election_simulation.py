"""Simulates many electors in virtual time, under random faults and with deliberate mistakes in the code."""

from __future__ import annotations

import math

import pytest

from shelfhaven.consensus.store import CompareAndSet, Put
from shelfhaven.election import elector, messages
from shelfhaven.election.hand_over import HandOver
from shelfhaven.election.lease_upkeep import LeaseUpkeep
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.election.task_ownership import TaskOwnership
from shelfhaven.lab.election_faults import Fault, FaultKind, draw_schedule, find_breaches
from shelfhaven.lab.election_simulation import ElectionSimulation
from shelfhaven.lab.schedules import shrink


def simulate(nodes: int, tasks: int, seed: int, **overrides: float) -> ElectionSimulation:
    options = {
        "lease_duration": 5.0,
        "safety_margin": 0.5,
        "candidate_delay": 0.3,
        "hand_over_after": 4.0,
        "hand_over_cooldown": 8.0,
        "clock_drift": 0.05,
    } | overrides
    settings = ElectorSettings(**options)
    return ElectionSimulation(nodes, tasks, settings, seed, clock_drift=settings.clock_drift)


def tokens_never_decrease(simulation: ElectionSimulation) -> bool:
    """Whether the target executed no action with a lower fencing token after one with a higher token."""
    highest_tokens: dict[str, int] = {}
    for _, task, token, _ in simulation.effects:
        if token < highest_tokens.get(task, 0):
            return False
        highest_tokens[task] = token
    return True


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_cause_no_breach(seed: int) -> None:
    assert find_breaches(draw_schedule(seed, 8, 120.0), 8, 6, seed, simulate(1, 1, 0).settings) == []


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_including_a_replaced_store_cause_no_breach(seed: int) -> None:
    kinds = (*FaultKind, FaultKind.STORE_REPLACED)
    assert find_breaches(draw_schedule(seed, 8, 120.0, kinds), 8, 6, seed, simulate(1, 1, 0).settings) == []


def test_a_failing_fault_schedule_is_shrunk_to_a_minimal_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(elector, "LeaseUpkeep", LeaseNeverRunsOut)
    settings = simulate(1, 1, 0).settings

    def fails(faults: list[Fault]) -> bool:
        return bool(find_breaches(faults, 6, 3, 1, settings))

    faults = draw_schedule(1, 6, 60.0, (FaultKind.CUT, FaultKind.SUSPEND, FaultKind.STORE_DOWN))
    assert fails(faults)
    minimal = shrink(faults, fails)
    assert len(minimal) < len(faults)
    assert fails(minimal)
    assert all(not fails(minimal[:i] + minimal[i + 1 :]) for i in range(len(minimal)) if len(minimal) > 1)


class CountsLeaseFromAnswer(elector.Elector):
    """Mistake: counts the duration of the lease from the answer instead of the request."""

    def on(self, now: float, event: messages.Input) -> list[messages.Effect]:
        effects = super().on(now, event)
        lease = self.lease_upkeep.lease
        if isinstance(event, messages.LeaseRenewed | messages.LeaseGranted) and lease.id:
            lease.requested_at = now
        return effects


class NoSafetyMargin(LeaseUpkeep):
    """Mistake: allows neither for clock drift nor for a safety margin."""

    def safe_until(self) -> float:
        return self.lease.requested_at + self.lease.ttl if self.lease.id else -math.inf


class LeaseNeverRunsOut(LeaseUpkeep):
    """Mistake: takes the lease for valid until the store reports that it has expired."""

    def safe_until(self) -> float:
        return math.inf if self.lease.id else -math.inf


class ReleasesUnconditionally(HandOver):
    """Mistake: releases a task without comparing the revisions of its own term."""

    def release(self, task: TaskOwnership) -> None:
        super().release(task)
        write = self.state.effects.pop()
        assert isinstance(write, messages.WriteRecord)
        puts = {task.keys.record: Put(self.record_after_release(task).encode())}
        change = CompareAndSet({}, puts, write.change.delete)
        self.state.emit(messages.WriteRecord(write.task, change, write.write_id))


# Each mistake, with the name in the module `elector` of the class that it replaces.
DELIBERATE_MISTAKES: dict[type, str] = {
    CountsLeaseFromAnswer: "Elector",
    NoSafetyMargin: "LeaseUpkeep",
    LeaseNeverRunsOut: "LeaseUpkeep",
    ReleasesUnconditionally: "HandOver",
}


@pytest.mark.parametrize("mistake", DELIBERATE_MISTAKES)
def test_a_mistake_in_the_code_causes_a_breach(mistake: type, monkeypatch: pytest.MonkeyPatch) -> None:
    def find_breaches_with_mistake(seed: int) -> list[str]:
        """Simulate leaders that are repeatedly cut off from the store, or nodes that repeatedly drain."""
        delay, drift = (
            0.0 if mistake is ReleasesUnconditionally else 0.02,
            0.0 if mistake is CountsLeaseFromAnswer else 0.05,
        )
        simulation = simulate(6, 6, seed, candidate_delay=delay, safety_margin=0.1, clock_drift=drift)
        if mistake is CountsLeaseFromAnswer:
            simulation.links.delayed, simulation.links.delay_max = 0.9, 0.95
        elif mistake is ReleasesUnconditionally:
            simulation.links.delayed, simulation.links.delay_max = 0.1, 12.0

        def cut_off_leaders() -> None:
            leaders = set(simulation.leaders().values())
            simulation.is_cut_off = lambda node: node in leaders
            simulation.at(simulation.now + 7.0, lambda: setattr(simulation, "is_cut_off", lambda _: False))
            simulation.at(simulation.now + 12.0, cut_off_leaders)

        def replace_a_node() -> None:
            simulation.drain_node(min(simulation.nodes))
            simulation.start_node(f"x{simulation.now:06.1f}", 0.0)
            simulation.at(simulation.now + 2.0, replace_a_node)

        simulation.at(8.0, replace_a_node if mistake is ReleasesUnconditionally else cut_off_leaders)
        simulation.run(150.0, lambda: bool(simulation.breaches))
        return simulation.breaches

    assert find_breaches_with_mistake(1) == []  # the mistake is not in place yet
    monkeypatch.setattr(elector, DELIBERATE_MISTAKES[mistake], mistake)
    assert any(find_breaches_with_mistake(seed) for seed in range(1, 13)), "no seed reveals the mistake"


def test_a_fenced_target_is_safe_even_if_the_store_ends_leases_early() -> None:
    simulation = simulate(6, 4, 3)
    simulation.store.lease_fraction, simulation.links.delayed, simulation.links.delay_max = 0.2, 0.5, 3.0
    simulation.run(60.0)
    assert simulation.breaches, "nodes still rely on leases that the store has ended"
    assert tokens_never_decrease(simulation), "the target rejects their tokens"


def test_300_candidates_do_not_overload_the_store_when_a_leader_dies() -> None:
    simulation = simulate(300, 30, 5, lease_duration=10.0)
    simulation.run(60.0, simulation.all_led)
    simulation.run(simulation.now + 30.0)
    victim = simulation.leaders()["duty-000"]
    before = simulation.leaders()
    simulation.kill_node(victim)
    killed_at = simulation.now
    simulation.run(killed_at + 40.0, simulation.all_led)
    assert simulation.all_led()
    lost_tasks = [task for task, node in before.items() if node == victim]
    request_rates = [
        simulation.requests_by_second[second] for second in range(int(killed_at) + 1, int(simulation.now))
    ]
    assert max(request_rates) <= simulation.settings.store_requests_per_second * 0.8
    assert sum(before[task] != node for task, node in simulation.leaders().items()) <= len(lost_tasks) + 2


def test_all_tasks_are_led_again_after_a_third_of_the_fleet_dies_and_after_all_of_it_does() -> None:
    simulation = simulate(60, 40, 6)
    simulation.run(60.0, simulation.all_led)
    for name in sorted(simulation.nodes)[::3]:
        simulation.kill_node(name)
    killed_at = simulation.now
    simulation.run(killed_at + 30.0, simulation.all_led)
    assert simulation.all_led()
    assert simulation.now - killed_at <= 2.5 * 5.0
    for name in sorted(simulation.nodes):
        simulation.kill_node(name)
    simulation.run(simulation.now + 10.0)
    for number in range(20):
        simulation.start_node(f"x{number}", 0.2)
    simulation.rank_candidates()
    simulation.run(simulation.now + 40.0, simulation.all_led)
    assert simulation.all_led()
    assert simulation.breaches == []
    assert tokens_never_decrease(simulation)


def test_another_node_acquires_a_task_if_all_its_candidates_are_cut_off() -> None:
    simulation = simulate(12, 1, 7)
    simulation.run(20.0, simulation.all_led)
    order = simulation.rankings["duty-000"].order
    simulation.is_cut_off = lambda node: node in order
    simulation.run(
        simulation.now + 60.0, lambda: simulation.all_led() and simulation.leaders()["duty-000"] not in order
    )
    assert simulation.leaders().get("duty-000", order[0]) not in order
