"""Plans moves of traffic: away from a zone with a fault, and away from destinations that become faulty.

Traffic of an unreachable zone is diverted all at once: it arrives at other zones anyway, and only its
destinations remain to be decided. Traffic of a failing or overloaded zone is diverted in steps, no more than
the other zones have capacity for; for a failing zone the steps double while the destinations cope. If not all
of a failing zone's traffic fits, the classes with the highest value rate are diverted first
(`priority_fit.py`).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from statistics import median

from shelfhaven.failover import priority_fit
from shelfhaven.failover.fault_evidence import FaultEvidence
from shelfhaven.failover.fleet_snapshot import FleetSnapshot
from shelfhaven.failover.settings import FailoverSettings
from shelfhaven.failover.spare_capacity import SpareCapacity
from shelfhaven.failover.traffic_policy import FailoverCause, TrafficPolicy, ZonePolicy, ZoneState

MIN_MOVE = 0.02  # fraction of a zone's traffic; a smaller move is not worth a new epoch
MAX_FAILED_RECOVERIES = 6  # upper bound of the counter


def class_value_rates(zone: str, snapshot: FleetSnapshot) -> dict[str, float]:
    """Return the value rate of each class of a zone: the median of what the other zones report.

    The zone's own figure is used only if no other zone reports one: it says little while runs fail.
    """
    value_rates = {}
    for cls, load in snapshot.summaries[zone].by_class.items():
        reported = [
            class_load.value_rate
            for class_load in snapshot.class_loads_elsewhere(zone, cls)
            if class_load.value_rate > 0
        ]
        value_rates[cls] = median(reported) if reported else load.value_rate
    return value_rates


@dataclass(frozen=True, slots=True)
class Diversion:
    """A change of the diverted fraction of a zone's load."""

    before: float
    after: float
    by_class: dict[str, float] = field(default_factory=dict)  # empty: the same fraction of every class

    def is_increase_over(self, policy: ZonePolicy) -> bool:
        """Return whether this diverts more than a policy does, by at least the minimum move."""
        return self.after >= self.before + MIN_MOVE or any(
            fraction >= policy.diverted_fraction_of(cls) + MIN_MOVE for cls, fraction in self.by_class.items()
        )


@dataclass(frozen=True, slots=True)
class MovePlanner:
    """Plans moves from one snapshot of the fleet."""

    settings: FailoverSettings
    evidence: FaultEvidence
    capacity: SpareCapacity
    snapshot: FleetSnapshot

    def plan_diversion(self, zone: str, cause: FailoverCause) -> ZonePolicy | None:
        """Return the policy that diverts more of a zone's traffic; None if no more is to be diverted."""
        policy = self.snapshot.policy.zone_policy(zone)
        load = self._zone_load(zone, cause)
        spare = self.capacity.spare_by_destination(zone)
        fleet_limit = self.capacity.max_diverted_fraction(zone, load)
        if cause is FailoverCause.UNREACHABLE:
            diversion = Diversion(policy.diverted_fraction, min(1.0, fleet_limit))
        else:
            max_fraction = min(fleet_limit, sum(spare.values()) / load if load > 0 else 1.0)
            if cause is FailoverCause.OVERLOADED:
                diversion = self._overload_step(zone, load, max_fraction)
            else:
                diversion = self._failure_step(zone, max_fraction)
        if not diversion.is_increase_over(policy):
            return None
        failed_recoveries = policy.failed_recoveries + (1 if policy.state is ZoneState.RECOVERING else 0)
        return ZonePolicy(
            state=ZoneState.CLOSED if diversion.after >= 1 else ZoneState.PARTIAL,
            cause=cause,
            diverted_fraction=diversion.after,
            destinations=self.capacity.destinations(zone, spare),
            load=load,
            failed_recoveries=min(MAX_FAILED_RECOVERIES, failed_recoveries),
            reason=self.evidence.describe(zone, cause, self.snapshot),
            diverted_by_class=diversion.by_class,
        )

    def plan_redirect(self) -> TrafficPolicy | None:
        """Return the policy with new destinations for one zone whose present ones have become unusable."""
        for zone, policy in self.snapshot.policy.zones.items():
            if policy.diverted_fraction <= 0 or zone not in self.snapshot.summaries:
                continue
            spare = self.capacity.spare_by_destination(zone)
            unavailable = [other for other in policy.destinations if other not in spare]
            if not any(self._is_unusable_destination(other) for other in unavailable):
                continue
            if destinations := self.capacity.destinations(zone, spare):
                redirected = replace(policy, destinations=destinations)
                return self.snapshot.policy.with_zone_policy(zone, redirected)
        return None

    def _zone_load(self, zone: str, cause: FailoverCause) -> float:
        if cause is FailoverCause.OVERLOADED:
            load = self.capacity.load_before_diversion(zone)
            if load is not None:
                return load
        return self.capacity.usual_load(zone)

    def _overload_step(self, zone: str, load: float, max_fraction: float) -> Diversion:
        before = self.snapshot.policy.zone_policy(zone).diverted_fraction
        excess = self.capacity.excess_fraction(zone, load)
        return Diversion(before, min(excess, before + self.settings.step_size, max_fraction))

    def _failure_step(self, zone: str, max_fraction: float) -> Diversion:
        policy = self.snapshot.policy.zone_policy(zone)
        by_class = self.snapshot.summaries[zone].by_class
        shares = priority_fit.load_shares(by_class)
        candidates = self._classes_to_divert(zone, policy)
        whole_zone = candidates == set(by_class)
        target = 1.0 if whole_zone else sum(shares[cls] for cls in candidates if cls in shares)
        before = policy.diverted_fraction
        if policy.diverted_by_class:
            before = priority_fit.total_fraction(policy.diverted_by_class, shares)
        after = min(target, before + self._step_size(policy), max_fraction)
        is_diverted_by_class = _is_diverted_for_failing(policy) and bool(policy.diverted_by_class)
        must_select = max_fraction < target - MIN_MOVE or is_diverted_by_class
        if whole_zone and (after >= target or not must_select or not by_class):
            return Diversion(before, after)
        value_rates = class_value_rates(zone, self.snapshot)
        return Diversion(before, after, priority_fit.fit_by_value(after, candidates, shares, value_rates))

    def _classes_to_divert(self, zone: str, policy: ZonePolicy) -> set[str]:
        by_class = self.snapshot.summaries[zone].by_class
        # if no class stands out, all classes of the zone are failing
        candidates = set(self.evidence.failing_classes(zone, self.snapshot)) or set(by_class)
        if _is_diverted_for_failing(policy):  # classes that are already diverted stay diverted
            candidates |= set(policy.diverted_by_class or by_class)
        return candidates

    def _step_size(self, policy: ZonePolicy) -> float:
        """Return the step size: twice the diverted fraction while the destinations cope with it."""
        summaries = self.snapshot.summaries
        destinations_cope = all(
            zone in summaries
            and summaries[zone].rejection_rate < self.settings.rejection_margin
            and summaries[zone].failure_rate < self.settings.failure_margin
            for zone in policy.destinations
        )
        if policy.destinations and destinations_cope:
            return max(self.settings.step_size, 2 * policy.diverted_fraction)
        return self.settings.step_size

    def _is_unusable_destination(self, zone: str) -> bool:
        if zone not in self.snapshot.summaries:
            return True
        if self.snapshot.policy.zone_policy(zone).diverted_fraction > 0:
            return True
        return self.evidence.is_unreachable_or_failing(zone) and self.evidence.has_lasted(zone, self.snapshot)


def _is_diverted_for_failing(policy: ZonePolicy) -> bool:
    return policy.diverted_fraction > 0 and policy.cause is FailoverCause.FAILING
