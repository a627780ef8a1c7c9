"""The table of idempotency keys: which attempt holds each key, until when, and its result.

This module owns the entries and their expiry.  It does not decide whether a request runs: the controller
does, and is told the original of a duplicate.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from shelfhaven.server.request_key import KeyName, RequestKey
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
        # the keys of the entries by name, and by the digest of the body (None: unknown)
        self._keys_by_name: dict[KeyName, dict[bytes | None, set[RequestKey]]] = {}
        # heap of removal times; an entry that was replaced or extended has several
        self.expirations: list[tuple[float, RequestKey]] = []

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self.entries

    def get(self, key: RequestKey) -> KeyEntry | None:
        """Return the entry of a key, None if there is none."""
        return self.entries.get(key)

    def find(self, key: RequestKey) -> list[RequestKey]:
        """Return the keys of the entries that may be of the same request as this key.

        Attempts by different protocols convey different parts of a request's content, so there may be
        several, of which only one can be the same request.
        """
        by_body = self._keys_by_name.get(key.name)
        if by_body is None:
            return []
        bodies = by_body.keys() if key.content.body is None else (key.content.body, None)
        return [
            candidate
            for body in bodies
            for candidate in by_body.get(body, ())
            if candidate.content.may_equal(key.content)
        ]

    def get_if_held_by(self, key: RequestKey, request_id: int | None) -> KeyEntry | None:
        """Return the entry of a key, None if another attempt or none holds the key."""
        entry = self.entries.get(key)
        return entry if entry and entry.request_id == request_id else None

    def put(self, key: RequestKey, entry: KeyEntry) -> None:
        """Add the entry of a key; an earlier entry is removed together with its result."""
        self.remove(key)
        self.entries[key] = entry
        by_body = self._keys_by_name.setdefault(key.name, {})
        by_body.setdefault(key.content.body, set()).add(key)
        heapq.heappush(self.expirations, (entry.forget_at, key))

    def remove(self, key: RequestKey) -> None:
        """Remove a key and its result."""
        self.results.remove(key)
        if self.entries.pop(key, None) is None:
            return
        by_body = self._keys_by_name[key.name]
        same_body = by_body[key.content.body]
        same_body.discard(key)
        if not same_body:
            del by_body[key.content.body]
        if not by_body:
            del self._keys_by_name[key.name]

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
