"""Sending of queries to replicas, and the votes of the local replica."""

from __future__ import annotations

from typing import Any

from shelfhaven.idempotency import wire
from shelfhaven.idempotency.claimant import ClaimantIdentity
from shelfhaven.idempotency.quorum_replica import (
    QuorumReplica,
    QuorumReplicaSettings,
    ReplicaEndpoint,
    ReservationRequest,
    VoteKind,
)
from shelfhaven.idempotency.replica_messenger import ReplicaMessenger, replicas_by_group, replicas_for_key

REQUEST = ReservationRequest(bytes(16), "at-k1/7", 1, 10.0)


class RecordingMessenger(ReplicaMessenger):
    """A messenger of a node with a replica; records what it sends."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, wire.ReservationQuery | wire.VoteAnswer]] = []
        endpoints = {name: ReplicaEndpoint(name, name, f"at-{name}") for name in ("k1", "k2", "k3")}
        replica = QuorumReplica(QuorumReplicaSettings(10.0), -100.0)
        super().__init__(ClaimantIdentity("k1", "at-k1", 7), endpoints, replica, self.record)

    def record(self, address: str, message: Any) -> None:
        self.sent.append((address, wire.decode_message(message)))


def test_other_replicas_are_asked_by_datagram_and_the_local_one_directly() -> None:
    messenger = RecordingMessenger()
    reply = messenger.request_votes(5, REQUEST, ["k1", "k2", "k3"])
    assert reply
    assert reply.kind is VoteKind.GRANTED
    assert messenger.sent == [
        (f"at-{name}", wire.ReservationQuery(5, "at-k1", REQUEST)) for name in ("k2", "k3")
    ]
    assert messenger.request_votes(5, REQUEST, ["k2"]) is None


def test_release_is_sent_to_other_replicas_and_frees_the_key_at_the_local_one() -> None:
    messenger = RecordingMessenger()
    assert messenger.local_replica
    messenger.request_votes(5, REQUEST, ["k1"])
    assert messenger.local_replica.reservations
    messenger.release(REQUEST, ["k1", "k2"])
    assert messenger.sent == [("at-k2", wire.ReservationQuery(0, "at-k1", REQUEST, release=True))]
    assert not messenger.local_replica.reservations


def test_query_of_another_node_is_answered_and_a_release_is_not() -> None:
    messenger = RecordingMessenger()
    assert messenger.local_replica
    query = wire.ReservationQuery(9, "at-n5", REQUEST)
    messenger.answer(query)
    ((address, answer),) = messenger.sent
    assert address == "at-n5"
    assert isinstance(answer, wire.VoteAnswer)
    assert (answer.number, answer.replica, answer.reply.kind) == (9, "k1", VoteKind.GRANTED)
    messenger.answer(wire.ReservationQuery(9, "at-n5", REQUEST, release=True))
    assert len(messenger.sent) == 1
    assert not messenger.local_replica.reservations


def test_each_key_belongs_to_one_group_and_each_group_has_keys() -> None:
    endpoints = {
        f"{zone}{group}": ReplicaEndpoint(f"{zone}{group}", zone, "", group)
        for zone in "abc"
        for group in (0, 1)
    }
    groups = replicas_by_group(endpoints)
    assert groups == {"claims/0": {"a0", "b0", "c0"}, "claims/1": {"a1", "b1", "c1"}}
    chosen = {replicas_for_key(number.to_bytes(16, "big"), groups) for number in range(40)}
    assert chosen == set(groups.values())
