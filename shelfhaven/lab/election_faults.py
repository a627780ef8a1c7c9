"""Random fault schedules for leader election, generated from a seed and run in virtual time.

This module also checks the invariants in virtual time. `election_scenario.py` runs the same schedules on real
processes, where `election_checker.py` checks the invariants.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from functools import partial
from random import Random

from shelfhaven.election.settings import ElectorSettings
from shelfhaven.lab.election_simulation import ElectionSimulation
from shelfhaven.lab.schedules import run_seeds

QUICK_SETTINGS = ElectorSettings(
    lease_duration=5.0, safety_margin=0.5, candidate_delay=0.3, hand_over_after=4.0, hand_over_cooldown=8.0
)
FIRST_FAULT_AT = 5.0  # seconds after the start
FAULT_DURATION = (0.5, 12.0)  # seconds, minimum and maximum
FAULT_INTERVAL = (1.0, 6.0)  # seconds between the beginnings of two faults, minimum and maximum
RECOVERY_TIME = 90.0  # seconds after the last fault within which every task has a leader again
ACTION_TIME = 5.0  # seconds after that within which every leader acts
RESTART_DELAY_MIN = 3.5  # seconds until a node that ended is started again
RANKING_DELAY = 0.1  # seconds until a restarted node receives the rankings
SURVIVORS_MIN = 2  # nodes that keep running
MAX_LOSS = 0.3  # fraction of messages lost at severity 1
MAX_DELAYED = 0.5  # fraction of messages delayed at severity 1
MAX_DELAY = 8.0  # seconds by which a message is delayed at most


class FaultKind(Enum):
    """The kind of a fault; the values are what a printed schedule says."""

    SUSPEND = "suspended"
    KILL = "killed and restarted"
    DRAIN = "drained and restarted"
    CUT = "cut off from the store"
    STORE_DOWN = "store answers no request"
    LOSS = "messages lost"
    DELAY = "messages delayed"
    STORE_REPLACED = "store replaced by an empty one"


DEFAULT_KINDS = tuple(kind for kind in FaultKind if kind is not FaultKind.STORE_REPLACED)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its beginning, kind, affected nodes (by index), duration, and severity from 0 to 1."""

    at: float
    kind: FaultKind
    nodes: tuple[int, ...]
    seconds: float
    severity: float

    def __str__(self) -> str:
        what = f"nodes {list(self.nodes)}: {self.kind.value}"
        return f"{self.at:.1f} s: {what}, duration {self.seconds:.1f} s, severity {self.severity:.2f}"


def draw_schedule(
    seed: int, nodes: int, until: float, kinds: Sequence[FaultKind] = DEFAULT_KINDS
) -> list[Fault]:
    """Generate a random schedule; the same seed gives the same schedule."""
    random = Random(seed)
    faults: list[Fault] = []
    at = FIRST_FAULT_AT
    while at < until:
        count = random.choice((1, 1, 2, max(1, nodes // 3)))
        kind = random.choice(kinds)
        affected = tuple(random.sample(range(nodes), count))
        seconds = random.uniform(*FAULT_DURATION)
        faults.append(Fault(at, kind, affected, seconds, random.random()))
        at += random.uniform(*FAULT_INTERVAL)
    return faults


def plan_faults(simulation: ElectionSimulation, faults: Sequence[Fault]) -> None:
    """Schedule the faults on the virtual clock of a simulation."""
    names = sorted(simulation.nodes)
    for fault in faults:
        affected = [names[number] for number in fault.nodes]
        simulation.at(fault.at, partial(_begin_fault, simulation, fault, affected))


def _begin_fault(simulation: ElectionSimulation, fault: Fault, names: list[str]) -> None:
    links = simulation.links
    end = simulation.now + fault.seconds
    match fault.kind:
        case FaultKind.SUSPEND | FaultKind.KILL | FaultKind.DRAIN:
            live = [name for name in names if name in simulation.nodes]
            _begin_node_fault(simulation, fault, live)
        case FaultKind.CUT:
            simulation.is_cut_off = frozenset(names).__contains__
            simulation.at(end, partial(setattr, simulation, "is_cut_off", lambda _: False))
        case FaultKind.STORE_DOWN:
            links.store_down = True
            simulation.at(end, partial(setattr, links, "store_down", False))
        case FaultKind.LOSS:
            links.loss = MAX_LOSS * fault.severity
            simulation.at(end, partial(setattr, links, "loss", 0.0))
        case FaultKind.STORE_REPLACED:
            simulation.replace_store()
        case FaultKind.DELAY:
            links.delayed = MAX_DELAYED * fault.severity
            links.delay_max = MAX_DELAY
            simulation.at(end, partial(setattr, links, "delayed", 0.0))


def _begin_node_fault(simulation: ElectionSimulation, fault: Fault, names: list[str]) -> None:
    if fault.kind is FaultKind.SUSPEND:
        for name in names:
            simulation.suspend_node(name, fault.seconds)
        return
    for name in names[: max(0, len(simulation.nodes) - SURVIVORS_MIN)]:
        if fault.kind is FaultKind.KILL:
            simulation.kill_node(name)
        else:
            simulation.drain_node(name)
        restart_at = simulation.now + max(RESTART_DELAY_MIN, fault.seconds)
        simulation.at(restart_at, partial(_restart, simulation, name))


def _restart(simulation: ElectionSimulation, name: str) -> None:
    if name not in simulation.nodes:
        simulation.start_node(name, RANKING_DELAY)
        simulation.rank_candidates()


def find_breaches(
    faults: Sequence[Fault], nodes: int, tasks: int, seed: int, settings: ElectorSettings
) -> list[str]:
    """Run a schedule in virtual time and describe the breaches of invariants.

    A breach is a moment at which two nodes may act on the same task, an action executed out of the order of
    the fencing tokens, or a task without an active leader at the end.
    """
    simulation = ElectionSimulation(nodes, tasks, settings, seed, settings.clock_drift)
    plan_faults(simulation, faults)
    last_fault_ends_at = max((fault.at + fault.seconds for fault in faults), default=0.0)
    simulation.run(last_fault_ends_at)
    simulation.run(last_fault_ends_at + RECOVERY_TIME, simulation.all_led)
    # After the store has lost its data, two nodes may both act for a time. Fencing still guarantees the order
    # of the tokens, and that each token belongs to a single node.
    store_replaced = any(fault.kind is FaultKind.STORE_REPLACED for fault in faults)
    found = [] if store_replaced else list(simulation.breaches)
    found += _fencing_breaches(simulation)
    return found + _tasks_without_leader(simulation)


def _fencing_breaches(simulation: ElectionSimulation) -> list[str]:
    found: list[str] = []
    highest: dict[str, int] = {}
    owners: dict[tuple[str, int], str] = {}
    for at, task, token, node in simulation.effects:
        if (other := owners.setdefault((task, token), node)) != node:
            found.append(f"{at:.3f} {task}: {node} acted with token {token}, and so did {other}")
        if token < highest.get(task, 0):
            found.append(f"{at:.3f} {task}: {node} acted with token {token} after token {highest[task]}")
        highest[task] = token
    return found


def _tasks_without_leader(simulation: ElectionSimulation) -> list[str]:
    without_leader = set(simulation.tasks) - set(simulation.leaders())
    recovered_at = simulation.now
    simulation.run(recovered_at + ACTION_TIME)
    idle = set(simulation.tasks) - {effect.task for effect in simulation.effects if effect.at > recovered_at}
    found = []
    if idle:
        found.append(f"{len(idle)} tasks without an action within {ACTION_TIME:.0f} s after the recovery")
    if without_leader:
        when = f"{RECOVERY_TIME:.0f} s after the last fault"
        found.append(f"{len(without_leader)} tasks without a leader {when}")
    return found


def main() -> int:
    """Run many random schedules in virtual time; print each failing one after shrinking it."""
    parser = argparse.ArgumentParser(description="Run leader election under random faults in virtual time.")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument("--duties", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=150.0)
    parser.add_argument("--forgets", action="store_true", help="also replace the store by an empty one")
    options = parser.parse_args()
    kinds = tuple(FaultKind) if options.forgets else DEFAULT_KINDS
    return run_seeds(
        range(options.first, options.first + options.seeds),
        lambda seed: draw_schedule(seed, options.nodes, options.seconds, kinds),
        lambda seed, faults: find_breaches(faults, options.nodes, options.duties, seed, QUICK_SETTINGS),
    )


if __name__ == "__main__":
    sys.exit(main())
