"""Effects of gaining, doubting and losing leadership on a task's work, the lease and the next candidacy.

`OwnershipChanges` starts, suspends and stops the work of tasks. Once leadership has been uncertain, the work
resumes only after the records have been read again.
"""

from __future__ import annotations

import math

from shelfhaven.election.candidacy import Candidacy
from shelfhaven.election.elector_state import ElectorState
from shelfhaven.election.hand_over import HandOver
from shelfhaven.election.lease_upkeep import LeaseUpkeep
from shelfhaven.election.messages import (
    CheckpointReached,
    FencingTokenRejected,
    ResumeTask,
    StartTask,
    SuspendTask,
)
from shelfhaven.election.records import MAX_CHECKPOINT_LENGTH
from shelfhaven.election.task_ownership import OwnershipState, TaskOwnership


class OwnershipChanges:
    """Starts, suspends and ends this node's leadership of tasks."""

    def __init__(
        self, state: ElectorState, lease: LeaseUpkeep, candidacy: Candidacy, hand_over: HandOver
    ) -> None:
        self.state = state
        self.lease = lease
        self.candidacy = candidacy
        self.hand_over = hand_over

    def acquired(self, now: float, task: TaskOwnership, lease_is_safe: bool = True) -> None:
        """Handle that the store names this node as the leader of a task."""
        assert task.holder
        if task.fencing_token != task.holder.fencing_token:
            self.state.stop_work(task)
        task.fencing_token = task.holder.fencing_token
        task.leader_since = now
        task.unclaimed = False
        task.better_candidate_since = math.inf
        task.token_to_exceed = 0
        if not lease_is_safe:
            self.state.transition(task, OwnershipState.UNCERTAIN, "the lease may have expired already")
            return
        self.state.transition(task, OwnershipState.LEADING, "acquired")
        if self.state.draining:
            self.hand_over.begin_for_drain(now, task)
        elif not task.running:
            self._start_work(task)

    def confirmed(self, task: TaskOwnership) -> None:
        """Handle that uncertain leadership is confirmed under the same fencing token."""
        self.state.transition(task, OwnershipState.LEADING, "confirmed by a read of the records")
        if task.running:
            self.state.emit(ResumeTask(task.name, task.fencing_token))
        else:  # leadership was uncertain from the start
            self._start_work(task)

    def became_uncertain(self, task: TaskOwnership, reason: str) -> None:
        """Handle that leadership may have been lost: suspend the work."""
        self.state.transition(task, OwnershipState.UNCERTAIN, reason)
        if task.running:
            self.state.emit(SuspendTask(task.name, task.fencing_token))

    def lost(self, now: float, task: TaskOwnership, reason: str) -> None:
        """Handle that this node has lost leadership or has failed to acquire it."""
        self.state.stop_work(task)
        relinquished = self.state.draining or task.record.disabled
        next_state = OwnershipState.RELINQUISHED if relinquished else OwnershipState.NOT_LEADING
        self.state.transition(task, next_state, reason)
        task.unsaved_checkpoint = None
        task.successor = ""
        task.stop_deadline = math.inf
        task.token_to_exceed = 0
        task.pending_write = task.unresolved_write = None
        if not any(other.is_owned for other in self.state.tasks.values()):
            self.lease.mark_idle(now)
        self.candidacy.schedule_attempt(now, task)

    def lease_expired(self, now: float) -> None:
        """Handle that the lease has expired in the store, and the holder records bound to it with it."""
        self.lease.forget()
        for task in self.state.tasks.values():
            if task.is_owned:
                self.lost(now, task, "the lease has expired in the store")
                self.state.reread([task.name])

    def lease_renewed(self) -> None:
        """Read the records of tasks with uncertain leadership, to confirm or end it."""
        uncertain_tasks = (
            task.name for task in self.state.tasks.values() if task.state is OwnershipState.UNCERTAIN
        )
        self.state.reread(uncertain_tasks)

    def check_lease(self, now: float) -> None:
        """Suspend or stop the work of all tasks if the lease may have expired."""
        if self.lease.is_safe(now):
            return
        for task in self.state.active_tasks():
            if task.state is OwnershipState.LEADING:
                self.became_uncertain(task, "the lease may have expired")
            elif task.state is OwnershipState.HANDING_OVER:
                self.state.stop_work(task)

    def store_replaced(self, now: float) -> None:
        """Give up all tasks, as the new store has neither the lease nor the leaders of the old one.

        The highest fencing tokens are kept: the targets of the tasks still reject lower ones.
        """
        for task in self.state.tasks.values():
            if task.is_owned_or_acquiring:
                self.lost(now, task, "the store was replaced")
            task.forget_records()
            if task.is_relevant_to(self.state.node):
                self.state.reread([task.name])
        self.lease.forget()

    def checkpoint_reached(self, event: CheckpointReached) -> None:
        """Schedule a checkpoint of the current work to be saved; it replaces an earlier unsaved one."""
        task = self.state.tasks.get(event.task)
        if task and task.fencing_token == event.fencing_token and task.is_owned:
            task.unsaved_checkpoint = event.checkpoint[:MAX_CHECKPOINT_LENGTH]

    def token_rejected(self, event: FencingTokenRejected) -> None:
        """Handle that the target has seen a higher token.

        Either another node leads, or the store has lost the record of a higher token.
        """
        task = self.state.tasks.get(event.task)
        if task is None or task.fencing_token != event.fencing_token or not task.is_owned:
            return
        task.highest_token = max(task.highest_token, event.highest_token)
        if task.state is OwnershipState.LEADING:
            self.became_uncertain(
                task,
                f"the target rejected the fencing token; the highest it reported is {event.highest_token}",
            )
            task.token_to_exceed = event.highest_token
            self.state.reread([task.name])

    def _start_work(self, task: TaskOwnership) -> None:
        task.running = True
        self.state.emit(StartTask(task.name, task.fencing_token, task.record.checkpoint))
