"""Assigns numbers to callers, with a limit on the number of names that are remembered.

The core identifies callers by number. Once the limit is reached and every remembered caller was active
recently, each new name gets the number of its peer address. A peer that makes up names therefore gains
nothing and evicts no other caller.

This module does no I/O and reads no clock; callers pass the current time.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

NUMBER_BYTES = 6  # 48 bits, which a protocol that encodes numbers as doubles represents exactly


def hash_name(name: str) -> int:
    """Return a hash of a name that is the same on every node and after every restart."""
    digest = hashlib.blake2b(name.encode("utf-8", "surrogateescape"), digest_size=NUMBER_BYTES)
    return int.from_bytes(digest.digest(), "big")


class CallerNumbers:
    """Remembers the callers whose names have their own number.

    Attributes:
        max_names: maximum number of names that are remembered.
        idle_time: seconds without activity after which a name may be evicted.
        last_active: time of each name's last activity, least recently active first.
    """

    def __init__(self, max_names: int, idle_time: float) -> None:
        self.max_names = max_names
        self.idle_time = idle_time
        self.last_active: OrderedDict[str, float] = OrderedDict()

    def number_for(self, now: float, name: str, peer: str) -> int:
        """Return the number of a caller, given its name (which may be empty) and its peer address."""
        if not name or name == peer:
            return hash_name(f"peer {peer}")
        if name not in self.last_active and len(self.last_active) >= self.max_names:
            oldest_name, last_active = next(iter(self.last_active.items()))
            if now - last_active < self.idle_time:
                return hash_name(f"peer {peer}")
            del self.last_active[oldest_name]
        self.last_active[name] = now
        self.last_active.move_to_end(name)
        return hash_name(f"name {name}")
