"""The endpoint list as one node knows it, merged from the list service and from peers.

An older list never replaces a newer one. The *era* counts the confirmed replacements of the list service's
store, which happen when it comes back empty or at an older revision; within an era, the service's revisions
only increase. Nodes exchange the age of a list as a duration, never as a point in time, so that a wrong clock
on one node does not matter. This module does no I/O and reads no clock.

If a new list shrinks by more than a configured fraction, at once or by removals within one retention time,
it is applied except for the removals: the removed entries are retained (`shrink_guard.py`) until the list
service itself reports the same state again after the retention time. A list service that restarts empty
therefore does not empty the fleet's lists. The same confirmation is required before a new era begins, either
because the service went back to another store or a smaller revision, or because retained entries are removed.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from shelfhaven.membership.change_log import ChangeLog
from shelfhaven.membership.list_version import NO_LIST, Endpoint, ListSnapshot, ListVersion
from shelfhaven.membership.shrink_guard import ShrinkGuard, ShrinkGuardSettings

# Number of retention times after which a node asks the list service to confirm entries that a peer retained.
# The peer itself asks after one; the node steps in because the peer may have died.
PEER_RETENTION_FACTOR = 2.0


class MergeOutcome(Enum):
    """Result of merging a list or changes. The values appear in the log."""

    APPLIED = "taken"
    UNCHANGED = "same"  # the same version; only the age may be newer
    OLDER = "older"
    WRONG_BASE = "unfit"  # the changes are relative to a version that this node does not have
    OTHER_STORE = "foreign"  # same era: only additions are applied, until the list service decides
    RETAINED = "held"  # applied except for removals, whose entries are retained
    REGRESSED = "doubted"  # the list service went back: only additions are applied until it confirms that


@dataclass(frozen=True, slots=True)
class Regression:
    """An earlier state that the list service went back to, not confirmed yet."""

    version: ListVersion
    first_reported_at: float  # when the service first reported it


def _ignore_key(_: str) -> None:
    """Do nothing; default of the callbacks."""


@dataclass(slots=True)
class EndpointList:
    """The list with its age, its retained entries and an unconfirmed regression, if any."""

    settings: ShrinkGuardSettings
    version: ListVersion = NO_LIST
    items: dict[str, Endpoint] = field(default_factory=dict)
    confirmed_at: float = -math.inf  # when the list service last confirmed it
    regression: Regression | None = None
    # Since when the list has entries that a peer retained. This node cannot tell which ones.
    peer_retention_since: float = math.inf
    shrink_guard: ShrinkGuard = field(default_factory=ShrinkGuard)
    change_log: ChangeLog = field(default_factory=ChangeLog)
    on_put: Callable[[str], None] = _ignore_key
    on_removed: Callable[[str], None] = _ignore_key

    @property
    def retained(self) -> Mapping[str, float]:
        """Entries that the list service removed, with the time until which they are retained."""
        return self.shrink_guard.retained

    def age(self, now: float) -> float:
        """Seconds since the list service confirmed the list; infinite if it never did."""
        return max(0.0, now - self.confirmed_at)

    def confirmation_due(self) -> float:
        """When the list service is to confirm retained entries or a regression; infinite without any."""
        regression_due = (
            self.regression.first_reported_at + self.settings.retention_time if self.regression else math.inf
        )
        peer_retention_due = self.peer_retention_since + PEER_RETENTION_FACTOR * self.settings.retention_time
        return min(regression_due, peer_retention_due, self.shrink_guard.first_expiry())

    # Merges

    def merge_peer_snapshot(self, now: float, snapshot: ListSnapshot) -> MergeOutcome:
        """Merge a peer's snapshot if it is newer. The peer has applied its shrink guard already."""
        version = snapshot.version
        if version.order < self.version.order or not version.store:
            return MergeOutcome.OLDER
        other_store = version.store != self.version.store and self.version.store
        if version.era == self.version.era and other_store:
            self._add_missing(snapshot.items)
            return MergeOutcome.OTHER_STORE
        if version == self.version:
            self._record_confirmation(now - snapshot.age)
            return MergeOutcome.UNCHANGED
        peer_retention_since = min(self.peer_retention_since, now)
        if snapshot.base is None:
            self._replace_with_peer_snapshot(snapshot)
        elif snapshot.base == self.version:
            self._apply_changes(version, snapshot.items, snapshot.removed)
        else:
            return MergeOutcome.WRONG_BASE
        self.peer_retention_since = math.inf if version.complete else peer_retention_since
        self._record_confirmation(now - snapshot.age)
        return MergeOutcome.APPLIED

    def merge_complete_read(
        self, now: float, store: str, revision: int, items: Mapping[str, Endpoint]
    ) -> MergeOutcome:
        """Merge a complete list that was just read from the list service."""
        if not self.version.store:
            self._replace(ListVersion(self.version.era, revision, store), items)
            self._record_confirmation(now)
            return MergeOutcome.APPLIED
        if store != self.version.store or revision < self.version.revision:
            return self._merge_regressed_read(now, ListVersion(self.version.era + 1, revision, store), items)
        self.regression = None
        missing = [key for key in self.items if key not in items]
        newly_retained = self.shrink_guard.retain_excess(now, missing, len(self.items), self.settings)
        released = {key for key in missing if self.shrink_guard.retention_ended(now, key)}
        retained = {
            key: self.retained[key] for key in missing if key in self.retained and key not in released
        }
        still_listed = {key: self.items[key] for key in retained}
        # Other nodes retain the released entries too. A new era makes them take over the removal even if the
        # revision is unchanged.
        era = self.version.era + 1 if released else self.version.era
        version = ListVersion(era, revision, store, not retained)
        unchanged = version == self.version
        self._replace(version, dict(items) | still_listed)
        self.shrink_guard.set_retained(retained)
        self.peer_retention_since = math.inf
        self._record_confirmation(now)
        if newly_retained:
            return MergeOutcome.RETAINED
        return MergeOutcome.UNCHANGED if unchanged else MergeOutcome.APPLIED

    def merge_watch_event(
        self, now: float, store: str, revision: int, put: Mapping[str, Endpoint], removed: Iterable[str]
    ) -> MergeOutcome:
        """Merge changes that a watch of the list service announced."""
        if store != self.version.store:
            return MergeOutcome.WRONG_BASE
        if revision < self.version.revision:  # the same changes came from a peer before
            return MergeOutcome.OLDER
        missing = [key for key in removed if key in self.items and key not in put]
        newly_retained = self.shrink_guard.retain_excess(now, missing, len(self.items), self.settings)
        removable = [key for key in missing if key not in self.retained]
        # Entries that a peer retained stay on this list, but cannot be identified.
        complete = self.shrink_guard.all_retained_in(put) and self.peer_retention_since == math.inf
        self._apply_changes(ListVersion(self.version.era, revision, store, complete), put, removable)
        self._record_confirmation(now)
        if newly_retained:
            return MergeOutcome.RETAINED
        return MergeOutcome.APPLIED if put or missing else MergeOutcome.UNCHANGED

    def snapshot(self, now: float, since: ListVersion | None = None) -> ListSnapshot:
        """Return the changes since the version that a peer has if they are known, else the complete list."""
        age = self.age(now)
        if since is None or since.era != self.version.era or since.store != self.version.store:
            return ListSnapshot(self.version, age, dict(self.items))
        if since.order >= self.version.order:
            return ListSnapshot(self.version, age, {}, since)
        # A peer's list with retained entries still has to remove these. The removals precede its version and
        # are not among the changes after it, so the peer needs the complete list.
        if not self.change_log.covers(since) or not since.complete:
            return ListSnapshot(self.version, age, dict(self.items))
        keys = self.change_log.keys_since(since)
        items = {key: self.items[key] for key in keys if key in self.items}
        removed = tuple(sorted(key for key in keys if key not in items))
        return ListSnapshot(self.version, age, items, since, removed)

    # Steps of merges

    def _merge_regressed_read(
        self, now: float, version: ListVersion, items: Mapping[str, Endpoint]
    ) -> MergeOutcome:
        """Handle a read from another store than this list's, or from an older revision of the same store."""
        pending = self.regression
        if (
            pending is None
            or pending.version.store != version.store
            or version.revision < pending.version.revision
        ):
            pending = self.regression = Regression(version, now)
        if now - pending.first_reported_at < self.settings.retention_time:
            self._add_missing(items)
            return MergeOutcome.REGRESSED
        self._replace(version, items)
        self.peer_retention_since = math.inf
        self._record_confirmation(now)
        return MergeOutcome.APPLIED

    def _replace_with_peer_snapshot(self, snapshot: ListSnapshot) -> None:
        retained: dict[str, float] = {}
        if not snapshot.version.complete:
            retained = {
                key: until
                for key, until in self.retained.items()
                if snapshot.items.get(key) == self.items[key]
            }
        self._replace(snapshot.version, snapshot.items)
        self.shrink_guard.set_retained(retained)

    def _add_missing(self, items: Mapping[str, Endpoint]) -> None:
        """Add entries that the list lacks, so that their nodes can be polled, without changing the version.

        They are passed on to peers only with the next list.
        """
        for key, item in items.items():
            if key not in self.items:
                self.items[key] = Endpoint(item.value, 0)
                self.on_put(key)

    def _replace(self, version: ListVersion, items: Mapping[str, Endpoint]) -> None:
        removed = [key for key in self.items if key not in items]
        changed = [key for key, item in items.items() if self.items.get(key) != item]
        if version.era != self.version.era or not self.version.store:
            self.change_log.reset(version)
            self.regression = None
        else:
            self.change_log.append(version, [*removed, *changed])
        for key in removed:
            self.on_removed(key)
        for key in changed:
            self.on_put(key)
        self.items = dict(items)
        self.shrink_guard.set_retained({})
        self.version = version

    def _apply_changes(
        self, version: ListVersion, put: Mapping[str, Endpoint], removed: Collection[str]
    ) -> None:
        for key, item in put.items():
            self.items[key] = item
            self.shrink_guard.release(key)
            self.on_put(key)
        for key in removed:
            self.items.pop(key, None)
            self.shrink_guard.release(key)
            self.on_removed(key)
        self.change_log.append(version, [*put, *removed])
        self.version = version

    def _record_confirmation(self, at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
