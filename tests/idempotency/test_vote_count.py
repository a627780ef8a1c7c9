"""Counting of votes, and the time limit for starting a run."""

from __future__ import annotations

import pytest

from shelfhaven.idempotency.quorum_replica import (
    VoteKind,
    VoteReply,
)
from shelfhaven.idempotency.vote_count import ReservationResult, VoteCount, may_start

REPLICAS = frozenset("abc")
GRANTED = VoteReply(VoteKind.GRANTED)
UNABLE = VoteReply(VoteKind.UNABLE, seconds_left=2.0)
TAKEN = VoteReply(VoteKind.TAKEN, "x/1", 3.0)


@pytest.mark.parametrize(
    ("votes", "result"),
    [
        ({"a": GRANTED}, None),
        ({"a": GRANTED, "b": GRANTED}, ReservationResult.GRANTED),
        ({"a": GRANTED, "b": UNABLE}, None),
        ({"a": UNABLE, "b": UNABLE}, ReservationResult.UNABLE),
        ({"a": TAKEN, "b": UNABLE}, ReservationResult.TAKEN),
        ({"a": TAKEN}, None),
        ({"a": GRANTED, "b": TAKEN, "c": GRANTED}, ReservationResult.GRANTED),
        ({"a": GRANTED, "b": TAKEN, "c": UNABLE}, ReservationResult.TAKEN),
    ],
)
def test_majority_grants_and_a_reservation_that_cannot_win_ends(
    votes: dict[str, VoteReply], result: ReservationResult | None
) -> None:
    count = VoteCount([REPLICAS], 0.0)
    last_result = None
    for replica, reply in votes.items():
        last_result = count.on_vote(replica, reply)
    assert last_result is result


def test_majority_of_both_sets_is_needed_while_replicas_change() -> None:
    count = VoteCount([REPLICAS, frozenset("cde")], 0.0)
    assert count.on_vote("a", GRANTED) is None
    assert count.on_vote("b", GRANTED) is None, "a majority of one set only"
    assert count.on_vote("d", GRANTED) is None
    assert count.on_vote("e", UNABLE) is None
    assert count.unanswered() == ["c"]
    assert count.on_vote("c", GRANTED) is ReservationResult.GRANTED
    rejected = VoteCount([REPLICAS, frozenset("cde")], 0.0)
    rejected.on_vote("d", UNABLE)
    assert rejected.on_vote("e", UNABLE) is ReservationResult.UNABLE
    assert rejected.retry_after() == 2.0


def test_likely_holder_is_the_claimant_that_most_replicas_name() -> None:
    count = VoteCount([frozenset("abcde")], 0.0)
    for replica, holder in zip("abc", ("x/1", "y/1", "y/1"), strict=True):
        count.on_vote(replica, VoteReply(VoteKind.TAKEN, holder, 1.0))
    assert count.likely_holder() == "y/1"


def test_run_starts_only_within_its_time_limit_after_the_request() -> None:
    assert may_start(103.0, 100.0, 11.0, 8.0)
    assert not may_start(103.1, 100.0, 11.0, 8.0)
