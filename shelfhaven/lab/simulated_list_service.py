"""Simulated list service for the membership simulation: a store with leases, watches and request counts.

The service has no clock; the simulation passes the current time and calls it when a request is due.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from shelfhaven.membership.list_version import Endpoint

NotifyWatcher = Callable[[int, Mapping[str, Endpoint], tuple[str, ...]], None]  # revision, put, removed


@dataclass(slots=True)
class SimulatedLease:
    """A lease on one key; times are in seconds."""

    key: str
    ttl: float
    expires_at: float


@dataclass
class SimulatedListService:
    """A store with leases and watches behind a single-server queue.

    Attributes:
        rate: requests per second that the service can answer.
        store: the id of the store, which changes when it restarts empty.
        revision: the current revision of the store.
        items: the entries by key.
        leases: the leases by id.
        watchers: the watchers by the node's address.
        deleted: revision and key of each deletion.
        up: whether the service is available.
        free_at: time at which all queued requests are answered.
        requests_by_second: number of requests by second.
        requests_by_kind: number of requests by kind.
        entries_sent: number of entries sent in answers and watch events.
        lease_ids: the source of lease ids.
    """

    rate: float = 500.0
    store: str = "store-1"
    revision: int = 1
    items: dict[str, Endpoint] = field(default_factory=dict)
    leases: dict[int, SimulatedLease] = field(default_factory=dict)
    watchers: dict[str, NotifyWatcher] = field(default_factory=dict)
    deleted: list[tuple[int, str]] = field(default_factory=list)
    up: bool = True
    free_at: float = 0.0
    requests_by_second: Counter[int] = field(default_factory=Counter)
    requests_by_kind: Counter[str] = field(default_factory=Counter)
    entries_sent: int = 0
    lease_ids: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def count_request(self, now: float, kind: str, requests: int = 1) -> None:
        """Count requests that arrive at the service."""
        self.requests_by_second[int(now)] += requests
        self.requests_by_kind[kind] += requests

    def enqueue(self, now: float, requests: int) -> float:
        """Add requests to the queue and return the time at which they are answered."""
        self.free_at = max(self.free_at, now) + requests / self.rate
        return self.free_at

    # Requests

    def read(self) -> dict[str, Endpoint]:
        """Return all entries."""
        self.entries_sent += len(self.items)
        return dict(self.items)

    def register(self, now: float, key: str, value: str, ttl: float) -> int:
        """Put a key with a new lease and return the id of the lease."""
        lease_id = next(self.lease_ids)
        self.leases[lease_id] = SimulatedLease(key, ttl, now + ttl)
        self.change({key: value}, ())
        return lease_id

    def renew(self, now: float, lease_id: int) -> bool:
        """Renew a lease and return whether it exists."""
        lease = self.leases.get(lease_id)
        if lease:
            lease.expires_at = now + lease.ttl
        return lease is not None

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and remove its key."""
        if lease := self.leases.pop(lease_id, None):
            self.change({}, (lease.key,))

    def changes_after(self, revision: int) -> tuple[dict[str, Endpoint], tuple[str, ...]]:
        """Return the entries put and the keys removed after a revision."""
        put = {key: item for key, item in self.items.items() if item.revision > revision}
        removed = tuple(key for at, key in self.deleted if at > revision and key not in put)
        return put, removed

    # Changes of the store

    def change(self, put: Mapping[str, str], removed: tuple[str, ...]) -> None:
        """Apply a change to the store and notify the watchers."""
        self.revision += 1
        items = {key: Endpoint(value, self.revision) for key, value in put.items()}
        self.items |= items
        for key in removed:
            self.items.pop(key, None)
            self.deleted.append((self.revision, key))
        for notify in list(self.watchers.values()):
            self.entries_sent += len(items) + len(removed)
            notify(self.revision, items, removed)

    def expire(self, now: float) -> None:
        """End expired leases and remove their keys unless another lease holds the same key."""
        expired = [lease_id for lease_id, lease in self.leases.items() if lease.expires_at <= now]
        keys = tuple(self.leases.pop(lease_id).key for lease_id in expired)
        still_leased = {lease.key for lease in self.leases.values()}
        removed = tuple(key for key in keys if key in self.items and key not in still_leased)
        if removed:
            self.change({}, removed)

    def restart_empty(self) -> None:
        """Restart with a new, empty store without leases and watches."""
        self.store += "+"
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.deleted.clear()
        self.watchers.clear()

    def peak_requests(self, since: float = 0.0) -> int:
        """Return the number of requests in the busiest second from `since` on."""
        return max((count for second, count in self.requests_by_second.items() if second >= since), default=0)
