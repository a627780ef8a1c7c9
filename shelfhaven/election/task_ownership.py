"""A node's view of a singleton task: the records as the node knows them, and its own ownership state.

Defines the ownership states and the transitions allowed between them.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from shelfhaven.consensus.store import Entry
from shelfhaven.election.candidate_ranking import NO_CANDIDATES, CandidateRanking
from shelfhaven.election.records import (
    Holder,
    RecordKeys,
    TaskRecord,
    decode_holder,
    decode_task_record,
    record_keys,
)

# Replaces a holder record that cannot be decoded. The task counts as led by another node until the record is
# deleted.
UNREADABLE_HOLDER = Holder("?", 1)


class OwnershipState(Enum):
    """The state of a task at this node. The values appear in the log."""

    NOT_LEADING = "without"
    ACQUIRING = "asking"  # a write is in flight, or its outcome is unknown
    LEADING = "holding"
    UNCERTAIN = "doubtful"  # the node may have lost leadership, so that it must not act
    HANDING_OVER = "handing on"
    RELINQUISHED = "given up"  # the node is draining, or an operator has disabled the task


ALLOWED_TRANSITIONS = {
    OwnershipState.NOT_LEADING: {
        OwnershipState.ACQUIRING,
        OwnershipState.LEADING,
        OwnershipState.UNCERTAIN,
        OwnershipState.RELINQUISHED,
    },
    OwnershipState.ACQUIRING: {
        OwnershipState.LEADING,
        OwnershipState.UNCERTAIN,
        OwnershipState.NOT_LEADING,
        OwnershipState.RELINQUISHED,
    },
    OwnershipState.LEADING: {
        OwnershipState.UNCERTAIN,
        OwnershipState.HANDING_OVER,
        OwnershipState.NOT_LEADING,
        OwnershipState.RELINQUISHED,
    },
    OwnershipState.UNCERTAIN: {
        OwnershipState.LEADING,
        OwnershipState.HANDING_OVER,
        OwnershipState.NOT_LEADING,
        OwnershipState.RELINQUISHED,
    },
    OwnershipState.HANDING_OVER: {OwnershipState.NOT_LEADING, OwnershipState.RELINQUISHED},
    OwnershipState.RELINQUISHED: {OwnershipState.NOT_LEADING},
}
OWNED_STATES = (OwnershipState.LEADING, OwnershipState.UNCERTAIN, OwnershipState.HANDING_OVER)


class WritePurpose(Enum):
    """The purpose of a write to a task's records."""

    ACQUIRE = "acquire"
    RELEASE = "release"
    SAVE_CHECKPOINT = "save checkpoint"
    RAISE_TOKEN = "raise token"


@dataclass(slots=True)
class TaskOwnership:
    """The state of one task at this node."""

    name: str
    state: OwnershipState = OwnershipState.NOT_LEADING
    ranking: CandidateRanking = field(default=NO_CANDIDATES)

    # The records as this node knows them
    records_known: bool = False  # whether they have been read
    revision: int = 0  # of the store, at which they were current
    revision_when_read: int = 0  # value of `revision` when the read in flight was sent
    holder: Holder | None = None
    holder_revision: int = 0
    holder_lease_id: int | None = None  # lease that the holder record is bound to
    record: TaskRecord = field(default_factory=TaskRecord)
    record_revision: int = 0
    highest_token: int = 0  # that this node has ever seen; outlives a store that loses its records

    # Writes
    pending_write: WritePurpose | None = None  # in flight
    write_id: int = 0  # of the last write; answers to other writes are ignored
    unresolved_write: WritePurpose | None = None  # outcome unknown until the records are read
    requested_token: int = 0  # fencing token in the pending write
    checkpoint_in_flight: str = ""  # checkpoint in the pending write

    # Candidacy
    acquire_at: float = math.inf  # when the node tries to acquire the task
    unfit_until: float = 0.0  # no attempt to acquire before this time, as the work failed here
    unclaimed: bool = False  # no candidate has acquired the task, so any node may

    # Leadership
    fencing_token: int = 0
    leader_since: float = 0.0
    running: bool = False  # the work has been started and has not ended
    unsaved_checkpoint: str | None = None
    next_checkpoint_at: float = 0.0
    token_to_exceed: int = 0  # highest token that the target reported when it rejected this node's token
    better_candidate_since: float = math.inf
    stop_deadline: float = math.inf  # while handing over: when the work is stopped if it has not ended
    successor: str = ""  # while handing over: the node to lead next

    @property
    def keys(self) -> RecordKeys:
        """The keys of the task's two records."""
        return record_keys(self.name)

    @property
    def is_owned(self) -> bool:
        """Whether this node is the leader, as far as it knows."""
        return self.state in OWNED_STATES

    @property
    def is_owned_or_acquiring(self) -> bool:
        """Whether this node is the leader, as far as it knows, or is trying to become it."""
        return self.is_owned or self.state is OwnershipState.ACQUIRING

    @property
    def has_open_write(self) -> bool:
        """Whether a write is in flight, or its outcome is unknown."""
        return self.pending_write is not None or self.unresolved_write is not None

    @property
    def wants_checkpoint_saved(self) -> bool:
        """Whether there is a checkpoint to write; the last ones are written while the task is handed over."""
        may_save = self.state is OwnershipState.LEADING or (
            self.state is OwnershipState.HANDING_OVER and self.running
        )
        return may_save and self.unsaved_checkpoint is not None and not self.has_open_write

    def is_relevant_to(self, node: str) -> bool:
        """Whether a node leads the task, or may acquire it."""
        eligible = self.ranking.rank(node) is not None or self.record.successor == node or self.unclaimed
        return eligible or self.is_owned_or_acquiring

    def is_led_under(self, node: str, lease_id: int | None) -> bool:
        """Whether the holder record names the node and is bound to this lease.

        The record may come from a write whose outcome the node did not learn in time.
        """
        is_named = self.holder is not None and self.holder.node == node
        return is_named and lease_id is not None and self.holder_lease_id == lease_id

    def next_candidate(self, node: str) -> str:
        """Return the first candidate other than a node, "" if there is none."""
        return next((other for other in self.ranking.order if other != node), "")

    def update(self, items: Mapping[str, Entry | None], revision: int) -> None:
        """Store the records that the items contain; others keep their values."""
        keys = self.keys
        if keys.holder in items:
            entry = items[keys.holder]
            self.holder = _decode_holder_entry(entry)
            self.holder_revision = entry.revision if entry else 0
            self.holder_lease_id = entry.lease if entry else None
        if keys.record in items:
            entry = items[keys.record]
            self.record = _decode_record_entry(entry)
            self.record_revision = entry.revision if entry else 0
        self.revision = revision
        holder_token = self.holder.fencing_token if self.holder else 0
        self.highest_token = max(self.highest_token, self.record.fencing_token, holder_token)

    def forget_records(self) -> None:
        """Forget the records, because the store was replaced.

        The new store has neither the leaders nor the revisions of the old one. The checkpoint and the highest
        token are kept.
        """
        self.pending_write = self.unresolved_write = None
        self.records_known = False
        self.revision = 0
        self.holder = None
        self.holder_revision = 0
        self.record_revision = 0
        self.record = TaskRecord(checkpoint=self.record.checkpoint)
        self.acquire_at = math.inf


def _decode_holder_entry(entry: Entry | None) -> Holder | None:
    if entry is None:
        return None
    try:
        return decode_holder(entry.value)
    except ValueError:
        return UNREADABLE_HOLDER


def _decode_record_entry(entry: Entry | None) -> TaskRecord:
    if entry is None:
        return TaskRecord()
    try:
        return decode_task_record(entry.value)
    except ValueError:
        return TaskRecord()
