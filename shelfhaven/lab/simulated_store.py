"""A consensus store in virtual time: the real replicated document, and simulated leases.

Leases expire by the virtual clock. The store does not know the nodes; it reports each change to a callback.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from shelfhaven.consensus.commands import (
    Command,
    CommandResult,
    ExpireLease,
    GrantLease,
    KeepLeaseAlive,
    RevokeLease,
)
from shelfhaven.consensus.state_machine import Document
from shelfhaven.consensus.store import CompareAndSet, CompareAndSetResult, Entry, GrantedLease, Snapshot
from shelfhaven.lab.virtual_clock import VirtualClock

LEASE_ID_BITS = 62


class SimulatedStore:
    """The simulated store; `on_change` is called with the sorted keys of each change."""

    def __init__(self, clock: VirtualClock, random: Random, on_change: Callable[[list[str]], None]) -> None:
        self.clock = clock
        self.random = random
        self.on_change = on_change
        self.document = Document()
        self.expiry_times: dict[int, float] = {}
        self.lease_fraction = 1.0  # of its TTL after which a lease really expires

    def replace_with_empty(self) -> None:
        """Lose all data, as if an empty store had replaced this one."""
        self.document = Document()
        self.expiry_times.clear()

    def items(self, keys: Sequence[str]) -> dict[str, Entry | None]:
        """Return the current records with these keys, None for a missing one."""
        return {key: self.document.items.get(key) for key in keys}

    def read(self, keys: Sequence[str]) -> Snapshot:
        """Return a snapshot of the records with these keys."""
        return Snapshot(self.document.revision, self.items(keys))

    def list_prefix(self, prefix: str) -> Snapshot:
        """Return a snapshot of all records whose keys start with a prefix."""
        items = {key: entry for key, entry in self.document.items.items() if key.startswith(prefix)}
        return Snapshot(self.document.revision, dict(items))

    def changes_since(self, keys: Sequence[str], revision: int) -> Snapshot | None:
        """Return the records changed since a revision, or None if the history does not go back that far."""
        changed = self.document.changes_since(keys, revision)
        return None if changed is None else Snapshot(self.document.revision, changed)

    def compare_and_set(self, change: CompareAndSet) -> CompareAndSetResult:
        """Apply a compare-and-set write."""
        result = self._apply(change)
        return CompareAndSetResult(result.applied, result.revision, result.current)

    def grant_lease(self, ttl: float) -> GrantedLease:
        """Grant a lease with a TTL in seconds."""
        result = self._apply(GrantLease(ttl, self.random.getrandbits(LEASE_ID_BITS)))
        self._schedule_expiry(result.lease_id, ttl)
        return GrantedLease(result.lease_id, result.ttl)

    def renew_lease(self, lease_id: int) -> float | None:
        """Renew a lease; return its TTL, or None for an unknown lease."""
        result = self._apply(KeepLeaseAlive(lease_id))
        if not result.applied:
            return None
        self._schedule_expiry(lease_id, result.ttl)
        return result.ttl

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease."""
        self._apply(RevokeLease(lease_id))

    def _apply(self, command: Command) -> CommandResult:
        revision_before = self.document.revision
        items_before = dict(self.document.items)
        result = self.document.apply(command)
        if self.document.revision != revision_before:
            items = self.document.items
            keys = {key for key in {*items_before, *items} if items_before.get(key) != items.get(key)}
            self.on_change(sorted(keys))
        return result

    def _schedule_expiry(self, lease_id: int, ttl: float) -> None:
        expires_at = self.clock.now + ttl * self.lease_fraction
        self.expiry_times[lease_id] = expires_at
        self.clock.at(expires_at, partial(self._expire, lease_id, expires_at))

    def _expire(self, lease_id: int, expires_at: float) -> None:
        lease = self.document.leases.get(lease_id)
        if lease and self.expiry_times.get(lease_id) == expires_at:
            self._apply(ExpireLease(lease_id, lease.beat))
