"""The recovery ramp: returns traffic to a recovered zone in steps, no faster than the zone warms up.

If traffic had to be diverted again during a recovery, the next recovery waits twice as long. If only some
classes were diverted, those with the lowest value rate return first, so that they test the zone.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from shelfhaven.failover import priority_fit
from shelfhaven.failover.fault_evidence import FaultEvidence
from shelfhaven.failover.fleet_snapshot import FleetSnapshot
from shelfhaven.failover.settings import FailoverSettings
from shelfhaven.failover.spare_capacity import SpareCapacity
from shelfhaven.failover.traffic_moves import MIN_MOVE, class_value_rates
from shelfhaven.failover.traffic_policy import FailoverCause, ZonePolicy, ZoneState


@dataclass(frozen=True, slots=True)
class RecoveryRamp:
    """Plans recoveries from one snapshot of the fleet.

    `halted`: no traffic is diverted for failures at present, so diverted traffic returns without delay.
    """

    settings: FailoverSettings
    evidence: FaultEvidence
    capacity: SpareCapacity
    snapshot: FleetSnapshot
    halted: bool

    def next_step(self, zone: str) -> ZonePolicy | None:
        """Return the policy that returns more of a zone's traffic; None if nothing changes yet."""
        policy = self.snapshot.policy.zone_policy(zone)
        if policy.diverted_fraction <= 0:
            return self._reopen(zone, policy)
        if not self.halted and not self._has_stabilized(zone, policy):
            return None
        diverted = self._next_fraction(zone, policy)
        if diverted < MIN_MOVE:
            diverted = 0.0  # a remainder below the minimum move would never be returned
        elif diverted > policy.diverted_fraction - MIN_MOVE:
            return None
        return replace(
            policy,
            state=ZoneState.RECOVERING,
            diverted_fraction=diverted,
            diverted_by_class=self._next_by_class(zone, policy, diverted),
            reason="comes back by steps",
        )

    def _reopen(self, zone: str, policy: ZonePolicy) -> ZonePolicy | None:
        if policy.state is ZoneState.OPEN or not self._has_stabilized(zone, policy):
            return None
        failed_recoveries = max(0, policy.failed_recoveries - 1)
        return ZonePolicy(load=policy.load, failed_recoveries=failed_recoveries, reason="well again")

    def _next_fraction(self, zone: str, policy: ZonePolicy) -> float:
        after_step = policy.diverted_fraction - self.settings.step_size
        diverted = max(0.0, after_step, 1 - self.snapshot.summaries[zone].warm_fraction)
        if policy.cause is FailoverCause.OVERLOADED and not self.halted:
            # load that still exceeds the zone's capacity stays diverted
            load = self.capacity.load_before_diversion(zone)
            excess = self.capacity.excess_fraction(zone, policy.load if load is None else load)
            return max(diverted, excess)
        return diverted

    def _next_by_class(self, zone: str, policy: ZonePolicy, diverted: float) -> dict[str, float]:
        before = policy.diverted_by_class
        if not before or diverted <= 0:
            return {}
        shares = priority_fit.load_shares(self.snapshot.summaries[zone].by_class)
        value_rates = class_value_rates(zone, self.snapshot)
        fractions = priority_fit.fit_by_value(diverted, before, shares, value_rates)
        return {cls: min(fraction, before[cls]) for cls, fraction in fractions.items()}

    def _has_stabilized(self, zone: str, policy: ZonePolicy) -> bool:
        """Return whether the zone has been healthy long enough; each failed recovery doubles the delay."""
        healthy_for = self.snapshot.now - self.evidence.zones[zone].fault_free_since
        if policy.state is ZoneState.RECOVERING and policy.diverted_fraction > 0:
            return healthy_for >= self.settings.step_interval
        delay = self.settings.recovery_delay * 2.0**policy.failed_recoveries
        return healthy_for >= min(self.settings.max_recovery_delay, delay)
