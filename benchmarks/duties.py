"""Measures leader election of singleton tasks: `python -m benchmarks.duties [--quick]`.

Real `serve` processes on loopback, with an etcd stub or with their own consensus store, show how long a
singleton task has no leader, whether two nodes ever believe that they lead, and the memory of a process.
The real `Elector` in virtual time shows the request rate at the store by fleet size, the changes of leaders
after the loss of a node, and the invariants under random faults. The last line of output is JSON with every
figure.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import click

from benchmarks.measuring import Figures, announce, print_figures, resident_bytes
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.lab import election_checker
from shelfhaven.lab.election_faults import QUICK_SETTINGS, draw_schedule, find_breaches
from shelfhaven.lab.election_fleet import LEASE_DURATION, ElectionFleet, election_fleet, soon
from shelfhaven.lab.election_simulation import ElectionSimulation
from shelfhaven.lab.etcd_stub import Mode
from shelfhaven.lab.fleet import FleetNode

NODES = 5
TASK = "settle"
SETTLING_TIME = 60.0  # seconds of virtual time after the election of all leaders
COUNTING_TIME = 60.0  # seconds of virtual time
LEADER_TIMEOUT = 30.0  # seconds
TIME_BEFORE_FAULT = 1.0  # seconds between two faults, in which a leader leads undisturbed
RECOVERY_MARGIN = 0.5  # seconds added to twice the lease before a faulted node is started again
ANSWER_TIMEOUT = 0.5  # seconds; later answers do not count as served in time

Fault = Callable[[ElectionFleet, FleetNode], Awaitable[None]]


# Processes


async def _wait_until_up(node: FleetNode) -> None:
    await soon(lambda: node.events("phase"))


async def _wait_until_all_ready(elections: ElectionFleet) -> None:
    await soon(lambda: all(node.ready_after() for node in elections.nodes))


async def shut_down_leader(elections: ElectionFleet, leader: FleetNode) -> None:
    """Shut the leader down gracefully."""
    await elections.fleet.drain(leader)


async def kill_leader(elections: ElectionFleet, leader: FleetNode) -> None:
    """Kill the leader."""
    await elections.fleet.kill(leader)


async def suspend_leader(elections: ElectionFleet, leader: FleetNode) -> None:
    """Suspend the leader's process for twice its lease."""
    elections.fleet.suspend(leader)
    asyncio.get_running_loop().call_later(2 * LEASE_DURATION, elections.fleet.resume, leader)


async def partition_leader(elections: ElectionFleet, leader: FleetNode) -> None:
    """Cut the leader off from the store and from all other nodes for twice its lease."""
    net = elections.fleet.net
    others = ["store", *(node.name for node in elections.nodes if node is not leader)]
    net.cut([leader.name], others)
    asyncio.get_running_loop().call_later(2 * LEASE_DURATION, net.cut, [leader.name], others, None)


FAULTS: dict[str, Fault] = {
    "orderly": shut_down_leader,
    "crash": kill_leader,
    "stall": suspend_leader,
    "cut": partition_leader,
}


async def leaderless_figures(engine: str, name: str, rounds: int) -> Figures:
    """Measure leaderless times, as multiples of the lease, from when each node believed that it led."""
    gaps: list[float] = []
    async with election_fleet(engine, NODES, check_history=False) as elections:
        await elections.fleet.start_all()
        leader = await elections.wait_for_leader(timeout=LEADER_TIMEOUT)
        for _ in range(rounds):
            await asyncio.sleep(TIME_BEFORE_FAULT)
            change = await _change_leader(elections, leader, FAULTS[name])
            gaps.append(change.gap)
            leader = change.leader
        actions = elections.actions()
        breaches = election_checker.find_breaches(elections.fleet.whole_history(), actions, 0.0)
        return {
            "gap_median": round(statistics.median(gaps) / LEASE_DURATION, 2),
            "gap_worst": round(max(gaps) / LEASE_DURATION, 2),
            "late_actions_fenced": election_checker.count_rejected(actions),
            "breaches": breaches[:3],
            "overlaps": len(election_checker.find_overlaps(elections.leaderships(), 0.0)),
        }


class LeaderChange(NamedTuple):
    """The leader after a fault, and the seconds without a leader."""

    leader: FleetNode
    gap: float


async def _change_leader(elections: ElectionFleet, leader: FleetNode, fault: Fault) -> LeaderChange:
    """Cause a fault of the leader, and start it again, if it ended, once another node leads."""
    earlier_gaps = len(_leaderless_gaps(elections))
    faulted_at = time.time()
    await fault(elections, leader)
    successor = await elections.wait_for_leader(other_than=leader, timeout=LEADER_TIMEOUT)
    gap = max(_leaderless_gaps(elections)[earlier_gaps:], default=0.0)
    await asyncio.sleep(max(0.0, 2 * LEASE_DURATION + RECOVERY_MARGIN - (time.time() - faulted_at)))
    if not leader.running:
        await elections.fleet.start(leader)
        await _wait_until_up(leader)
    return LeaderChange(successor, gap)


def _leaderless_gaps(elections: ElectionFleet) -> list[float]:
    return election_checker.leaderless_gaps(elections.leaderships(), TASK)


async def memory_by_engine() -> Figures:
    """Measure resident MB of a node: without singleton tasks ("none"), and with them on each engine."""
    figures: Figures = {}
    for engine in ("none", "etcd", "nodes"):
        async with election_fleet(
            "etcd" if engine == "none" else engine, 3, check_history=False
        ) as elections:
            if engine == "none":
                elections.fleet.values["singleton_tasks"] = ""
            await elections.fleet.start_all()
            await _wait_until_all_ready(elections)
            if engine != "none":
                await elections.wait_for_leader(timeout=LEADER_TIMEOUT)
            await asyncio.sleep(1.0)
            sizes = [resident_bytes(node.process.pid) for node in elections.nodes if node.process]
            figures[engine] = round(statistics.median(sizes) / 1e6, 1)
    return figures


async def served_without_store(seconds: float) -> float:
    """Return the fraction served in time while the store hangs, relative to that while it answers."""
    async with election_fleet("etcd", 3, check_history=False) as elections:
        await elections.fleet.start_all()
        await elections.wait_for_leader()
        assert elections.store
        with_store = await _served_fraction(elections, seconds)
        elections.store.mode = Mode.HANG
        without_store = await _served_fraction(elections, seconds)
        elections.store.mode = Mode.SERVE
        return round(without_store / with_store, 3)


async def _served_fraction(elections: ElectionFleet, seconds: float) -> float:
    """Send requests for a time; return the fraction that was served in time."""
    served = sent = 0
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for node in elections.nodes:
            sent_at = time.monotonic()
            reply = await node.ask("GET", "/balance/1")
            served += reply.status == 200 and time.monotonic() - sent_at < ANSWER_TIMEOUT
            sent += 1
        await asyncio.sleep(0.02)
    return served / sent


# Virtual time


class FleetSize(NamedTuple):
    """Numbers of nodes and of singleton tasks of a simulated fleet."""

    nodes: int
    tasks: int


QUICK_SIZES = (FleetSize(10, 20), FleetSize(100, 100))
SIZES = (*QUICK_SIZES, FleetSize(300, 200), FleetSize(1000, 200))


def store_requests_by_size(sizes: Sequence[FleetSize]) -> Figures:
    """Measure the request rate at the store, in steady state and in the busiest second of a start."""
    figures: Figures = {}
    for size in sizes:
        simulation = ElectionSimulation(size.nodes, size.tasks, ElectorSettings(), 1, clock_drift=0.05)
        all_led_at = simulation.run(600.0, simulation.all_led)
        steady_from = all_led_at + SETTLING_TIME
        simulation.run(steady_from)
        simulation.run(steady_from + COUNTING_TIME)
        rate = simulation.requests_per_second(int(steady_from), int(steady_from + COUNTING_TIME))
        figures[str(size.nodes)] = {
            "duties": size.tasks,
            "all_held_s": round(all_led_at, 1),
            "ops_per_s": round(rate, 1),
            "busiest_second": max(simulation.requests_by_second.values()),
        }
    return figures


def node_loss_figures(size: FleetSize) -> Figures:
    """Count the tasks that change their leader when a node dies, and those that the node led."""
    settings = ElectorSettings(hand_over_after=5.0, hand_over_cooldown=10.0)
    simulation = ElectionSimulation(size.nodes, size.tasks, settings, 2)
    simulation.run(120.0)
    before = simulation.leaders()
    names = sorted(before.values())
    victim = max(names, key=names.count)
    simulation.kill_node(victim)
    simulation.run(simulation.now + 60.0)
    after = simulation.leaders()
    led_by_victim = [task for task, node in before.items() if node == victim]
    moved = [task for task in before if before[task] != after.get(task)]
    leaderless = len(simulation.tasks) - len(after)
    return {"moved": len(moved), "own_share": len(led_by_victim), "without": leaderless}


def random_fault_figures(count: int) -> Figures:
    """Count the random fault schedules that break an invariant."""
    failed = sum(
        bool(find_breaches(draw_schedule(seed, 8, 100.0), 8, 6, seed, QUICK_SETTINGS))
        for seed in range(count)
    )
    return {"schedules": count, "failed": failed}


async def measure(quick: bool) -> Figures:
    """Make all measurements, with progress on standard error."""
    figures: Figures = {"lease_s": LEASE_DURATION}
    announce("store requests by fleet size, in virtual time")
    figures["store"] = store_requests_by_size(QUICK_SIZES if quick else SIZES)
    figures["moves_on_loss"] = node_loss_figures(FleetSize(50, 100) if quick else FleetSize(100, 200))
    announce("random faults, in virtual time")
    figures["drawn"] = random_fault_figures(5 if quick else 100)
    engines = ("etcd",) if quick else ("etcd", "nodes")
    faults = ("orderly", "crash") if quick else tuple(FAULTS)
    for engine in engines:
        for name in faults:
            if (engine, name) == ("nodes", "cut"):
                continue  # nodes of this engine reach each other without the links that the fault cuts
            announce(f"{engine}: {name}")
            figures[f"{engine}_{name}"] = await leaderless_figures(engine, name, 1 if quick else 5)
    if not quick:
        announce("memory")
        figures["memory_mb"] = await memory_by_engine()
        announce("service without the store")
        figures["served_without_store"] = await served_without_store(10.0)
    return figures


@click.command()
@click.option("--quick", is_flag=True)
def main(quick: bool) -> None:
    """Run the benchmark and print its figures as one line of JSON."""
    print_figures(asyncio.run(measure(quick)))


if __name__ == "__main__":
    main()
