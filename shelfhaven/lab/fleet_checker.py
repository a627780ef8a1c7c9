"""Checks a fleet's history and the load of its list service against limits from the operator configuration.

The checker shares no code with the nodes and does not query them; it uses only their logs and the list
service's request counts.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeAlias

RATE_TOLERANCE = (
    1.25  # factor on the configured rate: a window of one second need not match the rate limiter's
)
MIN_REMOVABLE = 1  # number of entries whose removal is always allowed
# Log events that report internal errors.
ERROR_EVENTS = ("unhandled", "actor_failed", "message_failed", "action_failed", "module_failed")

LogLine: TypeAlias = Mapping[str, Any]  # a decoded JSON line


@dataclass(frozen=True, slots=True)
class StatedLimits:
    """The limits from the operator configuration."""

    max_requests_per_s: float  # requests of the whole fleet to the list service per second
    max_shrink_fraction: float  # largest fraction of a list removed within `retention_time`
    retention_time: float  # seconds for which entries are retained whose removal would exceed that


class EntryCount(NamedTuple):
    """A number of entries and the Unix time at which it was logged."""

    at: float
    entries: int


@dataclass(slots=True)
class Incarnation:
    """State of the endpoint list of one incarnation of a node, from its log.

    Attributes:
        era: the era of the last logged list.
        revision: the revision of the last logged list.
        store: the id of the store of the last logged list; empty if none was logged.
        sizes: sizes of the list in this era within `retention_time`.
        retained: numbers of entries retained after their removal.
    """

    era: int = 0
    revision: int = 0
    store: str = ""
    sizes: list[EntryCount] = field(default_factory=list)
    retained: list[EntryCount] = field(default_factory=list)


def find_internal_errors(history: Iterable[LogLine]) -> list[str]:
    """Return a description of each internal error that a node logged."""
    return [
        f"{line['server']}: {line['event']}: {line.get('error') or line.get('message')}"
        for line in history
        if line["event"] in ERROR_EVENTS
    ]


def find_violations(
    history: Iterable[LogLine], requests_by_second: Mapping[int, int], limits: StatedLimits
) -> list[str]:
    """Return a description of every violation.

    Args:
        history: the log lines of all nodes, ordered by time.
        requests_by_second: requests that arrived at the list service, by Unix time in whole seconds.
        limits: the configured limits.
    """
    lines = list(history)
    violations = find_internal_errors(lines)
    incarnations: dict[str, Incarnation] = {}
    for line in lines:
        node = str(line["server"])
        if line["event"] == "started_by_lab":
            incarnations[node] = Incarnation()  # starts with its cached list or none
        elif line["event"] == "list_changed":
            violations += _check_list_change(node, line, incarnations.setdefault(node, Incarnation()), limits)
    violations += [
        f"{count} requests to the list service in second {second}, limit {limits.max_requests_per_s:g}/s"
        for second, count in requests_by_second.items()
        if count > RATE_TOLERANCE * limits.max_requests_per_s
    ]
    return violations


def _check_list_change(node: str, line: LogLine, incarnation: Incarnation, limits: StatedLimits) -> list[str]:
    """Check a change of a node's list against the previous changes in this incarnation, and record it."""
    violations = []
    at = float(line["at"])
    era = line["era"]
    revision = line["revision"]
    entries = line["entries"]
    if (era, revision) < (incarnation.era, incarnation.revision):
        newer = f"{incarnation.era}/{incarnation.revision}"
        violations.append(f"{node}: list {era}/{revision} at {at:.2f} after a newer one, {newer}")
    if era != incarnation.era or not incarnation.store:
        incarnation.sizes.clear()  # the list service had confirmed the new era for `retention_time`
    incarnation.sizes = [size for size in incarnation.sizes if at - size.at <= limits.retention_time]
    max_size = max((size.entries for size in incarnation.sizes), default=entries)
    # Entries that were retained for `retention_time` may be removed once the list service has confirmed their
    # removal to any node.
    confirmed = (size for size in reversed(incarnation.retained) if at - size.at >= limits.retention_time)
    released = next((size.entries for size in confirmed), 0)
    incarnation.retained.append(EntryCount(at, int(line.get("kept", 0))))
    if max_size - entries > max(MIN_REMOVABLE, limits.max_shrink_fraction * max_size) + released:
        message = f"shrank by {max_size - entries} to {entries} within {limits.retention_time:g} s"
        violations.append(f"{node}: the list {message}")
    incarnation.sizes.append(EntryCount(at, entries))
    incarnation.era = era
    incarnation.revision = revision
    incarnation.store = line["store"]
    return violations
