"""Scheduling of the reads, the watch and the listings by which a node follows the records in the store.

There is at most one read, one watch and one listing at a time. Decisions are based on reads. The watch only
makes the node react sooner, and the infrequent listing finds tasks that none of their candidates has
acquired.
"""

from __future__ import annotations

import math

from shelfhaven.consensus.store import Snapshot
from shelfhaven.election.elector_state import ElectorState
from shelfhaven.election.messages import CancelWatch, ListHolders, ReadRecords, WatchRecords
from shelfhaven.election.records import keys_of_tasks, task_name
from shelfhaven.election.task_ownership import OwnershipState


class StoreScan:
    """Decides which records are read, watched and listed, and when."""

    def __init__(self, state: ElectorState) -> None:
        self.state = state
        self.watched_keys: tuple[str, ...] = ()  # empty without a watch
        self.keys_being_read: tuple[str, ...] = ()  # empty if no read is in flight
        self.listing_in_flight = False
        self.next_listing_at = math.inf

    def next_request(self) -> float:
        """Return when the next read or listing is due; the elector applies the back-off to this time."""
        due = []
        if self.state.records_to_read and not self.keys_being_read:
            due.append(self.state.store_paused_until)
        if not self.listing_in_flight and not self.state.draining:
            due.append(self.next_listing_at)
        return min(due, default=math.inf)

    def send_requests(self, now: float) -> None:
        """Send the requests that are due. Must not be called while requests are paused by back-off."""
        self._send_read()
        self._update_watch()
        self._send_listing(now)

    def schedule_first_listing(self, now: float) -> None:
        """Schedule the first listing, unless that has been done."""
        if self.next_listing_at == math.inf:
            self.next_listing_at = now + self.state.listing_interval()

    def read_answered(self) -> None:
        """Handle that a read has succeeded: the store is reachable, so the back-off is reset."""
        self.keys_being_read = ()
        self.state.store_backoff.reset()

    def read_failed(self, now: float, retry_after: float | None) -> None:
        """Handle that a read has failed: schedule the same records to be read again."""
        self.state.reread(map(task_name, self.keys_being_read))
        self.keys_being_read = ()
        self.state.back_off(now, retry_after)

    def watch_ended(self, now: float, retry_after: float | None) -> None:
        """Handle the end of the watch: schedule the watched records to be read before they are watched again.

        The next watch may reach a different store, whose revisions cannot be compared with the known ones.
        """
        if not self.watched_keys:
            return
        self.state.reread(map(task_name, self.watched_keys))
        self.watched_keys = ()
        self.state.back_off(now, retry_after)

    def listing_failed(self, now: float, retry_after: float | None) -> None:
        """Handle that a listing has failed; the next one takes place at its usual time."""
        self.listing_in_flight = False
        self.state.back_off(now, retry_after)

    def holders_listed(self, snapshot: Snapshot) -> None:
        """Find tasks without a leader.

        Even a node that is not among a task's candidates may then acquire it, after a delay in which the
        candidates can still do so.
        """
        self.listing_in_flight = False
        node = self.state.node
        led_tasks = {task_name(key) for key, entry in snapshot.items.items() if entry}
        for task in self.state.tasks.values():
            leaderless = task.name not in led_tasks and task.state is OwnershipState.NOT_LEADING
            if leaderless and task.ranking.rank(node) is None:
                task.unclaimed = True
                self.state.reread([task.name])
            elif task.state is OwnershipState.NOT_LEADING:
                task.unclaimed = False
                if leaderless and task.holder is not None:
                    self.state.reread([task.name])  # the end of its leader was not reported by the watch
        self.state.invalidate_active_tasks()

    def forget(self) -> None:
        """Cancel the watch and ignore pending requests, because the store was replaced."""
        if self.watched_keys:
            self.state.emit(CancelWatch())
        self.watched_keys = ()
        self.keys_being_read = ()
        self.listing_in_flight = False

    def _send_read(self) -> None:
        state = self.state
        if not state.records_to_read or self.keys_being_read:
            return
        names = [name for name in state.records_to_read if name in state.tasks]
        self.keys_being_read = keys_of_tasks(names)
        state.records_to_read.clear()
        if not self.keys_being_read:
            return
        for name in names:
            task = state.tasks[name]
            task.revision_when_read = task.revision
        state.emit(ReadRecords(self.keys_being_read))

    def _update_watch(self) -> None:
        state = self.state
        tasks = sorted(
            (task for task in state.active_tasks() if task.records_known), key=lambda task: task.name
        )
        keys = tuple(key for task in tasks for key in task.keys)
        if keys == self.watched_keys or self.keys_being_read or state.draining:
            return
        self.watched_keys = keys
        if keys:
            state.emit(WatchRecords(keys, min(task.revision for task in tasks)))
        else:
            state.emit(CancelWatch())

    def _send_listing(self, now: float) -> None:
        if self.listing_in_flight or self.state.draining or now < self.next_listing_at:
            return
        self.listing_in_flight = True
        self.next_listing_at = now + self.state.listing_interval()
        self.state.emit(ListHolders())
