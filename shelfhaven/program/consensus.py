"""Opens the consensus store of the operator configuration, for a node or for a command.

Each implementation is imported only if it is used, so that a node with an etcd store never loads the Raft
library. This module must not interpret the contents of the store.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

from shelfhaven.consensus.store import ConsensusError, ConsensusStore
from shelfhaven.membership.administration import empty_answer
from shelfhaven.membership.peer_rpc import PeerRpc
from shelfhaven.operator_config.singleton_tasks import StoreConfig, StoreKind
from shelfhaven.program.component import Files
from shelfhaven.server.log import Log

LOG_NAME = "asking"  # server name in the log lines of commands
STDERR = 2  # file descriptor


def open_store(
    config: StoreConfig, node: str, address: str, peer_rpc: PeerRpc | None, secret: bytes, log: Log
) -> ConsensusStore:
    """Open the store that `config` describes, with a replica of it if this node is one of its members.

    `address` is the address at which peers reach this node, "" for a process that is only a client.
    """
    if config.kind is StoreKind.ALONE:
        from shelfhaven.consensus.in_process import InProcessStore

        return InProcessStore()
    if config.kind is StoreKind.ETCD:
        from shelfhaven.consensus.etcd_store import EtcdStore

        return EtcdStore(config.endpoints, config.prefix, config.timeout, log)
    from shelfhaven.consensus.peer_client import PeerStoreClient

    assert peer_rpc
    replica = None
    member = config.members.get(node)
    if member and address:
        from shelfhaven.consensus.raft_replica import RaftReplica

        peers = [str(peer.peer_address) for peer in config.members.values() if peer is not member]
        bind = str(member.bind_address)
        replica = RaftReplica(str(member.peer_address), peers, bind, secret.hex(), config.journal, log)
        replica.start()
    client_addresses = {
        name: str(store_member.client_address) for name, store_member in config.members.items()
    }
    return PeerStoreClient(client_addresses, node, address, peer_rpc, config.timeout, replica)


@contextlib.asynccontextmanager
async def command_line_store(files: Files) -> AsyncIterator[tuple[ConsensusStore, PeerRpc]]:
    """Open the store, and an RPC client of the nodes, for the duration of a command.

    Raises:
        ConsensusError: the store cannot be reached from another process.
    """
    assert files.operator
    assert files.operator.singleton_tasks
    config, membership = files.operator.singleton_tasks, files.operator.membership
    if config.store.kind is StoreKind.ALONE:
        raise ConsensusError('the store (engine "alone") exists only in the memory of the node')
    assert membership
    log = Log(LOG_NAME, STDERR)
    peer_rpc = PeerRpc(membership.listen, membership.secret, membership.peer_timeout, empty_answer, log)
    store = open_store(config.store, "", "", peer_rpc, membership.secret, log)
    try:
        yield store, peer_rpc
    finally:
        await store.close()
        await peer_rpc.end()
