"""Selects which classes of a zone to divert if the other zones cannot take all of its traffic.

Pure arithmetic on fractions by class; `traffic_moves.py` and `recovery_ramp.py` decide what is diverted.

The other zones are short of concurrent runs, so a class is ranked by its value rate: the priority weight that
one run earns per second. Classes are selected in descending order of value rate, the last one in part. This
is the greedy solution of the fractional knapsack problem, which is optimal (G. Dantzig, "Discrete-Variable
Extremum Problems", 1957).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from shelfhaven.failover.load_digest import ClassLoad


def load_shares(by_class: Mapping[str, ClassLoad]) -> dict[str, float]:
    """Return each class's fraction of a zone's load; equal fractions if the zone has no load."""
    total = sum(class_load.load for class_load in by_class.values())
    if total <= 0:
        return {cls: 1 / len(by_class) for cls in by_class}
    return {cls: class_load.load / total for cls, class_load in by_class.items()}


def fit_by_value(
    diverted_fraction: float,
    candidates: Collection[str],
    shares: Mapping[str, float],
    value_rates: Mapping[str, float],
) -> dict[str, float]:
    """Return how much of each candidate class to divert so that `diverted_fraction` of the load is diverted.

    `shares` are the fractions of the zone's load by class. Candidates without load are diverted entirely:
    they need no capacity now, and may earn value later.
    """
    fractions: dict[str, float] = {}
    remaining = diverted_fraction
    for cls in sorted(candidates, key=lambda cls: (-value_rates.get(cls, 0.0), cls)):
        share = shares.get(cls, 0.0)
        fractions[cls] = round(min(1.0, max(0.0, remaining) / share), 4) if share > 0 else 1.0
        remaining -= share
    return {cls: fraction for cls, fraction in fractions.items() if fraction > 0}


def total_fraction(fractions: Mapping[str, float], shares: Mapping[str, float]) -> float:
    """Return the fraction of the whole load that the given fractions by class amount to."""
    return min(1.0, sum(fraction * shares.get(cls, 0.0) for cls, fraction in fractions.items()))
