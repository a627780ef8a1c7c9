"""Which nodes are candidates for which task, in order: the same answer at every node with the same list.

Owns the order of nodes for a task and the bound on how many tasks one node gets. Safety never depends on it:
nodes with different lists only try to acquire tasks that they need not.

Rendezvous hashing (Thaler and Ravishankar, 1998): a node's loss moves its own tasks and no others. Bounded
loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016): no node gets more
than `MAX_LOAD_FACTOR` times its even share; the surplus goes to the next node in the task's order.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from shelfhaven.routing.hash_spread import hash_fraction

MAX_LOAD_FACTOR = 1.25  # times the even share that one node gets at most
CANDIDATES = 5  # of a task: more never try to acquire it at a time


class CandidateNode(NamedTuple):
    """A node that may lead tasks of its zone, and tasks of no zone."""

    name: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class CandidateRanking:
    """The candidates for a task, in order; the first is to be its leader."""

    order: tuple[str, ...]

    def rank(self, node: str) -> int | None:
        """Return a node's rank from 0, None if it is no candidate."""
        return self.order.index(node) if node in self.order else None


NO_CANDIDATES = CandidateRanking(())


def _candidates(task: str, nodes: Sequence[str]) -> list[str]:
    return heapq.nlargest(CANDIDATES, nodes, key=lambda node: (hash_fraction(node, f"duty/{task}"), node))


def rank_candidates(tasks: Mapping[str, str], nodes: Iterable[CandidateNode]) -> dict[str, CandidateRanking]:
    """Rank the candidates of all tasks; `tasks` gives each its zone ("" for any).

    Tasks are assigned in an order of their own hash, so that a new one moves few others.
    """
    nodes_by_zone: dict[str, list[str]] = {"": []}
    for name, zone in sorted(nodes):
        nodes_by_zone[""].append(name)
        if zone:
            nodes_by_zone.setdefault(zone, []).append(name)
    loads: dict[str, Counter[str]] = {}
    tasks_by_zone = Counter(tasks.values())
    rankings: dict[str, CandidateRanking] = {}
    for task in sorted(tasks, key=lambda task: (hash_fraction(task, "duties"), task)):
        zone = tasks[task]
        eligible = nodes_by_zone.get(zone, [])
        if not eligible:
            rankings[task] = NO_CANDIDATES
            continue
        max_load = math.ceil(MAX_LOAD_FACTOR * tasks_by_zone[zone] / len(eligible))
        load = loads.setdefault(zone, Counter())
        order = _candidates(task, eligible)
        first = next((node for node in order if load[node] < max_load), order[0])
        load[first] += 1
        rankings[task] = CandidateRanking((first, *(node for node in order if node != first)))
    return rankings
