"""Inspects singleton tasks and moves them, for the command line.

Owns the questions to the consensus store, and how its answers are shown. It must never change anything
without having been told to, nor without comparing what it saw: somebody else may have changed it meanwhile.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from shelfhaven.command_output import CommandOutput
from shelfhaven.consensus.store import (
    CompareAndSet,
    ConsensusError,
    ConsensusStore,
    Entry,
    OutcomeUnknownError,
    Put,
)
from shelfhaven.election.candidate_ranking import CandidateRanking
from shelfhaven.election.records import (
    Holder,
    TaskRecord,
    decode_holder,
    decode_task_record,
    holder_key,
    keys_of_tasks,
    task_key,
)
from shelfhaven.errors import ShelfhavenError

ATTEMPTS = 20  # against a leader that saves checkpoints meanwhile
EXIT_UNREACHED = 3  # no answer of the store
EXIT_CONFLICT = 4  # somebody else changed it meanwhile


class NotACandidateError(ShelfhavenError):
    """A task was to be given to a node that is none of its candidates."""


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """A task as the store has it."""

    name: str
    holder: Holder | None
    record: TaskRecord
    record_revision: int

    @property
    def summary(self) -> str:
        """Who leads it, and what operators ordered."""
        holder = self.holder.node if self.holder else "-"
        if self.record.disabled:
            return f"{holder} (taken away)"
        if self.record.successor:
            return f"{holder} (given to {self.record.successor})"
        return holder

    @property
    def holder_name(self) -> str:
        """The leader's name, or nobody."""
        return self.holder.node if self.holder else "nobody"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """The record that is to replace that of a status, and what would happen."""

    status: TaskStatus
    record: TaskRecord
    description: str


def _status(name: str, items: Mapping[str, Entry | None]) -> TaskStatus:
    holder, entry = items.get(holder_key(name)), items.get(task_key(name))
    record = decode_task_record(entry.value) if entry else TaskRecord()
    revision = entry.revision if entry else 0
    return TaskStatus(name, decode_holder(holder.value) if holder else None, record, revision)


async def read_statuses(store: ConsensusStore, names: Sequence[str]) -> list[TaskStatus]:
    """Read all of these tasks. Raises ConsensusError."""
    items = (await store.read(keys_of_tasks(names))).items
    return [_status(name, items) for name in names]


def format_table(statuses: Sequence[TaskStatus]) -> list[str]:
    """Return one line a task."""
    heading = f"{'duty':24} {'number':>8}  holder"
    return [heading, *(f"{one.name:24} {one.record.fencing_token:8}  {one.summary}" for one in statuses)]


def format_detail(status: TaskStatus, ranking: CandidateRanking) -> list[str]:
    """Return all that is known of a task."""
    record, holder = status.record, status.holder
    lines = [
        f"{status.name}: {status.summary}",
        f"number {record.fencing_token}, last taken by {record.last_holder or 'nobody'}",
    ]
    if holder:
        address = holder.address or "-"
        lines.append(f"held under {holder.fencing_token} by {holder.node}, asked at {address}")
    lines.append(f"stand by, in order: {', '.join(ranking.order) or 'nobody'}")
    return [*lines, f"note: {record.checkpoint!r}"]


def plan_giving(status: TaskStatus, node: str, ranking: CandidateRanking) -> PlannedChange:
    """Plan to give a task to a candidate, "" for the first one. Raises NotACandidateError."""
    if node and node not in ranking.order:
        candidates = ", ".join(ranking.order) or "nobody"
        raise NotACandidateError(f"{node} does not stand by for {status.name}; who does: {candidates}")
    successor = node or (ranking.order[0] if ranking.order else "nobody: nobody stands by")
    description = f"{status.name}: from {status.holder_name} to {successor}, once what is in hand is done"
    return PlannedChange(status, replace(status.record, successor=node, disabled=False), description)


def plan_disabling(status: TaskStatus) -> PlannedChange:
    """Plan to take a task from everybody."""
    description = f"{status.name}: from {status.holder_name}; nobody does it until it is given again"
    return PlannedChange(status, replace(status.record, disabled=True, successor=""), description)


async def carry_out(store: ConsensusStore, change: PlannedChange) -> CommandOutput:
    """Write the planned record in place of the one that was seen.

    A leader saves checkpoints there many times a second: where nothing but the checkpoint has changed, it is
    taken over and the write retried.
    """
    status, record = change.status, change.record
    name, revision = status.name, status.record_revision
    key = task_key(name)
    for _ in range(ATTEMPTS):
        try:
            result = await store.compare_and_set(CompareAndSet({key: revision}, {key: Put(record.encode())}))
        except OutcomeUnknownError as error:
            text = f"{name}: it is not clear whether that was done: {error}; look with 'show'"
            return CommandOutput([text], EXIT_UNREACHED)
        except ConsensusError as error:
            return CommandOutput([f"{name}: not done: {error}"], EXIT_UNREACHED)
        if result.applied:
            return CommandOutput([f"{name}: done; its holder hands it on in order"])
        entry = result.current.get(key)
        current = decode_task_record(entry.value) if entry else TaskRecord()
        if entry is None or replace(current, checkpoint=status.record.checkpoint) != status.record:
            break
        record = replace(record, checkpoint=current.checkpoint)
        revision = entry.revision
    return CommandOutput([f"{name}: somebody has changed it meanwhile; nothing was done"], EXIT_CONFLICT)
