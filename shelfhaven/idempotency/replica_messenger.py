"""Sends reservation queries to replicas, and answers queries with the votes of the node's own replica."""

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

SendDatagram: TypeAlias = Callable[[str, JsonValue], None]  # sends a JSON value to an address
NO_ANSWER_EXPECTED = 0  # number of a query that is not answered


class ReplicaMessenger:
    """Sends queries to replicas by datagram; calls the local replica, if there is one, directly."""

    def __init__(
        self,
        identity: ClaimantIdentity,
        endpoints: Mapping[str, ReplicaEndpoint],
        local_replica: QuorumReplica | None,
        send: SendDatagram,
    ) -> None:
        self.identity = identity
        self.endpoints = endpoints
        self.local_replica = local_replica
        self.send = send

    def request_votes(
        self, number: int, request: ReservationRequest, replicas: Iterable[str]
    ) -> VoteReply | None:
        """Ask these replicas for their votes; return the local replica's vote if it is among them."""
        replica_names = list(replicas)
        self._send_to_others(ReservationQuery(number, self.identity.address, request), replica_names)
        if self.local_replica and self.identity.name in replica_names:
            return self.local_replica.on_request(boottime(), request)
        return None

    def release(self, request: ReservationRequest, replicas: Iterable[str]) -> None:
        """Ask these replicas to release the key.

        A replica that does not receive the message frees the key when the reservation expires.
        """
        query = ReservationQuery(NO_ANSWER_EXPECTED, self.identity.address, request, release=True)
        self._send_to_others(query, replicas)
        if self.local_replica:
            self.local_replica.on_release(request.key_digest, request.claimant, request.run)

    def _send_to_others(self, query: ReservationQuery, replicas: Iterable[str]) -> None:
        message = encode_message(query)
        for name in replicas:
            if name != self.identity.name:
                self.send(self.endpoints[name].address, message)

    def answer(self, query: ReservationQuery) -> None:
        """Pass another node's query to the local replica, and send back its vote."""
        if self.local_replica is None:
            return
        request = query.request
        if query.release:
            self.local_replica.on_release(request.key_digest, request.claimant, request.run)
            return
        reply = self.local_replica.on_request(boottime(), request)
        self.send(query.sender, encode_message(VoteAnswer(query.number, self.identity.name, reply)))


def replicas_by_group(endpoints: Mapping[str, ReplicaEndpoint]) -> dict[str, frozenset[str]]:
    """Return the names of the replicas in each group, by the group's name."""
    groups = sorted({endpoint.group for endpoint in endpoints.values()})
    return {
        f"claims/{group}": frozenset(name for name, endpoint in endpoints.items() if endpoint.group == group)
        for group in groups
    }


def replicas_for_key(key_digest: bytes, groups: Mapping[str, frozenset[str]]) -> frozenset[str]:
    """Return the replicas that vote on a key: one group, chosen by rendezvous hashing on its name."""
    if len(groups) == 1:
        return next(iter(groups.values()))
    key = key_digest.hex()
    return groups[max(groups, key=lambda group: hash_fraction(key, group))]
