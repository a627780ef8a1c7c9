"""Moves of traffic away from a zone with a fault, and on from destinations that have one themselves.

An unreachable zone's traffic is diverted at once, as it goes elsewhere anyway: what is decided is where. A
failing or overloaded zone's is diverted by steps, no more than the other zones have capacity for. A step that
the destinations bore allows one that is twice as large. Where not all of a failing zone's traffic fits, the
classes that earn most per run go first (`priority_fit.py`).
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

MIN_MOVE = 0.02  # of a zone's traffic: a smaller move is not worth an epoch
MAX_FAILED_RECOVERIES = 6  # that are counted


def class_value_rates(zone: str, snapshot: FleetSnapshot) -> dict[str, float]:
    """The value rate of each class of a zone, as the other zones tell it.

    Where runs fail, the zone's own figure says little about them.
    """
    found = {}
    for cls, load in snapshot.summaries[zone].by_class.items():
        elsewhere = [
            one.value_rate for one in snapshot.class_loads_elsewhere(zone, cls) if one.value_rate > 0
        ]
        found[cls] = median(elsewhere) if elsewhere else load.value_rate
    return found


@dataclass(frozen=True, slots=True)
class Diversion:
    """A change of what is diverted: from a fraction of the zone's load to another one."""

    before: float
    after: float
    by_class: dict[str, float] = field(default_factory=dict)  # empty: all classes alike

    def enlarges(self, policy: ZonePolicy) -> bool:
        """Whether it diverts noticeably more than a policy does."""
        return self.after >= self.before + MIN_MOVE or any(
            fraction >= policy.diverted_fraction_of(cls) + MIN_MOVE for cls, fraction in self.by_class.items()
        )


@dataclass(frozen=True, slots=True)
class MovePlanner:
    """Plans the moves of one moment."""

    settings: FailoverSettings
    evidence: FaultEvidence
    capacity: SpareCapacity
    snapshot: FleetSnapshot

    def divert(self, zone: str, cause: FailoverCause) -> ZonePolicy | None:
        """The policy that diverts more of a zone's traffic; None where no more is to go."""
        policy = self.snapshot.policy.zone_policy(zone)
        load = self._load(zone, cause)
        elsewhere = self.capacity.elsewhere(zone)
        allowed = self.capacity.max_diverted_fraction(zone, load)
        if cause is FailoverCause.UNREACHABLE:
            diversion = Diversion(policy.diverted_fraction, min(1.0, allowed))
        else:
            fitting = min(allowed, sum(elsewhere.values()) / load if load > 0 else 1.0)
            if cause is FailoverCause.OVERLOADED:
                diversion = self._overload_step(zone, load, fitting)
            else:
                diversion = self._failure_step(zone, fitting)
        if not diversion.enlarges(policy):
            return None
        failed_recoveries = policy.failed_recoveries + (1 if policy.state is ZoneState.RECOVERING else 0)
        return ZonePolicy(
            state=ZoneState.CLOSED if diversion.after >= 1 else ZoneState.PARTIAL,
            cause=cause,
            diverted_fraction=diversion.after,
            destinations=self.capacity.destinations(zone, elsewhere),
            load=load,
            failed_recoveries=min(MAX_FAILED_RECOVERIES, failed_recoveries),
            reason=self.evidence.describe(zone, cause, self.snapshot),
            diverted_by_class=diversion.by_class,
        )

    def redirect(self) -> TrafficPolicy | None:
        """The policy with new destinations for traffic whose present ones are diverted or have a fault."""
        for zone, policy in self.snapshot.policy.zones.items():
            if policy.diverted_fraction <= 0 or zone not in self.snapshot.summaries:
                continue
            elsewhere = self.capacity.elsewhere(zone)
            dropped = [other for other in policy.destinations if other not in elsewhere]
            if not any(self._is_bad_destination(other) for other in dropped):
                continue
            if destinations := self.capacity.destinations(zone, elsewhere):
                redirected = replace(policy, destinations=destinations)
                return self.snapshot.policy.with_zone_policy(zone, redirected)
        return None

    def _load(self, zone: str, cause: FailoverCause) -> float:
        if cause is FailoverCause.OVERLOADED:
            load = self.capacity.load_before_diversion(zone)
            if load is not None:
                return load
        return self.capacity.usual_load(zone)

    def _overload_step(self, zone: str, load: float, fitting: float) -> Diversion:
        before = self.snapshot.policy.zone_policy(zone).diverted_fraction
        excess = self.capacity.excess_fraction(zone, load)
        return Diversion(before, min(excess, before + self.settings.step_size, fitting))

    def _failure_step(self, zone: str, fitting: float) -> Diversion:
        policy = self.snapshot.policy.zone_policy(zone)
        by_class = self.snapshot.summaries[zone].by_class
        shares = priority_fit.load_shares(by_class)
        candidates = self._classes_to_divert(zone, policy)
        whole_zone = candidates == set(by_class)
        target = 1.0 if whole_zone else sum(shares[cls] for cls in candidates if cls in shares)
        before = policy.diverted_fraction
        if policy.diverted_by_class:
            before = priority_fit.total_fraction(policy.diverted_by_class, shares)
        after = min(target, before + self._step_size(policy), fitting)
        was_by_class = _is_diverted_for_failing(policy) and bool(policy.diverted_by_class)
        must_choose = fitting < target - MIN_MOVE or was_by_class
        if whole_zone and (after >= target or not must_choose or not by_class):
            return Diversion(before, after)
        value_rates = class_value_rates(zone, self.snapshot)
        return Diversion(before, after, priority_fit.fit_by_value(after, candidates, shares, value_rates))

    def _classes_to_divert(self, zone: str, policy: ZonePolicy) -> set[str]:
        by_class = self.snapshot.summaries[zone].by_class
        # where no class stands out, the whole zone fails
        candidates = set(self.evidence.failing_classes(zone, self.snapshot)) or set(by_class)
        if _is_diverted_for_failing(policy):  # what was diverted stays diverted
            candidates |= set(policy.diverted_by_class or by_class)
        return candidates

    def _step_size(self, policy: ZonePolicy) -> float:
        """Twice what is diverted, once the destinations have shown that they bear it."""
        summaries = self.snapshot.summaries
        bear = all(
            zone in summaries
            and summaries[zone].rejection_rate < self.settings.rejection_margin
            and summaries[zone].failure_rate < self.settings.failure_margin
            for zone in policy.destinations
        )
        if policy.destinations and bear:
            return max(self.settings.step_size, 2 * policy.diverted_fraction)
        return self.settings.step_size

    def _is_bad_destination(self, zone: str) -> bool:
        if zone not in self.snapshot.summaries:
            return True
        if self.snapshot.policy.zone_policy(zone).diverted_fraction > 0:
            return True
        return self.evidence.is_unreachable_or_failing(zone) and self.evidence.has_lasted(zone, self.snapshot)


def _is_diverted_for_failing(policy: ZonePolicy) -> bool:
    return policy.diverted_fraction > 0 and policy.cause is FailoverCause.FAILING
