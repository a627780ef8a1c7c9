"""Hands tasks over to their next leaders: finishes the work, saves its checkpoint and releases the task.

This module decides when to hand over, and makes the leader's writes: checkpoints and the release. Each write
compares the record revisions of the current term of leadership, so that a replaced leader cannot overwrite
what its successor has written.
"""

from __future__ import annotations

import math
from dataclasses import replace

from shelfhaven.consensus.store import CompareAndSet, Put
from shelfhaven.election.elector_state import ElectorState
from shelfhaven.election.messages import FinishTask, TaskEnded
from shelfhaven.election.records import TaskRecord
from shelfhaven.election.task_ownership import OwnershipState, TaskOwnership, WritePurpose


class HandOver:
    """Saves checkpoints and hands tasks over to other nodes."""

    def __init__(self, state: ElectorState) -> None:
        self.state = state

    def begin(self, now: float, task: TaskOwnership, successor: str, reason: str) -> None:
        """Tell the task to finish its work in progress; it is released afterwards."""
        uncertain = task.state is OwnershipState.UNCERTAIN
        timeout = self.state.settings.hand_over_timeout
        self.state.transition(task, OwnershipState.HANDING_OVER, reason)
        task.successor = successor
        task.stop_deadline = now + timeout
        if uncertain:  # the task may no longer act, not even to finish
            self.state.stop_work(task)
        elif task.running:
            self.state.emit(FinishTask(task.name, task.fencing_token, timeout))

    def drain(self, now: float) -> None:
        """Hand over all tasks and acquire no others, for a graceful shutdown."""
        self.state.draining = True
        for task in self.state.tasks.values():
            if task.state in (OwnershipState.LEADING, OwnershipState.UNCERTAIN):
                self.begin_for_drain(now, task)
            elif task.state is OwnershipState.NOT_LEADING:
                self.state.transition(task, OwnershipState.RELINQUISHED, "the node is draining")

    def begin_for_drain(self, now: float, task: TaskOwnership) -> None:
        """Hand over one task because the node is draining."""
        self.begin(now, task, task.next_candidate(self.state.node), "the node is draining")

    def task_ended(self, now: float, event: TaskEnded) -> None:
        """Record that a task has stopped running; if it failed, hand it over."""
        task = self.state.tasks.get(event.task)
        if task is None or task.fencing_token != event.fencing_token or not task.running:
            return
        task.running = False
        if event.failed and task.state in (OwnershipState.LEADING, OwnershipState.UNCERTAIN):
            task.unfit_until = now + self.state.settings.failed_task_cooldown
            self.begin(now, task, task.next_candidate(self.state.node), "the task failed on this node")

    def advance(self, now: float, task: TaskOwnership) -> None:
        """Take the next due step for a task: begin the hand-over, stop, release, or save a checkpoint."""
        if task.state is OwnershipState.LEADING:
            self._begin_if_due(now, task)
        if task.state is OwnershipState.HANDING_OVER and now >= task.stop_deadline:
            self.state.stop_work(task)
        if task.has_open_write or now < self.state.store_paused_until:
            return
        if task.state is OwnershipState.HANDING_OVER and not task.running:
            self.release(task)
        elif task.wants_checkpoint_saved and now >= task.next_checkpoint_at:
            task.next_checkpoint_at = now + self.state.checkpoint_interval()
            self._save_checkpoint(task)

    def record_after_release(self, task: TaskOwnership) -> TaskRecord:
        """Return the record with which the next leader starts."""
        unsaved_checkpoint = task.unsaved_checkpoint
        checkpoint = task.record.checkpoint if unsaved_checkpoint is None else unsaved_checkpoint
        return replace(task.record, checkpoint=checkpoint, successor=task.successor or task.record.successor)

    def release(self, task: TaskOwnership) -> None:
        """Write the release of a task; it applies only if no other term of leadership has begun since."""
        change = CompareAndSet(
            {task.keys.holder: task.holder_revision, task.keys.record: task.record_revision},
            {task.keys.record: Put(self.record_after_release(task).encode())},
            (task.keys.holder,),
        )
        self.state.write(task, WritePurpose.RELEASE, change)

    def _save_checkpoint(self, task: TaskOwnership) -> None:
        task.checkpoint_in_flight = task.unsaved_checkpoint or ""
        record = replace(task.record, checkpoint=task.checkpoint_in_flight)
        change = CompareAndSet(
            {task.keys.holder: task.holder_revision, task.keys.record: task.record_revision},
            {task.keys.record: Put(record.encode())},
        )
        self.state.write(task, WritePurpose.SAVE_CHECKPOINT, change)

    def _begin_if_due(self, now: float, task: TaskOwnership) -> None:
        if task.record.disabled:
            self.begin(now, task, "", "disabled by an operator")
        elif task.record.successor not in ("", self.state.node):
            self.begin(now, task, task.record.successor, "given to another node by an operator")
        else:
            self._begin_if_outranked(now, task)

    def _begin_if_outranked(self, now: float, task: TaskOwnership) -> None:
        """Hand over if another node has been preferred for `hand_over_after`, or if there is no candidate.

        This happens at the earliest when `hand_over_cooldown` has passed since the last change of leader.
        """
        settings = self.state.settings
        order = task.ranking.order
        no_candidates = not order  # the task was removed from the configuration, or no node is eligible
        preferred = self._preferred_leader(task)
        if preferred in ("", self.state.node) and not no_candidates:
            task.better_candidate_since = math.inf
            return
        if task.better_candidate_since == math.inf:
            earliest_start = task.leader_since + settings.hand_over_cooldown - settings.hand_over_after
            task.better_candidate_since = max(now, earliest_start)
        if now >= task.better_candidate_since + settings.hand_over_after:
            reason = "it has no candidates" if no_candidates else f"{preferred} is the preferred leader"
            self.begin(now, task, preferred, reason)

    def _preferred_leader(self, task: TaskOwnership) -> str:
        if not self.state.healthy:
            return task.next_candidate(self.state.node)
        return task.ranking.order[0] if task.ranking.order else ""
