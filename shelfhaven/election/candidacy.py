"""When this node tries to acquire a task that has no leader, and by which write.

Owns ranks, waiting times and fencing tokens. A task is acquired by one write that compares both of its
records, under a fencing token above the highest that is known.
"""

from __future__ import annotations

import math
from dataclasses import replace

from shelfhaven.consensus.store import CompareAndSet, Put
from shelfhaven.election.elector_state import ElectorState
from shelfhaven.election.lease_upkeep import LeaseUpkeep
from shelfhaven.election.records import Holder
from shelfhaven.election.task_ownership import OwnershipState, TaskOwnership, WritePurpose

FALLBACK_RANK = 5  # of a node that acquires a task because none of its candidates did
JITTER_FIRST, JITTER_OTHERS = 0.25, 1.0  # of the delay between candidates, at most: of the first, of others
WAKE_MARGIN = 0.001  # seconds, against waking just before a time


class Candidacy:
    """Plans and makes attempts to acquire tasks."""

    def __init__(self, state: ElectorState, lease: LeaseUpkeep) -> None:
        self.state = state
        self.lease = lease
        self.waits_for_lease = False  # there is a task to acquire, and no safe lease

    def rank(self, now: float, task: TaskOwnership) -> float:
        """Return how many delays this node waits for other candidates; infinite: it does not try."""
        state = self.state
        if state.draining or task.record.disabled or now < task.unfit_until:
            return math.inf
        if task.record.successor == state.node:
            return 0
        rank = task.ranking.rank(state.node)
        if rank is None:
            return FALLBACK_RANK if task.unclaimed and task.ranking.order else math.inf
        delays_for_successor = 1 if task.record.successor else 0
        delays_for_health = 0 if state.healthy else FALLBACK_RANK
        return rank + delays_for_successor + delays_for_health

    def plan(self, now: float, task: TaskOwnership) -> None:
        """Decide when this node tries to acquire a task, if it has no leader by then."""
        relinquished = task.state is OwnershipState.RELINQUISHED
        if relinquished and not self.state.draining and not task.record.disabled:
            self.state.transition(task, OwnershipState.NOT_LEADING, "operators gave it back")
        if task.state is not OwnershipState.NOT_LEADING or task.holder is not None or not task.records_known:
            task.acquire_at = math.inf
            return
        rank = self.rank(now, task)
        if rank == math.inf:
            unfit = now < task.unfit_until
            task.acquire_at = max(now, task.unfit_until) + WAKE_MARGIN if unfit else math.inf
        elif task.acquire_at == math.inf:
            jitter = self.state.random.random() * (JITTER_FIRST if rank == 0 else JITTER_OTHERS)
            task.acquire_at = now + (rank + jitter) * self.state.settings.candidate_delay

    def acquire_due(self, now: float) -> None:
        """Try to acquire the tasks whose time has come; request a lease first where there is no safe one."""
        due = [
            task
            for task in self.state.active_tasks()
            if now >= task.acquire_at and task.pending_write is None
        ]
        if not due or self.state.draining:
            return
        self.waits_for_lease = not self.lease.is_safe(now)
        if self.waits_for_lease:
            self.lease.request(now)
            return
        for task in due:
            self._acquire(now, task)

    def next_attempt(self) -> float:
        """Return when the next task is to be tried; a wait for the lease ends by the answer for that."""
        if self.waits_for_lease:
            return math.inf
        return min((task.acquire_at for task in self.state.active_tasks()), default=math.inf)

    def _acquire(self, now: float, task: TaskOwnership) -> None:
        task.acquire_at = math.inf
        if self.rank(now, task) == math.inf:
            return
        token = task.requested_token = self._token_above(max(task.highest_token, task.record.fencing_token))
        holder = Holder(self.state.node, token, self.state.address)
        # the successor that was named has had the time to acquire it
        record = replace(task.record, fencing_token=token, last_holder=self.state.node, successor="")
        at_holder, at_record = task.keys
        change = CompareAndSet(
            {at_holder: 0, at_record: task.record_revision},
            {at_holder: self._bound_to_lease(holder), at_record: Put(record.encode())},
        )
        self.state.transition(task, OwnershipState.ACQUIRING, "nobody holds it")
        self.state.write(task, WritePurpose.ACQUIRE, change)

    def raise_token(self, task: TaskOwnership) -> None:
        """Write a higher fencing token for a task that this node leads: its target has seen a higher one,
        which the store forgot.
        """
        known = max(task.highest_token, task.record.fencing_token, task.token_to_exceed)
        token = task.requested_token = self._token_above(known)
        holder = Holder(self.state.node, token, self.state.address)
        record = replace(task.record, fencing_token=token, last_holder=self.state.node)
        at_holder, at_record = task.keys
        change = CompareAndSet(
            {at_holder: task.holder_revision, at_record: task.record_revision},
            {at_holder: self._bound_to_lease(holder), at_record: Put(record.encode())},
        )
        self.state.write(task, WritePurpose.RAISE_TOKEN, change)

    def _bound_to_lease(self, holder: Holder) -> Put:
        lease_id = self.lease.lease.id
        assert lease_id is not None, "nothing is written without a safe lease"
        return Put(holder.encode(), lease_id)

    def _token_above(self, highest: int) -> int:
        """Return a token above the highest, that no node chooses which knows no higher one either."""
        tokens = self.state.token_range
        return (highest // tokens + 1) * tokens + self.state.random.randrange(tokens)
