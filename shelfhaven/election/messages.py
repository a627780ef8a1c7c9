"""Inputs and effects of the elector: an owner passes inputs to it and carries out the effects it returns.

`log_name` is the name under which the node's log counts an input. Operators read these names, so they do not
change when a type is renamed. `retry_after` is the delay in seconds that the store asked for, None if it
asked for none.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import ClassVar, TypeAlias

from shelfhaven.consensus.store import CompareAndSet, CompareAndSetResult, Snapshot
from shelfhaven.election.candidate_ranking import CandidateRanking
from shelfhaven.election.task_ownership import OwnershipState

# Inputs


@dataclass(frozen=True, slots=True)
class CandidatesRanked:
    """The candidates of each task in the operator configuration, and the number of nodes."""

    log_name: ClassVar[str] = "Placed"
    rankings: Mapping[str, CandidateRanking]
    fleet_size: int


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Answers `RequestLease`; `ttl` counts from when the request was sent."""

    log_name: ClassVar[str] = "LeaseGot"
    lease_id: int
    ttl: float


@dataclass(frozen=True, slots=True)
class LeaseRequestFailed:
    """`RequestLease` failed; the store may have granted a lease nevertheless."""

    log_name: ClassVar[str] = "LeaseFailed"
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Answers `RenewLease`; `ttl` counts from when the renewal was sent."""

    log_name: ClassVar[str] = "Beaten"
    lease_id: int
    ttl: float


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """Answers `RenewLease` if the store does not have the lease any more."""

    log_name: ClassVar[str] = "Beaten"
    lease_id: int


@dataclass(frozen=True, slots=True)
class LeaseRenewalFailed:
    """`RenewLease` failed; the lease may have been renewed nevertheless."""

    log_name: ClassVar[str] = "BeatFailed"
    lease_id: int
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Answers `ReadRecords` with the current records."""

    log_name: ClassVar[str] = "Seen"
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class RecordsChanged:
    """A watch event. It may be delayed, and contains only the records that have changed."""

    log_name: ClassVar[str] = "Seen"
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """`ReadRecords` failed."""

    log_name: ClassVar[str] = "ReadFailed"
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """The watch has ended."""

    log_name: ClassVar[str] = "WatchEnded"
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """Answers the `WriteRecord` with this id."""

    log_name: ClassVar[str] = "Changed"
    task: str
    result: CompareAndSetResult
    write_id: int


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The `WriteRecord` with this id failed.

    The write may have been applied, unless `not_applied` is set.
    """

    log_name: ClassVar[str] = "Changed"
    task: str
    write_id: int
    retry_after: float | None = None
    not_applied: bool = False


@dataclass(frozen=True, slots=True)
class HoldersListed:
    """Answers `ListHolders` with the holder records of all tasks that have a leader."""

    log_name: ClassVar[str] = "Swept"
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ListingFailed:
    """`ListHolders` failed."""

    log_name: ClassVar[str] = "SweepFailed"
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class CheckpointReached:
    """The work reports a checkpoint to save."""

    log_name: ClassVar[str] = "Noted"
    task: str
    fencing_token: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class FencingTokenRejected:
    """The target has rejected the fencing token because it has seen a higher one (0 if it named none)."""

    log_name: ClassVar[str] = "Fenced"
    task: str
    fencing_token: int
    highest_token: int


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """The work has ended, successfully or not."""

    log_name: ClassVar[str] = "Ended"
    task: str
    fencing_token: int
    failed: bool = False


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """The node has become healthy enough to lead, or has ceased to be."""

    log_name: ClassVar[str] = "Well"
    healthy: bool


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The node shuts down gracefully and has to hand over all its tasks."""

    log_name: ClassVar[str] = "Leave"


@dataclass(frozen=True, slots=True)
class StoreReplaced:
    """The node uses a different store from now on."""

    log_name: ClassVar[str] = "Moved"


Input: TypeAlias = (
    CandidatesRanked
    | LeaseGranted
    | LeaseRequestFailed
    | LeaseRenewed
    | LeaseExpired
    | LeaseRenewalFailed
    | RecordsRead
    | RecordsChanged
    | ReadFailed
    | WatchEnded
    | WriteAnswered
    | WriteFailed
    | HoldersListed
    | ListingFailed
    | CheckpointReached
    | FencingTokenRejected
    | TaskEnded
    | HealthChanged
    | DrainStarted
    | StoreReplaced
)


def renewal_answer(lease_id: int, ttl: float | None) -> LeaseRenewed | LeaseExpired:
    """Return the input for the result of a renewal; a TTL of None means that the lease has expired."""
    return LeaseExpired(lease_id) if ttl is None else LeaseRenewed(lease_id, ttl)


# Effects


@dataclass(frozen=True, slots=True)
class RequestLease:
    """Request a lease; answered by `LeaseGranted` or `LeaseRequestFailed`."""

    ttl: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew a lease; answered by `LeaseRenewed`, `LeaseExpired` or `LeaseRenewalFailed`."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Revoke a lease; not answered."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class ReadRecords:
    """Read the records with these keys; answered by `RecordsRead` or `ReadFailed`."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WatchRecords:
    """Watch the records with these keys for changes after a revision; replaces any current watch.

    `RecordsChanged` reports each change, and `WatchEnded` the end of the watch.
    """

    keys: tuple[str, ...]
    after_revision: int


@dataclass(frozen=True, slots=True)
class CancelWatch:
    """Cancel the current watch."""


@dataclass(frozen=True, slots=True)
class ListHolders:
    """List the holder records of all tasks; answered by `HoldersListed` or `ListingFailed`."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the records of a task; answered by `WriteAnswered` or `WriteFailed` with the same id."""

    task: str
    change: CompareAndSet
    write_id: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start the work with this fencing token, from this checkpoint."""

    task: str
    fencing_token: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class SuspendTask:
    """Suspend the work: cancel its actions in progress, and start none until it is resumed."""

    task: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class ResumeTask:
    """Resume suspended work."""

    task: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class FinishTask:
    """End the work after its current step, within the timeout; answered by `TaskEnded`."""

    task: str
    fencing_token: int
    timeout: float


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop the work immediately: the node must not act on the task's target any more."""

    task: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class CheckpointSaved:
    """A checkpoint has been written to the store."""

    task: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StateChanged:
    """The ownership state of a task has changed; the change is logged."""

    task: str
    state: OwnershipState
    fencing_token: int
    reason: str


Effect: TypeAlias = (
    RequestLease
    | RenewLease
    | RevokeLease
    | ReadRecords
    | WatchRecords
    | CancelWatch
    | ListHolders
    | WriteRecord
    | StartTask
    | SuspendTask
    | ResumeTask
    | FinishTask
    | StopTask
    | CheckpointSaved
    | StateChanged
)
