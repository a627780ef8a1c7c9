"""What the components of one elector share: settings, tasks, the outbox of effects, and pacing of the store.

Owns the list of active tasks and the ids of writes. It must never do I/O or read a clock.
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

# The low part of a fencing token is drawn from so many: where a store forgets, two nodes that know the same
# highest token choose different ones. Tokens stay exact in a float for 8e9 acquisitions.
TOKEN_RANGE = 1 << 20

# Shares of the store's request rate that the fleet spends on each kind of request
RENEWALS_SHARE = 0.5
LISTINGS_SHARE = 0.05
READS_SHARE = 0.25
CHECKPOINTS_SHARE = 0.2
START_SHARE = 0.8  # of a fleet that starts

RENEWALS_PER_LEASE = 3.0  # that fit into a lease: two may be lost
REQUESTS_AT_START = 5.0  # of each node
CHECKPOINT_INTERVAL_MIN = 0.05  # seconds between two checkpoints of a task
UNSPREAD_FLEET = 10  # nodes that need not spread their requests


@dataclass(slots=True, eq=False)
class ElectorState:
    """One node's tasks and what is to be done for them."""

    settings: ElectorSettings
    node: str
    address: str
    random: Random
    store_paused_until: float  # until then it gets no requests but renewals
    tasks: dict[str, TaskOwnership] = field(default_factory=dict)
    fleet_size: int = 1
    draining: bool = False
    healthy: bool = True
    token_range: int = TOKEN_RANGE
    effects: list[Effect] = field(default_factory=list)
    records_to_read: dict[str, None] = field(default_factory=dict)  # tasks, in order
    store_backoff: Backoff = field(default_factory=Backoff)
    writes_started: int = 0
    _active_tasks: list[TaskOwnership] = field(default_factory=list)
    _active_tasks_outdated: bool = True

    # Effects

    def emit(self, effect: Effect) -> None:
        """Have an effect carried out after those before it."""
        self.effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects that have come up, and forget them."""
        effects, self.effects = self.effects, []
        return effects

    def transition(self, task: TaskOwnership, state: OwnershipState, reason: str) -> None:
        """Change a task's ownership state; nothing happens if it is that already."""
        if state is task.state:
            return
        if state not in ALLOWED_TRANSITIONS[task.state]:
            raise RuntimeError(f"{task.state.value} is not followed by {state.value}")
        task.state = state
        self.invalidate_active_tasks()
        self.emit(StateChanged(task.name, state, task.fencing_token, reason))

    def stop_work(self, task: TaskOwnership) -> None:
        """Stop a task's work at once, if it runs."""
        if task.running:
            self.emit(StopTask(task.name, task.fencing_token))
            task.running = False

    def write(self, task: TaskOwnership, purpose: WritePurpose, change: CompareAndSet) -> None:
        """Send a write of a task's records."""
        self.writes_started += 1
        task.pending_write, task.write_id = purpose, self.writes_started
        self.emit(WriteRecord(task.name, change, task.write_id))

    def reread(self, names: Iterable[str]) -> None:
        """Have the records of tasks read."""
        self.records_to_read |= dict.fromkeys(names)

    # Tasks

    def active_tasks(self) -> list[TaskOwnership]:
        """Return the tasks that this node has anything to do with."""
        if self._active_tasks_outdated:
            self._active_tasks = [task for task in self.tasks.values() if task.is_relevant_to(self.node)]
            self._active_tasks_outdated = False
        return self._active_tasks

    def invalidate_active_tasks(self) -> None:
        """Have the list of active tasks made anew when it is next needed."""
        self._active_tasks_outdated = True

    # Pacing of requests to the store

    def lease_duration(self) -> float:
        """Return a lease long enough for the renewals of the whole fleet to fit into their share."""
        fitting = (
            self.fleet_size * RENEWALS_PER_LEASE / (self.settings.store_requests_per_second * RENEWALS_SHARE)
        )
        return max(self.settings.lease_duration, fitting)

    def spread_window(self, share: float) -> float:
        """Return the seconds over which the fleet spreads a request of each node; 0 for a small fleet."""
        return max(0.0, self.fleet_size - UNSPREAD_FLEET) / (self.settings.store_requests_per_second * share)

    def listing_interval(self) -> float:
        """Draw the seconds until the next listing of all leaders."""
        within_share = self.fleet_size / (self.settings.store_requests_per_second * LISTINGS_SHARE)
        interval = max(2 * self.lease_duration(), within_share)
        return interval * (0.5 + self.random.random())

    def checkpoint_interval(self) -> float:
        """Return the seconds between two checkpoints of a task, by which the fleet keeps to their share."""
        within_share = len(self.tasks) / (self.settings.store_requests_per_second * CHECKPOINTS_SHARE)
        return max(CHECKPOINT_INTERVAL_MIN, within_share)

    def spread_start(self, now: float) -> None:
        """Spread the first requests of a fleet that starts together."""
        window = REQUESTS_AT_START * self.spread_window(START_SHARE)
        self.store_paused_until = max(self.store_paused_until, now + self.random.random() * window)

    def back_off(self, now: float, retry_after: float | None) -> None:
        """Pause requests after a failure, for a time drawn over the whole fleet's window."""
        shortest = max(self.spread_window(READS_SHARE), self.settings.candidate_delay)
        longest = max(shortest, self.settings.lease_duration)
        delay = min(self.store_backoff.next_delay(self.random, shortest), longest)
        self.store_paused_until = max(self.store_paused_until, now + (retry_after or 0.0) + delay)
