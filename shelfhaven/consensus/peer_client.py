"""A consensus store that three or five of the nodes replicate; other nodes send their requests to a member.

This module chooses the member and exchanges requests and answers with it. A change that a member may have
applied is never sent to another member; instead, `OutcomeUnknownError` is raised.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from typing import TYPE_CHECKING

import orjson

from shelfhaven.consensus.codec import (
    JsonObject,
    decode_result,
    decode_snapshot,
    encode_command,
    encode_list_request,
    encode_read_request,
)
from shelfhaven.consensus.commands import (
    Command,
    CommandResult,
    KeepLeaseAlive,
    RevokeLease,
    grant_new_lease,
)
from shelfhaven.consensus.store import (
    CompareAndSet,
    CompareAndSetResult,
    ConsensusError,
    GrantedLease,
    NotAppliedError,
    OutcomeUnknownError,
    Snapshot,
)
from shelfhaven.membership.peer_rpc import PeerRpc, PeerRpcError
from shelfhaven.routing.hash_spread import hash_fraction

if TYPE_CHECKING:
    from shelfhaven.consensus.raft_replica import RaftReplica

REQUEST_PATH = "/agree"
WATCH_POLL_TIMEOUT = 1.0  # seconds that a member waits for a change before it answers a watch request
MAX_WATCHED_KEYS = 4096
# The key of an error answer, and the exception that it stands for.
ERROR_TYPES: Mapping[str, type[ConsensusError]] = {
    "refused": NotAppliedError,
    "unclear": OutcomeUnknownError,
}


class PeerStoreClient:
    """A `ConsensusStore` on a Raft group; `replica` is the node's own replica if the node is a member."""

    def __init__(
        self,
        members: Mapping[str, str],
        node: str,
        own_address: str,
        peer_rpc: PeerRpc,
        timeout: float,
        replica: RaftReplica | None,
    ) -> None:
        self.member_addresses = list(members.values())
        self.own_address = own_address
        self.peer_rpc = peer_rpc
        self.timeout = timeout  # seconds
        self.replica = replica
        # Nodes start with different members, which spreads the load.
        self.member_index = int(hash_fraction(node, "agree") * len(self.member_addresses))
        self.request_count = 0
        if replica:
            peer_rpc.routes[REQUEST_PATH] = self.handle_request

    # Requests from other nodes

    async def handle_request(self, body: bytes) -> bytes:
        """Handle a request from another node and return the answer."""
        assert self.replica
        try:
            request = orjson.loads(body)
            if not isinstance(request, dict):
                raise ValueError("the request is not a JSON object")
            return orjson.dumps(await self._execute_on_replica(self.replica, request))
        except (ValueError, KeyError, TypeError, NotAppliedError) as error:
            return orjson.dumps({"refused": str(error)})
        except OutcomeUnknownError as error:
            return orjson.dumps({"unclear": str(error)})

    async def _execute_on_replica(self, replica: RaftReplica, request: JsonObject) -> JsonObject:
        if request["do"] == "since":
            keys = [str(key) for key in request["keys"]][:MAX_WATCHED_KEYS]
            return await replica.wait_for_changes(keys, int(request["after"]), WATCH_POLL_TIMEOUT)
        if request["do"] == "expire":
            raise ValueError("leases are expired only by the leader, which observes their renewals")
        return await replica.submit(request, self.timeout)

    # Requests from this node

    async def _request(self, request: JsonObject, extra_timeout: float = 0.0) -> JsonObject:
        """Send a request to the node's own replica, or else to the chosen member; return the answer."""
        self.request_count += 1
        if self.replica:
            return await self._execute_on_replica(self.replica, request)
        peer = self.member_addresses[self.member_index % len(self.member_addresses)]
        timeout = self.timeout + extra_timeout
        try:
            body = await self.peer_rpc.post(
                peer, self.own_address, REQUEST_PATH, orjson.dumps(request), timeout
            )
        except PeerRpcError as error:
            self.member_index += 1
            error_type = OutcomeUnknownError if error.sent else NotAppliedError
            raise error_type(str(error), error.retry_after) from None
        try:
            answer = orjson.loads(body)
        except orjson.JSONDecodeError:
            raise OutcomeUnknownError("the answer is not valid JSON") from None
        for key, answered_error_type in ERROR_TYPES.items():
            if key in answer:
                self.member_index += 1
                raise answered_error_type(str(answer[key]))
        return dict(answer)

    async def _apply(self, command: Command) -> CommandResult:
        answer = await self._request(encode_command(command))
        try:
            return decode_result(answer)
        except ValueError as error:
            raise OutcomeUnknownError(str(error)) from None

    async def _query(self, request: JsonObject, extra_timeout: float = 0.0) -> Snapshot:
        answer = await self._request(request, extra_timeout)
        try:
            return decode_snapshot(answer)
        except ValueError as error:
            raise NotAppliedError(str(error)) from None

    async def grant_lease(self, ttl: float) -> GrantedLease:
        """Create a lease with a TTL in seconds."""
        result = await self._apply(grant_new_lease(ttl))
        if not result.applied:
            raise NotAppliedError("lease not granted: too many leases, or TTL out of range")
        return GrantedLease(result.lease_id, result.ttl)

    async def keep_alive(self, lease_id: int) -> float | None:
        """Renew a lease; return its TTL in seconds, or None if it has ended."""
        result = await self._apply(KeepLeaseAlive(lease_id))
        return result.ttl if result.ttl > 0 else None

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the entries that are bound to it."""
        await self._apply(RevokeLease(lease_id))

    async def compare_and_set(self, change: CompareAndSet) -> CompareAndSetResult:
        """Apply a conditional change."""
        result = await self._apply(change)
        return CompareAndSetResult(result.applied, result.revision, result.current)

    async def read(self, keys: Sequence[str]) -> Snapshot:
        """Return the current entries of these keys."""
        return await self._query(encode_read_request(list(keys)))

    async def list_prefix(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with the prefix."""
        return await self._query(encode_list_request(prefix))

    async def watch(self, keys: Sequence[str], after_revision: int) -> AsyncIterator[Snapshot]:
        """Yield the changes of these keys after a revision, and periodically a snapshot without changes."""
        while True:
            request: JsonObject = {"do": "since", "keys": list(keys), "after": after_revision}
            try:
                snapshot = await self._query(request, WATCH_POLL_TIMEOUT)
            except ConsensusError as error:
                raise NotAppliedError(str(error), error.retry_after) from None
            after_revision = max(after_revision, snapshot.revision)
            yield snapshot

    async def close(self) -> None:
        """Stop the node's own replica, if the node is a member of the group."""
        if self.replica:
            self.peer_rpc.routes.pop(REQUEST_PATH, None)
            await self.replica.end()
