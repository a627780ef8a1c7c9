"""Gains and losses of leadership: what they mean for the work, the lease and the next attempt to acquire.

Owns the start, the suspension and the end of a task's work. After uncertainty nothing is done before the
records have been read anew.
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
from shelfhaven.election.records import CHECKPOINT_MAX
from shelfhaven.election.task_ownership import OwnershipState, TaskOwnership


class OwnershipChanges:
    """Makes this node the leader of tasks, and ends that."""

    def __init__(
        self, state: ElectorState, lease: LeaseUpkeep, candidacy: Candidacy, hand_over: HandOver
    ) -> None:
        self.state = state
        self.lease = lease
        self.candidacy = candidacy
        self.hand_over = hand_over

    def acquired(self, now: float, task: TaskOwnership, lease_is_safe: bool = True) -> None:
        """The store names this node as the leader."""
        assert task.holder
        if task.fencing_token != task.holder.fencing_token:
            self.state.stop_work(task)
        task.fencing_token = task.holder.fencing_token
        task.leader_since = now
        task.unclaimed = False
        task.better_candidate_since = math.inf
        task.token_to_exceed = 0
        if not lease_is_safe:
            self.state.transition(task, OwnershipState.UNCERTAIN, "the lease may be over already")
            return
        self.state.transition(task, OwnershipState.LEADING, "taken")
        if self.state.draining:
            self.hand_over.begin_for_drain(now, task)
        elif not task.running:
            self._start_work(task)

    def confirmed(self, task: TaskOwnership) -> None:
        """Leadership that was uncertain is sure again, under the same fencing token."""
        self.state.transition(task, OwnershipState.LEADING, "read anew")
        if task.running:
            self.state.emit(ResumeTask(task.name, task.fencing_token))
        else:  # it was uncertain from its first moment on
            self._start_work(task)

    def uncertain(self, task: TaskOwnership, reason: str) -> None:
        """Leadership may be over: suspend the work."""
        self.state.transition(task, OwnershipState.UNCERTAIN, reason)
        if task.running:
            self.state.emit(SuspendTask(task.name, task.fencing_token))

    def lost(self, now: float, task: TaskOwnership, reason: str) -> None:
        """This node is not the leader any more, or did not become it."""
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
        """The store has ended the lease, and with it whatever was bound to it."""
        self.lease.forget()
        for task in self.state.tasks.values():
            if task.is_owned:
                self.lost(now, task, "the store has ended the lease")
                self.state.reread([task.name])

    def lease_renewed(self) -> None:
        """Find out whether uncertain leadership still stands."""
        uncertain = (
            task.name for task in self.state.tasks.values() if task.state is OwnershipState.UNCERTAIN
        )
        self.state.reread(uncertain)

    def check_lease(self, now: float) -> None:
        """Do nothing more in any task once the lease may be over."""
        if self.lease.is_safe(now):
            return
        for task in self.state.active_tasks():
            if task.state is OwnershipState.LEADING:
                self.uncertain(task, "the lease may be over")
            elif task.state is OwnershipState.HANDING_OVER:
                self.state.stop_work(task)

    def store_replaced(self, now: float) -> None:
        """Give all tasks up: another store knows neither lease nor leaders. Tokens are remembered."""
        for task in self.state.tasks.values():
            if task.is_owned_or_acquiring:
                self.lost(now, task, "the store is another")
            task.forget_records()
            if task.is_candidate(self.state.node):
                self.state.reread([task.name])
        self.lease.forget()

    def checkpoint_reached(self, event: CheckpointReached) -> None:
        """Have a checkpoint of the current work saved; the last one counts."""
        task = self.state.tasks.get(event.task)
        if task and task.fencing_token == event.fencing_token and task.is_owned:
            task.unsaved_checkpoint = event.checkpoint[:CHECKPOINT_MAX]

    def token_rejected(self, event: FencingTokenRejected) -> None:
        """The target of the work has seen a higher token: another leads, or the store forgot."""
        task = self.state.tasks.get(event.task)
        if task is None or task.fencing_token != event.fencing_token or not task.is_owned:
            return
        task.highest_token = max(task.highest_token, event.highest_token)
        if task.state is OwnershipState.LEADING:
            self.uncertain(task, f"number {event.highest_token} was seen by what it acts on")
            task.token_to_exceed = event.highest_token
            self.state.reread([task.name])

    def _start_work(self, task: TaskOwnership) -> None:
        task.running = True
        self.state.emit(StartTask(task.name, task.fencing_token, task.record.checkpoint))
