"""Stores of each kind for the tests: in process, on an etcd stub, and on a Raft group of three members."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from shelfhaven.config import Address
from shelfhaven.consensus.etcd_store import EtcdStore
from shelfhaven.consensus.in_process import InProcessStore
from shelfhaven.consensus.peer_client import PeerStoreClient
from shelfhaven.consensus.raft_replica import RaftReplica
from shelfhaven.consensus.store import (
    CompareAndSet,
    ConsensusStore,
    NotAppliedError,
    OutcomeUnknownError,
    Put,
)
from shelfhaven.lab.etcd_stub import EtcdStub
from shelfhaven.lab.ports import reserved_port
from shelfhaven.membership.list_version import NO_LIST, ListSnapshot, ListVersion
from shelfhaven.membership.peer_rpc import PeerRpc
from shelfhaven.membership.snapshot_codec import PeerAnswer
from shelfhaven.server.log import Log

SECRET = b"a secret of the tests"
LOG = Log("test")


def conditional_put(key: str, value: bytes, revision: int = 0, lease: int = 0) -> CompareAndSet:
    """Return a change that sets a key if it is at a revision (0: if it does not exist)."""
    return CompareAndSet({key: revision}, {key: Put(value, lease)})


@dataclass
class OpenedStore:
    """A store, and a function that closes it together with everything it depends on."""

    store: ConsensusStore
    close: Callable[[], Awaitable[None]]


async def open_in_process_store() -> OpenedStore:
    async def close() -> None:
        return

    return OpenedStore(InProcessStore(), close)


async def open_etcd_store() -> OpenedStore:
    stub = EtcdStub(port_count=3)
    await stub.start()
    store = EtcdStore([f"127.0.0.1:{port}" for port in stub.ports], "/agreed/", 1.0, LOG)

    async def close() -> None:
        await store.close()
        await stub.stop()

    return OpenedStore(store, close)


class RaftGroup:
    """A Raft group of three members in one process, and a client that is not a member."""

    def __init__(self, folder: Path, with_journals: bool = True) -> None:
        self.raft_addresses = [f"127.0.0.1:{reserved_port()}" for _ in range(3)]
        self.rpc_ports = [reserved_port() for _ in range(3)]
        self.folder = folder
        self.with_journals = with_journals
        self.peer_rpcs: list[PeerRpc] = []
        self.clients: list[PeerStoreClient] = []

    def create_peer_rpc(self, port: int) -> PeerRpc:
        def answer_with_empty_list(_: str, __: ListVersion, ___: bool) -> PeerAnswer:
            return PeerAnswer(ListSnapshot(NO_LIST, 0.0, {}), True)

        peer_rpc = PeerRpc(Address("127.0.0.1", port), SECRET, 1.0, answer_with_empty_list, LOG)
        self.peer_rpcs.append(peer_rpc)
        return peer_rpc

    async def start(self) -> PeerStoreClient:
        """Start the members; return the client once the group has elected a leader and answers it."""
        members = {f"m{n}": f"127.0.0.1:{port}" for n, port in enumerate(self.rpc_ports)}
        for n, own_address in enumerate(self.raft_addresses):
            others = [address for address in self.raft_addresses if address != own_address]
            journal = self.folder / f"m{n}" if self.with_journals else None
            replica = RaftReplica(own_address, others, own_address, SECRET.hex(), journal, LOG)
            replica.start()
            peer_rpc = self.create_peer_rpc(self.rpc_ports[n])
            peer_rpc.start()
            self.clients.append(PeerStoreClient(members, f"m{n}", members[f"m{n}"], peer_rpc, 2.0, replica))
        outside_client = PeerStoreClient(members, "client", "", self.create_peer_rpc(0), 2.0, None)
        async with asyncio.timeout(15):
            while True:
                with contextlib.suppress(NotAppliedError, OutcomeUnknownError):
                    await outside_client.read(["x"])
                    return outside_client

    async def stop(self) -> None:
        for client in self.clients:
            await client.close()
        for peer_rpc in self.peer_rpcs:
            await peer_rpc.end() if peer_rpc.server._sockets else peer_rpc.client.close()


async def open_raft_store() -> OpenedStore:
    folder = tempfile.TemporaryDirectory()
    group = RaftGroup(Path(folder.name))

    async def close() -> None:
        await group.stop()
        folder.cleanup()

    return OpenedStore(await group.start(), close)


@contextlib.asynccontextmanager
async def open_store(kind: str) -> AsyncIterator[ConsensusStore]:
    """Open a store of one kind, and close it with everything it depends on."""
    opened = await {"alone": open_in_process_store, "etcd": open_etcd_store, "nodes": open_raft_store}[kind]()
    try:
        yield opened.store
    finally:
        await opened.close()
