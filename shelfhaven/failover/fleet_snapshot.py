"""The input of a failover decision: the zones as one node sees them, and the current traffic policy."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.load_digest import ClassLoad
from shelfhaven.failover.traffic_policy import TrafficPolicy


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The zone summaries and the traffic policy at one moment."""

    now: float
    policy: TrafficPolicy
    summaries: Mapping[str, ZoneSummary]  # by zone

    def known_others(self, zone: str) -> list[ZoneSummary]:
        """Summaries of the other zones, without those that have no fresh digests."""
        return [summary for other, summary in self.summaries.items() if other != zone and summary.known_nodes]

    def class_loads_elsewhere(self, zone: str, cls: str) -> list[ClassLoad]:
        """The loads of a class in the other zones that run it."""
        return [summary.by_class[cls] for summary in self.known_others(zone) if cls in summary.by_class]
