"""The failover controller: decides which zones' traffic is diverted, how much of it, and where to.

A pure state machine. It is told the zones' summaries and the policy in force, with the time, and returns the
next policy or None. `controller_task.py` runs it on the node that holds the lease.

The rules, each with a test that fails without it:

- A zone is *unreachable* when most of the zones that reach others do not reach it (a zone that reaches nobody
  is no witness), and when this controller has seen it and no node of it is listed any more, until operators
  forget it.
- It is *failing* or *overloaded* only compared with the other zones. Zones that fail one after another point
  at a release: then nothing is diverted for failing, as that would not help.
- Traffic is diverted by steps, one at a time per region, no more than the other zones have capacity for less
  a reserve (`traffic_moves.py`); an unreachable zone's all at once.
- Never the last zone, nor more than a stated fraction of the whole load.
- Traffic comes back by steps (`recovery_ramp.py`).
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

RENEWALS_PER_TTL = 4.0  # so that a policy outlives a few failed renewals
HALTED_CAUSES = (FailoverCause.FAILING, FailoverCause.OVERLOADED)


class PolicyProposal(NamedTuple):
    """What the controller wants to be agreed on."""

    policy: TrafficPolicy | None  # None: nothing is to be written
    base: TrafficPolicy  # what it was made from


class _Urgency(NamedTuple):
    """Sorts zones: the smallest is moved first."""

    is_reachable: bool
    since: float  # of the evidence
    zone: str


@dataclass(slots=True)
class FailoverController:
    """The state of one node while it holds the lease. `regions` tells each zone's region."""

    settings: FailoverSettings
    regions: Mapping[str, str] = field(default_factory=dict)
    last_moves: dict[str, float] = field(default_factory=dict)  # by region: when a zone there was moved
    renew_at: float = -math.inf
    isolated_since: float = math.inf
    evidence: FaultEvidence = field(init=False)

    def __post_init__(self) -> None:
        self.evidence = FaultEvidence(self.settings)

    def reconfigure(self, settings: FailoverSettings) -> None:
        """Go on with other settings."""
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
        """What is to be agreed on in place of the store's policy, if anything.

        `followed` is the newest policy that this node knows: a store that lost its data goes on from there.
        `summaries` is None while this node is unhealthy. Without a decision the policy is renewed in time,
        and at once under a new fencing token.
        """
        base = stored if stored.version >= followed.version else followed
        policy = self.decide(now, base, summaries) if summaries is not None else None
        if policy is None:
            if base is stored and stored.fencing_token == fencing_token and now < self.renew_at:
                return PolicyProposal(None, base)
            noted = self._with_noted_loads(_with_listed_zones(base, summaries or {}))
            policy = replace(noted, renewal=base.renewal + 1, valid_for=self.settings.policy_ttl)
        return PolicyProposal(replace(policy, fencing_token=fencing_token), base)

    def policy_written(self, now: float, policy: TrafficPolicy) -> None:
        """The store has accepted a policy."""
        self.renew_at = now + policy.valid_for / RENEWALS_PER_TTL

    def should_yield(self, now: float, zone: str, summaries: Mapping[str, ZoneSummary] | None) -> bool:
        """Whether a node of this zone is to leave the lease to others.

        So it is once, for a while, the node was unhealthy (`summaries` is None) or its zone has reached fewer
        than half of the others, and so knows less of them than they do.
        """
        isolated = summaries is None
        if summaries is not None:
            excluded = {zone, *self.evidence.closed_unreachable}
            others = [one for other, one in summaries.items() if other not in excluded]
            threshold = self.settings.reach_threshold
            reached = sum(one.reachability.get(zone, 1.0) >= threshold for one in others)
            isolated = len(others) > 1 and 2 * reached < len(others)
        self.isolated_since = min(self.isolated_since, now) if isolated else math.inf
        return now - self.isolated_since >= SPARSE_EVIDENCE_FACTOR * self.settings.evidence_time

    def decide(
        self, now: float, policy: TrafficPolicy, summaries: Mapping[str, ZoneSummary]
    ) -> TrafficPolicy | None:
        """The next policy, or None while this one is to stay.

        `summaries` are all zones as this node sees them; an unhealthy node does not ask.
        """
        live = {zone: one for zone, one in summaries.items() if one.listed_nodes or one.known_nodes}
        policy = _with_listed_zones(policy, live)
        # a zone that this controller never saw may be missing on its own list alone
        vanished = {
            zone: ZoneSummary(zone)
            for zone in policy.zones
            if zone not in live and zone in self.evidence.zones
        }
        snapshot = FleetSnapshot(now, policy, {**live, **vanished})
        if len(snapshot.summaries) < 2:
            return None
        self.evidence.update(snapshot)
        snapshot = replace(snapshot, policy=self._with_noted_loads(policy))
        return self._next_move(snapshot, self.evidence.halt_reason(now))

    def _next_move(self, snapshot: FleetSnapshot, halt_reason: str) -> TrafficPolicy | None:
        settings, evidence = self.settings, self.evidence
        capacity = SpareCapacity(settings, self.regions, evidence, snapshot)
        planner = MovePlanner(settings, evidence, capacity, snapshot)
        ramp = RecoveryRamp(settings, evidence, capacity, snapshot, bool(halt_reason))
        for zone in sorted(snapshot.summaries, key=self._urgency):
            if snapshot.policy.zone_policy(zone).pinned_by or not self._may_move(snapshot.now, zone):
                continue
            moved = self._moved(zone, planner, ramp)
            if moved is None:
                continue
            policy = replace(
                snapshot.policy.with_zone_policy(zone, moved),
                halt_reason=halt_reason,
                valid_for=settings.policy_ttl,
            )
            if not policy.violations():
                self.last_moves[self._region(zone)] = snapshot.now
                return policy
        if (redirected := planner.redirect()) is not None:
            return redirected
        if halt_reason != snapshot.policy.halt_reason:
            epoch = snapshot.policy.epoch + 1
            return replace(snapshot.policy, epoch=epoch, renewal=0, halt_reason=halt_reason)
        return None

    def _moved(self, zone: str, planner: MovePlanner, ramp: RecoveryRamp) -> ZonePolicy | None:
        cause = self.evidence.zones[zone].cause
        if cause is FailoverCause.NONE or (ramp.halted and cause in HALTED_CAUSES):
            return ramp.next_step(zone)
        if not self.evidence.has_lasted(zone, planner.snapshot):
            return None
        return planner.divert(zone, cause)

    def _with_noted_loads(self, policy: TrafficPolicy) -> TrafficPolicy:
        """The policy with the usual load of each open zone, for the next controller."""
        zones = {}
        for zone, zone_policy in policy.zones.items():
            if zone_policy.diverted_fraction <= 0 and zone in self.evidence.zones:
                zone_policy = replace(zone_policy, load=self.evidence.zones[zone].usual_load)
            zones[zone] = zone_policy
        return replace(policy, zones=zones)

    def _region(self, zone: str) -> str:
        return self.regions.get(zone, "")

    def _may_move(self, now: float, zone: str) -> bool:
        # an unreachable zone's traffic is on its way elsewhere already
        if self.evidence.zones[zone].cause is FailoverCause.UNREACHABLE:
            return True
        return now - self.last_moves.get(self._region(zone), -math.inf) >= self.settings.step_interval

    def _urgency(self, zone: str) -> _Urgency:
        evidence = self.evidence.zones[zone]
        return _Urgency(evidence.cause is not FailoverCause.UNREACHABLE, evidence.cause_since, zone)


def _with_listed_zones(policy: TrafficPolicy, summaries: Mapping[str, ZoneSummary]) -> TrafficPolicy:
    """The policy with an entry for every zone that there is."""
    listed = sorted(zone for zone, one in summaries.items() if one.listed_nodes or one.known_nodes)
    return replace(policy, zones={**{zone: ZonePolicy() for zone in listed}, **policy.zones})
