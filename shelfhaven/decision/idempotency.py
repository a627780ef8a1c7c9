"""The key table: which requests with an idempotency key are retained, and until when.

A key is retained when its request is admitted, before the request can run, so that duplicates find it.  It is
released if the request did not run.  A duplicate whose key was looked up just before that may still name the
rejected request as its original.  Therefore the ids of rejected requests are remembered until their keys
expire, and such a duplicate is treated as new work.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from shelfhaven.decision.memory import MemoryBudget


class _KeyExpiry(NamedTuple):
    """When the entries of a request's key expire."""

    at: float
    request_id: int


class KeyTable:
    """Retained keys and rejected requests, by request id."""

    __slots__ = ("_expiries", "_key_kb", "_memory", "_rejected", "_retained_until")

    def __init__(self, memory: MemoryBudget, key_kb: float) -> None:
        self._memory = memory
        self._key_kb = key_kb
        self._retained_until: dict[int, float] = {}
        self._rejected: set[int] = set()
        self._expiries: list[_KeyExpiry] = []  # a heap, for retained keys and rejected requests alike

    def retain(self, request_id: int, until: float) -> None:
        """Add a request's key to the table."""
        self._retained_until[request_id] = until
        heapq.heappush(self._expiries, _KeyExpiry(until, request_id))
        self._memory.used_kb += self._key_kb

    def release(self, request_id: int) -> bool:
        """Remove a request's key from the table; return whether it was there."""
        if self._retained_until.pop(request_id, None) is None:
            return False
        self._memory.used_kb -= self._key_kb
        return True

    def record_rejected(self, request_id: int, until: float) -> None:
        """Remember that a request with a key did not run."""
        self._rejected.add(request_id)
        heapq.heappush(self._expiries, _KeyExpiry(until, request_id))

    def was_rejected(self, request_id: int) -> bool:
        """Return whether a request with a key is known not to have run."""
        return request_id in self._rejected

    def expire(self, now: float) -> None:
        """Remove all entries whose time to live has passed."""
        while self._expiries and self._expiries[0].at <= now:
            expiry = heapq.heappop(self._expiries)
            if self._retained_until.get(expiry.request_id, math.inf) <= expiry.at:
                self.release(expiry.request_id)
            self._rejected.discard(expiry.request_id)
