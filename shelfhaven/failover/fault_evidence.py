"""Evidence of faults: which zones are unreachable, failing or overloaded, and since when.

Each zone is compared with the others, because a failure or rejection rate that all zones share is not the
fault of one of them. `controller.py` decides whether to move traffic because of the evidence. The time comes
with each snapshot; no clock is read.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from statistics import median

from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.fleet_snapshot import FleetSnapshot
from shelfhaven.failover.settings import FailoverSettings
from shelfhaven.failover.traffic_policy import FailoverCause, TrafficPolicy

LOAD_SMOOTHING_FACTOR = 0.05  # least weight of the latest load in the moving average of a zone's own load
# up to this number of samples the average is their mean
SETTLED_SAMPLE_COUNT = math.ceil(1 / LOAD_SMOOTHING_FACTOR)
SPARSE_EVIDENCE_FACTOR = 3.0  # multiplies the evidence time if the evidence comes from a single zone
# no traffic is diverted to a zone with one of these causes
EXCLUDED_DESTINATION_CAUSES = (FailoverCause.UNREACHABLE, FailoverCause.FAILING)


@dataclass(slots=True)
class ZoneEvidence:
    """The fault observed in one zone, if any, and the zone's load without one."""

    cause: FailoverCause = FailoverCause.NONE
    cause_since: float = math.inf  # when the cause was first observed
    fault_free_since: float = math.inf  # start of the time without a fault; infinite during a fault
    last_failure_start: float = -math.inf  # when it last started to fail
    usual_load: float = 0.0  # moving average of its own load, without diverted load, while it had no fault
    load_samples: int = 0  # in that average


@dataclass(slots=True)
class FaultEvidence:
    """The evidence that one controller has collected about all zones."""

    settings: FailoverSettings
    zones: dict[str, ZoneEvidence] = field(default_factory=dict)
    closed_unreachable: set[str] = field(default_factory=set)  # zones that the policy closes as unreachable
    received_load: dict[str, float] = field(default_factory=dict)  # by zone: load diverted to it
    halted_until: float = -math.inf  # until when failing zones are not diverted

    def update(self, snapshot: FleetSnapshot) -> None:
        """Update the evidence from a new snapshot."""
        self.zones = {zone: evidence for zone, evidence in self.zones.items() if zone in snapshot.summaries}
        self.closed_unreachable = {
            zone for zone, policy in snapshot.policy.zones.items()
            if policy.cause is FailoverCause.UNREACHABLE and policy.diverted_fraction >= 1
        }  # fmt: skip
        self.received_load = _load_received_by_zone(snapshot.policy)
        for zone in sorted(snapshot.summaries):
            self._update_zone(zone, snapshot)

    def is_unreachable_or_failing(self, zone: str) -> bool:
        """Whether a zone is unreachable or failing, so that no traffic may be diverted to it."""
        return self.zones[zone].cause in EXCLUDED_DESTINATION_CAUSES

    def has_lasted(self, zone: str, snapshot: FleetSnapshot) -> bool:
        """Whether a zone's fault has been observed for long enough to act on it."""
        listed_zones = sum(summary.listed_nodes > 0 for summary in snapshot.summaries.values())
        factor = SPARSE_EVIDENCE_FACTOR if listed_zones < 3 else 1.0
        return snapshot.now - self.zones[zone].cause_since >= self.settings.evidence_time * factor

    def halt_reason(self, now: float) -> str:
        """Return why no failing zone is diverted, or "" if such diversions are not halted.

        If several zones start to fail within the rollout window, a faulty release is probably being rolled
        out, and moving traffic between the zones would not help.
        """
        window = self.settings.rollout_window
        failed_zones = sorted(
            zone for zone, evidence in self.zones.items() if now - evidence.last_failure_start < window
        )
        if len(failed_zones) > 1:
            self.halted_until = max(self.zones[zone].last_failure_start for zone in failed_zones) + window
        if now < self.halted_until:
            return f"one zone failed after another: {', '.join(failed_zones) or 'of late'}"
        return ""

    def failing_classes(self, zone: str, snapshot: FleetSnapshot) -> tuple[str, ...]:
        """The classes whose failure rate in a zone exceeds that elsewhere by the failure margin or more."""
        classes = []
        for cls, load in sorted(snapshot.summaries[zone].by_class.items()):
            elsewhere = [class_load.failure_rate for class_load in snapshot.class_loads_elsewhere(zone, cls)]
            if elsewhere and load.failure_rate >= median(elsewhere) + self.settings.failure_margin:
                classes.append(cls)
        return tuple(classes)

    def describe(self, zone: str, cause: FailoverCause, snapshot: FleetSnapshot) -> str:
        """Describe the evidence, as the reason that the policy gives for a move."""
        summary = snapshot.summaries[zone]
        match cause:
            case FailoverCause.UNREACHABLE:
                answered = ", ".join(
                    f"{other} {fraction:.2f}" for other, fraction in sorted(summary.reachability.items())
                )
                return f"reached by {answered}" if answered else "none of its nodes is on the list"
            case FailoverCause.FAILING:
                by_class = ", ".join(
                    f"{summary.by_class[cls].failure_rate:.2f} of {cls}"
                    for cls in self.failing_classes(zone, snapshot)
                )
                return f"{by_class or f'{summary.failure_rate:.2f} of its runs'} fail"
            case _:
                return f"{summary.rejection_rate:.2f} of its requests are rejected"

    def _update_zone(self, zone: str, snapshot: FleetSnapshot) -> None:
        # the policy carries the load from before a fault that the previous controller observed
        previous_load = snapshot.policy.zone_policy(zone).load
        evidence = self.zones.setdefault(
            zone, ZoneEvidence(usual_load=previous_load, load_samples=SETTLED_SAMPLE_COUNT)
        )
        cause = self._detect_cause(zone, snapshot)
        if cause is FailoverCause.NONE:
            evidence.fault_free_since = min(evidence.fault_free_since, snapshot.now)
            self._update_usual_load(evidence, snapshot.summaries[zone])
        else:
            evidence.fault_free_since = math.inf
        if cause is not evidence.cause:
            evidence.cause = cause
            evidence.cause_since = snapshot.now
            if cause is FailoverCause.FAILING:
                evidence.last_failure_start = snapshot.now

    def _update_usual_load(self, evidence: ZoneEvidence, summary: ZoneSummary) -> None:
        """Update the moving average of a zone's own load.

        The average changes slowly, because the load of a lost zone falls before the fault is detected.  One
        that begins anew is the mean of its samples at first, so that a burst does not rule it for long.
        """
        if not summary.known_nodes:
            return
        own_load = max(0.0, summary.load - self.received_load.get(summary.zone, 0.0))
        if not evidence.usual_load:
            evidence.load_samples = 0
        evidence.load_samples += 1
        weight = max(LOAD_SMOOTHING_FACTOR, 1 / evidence.load_samples)
        evidence.usual_load += weight * (own_load - evidence.usual_load)

    def _detect_cause(self, zone: str, snapshot: FleetSnapshot) -> FailoverCause:
        if self._is_unreachable(zone, snapshot):
            return FailoverCause.UNREACHABLE
        summary = snapshot.summaries[zone]
        others = snapshot.known_others(zone)
        if not summary.known_nodes or not others:
            return FailoverCause.NONE
        median_failure_rate = median(other.failure_rate for other in others)
        is_failing = summary.failure_rate >= median_failure_rate + self.settings.failure_margin
        if is_failing or self.failing_classes(zone, snapshot):
            return FailoverCause.FAILING
        median_rejection_rate = median(other.rejection_rate for other in others)
        if summary.rejection_rate >= median_rejection_rate + self.settings.rejection_margin:
            return FailoverCause.OVERLOADED
        return FailoverCause.NONE

    def _is_unreachable(self, zone: str, snapshot: FleetSnapshot) -> bool:
        """Whether more zones report that they do not reach a zone than that they do.

        A report that the zone is reached counts from any observer with fresh digests. A report that it is not
        reached counts only from an observer that reaches other zones.
        """
        summaries = snapshot.summaries
        summary = summaries[zone]
        if not summary.listed_nodes and not summary.known_nodes:
            return True
        threshold = self.settings.reach_threshold
        reaching = [
            other for other, fraction in summary.reachability.items()
            if fraction >= threshold and other in summaries and summaries[other].known_nodes
        ]  # fmt: skip
        not_reaching = [
            other for other, fraction in summary.reachability.items()
            if fraction < threshold and self._is_reliable_observer(other, zone, snapshot)
        ]  # fmt: skip
        has_enough_observers = len(not_reaching) > 1 or len(summaries) < 4
        return len(not_reaching) > len(reaching) and has_enough_observers

    def _is_reliable_observer(self, observer: str, observed: str, snapshot: FleetSnapshot) -> bool:
        """Whether an observer reaches at least half of the zones other than the observed one."""
        # failing to reach a zone that is closed as unreachable says nothing about the observer
        excluded = {observer, observed} | self.closed_unreachable
        fractions = [
            summary.reachability[observer] for other, summary in snapshot.summaries.items()
            if other not in excluded and observer in summary.reachability
        ]  # fmt: skip
        reached_count = sum(fraction >= self.settings.reach_threshold for fraction in fractions)
        has_digests = observer in snapshot.summaries and snapshot.summaries[observer].known_nodes > 0
        return has_digests and 2 * reached_count >= len(fractions)


def _load_received_by_zone(policy: TrafficPolicy) -> dict[str, float]:
    """Compute by zone the load that a policy diverts to it."""
    received_load: dict[str, float] = {}
    for zone_policy in policy.zones.values():
        for destination, fraction in zone_policy.destinations.items():
            load = zone_policy.diverted_fraction * zone_policy.load * fraction
            received_load[destination] = received_load.get(destination, 0.0) + load
    return received_load
