"""Nodes on an endpoint list: the format of their entries, and an index for drawing and ranking them.

The index contains the keys of the listed nodes. With it, drawing a random node and checking whether a node is
among the first few by rank do not iterate over the list.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from random import Random

from shelfhaven.membership.list_version import Endpoint
from shelfhaven.membership.poll_schedule import Rank, rank

NODE_KEY_PREFIX = "nodes/"  # of keys "nodes/ZONE/NAME"; the values are "ADDRESS REGION"


@lru_cache(maxsize=1 << 15)
def _watch_rank(key: str) -> Rank:
    return rank(key, "watch")


def address_of(value: str) -> str:
    """Return the address at which peers poll a listed node, the first word of the entry's value."""
    return value.partition(" ")[0]


@dataclass(frozen=True, slots=True)
class ListedNode:
    """A node as described by its entry on the list."""

    name: str
    zone: str
    region: str
    address: str  # where peers poll it


def nodes_of(items: Mapping[str, Endpoint]) -> list[ListedNode]:
    """Return the nodes among the entries of a list."""
    nodes = []
    for key, item in items.items():
        if key.startswith(NODE_KEY_PREFIX):
            zone, _, name = key.removeprefix(NODE_KEY_PREFIX).partition("/")
            address, _, region = item.value.partition(" ")
            nodes.append(ListedNode(name, zone, region, address))
    return nodes


class NodeIndex:
    """Index of the nodes on one list."""

    def __init__(self) -> None:
        self.keys: list[str] = []  # in arbitrary order
        self.positions: dict[str, int] = {}  # index of each key in `keys`
        self.ranks: list[Rank] = []  # sorted

    def __len__(self) -> int:
        return len(self.keys)

    def __contains__(self, key: str) -> bool:
        return key in self.positions

    def add(self, key: str) -> None:
        """Add the key of a listed entry; keys of entries other than nodes are ignored."""
        if key.startswith(NODE_KEY_PREFIX) and key not in self.positions:
            self.positions[key] = len(self.keys)
            self.keys.append(key)
            insort(self.ranks, _watch_rank(key))

    def remove(self, key: str) -> None:
        """Remove the key of an entry that is no longer listed."""
        position = self.positions.pop(key, None)
        if position is None:
            return
        last = self.keys.pop()
        if last != key:
            self.keys[position] = last
            self.positions[last] = position
        del self.ranks[bisect_left(self.ranks, _watch_rank(key))]

    def random_address(
        self, random: Random, items: Mapping[str, Endpoint], rank_limit: int | None = None
    ) -> str | None:
        """Return the address of a random node, drawn from all or from the first `rank_limit` by rank."""
        if not self.keys:
            return None
        if rank_limit:
            key = self.ranks[random.randrange(min(rank_limit, len(self.ranks)))].name
        else:
            key = self.keys[random.randrange(len(self.keys))]
        return address_of(items[key].value)

    def is_among_first(self, key: str, count: int) -> bool:
        """Whether a node is among the first `count` by rank, or would be if it were listed."""
        return len(self.ranks) < count or _watch_rank(key) <= self.ranks[count - 1]
