"""Tests of suspicion votes, the declaration of failed nodes, and refutations."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from shelfhaven.failover.digest_table import DigestTable
from shelfhaven.failover.load_digest import LoadDigest, SuspicionVote
from shelfhaven.failover.members import MemberList, MemberLocation
from shelfhaven.failover.settings import GossipSettings
from shelfhaven.failover.suspicion import SuspicionTracker

SETTINGS = GossipSettings(suspicion_quorum=2.0, suspicion_timeout=1.0)
SUSPECT = LoadDigest("a0", "a", "a0", 1, 5)


def make_tracker() -> SuspicionTracker:
    members = MemberList("me")
    members.update({f"{zone}{number}": MemberLocation(zone, "host") for zone in "abc" for number in range(3)})
    table = DigestTable(SETTINGS)
    table.add(0.0, SUSPECT, 0.0)
    return SuspicionTracker(SETTINGS, members, table, Counter())


def vote(voter: str, zone: str, health: float = 1.0, sequence: int = 5) -> SuspicionVote:
    return SuspicionVote("a0", 1, sequence, voter, zone, health)


def test_quorum_from_two_zones_declares_a_node_failed_after_the_timeout() -> None:
    suspicions = make_tracker()
    suspicions.record_vote(0.0, vote("b0", "b"))
    suspicions.record_vote(0.0, vote("c0", "c"))
    assert suspicions.suspects_with_quorum() == ["a0"]
    suspicions.declare_failures(0.9)
    assert suspicions.table.failed_names() == []
    suspicions.declare_failures(1.1)
    assert suspicions.table.failed_names() == ["a0"]
    assert suspicions.counts["gone"] == 1


def test_votes_from_one_zone_or_from_unhealthy_voters_are_no_quorum() -> None:
    for votes in ([vote("b0", "b"), vote("b1", "b")], [vote("b0", "b", 0.5), vote("c0", "c", 0.5)]):
        suspicions = make_tracker()
        for cast_vote in votes:
            suspicions.record_vote(0.0, cast_vote)
        suspicions.declare_failures(60.0)
        assert suspicions.table.suspected_names() == ["a0"]


def test_vote_against_an_older_digest_is_void_and_a_newer_digest_clears_the_suspect() -> None:
    suspicions = make_tracker()
    suspicions.record_vote(0.0, vote("b0", "b", sequence=4))
    assert suspicions.table.suspected_names() == []
    suspicions.record_vote(0.0, vote("b0", "b"))
    peer = suspicions.table.peers["a0"]
    suspicions.record_refutation("a0")
    suspicions.table.update(peer, replace(SUSPECT, sequence=6), 1.0)
    assert suspicions.table.suspected_names() == []
    assert suspicions.take_votes(1000.0) == [], "void votes are not sent"
    assert suspicions.take_refutations(1.0, 1000.0) == [peer]


def test_each_vote_is_sent_a_bounded_number_of_times_within_the_budget() -> None:
    suspicions = make_tracker()
    suspicions.record_vote(0.0, vote("b0", "b"))
    assert suspicions.take_votes(1.0) == []
    transmissions = 0
    while suspicions.take_votes(1000.0):
        transmissions += 1
    assert transmissions == 15, "3 + 3 * ceil(log2(2 + 9))"
    assert not suspicions.votes
