"""The recovery ramp: traffic comes back to a recovered zone by steps, not faster than the zone warms up.

A zone whose traffic had to be diverted again while it recovered waits twice as long the next time. Where
classes were diverted apart, those that earn least come back first and show how that goes.
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
    """Plans the recoveries of one moment.

    `halted`: diverting for failures is halted, so that what was diverted comes back without further delay.
    """

    settings: FailoverSettings
    evidence: FaultEvidence
    capacity: SpareCapacity
    snapshot: FleetSnapshot
    halted: bool

    def next_step(self, zone: str) -> ZonePolicy | None:
        """The policy that brings back more of a zone's traffic; None while nothing is to change."""
        policy = self.snapshot.policy.zone_policy(zone)
        if policy.diverted_fraction <= 0:
            return self._reopened(zone, policy)
        if not self.halted and not self._is_calm(zone, policy):
            return None
        diverted = self._next_fraction(zone, policy)
        if diverted < MIN_MOVE:
            diverted = 0.0  # so small a rest would stay for good: no move is as small
        elif diverted > policy.diverted_fraction - MIN_MOVE:
            return None
        return replace(
            policy,
            state=ZoneState.RECOVERING,
            diverted_fraction=diverted,
            diverted_by_class=self._next_by_class(zone, policy, diverted),
            reason="comes back by steps",
        )

    def _reopened(self, zone: str, policy: ZonePolicy) -> ZonePolicy | None:
        if policy.state is ZoneState.OPEN or not self._is_calm(zone, policy):
            return None
        failed_recoveries = max(0, policy.failed_recoveries - 1)
        return ZonePolicy(load=policy.load, failed_recoveries=failed_recoveries, reason="well again")

    def _next_fraction(self, zone: str, policy: ZonePolicy) -> float:
        stepped = policy.diverted_fraction - self.settings.step_size
        diverted = max(0.0, stepped, 1 - self.snapshot.summaries[zone].warm_fraction)
        if (
            policy.cause is FailoverCause.OVERLOADED and not self.halted
        ):  # what does not fit yet stays diverted
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

    def _is_calm(self, zone: str, policy: ZonePolicy) -> bool:
        """Whether the zone was well for long enough: twice as long for each failed recovery."""
        well_for = self.snapshot.now - self.evidence.zones[zone].fault_free_since
        if policy.state is ZoneState.RECOVERING and policy.diverted_fraction > 0:
            return well_for >= self.settings.step_interval
        delay = self.settings.recovery_delay * 2.0**policy.failed_recoveries
        return well_for >= min(self.settings.max_recovery_delay, delay)
