"""Tests of the gossip protocol: dissemination of digests and detection of failed nodes."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from shelfhaven.failover import gossip, suspicion
from shelfhaven.failover.gossip import Gossip, Send
from shelfhaven.failover.load_digest import (
    MAX_MESSAGE_BYTES,
    AgedDigest,
    LoadDigest,
    Message,
    MessageKind,
    SuspicionVote,
)
from shelfhaven.failover.members import MemberLocation
from shelfhaven.failover.settings import GossipSettings
from shelfhaven.failover.wire import encode_message
from shelfhaven.membership.signed_datagram import MAC_BYTES, seal
from tests.failover.helpers import NINE_NODES, SECRET, GossipGroup


def test_all_nodes_learn_the_digests_of_all_others_without_suspicions() -> None:
    group = GossipGroup(NINE_NODES)
    group.run(10.0)
    for node in group.nodes.values():
        assert {digest.name for digest in node.digests(group.now)} == set(NINE_NODES)
        assert node.failed_peers() == node.suspected_peers() == []
        assert all(fraction == 1.0 for fraction in node.pings.reachability.values())


def test_stopped_node_is_declared_failed_by_all_others() -> None:
    group = GossipGroup(NINE_NODES)
    group.run(5.0)
    group.stopped.add("a1")
    group.run(30.0)
    for name, node in group.nodes.items():
        if name != "a1":
            assert node.failed_peers() == ["a1"]
            assert "a1" not in {digest.name for digest in node.digests(group.now)}


def test_node_that_receives_no_messages_does_not_cause_others_to_be_declared_failed() -> None:
    group = GossipGroup(NINE_NODES)
    group.run(5.0)
    group.is_lost = lambda sender, receiver: receiver == "a1"  # it sends but receives nothing
    group.run(20.0)
    isolated = group.nodes["a1"]
    assert isolated.health < 0.3
    assert isolated.failed_peers() == []
    for name, node in group.nodes.items():
        if name != "a1":
            assert set(node.failed_peers()) <= {"a1"}


def test_relays_ping_around_a_cut_link() -> None:
    group = GossipGroup(NINE_NODES)
    group.is_lost = lambda sender, receiver: {sender, receiver} == {"a1", "b1"}
    group.run(30.0)
    assert all(node.failed_peers() == [] for node in group.nodes.values())
    assert group.nodes["a1"].pings.reachability["b"] > 0.9, "relays ping on its behalf"


def test_live_suspect_refutes_a_vote_with_a_newer_digest() -> None:
    group = GossipGroup(NINE_NODES)
    group.run(5.0)
    node = group.nodes["a1"]
    previous = node.own_digest
    vote = SuspicionVote("a1", previous.incarnation, previous.sequence, "b1", "b", 1.0)
    node.receive(group.now, Message(MessageKind.ACK, 0, "b1", suspicions=(vote,)))
    assert node.own_digest.version > previous.version
    node.receive(group.now, Message(MessageKind.ACK, 0, "b1", suspicions=(vote,)))
    assert node.counts["refuted"] == 1, "a vote against an older digest is void"


def test_restarted_node_whose_clock_went_back_takes_a_larger_incarnation() -> None:
    group = GossipGroup(NINE_NODES)
    group.run(5.0)
    previous_incarnation = group.nodes["a1"].own_digest.incarnation
    digest = LoadDigest("a1", "a", "a1", incarnation=0, capacity=3.0)
    group.nodes["a1"] = Gossip(group.nodes["b1"].settings, digest, group.now, Random(5))
    group.nodes["a1"].update_members({name: MemberLocation(zone, name) for name, zone in NINE_NODES.items()})
    group.run(10.0)
    assert group.nodes["a1"].own_digest.incarnation > previous_incarnation
    known = next(other for other in group.nodes["c2"].digests(group.now) if other.name == "a1")
    assert known.capacity == 3.0


def test_stale_digest_is_ignored_and_age_grows_while_a_node_holds_a_digest() -> None:
    node = Gossip(GossipSettings(max_digest_age=5.0), LoadDigest("a", "a", "a"), 0.0, Random(1))
    node.receive(
        1.0, Message(MessageKind.PING, 1, "b", digests=(AgedDigest(LoadDigest("x", "x", "x", 1, 1), 6.0),))
    )
    assert len(node.digests(1.0)) == 1
    node.receive(
        1.0, Message(MessageKind.PING, 1, "b", digests=(AgedDigest(LoadDigest("y", "y", "y", 1, 1), 3.0),))
    )
    (send,) = node.receive(2.0, Message(MessageKind.PING, 2, "b"))
    assert isinstance(send, Send)
    assert {digest.name: age for digest, age in send.message.digests}["y"] == pytest.approx(4.0)
    assert len(node.digests(3.5)) == 1, "the digest of y is stale by then"


def test_refutation_reaches_nearly_all_nodes_within_the_suspicion_timeout() -> None:
    group = GossipGroup({f"{zone}{number}": zone for zone in "abc" for number in range(20)})
    group.run(20.0)
    for name, node in group.nodes.items():
        for number in range(3):
            vote = SuspicionVote("a0", 1, 10**6, f"x{number}", "abc"[number], 1.0)
            if name != "a0":
                node.record_vote(group.now, vote)  # every node gets three votes at once
    refutation = replace(group.nodes["a0"].own_digest, sequence=10**6 + 1)
    group.nodes["a0"].own_digest = refutation
    group.run(2.9)
    informed = sum(node.table.peers["a0"].votes == {} for name, node in group.nodes.items() if name != "a0")
    assert informed >= 57, "all but two of the 59 other nodes have received it within the suspicion timeout"
    assert not any(node.failed_peers() for node in group.nodes.values())


def test_messages_and_tables_are_bounded() -> None:
    zones = {f"n{number:04}": f"zone-{number % 5}" for number in range(400)}
    node = Gossip(GossipSettings(max_peers=64), LoadDigest("me", "zone-0", "me"), 0.0, Random(1))
    node.update_members(
        {
            name: MemberLocation(zone, f"127.0.0.1:{number}")
            for number, (name, zone) in enumerate(zones.items())
        }
    )
    reachability = {f"zone-{number}": 0.5 for number in range(5)}
    for number, (name, zone) in enumerate(zones.items()):
        address = f"127.0.0.1:{number}"
        digest = LoadDigest(name, zone, address, 1, 1, 10.0, reachability=reachability)
        votes = tuple(SuspicionVote(name, 1, 1, f"n{voter:04}", "zone-1", 1.0) for voter in range(5))
        request = Message(MessageKind.PING_REQUEST, number, "b", "c", (AgedDigest(digest, 0.0),), votes)
        node.receive(number * 0.01, request)
    assert len(node.table.peers) <= 64
    assert len(node.relayed_pings) <= gossip.MAX_RELAYED_PINGS
    assert len(node.suspicions.votes) <= suspicion.MAX_DISSEMINATED
    for ping_id in range(20):
        (send,) = node.receive(4.0, Message(MessageKind.PING, ping_id, "b"))
        assert isinstance(send, Send)
        assert len(seal(SECRET, encode_message(send.message))) <= MAX_MESSAGE_BYTES + MAC_BYTES


def test_message_rate_does_not_depend_on_fleet_size() -> None:
    sent = []
    for count in (9, 90):
        group = GossipGroup({f"{zone}{number}": zone for zone in "abc" for number in range(count // 3)})
        group.run(10.0)
        sent.append(len(group.messages) / count / 10.0)
    assert sent[1] == pytest.approx(sent[0], rel=0.2)


def test_node_that_reaches_no_zone_has_no_summaries() -> None:
    node = Gossip(GossipSettings(), LoadDigest("a1", "a", "a1"), 0.0, Random(1))
    node.update_members({name: MemberLocation(zone, name) for name, zone in NINE_NODES.items()})
    assert set(node.zone_summaries(0.0) or ()) == {"a", "b", "c"}
    node.pings.reachability = dict.fromkeys("abc", 0.2)
    assert node.zone_summaries(0.0) is None
    node.pings.reachability["a"] = 1.0
    assert node.zone_summaries(0.0) is not None
    node.update_members({"b1": MemberLocation("b", "b1")})
    assert set(node.pings.reachability) == {"b"}, "zones that are no longer listed are forgotten"
