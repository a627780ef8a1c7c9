"""Random fault schedules for zones in virtual time: `python -m shelfhaven.lab.failover_faults --seeds N`.

This module defines the kinds of faults, draws a schedule from a seed, and checks invariants of the traffic
policies and of the nodes that follow them. `schedules.py` shrinks a schedule that violates one.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum
from functools import partial
from random import Random

from shelfhaven.failover.settings import FailoverSettings, GossipSettings
from shelfhaven.failover.traffic_policy import TrafficPolicy
from shelfhaven.lab.failover_node import SimulatedNode
from shelfhaven.lab.failover_simulation import FailoverSimulation, SimulationSettings
from shelfhaven.lab.schedules import run_seeds

QUICK_SETTINGS = FailoverSettings(
    step_interval=3.0, recovery_delay=5.0, max_recovery_delay=40.0, rollout_window=20.0, policy_ttl=30.0
)
SETTLING_TIME = 260.0  # seconds after the last fault, by the end of which all zones must be open again
# Zones that may be diverted beyond the limit, because loads are only estimates while traffic moves.
DIVERTED_TOLERANCE = 0.45
FIRST_FAULT_AT = 15.0  # seconds
MEAN_FAULT_INTERVAL = 15.0  # seconds
MIN_FAULT_DURATION, MAX_FAULT_DURATION = 2.0, 40.0  # seconds
DATAGRAM_LOSS = 0.2  # fraction of datagrams lost during `FaultKind.DATAGRAM_LOSS`
FAILURE_RATE = 0.8  # fraction of runs that fail in a failing zone
SLOW_SPEED = 0.5  # speed of a slow zone relative to a healthy one


class FaultKind(Enum):
    """What happens to a zone or to all zones; the values complete "zone 1 ..." in the printed schedule."""

    LOST = "crashes and restarts cold"
    ISOLATED = "is isolated from the other zones and from the store"
    CANNOT_RECEIVE = "receives no datagrams from other zones"
    CANNOT_SEND = "sends datagrams that do not arrive in other zones"
    NO_STORE = "cannot reach the store"
    FAILING = "fails most runs"
    SLOW = "runs at half speed"
    STALLED = "has half of its nodes stalled"
    FALSE_DIGESTS = "has a node that sends false load digests"
    ALL_FAILING = "and all others fail most runs"
    STORE_DOWN = "and all others lose the store"
    DATAGRAM_LOSS = "and all others lose a fifth of all datagrams"
    PARTITION = "and the zones numbered below it are partitioned from the rest and from the store"


# Faults after which the controller must not divert traffic.
FAULTS_WITHOUT_DIVERSION = (
    FaultKind.ALL_FAILING,
    FaultKind.DATAGRAM_LOSS,
    FaultKind.STORE_DOWN,
    FaultKind.FALSE_DIGESTS,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; `zone` is the index of the zone, and times are in seconds."""

    at: float
    duration: float
    kind: FaultKind
    zone: int

    def __str__(self) -> str:
        return f"{self.at:.1f} s: zone {self.zone} {self.kind.value} ({self.duration:.1f} s)"

    @property
    def zone_name(self) -> str:
        """The zone's name in the simulation."""
        return f"z{self.zone}"

    @property
    def ends_at(self) -> float:
        """The time at which the fault ends."""
        return self.at + self.duration

    def cuts_link(self, sender_zone: str, receiver_zone: str) -> bool:
        """Return whether the fault drops datagrams from one zone to another."""
        if sender_zone == receiver_zone:
            return False
        match self.kind:
            case FaultKind.ISOLATED:
                return self.zone_name in (sender_zone, receiver_zone)
            case FaultKind.PARTITION:
                return (sender_zone <= self.zone_name) != (receiver_zone <= self.zone_name)
            case FaultKind.CANNOT_RECEIVE:
                return receiver_zone == self.zone_name
            case FaultKind.CANNOT_SEND:
                return sender_zone == self.zone_name
            case _:
                return False

    def cuts_store(self, zone: str) -> bool:
        """Return whether the fault keeps a zone from reaching the store."""
        if self.kind is FaultKind.PARTITION:
            return zone <= self.zone_name
        return self.kind in (FaultKind.NO_STORE, FaultKind.ISOLATED) and zone == self.zone_name


def draw_faults(seed: int, zones: int, seconds: float) -> list[Fault]:
    """Return the schedule of a seed: faults that start within the first `seconds`."""
    random = Random(seed)
    at = FIRST_FAULT_AT
    faults = []
    while at < seconds:
        kind = random.choice(list(FaultKind))
        duration = random.uniform(MIN_FAULT_DURATION, MAX_FAULT_DURATION)
        faults.append(Fault(at, duration, kind, random.randrange(zones)))
        at += random.expovariate(1 / MEAN_FAULT_INTERVAL)
    return faults


class FaultedSimulation(FailoverSimulation):
    """A simulation with injected faults, of which several may be active at once."""

    def __init__(self, zones: int, nodes: int, seed: int) -> None:
        settings = SimulationSettings(gossip=GossipSettings(max_digest_age=8.0), controller=QUICK_SETTINGS)
        super().__init__(zones, nodes, seed, settings)
        self.active_faults: list[Fault] = []
        self.is_cut = self._is_link_cut_by_fault
        self.is_store_cut = self._is_store_cut_by_fault

    def begin(self, fault: Fault) -> None:
        """Start a fault."""
        self.active_faults.append(fault)
        zone = fault.zone_name
        match fault.kind:
            case FaultKind.LOST if self.zones[zone].lost_at is None:
                self.lose_zone(zone)
            case FaultKind.STALLED:
                for node in self.nodes_in(zone)[::2]:
                    if node.up:
                        self.stall(node, fault.duration)
            case FaultKind.FALSE_DIGESTS:
                node = self.nodes_in(zone)[0]
                self.false_digests[node.name] = replace(
                    node.gossip.own_digest, capacity=1e6, load=0.0, failure_rate=1.0, rejection_rate=1.0
                )
        self._apply_active_faults()

    def end(self, fault: Fault) -> None:
        """End a fault."""
        self.active_faults.remove(fault)
        zone = fault.zone_name
        if fault.kind is FaultKind.LOST and not self._is_lost(fault.zone):
            self.restart_zone(zone)
        elif fault.kind is FaultKind.FALSE_DIGESTS:
            self.false_digests.pop(self.nodes_in(zone)[0].name, None)
        self._apply_active_faults()

    def _is_lost(self, zone: int) -> bool:
        return any(fault.kind is FaultKind.LOST and fault.zone == zone for fault in self.active_faults)

    def _is_link_cut_by_fault(self, sender: SimulatedNode, receiver: SimulatedNode) -> bool:
        return any(fault.cuts_link(sender.zone, receiver.zone) for fault in self.active_faults)

    def _is_store_cut_by_fault(self, node: SimulatedNode) -> bool:
        return any(fault.cuts_store(node.zone) for fault in self.active_faults)

    def _apply_active_faults(self) -> None:
        kinds = {fault.kind for fault in self.active_faults}
        self.store_up = FaultKind.STORE_DOWN not in kinds
        self.loss = DATAGRAM_LOSS if FaultKind.DATAGRAM_LOSS in kinds else 0.0
        for index, zone in enumerate(self.zones.values()):
            zone_kinds = {fault.kind for fault in self.active_faults if fault.zone == index}
            fails = FaultKind.ALL_FAILING in kinds or FaultKind.FAILING in zone_kinds
            zone.failure_rate = FAILURE_RATE if fails else 0.0
            zone.speed = SLOW_SPEED if FaultKind.SLOW in zone_kinds else 1.0


def find_violations(faults: Sequence[Fault], zones: int, nodes: int, seed: int) -> list[str]:
    """Run a schedule and return a description of each violated invariant."""
    simulation = FaultedSimulation(zones, nodes, seed)
    for fault in faults:
        simulation.at(fault.at, partial(simulation.begin, fault))
        simulation.at(fault.ends_at, partial(simulation.end, fault))
    last_fault_ends = max((fault.ends_at for fault in faults), default=0.0)
    simulation.run(last_fault_ends + SETTLING_TIME)
    found = list(simulation.violations)
    for at, policy in simulation.decisions:
        found += [f"{at:.1f} s: {violation}" for violation in _policy_violations(policy, zones)]
    found += _unrecovered(simulation)
    if all(fault.kind in FAULTS_WITHOUT_DIVERSION for fault in faults):
        found += [f"{at:.1f} s: traffic moved without a fault of a zone" for at, _ in simulation.decisions]
    return found


def _policy_violations(policy: TrafficPolicy, zones: int) -> list[str]:
    found = []
    diverted = sum(zone_policy.diverted_fraction for zone_policy in policy.zones.values())
    if diverted > QUICK_SETTINGS.max_diverted * zones + DIVERTED_TOLERANCE:
        found.append(f"{diverted:.2f} of {zones} zones are diverted")
    if policy.zones and all(zone_policy.diverted_fraction >= 1 for zone_policy in policy.zones.values()):
        found.append("all zones are closed")
    return found


def _unrecovered(simulation: FailoverSimulation) -> list[str]:
    """Return a description of everything that has not recovered after the faults."""
    found = []
    diverted = {
        zone: zone_policy.diverted_fraction
        for zone, zone_policy in simulation.policy.zones.items()
        if zone_policy.diverted_fraction
    }
    if diverted:
        found.append(f"{diverted} still diverted {SETTLING_TIME:.0f} s after the last fault")
    if simulation.informed_fraction() < 1.0:
        fraction = simulation.informed_fraction()
        found.append(f"only {fraction:.2f} of the nodes follow the newest policy")
    return found


def main() -> int:
    """Simulate one schedule per seed; shrink and print those that violate an invariant."""
    parser = argparse.ArgumentParser(description="Random fault schedules for zones in virtual time.")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--nodes", type=int, default=18)
    parser.add_argument("--seconds", type=float, default=120.0)
    arguments = parser.parse_args()
    return run_seeds(
        range(arguments.first, arguments.first + arguments.seeds),
        lambda seed: draw_faults(seed, arguments.zones, arguments.seconds),
        lambda seed, faults: find_violations(faults, arguments.zones, arguments.nodes, seed),
    )


if __name__ == "__main__":
    sys.exit(main())
