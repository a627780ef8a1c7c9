"""A consensus store within one process, for the demo, for tests and for a fleet of one node.

Its contents are lost when the process ends, and no other process can reach it.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence

from shelfhaven.consensus.commands import (
    Command,
    CommandResult,
    KeepLeaseAlive,
    RevokeLease,
    grant_new_lease,
)
from shelfhaven.consensus.lease_expiry import LeaseExpiryObserver
from shelfhaven.consensus.state_machine import Document
from shelfhaven.consensus.store import (
    CompareAndSet,
    CompareAndSetResult,
    GrantedLease,
    NotAppliedError,
    Snapshot,
)
from shelfhaven.membership.clock import boottime

WATCH_PROGRESS_INTERVAL = 1.0  # seconds between reports of the revision by a watch without changes


class InProcessStore:
    """A `ConsensusStore` that keeps its document in memory and expires leases by the given clock."""

    def __init__(self, clock: Callable[[], float] = boottime) -> None:
        self.clock = clock
        self.document = Document()
        self.expiry_observer = LeaseExpiryObserver()
        self.changed = asyncio.Event()  # set at the next change, and then replaced

    def _apply(self, command: Command) -> CommandResult:
        now = self.clock()
        self._expire_leases(now)
        revision = self.document.revision
        result = self.document.apply(command)
        self.expiry_observer.observe(now, self.document.leases)
        self._wake_watches_if_changed_since(revision)
        return result

    def _expire_leases(self, now: float) -> None:
        revision = self.document.revision
        for command in self.expiry_observer.observe(now, self.document.leases):
            self.document.apply(command)
        self._wake_watches_if_changed_since(revision)

    def _wake_watches_if_changed_since(self, revision: int) -> None:
        if self.document.revision != revision:
            self.changed.set()
            self.changed = asyncio.Event()

    async def grant_lease(self, ttl: float) -> GrantedLease:
        """Create a lease with a TTL in seconds."""
        result = self._apply(grant_new_lease(ttl))
        if not result.applied:
            raise NotAppliedError("lease not granted: too many leases, or TTL out of range")
        return GrantedLease(result.lease_id, result.ttl)

    async def keep_alive(self, lease_id: int) -> float | None:
        """Renew a lease; return its TTL in seconds, or None if it has ended."""
        result = self._apply(KeepLeaseAlive(lease_id))
        return result.ttl if result.ttl > 0 else None

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the entries that are bound to it."""
        self._apply(RevokeLease(lease_id))

    async def compare_and_set(self, change: CompareAndSet) -> CompareAndSetResult:
        """Apply a conditional change."""
        result = self._apply(change)
        return CompareAndSetResult(result.applied, result.revision, result.current)

    async def read(self, keys: Sequence[str]) -> Snapshot:
        """Return the current entries of these keys."""
        self._expire_leases(self.clock())
        return self.document.read(keys)

    async def list_prefix(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with the prefix."""
        self._expire_leases(self.clock())
        return self.document.list_prefix(prefix)

    async def watch(self, keys: Sequence[str], after_revision: int) -> AsyncIterator[Snapshot]:
        """Yield the changes of these keys after a revision, and periodically a snapshot without changes."""
        while True:
            self._expire_leases(self.clock())
            changes = self.document.changes_since(keys, after_revision)
            if changes is None:
                raise NotAppliedError("the changes since this revision are not available")
            after_revision = self.document.revision
            yield Snapshot(after_revision, changes)
            changed = self.changed
            try:
                async with asyncio.timeout(WATCH_PROGRESS_INTERVAL):
                    await changed.wait()
            except TimeoutError:
                pass

    async def close(self) -> None:
        """Do nothing: the store has no connections or tasks."""
