"""Exhaustive search of a model of key reservations with delayed and lost messages, restarts and suspensions.

The model shares no code with the implementation.

The model has three replicas, two claimants of one idempotency key, and one discrete clock that all of them
share (the implementation allows for clock drift by a factor on the duration of a reservation). A claimant
sends its request to all replicas at once; each request and each vote arrives at any later moment or never. A
replica may restart once, at any moment. A claimant may be suspended between getting its majority and its run,
or give up and release its votes. The invariant is violated if runs of two claimants are less than the key's
TTL apart.

Replicas are symmetric, so states that differ only in the order of the replicas are equal. A replica's state
includes the requests in flight to it; for a claimant, the number of votes in flight to it is enough.

Vote transfer (`transfers=1`): one replica may shut down gracefully once. Its snapshot stays with another
replica that does not fail; its next incarnation, which starts at once and in quarantine like any other,
may fetch the snapshot at any moment. The restart may happen to the same replica, before or after that.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple, TypeAlias

REPLICAS = 3
NO_HOLDER = -1  # the holder at a replica that has granted no vote
FIRST = 0  # index of the first claimant

# Phases of a claimant; plain integers, because they are hashed millions of times.
IDLE = 0
REQUESTING = 1
RAN = 2
GAVE_UP = 3
NEVER = 99  # `since_run` of a claimant that has not run


class ReplicaState(NamedTuple):
    """One replica; times in ticks."""

    holder: int = NO_HOLDER  # index of the claimant to which it granted its vote
    reservation_left: int = 0
    quarantine_left: int = 0  # while it is positive, the replica grants no vote
    first_in_flight: bool = False  # a request of the first claimant to this replica
    second_in_flight: bool = False
    snapshot_left: int = 0  # ticks for which its snapshot can still be fetched; 0 if there is none
    snapshot_holder: int = NO_HOLDER
    snapshot_reservation_left: int = 0


class ClaimantState(NamedTuple):
    """One claimant; times in ticks."""

    phase: int = IDLE
    since_request: int = 0
    votes: int = 0
    votes_in_flight: int = 0
    since_vote: int = 0
    since_run: int = NEVER


Replicas: TypeAlias = tuple[ReplicaState, ...]
Claimants: TypeAlias = tuple[ClaimantState, ClaimantState]


class ModelState(NamedTuple):
    """A state of the model."""

    replicas: Replicas
    claimants: Claimants
    ticks: int
    restarts_left: int
    transfers_left: int


class Step(NamedTuple):
    """A transition to a next state, and whether it violates the invariant."""

    state: ModelState
    violation: bool = False


class Mistake(Enum):
    """A deliberate mistake in the model that the search must detect; `main` prints the values."""

    NONE = "none"
    NO_QUARANTINE = "a restarted replica votes without quarantine"
    MINORITY = "one vote is enough"
    LATE_RUN = "a run starts however old its request is"
    COUNTED_FROM_VOTE = "the time to start a run is measured from the last vote, not from the request"
    SHORT_RESERVATION = "a reservation is shorter than the key TTL plus the time to start a run"
    TWO_VOTES = "a replica grants its vote to a second claimant"
    RELEASE_AFTER_START = "a claimant releases its votes after it has started its run"
    SNAPSHOT_OF_LOST_VOTES = "a replica that has lost votes still stores a snapshot"
    VOTES_AFTER_SNAPSHOT = "a replica continues to vote after it has stored its snapshot"
    FETCHED_TWICE = "two incarnations can fetch the same snapshot"
    EXPIRED_SNAPSHOT = "a snapshot can be fetched after it has expired"


TRANSFER_MISTAKES = (
    Mistake.SNAPSHOT_OF_LOST_VOTES,
    Mistake.VOTES_AFTER_SNAPSHOT,
    Mistake.FETCHED_TWICE,
    Mistake.EXPIRED_SNAPSHOT,
)


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The number of visited states and, if the invariant is violated, the number of steps until then."""

    states: int
    steps: int | None


@dataclass(frozen=True, slots=True)
class Model:
    """The size of the model and the mistake in it; times in ticks.

    A run starts within `reservation_ttl - key_ttl` of the request.
    """

    mistake: Mistake = Mistake.NONE
    key_ttl: int = 2
    reservation_ttl: int = 3
    ticks: int = 3  # length of a history
    restarts: int = 1  # at most
    transfers: int = 0  # at most

    def search(self, max_states: int = 6_000_000) -> SearchResult:
        """Visit all states depth first until a violation; raise RuntimeError for more than `max_states`."""
        replicas = (ReplicaState(),) * REPLICAS
        claimants = (ClaimantState(), ClaimantState())
        start = ModelState(replicas, claimants, 0, self.restarts, self.transfers)
        visited = {start}
        stack = [(start, 0)]
        while stack:
            state, depth = stack.pop()
            for step in self._steps(state):
                if step.violation:
                    return SearchResult(len(visited), depth + 1)
                if step.state not in visited:
                    visited.add(step.state)
                    stack.append((step.state, depth + 1))
            if len(visited) > max_states:
                raise RuntimeError(f"the model has more than {max_states} states")
        return SearchResult(len(visited), None)

    def _steps(self, state: ModelState) -> Iterator[Step]:
        if state.ticks < self.ticks:
            yield Step(self._after_tick(state))
        if state.restarts_left:
            yield from self._restart_steps(state)
        yield from self._transfer_steps(state)
        for index in range(len(state.claimants)):
            yield from self._claimant_steps(state, index)

    # Time

    def _after_tick(self, state: ModelState) -> ModelState:
        replicas = tuple(sorted(self._replica_after_tick(replica) for replica in state.replicas))
        first, second = state.claimants
        claimants = (self._claimant_after_tick(first), self._claimant_after_tick(second))
        return ModelState(replicas, claimants, state.ticks + 1, state.restarts_left, state.transfers_left)

    def _replica_after_tick(self, replica: ReplicaState) -> ReplicaState:
        is_reserved = replica.reservation_left > 1
        never_expires = self.mistake is Mistake.EXPIRED_SNAPSHOT
        snapshot_left = replica.snapshot_left if never_expires else max(0, replica.snapshot_left - 1)
        snapshot_is_reserved = snapshot_left > 0 and replica.snapshot_reservation_left > 1
        return ReplicaState(
            replica.holder if is_reserved else NO_HOLDER,
            replica.reservation_left - 1 if is_reserved else 0,
            max(0, replica.quarantine_left - 1),
            replica.first_in_flight,
            replica.second_in_flight,
            snapshot_left,
            replica.snapshot_holder if snapshot_is_reserved else NO_HOLDER,
            replica.snapshot_reservation_left - 1 if snapshot_is_reserved else 0,
        )

    def _claimant_after_tick(self, claimant: ClaimantState) -> ClaimantState:
        elapsed = 1 if claimant.phase == REQUESTING else 0
        since_run = claimant.since_run
        return ClaimantState(
            claimant.phase,
            min(self.reservation_ttl, claimant.since_request + elapsed),
            claimant.votes,
            claimant.votes_in_flight,
            min(self.reservation_ttl, claimant.since_vote + elapsed),
            since_run if since_run >= self.key_ttl else since_run + 1,
        )

    # Restarts and shutdowns of replicas

    def _restart_steps(self, state: ModelState) -> Iterator[Step]:
        quarantine = 0 if self.mistake is Mistake.NO_QUARANTINE else self.reservation_ttl
        for replica in set(state.replicas):
            restarted = ReplicaState(NO_HOLDER, 0, quarantine, *replica[3:])
            replicas = _replace(state.replicas, replica, restarted)
            yield Step(
                ModelState(
                    replicas, state.claimants, state.ticks, state.restarts_left - 1, state.transfers_left
                )
            )

    def _transfer_steps(self, state: ModelState) -> Iterator[Step]:
        for replica in set(state.replicas):
            if state.transfers_left and self._can_shut_down(replica):
                yield self._transfer_step(state, replica, self._after_shutdown(replica), 1)
            # A replica that votes does not need its snapshot.
            if replica.snapshot_left and replica.quarantine_left:
                yield self._transfer_step(state, replica, self._after_fetching(replica), 0)

    def _transfer_step(
        self, state: ModelState, before: ReplicaState, after: ReplicaState, transfers_used: int
    ) -> Step:
        replicas = _replace(state.replicas, before, after)
        transfers_left = state.transfers_left - transfers_used
        return Step(ModelState(replicas, state.claimants, state.ticks, state.restarts_left, transfers_left))

    def _can_shut_down(self, replica: ReplicaState) -> bool:
        has_lost_votes = replica.quarantine_left > 0
        return not has_lost_votes or self.mistake is Mistake.SNAPSHOT_OF_LOST_VOTES

    def _after_shutdown(self, replica: ReplicaState) -> ReplicaState:
        if self.mistake is Mistake.VOTES_AFTER_SNAPSHOT:  # the restart starts its next incarnation
            return ReplicaState(*replica[:5], self.reservation_ttl, replica.holder, replica.reservation_left)
        next_incarnation = ReplicaState(NO_HOLDER, 0, self.reservation_ttl, *replica[3:5])
        return next_incarnation._replace(
            snapshot_left=self.reservation_ttl,
            snapshot_holder=replica.holder,
            snapshot_reservation_left=replica.reservation_left,
        )

    def _after_fetching(self, replica: ReplicaState) -> ReplicaState:
        restored = ReplicaState(replica.snapshot_holder, replica.snapshot_reservation_left, 0, *replica[3:])
        if self.mistake is Mistake.FETCHED_TWICE:
            return restored
        return ReplicaState(*restored[:5])

    # Claimants

    def _claimant_steps(self, state: ModelState, index: int) -> Iterator[Step]:
        claimant = state.claimants[index]
        first_has_requested = state.claimants[FIRST].phase != IDLE
        if claimant.phase == IDLE and (index == FIRST or first_has_requested):  # the claimants are symmetric
            replicas = tuple(sorted(_with_request(replica, index, True) for replica in state.replicas))
            yield _claimant_step(state, index, replicas, ClaimantState(REQUESTING))
        if claimant.phase != REQUESTING:
            return
        yield from self._vote_steps(state, index)
        if claimant.votes_in_flight:
            received = ClaimantState(
                REQUESTING, claimant.since_request, claimant.votes + 1, claimant.votes_in_flight - 1
            )
            yield _claimant_step(state, index, state.replicas, received)
        if self._can_run(claimant):
            yield self._run_step(state, index)
        replicas = _without_requests(_release_votes(state.replicas, index), index)
        yield _claimant_step(state, index, replicas, ClaimantState(GAVE_UP))

    def _vote_steps(self, state: ModelState, index: int) -> Iterator[Step]:
        """Yield one step for the arrival of the claimant's request at each replica."""
        claimant = state.claimants[index]
        for replica in {candidate for candidate in state.replicas if _has_request(candidate, index)}:
            answered = _with_request(replica, index, False)
            votes_in_flight = claimant.votes_in_flight
            if self._grants(answered, index):
                is_short = self.mistake is Mistake.SHORT_RESERVATION
                reservation_left = self.reservation_ttl - 1 if is_short else self.reservation_ttl
                answered = ReplicaState(index, reservation_left, *answered[2:])
                votes_in_flight += 1
            replicas = _replace(state.replicas, replica, answered)
            waiting = ClaimantState(
                REQUESTING, claimant.since_request, claimant.votes, votes_in_flight, claimant.since_vote
            )
            yield _claimant_step(state, index, replicas, waiting)

    def _grants(self, replica: ReplicaState, index: int) -> bool:
        is_taken = replica.holder not in (NO_HOLDER, index)
        return not replica.quarantine_left and (not is_taken or self.mistake is Mistake.TWO_VOTES)

    def _run_step(self, state: ModelState, index: int) -> Step:
        releases = self.mistake is Mistake.RELEASE_AFTER_START
        replicas = _release_votes(state.replicas, index) if releases else state.replicas
        violation = state.claimants[1 - index].since_run < self.key_ttl
        running = ClaimantState(RAN, since_run=0)
        step = _claimant_step(state, index, _without_requests(replicas, index), running)
        return Step(step.state, violation)

    def _can_run(self, claimant: ClaimantState) -> bool:
        has_majority = 2 * claimant.votes > REPLICAS
        has_enough = has_majority or (self.mistake is Mistake.MINORITY and claimant.votes > 0)
        counted_from_vote = self.mistake is Mistake.COUNTED_FROM_VOTE
        since = claimant.since_vote if counted_from_vote else claimant.since_request
        in_time = self.mistake is Mistake.LATE_RUN or since <= self.reservation_ttl - self.key_ttl
        return has_enough and in_time


def _replace(replicas: Replicas, before: ReplicaState, after: ReplicaState) -> Replicas:
    changed = list(replicas)
    changed.remove(before)
    return tuple(sorted([*changed, after]))


def _claimant_step(state: ModelState, index: int, replicas: Replicas, claimant: ClaimantState) -> Step:
    first, second = state.claimants
    claimants = (claimant, second) if index == FIRST else (first, claimant)
    return Step(ModelState(replicas, claimants, state.ticks, state.restarts_left, state.transfers_left))


def _has_request(replica: ReplicaState, index: int) -> bool:
    return replica.first_in_flight if index == FIRST else replica.second_in_flight


def _with_request(replica: ReplicaState, index: int, in_flight: bool) -> ReplicaState:
    first = in_flight if index == FIRST else replica.first_in_flight
    second = replica.second_in_flight if index == FIRST else in_flight
    return ReplicaState(*replica[:3], first, second, *replica[5:])


def _without_requests(replicas: Replicas, index: int) -> Replicas:
    return tuple(sorted(_with_request(replica, index, False) for replica in replicas))


def _release_votes(replicas: Replicas, index: int) -> Replicas:
    return tuple(
        ReplicaState(NO_HOLDER, 0, *replica[2:]) if replica.holder == index else replica
        for replica in replicas
    )


# With transfers, the model has 3.8 million states at its default size.
SMALL_MODEL = Model(key_ttl=1, reservation_ttl=1, ticks=2, transfers=1)


def with_mistake(mistake: Mistake) -> Model:
    """Return a model with a mistake, small enough for a fast search."""
    return replace(SMALL_MODEL if mistake in TRANSFER_MISTAKES else Model(), mistake=mistake)


def main() -> None:
    """Search the model without and with transfers, and with each mistake; this takes some minutes."""
    for model in (Model(), SMALL_MODEL, Model(transfers=1)):
        print(f"{model}: {model.search()}", flush=True)
    for mistake in list(Mistake)[1:]:
        print(f"{mistake.value}: {with_mistake(mistake).search()}", flush=True)


if __name__ == "__main__":
    main()
