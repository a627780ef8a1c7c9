"""Locality-aware routing: the order in which the zones of a pool are tried for a run.

A run is tried in the node's own zone first as long as that is safe. Three mechanisms send runs to another
zone. Each affects a fraction of the runs, so that never all of them move at once:

- Diversion: the fleet diverts a fraction of the zone's traffic and decides on its destinations.
- Spill: each node sends a fraction of its runs elsewhere while the local backends are too busy. The fraction
  is set by an integral controller: it grows while their utilization is above a threshold and shrinks while it
  is below. Each node draws its own rate of change at random (jitter, as in backoff), so that nodes that
  observe the same load at the same time do not react in step.
- Lack of capacity: if the first zone has no capacity for a run, the next zone in the order is tried.

A zone is skipped if its network round trip would take too much of the time that the caller still waits. A
zone whose traffic is diverted completely is used only if there is no other.

This module does no I/O and reads no clock: the current time is an argument. It knows zones, not backends.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple, Protocol

MIN_RATE_FACTOR = 0.5  # bounds of the factor on the spill rate that each node draws at random
MAX_RATE_FACTOR = 1.5
MAX_ROUND_TRIP_FRACTION = 0.5  # largest fraction of the time left that the network round trip may take
MAX_UPDATE_INTERVAL = 1.0  # seconds; a longer time between updates counts as this long
MIN_HEADROOM = 1e-6  # lower bound of 1 - spill threshold, which is a divisor
MIN_ZONE_WEIGHT = 1e-6  # lower bound of a zone's weight in a random choice, as not all weights may be 0


class _Distance(NamedTuple):
    """Distance to another zone: zones of the own region sort first, then those with the lower latency."""

    in_other_region: bool
    one_way_latency: float  # seconds


class ZoneDiversion(Protocol):
    """The fleet's decision for the traffic of one zone."""

    def diverted_fraction_of(self, class_name: str) -> float:
        """Fraction of a class's traffic that is diverted to other zones."""

    @property
    def destinations(self) -> Mapping[str, float]:
        """Fraction of the diverted traffic that goes to each zone."""


class TrafficDiversion(Protocol):
    """The fleet's decisions for all zones that are currently in force."""

    def zone_policy(self, zone: str) -> ZoneDiversion:
        """The decision for one zone."""


@dataclass(frozen=True, slots=True)
class LocalitySettings:
    """Settings of locality-aware routing; fractions from 0 to 1.

    Attributes:
        spill_threshold: utilization of the local backends above which the spill grows.
        spill_rate: maximum change of the spill per second, before the node's own rate factor.
        max_spill: upper bound of the spill.
        one_way_latency: network latency to each zone in one direction, in seconds.
    """

    spill_threshold: float = 0.9
    spill_rate: float = 0.2
    max_spill: float = 1.0
    one_way_latency: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class LocalityRouter:
    """Chooses the order in which zones are tried for the runs of one pool.

    Attributes:
        settings: settings of locality-aware routing.
        zone: zone of this node.
        random: random number generator.
        regions: region of each zone, if known.
        spill: fraction of the runs that is tried in another zone first because of local load.
        rate_factor: this node's own factor on the spill rate.
        updated_at: time of the last update; None before the first.
        diversion: the fleet's decisions on diverted traffic; None if there are none.
        attempts_by_zone: number of attempts so far by zone, for the log.
    """

    settings: LocalitySettings
    zone: str
    random: Random
    regions: Mapping[str, str] = field(default_factory=dict)
    spill: float = 0.0
    rate_factor: float = 1.0
    updated_at: float | None = None
    diversion: TrafficDiversion | None = None
    attempts_by_zone: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rate_factor = self.random.uniform(MIN_RATE_FACTOR, MAX_RATE_FACTOR)

    def update(self, now: float, utilization: float | None) -> None:
        """Adjust the spill to the utilization of the local backends; None if there are none."""
        elapsed = 0.0
        if self.updated_at is not None:
            elapsed = min(MAX_UPDATE_INTERVAL, max(0.0, now - self.updated_at))
        self.updated_at = now
        if utilization is None:
            return
        threshold = self.settings.spill_threshold
        excess = (utilization - threshold) / max(MIN_HEADROOM, 1 - threshold)
        # at the default threshold of 0.9, a utilization 0.1 below it lowers the spill at the full rate
        clamped_excess = max(-1.0, min(1.0, excess))
        rate = self.rate_factor * self.settings.spill_rate
        self.spill = max(0.0, min(self.settings.max_spill, self.spill + clamped_excess * rate * elapsed))

    def zone_order(self, zones: Sequence[str], time_left: float, class_name: str = "") -> list[str]:
        """Zones in the order in which a run is tried in them.

        Args:
            zones: zones that have backends.
            time_left: seconds that the run's caller still waits.
            class_name: class of the run.
        """
        reachable = [zone for zone in zones if self._is_reachable_in_time(zone, time_left)] or list(zones)
        usable = [zone for zone in reachable if self._diverted_fraction(zone, class_name) < 1] or reachable
        remote = sorted(
            (zone for zone in usable if zone != self.zone), key=lambda zone: (self._distance(zone), zone)
        )
        if self.zone not in usable:
            first = self._draw_remote_zone(remote, self._destinations(), class_name)
            return [first, *_without(remote, first)] if first else remote
        first = self._draw_first_remote_zone(remote, class_name)
        if first:
            return [first, self.zone, *_without(remote, first)]
        return [self.zone, *remote]

    def record_attempt(self, zone: str) -> None:
        """Count an attempt that was sent to a zone."""
        self.attempts_by_zone[zone] = self.attempts_by_zone.get(zone, 0) + 1

    def _draw_first_remote_zone(self, remote: Sequence[str], class_name: str) -> str | None:
        """Draw at random whether a run is diverted or spilled.

        Returns the remote zone to try first, or None if the own zone comes first.
        """
        draw = self.random.random()
        diverted = self._diverted_fraction(self.zone, class_name)
        if draw < diverted:
            return self._draw_remote_zone(remote, self._destinations(), class_name)
        if draw < diverted + (1 - diverted) * self.spill:
            return self._draw_remote_zone(remote, {}, class_name)
        return None

    def _is_reachable_in_time(self, zone: str, time_left: float) -> bool:
        round_trip = 2 * self.settings.one_way_latency.get(zone, 0.0)
        return zone == self.zone or round_trip <= MAX_ROUND_TRIP_FRACTION * time_left

    def _diverted_fraction(self, zone: str, class_name: str) -> float:
        return self.diversion.zone_policy(zone).diverted_fraction_of(class_name) if self.diversion else 0.0

    def _destinations(self) -> Mapping[str, float]:
        return self.diversion.zone_policy(self.zone).destinations if self.diversion else {}

    def _distance(self, zone: str) -> _Distance:
        in_other_region = self.regions.get(zone, "") != self.regions.get(self.zone, "")
        return _Distance(in_other_region, self.settings.one_way_latency.get(zone, 0.0))

    def _draw_remote_zone(
        self, remote: Sequence[str], destinations: Mapping[str, float], class_name: str
    ) -> str | None:
        """Draw a remote zone by the fleet's destination fractions, or else among the nearest zones.

        Either way a zone's weight is reduced by the fraction of its own traffic that is diverted.
        """
        if not remote:
            return None
        weights = [destinations.get(zone, 0.0) * (1 - self._diverted_fraction(zone, class_name))
                   for zone in remote]  # fmt: skip
        if sum(weights) > 0:
            return self.random.choices(remote, weights)[0]
        min_distance = self._distance(remote[0])
        nearest = [zone for zone in remote if self._distance(zone) == min_distance]
        nearest_weights = [
            max(MIN_ZONE_WEIGHT, 1 - self._diverted_fraction(zone, class_name)) for zone in nearest
        ]
        return self.random.choices(nearest, nearest_weights)[0]


def _without(zones: Sequence[str], excluded: str) -> list[str]:
    return [zone for zone in zones if zone != excluded]
