"""Handling of the store's answers: reads, watch events, and the outcomes of this node's writes.

`StoreUpdates` brings the node's view of its tasks in line with the records in the store. A read is
authoritative, and so is a rejected write whose result contains both records. A watch event may be delayed, so
it only causes a read for a task that this node leads or is about to acquire.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from shelfhaven.consensus.store import CompareAndSetResult, Entry, Snapshot
from shelfhaven.election.candidacy import Candidacy
from shelfhaven.election.elector_state import ElectorState
from shelfhaven.election.hand_over import HandOver
from shelfhaven.election.lease_upkeep import LeaseUpkeep
from shelfhaven.election.messages import CheckpointSaved, WriteAnswered, WriteFailed
from shelfhaven.election.ownership_changes import OwnershipChanges
from shelfhaven.election.records import Holder, task_name
from shelfhaven.election.task_ownership import OwnershipState, TaskOwnership, WritePurpose


class StoreUpdates:
    """Applies the store's answers to the tasks."""

    def __init__(
        self,
        state: ElectorState,
        lease: LeaseUpkeep,
        candidacy: Candidacy,
        hand_over: HandOver,
        ownership: OwnershipChanges,
    ) -> None:
        self.state = state
        self.lease = lease
        self.candidacy = candidacy
        self.hand_over = hand_over
        self.ownership = ownership

    # Reads and watch events

    def records_read(self, now: float, snapshot: Snapshot) -> None:
        """Apply the records that were read; those older than what is known by now are read again."""
        for task in self._tasks_of(snapshot):
            if task.revision_when_read <= snapshot.revision < task.revision:
                self.state.reread([task.name])
            else:  # a revision below the one known when the read was sent means that the store was replaced
                self._update_records(task, snapshot.items, snapshot.revision)
                task.records_known = True
                if task.state is OwnershipState.ACQUIRING and not task.has_open_write:
                    self.state.transition(task, OwnershipState.NOT_LEADING, "the records were read again")
                self._reconcile(now, task)
            self.candidacy.schedule_attempt(now, task)

    def records_changed(self, now: float, snapshot: Snapshot) -> None:
        """Apply a watch event, unless it is older than what is known."""
        for task in self._tasks_of(snapshot):
            if snapshot.revision > task.revision:
                if task.is_owned_or_acquiring:
                    self._check_leadership(task, snapshot)
                else:
                    self._update_records(task, snapshot.items, snapshot.revision)
                    if self._is_stored_leader(task):  # by a write that was applied late
                        self.state.reread([task.name])
            self.candidacy.schedule_attempt(now, task)

    def _tasks_of(self, snapshot: Snapshot) -> list[TaskOwnership]:
        names = dict.fromkeys(map(task_name, snapshot.items))
        return [self.state.tasks[name] for name in names if name in self.state.tasks]

    def _update_records(self, task: TaskOwnership, items: Mapping[str, Entry | None], revision: int) -> None:
        task.update(items, revision)
        self.state.invalidate_active_tasks()

    def _is_stored_leader(self, task: TaskOwnership) -> bool:
        """Whether the holder record names this node under its current lease."""
        return task.is_led_under(self.state.node, self.lease.lease.id)

    def _check_leadership(self, task: TaskOwnership, snapshot: Snapshot) -> None:
        """Schedule a read if a watch event differs from the records by which this node leads a task."""
        holder_key, record_key = task.keys
        if holder_key in snapshot.items and _revision(snapshot.items[holder_key]) != task.holder_revision:
            self.state.reread([task.name])
            if task.state is OwnershipState.LEADING:
                self.ownership.became_uncertain(task, "the watch reports a change of the holder record")
        if record_key in snapshot.items and _revision(snapshot.items[record_key]) > task.record_revision:
            self.state.reread([task.name])

    def _reconcile(self, now: float, task: TaskOwnership) -> None:
        """Bring the state of a task in line with records just read, which also settle an unresolved write."""
        task.unresolved_write = None
        if not self._is_stored_leader(task):
            if task.is_owned_or_acquiring:
                reason = "another node leads" if task.holder else "no node leads"
                self.ownership.lost(now, task, reason)
            return
        assert task.holder
        same_token = task.holder.fencing_token == task.fencing_token
        if task.state is OwnershipState.RELINQUISHED:
            if task.pending_write is None:
                self.hand_over.release(task)
        elif task.state in (OwnershipState.NOT_LEADING, OwnershipState.ACQUIRING):
            self.ownership.acquired(now, task, self.lease.is_safe(now))
        elif task.state is OwnershipState.UNCERTAIN and self.lease.is_safe(now):
            self._resolve_uncertainty(now, task, same_token)
        elif task.state is OwnershipState.LEADING and not same_token:
            self.ownership.became_uncertain(task, "the stored fencing token differs")
            self.state.reread([task.name])
        if task.unsaved_checkpoint is not None and task.record.checkpoint == task.unsaved_checkpoint:
            self.state.emit(CheckpointSaved(task.name, task.unsaved_checkpoint))
            task.unsaved_checkpoint = None

    def _resolve_uncertainty(self, now: float, task: TaskOwnership, same_token: bool) -> None:
        if not same_token:
            self.ownership.acquired(now, task)
        elif task.token_to_exceed < task.fencing_token:
            self.ownership.confirmed(task)
        elif task.pending_write is None:
            self.candidacy.raise_token(task)

    # Outcomes of writes

    def write_failed(self, now: float, event: WriteFailed) -> None:
        """Handle that a write failed: schedule a read to learn its outcome."""
        task = self._find_awaiting(event.task, event.write_id)
        if task is None:
            return
        purpose, task.pending_write = task.pending_write, None
        self.state.back_off(now, event.retry_after)
        if event.not_applied:
            self._write_not_applied(task, purpose)
        else:
            task.unresolved_write = purpose
        self.state.reread([task.name])

    def write_answered(self, now: float, event: WriteAnswered) -> None:
        """Apply the outcome of a write: the records as written, or those that caused its rejection."""
        task = self._find_awaiting(event.task, event.write_id)
        if task is None:
            return
        purpose, task.pending_write = task.pending_write, None
        if event.result.applied:
            self._write_applied(now, task, purpose, event.result.revision)
        else:
            self._write_rejected(now, task, purpose, event.result)

    def _find_awaiting(self, name: str, write_id: int) -> TaskOwnership | None:
        """Return the task that awaits the answer to this write, None if it is not awaited any more."""
        task = self.state.tasks.get(name)
        awaited = task is not None and task.pending_write is not None and task.write_id == write_id
        return task if awaited else None

    def _write_not_applied(self, task: TaskOwnership, purpose: WritePurpose | None) -> None:
        if purpose is WritePurpose.ACQUIRE and task.state is OwnershipState.ACQUIRING:
            self.state.transition(task, OwnershipState.NOT_LEADING, "the write was not applied")

    def _write_rejected(
        self, now: float, task: TaskOwnership, purpose: WritePurpose | None, result: CompareAndSetResult
    ) -> None:
        # The result is as authoritative as a read if it contains both records and is not outdated.
        is_authoritative = set(task.keys) <= set(result.current) and result.revision >= task.revision
        if is_authoritative:
            self._update_records(task, result.current, result.revision)
        self._write_not_applied(task, purpose)
        if is_authoritative:
            self._reconcile(now, task)
            self.candidacy.schedule_attempt(now, task)
        else:
            self.state.reread([task.name])

    def _write_applied(
        self, now: float, task: TaskOwnership, purpose: WritePurpose | None, revision: int
    ) -> None:
        task.revision = revision
        match purpose:
            case WritePurpose.ACQUIRE | WritePurpose.RAISE_TOKEN:
                self._holder_written(now, task, purpose, revision)
            case WritePurpose.SAVE_CHECKPOINT:
                self._checkpoint_written(task, revision)
            case WritePurpose.RELEASE:
                self._released(now, task, revision)

    def _holder_written(self, now: float, task: TaskOwnership, purpose: WritePurpose, revision: int) -> None:
        token = task.requested_token
        successor = task.record.successor if purpose is WritePurpose.RAISE_TOKEN else ""
        task.holder = Holder(self.state.node, token, self.state.address)
        task.record = replace(
            task.record, fencing_token=token, last_holder=self.state.node, successor=successor
        )
        task.holder_revision = task.record_revision = revision
        task.holder_lease_id = self.lease.lease.id
        task.highest_token = max(task.highest_token, token)
        if task.state in (OwnershipState.ACQUIRING, OwnershipState.UNCERTAIN):
            self.ownership.acquired(now, task, self.lease.is_safe(now))
        # In any other state, the node is draining and releases the task.
        if task.state is OwnershipState.UNCERTAIN:
            self.state.reread([task.name])

    def _checkpoint_written(self, task: TaskOwnership, revision: int) -> None:
        task.record_revision = revision
        task.record = replace(task.record, checkpoint=task.checkpoint_in_flight)
        self.state.emit(CheckpointSaved(task.name, task.checkpoint_in_flight))
        if task.unsaved_checkpoint == task.checkpoint_in_flight:  # otherwise there is a later one
            task.unsaved_checkpoint = None

    def _released(self, now: float, task: TaskOwnership, revision: int) -> None:
        task.holder = None
        task.holder_revision = 0
        task.holder_lease_id = None
        task.record = self.hand_over.record_after_release(task)
        task.record_revision = revision
        self.ownership.lost(now, task, "released")
        self.candidacy.schedule_attempt(now, task)


def _revision(entry: Entry | None) -> int:
    """Return the revision of a record, 0 if it does not exist."""
    return entry.revision if entry else 0
