"""Spare capacity: how much of a zone's load other zones can take, and how much of it may be diverted."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from shelfhaven.failover.fault_evidence import FaultEvidence
from shelfhaven.failover.fleet_snapshot import FleetSnapshot
from shelfhaven.failover.settings import FailoverSettings


@dataclass(frozen=True, slots=True)
class SpareCapacity:
    """The spare capacity in one snapshot of the fleet. `regions` maps each zone to its region."""

    settings: FailoverSettings
    regions: Mapping[str, str]
    evidence: FaultEvidence
    snapshot: FleetSnapshot

    def usual_load(self, zone: str) -> float:
        """Return the load that a zone's callers generate, including what is diverted."""
        summaries = self.snapshot.summaries
        policy = self.snapshot.policy.zone_policy(zone)
        if policy.diverted_fraction > 0 and policy.load > 0:
            return policy.load
        if load := self.evidence.zones[zone].usual_load or summaries[zone].load:
            return load
        # a new controller never saw this unreachable zone healthy: assume the other zones' mean load per node
        others = [other for other in summaries if other != zone]
        loads = {other: self.evidence.zones[other].usual_load for other in others}
        nodes = sum(summaries[other].listed_nodes for other in others if loads[other] > 0)
        return sum(loads.values()) / nodes * summaries[zone].listed_nodes if nodes else 0.0

    def load_before_diversion(self, zone: str) -> float | None:
        """Return the load that a zone would have without diversion; None if all of it is diverted."""
        diverted = self.snapshot.policy.zone_policy(zone).diverted_fraction
        return self.snapshot.summaries[zone].load / (1 - diverted) if diverted < 1 else None

    def excess_fraction(self, zone: str, load: float) -> float:
        """Return the fraction of a load that exceeds a zone's capacity less the reserve."""
        usable = self.snapshot.summaries[zone].capacity * (1 - self.settings.capacity_reserve)
        return max(0.0, 1 - usable / load) if load > 0 else 0.0

    def spare_by_destination(self, zone: str) -> dict[str, float]:
        """Return, by destination, how many concurrent runs of a zone it can take.

        Runs that are already diverted there count as available. Zones that are themselves diverted,
        unreachable or failing are left out.
        """
        policy = self.snapshot.policy.zone_policy(zone)
        spare = {}
        for other, summary in self.snapshot.summaries.items():
            is_open = self.snapshot.policy.zone_policy(other).diverted_fraction <= 0
            if (
                other == zone
                or self.evidence.is_unreachable_or_failing(other)
                or not is_open
                or not summary.known_nodes
            ):
                continue
            already_diverted = policy.diverted_fraction * policy.load * policy.destinations.get(other, 0.0)
            usable = summary.capacity * summary.warm_fraction * (1 - self.settings.capacity_reserve)
            spare[other] = max(0.0, usable - summary.load + already_diverted)
        return spare

    def destinations(self, zone: str, spare: Mapping[str, float]) -> dict[str, float]:
        """Return the fractions of a zone's traffic by destination, in proportion to spare capacity.

        Destinations in the zone's own region are preferred if they have any spare capacity.
        """
        region = self.regions.get(zone, "")
        nearby = {other: runs for other, runs in spare.items() if self.regions.get(other, "") == region}
        for candidates in (nearby, dict(spare)):
            total_spare = sum(candidates.values())
            if total_spare > 0:
                return {other: runs / total_spare for other, runs in candidates.items() if runs > 0}
        known = [other for other in spare if self.snapshot.summaries[other].known_nodes]
        return {other: 1 / len(known) for other in known}

    def max_diverted_fraction(self, zone: str, load: float) -> float:
        """Return the largest fraction of a zone's load that may be diverted.

        The fleet as a whole diverts at most `max_diverted` of its load, and at least one zone stays open.
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
        if load <= 0 or sum(loads.values()) <= 0:  # without load, weight all zones equally
            loads = dict.fromkeys(summaries, 1.0)
        diverted_elsewhere = sum(diverted[other] * loads[other] for other in summaries if other != zone)
        allowed = self.settings.max_diverted * sum(loads.values()) - diverted_elsewhere
        return max(0.0, min(1.0, allowed / loads[zone]))
