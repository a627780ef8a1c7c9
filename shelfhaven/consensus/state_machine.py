"""The replicated state machine: a document of entries and leases that only commands change.

Applying the same commands yields the same document on every replica, so the document never reads a clock. The
expiry of a lease is a command as well: a member that has seen no renewal for longer than the TTL
(see `lease_expiry`) proposes it, and the document rejects it if the lease was renewed in the meantime.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from shelfhaven.consensus.commands import (
    Command,
    CommandResult,
    ExpireLease,
    GrantLease,
    KeepLeaseAlive,
    RevokeLease,
)
from shelfhaven.consensus.store import (
    MAX_KEY_LENGTH,
    MAX_VALUE_BYTES,
    CompareAndSet,
    Entries,
    Entry,
    Snapshot,
)

MAX_ENTRIES = 4096
MAX_LEASES = 4096
MAX_TOTAL_BYTES = 1 << 20  # of all values together
MAX_LEASE_TTL = 3600.0  # seconds
MAX_RECENT_DELETIONS = 512  # deletions kept for watches


@dataclass(slots=True)
class Lease:
    """The TTL of a lease and its number of renewals.

    The field names are part of a stored format: see the end of this module.
    """

    seconds: float  # the TTL
    beat: int = 0  # number of renewals


@dataclass(slots=True)
class Document:
    """The replicated state: entries, leases and the most recent deletions.

    The field names are part of a stored format: see the end of this module.
    """

    revision: int = 1
    items: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)  # by lease id
    # the revisions and keys of the most recent deletions
    gone: deque[tuple[int, str]] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_DELETIONS))

    def apply(self, command: Command) -> CommandResult:
        """Apply one command; a command that would exceed a limit is not applied."""
        match command:
            case CompareAndSet():
                return self._compare_and_set(command)
            case GrantLease():
                return self._grant(command)
            case KeepLeaseAlive():
                return self._keep_alive(command)
            case RevokeLease():
                return self._end_lease(command.lease_id)
            case ExpireLease():
                return self._expire(command)

    def _compare_and_set(self, change: CompareAndSet) -> CommandResult:
        current = {key: self.items.get(key) for key in change.compare}
        matches = all(
            (entry.revision if entry else 0) == change.compare[key] for key, entry in current.items()
        )
        if not matches or not self._is_allowed(change):
            return CommandResult(False, self.revision, current=current)
        self.revision += 1
        for key in change.delete:
            self._delete(key)
        for key, put in change.put.items():
            self.items[key] = Entry(put.value, self.revision, put.lease)
        return CommandResult(True, self.revision)

    def _is_allowed(self, change: CompareAndSet) -> bool:
        """Whether a change stays within the limits and refers only to existing leases."""
        if any(put.lease and put.lease not in self.leases for put in change.put.values()):
            return False
        if any(
            len(key) > MAX_KEY_LENGTH or len(put.value) > MAX_VALUE_BYTES for key, put in change.put.items()
        ):
            return False
        new_entries = sum(1 for key in change.put if key not in self.items)
        added_bytes = sum(len(put.value) for put in change.put.values())
        stored_bytes = sum(len(entry.value) for entry in self.items.values())
        fits = len(self.items) + new_entries <= MAX_ENTRIES
        return fits and stored_bytes + added_bytes <= MAX_TOTAL_BYTES

    def _grant(self, command: GrantLease) -> CommandResult:
        is_free = command.lease_id > 0 and command.lease_id not in self.leases
        has_capacity = len(self.leases) < MAX_LEASES
        if not is_free or not has_capacity or not 0 < command.ttl <= MAX_LEASE_TTL:
            return CommandResult(False, self.revision)
        self.leases[command.lease_id] = Lease(command.ttl)
        return CommandResult(True, self.revision, command.lease_id, command.ttl)

    def _keep_alive(self, command: KeepLeaseAlive) -> CommandResult:
        lease = self.leases.get(command.lease_id)
        if lease is None:
            return CommandResult(False, self.revision, command.lease_id)
        lease.beat += 1
        return CommandResult(True, self.revision, command.lease_id, lease.seconds)

    def _expire(self, command: ExpireLease) -> CommandResult:
        lease = self.leases.get(command.lease_id)
        if lease is None or lease.beat != command.renewals:
            return CommandResult(False, self.revision, command.lease_id)
        return self._end_lease(command.lease_id)

    def _end_lease(self, lease_id: int) -> CommandResult:
        if self.leases.pop(lease_id, None) is None:
            return CommandResult(False, self.revision, lease_id)
        bound_keys = [key for key, entry in self.items.items() if entry.lease == lease_id]
        if bound_keys:
            self.revision += 1
            for key in bound_keys:
                self._delete(key)
        return CommandResult(True, self.revision, lease_id)

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None):
            self.gone.append((self.revision, key))

    def read(self, keys: Iterable[str]) -> Snapshot:
        """Return the current entries of these keys."""
        return Snapshot(self.revision, {key: self.items.get(key) for key in keys})

    def list_prefix(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with the prefix."""
        matching = {key: entry for key, entry in self.items.items() if key.startswith(prefix)}
        return Snapshot(self.revision, matching)

    def changes_since(self, keys: Iterable[str], after_revision: int) -> Entries | None:
        """Return the entries of those keys that changed after a revision, None for each deleted one.

        Return None if the document no longer holds all deletions since that revision, or if the revision is
        newer than the document, which means that it comes from another store.
        """
        if after_revision > self.revision:
            return None
        if len(self.gone) == MAX_RECENT_DELETIONS:
            oldest_deletion_revision, _ = self.gone[0]
            if after_revision < oldest_deletion_revision:
                return None
        deleted = {key for revision, key in self.gone if revision > after_revision}
        changed: dict[str, Entry | None] = {}
        for key in keys:
            entry = self.items.get(key)
            if entry is None and key in deleted:
                changed[key] = None
            elif entry is not None and entry.revision > after_revision:
                changed[key] = entry
        return changed


# pysyncobj pickles the whole document into dump files and sends it to members that catch up, which may run
# another version. Therefore this module path, the names of the two classes and the names of their fields
# must not change.
Document.__module__ = Lease.__module__ = "shelfhaven.membership.agreement.document"
