"""In-memory table of the keys that earlier incarnations of this node have run or may have run.

Holds a digest prefix and the expiry time of each key, and the period during which keys that are *not* in the
table may have run as well. It does no I/O and reads no clock.

Each key takes 16 bytes: an 8-byte prefix of its digest and its expiry time. If two digests share a prefix,
the later key is wrongly treated as a duplicate; with n keys this happens about once in 2^64 / n^2 starts.

While keys may be missing from the table, every key is *uncertain*: any attempt is treated as a duplicate of
a run with an unknown outcome. This is the case until all keys have been read, and after a start from a
damaged file or an older snapshot for the longest time that a key can count. Writes that `sync "every"` loses
in a crash are not covered; the operator accepts this risk by choosing that mode.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left

from shelfhaven.server.messages import PreviousKey

PREFIX_BYTES = 8  # length of a digest prefix


class PreviousIncarnation:
    """Digest prefixes in ascending order, with expiry times on the clock of the current boot."""

    def __init__(self) -> None:
        self.prefixes = array("Q")
        self.expiries = array("d")
        self.latest_expiry = -math.inf
        self.uncertain_until = math.inf  # set by `mark_loaded`

    def add(self, digest: bytes, expires_at: float) -> None:
        """Append a key; digests must be added in ascending order."""
        self.prefixes.append(int.from_bytes(digest[:PREFIX_BYTES], "big"))
        self.expiries.append(expires_at)
        self.latest_expiry = max(self.latest_expiry, expires_at)

    def mark_loaded(self, uncertain_until: float) -> None:
        """Note that all keys have been read; keys not among them stay uncertain until `uncertain_until`."""
        self.uncertain_until = uncertain_until

    def find(self, now: float, digest: bytes, key_ttl: float) -> PreviousKey | None:
        """Return the key if it has run, or may have, and has not expired.

        A key that is only uncertain would have run before the start, so it counts for at most its TTL.
        """
        remaining = self.remaining(now, digest)
        if remaining > 0:
            return PreviousKey(remaining, is_recorded=True)
        uncertain_for = min(key_ttl, self.uncertain_for(now))
        return PreviousKey(uncertain_for, is_recorded=False) if uncertain_for > 0 else None

    def remaining(self, now: float, digest: bytes) -> float:
        """Return the seconds until a recorded key expires, or 0 if it is expired or not recorded."""
        prefix = int.from_bytes(digest[:PREFIX_BYTES], "big")
        index = bisect_left(self.prefixes, prefix)
        if index < len(self.prefixes) and self.prefixes[index] == prefix:
            return max(0.0, self.expiries[index] - now)
        return 0.0

    def uncertain_for(self, now: float) -> float:
        """Return the seconds for which every key stays uncertain."""
        return max(0.0, self.uncertain_until - now)

    def forget_expired(self, now: float) -> None:
        """Release the memory of the table once all keys in it have expired."""
        if self.prefixes and not self.uncertain_for(now) and self.latest_expiry <= now:
            self.prefixes = array("Q")
            self.expiries = array("d")
