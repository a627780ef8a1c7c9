"""What the store's answers mean for tasks: reads, watch events, and the outcomes of this node's writes.

Owns the comparison of what the store says with what this node takes itself for. A fresh read, and a rejected
write that names both records, are authoritative; a watch event is a hint that may be late.
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
    """Applies the store's answers."""

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
        """Take over records as read; ones overtaken on their way by what is known by now are read again."""
        for task in self._tasks_of(snapshot):
            if task.revision_when_read <= snapshot.revision < task.revision:
                self.state.reread([task.name])
            else:  # a revision older than was known when the read was sent is another store's
                self._update(task, snapshot.items, snapshot.revision)
                task.known = True
                if task.state is OwnershipState.ACQUIRING and not task.has_open_write:
                    self.state.transition(task, OwnershipState.NOT_LEADING, "read anew")
                self._reconcile(now, task)
            self.candidacy.schedule_attempt(now, task)

    def records_changed(self, now: float, snapshot: Snapshot) -> None:
        """Take a watch event as a hint, unless it is older than what is known."""
        for task in self._tasks_of(snapshot):
            if snapshot.revision > task.revision:
                if task.is_owned_or_acquiring:
                    self._check_leadership(task, snapshot)
                else:
                    self._update(task, snapshot.items, snapshot.revision)
                    if self._is_leader(task):  # by a write that came through late
                        self.state.reread([task.name])
            self.candidacy.schedule_attempt(now, task)

    def _tasks_of(self, snapshot: Snapshot) -> list[TaskOwnership]:
        names = dict.fromkeys(map(task_name, snapshot.items))
        return [self.state.tasks[name] for name in names if name in self.state.tasks]

    def _update(self, task: TaskOwnership, items: Mapping[str, Entry | None], revision: int) -> None:
        task.update(items, revision)
        self.state.invalidate_active_tasks()

    def _is_leader(self, task: TaskOwnership) -> bool:
        return task.is_led_under(self.state.node, self.lease.lease.id)

    def _check_leadership(self, task: TaskOwnership, snapshot: Snapshot) -> None:
        """Read the records anew if a watch event differs from what this node leads by."""
        at_holder, at_record = task.keys
        if at_holder in snapshot.items and _revision(snapshot.items[at_holder]) != task.holder_revision:
            self.state.reread([task.name])
            if task.state is OwnershipState.LEADING:
                self.ownership.uncertain(task, "the store tells of another holder")
        if at_record in snapshot.items and _revision(snapshot.items[at_record]) > task.record_revision:
            self.state.reread([task.name])

    def _reconcile(self, now: float, task: TaskOwnership) -> None:
        """Bring a task's state in line with its fresh records: what was unresolved is resolved by them."""
        task.unresolved_write = None
        if not self._is_leader(task):
            if task.is_owned_or_acquiring:
                reason = "somebody else holds it" if task.holder else "nobody holds it"
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
            self._end_uncertainty(now, task, same_token)
        elif task.state is OwnershipState.LEADING and not same_token:
            self.ownership.uncertain(task, "the store has it under another number")
            self.state.reread([task.name])
        if task.unsaved_checkpoint is not None and task.record.checkpoint == task.unsaved_checkpoint:
            self.state.emit(CheckpointSaved(task.name, task.unsaved_checkpoint))
            task.unsaved_checkpoint = None

    def _end_uncertainty(self, now: float, task: TaskOwnership, same_token: bool) -> None:
        if not same_token:
            self.ownership.acquired(now, task)
        elif task.token_to_exceed < task.fencing_token:
            self.ownership.confirmed(task)
        elif task.pending_write is None:
            self.candidacy.raise_token(task)

    # Outcomes of writes

    def write_failed(self, now: float, event: WriteFailed) -> None:
        """Read what became of a write."""
        task = self._written(event.task, event.write_id)
        if task is None:
            return
        purpose, task.pending_write = task.pending_write, None
        self.state.back_off(now, event.retry_after)
        if event.not_applied:
            self._not_applied(task, purpose)
        else:
            task.unresolved_write = purpose
        self.state.reread([task.name])

    def write_answered(self, now: float, event: WriteAnswered) -> None:
        """Take over what was written, or what stood in its way."""
        task = self._written(event.task, event.write_id)
        if task is None:
            return
        purpose, task.pending_write = task.pending_write, None
        if event.result.applied:
            self._applied(now, task, purpose, event.result.revision)
        else:
            self._rejected(now, task, purpose, event.result)

    def _written(self, name: str, write_id: int) -> TaskOwnership | None:
        """Return the task whose pending write is answered; None if nobody waits for the answer any more."""
        task = self.state.tasks.get(name)
        awaited = task is not None and task.pending_write is not None and task.write_id == write_id
        return task if awaited else None

    def _not_applied(self, task: TaskOwnership, purpose: WritePurpose | None) -> None:
        if purpose is WritePurpose.ACQUIRE and task.state is OwnershipState.ACQUIRING:
            self.state.transition(task, OwnershipState.NOT_LEADING, "somebody was quicker")

    def _rejected(
        self, now: float, task: TaskOwnership, purpose: WritePurpose | None, result: CompareAndSetResult
    ) -> None:
        # what stood in the way is as good as a read, if it is all there and not overtaken
        as_good_as_read = set(task.keys) <= set(result.current) and result.revision >= task.revision
        if as_good_as_read:
            self._update(task, result.current, result.revision)
        self._not_applied(task, purpose)
        if as_good_as_read:
            self._reconcile(now, task)
            self.candidacy.schedule_attempt(now, task)
        else:
            self.state.reread([task.name])

    def _applied(self, now: float, task: TaskOwnership, purpose: WritePurpose | None, revision: int) -> None:
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
        task.holder_lease = self.lease.lease.id
        task.highest_token = max(task.highest_token, token)
        if task.state in (OwnershipState.ACQUIRING, OwnershipState.UNCERTAIN):
            self.ownership.acquired(now, task, self.lease.is_safe(now))
        # in any other state the node drains, and releases the task
        if task.state is OwnershipState.UNCERTAIN:
            self.state.reread([task.name])

    def _checkpoint_written(self, task: TaskOwnership, revision: int) -> None:
        task.record_revision = revision
        task.record = replace(task.record, checkpoint=task.checkpoint_in_flight)
        self.state.emit(CheckpointSaved(task.name, task.checkpoint_in_flight))
        if task.unsaved_checkpoint == task.checkpoint_in_flight:  # else there is a later one by now
            task.unsaved_checkpoint = None

    def _released(self, now: float, task: TaskOwnership, revision: int) -> None:
        task.holder = None
        task.holder_revision = 0
        task.holder_lease = None
        task.record = self.hand_over.record_after_release(task)
        task.record_revision = revision
        self.ownership.lost(now, task, "handed on")
        self.candidacy.schedule_attempt(now, task)


def _revision(entry: Entry | None) -> int:
    """Return the revision of a record, 0 for one that is not there."""
    return entry.revision if entry else 0
