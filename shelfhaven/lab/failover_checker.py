"""What failover between zones must keep to, checked from the nodes' logs and from what the backends ran.

Compares records only: it asks no node, and shares no code with what it judges.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from shelfhaven.lab.backend_stub import ExecutedRun
from shelfhaven.lab.fleet_checker import LogLine, find_internal_errors

ROUNDING = 1e-6  # of fractions in the log


def epoch_violations(history: Iterable[LogLine]) -> list[str]:
    """Nodes that follow an older policy after a newer one in one incarnation; epochs decided twice."""
    found: list[str] = []
    followed: dict[str, int] = {}
    decided: dict[int, str] = {}
    for line in history:
        node, event = str(line["server"]), line["event"]
        if event == "started_by_lab":
            followed.pop(node, None)
        elif event == "zones_followed":
            if line["epoch"] <= followed.get(node, 0):
                found.append(f"{node}: follows epoch {line['epoch']} after {followed[node]}")
            followed[node] = line["epoch"]
        elif event == "zone_decided":
            other = decided.setdefault(line["epoch"], node)
            if other != node:
                found.append(f"epoch {line['epoch']} was decided by {other} and by {node}")
    return found


def diverted_violations(history: Iterable[LogLine], zones: int, max_diverted: float) -> list[str]:
    """More zones diverted than is stated, as fractions of all, beside what operators diverted."""
    found = []
    for line in history:
        if line["event"] != "zones_followed":
            continue
        diverted = {zone: fraction for zone, fraction in line["away"].items() if zone not in line["by_hand"]}
        if sum(diverted.values()) > max_diverted * zones + ROUNDING:
            found.append(f"{line['server']}: away {diverted} is more than {max_diverted:g} of {zones} zones")
    return found


def duplicate_runs(ran: Sequence[ExecutedRun]) -> list[str]:
    """Idempotency keys that ran twice, wherever."""
    found = []
    first: dict[str, ExecutedRun] = {}
    for run in ran:
        if not run.key:
            continue
        original = first.setdefault(run.key, run)
        if original is not run:
            later = run.at - original.at
            found.append(f"{run.key}: ran at {original.backend} and {later:.2f} s later at {run.backend}")
    return found


def find_violations(
    history: Sequence[LogLine], zones: int, max_diverted: float, ran: Sequence[ExecutedRun]
) -> list[str]:
    """Every violation, in words."""
    return [
        *find_internal_errors(history),
        *epoch_violations(history),
        *diverted_violations(history, zones, max_diverted),
        *duplicate_runs(ran),
    ]
