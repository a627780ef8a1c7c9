"""Ranks the candidates of each singleton task; nodes that have the same list get the same ranking.

Safety never depends on the ranking: if nodes have different lists, they only make needless attempts to
acquire tasks.

Rendezvous hashing (Thaler and Ravishankar, 1998) orders the nodes for each task, so that the loss of a node
moves only the tasks of this node. Bounded loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
Bounded Loads", 2016) limit each node to `MAX_LOAD_FACTOR` times its even share of the tasks; a task beyond
this limit goes to the next node in its order.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from shelfhaven.routing.hash_spread import hash_fraction

MAX_LOAD_FACTOR = 1.25  # upper bound of a node's load, relative to its even share of the tasks
MAX_CANDIDATES = 5  # per task; bounds the nodes that try to acquire it at the same time


class CandidateNode(NamedTuple):
    """A node that may lead the tasks of its zone and those without a zone."""

    name: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class CandidateRanking:
    """The candidates of a task, the preferred leader first."""

    order: tuple[str, ...]

    def rank(self, node: str) -> int | None:
        """Return the rank of a node, counted from 0, or None if it is not a candidate."""
        return self.order.index(node) if node in self.order else None


NO_CANDIDATES = CandidateRanking(())


def _order_candidates(task: str, nodes: Sequence[str]) -> list[str]:
    return heapq.nlargest(MAX_CANDIDATES, nodes, key=lambda node: (hash_fraction(node, f"duty/{task}"), node))


def rank_candidates(tasks: Mapping[str, str], nodes: Iterable[CandidateNode]) -> dict[str, CandidateRanking]:
    """Rank the candidates of all tasks; `tasks` maps each task to its zone ("" for any zone).

    Tasks are assigned in the order of their hashes, so that an additional task moves only a few others.
    """
    nodes_by_zone: dict[str, list[str]] = {"": []}
    for name, zone in sorted(nodes):
        nodes_by_zone[""].append(name)
        if zone:
            nodes_by_zone.setdefault(zone, []).append(name)
    loads_by_zone: dict[str, Counter[str]] = {}
    tasks_by_zone = Counter(tasks.values())
    rankings: dict[str, CandidateRanking] = {}
    for task in sorted(tasks, key=lambda task: (hash_fraction(task, "duties"), task)):
        zone = tasks[task]
        eligible = nodes_by_zone.get(zone, [])
        if not eligible:
            rankings[task] = NO_CANDIDATES
            continue
        max_load = math.ceil(MAX_LOAD_FACTOR * tasks_by_zone[zone] / len(eligible))
        loads = loads_by_zone.setdefault(zone, Counter())
        order = _order_candidates(task, eligible)
        first = next((node for node in order if loads[node] < max_load), order[0])
        loads[first] += 1
        rankings[task] = CandidateRanking((first, *(node for node in order if node != first)))
    return rankings
