"""The state that the components of an elector share: settings, tasks, effects, and pacing of store requests.

This module also caches the list of active tasks and numbers the writes. It does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from shelfhaven.consensus.store import CompareAndSet
from shelfhaven.election.messages import Effect, StateChanged, StopTask, WriteRecord
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.election.task_ownership import (
    ALLOWED_TRANSITIONS,
    OwnershipState,
    TaskOwnership,
    WritePurpose,
)
from shelfhaven.membership.poll_schedule import Backoff

# The low part of a fencing token is a random number below this one, so that two nodes that know the same
# highest token choose different ones if the store has lost its data. A double represents tokens exactly for
# 8e9 acquisitions.
TOKEN_RANGE = 1 << 20

# Shares of `store_requests_per_second` for each kind of request
RENEWALS_SHARE = 0.5
LISTINGS_SHARE = 0.05
READS_SHARE = 0.25
CHECKPOINTS_SHARE = 0.2
START_SHARE = 0.8  # for all requests while a fleet starts

RENEWALS_PER_LEASE = 3.0  # per lease duration, so that the lease survives the loss of two
REQUESTS_AT_START = 5.0  # of each node
MIN_CHECKPOINT_INTERVAL = 0.05  # seconds between two checkpoints of a task
SMALL_FLEET_SIZE = 10  # nodes; up to this size a fleet does not spread its requests over time


@dataclass(slots=True, eq=False)
class ElectorState:
    """The tasks of one node, the effects to carry out, and what is known about the fleet."""

    settings: ElectorSettings
    node: str
    address: str
    random: Random
    store_paused_until: float  # until then the store gets only lease renewals
    tasks: dict[str, TaskOwnership] = field(default_factory=dict)
    fleet_size: int = 1
    draining: bool = False
    healthy: bool = True
    token_range: int = TOKEN_RANGE
    effects: list[Effect] = field(default_factory=list)
    records_to_read: dict[str, None] = field(default_factory=dict)  # an ordered set of task names
    store_backoff: Backoff = field(default_factory=Backoff)
    writes_started: int = 0
    _active_tasks: list[TaskOwnership] = field(default_factory=list)
    _active_tasks_outdated: bool = True

    # Effects

    def emit(self, effect: Effect) -> None:
        """Append an effect to those that are to be carried out."""
        self.effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return and clear the collected effects."""
        effects, self.effects = self.effects, []
        return effects

    def transition(self, task: TaskOwnership, state: OwnershipState, reason: str) -> None:
        """Change the ownership state of a task; do nothing if it is in this state already."""
        if state is task.state:
            return
        if state not in ALLOWED_TRANSITIONS[task.state]:
            raise RuntimeError(f"invalid ownership transition: {task.state.value} -> {state.value}")
        task.state = state
        self.invalidate_active_tasks()
        self.emit(StateChanged(task.name, state, task.fencing_token, reason))

    def stop_work(self, task: TaskOwnership) -> None:
        """Stop a task immediately if it is running."""
        if task.running:
            self.emit(StopTask(task.name, task.fencing_token))
            task.running = False

    def write(self, task: TaskOwnership, purpose: WritePurpose, change: CompareAndSet) -> None:
        """Send a write to a task's records."""
        self.writes_started += 1
        task.pending_write, task.write_id = purpose, self.writes_started
        self.emit(WriteRecord(task.name, change, task.write_id))

    def reread(self, names: Iterable[str]) -> None:
        """Schedule a read of the records of these tasks."""
        self.records_to_read |= dict.fromkeys(names)

    # Tasks

    def active_tasks(self) -> list[TaskOwnership]:
        """Return the tasks that this node owns, is acquiring or is a candidate for."""
        if self._active_tasks_outdated:
            self._active_tasks = [task for task in self.tasks.values() if task.is_relevant_to(self.node)]
            self._active_tasks_outdated = False
        return self._active_tasks

    def invalidate_active_tasks(self) -> None:
        """Discard the cached list of active tasks."""
        self._active_tasks_outdated = True

    # Pacing of requests to the store

    def lease_duration(self) -> float:
        """Return the lease duration, long enough to keep the fleet's renewals within their share."""
        min_duration = (
            self.fleet_size * RENEWALS_PER_LEASE / (self.settings.store_requests_per_second * RENEWALS_SHARE)
        )
        return max(self.settings.lease_duration, min_duration)

    def spread_window(self, share: float) -> float:
        """Return the seconds over which the fleet spreads one request per node; 0 for a small fleet."""
        return max(0.0, self.fleet_size - SMALL_FLEET_SIZE) / (
            self.settings.store_requests_per_second * share
        )

    def listing_interval(self) -> float:
        """Return the seconds until the next listing of all holders, with random jitter."""
        min_interval = self.fleet_size / (self.settings.store_requests_per_second * LISTINGS_SHARE)
        interval = max(2 * self.lease_duration(), min_interval)
        return interval * (0.5 + self.random.random())

    def checkpoint_interval(self) -> float:
        """Return the seconds between two checkpoints of a task that keep the fleet within their share."""
        min_interval = len(self.tasks) / (self.settings.store_requests_per_second * CHECKPOINTS_SHARE)
        return max(MIN_CHECKPOINT_INTERVAL, min_interval)

    def spread_start(self, now: float) -> None:
        """Delay the first requests at random, to spread the load of a fleet whose nodes start together."""
        window = REQUESTS_AT_START * self.spread_window(START_SHARE)
        self.store_paused_until = max(self.store_paused_until, now + self.random.random() * window)

    def back_off(self, now: float, retry_after: float | None) -> None:
        """Pause requests after a failure for a random time that grows with the size of the fleet."""
        min_delay = max(self.spread_window(READS_SHARE), self.settings.candidate_delay)
        max_delay = max(min_delay, self.settings.lease_duration)
        delay = min(self.store_backoff.next_delay(self.random, min_delay), max_delay)
        self.store_paused_until = max(self.store_paused_until, now + (retry_after or 0.0) + delay)
