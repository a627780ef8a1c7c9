"""In-memory table of the keys that earlier incarnations of this node have run or may have run.

Holds a digest prefix and the expiry time of each key, and the period during which keys that are *not* in the
table may have run as well. It does no I/O and reads no clock.

Each key takes 24 bytes: an 8-byte prefix of its digest, the digest of its location and its expiry time. If
the digests of two keys share a prefix, the later key is wrongly treated as a duplicate; with n keys this
happens about once in 2^64 / n^2 starts.

While keys may be missing from the table, every key is *uncertain*: any attempt is treated as a duplicate of
a run with an unknown outcome. This is the case until all keys have been read, and after a start from a
damaged file or an older snapshot for the longest time that a key can count. Writes that `sync "every"` loses
in a crash are not covered; the operator accepts this risk by choosing that mode.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from typing import Literal

from shelfhaven.server.key_digests import NAME_DIGEST_BYTES, UNKNOWN_LOCATION
from shelfhaven.server.messages import PreviousKey

PREFIX_BYTES = 8  # length of a digest prefix
BYTE_ORDER: Literal["big"] = "big"
UNKNOWN_LOCATION_NUMBER = int.from_bytes(UNKNOWN_LOCATION, BYTE_ORDER)
# in place of the location of a record whose digest does not keep it apart
LEGACY_FORMAT = 1


class PreviousIncarnation:
    """Digest prefixes in ascending order, with expiry times on the clock of the current boot."""

    def __init__(self) -> None:
        self.prefixes = array("Q")
        self.locations = array("Q")
        self.expiries = array("d")
        self.latest_expiry = -math.inf
        self.uncertain_until = math.inf  # set by `mark_loaded`

    def add(self, digest: bytes, expires_at: float) -> None:
        """Append a key; digests must be added in ascending order."""
        self.prefixes.append(_prefix(digest))
        self.locations.append(_location(digest))
        self.expiries.append(expires_at)
        self.latest_expiry = max(self.latest_expiry, expires_at)

    def mark_loaded(self, uncertain_until: float) -> None:
        """Note that all keys have been read; keys not among them stay uncertain until `uncertain_until`."""
        self.uncertain_until = uncertain_until

    def find(
        self, now: float, digest: bytes, legacy_digests: Sequence[bytes], key_ttl: float
    ) -> list[PreviousKey]:
        """Return the unexpired keys that have run, or may have, and may be of the request with this digest.

        `legacy_digests` are the digests of the request in records of earlier versions.  There are several
        keys if they differ in a location that the request does not convey.  A key that is only uncertain
        would have run before the start, so it counts for at most its TTL.
        """
        digests = (digest, *legacy_digests)
        found = {index: wanted for wanted in digests for index in self._matches(wanted)}
        recorded = [
            PreviousKey(self.expiries[index] - now, self._digest_at(index, wanted))
            for index, wanted in found.items()
            if self.expiries[index] > now
        ]
        exact = [previous for previous in recorded if previous.digest in digests]
        if recorded:
            return exact or recorded
        uncertain_for = min(key_ttl, self.uncertain_for(now))
        return [PreviousKey(uncertain_for, b"")] if uncertain_for > 0 else []

    def _matches(self, digest: bytes) -> list[int]:
        """Return the positions of the keys that may be of the request with this digest."""
        prefix, location = _prefix(digest), _location(digest)
        first = bisect_left(self.prefixes, prefix)
        last = bisect_right(self.prefixes, prefix, lo=first)
        return [
            index for index in range(first, last) if _may_be_same_location(self.locations[index], location)
        ]

    def _digest_at(self, index: int, found: bytes) -> bytes:
        """Return the digest of the key at a position, which was found by another digest of its request."""
        location = self.locations[index]
        if location == LEGACY_FORMAT:
            return found
        return found[:NAME_DIGEST_BYTES] + location.to_bytes(len(UNKNOWN_LOCATION), BYTE_ORDER)

    def uncertain_for(self, now: float) -> float:
        """Return the seconds for which every key stays uncertain."""
        return max(0.0, self.uncertain_until - now)

    def forget_expired(self, now: float) -> None:
        """Release the memory of the table once all keys in it have expired."""
        if self.prefixes and not self.uncertain_for(now) and self.latest_expiry <= now:
            self.prefixes = array("Q")
            self.locations = array("Q")
            self.expiries = array("d")


def _prefix(digest: bytes) -> int:
    return int.from_bytes(digest[:PREFIX_BYTES], BYTE_ORDER)


def _location(digest: bytes) -> int:
    location = digest[NAME_DIGEST_BYTES:]
    return int.from_bytes(location, BYTE_ORDER) if location else LEGACY_FORMAT


def _may_be_same_location(first: int, second: int) -> bool:
    if LEGACY_FORMAT in (first, second):
        return first == second
    return first == second or UNKNOWN_LOCATION_NUMBER in (first, second)
