"""Fluid model of the traffic of a simulated fleet: each zone's offered load, served load and value earned.

A zone's routers send requests to its own nodes first, and to other zones if those reject work or have failed.
Each sample is compared with an omniscient planner and with two baselines without failover.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from shelfhaven.failover.traffic_policy import ZonePolicy

NODE_CAPACITY = 10.0  # concurrent runs of a warm node
MIN_WARM_FRACTION = 0.2  # fraction of its capacity that a node has when it starts
ROUTING_DELAY = 1.0  # seconds until routers stop sending to failed nodes
LONG_AGO = -1e9  # a start time before the simulation, in seconds: such nodes are warm


class ClassShare(NamedTuple):
    """A request class's share of the traffic, and its value."""

    share: float  # fraction of the load
    value_rate: float  # value that a run earns per second


@dataclass(slots=True)
class SimulatedZone:
    """The state of a zone. Loads and capacities are in concurrent runs, summed over its nodes."""

    capacity: float
    demand: float
    alive: int = 0  # number of live nodes
    speed: float = 1.0  # relative to a healthy zone
    failure_rate: float = 0.0  # fraction of runs
    lost_at: float | None = None
    started_at: float = LONG_AGO  # when its nodes began to warm up
    offered: float = 0.0  # current load on its nodes, its own and diverted to it
    served: float = 0.0

    def warm_fraction(self, now: float, warm_up_time: float) -> float:
        """Return the fraction of full capacity that the zone's nodes have reached in their warm-up."""
        return min(1.0, max(MIN_WARM_FRACTION, (now - self.started_at) / warm_up_time))


@dataclass(frozen=True, slots=True)
class TrafficSample:
    """The traffic at one moment: value earned per second, and utilization and diverted fraction by zone."""

    at: float
    demanded: float  # if all demand were served
    served: float
    best: float  # by an omniscient planner
    nearest_only: float  # if each zone served only its own demand
    evenly_spread: float  # if demand were spread evenly over all zones
    utilization: Mapping[str, float]
    diverted: Mapping[str, float]


class ZoneRouting(NamedTuple):
    """What one zone's routers know of the zone's nodes and policy."""

    live_nodes: int
    rejecting_fraction: float  # of the live nodes, those that report that they accept no work
    policy: ZonePolicy  # that the zone's own nodes or, without any of those, other zones' nodes follow


class TrafficModel:
    """Routes the demand of all zones, and computes what it earns."""

    def __init__(
        self, zones: dict[str, SimulatedZone], class_mix: Mapping[str, ClassShare], warm_up_time: float
    ) -> None:
        self.zones = zones
        self.class_mix = class_mix
        self.warm_up_time = warm_up_time
        self.classes_by_value = sorted(class_mix, key=lambda cls: -class_mix[cls].value_rate)

    def route(self, now: float, routing: Mapping[str, ZoneRouting]) -> dict[str, dict[str, float]]:
        """Return the load by zone and class, after routers and pools have diverted some of it."""
        offered = {name: dict.fromkeys(self.class_mix, 0.0) for name in self.zones}
        for name in self.zones:
            self._route_zone(now, name, routing, offered)
        return offered

    def sample(
        self, now: float, offered: Mapping[str, Mapping[str, float]], diverted: Mapping[str, float]
    ) -> TrafficSample:
        """Return what the offered load earns, and record the offered and the served load of each zone."""
        demand = sum(zone.demand for zone in self.zones.values())
        by_class = {cls: demand * share for cls, (share, _) in self.class_mix.items()}
        evenly = {cls: load / len(self.zones) for cls, load in by_class.items()}
        served = nearest_only = evenly_spread = 0.0
        for name, zone in self.zones.items():
            capacity = self.capacity(now, name)
            success_rate = 1 - zone.failure_rate
            zone.offered = sum(offered[name].values())
            zone.served = min(zone.offered, capacity)
            own = {cls: zone.demand * share for cls, (share, _) in self.class_mix.items()}
            served += self._value(offered[name], capacity) * success_rate
            nearest_only += self._value(own, capacity) * success_rate
            evenly_spread += self._value(evenly, capacity) * success_rate
        return TrafficSample(
            at=now,
            demanded=self._value(by_class, demand),
            served=served,
            best=self._best_value(now, by_class),
            nearest_only=nearest_only,
            evenly_spread=evenly_spread,
            utilization={name: zone.offered / zone.capacity for name, zone in self.zones.items()},
            diverted=diverted,
        )

    def capacity(self, now: float, name: str) -> float:
        """Return how many concurrent runs a zone's live nodes can execute."""
        zone = self.zones[name]
        return zone.alive * NODE_CAPACITY * zone.speed * zone.warm_fraction(now, self.warm_up_time)

    def _route_zone(
        self,
        now: float,
        name: str,
        routing: Mapping[str, ZoneRouting],
        offered: Mapping[str, dict[str, float]],
    ) -> None:
        zone = self.zones[name]
        live_nodes, rejecting_fraction, policy = routing[name]
        loss_noticed = zone.lost_at is not None and now - zone.lost_at >= ROUTING_DELAY
        if not live_nodes:
            if not loss_noticed:
                return  # routers still send to the failed nodes, and the requests are lost
            rejecting_fraction = 1.0
        destinations = {
            other: fraction for other, fraction in policy.destinations.items() if routing[other].live_nodes
        }
        total_weight = sum(destinations.values())
        others = [other for other in self.zones if other != name and routing[other].live_nodes]
        for cls, (share, _) in self.class_mix.items():
            # Pools divert single classes.
            diverted = max(rejecting_fraction, policy.diverted_by_class.get(cls, 0.0))
            offered[name][cls] += zone.demand * share * (1 - diverted)
            for other in others:
                fraction = destinations.get(other, 0.0) / total_weight if total_weight else 1 / len(others)
                offered[other][cls] += zone.demand * share * diverted * fraction

    def _value(self, load: Mapping[str, float], capacity: float) -> float:
        """Return what a capacity earns per second if the classes of the highest value are served first."""
        value = 0.0
        for cls in self.classes_by_value:
            served = min(load[cls], capacity)
            value += served * self.class_mix[cls].value_rate
            capacity -= served
        return value

    def _best_value(self, now: float, load: Mapping[str, float]) -> float:
        """Return what an omniscient planner earns: the most valuable classes run where fewest runs fail."""
        remaining = dict(load)
        value = 0.0
        for name in sorted(self.zones, key=lambda name: self.zones[name].failure_rate):
            capacity = self.capacity(now, name)
            success_rate = 1 - self.zones[name].failure_rate
            for cls in self.classes_by_value:
                served = min(remaining[cls], capacity)
                value += served * success_rate * self.class_mix[cls].value_rate
                capacity -= served
                remaining[cls] -= served
        return value
