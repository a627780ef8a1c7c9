"""Checks the invariants of leader election against the requests at the targets and the nodes' logs.

The checker is independent of what it checks: it neither queries a node nor shares code with the elector.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from shelfhaven.lab.fleet_checker import LogLine, find_internal_errors

LEADING_STATES = ("holding", "handing on")  # values of `state` in the event `duty`


@dataclass(frozen=True, slots=True)
class TargetAction:
    """A request that arrived at a target; `applied` tells whether it was executed."""

    at: float
    task: str
    fencing_token: int
    key: str
    applied: bool
    repeated: bool = False  # an earlier request with the same key was executed
    body_changed: bool = False  # and that request had a different body


@dataclass(frozen=True, slots=True)
class Leadership:
    """A period in which a node was running and believed that it led a task."""

    node: str
    task: str
    fencing_token: int
    begin: float
    end: float


def find_effect_breaches(actions: Sequence[TargetAction], idempotent: bool = True) -> list[str]:
    """Describe the breaches at a target.

    A breach is a lower token executed after a higher one, an operation executed twice, or an idempotency key
    used for two different bodies.

    With `idempotent`, a second request with the same key does not count as a second operation.
    """
    found: list[str] = []
    highest: dict[str, int] = {}
    keys: set[str] = set()
    for action in actions:
        if not action.applied:
            continue
        task, token = action.task, action.fencing_token
        if token < highest.get(task, 0):
            found.append(f"{task}: token {token} executed at {action.at:.3f} after token {highest[task]}")
        highest[task] = max(highest.get(task, 0), token)
        if action.key in keys and not (idempotent and action.repeated):
            found.append(f"{task}: {action.key} executed twice")
        if action.body_changed:
            found.append(f"{task}: {action.key} reused with a different body")
        keys.add(action.key)
    return found


def count_rejected(actions: Sequence[TargetAction]) -> int:
    """Return the number of actions that were rejected because of their fencing token."""
    return sum(not action.applied for action in actions)


class Candidacy(NamedTuple):
    """A node, and a task that it is a candidate for."""

    node: str
    task: str


class OpenTerm(NamedTuple):
    """A term of leadership that has begun and not ended."""

    fencing_token: int
    begin: float


@dataclass(slots=True)
class LeadershipReader:
    """Derives from a history which nodes believed that they led a task, and when."""

    leaderships: list[Leadership] = field(default_factory=list)
    open_terms: dict[Candidacy, OpenTerm] = field(default_factory=dict)
    last_at: float = 0.0

    def read(self, line: LogLine) -> None:
        """Process the next line of the history."""
        node, event = str(line["server"]), line["event"]
        at = float(line["at"])
        self.last_at = max(self.last_at, at)
        if event == "duty":
            self._process_state_change(node, line, at)
        elif event == "duty_work_over":
            candidacy = Candidacy(node, line["duty"])
            term = self.open_terms.get(candidacy)
            if term and term.fencing_token == line["fence"]:
                self._end(candidacy, at)
        elif event == "started_by_lab" or (event == "done" and line["what"] in ("killed", "paused")):
            for candidacy in [candidacy for candidacy in self.open_terms if candidacy.node == node]:
                self._end(candidacy, at)

    def finish(self) -> list[Leadership]:
        """Return all leaderships in the order of their beginnings; open terms end with the history."""
        for candidacy in list(self.open_terms):
            self._end(candidacy, self.last_at)
        return sorted(self.leaderships, key=lambda leadership: leadership.begin)

    def _process_state_change(self, node: str, line: LogLine, at: float) -> None:
        candidacy = Candidacy(node, line["duty"])
        self._end(candidacy, at)
        if line["state"] in LEADING_STATES and line.get("acts", True):
            self.open_terms[candidacy] = OpenTerm(int(line["fence"]), at)

    def _end(self, candidacy: Candidacy, at: float) -> None:
        if term := self.open_terms.pop(candidacy, None):
            self.leaderships.append(Leadership(*candidacy, *term, at))


def find_leaderships(history: Iterable[LogLine]) -> list[Leadership]:
    """Return which nodes believed that they led a task, and when.

    The history contains the nodes' logs and the operations on their processes. A leadership also ends when
    the process is killed or suspended; after a suspension, a new one begins only when the node logs it.
    """
    reader = LeadershipReader()
    for line in history:
        reader.read(line)
    return reader.finish()


def find_overlaps(leaderships: Sequence[Leadership], tolerance: float) -> list[str]:
    """Describe the overlaps, longer than `tolerance` seconds, of two nodes that believed they led a task."""
    found = []
    for number, first in enumerate(leaderships):
        for second in leaderships[number + 1 :]:
            if second.task != first.task or second.node == first.node:
                continue
            overlap = min(first.end, second.end) - max(first.begin, second.begin)
            if overlap > tolerance:
                nodes = f"{first.node} ({first.fencing_token}) and {second.node} ({second.fencing_token})"
                found.append(f"{first.task}: {nodes} both led for {overlap:.3f} s")
    return found


def leaderless_gaps(leaderships: Sequence[Leadership], task: str) -> list[float]:
    """Return the gaps between consecutive leaderships of a task, in seconds."""
    periods = sorted(
        (leadership.begin, leadership.end) for leadership in leaderships if leadership.task == task
    )
    gaps: list[float] = []
    led_until: float | None = None
    for begin, end in periods:
        if led_until is not None and begin > led_until:
            gaps.append(begin - led_until)
        led_until = max(led_until or end, end)
    return gaps


def find_reused_tokens(history: Iterable[LogLine]) -> list[str]:
    """Describe the fencing tokens under which two different nodes led a task."""
    owners: dict[tuple[str, int], str] = {}
    found = []
    for line in history:
        if line["event"] == "duty" and line["state"] == "holding":
            task_and_token = line["duty"], int(line["fence"])
            owner = owners.setdefault(task_and_token, line["server"])
            if owner != line["server"]:
                found.append(f"{line['duty']}: token {line['fence']} used by {owner} and {line['server']}")
    return found


def find_breaches(
    history: Sequence[LogLine],
    actions: Sequence[TargetAction],
    tolerance: float,
    idempotent: bool = True,
) -> list[str]:
    """Describe every breach of an invariant.

    `tolerance` is the time in seconds for which two nodes may both believe that they lead a task.
    """
    found = find_internal_errors(history) + find_effect_breaches(actions, idempotent)
    return found + find_overlaps(find_leaderships(history), tolerance) + find_reused_tokens(history)
