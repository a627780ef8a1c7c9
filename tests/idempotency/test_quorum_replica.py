"""Votes of a single replica, and of three replicas with claimants that count the votes."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import combinations
from random import Random
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shelfhaven.idempotency.quorum_replica import (
    QuorumReplica,
    QuorumReplicaSettings,
    ReservationRequest,
    VoteKind,
    VoteReply,
)
from shelfhaven.idempotency.vote_count import ReservationResult, VoteCount, may_start

SETTINGS = QuorumReplicaSettings(max_duration=11.0, clock_drift=0.05, max_reservations=100)
DURATION_WITH_DRIFT = 11.0 * 1.05  # seconds; of a reservation, and of the quarantine, by the replica's clock
KEY_DIGEST = bytes(range(16))


def request(
    claimant: str = "a/1",
    run: int = 1,
    key_digest: bytes = KEY_DIGEST,
    duration: float = 11.0,
    generation: int = 1,
) -> ReservationRequest:
    return ReservationRequest(key_digest, claimant, run, duration, generation)


def test_replica_that_starts_grants_nothing_until_the_longest_reservation_has_expired() -> None:
    replica = QuorumReplica(SETTINGS, 100.0)
    early = replica.on_request(100.0 + DURATION_WITH_DRIFT - 0.1, request())
    assert early.kind is VoteKind.UNABLE
    assert early.seconds_left == pytest.approx(0.1)
    assert replica.on_request(100.0 + DURATION_WITH_DRIFT, request()).kind is VoteKind.GRANTED


def test_reservation_excludes_other_claimants_until_it_expires_by_the_slowest_clock() -> None:
    replica = QuorumReplica(SETTINGS, 0.0)
    assert replica.on_request(20.0, request("a/1")).kind is VoteKind.GRANTED
    reply = replica.on_request(20.0 + 11.0 * 1.05 - 0.01, request("b/1"))
    assert (reply.kind, reply.holder) == (VoteKind.TAKEN, "a/1")
    assert replica.on_request(20.0 + 11.0 * 1.05, request("b/1")).kind is VoteKind.GRANTED
    assert replica.on_request(32.0, request("a/1", 2)).kind is VoteKind.TAKEN


def test_another_incarnation_of_a_node_is_a_different_claimant() -> None:
    replica = QuorumReplica(SETTINGS, 0.0)
    assert replica.on_request(20.0, request("a/1")).kind is VoteKind.GRANTED
    assert replica.on_request(21.0, request("a/2")).kind is VoteKind.TAKEN
    same_claimant = replica.on_request(21.0, request("a/1", 2))
    assert same_claimant.kind is VoteKind.GRANTED, "a claimant detects its own duplicates"


def test_only_the_claimant_releases_a_key_and_only_for_the_same_run() -> None:
    replica = QuorumReplica(SETTINGS, 0.0)
    replica.on_request(20.0, request("a/1", 5))
    for claimant, run in (("b/1", 5), ("a/1", 4), ("a/2", 5)):
        replica.on_release(KEY_DIGEST, claimant, run)
        assert replica.on_request(21.0, request("c/1")).kind is VoteKind.TAKEN
    replica.on_release(KEY_DIGEST, "a/1", 5)
    assert replica.on_request(21.0, request("c/1")).kind is VoteKind.GRANTED


def test_late_message_for_an_earlier_run_does_not_affect_a_later_run() -> None:
    replica = QuorumReplica(SETTINGS, 0.0)
    replica.on_request(20.0, request("a/1", 5))
    assert replica.on_request(21.0, request("a/1", 4)).kind is VoteKind.GRANTED
    replica.on_release(KEY_DIGEST, "a/1", 4)
    assert replica.on_request(21.0, request("b/1")).kind is VoteKind.TAKEN


def test_full_replica_keeps_all_reservations_in_force_and_tells_when_it_has_capacity() -> None:
    replica = QuorumReplica(SETTINGS, 0.0)
    for number in range(100):
        assert (
            replica.on_request(20.0, request(key_digest=number.to_bytes(16, "big"))).kind is VoteKind.GRANTED
        )
    full = replica.on_request(21.0, request(key_digest=b"x" * 16))
    assert full.kind is VoteKind.UNABLE
    assert full.seconds_left == pytest.approx(DURATION_WITH_DRIFT - 1.0)
    assert replica.on_request(21.0, request("b/1", key_digest=bytes(16))).kind is VoteKind.TAKEN
    assert (
        replica.on_request(20.0 + DURATION_WITH_DRIFT, request(key_digest=b"x" * 16)).kind is VoteKind.GRANTED
    )
    assert len(replica.reservations) == 1


def test_distant_configuration_generations_and_too_long_reservations_get_no_vote() -> None:
    replica = QuorumReplica(QuorumReplicaSettings(max_duration=11.0, generation=5), 0.0)
    votes = {3: VoteKind.UNABLE, 4: VoteKind.GRANTED, 6: VoteKind.GRANTED, 7: VoteKind.UNABLE}
    for generation, vote in votes.items():
        key_digest = bytes([generation]) * 16
        assert replica.on_request(20.0, request(generation=generation, key_digest=key_digest)).kind is vote
    assert replica.on_request(20.0, request(duration=11.1)).kind is VoteKind.UNABLE


# Replicas and claimants

KEY_TTL = 8.0  # seconds
DEADLINE = 3.0  # seconds
DURATION = KEY_TTL + DEADLINE
DRIFT = 0.05
BURSTS = 4  # bursts of requests, one duration apart, so that a burst arrives just as votes expire
BURST_LENGTHS = (2.0, DURATION)  # seconds
RUNS_PER_CLAIMANT = 3
RESTARTS = 2
RESTART_DELAY = 1e-6  # seconds from the arrival of a request to the restart that loses the vote
DELIVERED_FRACTION = 0.8  # of requests; all votes arrive, some of them late
REPLICAS = frozenset("abc")


class Attempt(NamedTuple):
    """A claimant's attempt to reserve the key for a run."""

    requested_at: float
    claimant: int  # index
    run: int  # run number


class Arrival(NamedTuple):
    """The arrival of a request at a replica or, if there is no attempt, a restart of the replica."""

    at: float
    replica: str
    attempt: Attempt | None


class Vote(NamedTuple):
    """The arrival of a vote at its claimant."""

    at: float
    replica: str
    attempt: Attempt
    reply: VoteReply


class StartedRun(NamedTuple):
    """A run that started with a reservation."""

    at: float
    claimant: int


def random_attempts(random: Random, claimants: int) -> list[Attempt]:
    """Return random attempts; as in `ReservationRequest`, a claimant's run numbers increase with time."""
    attempts: list[Attempt] = []
    burst_length = random.choice(BURST_LENGTHS)
    for claimant in range(claimants):
        starts = [random.randrange(BURSTS) * DURATION for _ in range(RUNS_PER_CLAIMANT)]
        times = sorted(start + random.uniform(0, burst_length) for start in starts)
        attempts += [Attempt(requested_at, claimant, run) for run, requested_at in enumerate(times)]
    return attempts


def random_arrivals(random: Random, attempts: Iterable[Attempt]) -> list[Arrival]:
    """Return the arrivals at replicas in order: requests, some of them late or lost, and restarts."""
    arrivals: list[Arrival] = []
    for attempt in attempts:
        for replica in sorted(REPLICAS):
            if random.random() < DELIVERED_FRACTION:
                delay = random.choice((0.01, 1.0, 12.0)) * random.random()
                arrivals.append(Arrival(attempt.requested_at + delay, replica, attempt))
    lost = [random.choice(arrivals) for _ in range(RESTARTS)] if arrivals else []
    arrivals += [Arrival(arrival.at + RESTART_DELAY, arrival.replica, None) for arrival in lost]
    return sorted(arrivals, key=lambda arrival: arrival.at)


def collect_votes(random: Random, arrivals: Iterable[Arrival]) -> list[Vote]:
    """Return the votes of replicas with different clock rates, in the order of their arrival at claimants."""
    rates = {name: 1 + DRIFT * random.choice((-0.5, 0.0, 0.5)) for name in sorted(REPLICAS)}
    replica_settings = QuorumReplicaSettings(DURATION, DRIFT)
    replicas = {name: QuorumReplica(replica_settings, -100.0) for name in REPLICAS}
    votes: list[Vote] = []
    for at, replica, attempt in arrivals:
        clock = at * rates[replica]
        if attempt is None:
            replicas[replica] = QuorumReplica(replica_settings, clock)
            continue
        reservation_request = ReservationRequest(KEY_DIGEST, f"c{attempt.claimant}/1", attempt.run, DURATION)
        reply = replicas[replica].on_request(clock, reservation_request)
        delay = random.choice((0.01, 4.0)) * random.random()
        votes.append(Vote(at + delay, replica, attempt, reply))
    return sorted(votes, key=lambda vote: vote.at)


def start_runs(random: Random, votes: Iterable[Vote]) -> list[StartedRun]:
    """Return the runs that claimants start, in order; a claimant may be suspended before it starts a run."""
    counts: dict[Attempt, VoteCount] = {}
    started: list[StartedRun] = []
    for vote in votes:
        count = counts.setdefault(vote.attempt, VoteCount([REPLICAS], vote.attempt.requested_at))
        if count.on_vote(vote.replica, vote.reply) is ReservationResult.GRANTED:
            latest_start = max(vote.at, count.requested_at + DURATION - KEY_TTL)
            started_at = random.choice((vote.at, vote.at + 5.0 * random.random(), latest_start))
            if may_start(started_at, count.requested_at, DURATION, KEY_TTL):
                started.append(StartedRun(started_at, vote.attempt.claimant))
    return sorted(started)


@settings(max_examples=1500, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(2, 5))
def test_runs_of_different_claimants_are_a_key_ttl_apart_despite_faults(seed: int, claimants: int) -> None:
    """Uses the real replicas and vote counts with random delays, losses, restarts, pauses and clock rates."""
    random = Random(seed)
    arrivals = random_arrivals(random, random_attempts(random, claimants))
    started = start_runs(random, collect_votes(random, arrivals))
    for earlier, later in combinations(started, 2):
        assert earlier.claimant == later.claimant or later.at - earlier.at >= KEY_TTL
