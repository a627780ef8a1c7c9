"""The singleton task that asks the target for the outcomes of unresolved operations of all nodes.

The leader collects unresolved operations from this node and, by HTTP, from its peers. It asks the target
about each operation, then tells the node that reported it that the operation is resolved.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeAlias

import orjson

from shelfhaven.election.fenced_target import FencedTarget, TargetError
from shelfhaven.election.leader_tasks import FailureBackoff, LeaderTask, NodeServices
from shelfhaven.election.lease import LeaderLease, LeaseUncertainError, Permit
from shelfhaven.election.unresolved import (
    UnresolvedOperation,
    UnresolvedOperations,
    from_json_values,
    to_json_values,
)
from shelfhaven.server.log import Log

UNRESOLVED_PATH, RESOLVED_PATH = "/unclear", "/settled"  # request paths at peers
PEERS_PER_ROUND = 4  # peers that are asked for their unresolved operations in one round
MAX_LOGGED_BYTES = 200  # of the target's answer

PeerHandler: TypeAlias = Callable[[bytes], Awaitable[bytes]]  # request body -> answer body


@dataclass(frozen=True, slots=True)
class CollectedOperations:
    """Unresolved operations of one node."""

    peer: str | None  # the address of the node, None for this node
    operations: list[UnresolvedOperation]


class ReconcileTask(LeaderTask):
    """Resolves unresolved operations while the node is the leader."""

    def __init__(
        self,
        target: FencedTarget,
        interval: float,
        local: UnresolvedOperations,
        services: NodeServices,
        log: Log,
    ) -> None:
        self.target = target
        self.interval = interval  # seconds between rounds
        self.local = local
        self.services = services
        self.log = log
        self.peers_polled = 0

    async def run(self, lease: LeaderLease) -> None:
        """Reconcile in rounds until the lease says to finish."""
        backoff = FailureBackoff()
        while True:
            try:
                for collected in await self._collect():
                    for operation in collected.operations:
                        await self._reconcile(lease, collected.peer, operation)
                backoff.succeeded()
            except LeaseUncertainError:
                pass
            except TargetError as error:
                self.log.event("duty_target", duty=lease.task, error=str(error))
                backoff.failed(error)
            if not await lease.continue_after(backoff.interval(self.interval)):
                return

    def close(self) -> None:
        """Close the target's client."""
        self.target.close()

    async def _collect(self) -> list[CollectedOperations]:
        """Collect the oldest operations of this node and of the next few peers in round-robin order."""
        collected = [CollectedOperations(None, self.local.oldest())]
        addresses = sorted(self.services.addresses())
        for _ in range(min(PEERS_PER_ROUND, len(addresses))):
            self.peers_polled += 1
            peer = addresses[self.peers_polled % len(addresses)]
            answer = await self.services.post(peer, UNRESOLVED_PATH, b"{}")
            if answer is None:
                continue
            try:
                collected.append(CollectedOperations(peer, from_json_values(orjson.loads(answer))))
            except ValueError as error:
                self.log.event("peer_unreadable", peer=peer, error=str(error))
        return collected

    async def _reconcile(self, lease: LeaderLease, peer: str | None, operation: UnresolvedOperation) -> None:
        body = orjson.dumps(
            {
                "class": operation.request_class,
                "tenant": operation.tenant,
                "key": operation.key,
                "at": operation.since,
            }
        )

        async def ask_target(permit: Permit) -> bytes:
            """Ask the target for the outcome of the operation."""
            return await self.target.send(permit, "POST", "reconcile", body, operation.id)

        answer = await lease.act(ask_target, self.target.min_time_to_act)
        text = answer[:MAX_LOGGED_BYTES].decode("utf-8", "replace")
        self.log.event("reconciled", duty=lease.task, key=operation.id, said=text)
        if peer is None:
            self.local.resolve(operation.id)
        else:
            await self.services.post(peer, RESOLVED_PATH, orjson.dumps({"id": operation.id}))


def peer_routes(local: UnresolvedOperations) -> dict[str, PeerHandler]:
    """Return the handlers of the requests that a reconciling peer sends to this node, by path."""

    async def list_unresolved(_: bytes) -> bytes:
        """Return the oldest unresolved operations of this node."""
        return orjson.dumps(to_json_values(local.oldest()))

    async def mark_resolved(body: bytes) -> bytes:
        """Remove an operation whose outcome the peer has found out."""
        try:
            raw = orjson.loads(body)
            known = local.resolve(str(raw["id"]))
        except (ValueError, KeyError, TypeError):
            return orjson.dumps({"refused": "no key"})
        return orjson.dumps({"known": known})

    return {UNRESOLVED_PATH: list_unresolved, RESOLVED_PATH: mark_resolved}
