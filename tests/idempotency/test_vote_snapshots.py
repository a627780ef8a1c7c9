"""Snapshots of votes: which are stored, which incarnation gets them, and that no vote is lost."""

from __future__ import annotations

from shelfhaven.idempotency.quorum_replica import (
    QuorumReplica,
    QuorumReplicaSettings,
    ReservationRequest,
    VoteKind,
)
from shelfhaven.idempotency.vote_snapshots import (
    VOTES_PER_PAGE,
    ReservationVote,
    SnapshotPage,
    VoteSnapshots,
    split_into_pages,
)
from shelfhaven.lab.vote_transfer_stub import MAX_DURATION


def key(number: int) -> bytes:
    return number.to_bytes(16, "big")


def request(number: int, claimant: str) -> ReservationRequest:
    return ReservationRequest(key(number), claimant, 1, 8.0)


def votes(count: int, seconds_left: float = 5.0) -> list[ReservationVote]:
    return [ReservationVote(key(number), "at-x/1", number, seconds_left) for number in range(count)]


def put_all(snapshots: VoteSnapshots, now: float, incarnation: int = 1, count: int = 2) -> list[bool]:
    return [
        snapshots.put(now, page) for page in split_into_pages("k", incarnation, MAX_DURATION, votes(count))
    ]


def take_all(snapshots: VoteSnapshots, now: float, incarnation: int) -> list[ReservationVote] | None:
    taken_votes: list[ReservationVote] = []
    number = 1
    last_number = 1
    while number <= last_number:
        page = snapshots.take(now, "k", incarnation, number, MAX_DURATION)
        if page is None:
            return None
        taken_votes += page.votes
        number += 1
        last_number = page.page_count - 1
    return taken_votes


def test_only_the_next_incarnation_gets_the_whole_snapshot_with_the_remaining_times() -> None:
    snapshots = VoteSnapshots(MAX_DURATION, 10_000)
    assert all(put_all(snapshots, 100.0, count=2 * VOTES_PER_PAGE + 1))
    for _ in range(2):
        taken_votes = take_all(snapshots, 102.0, 2)
        assert taken_votes
        assert [vote.key_digest for vote in taken_votes] == [
            key(number) for number in range(2 * VOTES_PER_PAGE + 1)
        ]
        assert {vote.seconds_left for vote in taken_votes} == {3.0}
    assert take_all(snapshots, 102.0, 3) is None, "the snapshot lacks the votes that incarnation 2 has given"
    assert take_all(snapshots, 102.0, 1) is None, "incarnation 1 sent the snapshot and has ended"
    assert take_all(snapshots, 105.1, 2) == [], "all reservations have expired"


def test_incomplete_and_expired_snapshots_are_not_given_out_and_pages_must_be_in_order() -> None:
    pages = split_into_pages("k", 1, MAX_DURATION, votes(VOTES_PER_PAGE + 1))
    assert len(pages) == 3
    assert pages[0].votes == (), "the header is acknowledged before any vote is sent"
    snapshots = VoteSnapshots(MAX_DURATION, 10_000)
    assert not snapshots.put(0.0, pages[1]), "the header is missing"
    assert snapshots.put(0.0, pages[0])
    assert not snapshots.put(0.0, pages[2])
    assert snapshots.put(0.0, pages[1])
    assert not snapshots.put(0.0, pages[1])
    assert take_all(snapshots, 0.0, 2) is None
    assert snapshots.put(9.0, pages[2])
    assert take_all(snapshots, 9.9, 2) is not None
    assert (
        take_all(snapshots, 10.0, 2) is None
    ), "10 s after the header, an incarnation without the snapshot may have voted"


def test_only_a_later_incarnation_replaces_a_snapshot_and_max_durations_must_match() -> None:
    snapshots = VoteSnapshots(MAX_DURATION, 10_000)
    assert all(put_all(snapshots, 0.0, incarnation=5))
    assert put_all(snapshots, 1.0, incarnation=5) == [False, False]
    assert put_all(snapshots, 1.0, incarnation=4) == [False, False]
    assert all(put_all(snapshots, 2.0, incarnation=6))
    assert snapshots.take(2.0, "k", 7, 1, MAX_DURATION + 1) is None
    assert take_all(snapshots, 2.0, 8) is None, "incarnation 7 has a different quarantine and may have voted"
    assert not snapshots.put(0.0, SnapshotPage("k", 9, 0, 2, MAX_DURATION + 1))
    for number in range(40):
        snapshots.put(3.0, SnapshotPage(f"k{number}", 1, 0, 2, MAX_DURATION))
    assert len(snapshots.snapshots) <= 16
    assert not VoteSnapshots(MAX_DURATION, 100).put(
        0.0, SnapshotPage("k", 1, 0, 1000, MAX_DURATION)
    ), "more pages than a replica's reservations can fill"


def test_closed_replica_stops_voting_and_a_replica_in_quarantine_has_no_snapshot() -> None:
    replica = QuorumReplica(QuorumReplicaSettings(MAX_DURATION, 0.0), 0.0)
    assert (
        QuorumReplica(QuorumReplicaSettings(MAX_DURATION, 0.0), 0.0).close(5.0) is None
    ), "in quarantine: votes may be missing"
    assert replica.on_request(11.0, request(1, "a")).kind is VoteKind.GRANTED
    reservations = replica.close(12.0)
    assert reservations
    assert [(key_digest, reservation.claimant) for key_digest, reservation in reservations.items()] == [
        (key(1), "a")
    ]
    assert replica.on_request(12.0, request(2, "a")).kind is VoteKind.UNABLE
    next_incarnation = QuorumReplica(QuorumReplicaSettings(MAX_DURATION, 0.0), 13.0)
    assert next_incarnation.restore(dict(reservations))
    assert next_incarnation.on_request(13.0, request(1, "b")).kind is VoteKind.TAKEN
    assert next_incarnation.on_request(13.0, request(2, "b")).kind is VoteKind.GRANTED
    assert not next_incarnation.restore({}), "it has granted a key"
    assert (
        next_incarnation.on_request(19.5, request(1, "b")).kind is VoteKind.GRANTED
    ), "its reservation has expired"
