"""Loss of members of a Raft group, and requests that a member must reject."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from pathlib import Path
from typing import Any

import pytest
from tornado.httpclient import HTTPClientError

from shelfhaven.consensus.peer_client import PeerStoreClient
from shelfhaven.consensus.store import Entry, NotAppliedError, OutcomeUnknownError
from tests.consensus.stores import RaftGroup, conditional_put


def test_group_survives_the_loss_of_one_member_and_fails_requests_without_a_majority() -> None:
    async def check() -> None:
        with tempfile.TemporaryDirectory() as folder:
            group = RaftGroup(Path(folder))
            client = await group.start()
            try:
                assert (await client.compare_and_set(conditional_put("a", b"1"))).applied
                leader = next(
                    member for member in group.clients if member.replica and member.replica.is_leader
                )
                assert leader.replica
                await leader.replica.end()
                async with asyncio.timeout(15):
                    while True:
                        with contextlib.suppress(NotAppliedError, OutcomeUnknownError):
                            snapshot = await client.read(["a"])
                            break
                assert snapshot.items["a"] == Entry(b"1", 2)
                second_leader = next(
                    member for member in group.clients if member.replica and member.replica.is_leader
                )
                assert second_leader.replica
                await second_leader.replica.end()
                for _ in range(3):
                    with pytest.raises((NotAppliedError, OutcomeUnknownError)):
                        await client.compare_and_set(conditional_put("b", b"1"))
            finally:
                await group.stop()

    asyncio.run(check())


def test_unauthorized_requests_replays_and_expiry_commands_of_clients_are_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check() -> None:
        with tempfile.TemporaryDirectory() as folder:
            group = RaftGroup(Path(folder))
            client = await group.start()
            try:
                unauthorized_rpc = group.create_peer_rpc(0)
                unauthorized_rpc.secret = b"another secret of 16"
                unauthorized_client = PeerStoreClient(
                    {"m0": f"127.0.0.1:{group.rpc_ports[0]}"}, "x", "", unauthorized_rpc, 1.0, None
                )
                with pytest.raises((NotAppliedError, OutcomeUnknownError)):
                    await unauthorized_client.compare_and_set(conditional_put("a", b"1"))
                assert (await client.read(["a"])).items["a"] is None
                lease = await client.grant_lease(60.0)
                with pytest.raises(NotAppliedError):
                    await client._request({"do": "expire", "lease": lease.lease_id, "beat": 0})
                assert await client.keep_alive(lease.lease_id) == 60.0, "only the leader expires leases"
                sent_requests: list[Any] = []
                fetch = client.peer_rpc.client.fetch

                def record_and_fetch(request: Any) -> Any:
                    sent_requests.append(request)
                    return fetch(request)

                monkeypatch.setattr(client.peer_rpc.client, "fetch", record_and_fetch)
                assert await client.keep_alive(lease.lease_id) == 60.0
                with pytest.raises(HTTPClientError, match="403"):
                    await fetch(sent_requests[0])  # replayed by an observer of the network
            finally:
                await group.stop()

    asyncio.run(check())
