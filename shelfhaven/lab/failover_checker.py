"""Checks of the invariants of failover between zones, from the nodes' logs and the runs of the backends.

The checks read recorded history only: they query no node and share no code with what they check.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from shelfhaven.lab.backend_stub import ExecutedRun
from shelfhaven.lab.fleet_checker import LogLine, find_internal_errors

ROUNDING_TOLERANCE = 1e-6  # logged fractions are rounded


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
    """Return policies that divert more than a fraction of all zones, not counting operators' orders."""
    found = []
    for line in history:
        if line["event"] != "zones_followed":
            continue
        diverted = {zone: fraction for zone, fraction in line["away"].items() if zone not in line["by_hand"]}
        if sum(diverted.values()) > max_diverted * zones + ROUNDING_TOLERANCE:
            found.append(f"{line['server']}: diverts {diverted}, more than {max_diverted:g} of {zones} zones")
    return found


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
