"""Elects the leaders of singleton tasks: one node's state machine, which turns inputs into effects.

The elector does no I/O and reads no clock: its methods take the time of `membership/clock.py` and return the
effects to carry out. This module composes its components and defines the order in which they act.

Safety depends on the following rules. `lab/lease_model.py` contains deliberate mistakes in them, which its
search must find.

- The duration of a lease counts from *before* its request was sent, minus a fraction for clocks that run at
  different rates, minus a margin (`lease_upkeep.py`).
- A single write, which compares both records of a task, acquires it with a fencing token above the highest
  known one. The low part of the token is random, so that two nodes that know the same highest token choose
  different ones if the store has lost its data (`candidacy.py`).
- The write that ends a term of leadership compares the revision of that term, so that a replaced leader
  cannot take the task from its successor (`hand_over.py`).
- After uncertainty, a task may act only when its records have been read again (`store_updates.py`).

The target of a task checks only the fencing token; the other rules just make rejections rare.
"""

from __future__ import annotations

from random import Random

from shelfhaven.election.candidacy import Candidacy
from shelfhaven.election.candidate_ranking import NO_CANDIDATES
from shelfhaven.election.elector_state import ElectorState
from shelfhaven.election.hand_over import HandOver
from shelfhaven.election.lease_upkeep import LeaseUpkeep
from shelfhaven.election.messages import (
    CandidatesRanked,
    CheckpointReached,
    DrainStarted,
    Effect,
    FencingTokenRejected,
    HealthChanged,
    HoldersListed,
    Input,
    LeaseExpired,
    LeaseGranted,
    LeaseRenewalFailed,
    LeaseRenewed,
    LeaseRequestFailed,
    ListingFailed,
    ReadFailed,
    RecordsChanged,
    RecordsRead,
    StoreReplaced,
    TaskEnded,
    WatchEnded,
    WriteAnswered,
    WriteFailed,
)
from shelfhaven.election.ownership_changes import OwnershipChanges
from shelfhaven.election.records import holder_key
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.election.store_scan import StoreScan
from shelfhaven.election.store_updates import StoreUpdates
from shelfhaven.election.task_ownership import OwnershipState, TaskOwnership


class Elector:
    """Elects the leaders of all singleton tasks, on behalf of one node."""

    def __init__(
        self, settings: ElectorSettings, node: str, now: float, random: Random, address: str = ""
    ) -> None:
        self.state = ElectorState(settings, node, address, random, store_paused_until=now)
        self.lease_upkeep = LeaseUpkeep(self.state)
        self.candidacy = Candidacy(self.state, self.lease_upkeep)
        self.hand_over = HandOver(self.state)
        self.ownership = OwnershipChanges(self.state, self.lease_upkeep, self.candidacy, self.hand_over)
        self.store_scan = StoreScan(self.state)
        self.store_updates = StoreUpdates(
            self.state, self.lease_upkeep, self.candidacy, self.hand_over, self.ownership
        )
        self.candidates_known = False

    # Queries and settings

    @property
    def tasks(self) -> dict[str, TaskOwnership]:
        """The tasks by name."""
        return self.state.tasks

    @property
    def has_unfinished_work(self) -> bool:
        """Whether this node owns a task or has a pending write."""
        return any(task.is_owned or task.pending_write is not None for task in self.tasks.values())

    @property
    def healthy(self) -> bool:
        """Whether the node was healthy enough to lead according to the last `HealthChanged`."""
        return self.state.healthy

    @property
    def lease_id(self) -> int | None:
        """The id of the node's lease, or None without a lease."""
        return self.lease_upkeep.lease.id

    def reconfigure(self, settings: ElectorSettings) -> None:
        """Replace the settings."""
        self.state.settings = settings

    def safe_until(self) -> float:
        """Return the time, by this node's clock, until which its lease certainly lasts."""
        return self.lease_upkeep.safe_until()

    def time_to_act(self, now: float, name: str, fencing_token: int) -> float:
        """Return the seconds for which the node is sure to lead a task with this token; 0 if it is not."""
        task = self.tasks.get(name)
        if task is None or task.fencing_token != fencing_token:
            return 0.0
        # After the work has ended, the task may be released at any moment.
        finishing = task.state is OwnershipState.HANDING_OVER and task.running
        if task.state is not OwnershipState.LEADING and not finishing:
            return 0.0
        return max(0.0, self.safe_until() - now)

    def led_tasks(self) -> list[str]:
        """Return the tasks that this node leads without uncertainty."""
        return [task.name for task in self.tasks.values() if task.state is OwnershipState.LEADING]

    # Inputs

    def on(self, now: float, event: Input) -> list[Effect]:
        """Process an input; return the effects to carry out, in order."""
        match event:
            case (
                LeaseGranted()
                | LeaseRequestFailed()
                | LeaseRenewed()
                | LeaseExpired()
                | LeaseRenewalFailed()
            ):
                self._on_lease_event(now, event)
            case CheckpointReached() | FencingTokenRejected() | TaskEnded():
                self._on_task_event(now, event)
            case CandidatesRanked():
                self._on_candidates_ranked(now, event)
            case HealthChanged():
                self.state.healthy = event.healthy
            case DrainStarted():
                self.hand_over.drain(now)
            case StoreReplaced():
                self._on_store_replaced(now)
            case _:
                self._on_store_event(now, event)
        self._take_due_steps(now)
        return self.state.take_effects()

    def wake(self, now: float) -> list[Effect]:
        """Take the steps that are due; return the effects to carry out, in order."""
        self._take_due_steps(now)
        return self.state.take_effects()

    def next_wake(self) -> float:
        """Return when the next step is due; infinity if none is."""
        active = self.state.active_tasks()
        settings = self.state.settings
        leading = [task for task in active if task.state is OwnershipState.LEADING]
        finishing = [task for task in active if task.state is OwnershipState.HANDING_OVER and task.running]
        due = [self.lease_upkeep.next_renewal()]
        if leading or finishing:
            due.append(self.safe_until())
        due += [task.stop_deadline for task in finishing]
        due += [task.better_candidate_since + settings.hand_over_after for task in leading]
        checkpoints = [task.next_checkpoint_at for task in active if task.wants_checkpoint_saved]
        store_due = min([self.candidacy.next_attempt(), self.store_scan.next_request(), *checkpoints])
        due.append(max(self.state.store_paused_until, store_due))
        return min(due)

    def _on_lease_event(
        self,
        now: float,
        event: LeaseGranted | LeaseRequestFailed | LeaseRenewed | LeaseExpired | LeaseRenewalFailed,
    ) -> None:
        if isinstance(event, LeaseGranted):
            self.lease_upkeep.granted(now, event)
            return
        if isinstance(event, LeaseRequestFailed):
            self.lease_upkeep.request_failed()
            self.state.back_off(now, event.retry_after)
            return
        if event.lease_id != self.lease_upkeep.lease.id:
            return
        match event:
            case LeaseRenewed():
                self.lease_upkeep.renewed(event)
                self.ownership.lease_renewed()
            case LeaseExpired():
                self.ownership.lease_expired(now)
            case LeaseRenewalFailed():
                self.lease_upkeep.renewal_failed(now, event)

    def _on_task_event(self, now: float, event: CheckpointReached | FencingTokenRejected | TaskEnded) -> None:
        match event:
            case CheckpointReached():
                self.ownership.checkpoint_reached(event)
            case FencingTokenRejected():
                self.ownership.token_rejected(event)
            case TaskEnded():
                self.hand_over.task_ended(now, event)

    def _on_store_event(self, now: float, event: Input) -> None:
        match event:
            case RecordsRead():
                self.store_scan.read_answered()
                self.store_updates.records_read(now, event.snapshot)
            case RecordsChanged() if self.store_scan.watched_keys:
                self.store_updates.records_changed(now, event.snapshot)
            case ReadFailed():
                self.store_scan.read_failed(now, event.retry_after)
            case WatchEnded():
                self.store_scan.watch_ended(now, event.retry_after)
            case WriteAnswered():
                self.store_updates.write_answered(now, event)
            case WriteFailed():
                self.store_updates.write_failed(now, event)
            case HoldersListed():
                self.store_scan.holders_listed(event.snapshot)
            case ListingFailed():
                self.store_scan.listing_failed(now, event.retry_after)

    def _on_candidates_ranked(self, now: float, event: CandidatesRanked) -> None:
        state = self.state
        state.fleet_size = max(1, event.fleet_size)
        for name, ranking in event.rankings.items():
            task = state.tasks.setdefault(name, TaskOwnership(name))
            task.ranking = ranking
            if task.is_relevant_to(state.node) and holder_key(name) not in self.store_scan.watched_keys:
                state.reread([name])  # its records may be outdated
        for name in [name for name in state.tasks if name not in event.rankings]:
            self._remove_task(state.tasks[name])
        state.invalidate_active_tasks()
        if not self.candidates_known:
            self.candidates_known = True
            state.spread_start(now)
        self.store_scan.schedule_first_listing(now)

    def _remove_task(self, task: TaskOwnership) -> None:
        """Remove a task that is no longer configured; a task that this node owns is handed over first."""
        task.ranking = NO_CANDIDATES
        if task.state in (OwnershipState.NOT_LEADING, OwnershipState.RELINQUISHED):
            del self.state.tasks[task.name]

    def _on_store_replaced(self, now: float) -> None:
        self.store_scan.forget()
        self.ownership.store_replaced(now)
        self.state.store_paused_until = now

    def _take_due_steps(self, now: float) -> None:
        self.candidacy.waiting_for_lease = False
        self.ownership.check_lease(now)
        self.lease_upkeep.renew_or_revoke(now)
        for task in list(self.state.active_tasks()):
            self.hand_over.advance(now, task)
        if now >= self.state.store_paused_until:
            self.store_scan.send_requests(now)
            self.candidacy.acquire_due(now)
