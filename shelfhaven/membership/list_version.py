"""Value types of the endpoint list: entries, versions, and the snapshots that nodes exchange."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the list."""

    value: str  # as stored by the list service
    revision: int  # of the list service's store at which the entry was given this value


class VersionOrder(NamedTuple):
    """Sort key of list versions; the larger one is newer."""

    era: int
    revision: int
    complete: bool


@dataclass(frozen=True, slots=True)
class ListVersion:
    """Version of a list, ordered by era, then revision, then completeness.

    Lists of the same version are equal. A list is not `complete` if it still has entries that the list
    service has removed at that revision; it is then older than a complete one.
    """

    era: int = 0
    revision: int = 0
    store: str = ""  # identifies the list service's store; empty while there is no list
    complete: bool = True

    @property
    def order(self) -> VersionOrder:
        """The key by which versions are compared."""
        return VersionOrder(self.era, self.revision, self.complete)


NO_LIST = ListVersion()


@dataclass(frozen=True, slots=True)
class ListSnapshot:
    """A complete list, or the changes since a base version, as sent from one node to another."""

    version: ListVersion
    age: float  # seconds since the list service confirmed the list; infinite if it never did
    items: Mapping[str, Endpoint]  # all entries, or those added or changed since the base
    base: ListVersion | None = None  # None for a complete list
    removed: tuple[str, ...] = ()  # keys removed since the base
