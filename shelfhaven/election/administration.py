"""Shows, assigns and disables singleton tasks, for the command line.

This module reads and writes the records in the consensus store, and formats the output. It plans a change and
applies it in two steps, so that the operator can confirm it. A write applies only to the records that the
operator has seen, because they may have changed in the meantime.
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

MAX_ATTEMPTS = 20  # of a write that conflicts with the checkpoints of the task's leader
EXIT_STORE_UNREACHABLE = 3  # no answer from the store
EXIT_CONFLICT = 4  # the record has changed in the meantime


class NotACandidateError(ShelfhavenError):
    """The node to which a task was to be given is not one of its candidates."""


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """The records of a task in the store."""

    name: str
    holder: Holder | None
    record: TaskRecord
    record_revision: int

    @property
    def summary(self) -> str:
        """The leader ("-" for none), and whether the task is disabled or given to another node."""
        leader = self.holder.node if self.holder else "-"
        if self.record.disabled:
            return f"{leader} (taken away)"
        if self.record.successor:
            return f"{leader} (given to {self.record.successor})"
        return leader

    @property
    def leader_name(self) -> str:
        """The name of the leader, or "nobody"."""
        return self.holder.node if self.holder else "nobody"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A new record for a task, the status that it is based on, and a description for the operator."""

    status: TaskStatus
    record: TaskRecord
    description: str


def _decode_status(name: str, items: Mapping[str, Entry | None]) -> TaskStatus:
    holder_entry, record_entry = items.get(holder_key(name)), items.get(task_key(name))
    record = decode_task_record(record_entry.value) if record_entry else TaskRecord()
    revision = record_entry.revision if record_entry else 0
    return TaskStatus(name, decode_holder(holder_entry.value) if holder_entry else None, record, revision)


async def read_statuses(store: ConsensusStore, names: Sequence[str]) -> list[TaskStatus]:
    """Read the status of each of these tasks. Raises ConsensusError."""
    items = (await store.read(keys_of_tasks(names))).items
    return [_decode_status(name, items) for name in names]


def format_table(statuses: Sequence[TaskStatus]) -> list[str]:
    """Return a table of tasks: a heading, then one line per task."""
    heading = f"{'duty':24} {'token':>8}  leader"
    return [
        heading,
        *(f"{status.name:24} {status.record.fencing_token:8}  {status.summary}" for status in statuses),
    ]


def format_detail(status: TaskStatus, ranking: CandidateRanking) -> list[str]:
    """Return the lines of a detailed description of a task."""
    record, holder = status.record, status.holder
    lines = [
        f"{status.name}: {status.summary}",
        f"fencing token {record.fencing_token}, last leader: {record.last_holder or 'nobody'}",
    ]
    if holder:
        address = holder.address or "-"
        lines.append(f"current term: token {holder.fencing_token}, node {holder.node}, address {address}")
    lines.append(f"candidates, in order: {', '.join(ranking.order) or 'nobody'}")
    return [*lines, f"checkpoint: {record.checkpoint!r}"]


def plan_assignment(status: TaskStatus, node: str, ranking: CandidateRanking) -> PlannedChange:
    """Plan to give a task to a candidate, or with "" to the first one. Raises NotACandidateError."""
    if node and node not in ranking.order:
        candidates = ", ".join(ranking.order) or "nobody"
        raise NotACandidateError(f"{node} is not a candidate for {status.name}; candidates: {candidates}")
    successor = node or (ranking.order[0] if ranking.order else "nobody, because there is no candidate")
    description = (
        f"{status.name}: from {status.leader_name} to {successor}, after the work in progress has ended"
    )
    return PlannedChange(status, replace(status.record, successor=node, disabled=False), description)


def plan_disabling(status: TaskStatus) -> PlannedChange:
    """Plan to disable a task: its leader hands it over, and no node acquires it."""
    description = f"{status.name}: taken from {status.leader_name}; no node runs it until it is given again"
    return PlannedChange(status, replace(status.record, disabled=True, successor=""), description)


async def apply_change(store: ConsensusStore, change: PlannedChange) -> CommandOutput:
    """Write the planned record if the stored one is still the one on which the plan is based.

    The leader may save checkpoints in this record many times a second. If only the checkpoint has changed,
    the write is retried with the new checkpoint.
    """
    status, record = change.status, change.record
    name, revision = status.name, status.record_revision
    key = task_key(name)
    for _ in range(MAX_ATTEMPTS):
        try:
            result = await store.compare_and_set(CompareAndSet({key: revision}, {key: Put(record.encode())}))
        except OutcomeUnknownError as error:
            text = f"{name}: the outcome of the change is unknown: {error}; check with 'show'"
            return CommandOutput([text], EXIT_STORE_UNREACHABLE)
        except ConsensusError as error:
            return CommandOutput([f"{name}: the change failed: {error}"], EXIT_STORE_UNREACHABLE)
        if result.applied:
            return CommandOutput([f"{name}: done; its leader, if any, hands it over"])
        entry = result.current.get(key)
        current = decode_task_record(entry.value) if entry else TaskRecord()
        if entry is None or replace(current, checkpoint=status.record.checkpoint) != status.record:
            break
        record = replace(record, checkpoint=current.checkpoint)
        revision = entry.revision
    return CommandOutput(
        [f"{name}: the record has changed in the meantime; nothing was written"], EXIT_CONFLICT
    )
