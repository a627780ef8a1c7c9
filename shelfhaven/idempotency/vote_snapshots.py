"""Stores the snapshots that other replicas send of their votes at shutdown, for their next incarnations.

This module does no I/O and reads no clock. It never gives a snapshot to two incarnations.

A replica that starts without its votes grants nothing until every earlier reservation has expired. A replica
that shuts down gracefully still has its votes: it stops voting and sends a snapshot of them to *one* other
replica. Its next incarnation fetches the snapshot from there and votes at once. The rules below ensure that
no vote is lost; `lab/reservation_model.py` tests each rule with a variant of the model that breaks it:

- A replica stops voting before it copies its votes, and does not vote again in that incarnation.
- A replica sends a snapshot only if it has all of its votes. A replica in quarantine has lost some, and sends
  none.
- A snapshot is complete only with its last page, and that page is sent to one replica only.
- Only one incarnation takes the snapshot. Later incarnations have to wait, because the snapshot lacks the
  votes that were given since.
- A snapshot expires when an incarnation without it might have left quarantine and voted. Its age counts from
  a header page, which is acknowledged before the first vote is sent: network delays cannot make the snapshot
  seem newer than it is.
- The replica that sends the snapshot, the one that stores it and the incarnation that takes it are all
  configured with the same maximum duration.

Messages carry durations instead of timestamps: a delay makes a reservation last longer, never shorter.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from shelfhaven.idempotency.quorum_replica import KEY_DIGEST_BYTES

VOTES_PER_PAGE = 300  # keeps a page below 64 KiB, the largest post that a peer accepts
MAX_SNAPSHOTS = 16
MIN_PAGES = 2  # the header and one page of votes


@dataclass(frozen=True, slots=True)
class ReservationVote:
    """A vote that granted a key, and the seconds until its reservation expires."""

    key_digest: bytes
    claimant: str
    run: int
    seconds_left: float


@dataclass(frozen=True, slots=True)
class SnapshotPage:
    """A page of a replica's snapshot; page 0 is the header, which has no votes."""

    replica: str
    incarnation: int  # of the replica that sent the snapshot
    number: int
    page_count: int
    max_duration: float  # seconds, as configured at the replica
    votes: tuple[ReservationVote, ...] = ()


def split_into_pages(
    replica: str, incarnation: int, max_duration: float, votes: Sequence[ReservationVote]
) -> list[SnapshotPage]:
    """Return a snapshot as a header and at least one page of votes."""
    starts = range(0, max(1, len(votes)), VOTES_PER_PAGE)
    votes_by_page: list[tuple[ReservationVote, ...]] = [()]
    votes_by_page += [tuple(votes[start : start + VOTES_PER_PAGE]) for start in starts]
    return [
        SnapshotPage(replica, incarnation, number, len(votes_by_page), max_duration, page_votes)
        for number, page_votes in enumerate(votes_by_page)
    ]


@dataclass(frozen=True, slots=True)
class StoredPage:
    """The votes of a page, and when the page arrived."""

    received_at: float
    votes: tuple[ReservationVote, ...]


@dataclass(slots=True)
class StoredSnapshot:
    """A snapshot that is stored here; incomplete until its last page has arrived."""

    incarnation: int
    page_count: int
    received_at: float  # when the header arrived
    pages: list[StoredPage] = field(default_factory=list)
    taken_by: int | None = None  # incarnation

    @property
    def is_complete(self) -> bool:
        """Whether all pages have arrived."""
        return len(self.pages) == self.page_count


class VoteSnapshots:
    """The snapshots of other replicas that one node stores."""

    def __init__(self, max_duration: float, max_votes: int) -> None:
        self.max_duration = max_duration
        self.max_votes = max_votes
        self.snapshots: dict[str, StoredSnapshot] = {}  # by replica

    def put(self, now: float, page: SnapshotPage) -> bool:
        """Store a page, and return whether it was accepted; pages must come in order, each once."""
        self._remove_expired(now)
        if page.max_duration != self.max_duration:
            return False
        snapshot = self.snapshots.get(page.replica)
        if page.number == 0:
            if not self._accepts_header(page, snapshot):
                return False
            snapshot = StoredSnapshot(page.incarnation, page.page_count, now)
            self.snapshots[page.replica] = snapshot
        if snapshot is None or not _is_next_page(page, snapshot):
            return False
        snapshot.pages.append(StoredPage(now, page.votes))
        return True

    def _accepts_header(self, header: SnapshotPage, existing: StoredSnapshot | None) -> bool:
        if existing is not None and header.incarnation <= existing.incarnation:
            return False
        if existing is None and len(self.snapshots) >= MAX_SNAPSHOTS:
            return False
        return MIN_PAGES <= header.page_count <= self.max_votes // VOTES_PER_PAGE + MIN_PAGES

    def take(
        self, now: float, replica: str, incarnation: int, number: int, max_duration: float
    ) -> SnapshotPage | None:
        """Return a page of votes to the replica's next incarnation; None if there is none for it."""
        self._remove_expired(now)
        snapshot = self.snapshots.get(replica)
        if snapshot is None or not snapshot.is_complete or incarnation <= snapshot.incarnation:
            return None
        if not 0 < number < snapshot.page_count:
            return None
        if snapshot.taken_by not in (None, incarnation):
            return None
        # set in any case: with another maximum duration, the incarnation may vote before the snapshot expires
        snapshot.taken_by = incarnation
        if max_duration != self.max_duration:
            return None
        votes = _votes_in_force(now, snapshot.pages[number])
        return SnapshotPage(replica, snapshot.incarnation, number, snapshot.page_count, max_duration, votes)

    def _remove_expired(self, now: float) -> None:
        """Remove snapshots that are older than the maximum duration.

        Their reservations have expired, and an incarnation that waited out its quarantine may have voted.
        """
        expired = [
            replica
            for replica, snapshot in self.snapshots.items()
            if now - snapshot.received_at >= self.max_duration
        ]
        for replica in expired:
            del self.snapshots[replica]


def _is_next_page(page: SnapshotPage, snapshot: StoredSnapshot) -> bool:
    return (
        snapshot.incarnation == page.incarnation
        and snapshot.page_count == page.page_count
        and len(snapshot.pages) == page.number
    )


def _votes_in_force(now: float, page: StoredPage) -> tuple[ReservationVote, ...]:
    """Return the votes of a page whose reservations have not expired."""
    age = now - page.received_at
    votes = (
        ReservationVote(vote.key_digest, vote.claimant, vote.run, vote.seconds_left - age)
        for vote in page.votes
    )
    return tuple(vote for vote in votes if vote.seconds_left > 0)


def is_plausible(vote: ReservationVote, max_duration: float) -> bool:
    """Return whether a replica can have given this vote."""
    return len(vote.key_digest) == KEY_DIGEST_BYTES and 0 < vote.seconds_left <= 2 * max_duration
