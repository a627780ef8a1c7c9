"""Invariants of elections, checked from what targets executed and from the nodes' logs.

Owns the comparison alone. It must never ask a node, nor share code with what it checks.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from shelfhaven.lab.fleet_checker import LogLine, find_internal_errors

LEADING_STATES = ("holding", "handing on")  # in the words of the log


@dataclass(frozen=True, slots=True)
class TargetAction:
    """One request at a target; `applied`: it took effect."""

    at: float
    task: str
    fencing_token: int
    key: str
    applied: bool
    repeated: bool = False  # an earlier request with its key was executed
    body_changed: bool = False  # that request had another body


@dataclass(frozen=True, slots=True)
class Leadership:
    """A time in which a node believed that it led a task, and was running."""

    node: str
    task: str
    fencing_token: int
    begin: float
    end: float


def find_effect_breaches(actions: Sequence[TargetAction], idempotent: bool = True) -> list[str]:
    """Return breaches at a target, in words: an effect of a smaller token after a greater one, or an
    operation executed twice.

    `idempotent`: a second request with the same key is no second operation.
    """
    found: list[str] = []
    highest: dict[str, int] = {}
    keys: set[str] = set()
    for action in actions:
        if not action.applied:
            continue
        task, token = action.task, action.fencing_token
        if token < highest.get(task, 0):
            found.append(f"{task}: an effect of {token} at {action.at:.3f} after {highest[task]}")
        highest[task] = max(highest.get(task, 0), token)
        if action.key in keys and not (idempotent and action.repeated):
            found.append(f"{task}: {action.key} twice")
        if action.body_changed:
            found.append(f"{task}: {action.key} was another one before")
        keys.add(action.key)
    return found


def count_rejected(actions: Sequence[TargetAction]) -> int:
    """Return how many actions of replaced leaders were rejected by their token."""
    return sum(not action.applied for action in actions)


class Candidacy(NamedTuple):
    """A node and a task that it may lead."""

    node: str
    task: str


class OpenTerm(NamedTuple):
    """A term of leadership that has begun."""

    fencing_token: int
    begin: float


@dataclass(slots=True)
class LeadershipReader:
    """Reads from a history which nodes believed that they led, and when."""

    found: list[Leadership] = field(default_factory=list)
    open_terms: dict[Candidacy, OpenTerm] = field(default_factory=dict)
    last_at: float = 0.0

    def read(self, line: LogLine) -> None:
        """Take the next line."""
        node, event = str(line["server"]), line["event"]
        at = float(line["at"])
        self.last_at = max(self.last_at, at)
        if event == "duty":
            self._state_changed(node, line, at)
        elif event == "duty_work_over":
            candidacy = Candidacy(node, line["duty"])
            term = self.open_terms.get(candidacy)
            if term and term.fencing_token == line["fence"]:
                self._end(candidacy, at)
        elif event == "started_by_lab" or (event == "done" and line["what"] in ("killed", "paused")):
            for candidacy in [candidacy for candidacy in self.open_terms if candidacy.node == node]:
                self._end(candidacy, at)

    def finish(self) -> list[Leadership]:
        """Return all leaderships by their beginning; open terms last until the end of the history."""
        for candidacy in list(self.open_terms):
            self._end(candidacy, self.last_at)
        return sorted(self.found, key=lambda one: one.begin)

    def _state_changed(self, node: str, line: LogLine, at: float) -> None:
        candidacy = Candidacy(node, line["duty"])
        self._end(candidacy, at)
        if line["state"] in LEADING_STATES and line.get("acts", True):
            self.open_terms[candidacy] = OpenTerm(int(line["fence"]), at)

    def _end(self, candidacy: Candidacy, at: float) -> None:
        if term := self.open_terms.pop(candidacy, None):
            self.found.append(Leadership(*candidacy, *term, at))


def find_leaderships(history: Iterable[LogLine]) -> list[Leadership]:
    """Return which nodes believed that they led, and when, from their logs and what was done to them.

    A leadership ends when the process is killed or suspended; after a suspension it begins anew when the log
    says so.
    """
    reader = LeadershipReader()
    for line in history:
        reader.read(line)
    return reader.finish()


def find_overlaps(leaderships: Sequence[Leadership], tolerance: float) -> list[str]:
    """Return times in which two nodes believed that they led a task, longer than the tolerance in seconds."""
    found = []
    for number, one in enumerate(leaderships):
        for other in leaderships[number + 1 :]:
            if other.task != one.task or other.node == one.node:
                continue
            overlap = min(one.end, other.end) - max(one.begin, other.begin)
            if overlap > tolerance:
                two = f"{one.node} ({one.fencing_token}) and {other.node} ({other.fencing_token})"
                found.append(f"{one.task}: {two} both for {overlap:.3f} s")
    return found


def leaderless_gaps(leaderships: Sequence[Leadership], task: str) -> list[float]:
    """Return the seconds without a leader between one and the next."""
    times = sorted((one.begin, one.end) for one in leaderships if one.task == task)
    found: list[float] = []
    led_until: float | None = None
    for begin, end in times:
        if led_until is not None and begin > led_until:
            found.append(begin - led_until)
        led_until = max(led_until or end, end)
    return found


def find_reused_tokens(history: Iterable[LogLine]) -> list[str]:
    """Return fencing tokens under which two nodes led a task."""
    owners: dict[tuple[str, int], str] = {}
    found = []
    for line in history:
        if line["event"] == "duty" and line["state"] == "holding":
            term = line["duty"], int(line["fence"])
            owner = owners.setdefault(term, line["server"])
            if owner != line["server"]:
                found.append(f"{line['duty']}: number {line['fence']} for {owner} and {line['server']}")
    return found


def find_breaches(
    history: Sequence[LogLine],
    actions: Sequence[TargetAction],
    tolerance: float,
    idempotent: bool = True,
) -> list[str]:
    """Return every breach, in words; `tolerance`: seconds for which two nodes may believe that they lead."""
    found = find_internal_errors(history) + find_effect_breaches(actions, idempotent)
    return found + find_overlaps(find_leaderships(history), tolerance) + find_reused_tokens(history)
