"""Commands that change the replicated document, and their results.

The commands are `CompareAndSet`, which the store's interface defines, and four that create, renew and end
leases.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import TypeAlias

from shelfhaven.consensus.store import CompareAndSet, Entries

LEASE_ID_BITS = 62


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Create a lease with an id that the client has chosen at random.

    Ids must be unique across stores, not only within one. Otherwise, when an empty store has replaced the old
    one, a client that still renews its old lease could keep alive another client's lease with the same id.
    """

    ttl: float  # seconds
    lease_id: int


@dataclass(frozen=True, slots=True)
class KeepLeaseAlive:
    """Renew a lease."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End a lease and delete the entries bound to it."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class ExpireLease:
    """End a lease unless it has been renewed since its number of renewals was `renewals`."""

    lease_id: int
    renewals: int


Command: TypeAlias = CompareAndSet | GrantLease | KeepLeaseAlive | RevokeLease | ExpireLease


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The result of a command.

    `current` holds the entries of the compared keys if a `CompareAndSet` was not applied.
    """

    applied: bool
    revision: int  # of the document
    lease_id: int = 0  # of the lease that the command refers to
    ttl: float = 0.0  # seconds; set by a successful grant or renewal
    current: Entries = field(default_factory=dict)


def grant_new_lease(ttl: float) -> GrantLease:
    """Return a command that creates a lease with a new random id."""
    return GrantLease(ttl, secrets.randbits(LEASE_ID_BITS) or 1)
