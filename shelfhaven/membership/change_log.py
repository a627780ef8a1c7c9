"""Log of the most recent changes to an endpoint list.

It lets a node send a peer only the differences since the peer's version instead of the complete list.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from shelfhaven.membership.list_version import NO_LIST, ListVersion, VersionOrder

MAX_CHANGES = 4096  # kept in the log; a peer that is further behind receives the complete list


class _Change(NamedTuple):
    order: VersionOrder  # computed once per version, as answering a poll compares it for every change
    key: str


class ChangeLog:
    """Changed keys, each with the version at which it changed."""

    def __init__(self) -> None:
        self._changes: deque[_Change] = deque()
        self._complete_since = NO_LIST.order  # the log has every change after this version

    def reset(self, version: ListVersion) -> None:
        """Discard all changes; the log is complete from the given version on."""
        self._changes.clear()
        self._complete_since = version.order

    def append(self, version: ListVersion, keys: Iterable[str]) -> None:
        """Record that keys changed at a version, discarding the oldest changes if the log is full."""
        order = version.order
        for key in keys:
            if len(self._changes) == MAX_CHANGES:
                self._complete_since = self._changes.popleft().order
            self._changes.append(_Change(order, key))

    def covers(self, since: ListVersion) -> bool:
        """Whether the log has every change since a version."""
        return since.order >= self._complete_since

    def keys_since(self, since: ListVersion) -> list[str]:
        """Return the keys that changed after a version, each once, in the order of their first change."""
        since_order = since.order
        changed = (key for order, key in self._changes if order > since_order)
        return list(dict.fromkeys(changed))
