"""Spare capacity: what other zones can take of a zone's load, where it goes, and how much may be diverted."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from shelfhaven.failover.fault_evidence import FaultEvidence
from shelfhaven.failover.fleet_snapshot import FleetSnapshot
from shelfhaven.failover.settings import FailoverSettings


@dataclass(frozen=True, slots=True)
class SpareCapacity:
    """The capacity at one moment. `regions` tells each zone's region."""

    settings: FailoverSettings
    regions: Mapping[str, str]
    evidence: FaultEvidence
    snapshot: FleetSnapshot

    def usual_load(self, zone: str) -> float:
        """The load that a zone's callers ask for, diverted or not."""
        summaries = self.snapshot.summaries
        policy = self.snapshot.policy.zone_policy(zone)
        if policy.diverted_fraction > 0 and policy.load > 0:
            return policy.load
        if load := self.evidence.zones[zone].usual_load or summaries[zone].load:
            return load
        # a new controller has not seen an unreachable zone well, and takes it to be like the others
        others = [other for other in summaries if other != zone]
        loads = {other: self.evidence.zones[other].usual_load for other in others}
        nodes = sum(summaries[other].listed_nodes for other in others if loads[other] > 0)
        return sum(loads.values()) / nodes * summaries[zone].listed_nodes if nodes else 0.0

    def load_before_diversion(self, zone: str) -> float | None:
        """The load of a zone that still serves a part of it; None where all is diverted."""
        diverted = self.snapshot.policy.zone_policy(zone).diverted_fraction
        return self.snapshot.summaries[zone].load / (1 - diverted) if diverted < 1 else None

    def excess_fraction(self, zone: str, load: float) -> float:
        """The fraction of a load that a zone has no capacity for."""
        usable = self.snapshot.summaries[zone].capacity * (1 - self.settings.capacity_reserve)
        return max(0.0, 1 - usable / load) if load > 0 else 0.0

    def elsewhere(self, zone: str) -> dict[str, float]:
        """By zone, the runs of this zone that it can take, those that it has already taken included.

        Zones that are diverted, unreachable or failing themselves take none.
        """
        policy = self.snapshot.policy.zone_policy(zone)
        found = {}
        for other, summary in self.snapshot.summaries.items():
            is_open = self.snapshot.policy.zone_policy(other).diverted_fraction <= 0
            if (
                other == zone
                or self.evidence.is_unreachable_or_failing(other)
                or not is_open
                or not summary.known_nodes
            ):
                continue
            taken = policy.diverted_fraction * policy.load * policy.destinations.get(other, 0.0)
            usable = summary.capacity * summary.warm_fraction * (1 - self.settings.capacity_reserve)
            found[other] = max(0.0, usable - summary.load + taken)
        return found

    def destinations(self, zone: str, capacity: Mapping[str, float]) -> dict[str, float]:
        """Where a zone's traffic goes: by capacity, within the zone's own region where that has any."""
        region = self.regions.get(zone, "")
        nearby = {other: runs for other, runs in capacity.items() if self.regions.get(other, "") == region}
        for candidates in (nearby, dict(capacity)):
            total = sum(candidates.values())
            if total > 0:
                return {other: runs / total for other, runs in candidates.items() if runs > 0}
        known = [other for other in capacity if self.snapshot.summaries[other].known_nodes]
        return {other: 1 / len(known) for other in known}

    def max_diverted_fraction(self, zone: str, load: float) -> float:
        """The fraction of a zone's load that may be diverted.

        The whole fleet diverts no more than the stated fraction of its load, and one zone stays open.
        """
        summaries = self.snapshot.summaries
        policy = self.snapshot.policy
        diverted = {other: policy.zone_policy(other).diverted_fraction for other in summaries}
        if not any(
            summaries[other].known_nodes for other in summaries if other != zone and diverted[other] < 1
        ):
            return diverted[zone]
        loads = {other: self.usual_load(other) for other in summaries}
        loads[zone] = load
        if load <= 0 or sum(loads.values()) <= 0:  # without load all zones count alike
            loads = dict.fromkeys(summaries, 1.0)
        diverted_elsewhere = sum(diverted[other] * loads[other] for other in summaries if other != zone)
        allowed = self.settings.max_diverted * sum(loads.values()) - diverted_elsewhere
        return max(0.0, min(1.0, allowed / loads[zone]))
