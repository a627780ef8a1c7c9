"""Queries of one node to the replicas, and the answers of the node's own replica if it is one."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TypeAlias

from shelfhaven.idempotency.claimant import ClaimantIdentity
from shelfhaven.idempotency.quorum_replica import (
    QuorumReplica,
    ReplicaEndpoint,
    ReservationRequest,
    VoteReply,
)
from shelfhaven.idempotency.wire import JsonValue, ReservationQuery, VoteAnswer, encode_message
from shelfhaven.membership.clock import boottime
from shelfhaven.routing.hash_spread import hash_fraction

SendDatagram: TypeAlias = Callable[[str, JsonValue], None]  # to an address, a JSON value
NO_ANSWER_EXPECTED = 0  # number of a query that is not answered


class ReplicaMessenger:
    """Sends queries to replicas; the node's own replica is asked directly."""

    def __init__(
        self,
        identity: ClaimantIdentity,
        endpoints: Mapping[str, ReplicaEndpoint],
        own_replica: QuorumReplica | None,
        send: SendDatagram,
    ) -> None:
        self.identity = identity
        self.endpoints = endpoints
        self.own_replica = own_replica
        self.send = send

    def request_votes(
        self, number: int, request: ReservationRequest, replicas: Iterable[str]
    ) -> VoteReply | None:
        """Ask these replicas for their votes; return the own replica's vote if it is among them."""
        replica_names = list(replicas)
        self._send_to_others(ReservationQuery(number, self.identity.address, request), replica_names)
        if self.own_replica and self.identity.name in replica_names:
            return self.own_replica.on_request(boottime(), request)
        return None

    def release(self, request: ReservationRequest, replicas: Iterable[str]) -> None:
        """Give the votes on a request back.

        A replica that does not get the message frees the key when the reservation expires.
        """
        query = ReservationQuery(NO_ANSWER_EXPECTED, self.identity.address, request, release=True)
        self._send_to_others(query, replicas)
        if self.own_replica:
            self.own_replica.on_release(request.key_digest, request.claimant, request.run)

    def _send_to_others(self, query: ReservationQuery, replicas: Iterable[str]) -> None:
        message = encode_message(query)
        for name in replicas:
            if name != self.identity.name:
                self.send(self.endpoints[name].address, message)

    def answer(self, query: ReservationQuery) -> None:
        """Let the own replica answer another node's query."""
        if self.own_replica is None:
            return
        request = query.request
        if query.release:
            self.own_replica.on_release(request.key_digest, request.claimant, request.run)
            return
        reply = self.own_replica.on_request(boottime(), request)
        self.send(query.sender, encode_message(VoteAnswer(query.number, self.identity.name, reply)))


def groups_of(endpoints: Mapping[str, ReplicaEndpoint]) -> dict[str, frozenset[str]]:
    """Return the names of a set's replicas by the name of their group."""
    groups = sorted({endpoint.group for endpoint in endpoints.values()})
    return {
        f"claims/{group}": frozenset(name for name, one in endpoints.items() if one.group == group)
        for group in groups
    }


def group_for(key_digest: bytes, groups: Mapping[str, frozenset[str]]) -> frozenset[str]:
    """Return the replicas that vote on a key, by rendezvous hashing of the key with the groups' names."""
    if len(groups) == 1:
        return next(iter(groups.values()))
    key = key_digest.hex()
    return groups[max(groups, key=lambda group: hash_fraction(key, group))]
