"""Tests of the bounded table of load digests."""

from __future__ import annotations

import math
from dataclasses import replace

from shelfhaven.failover.digest_table import DigestTable
from shelfhaven.failover.load_digest import LoadDigest, SuspicionVote
from shelfhaven.failover.settings import GossipSettings

SETTINGS = GossipSettings(max_peers=3, max_digest_age=10.0)


def digest(name: str, sequence: int = 0) -> LoadDigest:
    return LoadDigest(name, "a", name, 1, sequence)


def test_peers_with_the_oldest_digests_are_evicted_first() -> None:
    table = DigestTable(SETTINGS)
    for number in range(3):
        table.add(0.0, digest(f"n{number}"), 0.0)
    table.update(table.peers["n0"], digest("n0", 1), 1.0)
    table.add(1.0, digest("n3"), 1.0)
    assert list(table.peers) == ["n2", "n0", "n3"]


def test_stale_digest_is_not_added_and_old_peers_are_forgotten() -> None:
    table = DigestTable(SETTINGS)
    table.add(20.0, digest("n0"), 9.0)
    assert not table.peers
    table.add(20.0, digest("n1"), 20.0)
    assert [peer.digest.name for peer in table.fresh_peers(30.0)] == ["n1"]
    assert table.fresh_peers(30.5) == []
    table.add(61.0, digest("n2"), 61.0)
    assert list(table.peers) == ["n2"], "n1 is evicted after four times the maximum age"


def test_versions_are_ordered_by_incarnation_then_sequence() -> None:
    older, newer = digest("n0", 1), digest("n0", 2)
    restarted = replace(older, incarnation=2, sequence=0)
    assert newer.is_newer_than(older)
    assert not older.is_newer_than(newer)
    assert not older.is_newer_than(older)
    assert restarted.is_newer_than(newer)
    assert restarted.version > newer.version > older.version


def test_newer_digest_replaces_the_older_one() -> None:
    table = DigestTable(SETTINGS)
    table.add(0.0, digest("n0"), 0.0)
    newer = replace(digest("n0", 2), capacity=5.0)
    table.update(table.peers["n0"], newer, 1.0)
    assert (table.peers["n0"].digest, table.peers["n0"].written_at) == (newer, 1.0)


def test_newer_digest_voids_older_votes_and_clears_a_peer_without_votes() -> None:
    table = DigestTable(SETTINGS)
    table.add(0.0, digest("n0"), 0.0)
    peer = table.peers["n0"]
    older, newer = (SuspicionVote("n0", 1, sequence, f"n{sequence}", "b", 1.0) for sequence in (2, 3))
    peer.votes = {vote.voter: vote for vote in (older, newer)}
    peer.suspected_since = 0.5
    peer.failed = True
    table.update(peer, digest("n0", 3), 1.0)
    assert (peer.votes, peer.suspected_since, peer.failed) == ({"n3": newer}, 0.5, True)
    table.update(peer, digest("n0", 4), 2.0)
    assert (peer.votes, peer.suspected_since, peer.failed) == ({}, math.inf, False)
    peer.suspected_since = 2.5
    peer.failed = True
    table.update(peer, digest("n0", 5), 3.0)
    assert (peer.suspected_since, peer.failed) == (math.inf, False)
