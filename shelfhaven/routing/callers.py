"""Numbers for callers that tell a name: bounded, however many names there are.

Owns the names seen lately. It must never do I/O, read a clock or forget a caller that still asks while it has
room for it; when it has none, newcomers share one number for each place that they come from, so that a peer
that invents names gains nothing and pushes nobody out.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

NUMBER_BYTES = 6  # of a digest: exact in any protocol that has numbers


def number_of(name: str) -> int:
    """The number of a name, the same on every node and after every start."""
    digest = hashlib.blake2b(name.encode("utf-8", "surrogateescape"), digest_size=NUMBER_BYTES)
    return int.from_bytes(digest.digest(), "big")


class Callers:
    """Names of callers, least lately used first."""

    def __init__(self, most: int, idle: float) -> None:
        self.most, self.idle = most, idle  # names; seconds after which one makes room for another
        self.seen: OrderedDict[str, float] = OrderedDict()

    def number(self, now: float, name: str, peer: str) -> int:
        """The number of a caller that says its name, and comes from that peer."""
        if not name or name == peer:
            return number_of(f"peer {peer}")
        if name not in self.seen and len(self.seen) >= self.most:
            oldest, used = next(iter(self.seen.items()))
            if now - used < self.idle:
                return number_of(f"peer {peer}")
            del self.seen[oldest]
        self.seen[name] = now
        self.seen.move_to_end(name)
        return number_of(f"name {name}")
