"""A stub network between quorum replicas in one process, with scripted failures of their requests.

The stub delivers requests between the replicas without reading their bodies.
"""

from __future__ import annotations

from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

from shelfhaven.idempotency.claimant import ClaimantIdentity
from shelfhaven.idempotency.quorum_replica import QuorumReplica, QuorumReplicaSettings, ReplicaEndpoint
from shelfhaven.idempotency.vote_transfer import VoteTransfer
from shelfhaven.membership.clock import boottime
from shelfhaven.membership.peer_rpc import PeerRpcError, Route
from shelfhaven.server.log import Log

MAX_DURATION = 10.0  # longest reservation, in seconds
REPLICAS = ("k1", "k2", "k3")
UNSENT = "unsent"  # the request is not sent, and the sender knows that
REQUEST_LOST = "request lost"  # the request does not arrive; the sender only sees a time-out
ANSWER_LOST = "answer lost"  # the request arrives, but its answer is lost; the sender sees a time-out


class ReplicaNetwork:
    """Replicas whose requests to each other end as scripted, in order; all later requests succeed."""

    def __init__(self, outcomes: list[str] | None = None) -> None:
        self.routes: dict[str, dict[str, Route]] = {}  # by address and path
        self.outcomes: Iterator[str] = iter(outcomes or [])
        self.posts: list[tuple[str, str]] = []  # address and path of each request
        self.replicas: dict[str, QuorumReplica] = {}

    def start(self, name: str, incarnation: int, age: float = 100.0) -> VoteTransfer:
        """Start an incarnation of a replica as if it had been running for `age` seconds."""
        endpoints = {replica: ReplicaEndpoint(replica, replica, _address(replica)) for replica in REPLICAS}
        peer_rpc: Any = SimpleNamespace(routes={}, post=self.post)
        replica = QuorumReplica(QuorumReplicaSettings(MAX_DURATION, 0.0), boottime() - age)
        self.replicas[name] = replica
        identity = ClaimantIdentity(name, _address(name), incarnation)
        transfer = VoteTransfer(replica, identity, endpoints, peer_rpc, Log("test"))
        self.routes[identity.address] = peer_rpc.routes
        return transfer

    async def post(self, peer: str, sender: str, path: str, body: bytes, timeout: float) -> bytes:
        """Deliver a request from one replica to another, and return the answer."""
        del sender, timeout  # parameters of `PeerRpc.post`; the stub delivers every request immediately
        self.posts.append((peer, path))
        outcome = next(self.outcomes, "")
        if outcome == UNSENT:
            raise PeerRpcError("refused", False)
        if outcome == REQUEST_LOST:
            raise PeerRpcError("time-out", True)
        answer = await self.routes[peer][path](body)
        if outcome == ANSWER_LOST:
            raise PeerRpcError("time-out", True)
        return answer


def _address(name: str) -> str:
    return f"at-{name}"
