"""Decides when a node reads the endpoint list from the list service and when it holds a watch there.

Only a few nodes hold a watch, chosen by a rank that every node computes alike; changes reach all others by
polls between peers. A node reads the complete list in its own time slot, and only if its peers cannot help:
it has no list, an old one, or one that only the list service can confirm. This module does no I/O and reads
no clock.
"""

from __future__ import annotations

import math

from shelfhaven.membership.endpoint_list import MergeOutcome
from shelfhaven.membership.fleet_view import FleetView
from shelfhaven.membership.messages import (
    Action,
    ListChanged,
    ListReadCompleted,
    ReadList,
    StopWatch,
    WatchEventReceived,
    WatchList,
    WatchLost,
)
from shelfhaven.membership.service_quota import READ_SHARE, WAKE_MARGIN_S, ServiceQuota

RESERVE_WATCHERS = 2  # watchers chosen by rank in addition to the zone watchers, as a fallback

UNCHANGED_OUTCOMES = (MergeOutcome.UNCHANGED, MergeOutcome.OLDER, MergeOutcome.WRONG_BASE)


def change_actions(outcome: MergeOutcome) -> list[Action]:
    """Return the actions required after a merge into the endpoint list."""
    return [] if outcome in UNCHANGED_OUTCOMES else [ListChanged(outcome)]


class ListWatch:
    """State machine for one node's reads and its watch."""

    def __init__(self, fleet: FleetView, quota: ServiceQuota) -> None:
        self.fleet = fleet
        self.quota = quota
        self.read_at = math.inf
        self.reading = False
        self.watching = False
        self.needs_read = False  # the watch cannot continue from this list; a complete one is required
        self.watch_start_revision = 0  # the watch announces changes after this revision
        self.announced_revision = 0  # the watch has announced all changes up to this revision

    # Answers of the list service

    def read_completed(self, now: float, event: ListReadCompleted) -> list[Action]:
        """Merge a complete list that was read."""
        self.reading = False
        self.needs_read = False
        self.quota.succeeded()
        outcome = self.fleet.endpoint_list.merge_complete_read(now, event.store, event.revision, event.items)
        return change_actions(outcome)

    def read_failed(self) -> None:
        """Schedule another read for the end of the backoff, which the caller has started."""
        self.reading = False
        self.read_at = self.quota.blocked_until

    def watch_event_received(self, now: float, event: WatchEventReceived) -> list[Action]:
        """Merge announced changes, or close the watch if the list service went back to an earlier state."""
        if not self.watching:  # sent before the watch was closed
            return []
        self.quota.succeeded()
        outcome = self.fleet.endpoint_list.merge_watch_event(
            now, event.store, event.revision, event.put, event.removed
        )
        if outcome is MergeOutcome.WRONG_BASE or event.revision < self.watch_start_revision:
            self._require_read(now)
            return self.stop_watch()
        self.announced_revision = max(self.announced_revision, event.revision)
        return change_actions(outcome)

    def watch_lost(self, now: float, event: WatchLost) -> None:
        """Back off after the watch ended without having been closed by this node."""
        self.watching = False
        self.quota.back_off(now, event.retry_after)
        if event.compacted:
            self._require_read(self.quota.blocked_until)

    def service_moved(self, now: float) -> list[Action]:
        """Read the list from the service's new endpoints, at a random time that spreads the fleet's reads."""
        actions = self.stop_watch()
        self.reading = False
        self.quota.service_moved(now)
        self.read_at = now + self.fleet.random.random() * self.quota.window(READ_SHARE)
        return actions

    def peer_list_merged(self, outcome: MergeOutcome) -> list[Action]:
        """Close the watch if it has announced revisions later than that of a list merged from a peer.

        A list of a new era can have a smaller revision than the watch has reached. The watch does not repeat
        the changes in between, so this list would lack them while having the same version as lists that
        include them.
        """
        revision = self.fleet.endpoint_list.version.revision
        if outcome is MergeOutcome.APPLIED and self.watching and revision < self.announced_revision:
            return self.stop_watch()
        return []

    # Requests to the list service

    def plan_read(self, now: float) -> None:
        """Schedule the next decision on a read for the node's next slot."""
        self.read_at = self.quota.slot(now + WAKE_MARGIN_S, "read", self.quota.window(READ_SHARE))

    def next_due(self) -> float:
        """When the next decision on a read is due; infinite while a read is in progress."""
        return math.inf if self.reading else self.read_at

    def due_read(self, now: float) -> list[Action]:
        """Read the list if the slot has come, a read is needed, and the quota allows it."""
        if self.reading or now < self.read_at:
            return []
        actions: list[Action] = []
        if self._only_service_can_help(now) and self.quota.try_take(now):
            self.reading = True
            actions.append(ReadList())
        self.plan_read(now)
        if self.needs_read and not self.reading:
            self.read_at = min(self.read_at, self.quota.time_of_next_token(now))
        return actions

    def update_watch(self, now: float, registered: bool) -> list[Action]:
        """Open or close the watch according to this node's role."""
        version = self.fleet.endpoint_list.version
        if self.should_watch(registered) == self.watching or not version.store:
            return []
        if self.watching:
            return self.stop_watch()
        if self.reading or not self.quota.try_take(now):
            return []
        self.watching = True
        self.watch_start_revision = version.revision
        self.announced_revision = version.revision
        return [WatchList(version.revision)]

    def stop_watch(self) -> list[Action]:
        """Close the watch if it is open."""
        if not self.watching:
            return []
        self.watching = False
        return [StopWatch()]

    def _require_read(self, at: float) -> None:
        self.needs_read = True
        self.read_at = min(self.read_at, at)

    def _only_service_can_help(self, now: float) -> bool:
        """Whether there is no list, a stale one, or one that the list service has to confirm."""
        endpoint_list = self.fleet.endpoint_list
        stale = endpoint_list.age(now) > self.fleet.settings.stale_after
        if stale or not endpoint_list.version.store or self.needs_read:
            return True
        return now >= endpoint_list.confirmation_due()

    def should_watch(self, registered: bool) -> bool:
        """Whether this node is to hold a watch: as a zone watcher, or as one of the first few by rank."""
        if not registered or self.fleet.endpoint_list.regression or self.needs_read:
            return False
        if self.fleet.is_zone_watcher:
            return True
        watcher_count = self.fleet.settings.watcher_count
        if self.fleet.zone_watchers:  # a small number is enough as a fallback
            watcher_count = min(watcher_count, RESERVE_WATCHERS)
        return self.fleet.nodes.is_among_first(self.fleet.identity.key, watcher_count)
