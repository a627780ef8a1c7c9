"""The interface of a consensus store: compare-and-set, leases and watches.

A store is an etcd cluster, a Raft group of the nodes themselves, or an object in one process. Clients of a
store depend on this module only, not on an implementation.

Every store guarantees:

- `compare_and_set` is atomic: if all comparisons hold, the whole change is applied; otherwise nothing is
  changed, and the result contains the current entries. The revisions of one store never decrease.
- `read` and `list_prefix` are linearizable: they return a state that was current at some time after the call
  started. A watch may lag behind.
- A lease that was granted or renewed expires no earlier than its TTL after the *request* was sent, unless the
  store violates its contract. The entries bound to the lease are deleted atomically with it.
- A call returns a result, or raises `NotAppliedError` if it certainly had no effect, or
  `OutcomeUnknownError` if it may have had its effect or may still have it.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

from shelfhaven.errors import ShelfhavenError

MAX_VALUE_BYTES = 16 << 10
MAX_KEY_LENGTH = 256  # characters


@dataclass(frozen=True, slots=True)
class Entry:
    """A stored value, the revision of its last change, and the id of the lease it is bound to (0: none)."""

    value: bytes
    revision: int
    lease: int = 0


# pysyncobj pickles entries into dump files and sends them to members that run other versions. A pickle
# contains the module path, the class name and the field names, so that none of these may change.
Entry.__module__ = "shelfhaven.membership.agreement.interface"


Entries: TypeAlias = Mapping[str, Entry | None]  # by key; None for a key that does not exist


@dataclass(frozen=True, slots=True)
class Put:
    """A value to store, and the id of the lease to bind it to (0: none)."""

    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class CompareAndSet:
    """A change that is applied only if each key in `compare` is at the given revision.

    The revision 0 means that the key must not exist.
    """

    compare: Mapping[str, int]
    put: Mapping[str, Put] = field(default_factory=dict)
    delete: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class CompareAndSetResult:
    """Whether the change was applied, and the revision of the store.

    `current` holds the entries of the compared keys if the change was not applied.
    """

    applied: bool
    revision: int
    current: Entries = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Entries as of one revision."""

    revision: int
    items: Entries


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """The id of a new lease and its TTL in seconds, counted from when the request was sent."""

    lease_id: int
    ttl: float


class ConsensusError(ShelfhavenError):
    """A call to the store that failed.

    `retry_after` is the delay in seconds that the store asks for before the next call, if any.
    """

    def __init__(self, message: str, retry_after: float | None = None) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class NotAppliedError(ConsensusError):
    """The call certainly had no effect."""


class OutcomeUnknownError(ConsensusError):
    """The call may have had its effect, or may still have it."""


class CompactedError(ConsensusError):
    """A watch starts at a revision that the store has compacted; the client has to read the keys again."""


class ConsensusStore(Protocol):
    """A consensus store. Every call except `watch` ends within the timeout of the store."""

    async def grant_lease(self, ttl: float) -> GrantedLease:
        """Create a lease with a TTL in seconds."""

    async def keep_alive(self, lease_id: int) -> float | None:
        """Renew a lease.

        Return its TTL in seconds, counted from when the request was sent, or None if the lease does not
        exist.
        """

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the entries that are bound to it."""

    async def compare_and_set(self, change: CompareAndSet) -> CompareAndSetResult:
        """Apply a conditional change."""

    async def read(self, keys: Sequence[str]) -> Snapshot:
        """Return the current entries of these keys."""

    async def list_prefix(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with the prefix."""

    def watch(self, keys: Sequence[str], after_revision: int) -> AsyncIterator[Snapshot]:
        """Yield the changes of these keys after a revision until the watch fails.

        A store may also yield snapshots without items to report the revision that the watch has reached.
        """

    async def close(self) -> None:
        """Close the connections and stop the tasks of the store."""
