"""Print a digest of each kind of simulation for one seed: `python -m tests.lab.simulation_digests`.

A digest covers the state of the random number generator, which every random delay and loss advances, and the
results of the simulation. `test_simulation_determinism.py` runs this module with different hash seeds.
"""

from __future__ import annotations

import hashlib
from functools import partial

from shelfhaven.lab.election_faults import QUICK_SETTINGS, draw_schedule, plan_faults
from shelfhaven.lab.election_simulation import ElectionSimulation
from shelfhaven.lab.failover_faults import FaultedSimulation, draw_faults
from shelfhaven.lab.membership_simulation import MembershipSimulation
from shelfhaven.lab.simulated_list_service import SimulatedListService
from tests.membership.fixtures import MAX_REQUESTS_PER_S, settings

SEED = 7
MEMBERS = 30
RESTARTED_MEMBERS = 5
CANDIDATES = 8
TASKS = 6
ZONES = 3
NODES = 12
FAULT_SECONDS = 60.0


def digest(*results: object) -> str:
    """Return a digest of values whose `repr` is complete."""
    return hashlib.sha256(repr(results).encode()).hexdigest()[:16]


def membership() -> str:
    """Return the digest of a fleet whose list service fails for a while and some of whose members restart."""
    service = SimulatedListService(rate=MAX_REQUESTS_PER_S)
    simulation = MembershipSimulation(MEMBERS, settings(MEMBERS), SEED, service)
    simulation.run(60.0)
    service.up = False
    simulation.run(90.0)
    service.up = True
    for address in list(simulation.members)[:RESTARTED_MEMBERS]:
        simulation.start_node(address)
    simulation.run(180.0)
    polls = sorted(simulation.peer_polls.items())
    requests = sorted(service.requests_by_kind.items())
    return digest(simulation.random.getstate(), polls, requests, simulation.known_at)


def election() -> str:
    """Return the digest of a leader election with random faults."""
    simulation = ElectionSimulation(CANDIDATES, TASKS, QUICK_SETTINGS, SEED, QUICK_SETTINGS.clock_drift)
    plan_faults(simulation, draw_schedule(SEED, CANDIDATES, FAULT_SECONDS))
    simulation.run(2 * FAULT_SECONDS)
    return digest(simulation.random.getstate(), simulation.effects, sorted(simulation.leaders().items()))


def failover() -> str:
    """Return the digest of a failover between zones with random faults."""
    simulation = FaultedSimulation(ZONES, NODES, SEED)
    for fault in draw_faults(SEED, ZONES, FAULT_SECONDS):
        simulation.at(fault.at, partial(simulation.begin, fault))
        simulation.at(fault.ends_at, partial(simulation.end, fault))
    simulation.run(2 * FAULT_SECONDS)
    served = [sample.served for sample in simulation.samples]
    return digest(simulation.random.getstate(), served, simulation.decisions, sorted(simulation.sent.items()))


if __name__ == "__main__":
    for simulate in (membership, election, failover):
        print(simulate.__name__, simulate())
