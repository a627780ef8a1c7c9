"""A fleet of node processes that store their idempotency keys in a file, in front of one backend stub.

The fleet owns the callers and the backend. It controls a node only through its operator configuration, the
program's commands and signals.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from shelfhaven.lab.backend_stub import BackendStub, ExecutedRun
from shelfhaven.lab.callers import Reply
from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.etcd_stub import EtcdStub
from shelfhaven.lab.failover_fleet import TOPUP
from shelfhaven.lab.fleet import Fleet, FleetNode, fleet

REPLY_TIMEOUT = 4.0  # seconds
BACKEND_WORKERS = 16  # concurrent runs of the backend
BACKEND_RUN_S = 0.005  # mean duration of a run at the backend


class KeyStoreFleet:
    """A backend and the nodes in front of it.

    Attributes:
        fleet: the nodes.
        backend: the backend that all nodes use.
        runs: the runs that the backend executed, in order of their start.
    """

    def __init__(self, nodes: Fleet, backend: BackendStub, runs: list[ExecutedRun]) -> None:
        self.fleet = nodes
        self.backend = backend
        self.runs = runs

    @property
    def node(self) -> FleetNode:
        """The first node."""
        return next(iter(self.fleet.nodes.values()))

    async def start(self, node: FleetNode | None = None) -> None:
        """Start a node, by default the first, and wait until it has loaded its keys."""
        target = node or self.node
        await self.fleet.start(target)
        await soon(lambda: target.events("keys_loaded") and target.events("phase"))

    async def restart(self) -> None:
        """Kill the first node and start it again."""
        await self.fleet.kill(self.node)
        await self.start()

    async def request_topup(
        self, key: str, body: bytes = b"100", node: FleetNode | None = None
    ) -> Reply | None:
        """Send a keyed request and return the reply, or None if no complete reply arrived in time."""
        target = node or self.node
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(REPLY_TIMEOUT):
                reply = await target.ask("POST", "/topup", body, HTTP_IDEMPOTENCY_KEY=key)
                return reply if reply.status else None
        return None

    async def expect_served(self, key: str, body: bytes = b"100", node: FleetNode | None = None) -> bytes:
        """Send a keyed request, assert that it is served and return its result."""
        reply = await self.request_topup(key, body, node)
        assert reply
        assert reply.status == 200
        return reply.body

    async def expect_uncertain(self, key: str, node: FleetNode | None = None) -> None:
        """Send a keyed request and assert that it fails without a statement that it did not run."""
        reply = await self.request_topup(key, node=node)
        assert reply
        assert reply.status >= 500
        assert not reply.not_run, "the key may have run, so the reply must not state that it did not"

    def runs_of(self, key: str) -> int:
        """Return how often the backend ran the request with this key."""
        return sum(run.key == key for run in self.runs)


@contextlib.asynccontextmanager
async def key_store_fleet(
    count: int = 1, topup: str = TOPUP, with_routers: bool = False
) -> AsyncIterator[KeyStoreFleet]:
    """Create nodes that share one key file, and start their backend and list service.

    Args:
        count: number of nodes.
        topup: properties of the keyed class: its deadline and key TTL.
        with_routers: whether nodes also listen for routers.
    """
    runs: list[ExecutedRun] = []
    backend = BackendStub("v", runs, BACKEND_WORKERS, BACKEND_RUN_S)
    store = EtcdStub(port_count=1)
    await backend.start()
    await store.start()
    try:
        async with fleet(
            count, store.port, [backend.address], topup=topup, with_routers=with_routers
        ) as nodes:
            nodes.values["key_store"] = f'keys file="{nodes.folder / "keys"}" sync="each"'
            yield KeyStoreFleet(nodes, backend, runs)
    finally:
        backend.stop()
        await store.stop()
