"""Schedules and makes this node's attempts to acquire tasks that have no leader.

This module computes the delay of each candidate and chooses the fencing tokens. A single compare-and-set on
both records of a task acquires it, with a fencing token above the highest known one.
"""

from __future__ import annotations

import math
from dataclasses import replace

from shelfhaven.consensus.store import CompareAndSet, Put
from shelfhaven.election.elector_state import ElectorState
from shelfhaven.election.lease_upkeep import LeaseUpkeep
from shelfhaven.election.records import Holder
from shelfhaven.election.task_ownership import OwnershipState, TaskOwnership, WritePurpose

FALLBACK_RANK = 5  # of a node that is no candidate, for an unclaimed task; added for an unhealthy candidate
# Maximum jitter of an attempt, as a fraction of the candidate delay: of the first candidate, and of others
FIRST_CANDIDATE_JITTER, OTHER_CANDIDATES_JITTER = 0.25, 1.0
WAKE_MARGIN = 0.001  # seconds added to a wake-up time so that the elector does not wake just before it


class Candidacy:
    """Schedules and makes attempts to acquire tasks."""

    def __init__(self, state: ElectorState, lease: LeaseUpkeep) -> None:
        self.state = state
        self.lease = lease
        self.waiting_for_lease = False  # an attempt is due, but the node has no safe lease

    def rank(self, now: float, task: TaskOwnership) -> float:
        """Return the number of candidate delays to wait before an attempt; infinity if none is to be made."""
        state = self.state
        if state.draining or task.record.disabled or now < task.unfit_until:
            return math.inf
        if task.record.successor == state.node:
            return 0
        rank = task.ranking.rank(state.node)
        if rank is None:
            return FALLBACK_RANK if task.unclaimed and task.ranking.order else math.inf
        successor_delays = 1 if task.record.successor else 0  # the named successor goes first
        health_delays = 0 if state.healthy else FALLBACK_RANK
        return rank + successor_delays + health_delays

    def schedule_attempt(self, now: float, task: TaskOwnership) -> None:
        """Schedule this node's next attempt to acquire a task, or cancel it if the task has a leader."""
        relinquished = task.state is OwnershipState.RELINQUISHED
        if relinquished and not self.state.draining and not task.record.disabled:
            self.state.transition(task, OwnershipState.NOT_LEADING, "enabled by an operator")
        if task.state is not OwnershipState.NOT_LEADING or task.holder is not None or not task.records_known:
            task.acquire_at = math.inf
            return
        rank = self.rank(now, task)
        if rank == math.inf:
            unfit = now < task.unfit_until
            task.acquire_at = max(now, task.unfit_until) + WAKE_MARGIN if unfit else math.inf
        elif task.acquire_at == math.inf:
            jitter = self.state.random.random() * (
                FIRST_CANDIDATE_JITTER if rank == 0 else OTHER_CANDIDATES_JITTER
            )
            task.acquire_at = now + (rank + jitter) * self.state.settings.candidate_delay

    def acquire_due(self, now: float) -> None:
        """Try to acquire the tasks whose attempts are due; request a lease first if there is no safe one."""
        due = [
            task
            for task in self.state.active_tasks()
            if now >= task.acquire_at and task.pending_write is None
        ]
        if not due or self.state.draining:
            return
        self.waiting_for_lease = not self.lease.is_safe(now)
        if self.waiting_for_lease:
            self.lease.request(now)
            return
        for task in due:
            self._acquire(now, task)

    def next_attempt(self) -> float:
        """Return when the next attempt is due; infinity while waiting for an answer about the lease."""
        if self.waiting_for_lease:
            return math.inf
        return min((task.acquire_at for task in self.state.active_tasks()), default=math.inf)

    def _acquire(self, now: float, task: TaskOwnership) -> None:
        task.acquire_at = math.inf
        if self.rank(now, task) == math.inf:
            return
        token = task.requested_token = self._token_above(max(task.highest_token, task.record.fencing_token))
        holder = Holder(self.state.node, token, self.state.address)
        # Clears the successor, which has had enough time to acquire the task.
        record = replace(task.record, fencing_token=token, last_holder=self.state.node, successor="")
        holder_key, record_key = task.keys
        change = CompareAndSet(
            {holder_key: 0, record_key: task.record_revision},
            {holder_key: self._put_with_lease(holder), record_key: Put(record.encode())},
        )
        self.state.transition(task, OwnershipState.ACQUIRING, "it has no leader")
        self.state.write(task, WritePurpose.ACQUIRE, change)

    def raise_token(self, task: TaskOwnership) -> None:
        """Write a higher fencing token for a task that this node leads.

        This is needed if the target has seen a token that the store has lost.
        """
        highest_known = max(task.highest_token, task.record.fencing_token, task.token_to_exceed)
        token = task.requested_token = self._token_above(highest_known)
        holder = Holder(self.state.node, token, self.state.address)
        record = replace(task.record, fencing_token=token, last_holder=self.state.node)
        holder_key, record_key = task.keys
        change = CompareAndSet(
            {holder_key: task.holder_revision, record_key: task.record_revision},
            {holder_key: self._put_with_lease(holder), record_key: Put(record.encode())},
        )
        self.state.write(task, WritePurpose.RAISE_TOKEN, change)

    def _put_with_lease(self, holder: Holder) -> Put:
        lease_id = self.lease.lease.id
        assert lease_id is not None, "a holder record is written only with a lease"
        return Put(holder.encode(), lease_id)

    def _token_above(self, highest: int) -> int:
        """Return a token above `highest`; its low part is random.

        Nodes that know the same highest token thus choose different ones, except by a rare coincidence.
        """
        token_range = self.state.token_range
        return (highest // token_range + 1) * token_range + self.state.random.randrange(token_range)
