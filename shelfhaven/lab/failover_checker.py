"""Checks of the invariants of failover between zones, from the nodes' logs and the runs of the backends.

The checks read recorded history only: they query no node and share no code with what they check.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from shelfhaven.lab.backend_stub import ExecutedRun
from shelfhaven.lab.fleet_checker import LogLine, find_internal_errors

ROUNDING_ERROR = 0.0005  # of the fractions and loads in the log


def epoch_violations(history: Iterable[LogLine]) -> list[str]:
    """Return epochs that did not increase in one incarnation of a node, or that two nodes decided."""
    found: list[str] = []
    followed: dict[str, int] = {}  # the latest epoch by node
    decided_by: dict[int, str] = {}  # by epoch
    for line in history:
        node, event = str(line["server"]), line["event"]
        if event == "started_by_lab":
            followed.pop(node, None)
        elif event == "zones_followed":
            if line["epoch"] <= followed.get(node, 0):
                found.append(f"{node}: follows epoch {line['epoch']} after {followed[node]}")
            followed[node] = line["epoch"]
        elif event == "zone_decided":
            first_decider = decided_by.setdefault(line["epoch"], node)
            if first_decider != node:
                found.append(f"epoch {line['epoch']} was decided by {first_decider} and by {node}")
    return found


def diverted_violations(history: Iterable[LogLine], zones: int, max_diverted: float) -> list[str]:
    """Return policies that divert more of a zone and with that too much of the fleet.

    Too much is more than a fraction of the load of all zones, or all of every zone. A policy that diverts no
    more of any zone than the one before keeps the rule, however the loads of the open zones change meanwhile.
    Operators' orders do not count.

    Of each epoch the earliest line counts, whose loads are nearest to those of the decision: a node that
    follows the policy later has the loads of a renewal.
    """
    by_epoch: dict[int, LogLine] = {}
    for line in sorted(history, key=lambda line: line["at"]):
        if line["event"] == "zones_followed":
            by_epoch.setdefault(line["epoch"], line)
    found = []
    diverted_before: dict[str, float] = {}
    for epoch in sorted(by_epoch):
        line = by_epoch[epoch]
        diverted = {zone: fraction for zone, fraction in line["away"].items() if zone not in line["by_hand"]}
        if any(fraction > diverted_before.get(zone, 0.0) for zone, fraction in diverted.items()):
            if _exceeds(diverted, line["loads"], zones, max_diverted):
                found.append(
                    f"epoch {epoch}: diverts {diverted}, more than {max_diverted:g} of {line['loads']}"
                )
            if len(diverted) == zones and min(diverted.values()) >= 1.0:
                found.append(f"epoch {epoch}: closes all {zones} zones")
        diverted_before = line["away"]
    return found


def _exceeds(
    diverted: Mapping[str, float], loads: Mapping[str, float], zones: int, max_diverted: float
) -> bool:
    """Return whether diverted fractions are more than a fraction of all load.

    Zones count as equal if one that is diverted has no known load.
    """
    if len(loads) < zones or any(loads[zone] <= 0 for zone in diverted):
        return sum(diverted.values()) > max_diverted * zones + ROUNDING_ERROR * zones
    total = sum(loads.values())
    diverted_load = sum(fraction * loads[zone] for zone, fraction in diverted.items())
    return diverted_load > max_diverted * total + ROUNDING_ERROR * (total + 2 * zones)


def duplicate_runs(ran: Sequence[ExecutedRun]) -> list[str]:
    """Return idempotency keys that ran more than once, at any backend."""
    found = []
    first_runs: dict[str, ExecutedRun] = {}  # by key
    for run in ran:
        if not run.key:
            continue
        original = first_runs.setdefault(run.key, run)
        if original is not run:
            interval = run.at - original.at
            found.append(f"{run.key}: ran at {original.backend} and {interval:.2f} s later at {run.backend}")
    return found


def find_violations(
    history: Sequence[LogLine], zones: int, max_diverted: float, ran: Sequence[ExecutedRun]
) -> list[str]:
    """Return a description of each violation."""
    return [
        *find_internal_errors(history),
        *epoch_violations(history),
        *diverted_violations(history, zones, max_diverted),
        *duplicate_runs(ran),
    ]
