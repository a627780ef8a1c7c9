"""The table of idempotency keys: which attempt holds each key, until when, and its result.

This module owns the entries and their expiry.  It does not decide whether a request runs: the controller
does, and is told the original of a duplicate.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from shelfhaven.server.request import RequestKey
from shelfhaven.server.result_store import ResultStore


@dataclass(slots=True)
class KeyEntry:
    """The attempt that holds a key.

    Whether an attempt is a duplicate depends on when it reached the machine.  One that arrived before
    `valid_until` may be read after it, up to its own deadline, so the entry is kept until `forget_at`.
    """

    request_id: int
    valid_until: float  # monotonic seconds
    forget_at: float  # monotonic seconds
    stored_digest: bytes | None = None  # key of a previous incarnation's result in the key store


class KeyTable:
    """The entries and the stored results, by key."""

    def __init__(self, results: ResultStore) -> None:
        self.results = results
        self.entries: dict[RequestKey, KeyEntry] = {}
        # heap of removal times; an entry that was replaced or extended has several
        self.expirations: list[tuple[float, RequestKey]] = []

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self.entries

    def get(self, key: RequestKey) -> KeyEntry | None:
        """Return the entry of a key, None if there is none."""
        return self.entries.get(key)

    def get_if_held_by(self, key: RequestKey, request_id: int | None) -> KeyEntry | None:
        """Return the entry of a key, None if another attempt or none holds the key."""
        entry = self.entries.get(key)
        return entry if entry and entry.request_id == request_id else None

    def put(self, key: RequestKey, entry: KeyEntry) -> None:
        """Add the entry of a key; an earlier entry is removed together with its result."""
        self.remove(key)
        self.entries[key] = entry
        heapq.heappush(self.expirations, (entry.forget_at, key))

    def remove(self, key: RequestKey) -> None:
        """Remove a key and its result."""
        self.results.remove(key)
        self.entries.pop(key, None)

    def store_result(self, key: RequestKey, request_id: int, body: bytes) -> None:
        """Store the result of a run, if that attempt holds the key.

        The entry, and so the fact that the key has run, stays when the result is evicted.
        """
        if self.get_if_held_by(key, request_id):
            self.results.put(key, body)

    def get_result(self, key: RequestKey, request_id: int | None) -> bytes | None:
        """Return the result of a key, None if that attempt does not hold it or the result was evicted."""
        return self.results.get(key) if self.get_if_held_by(key, request_id) else None

    def expire(
        self, now: float, in_use: Callable[[int], bool], extension: Callable[[RequestKey], float]
    ) -> None:
        """Remove the entries that have expired and whose attempts are not in use.

        Duplicates may still refer to an attempt that runs longer than its key is valid, so its entry is
        extended by the seconds that `extension` returns for the key.
        """
        while self.expirations and self.expirations[0][0] <= now:
            scheduled_at, key = heapq.heappop(self.expirations)
            entry = self.entries.get(key)
            if entry is None or entry.forget_at > scheduled_at:
                continue
            if in_use(entry.request_id):
                entry.forget_at = now + extension(key)
                heapq.heappush(self.expirations, (entry.forget_at, key))
            else:
                self.remove(key)
