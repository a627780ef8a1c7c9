"""A replica that votes on reservations of idempotency keys, with its request, reply and settings types.

A replica does no I/O and reads no clock: its caller passes in each request with the current time (from
`membership/clock.py`) and sends the vote that is returned.

To run a request with an idempotency key, a node asks all replicas of the key's group, which has one replica
in each of an odd number of zones. The node runs the request only if a majority grants it the key. The rules
below keep two runs of a key at least a key TTL apart; `lab/reservation_model.py` tests each rule with a
variant of the model that breaks it:

- A replica grants a key to one claimant for the duration of the reservation, counted from its vote.
- A claimant starts the run no later than `duration - key_ttl` after it *requested* the votes, by a clock that
  also advances while the process is suspended. Any two majorities share a replica, and that replica grants
  the key to the next claimant no earlier than one duration after its vote for the first. The runs are
  therefore a key TTL apart, however late messages arrive.
- A replica that starts has lost its votes: it grants nothing until the longest reservation has expired
  (quarantine).
- Only the claimant releases a vote, and only for a run that never started.

While the set of replicas changes there are two sets, and a reservation needs a majority of each (joint
consensus, D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014).
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, TypedDict

KEY_DIGEST_BYTES = 16
CLOSED_RETRY_AFTER = 1.0  # seconds after which the next incarnation of a closed replica may be up
MAX_GENERATION_GAP = 1  # between a replica's and a claimant's configuration, while a change is rolled out


class VoteKind(Enum):
    """A replica's decision on a reservation."""

    GRANTED = "yes"
    TAKEN = "taken"  # another claimant has the key
    UNABLE = "unable"  # the replica is in quarantine, closed or full, or its configuration differs


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """A node's request to reserve a key for a run."""

    key_digest: bytes
    claimant: str  # name of one incarnation of a node, see `claimant.py`
    run: int  # run number; increases within an incarnation
    duration: float  # seconds for which the key is reserved
    generation: int = 1  # of the claimant's configuration


@dataclass(frozen=True, slots=True)
class VoteReply:
    """A replica's vote: its kind, who holds the key, and the seconds after which the vote may change."""

    kind: VoteKind
    holder: str = ""
    seconds_left: float = 0.0


@dataclass(frozen=True, slots=True)
class QuorumReplicaSettings:
    """Settings of a replica; times in seconds."""

    max_duration: float = 30.0  # of a reservation; also sets the length of the quarantine after a start
    clock_drift: float = 0.05  # fraction by which the rates of the nodes' clocks may differ
    max_reservations: int = 50_000
    generation: int = 1  # of the configuration


@dataclass(frozen=True, slots=True)
class ReplicaEndpoint:
    """A node that votes; replicas of one group vote on the same keys."""

    name: str
    zone: str
    address: str
    group: int = 0


class KeyTimes(NamedTuple):
    """Key TTL and deadline of a request class that uses idempotency keys, in seconds."""

    key_ttl: float
    deadline: float


@dataclass(frozen=True, slots=True)
class ReservationSettings:
    """Settings of reservations at a node; times in seconds."""

    replica_sets: Sequence[Mapping[str, ReplicaEndpoint]]  # by name; two while the set of replicas changes
    key_times: Mapping[str, KeyTimes]  # by class
    replica: QuorumReplicaSettings
    vote_timeout: float = 0.2
    resend_after: float = 0.06  # time after which the request is sent once more to silent replicas


@dataclass(slots=True)
class Reservation:
    """A key that a replica has granted to a claimant."""

    claimant: str
    run: int
    expires_at: float


class Expiry(NamedTuple):
    """The time at which the reservation of a key expires; sorts by time."""

    expires_at: float
    key_digest: bytes


class ReplicaLoad(TypedDict, total=False):
    """The replica's counters as logged, by the names in the log; empty on a node without a replica."""

    given: int
    taken: int
    unable: int
    held: int
    quarantine: float  # seconds


class QuorumReplica:
    """The votes of one replica."""

    def __init__(self, settings: QuorumReplicaSettings, now: float) -> None:
        self.settings = settings
        self.started_at = now
        self.closed = False  # when shutting down, it stops voting but keeps its reservations
        self.reservations: dict[bytes, Reservation] = {}
        self.expiries: list[Expiry] = []  # a heap
        # number of votes by kind since the start, for the log
        self.granted_count = 0
        self.taken_count = 0
        self.unable_count = 0

    def quarantine_left(self, now: float) -> float:
        """Return the seconds until this replica may grant keys; 0 if it already may."""
        quarantine = self.settings.max_duration * (1 + self.settings.clock_drift)
        return max(0.0, self.started_at + quarantine - now)

    def on_request(self, now: float, request: ReservationRequest) -> VoteReply:
        """Vote on a request."""
        self._remove_expired(now)
        reservation = self.reservations.get(request.key_digest)
        rejection = self._rejection(now, request, reservation)
        if rejection is not None:
            return rejection
        if reservation is not None and request.run < reservation.run:
            # the request arrived after one for a later run of the same claimant
            return VoteReply(VoteKind.GRANTED, request.claimant, reservation.expires_at - now)
        # the claimant detects its own duplicates, so it may be granted its key again
        expires_at = now + request.duration * (1 + self.settings.clock_drift)
        self.reservations[request.key_digest] = Reservation(request.claimant, request.run, expires_at)
        heapq.heappush(self.expiries, Expiry(expires_at, request.key_digest))
        self.granted_count += 1
        return VoteReply(VoteKind.GRANTED, request.claimant, expires_at - now)

    def _rejection(
        self, now: float, request: ReservationRequest, reservation: Reservation | None
    ) -> VoteReply | None:
        """Return the vote against a request; None if the request can be granted."""
        wait = CLOSED_RETRY_AFTER if self.closed else self.quarantine_left(now)
        incompatible = abs(request.generation - self.settings.generation) > MAX_GENERATION_GAP
        if wait > 0 or incompatible or not 0 < request.duration <= self.settings.max_duration:
            self.unable_count += 1
            return VoteReply(VoteKind.UNABLE, seconds_left=wait)
        if reservation is None and len(self.reservations) >= self.settings.max_reservations:
            self.unable_count += 1
            return VoteReply(VoteKind.UNABLE, seconds_left=max(0.0, self.expiries[0].expires_at - now))
        if reservation is not None and reservation.claimant != request.claimant:
            self.taken_count += 1
            return VoteReply(VoteKind.TAKEN, reservation.claimant, reservation.expires_at - now)
        return None

    def on_release(self, key_digest: bytes, claimant: str, run: int) -> None:
        """Free a key whose run never started."""
        reservation = self.reservations.get(key_digest)
        if reservation is not None and (reservation.claimant, reservation.run) == (claimant, run):
            del self.reservations[key_digest]

    def close(self, now: float) -> dict[bytes, Reservation] | None:
        """Stop voting. Return the reservations in force; None during quarantine, when some may be lost."""
        self.closed = True
        self._remove_expired(now)
        return None if self.quarantine_left(now) > 0 else dict(self.reservations)

    def restore(self, reservations: Mapping[bytes, Reservation]) -> bool:
        """Continue with the reservations of the previous incarnation, and end the quarantine.

        Return False, and change nothing, if this incarnation has granted keys or is closed.
        """
        if self.closed or self.granted_count:
            return False
        self.reservations = dict(reservations)
        self.expiries = [
            Expiry(reservation.expires_at, key_digest) for key_digest, reservation in reservations.items()
        ]
        heapq.heapify(self.expiries)
        self.started_at = float("-inf")
        return True

    def load_now(self, now: float) -> ReplicaLoad:
        """Return the votes by kind since the start, and the current state, for the log."""
        return {
            "given": self.granted_count,
            "taken": self.taken_count,
            "unable": self.unable_count,
            "held": len(self.reservations),
            "quarantine": round(self.quarantine_left(now), 1),
        }

    def _remove_expired(self, now: float) -> None:
        while self.expiries and self.expiries[0].expires_at <= now:
            expiry = heapq.heappop(self.expiries)
            reservation = self.reservations.get(expiry.key_digest)
            # a renewed reservation has a later entry in the heap
            if reservation is not None and reservation.expires_at <= expiry.expires_at:
                del self.reservations[expiry.key_digest]
