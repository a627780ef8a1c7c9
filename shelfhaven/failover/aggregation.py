"""Aggregates the load digests that one node holds into a summary of each zone.

A digest may be wrong, so no single one determines its zone's summary: rates are medians over the zone's
nodes, and each node's capacity and load are capped.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import fmean, median
from typing import TypeAlias

from shelfhaven.failover.load_digest import ClassLoad, LoadDigest

MAX_RATIO_TO_MEDIAN = 4.0  # cap on a node's capacity, as a multiple of the zone's median; also bounds loads
MIN_OBSERVER_HEALTH = 0.3  # the reachability reported by less healthy nodes is ignored

Observations: TypeAlias = dict[str, dict[str, list[float]]]  # by observed zone, then by observing zone


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """The state of one zone.

    `capacity` and `load` are totals over its live nodes, in concurrent runs. `reachability` maps each
    observing zone to the fraction of its pings that this zone answers.
    """

    zone: str
    listed_nodes: int = 0
    known_nodes: int = 0  # nodes with a fresh digest
    capacity: float = 0.0
    load: float = 0.0
    rejection_rate: float = 0.0
    failure_rate: float = 0.0
    warm_fraction: float = 1.0
    reachability: Mapping[str, float] = field(default_factory=dict)
    by_class: Mapping[str, ClassLoad] = field(default_factory=dict)  # `load` is the total over its live nodes


def summarize_zones(
    digests: Iterable[LoadDigest], listed_counts: Mapping[str, int], failed_counts: Mapping[str, int]
) -> dict[str, ZoneSummary]:
    """Return a summary of each zone that is listed or has a digest.

    `listed_counts` and `failed_counts` give numbers of nodes by zone. The digests cover only a sample of a
    zone's nodes, so its capacity and load are the means over the sample times the number of live nodes.
    """
    digests_by_zone: dict[str, list[LoadDigest]] = {zone: [] for zone in listed_counts}
    for digest in digests:
        digests_by_zone.setdefault(digest.zone, []).append(digest)
    observations = _collect_observations(digests_by_zone)
    return {
        zone: _summarize_zone(
            zone,
            zone_digests,
            listed_counts.get(zone, 0),
            failed_counts.get(zone, 0),
            observations.get(zone, {}),
        )
        for zone, zone_digests in digests_by_zone.items()
    }


def _collect_observations(digests_by_zone: Mapping[str, list[LoadDigest]]) -> Observations:
    """Collect the reachability of zones as reported by healthy nodes."""
    observations: Observations = {}
    for zone, digests in digests_by_zone.items():
        for digest in digests:
            if digest.health >= MIN_OBSERVER_HEALTH:
                for observed, fraction in digest.reachability.items():
                    observations.setdefault(observed, {}).setdefault(zone, []).append(fraction)
    return observations


def _summarize_zone(
    zone: str,
    digests: list[LoadDigest],
    listed_nodes: int,
    failed_nodes: int,
    fractions_by_observer: Mapping[str, list[float]],
) -> ZoneSummary:
    reachability = {
        observer: round(median(fractions), 3)
        for observer, fractions in fractions_by_observer.items()
        if observer != zone
    }
    if not digests:
        return ZoneSummary(zone, listed_nodes, reachability=reachability)
    live_nodes = max(len(digests), listed_nodes - failed_nodes)
    max_capacity = MAX_RATIO_TO_MEDIAN * median(digest.capacity for digest in digests)
    capacities = [min(digest.capacity, max_capacity) for digest in digests]
    max_load = MAX_RATIO_TO_MEDIAN * max(max_capacity, 1.0)
    loads = [min(digest.load, max_load) for digest in digests]
    return ZoneSummary(
        zone=zone,
        listed_nodes=listed_nodes,
        known_nodes=len(digests),
        capacity=live_nodes * fmean(capacities),
        load=live_nodes * fmean(loads),
        rejection_rate=median(digest.rejection_rate for digest in digests),
        failure_rate=median(digest.failure_rate for digest in digests),
        warm_fraction=_mean_warm_fraction(digests, capacities),
        reachability=reachability,
        by_class=_summarize_classes(digests, live_nodes),
    )


def _mean_warm_fraction(digests: list[LoadDigest], capacities: list[float]) -> float:
    """Return the mean warm fraction of the nodes, weighted by capacity."""
    total = sum(capacities)
    if not total:
        return 0.0
    weighted = sum(
        capacity * digest.warm_fraction for capacity, digest in zip(capacities, digests, strict=True)
    )
    return weighted / total


def _summarize_classes(digests: list[LoadDigest], live_nodes: int) -> dict[str, ClassLoad]:
    """Summarize the classes that a majority of the nodes report.

    A class that only a few nodes report is not representative of the zone.
    """
    classes = sorted({cls for digest in digests for cls in digest.by_class})
    by_class = {}
    for cls in classes:
        class_loads = [digest.by_class[cls] for digest in digests if cls in digest.by_class]
        if 2 * len(class_loads) > len(digests):
            by_class[cls] = _summarize_class(class_loads, len(digests), live_nodes)
    return by_class


def _summarize_class(class_loads: list[ClassLoad], known_nodes: int, live_nodes: int) -> ClassLoad:
    """Summarize one class in a zone; nodes that do not report the class have no load of it."""
    max_load = MAX_RATIO_TO_MEDIAN * max(1.0, median(class_load.load for class_load in class_loads))
    loads = [min(class_load.load, max_load) for class_load in class_loads]
    value_rates = [class_load.value_rate for class_load in class_loads if class_load.value_rate > 0]
    return ClassLoad(
        failure_rate=median(class_load.failure_rate for class_load in class_loads),
        load=live_nodes * sum(loads) / known_nodes,
        value_rate=median(value_rates) if value_rates else 0.0,
    )
