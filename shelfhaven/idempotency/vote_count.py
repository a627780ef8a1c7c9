"""Counting of the votes on one reservation, and the time limit for starting its run."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from shelfhaven.idempotency.quorum_replica import VoteKind, VoteReply


class ReservationResult(Enum):
    """The result of a reservation."""

    GRANTED = "granted"
    TAKEN = "taken"  # another claimant has the key, and may run the request or have run it
    UNABLE = "unable"  # too few replicas granted the key, and none named another claimant


@dataclass(slots=True)
class VoteCount:
    """The votes on one reservation, by one set of replicas or, while the set changes, by two."""

    replica_sets: Sequence[frozenset[str]]
    requested_at: float  # time before the first request was sent
    replies: dict[str, VoteReply] = field(default_factory=dict)  # by replica

    def on_vote(self, replica: str, reply: VoteReply) -> ReservationResult | None:
        """Count a vote; return the result, or None while further votes may decide it."""
        self.replies[replica] = reply
        if all(self._has_majority(replicas) for replicas in self.replica_sets):
            return ReservationResult.GRANTED
        if any(self._cannot_win(replicas) for replicas in self.replica_sets):
            return self.conclude()
        return None

    def conclude(self) -> ReservationResult:
        """Return the result of a reservation that was not granted: taken or unable."""
        is_taken = any(reply.kind is VoteKind.TAKEN for reply in self.replies.values())
        return ReservationResult.TAKEN if is_taken else ReservationResult.UNABLE

    def unanswered(self) -> list[str]:
        """Return the replicas that have not answered."""
        return sorted(frozenset().union(*self.replica_sets) - self.replies.keys())

    def likely_holder(self) -> str:
        """Return the claimant that most replicas name as the holder; "" if none does."""
        holders = [reply.holder for reply in self.replies.values() if reply.kind is VoteKind.TAKEN]
        return max(sorted(set(holders)), key=holders.count, default="")

    def retry_after(self) -> float:
        """Return the seconds until the first of the replicas that did not grant the key may do so."""
        return min(
            (reply.seconds_left for reply in self.replies.values() if reply.kind is not VoteKind.GRANTED),
            default=0.0,
        )

    def _has_majority(self, replicas: frozenset[str]) -> bool:
        granted_count = sum(1 for replica in replicas if self._is_granted_by(replica))
        return 2 * granted_count > len(replicas)

    def _cannot_win(self, replicas: frozenset[str]) -> bool:
        denied_count = sum(
            1 for replica in replicas if replica in self.replies and not self._is_granted_by(replica)
        )
        return 2 * (len(replicas) - denied_count) <= len(replicas)

    def _is_granted_by(self, replica: str) -> bool:
        return replica in self.replies and self.replies[replica].kind is VoteKind.GRANTED


def may_start(now: float, requested_at: float, duration: float, key_ttl: float) -> bool:
    """Return whether a reserved run may still start, so that the next claimant's is a key TTL later."""
    return now <= requested_at + (duration - key_ttl)
