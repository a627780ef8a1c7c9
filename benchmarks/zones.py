"""Measures failover between zones: `python -m benchmarks.zones [--quick]`.

Simulations in virtual time, with the real gossip, follower and controller and a fluid model of traffic, show
the value earned as a fraction of what an omniscient planner earns, next to nearest-zone routing and to an
even spread; delays, overshoot, oscillation and wrong decisions; and the messages and bytes of gossip by fleet
size. Real `serve` processes show the fraction of local runs and the cost of reserving an idempotency key
across zones. The last line of output is JSON with every figure.
"""

from __future__ import annotations

import asyncio
import itertools
import statistics
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise
from operator import attrgetter
from typing import NamedTuple

import click

from benchmarks.measuring import Figures, Table, print_figures, resident_bytes
from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.failover_faults import draw_faults, find_violations
from shelfhaven.lab.failover_fleet import World, world
from shelfhaven.lab.failover_plot import CLASS_MIX
from shelfhaven.lab.failover_simulation import FailoverSimulation, SimulationSettings

FAULT_AT = 20.0  # seconds of virtual time
END_AT = 140.0  # seconds of virtual time
SETTLING_TIME = 30.0  # seconds after a fault; oscillation counts from then on
REQUEST_PAIRS = 150  # each of one keyed request and one without a key
WARM_UP_S = 15.0  # of virtual time before gossip is measured
STALL_INTERVAL_S = 10.0
STALL_S = 4.0
DECISION_TIMEOUT_S = 60.0  # of virtual time
FOLLOW_TIMEOUT_S = 30.0  # of virtual time
INFORMED_FRACTION = 0.99  # of nodes that must follow a decision before it counts as followed
BACKEND_LIMIT = 16  # concurrent runs of one node at a backend
NORMAL_LOAD_INTERVAL_S = 0.1  # between two requests to a node
LOCAL_SAMPLE_S = 6.0
DRAWN_SCHEDULES = 40
TOPUP = 'deadline="1500ms" window="4s"'

Fault = Callable[[FailoverSimulation], None]


def _fail_runs(simulation: FailoverSimulation, zones: Sequence[str], failure_rate: float) -> None:
    for zone in zones:
        simulation.zones[zone].failure_rate = failure_rate


def _slow_down(simulation: FailoverSimulation) -> None:
    simulation.zones["z1"].speed = 0.5


def _flap_zone(simulation: FailoverSimulation) -> None:
    """Alternate between losing and restarting the zone every three seconds for a minute."""
    for turn in range(10):
        simulation.after(6.0 * turn, partial(simulation.lose_zone, "z1"))
        simulation.after(6.0 * turn + 3.0, partial(simulation.restart_zone, "z1"))


def _lose_and_restart(simulation: FailoverSimulation) -> None:
    simulation.lose_zone("z1")
    simulation.after(30.0, partial(simulation.restart_zone, "z1"))


def _partition_zone(simulation: FailoverSimulation) -> None:
    simulation.is_cut = lambda sender, receiver: (sender.zone == "z1") != (receiver.zone == "z1")


def _lose_leaders_zone(simulation: FailoverSimulation) -> None:
    assert simulation.leader
    simulation.lose_zone(simulation.leader.zone)


def _partition_regions(simulation: FailoverSimulation) -> None:
    """Cut two regions off from each other; only the east keeps the consensus store."""
    regions = simulation.regions
    simulation.is_cut = lambda sender, receiver: regions[sender.zone] != regions[receiver.zone]
    simulation.is_store_cut = lambda node: regions[node.zone] == "west"


@dataclass(frozen=True)
class Case:
    """A fault and the simulated fleet in which it occurs."""

    begin: Fault
    settings: SimulationSettings = field(default_factory=SimulationSettings)
    zones: int = 3


OTHERS_AT_70 = {"z0": 0.7, "z1": 0.6, "z2": 0.7}
WEST_EAST = {"z0": "west", "z1": "west", "z2": "east", "z3": "east"}
FAULTS: Mapping[str, Case] = {
    "none": Case(lambda _: None),
    "lost at 70%": Case(
        lambda simulation: simulation.lose_zone("z1"), SimulationSettings(demand=OTHERS_AT_70)
    ),
    "lost, back cold": Case(_lose_and_restart),
    "half speed": Case(_slow_down),
    "failing": Case(partial(_fail_runs, zones=["z1"], failure_rate=0.8)),
    "failing, half fits": Case(
        partial(_fail_runs, zones=["z1"], failure_rate=0.8),
        SimulationSettings(demand=OTHERS_AT_70, class_mix=CLASS_MIX),
    ),
    "flapping": Case(_flap_zone, SimulationSettings(utilization=0.5)),
    "cut off": Case(_partition_zone),
    "regions cut apart": Case(_partition_regions, SimulationSettings(regions=WEST_EAST), zones=4),
    "decider's zone lost": Case(_lose_leaders_zone),
    "all ill": Case(partial(_fail_runs, zones=["z0", "z1", "z2"], failure_rate=0.5)),
}


def fault_figures(name: str, nodes: int, seed: int) -> Figures:
    """Simulate one fault and return its figures."""
    case = FAULTS[name]
    simulation = FailoverSimulation(case.zones, nodes, seed, case.settings)
    simulation.run(FAULT_AT)
    case.begin(simulation)
    simulation.run(END_AT)
    decision_times = [at for at, _ in simulation.decisions]
    return {
        "kept": round(simulation.earned_fraction(FAULT_AT), 4),
        "kept_near": round(simulation.earned_fraction(FAULT_AT, attrgetter("nearest_only")), 4),
        "kept_even": round(simulation.earned_fraction(FAULT_AT, attrgetter("evenly_spread")), 4),
        "decided_after": round(decision_times[0] - FAULT_AT, 1) if decision_times else None,
        "moves": len(decision_times),
        "overshoot": round(_overshoot(simulation), 3),
        "swings_late": _count_late_swings(simulation),
        "breaches": len(simulation.violations),
    }


def _overshoot(simulation: FailoverSimulation) -> float:
    """Return the highest ratio of peak to median utilization among the zones without a fault."""
    utilizations = [sample.utilization for sample in simulation.samples if sample.at >= FAULT_AT]
    median = {zone: statistics.median(by_zone[zone] for by_zone in utilizations) for zone in simulation.zones}
    return max(
        max(by_zone[zone] for by_zone in utilizations) / median[zone]
        for zone in simulation.zones
        if zone != "z1" and median[zone] > 0.1
    )


def _count_late_swings(simulation: FailoverSimulation) -> int:
    """Count the reversals of the faulty zone's diverted fraction after the settling time."""
    settled_samples = [sample for sample in simulation.samples if sample.at >= FAULT_AT + SETTLING_TIME]
    diverted = [sample.diverted.get("z1", 0.0) for sample in settled_samples]
    changes = [after - before for before, after in pairwise(diverted) if abs(after - before) > 1e-9]
    return sum((before > 0) != (after > 0) for before, after in pairwise(changes))


def gossip_figures(nodes: int, seconds: float, loss: float = 0.0, stalled: float = 0.0) -> Figures:
    """Measure gossip while no zone is faulty: its cost, false failure detections, and then a failover.

    `loss` is the fraction of messages lost, `stalled` the fraction of nodes that stall every ten seconds.
    """
    simulation = FailoverSimulation(3, nodes, 5)
    simulation.run(WARM_UP_S)
    simulation.loss = loss
    simulation.sent.clear()
    started_at = simulation.now
    cpu_before = time.process_time()
    if stalled:
        _plan_stalls(simulation, seconds, stalled)
    simulation.run(started_at + seconds)
    cpu_seconds = time.process_time() - cpu_before
    messages_per_second = sum(simulation.sent.values()) / len(simulation.nodes) / seconds
    message_bytes = simulation.encoded_bytes / max(1, simulation.encoded_messages)
    wrong_moves = len(simulation.decisions)
    failover = _measure_failover(simulation)
    return {
        "messages_s": round(messages_per_second, 2),
        "bytes_s": round(messages_per_second * message_bytes),
        "cpu_ms_s": round(1000 * cpu_seconds / len(simulation.nodes) / seconds, 2),
        "false_gone_an_hour": round(len(simulation.falsely_failed) * 3600 / seconds, 1),
        "false_gone_part": round(simulation.false_pairs / max(1, simulation.observed_pairs), 6),
        "wrong_moves": wrong_moves,
        "decided_after": round(failover.decided_after, 1),
        "know_after": round(failover.followed_after, 2),
    }


def _plan_stalls(simulation: FailoverSimulation, seconds: float, stalled: float) -> None:
    nodes = list(simulation.nodes.values())
    for number in range(int(seconds / STALL_INTERVAL_S)):
        at = simulation.now + STALL_INTERVAL_S * number
        for node in nodes[number % 10 :: int(1 / stalled)]:
            simulation.at(at, partial(simulation.stall, node, STALL_S))


class Failover(NamedTuple):
    """Seconds from a fault to the decision, and from the decision until the nodes follow it."""

    decided_after: float
    followed_after: float


def _measure_failover(simulation: FailoverSimulation) -> Failover:
    lost_at = simulation.now
    decisions = len(simulation.decisions)
    simulation.lose_zone("z1")
    simulation.run(lost_at + DECISION_TIMEOUT_S, lambda: len(simulation.decisions) > decisions)
    decided_at = simulation.now
    simulation.run(decided_at + FOLLOW_TIMEOUT_S, lambda: simulation.informed_fraction() >= INFORMED_FRACTION)
    return Failover(decided_at - lost_at, simulation.now - decided_at)


# Processes


async def _local_run_figures(utilization: float) -> Figures:
    """Measure local runs without a fault; `utilization` is the load relative to the backends' capacity."""
    async with world(pool="limit first=16 least=16 most=16", at_once=32) as zones:
        for backend in zones.backends.values():
            backend.worker_slots = asyncio.Semaphore(64)
            backend.slowdown = 10.0  # 16 concurrent runs of 100 ms for each node
        await zones.start()
        zones.start_load(0.1 / (utilization * BACKEND_LIMIT))
        await asyncio.sleep(LOCAL_SAMPLE_S)
        at = time.time()
        counts_before = [zones.run_counts(node) for node in zones.nodes]
        await asyncio.sleep(LOCAL_SAMPLE_S)
        remote = [
            zones.run_counts(node).since(before).remote_fraction
            for node, before in zip(zones.nodes, counts_before, strict=True)
        ]
        return {"near_share": round(1 - statistics.mean(remote), 4), "good": round(zones.success_rate(at), 4)}


async def _process_figures() -> Figures:
    """Measure six nodes in three zones without a fault: local runs and the cost of reserving a key."""
    return {**await _reservation_figures(keys=False), **await _reservation_figures(keys=True)}


async def _reservation_figures(keys: bool) -> Figures:
    name = "claimed" if keys else "alone"
    async with world(keys=keys, topup=TOPUP) as zones:
        await zones.start()
        if keys:
            await zones.replicas_vote()
        zones.start_load(NORMAL_LOAD_INTERVAL_S)
        at = time.time()
        durations = await _request_durations(zones)
        extra_time = statistics.median(durations.keyed) - statistics.median(durations.plain)
        figures: Figures = {
            f"keyed_over_plain_ms_{name}": round(1000 * extra_time, 2),
            f"keyed_served_{name}": round(len(durations.keyed) / REQUEST_PAIRS, 3),
        }
        if not keys:
            figures["near_share"] = round(_local_fraction(zones), 4)
        figures[f"good_{name}"] = round(zones.success_rate(at), 4)
        figures[f"resident_mb_{name}"] = round(_median_resident_bytes(zones) / 1e6, 1)
        figures["keyed_twice"] = len(zones.ran) - len({(run.key or run.attempt_id) for run in zones.ran})
        return figures


class RequestDurations(NamedTuple):
    """Durations in seconds of served requests with idempotency keys, and of all requests without."""

    keyed: list[float]
    plain: list[float]


async def _request_durations(zones: World) -> RequestDurations:
    durations = RequestDurations([], [])
    nodes = itertools.cycle(zones.nodes)
    # The two kinds alternate, so that other load on the machine affects both equally.
    for number in range(REQUEST_PAIRS):
        node = next(nodes)
        started_at = time.monotonic()
        reply = await zones.topped_up(node, f"k{number}")
        assert reply
        if reply.status == 200:
            durations.keyed.append(time.monotonic() - started_at)
        started_at = time.monotonic()
        await node.ask("GET", "/balance/1")
        durations.plain.append(time.monotonic() - started_at)
    return durations


def _local_fraction(zones: World) -> float:
    """Return the fraction of runs that started in the zone of their node."""
    local = total = 0
    for node in zones.nodes:
        for line in node.events("load")[-1:]:
            runs_by_zone = line["pools"]["p"]["by_zone"]
            local += runs_by_zone.get(node.zone, 0)
            total += sum(runs_by_zone.values())
    return local / max(1, total)


def _median_resident_bytes(zones: World) -> float:
    return statistics.median(resident_bytes(node.process.pid) for node in zones.nodes if node.process)


async def _failover_figures() -> Figures:
    """Kill a zone under load; measure the time until all nodes divert its traffic, and the success rate."""
    async with world() as zones:
        await zones.start()
        zones.start_load(0.02)
        await asyncio.sleep(1.0)
        at = time.time()
        for node in zones.nodes_in("z1"):
            await zones.fleet.kill(node)
        zones.backends["z1"].stop()
        await soon(lambda: all(zones.diverted(node).get("z1") == 1.0 for node in zones.fleet.running()))
        closed_after = time.time() - at
        served = [zones.success_rate(at, zone=zone) for zone in ("z0", "z2")]
        return {"closed_everywhere_s": round(closed_after, 2), "served_elsewhere": round(min(served), 4)}


QUICK_FAULTS = ("none", "lost at 70%", "failing", "failing, half fits", "all ill")
QUICK_SIZES = (10, 40)
SIZES = (10, 100, 1000, 5000)
NAME_WIDTH = 28  # columns for the row names of the printed table
LARGE_FLEET = 500  # nodes above which gossip is simulated for a shorter time


def _schedule_figures() -> Figures:
    """Count the random fault schedules that violate an invariant."""
    failed = [
        seed for seed in range(DRAWN_SCHEDULES) if find_violations(draw_faults(seed, 3, 120.0), 3, 18, seed)
    ]
    return {"schedules": DRAWN_SCHEDULES, "failed": len(failed)}


def _measure_quick(table: Table) -> None:
    for name in QUICK_FAULTS:
        table.add(name, fault_figures(name, 18, 1))
    for nodes in QUICK_SIZES:
        table.add(f"gossip of {nodes}", gossip_figures(nodes, 10.0))
    table.add("processes", asyncio.run(_process_figures()))


def _measure_all(table: Table) -> None:
    for name in FAULTS:
        table.add(name, fault_figures(name, 60, 1))
    for nodes in SIZES:
        table.add(f"gossip of {nodes}", gossip_figures(nodes, 10.0 if nodes > LARGE_FLEET else 60.0))
    table.add("gossip, 20% lost", gossip_figures(100, 120.0, loss=0.2))
    table.add("gossip, a tenth still", gossip_figures(100, 120.0, stalled=0.1))
    table.add("drawn faults", _schedule_figures())
    table.add("processes", asyncio.run(_process_figures()))
    table.add("at 90% even load", asyncio.run(_local_run_figures(0.9)))
    table.add("a zone killed", asyncio.run(_failover_figures()))


@click.command()
@click.option("--quick", is_flag=True, help="Few faults and small fleets: under 40 s.")
def main(quick: bool) -> None:
    """Run the benchmark: print each row when it is known, then all figures as JSON."""
    table = Table(NAME_WIDTH)
    if quick:
        _measure_quick(table)
    else:
        _measure_all(table)
    print_figures(table.rows)


if __name__ == "__main__":
    main()
