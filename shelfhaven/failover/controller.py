"""The failover controller: decides which zones' traffic is diverted, how much of it, and where it goes.

A pure state machine: from the time, the zone summaries and the current policy it computes the next policy, or
None if nothing changes. `controller_task.py` runs it on the node that holds the lease.

The rules, each covered by a test that fails without it:

- A zone is *unreachable* if most of the zones that reach others do not reach it (the testimony of a zone that
  reaches no other zone does not count). It is also unreachable if this controller has seen it before and none
  of its nodes is listed any more, until operators remove it with `forget`.
- A zone is *failing* or *overloaded* only in comparison with the other zones. Zones that fail one after
  another suggest a faulty release; then no traffic is diverted for failures, as that would not help.
- Traffic is diverted in steps, one at a time per region, and no more than the other zones have capacity for
  less a reserve (`traffic_moves.py`). The traffic of an unreachable zone is diverted all at once.
- At least one zone stays open, and the fleet diverts at most a configured fraction of its load.
- Traffic returns in steps (`recovery_ramp.py`).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.fault_evidence import SPARSE_EVIDENCE_FACTOR, FaultEvidence
from shelfhaven.failover.fleet_snapshot import FleetSnapshot
from shelfhaven.failover.recovery_ramp import RecoveryRamp
from shelfhaven.failover.settings import FailoverSettings
from shelfhaven.failover.spare_capacity import SpareCapacity
from shelfhaven.failover.traffic_moves import MovePlanner
from shelfhaven.failover.traffic_policy import FailoverCause, TrafficPolicy, ZonePolicy

RENEWALS_PER_TTL = 4.0  # several renewals may fail before the policy expires
# While diversion is halted, no traffic is diverted for these causes.
HALTED_CAUSES = (FailoverCause.FAILING, FailoverCause.OVERLOADED)


class PolicyProposal(NamedTuple):
    """The policy that the controller proposes to write."""

    policy: TrafficPolicy | None  # None: nothing to write
    base: TrafficPolicy  # the policy that it was derived from


class _Urgency(NamedTuple):
    """Sort key of zones; the zone with the smallest key is handled first."""

    is_reachable: bool
    since: float  # time of the first evidence of the present cause
    zone: str


@dataclass(slots=True)
class FailoverController:
    """The controller of the node that holds the lease. `regions` maps each zone to its region."""

    settings: FailoverSettings
    regions: Mapping[str, str] = field(default_factory=dict)
    last_move_times: dict[str, float] = field(default_factory=dict)  # by region
    renew_at: float = -math.inf
    isolated_since: float = math.inf
    evidence: FaultEvidence = field(init=False)

    def __post_init__(self) -> None:
        self.evidence = FaultEvidence(self.settings)

    def reconfigure(self, settings: FailoverSettings) -> None:
        """Apply new settings."""
        self.settings = settings
        self.evidence.settings = settings

    def next_policy(
        self,
        now: float,
        stored: TrafficPolicy,
        followed: TrafficPolicy,
        summaries: Mapping[str, ZoneSummary] | None,
        fencing_token: int,
    ) -> PolicyProposal:
        """Return the policy to write in place of the stored one, if any.

        `followed` is the newest policy that this node knows; if the store has lost its data, the next policy
        is based on it. `summaries` is None while this node is unhealthy. If there is no decision, the policy
        is renewed well before it expires, and immediately under a new fencing token.
        """
        base = stored if stored.version >= followed.version else followed
        policy = self.decide(now, base, summaries) if summaries is not None else None
        if policy is None:
            if base is stored and stored.fencing_token == fencing_token and now < self.renew_at:
                return PolicyProposal(None, base)
            with_loads = self._with_usual_loads(_with_listed_zones(base, summaries or {}))
            policy = replace(with_loads, renewal=base.renewal + 1, valid_for=self.settings.policy_ttl)
        return PolicyProposal(replace(policy, fencing_token=fencing_token), base)

    def policy_written(self, now: float, policy: TrafficPolicy) -> None:
        """Schedule the next renewal, after a policy has been written to the store."""
        self.renew_at = now + policy.valid_for / RENEWALS_PER_TTL

    def should_step_down(self, now: float, zone: str, summaries: Mapping[str, ZoneSummary] | None) -> bool:
        """Return whether the controller's node, in `zone`, should give up the lease.

        It should if, for some time, it has been unhealthy (`summaries` is None) or its zone has reached fewer
        than half of the other zones, which then know more about each other than this node does.
        """
        isolated = summaries is None
        if summaries is not None:
            excluded = {zone, *self.evidence.closed_unreachable}
            others = [summary for other, summary in summaries.items() if other not in excluded]
            threshold = self.settings.reach_threshold
            reached = sum(summary.reachability.get(zone, 1.0) >= threshold for summary in others)
            isolated = len(others) > 1 and 2 * reached < len(others)
        self.isolated_since = min(self.isolated_since, now) if isolated else math.inf
        return now - self.isolated_since >= SPARSE_EVIDENCE_FACTOR * self.settings.evidence_time

    def decide(
        self, now: float, policy: TrafficPolicy, summaries: Mapping[str, ZoneSummary]
    ) -> TrafficPolicy | None:
        """Return the next policy, or None if the current one stays.

        `summaries` covers all zones as this node sees them. Not called while the node is unhealthy.
        """
        live = {
            zone: summary
            for zone, summary in summaries.items()
            if summary.listed_nodes or summary.known_nodes
        }
        policy = _with_listed_zones(policy, live)
        # a zone that this controller has never seen may be missing only from this node's list
        vanished = {
            zone: ZoneSummary(zone)
            for zone in policy.zones
            if zone not in live and zone in self.evidence.zones
        }
        snapshot = FleetSnapshot(now, policy, {**live, **vanished})
        if len(snapshot.summaries) < 2:
            return None
        self.evidence.update(snapshot)
        snapshot = replace(snapshot, policy=self._with_usual_loads(policy))
        return self._next_move(snapshot, self.evidence.halt_reason(now))

    def _next_move(self, snapshot: FleetSnapshot, halt_reason: str) -> TrafficPolicy | None:
        settings, evidence = self.settings, self.evidence
        capacity = SpareCapacity(settings, self.regions, evidence, snapshot)
        planner = MovePlanner(settings, evidence, capacity, snapshot)
        ramp = RecoveryRamp(settings, evidence, capacity, snapshot, bool(halt_reason))
        for zone in sorted(snapshot.summaries, key=self._urgency):
            if snapshot.policy.zone_policy(zone).pinned_by or not self._is_move_allowed(snapshot.now, zone):
                continue
            zone_policy = self._next_zone_policy(zone, planner, ramp)
            if zone_policy is None:
                continue
            policy = replace(
                snapshot.policy.with_zone_policy(zone, zone_policy),
                halt_reason=halt_reason,
                valid_for=settings.policy_ttl,
            )
            if not policy.violations():
                self.last_move_times[self._region(zone)] = snapshot.now
                return policy
        if (redirected := planner.plan_redirect()) is not None:
            return redirected
        if halt_reason != snapshot.policy.halt_reason:
            epoch = snapshot.policy.epoch + 1
            return replace(snapshot.policy, epoch=epoch, renewal=0, halt_reason=halt_reason)
        return None

    def _next_zone_policy(self, zone: str, planner: MovePlanner, ramp: RecoveryRamp) -> ZonePolicy | None:
        cause = self.evidence.zones[zone].cause
        if cause is FailoverCause.NONE or (ramp.halted and cause in HALTED_CAUSES):
            return ramp.next_step(zone)
        if not self.evidence.has_lasted(zone, planner.snapshot):
            return None
        return planner.plan_diversion(zone, cause)

    def _with_usual_loads(self, policy: TrafficPolicy) -> TrafficPolicy:
        """Return the policy with the usual load of each open zone, which a new controller starts from."""
        zones = {}
        for zone, zone_policy in policy.zones.items():
            if zone_policy.diverted_fraction <= 0 and zone in self.evidence.zones:
                zone_policy = replace(zone_policy, load=self.evidence.zones[zone].usual_load)
            zones[zone] = zone_policy
        return replace(policy, zones=zones)

    def _region(self, zone: str) -> str:
        return self.regions.get(zone, "")

    def _is_move_allowed(self, now: float, zone: str) -> bool:
        # the traffic of an unreachable zone arrives at other zones anyway
        if self.evidence.zones[zone].cause is FailoverCause.UNREACHABLE:
            return True
        return now - self.last_move_times.get(self._region(zone), -math.inf) >= self.settings.step_interval

    def _urgency(self, zone: str) -> _Urgency:
        evidence = self.evidence.zones[zone]
        return _Urgency(evidence.cause is not FailoverCause.UNREACHABLE, evidence.cause_since, zone)


def _with_listed_zones(policy: TrafficPolicy, summaries: Mapping[str, ZoneSummary]) -> TrafficPolicy:
    """Return the policy with an entry added for each existing zone that it lacks."""
    listed = sorted(
        zone for zone, summary in summaries.items() if summary.listed_nodes or summary.known_nodes
    )
    return replace(policy, zones={**{zone: ZonePolicy() for zone in listed}, **policy.zones})
